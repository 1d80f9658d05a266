/*
 * Hand-over of a run that leaves an endpoint which may be sound: the old run is
 * held until the new endpoint has taken the request.  If that refuses it or can't
 * be reached, or the old run was only silent and speaks first, the old run goes
 * on.
 */
#include "proxyd/exchange.h"

#include "lib/event_log.h"
#include "policy/handover.h"

static void on_body(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum http1_outcome outcome);
static struct handover state_of(const struct exchange *x);
static void swap_runs(struct exchange *x);

static const struct http1_call_ops held_ops = {
	.on_body = on_body,
	.on_end = on_end,
};

/* Holds the current run while another endpoint is tried.  One that moves because its
 * endpoint is silent is read on if it has begun its answer; any other is not.
 * Returns false if there is none, or its request has not reached its endpoint. */
bool handover_begin(struct exchange *x, bool may_be_silent)
{
	bool goes_on = may_be_silent && x->is_event_stream;

	if (!x->call || !http1_call_connected(x->call) || x->held.call)
		return false;
	http1_call_pause(x->call, !goes_on);
	http1_call_reassign(x->call, &held_ops, x);
	swap_runs(x);
	x->held.goes_on = goes_on;
	return true;
}

/* Goes on with the run that is held, as no other endpoint has taken the request.
 * Returns false if none is held. */
bool handover_restore(struct exchange *x, const char *why)
{
	uint64_t now = proxyd_now(x->proxyd);

	if (!x->held.call)
		return false;
	exchange_stop_waiting(x);
	x->awaits_repeat = false;
	kv_copy_drop_kept(x);
	attempt_cancel(x);
	swap_runs(x);
	handover_release(x);
	x->phase = EXCHANGE_SENT;
	x->broken_off = false;
	x->ended_ms = 0; /* of the other endpoint's answer */
	x->staged = false;
	x->lost_ms = 0;
	x->move_tried_ms = now;
	x->was_paused = true;
	attempt_reassign(x);
	http1_call_pause(x->call, false);
	event_log(EVENT_NOTABLE, "move-undone", x->fields.id,
		  "{s:s, s:i, s:I, s:b}", "why", why, "sends", (int)x->sends,
		  "silent_ms", (json_int_t)(now - x->last_event_ms), "begun",
		  x->response_started);
	return true;
}

/* Ends the run that is held, if there is one. */
void handover_end(struct exchange *x)
{
	if (!x->held.call)
		return;
	swap_runs(x);
	attempt_cancel(x);
	swap_runs(x);
	handover_release(x);
}

/* Frees what a run that is not held any more has left. */
void handover_release(struct exchange *x)
{
	x->proxyd->exchanges->answer_bytes -= x->held.body.len;
	bytes_release(&x->held.body);
	bytes_release(&x->held.headers);
	bytes_release(&x->held.copy.answer);
	event_stream_release(&x->held.stream);
	x->held = (struct held_run){ .call = NULL };
}

/* Ends the run that is held once the new endpoint has had time to refuse the
 * request.  Until that speaks it may be silent, too. */
void handover_tick(struct exchange *x, uint64_t now)
{
	struct endpoints *endpoints = x->proxyd->endpoints;
	struct handover h;

	if (!x->held.call || !x->call || !http1_call_connected(x->call))
		return;
	if (!x->held.offered_ms)
		x->held.offered_ms = now;
	h = state_of(x);
	if (!x->held.asked && handover_should_ask(&h, now)) {
		x->held.asked = true;
		x->held.cannot_be_asked =
			!x->engine ||
			!endpoint_want_sign(endpoints, x->endpoint);
	}
	if (!handover_can_refuse(&h))
		x->held.can_refuse_ms = 0;
	else if (!x->held.can_refuse_ms)
		x->held.can_refuse_ms = now;
	if (handover_over(x->held.can_refuse_ms ? now - x->held.can_refuse_ms
						: 0,
			  x->is_event_stream))
		handover_end(x);
}

/* Returns what is known of the place that the run is offered to. */
static struct handover state_of(const struct exchange *x)
{
	struct endpoints *endpoints = x->proxyd->endpoints;
	const struct endpoint *e = endpoint_get(endpoints, x->endpoint);
	const struct endpoint *old = endpoint_get(endpoints, x->held.endpoint);

	return (struct handover){
		.goes_on = x->held.goes_on,
		.relayed = relay_in_use(x),
		.path_lost = endpoints_path_lost(endpoints, x->service),
		.cannot_be_asked = x->held.cannot_be_asked,
		.offered_ms = x->held.offered_ms,
		.heard_ms = e ? e->heard_ms : 0,
		.old_heard_ms = old ? old->heard_ms : 0,
		.old_ended = !old || old->ended,
	};
}

/* Handles a part of the answer of a run that is held: its endpoint was only
 * silent, so that it goes on. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct exchange *x = arg;

	handover_restore(x, "the old run goes on");
	attempt_receive(x, data, len);
}

/* Handles the end of the connection of a run that is held.  The end of its answer
 * is a part of that. */
static void on_end(void *arg, enum http1_outcome outcome)
{
	struct exchange *x = arg;

	if (outcome == HTTP1_COMPLETE && x->held.goes_on) {
		handover_restore(x, "the old run goes on");
		attempt_ended(x, outcome);
		return;
	}
	event_log(EVENT_NOTABLE, "held-run-ended", x->fields.id, "{s:s}",
		  "outcome", http1_outcome_name(outcome));
	x->held.call = NULL;
	swap_runs(x);
	attempt_cancel(x);
	swap_runs(x);
	handover_release(x);
}

/* Exchanges the current run and the one that is held. */
static void swap_runs(struct exchange *x)
{
	const struct held_run current = {
		.call = x->call,
		.relay = x->relay,
		.endpoint = x->endpoint,
		.sent_ms = x->sent_ms,
		.sent_software = x->sent_software,
		.sent_born_ms = x->sent_born_ms,
		.moments = x->moments,
		.start_excused = x->start_excused,
		.permit = x->permit,
		.load_counted = x->load_counted,
		.prefill_counted = x->prefill_counted,
		.from_copy = x->from_copy,
		.crash_counted = x->crash_counted,
		.copy = x->copy,
		.status = x->status,
		.answer = x->answer,
		.unframed = x->unframed,
		.headers = x->headers,
		.body = x->body,
		.is_event_stream = x->is_event_stream,
		.stream = x->stream,
		.last_event_ms = x->last_event_ms,
		.first_event_due_ms = x->first_event_due_ms,
	};

	x->call = x->held.call;
	x->relay = x->held.relay;
	x->endpoint = x->held.endpoint;
	x->sent_ms = x->held.sent_ms;
	x->sent_software = x->held.sent_software;
	x->sent_born_ms = x->held.sent_born_ms;
	x->moments = x->held.moments;
	x->start_excused = x->held.start_excused;
	x->permit = x->held.permit;
	x->load_counted = x->held.load_counted;
	x->prefill_counted = x->held.prefill_counted;
	x->from_copy = x->held.from_copy;
	x->crash_counted = x->held.crash_counted;
	x->copy = x->held.copy;
	x->status = x->held.status;
	x->answer = x->held.answer;
	x->unframed = x->held.unframed;
	x->headers = x->held.headers;
	x->body = x->held.body;
	x->is_event_stream = x->held.is_event_stream;
	x->stream = x->held.stream;
	x->last_event_ms = x->held.last_event_ms;
	x->first_event_due_ms = x->held.first_event_due_ms;
	x->held = current;
}
