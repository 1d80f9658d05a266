/*
 * One sending of a request to an endpoint, and what its answer means.
 */
#include <string.h>

#include "lib/event_log.h"
#include "policy/content.h"
#include "policy/capacity_wait.h"
#include "proxyd/exchange.h"
#include "proxyd/peers.h"
#include "proxyd/rediscover.h"
#include "proxyd/suspects.h"

/* A live endpoint completes a connection within 4 ms; a lost packet takes a
 * second, by which another endpoint has answered. */
#define CONNECT_MS 60
#define CONNECT_LAST_MS 400 /* when others have failed already */

/* Idle times after which a kept connection is not used again: one that broke
 * unnoticed loses a call, which matters more where it can't be repeated. */
#define REUSE_ONCE_MS 1000
#define REUSE_MS 4000

/* Time to the first event of a run that goes on from a copy, at most. */
#define COPY_FIRST_MS 400

/* Part of the target time after which a failed call is not repeated. */
#define REPEAT_FAILED_PERCENT 65

/* A caller that found endpoints full or out of reach may come back after this:
 * a plain call takes some 20 ms, and a dead endpoint is known by then. */
#define RETRY_FULL_MS 300

#define ANSWER_MAX (8u << 20) /* bytes; the largest that is passed on */
#define ANSWERS_MAX (24u << 20) /* bytes of all that are being read */

static void load_add(struct exchange *x);
static void load_remove(struct exchange *x);
static void say_sent(const struct exchange *x, const struct endpoint *e);
static enum http1_verdict on_head(void *arg, const struct http1_head *head);
static void note_other(struct exchange *x);
static void on_body(void *arg, const char *data, size_t len);
static void answer_too_large(struct exchange *x);
static void on_end(void *arg, enum http1_outcome outcome);
static void plain_not_sent(struct exchange *x, struct handle at,
			   enum http1_outcome outcome);
static void plain_broken(struct exchange *x, struct handle at,
			 enum http1_outcome outcome);
static void plain_answered(struct exchange *x, struct handle at);
static bool repeat_failed(struct exchange *x);
static void answer_not_run(struct exchange *x, struct handle at);
static void pass_on(struct exchange *x, struct handle at);

static const struct http1_call_ops call_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

/* Sends the request to an endpoint, which holds the copy from unless that is
 * NULL. */
void attempt_start(struct exchange *x, struct handle at,
		   const struct run_copy *from)
{
	struct proxyd *p = x->proxyd;
	struct endpoint *e = endpoint_get(p->endpoints, at);
	uint64_t now = proxyd_now(p);
	struct http1_call_options options = {
		.address = e->address,
		.head = x->request->head.method_len == 4 &&
			!memcmp(x->request->head.method, "HEAD", 4),
		.connect_ms = x->connects ? CONNECT_LAST_MS : CONNECT_MS,
	};
	struct forward_fields f = {
		.endpoint = e->id,
		.organisation = x->organisation ? x->organisation->name : NULL,
		.deadline_ms = x->end_ms - now,
		.resumes = x->has_last_event || x->fields.resumes,
		.resume_after = x->has_last_event ? x->last_event
						  : x->fields.resume_after,
		.yields = x->engine && stream_is_late(x),
	};
	bool suspected = suspects_holds(x);
	const struct endpoint *copy;
	struct bytes out = { 0 };

	if (x->phase == EXCHANGE_WAITING && x->wait_until_ms)
		p->exchanges->waiting_tokens -= x->tokens;
	x->wait_until_ms = 0;
	if (from) {
		f.copy_at = from->source;
		f.copy_id = from->id[0] ? from->id : x->fields.id;
	}
	x->struck = false;
	if (suspected) /* a fresh one shows that the endpoint lives */
		options.reuse_ms = 0;
	else if (x->route->kind == KIND_AT_MOST_ONCE)
		options.reuse_ms = REUSE_ONCE_MS;
	else if (x->route->kind == KIND_IDEMPOTENT)
		options.reuse_ms = REUSE_MS;
	x->phase = EXCHANGE_SENT;
	x->at = at;
	x->from_copy = from != NULL;
	x->sends++;
	exchange_arrives(x);
	x->sent_ms = now;
	x->heard_ms = now;
	x->first_by_ms =
		now + (from ? COPY_FIRST_MS
			    : capacity_wait_first_event_ms(
				      x->fields.prompt_tokens,
				      e->own.prefill + e->others.prefill,
				      p->exchanges->prefill_ms_per_token));
	x->events = false;
	x->status = 0;
	x->headers.len = 0;
	attempt_drop_answer(x);
	event_stream_consume(&x->stream, x->stream.pending.len);
	load_add(x);
	x->staged = !from && !suspected && stage_planned(x);
	if (!x->staged)
		copy_set(x, copy_choose(x), "");
	copy = endpoint_get(p->endpoints, x->copy.at);
	f.copy_to = copy ? copy->address : NULL;
	p->protocol->encode_request(&out, x->request, &f);
	x->call = http1_call_start(p->client, &options, out.data, out.len,
				   &call_ops, x);
	say_sent(x, e);
}

