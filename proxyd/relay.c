/*
 * Relays requests to another instance while this one has no path to the
 * endpoints of their service.  The other instance treats such a request like one
 * of its own callers: it chooses the endpoints, and counts and repeats attempts
 * there.  It does not relay it again.
 */
#include "proxyd/exchange.h"

#include <string.h>

#include <xxhash.h>

#include "lib/event_log.h"
#include "proxyd/peers.h"

/* Connection timeout: instances answer within 2 ms, 4 ms across zones. */
#define CONNECT_MS 200

/* Idle times after which a kept connection to an instance is not used again; it
 * may have been closed, which loses a call that must not be repeated. */
#define REUSE_AT_MOST_ONCE_MS 1000
#define REUSE_MS 4000

/* After this time a stream that has begun is offered once more to instances that
 * did not take it. */
#define OFFER_AGAIN_MS 300

static bool may_be_relayed(const struct exchange *x);
static void log_relayed(const struct exchange *x, const struct peer_relay *to,
			const char *why);
static bool choose(struct exchange *x, struct peer_relay *relay);
static const char *first_id(const struct exchange *x);
static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head);
static void on_body(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum http1_outcome outcome);
static void avoid(struct exchange *x);
static void take_back(struct exchange *x);
static void handle_not_taken(struct exchange *x, const char *why);
static void handle_answer(struct exchange *x);
static void handle_refusal(struct exchange *x);
static bool is_refusal(const struct exchange *x);

static const struct http1_call_ops relay_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

/* Registers the counters of relayed requests. */
void relay_init(struct exchanges *t)
{
	t->relayed = counter_labelled("cdm_relayed_total",
				      "Requests between instances",
				      COUNTER_TOTAL, "direction", "out");
	t->relayed_here = counter_labelled("cdm_relayed_total",
					   "Requests between instances",
					   COUNTER_TOTAL, "direction", "in");
	t->relays_unable = counter_labelled("cdm_relayed_total",
					    "Requests between instances",
					    COUNTER_TOTAL, "direction",
					    "not taken");
}

/* Sends the request to another instance.  Returns false if none can take it, or
 * if this one was relayed here itself. */
bool relay_start(struct exchange *x, const char *why)
{
	struct proxyd *p = x->proxyd;
	uint64_t now = proxyd_now(p);
	const struct relay_fields fields = {
		.instance = p->settings.name,
		.deadline_ms = x->deadline_ms - now,
		.counted = x->counted,
		.attempts = exchange_attempts_used(x),
		.resumes = x->has_last_event || x->fields.resumes,
		.resume_after = x->has_last_event ? x->last_event_id
						  : x->fields.resume_after,
		.first_id = first_id(x),
	};
	struct http1_call_options options = {
		.tag = XXH3_64bits(x->fields.id, strlen(x->fields.id)),
		.connect_timeout_ms = CONNECT_MS,
		.max_idle_ms = x->route->kind == KIND_AT_MOST_ONCE
				       ? REUSE_AT_MOST_ONCE_MS
				       : REUSE_MS,
	};
	struct peer_relay relay;
	struct bytes out = { 0 };

	if (!may_be_relayed(x) || !choose(x, &relay))
		return false;
	options.address = relay.callers;
	options.head = x->request->head.method_len == 4 &&
		       !memcmp(x->request->head.method, "HEAD", 4);
	attempt_begin(x, now);
	x->relay.instance = relay.instance;
	x->targets[(x->sends - 1) % ENDPOINT_AVOID_MAX].relayed = true;
	x->relays++;
	x->first_event_due_ms = x->deadline_ms;
	p->protocol->encode_relay(&out, x->request, &fields);
	x->call = http1_call_start(p->client, &options, out.data, out.len,
				   &relay_ops, x);
	counter_add(p->exchanges->relayed, 1);
	log_relayed(x, &relay, why);
	return true;
}

/* Returns whether an instance would be chosen for the request now. */
bool relay_available(struct exchange *x)
{
	struct peer_relay relay;

	return may_be_relayed(x) && choose(x, &relay);
}

/* Returns whether the request may go to another instance: it has not come from
 * one, and has attempts left. */
