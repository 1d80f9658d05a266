/*
 * Subsets: which endpoints of a model an instance uses, and which of these it
 * watches.
 *
 * Users are assigned per endpoint, by weighted rendezvous hashing over the
 * instances with a preference for the endpoint's own zone and region, so that
 * all endpoints have the same number of users.  The SUBSET_WATCHERS
 * highest-ranked users watch the endpoint.  Each instance computes the
 * assignment locally from the member list and the endpoint table.  An instance
 * with too few endpoints adds more by its own ranking.
 */
#include <assert.h>
#include <math.h>

#include "policy/pair_hash.h"
#include "policy/size_step.h"
#include "policy/smallest.h"
#include "policy/subset.h"

#define WEIGHT_SAME_ZONE 8.0 /* instance in the endpoint's zone */
#define WEIGHT_SAME_REGION 4.0 /* in another zone of its region */
#define LOCAL_CHOICE_SALT 0x6f776e

/* The instances that rank above a given one for an endpoint. */
struct preferred {
	size_t n; /* counted only as other_region as the result depends on it */
	uint16_t zone; /* of the first one found */
	bool one_zone; /* all are in `zone` */
};

static double proximity_weight(const struct subset_endpoint *e,
			       const struct shard_member *m);
static size_t spread_watchers(const struct shard_member *instances, size_t n,
			      size_t n_users, struct ranked *r);
static uint64_t hash_threshold(uint64_t hash, double ratio);
static struct preferred find_preferred(const struct shard_member *instances,
				       size_t n, size_t self,
				       const struct subset_endpoint *e,
				       size_t users);
static bool is_watcher(const struct preferred *preferred, uint16_t zone,
		       bool other_zones_exist);
static bool has_other_zones(const struct shard_member *instances, size_t n,
			    size_t self);
static size_t add_local_choice(const struct shard_member *self,
			       const struct subset_endpoint *endpoints,
			       size_t n_endpoints, struct subset_entry *out,
			       size_t n_out);
static bool in_one_zone(const struct subset_endpoint *endpoints,
			const struct subset_entry *out, size_t n_out);
static size_t add_best(const struct shard_member *self,
		       const struct subset_endpoint *endpoints,
		       size_t n_endpoints, struct subset_entry *out,
		       size_t n_out, bool other_zone);
static bool contains(const struct subset_entry *out, size_t n_out,
		     uint32_t endpoint);

/*
 * Returns how many instances use each endpoint of a model.  An instance then
 * has about SUBSET_SIZE to twice as many endpoints; in small fleets all
 * instances use each endpoint.  Both arguments are rounded up to steps, so that
 * the loss of a zone or a change of single endpoints doesn't change the
 * result.
 */
unsigned int subset_users(size_t n_instances, size_t n_endpoints)
{
	size_t instances = size_step_pow2(n_instances);
	size_t endpoints = size_step_eighth(n_endpoints);
	size_t users;

	if (n_endpoints == 0)
		return 0;
	users = (SUBSET_SIZE * instances + endpoints - 1) / endpoints;
	if (users < SUBSET_USERS_MIN)
		users = SUBSET_USERS_MIN;
	return users < n_instances ? users : n_instances;
}

/* Returns the weight of an instance in the ranking of endpoint `e`. */
static double proximity_weight(const struct subset_endpoint *e,
			       const struct shard_member *m)
{
	if (m->zone == e->zone)
		return WEIGHT_SAME_ZONE;
	if (m->region == e->region)
		return WEIGHT_SAME_REGION;
	return 1;
}

/*
 * Writes the indices of the instances that use endpoint `e` to `out`, its
 * SUBSET_WATCHERS watchers first, and returns their number.  `out` holds at
 * least `users` + 1 items: one user is added if all watchers would otherwise be
 * in one zone and no user is in another.
 */
