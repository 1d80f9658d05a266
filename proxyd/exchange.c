/*
 * Handles a request of a caller from its arrival to its answer: finds its route
 * and organisation, chooses an endpoint, and answers, refuses or fails it.
 */
#include "proxyd/exchange.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/event_log.h"
#include "lib/xalloc.h"
#include "policy/content.h"
#include "policy/capacity_wait.h"
#include "policy/lost_run_wait.h"
#include "policy/unconfigured.h"
#include "proxyd/answer_ends.h"
#include "proxyd/origins.h"
#include "proxyd/peers.h"
#include "proxyd/request_end.h"
#include "proxyd/suspects.h"
#include "proxyd/watch.h"

/* Estimates until the first runs have completed. */
#define RUN_DEFAULT_MS 6000.0F
#define PREFILL_DEFAULT_MS_PER_TOKEN 0.22F

/* Retry-After when no endpoint is up: within this time a vanished endpoint is
 * detected as dead or is back. */
#define RETRY_NONE_UP_MS 300

/* Retry-After when no endpoint runs the version that began a stream: one that
 * has crashed is listed again after some seconds, with the same version. */
#define RETRY_VERSION_MS 1000

/* How long a stream that lost its engine waits for another one. */
#define STREAM_WAIT_MS 1500

/* Connection failures after which a request is given up. */
#define CONNECTS_MAX 4

/* Time in which a newly started process reads its configuration. */
#define START_WAIT_MS 500

/* Typical duration of a call to a service without engines. */
#define PLAIN_CALL_MS 200

static void process_request(struct exchange *x);
static void refuse_unconfigured(struct exchange *x);
static void note_relayed_here(struct exchange *x);
static void take_up(struct exchange *x);
static void choose_service_of_origin(struct exchange *x);
static void start(struct exchange *x);
static bool find_route(struct exchange *x);
static void set_service(struct exchange *x, const char *service);
static bool find_organisation(struct exchange *x);
static uint64_t hash_content(const struct exchange *x);
static bool accept_or_refuse(struct exchange *x);
static bool may_have_begun(const struct exchange *x);
static void dispatch_failed(struct exchange *x,
			    const struct placement_choice *choice);
static void wait_for_endpoint(struct exchange *x,
			      const struct placement_choice *choice);
static void wait_for_capacity(struct exchange *x);
static uint64_t waiting_tokens(const struct exchange *x);
static uint64_t used_tokens(const struct exchange *x);
static void reply_error(struct exchange *x, int status, uint32_t retry_ms,
			const char *why);
static void check_overdue(struct exchange *x, uint64_t now);
static void tick_exchange(struct exchange *x, uint64_t now);
static void tick_waiting(struct exchange *x, uint64_t now);
static void repeat(struct exchange *x);
static void free_exchange(struct exchanges *t, struct exchange *x);
static struct counter *outcome_counter(const char *outcome);

/* Creates the table of exchanges and registers its metrics. */
struct exchanges *exchanges_new(struct proxyd *p)
{
	struct exchanges *t = xcalloc(1, sizeof(*t));
	enum answer_end end;

	t->proxyd = p;
	TAILQ_INIT(&t->list);
	t->run_ms = RUN_DEFAULT_MS;
	t->prefill_ms_per_token = PREFILL_DEFAULT_MS_PER_TOKEN;
	t->served = outcome_counter("served");
	t->refused = outcome_counter("refused");
	t->failed = outcome_counter("failed");
	t->caller_left = outcome_counter("left by caller");
	t->moved = counter_labelled("cdm_moves_total",
				    "Runs that went on at another endpoint",
				    COUNTER_TOTAL, "from", "prompt");
	t->moved_copy = counter_labelled(
		"cdm_moves_total", "Runs that went on at another endpoint",
		COUNTER_TOTAL, "from", "copy");
	t->moved_decode = counter_labelled(
		"cdm_moves_total", "Runs that went on at another endpoint",
		COUNTER_TOTAL, "from", "prompt read");
	t->end_questions = counter_labelled(
		"cdm_probes_total",
		"Connections made only to see whether an endpoint lives",
		COUNTER_TOTAL, "kind", "end of an answer");
	for (end = ANSWER_END_WHOLE; end <= ANSWER_END_LEFT; end++)
		t->ends[end] = counter_labelled(
			"cdm_unframed_ends_total",
			"Answers without a length whose connection was closed",
			COUNTER_TOTAL, "outcome", answer_end_name(end));
	exchange_repeats_init(t);
	answer_ends_init(t);
	request_ends_init(t);
	relay_init(t);
	t->first_event.name = "cdm_first_event_ms";
	t->first_event.help = "Arrival to first event of a stream, ms";
	histogram_register(&t->first_event);
	t->plain_answer.name = "cdm_plain_answer_ms";
	t->plain_answer.help = "Arrival to answer of a plain call, ms";
	histogram_register(&t->plain_answer);
	t->pause_moved.name = "cdm_moved_pause_ms";
	t->pause_moved.help = "Pause of a stream that moved, ms";
	histogram_register(&t->pause_moved);
	return t;
}

