/*
 * KV-cache copies of runs.  An engine streams a copy during the run to the
 * endpoint that was named when the run started.  If that endpoint is lost, or
 * none had free capacity then, the engine is asked for another copy during the
 * run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/event_log.h"
#include "policy/kv_copy.h"
#include "proxyd/exchange.h"

/* Timeouts of the connection to an endpoint, and of a copy order: copies queue
 * behind others on the links of both endpoints. */
#define CONNECT_MS 60
#define ORDER_MS 1500

static void order_copy(struct exchange *x, struct handle to);
static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head);
static void on_body(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum http1_outcome outcome);
static void handle_copy_made(struct exchange *x, const char *id);
static void free_copy(struct proxyd *p, const struct kv_copy *copy);

static const struct http1_call_ops order_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static const struct http1_call_ops no_ops = { 0 };

/* Chooses the endpoint that receives the KV-cache copy of a new run; the handle
 * may name none. */
struct handle kv_copy_choose(struct exchange *x)
{
	const struct endpoint_criteria criteria = exchange_endpoint_criteria(x);
	const struct handle none = { 0 };

	if (!x->engine || !x->engine->copies || x->route->kind != KIND_STREAM ||
	    !x->route->resumable)
		return none;
	return endpoints_place_kv_copy(x->proxyd->endpoints, &criteria,
				       x->endpoint);
}

/* Records that an endpoint holds or will hold the copy; id is empty for a copy
 * that the engine streams during the run. */
void kv_copy_set(struct exchange *x, struct handle endpoint, const char *id)
{
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, endpoint);
	struct endpoint *source =
		endpoint_get(x->proxyd->endpoints, x->endpoint);

	if (!e)
		return;
	if (!handle_equal(x->copy.endpoint, endpoint)) {
		kv_copy_clear(x);
		e->own_load.tokens += x->tokens;
	}
	x->copy.endpoint = endpoint;
	x->copy.made_ms = proxyd_now(x->proxyd);
	snprintf(x->copy.id, sizeof(x->copy.id), "%s", id);
	snprintf(x->copy.source, sizeof(x->copy.source), "%s",
		 id[0] && source ? source->address : e->address);
}

/* Forgets the copy, as it is lost or not needed any more, and removes it from
 * the load of its endpoint. */
void kv_copy_clear(struct exchange *x)
{
	const struct handle none = { 0 };
	struct endpoint *e =
		endpoint_get(x->proxyd->endpoints, x->copy.endpoint);

	if (e)
		e->own_load.tokens -= x->tokens;
	x->copy.endpoint = none;
	x->copy.id[0] = '\0';
}

/* Cancels an order in progress, if there is one. */
void kv_copy_cancel_order(struct exchange *x)
{
	if (x->copy.call)
		http1_call_cancel(x->copy.call);
	x->copy.call = NULL;
}

/* Cancels an order in progress when the run has ended or moved, and frees an
 * ordered copy unless it is used: otherwise the engine keeps it for seconds. */
void kv_copy_release(struct exchange *x, bool used)
{
	kv_copy_cancel_order(x);
	if (!used && x->copy.id[0])
		free_copy(x->proxyd, &x->copy);
	kv_copy_clear(x);
}

/* Keeps the copy of a lost run, which may resume from it later. */
void kv_copy_keep(struct exchange *x, const struct kv_copy *copy)
{
	x->kept_copy = *copy;
	x->kept_copy.call = NULL;
	x->kept_copy.answer = (struct bytes){ 0 };
}

/* Frees the kept copy of a lost run that will not resume from it. */
void kv_copy_drop_kept(struct exchange *x)
{
	const struct handle none = { 0 };

	if (!handle_is_none(x->kept_copy.endpoint) && x->kept_copy.id[0])
		free_copy(x->proxyd, &x->kept_copy);
	x->kept_copy.endpoint = none;
}

/* Returns whether the copy is at an endpoint that is up and accepts work. */
bool kv_copy_usable(const struct exchange *x)
{
	return kv_copy_endpoint_usable(x, &x->copy);
}

/* Returns whether the endpoint of a copy is up, runs the version that began the
 * stream and accepts work, so that a run may resume there. */
bool kv_copy_endpoint_usable(const struct exchange *x,
			     const struct kv_copy *copy)
{
	const struct proxyd *p = x->proxyd;
	const struct endpoint *e = endpoint_get(p->endpoints, copy->endpoint);

	return e && e->state == ENDPOINT_UP &&
	       endpoint_continues(e, x->software) &&
	       endpoint_accepts_work(e, proxyd_now(p));
}

/* Orders a copy if the run needs one, and cancels an order that takes too
 * long. */
