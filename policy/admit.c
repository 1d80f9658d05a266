/*
 * Admission at one instance.  A request runs at once if there is a slot, waits
 * in its organisation's queue if it will start in time for its deadline, and
 * is refused at once otherwise.  A refused caller is told a time of its own to
 * come back at, spaced by the rate at which its organisation's work drains,
 * and new requests leave room for those that come back on time.
 */
#include "policy/admit.h"

#include <assert.h>
#include <stdlib.h>

#include "lib/xalloc.h"
#include "policy/admit_wait.h"

enum {
	TICKET_INDEX_BITS = 20,
	NO_CAPACITY_RETRY_MS = 3000,
	RETURN_RESERVE_DIVISOR = 8, /* one part of the queue, for returning calls */
	RECHECK_LOSS_DIVISOR = 8, /* a loss of this part of the slots */
};

const struct admit_params admit_defaults = {
	.slots = 0,
	.orgs_max = 2048,
	.queue_max = 4096,
	.org_queue_max = 1024,
	.resume_permille = 200,
	.service_prior_ms = 5000,
	.rate_decay_ms = 30000,
	.reserved_permille = 300,
	.margin_permille = 2000,
	.reservations_max = 16384,
	.retry_max_s = 600,
};

static enum admit_reason org_refusal_reason(const struct admit *a, uint32_t org);
static enum admit_reason queue_full_reason(const struct admit *a,
			      const struct admit_request *req, bool returning);
static bool may_run(const struct admit *a, const struct admit_request *req);
static struct admit_decision refuse(struct admit *a,
				   const struct admit_request *req,
				   enum admit_reason reason, double late_ms,
				   uint64_t now, uint64_t rnd);
static struct admit_decision start(struct admit *a,
				  const struct admit_request *req,
				  uint64_t waited_ms);
static struct admit_decision start_entry(struct admit *a, uint32_t e,
					uint64_t now);
static struct admit_decision refuse_entry(struct admit *a, uint32_t e,
					 uint64_t now, uint64_t rnd);
static double expected_wait_ms(const struct admit *a,
			       const struct admit_request *req, bool returning,
			       uint64_t now);
static struct admit_decision enqueue(struct admit *a,
				    const struct admit_request *req,
				    bool returning, double wait, uint64_t now,
				    uint64_t rnd);
static struct admit_request entry_request(const struct admit *a, uint32_t e);
static uint32_t next_entry(const struct admit *a);
static void recheck_list_deadlines(struct admit *a, uint32_t org, uint32_t head,
			 uint32_t *ahead, uint64_t now);
static void recheck_deadlines(struct admit *a, uint64_t now);

/* Takes all memory that admission will use.  Organisations start unknown. */
struct admit *admit_new(const struct admit_params *params, uint64_t now)
{
	struct admit *a = xcalloc(1, sizeof(*a));

	assert(2 * params->queue_max < 1U << TICKET_INDEX_BITS);
	a->params = *params;
	a->checked_slots = params->slots;
	rate_init(&a->rate, params->rate_decay_ms, params->service_prior_ms,
		  now);
	reservation_init(&a->reservations, params->reservations_max);
	admit_queue_init(&a->q, params->orgs_max, 2 * params->queue_max);
	return a;
}

/* Frees what admit_new() took; NULL is allowed. */
void admit_free(struct admit *a)
{
	if (!a)
		return;
	admit_queue_release(&a->q);
	reservation_release(&a->reservations);
	free(a);
}

/* Says whether nothing of the organisation may run, and why. */
static enum admit_reason org_refusal_reason(const struct admit *a, uint32_t org)
{
	if (org >= a->params.orgs_max || !a->q.org[org].weight)
		return ADMIT_REASON_ORG_UNKNOWN;
	if (!a->q.org[org].limit)
		return ADMIT_REASON_ORG_CLOSED;
	return ADMIT_REASON_NONE;
}

/* Says whether the queue has no room for the request, and why. */
static enum admit_reason queue_full_reason(const struct admit *a,
			      const struct admit_request *req, bool returning)
{
	const struct admit_org *o = &a->q.org[req->org];
	uint32_t max = a->params.queue_max;
	uint32_t org_max = a->params.org_queue_max;

	if (req->kind == ADMIT_RESUME)
		return a->q.queued < 2 * max ? ADMIT_REASON_NONE
					     : ADMIT_REASON_QUEUE_FULL;
	if (!returning) {
		max -= max / RETURN_RESERVE_DIVISOR;
		org_max -= org_max / RETURN_RESERVE_DIVISOR;
	}
	if (a->q.queued >= max)
		return ADMIT_REASON_QUEUE_FULL;
	if (o->queued >= org_max)
		return ADMIT_REASON_ORG_QUEUE_FULL;
	return ADMIT_REASON_NONE;
}