/* Fails overdue requests, retries waiting ones, checks streams for silence and
 * frees finished exchanges. */
void exchanges_tick(struct exchanges *t)
{
	uint64_t now = proxyd_now(t->proxyd);
	struct exchange *x = TAILQ_FIRST(&t->list);

	while (x) {
		struct exchange *next;

		if (x->phase != EXCHANGE_FINISHED)
			tick_exchange(x, now);
		request_check_attended(x, now);
		next = TAILQ_NEXT(x, link);
		if (x->phase == EXCHANGE_FINISHED)
			free_exchange(t, x);
		x = next;
	}
}

/* Discounts a stall of this process from the silence of all runs. */
void exchanges_discount_stall(struct exchanges *t, uint64_t stall_ms)
{
	uint64_t now = proxyd_now(t->proxyd);
	struct exchange *x;

	TAILQ_FOREACH(x, &t->list, link)
	{
		x->last_event_ms += stall_ms;
		x->held.last_event_ms += stall_ms;
		if (x->first_event_due_ms)
			x->first_event_due_ms += stall_ms;
		if (x->held.first_event_due_ms)
			x->held.first_event_due_ms += stall_ms;
		if (x->ended_ms)
			x->ended_ms = x->ended_ms + stall_ms < now
					      ? x->ended_ms + stall_ms
					      : now;
	}
}

/* Returns the number of unfinished requests. */
uint32_t exchanges_open(const struct exchanges *t)
{
	return t->n_open;
}

/* Accepts a request of a caller. */
void exchanges_start(struct exchanges *t, struct http1_conn *caller,
		     struct http1_request *r)
{
	struct proxyd *p = t->proxyd;
	struct exchange *x = xcalloc(1, sizeof(*x));

	x->proxyd = p;
	x->caller = caller;
	x->request = r;
	x->received_ms = r->received_ms;
	x->phase = EXCHANGE_WAITING;
	TAILQ_INSERT_TAIL(&t->list, x, link);
	t->n_open++;
	http1_set_owner(caller, x);
	if (!p->protocol->decode_request(&r->head, &x->fields)) {
		exchange_fail(x, 400, "malformed header");
		return;
	}
	if (x->fields.relayed_by[0])
		note_relayed_here(x);
	if (p->routes)
		process_request(x);
	else if (watches_starting(p->watches))
		x->wait_until_ms = proxyd_now(p) + START_WAIT_MS;
	else
		refuse_unconfigured(x);
}

/* Processes a request once there is a configuration. */
static void process_request(struct exchange *x)
{
	x->wait_until_ms = 0;
	if (!find_route(x) || !find_organisation(x) || !accept_or_refuse(x))
		return;
	x->content = hash_content(x);
	if (x->fields.resumes && x->route->kind == KIND_STREAM) {
		origins_arrived(x->proxyd->origins, x);
		x->origin_needed = true;
	}
	start(x);
}

/* Logs and counts a request that another instance relays here. */
static void note_relayed_here(struct exchange *x)
{
	counter_add(x->proxyd->exchanges->relayed_here, 1);
	event_log(EVENT_ROUTINE, "relayed-here", x->fields.id, "{s:s, s:b}",
		  "by", x->fields.relayed_by, "counted",
		  x->fields.relay_counted);
}

/* Sends a stream that its caller resumes, or that began by another instance, to
 * the version that began it, once that is known. */
static void take_up(struct exchange *x)
{
	x->awaits_origin = false;
	switch (origins_find(x->proxyd->origins, x)) {
	case TAKE_UP_BOUND:
		x->origin_needed = false;
		choose_service_of_origin(x);
		start(x);
		break;
	case TAKE_UP_ASK:
	case TAKE_UP_WAIT:
		x->awaits_origin = true;
		x->phase = EXCHANGE_WAITING;
		break;
	case TAKE_UP_REFUSE:
		exchange_refuse(x, 503,
				origins_write_interval_ms(x->proxyd->origins),
				"the stream's software version is unknown");
		break;
	}
}

/* Chooses the service that began the stream among those of the route; if it is
 * none of these any more, no endpoint continues the stream. */
static void choose_service_of_origin(struct exchange *x)
{
	struct endpoints *endpoints = x->proxyd->endpoints;
	size_t i;

	for (i = 0; i < x->route->n_shares; i++) {
		const char *service = x->route->shares[i].service;

		if (endpoints_software_in_service(endpoints, x->software,
						  service))
			set_service(x, service);
	}
}

