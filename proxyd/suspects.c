/*
 * Requests that crash the endpoints that run them: records crashes seen here
 * and reported by other instances, and refuses their contents.
 */
#include "proxyd/suspects_table.h"

#include <stdlib.h>

#include "lib/event_log.h"
#include "lib/xalloc.h"
#include "policy/content.h"
#include "proxyd/exchange.h"
#include "proxyd/peers.h"
#include "proxyd/proxyd.h"

/* A broken run counts as a crash if its endpoint is found to have crashed
 * within this time: a probe shows that within 40 ms, the store within some
 * heartbeats. */
#define CRASH_CONFIRM_MS 10000
#define CRASH_CONFIRM_ALIVE_MS 1500 /* if it accepted a connection since */

/* How long after the refusal of a part its runs without events are stopped if
 * only some instances knew of the crashes: those that know the part to be sound
 * answer meanwhile. */
#define STOP_RUNS_MS 150

/* Retry-After for a part that awaits a trial at another instance. */
#define RETRY_TRIAL_MS 2000

static void note_forgotten(struct suspects *t);
static uint64_t stop_runs_ms(const struct suspects *t, uint64_t now);
static void stop_refused_runs(struct suspects *t);
static enum crash_suspect_decision decide(const struct exchange *x,
					  uint64_t *suspect);
static bool runs_alone(const struct exchange *x, uint64_t part);
static bool begin_trial(struct exchange *x, uint64_t part);
static void record_part_crashes(struct suspects *t,
				const struct run_crash *crash,
				const uint64_t *parts, size_t n);
static size_t suspected_parts(const struct suspects *t,
			      const struct broken_run *run, uint64_t *parts);
static uint64_t *new_list(const struct prompt_parts *parts);
static void note_parts_cleared(struct suspects *t, const uint64_t *parts,
			       size_t n, const char *by);
static void await_confirmation(const struct exchange *x, struct endpoint *e);
static struct broken_run current_run(const struct exchange *x);
static void record_crash(struct suspects *t, const struct endpoint *e,
			 const struct broken_run *run, const char *request);
static bool outlasted_by_another(const struct suspects *t, uint64_t content,
				 uint64_t ran_ms);
static void apply_crash(struct suspects *t, const struct suspect_update *update,
			struct peer *from);
static void announce_refusal(struct suspects *t,
			     const struct crash_suspect_record *r);
static struct suspect_update refusal_update(
	const struct crash_suspect_record *r);
static uint64_t first_run_ms(const struct crash_suspect_record *r);
static struct counter *step_counter(const char *step);

/* Creates an empty table of crash suspects. */
struct suspects *suspects_new(struct proxyd *p)
{
	struct suspects *t = xcalloc(1, sizeof(*t));

	t->proxyd = p;
	t->records = crash_suspect_new(&crash_suspect_defaults);
	t->suspected = step_counter("suspected");
	t->refused = step_counter("refused");
	t->cleared = step_counter("cleared");
	t->rejected = step_counter("turned away");
	t->forgotten = step_counter("forgotten");
	return t;
}

/* Decides on suspected contents, and updates the store's rows of refusals. */
void suspects_tick(struct suspects *t)
{
	uint64_t now = proxyd_now(t->proxyd);
	const struct crash_suspect_record *r;

	while ((r = crash_suspect_evaluate(t->records, now)))
		announce_refusal(t, r);
	note_forgotten(t);
	if (t->stop_runs_ms && now >= t->stop_runs_ms)
		stop_refused_runs(t);
	suspects_sync_rows(t);
}

/* Counts and logs the parts of crashed runs that were forgotten for want of
 * room. */
static void note_forgotten(struct suspects *t)
{
	uint64_t n = crash_suspect_forgotten(t->records);

	if (n == t->n_forgotten)
		return;
	event_log(EVENT_NOTABLE, "parts-forgotten", NULL, "{s:I, s:I}", "parts",
		  (json_int_t)(n - t->n_forgotten), "in_all", (json_int_t)n);
	counter_add(t->forgotten, n - t->n_forgotten);
	t->n_forgotten = n;
}

