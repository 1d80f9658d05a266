/*
 * The users' rules on workers that leave or ask for a pause, from what reached
 * workers and what callers got.
 */
#include "regress/soak/holdoff_rule.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"

#define DRAIN_MS 2000 /* the users' bound */
#define PAUSE_MS 2000 /* as HOLDOFF_PAUSES says */
#define PAUSE_TAKEN_MS 500 /* the users' bound: it is kept from then on */
#define LINK_FAULT_MS 1500 /* a fault of a link lasts so long at most */
#define IN_PAUSE_MAX 2 /* requests in a pause that are let pass */

static const struct holdoff_request *request_of(
	const struct holdoff_rule *r, const struct standin_arrival *a);
static void check_leaving(const struct holdoff_rule *r,
			  const struct standin_world *w,
			  const struct holdoff_set_leaving *l);
static void check_pause(const struct holdoff_rule *r,
			const struct standin_world *w, size_t asked);

/* A caller sends request number number to an instance. */
void holdoff_rule_sent(struct holdoff_rule *r, unsigned int number,
		       size_t instance, uint64_t now)
{
	if (number >= r->n_requests) {
		r->n_requests = 2 * (size_t)number + 64;
		r->requests = xreallocarray(r->requests, r->n_requests,
					    sizeof(*r->requests));
	}
	r->requests[number] = (struct holdoff_request){
		.instance = instance,
		.sent_ms = now,
	};
}

/* A caller has the answer to a request in which a worker says that it leaves:
 * the worker that the request reached last. */
void holdoff_rule_passed_on(struct holdoff_rule *r,
			    const struct standin_world *w, unsigned int number,
			    uint64_t now)
{
	const struct holdoff_request *request = &r->requests[number];
	struct holdoff_set_leaving *l;
	size_t i = w->n_arrivals;

	while (i && request_of(r, w->arrivals[i - 1]) != request)
		i--;
	if (!i || w->arrivals[i - 1]->words == NULL ||
	    strcmp(w->arrivals[i - 1]->words, HOLDOFF_LEAVES) != 0)
		return;
	r->leaving = xreallocarray(r->leaving, r->n_leaving + 1,
				   sizeof(*r->leaving));
	l = &r->leaving[r->n_leaving++];
	l->instance = request->instance;
	l->at_ms = now;
	memcpy(l->worker_id, w->arrivals[i - 1]->worker_id,
	       sizeof(l->worker_id));
}

/* An instance was started, or went on after it stood still. */
void holdoff_rule_excuse(struct holdoff_rule *r, size_t instance, uint64_t now)
{
	excuses_add(&r->instances, instance, now);
}

/* The link to a worker was harmed, or is whole again. */
void holdoff_rule_link_fault(struct holdoff_rule *r, size_t worker,
			     uint64_t now)
{
	excuses_add(&r->links, worker, now);
}

/* Fails if a rule was broken; the message names the seed of the run. */
void holdoff_rule_check(const struct holdoff_rule *r, uint64_t seed,
			const struct standin_world *w)
{
	size_t pauses = 0;
	size_t i;

	for (i = 0; i < r->n_leaving; i++)
		check_leaving(r, w, &r->leaving[i]);
	for (i = 0; i < w->n_arrivals; i++) {
		const struct standin_arrival *a = w->arrivals[i];

		if (a->ran || a->misdirected || !a->words ||
		    strcmp(a->words, HOLDOFF_PAUSES) != 0 || !request_of(r, a))
			continue;
		pauses++;
		check_pause(r, w, i);
	}
	print_message(
		"seed %llu: %zu answers of leaving workers passed on, %zu "
		"pauses asked for\n",
		(unsigned long long)seed, r->n_leaving, pauses);
}

/* Frees what was noted. */
void holdoff_rule_release(struct holdoff_rule *r)
{
	free(r->requests);
	free(r->leaving);
	excuses_release(&r->instances);
	excuses_release(&r->links);
}

/* No request that was sent DRAIN_MS after a worker's word reaches it. */
static void check_leaving(const struct holdoff_rule *r,
			  const struct standin_world *w,
			  const struct holdoff_set_leaving *l)
{
	size_t i;

	for (i = 0; i < w->n_arrivals; i++) {
		const struct standin_arrival *a = w->arrivals[i];
		const struct holdoff_request *q = request_of(r, a);

		if (!q || q->instance != l->instance ||
		    q->sent_ms <= l->at_ms + DRAIN_MS ||
		    strcmp(a->worker_id, l->worker_id) != 0 ||
		    excuses_between(&r->instances, l->instance, l->at_ms,
				    a->at_ms))
			continue;
		fail_msg("a request reached %s %llu ms after instance %zu "
			 "passed on that it leaves",
			 l->worker_id,
			 (unsigned long long)(a->at_ms - l->at_ms),
			 l->instance);
	}
}

/* Few requests reach a worker in the pause that it asked an instance for. */
static void check_pause(const struct holdoff_rule *r,
			const struct standin_world *w, size_t asked)
{
	const struct standin_arrival *first = w->arrivals[asked];
	size_t instance = request_of(r, first)->instance;
	size_t worker = (size_t)(first->worker - w->workers);
	unsigned int n = 0;
	size_t i;

	for (i = asked + 1; i < w->n_arrivals; i++) {
		const struct standin_arrival *a = w->arrivals[i];
		const struct holdoff_request *q = request_of(r, a);

		if (!q || q->instance != instance ||
		    a->at_ms <= first->at_ms + PAUSE_TAKEN_MS ||
		    a->at_ms >= first->at_ms + PAUSE_MS ||
		    strcmp(a->worker_id, first->worker_id) != 0)
			continue;
		n += !excuses_between(&r->instances, instance, first->at_ms,
				      a->at_ms) &&
		     !excuses_between(&r->links, worker,
				      first->at_ms > LINK_FAULT_MS
					      ? first->at_ms - LINK_FAULT_MS
					      : 0,
				      a->at_ms);
	}
	if (n > IN_PAUSE_MAX)
		fail_msg("%u requests of instance %zu reached %s in its pause",
			 n, instance, first->worker_id);
}

/* Returns the caller's request that reached a worker, or NULL. */
static const struct holdoff_request *request_of(const struct holdoff_rule *r,
						const struct standin_arrival *a)
{
	static const char key[] = "\nrequest-id: r-";
	const char *id = strstr(a->head, key);
	size_t number;

	if (!id)
		return NULL;
	number = strtoul(id + sizeof(key) - 1, NULL, 10);
	return number < r->n_requests ? &r->requests[number] : NULL;
}
