/*
 * One attempt: sends a request to an endpoint and handles its answer.
 */
#include <string.h>

#include <xxhash.h>

#include "lib/event_log.h"
#include "policy/content.h"
#include "policy/capacity_wait.h"
#include "proxyd/answer_ends.h"
#include "proxyd/exchange.h"
#include "proxyd/origins.h"
#include "proxyd/peers.h"
#include "proxyd/rediscover.h"
#include "proxyd/suspects.h"
#include "proxyd/watch.h"

/* Connection timeout.  A live endpoint completes a connection within 4 ms; the
 * retransmission of a lost packet takes a second, by which time another
 * endpoint has answered. */
#define CONNECT_MS 60
#define CONNECT_AFTER_FAILURE_MS 400 /* after other connections failed */

/* Idle times after which a kept connection is not reused: a connection that
 * broke unnoticed loses a call, so the limit is lower for calls that must not
 * be repeated. */
#define REUSE_AT_MOST_ONCE_MS 1000
#define REUSE_IDEMPOTENT_MS 4000

/* Time limit for the first event of a run that resumes from a copy. */
#define COPY_FIRST_EVENT_MS 400

/* Part of the target latency after which a failed call is not repeated. */
#define REPEAT_FAILED_PERCENT 65

/* Retry-After when endpoints are full or unreachable: a plain call takes about
 * 20 ms, and a dead endpoint is detected within this time. */
#define RETRY_FULL_MS 300

/* How long a request waits for a socket of this process. */
#define NO_SOCKET_WAIT_MS 1500

#define ANSWER_MAX_BYTES (8u << 20) /* largest answer that is forwarded */
#define ANSWERS_MAX_BYTES (24u << 20) /* all answers being read */

static void return_permit(struct exchange *x);
static void load_add(struct exchange *x);
static void load_remove(struct exchange *x);
static void log_sent(const struct exchange *x, const struct endpoint *e);
static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head);
static bool is_own_answer(const struct exchange *x,
			  const struct http1_head *head);
static void store_current_endpoint_id(struct exchange *x);
static bool names_itself(const struct exchange *x, struct handle endpoint);
static void on_body(void *arg, const char *data, size_t len);
static void handle_oversized_answer(struct exchange *x);
static void on_end(void *arg, enum http1_outcome outcome);
static bool awaits_end(const struct exchange *x);
static void end_attempt(struct exchange *x, enum http1_outcome outcome);
static void handle_not_sent(struct exchange *x, struct handle endpoint,
			    enum http1_outcome outcome);
static void try_another(struct exchange *x);
static void handle_misdirected(struct exchange *x, struct handle endpoint);
static void handle_no_repeat(struct exchange *x, const char *why);
static void handle_broken_answer(struct exchange *x, struct handle endpoint,
				 enum http1_outcome outcome);
static void handle_answer(struct exchange *x, struct handle endpoint);
static void handle_no_stream(struct exchange *x, struct handle endpoint);
static bool should_repeat_failed(struct exchange *x);
static void handle_not_run(struct exchange *x, struct handle endpoint);
static void forward_answer(struct exchange *x, struct handle endpoint);

static const struct http1_call_ops call_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

/* Sends the request to an endpoint.  If from is not NULL, the endpoint holds
 * this KV-cache copy and the run resumes from it. */