/* Counts a request and sends it.  One that will be relayed is counted by the
 * other instance. */
static void start(struct exchange *x)
{
	if (!x->origin_needed &&
	    !endpoints_path_lost(x->proxyd->endpoints, x->service))
		exchange_count(x);
	exchange_dispatch(x);
}

/* Counts a request for its service, once, and by one instance only. */
void exchange_count(struct exchange *x)
{
	struct proxyd *p = x->proxyd;

	if (x->counted || x->fields.relay_counted)
		return;
	x->counted = true;
	repeat_count_request(endpoints_budget(p->endpoints, x->service),
			     &p->repeat, proxyd_now(p));
}

/* Refuses a request that arrived before any configuration. */
static void refuse_unconfigured(struct exchange *x)
{
	uint32_t retry_ms = unconfigured_retry_ms(
		x->fields.deadline_ms, peers_configured(x->proxyd->peers),
		proxyd_random());

	x->unable = true;
	exchange_refuse(x, 503, retry_ms, "no configuration is known yet");
}

/* Handles the loss of the path to a service's endpoints: what has not reached its
 * endpoint yet goes by another instance.  What has may be answered, as open
 * connections may live on. */
void exchanges_path_lost(struct exchanges *t, const char *service)
{
	struct exchange *x;

	TAILQ_FOREACH(x, &t->list, link)
	{
		if (x->phase != EXCHANGE_SENT || !x->call || relay_in_use(x) ||
		    http1_call_connected(x->call) ||
		    strcmp(x->service, service) != 0)
			continue;
		if (x->route->kind == KIND_STREAM) {
			stream_move(x, "path lost", false);
			continue;
		}
		x->sends--;
		attempt_cancel(x);
		exchange_dispatch(x);
	}
}

/* Notes that an endpoint leaves a call unanswered for too long.  If there is no
 * path to it, a call that may be repeated goes by another instance. */
static void check_overdue(struct exchange *x, uint64_t now)
{
	struct endpoints *endpoints = x->proxyd->endpoints;
	const struct endpoint *e = endpoint_get(endpoints, x->endpoint);
	const struct path_call call = {
		.usual_ms = e ? (uint32_t)e->latency_ms : 0,
		.sent_ms = x->sent_ms,
		.engine = x->route->kind == KIND_STREAM,
		.first_event_due_ms = x->first_event_due_ms,
		.last_event_ms = x->last_event_ms,
	};

	if (!x->call || !http1_call_connected(x->call) ||
	    (x->status && !call.engine) ||
	    (x->caller && http1_pending(x->caller)) ||
	    !path_call_overdue(&call, now))
		return;
	if (!x->overdue)
		endpoint_unanswered(endpoints, x->endpoint,
				    call.engine ? x->last_event_ms
						: x->sent_ms);
	x->overdue = true;
	if (call.engine || !endpoints_path_lost(endpoints, x->service) ||
	    !route_may_run_again(x->route) || !relay_available(x))
		return;
	x->awaits_repeat = !exchange_repeat_allowed(x);
	if (x->awaits_repeat)
		return;
	x->may_have_run = true;
	exchange_avoid(x, x->endpoint);
	attempt_cancel(x);
	exchange_dispatch(x);
}

/* Handles an endpoint that is taken for dead: moves its silent runs, repeats
 * its idempotent calls, and sends calls that it has not received yet to other
 * endpoints.  What no other endpoint may take stays, as the endpoint may be
 * alive. */
void exchanges_endpoint_lost(struct exchanges *t, struct handle endpoint)
{
	uint64_t now = proxyd_now(t->proxyd);
	struct exchange *x;

	TAILQ_FOREACH(x, &t->list, link)
	{
		if (x->phase == EXCHANGE_FINISHED)
			continue;
		if (handle_equal(x->copy.endpoint, endpoint))
			kv_copy_clear(x);
		if (!x->call || !handle_equal(x->endpoint, endpoint))
			continue;
		suspects_endpoint_lost(x, endpoint_get(t->proxyd->endpoints,
						       endpoint));
		if (x->route->kind == KIND_STREAM) {
			if (http1_call_connected(x->call))
				stream_check_silence(x, now);
			else
				stream_move(x, "endpoint lost", false);
			continue;
		}
		if (x->route->kind == KIND_AT_MOST_ONCE &&
		    http1_call_connected(x->call))
			continue;
		if (http1_call_connected(x->call) &&
		    (!exchange_has_alternative(x) ||
		     !exchange_repeat_allowed(x)))
			continue;
		x->may_have_run = x->may_have_run ||
				  http1_call_connected(x->call);
		if (http1_call_connected(x->call))
			suspects_run_left(x);
		else
			x->sends--;
		attempt_cancel(x);
		exchange_avoid(x, endpoint);
		exchange_dispatch(x);
	}
}

