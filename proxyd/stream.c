/*
 * Event streams: forwards events as they arrive, and resumes a stream at
 * another endpoint when its endpoint is lost.
 */
#include "proxyd/exchange.h"

#include <stdio.h>
#include <string.h>

#include "lib/event_log.h"
#include "policy/silence.h"
#include "proxyd/answer_ends.h"
#include "proxyd/origins.h"
#include "proxyd/peers.h"
#include "proxyd/suspects.h"

/* Unsent bytes to a slow caller at which reading from its engine is paused. */
#define PENDING_MAX_BYTES (256u << 10)

#define EVENT_MAX_BYTES (256u << 10) /* an event holds a few tokens */

/* How long a started stream waits for a loan of another instance: enough to
 * ask a few times, and short enough for the gaps that routes allow. */
#define LOAN_WAIT_MS 200

/* How long a lost run waits for a permit of the endpoint with its copy: reading
 * its prompt again takes about as long. */
#define COPY_PERMIT_MS 800

/* Part of the target latency within which a lost run without events must be
 * sent again. */
#define DEFER_MOVE_PERCENT 65

/* Weight of the newest run in the moving means. */
#define MEAN_WEIGHT 0.1F

static bool software_changed(const struct exchange *x);
static bool software_proved(const struct exchange *x);
static void await_start(struct exchange *x);
static void receive_pending(struct exchange *x);
static void forward_events(struct exchange *x, size_t n);
static void handle_invalid_event(struct exchange *x, const char *why);
static bool copy_reachable(const struct exchange *x);
static bool copy_awaits_permit(struct exchange *x);
static void leave_endpoint(struct exchange *x, bool endpoint_lost);
static bool is_taken_elsewhere(struct exchange *x);
static bool has_ended(const struct exchange *x);
static void defer_move(struct exchange *x);
static size_t filter_events(struct exchange *x, bool *foreign);
static bool record_event_id(struct exchange *x,
			    const struct whole_event *event);
static void start_response(struct exchange *x);
static void handle_first_event(struct exchange *x, uint64_t now);
static void note_begun_here(struct exchange *x, struct endpoint *e);
static void note_begun_elsewhere(struct exchange *x);
static void record_event_time(struct exchange *x, uint64_t now);
static bool awaits_end(const struct exchange *x, bool complete);
static void complete_stream(struct exchange *x);

/* Handles a part of a stream: forwards the events that are complete. */
void stream_receive(struct exchange *x, const char *data, size_t len)
{
	bool foreign = false;
	size_t n;

	event_stream_add(&x->stream, data, len);
	endpoint_seen(x->proxyd->endpoints, x->endpoint, x->sent_ms);
	endpoint_heard(x->proxyd->endpoints, x->endpoint);
	if (x->first_event_due_ms && software_changed(x)) {
		handle_invalid_event(x, "endpoint started again");
		return;
	}
	if (x->first_event_due_ms && x->software != SOFTWARE_UNKNOWN &&
	    !software_proved(x)) {
		await_start(x);
		return;
	}
	n = filter_events(x, &foreign);
	if (!foreign && x->stream.pending.len - n > EVENT_MAX_BYTES) {
		handle_invalid_event(x, "event without end");
		return;
	}
	if (n && x->caller)
		forward_events(x, n);
	if (foreign)
		handle_invalid_event(x, "bytes that are no event");
}

/* Returns whether the endpoint of an attempt without events runs another version
 * than it was chosen for: its entry came after the choice. */
static bool software_changed(const struct exchange *x)
{
	const struct endpoint *e =
		endpoint_get(x->proxyd->endpoints, x->endpoint);

	return e && x->sent_software != e->software &&
	       x->sent_software != e->unlisted_software;
}

/* Keeps what a bound stream has received until its endpoint states its start.
 * The connection that proved it may have closed since the attempt began, so that
 * the endpoint may have to be asked once more. */
static void await_start(struct exchange *x)
{
	struct endpoints *endpoints = x->proxyd->endpoints;

	if (x->stream.pending.len > EVENT_MAX_BYTES)
		handle_invalid_event(x, "event without end");
	else
		endpoint_want_start_again(endpoints,
					  endpoint_get(endpoints, x->endpoint));
}