size_t subset_of_endpoint(const struct shard_member *instances, size_t n,
			  const struct subset_endpoint *e, unsigned int users,
			  uint16_t *out)
{
	struct ranked r[SHARD_MEMBERS_MAX];
	size_t n_out = users < n ? users : n;
	size_t i;

	assert(n <= SHARD_MEMBERS_MAX);
	for (i = 0; i < n; i++) {
		double u = pair_hash_unit(pair_hash(e->id, instances[i].id));

		r[i].index = i;
		r[i].key = -log(u) / proximity_weight(e, &instances[i]);
	}
	select_smallest(r, n, n_out);
	select_smallest(r, n_out, SUBSET_WATCHERS);
	n_out = spread_watchers(instances, n, n_out, r);
	for (i = 0; i < n_out; i++)
		out[i] = r[i].index;
	return n_out;
}

/*
 * If all watchers, which come first in `r`, are in one zone, replaces the last
 * of them by the highest-ranked instance of another zone.  Returns the number
 * of users, which grows by one if that instance wasn't a user.
 */
static size_t spread_watchers(const struct shard_member *instances, size_t n,
			      size_t n_users, struct ranked *r)
{
	const size_t last = SUBSET_WATCHERS - 1;
	uint16_t zone = instances[r[0].index].zone;
	struct ranked moved;
	size_t best = n;
	size_t i;

	if (n_users <= last)
		return n_users;
	for (i = 1; i <= last; i++) {
		if (instances[r[i].index].zone != zone)
			return n_users;
	}
	for (i = SUBSET_WATCHERS; i < n; i++) {
		if (instances[r[i].index].zone == zone)
			continue;
		if (best == n || r[i].key < r[best].key)
			best = i;
	}
	if (best == n)
		return n_users;
	/* Move the watcher with the largest key to the last position. */
	for (i = 0; i < last; i++) {
		if (r[i].key > r[last].key) {
			moved = r[i];
			r[i] = r[last];
			r[last] = moved;
		}
	}
	moved = r[last];
	r[last] = r[best];
	if (best < n_users) {
		r[best] = moved;
		return n_users;
	}
	r[best] = r[n_users];
	r[n_users] = moved;
	return n_users + 1;
}

/*
 * Writes the endpoints of a model that the instance at index `self` uses to
 * `out`, which holds at least `n_endpoints` items, and returns their number.
 * They are in the order of the table, followed by those that the instance
 * added by its own ranking.
 */
size_t subset_of_instance(const struct shard_member *instances, size_t n,
			  size_t self, const struct subset_endpoint *endpoints,
			  size_t n_endpoints, struct subset_entry *out)
{
	size_t users = subset_users(n, n_endpoints);
	bool others = has_other_zones(instances, n, self);
	uint16_t zone = instances[self].zone;
	size_t n_out = 0;
	size_t i;

	for (i = 0; i < n_endpoints; i++) {
		struct preferred preferred;
		bool watch;

		preferred = find_preferred(instances, n, self, &endpoints[i],
					   users);
		watch = is_watcher(&preferred, zone, others);
		if (!watch && preferred.n >= users)
			continue;
		out[n_out].endpoint = i;
		out[n_out].watch = watch;
		n_out++;
	}
	return add_local_choice(&instances[self], endpoints, n_endpoints, out,
				n_out);
}

/* Returns whether any instance is in another zone than that at `self`. */
static bool has_other_zones(const struct shard_member *instances, size_t n,
			    size_t self)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (instances[i].zone != instances[self].zone)
			return true;
	}
	return false;
}

/*
 * Returns the hash that another instance must exceed to rank above one with
 * `hash`, if its weight is `ratio` times as large.  This avoids computing a
 * logarithm per instance.
 */
static uint64_t hash_threshold(uint64_t hash, double ratio)
{
	double t = pow(pair_hash_unit(hash), ratio) * 0x1.0p64;

	return t < 0x1.0p64 ? (uint64_t)t : UINT64_MAX;
}

/*
 * Finds the instances that rank above the one at index `self` for endpoint `e`.
 * Stops once there are `users` of them in more than one zone.
 */
