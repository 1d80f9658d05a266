/*
 * Decides how long a run that has lost its endpoint waits for another one.
 * Handles all endpoints of a service that are out of reach for seconds: a caller
 * that has received events can only lose by an early end, while one that has none
 * may come back at another instance.
 */
#include "policy/lost_run_wait.h"

/* How long a run whose caller has no event yet waits. */
#define NOT_BEGUN_MS 1500

/* An endpoint that turns a run away does so again within the first of these times,
 * which doubles with each offer, up to the second one. */
#define OFFER_AGAIN_MS 200
#define OFFER_AGAIN_MAX_MS 800

/* Tells whether endpoints that a run was at are offered it again, if one turned it
 * away or broke its answer off at failed_ms (0: none has), and it was offered again
 * so many times before.  Handles endpoints that are all full or fail all at once, of
 * which each offer uses an attempt and a repeat. */
bool lost_run_offered_again(uint64_t failed_ms, uint32_t offers, uint64_t now)
{
	uint64_t wait_ms = OFFER_AGAIN_MS;

	while (offers-- && wait_ms < OFFER_AGAIN_MAX_MS)
		wait_ms *= 2;
	return !failed_ms || now - failed_ms >= wait_ms;
}

/* Returns the time, ms, of left_ms until the caller's deadline.  out_of_reach tells
 * that no endpoint that continues the run can be reached, or that all have reached
 * their limits, which its caller would find at any instance; one that is only full,
 * or has another version, is not waited for that long. */
uint32_t lost_run_wait_ms(bool begun, bool out_of_reach, uint64_t left_ms)
{
	if (begun && out_of_reach)
		return left_ms < UINT32_MAX ? (uint32_t)left_ms : UINT32_MAX;
	return left_ms < NOT_BEGUN_MS ? (uint32_t)left_ms : NOT_BEGUN_MS;
}