/* Returns whether the process that an attempt was sent to is known to run the version
 * that the entry of its endpoint names.  Only engines can be asked.  A connection that
 * is open may have gone silent, so that where versions are mixed the process must have
 * stated its start since, unless it may not be asked any more.  So must that of an engine
 * without an entry, if the stream began at a process there. */
static bool software_proved(const struct exchange *x)
{
	const struct endpoint *e =
		endpoint_get(x->proxyd->endpoints, x->endpoint);
	bool may_ask;

	if (!x->engine || !e || x->start_excused)
		return true;
	may_ask = endpoint_accepts_work(e, proxyd_now(x->proxyd));
	if (!e->software)
		return x->software == SOFTWARE_UNKNOWN || !may_ask ||
		       (e->process.start_ms == e->stated_born_ms &&
			exchange_process_proved(x, e));
	if (!endpoint_versions_mixed(e) || !may_ask)
		return endpoint_start_proved(e);
	return !e->software_doubted && endpoint_listed_start_known(e) &&
	       exchange_process_proved(x, e);
}

/* Has the engine of a stream without events asked for its start, if its version is
 * not proved. */
void stream_prove_software(struct exchange *x)
{
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, x->endpoint);

	if (x->engine && e && x->call && http1_call_connected(x->call) &&
	    x->first_event_due_ms && !relay_in_use(x) &&
	    (endpoint_versions_mixed(e) || !e->software) && !software_proved(x))
		endpoint_want_start_again(x->proxyd->endpoints, e);
}

/* Handles the start that the endpoint of an attempt has stated, or that it stated
 * none: a bound stream that waited for it goes on, or moves if it is not the one
 * that the entry names, or if another process may have received it before.  If the
 * attempt's connection is younger than what was stated, the endpoint is asked again. */
void stream_start_stated(struct exchange *x)
{
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, x->endpoint);

	if (!x->first_event_due_ms || !x->is_event_stream ||
	    x->software == SOFTWARE_UNKNOWN)
		return;
	if (!e || !endpoint_continues(e, x->software))
		handle_invalid_event(x, "endpoint started again");
	else if (software_proved(x))
		receive_pending(x);
	else if (http1_call_connected(x->call) &&
		 exchange_precedes_process(x, e))
		handle_invalid_event(x, "endpoint may have started again");
	else
		endpoint_want_start_again(x->proxyd->endpoints, e);
}

/* Handles what a stream has received while it waited for a start. */
static void receive_pending(struct exchange *x)
{
	if (x->stream.pending.len)
		stream_receive(x, "", 0);
}

/* Forwards the first n pending bytes, which are complete events. */
static void forward_events(struct exchange *x, size_t n)
{
	uint64_t now = proxyd_now(x->proxyd);

	if (x->first_event_due_ms)
		handle_first_event(x, now);
	if (!x->response_started)
		start_response(x);
	record_event_time(x, now);
	http1_stream_write(x->caller, x->stream.pending.data, n);
	event_stream_consume(&x->stream, n);
	if (x->call && http1_pending(x->caller) > PENDING_MAX_BYTES) {
		http1_call_pause(x->call, true);
		x->was_paused = true;
	}
}

/* Handles an event that exceeds the size limit without an end, or bytes in its
 * place that are none, such as another answer: the rest of the stream cannot be
 * parsed, so the run moves. */
static void handle_invalid_event(struct exchange *x, const char *why)
{
	x->broken_off = !relay_in_use(x);
	endpoint_record_answer(x->proxyd->endpoints, x->endpoint,
			       proxyd_now(x->proxyd) - x->sent_ms, true);
	stream_move(x, why, false);
}

/* Handles the end of the engine's answer, complete or not.  An answer that ends
 * with its connection has been broken off if that is inside an event or before
 * the first one; otherwise the endpoint is asked whether it lives. */
