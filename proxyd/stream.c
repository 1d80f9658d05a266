/*
 * Streams of events: passed on as they come, and gone on with at another
 * endpoint when theirs is lost.
 */
#include "proxyd/exchange.h"

#include <stdio.h>
#include <string.h>

#include "lib/event_log.h"
#include "policy/silence.h"
#include "proxyd/peers.h"
#include "proxyd/suspects.h"

/* A caller that reads slowly stops the reading from its engine. */
#define PENDING_MAX (256u << 10) /* bytes */

#define EVENT_MAX (256u << 10) /* bytes; an event holds a few tokens */

/* A stream that was begun waits so long for a loan of another instance: others
 * are asked a few times, and the pause is still one that routes allow. */
#define LOAN_WAIT_MS 200

/* Part of the target by which a run that was lost must begin again. */
#define MOVE_LATER_PERCENT 65

/* Weight of the newest run in the moving means. */
#define MEAN_WEIGHT 0.1F

static void event_without_end(struct exchange *x);
static void move_later(struct exchange *x);
static size_t whole_events(struct exchange *x);
static bool take_event(struct exchange *x, const struct whole_event *event);
static void begin(struct exchange *x);
static void first_event(struct exchange *x, uint64_t now);
static void heard(struct exchange *x, uint64_t now);
static void complete(struct exchange *x);

/* Passes on the events that are whole. */
void stream_take(struct exchange *x, const char *data, size_t len)
{
	uint64_t now = proxyd_now(x->proxyd);
	size_t n;

	event_stream_add(&x->stream, data, len);
	endpoint_heard(x->proxyd->endpoints, x->at);
	n = whole_events(x);
	if (x->stream.pending.len - n > EVENT_MAX) {
		event_without_end(x);
		return;
	}
	if (!n || !x->caller)
		return;
	if (x->first_by_ms)
		first_event(x, now);
	if (!x->begun)
		begin(x);
	heard(x, now);
	http1_stream_write(x->caller, x->stream.pending.data, n);
	event_stream_consume(&x->stream, n);
	if (x->call && http1_pending(x->caller) > PENDING_MAX)
		http1_call_pause(x->call, true);
}

/* The engine sends an event that does not end: what follows it is none either. */
static void event_without_end(struct exchange *x)
{
	endpoint_answered(x->proxyd->endpoints, x->at,
			  proxyd_now(x->proxyd) - x->sent_ms, true);
	stream_move(x, "event without end");
}

/* The engine's answer is over. */
void stream_ended(struct exchange *x, enum http1_outcome outcome)
{
	struct handle at = x->at;
	bool whole = outcome == HTTP1_COMPLETE && !x->stream.pending.len;

	if (whole && x->caller) {
		complete(x);
		return;
	}
	if (!x->caller) {
		attempt_cancel(x);
		exchange_over(x, "left by caller");
		return;
	}
	if (outcome == HTTP1_BROKEN)
		suspects_broke(x, endpoint_get(x->proxyd->endpoints, at));
	endpoint_probe(x->proxyd->endpoints, at, x->fields.id, 0);
	stream_move(x, http1_outcome_name(outcome));
}

/* The run's engine is lost: the old run is cancelled, and the stream goes on
 * from its copy, or from its prompt where there is none. */
void stream_move(struct exchange *x, const char *why)
{
	struct handle from = x->at;
	struct run_copy copy = x->copy; /* its order and answer stay behind */
	bool by_copy = copy_usable(x) && (x->begun || x->has_last_event);
	uint64_t now = proxyd_now(x->proxyd);

	x->may_have_run = true;
	copy_end(x, by_copy);
	attempt_cancel(x);
	exchange_avoid(x, from);
	if (!x->lost_ms)
		x->lost_ms = now;
	event_log(EVENT_NOTABLE, "move", x->fields.id,
		  "{s:s, s:b, s:I, s:i, s:I}", "why", why, "by_copy", by_copy,
		  "silent_ms", (json_int_t)(now - x->heard_ms), "sends",
		  (int)x->sends, "last_event",
		  (json_int_t)(x->has_last_event ? (int64_t)x->last_event
						 : -1));
	if (!x->caller) {
		exchange_over(x, "left by caller");
		return;
	}
	if (by_copy)
		copy_leave(x, &copy);
	if (x->begun && !x->route->resumable)
		exchange_fail(x, 502, "the run was lost and may not move");
	else if (exchange_repeat_allowed(x))
		stream_go_on(x);
	else
		move_later(x);
}

