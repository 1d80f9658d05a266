/*
 * The copy of a run's memory.  An engine sends one as it goes, to the endpoint
 * named when the run began.  When that endpoint is lost, or there was no room
 * then, the engine is asked for another copy while the run goes on.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/event_log.h"
#include "policy/kv_copy.h"
#include "proxyd/exchange.h"

/* Time to a connection with a live endpoint, and for a copy to be made, which
 * waits behind others on both links. */
#define CONNECT_MS 60
#define ORDER_MS 1500

static void order(struct exchange *x, struct handle to);
static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head);
static void on_body(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum http1_outcome outcome);
static void made(struct exchange *x, const char *id);
static void free_copy(struct proxyd *p, const struct run_copy *copy);

static const struct http1_call_ops order_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static const struct http1_call_ops no_ops = { 0 };

/* Chooses where the engine of a run that begins sends a copy; the handle may
 * name none. */
struct handle copy_choose(struct exchange *x)
{
	const struct endpoint_criteria wish = exchange_wish(x);
	const struct handle none = { 0 };

	if (!x->engine || !x->engine->copies || x->route->kind != KIND_STREAM ||
	    !x->route->resumable)
		return none;
	return endpoints_place_kv_copy(x->proxyd->endpoints, &wish, x->at);
}

/* Notes that the copy lies, or will lie, at an endpoint; id is empty for one
 * that the engine makes as it goes. */
void copy_set(struct exchange *x, struct handle at, const char *id)
{
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, at);
	struct endpoint *source = endpoint_get(x->proxyd->endpoints, x->at);

	if (!e)
		return;
	if (!handle_equal(x->copy.at, at)) {
		copy_forget(x);
		e->own_load.tokens += x->tokens;
	}
	x->copy.at = at;
	x->copy.made_ms = proxyd_now(x->proxyd);
	snprintf(x->copy.id, sizeof(x->copy.id), "%s", id);
	snprintf(x->copy.source, sizeof(x->copy.source), "%s",
		 id[0] && source ? source->address : e->address);
}

/* The copy is gone, or of no use any more; its memory counts no longer. */
void copy_forget(struct exchange *x)
{
	const struct handle none = { 0 };
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, x->copy.at);

	if (e)
		e->own_load.tokens -= x->tokens;
	x->copy.at = none;
	x->copy.id[0] = '\0';
}

/* The run is over or elsewhere: gives up an order under way, and frees a copy
 * that would stay for seconds. */
void copy_end(struct exchange *x, bool used)
{
	if (x->copy.call)
		http1_call_cancel(x->copy.call);
	x->copy.call = NULL;
	if (!used && x->copy.id[0])
		free_copy(x->proxyd, &x->copy);
	copy_forget(x);
}

/* The run that made the copy is lost; it may go on from there later. */
void copy_leave(struct exchange *x, const struct run_copy *copy)
{
	x->left_copy = *copy;
	x->left_copy.call = NULL;
	x->left_copy.answer = (struct bytes){ 0 };
}

/* The lost run will not go on from the copy that it left. */
void copy_drop_left(struct exchange *x)
{
	const struct handle none = { 0 };

	if (!handle_is_none(x->left_copy.at) && x->left_copy.id[0])
		free_copy(x->proxyd, &x->left_copy);
	x->left_copy.at = none;
}

/* Tells whether a copy lies at an endpoint that lives and takes work. */
bool copy_usable(const struct exchange *x)
{
	return copy_lies_well(x->proxyd, &x->copy);
}

/* Tells whether a run may go on from a copy where it lies now. */
bool copy_lies_well(const struct proxyd *p, const struct run_copy *copy)
{
	const struct endpoint *e = endpoint_get(p->endpoints, copy->at);

	return e && e->state == ENDPOINT_UP &&
	       endpoint_accepts_work(e, proxyd_now(p));
}