static bool may_be_relayed(const struct exchange *x)
{
	return !x->fields.relayed_by[0] && x->caller &&
	       x->relays < x->route->attempts_max;
}

/* Logs the choice of an instance and the state it was based on. */
static void log_relayed(const struct exchange *x, const struct peer_relay *to,
			const char *why)
{
	event_log(EVENT_ROUTINE, "relayed", x->fields.id,
		  "{s:s, s:s, s:s, s:s, s:I, s:i, s:I, s:b, s:b, s:b}", "route",
		  x->route->name, "service", x->service, "to", to->name, "why",
		  why, "reached_ms_ago", (json_int_t)to->reached_ms_ago, "send",
		  (int)x->sends, "left_ms",
		  (json_int_t)(x->deadline_ms - x->sent_ms), "resumes",
		  x->fields.resumes || x->has_last_event, "repeat",
		  x->deliveries > 1, "kept_connection",
		  http1_call_reused(x->call));
}

/* Chooses an instance among those that have not turned the request away.  A
 * stream that has begun is offered to them again after a while. */
static bool choose(struct exchange *x, struct peer_relay *relay)
{
	struct peers *peers = x->proxyd->peers;
	uint64_t now = proxyd_now(x->proxyd);

	if (x->n_relays_avoided && x->response_started &&
	    now - x->relay_avoided_ms >= OFFER_AGAIN_MS)
		x->n_relays_avoided = 0;
	return x->n_relays_avoided < RELAYS_AVOIDED_MAX &&
	       peers_choose_relay(peers, x->service, x->relays_avoided,
				  x->n_relays_avoided, relay);
}

/* Returns the id of the request that brought the stream's first event, NULL if
 * it is unknown. */
static const char *first_id(const struct exchange *x)
{
	const char *id = x->fields.resumes ? x->fields.first_id : x->fields.id;

	return id[0] ? id : NULL;
}

/* Returns whether the current attempt is at another instance. */
bool relay_in_use(const struct exchange *x)
{
	return x->relay.instance != 0;
}

/* Handles the head of an instance's answer, which it passes on from an endpoint
 * or gives itself. */
static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head)
{
	struct exchange *x = arg;
	struct proxyd *p = x->proxyd;

	p->protocol->decode_answer(head, &x->answer);
	attempt_keep_head(x, head);
	x->counted = x->counted || !x->answer.relay_unable;
	x->sent_software = x->answer.relay_software;
	return HTTP1_ACCEPT;
}

/* Handles a part of the answer's body. */
static void on_body(void *arg, const char *data, size_t len)
{
	attempt_receive(arg, data, len);
}

/* Handles the end of a relayed attempt. */
static void on_end(void *arg, enum http1_outcome outcome)
{
	struct exchange *x = arg;

	x->call = NULL;
	x->awaits_repeat = false;
	if (outcome != HTTP1_NO_SOCKET)
		x->no_socket_ms = 0;
	if (x->is_event_stream) {
		if (outcome != HTTP1_COMPLETE)
			avoid(x);
		stream_ended(x, x->unframed ? HTTP1_BROKEN : outcome);
		return;
	}
	switch (outcome) {
	case HTTP1_NOT_SENT:
	case HTTP1_UNREACHABLE:
	case HTTP1_CONNECT_TIMEOUT:
		handle_not_taken(x, http1_outcome_name(outcome));
		break;
	case HTTP1_NO_SOCKET:
		x->relays--;
		attempt_no_socket(x);
		break;
	case HTTP1_COMPLETE:
		handle_answer(x);
		break;
	default:
		relay_lost(x, outcome);
		break;
	}
}

/* Excludes the instance of the current attempt from later choices. */
static void avoid(struct exchange *x)
{
	x->relay_avoided_ms = proxyd_now(x->proxyd);
	if (x->n_relays_avoided < RELAYS_AVOIDED_MAX)
		x->relays_avoided[x->n_relays_avoided++] = x->relay.instance;
}

/* Takes back the count of an attempt that did not reach any endpoint. */
static void take_back(struct exchange *x)
{
	x->sends--;
	x->relays--;
	exchange_delivery_failed(x);
}

/* Handles an instance that did not take the request: another one may, or there
 * is a path to an endpoint again. */