void attempt_start(struct exchange *x, struct handle endpoint,
		   const struct kv_copy *from)
{
	struct proxyd *p = x->proxyd;
	struct endpoint *e = endpoint_get(p->endpoints, endpoint);
	uint64_t now = proxyd_now(p);
	struct http1_call_options options = {
		.address = e->address,
		.tag = XXH3_64bits(x->fields.id, strlen(x->fields.id)),
		.head = x->request->head.method_len == 4 &&
			!memcmp(x->request->head.method, "HEAD", 4),
		.connect_timeout_ms = x->failed_connects
					      ? CONNECT_AFTER_FAILURE_MS
					      : CONNECT_MS,
	};
	struct forward_fields f = {
		.endpoint = e->id,
		.organisation = x->organisation ? x->organisation->name : NULL,
		.deadline_ms = x->deadline_ms - now,
		.resumes = x->has_last_event || x->fields.resumes,
		.resume_after = x->has_last_event ? x->last_event_id
						  : x->fields.resume_after,
		.low_priority = x->engine && stream_is_late(x),
	};
	bool suspected = suspects_has_record(x);
	const struct endpoint *copy;
	struct bytes out = { 0 };

	if (from) {
		f.copy_source = from->source;
		f.copy_id = from->id[0] ? from->id : x->fields.id;
	}
	/* of a suspected request, a new connection shows that the endpoint is
	 * alive; of one without id, that the answer is no other request's */
	if (suspected || !x->fields.id[0])
		options.max_idle_ms = 0;
	else if (x->route->kind == KIND_AT_MOST_ONCE)
		options.max_idle_ms = REUSE_AT_MOST_ONCE_MS;
	else if (x->route->kind == KIND_IDEMPOTENT)
		options.max_idle_ms = REUSE_IDEMPOTENT_MS;
	exchange_count(x);
	attempt_begin(x, now);
	x->permit = limits_take(e);
	x->endpoint = endpoint;
	x->from_copy = from != NULL;
	x->targets[(x->sends - 1) % ENDPOINT_AVOID_MAX] =
		(struct attempt_target){
			.endpoint = endpoint,
			.born_ms = endpoint_start_proved(e)
					   ? endpoint_known_start(e)
					   : 0,
		};
	x->sent_software = endpoint_software(e);
	x->sent_born_ms = endpoint_known_start(e);
	if (x->engine && x->route->kind == KIND_STREAM)
		endpoint_want_start(p->endpoints, e);
	origins_note_sent(p->origins, x);
	x->first_event_due_ms =
		now + (from ? COPY_FIRST_EVENT_MS
			    : capacity_wait_first_event_ms(
				      x->fields.prompt_tokens,
				      e->own_load.prefill_tokens +
					      e->others_load.prefill_tokens,
				      p->exchanges->prefill_ms_per_token));
	load_add(x);
	x->staged = !from && !suspected && stage_is_possible(x);
	if (!x->staged)
		kv_copy_set(x, kv_copy_choose(x), "");
	copy = endpoint_get(p->endpoints, x->copy.endpoint);
	f.copy_target = copy ? copy->address : NULL;
	p->protocol->encode_request(&out, x->request, &f);
	x->call = http1_call_start(p->client, &options, out.data, out.len,
				   &call_ops, x);
	log_sent(x, e);
}

/* Resets what belongs to one attempt, and counts a new one, at no endpoint
 * yet. */
void attempt_begin(struct exchange *x, uint64_t now)
{
	exchange_stop_waiting(x);
	x->permit = PERMIT_NOT_NEEDED;
	x->phase = EXCHANGE_SENT;
	x->endpoint = (struct handle){ 0 };
	x->relay.instance = 0;
	x->from_copy = false;
	x->staged = false;
	x->crash_counted = false;
	x->targets[x->sends++ % ENDPOINT_AVOID_MAX] =
		(struct attempt_target){ .born_ms = 0 };
	exchange_count_delivery(x);
	x->sent_ms = now;
	x->sent_software = SOFTWARE_UNKNOWN;
	x->sent_born_ms = 0;
	x->moments = (struct http1_moments){ 0 };
	x->ended_ms = 0;
	x->start_excused = false;
	x->last_event_ms = now;
	x->is_event_stream = false;
	x->was_paused = false;
	x->overdue = false;
	x->status = 0;
	x->headers.len = 0;
	attempt_discard_answer(x);
	event_stream_consume(&x->stream, x->stream.pending.len);
}

/* Cancels the current attempt; closing the connection stops the run at the
 * endpoint. */
void attempt_cancel(struct exchange *x)
{
	if (x->call) {
		if (!http1_call_connected(x->call)) {
			exchange_delivery_failed(x);
			return_permit(x);
		}
		http1_call_cancel(x->call);
	}
	x->call = NULL;
	kv_copy_release(x, false);
	load_remove(x);
}

