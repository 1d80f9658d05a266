/*
 * When a run that has left an endpoint for another one is ended there.  An
 * endpoint that refuses a request does so at once, unless it is silent itself; the
 * users allow two endpoints to work on one request for 400 ms.  Handles endpoints
 * that fall silent together, of which the new one refuses when it goes on.
 */
#include "policy/handover.h"

/* Time in which the new endpoint refuses, if it does. */
#define REFUSAL_MS 250

/* A new endpoint that is busy is heard of by its other runs within this time. */
#define ASK_AFTER_MS 100

/* Tells whether the new endpoint has said anything since it was offered the run.
 * What came in the same ms may have come before. */
static bool is_heard(const struct handover *h)
{
	return h->heard_ms > h->offered_ms;
}

/* Tells whether the old endpoint has said anything since then, or never will. */
static bool old_is_heard(const struct handover *h)
{
	return h->old_ended || h->old_heard_ms > h->offered_ms;
}

/* Tells whether the new endpoint is to be asked for a sign of life. */
bool handover_should_ask(const struct handover *h, uint64_t now)
{
	return h->goes_on && !h->relayed && h->offered_ms && !is_heard(h) &&
	       now - h->offered_ms >= ASK_AFTER_MS;
}

/* Tells whether the new place can have refused the run by now.  A silent endpoint
 * has not read it.  Another instance takes it because there is no path; until there
 * is one and the old endpoint is heard of, that is out of reach and may go on
 * first. */
bool handover_can_refuse(const struct handover *h)
{
	if (!h->offered_ms)
		return false;
	if (!h->goes_on)
		return true;
	if (h->relayed)
		return !h->path_lost && old_is_heard(h);
	return h->cannot_be_asked || is_heard(h);
}

/* Tells whether the new endpoint has taken the request, so that the old run is
 * ended: it has begun its answer, or could have refused for long enough. */
bool handover_over(uint64_t can_refuse_ms_ago, bool answered)
{
	return answered || can_refuse_ms_ago >= REFUSAL_MS;
}