/* Says whether the request may start with nobody waiting that goes first. */
static bool may_run(const struct admit *a, const struct admit_request *req)
{
	const struct admit_org *o = &a->q.org[req->org];

	if (a->running >= a->params.slots)
		return false;
	if (req->kind == ADMIT_RESUME)
		return !a->q.queued_resumes;
	return o->running < o->limit && !a->q.ready.n && !a->q.queued_resumes;
}

/* Counts the request as running and charges its expected slot time. */
static struct admit_decision start(struct admit *a,
				  const struct admit_request *req,
				  uint64_t waited_ms)
{
	struct admit_org *o = &a->q.org[req->org];
	uint32_t charged = req->cost_ms;

	if (!charged)
		charged = (uint32_t)rate_service_ms(&a->rate);
	if (!o->queued && o->virtual_start < a->q.virtual_now)
		o->virtual_start = a->q.virtual_now;
	if (o->virtual_start > a->q.virtual_now)
		a->q.virtual_now = o->virtual_start;
	a->running++;
	if (req->kind == ADMIT_RESUME)
		a->running_resumes++;
	o->running++;
	admit_queue_charge(&a->q, req->org, charged);
	return (struct admit_decision){
		.outcome = ADMIT_RUN,
		.id = req->id,
		.org = req->org,
		.kind = req->kind,
		.charged_ms = charged,
		.wait_ms = (uint32_t)waited_ms,
	};
}

/*
 * Refuses a request.  late_ms is by how much it would have missed its
 * deadline, or 0.  Retry-After is rounded up to whole seconds.
 */
static struct admit_decision refuse(struct admit *a,
				   const struct admit_request *req,
				   enum admit_reason reason, double late_ms,
				   uint64_t now, uint64_t rnd)
{
	struct admit_decision v = {
		.outcome = ADMIT_REFUSE,
		.reason = reason,
		.id = req->id,
		.org = req->org,
		.kind = req->kind,
	};
	uint64_t due;

	if (reason == ADMIT_REASON_ORG_UNKNOWN ||
	    reason == ADMIT_REASON_ORG_CLOSED) {
		v.retry_after_s = a->params.retry_max_s;
		return v;
	}
	if (!a->params.slots)
		due = now + NO_CAPACITY_RETRY_MS + rnd % NO_CAPACITY_RETRY_MS;
	else
		due = admit_retry_time(a, req->org, late_ms, now, rnd,
					 &v.reserved);
	v.retry_after_s = (uint32_t)((due - now + MS_PER_S - 1) / MS_PER_S);
	if (!v.retry_after_s)
		v.retry_after_s = 1;
	if (v.reserved)
		reservation_add(&a->reservations, req->digest,
			     now + (uint64_t)v.retry_after_s * MS_PER_S);
	return v;
}

/*
 * Expected wait of a request that cannot run at once.  One that comes back as
 * told goes before the others of its priority; a new one leaves room for such
 * and a margin, so that few that are queued are refused later.
 */
static double expected_wait_ms(const struct admit *a,
			       const struct admit_request *req, bool returning,
			       uint64_t now)
{
	uint8_t list = admit_queue_list(req);
	double wait;

	if (req->kind == ADMIT_RESUME)
		return admit_wait_ms(a, req->org, a->q.queued_resumes, true);
	if (returning)
		return admit_wait_ms(
			a, req->org,
			admit_queue_ahead(&a->q, req->org, list - 1), false);
	wait = admit_wait_ms(a, req->org,
			     admit_queue_ahead(&a->q, req->org, list), false);
	return wait + admit_reserved_ms(a, req->org, wait, now) +
	       admit_margin_ms(a, req->org, wait);
}

