/*
 * Requests for which the endpoints that are up have named limits and this
 * instance has no permit: they wait for one of its own or of another instance,
 * in the order of their urgency, or are refused.
 */
#include <string.h>

#include "lib/event_log.h"
#include "policy/lost_run_wait.h"
#include "proxyd/exchange.h"
#include "proxyd/limits_table.h"
#include "proxyd/peers.h"

/* What the endpoints of a service take, as this instance sees it. */
struct supply {
	uint32_t permits; /* available here */
	uint32_t own_ms; /* until an own permit for a certain request */
	uint32_t ask_ms; /* until others may be asked for permits */
	double per_s; /* taken from all instances together */
	struct endpoint *endpoint; /* one that may be asked for; or NULL */
};

static struct supply supply_of(const struct exchange *x, uint32_t ahead);
static bool is_avoided(const struct exchange *x, const struct endpoint *e);
static uint32_t count_ahead(const struct exchange *x);
static struct limit_turn turn_of(const struct exchange *x);
static void log_limited(const struct exchange *x, const struct endpoint *e,
			const char *outcome, uint32_t ahead);
static struct counter *outcome_counter(const char *outcome);

/* Registers the counters. */
void limit_queue_init(struct limits *t)
{
	t->elsewhere = outcome_counter("elsewhere");
	t->waited = outcome_counter("waited");
	t->refused = outcome_counter("refused");
}

/* Returns whether the permits that are available here are for requests that go
 * before this one. */
bool limit_queue_is_behind(const struct exchange *x)
{
	uint32_t ahead;

	if (!x->proxyd->limits->n_waiting)
		return false;
	ahead = count_ahead(x);
	return ahead && ahead >= supply_of(x, 0).permits;
}

/* Decides about a request that no endpoint takes because of limits.  Makes it
 * wait, and asks other instances for permits, or returns false: it is to be
 * refused. */
bool limit_queue_wait(struct exchange *x)
{
	const struct limit_turn turn = turn_of(x);
	struct proxyd *p = x->proxyd;
	bool first = !x->awaits_permit;
	uint32_t ahead = count_ahead(x);
	struct supply s = supply_of(x, ahead);
	struct limit_wait w = {
		.own_ms = s.own_ms,
		.ask_ms = s.ask_ms,
		.per_s = s.per_s / (double)(peers_alive(p->peers) + 1),
		.ahead = ahead,
		.left_ms = limit_wait_left_ms(&turn, x->route->target_ms,
					      proxyd_now(p)),
	};

	if (s.endpoint && (limits_borrow(s.endpoint, ahead + 1) ||
			   peers_permits_pending(s.endpoint)))
		w.ask_ms = 0;
	else if (!w.ask_ms)
		w.ask_ms = REQUEST_LIMIT_NEVER; /* there is nobody to ask */
	if (!turn.lost && !limit_wait_decide(&w))
		return false;
	if (!first)
		return true;
	x->awaits_permit = true;
	p->limits->n_waiting++;
	counter_add(p->limits->waited, 1);
	if (turn.lost)
		exchange_wait_for(
			x, lost_run_wait_ms(x->response_started, true,
					    x->deadline_ms - proxyd_now(p)));
	else
		exchange_wait_for(x, w.left_ms);
	if (s.endpoint)
		log_limited(x, s.endpoint, "waits", ahead);
	return true;
}

/* Asks another instance for a permit for a request that would leave its
 * endpoint and does not wait here. */
void limit_queue_ask(const struct exchange *x)
{
	struct supply s = supply_of(x, 0);

	if (s.endpoint)
		limits_borrow(s.endpoint, 1);
}

/* Removes a request from those that wait for a permit. */
void limit_queue_leave(struct exchange *x)
{
	if (!x->awaits_permit)
		return;
	x->awaits_permit = false;
	x->proxyd->limits->n_waiting--;
}

/* Refuses a request because the limits of all endpoints are reached. */
void limit_queue_refuse(struct exchange *x)
{
	struct proxyd *p = x->proxyd;
	uint64_t now = proxyd_now(p);
	uint32_t ahead = count_ahead(x);
	struct supply s = supply_of(x, ahead);
	uint32_t left_ms =
		x->deadline_ms > now ? (uint32_t)(x->deadline_ms - now) : 0;
	uint32_t retry_ms = limit_return_ms(
		endpoints_limit_return(p->endpoints, x->service),
		s.per_s / (double)(peers_alive(p->peers) + 1), left_ms, now,
		proxyd_random());

	counter_add(p->limits->refused, 1);
	if (s.endpoint)
		log_limited(x, s.endpoint, "refused", ahead);
	exchange_refuse(x, 503, retry_ms,
			"the limits of all endpoints are reached");
}

