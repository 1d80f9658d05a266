/*
 * When a run that has left an endpoint for another one is ended there.  An
 * endpoint that refuses a request does so at once; the users allow two
 * endpoints to work on one request for 400 ms.
 */
#include "policy/handover.h"

/* Time in which the new endpoint refuses, if it does. */
#define REFUSAL_MS 250

/* Tells whether the new endpoint has taken the request, so that the old run is
 * ended: it has begun its answer, or has had the request for long enough. */
bool handover_over(uint64_t sent_ms_ago, bool answered)
{
	return answered || sent_ms_ago >= REFUSAL_MS;
}
