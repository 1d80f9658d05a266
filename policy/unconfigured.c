/*
 * When the callers of a process that knows no configuration yet are to come back.
 * Answers the pattern of all instances killed while the store is away: a caller
 * that comes again within a moment is refused again, and has no try left when the
 * store is back.
 */
#include "policy/unconfigured.h"

/* Another instance takes the request at once. */
#define ELSEWHERE_MS 100

/* Where none knows more, the store's return is waited for: the longer the more
 * time the caller has, up to what leaves a stream time for its first event. */
#define DEADLINE_PART 6
#define RETRY_MIN_MS 300
#define RETRY_MAX_MS 3000

/* Callers come back over this part of it, and not at once. */
#define SPREAD_PERCENT 25

/* Returns the time after which a caller may come back, ms; deadline_ms is how long
 * it waits in all, 0 if it does not say; elsewhere: another instance that lives
 * knows a configuration. */
uint32_t unconfigured_retry_ms(uint64_t deadline_ms, bool elsewhere,
			       uint64_t rnd)
{
	uint64_t ms = deadline_ms / DEADLINE_PART;

	if (elsewhere)
		return ELSEWHERE_MS;
	if (ms < RETRY_MIN_MS)
		ms = RETRY_MIN_MS;
	if (ms > RETRY_MAX_MS)
		ms = RETRY_MAX_MS;
	return (uint32_t)(ms - rnd % (ms * SPREAD_PERCENT / 100));
}
