/*
 * Which other instances callers are sent to.  Each tells all others that it
 * lives; the interval grows with their number, so that what an instance hears
 * stays bounded.
 */
#include "policy/presence.h"

/* Datagrams that an instance takes in a second, at most about. */
#define HEARD_PER_S 70

#define INTERVAL_MIN_MS 250
#define INTERVAL_MAX_MS 4000
#define MS_PER_S 1000

/* Intervals without a word after which an instance counts as gone: two lost
 * datagrams in a row are rare. */
#define SILENT_INTERVALS 4

/* An instance that was just listed is given this time to be heard. */
#define NEW_MS 1500

/* Returns how often an instance tells the others that it lives, ms. */
uint32_t presence_interval_ms(size_t instances)
{
	size_t ms = instances * MS_PER_S / HEARD_PER_S;

	if (ms < INTERVAL_MIN_MS)
		return INTERVAL_MIN_MS;
	return ms > INTERVAL_MAX_MS ? INTERVAL_MAX_MS : (uint32_t)ms;
}

/* Tells whether callers may be sent to an instance. */
bool presence_alive(const struct presence *p, size_t instances, uint64_t now)
{
	uint64_t patience =
		(uint64_t)presence_interval_ms(instances) * SILENT_INTERVALS;

	if (p->leaving)
		return false;
	if (!p->heard_ms)
		return now - p->listed_ms < NEW_MS;
	if (!p->configured)
		return false;
	return now - p->heard_ms < patience;
}

/* Tells whether an instance is stopping and still takes what ends in time:
 * callers are sent there only if there is no other. */
bool presence_stopping(const struct presence *p, size_t instances, uint64_t now)
{
	struct presence as_if = *p;

	as_if.leaving = false;
	return p->leaving && p->heard_ms &&
	       presence_alive(&as_if, instances, now);
}

/* Tells whether this instance hears so few that it is the one cut off, and
 * its view of the others is worth nothing. */
bool presence_cut_off(size_t alive, size_t listed)
{
	return listed >= 2 && !alive;
}
