/*
 * The one place that sees how each request ends.  An end without an answer is
 * logged with what is known of the request then, so that a single one names its
 * cause.  It also looks for requests that nothing would bring to an end before
 * their deadline.
 */
#include "proxyd/request_end.h"

#include <string.h>

#include "lib/event_log.h"
#include "policy/request_end.h"
#include "proxyd/exchange.h"

/* Stands in logs for a time that is not known. */
#define UNKNOWN_MS (-1)

static struct request_end_signs signs_of(const struct exchange *x,
					 const char *outcome, uint64_t now);
static void log_state(const struct exchange *x, const char *event,
		      const char *what, uint64_t now);
static json_int_t ms_since(uint64_t then, uint64_t now);
static json_int_t ms_until(uint64_t then, uint64_t now);

/* Registers the counters. */
void request_ends_init(struct exchanges *t)
{
	enum request_end end;

	for (end = REQUEST_END_ANSWERED; end <= REQUEST_END_UNEXCUSED; end++)
		t->request_ends[end] = counter_labelled(
			"cdm_request_ends_total",
			"Requests read whole, by how they ended", COUNTER_TOTAL,
			"end", request_end_name(end));
	t->unattended =
		counter_labelled("cdm_unattended_requests_total",
				 "Requests that only their deadline would end",
				 COUNTER_TOTAL, "kind", "all");
}

/* Counts the end of a request, and logs one without an answer.  Is called with the
 * outcome while the request's state is still that which it ended in. */
void request_ended(const struct exchange *x, const char *outcome)
{
	uint64_t now = proxyd_now(x->proxyd);
	const struct request_end_signs signs = signs_of(x, outcome, now);
	enum request_end end = request_end_decide(&signs);

	counter_add(x->proxyd->exchanges->request_ends[end], 1);
	if (!request_end_is_answered(end))
		log_state(x, "unanswered", request_end_name(end), now);
}

/* Counts the requests that the end of the process leaves unfinished. */
void request_ends_at_exit(const struct exchanges *t)
{
	const struct exchange *x;

	TAILQ_FOREACH(x, &t->list, link)
	if (x->phase != EXCHANGE_FINISHED)
		request_ended(x, "process ends");
}

/* Logs and counts an unfinished request, once, if only its deadline would end
 * it. */
void request_check_attended(struct exchange *x, uint64_t now)
{
	const struct request_attendance a = {
		.waits = x->phase == EXCHANGE_WAITING,
		.wait_ends = x->wait_until_ms != 0,
		.awaits_origin = x->awaits_origin,
		.called = x->call != NULL,
		.answer_ended = x->ended_ms != 0,
	};
	const char *what;

	if (x->phase == EXCHANGE_FINISHED || x->unattended)
		return;
	what = request_unattended(&a);
	if (!what)
		return;
	x->unattended = true;
	counter_add(x->proxyd->exchanges->unattended, 1);
	log_state(x, "unattended", what, now);
}

/* Returns what is known of a request that ends with an outcome. */
static struct request_end_signs signs_of(const struct exchange *x,
					 const char *outcome, uint64_t now)
{
	return (struct request_end_signs){
		.given = x->given,
		.refused = !strcmp(outcome, "refused"),
		.failed = !strcmp(outcome, "failed"),
		.caller_left = x->caller_left,
		.out_of_time = x->deadline_ms && now >= x->deadline_ms,
		.grace_over =
			planned_stop_must_abort(&x->proxyd->planned_stop, now),
		.broken_off = x->broken_off,
	};
}

/* Logs the state of a request and of what it depends on; what tells what became
 * of it. */
static void log_state(const struct exchange *x, const char *event,
		      const char *what, uint64_t now)
{
	static const char *const phases[] = {
		[EXCHANGE_WAITING] = "waiting",
		[EXCHANGE_SENT] = "sent",
		[EXCHANGE_FINISHED] = "finished",
	};
	static const char *const states[] = {
		[ENDPOINT_UP] = "up",
		[ENDPOINT_DOWN] = "down",
		[ENDPOINT_REPLACED] = "replaced",
	};
	const struct proxyd *p = x->proxyd;
	const struct endpoint *e = endpoint_get(p->endpoints, x->endpoint);

	event_log(EVENT_NOTABLE, event, x->fields.id,
		  "{s:s, s:s, s:b, s:I, s:s, s:i, s:i, s:b, s:b, s:b, s:b, "
		  "s:I, s:I, s:I, s:s, s:I, s:I, s:I, s:s, s:s, s:b, s:b, s:I, "
		  "s:I, s:b, s:s, s:I}",
		  "end", what, "why", x->why ? x->why : "", "begun",
		  x->response_started, "last_event",
		  (json_int_t)(x->has_last_event ? (int64_t)x->last_event_id
						 : -1),
		  "phase", phases[x->phase], "sends", (int)x->sends, "moves",
		  (int)x->moves, "held", x->held.call != NULL, "awaits_repeat",
		  x->awaits_repeat, "awaits_origin", x->awaits_origin,
		  "awaits_permit", x->awaits_permit, "wait_left_ms",
		  ms_until(x->wait_until_ms, now), "age_ms",
		  (json_int_t)(now - x->received_ms), "left_ms",
		  ms_until(x->deadline_ms, now), "route",
		  x->route ? x->route->name : "", "version",
		  (json_int_t)(x->routes ? x->routes->version : 0),
		  "version_now",
		  (json_int_t)(p->routes ? p->routes->version : 0),
		  "version_age_ms", ms_since(p->routes_since_ms, now),
		  "endpoint", e ? e->id : "", "state",
		  e ? states[e->state] : "unknown", "leaving",
		  e && endpoint_is_leaving(e), "listed",
		  e && !e->expiry.removed, "heard_ms_ago",
		  ms_since(e ? e->heard_ms : 0, now), "silent_ms",
		  ms_since(x->last_event_ms, now), "relayed", relay_in_use(x),
		  "relayed_by", x->fields.relayed_by, "stopping_ms",
		  ms_since(p->planned_stop.signal_ms, now));
}

/* Returns the time since then, ms; then may be 0: unknown. */
static json_int_t ms_since(uint64_t then, uint64_t now)
{
	return then ? (json_int_t)now - (json_int_t)then : UNKNOWN_MS;
}

/* Returns the time until then, ms, 0 if it is over; then may be 0: unknown. */
static json_int_t ms_until(uint64_t then, uint64_t now)
{
	if (!then)
		return UNKNOWN_MS;
	return then > now ? (json_int_t)(then - now) : 0;
}