void stream_ended(struct exchange *x, enum http1_outcome outcome)
{
	struct handle endpoint = x->endpoint;
	bool complete = outcome == HTTP1_COMPLETE && !x->stream.pending.len;
	const char *why = http1_outcome_name(outcome);

	if (complete && x->caller && !x->unframed) {
		complete_stream(x);
		return;
	}
	if (x->caller && awaits_end(x, complete)) {
		answer_end_await(x);
		return;
	}
	if (!x->caller) {
		attempt_cancel(x);
		exchange_finish(x, "left by caller");
		return;
	}
	if (outcome == HTTP1_COMPLETE)
		why = x->stream.pending.len ? "ended inside an event"
					    : "ended before an event";
	if (outcome == HTTP1_BROKEN || x->unframed)
		suspects_run_broke(x, endpoint_get(x->proxyd->endpoints,
						   endpoint));
	x->broken_off = !relay_in_use(x);
	endpoint_probe(x->proxyd->endpoints, endpoint, x->fields.id, 0);
	stream_move(x, why, false);
}

/* Returns whether an answer that has ended with its connection may be the whole
 * rest of the stream.  One without events can be only if its caller has some; and
 * if the run that it was to replace is held, that one goes on. */
static bool awaits_end(const struct exchange *x, bool complete)
{
	bool goes_on = x->response_started || x->fields.resume_after;

	return complete && !x->held.call && (!x->first_event_due_ms || goes_on);
}

/* Handles what is known now of a stream that ended with its connection. */
void stream_end_known(struct exchange *x, enum answer_end end)
{
	if (end == ANSWER_END_WHOLE) {
		complete_stream(x);
		return;
	}
	x->broken_off = end == ANSWER_END_CUT;
	if (end == ANSWER_END_EMPTY)
		x->empty_runs++;
	else if (end != ANSWER_END_LEFT)
		suspects_run_broke(x, endpoint_get(x->proxyd->endpoints,
						   x->endpoint));
	stream_move(x,
		    end == ANSWER_END_EMPTY ? "ended before an event"
					    : "ended with its endpoint",
		    false);
}

/* Handles the loss of a run's engine: resumes the stream from its KV-cache copy,
 * or from its prompt if there is none.  The old run is cancelled; one that may
 * go on is held until the new endpoint has taken the request.  A run that may
 * have started on a route that does not resume fails. */
void stream_move(struct exchange *x, const char *why, bool may_go_on)
{
	struct handle from = x->endpoint;
	struct kv_copy copy = x->copy; /* its call and answer are not used */
	bool by_copy = copy_reachable(x);
	bool sent = !x->call || http1_call_connected(x->call);
	uint64_t now = proxyd_now(x->proxyd);
	uint64_t silent_ms = now - x->last_event_ms;

	x->may_have_run = x->may_have_run || sent;
	if (sent && !may_go_on && x->first_event_due_ms && !relay_in_use(x))
		x->failed_ms = now;
	x->move_tried_ms = 0;
	x->awaits_repeat = false;
	if (x->held.call) {
		exchange_avoid(x, from);
		if (!sent)
			x->sends--;
		handover_restore(x, why);
		return;
	}
	kv_copy_release(x, by_copy);
	if (!may_go_on || !handover_begin(x, true))
		attempt_cancel(x);
	if (!sent)
		x->sends--;
	exchange_avoid(x, from);
	if (!x->lost_ms)
		x->lost_ms = now;
	event_log(EVENT_NOTABLE, "move", x->fields.id,
		  "{s:s, s:b, s:I, s:i, s:I}", "why", why, "by_copy", by_copy,
		  "silent_ms", (json_int_t)silent_ms, "sends", (int)x->sends,
		  "last_event",
		  (json_int_t)(x->has_last_event ? (int64_t)x->last_event_id
						 : -1));
	if (!x->caller) {
		exchange_finish(x, "left by caller");
		return;
	}
	if (by_copy)
		kv_copy_keep(x, &copy);
	if (x->may_have_run && !route_may_run_again(x->route))
		exchange_fail(x, 502, "the run was lost and may not move");
	else if (exchange_repeat_allowed(x))
		stream_resume(x);
	else
		defer_move(x);
}

/* Returns whether a begun run has a KV-cache copy that it may resume from. */
static bool copy_reachable(const struct exchange *x)
{
	return kv_copy_usable(x) &&
	       (x->response_started || x->has_last_event) &&
	       !endpoints_path_lost(x->proxyd->endpoints, x->service);
}

/* Resumes a lost run at another endpoint, from its KV-cache copy if that is
 * still usable. */