/* A run that was lost goes on elsewhere, from its copy if that is still there. */
void stream_go_on(struct exchange *x)
{
	const struct handle none = { 0 };
	struct exchanges *t = x->proxyd->exchanges;
	struct run_copy copy = x->left_copy;
	bool by_copy = copy_lies_well(x->proxyd, &copy);

	if (suspects_stop(x)) {
		x->repeat_due = x->phase == EXCHANGE_WAITING;
		return;
	}
	x->left_copy.at = none;
	x->repeat_due = false;
	if (x->wait_until_ms)
		t->waiting_tokens -= x->tokens;
	x->wait_until_ms = 0;
	x->moves++;
	counter_add(by_copy ? t->moved_copy : t->moved, 1);
	if (by_copy)
		attempt_start(x, copy.at, &copy);
	else
		exchange_seek(x);
}

/* No repeat is left: the run waits for one, of its instance or lent by another.
 * A stream without any event waits while its first event may still be in time;
 * one that was begun only while the pause is short, then it is broken off, and
 * its caller goes on from its last event. */
static void move_later(struct exchange *x)
{
	uint64_t now = proxyd_now(x->proxyd);
	uint64_t until =
		x->begun ? now + LOAN_WAIT_MS
			 : x->received_ms + x->route->target_ms *
						    MOVE_LATER_PERCENT / 100;
	bool alone = !peers_alive(x->proxyd->peers);

	if ((x->begun && alone) || x->sends >= x->route->attempts_max ||
	    now >= until) {
		exchange_fail(x, 502, "the run was lost and may not move");
		return;
	}
	x->phase = EXCHANGE_WAITING;
	x->repeat_due = true;
	x->wait_until_ms = until;
	x->proxyd->exchanges->waiting_tokens += x->tokens;
}

/* Tells whether the caller's stream is late already: it had to come back, or
 * its first event or a pause took longer than the route asks.  It then yields
 * to those that can still be on time. */
bool stream_is_late(const struct exchange *x)
{
	uint64_t now = proxyd_now(x->proxyd);

	if (x->fields.resumes)
		return true;
	if (!x->begun)
		return now - x->received_ms > x->route->target_ms;
	return x->first_ms > x->route->target_ms ||
	       (x->route->gap_ms && (x->longest_gap_ms > x->route->gap_ms ||
				     now - x->passed_ms > x->route->gap_ms));
}

/* Judges the silence of a run. */
void stream_watch(struct exchange *x, uint64_t now)
{
	const struct endpoint *e = endpoint_get(x->proxyd->endpoints, x->at);
	const struct silence_run run = {
		.last_event_ms = x->heard_ms,
		.probed_ms = e ? e->probed_ms : 0,
		.first_event_due_ms = x->first_by_ms,
		.gap_max_ms = x->route->gap_ms,
		.can_move = x->sends < x->route->attempts_max,
		.has_copy = copy_usable(x),
		.from_copy = x->from_copy,
		.has_spare_budget = x->from_copy && x->first_by_ms &&
				    exchange_repeat_spare(x),
		.expected_first_event_ms =
			x->first_by_ms ? (uint32_t)(x->first_by_ms - x->sent_ms)
				       : 0,
	};

	if (!x->call || !http1_call_connected(x->call))
		return;
	if (x->caller && http1_pending(x->caller)) {
		x->heard_ms = now; /* the caller reads slowly */
		return;
	}
	http1_call_pause(x->call, false);
	switch (silence_decide(&run, now)) {
	case SILENCE_WAIT:
		break;
	case SILENCE_PROBE:
		endpoint_probe(x->proxyd->endpoints, x->at, x->fields.id,
			       now - x->heard_ms);
		break;
	case SILENCE_MOVE:
		stream_move(x, "silent beyond what is on time");
		break;
	}
}

