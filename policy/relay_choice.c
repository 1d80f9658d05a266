/*
 * Chooses the instance that serves a request in place of one that has no path to
 * the endpoints of its service.  Handles some, most or all instances of a zone
 * that are cut off at once: those that are left share the work, over all zones
 * if too few of the own zone are left.
 */
#include "policy/relay_choice.h"

/* An instance that endpoints answered within this time, and the interval between
 * its reports, reaches them. */
#define ANSWERED_MS 1000

/* The own zone's instances serve for so many that are cut off, each. */
#define CUT_OFF_EACH 2

/* How well an instance is known to reach the endpoints; lower is better.  An idle
 * one has had no request for the service yet, and tells nothing of it. */
enum tier { FRESH, OLDER, IDLE, OUTDATED, STOPPING, TIERS };

/* At least this part of the instances must be left for callers to be sent away
 * from those that are cut off: with fewer, these are of more use as they are. */
#define LEFT_MIN_PERCENT 50

/* Tells whether callers are sent only to the instances that reach all services'
 * endpoints, given their number and that of all. */
bool relay_directory_omits(size_t reaching, size_t all)
{
	return reaching && reaching < all &&
	       reaching * 100 >= all * LEFT_MIN_PERCENT;
}

/* Returns the tier of an instance, TIERS if it must not be chosen. */
static enum tier tier_of(const struct relay_candidate *c, uint32_t interval_ms)
{
	if (!c->usable || c->lost)
		return TIERS;
	if (c->stopping)
		return STOPPING;
	if (c->outdated)
		return OUTDATED;
	if (!c->answered)
		return IDLE;
	return c->answered_ms_ago < ANSWERED_MS + interval_ms ? FRESH : OLDER;
}

/* Returns the index of one of n instances, at random among the best, or
 * RELAY_NONE.  Reports come every interval_ms. */
size_t relay_choose(const struct relay_candidate *c, size_t n,
		    uint32_t interval_ms, uint64_t rnd)
{
	size_t found[2][TIERS] = { { 0 } }; /* by own zone */
	size_t cut_off = 1; /* in the own zone, this instance included */
	enum tier tier = FRESH;
	bool near;
	size_t left;
	size_t i;

	for (i = 0; i < n; i++) {
		enum tier t = tier_of(&c[i], interval_ms);

		if (t < TIERS)
			found[c[i].own_zone][t]++;
		cut_off += c[i].own_zone && c[i].lost;
	}
	while (tier < TIERS && !found[0][tier] && !found[1][tier])
		tier++;
	if (tier == TIERS)
		return RELAY_NONE;
	near = found[1][tier] * CUT_OFF_EACH >= cut_off;
	left = near ? found[1][tier] : found[0][tier] + found[1][tier];
	left = rnd % left;
	for (i = 0; i < n; i++) {
		if (tier_of(&c[i], interval_ms) != tier ||
		    (near && !c[i].own_zone))
			continue;
		if (!left--)
			return i;
	}
	return RELAY_NONE;
}