/* Has the current call report to the exchange, after it was held. */
void attempt_reassign(struct exchange *x)
{
	http1_call_reassign(x->call, &call_ops, x);
}

/* Returns the permit of an attempt that did not reach its endpoint. */
static void return_permit(struct exchange *x)
{
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, x->endpoint);

	if (e)
		limits_return(e, x->permit);
	x->permit = PERMIT_NOT_NEEDED;
}

/* Adds the request to the load of its endpoint. */
static void load_add(struct exchange *x)
{
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, x->endpoint);

	x->load_counted = true;
	x->prefill_counted = x->engine && !x->from_copy;
	e->own_load.requests++;
	e->own_load.tokens += x->tokens;
	if (x->prefill_counted) {
		e->own_load.prefill_tokens += x->fields.prompt_tokens;
		e->own_load.prefills++;
	}
	if (x->engine)
		peers_announce_work(x->proxyd->peers, e, true);
}

/* Removes the request from the load of its endpoint. */
static void load_remove(struct exchange *x)
{
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, x->endpoint);

	if (!x->load_counted)
		return;
	x->load_counted = false;
	if (!e)
		return;
	e->own_load.requests--;
	e->own_load.tokens -= x->tokens;
	attempt_prefill_done(x);
	if (x->engine)
		peers_announce_work(x->proxyd->peers, e, false);
}

/* Removes the prompt from the endpoint's load, as its prefill is complete or
 * will not take place. */
void attempt_prefill_done(struct exchange *x)
{
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, x->endpoint);

	if (!x->prefill_counted || !e)
		return;
	x->prefill_counted = false;
	e->own_load.prefill_tokens -= x->fields.prompt_tokens;
	e->own_load.prefills--;
	peers_announce_work(x->proxyd->peers, e, false);
}

/* Logs the choice of an endpoint and the state it was based on. */
static void log_sent(const struct exchange *x, const struct endpoint *e)
{
	const struct endpoint *copy =
		endpoint_get(x->proxyd->endpoints, x->copy.endpoint);
	char content[CONTENT_TEXT_SIZE];
	char parts[CONTENT_PARTS_LOGGED * CONTENT_TEXT_SIZE];

	content_text(x->content, content);
	content_parts_text(x->fields.parts ? x->fields.parts->hash : NULL,
			   prompt_parts_count(x->fields.parts), parts);
	event_log(
		EVENT_ROUTINE, "sent", x->fields.id,
		"{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:b, s:s, s:I, s:I, s:I, "
		"s:I, s:I, s:I, s:I, s:b, s:s, s:b, s:b, s:b, s:i, s:i}",
		"route", x->route->name, "content", content, "parts", parts,
		"endpoint", e->id, "address", e->address, "software",
		e->version, "send", (int)x->sends, "from_copy", x->from_copy,
		"copy_to", copy ? copy->id : "", "version",
		(json_int_t)x->routes->version, "view_ms",
		(json_int_t)watches_view_age_ms(x->proxyd->watches),
		"tokens_there",
		(json_int_t)e->own_load.tokens + e->others_load.tokens,
		"prefill_there",
		(json_int_t)e->own_load.prefill_tokens +
			e->others_load.prefill_tokens,
		"heard_ms_ago",
		(json_int_t)endpoint_last_seen_ms_ago(e, x->sent_ms), "left_ms",
		(json_int_t)(x->deadline_ms - x->sent_ms), "session",
		(json_int_t)x->fields.session, "resumes",
		x->fields.resumes || x->has_last_event, "first_id",
		x->fields.first_id, "staged", x->staged, "repeat",
		x->deliveries > 1, "kept_connection",
		http1_call_reused(x->call), "leaving_left_out",
		(int)x->skipped_leaving, "paused_left_out",
		(int)x->skipped_paused);
}