void stream_resume(struct exchange *x)
{
	const struct handle none = { 0 };
	struct exchanges *t = x->proxyd->exchanges;
	struct kv_copy copy = x->kept_copy;
	bool by_copy = kv_copy_endpoint_usable(x, &copy) &&
		       !endpoints_path_lost(x->proxyd->endpoints, x->service);

	if (suspects_hold_or_refuse(x)) {
		x->awaits_repeat = x->phase == EXCHANGE_WAITING;
		if (x->awaits_repeat)
			handover_restore(x, "its content is held");
		return;
	}
	if (by_copy && copy_awaits_permit(x)) {
		handover_restore(x, "the copy's endpoint has no permit left");
		return;
	}
	x->kept_copy.endpoint = none;
	x->awaits_repeat = false;
	exchange_stop_waiting(x);
	by_copy = by_copy && limits_available(endpoint_get(x->proxyd->endpoints,
							   copy.endpoint));
	x->moves++;
	counter_add(by_copy ? t->moved_copy : t->moved, 1);
	if (by_copy)
		attempt_start(x, copy.endpoint, &copy);
	else
		exchange_dispatch(x);
}

/* Returns whether a run waits for a permit of the endpoint that holds its copy,
 * for COPY_PERMIT_MS at most. */
static bool copy_awaits_permit(struct exchange *x)
{
	struct handle holder = x->kept_copy.endpoint;
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, holder);
	const struct exchange *other;
	uint32_t waiting = 1;

	if (limits_available(e) ||
	    proxyd_now(x->proxyd) - x->lost_ms >= COPY_PERMIT_MS)
		return false;
	TAILQ_FOREACH(other, &x->proxyd->exchanges->list, link)
	waiting += other != x && other->phase == EXCHANGE_WAITING &&
		   handle_equal(other->kept_copy.endpoint, holder);
	limits_borrow(e, waiting);
	exchange_wait(x);
	x->awaits_repeat = true;
	return true;
}

/* Makes a run wait for a repeat of this instance or a loan of another one, as
 * the budget has none left.  A stream without any event waits while its first
 * event may still be in time.  A started stream waits only briefly; then it is
 * aborted, and its caller resumes it from its last event. */
static void defer_move(struct exchange *x)
{
	uint64_t now = proxyd_now(x->proxyd);
	uint64_t until = x->response_started
				 ? now + LOAN_WAIT_MS
				 : x->received_ms + x->route->target_ms *
							    DEFER_MOVE_PERCENT /
							    100;
	bool alone = !peers_alive(x->proxyd->peers);

	if (exchange_await_probe(x))
		return;
	if ((x->response_started && alone) || !exchange_has_attempts(x) ||
	    now >= until) {
		exchange_fail(x, 502, "the run was lost and may not move");
		return;
	}
	exchange_wait_for(x, (uint32_t)(until - now));
	x->awaits_repeat = true;
}

/* Returns whether the caller's stream has already missed its targets: its first
 * event or a gap took longer than the route allows.  It then has lower priority
 * than streams that can still be on time.  One that its caller resumes is not
 * put behind new ones, as it has less time left than they. */
bool stream_is_late(const struct exchange *x)
{
	uint64_t now = proxyd_now(x->proxyd);

	if (!x->response_started)
		return now - x->received_ms > x->route->target_ms;
	return x->first_event_ms > x->route->target_ms ||
	       (x->route->gap_ms &&
		(x->longest_gap_ms > x->route->gap_ms ||
		 now - x->last_relayed_ms > x->route->gap_ms));
}

