/*
 * How often the store is asked.  Changes come in bursts, as when a zone's
 * endpoints vanish; a short wait after each answer gathers them into one more
 * answer.  During an outage instances ask less and less often, and not at the
 * same moment.
 */
#include "policy/reread.h"

/* Changes are gathered for this time; with many instances longer, since each
 * asks for itself, and the platform bills every call. */
#define GATHER_MS 400
#define GATHER_PER_INSTANCE_MS 8
#define GATHER_MAX_MS 700

#define RETRY_MIN_MS 150
#define RETRY_MAX_MS 800

/* A single failed call is not an outage. */
#define OUTAGE_FAILURES 2

/* Returns how long to wait before the next call, ms. */
uint32_t reread_after_failure(struct reread *r, uint64_t now, uint64_t rnd)
{
	uint32_t wait = RETRY_MAX_MS;

	if (!r->failures++)
		r->failed_ms = now;
	if (r->failures < 3)
		wait = RETRY_MIN_MS << r->failures;
	return wait / 2 + (uint32_t)(rnd % (wait / 2 + 1));
}

/* The store answered; returns how long to gather changes, ms. */
uint32_t reread_after_success(struct reread *r, size_t instances,
			      uint64_t now)
{
	size_t wait = GATHER_MS + instances * GATHER_PER_INSTANCE_MS;

	if (r->failures >= OUTAGE_FAILURES)
		r->back_ms = now;
	r->failures = 0;
	return wait > GATHER_MAX_MS ? GATHER_MAX_MS : (uint32_t)wait;
}