/* Handles a caller that disconnects before its answer is complete.  A call that
 * may run only once is left to complete; any other is cancelled so that its
 * endpoint stops. */
void exchange_caller_left(void *owner)
{
	struct exchange *x = owner;

	x->caller = NULL;
	x->request = NULL;
	x->caller_left = true;
	if (x->phase == EXCHANGE_SENT && x->route->kind == KIND_AT_MOST_ONCE &&
	    x->call && http1_call_connected(x->call))
		return;
	attempt_cancel(x);
	exchange_finish(x, "left by caller");
}

/* Returns the criteria for the choice of an endpoint for the request. */
struct endpoint_criteria exchange_endpoint_criteria(const struct exchange *x)
{
	return (struct endpoint_criteria){
		.service = x->service,
		.tokens = x->tokens,
		.software = x->software,
		.session = x->fields.session,
		.resumes = x->fields.resumes || x->has_last_event,
		.avoided = x->avoided,
		.n_avoided = x->n_avoided,
		.behind = limit_queue_is_behind(x),
	};
}

/* Returns whether another endpoint accepts the request, which is at one now.
 * If others would but for their limits, asks the other instances for a
 * permit. */
bool exchange_has_alternative(struct exchange *x)
{
	struct endpoint_criteria criteria = exchange_endpoint_criteria(x);
	struct handle avoided[ENDPOINT_AVOID_MAX + 1];
	struct handle endpoint = { 0 };
	struct placement_choice choice;

	if (endpoints_path_lost(x->proxyd->endpoints, x->service) &&
	    relay_available(x))
		return true;
	memcpy(avoided, x->avoided, sizeof(x->avoided));
	avoided[x->n_avoided] = x->endpoint;
	criteria.avoided = avoided;
	criteria.n_avoided = x->n_avoided + 1;
	choice = endpoints_place(x->proxyd->endpoints, &criteria,
				 x->engine != NULL, &endpoint);
	if (choice.outcome == PLACEMENT_ALL_AVOIDED &&
	    x->route->kind == KIND_STREAM) {
		avoided[0] = x->endpoint;
		criteria.n_avoided = 1;
		choice = endpoints_place(x->proxyd->endpoints, &criteria,
					 x->engine != NULL, &endpoint);
	}
	if (choice.outcome != PLACEMENT_OK && choice.limited)
		limit_queue_ask(x);
	return choice.outcome == PLACEMENT_OK;
}

/* Chooses an endpoint and sends the request to it; if none accepts it, the
 * request waits or is refused.  One that has waited may be too late for a
 * planned stop. */
void exchange_dispatch(struct exchange *x)
{
	struct endpoint_criteria criteria = exchange_endpoint_criteria(x);
	struct handle endpoint = { 0 };
	struct placement_choice choice = { .outcome = PLACEMENT_ALL_AVOIDED };
	bool offer_again;

	if (!may_have_begun(x) && !accept_or_refuse(x))
		return;
	if (suspects_hold_or_refuse(x)) {
		if (x->phase == EXCHANGE_WAITING)
			handover_restore(x, "its content is held");
		return;
	}
	if (endpoints_path_lost(x->proxyd->endpoints, x->service) &&
	    relay_start(x, "no path"))
		return;
	if (x->origin_needed) {
		take_up(x);
		return;
	}
	offer_again = lost_run_offered_again(x->failed_ms, x->offers_again,
					     proxyd_now(x->proxyd));
	if (!x->offers_again || offer_again)
		choice = endpoints_place(x->proxyd->endpoints, &criteria,
					 x->engine != NULL, &endpoint);
	if (choice.outcome == PLACEMENT_ALL_AVOIDED && x->n_avoided &&
	    x->route->kind == KIND_STREAM && offer_again) {
		x->n_avoided = 0; /* an avoided endpoint is better than none */
		x->offers_again += x->failed_ms != 0;
		if (x->held.call)
			exchange_avoid(x, x->held.endpoint);
		criteria = exchange_endpoint_criteria(x);
		choice = endpoints_place(x->proxyd->endpoints, &criteria,
					 x->engine != NULL, &endpoint);
	}
	x->skipped_leaving = choice.leaving;
	x->skipped_paused = choice.paused;
	if (choice.outcome != PLACEMENT_OK) {
		dispatch_failed(x, &choice);
		return;
	}
	if (choice.limited)
		limit_queue_elsewhere(x, &choice);
	attempt_start(x, endpoint, NULL);
}

