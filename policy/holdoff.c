/*
 * What an endpoint reports about itself in its answers: that it is leaving, or
 * that it wants no work for a while.  Its report takes precedence over the
 * store's entry, which arrives later, or not at all while the store is
 * unreachable.  Handles a release that replaces all endpoints during an outage
 * of the store, and endpoints so overloaded that refusing requests uses up the
 * capacity they would serve with.
 */
#include "policy/holdoff.h"

/* Upper bound of a pause.  A longer one is a mistake of its sender and would
 * take the endpoint out of use until it restarts. */
#define PAUSE_MAX_MS 3600000

/* Callers that were refused during a pause retry over this share of it, so that
 * they don't overload the endpoint again all at once. */
#define SPREAD_PERCENT 25

/* Records that the endpoint is leaving.  Only a restart of the endpoint takes
 * this back: an entry in the store may be older.  Returns true if it was not
 * known before. */
bool holdoff_set_leaving(struct holdoff *h, uint64_t now)
{
	if (h->leaving_ms)
		return false;
	h->leaving_ms = now;
	return true;
}

/* Records that the endpoint wants no work for pause_ms; of several pauses, the
 * one that ends last applies. */
void holdoff_pause(struct holdoff *h, uint64_t pause_ms, uint64_t now)
{
	uint64_t until =
		now + (pause_ms < PAUSE_MAX_MS ? pause_ms : PAUSE_MAX_MS);

	if (until > h->paused_until_ms)
		h->paused_until_ms = until;
}

/* Returns how much of the pause remains, ms; 0 if it is over. */
uint32_t holdoff_remaining_ms(const struct holdoff *h, uint64_t now)
{
	return now < h->paused_until_ms ? (uint32_t)(h->paused_until_ms - now)
					: 0;
}

/* Tells whether the endpoint may be given work. */
bool holdoff_accepts_work(const struct holdoff *h, uint64_t now)
{
	return !h->leaving_ms && now >= h->paused_until_ms;
}

/* Returns after how many ms a caller may retry that was refused because all
 * endpoints pause; left_ms is the remainder of the pause that ends first, rnd a
 * random number. */
uint32_t holdoff_retry_ms(uint32_t left_ms, uint64_t rnd)
{
	uint32_t spread = left_ms / 100 * SPREAD_PERCENT + 1;

	return left_ms + (uint32_t)(rnd % spread);
}