static struct preferred find_preferred(const struct shard_member *instances,
				       size_t n, size_t self,
				       const struct subset_endpoint *e,
				       size_t users)
{
	const struct shard_member *m = &instances[self];
	struct preferred preferred = { .one_zone = true };
	uint64_t hash = pair_hash(e->id, m->id);
	double own_weight = proximity_weight(e, m);
	uint64_t same_zone =
		hash_threshold(hash, WEIGHT_SAME_ZONE / own_weight);
	uint64_t same_region =
		hash_threshold(hash, WEIGHT_SAME_REGION / own_weight);
	uint64_t other_region = hash_threshold(hash, 1 / own_weight);
	uint64_t limit;
	size_t i;

	for (i = 0; i < n; i++) {
		m = &instances[i];
		limit = other_region;
		if (m->zone == e->zone)
			limit = same_zone;
		else if (m->region == e->region)
			limit = same_region;
		if (i == self || pair_hash(e->id, m->id) <= limit)
			continue;
		if (preferred.n++ == 0)
			preferred.zone = m->zone;
		else if (m->zone != preferred.zone)
			preferred.one_zone = false;
		if (preferred.n >= users && !preferred.one_zone)
			break;
	}
	return preferred;
}

/*
 * Returns whether an instance in `zone` is a watcher, given the instances that
 * rank above it; see spread_watchers().
 */
static bool is_watcher(const struct preferred *preferred, uint16_t zone,
		       bool other_zones_exist)
{
	if (preferred->n < SUBSET_WATCHERS - 1)
		return true;
	if (preferred->one_zone && preferred->zone != zone)
		return true;
	if (preferred->n > SUBSET_WATCHERS - 1)
		return false;
	return !preferred->one_zone || !other_zones_exist;
}

/*
 * Adds endpoints by the instance's own ranking until it has SUBSET_SIZE_MIN,
 * and one of another zone if all are in one zone.
 */
static size_t add_local_choice(const struct shard_member *self,
			       const struct subset_endpoint *endpoints,
			       size_t n_endpoints, struct subset_entry *out,
			       size_t n_out)
{
	while (n_out < SUBSET_SIZE_MIN && n_out < n_endpoints)
		n_out = add_best(self, endpoints, n_endpoints, out, n_out,
				 false);
	if (n_out < n_endpoints && in_one_zone(endpoints, out, n_out))
		n_out = add_best(self, endpoints, n_endpoints, out, n_out,
				 true);
	return n_out;
}

static bool in_one_zone(const struct subset_endpoint *endpoints,
			const struct subset_entry *out, size_t n_out)
{
	size_t i;

	for (i = 1; i < n_out; i++) {
		if (endpoints[out[i].endpoint].zone !=
		    endpoints[out[0].endpoint].zone)
			return false;
	}
	return true;
}

static bool contains(const struct subset_entry *out, size_t n_out,
		     uint32_t endpoint)
{
	size_t i;

	for (i = 0; i < n_out; i++) {
		if (out[i].endpoint == endpoint)
			return true;
	}
	return false;
}

/*
 * Adds the endpoint that ranks highest for the instance among those not yet in
 * `out`; with `other_zone`, only from another zone than that of out[0].
 */
static size_t add_best(const struct shard_member *self,
		       const struct subset_endpoint *endpoints,
		       size_t n_endpoints, struct subset_entry *out,
		       size_t n_out, bool other_zone)
{
	uint64_t salt = self->id ^ LOCAL_CHOICE_SALT;
	double lowest_key = INFINITY;
	size_t best = n_endpoints;
	size_t i;

	for (i = 0; i < n_endpoints; i++) {
		const struct subset_endpoint *e = &endpoints[i];
		double key = -log(pair_hash_unit(pair_hash(salt, e->id))) /
			     proximity_weight(e, self);

		if (other_zone && e->zone == endpoints[out[0].endpoint].zone)
			continue;
		if (key >= lowest_key || contains(out, n_out, i))
			continue;
		lowest_key = key;
		best = i;
	}
	if (best == n_endpoints)
		return n_out;
	out[n_out].endpoint = best;
	out[n_out].watch = false;
	return n_out + 1;
}