/* Records that a request goes to another endpoint because of a limit. */
void limit_queue_elsewhere(struct exchange *x,
			   const struct placement_choice *choice)
{
	struct endpoint *e =
		endpoint_get(x->proxyd->endpoints,
			     endpoints_candidate(x->proxyd->endpoints,
						 choice->limited_index));

	counter_add(x->proxyd->limits->elsewhere, 1);
	if (e && limits_in_force(e))
		log_limited(x, e, "elsewhere", 0);
}

/* Adds up what the endpoints of the request's service take that are up, have
 * named limits and have not failed it; ahead requests go before it. */
static struct supply supply_of(const struct exchange *x, uint32_t ahead)
{
	struct endpoints *t = x->proxyd->endpoints;
	uint64_t now = proxyd_now(x->proxyd);
	struct supply s = { .own_ms = REQUEST_LIMIT_NEVER,
			    .ask_ms = REQUEST_LIMIT_NEVER };
	uint32_t draws = 0;
	struct endpoint *e;
	uint32_t i = 0;

	while ((e = endpoint_next(t, &i))) {
		uint32_t own_ms;
		uint32_t ask_ms;

		if (!limits_in_force(e) ||
		    strcmp(e->service, x->service) != 0 ||
		    e->state != ENDPOINT_UP || !endpoint_accepts_work(e, now) ||
		    is_avoided(x, e))
			continue;
		s.permits += limits_available(e);
		s.per_s += request_limit_per_s(&e->limit->limit, now);
		own_ms = request_limit_wait_ms(&e->limit->limit, limits_part(e),
					       ahead, now);
		if (own_ms < s.own_ms)
			s.own_ms = own_ms;
		ask_ms = limits_ask_in_ms(e);
		if (ask_ms > s.ask_ms)
			continue;
		if (ask_ms < s.ask_ms)
			draws = 0;
		s.ask_ms = ask_ms;
		if (proxyd_random() % ++draws == 0)
			s.endpoint = e;
	}
	return s;
}

/* Returns whether the request has failed at an endpoint. */
static bool is_avoided(const struct exchange *x, const struct endpoint *e)
{
	size_t i;

	for (i = 0; i < x->n_avoided; i++)
		if (handle_equal(x->avoided[i], e->self))
			return true;
	return false;
}

/* Returns how many requests wait for a permit of the same service and go before
 * this one. */
static uint32_t count_ahead(const struct exchange *x)
{
	const struct limit_turn own = turn_of(x);
	const struct exchange *other;
	uint32_t n = 0;

	if (!x->proxyd->limits->n_waiting)
		return 0;
	TAILQ_FOREACH(other, &x->proxyd->exchanges->list, link)
	{
		struct limit_turn turn;

		if (other == x || !other->awaits_permit ||
		    strcmp(other->service, x->service) != 0)
			continue;
		turn = turn_of(other);
		n += limit_turn_before(&turn, &own);
	}
	return n;
}

/* Describes a request to the policy.  The priority of an organisation takes
 * precedence over that of the route. */
static struct limit_turn turn_of(const struct exchange *x)
{
	const struct organisation *o = x->organisation;

	return (struct limit_turn){
		.lost = x->response_started || x->moves,
		.priority = o && o->priority != ORGANISATION_NO_PRIORITY
				    ? o->priority
				    : x->route->priority,
		.deadline_ms = x->deadline_ms,
		.received_ms = x->received_ms,
	};
}

/* Logs what became of a request because of the limit of an endpoint. */
static void log_limited(const struct exchange *x, const struct endpoint *e,
			const char *outcome, uint32_t ahead)
{
	const struct endpoint_limit *l = e->limit;
	uint64_t now = proxyd_now(x->proxyd);

	event_log(
		!strcmp(outcome, "refused") ? EVENT_NOTABLE : EVENT_ROUTINE,
		"limited", x->fields.id,
		"{s:s, s:s, s:f, s:I, s:I, s:s, s:i, s:i, s:b, s:f, s:i, "
		"s:i, s:I}",
		"outcome", outcome, "endpoint", e->id, "per_s", l->limit.per_s,
		"since_ms_ago", (json_int_t)(now - l->limit.since_ms),
		"named_ms_ago", (json_int_t)(now - l->limit.named_ms),
		"named_by", l->source, "holders", (int)l->part.holders,
		"holders_alive", (int)l->part.alive, "holder", l->part.held,
		"permits", l->limit.permits, "borrowed", (int)l->limit.borrowed,
		"ahead", (int)ahead, "denied_ms",
		(json_int_t)(l->denied_until_ms > now ? l->denied_until_ms - now
						      : 0));
}

/* Returns the counter of requests with an outcome label. */
static struct counter *outcome_counter(const char *outcome)
{
	return counter_labelled(
		"cdm_limited_requests_total",
		"Requests that found an endpoint's limit reached",
		COUNTER_TOTAL, "outcome", outcome);
}
