/*
 * Entries of endpoints that vanish from the store.  One that was removed while
 * the store works is gone.  One that lapsed during an outage is written again
 * soon after the outage if its endpoint lives, so it is used until then.
 */
#include "policy/lapse.h"

/* Live endpoints are back in the store within this time of its return. */
#define RETURN_MS 2000

/* A removal this soon after an outage is put down to the outage. */
#define OUTAGE_ECHO_MS 1500

/* The entry was removed; outage_end_ms is when the store last came back for
 * this instance, 0 if it never was away. */
void lapse_removed(struct lapse *l, uint64_t outage_end_ms, uint64_t now)
{
	l->removed = true;
	l->removed_ms = now;
	l->hold_until_ms = 0;
	if (outage_end_ms && now < outage_end_ms + OUTAGE_ECHO_MS)
		l->hold_until_ms = outage_end_ms + RETURN_MS;
}

/* The entry was written again. */
void lapse_returned(struct lapse *l)
{
	l->removed = false;
	l->hold_until_ms = 0;
}

/* Tells whether the endpoint may be given work. */
bool lapse_takes_work(const struct lapse *l, uint64_t now)
{
	return !l->removed || now < l->hold_until_ms;
}
