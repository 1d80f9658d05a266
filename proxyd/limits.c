/*
 * Limits that endpoints name in their answers: the requests per second that an
 * endpoint takes from all instances together.  Keeps this instance's permits,
 * and what the other instances are told.
 */
#include "proxyd/limits.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/event_log.h"
#include "lib/xalloc.h"
#include "policy/gossip_select.h"
#include "policy/heartbeat.h"
#include "proxyd/endpoints.h"
#include "proxyd/limits_table.h"
#include "proxyd/peers.h"
#include "proxyd/proxyd.h"
#include "proxyd/watch.h"

#define NEWS_SENDS 3 /* datagrams may be lost */
#define NEWS_INTERVAL_MS 100

/* A limit that nobody was told to be still named for this long is checked with
 * a borrowed permit. */
#define CHECK_MS 5000

/* Limits that are still named are told again after so many heartbeats. */
#define REFRESH_HEARTBEATS 4

/* So many instances tell one that has started of each limit. */
#define TELLERS 3

static bool named(struct endpoint *e, double per_s, uint64_t named_ms);
static void tell_change(struct endpoint *e, double before);
static void tell_others(struct endpoint *e, uint64_t due_ms, uint32_t sends);
static void log_limit(const struct endpoint *e, const char *event,
		      const char *request, const char *by, double before);
static void log_ended(const struct endpoint *e, const char *request,
		      const char *by);
static struct endpoint_limit *limit_of(struct endpoint *e);
static void send_news(struct limits *t);
static void send_refresh(struct limits *t);
static struct counter *answer_counter(const char *step);
static struct counter *permit_counter(const char *step);

/* Creates the table and registers its counters. */
struct limits *limits_new(struct proxyd *p)
{
	struct limits *t = xcalloc(1, sizeof(*t));

	t->proxyd = p;
	t->named = answer_counter("named");
	t->ended = answer_counter("ended");
	t->unreadable = answer_counter("unreadable");
	t->own = permit_counter("own");
	t->borrowed = permit_counter("borrowed");
	t->lent = permit_counter("lent");
	t->denied = permit_counter("denied");
	limit_queue_init(t);
	return t;
}

/* Lifts limits whose rate has risen, and sends news of limits. */
void limits_tick(struct limits *t)
{
	struct endpoints *endpoints = t->proxyd->endpoints;
	uint64_t now = proxyd_now(t->proxyd);
	struct endpoint *e;
	uint32_t i = 0;

	if (!t->n)
		return;
	while ((e = endpoint_next(endpoints, &i))) {
		if (!limits_in_force(e))
			continue;
		request_limit_tick(&e->limit->limit, now);
		if (!limits_in_force(e))
			event_log(EVENT_NOTABLE, "endpoint-limit-lifted", NULL,
				  "{s:s, s:I}", "endpoint", e->id,
				  "ended_ms_ago",
				  (json_int_t)(now - e->limit->limit.ended_ms));
	}
	send_news(t);
	send_refresh(t);
}

/* Applies the limit that an answer names, or that it names none.  sent_ms is
 * when its request was sent. */
void limits_answer(struct endpoint *e, const struct answer_fields *answer,
		   uint64_t sent_ms, const char *request)
{
	struct limits *t = e->proxyd->limits;
	uint64_t now = proxyd_now(e->proxyd);
	double before = limits_in_force(e) ? e->limit->limit.per_s : -1;
	bool rising = limits_in_force(e) && e->limit->limit.ended_ms;

	if (answer->limit_unreadable) {
		counter_add(t->unreadable, 1);
		event_log(EVENT_NOTABLE, "endpoint-limit-unreadable", request,
			  "{s:s}", "endpoint", e->id);
	} else if (answer->has_limit) {
		struct endpoint_limit *l = limit_of(e);

		counter_add(t->named, 1);
		l->named_here = true;
		if (!named(e, answer->limit_per_s, now))
			return;
		snprintf(l->source, sizeof(l->source), "%s",
			 request ? request : "health check");
		log_limit(e, "endpoint-limit", request, "itself", before);
		if (before >= 0 && !rising)
			tell_change(e, before);
		else if (gossip_is_new(l->told_ms, now))
			tell_others(e, now, NEWS_SENDS);
	} else if (e->limit &&
		   request_limit_not_named(&e->limit->limit, sent_ms, now)) {
		counter_add(t->ended, 1);
		e->limit->told_ms = 0;
		log_ended(e, request, "itself");
		tell_others(e, now, NEWS_SENDS);
	}
}