/* Checks a run for silence, and probes its endpoint or moves the run. */
void stream_check_silence(struct exchange *x, uint64_t now)
{
	const struct endpoint *e =
		endpoint_get(x->proxyd->endpoints, x->endpoint);
	bool path_lost = endpoints_path_lost(x->proxyd->endpoints, x->service);
	const struct silence_run run = {
		.last_event_ms = x->last_event_ms,
		.probed_ms = e ? e->probed_ms : 0,
		.first_event_due_ms = x->first_event_due_ms,
		.gap_max_ms = x->route->gap_ms,
		.move_tried_ms = x->move_tried_ms,
		.endpoint_lost = !e || e->state != ENDPOINT_UP,
		.path_lost = path_lost,
		.resumable = route_may_run_again(x->route),
		.attempts_left = exchange_has_attempts(x),
		.has_copy = kv_copy_usable(x) && !path_lost,
		.from_copy = x->from_copy,
		.has_spare_budget = x->from_copy && x->first_event_due_ms &&
				    exchange_optional_repeat_allowed(x),
		.expected_first_event_ms =
			x->first_event_due_ms
				? (uint32_t)(x->first_event_due_ms - x->sent_ms)
				: 0,
	};

	if (!x->call || !http1_call_connected(x->call))
		return;
	if (x->caller && http1_pending(x->caller)) {
		x->last_event_ms = now; /* the caller reads slowly */
		return;
	}
	http1_call_pause(x->call, false);
	switch (silence_decide(&run, now)) {
	case SILENCE_WAIT:
		break;
	case SILENCE_PROBE:
		endpoint_probe(x->proxyd->endpoints, x->endpoint, x->fields.id,
			       now - x->last_event_ms);
		break;
	case SILENCE_MOVE:
		leave_endpoint(x, run.endpoint_lost);
		break;
	}
}

/* Moves a silent run if another endpoint takes it.  Otherwise it stays, as its
 * endpoint may go on. */
static void leave_endpoint(struct exchange *x, bool endpoint_lost)
{
	uint64_t now = proxyd_now(x->proxyd);
	bool first = !x->move_tried_ms;
	const char *why = endpoint_lost ? "endpoint lost" : "no event in time";

	if (!x->caller || is_taken_elsewhere(x)) {
		x->broken_off = has_ended(x);
		if (endpoint_lost)
			suspects_run_left(x);
		stream_move(x, why, true);
		return;
	}
	x->move_tried_ms = now;
	if (first)
		event_log(EVENT_NOTABLE, "stays", x->fields.id,
			  "{s:s, s:I, s:b, s:b, s:i}", "why", why, "silent_ms",
			  (json_int_t)(now - x->last_event_ms), "begun",
			  x->response_started, "awaits_repeat",
			  x->awaits_repeat, "sends", (int)x->sends);
}

/* Returns whether the end of an attempt's endpoint is shown, not only presumed. */
static bool has_ended(const struct exchange *x)
{
	const struct endpoint *e =
		endpoint_get(x->proxyd->endpoints, x->endpoint);

	return e && e->state != ENDPOINT_UP && e->ended;
}

/* Returns whether the rest of a stream whose run has ended may come from another
 * endpoint now; if so, it holds the repeat for it. */
bool stream_is_taken_elsewhere(struct exchange *x)
{
	return route_may_run_again(x->route) && exchange_has_attempts(x) &&
	       is_taken_elsewhere(x);
}

/* Returns whether a run may continue at another endpoint now; if so, it holds
 * the repeat for it. */
static bool is_taken_elsewhere(struct exchange *x)
{
	bool by_copy = copy_reachable(x);

	if (!suspects_may_run(x) || (!by_copy && !exchange_has_alternative(x)))
		return false;
	x->awaits_repeat = !exchange_repeat_allowed(x);
	return !x->awaits_repeat;
}

/* Returns the length of the complete events to forward; removes events that the
 * caller has already received.  Sets *foreign if bytes follow that are no
 * event. */