/* Handles a connection that broke before the run's answer was complete.  It
 * counts as a crash once the endpoint is known to have crashed.  For a content
 * that is one crash short of a decision it counts at once, so that no other
 * endpoint gets it meanwhile. */
void suspects_run_broke(struct exchange *x, struct endpoint *e)
{
	struct suspects *t = x->proxyd->suspects;
	uint64_t now = proxyd_now(x->proxyd);
	const struct crash_suspect_record *r =
		crash_suspect_find(t->records, x->content, now);

	if (!e || x->crash_counted || endpoint_is_leaving(e))
		return;
	x->crash_counted = true;
	if (r && r->n_crashes >= CRASH_SUSPECT_CRASHES - 1) {
		struct broken_run run = current_run(x);

		record_crash(t, e, &run, x->fields.id);
		prompt_parts_unref(run.parts);
		return;
	}
	await_confirmation(x, e);
}

/* Handles a run that moves away from a silent endpoint that is taken for dead.
 * It counts as a crash once the endpoint is known to have crashed. */
void suspects_run_left(struct exchange *x)
{
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, x->endpoint);

	if (!e || x->crash_counted || endpoint_is_leaving(e))
		return;
	x->crash_counted = true;
	await_confirmation(x, e);
}

/* Records a run that counts as a crash if its endpoint is found to have
 * crashed. */
static void await_confirmation(const struct exchange *x, struct endpoint *e)
{
	struct broken_run *run;

	if (!e->broken_runs)
		e->broken_runs = xcalloc(ENDPOINT_BROKEN_RUNS_MAX,
					 sizeof(*e->broken_runs));
	run = &e->broken_runs[e->n_broken_runs++ % ENDPOINT_BROKEN_RUNS_MAX];
	prompt_parts_unref(run->parts);
	*run = current_run(x);
}

/* Handles the loss of the endpoint that runs the request.  It counts as a crash
 * if the endpoint has ended; otherwise the run may go on there. */
void suspects_endpoint_lost(struct exchange *x, struct endpoint *e)
{
	struct broken_run run;

	if (!e->ended || x->crash_counted || !http1_call_connected(x->call) ||
	    endpoint_is_leaving(e))
		return;
	x->crash_counted = true;
	run = current_run(x);
	record_crash(x->proxyd->suspects, e, &run, x->fields.id);
	prompt_parts_unref(run.parts);
}

/* Handles an endpoint that was lost, replaced, restarted or removed: the runs
 * that broke there recently count as crashes. */
void suspects_endpoint_crashed(struct suspects *t, struct endpoint *e)
{
	uint64_t now = proxyd_now(t->proxyd);
	size_t n = e->n_broken_runs < ENDPOINT_BROKEN_RUNS_MAX
			   ? e->n_broken_runs
			   : ENDPOINT_BROKEN_RUNS_MAX;
	size_t i;

	e->n_broken_runs = 0;
	for (i = 0; i < n; i++) {
		struct broken_run *run = &e->broken_runs[i];

		if (now - run->broke_ms < (run->endpoint_alive
						   ? CRASH_CONFIRM_ALIVE_MS
						   : CRASH_CONFIRM_MS))
			record_crash(t, e, run, NULL);
		prompt_parts_unref(run->parts);
		run->parts = NULL;
	}
}

/* Handles a connection that an endpoint accepted, started at probed_ms: a crash
 * is then unlikely to have broken the earlier runs.  A forwarder may accept
 * connections for a crashed endpoint; the store then shows the crash soon. */
