/*
 * Shards: the few instances that serve an organisation.
 *
 * The members of a shard are selected by rendezvous hashing, round-robin over
 * the zones, so that a lost instance is replaced by a single other one and
 * nothing else moves.  Load is balanced without changing the members: each
 * instance has a weight, callers spread over the instances of their shard in
 * their own region in proportion to the weights, and the weights are fitted
 * until all instances carry about the same load.  Callers are assumed to be
 * distributed over the regions as the instances are.
 */
#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"
#include "policy/pair_hash.h"
#include "policy/shard.h"
#include "policy/shard_fit.h"
#include "policy/size_step.h"
#include "policy/smallest.h"

#define ORGS_PER_STEP 25 /* organisations assigned in one step */
#define ZONE_SALT 0x7a6f6e65 /* makes the hashes of zones, ... */
#define REGION_SALT 0x72656769 /* ... regions and instances independent */

static int compare_members(const void *a, const void *b);
static bool serves(const struct shard_member *m);
static enum shard_outcome copy_serving(struct shard_plan *plan,
				       const struct shard_member *members,
				       size_t n);
static enum shard_outcome find_zones(struct shard_plan *plan);
static void reserve(struct shard_plan *plan, size_t n_orgs, size_t n_entries);
static void order_zones(struct shard_scratch *s, const struct shard_org *org);
static void insert_ranked(struct ranked *r, size_t n, uint32_t index,
			  uint64_t hash);
static void set_quotas(struct shard_scratch *s, size_t size);
static struct shard_zone *next_zone(struct shard_scratch *s, uint16_t region);
static void pick_members(struct shard_plan *plan, const struct shard_org *org,
			 double share);
static void pick_in_zone(struct shard_plan *plan, const struct shard_org *org,
			 const struct shard_zone *zone);

/*
 * Returns how many of `n_members` instances serve an organisation with
 * `share` (0 to 1) of the total load, in `n_regions` regions.  A configured
 * `size` above 0 overrides the computed one.  The size of the fleet is rounded
 * up to a power of two, so that shard sizes rarely change as single instances
 * come and go.
 */
unsigned int shard_size(double share, size_t n_members, size_t n_regions,
			unsigned int size)
{
	double wanted = ceil(SHARD_SPREAD * share * size_step_pow2(n_members));

	wanted = fmax(wanted, SHARD_SIZE_MIN);
	wanted = fmax(wanted, SHARD_REGION_MIN * n_regions);
	if (size > 0)
		wanted = size;
	return fmin(wanted, n_members);
}

/*
 * Copies all members of a table, serving or not, to `out`, which holds at least
 * MEMBER_MAX items, and returns their number.
 */
size_t shard_copy_members(const struct member_table *t,
			  struct shard_member *out)
{
	size_t i;

	for (i = 0; i < t->n; i++) {
		const struct member *m = &t->members[i];

		out[i] = (struct shard_member){
			.id = m->u.id,
			.zone = m->u.addr.zone,
			.region = m->u.addr.region,
			.state = m->u.state,
			.leaving = m->leaving || m->listed_leaving,
		};
	}
	return t->n;
}

/*
 * Initialises an empty plan.
 */
void shard_plan_init(struct shard_plan *plan)
{
	memset(plan, 0, sizeof(*plan));
}

/*
 * Frees the arrays of a plan and empties it.
 */
void shard_plan_free(struct shard_plan *plan)
{
	free(plan->first_entry);
	free(plan->entries);
	free(plan->scratch);
	memset(plan, 0, sizeof(*plan));
}

/*
 * Computes the shard of each organisation.  The order of the members doesn't
 * matter; that of the organisations is kept.  If it doesn't return SHARD_OK,
 * the plan is empty and can be built again.
 */
enum shard_outcome shard_plan_build(struct shard_plan *plan,
				    const struct shard_member *members,
				    size_t n_members,
				    const struct shard_org *orgs, size_t n_orgs)
{
	enum shard_outcome outcome;

	outcome = shard_plan_begin(plan, members, n_members, orgs, n_orgs);
	if (outcome != SHARD_OK)
		return outcome;
	while (!shard_plan_step(plan, orgs))
		;
	return SHARD_OK;
}

/*
 * Starts to build a plan in steps, so that an event loop isn't blocked for the
 * time of a whole build.  The plan must not be queried until shard_plan_step()
 * has returned true; until then the caller uses another plan.
 */