/* Handles the head of an endpoint's answer. */
static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head)
{
	struct exchange *x = arg;
	struct proxyd *p = x->proxyd;

	p->protocol->decode_answer(head, &x->answer);
	if (!is_own_answer(x, head))
		return HTTP1_SKIP;
	if (x->sends)
		x->targets[(x->sends - 1) % ENDPOINT_AVOID_MAX].answered = true;
	endpoint_answered(p->endpoints, x->endpoint, x->sent_ms,
			  http1_call_reused(x->call));
	if (x->answer.misdirected) {
		store_current_endpoint_id(x);
	} else {
		endpoint_seen(p->endpoints, x->endpoint, x->sent_ms);
		endpoint_apply_status(p->endpoints, x->endpoint, &x->answer,
				      x->sent_ms, x->fields.id);
	}
	attempt_keep_head(x, head);
	exchange_note_process(x, endpoint_get(p->endpoints, x->endpoint));
	return x->answer.not_run ? HTTP1_ACCEPT_REFUSAL : HTTP1_ACCEPT;
}

/* Keeps the head of an answer whose fields have been decoded. */
void attempt_keep_head(struct exchange *x, const struct http1_head *head)
{
	const struct proxyd *p = x->proxyd;

	x->read_ms = proxyd_now(p);
	x->moments = http1_call_moments(x->call);
	x->status = head->status;
	x->unframed = http1_call_unframed(x->call);
	x->headers.len = 0;
	p->protocol->encode_answer(&x->headers, head);
	x->is_event_stream = x->route->kind == KIND_STREAM &&
			     head->status == 200 && x->answer.authentic &&
			     !x->answer.content_encoded &&
			     !x->answer.other_type;
}

/* Returns whether an answer belongs to the current attempt, by its request id.
 * An endpoint may write an earlier answer once more, so one without an id counts
 * only on a connection without earlier requests. */
static bool is_own_answer(const struct exchange *x,
			  const struct http1_head *head)
{
	const struct answer_fields *a = &x->answer;
	bool reused = http1_call_reused(x->call);
	bool own = a->id ? strlen(x->fields.id) == a->id_len &&
				   !memcmp(x->fields.id, a->id, a->id_len)
			 : !reused;

	if (!own)
		event_log(EVENT_NOTABLE,
			  a->id ? "answer-of-other-request"
				: "answer-without-id",
			  x->fields.id, "{s:i, s:b, s:b, s:I}", "status",
			  head->status, "not_run", a->not_run,
			  "kept_connection", reused, "sent_ms_ago",
			  (json_int_t)(proxyd_now(x->proxyd) - x->sent_ms));
	return own;
}

/* Stores the id of the endpoint that now has the address. */
static void store_current_endpoint_id(struct exchange *x)
{
	size_t len = x->answer.endpoint_len;

	x->current_endpoint_id[0] = '\0';
	if (!x->answer.endpoint || len >= sizeof(x->current_endpoint_id))
		return;
	memcpy(x->current_endpoint_id, x->answer.endpoint, len);
	x->current_endpoint_id[len] = '\0';
}

/* Returns whether a misdirected request was refused by the very endpoint that it
 * was for, which shows no other one at the address. */
static bool names_itself(const struct exchange *x, struct handle endpoint)
{
	const struct endpoint *e = endpoint_get(x->proxyd->endpoints, endpoint);

	return e && !strcmp(e->id, x->current_endpoint_id);
}

/* Handles a part of an answer's body. */
static void on_body(void *arg, const char *data, size_t len)
{
	attempt_receive(arg, data, len);
}

/* Keeps a part of an answer's body, or forwards the events that are complete. */
void attempt_receive(struct exchange *x, const char *data, size_t len)
{
	struct exchanges *t = x->proxyd->exchanges;

	x->read_ms = proxyd_now(x->proxyd);
	if (x->is_event_stream) {
		stream_receive(x, data, len);
	} else if (x->body.len + len <= ANSWER_MAX_BYTES &&
		   t->answer_bytes + len <= ANSWERS_MAX_BYTES) {
		bytes_add(&x->body, data, len);
		t->answer_bytes += len;
	} else {
		handle_oversized_answer(x);
	}
}

/* Handles an answer that exceeds the size limits, or never ends: closes its
 * connection.  The request may have run. */