void suspects_endpoint_alive(struct endpoint *e, uint64_t probed_ms)
{
	size_t i;

	for (i = 0; i < e->n_broken_runs && i < ENDPOINT_BROKEN_RUNS_MAX; i++)
		if (e->broken_runs[i].broke_ms <= probed_ms)
			e->broken_runs[i].endpoint_alive = true;
}

/* Handles a completed run: clears its content if that was suspected, and
 * informs other instances. */
void suspects_run_completed(struct exchange *x)
{
	struct suspects *t = x->proxyd->suspects;
	const struct suspect_update update = {
		.kind = SUSPECT_COMPLETED,
		.content = x->content,
	};

	if (!crash_suspect_run_completed(t->records, x->content,
					 proxyd_now(x->proxyd)))
		return;
	suspects_note_cleared(t, x->content, "run here");
	peers_announce_suspect(x->proxyd->peers, &update);
}

/* Handles the first event of a run: its parts crash no endpoint.  Informs other
 * instances if one of them was suspected. */
void suspects_run_began(struct exchange *x)
{
	struct suspects *t = x->proxyd->suspects;
	uint64_t now = proxyd_now(x->proxyd);
	size_t n_parts = prompt_parts_count(x->fields.parts);
	uint64_t *cleared = NULL; /* seldom any */
	size_t n = 0;
	size_t i;

	for (i = 0; i < n_parts; i++) {
		uint64_t part = x->fields.parts->hash[i];

		if (!crash_suspect_run_completed(t->records, part, now))
			continue;
		if (!cleared)
			cleared = new_list(x->fields.parts);
		cleared[n++] = part;
	}
	if (n) {
		note_parts_cleared(t, cleared, n, "run here");
		peers_announce_parts(t->proxyd->peers, NULL, cleared, n);
	}
	free(cleared);
}

/* Returns a list with room for all parts of a prompt; the caller frees it. */
static uint64_t *new_list(const struct prompt_parts *parts)
{
	return xcalloc(prompt_parts_count(parts) + 1, sizeof(uint64_t));
}

/* Logs and counts parts that are sound after all. */
static void note_parts_cleared(struct suspects *t, const uint64_t *parts,
			       size_t n, const char *by)
{
	char text[CONTENT_PARTS_LOGGED * CONTENT_TEXT_SIZE];

	content_parts_text(parts, n, text);
	event_log(EVENT_NOTABLE, "content-cleared", NULL, "{s:s, s:s, s:i}",
		  "content", text, "by", by, "parts", (int)n);
	counter_add(t->cleared, n);
}

/* Refuses a request whose content or one of whose parts is refused, or holds it
 * until a decision is made.  Returns false if the request may be sent. */
bool suspects_hold_or_refuse(struct exchange *x)
{
	struct suspects *t = x->proxyd->suspects;
	uint64_t now = proxyd_now(x->proxyd);
	char content[CONTENT_TEXT_SIZE];
	uint64_t suspect;
	uint64_t left_ms;

	switch (decide(x, &suspect)) {
	case CRASH_SUSPECT_RUN:
		return false;
	case CRASH_SUSPECT_ALONE:
		if (runs_alone(x, suspect))
			return false;
		exchange_wait(x);
		return true;
	case CRASH_SUSPECT_HOLD:
		exchange_wait(x);
		return true;
	case CRASH_SUSPECT_TRIAL:
		if (begin_trial(x, suspect))
			return false;
		break;
	case CRASH_SUSPECT_REFUSE:
		if (x->trial && !x->sends)
			return false;
		break;
	}
	left_ms = crash_suspect_refused_ms(t->records, suspect, now);
	if (!left_ms)
		left_ms = RETRY_TRIAL_MS;
	content_text(suspect, content);
	event_log(EVENT_NOTABLE, "turned-away", x->fields.id,
		  "{s:s, s:b, s:I, s:b}", "content", content, "is_part",
		  content_is_part(suspect), "refused_ms", (json_int_t)left_ms,
		  "may_have_run", x->may_have_run);
	counter_add(t->rejected, 1);
	exchange_refuse(x, 503, (uint32_t)left_ms,
			"endpoints have ended under this request");
	return true;
}

