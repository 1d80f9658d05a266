/*
 * When a copy of a run's memory is ordered.  Zones are lost one after another,
 * and a stream lives through more than one loss: the first takes its copy, the
 * second the run itself.
 */
#include "policy/kv_copy.h"

/* A copy is made within 100 ms; an order that failed finds another endpoint
 * or more room after this time. */
#define TRY_AGAIN_MS 400

/* A copy that was ordered lapses after 4 s; ordering it again sends only what
 * is new. */
#define REFRESH_MS 2500

/* Tells whether a copy is to be ordered now. */
bool kv_copy_due(const struct kv_copy_state *run, uint64_t now)
{
	if (!run->prefill_done)
		return false;
	if (run->last_order_ms && now - run->last_order_ms < TRY_AGAIN_MS)
		return false;
	if (!run->has_copy)
		return true;
	return run->ordered && now - run->made_ms >= REFRESH_MS;
}
