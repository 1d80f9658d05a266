/*
 * What a reader of the store does when the store returns from a copy.  Each
 * return begins a new era: what was written since the copy is gone, and
 * versions are given out again.  The tables are then read anew, and what is
 * missing from the copy stays in use until it is written again.
 */
#include "policy/store_era.h"

/* Time over which instances that learn of a new era from others spread their
 * calls, as the store bounds the calls of all instances together. */
#define SPREAD_PER_INSTANCE_MS 3
#define SPREAD_MAX_MS 1000

/* Time in which an instance that was not heard of writes its entry again. */
#define INSTANCE_RELIST_MS 10000

/* Compares an era with the newest one known; 0 stands for an unknown era, as in
 * messages of older programs. */
enum store_era_order store_era_compare(uint64_t known, uint64_t seen)
{
	if (!known || !seen || known == seen)
		return STORE_ERA_SAME;
	return seen < known ? STORE_ERA_OLDER : STORE_ERA_NEWER;
}

/* Records an era that was seen, 0 if it is unknown.  Returns false if it is
 * older than the newest one known. */
bool store_era_note(uint64_t *known, uint64_t seen)
{
	enum store_era_order order = store_era_compare(*known, seen);

	if (order == STORE_ERA_NEWER || !*known)
		*known = seen;
	return order != STORE_ERA_OLDER;
}

/* Returns how long an instance waits before it reads the tables anew and writes
 * its entry, ms.  One that the store itself told of the era waits for nothing;
 * rnd is a random number for the others. */
uint32_t store_era_delay_ms(size_t instances, bool first_hand, uint64_t rnd)
{
	size_t spread = instances * SPREAD_PER_INSTANCE_MS;

	if (first_hand)
		return 0;
	if (spread > SPREAD_MAX_MS)
		spread = SPREAD_MAX_MS;
	return (uint32_t)(rnd % (spread + 1));
}

/* Tells whether an instance whose entry is missing from the copy stays listed.
 * missing_ms is when that was seen.  A live one stays, as it writes its entry
 * again as soon as it can; so does one whose last sign of life may be late. */
bool store_era_keeps_instance(uint64_t missing_ms, bool alive, uint64_t now)
{
	return alive || now - missing_ms < INSTANCE_RELIST_MS;
}