/* Returns the most severe of the decisions on a request's content and its
 * parts, and sets suspect to the hash that it concerns. */
static enum crash_suspect_decision decide(const struct exchange *x,
					  uint64_t *suspect)
{
	struct crash_suspects *records = x->proxyd->suspects->records;
	uint64_t now = proxyd_now(x->proxyd);
	enum crash_suspect_decision worst =
		crash_suspect_decide(records, x->content, now);
	size_t n_parts = prompt_parts_count(x->fields.parts);
	size_t i;

	*suspect = x->content;
	for (i = 0; i < n_parts; i++) {
		enum crash_suspect_decision d = crash_suspect_decide(
			records, x->fields.parts->hash[i], now);

		if (d <= worst)
			continue;
		worst = d;
		*suspect = x->fields.parts->hash[i];
	}
	return worst;
}

/* Returns whether a request with a suspected part may be sent: no other one
 * awaits its first event here, and a new request is at the first keeper if all
 * instances know of the suspicion. */
static bool runs_alone(const struct exchange *x, uint64_t part)
{
	const struct exchange *other;

	if (!x->sends && peers_all_keep_records(x->proxyd->peers) &&
	    !peers_is_first_keeper(x->proxyd->peers, part))
		return false;
	TAILQ_FOREACH(other, &x->proxyd->exchanges->list, link)
	if (other != x && other->phase == EXCHANGE_SENT &&
	    other->first_event_due_ms &&
	    prompt_parts_has(other->fields.parts, part))
		return false;
	return true;
}

/* Makes a request the trial of a part whose refusal has expired, if this
 * instance is responsible for it.  Others are refused meanwhile. */
static bool begin_trial(struct exchange *x, uint64_t part)
{
	struct suspects *t = x->proxyd->suspects;
	const struct crash_suspect_record *r;

	if (x->sends || !peers_is_first_keeper(x->proxyd->peers, part))
		return false;
	r = crash_suspect_begin_trial(t->records, part, proxyd_now(x->proxyd));
	if (!r)
		return true;
	x->trial = true;
	announce_refusal(t, r);
	return true;
}

/* Returns when the runs of a part that is refused from now on are stopped. */
static uint64_t stop_runs_ms(const struct suspects *t, uint64_t now)
{
	return peers_all_keep_records(t->proxyd->peers) ? now
							: now + STOP_RUNS_MS;
}

/* Stops the runs without events whose parts are refused by now, as they would
 * crash their endpoints. */
static void stop_refused_runs(struct suspects *t)
{
	struct exchange *x;
	uint64_t suspect;

	t->stop_runs_ms = 0;
	TAILQ_FOREACH(x, &t->proxyd->exchanges->list, link)
	if (x->phase == EXCHANGE_SENT && x->call && x->first_event_due_ms &&
	    !x->response_started && !x->trial &&
	    decide(x, &suspect) == CRASH_SUSPECT_REFUSE &&
	    content_is_part(suspect))
		exchange_fail(x, 502,
			      "endpoints have ended under this request");
}

/* Returns whether there is a crash record of the request's content or of one of
 * its parts. */
bool suspects_has_record(const struct exchange *x)
{
	struct crash_suspects *records = x->proxyd->suspects->records;
	uint64_t now = proxyd_now(x->proxyd);
	size_t n_parts = prompt_parts_count(x->fields.parts);
	size_t i;

	for (i = 0; i < n_parts; i++)
		if (crash_suspect_known(records, x->fields.parts->hash[i], now))
			return true;
	return crash_suspect_find(records, x->content, now) != NULL;
}

/* Returns whether a run of the request may start now: neither its content nor a
 * part of it is refused, held or suspected. */
