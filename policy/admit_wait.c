/*
 * What admission expects: how fast slots drain, how long a request would wait,
 * and when a refused caller should come back.
 */
#include "policy/admit_wait.h"

#include <math.h>

static double org_drain_per_ms(const struct admit *a, uint32_t org);

/* Completions a millisecond when all slots are in use. */
double admit_drain_per_ms(const struct admit *a)
{
	return a->params.slots / rate_service_ms(&a->rate);
}

/* The organisation's part of that, by weight among those waiting. */
static double org_drain_per_ms(const struct admit *a, uint32_t org)
{
	const struct admit_org *o = &a->q.org[org];
	double weight = (double)a->q.waiting_weight;
	double drain = admit_drain_per_ms(a);

	if (!o->queued)
		weight += o->weight;
	drain *= o->weight / weight;
	return fmin(drain, o->limit / rate_service_ms(&a->rate));
}

/*
 * Expected wait of a request with ahead others of its organisation before it.
 * It is the least of what the fair share and the whole queue give, and at
 * least what the organisation's limit asks.
 */
double admit_wait_ms(const struct admit *a, uint32_t org, uint32_t ahead,
		     bool resume)
{
	const struct admit_org *o = &a->q.org[org];
	double drain = admit_drain_per_ms(a);
	double over = (double)o->running + ahead + 1 - o->limit;
	double wait = 0;
	double excess = 0;

	if (!a->params.slots)
		return INFINITY;
	if (a->running > a->params.slots)
		excess = a->running - a->params.slots;
	if (resume)
		return a->running < a->params.slots
			       ? 0
			       : (excess + ahead + 1) / drain;
	if (a->running >= a->params.slots)
		wait = fmin((ahead + 1) / org_drain_per_ms(a, org) +
				    a->q.queued_resumes / drain,
			    (a->q.queued + 1) / drain) +
		       excess / drain;
	if (over > 0)
		wait = fmax(wait, over * rate_service_ms(&a->rate) / o->limit);
	return wait;
}

/* Part of the wait to be left to refused callers that come back by then. */
double admit_room_ms(const struct admit *a, uint32_t org, double wait,
		     uint64_t now)
{
	const struct admit_org *o = &a->q.org[org];
	double promised;

	if (o->promise_ms <= now)
		return 0;
	promised = fmin((double)(o->promise_ms - now), wait);
	return promised * a->params.return_permille / 1000;
}

/*
 * The time that a refused caller of the organisation is told.  Each gets one
 * of its own, a promised part of the drain rate apart; past the longest
 * Retry-After the times are drawn from its later half instead.
 */
uint64_t admit_promise_time(struct admit *a, uint32_t org, double late_ms,
			    uint64_t now, uint64_t rnd)
{
	struct admit_org *o = &a->q.org[org];
	double max = (double)a->params.retry_max_s * MS_PER_S;
	double gap = 1000 / (org_drain_per_ms(a, org) *
			     fmax(a->params.return_permille, 1));
	double wait = fmax(late_ms, gap);

	if (o->promise_ms > now)
		wait = fmax(wait, (double)(o->promise_ms - now) + gap);
	if (wait >= max) {
		wait = max / 2 + max / 2 * (double)(rnd >> 11) * 0x1p-53;
		return now + (uint64_t)wait;
	}
	o->promise_ms = now + (uint64_t)wait;
	return o->promise_ms;
}

/* The reason of a refusal as a sentence for a person. */
const char *admit_reason_text(enum admit_reason reason)
{
	switch (reason) {
	case ADMIT_REASON_NONE:
		return "The request was not refused.";
	case ADMIT_REASON_DEADLINE:
		return "The request would not have started in time for its "
		       "deadline.";
	case ADMIT_REASON_QUEUE_FULL:
		return "Too many requests are waiting.";
	case ADMIT_REASON_ORG_QUEUE_FULL:
		return "Too many requests of this organisation are waiting.";
	case ADMIT_REASON_NO_CAPACITY:
		return "No endpoint of the service is up.";
	case ADMIT_REASON_ORG_UNKNOWN:
		return "The organisation is not known here.";
	case ADMIT_REASON_ORG_CLOSED:
		return "The organisation's limit is zero.";
	}
	return "Unknown reason.";
}
