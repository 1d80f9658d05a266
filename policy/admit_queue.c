/*
 * Queue of one instance: lists of waiting requests by organisation and
 * priority, start-time fair queueing between organisations, and a heap of
 * latest starts.  Each start advances its organisation's virtual time by the
 * expected slot time divided by the weight, and the organisation with the least
 * virtual time goes next.  Slot time is therefore shared by weight, independent
 * of the length of requests.
 */
#include "policy/admit_queue.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>

#include "lib/xalloc.h"

enum {
	ADMIT_GENERATION_MASK = 0xfff,
	COST_DECAY_REQUESTS = 32, /* decay of an organisation's slot times */
	COST_PRIOR_MS = 1000,
};

const uint32_t admit_none = UINT32_MAX;

static struct admit_link *link_of(struct admit_queue *q, uint32_t e,
				  bool in_resumes);
static void list_append(struct admit_queue *q, struct admit_list *list,
			uint32_t e, bool in_resumes);
static void list_prepend(struct admit_queue *q, struct admit_list *list,
			 uint32_t e);
static void list_remove(struct admit_queue *q, struct admit_list *list,
			uint32_t e, bool in_resumes);

/* Allocates an empty queue; all organisations are unknown. */
void admit_queue_init(struct admit_queue *q, uint32_t orgs_max,
		      uint32_t entries_max)
{
	const struct admit_list empty = { admit_none, admit_none, 0 };
	uint32_t i;
	int l;

	*q = (struct admit_queue){
		.orgs_max = orgs_max,
		.entries_max = entries_max,
		.resumes = empty,
	};
	q->org = xcalloc(orgs_max, sizeof(*q->org));
	q->entry = xcalloc(entries_max, sizeof(*q->entry));
	heap_init(&q->ready, orgs_max);
	heap_init(&q->due, entries_max);
	for (i = 0; i < orgs_max; i++) {
		q->org[i].held_ms = COST_PRIOR_MS;
		q->org[i].expected_ms = COST_PRIOR_MS;
		for (l = 0; l < ADMIT_LISTS; l++)
			q->org[i].list[l] = empty;
	}
	for (i = 0; i < entries_max; i++)
		q->entry[i].in_org.next = i + 1 < entries_max ? i + 1
							      : admit_none;
	q->free_head = entries_max ? 0 : admit_none;
}

/* Frees the memory of a queue. */
void admit_queue_release(struct admit_queue *q)
{
	heap_release(&q->ready);
	heap_release(&q->due);
	free(q->org);
	free(q->entry);
}

/* Returns the number of bytes that a queue of this size allocates. */
size_t admit_queue_bytes(uint32_t orgs_max, uint32_t entries_max)
{
	size_t org = sizeof(struct admit_org) + HEAP_BYTES_PER_ITEM;
	size_t entry = sizeof(struct admit_entry) + HEAP_BYTES_PER_ITEM;

	return orgs_max * org + entries_max * entry;
}

/* Returns the links of entry e in its organisation's list or in the resumes. */
static struct admit_link *link_of(struct admit_queue *q, uint32_t e,
				  bool in_resumes)
{
	struct admit_entry *entry = &q->entry[e];

	return in_resumes ? &entry->in_resumes : &entry->in_org;
}

/* Appends entry e to list. */
static void list_append(struct admit_queue *q, struct admit_list *list,
			uint32_t e, bool in_resumes)
{
	struct admit_link *link = link_of(q, e, in_resumes);

	link->next = admit_none;
	link->prev = list->tail;
	if (list->tail == admit_none)
		list->head = e;
	else
		link_of(q, list->tail, in_resumes)->next = e;
	list->tail = e;
	list->count++;
}

/* Inserts entry e at the head of its organisation's list. */
static void list_prepend(struct admit_queue *q, struct admit_list *list,
			 uint32_t e)
{
	struct admit_link *link = &q->entry[e].in_org;

	link->prev = admit_none;
	link->next = list->head;
	if (list->head == admit_none)
		list->tail = e;
	else
		q->entry[list->head].in_org.prev = e;
	list->head = e;
	list->count++;
}

/* Unlinks entry e from list. */
static void list_remove(struct admit_queue *q, struct admit_list *list,
			uint32_t e, bool in_resumes)
{
	struct admit_link *link = link_of(q, e, in_resumes);

	if (link->prev == admit_none)
		list->head = link->next;
	else
		link_of(q, link->prev, in_resumes)->next = link->next;
	if (link->next == admit_none)
		list->tail = link->prev;
	else
		link_of(q, link->next, in_resumes)->prev = link->prev;
	list->count--;
}

/* Returns the index of the list that a request waits in. */
uint8_t admit_queue_list(const struct admit_request *req)
{
	if (req->kind == ADMIT_RESUME)
		return ADMIT_LIST_RESUME;
	return (uint8_t)(ADMIT_LIST_HIGH + req->priority);
}

