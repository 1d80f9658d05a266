/*
 * What admission expects and reports: how fast slots drain, how long a request
 * would wait, when a refused caller should come back, and figures of its state.
 */
#include "policy/admit_wait.h"

#include <math.h>

static double org_drain_per_ms(const struct admit *a, uint32_t org);
static double fairness_delay_ms(const struct admit *a, uint32_t org);

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
 * How long the others take to catch up with slot time that the organisation
 * has had beyond its share.
 */
static double fairness_delay_ms(const struct admit *a, uint32_t org)
{
	const struct admit_org *o = &a->q.org[org];
	double weight = (double)a->q.waiting_weight;

	if (o->virtual_start <= a->q.virtual_now)
		return 0;
	if (!o->queued)
		weight += o->weight;
	return (o->virtual_start - a->q.virtual_now) * weight / a->params.slots;
}

/*
 * Expected wait of a request with ahead others of its organisation before it,
 * by its fair share, and at least what its limit asks.  The organisations that
 * wait now are taken to go on waiting.
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
		return (excess + ahead + 1) / drain;
	if (a->running >= a->params.slots || a->q.ready.n)
		wait = ahead / org_drain_per_ms(a, org) +
		       fmax(fairness_delay_ms(a, org), 1 / drain) +
		       (a->q.queued_resumes + excess) / drain;
	if (over > 0)
		wait = fmax(wait, over * rate_service_ms(&a->rate) / o->limit);
	return wait;
}

/*
 * What to add to an expected wait so that few wait longer: standard deviations
 * of the time that as many independent completions take.
 */
double admit_margin_ms(const struct admit *a, uint32_t org, double wait)
{
	double gap = 1 / org_drain_per_ms(a, org);

	return sqrt(wait * gap) * a->params.margin_permille / 1000;
}

/*
 * What refused callers that come back, and go first, add to a wait: their part
 * of the drain rate is not there for new requests.
 */
double admit_reserved_ms(const struct admit *a, uint32_t org, double wait,
		     uint64_t now)
{
	const struct admit_org *o = &a->q.org[org];
	double promised;

	if (o->reserved_until_ms <= now)
		return 0;
	promised = fmin((double)(o->reserved_until_ms - now), wait);
	return promised * a->params.reserved_permille /
	       (1000 - a->params.reserved_permille);
}

/*
 * The time that a refused caller of the organisation is told.  Each gets one
 * of its own, a promised part of the drain rate apart; past the longest
 * Retry-After the times are drawn from its later half instead, and promise
 * nothing.
 */
uint64_t admit_retry_time(struct admit *a, uint32_t org, double late_ms,
			    uint64_t now, uint64_t rnd, bool *promised)
{
	struct admit_org *o = &a->q.org[org];
	double max = (double)a->params.retry_max_s * MS_PER_S;
	double gap = 1000 / (org_drain_per_ms(a, org) *
			     fmax(a->params.reserved_permille, 1));
	double wait = fmax(late_ms, gap);

	if (o->reserved_until_ms > now)
		wait = fmax(wait, (double)(o->reserved_until_ms - now) + gap);
	*promised = wait < max;
	if (!*promised) {
		wait = max / 2 + max / 2 * (double)(rnd >> 11) * 0x1p-53;
		return now + (uint64_t)wait;
	}
	o->reserved_until_ms = now + (uint64_t)wait;
	return o->reserved_until_ms;
}

/* Bytes that admission of this size takes. */
size_t admit_bytes(const struct admit_params *params)
{
	return sizeof(struct admit) +
	       admit_queue_bytes(params->orgs_max, 2 * params->queue_max) +
	       params->reservations_max * sizeof(struct reservation);
}

/* Requests of the organisation that run here. */
uint32_t admit_org_running(const struct admit *a, uint32_t org)
{
	return a->q.org[org].running;
}

/* Requests of the organisation that wait here. */
uint32_t admit_org_queued(const struct admit *a, uint32_t org)
{
	return a->q.org[org].queued;
}

/* Figures for the counters and for the load report. */
struct admit_stats admit_stats(const struct admit *a)
{
	return (struct admit_stats){
		.slots = a->params.slots,
		.running = a->running,
		.running_resumes = a->running_resumes,
		.queued = a->q.queued,
		.queued_resumes = a->q.queued_resumes,
		.drain_per_s = admit_drain_per_ms(a) * MS_PER_S,
	};
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
