/*
 * When a copy of a run's memory is ordered.  Zones are lost one after another,
 * and a stream lives through more than one loss: the first takes its copy, the
 * second the run itself.
 */
#include "policy/copy.h"

/* A copy is made within 100 ms; an order that failed finds another endpoint
 * or more room after this time. */
#define TRY_AGAIN_MS 400

/* A copy that was ordered lapses after 4 s; ordering it again sends only what
 * is new. */
#define REFRESH_MS 2500

/* Tells whether a copy is to be ordered now. */
bool copy_due(const struct copy_run *run, uint64_t now)
{
	if (!run->begun)
		return false;
	if (run->tried_ms && now - run->tried_ms < TRY_AGAIN_MS)
		return false;
	if (!run->has_copy)
		return true;
	return run->ordered && now - run->made_ms >= REFRESH_MS;
}