/* Gives the current sending up; its endpoint stops when the connection ends. */
void attempt_cancel(struct exchange *x)
{
	if (x->call) {
		if (!http1_call_connected(x->call))
			exchange_not_arrived(x);
		http1_call_cancel(x->call);
	}
	x->call = NULL;
	copy_end(x, false);
	load_remove(x);
}

/* Counts the request into the load of its endpoint. */
static void load_add(struct exchange *x)
{
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, x->at);

	x->loaded = true;
	x->prefilling = x->engine && !x->from_copy;
	e->own.requests++;
	e->own.tokens += x->tokens;
	if (x->prefilling) {
		e->own.prefill += x->fields.prompt_tokens;
		e->own.prefills++;
	}
	if (x->engine)
		peers_announce_work(x->proxyd->peers, e, true);
}

/* Takes the request out of the load of its endpoint. */
static void load_remove(struct exchange *x)
{
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, x->at);

	if (!x->loaded)
		return;
	x->loaded = false;
	if (!e)
		return;
	e->own.requests--;
	e->own.tokens -= x->tokens;
	attempt_prompt_read(x);
	if (x->engine)
		peers_announce_work(x->proxyd->peers, e, false);
}

/* The prompt has been read, or will not be, at the endpoint. */
void attempt_prompt_read(struct exchange *x)
{
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, x->at);

	if (!x->prefilling || !e)
		return;
	x->prefilling = false;
	e->own.prefill -= x->fields.prompt_tokens;
	e->own.prefills--;
	peers_announce_work(x->proxyd->peers, e, false);
}

/* Logs the choice of an endpoint with what it was made by. */
static void say_sent(const struct exchange *x, const struct endpoint *e)
{
	const struct endpoint *copy =
		endpoint_get(x->proxyd->endpoints, x->copy.at);
	char content[CONTENT_TEXT_SIZE];

	content_text(x->content, content);
	event_log(EVENT_ROUTINE, "sent", x->fields.id,
		  "{s:s, s:s, s:s, s:s, s:i, s:b, s:s, s:I, s:I, s:I, s:I, "
		  "s:I, s:I, s:b, s:b, s:b, s:b, s:i, s:i}",
		  "route", x->route->name, "content", content, "endpoint",
		  e->id, "address", e->address, "send", (int)x->sends,
		  "from_copy", x->from_copy, "copy_to", copy ? copy->id : "",
		  "version", (json_int_t)x->routes->version, "tokens_there",
		  (json_int_t)e->own.tokens + e->others.tokens, "prefill_there",
		  (json_int_t)e->own.prefill + e->others.prefill,
		  "heard_ms_ago", (json_int_t)endpoint_heard_ago(e, x->sent_ms),
		  "left_ms", (json_int_t)(x->end_ms - x->sent_ms), "session",
		  (json_int_t)x->fields.session, "resumes",
		  x->fields.resumes || x->has_last_event, "staged", x->staged,
		  "repeat", x->arrivals > 1, "kept_connection",
		  http1_call_reused(x->call), "leaving_left_out",
		  (int)x->left_out_leaving, "paused_left_out",
		  (int)x->left_out_paused);
}

/* The head of an answer. */
static enum http1_verdict on_head(void *arg, const struct http1_head *head)
{
	struct exchange *x = arg;
	struct proxyd *p = x->proxyd;