bool suspects_may_run(const struct exchange *x)
{
	uint64_t suspect;

	return decide(x, &suspect) == CRASH_SUSPECT_RUN;
}

/* Handles an update from another instance. */
void suspects_receive(struct suspects *t, const struct suspect_update *update,
		      struct peer *from)
{
	uint64_t now = proxyd_now(t->proxyd);

	switch (update->kind) {
	case SUSPECT_CRASH:
		apply_crash(t, update, from);
		break;
	case SUSPECT_REFUSED:
		suspects_apply_refusal(t, update->content, update->since_ms,
				       update->until_ms - now,
				       "another instance");
		break;
	case SUSPECT_COMPLETED:
		if (crash_suspect_run_completed(t->records, update->content,
						now))
			suspects_note_cleared(t, update->content,
					      "run elsewhere");
		break;
	}
}

/* Sends the refusals whose records this instance keeps to an instance that has
 * just started. */
void suspects_send_refusals(struct suspects *t, struct peer *peer)
{
	uint64_t now = proxyd_now(t->proxyd);
	const struct crash_suspect_record *r;
	size_t i = 0;

	while ((r = crash_suspect_next_refused(t->records, now, &i))) {
		const struct suspect_update update = refusal_update(r);

		if (peers_is_record_keeper(t->proxyd->peers, r->content))
			peers_send_suspect(t->proxyd->peers, peer, &update);
	}
}

/* Returns the request's current run as a run that broke now, with a reference to
 * its parts: they are suspects if no event has arrived from it. */
static struct broken_run current_run(const struct exchange *x)
{
	return (struct broken_run){
		.content = x->content,
		.parts = x->first_event_due_ms
				 ? prompt_parts_ref(x->fields.parts)
				 : NULL,
		.sent_ms = x->sent_ms,
		.broke_ms = proxyd_now(x->proxyd),
	};
}

/* Records a crash that was seen here, and sends it to the instances that keep
 * the content's record.  It is discounted if another run of the content has
 * lasted longer. */
static void record_crash(struct suspects *t, const struct endpoint *e,
			 const struct broken_run *run, const char *request)
{
	const struct suspect_update update = {
		.kind = SUSPECT_CRASH,
		.content = run->content,
		.crash = {
			.id = (uint32_t)proxyd_random() | 1, /* 0 is none */
			.endpoint = e->hash,
			.sent_ms = run->sent_ms,
			.crashed_ms = run->broke_ms,
		},
	};
	uint64_t ran_ms = run->broke_ms - run->sent_ms;
	bool discounted = outlasted_by_another(t, run->content, ran_ms);
	char text[CONTENT_TEXT_SIZE];
	char parts[CONTENT_PARTS_LOGGED * CONTENT_TEXT_SIZE];
	uint64_t *list = new_list(run->parts);
	size_t n = suspected_parts(t, run, list);
	struct run_crash part_crash;

	content_text(run->content, text);
	content_parts_text(list, n, parts);
	event_log(EVENT_NOTABLE, "endpoint-ended-under", request,
		  "{s:s, s:s, s:i, s:s, s:I, s:I, s:b}", "content", text,
		  "suspected_parts", parts, "n_suspected_parts", (int)n,
		  "endpoint", e->id, "ran_ms", (json_int_t)ran_ms,
		  "ended_ms_ago",
		  (json_int_t)(proxyd_now(t->proxyd) - run->broke_ms),
		  "another_lasts", discounted);
	part_crash = update.crash;
	part_crash.content = n > CRASH_SUSPECT_FEW_PARTS ? run->content : 0;
	record_part_crashes(t, &part_crash, list, n);
	free(list);
	if (discounted)
		return;
	apply_crash(t, &update, NULL);
	peers_announce_suspect(t->proxyd->peers, &update);
}

/* Lists the parts of a crashed run that are not known to be sound; returns their
 * number. */