enum shard_outcome shard_plan_begin(struct shard_plan *plan,
				    const struct shard_member *members,
				    size_t n_members,
				    const struct shard_org *orgs, size_t n_orgs)
{
	enum shard_outcome outcome;
	size_t i;

	plan->n_orgs = 0;
	plan->n_entries = 0;
	outcome = copy_serving(plan, members, n_members);
	if (outcome == SHARD_OK)
		outcome = find_zones(plan);
	if (outcome != SHARD_OK) {
		plan->n_members = 0;
		return outcome;
	}
	reserve(plan, n_orgs, 0);
	plan->first_entry[0] = 0;
	plan->scratch->n_orgs = n_orgs;
	plan->scratch->n_rounds = 0;
	plan->scratch->total = 0;
	for (i = 0; i < n_orgs; i++)
		plan->scratch->total += shard_org_weight(&orgs[i]);
	return SHARD_OK;
}

/*
 * Continues a build; `orgs` are those passed to shard_plan_begin().  Returns
 * true when the plan is complete.
 */
bool shard_plan_step(struct shard_plan *plan, const struct shard_org *orgs)
{
	struct shard_scratch *s = plan->scratch;
	size_t end = plan->n_orgs + ORGS_PER_STEP;
	const struct shard_org *org;

	if (plan->n_orgs == s->n_orgs)
		return shard_fit_step(plan, orgs);
	while (plan->n_orgs < end && plan->n_orgs < s->n_orgs) {
		org = &orgs[plan->n_orgs];
		pick_members(plan, org, shard_org_weight(org) / s->total);
		plan->first_entry[++plan->n_orgs] = plan->n_entries;
	}
	return false;
}

static bool serves(const struct shard_member *m)
{
	if (m->leaving)
		return false;
	return m->state == MEMBER_ALIVE || m->state == MEMBER_SUSPECT;
}

static int compare_members(const void *a, const void *b)
{
	const struct shard_member *x = a;
	const struct shard_member *y = b;

	if (x->zone != y->zone)
		return x->zone < y->zone ? -1 : 1;
	if (x->id != y->id)
		return x->id < y->id ? -1 : 1;
	return 0;
}

/* Copies the serving members into the plan, sorted by zone and id. */
static enum shard_outcome copy_serving(struct shard_plan *plan,
				       const struct shard_member *members,
				       size_t n)
{
	struct shard_scratch *s = plan->scratch;
	size_t i;

	if (!s) {
		s = xcalloc(1, sizeof(*s));
		plan->scratch = s;
	}
	plan->members = s->members;
	plan->load = s->load;
	plan->n_members = 0;
	for (i = 0; i < n; i++) {
		if (!serves(&members[i]))
			continue;
		if (plan->n_members == SHARD_MEMBERS_MAX)
			return SHARD_TOO_LARGE;
		s->members[plan->n_members++] = members[i];
	}
	if (plan->n_members == 0)
		return SHARD_NO_MEMBERS;
	qsort(s->members, plan->n_members, sizeof(s->members[0]),
	      compare_members);
	return SHARD_OK;
}

/* Fills the tables of zones and regions from the sorted members. */
static enum shard_outcome find_zones(struct shard_plan *plan)
{
	struct shard_scratch *s = plan->scratch;
	struct shard_zone *zone = NULL;
	size_t i;

	plan->n_zones = 0;
	memset(&s->demand, 0, sizeof(s->demand));
	for (i = 0; i < plan->n_members; i++) {
		if (s->members[i].region >= SHARD_REGIONS_MAX)
			return SHARD_TOO_LARGE;
		s->demand.present |= 1u << s->members[i].region;
		s->demand.instances[s->members[i].region]++;
		if (s->members[i].region >= s->demand.n_regions)
			s->demand.n_regions = s->members[i].region + 1;
		if (!zone || zone->id != s->members[i].zone) {
			if (plan->n_zones == SHARD_ZONES_MAX)
				return SHARD_TOO_LARGE;
			zone = &s->zones[plan->n_zones++];
			zone->id = s->members[i].zone;
			zone->region = s->members[i].region;
			zone->first = i;
			zone->n = 0;
		}
		zone->n++;
	}
	s->n_zones = plan->n_zones;
	s->n_members = plan->n_members;
	return SHARD_OK;
}

/* Allocates space for `n_orgs` organisations and `n_entries` entries. */
static void reserve(struct shard_plan *plan, size_t n_orgs, size_t n_entries)
{
	if (n_orgs > plan->max_orgs || !plan->first_entry) {
		plan->first_entry = xreallocarray(plan->first_entry, n_orgs + 1,
						  sizeof(plan->first_entry[0]));
		plan->max_orgs = n_orgs;
	}
	if (n_entries > plan->max_entries) {
		plan->max_entries = n_entries + n_entries / 2;
		plan->entries = xreallocarray(plan->entries, plan->max_entries,
					      sizeof(plan->entries[0]));
	}
}

/*
 * Sorts the regions and zones that may serve the organisation by their hash
 * with its key, and clears the quotas of all zones.
 */