/* Applies another instance's report that an answer of named_ms names a
 * limit. */
void limits_reported_named(struct endpoint *e, double per_s, uint64_t named_ms,
			   const char *instance)
{
	struct endpoint_limit *l = limit_of(e);
	double before = l->limit.in_force ? l->limit.per_s : -1;
	uint64_t now = proxyd_now(e->proxyd);

	if (!named(e, per_s, named_ms))
		return;
	l->told_ms = now;
	l->sends_left = 0;
	snprintf(l->source, sizeof(l->source), "%s", instance);
	log_limit(e, "endpoint-limit", NULL, instance, before);
}

/* Applies another instance's report that the answer to a request of sent_ms
 * names no limit. */
void limits_reported_ended(struct endpoint *e, uint64_t sent_ms,
			   const char *instance)
{
	struct endpoint_limit *l = e->limit;

	if (!l ||
	    !request_limit_not_named(&l->limit, sent_ms, proxyd_now(e->proxyd)))
		return;
	l->told_ms = 0; /* that it is named again would be news */
	l->sends_left = 0;
	log_ended(e, NULL, instance);
}

/* Forgets the limit of an endpoint that has restarted or is freed. */
void limits_release(struct endpoint *e)
{
	if (e->limit)
		e->proxyd->limits->n--;
	free(e->limit);
	e->limit = NULL;
}

/* Returns whether requests to the endpoint need permits. */
bool limits_in_force(const struct endpoint *e)
{
	return e->limit && e->limit->limit.in_force;
}

/* Returns how many requests may be sent to the endpoint now. */
uint32_t limits_available(struct endpoint *e)
{
	if (!limits_in_force(e))
		return UINT32_MAX;
	return request_limit_available(&e->limit->limit, limits_part(e),
				       proxyd_now(e->proxyd));
}

/* Takes the permit for a request to the endpoint. */
enum request_permit limits_take(struct endpoint *e)
{
	struct limits *t = e->proxyd->limits;
	enum request_permit permit;

	if (!limits_in_force(e))
		return PERMIT_NOT_NEEDED;
	permit = request_limit_take(&e->limit->limit, limits_part(e),
				    proxyd_now(e->proxyd));
	counter_add(permit == PERMIT_OWN ? t->own : t->borrowed, 1);
	return permit;
}

/* Returns the permit of a request that was not sent. */
void limits_return(struct endpoint *e, enum request_permit permit)
{
	if (e->limit)
		request_limit_return(&e->limit->limit, permit);
}

/* Returns this instance's part of the limit.  The endpoint has one. */
const struct request_limit_part *limits_part(struct endpoint *e)
{
	struct proxyd *p = e->proxyd;
	struct endpoint_limit *l = e->limit;
	uint32_t holders = request_limit_holders(
		l->limit.per_s, (uint32_t)peers_listed(p->peers) + 1);
	bool counted = watches_listed(p->watches) &&
		       planned_stop_ready(&p->planned_stop);
	struct request_limit_instances seen;

	if (l->part.holders == holders && l->part.counted == counted &&
	    l->instances_version == peers_version(p->peers))
		return &l->part;
	seen = peers_rank(p->peers, e->hash, holders);
	seen.counted = counted;
	seen.start_ms = p->start_ms;
	seen.returns = peers_listed_before(p->peers);
	request_limit_divide(&l->part, &seen, proxyd_now(p));
	l->instances_version = peers_version(p->peers);
	return &l->part;
}