void kv_copy_tick(struct exchange *x, uint64_t now)
{
	const struct kv_copy_state run = {
		.prefill_done = x->response_started && !x->first_event_due_ms,
		.has_copy = kv_copy_usable(x),
		.ordered = x->copy.id[0] != '\0',
		.made_ms = x->copy.made_ms,
		.last_order_ms = x->copy.last_order_ms,
	};
	struct handle to = x->copy.endpoint;

	if (!x->engine || !x->engine->moves || !x->route->resumable)
		return;
	if (x->copy.call) {
		if (now - x->copy.last_order_ms > ORDER_MS) {
			http1_call_cancel(x->copy.call);
			x->copy.call = NULL;
		}
		return;
	}
	if (!kv_copy_due(&run, now))
		return;
	x->copy.last_order_ms = now;
	if (x->staged)
		to = stage_choose_endpoint(x);
	if (!x->staged && !run.has_copy)
		to = kv_copy_choose(x);
	if (!handle_is_none(to))
		order_copy(x, to);
}

/* Asks the run's engine to make a copy at an endpoint. */
static void order_copy(struct exchange *x, struct handle to)
{
	struct proxyd *p = x->proxyd;
	struct endpoint *source = endpoint_get(p->endpoints, x->endpoint);
	const struct endpoint *e = endpoint_get(p->endpoints, to);
	struct http1_call_options options = { .connect_timeout_ms =
						      CONNECT_MS };
	struct bytes out = { 0 };

	if (!source || !e ||
	    holdoff_remaining_ms(&source->holdoff, proxyd_now(p)) ||
	    !limits_available(source))
		return;
	limits_take(source);
	options.address = source->address;
	x->copy.ordered_endpoint = to;
	x->copy.status = 0;
	x->copy.answer.len = 0;
	p->protocol->encode_copy_order(&out, source->address, x->fields.id,
				       e->address);
	event_log(EVENT_ROUTINE, "copy-ordered", x->fields.id, "{s:s, s:s}",
		  "endpoint", source->id, "copy_to", e->id);
	x->copy.call = http1_call_start(p->client, &options, out.data, out.len,
					&order_ops, x);
}

/* Handles the head of the engine's answer to an order. */
static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head)
{
	struct exchange *x = arg;
	struct proxyd *p = x->proxyd;
	struct answer_fields answer;

	x->copy.status = head->status;
	p->protocol->decode_answer(head, &answer);
	if (!answer.misdirected)
		endpoint_apply_status(p->endpoints, x->endpoint, &answer,
				      x->copy.last_order_ms, x->fields.id);
	return HTTP1_ACCEPT;
}

/* Handles a part of the body of the answer to an order. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct exchange *x = arg;

	if (x->copy.answer.len + len <= COPY_ANSWER_MAX_BYTES)
		bytes_add(&x->copy.answer, data, len);
}

/* Handles the end of the call that ordered a copy. */
static void on_end(void *arg, enum http1_outcome outcome)
{
	struct exchange *x = arg;
	char id[COPY_ID_SIZE];

	x->copy.call = NULL;
	if (outcome == HTTP1_COMPLETE && x->copy.status == 200 &&
	    x->proxyd->protocol->decode_copy_answer(
		    x->copy.answer.data, x->copy.answer.len, id, sizeof(id))) {
		handle_copy_made(x, id);
		return;
	}
	x->staged = false;
	event_log(EVENT_NOTABLE, "copy-not-made", x->fields.id, "{s:s, s:i}",
		  "outcome", http1_outcome_name(outcome), "status",
		  x->copy.status);
}

/* Records a copy that the engine has made, and ends the prefill stage of a
 * staged run. */
static void handle_copy_made(struct exchange *x, const char *id)
{
	const struct endpoint *e =
		endpoint_get(x->proxyd->endpoints, x->copy.ordered_endpoint);

	if (!e || e->state != ENDPOINT_UP)
		return;
	kv_copy_set(x, x->copy.ordered_endpoint, id);
	event_log(EVENT_ROUTINE, "copy-made", x->fields.id, "{s:s, s:I}",
		  "copy_to", e->id, "took_ms",
		  (json_int_t)(x->copy.made_ms - x->copy.last_order_ms));
	if (x->staged)
		stage_copy_done(x);
}

/* Asks the engine to free a copy; the answer is ignored.  If its limit allows
 * no request now, the engine frees the copy itself, later. */
static void free_copy(struct proxyd *p, const struct kv_copy *copy)
{
	const struct http1_call_options options = {
		.address = copy->source,
		.connect_timeout_ms = CONNECT_MS,
		.timeout_ms = ORDER_MS,
	};
	struct endpoint *e = endpoint_by_address(p->endpoints, copy->source);
	struct bytes out = { 0 };

	if (e && !limits_available(e))
		return;
	if (e)
		limits_take(e);
	p->protocol->encode_copy_free(&out, copy->source, copy->id);
	http1_call_start(p->client, &options, out.data, out.len, &no_ops, NULL);
}