/* Makes the request wait, for up to STREAM_WAIT_MS, until it may be sent. */
void exchange_wait(struct exchange *x)
{
	exchange_wait_for(x, STREAM_WAIT_MS);
}

/* Makes the request wait for up to ms until it may be sent.  One that waits
 * already keeps its time. */
void exchange_wait_for(struct exchange *x, uint32_t ms)
{
	if (!x->wait_until_ms) {
		x->wait_until_ms = proxyd_now(x->proxyd) + ms;
		x->proxyd->exchanges->waiting_tokens += x->tokens;
	}
	x->phase = EXCHANGE_WAITING;
}

/* Ends the time for which a request waits, also for a permit; its phase is set by
 * what follows. */
void exchange_stop_waiting(struct exchange *x)
{
	if (x->phase == EXCHANGE_WAITING && x->wait_until_ms)
		x->proxyd->exchanges->waiting_tokens -=
			x->tokens; /* 0 before its route is known */
	x->wait_until_ms = 0;
	limit_queue_leave(x);
}

/* Makes a run that has lost its endpoint wait for another one; out_of_reach tells
 * whether none that continues it can be reached now.  If that is not for want of a
 * path, its caller does better to come back at another instance.  What is known now
 * decides, also if the wait has begun under other circumstances. */
void exchange_wait_lost(struct exchange *x, bool out_of_reach)
{
	uint64_t now = proxyd_now(x->proxyd);
	bool no_path = out_of_reach &&
		       endpoints_path_lost(x->proxyd->endpoints, x->service);
	uint32_t ms = lost_run_wait_ms(x->response_started, no_path,
				       x->deadline_ms - now);

	exchange_wait_for(x, ms);
	if (now + ms < x->wait_until_ms || (no_path && x->response_started))
		x->wait_until_ms = now + ms;
}

/* Makes a run that has lost its endpoint wait for a repeat, as the budget has none
 * left now. */
void exchange_wait_repeat(struct exchange *x)
{
	exchange_wait_lost(x, false);
	x->awaits_repeat = true;
}

/* Excludes an endpoint from later choices; drops the oldest exclusion if there
 * are too many. */
void exchange_avoid(struct exchange *x, struct handle h)
{
	if (handle_is_none(h)) /* of an attempt at another instance */
		return;
	if (x->n_avoided == ENDPOINT_AVOID_MAX) {
		memmove(x->avoided, x->avoided + 1,
			sizeof(h) * (ENDPOINT_AVOID_MAX - 1));
		x->n_avoided--;
	}
	x->avoided[x->n_avoided++] = h;
}

/* Refuses a request that has not run; the caller may retry.  A request that may
 * have run fails instead, as a refusal states that it has not. */
void exchange_refuse(struct exchange *x, int status, uint32_t retry_after_ms,
		     const char *why)
{
	if (x->may_have_run) {
		exchange_fail(x, 502, why);
		return;
	}
	x->why = why;
	event_log(EVENT_NOTABLE, "refused", x->fields.id,
		  "{s:i, s:s, s:I, s:I, s:I, s:s}", "status", status, "why",
		  why, "retry_after_ms", (json_int_t)retry_after_ms, "age_ms",
		  (json_int_t)(proxyd_now(x->proxyd) - x->received_ms),
		  "version", (json_int_t)(x->routes ? x->routes->version : 0),
		  "route", x->route ? x->route->name : "");
	reply_error(x, status, retry_after_ms, why);
	exchange_finish(x, "refused");
}

/* Fails a request; it may or may not have run. */
void exchange_fail(struct exchange *x, int status, const char *why)
{
	event_log(EVENT_NOTABLE, "failed", x->fields.id,
		  "{s:i, s:s, s:i, s:I, s:I, s:I, s:s, s:b}", "status", status,
		  "why", why, "sends", (int)x->sends, "age_ms",
		  (json_int_t)(proxyd_now(x->proxyd) - x->received_ms),
		  "version", (json_int_t)(x->routes ? x->routes->version : 0),
		  "view_ms",
		  (json_int_t)watches_view_age_ms(x->proxyd->watches), "route",
		  x->route ? x->route->name : "", "begun", x->response_started);
	counter_add(x->proxyd->exchanges->failed, 1);
	x->why = why;
	attempt_cancel(x);
	reply_error(x, status, 0, why);
	exchange_finish(x, "failed");
}