	p->protocol->decode_answer(head, &x->answer);
	if (x->answer.id &&
	    (strlen(x->fields.id) != x->answer.id_len ||
	     memcmp(x->fields.id, x->answer.id, x->answer.id_len) != 0)) {
		event_log(EVENT_NOTABLE, "answer-of-other-request",
			  x->fields.id, "{s:i}", "status", head->status);
		return HTTP1_SKIP;
	}
	if (x->answer.other_endpoint) {
		note_other(x);
	} else {
		endpoint_heard(p->endpoints, x->at);
		endpoint_said(p->endpoints, x->at, &x->answer, x->fields.id);
	}
	x->status = head->status;
	x->unframed = http1_call_unframed(x->call);
	x->headers.len = 0;
	p->protocol->encode_answer(&x->headers, head);
	x->events = x->route->kind == KIND_STREAM && head->status == 200 &&
		    x->answer.authentic && !x->answer.encoded;
	return HTTP1_TAKE;
}

/* Keeps the id of the endpoint that has the address now. */
static void note_other(struct exchange *x)
{
	size_t len = x->answer.endpoint_len;

	x->other_id[0] = '\0';
	if (!x->answer.endpoint || len >= sizeof(x->other_id))
		return;
	memcpy(x->other_id, x->answer.endpoint, len);
	x->other_id[len] = '\0';
}

/* A part of an answer's body. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct exchange *x = arg;

	struct exchanges *t = x->proxyd->exchanges;

	if (x->events) {
		stream_take(x, data, len);
	} else if (x->body.len + len <= ANSWER_MAX &&
		   t->answer_bytes + len <= ANSWERS_MAX) {
		bytes_add(&x->body, data, len);
		t->answer_bytes += len;
	} else {
		answer_too_large(x);
	}
}

/* The answer is larger than can be passed on, or has no end: its connection is
 * closed, and what the endpoint did is not known. */
static void answer_too_large(struct exchange *x)
{
	struct handle at = x->at;

	event_log(EVENT_NOTABLE, "answer-too-large", x->fields.id, "{s:I, s:I}",
		  "bytes", (json_int_t)x->body.len, "all_bytes",
		  (json_int_t)x->proxyd->exchanges->answer_bytes);
	attempt_cancel(x);
	attempt_drop_answer(x);
	plain_broken(x, at, HTTP1_MALFORMED);
}

/* Forgets what was read of an answer. */
void attempt_drop_answer(struct exchange *x)
{
	x->proxyd->exchanges->answer_bytes -= x->body.len;
	bytes_release(&x->body);
}

/* The answer is whole, or broke. */
static void on_end(void *arg, enum http1_outcome outcome)
{
	struct exchange *x = arg;
	struct handle at = x->at;

	x->call = NULL;
	if (x->events) {
		stream_ended(x, outcome);
		return;
	}
	copy_end(x, false);
	load_remove(x);
	switch (outcome) {
	case HTTP1_NOT_SENT:
	case HTTP1_NO_ANSWER:
		plain_not_sent(x, at, outcome);
		break;
	case HTTP1_COMPLETE:
		plain_answered(x, at);
		break;
	default:
		plain_broken(x, at, outcome);
		break;
	}
}

/* No connection: nothing has run, and another endpoint may have it. */
static void plain_not_sent(struct exchange *x, struct handle at,
			   enum http1_outcome outcome)
{
	x->sends--;
	x->connects++;
	exchange_not_arrived(x);
	exchange_avoid(x, at);
	endpoint_unreachable(x->proxyd->endpoints, at, x->fields.id, outcome);
	if (!x->caller)
		exchange_over(x, "left by caller");
	else if (x->connects > ENDPOINT_AVOID_MAX)
		exchange_refuse(x, 503, RETRY_FULL_MS,
				"no endpoint can be reached");
	else
		exchange_seek(x);
}

