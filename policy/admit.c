/*
 * Admission control of one instance.  A request runs at once if a slot is free,
 * waits in its organisation's queue if it is expected to start in time for its
 * deadline, and is refused at once otherwise.  Each refused caller gets a retry
 * time of its own, spaced by the drain rate of its organisation, and new
 * requests leave capacity for callers that retry on time.
 */
#include "policy/admit.h"

#include <assert.h>
#include <stdlib.h>

#include "lib/xalloc.h"
#include "policy/admit_wait.h"

enum {
	TICKET_INDEX_BITS = 20,
	NO_CAPACITY_RETRY_MS = 3000,
	RETURN_RESERVE_DIVISOR = 8, /* of the queue, for returning callers */
	RECHECK_LOSS_DIVISOR = 8, /* of the slots, loss to recheck deadlines */
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

static enum admit_reason org_refusal_reason(const struct admit *a,
					    uint32_t org);
static enum admit_reason queue_full_reason(const struct admit *a,
					   const struct admit_request *req,
					   bool returning);
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

/*
 * Creates an admission controller and allocates all memory that it will use.
 * Organisations are unknown until admit_set_org().
 */
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

/* Frees an admission controller; NULL is allowed. */
void admit_free(struct admit *a)
{
	if (!a)
		return;
	admit_queue_release(&a->q);
	reservation_release(&a->reservations);
	free(a);
}

/*
 * Returns why no request of the organisation may run, or ADMIT_REASON_NONE if
 * its requests may run.
 */
static enum admit_reason org_refusal_reason(const struct admit *a, uint32_t org)
{
	if (org >= a->params.orgs_max || !a->q.org[org].weight)
		return ADMIT_REASON_ORG_UNKNOWN;
	if (!a->q.org[org].limit)
		return ADMIT_REASON_ORG_CLOSED;
	return ADMIT_REASON_NONE;
}

/*
 * Returns which queue limit the request exceeds, or ADMIT_REASON_NONE if it may
 * be queued.
 */
static enum admit_reason queue_full_reason(const struct admit *a,
					   const struct admit_request *req,
					   bool returning)
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

/*
 * Returns whether the request may start now: a slot is free, and no waiting
 * request goes before it.
 */
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
 * Refuses a request and computes its Retry-After, rounded up to whole seconds.
 * late_ms is by how much the request would have missed its deadline, or 0.
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
 * Returns the expected wait of a request that cannot run at once.  A caller
 * that returns at its reserved time goes before the others of its priority.
 * For a new request, the reserved capacity and a safety margin are added, so
 * that few queued requests are refused later.
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

/* Queues a request, or refuses it if a queue limit is reached. */
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
 * Decides on an arriving request.  rnd is a fresh random number.  After the
 * outcome ADMIT_QUEUE, and after any other call that may free a slot, the
 * caller calls admit_next() until it returns false.
 */
struct admit_decision admit_arrive(struct admit *a,
				   const struct admit_request *req,
				   uint64_t now, uint64_t rnd)
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

/* Returns the request that waits in entry e. */
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

/* Removes entry e from the queue and starts its request. */
static struct admit_decision start_entry(struct admit *a, uint32_t e,
					 uint64_t now)
{
	struct admit_request req = entry_request(a, e);
	uint64_t waited = now - a->q.entry[e].arrived_ms;

	admit_queue_remove(&a->q, e);
	return start(a, &req, waited);
}

/*
 * Removes entry e from the queue and refuses its request, because its latest
 * start has passed or its organisation may no longer run requests.
 */
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
 * Returns the entry to start next, or admit_none.  Resumes go first while they
 * hold less than their part of the slots; beyond it they wait for their
 * organisation's turn, or until no organisation is ready.  Resumes may exceed
 * the organisation's limit, because they were admitted under it before their
 * endpoint failed.
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
 * Sets *decision for the next waiting request that starts, or that is refused
 * because it can no longer meet its deadline.  Returns false if there is none.
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
 * Ends a running request and frees its slot.  charged_ms is from the decision
 * that started it, held_ms is the time that it held the slot.  completed is
 * false if its endpoint failed, so that the drain rate does not count it.
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

/*
 * Removes a waiting request from the queue.  Returns false if the ticket is not
 * valid.
 */
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

/*
 * Marks the requests of a list that would start too late as due for refusal.
 * *ahead counts the requests that are expected to start before them.
 */
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

/* Marks all waiting requests that can no longer meet their deadline. */
static void recheck_deadlines(struct admit *a, uint64_t now)
{
	uint32_t org, ahead;
	int l;

	for (org = 0; org < a->params.orgs_max; org++) {
		ahead = 0;
		if (!a->q.org[org].queued)
			continue;
		for (l = 0; l < ADMIT_LISTS; l++)
			recheck_list_deadlines(a, org,
					       a->q.org[org].list[l].head,
					       &ahead, now);
	}
}

/*
 * Sets how many requests may run.  If more than 1/8 of the slots are lost,
 * counted from the highest number since the last deadline check, admit_next()
 * refuses the waiting requests that can no longer start in time.  Smaller
 * losses are ignored, because the number of slots follows load reports up and
 * down.
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
 * Sets an organisation's weight and limit.  Weight 0 makes it unknown.  With
 * weight or limit 0, admit_next() refuses its waiting requests.
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