/* Finishes the request; it is freed at the next tick. */
void exchange_finish(struct exchange *x, const char *outcome)
{
	struct exchanges *t = x->proxyd->exchanges;
	uint64_t now = proxyd_now(x->proxyd);

	if (x->phase == EXCHANGE_FINISHED)
		return;
	request_ended(x, outcome);
	exchange_stop_waiting(x);
	if (x->repeat_reserved)
		repeat_return(endpoints_budget(x->proxyd->endpoints,
					       x->service),
			      x->repeat_kind);
	x->repeat_reserved = false;
	handover_end(x);
	kv_copy_drop_kept(x);
	x->phase = EXCHANGE_FINISHED;
	t->n_open--;
	if (!strcmp(outcome, "served"))
		counter_add(t->served, 1);
	if (!strcmp(outcome, "refused"))
		counter_add(t->refused, 1);
	if (!strcmp(outcome, "left by caller"))
		counter_add(t->caller_left, 1);
	event_log(EVENT_ROUTINE, "over", x->fields.id,
		  "{s:s, s:I, s:i, s:I, s:I, s:i}", "outcome", outcome,
		  "age_ms", (json_int_t)(now - x->received_ms), "status",
		  x->status, "first_event_ms", (json_int_t)x->first_event_ms,
		  "longest_gap_ms", (json_int_t)x->longest_gap_ms, "moves",
		  (int)x->moves);
}

/* Finds the route and sets the fields that depend on it; false if the request
 * has failed. */
static bool find_route(struct exchange *x)
{
	const struct http1_head *head = &x->request->head;
	struct proxyd *p = x->proxyd;
	uint64_t limit;

	x->routes = routes_ref(p->routes);
	x->route = routes_find(p->routes, x->fields.host, x->fields.host_len,
			       head->target, head->target_len);
	if (!x->route) {
		exchange_fail(x, 404, "no such route");
		return false;
	}
	set_service(x, route_choose_service(x->route, proxyd_random()));
	limit = x->route->timeout_ms;
	/* the instance that relays a request has applied its route's limit, which
	 * may be of another configuration */
	if (x->fields.deadline_ms &&
	    (x->fields.deadline_ms < limit || x->fields.relayed_by[0]))
		limit = x->fields.deadline_ms;
	x->deadline_ms = x->received_ms + limit;
	return true;
}

/* Sets the service whose endpoints get the request. */
static void set_service(struct exchange *x, const char *service)
{
	x->service = service;
	x->engine = routes_service(x->routes, service);
	if (x->engine && !x->engine->engine)
		x->engine = NULL;
	x->tokens = x->engine
			    ? x->fields.prompt_tokens + x->fields.output_tokens
			    : 0;
}

/* Finds the organisation by the key; false if the request has failed. */
static bool find_organisation(struct exchange *x)
{
	if (!x->routes->keys_needed || x->route->open)
		return true;
	if (x->fields.key)
		x->organisation = routes_organisation(x->routes, x->fields.key,
						      x->fields.key_len);
	if (!x->organisation)
		exchange_fail(x, 401, "unknown key");
	return x->organisation != NULL;
}

/* Returns the hash of the request's content. */
static uint64_t hash_content(const struct exchange *x)
{
	const struct content content = {
		.caller = x->organisation ? x->organisation->name : "",
		.target = x->request->head.target,
		.target_len = x->request->head.target_len,
		.body = x->request->body,
		.body_len = x->request->body_len,
	};

	return content_hash(&content);
}

/* Returns whether a request that has not run can complete before a planned stop
 * ends; refuses it otherwise. */
static bool accept_or_refuse(struct exchange *x)
{
	struct proxyd *p = x->proxyd;
	const struct planned_stop_request r = {
		.received_ms = x->received_ms,
		.until_ms = x->deadline_ms,
		.expected_ms = x->engine ? (uint64_t)p->exchanges->run_ms
					 : PLAIN_CALL_MS,
		.repeatable = route_may_run_again(x->route),
		.other_instance = peers_alive(p->peers) != 0,
	};

	if (planned_stop_accepts(&p->planned_stop, &r, proxyd_now(p)))
		return true;
	x->unable = true;
	exchange_refuse(x, 503, planned_stop_retry_ms(&p->planned_stop),
			"this instance is stopping");
	return false;
}

/* Returns whether an endpoint may have run a part of the request, or runs it. */
static bool may_have_begun(const struct exchange *x)
{
	return x->may_have_run || x->response_started || x->moves ||
	       x->held.call;
}