static void handle_oversized_answer(struct exchange *x)
{
	struct handle endpoint = x->endpoint;

	event_log(EVENT_NOTABLE, "answer-too-large", x->fields.id, "{s:I, s:I}",
		  "bytes", (json_int_t)x->body.len, "all_bytes",
		  (json_int_t)x->proxyd->exchanges->answer_bytes);
	attempt_cancel(x);
	attempt_discard_answer(x);
	if (relay_in_use(x))
		relay_lost(x, HTTP1_MALFORMED);
	else
		handle_broken_answer(x, endpoint, HTTP1_MALFORMED);
}

/* Discards the part of the answer received so far. */
void attempt_discard_answer(struct exchange *x)
{
	x->proxyd->exchanges->answer_bytes -= x->body.len;
	bytes_release(&x->body);
}

/* Handles the end of a call, complete or not. */
static void on_end(void *arg, enum http1_outcome outcome)
{
	attempt_ended(arg, outcome);
}

/* Handles the end of the current call. */
void attempt_ended(struct exchange *x, enum http1_outcome outcome)
{
	x->call = NULL;
	x->awaits_repeat = false;
	x->move_tried_ms = 0;
	if (outcome != HTTP1_NO_SOCKET)
		x->no_socket_ms = 0;
	if (x->is_event_stream) {
		stream_ended(x, outcome);
		return;
	}
	if (outcome == HTTP1_COMPLETE && awaits_end(x)) {
		answer_end_await(x);
		return;
	}
	end_attempt(x, outcome);
}

/* Returns whether an answer is a success that has ended with its connection. */
static bool awaits_end(const struct exchange *x)
{
	return x->unframed && x->caller && !x->response_started &&
	       !x->answer.not_run && x->answer.authentic && x->status >= 200 &&
	       x->status < 300;
}

/* Handles what is known now of an answer that ended with its connection.  One that is
 * known to be whole is passed on with a length: its caller's connection can be kept,
 * and what the caller has sent behind the request is answered. */
void attempt_end_known(struct exchange *x, enum answer_end end)
{
	bool whole = answer_end_delivers(end, route_may_run_again(x->route),
					 x->end_outlived, x->ended_after_ms);

	x->unframed = end != ANSWER_END_WHOLE;
	end_attempt(x, whole ? HTTP1_COMPLETE : HTTP1_BROKEN);
}

/* Handles the outcome of an attempt whose answer is no event stream. */
static void end_attempt(struct exchange *x, enum http1_outcome outcome)
{
	struct handle endpoint = x->endpoint;

	kv_copy_release(x, false);
	load_remove(x);
	switch (outcome) {
	case HTTP1_NOT_SENT:
	case HTTP1_UNREACHABLE:
	case HTTP1_CONNECT_TIMEOUT:
		handle_not_sent(x, endpoint, outcome);
		break;
	case HTTP1_NO_SOCKET:
		attempt_no_socket(x);
		break;
	case HTTP1_COMPLETE:
		handle_answer(x, endpoint);
		break;
	default:
		handle_broken_answer(x, endpoint, outcome);
		break;
	}
}

/* Handles a failed connection: nothing has run, so the request may go to
 * another endpoint. */
static void handle_not_sent(struct exchange *x, struct handle endpoint,
			    enum http1_outcome outcome)
{
	x->sends--;
	x->failed_connects++;
	exchange_delivery_failed(x);
	return_permit(x);
	exchange_avoid(x, endpoint);
	endpoint_unreachable(x->proxyd->endpoints, endpoint, x->sent_ms,
			     x->fields.id, outcome);
	if (!x->caller)
		exchange_finish(x, "left by caller");
	else if (!handover_restore(x, http1_outcome_name(outcome)))
		try_another(x);
}

/* Sends a request that has reached none of x->failed_connects endpoints to another
 * one.  After many a stream that has begun waits, as its caller has events
 * already; any other request is refused. */