/* Returns the length of the whole events that are to be passed on; those that
 * the caller has are dropped. */
static size_t whole_events(struct exchange *x)
{
	struct whole_event event;
	size_t n = 0;

	while (event_stream_next(&x->stream, n, &event)) {
		size_t len = event.len;

		if (take_event(x, &event)) {
			n += len;
			continue;
		}
		memmove(x->stream.pending.data + n,
			x->stream.pending.data + n + len,
			x->stream.pending.len - n - len);
		x->stream.pending.len -= len;
	}
	return n;
}

/* Notes an event's position; false if the caller has it already. */
static bool take_event(struct exchange *x, const struct whole_event *event)
{
	if (!event->has_id)
		return true;
	if (x->has_last_event && event->id <= x->last_event)
		return false;
	x->has_last_event = true;
	x->last_event = event->id;
	return true;
}

/* Begins the answer to the caller with the head of the first engine's. */
static void begin(struct exchange *x)
{
	x->begun = true;
	bytes_add(&x->headers, "", 1);
	http1_stream_begin(x->caller, x->status, x->headers.data);
}

/* The first event of an attempt: its prompt has been read. */
static void first_event(struct exchange *x, uint64_t now)
{
	struct exchanges *t = x->proxyd->exchanges;
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, x->at);
	float took = (float)(now - x->sent_ms);

	x->first_by_ms = 0;
	if (x->prefilling && e) {
		attempt_prompt_read(x);
		if (x->fields.session) {
			endpoints_prompt_read(x->proxyd->endpoints,
					      x->fields.session, e->hash);
			peers_announce_prompt(x->proxyd->peers, x->fields.session,
					  e->hash);
		}
		if (x->fields.prompt_tokens && !e->own.prefills &&
		    !e->others.prefills)
			t->prefill_ms_per_token +=
				MEAN_WEIGHT *
				(took / (float)x->fields.prompt_tokens -
				 t->prefill_ms_per_token);
	}
	if (!x->begun) {
		x->first_ms = now - x->received_ms;
		histogram_add(&t->first_event, (double)x->first_ms);
	}
	if (x->lost_ms) {
		event_log(EVENT_NOTABLE, "resumed", x->fields.id,
			  "{s:I, s:b, s:I}", "after_ms",
			  (json_int_t)(now - x->lost_ms), "from_copy",
			  x->from_copy, "pause_ms",
			  (json_int_t)(x->passed_ms ? now - x->passed_ms : 0));
		if (x->passed_ms)
			histogram_add(&t->pause_moved,
				      (double)(now - x->passed_ms));
		x->lost_ms = 0;
	}
}

/* Notes that the run is heard. */
static void heard(struct exchange *x, uint64_t now)
{
	if (x->passed_ms && now - x->passed_ms > x->longest_gap_ms)
		x->longest_gap_ms = now - x->passed_ms;
	x->heard_ms = now;
	x->passed_ms = now;
}

/* The stream is whole. */
static void complete(struct exchange *x)
{
	struct exchanges *t = x->proxyd->exchanges;
	struct http1_conn *caller = x->caller;

	if (!x->moves)
		t->run_ms += MEAN_WEIGHT *
			     ((float)(proxyd_now(x->proxyd) - x->sent_ms) -
			      t->run_ms);
	if (!x->begun)
		begin(x);
	attempt_cancel(x);
	suspects_ran(x);
	x->caller = NULL;
	http1_own(caller, NULL);
	http1_stream_end(caller);
	exchange_over(x, "served");
}