static size_t filter_events(struct exchange *x, bool *foreign)
{
	struct whole_event event;
	size_t n = 0;

	while (event_stream_next(&x->stream, n, &event)) {
		size_t len = event.len;

		*foreign = !event.is_event && !event.has_id;
		if (*foreign)
			break;
		if (record_event_id(x, &event)) {
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

/* Records an event's id; false if the caller has already received the event, in
 * this answer or before it took the stream up. */
static bool record_event_id(struct exchange *x, const struct whole_event *event)
{
	if (!event->has_id)
		return true;
	if ((x->has_last_event && event->id <= x->last_event_id) ||
	    (x->fields.resumes && event->id <= x->fields.resume_after))
		return false;
	x->has_last_event = true;
	x->last_event_id = event->id;
	return true;
}

/* Starts the answer to the caller with the head of the engine's answer. */
static void start_response(struct exchange *x)
{
	x->response_started = true;
	if (x->fields.relayed_by[0] && x->origin_told)
		x->proxyd->protocol->encode_relay_software(&x->headers,
							   x->software);
	bytes_add(&x->headers, "", 1);
	http1_stream_begin(x->caller, x->status, x->headers.data);
}

/* Handles the first event of an attempt, which shows that prefill is done. */
static void handle_first_event(struct exchange *x, uint64_t now)
{
	struct exchanges *t = x->proxyd->exchanges;
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, x->endpoint);
	float took = (float)(now - x->sent_ms);

	x->first_event_due_ms = 0;
	x->broken_off = false;
	x->empty_runs = 0;
	x->offers_again = 0;
	x->failed_ms = 0;
	handover_end(x);
	if (relay_in_use(x))
		note_begun_elsewhere(x);
	else
		note_begun_here(x, e);
	suspects_run_began(x);
	if (x->prefill_counted && e) {
		attempt_prefill_done(x);
		if (x->fields.session) {
			endpoints_record_prompt(x->proxyd->endpoints,
						x->fields.session, e->hash);
			peers_announce_prompt(x->proxyd->peers,
					      x->fields.session, e->hash);
		}
		if (x->fields.prompt_tokens && !e->own_load.prefills &&
		    !e->others_load.prefills)
			t->prefill_ms_per_token +=
				MEAN_WEIGHT *
				(took / (float)x->fields.prompt_tokens -
				 t->prefill_ms_per_token);
	}
	if (!x->response_started) {
		x->first_event_ms = now - x->received_ms;
		histogram_add(&t->first_event, (double)x->first_event_ms);
	}
	if (x->lost_ms) {
		event_log(EVENT_NOTABLE, "resumed", x->fields.id,
			  "{s:I, s:b, s:I}", "after_ms",
			  (json_int_t)(now - x->lost_ms), "from_copy",
			  x->from_copy, "pause_ms",
			  (json_int_t)(x->last_relayed_ms
					       ? now - x->last_relayed_ms
					       : 0));
		if (x->last_relayed_ms)
			histogram_add(&t->pause_moved,
				      (double)(now - x->last_relayed_ms));
		x->lost_ms = 0;
	}
}

/* Notes the version of the endpoint that an attempt had its first event from, and
 * tells the keepers of the stream's record. */
static void note_begun_here(struct exchange *x, struct endpoint *e)
{
	if (e && x->software == SOFTWARE_UNKNOWN && !software_proved(x)) {
		x->sent_software = e->unlisted_software; /* named later */
		endpoint_want_start_again(x->proxyd->endpoints, e);
	} else {
		origins_note_sent(x->proxyd->origins, x);
	}
	origins_note_begun(x->proxyd->origins, x);
	x->software = x->sent_software;
}

/* Notes that the stream goes on by another instance.  If that one has not told
 * the version, it must be found before the stream goes on at an endpoint. */
static void note_begun_elsewhere(struct exchange *x)
{
	if (x->software != SOFTWARE_UNKNOWN)
		return;
	if (x->sent_software != SOFTWARE_UNKNOWN) {
		origins_note_begun(x->proxyd->origins, x);
		x->software = x->sent_software;
		x->origin_needed = false;
		return;
	}
	x->origin_needed = true;
	if (!x->fields.resumes)
		memcpy(x->fields.first_id, x->fields.id, sizeof(x->fields.id));
	x->origin_asked_ms = 0;
	origins_arrived(x->proxyd->origins, x);
}

/* Records the time of an event and the longest gap to the caller. */
static void record_event_time(struct exchange *x, uint64_t now)
{
	if (x->last_relayed_ms && now - x->last_relayed_ms > x->longest_gap_ms)
		x->longest_gap_ms = now - x->last_relayed_ms;
	x->last_event_ms = now;
	x->last_relayed_ms = now;
	x->move_tried_ms = 0;
	x->awaits_repeat = false;
}

/* Completes the stream to the caller. */
static void complete_stream(struct exchange *x)
{
	struct exchanges *t = x->proxyd->exchanges;
	struct http1_conn *caller = x->caller;

	if (!x->moves)
		t->run_ms += MEAN_WEIGHT *
			     ((float)(proxyd_now(x->proxyd) - x->sent_ms) -
			      t->run_ms);
	if (!x->response_started)
		start_response(x);
	attempt_cancel(x);
	suspects_run_completed(x);
	x->caller = NULL;
	http1_set_owner(caller, NULL);
	x->given = true;
	http1_stream_end(caller);
	exchange_finish(x, "served");
}
