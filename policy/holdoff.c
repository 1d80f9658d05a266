/*
 * What an endpoint says of itself in its answers: that it leaves, or that it
 * wants nothing for a while.  Its own word goes before the store's, which comes
 * later, or not at all while the store is away.  Answers two patterns: a release
 * that replaces all endpoints during an outage of the store, and endpoints that
 * are pressed so hard that refusing work uses up what they could serve with.
 */
#include "policy/holdoff.h"

/* The longest pause that is believed; a longer one is a mistake of its sender's
 * and would take the endpoint out of use until it starts again. */
#define PAUSE_MAX_MS 3600000

/* Callers that were refused over a pause come back over this part of it, so
 * that they don't press the endpoint again all at once. */
#define SPREAD_PERCENT 25

/* The endpoint leaves.  Nothing but a new start of it takes that back: an entry
 * of the store may have been written before.  Returns true if it is news. */
bool holdoff_leaving(struct holdoff *h, uint64_t now)
{
	if (h->leaving_ms)
		return false;
	h->leaving_ms = now;
	return true;
}

/* The endpoint wants nothing for so long; of several pauses the one that ends
 * last stands. */
void holdoff_pause(struct holdoff *h, uint64_t pause_ms, uint64_t now)
{
	uint64_t until =
		now + (pause_ms < PAUSE_MAX_MS ? pause_ms : PAUSE_MAX_MS);

	if (until > h->until_ms)
		h->until_ms = until;
}

/* Returns how much of the pause is left; 0 if it is over. */
uint32_t holdoff_left_ms(const struct holdoff *h, uint64_t now)
{
	return now < h->until_ms ? (uint32_t)(h->until_ms - now) : 0;
}

/* Tells whether the endpoint may be given work. */
bool holdoff_takes_work(const struct holdoff *h, uint64_t now)
{
	return !h->leaving_ms && now >= h->until_ms;
}

/* Returns when a caller may come back that was refused since the first pause to
 * end is not over. */
uint32_t holdoff_retry_ms(uint32_t left_ms, uint64_t rnd)
{
	uint32_t spread = left_ms / 100 * SPREAD_PERCENT + 1;

	return left_ms + (uint32_t)(rnd % spread);
}
