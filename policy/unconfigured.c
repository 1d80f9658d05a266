/*
 * Decides when a caller retries that was refused by a process without a
 * configuration.  Handles all instances being killed while the store is
 * unreachable: a caller that retries within a moment is refused again, and has
 * no attempt left when the store is reachable again.
 */
#include "policy/unconfigured.h"

/* Another instance can take the request at once. */
#define PEER_RETRY_MS 100

/* If no instance has a configuration, the caller waits for the store: longer if
 * it has more time, up to a limit that leaves a stream time for its first
 * event. */
#define DEADLINE_PART 6
#define RETRY_MIN_MS 300
#define RETRY_MAX_MS 3000

/* Retries are spread over this part of the time. */
#define SPREAD_PERCENT 25

/* Returns the time after which a caller may retry, in ms.  deadline_ms is the
 * caller's total time limit, 0 if it names none; configured_peer: another live
 * instance has a configuration. */
uint32_t unconfigured_retry_ms(uint64_t deadline_ms, bool configured_peer,
			       uint64_t rnd)
{
	uint64_t ms = deadline_ms / DEADLINE_PART;

	if (configured_peer)
		return PEER_RETRY_MS;
	if (ms < RETRY_MIN_MS)
		ms = RETRY_MIN_MS;
	if (ms > RETRY_MAX_MS)
		ms = RETRY_MAX_MS;
	return (uint32_t)(ms - rnd % (ms * SPREAD_PERCENT / 100));
}
