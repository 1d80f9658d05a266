/*
 * The order in which a caller is given the addresses of its shard: its own
 * region first, then the rest; those suspected of being dead come last.
 * Within each group the order is drawn by the entries' shares, so that
 * callers spread as planned.  Preferring the caller's zone as well is a
 * setting: it saves a round trip between zones and costs the balance.
 */
#include <assert.h>
#include <math.h>

#include "policy/pair_hash.h"
#include "policy/shard.h"

#define GROUP_STEP 1e7 /* above any drawn key */

struct candidate {
	double key;
	uint16_t member;
};

static double entry_key(const struct shard_plan *plan,
			const struct shard_entry *e, uint16_t zone,
			uint16_t region, uint64_t rnd);
static size_t insert(struct candidate *best, size_t n, size_t max,
		     const struct candidate *c);
static void add_zone(const struct shard_plan *plan, size_t org, uint16_t region,
		     uint64_t rnd, struct candidate *best, size_t n);
static bool one_zone(const struct shard_plan *plan,
		     const struct candidate *best, size_t n);

/*
 * Writes at most `max` (and SHARD_ORDER_MAX) indices into the plan's members
 * to `out`, in the order in which a caller in `zone` of `region` should try
 * them, and returns their number.  `rnd` is drawn anew for each answer.  An
 * answer of two or more spans two zones if the shard does.
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
	e = shard_of(plan, org, &n_entries);
	for (i = 0; i < n_entries; i++) {
		c.member = e[i].member;
		c.key = entry_key(plan, &e[i], zone, region, rnd);
		n = insert(best, n, max, &c);
	}
	if (n >= 2 && n < n_entries && one_zone(plan, best, n))
		add_zone(plan, org, region, rnd, best, n);
	for (i = 0; i < n; i++)
		out[i] = best[i].member;
	return n;
}

/* Smaller goes first: the distance decides, then the draw. */
static double entry_key(const struct shard_plan *plan,
			const struct shard_entry *e, uint16_t zone,
			uint16_t region, uint64_t rnd)
{
	const struct shard_member *m = &plan->members[e->member];
	double share = e->share > 0 ? e->share : 1;
	double key = -log(pair_hash_unit(pair_hash(rnd, m->id))) *
		     SHARD_SHARE_ONE / share;

	if (plan->near == SHARD_NEAR_ZONE && m->zone != zone)
		key += GROUP_STEP;
	if (m->region != region)
		key += GROUP_STEP;
	if (m->state == MEMBER_SUSPECT)
		key += 3 * GROUP_STEP;
	return key;
}

/* Inserts into the sorted `best` of at most `max`; returns the new length. */
static size_t insert(struct candidate *best, size_t n, size_t max,
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

/* Gives the last place of `best` to the nearest entry of another zone. */
static void add_zone(const struct shard_plan *plan, size_t org, uint16_t region,
		     uint64_t rnd, struct candidate *best, size_t n)
{
	uint16_t zone = plan->members[best[0].member].zone;
	struct candidate other = { .key = INFINITY };
	struct candidate c;
	const struct shard_entry *e;
	size_t n_entries;
	size_t i;

	e = shard_of(plan, org, &n_entries);
	for (i = 0; i < n_entries; i++) {
		c.member = e[i].member;
		c.key = entry_key(plan, &e[i], zone, region, rnd);
		if (plan->members[c.member].zone != zone && c.key < other.key)
			other = c;
	}
	if (isfinite(other.key))
		best[n - 1] = other;
}