/* Puts a request into the queue, if there is room. */
static struct admit_decision enqueue(struct admit *a,
				    const struct admit_request *req,
				    bool returning, double wait, uint64_t now,
				    uint64_t rnd)
{
	struct admit_decision v = {
		.outcome = ADMIT_QUEUE,
		.id = req->id,
		.org = req->org,
		.kind = req->kind,
		.wait_ms = wait < UINT32_MAX ? (uint32_t)wait : UINT32_MAX,
	};
	enum admit_reason reason = queue_full_reason(a, req, returning);
	uint32_t e;

	if (reason != ADMIT_REASON_NONE)
		return refuse(a, req, reason, 0, now, rnd);
	e = admit_queue_add(&a->q, req, returning, now);
	assert(e != admit_none);
	v.ticket = (uint32_t)a->q.entry[e].generation << TICKET_INDEX_BITS | e;
	return v;
}

/*
 * Decides on a request that arrives.  rnd is a fresh random number.  After a
 * verdict ADMIT_QUEUE, and after any other call that may free a slot, the
 * caller calls admit_next() until that returns false.
 */
struct admit_decision admit_arrive(struct admit *a,
				  const struct admit_request *req, uint64_t now,
				  uint64_t rnd)
{
	enum admit_reason reason = org_refusal_reason(a, req->org);
	bool returning, run;
	double wait, late;

	rate_advance(&a->rate, a->running, now);
	if (reason != ADMIT_REASON_NONE)
		return refuse(a, req, reason, 0, now, rnd);
	if (!a->params.slots && req->kind != ADMIT_RESUME)
		return refuse(a, req, ADMIT_REASON_NO_CAPACITY, 0, now, rnd);
	returning = reservation_redeem(&a->reservations, req->digest, now);
	run = may_run(a, req);
	wait = run ? 0 : expected_wait_ms(a, req, returning, now);
	late = (double)now + wait + req->need_ms - (double)req->deadline_ms;
	if (req->deadline_ms && late > 0 && a->params.slots)
		return refuse(a, req, ADMIT_REASON_DEADLINE, late, now, rnd);
	if (run)
		return start(a, req, 0);
	return enqueue(a, req, returning, wait, now, rnd);
}

/* The request that waits in entry e. */
static struct admit_request entry_request(const struct admit *a, uint32_t e)
{
	const struct admit_entry *entry = &a->q.entry[e];

	return (struct admit_request){
		.id = entry->id,
		.digest = entry->digest,
		.org = entry->org,
		.kind = entry->list == ADMIT_LIST_RESUME ? ADMIT_RESUME
							 : ADMIT_NEW,
		.need_ms = entry->need_ms,
		.cost_ms = entry->cost_ms,
	};
}

/* Starts a waiting request. */
static struct admit_decision start_entry(struct admit *a, uint32_t e,
					uint64_t now)
{
	struct admit_request req = entry_request(a, e);
	uint64_t waited = now - a->q.entry[e].arrived_ms;

	admit_queue_remove(&a->q, e);
	return start(a, &req, waited);
}

/* Refuses a waiting request whose latest start has come. */
static struct admit_decision refuse_entry(struct admit *a, uint32_t e,
					 uint64_t now, uint64_t rnd)
{
	struct admit_request req = entry_request(a, e);
	enum admit_reason reason = org_refusal_reason(a, req.org);

	if (reason == ADMIT_REASON_NONE)
		reason = ADMIT_REASON_DEADLINE;
	admit_queue_remove(&a->q, e);
	return refuse(a, &req, reason, 0, now, rnd);
}

/*
 * The waiting request to start next, or admit_none.  Resumes go first while
 * they hold less than their part of the slots; beyond it they take their
 * organisation's turn.  The organisation's limit does not hold them up then:
 * they were admitted under it before their endpoint was lost.
 */
static uint32_t next_entry(const struct admit *a)
{
	uint64_t part = (uint64_t)a->params.slots * a->params.resume_permille;
	uint32_t org;
	double key;

	if (a->running >= a->params.slots)
		return admit_none;
	if (a->q.resumes.head != admit_none &&
	    (uint64_t)a->running_resumes * 1000 < part)
		return a->q.resumes.head;
	if (heap_peek(&a->q.ready, &org, &key))
		return admit_queue_first(&a->q, org);
	return a->q.resumes.head;
}

/*
 * Gives the next waiting request that is to start, or to be refused because
 * its deadline can no longer be met.  Returns false if there is none now.
 */
bool admit_next(struct admit *a, uint64_t now, uint64_t rnd,
		struct admit_decision *decision)
{
	double latest;
	uint32_t e;