static size_t suspected_parts(const struct suspects *t,
			      const struct broken_run *run, uint64_t *parts)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < prompt_parts_count(run->parts); i++)
		if (!crash_suspect_completed_lately(
			    t->records, run->parts->hash[i], run->sent_ms))
			parts[n++] = run->parts->hash[i];
	return n;
}

/* Records a crash against the suspected parts of its run, and sends it to the
 * instances that keep their records. */
static void record_part_crashes(struct suspects *t,
				const struct run_crash *crash,
				const uint64_t *parts, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		const struct suspect_update update = {
			.kind = SUSPECT_CRASH,
			.content = parts[i],
			.crash = *crash,
		};

		apply_crash(t, &update, NULL);
	}
	if (n)
		peers_announce_parts(t->proxyd->peers, crash, parts, n);
}

/* Handles parts that another instance reports: those of a run that a crash of
 * its endpoint cut off, or, if crash is NULL, sound ones.  Those that are known
 * to be sound here are sent back. */
void suspects_receive_parts(struct suspects *t, const struct run_crash *crash,
			    const uint64_t *parts, size_t n, struct peer *from)
{
	uint64_t now = proxyd_now(t->proxyd);
	uint64_t *sound = xcalloc(n + 1, sizeof(*sound));
	size_t n_sound = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		struct suspect_update update = {
			.kind = SUSPECT_CRASH,
			.content = parts[i],
		};

		if (!content_is_part(parts[i]))
			continue;
		if (!crash) {
			if (crash_suspect_run_completed(t->records, parts[i],
							now))
				sound[n_sound++] = parts[i];
			continue;
		}
		if (crash_suspect_completed_lately(t->records, parts[i],
						   crash->sent_ms)) {
			sound[n_sound++] = parts[i];
			continue;
		}
		update.crash = *crash;
		apply_crash(t, &update, from);
	}
	if (n_sound && crash)
		peers_send_parts(t->proxyd->peers, from, sound, n_sound);
	else if (n_sound)
		note_parts_cleared(t, sound, n_sound, "run elsewhere");
	free(sound);
}

/* Returns whether another run of the content on this instance has sent events
 * and has lasted longer than ran_ms: the content does not crash its endpoint
 * within that time. */
static bool outlasted_by_another(const struct suspects *t, uint64_t content,
				 uint64_t ran_ms)
{
	uint64_t now = proxyd_now(t->proxyd);
	const struct exchange *x;

	TAILQ_FOREACH(x, &t->proxyd->exchanges->list, link)
	{
		const struct endpoint *e;

		if (x->content != content || x->phase != EXCHANGE_SENT ||
		    !x->response_started || x->first_event_due_ms ||
		    x->crash_counted)
			continue;
		e = endpoint_get(t->proxyd->endpoints, x->endpoint);
		if (e && e->state == ENDPOINT_UP && now - x->sent_ms > ran_ms)
			return true;
	}
	return false;
}

/* Records a crash that was seen here (from is NULL) or by another instance.  An
 * instance that ran a refused content lacks the refusal, which is sent to
 * it. */
static void apply_crash(struct suspects *t, const struct suspect_update *update,
			struct peer *from)
{
	uint64_t now = proxyd_now(t->proxyd);
	const struct crash_suspect_record *r;
	struct suspect_update reply;

	if (crash_suspect_add_crash(t->records, update->content, &update->crash,
				    now)) {
		counter_add(t->suspected, 1);
		return;
	}
	if (from && content_is_part(update->content) &&
	    crash_suspect_completed_lately(t->records, update->content,
					   update->crash.sent_ms)) {
		reply = (struct suspect_update){
			.kind = SUSPECT_COMPLETED,
			.content = update->content,
		};
		peers_send_suspect(t->proxyd->peers, from, &reply);
		return;
	}
	if (!from ||
	    !crash_suspect_refused_ms(t->records, update->content, now))
		return;
	r = crash_suspect_find(t->records, update->content, now);
	reply = refusal_update(r);
	peers_send_suspect(t->proxyd->peers, from, &reply);
}