static void handle_not_taken(struct exchange *x, const char *why)
{
	take_back(x);
	avoid(x);
	counter_add(x->proxyd->exchanges->relays_unable, 1);
	event_log(EVENT_NOTABLE, "relay-not-taken", x->fields.id, "{s:s, s:i}",
		  "why", why, "avoided", (int)x->n_relays_avoided);
	if (!x->caller)
		exchange_finish(x, "left by caller");
	else if (!handover_restore(x, why))
		exchange_dispatch(x);
}

/* Handles a connection to an instance that broke, or an answer that is invalid:
 * the request may have run. */
void relay_lost(struct exchange *x, enum http1_outcome outcome)
{
	const char *why = http1_outcome_name(outcome);

	x->may_have_run = true;
	x->broken_off = false;
	avoid(x);
	event_log(EVENT_NOTABLE, "relay-lost", x->fields.id, "{s:s, s:I}",
		  "how", why, "sent_ms_ago",
		  (json_int_t)(proxyd_now(x->proxyd) - x->sent_ms));
	if (!x->caller)
		exchange_finish(x, "left by caller");
	else if (handover_restore(x, why))
		return;
	else if (route_may_run_again(x->route) && exchange_repeat_allowed(x))
		exchange_dispatch(x);
	else
		exchange_fail(x, 502, "the answer of an instance was lost");
}

/* Handles a complete answer that is not an event stream. */
static void handle_answer(struct exchange *x)
{
	bool success = x->status >= 200 && x->status < 300;

	if (!x->caller) {
		exchange_finish(x, "left by caller");
		return;
	}
	if (x->answer.relay_unable) {
		handle_not_taken(x, "unable");
		return;
	}
	if (is_refusal(x) && (x->may_have_run || x->held.call)) {
		handle_refusal(x);
		return;
	}
	if (!x->status || x->answer.content_encoded ||
	    (success && !x->answer.authentic)) {
		relay_lost(x, HTTP1_MALFORMED);
		return;
	}
	if (x->response_started) /* a plain answer cannot continue a stream */
		stream_move(x, "no stream", false);
	else
		attempt_deliver(x, x->answer.authentic ? "served" : "refused");
}

/* Handles an instance that refuses to go on with a request which may have run: a
 * stream that has begun waits, any other request is offered to the next one. */
static void handle_refusal(struct exchange *x)
{
	take_back(x);
	avoid(x);
	event_log(EVENT_NOTABLE, "relay-not-taken", x->fields.id, "{s:s, s:i}",
		  "why", "refused", "avoided", (int)x->n_relays_avoided);
	if (handover_restore(x, "refused"))
		return;
	if (x->response_started)
		exchange_wait_lost(x, true);
	else
		exchange_dispatch(x);
}

/* Returns whether the answer states that the request has not run: by its status,
 * or as the other instance, which may have another configuration, does not know
 * the route or the key of a request that was accepted here. */
static bool is_refusal(const struct exchange *x)
{
	bool other_configuration = !x->answer.authentic &&
				   (x->status == 401 || x->status == 404) &&
				   x->may_have_run;

	return x->answer.not_run || x->status == 408 || x->status == 421 ||
	       x->status == 429 || x->status == 503 || other_configuration;
}

/* Reads on once a slow caller has taken what it was sent, and ends an attempt at an
 * instance that has fallen silent.  A call that may run only once stays, as it can't
 * be repeated. */
void relay_tick(struct exchange *x, uint64_t now)
{
	uint64_t heard_ms = x->status ? x->read_ms : x->sent_ms;

	if (!x->call || !http1_call_connected(x->call))
		return;
	if (x->caller && http1_pending(x->caller)) {
		x->read_ms = now; /* the caller reads slowly */
		return;
	}
	http1_call_pause(x->call, false);
	if (!peers_relay_silent(x->proxyd->peers, x->relay.instance,
				now - heard_ms) ||
	    !route_may_run_again(x->route))
		return;
	if (x->route->kind == KIND_STREAM) {
		avoid(x);
		x->broken_off = false;
		stream_move(x, "instance silent", false);
		return;
	}
	attempt_cancel(x);
	relay_lost(x, HTTP1_BROKEN);
}