/* Orders a copy if the run needs one. */
void copy_tick(struct exchange *x, uint64_t now)
{
	const struct kv_copy_state run = {
		.prefill_done = x->begun && !x->first_by_ms,
		.has_copy = copy_usable(x),
		.ordered = x->copy.id[0] != '\0',
		.made_ms = x->copy.made_ms,
		.last_order_ms = x->copy.tried_ms,
	};
	struct handle to = x->copy.at;

	if (!x->engine || !x->engine->moves || !x->route->resumable)
		return;
	if (x->copy.call) {
		if (now - x->copy.tried_ms > ORDER_MS) {
			http1_call_cancel(x->copy.call);
			x->copy.call = NULL;
		}
		return;
	}
	if (!kv_copy_due(&run, now))
		return;
	x->copy.tried_ms = now;
	if (x->staged)
		to = stage_choose(x);
	if (!x->staged && !run.has_copy)
		to = copy_choose(x);
	if (!handle_is_none(to))
		order(x, to);
}

/* Asks the run's engine for a copy at an endpoint. */
static void order(struct exchange *x, struct handle to)
{
	struct proxyd *p = x->proxyd;
	const struct endpoint *source = endpoint_get(p->endpoints, x->at);
	const struct endpoint *e = endpoint_get(p->endpoints, to);
	struct http1_call_options options = { .connect_timeout_ms =
						      CONNECT_MS };
	struct bytes out = { 0 };

	if (!source || !e ||
	    holdoff_remaining_ms(&source->holdoff, proxyd_now(p)))
		return;
	options.address = source->address;
	x->copy.ordered_at = to;
	x->copy.status = 0;
	x->copy.answer.len = 0;
	p->protocol->encode_copy_order(&out, source->address, x->fields.id,
				       e->address);
	event_log(EVENT_ROUTINE, "copy-ordered", x->fields.id, "{s:s, s:s}",
		  "endpoint", source->id, "copy_to", e->id);
	x->copy.call = http1_call_start(p->client, &options, out.data, out.len,
					&order_ops, x);
}

/* The head of the engine's answer to an order. */
static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head)
{
	struct exchange *x = arg;
	struct proxyd *p = x->proxyd;
	struct answer_fields answer;

	x->copy.status = head->status;
	p->protocol->decode_answer(head, &answer);
	if (!answer.other_endpoint)
		endpoint_apply_status(p->endpoints, x->at, &answer,
				      x->fields.id);
	return HTTP1_ACCEPT;
}

/* A part of the engine's answer to an order. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct exchange *x = arg;

	if (x->copy.answer.len + len <= COPY_ANSWER_MAX)
		bytes_add(&x->copy.answer, data, len);
}

/* The engine has made the copy, or not. */
static void on_end(void *arg, enum http1_outcome outcome)
{
	struct exchange *x = arg;
	char id[COPY_ID_SIZE];

	x->copy.call = NULL;
	if (outcome == HTTP1_COMPLETE && x->copy.status == 200 &&
	    x->proxyd->protocol->decode_copy_answer(
		    x->copy.answer.data, x->copy.answer.len, id, sizeof(id))) {
		made(x, id);
		return;
	}
	x->staged = false;
	event_log(EVENT_NOTABLE, "copy-not-made", x->fields.id, "{s:s, s:i}",
		  "outcome", http1_outcome_name(outcome), "status",
		  x->copy.status);
}

/* A copy was made. */
static void made(struct exchange *x, const char *id)
{
	const struct endpoint *e =
		endpoint_get(x->proxyd->endpoints, x->copy.ordered_at);

	if (!e || e->state != ENDPOINT_UP)
		return;
	copy_set(x, x->copy.ordered_at, id);
	event_log(EVENT_ROUTINE, "copy-made", x->fields.id, "{s:s, s:I}",
		  "copy_to", e->id, "took_ms",
		  (json_int_t)(x->copy.made_ms - x->copy.tried_ms));
	if (x->staged)
		stage_copied(x);
}

/* Tells the engine that a copy is not needed; its answer changes nothing. */
static void free_copy(struct proxyd *p, const struct run_copy *copy)
{
	const struct http1_call_options options = {
		.address = copy->source,
		.connect_timeout_ms = CONNECT_MS,
		.timeout_ms = ORDER_MS,
	};
	struct bytes out = { 0 };

	p->protocol->encode_copy_free(&out, copy->source, copy->id);
	http1_call_start(p->client, &options, out.data, out.len, &no_ops, NULL);
}
