/*
 * Decides when a copy of a run's KV cache is ordered.  Zones may be lost one
 * after another, and a stream has to survive more than one loss: the first loss
 * may take its copy, the second the run itself.
 */
#include "policy/kv_copy.h"

/* A copy takes less than 100 ms.  After this time a retry may find another
 * endpoint or more free capacity. */
#define RETRY_MS 400

/* An ordered copy expires after 4 s.  Ordering it again transfers only what is
 * new. */
#define REFRESH_MS 2500

/* Returns whether a copy is to be ordered now. */
bool kv_copy_due(const struct kv_copy_state *run, uint64_t now)
{
	if (!run->prefill_done)
		return false;
	if (run->last_order_ms && now - run->last_order_ms < RETRY_MS)
		return false;
	if (!run->has_copy)
		return true;
	return run->ordered && now - run->made_ms >= REFRESH_MS;
}
