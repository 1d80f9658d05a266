/*
 * Subsets: which endpoints of a model an instance uses, and which of these it
 * watches.
 *
 * The choice is made from the endpoint's side.  Each endpoint takes its users
 * by weighted rendezvous hashing over the instances, its own zone and region
 * preferred, so that all endpoints have the same number of users; its first
 * few users watch it.  Any instance works this out by itself from the member
 * list and the table of endpoints.  An instance that would be left with too
 * few endpoints adds some of its own choice.
 */
#include <assert.h>
#include <math.h>

#include "policy/pair_hash.h"
#include "policy/size_step.h"
#include "policy/smallest.h"
#include "policy/subset.h"

#define NEARNESS_ZONE 8.0 /* weight of an instance in the same zone */
#define NEARNESS_REGION 4.0 /* in another zone of the region */
#define OWN_CHOICE_SALT 0x6f776e

/* The instances that an endpoint prefers to a given one. */
struct rivals {
	size_t n; /* counting stops when nothing more depends on it */
	uint16_t zone; /* of the first */
	bool one_zone; /* all are in `zone` */
};

static double nearness(const struct subset_endpoint *e,
		       const struct shard_member *m);
static size_t spread_watchers(const struct shard_member *instances, size_t n,
			      size_t n_users, struct ranked *r);
static uint64_t threshold(uint64_t hash, double ratio);
static struct rivals find_rivals(const struct shard_member *instances, size_t n,
				 size_t self, const struct subset_endpoint *e,
				 size_t users);
static bool watches(const struct rivals *rivals, uint16_t zone,
		    bool other_zones);
static bool other_zones(const struct shard_member *instances, size_t n,
			size_t self);
static size_t add_own_choice(const struct shard_member *self,
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
 * Returns how many instances use each endpoint of a model: enough for an
 * instance to have about SUBSET_SIZE to twice as many, and all instances where
 * there are few of either.  Both numbers count in steps: while a zone goes or
 * single endpoints come and go, the result stays the same.
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

static double nearness(const struct subset_endpoint *e,
		       const struct shard_member *m)
{
	if (m->zone == e->zone)
		return NEARNESS_ZONE;
	if (m->region == e->region)
		return NEARNESS_REGION;
	return 1;
}

/*
 * Writes the indices of the instances that use endpoint `e` to `out`, which
 * has room for `users` + 1, its SUBSET_WATCHERS watchers first, and returns
 * their number.  There is one more user than asked for where all others would
 * be in one zone.
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
		r[i].key = -log(u) / nearness(e, &instances[i]);
	}
	select_smallest(r, n, n_out);
	select_smallest(r, n_out, SUBSET_WATCHERS);
	n_out = spread_watchers(instances, n, n_out, r);
	for (i = 0; i < n_out; i++)
		out[i] = r[i].index;
	return n_out;
}

/*
 * Where the watchers, which come first in `r`, would all be in one zone, puts
 * the best instance of another zone in the place of the last.  Returns the
 * number of users, which grows if that instance wasn't one.
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
	/* The last watcher is the one with the largest key of the first. */
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
 * Finds out which of a model's endpoints the instance at index `self` uses.
 * `out` has room for all of them.  Returns how many there are; they come in
 * the order of the table, but those of the instance's own choice last.
 */
size_t subset_of_instance(const struct shard_member *instances, size_t n,
			  size_t self, const struct subset_endpoint *endpoints,
			  size_t n_endpoints, struct subset_entry *out)
{
	size_t users = subset_users(n, n_endpoints);
	bool others = other_zones(instances, n, self);
	uint16_t zone = instances[self].zone;
	size_t n_out = 0;
	size_t i;

	for (i = 0; i < n_endpoints; i++) {
		struct rivals rivals;
		bool watch;

		rivals = find_rivals(instances, n, self, &endpoints[i], users);
		watch = watches(&rivals, zone, others);
		if (!watch && rivals.n >= users)
			continue;
		out[n_out].endpoint = i;
		out[n_out].watch = watch;
		n_out++;
	}
	return add_own_choice(&instances[self], endpoints, n_endpoints, out,
			      n_out);
}

static bool other_zones(const struct shard_member *instances, size_t n,
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
 * Returns the hash that another instance must exceed to be preferred to one
 * with `hash`, when its weight is `ratio` times as large.  This saves a
 * logarithm for each of them.
 */
static uint64_t threshold(uint64_t hash, double ratio)
{
	double t = pow(pair_hash_unit(hash), ratio) * 0x1.0p64;

	return t < 0x1.0p64 ? (uint64_t)t : UINT64_MAX;
}

static struct rivals find_rivals(const struct shard_member *instances, size_t n,
				 size_t self, const struct subset_endpoint *e,
				 size_t users)
{
	const struct shard_member *m = &instances[self];
	struct rivals rivals = { .one_zone = true };
	uint64_t hash = pair_hash(e->id, m->id);
	double own = nearness(e, m);
	uint64_t same_zone = threshold(hash, NEARNESS_ZONE / own);
	uint64_t same_region = threshold(hash, NEARNESS_REGION / own);
	uint64_t far = threshold(hash, 1 / own);
	uint64_t limit;
	size_t i;

	for (i = 0; i < n; i++) {
		m = &instances[i];
		limit = far;
		if (m->zone == e->zone)
			limit = same_zone;
		else if (m->region == e->region)
			limit = same_region;
		if (i == self || pair_hash(e->id, m->id) <= limit)
			continue;
		if (rivals.n++ == 0)
			rivals.zone = m->zone;
		else if (m->zone != rivals.zone)
			rivals.one_zone = false;
		if (rivals.n >= users && !rivals.one_zone)
			break;
	}
	return rivals;
}

/*
 * Tells whether an instance in `zone` with these rivals is a watcher; see
 * spread_watchers().
 */
static bool watches(const struct rivals *rivals, uint16_t zone,
		    bool other_zones_exist)
{
	if (rivals->n < SUBSET_WATCHERS - 1)
		return true;
	if (rivals->one_zone && rivals->zone != zone)
		return true;
	if (rivals->n > SUBSET_WATCHERS - 1)
		return false;
	return !rivals->one_zone || !other_zones_exist;
}

/*
 * Adds endpoints of the instance's own choice while it has fewer than
 * SUBSET_SIZE_MIN, and one of another zone if it has none.
 */
static size_t add_own_choice(const struct shard_member *self,
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
 * Adds the endpoint that the instance prefers among those not yet in `out`,
 * from another zone than the first there if `other_zone` is set.
 */
static size_t add_best(const struct shard_member *self,
		       const struct subset_endpoint *endpoints,
		       size_t n_endpoints, struct subset_entry *out,
		       size_t n_out, bool other_zone)
{
	uint64_t salt = self->id ^ OWN_CHOICE_SALT;
	double best_key = INFINITY;
	size_t best = n_endpoints;
	size_t i;

	for (i = 0; i < n_endpoints; i++) {
		const struct subset_endpoint *e = &endpoints[i];
		double key = -log(pair_hash_unit(pair_hash(salt, e->id))) /
			     nearness(e, self);

		if (other_zone && e->zone == endpoints[out[0].endpoint].zone)
			continue;
		if (key >= best_key || contains(out, n_out, i))
			continue;
		best_key = key;
		best = i;
	}
	if (best == n_endpoints)
		return n_out;
	out[n_out].endpoint = best;
	out[n_out].watch = false;
	return n_out + 1;
}