/* Asks other instances for permits, unless they were asked a moment ago;
 * returns whether they were asked. */
bool limits_borrow(struct endpoint *e, uint32_t permits)
{
	struct proxyd *p = e->proxyd;
	struct endpoint_limit *l = e->limit;

	if (!limits_in_force(e) || limits_ask_in_ms(e) > 0)
		return false;
	l->asked_ms = proxyd_now(p);
	return peers_ask_permits(p->peers, e, permits) > 0;
}

/* Asks for a permit if no instance has heard for CHECK_MS that the limit is
 * still named: the next request here then shows whether it is. */
void limits_check(struct endpoint *e)
{
	const struct endpoint_limit *l = e->limit;
	uint64_t now = proxyd_now(e->proxyd);

	if (now - l->limit.named_ms > CHECK_MS && now - l->asked_ms > CHECK_MS)
		limits_borrow(e, 1);
}

/* Returns whether a health check waits for a permit. */
bool limits_check_wanted(const struct endpoint *e)
{
	return limits_in_force(e) && e->limit->check_wanted;
}

/* Takes the permit for a health check; asks other instances for one and returns
 * false if there is none. */
bool limits_take_for_check(struct endpoint *e)
{
	bool available = limits_available(e) > 0;

	if (!limits_in_force(e))
		return true;
	e->limit->check_wanted = !available;
	if (available)
		limits_take(e);
	else
		limits_borrow(e, 1);
	return available;
}

/* Tells an instance that has started the limits of which this instance is one
 * of the first holders. */
void limits_tell(struct limits *t, const struct peer *peer)
{
	struct endpoint *list[LIMITS_PER_DATAGRAM_MAX];
	struct endpoint *e;
	uint32_t i = 0;
	size_t n = 0;

	while ((e = endpoint_next(t->proxyd->endpoints, &i))) {
		if (!limits_in_force(e) || limits_part(e)->rank >= TELLERS)
			continue;
		list[n++] = e;
		if (n < LIMITS_PER_DATAGRAM_MAX)
			continue;
		peers_announce_limits(t->proxyd->peers, peer, list, n);
		n = 0;
	}
	if (n)
		peers_announce_limits(t->proxyd->peers, peer, list, n);
}

/* Returns the time until other instances may be asked for permits, ms. */
uint32_t limits_ask_in_ms(const struct endpoint *e)
{
	const struct endpoint_limit *l = e->limit;
	uint64_t now = proxyd_now(e->proxyd);
	uint64_t from =
		l->asked_ms ? l->asked_ms + request_limit_ask_interval_ms(
						    (uint32_t)peers_listed(
							    e->proxyd->peers) +
						    1)
			    : 0;

	if (from < l->denied_until_ms)
		from = l->denied_until_ms;
	return now < from ? (uint32_t)(from - now) : 0;
}

/* Counts permits lent to another instance. */
void limits_lent(struct endpoint *e, uint32_t permits)
{
	struct limits *t = e->proxyd->limits;

	counter_add(permits ? t->lent : t->denied, permits ? permits : 1);
}

/* Records that an answer of named_ms names a limit; returns whether that is
 * news. */
static bool named(struct endpoint *e, double per_s, uint64_t named_ms)
{
	struct request_limit *l = &e->limit->limit;

	if (!l->in_force)
		l->per_s = per_s; /* decides the number of holders */
	return request_limit_named(l, limits_part(e), per_s, named_ms,
				   proxyd_now(e->proxyd));
}

/* Returns the limit of an endpoint; creates it on first use. */
static struct endpoint_limit *limit_of(struct endpoint *e)
{
	if (!e->limit) {
		e->limit = xcalloc(1, sizeof(*e->limit));
		e->proxyd->limits->n++;
	}
	return e->limit;
}

/* Schedules the news that the limit has another value. */
static void tell_change(struct endpoint *e, double before)
{
	const struct endpoint_limit *l = e->limit;
	uint64_t now = proxyd_now(e->proxyd);
	uint64_t due_ms = now + request_limit_tell_ms(before, l->limit.per_s,
						      now - l->sent_ms);

	if (!l->sends_left)
		tell_others(e, due_ms, 1);
	else if (due_ms < l->send_due_ms)
		tell_others(e, due_ms, l->sends_left);
}