/* Logs the refusal of a content or part and sends it to all instances. */
static void announce_refusal(struct suspects *t,
			     const struct crash_suspect_record *r)
{
	uint64_t now = proxyd_now(t->proxyd);
	const struct suspect_update update = refusal_update(r);
	char text[CONTENT_TEXT_SIZE];

	if (content_is_part(r->content))
		t->stop_runs_ms = stop_runs_ms(t, now);
	content_text(r->content, text);
	event_log(EVENT_ALWAYS, "content-refused", NULL,
		  "{s:s, s:b, s:s, s:i, s:i, s:I, s:I, s:I}", "content", text,
		  "is_part", content_is_part(r->content), "by",
		  "ends of endpoints", "refusals", (int)r->refusals, "strikes",
		  (int)r->n_crashes, "for_ms",
		  (json_int_t)(r->refused_until_ms - now), "since_ms_ago",
		  (json_int_t)(now - first_run_ms(r)), "last_ms_ago",
		  (json_int_t)(now - r->crashes[r->n_crashes - 1].crashed_ms));
	counter_add(t->refused, 1);
	peers_announce_suspect(t->proxyd->peers, &update);
}

/* Applies a refusal from another instance or from the store.  If the content
 * has completed a run here, sends that to all instances instead. */
void suspects_apply_refusal(struct suspects *t, uint64_t content,
			    uint64_t since_ms, uint64_t left_ms, const char *by)
{
	uint64_t now = proxyd_now(t->proxyd);
	const struct suspect_update completed = {
		.kind = SUSPECT_COMPLETED,
		.content = content,
	};
	bool is_new = !crash_suspect_refused_ms(t->records, content, now);
	char text[CONTENT_TEXT_SIZE];

	if (outlasted_by_another(t, content, now - since_ms))
		crash_suspect_run_completed(t->records, content, now);
	if (!crash_suspect_refuse(t->records, content, since_ms, left_ms,
				  now)) {
		suspects_note_cleared(t, content, "run here");
		peers_announce_suspect(t->proxyd->peers, &completed);
		return;
	}
	if (!is_new)
		return;
	if (content_is_part(content))
		t->stop_runs_ms = stop_runs_ms(t, now);
	content_text(content, text);
	event_log(EVENT_ALWAYS, "content-refused", NULL,
		  "{s:s, s:b, s:s, s:I, s:I}", "content", text, "is_part",
		  content_is_part(content), "by", by, "for_ms",
		  (json_int_t)left_ms, "since_ms_ago",
		  (json_int_t)(now - since_ms));
	counter_add(t->refused, 1);
}

/* Returns the update that announces a refusal. */
static struct suspect_update refusal_update(
	const struct crash_suspect_record *r)
{
	return (struct suspect_update){
		.kind = SUSPECT_REFUSED,
		.content = r->content,
		.until_ms = r->refused_until_ms,
		.since_ms = first_run_ms(r),
	};
}

/* Logs and counts a content whose record was cleared. */
void suspects_note_cleared(struct suspects *t, uint64_t content, const char *by)
{
	char text[CONTENT_TEXT_SIZE];

	content_text(content, text);
	event_log(EVENT_NOTABLE, "content-cleared", NULL, "{s:s, s:s}",
		  "content", text, "by", by);
	counter_add(t->cleared, 1);
}

/* Returns the start of the first run that counts against a content, ms; 0 if
 * there is none. */
static uint64_t first_run_ms(const struct crash_suspect_record *r)
{
	return r->n_crashes ? r->crashes[0].sent_ms : 0;
}

/* Returns the counter of contents that reached a step. */
static struct counter *step_counter(const char *step)
{
	return counter_labelled("cdm_suspects_total",
				"Contents of requests under which endpoints "
				"ended",
				COUNTER_TOTAL, "step", step);
}