/* Handles a request that no endpoint accepts now: waits or refuses. */
static void dispatch_failed(struct exchange *x,
			    const struct placement_choice *choice)
{
	const char *why = placement_outcome_text(choice->outcome);
	uint32_t retry_ms = RETRY_NONE_UP_MS;

	if ((choice->outcome == PLACEMENT_NONE_USABLE ||
	     choice->outcome == PLACEMENT_ALL_AVOIDED) &&
	    endpoints_path_doubtful(x->proxyd->endpoints, x->service) &&
	    relay_start(x, why))
		return;
	if (handover_restore(x, why))
		return;
	x->unable = endpoints_path_lost(x->proxyd->endpoints, x->service);
	if ((choice->leaving || choice->paused) && !x->wait_until_ms)
		event_log(EVENT_NOTABLE, "left-out", x->fields.id,
			  "{s:s, s:i, s:i, s:I}", "outcome", why, "leaving",
			  (int)choice->leaving, "paused", (int)choice->paused,
			  "first_pause_left_ms", (json_int_t)choice->pause_ms);
	if (choice->outcome == PLACEMENT_VERSION_GONE &&
	    watches_endpoints_loaded(x->proxyd->watches))
		retry_ms = RETRY_VERSION_MS;
	if (choice->outcome == PLACEMENT_PAUSED)
		retry_ms = holdoff_retry_ms(choice->pause_ms, proxyd_random());
	if (choice->limited && limit_queue_wait(x))
		return;
	if (x->unable && x->fields.relayed_by[0] && may_have_begun(x))
		exchange_fail(x, 502, "this instance has no path");
	else if (x->response_started || x->moves)
		wait_for_endpoint(x, choice);
	else if (choice->outcome == PLACEMENT_FULL && x->engine)
		wait_for_capacity(x);
	else if (choice->outcome == PLACEMENT_ALL_AVOIDED && x->may_have_run &&
		 x->route->kind == KIND_STREAM)
		exchange_wait_lost(x, false);
	else if (choice->limited)
		limit_queue_refuse(x);
	else
		exchange_refuse(x, 503, retry_ms, why);
}

/* Makes a run that lost its engine wait for another one; refuses it if all are
 * paused for longer than it may wait. */
static void wait_for_endpoint(struct exchange *x,
			      const struct placement_choice *choice)
{
	exchange_wait_lost(x, choice->outcome == PLACEMENT_NONE_USABLE ||
				      choice->outcome == PLACEMENT_ALL_AVOIDED);
	if (choice->outcome == PLACEMENT_PAUSED &&
	    proxyd_now(x->proxyd) + choice->pause_ms > x->wait_until_ms)
		exchange_refuse(x, 503, choice->pause_ms,
				placement_outcome_text(choice->outcome));
}

/* Handles a run when all endpoints are full: waits if capacity is expected in
 * time, and refuses otherwise. */
static void wait_for_capacity(struct exchange *x)
{
	struct exchanges *t = x->proxyd->exchanges;
	uint64_t now = proxyd_now(x->proxyd);
	const struct capacity_wait wait = {
		.used_tokens = used_tokens(x),
		.run_ms = (uint64_t)t->run_ms,
		.waiting_tokens = waiting_tokens(x),
		.need_tokens = x->tokens,
		.first_event_ms = capacity_wait_first_event_ms(
			x->fields.prompt_tokens, 0, t->prefill_ms_per_token),
		.target_ms = x->route->target_ms,
		.waited_ms = (uint32_t)(now - x->received_ms),
	};
	struct capacity_wait_decision decision = capacity_wait_decide(&wait);

	if (!decision.wait) {
		exchange_refuse(x, 503, decision.retry_after_ms,
				"no endpoint has room in time");
		return;
	}
	if (x->wait_until_ms)
		return;
	exchange_wait_for(x, decision.wait_ms);
	event_log(EVENT_NOTABLE, "waits", x->fields.id, "{s:I, s:I, s:I}",
		  "at_most_ms", (json_int_t)decision.wait_ms, "used_tokens",
		  (json_int_t)wait.used_tokens, "waiting_tokens",
		  (json_int_t)t->waiting_tokens);
}

/* Returns the tokens of the other requests that wait for endpoints which this
 * one may use: of its version, if it is bound to one. */
static uint64_t waiting_tokens(const struct exchange *x)
{
	const struct exchanges *t = x->proxyd->exchanges;
	const struct exchange *other;
	uint64_t sum = 0;

	if (x->software == SOFTWARE_UNKNOWN)
		return t->waiting_tokens - (x->wait_until_ms ? x->tokens : 0);
	TAILQ_FOREACH(other, &t->list, link)
	if (other != x && other->phase == EXCHANGE_WAITING &&
	    other->wait_until_ms && other->software == x->software)
		sum += other->tokens;
	return sum;
}

/* Returns the KV-cache tokens in use at all endpoints that the request may
 * use. */
static uint64_t used_tokens(const struct exchange *x)
{
	const struct endpoints *t = x->proxyd->endpoints;
	const struct endpoint *e;
	uint64_t sum = 0;
	uint32_t i = 0;

	while ((e = endpoint_next(t, &i)))
		if (e->state == ENDPOINT_UP &&
		    !strcmp(e->service, x->service) &&
		    endpoint_continues(e, x->software))
			sum += e->own_load.tokens + e->others_load.tokens;
	return sum;
}