/* The connection broke, or what came is no answer: the request may have run. */
static void plain_broken(struct exchange *x, struct handle at,
			 enum http1_outcome outcome)
{
	x->may_have_run = true;
	event_log(EVENT_NOTABLE, "answer-lost", x->fields.id, "{s:s, s:I}",
		  "how", http1_outcome_name(outcome), "sent_ms_ago",
		  (json_int_t)(proxyd_now(x->proxyd) - x->sent_ms));
	endpoint_answered(x->proxyd->endpoints, at,
			  proxyd_now(x->proxyd) - x->sent_ms, true);
	if (outcome == HTTP1_BROKEN)
		suspects_broke(x, endpoint_get(x->proxyd->endpoints, at));
	if (x->engine || outcome == HTTP1_BROKEN)
		endpoint_probe(x->proxyd->endpoints, at, x->fields.id, 0);
	exchange_avoid(x, at);
	if (!x->caller)
		exchange_over(x, "left by caller");
	else if (x->route->kind != KIND_AT_MOST_ONCE &&
		 exchange_repeat_allowed(x))
		exchange_seek(x);
	else
		exchange_fail(x, 502, "the endpoint's answer was lost");
}

/* A whole answer that is no stream of events. */
static void plain_answered(struct exchange *x, struct handle at)
{
	bool success = x->status >= 200 && x->status < 300;
	bool promise = x->status == 408 || x->status == 429 || x->status == 503;

	if (!x->caller) {
		if (!x->answer.not_run)
			suspects_ran(x);
		exchange_over(x, "left by caller");
		return;
	}
	if (x->answer.other_endpoint) {
		x->sends--;
		exchange_avoid(x, at);
		endpoint_misdirected(x->proxyd->endpoints, at, x->fields.id);
		rediscover_known(x->proxyd, at, x->other_id,
				 strlen(x->other_id));
		if (++x->connects > ENDPOINT_AVOID_MAX)
			exchange_refuse(x, 503, RETRY_FULL_MS,
					"no endpoint can be reached");
		else if (!exchange_repeat_allowed(x))
			exchange_refuse(x, 503, RETRY_FULL_MS,
					"addresses of endpoints are others', "
					"and no repeat is left");
		else
			exchange_seek(x);
		return;
	}
	if (x->answer.not_run) {
		answer_not_run(x, at);
		return;
	}
	if (x->status >= 500 && !promise && repeat_failed(x)) {
		x->may_have_run = true;
		endpoint_answered(x->proxyd->endpoints, at,
				  proxyd_now(x->proxyd) - x->sent_ms, true);
		exchange_avoid(x, at);
		exchange_seek(x);
		return;
	}
	if (!x->status || x->answer.encoded ||
	    (success && !x->answer.authentic) || promise) {
		plain_broken(x, at, HTTP1_MALFORMED);
		return;
	}
	pass_on(x, at);
}

/* Tells whether a call that an endpoint failed goes to another one: it may be
 * repeated, and there is time to answer within the target. */
static bool repeat_failed(struct exchange *x)
{
	uint64_t age = proxyd_now(x->proxyd) - x->received_ms;

	return x->route->kind == KIND_IDEMPOTENT &&
	       age < x->route->target_ms * REPEAT_FAILED_PERCENT / 100 &&
	       exchange_repeat_allowed(x);
}

/* The endpoint states that it has not run the request. */
static void answer_not_run(struct exchange *x, struct handle at)
{
	event_log(EVENT_NOTABLE, "endpoint-refused", x->fields.id, "{s:i, s:b}",
		  "status", x->status, "from_copy", x->from_copy);
	if (!x->from_copy)
		exchange_avoid(x, at);
	if (exchange_repeat_allowed(x))
		exchange_seek(x);
	else
		exchange_refuse(x, 503, RETRY_FULL_MS, "endpoints are full");
}

/* Passes the endpoint's answer on to the caller. */
static void pass_on(struct exchange *x, struct handle at)
{
	struct http1_conn *caller = x->caller;
	uint64_t now = proxyd_now(x->proxyd);

	endpoint_answered(x->proxyd->endpoints, at, now - x->sent_ms,
			  x->status >= 500);
	suspects_ran(x);
	if (x->begun) { /* the rest of a stream is no answer of this kind */
		exchange_fail(x, 502, "the stream cannot be resumed");
		return;
	}
	histogram_add(&x->proxyd->exchanges->plain_answer,
		      (double)(now - x->received_ms));
	x->caller = NULL;
	http1_own(caller, NULL);
	bytes_add(&x->headers, "", 1);
	if (x->unframed)
		http1_reply_unframed(caller, x->status, x->headers.data,
				     x->body.data, x->body.len);
	else
		http1_reply(caller, x->status, x->headers.data, x->body.data,
			    x->body.len);
	exchange_over(x, "served");
}
