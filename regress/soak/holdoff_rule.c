/*
 * Checks the users' rules on workers that are leaving or ask for a pause by the
 * requests that arrived at workers and the answers that callers received.
 */
#include "regress/soak/holdoff_rule.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"

#define DRAIN_MS 2000 /* the users' bound for leaving workers */
#define PAUSE_MS 2000 /* duration in HOLDOFF_PAUSE_HEADER */
#define PAUSE_APPLIED_MS 500 /* the users' bound for applying a pause */
#define LINK_FAULT_MAX_MS 1500 /* longest fault of a link */
#define PAUSE_REQUESTS_MAX 2 /* requests allowed in a pause */

static void check_leaving(const struct holdoff_rule *r,
			  const struct standin_world *w,
			  const struct holdoff_leaving_answer *l);
static void check_pause(const struct holdoff_rule *r,
			const struct standin_world *w, size_t asked);
static size_t sender_of(const struct holdoff_rule *r,
			const struct standin_arrival *a);

/* Records that a caller sends a request with a number to an instance. */
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

/* Records that a caller received an answer in which a worker announces that it
 * is leaving.  The worker is the one where the request arrived last. */
void holdoff_rule_answer_relayed(struct holdoff_rule *r,
				 const struct standin_world *w,
				 unsigned int number, uint64_t now)
{
	const struct holdoff_request *request = &r->requests[number];
	struct holdoff_leaving_answer *l;
	size_t i = w->n_arrivals;

	while (i && holdoff_rule_request(r, w->arrivals[i - 1]) != request)
		i--;
	if (!i || w->arrivals[i - 1]->extra_headers == NULL ||
	    strcmp(w->arrivals[i - 1]->extra_headers, HOLDOFF_LEAVING_HEADER) !=
		    0)
		return;
	r->leaving = xreallocarray(r->leaving, r->n_leaving + 1,
				   sizeof(*r->leaving));
	l = &r->leaving[r->n_leaving++];
	l->instance = request->instance;
	l->at_ms = now;
	memcpy(l->worker_id, w->arrivals[i - 1]->worker_id,
	       sizeof(l->worker_id));
}

/* Records that an instance was started or resumed: it may have lost or missed
 * what workers announced before. */
void holdoff_rule_exempt(struct holdoff_rule *r, size_t instance, uint64_t now)
{
	exemption_list_add(&r->instance_exemptions, instance, now);
}

/* Records that a fault of the link to a worker began or ended: requests and
 * answers may have been lost or delayed. */
void holdoff_rule_link_fault(struct holdoff_rule *r, size_t worker,
			     uint64_t now)
{
	exemption_list_add(&r->link_exemptions, worker, now);
}

/* Fails the test if a rule is violated; prints the figures with the seed. */
void holdoff_rule_check(const struct holdoff_rule *r, uint64_t seed,
			const struct standin_world *w)
{
	size_t pauses = 0;
	size_t i;

	for (i = 0; i < r->n_leaving; i++)
		check_leaving(r, w, &r->leaving[i]);
	for (i = 0; i < w->n_arrivals; i++) {
		const struct standin_arrival *a = w->arrivals[i];

		if (a->ran || a->misdirected || !a->extra_headers ||
		    strcmp(a->extra_headers, HOLDOFF_PAUSE_HEADER) != 0 ||
		    !holdoff_rule_request(r, a))
			continue;
		pauses++;
		check_pause(r, w, i);
	}
	print_message(
		"seed %llu: %zu answers of leaving workers relayed, %zu pauses "
		"requested\n",
		(unsigned long long)seed, r->n_leaving, pauses);
}

/* Frees the records and the exemptions. */
void holdoff_rule_release(struct holdoff_rule *r)
{
	free(r->requests);
	free(r->leaving);
	free(r->sends);
	exemption_list_release(&r->instance_exemptions);
	exemption_list_release(&r->link_exemptions);
}

/* Fails if a request arrives at a leaving worker that was sent to the instance
 * later than DRAIN_MS after the instance relayed the announcement. */