/* Answers a connected caller with an error of this system, or aborts a stream
 * whose answer has started. */
static void reply_error(struct exchange *x, int status, uint32_t retry_ms,
			const char *why)
{
	struct http1_conn *caller = x->caller;
	char headers[128] = "content-type: application/json\r\n";
	char body[256];
	size_t len;

	if (!caller)
		return;
	x->caller = NULL;
	http1_set_owner(caller, NULL);
	if (x->response_started) {
		http1_abort(caller);
		return;
	}
	len = strlen(headers);
	if (retry_ms)
		snprintf(headers + len, sizeof(headers) - len,
			 "retry-after: %u.%03u\r\n", retry_ms / 1000,
			 retry_ms % 1000);
	len = strlen(headers);
	if (x->fields.relayed_by[0] && x->unable && status == 503)
		snprintf(headers + len, sizeof(headers) - len, "%s",
			 x->proxyd->protocol->relay_unable);
	snprintf(body, sizeof(body), "{\"error\":\"%s\"}\n", why);
	x->status = status;
	x->given = true;
	http1_reply(caller, status, headers, body, strlen(body));
}

/* Processes one unfinished request at a tick. */
static void tick_exchange(struct exchange *x, uint64_t now)
{
	bool must_end = planned_stop_must_abort(&x->proxyd->planned_stop, now);

	if (!x->routes) { /* arrived before the configuration */
		if (x->proxyd->routes)
			process_request(x);
		else if (must_end || now >= x->wait_until_ms ||
			 !watches_starting(x->proxyd->watches))
			refuse_unconfigured(x);
		return;
	}
	if (x->ended_ms && !x->is_event_stream) {
		answer_end_tick(x, now, must_end || now >= x->deadline_ms);
		return;
	}
	if (now >= x->deadline_ms) {
		exchange_fail(x, 504, "its time is up");
		return;
	}
	if (x->phase == EXCHANGE_WAITING) {
		x->unable = must_end;
		if (must_end)
			exchange_refuse(
				x, 503,
				planned_stop_retry_ms(&x->proxyd->planned_stop),
				"this instance ends");
		else
			tick_waiting(x, now);
		return;
	}
	if (must_end) {
		exchange_fail(x, 502, "this instance ends");
		return;
	}
	stream_prove_software(x);
	if (relay_in_use(x)) {
		handover_tick(x, now);
		relay_tick(x, now);
		return;
	}
	check_overdue(x, now);
	if (x->phase != EXCHANGE_SENT || relay_in_use(x))
		return;
	answer_end_watch(x, now);
	if (x->route->kind != KIND_STREAM)
		return;
	if (x->ended_ms) {
		answer_end_tick(x, now, false);
		return;
	}
	handover_tick(x, now);
	kv_copy_tick(x, now);
	stream_check_silence(x, now);
}

/* Sends a request that waits if it may be sent now, or refuses it if its time
 * to wait is over. */
static void tick_waiting(struct exchange *x, uint64_t now)
{
	if (x->wait_until_ms && now >= x->wait_until_ms) {
		if (x->awaits_permit)
			limit_queue_refuse(x);
		else
			exchange_refuse(x, 503, RETRY_NONE_UP_MS,
					"no endpoint in time");
		return;
	}
	if (x->awaits_origin)
		take_up(x);
	else if (!x->awaits_repeat)
		exchange_dispatch(x);
	else if (exchange_repeat_allowed(x))
		repeat(x);
	else if (exchange_attempts_exhausted(x))
		exchange_fail(x, 502, "the run was lost and may not move");
}

/* Sends a request again that has waited for that to be allowed. */
static void repeat(struct exchange *x)
{
	if (x->route->kind == KIND_STREAM) {
		stream_resume(x);
		return;
	}
	x->awaits_repeat = false;
	exchange_dispatch(x);
}

/* Frees a finished exchange. */
static void free_exchange(struct exchanges *t, struct exchange *x)
{
	TAILQ_REMOVE(&t->list, x, link);
	if (x->caller)
		http1_set_owner(x->caller, NULL);
	handover_release(x);
	bytes_release(&x->copy.answer);
	bytes_release(&x->headers);
	attempt_discard_answer(x);
	event_stream_release(&x->stream);
	prompt_parts_unref(x->fields.parts);
	routes_unref(x->routes);
	free(x);
}

/* Returns the counter of requests with an outcome label. */
static struct counter *outcome_counter(const char *outcome)
{
	return counter_labelled("cdm_requests_total", "Requests of callers",
				COUNTER_TOTAL, "outcome", outcome);
}