/* Schedules news of a limit for the other instances; they carry the newest
 * value. */
static void tell_others(struct endpoint *e, uint64_t due_ms, uint32_t sends)
{
	e->limit->sends_left = sends;
	e->limit->send_due_ms = due_ms;
}

/* Sends the news that are due. */
static void send_news(struct limits *t)
{
	struct endpoint *list[LIMITS_PER_DATAGRAM_MAX];
	uint64_t now = proxyd_now(t->proxyd);
	struct endpoint *e;
	uint32_t i = 0;
	size_t n = 0;

	while (n < LIMITS_PER_DATAGRAM_MAX &&
	       (e = endpoint_next(t->proxyd->endpoints, &i))) {
		struct endpoint_limit *l = e->limit;

		if (!l || !l->sends_left || now < l->send_due_ms)
			continue;
		l->sends_left--;
		l->send_due_ms = now + NEWS_INTERVAL_MS;
		l->sent_ms = now;
		list[n++] = e;
	}
	if (n)
		peers_announce_limits(t->proxyd->peers, NULL, list, n);
}

/* Tells the others from time to time which limits are still named. */
static void send_refresh(struct limits *t)
{
	struct proxyd *p = t->proxyd;
	struct endpoint *list[LIMITS_PER_DATAGRAM_MAX];
	uint64_t now = proxyd_now(p);
	struct endpoint *e;
	uint32_t i = 0;
	size_t n = 0;

	if (now - t->refreshed_ms <
	    (uint64_t)REFRESH_HEARTBEATS *
		    heartbeat_interval_ms(peers_listed(p->peers) + 1))
		return;
	t->refreshed_ms = now;
	while (n < LIMITS_PER_DATAGRAM_MAX &&
	       (e = endpoint_next(p->endpoints, &i))) {
		if (!limits_in_force(e) || !e->limit->named_here)
			continue;
		e->limit->named_here = false;
		list[n++] = e;
	}
	if (n)
		peers_announce_limits(p->peers, NULL, list, n);
}

/* Logs a limit that is news. */
static void log_limit(const struct endpoint *e, const char *event,
		      const char *request, const char *by, double before)
{
	const struct endpoint_limit *l = e->limit;

	event_log(before < 0 ? EVENT_NOTABLE : EVENT_ROUTINE, event, request,
		  "{s:s, s:s, s:f, s:f, s:I, s:i, s:b}", "endpoint", e->id,
		  "by", by, "per_s", l->limit.per_s, "before_per_s", before,
		  "named_ms_ago",
		  (json_int_t)(proxyd_now(e->proxyd) - l->limit.named_ms),
		  "holders", (int)l->part.holders, "holder", l->part.held);
}

/* Logs the end of a limit. */
static void log_ended(const struct endpoint *e, const char *request,
		      const char *by)
{
	const struct request_limit *l = &e->limit->limit;

	event_log(EVENT_NOTABLE, "endpoint-limit-over", request,
		  "{s:s, s:s, s:f, s:I, s:I}", "endpoint", e->id, "by", by,
		  "per_s", l->per_s, "since_ms_ago",
		  (json_int_t)(l->ended_ms - l->since_ms), "sent_ms_ago",
		  (json_int_t)(l->ended_ms - l->ended_sent_ms));
}

/* Returns the counter of answers with a step label. */
static struct counter *answer_counter(const char *step)
{
	return counter_labelled("cdm_endpoint_limits_total",
				"Answers on the limits of endpoints",
				COUNTER_TOTAL, "step", step);
}

/* Returns the counter of permits with a step label. */
static struct counter *permit_counter(const char *step)
{
	return counter_labelled("cdm_limit_permits_total",
				"Permits for requests to endpoints with limits",
				COUNTER_TOTAL, "step", step);
}