static void check_leaving(const struct holdoff_rule *r,
			  const struct standin_world *w,
			  const struct holdoff_leaving_answer *l)
{
	size_t i;

	for (i = 0; i < w->n_arrivals; i++) {
		const struct standin_arrival *a = w->arrivals[i];
		const struct holdoff_request *q = holdoff_rule_request(r, a);

		if (!q || q->instance != l->instance ||
		    q->sent_ms <= l->at_ms + DRAIN_MS ||
		    strcmp(a->worker_id, l->worker_id) != 0 ||
		    exemption_list_any_between(&r->instance_exemptions,
					       l->instance, l->at_ms, a->at_ms))
			continue;
		fail_msg("a request arrived at %s %llu ms after instance "
			 "%zu relayed that it is leaving",
			 l->worker_id,
			 (unsigned long long)(a->at_ms - l->at_ms),
			 l->instance);
	}
}

/* Fails if more than PAUSE_REQUESTS_MAX requests of an instance arrive at a
 * worker in the pause that the worker requested from it, once PAUSE_APPLIED_MS
 * have passed.  asked is the index of the arrival that was answered with the
 * pause. */
static void check_pause(const struct holdoff_rule *r,
			const struct standin_world *w, size_t asked)
{
	const struct standin_arrival *first = w->arrivals[asked];
	size_t instance = sender_of(r, first);
	size_t worker = (size_t)(first->worker - w->workers);
	unsigned int n = 0;
	size_t i;

	for (i = asked + 1; i < w->n_arrivals; i++) {
		const struct standin_arrival *a = w->arrivals[i];
		const struct holdoff_request *q = holdoff_rule_request(r, a);

		if (!q || sender_of(r, a) != instance ||
		    a->at_ms <= first->at_ms + PAUSE_APPLIED_MS ||
		    a->at_ms >= first->at_ms + PAUSE_MS ||
		    strcmp(a->worker_id, first->worker_id) != 0)
			continue;
		n += !exemption_list_any_between(&r->instance_exemptions,
						 instance, first->at_ms,
						 a->at_ms) &&
		     !exemption_list_any_between(
			     &r->link_exemptions, worker,
			     first->at_ms > LINK_FAULT_MAX_MS
				     ? first->at_ms - LINK_FAULT_MAX_MS
				     : 0,
			     a->at_ms);
	}
	if (n > PAUSE_REQUESTS_MAX)
		fail_msg("%u requests of instance %zu reached %s in its pause",
			 n, instance, first->worker_id);
}

/* Notes by an instance's log which requests it sent to which workers. */
void holdoff_rule_read_log(struct holdoff_rule *r, size_t instance,
			   const char *log)
{
	static const char sent[] = "\"event\":\"sent\",\"request\":\"r-";
	static const char to[] = "\"endpoint\":\"";
	const char *p = log;

	while ((p = strstr(p, sent))) {
		const char *worker = strstr(p, to);
		struct holdoff_send *s;

		p += strlen(sent);
		if (!worker)
			continue;
		worker += strlen(to);
		r->sends = xreallocarray(r->sends, r->n_sends + 1,
					 sizeof(*r->sends));
		s = &r->sends[r->n_sends++];
		s->number = strtoul(p, NULL, 10);
		s->instance = instance;
		snprintf(s->worker_id, sizeof(s->worker_id), "%.*s",
			 (int)strcspn(worker, "\""), worker);
	}
}

/* Returns the instance that sent a request to a worker: that of its caller, unless
 * only another one, to which it was relayed, sent it there. */
static size_t sender_of(const struct holdoff_rule *r,
			const struct standin_arrival *a)
{
	const struct holdoff_request *q = holdoff_rule_request(r, a);
	size_t sender = q->instance;
	size_t i;

	for (i = 0; i < r->n_sends; i++) {
		const struct holdoff_send *s = &r->sends[i];

		if (s->number != (size_t)(q - r->requests) ||
		    strcmp(s->worker_id, a->worker_id) != 0)
			continue;
		if (s->instance == q->instance)
			return q->instance;
		sender = s->instance;
	}
	return sender;
}

/* Returns the caller's request that arrived at a worker, or NULL if the arrival
 * is of another kind. */
const struct holdoff_request *holdoff_rule_request(
	const struct holdoff_rule *r, const struct standin_arrival *a)
{
	static const char key[] = "\nrequest-id: r-";
	const char *id = strstr(a->head, key);
	size_t number;

	if (!id)
		return NULL;
	number = strtoul(id + sizeof(key) - 1, NULL, 10);
	return number < r->n_requests ? &r->requests[number] : NULL;
}