static void try_another(struct exchange *x)
{
	if (x->failed_connects <= ENDPOINT_AVOID_MAX) {
		exchange_dispatch(x);
	} else if (x->response_started) {
		x->failed_connects = 0;
		exchange_wait_lost(x, true);
	} else {
		exchange_refuse(x, 503, RETRY_FULL_MS,
				"no endpoint can be reached");
	}
}

/* Handles a connection for which this process had no descriptor or port, which
 * is no evidence against the endpoint or the request: tries again at each tick
 * for NO_SOCKET_WAIT_MS. */
void attempt_no_socket(struct exchange *x)
{
	const struct endpoint *e =
		endpoint_get(x->proxyd->endpoints, x->endpoint);
	uint64_t now = proxyd_now(x->proxyd);

	x->sends--;
	exchange_delivery_failed(x);
	return_permit(x);
	if (!x->no_socket_ms) {
		x->no_socket_ms = now;
		event_log(EVENT_NOTABLE, "no-socket", x->fields.id, "{s:s}",
			  "endpoint", e ? e->id : "");
	}
	if (!x->caller)
		exchange_finish(x, "left by caller");
	else if (handover_restore(x, http1_outcome_name(HTTP1_NO_SOCKET)))
		return;
	else if (now - x->no_socket_ms >= NO_SOCKET_WAIT_MS)
		exchange_refuse(x, 503, RETRY_FULL_MS,
				"this instance can open no connection");
	else
		exchange_wait_for(x, NO_SOCKET_WAIT_MS);
}

/* Handles a broken connection or invalid answer: the request may have run. */
static void handle_broken_answer(struct exchange *x, struct handle endpoint,
				 enum http1_outcome outcome)
{
	x->may_have_run = true;
	x->failed_ms = proxyd_now(x->proxyd);
	x->broken_off = true;
	event_log(EVENT_NOTABLE, "answer-lost", x->fields.id, "{s:s, s:I}",
		  "how", http1_outcome_name(outcome), "sent_ms_ago",
		  (json_int_t)(proxyd_now(x->proxyd) - x->sent_ms));
	endpoint_record_answer(x->proxyd->endpoints, endpoint,
			       proxyd_now(x->proxyd) - x->sent_ms, true);
	if (outcome == HTTP1_BROKEN)
		suspects_run_broke(x, endpoint_get(x->proxyd->endpoints,
						   endpoint));
	if (x->engine || outcome == HTTP1_BROKEN)
		endpoint_probe(x->proxyd->endpoints, endpoint, x->fields.id, 0);
	exchange_avoid(x, endpoint);
	if (!x->caller)
		exchange_finish(x, "left by caller");
	else if (handover_restore(x, http1_outcome_name(outcome)))
		return;
	else if (route_may_run_again(x->route) && exchange_repeat_allowed(x))
		exchange_dispatch(x);
	else if (!route_may_run_again(x->route) || !exchange_await_probe(x))
		exchange_fail(x, 502, "the endpoint's answer was lost");
}

/* Handles a complete answer that is not an event stream. */
static void handle_answer(struct exchange *x, struct handle endpoint)
{
	bool success = x->status >= 200 && x->status < 300;
	bool implies_not_run = x->status == 408 || x->status == 429 ||
			       x->status == 503;

	if (!x->caller) {
		if (!x->answer.not_run)
			suspects_run_completed(x);
		exchange_finish(x, "left by caller");
		return;
	}
	if (x->answer.misdirected && !names_itself(x, endpoint)) {
		handle_misdirected(x, endpoint);
		return;
	}
	if (x->answer.not_run) {
		handle_not_run(x, endpoint);
		return;
	}
	if (x->status >= 500 && !implies_not_run && should_repeat_failed(x)) {
		x->may_have_run = true;
		endpoint_record_answer(x->proxyd->endpoints, endpoint,
				       proxyd_now(x->proxyd) - x->sent_ms,
				       true);
		exchange_avoid(x, endpoint);
		exchange_dispatch(x);
		return;
	}
	if (!x->status || x->answer.content_encoded ||
	    (success && !x->answer.authentic) || implies_not_run) {
		handle_broken_answer(x, endpoint, HTTP1_MALFORMED);
		return;
	}
	if (x->response_started) /* a plain answer cannot continue a stream */
		handle_no_stream(x, endpoint);
	else
		forward_answer(x, endpoint);
}

