/*
 * The order in which a caller receives the addresses of its shard: its own
 * region first, then the others; suspect members come last.  Within each group
 * the order is random, weighted by the entries' shares, so that callers spread
 * as planned.  SHARD_LOCALITY_ZONE also prefers the caller's zone, which saves
 * a round trip between zones at the cost of balance.
 */
#include <assert.h>
#include <math.h>

#include "policy/pair_hash.h"
#include "policy/shard.h"

#define GROUP_KEY_STEP 1e7 /* above any random key */

struct candidate {
	double key;
	uint16_t member;
};

static double entry_key(const struct shard_plan *plan,
			const struct shard_entry *e, uint16_t zone,
			uint16_t region, uint64_t rnd);
static size_t insert_sorted(struct candidate *best, size_t n, size_t max,
			    const struct candidate *c);
static void add_other_zone(const struct shard_plan *plan, size_t org,
			   uint16_t region, uint64_t rnd,
			   struct candidate *best, size_t n);
static bool one_zone(const struct shard_plan *plan,
		     const struct candidate *best, size_t n);

/*
 * Writes at most `max` (and SHARD_ORDER_MAX) indices into the plan's members
 * to `out`, in the order in which a caller in `zone` of `region` should try
 * them, and returns their number.  `rnd` is a new random number for each call.
 * A result of two or more spans two zones if the shard does.
 */
size_t shard_order(const struct shard_plan *plan, size_t org, uint16_t zone,
		   uint16_t region, uint64_t rnd, uint16_t *out, size_t max)
{
	struct candidate best[SHARD_ORDER_MAX] = { 0 };
	struct candidate c;
	const struct shard_entry *e;
	size_t n_entries;
	size_t n = 0;
	size_t i;

	if (max > SHARD_ORDER_MAX)
		max = SHARD_ORDER_MAX;
	e = shard_entries(plan, org, &n_entries);
	for (i = 0; i < n_entries; i++) {
		c.member = e[i].member;
		c.key = entry_key(plan, &e[i], zone, region, rnd);
		n = insert_sorted(best, n, max, &c);
	}
	if (n >= 2 && n < n_entries && one_zone(plan, best, n))
		add_other_zone(plan, org, region, rnd, best, n);
	for (i = 0; i < n; i++)
		out[i] = best[i].member;
	return n;
}

/*
 * Returns the sort key of an entry, smallest first: by distance, then by the
 * weighted random number.
 */
static double entry_key(const struct shard_plan *plan,
			const struct shard_entry *e, uint16_t zone,
			uint16_t region, uint64_t rnd)
{
	const struct shard_member *m = &plan->members[e->member];
	double share = e->share > 0 ? e->share : 1;
	double key = -log(pair_hash_unit(pair_hash(rnd, m->id))) *
		     SHARD_SHARE_ONE / share;

	if (plan->locality == SHARD_LOCALITY_ZONE && m->zone != zone)
		key += GROUP_KEY_STEP;
	if (m->region != region)
		key += GROUP_KEY_STEP;
	if (m->state == MEMBER_SUSPECT)
		key += 3 * GROUP_KEY_STEP;
	return key;
}

/* Inserts `c` into the sorted `best` of up to `max`; returns the new length. */
static size_t insert_sorted(struct candidate *best, size_t n, size_t max,
			    const struct candidate *c)
{
	size_t i;

	if (n == max && (n == 0 || best[n - 1].key <= c->key))
		return n;
	if (n < max)
		n++;
	for (i = n - 1; i > 0 && best[i - 1].key > c->key; i--)
		best[i] = best[i - 1];
	best[i] = *c;
	return n;
}

static bool one_zone(const struct shard_plan *plan,
		     const struct candidate *best, size_t n)
{
	uint16_t zone = plan->members[best[0].member].zone;
	size_t i;

	for (i = 1; i < n; i++) {
		if (plan->members[best[i].member].zone != zone)
			return false;
	}
	return true;
}

/* Replaces the last item of `best` by the first entry of another zone. */
static void add_other_zone(const struct shard_plan *plan, size_t org,
			   uint16_t region, uint64_t rnd,
			   struct candidate *best, size_t n)
{
	uint16_t zone = plan->members[best[0].member].zone;
	struct candidate other = { .key = INFINITY };
	struct candidate c;
	const struct shard_entry *e;
	size_t n_entries;
	size_t i;

	e = shard_entries(plan, org, &n_entries);
	for (i = 0; i < n_entries; i++) {
		c.member = e[i].member;
		c.key = entry_key(plan, &e[i], zone, region, rnd);
		if (plan->members[c.member].zone != zone && c.key < other.key)
			other = c;
	}
	if (isfinite(other.key))
		best[n - 1] = other;
}