/*
 * Adds a request at the head (front) or the tail of its list.  Returns its
 * entry, or admit_none if no entry is free.  The virtual start of an
 * organisation without waiting requests is raised to the current virtual time,
 * so that it gains no credit from idle time.
 */
uint32_t admit_queue_add(struct admit_queue *q, const struct admit_request *req,
			 bool front, uint64_t now)
{
	struct admit_org *org = &q->org[req->org];
	uint32_t e = q->free_head;
	struct admit_entry *entry;

	if (e == admit_none)
		return admit_none;
	entry = &q->entry[e];
	q->free_head = entry->in_org.next;
	*entry = (struct admit_entry){
		.id = req->id,
		.digest = req->digest,
		.arrived_ms = now,
		.org = req->org,
		.cost_ms = req->cost_ms,
		.need_ms = req->need_ms,
		.generation = entry->generation,
		.list = admit_queue_list(req),
		.used = true,
	};
	if (front)
		list_prepend(q, &org->list[entry->list], e);
	else
		list_append(q, &org->list[entry->list], e, false);
	if (entry->list == ADMIT_LIST_RESUME) {
		list_append(q, &q->resumes, e, true);
		q->queued_resumes++;
	}
	if (req->deadline_ms)
		heap_set(&q->due, e, (double)req->deadline_ms - req->need_ms);
	if (!org->queued && org->virtual_start < q->virtual_now)
		org->virtual_start = q->virtual_now;
	if (!org->queued)
		q->waiting_weight += org->weight;
	org->queued++;
	q->queued++;
	admit_queue_org_changed(q, req->org);
	return e;
}

/* Removes and frees entry e, which starts, is refused or is cancelled. */
void admit_queue_remove(struct admit_queue *q, uint32_t e)
{
	struct admit_entry *entry = &q->entry[e];
	struct admit_org *org = &q->org[entry->org];

	assert(entry->used);
	list_remove(q, &org->list[entry->list], e, false);
	if (entry->list == ADMIT_LIST_RESUME) {
		list_remove(q, &q->resumes, e, true);
		q->queued_resumes--;
	}
	heap_remove(&q->due, e);
	org->queued--;
	q->queued--;
	if (!org->queued)
		q->waiting_weight -= org->weight;
	entry->used = false;
	entry->generation = (entry->generation + 1) & ADMIT_GENERATION_MASK;
	entry->in_org.next = q->free_head;
	q->free_head = e;
	admit_queue_org_changed(q, entry->org);
}

/*
 * Adds the organisation to the heap of those that may start a request, or
 * removes it, after a change of its queue, limit or running requests.
 */
void admit_queue_org_changed(struct admit_queue *q, uint32_t org)
{
	const struct admit_org *o = &q->org[org];

	if (o->queued && o->running < o->limit)
		heap_set(&q->ready, org, o->virtual_start);
	else
		heap_remove(&q->ready, org);
}

/*
 * Charges the organisation for the start of a request that is expected to hold
 * a slot for ms.  The charge is scaled by the ratio of actual to expected slot
 * time of the organisation's past requests.  It is not corrected when this
 * request finishes, because a single long request would then delay the
 * organisation's waiting requests beyond their expected wait.
 */
void admit_queue_charge(struct admit_queue *q, uint32_t org, double ms)
{
	struct admit_org *o = &q->org[org];

	o->virtual_start +=
		ms * o->held_ms / fmax(o->expected_ms, 1) / o->weight;
	admit_queue_org_changed(q, org);
}

/* Records the expected and the actual slot time of a finished request. */
void admit_queue_record(struct admit_queue *q, uint32_t org,
			uint32_t expected_ms, uint32_t held_ms)
{
	struct admit_org *o = &q->org[org];

	o->held_ms += held_ms - o->held_ms / COST_DECAY_REQUESTS;
	o->expected_ms += expected_ms - o->expected_ms / COST_DECAY_REQUESTS;
}

/* Returns the organisation's entry to start next, or admit_none. */
uint32_t admit_queue_first(const struct admit_queue *q, uint32_t org)
{
	int l;

	for (l = 0; l < ADMIT_LISTS; l++)
		if (q->org[org].list[l].head != admit_none)
			return q->org[org].list[l].head;
	return admit_none;
}

/*
 * Returns how many of the organisation's waiting requests go before a new
 * request at the tail of list.
 */
uint32_t admit_queue_ahead(const struct admit_queue *q, uint32_t org,
			   uint8_t list)
{
	uint32_t ahead = 0;
	int l;

	for (l = 0; l <= list; l++)
		ahead += q->org[org].list[l].count;
	return ahead;
}