/* Handles an address that is another endpoint's now: nothing has run. */
static void handle_misdirected(struct exchange *x, struct handle endpoint)
{
	x->sends--;
	x->failed_connects++;
	exchange_avoid(x, endpoint);
	endpoint_replaced(x->proxyd->endpoints, endpoint, x->fields.id);
	rediscover_with_id(x->proxyd, endpoint, x->current_endpoint_id,
			   strlen(x->current_endpoint_id), x->sent_ms);
	if (handover_restore(x, "misdirected"))
		return;
	if (exchange_repeat_allowed(x))
		try_another(x);
	else
		handle_no_repeat(x, "addresses of endpoints are others', "
				    "and no repeat is left");
}

/* Handles a request that has not run at an endpoint and has no repeat left.  A
 * stream that has begun waits for one, as its caller has events already. */
static void handle_no_repeat(struct exchange *x, const char *why)
{
	if (x->response_started && exchange_has_attempts(x))
		exchange_wait_repeat(x);
	else
		exchange_refuse(x, 503, RETRY_FULL_MS, why);
}

/* Handles a plain answer to a stream that has begun: the endpoint does not
 * continue it, so another one is to. */
static void handle_no_stream(struct exchange *x, struct handle endpoint)
{
	event_log(EVENT_NOTABLE, "no-stream", x->fields.id, "{s:i, s:i}",
		  "status", x->status, "sends", (int)x->sends);
	endpoint_record_answer(x->proxyd->endpoints, endpoint,
			       proxyd_now(x->proxyd) - x->sent_ms,
			       x->status >= 500);
	stream_move(x, "no stream", false);
}

/* Returns whether a call that failed at an endpoint is sent to another one: it
 * may be repeated, and enough of the target latency is left. */
static bool should_repeat_failed(struct exchange *x)
{
	uint64_t age = proxyd_now(x->proxyd) - x->received_ms;

	return x->route->kind == KIND_IDEMPOTENT &&
	       age < x->route->target_ms * REPEAT_FAILED_PERCENT / 100 &&
	       exchange_repeat_allowed(x);
}

/* Handles an answer which states that the request has not run. */
static void handle_not_run(struct exchange *x, struct handle endpoint)
{
	event_log(EVENT_NOTABLE, "endpoint-refused", x->fields.id, "{s:i, s:b}",
		  "status", x->status, "from_copy", x->from_copy);
	x->failed_ms = proxyd_now(x->proxyd);
	if (!x->from_copy)
		exchange_avoid(x, endpoint);
	if (handover_restore(x, "refused"))
		return;
	if (exchange_repeat_allowed(x))
		exchange_dispatch(x);
	else
		handle_no_repeat(x, "endpoints are full");
}

/* Forwards the endpoint's answer to the caller. */
static void forward_answer(struct exchange *x, struct handle endpoint)
{
	endpoint_record_answer(x->proxyd->endpoints, endpoint,
			       proxyd_now(x->proxyd) - x->sent_ms,
			       x->status >= 500);
	suspects_run_completed(x);
	attempt_deliver(x, "served");
}

/* Sends the answer that was received to the caller, and finishes the request with
 * an outcome: refused, if another instance has refused it. */
void attempt_deliver(struct exchange *x, const char *outcome)
{
	struct http1_conn *caller = x->caller;
	uint64_t now = proxyd_now(x->proxyd);

	histogram_add(&x->proxyd->exchanges->plain_answer,
		      (double)(now - x->received_ms));
	x->caller = NULL;
	http1_set_owner(caller, NULL);
	x->given = true;
	bytes_add(&x->headers, "", 1);
	if (x->unframed)
		http1_reply_unframed(caller, x->status, x->headers.data,
				     x->body.data, x->body.len);
	else
		http1_reply(caller, x->status, x->headers.data, x->body.data,
			    x->body.len);
	exchange_finish(x, outcome);
}