	rate_advance(&a->rate, a->running, now);
	if (heap_peek(&a->q.due, &e, &latest) && latest < (double)now) {
		*decision = refuse_entry(a, e, now, rnd);
		return true;
	}
	e = next_entry(a);
	if (e == admit_none)
		return false;
	*decision = start_entry(a, e, now);
	return true;
}

/*
 * Ends a request that ran: charged_ms as its verdict gave it, held_ms the time
 * it had the slot.  completed is false if its endpoint was lost, so that this
 * is not counted as work drained.
 */
void admit_finish(struct admit *a, uint32_t org, enum admit_kind kind,
		  uint32_t charged_ms, uint32_t held_ms, bool completed,
		  uint64_t now)
{
	struct admit_org *o = &a->q.org[org];

	assert(a->running && o->running);
	rate_advance(&a->rate, a->running, now);
	if (completed)
		rate_completed(&a->rate);
	a->running--;
	if (kind == ADMIT_RESUME)
		a->running_resumes--;
	o->running--;
	admit_queue_record(&a->q, org, charged_ms, held_ms);
	admit_queue_org_changed(&a->q, org);
}

/* Takes a waiting request out.  Returns false if the ticket is not valid. */
bool admit_cancel(struct admit *a, uint32_t ticket)
{
	uint32_t e = ticket & ((1U << TICKET_INDEX_BITS) - 1);
	uint32_t generation = ticket >> TICKET_INDEX_BITS;
	const struct admit_entry *entry;

	if (e >= a->q.entries_max)
		return false;
	entry = &a->q.entry[e];
	if (!entry->used || entry->generation != generation)
		return false;
	admit_queue_remove(&a->q, e);
	return true;
}

/* Makes those of a list that would start too late due for refusal. */
static void recheck_list_deadlines(struct admit *a, uint32_t org, uint32_t head,
			 uint32_t *ahead, uint64_t now)
{
	uint32_t e;

	for (e = head; e != admit_none; e = a->q.entry[e].in_org.next) {
		bool resume = a->q.entry[e].list == ADMIT_LIST_RESUME;

		if (heap_has(&a->q.due, e) &&
		    a->q.due.key[e] <
			    (double)now + admit_wait_ms(a, org, *ahead, resume))
			heap_set(&a->q.due, e, 0);
		else
			(*ahead)++;
	}
}

/* Looks for waiting requests that can no longer meet their deadline. */
static void recheck_deadlines(struct admit *a, uint64_t now)
{
	uint32_t org, ahead;
	int l;

	for (org = 0; org < a->params.orgs_max; org++) {
		ahead = 0;
		if (!a->q.org[org].queued)
			continue;
		for (l = 0; l < ADMIT_LISTS; l++)
			recheck_list_deadlines(a, org, a->q.org[org].list[l].head, &ahead,
				     now);
	}
}

/*
 * Sets how many requests may run.  Notably fewer slots make waiting requests
 * that can no longer start in time due for refusal by admit_next() at once;
 * small changes do not, since the number follows load reports up and down.
 */
void admit_set_slots(struct admit *a, uint32_t slots, uint64_t now)
{
	uint32_t checked = a->checked_slots;

	rate_advance(&a->rate, a->running, now);
	a->params.slots = slots;
	if (slots > checked)
		a->checked_slots = slots;
	if (!slots || slots >= checked - checked / RECHECK_LOSS_DIVISOR)
		return;
	a->checked_slots = slots;
	recheck_deadlines(a, now);
}

/*
 * Sets an organisation's weight and limit.  Weight 0 makes it unknown; what it
 * has waiting is then refused by admit_next().
 */
void admit_set_org(struct admit *a, uint32_t org, uint32_t weight,
		   uint32_t limit)
{
	struct admit_org *o = &a->q.org[org];
	uint32_t e;
	int l;

	assert(org < a->params.orgs_max);
	if (o->queued)
		a->q.waiting_weight += (uint64_t)weight - o->weight;
	o->weight = weight;
	o->limit = limit;
	admit_queue_org_changed(&a->q, org);
	if (weight && limit)
		return;
	for (l = 0; l < ADMIT_LISTS; l++)
		for (e = o->list[l].head; e != admit_none;
		     e = a->q.entry[e].in_org.next)
			heap_set(&a->q.due, e, 0);
}
