/*
 * Estimates and statistics of admission: the drain rate of the slots, the
 * expected wait of a request and the retry time of a refused caller.
 */
#include "policy/admit_wait.h"

#include <math.h>

static double org_drain_per_ms(const struct admit *a, uint32_t org);
static double fairness_delay_ms(const struct admit *a, uint32_t org);

/* Returns the completions per millisecond with all slots in use. */
double admit_drain_per_ms(const struct admit *a)
{
	return a->params.slots / rate_service_ms(&a->rate);
}

/*
 * Returns the organisation's part of the drain rate, by weight among the
 * organisations with waiting requests, and at most what its limit allows.
 */
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
 * Returns how long the organisation has to wait until the others have received
 * as much slot time by weight, if it has received more than its share.
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
 * Returns the expected wait of a request that follows `ahead` others of its
 * organisation: the wait by its fair share, or the wait for its limit if that
 * is longer.  Assumes that the organisations with waiting requests continue to
 * have some.
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
 * Returns the margin to add to an expected wait so that few requests wait
 * longer: margin_permille standard deviations of the time that this number of
 * independent completions takes.
 */
double admit_margin_ms(const struct admit *a, uint32_t org, double wait)
{
	double gap = 1 / org_drain_per_ms(a, org);

	return sqrt(wait * gap) * a->params.margin_permille / 1000;
}

/*
 * Returns what reservations add to the wait of a new request: refused callers
 * that return go first, so their part of the drain rate is not available.
 */
double admit_reserved_ms(const struct admit *a, uint32_t org, double wait,
			 uint64_t now)
{
	const struct admit_org *o = &a->q.org[org];
	double reserved_ms;

	if (o->reserved_until_ms <= now)
		return 0;
	reserved_ms = fmin((double)(o->reserved_until_ms - now), wait);
	return reserved_ms * a->params.reserved_permille /
	       (1000 - a->params.reserved_permille);
}

/*
 * Returns the time at which a refused caller of the organisation should retry,
 * and sets *reserved to whether capacity is reserved for it.  Each caller gets
 * a time of its own, spaced by the reserved part of the drain rate.  Beyond the
 * longest Retry-After, times are drawn at random from the later half of that
 * period, without a reservation.
 */
uint64_t admit_retry_time(struct admit *a, uint32_t org, double late_ms,
			  uint64_t now, uint64_t rnd, bool *reserved)
{
	struct admit_org *o = &a->q.org[org];
	double max = (double)a->params.retry_max_s * MS_PER_S;
	double gap = 1000 / (org_drain_per_ms(a, org) *
			     fmax(a->params.reserved_permille, 1));
	double wait = fmax(late_ms, gap);

	if (o->reserved_until_ms > now)
		wait = fmax(wait, (double)(o->reserved_until_ms - now) + gap);
	*reserved = wait < max;
	if (!*reserved) {
		wait = max / 2 + max / 2 * (double)(rnd >> 11) * 0x1p-53;
		return now + (uint64_t)wait;
	}
	o->reserved_until_ms = now + (uint64_t)wait;
	return o->reserved_until_ms;
}

/* Returns the number of bytes that admit_new() allocates for params. */
size_t admit_bytes(const struct admit_params *params)
{
	return sizeof(struct admit) +
	       admit_queue_bytes(params->orgs_max, 2 * params->queue_max) +
	       params->reservations_max * sizeof(struct reservation);
}

/* Returns how many requests of the organisation run on this instance. */
uint32_t admit_org_running(const struct admit *a, uint32_t org)
{
	return a->q.org[org].running;
}

/* Returns how many requests of the organisation wait on this instance. */
uint32_t admit_org_queued(const struct admit *a, uint32_t org)
{
	return a->q.org[org].queued;
}

/* Returns the state of admission, for metrics and the load report. */
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

/* Returns the reason of a refusal as a sentence for people to read. */
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