static void order_zones(struct shard_scratch *s, const struct shard_org *org)
{
	uint32_t regions = shard_org_regions(s, org);
	uint64_t salted = org->key ^ ZONE_SALT;
	size_t i;

	s->n_regions = 0;
	s->n_ordered = 0;
	for (i = 0; i < SHARD_REGIONS_MAX; i++) {
		if (regions & 1u << i)
			insert_ranked(s->regions, s->n_regions++, i,
				      pair_hash(org->key ^ REGION_SALT, i));
	}
	for (i = 0; i < s->n_zones; i++) {
		s->zones[i].quota = 0;
		if (regions & 1u << s->zones[i].region)
			insert_ranked(s->order, s->n_ordered++, i,
				      pair_hash(salted, s->zones[i].id));
	}
}

/* Inserts an item into `r`, which holds `n` items sorted by key. */
static void insert_ranked(struct ranked *r, size_t n, uint32_t index,
			  uint64_t hash)
{
	struct ranked new = { .key = pair_hash_unit(hash), .index = index };
	size_t i;

	for (i = n; i > 0 && r[i - 1].key > new.key; i--)
		r[i] = r[i - 1];
	r[i] = new;
}

/*
 * Distributes `size` members round-robin over the regions and, within each,
 * round-robin over its zones.
 */
static void set_quotas(struct shard_scratch *s, size_t size)
{
	bool dealt = true;
	size_t i;

	while (size > 0 && dealt) {
		dealt = false;
		for (i = 0; i < s->n_regions && size > 0; i++) {
			struct shard_zone *zone;

			zone = next_zone(s, s->regions[i].index);
			if (!zone)
				continue;
			zone->quota++;
			size--;
			dealt = true;
		}
	}
}

/* Returns the next zone of a region, NULL if the quotas of all are full. */
static struct shard_zone *next_zone(struct shard_scratch *s, uint16_t region)
{
	struct shard_zone *best = NULL;
	size_t i;

	for (i = 0; i < s->n_ordered; i++) {
		struct shard_zone *zone = &s->zones[s->order[i].index];

		if (zone->region != region || zone->quota == zone->n)
			continue;
		if (!best || zone->quota < best->quota)
			best = zone;
	}
	return best;
}

/* Appends the entries of an organisation with `share` of the total load. */
static void pick_members(struct shard_plan *plan, const struct shard_org *org,
			 double share)
{
	struct shard_scratch *s = plan->scratch;
	unsigned int size;
	size_t i;

	order_zones(s, org);
	size = shard_size(share, plan->n_members, s->n_regions, org->size);
	set_quotas(s, size);
	reserve(plan, plan->max_orgs, plan->n_entries + size);
	for (i = 0; i < s->n_zones; i++)
		pick_in_zone(plan, org, &s->zones[i]);
}

/* Appends an entry for each of the `quota` highest-ranked members of a zone. */
static void pick_in_zone(struct shard_plan *plan, const struct shard_org *org,
			 const struct shard_zone *zone)
{
	struct ranked *r = plan->scratch->ranked;
	size_t i;

	if (zone->quota == 0)
		return;
	for (i = 0; i < zone->n; i++) {
		uint64_t id = plan->members[zone->first + i].id;

		r[i].index = zone->first + i;
		r[i].key = pair_hash_unit(pair_hash(org->key, id));
	}
	select_smallest(r, zone->n, zone->quota);
	for (i = 0; i < zone->quota; i++) {
		struct shard_entry *e = &plan->entries[plan->n_entries++];

		e->member = r[i].index;
		e->share = 0;
	}
}

/*
 * Returns the entries of an organisation, sorted by zone, and sets `n` to their
 * number.
 */
const struct shard_entry *shard_entries(const struct shard_plan *plan,
					size_t org, size_t *n)
{
	assert(org < plan->n_orgs);
	*n = plan->first_entry[org + 1] - plan->first_entry[org];
	return &plan->entries[plan->first_entry[org]];
}

/*
 * Returns whether the instance `id` is in the shard of an organisation.
 */
bool shard_serves(const struct shard_plan *plan, size_t org, uint64_t id)
{
	const struct shard_entry *e;
	size_t n;
	size_t i;

	if (org >= plan->n_orgs)
		return false;
	e = shard_entries(plan, org, &n);
	for (i = 0; i < n; i++) {
		if (plan->members[e[i].member].id == id)
			return true;
	}
	return false;
}

/*
 * Returns the highest planned load of an instance, relative to the mean.
 */
double shard_max_load(const struct shard_plan *plan)
{
	double max_load = 0;
	size_t i;

	for (i = 0; i < plan->n_members; i++)
		max_load = fmax(max_load, plan->load[i]);
	return max_load;
}
