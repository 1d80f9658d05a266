/*
 * Generations: handles a completion request from admission to its last token,
 * on one engine after another if engines fail.
 */
#include "entryd/generation.h"

#include <bsd/stdlib.h>
#include <bsd/string.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "entryd/journal.h"
#include "entryd/objectives.h"
#include "entryd/orgs.h"
#include "entryd/services.h"
#include "entryd/suspects.h"
#include "lib/counters.h"
#include "lib/log.h"
#include "lib/xalloc.h"

#define PROBE_WAIT_MS 100 /* longest wait for a probe before a move */

struct generations {
	struct slots table; /* of struct generation * */
};

static struct generation *generation_new(struct entryd *e,
					 struct httpd_req *req, uint32_t org,
					 const struct service *service,
					 struct generation_params *params);
static void generation_free(struct entryd *e, struct generation *g);
static void end_attempts(struct entryd *e, struct generation *g, bool cancel);
static void on_caller_left(void *arg);
static void resume_from_cursor(struct entryd *e, struct generation *g);
static bool check_received_text(struct generation *g,
				const struct cursor *cursor);
static void attach_to_stream(struct entryd *e, struct generation *g,
			     const struct cursor *cursor);
static void admit(struct entryd *e, struct generation *g, enum admit_kind kind);

static struct entryd *current_entryd; /* for on_caller_left, whose argument is a
				       * handle */

/* Allocates an empty table. */
struct generations *generations_new(void)
{
	struct generations *t = xcalloc(1, sizeof(*t));

	slots_init(&t->table, sizeof(struct generation *));
	attempts_init();
	dispatch_init();
	suspects_init();
	return t;
}

/* Frees an empty table. */
void generations_free(struct generations *t)
{
	slots_release(&t->table);
	free(t);
}

/* Returns the number of generations held. */
size_t generations_count(const struct entryd *e)
{
	return e->generations->table.n_used;
}

/* Returns a generation, or NULL if it has ended. */
struct generation *generation_get(const struct entryd *e, struct handle h)
{
	struct generation **item = slots_get(&e->generations->table, h);

	return item ? *item : NULL;
}

/* Iterates over all generations; *index starts at 0.  Returns NULL at the
 * end. */
struct generation *generations_next(const struct entryd *e, uint32_t *index)
{
	struct generation **item =
		slots_next(&e->generations->table, index, NULL);

	return item ? *item : NULL;
}

/* Accepts a request.  With a cursor, the answer continues after the caller's
 * last token. */
void generation_start(struct entryd *e, struct httpd_req *req, uint32_t org,
		      struct service *service, struct generation_params *params)
{
	struct generation *g = generation_new(e, req, org, service, params);

	current_entryd = e;
	httpd_on_close(req, on_caller_left,
		       (void *)(uintptr_t)handle_pack(g->self));
	g->may_have_run = g->params.last_event_id != NULL;
	if (g->params.last_event_id)
		resume_from_cursor(e, g);
	else
		admit(e, g, ADMIT_NEW);
}

/* Handles admission's decision, immediate or after a wait in the queue. */
void generation_admitted(struct entryd *e, struct handle h,
			 const struct admit_decision *v)
{
	struct generation *g = generation_get(e, h);

	if (!g)
		return;
	g->phase = GENERATION_DISPATCHING; /* no longer queued */
	if (v->outcome == ADMIT_REFUSE) {
		journal_add(e->journal, g->request, "refused: %s",
			    admit_reason_text(v->reason));
		generation_refuse(e, g, 503, "overloaded",
				  admit_reason_text(v->reason),
				  v->retry_after_s);
		return;
	}
	g->admission = *v;
	g->admitted_at = entryd_now(e);
	journal_add(e->journal, g->request, "admitted after %" PRIu64 " ms",
		    g->admitted_at - g->arrived_at);
	generation_dispatch(e, g);
}

/* Ends a generation with a refusal that says whether it may have run. */
void generation_refuse(struct entryd *e, struct generation *g, int status,
		       const char *title, const char *detail,
		       uint32_t retry_after_s)
{
	const struct problem problem = {
		.status = status,
		.run = g->may_have_run || g->attempts[0] || g->attempts[1]
			       ? RUN_MAY_HAVE_RUN
			       : RUN_NOT_RUN,
		.title = title,
		.detail = detail,
		.retry_after_s = retry_after_s,
		.request = g->request,
	};

	generation_fail(e, g, &problem);
}

/* Ends a generation with the given problem. */
void generation_fail(struct entryd *e, struct generation *g,
		     const struct problem *problem)
{
	journal_add(e->journal, g->request, "given up: %s (%s)",
		    problem->detail, run_state_name(problem->run));
	log_msg(LOG_NOTICE, "refused", g->request, "%s (%s)", problem->detail,
		run_state_name(problem->run));
	objectives_record_generation(e, g, false);
	relay_problem(g, problem);
	generation_free(e, g);
}

/* Completes a generation. */
void generation_finish(struct entryd *e, struct generation *g)
{
	bool full = g->resume.next_pos >= g->params.max_tokens;

	relay_flush(g);
	relay_finish(g, full ? "length" : "stop");
	journal_add(e->journal, g->request,
		    "finished with %" PRIu32 " tokens after %" PRIu64
		    " ms, over %" PRIu32 " attempts",
		    g->resume.next_pos, entryd_now(e) - g->arrived_at,
		    g->resume.last_attempt);
	objectives_record_generation(e, g, true);
	generation_free(e, g);
}

/*
 * Handles the loss of the last attempt.  After a broken connection the endpoint
 * is probed first, so that the requests of a crashed engine are recorded as
 * suspects before they run on another engine.
 */
void generation_interrupted(struct entryd *e, struct generation *g,
			    struct endpoint *ep, bool broken)
{
	uint64_t now = entryd_now(e);

	if (!g->interrupted_at)
		g->interrupted_at = now;
	g->phase = GENERATION_DISPATCHING;
	g->dispatch_at = now;
	g->probing = false;
	if (ep) {
		endpoint_list_add(&g->avoid, ep->id);
		g->lost_endpoint = ep->self;
	}
	if (ep && broken) {
		g->probing = true;
		g->dispatch_at = now + PROBE_WAIT_MS;
		suspects_run_broke(ep, &g->digest);
		endpoint_check(e, ep);
		return;
	}
	generation_dispatch(e, g);
}

/* Requests admission for an attached generation that must move. */
void generation_readmit(struct entryd *e, struct generation *g)
{
	admit(e, g, ADMIT_RESUME);
}

/* Restarts the answer from its first token and notifies the caller.  A caller
 * without streaming is refused instead. */
void generation_restart(struct entryd *e, struct generation *g, const char *why)
{
	end_attempts(e, g, false);
	if (!g->params.stream) {
		generation_refuse(e, g, 409, "cannot-resume", why, 1);
		return;
	}
	journal_add(e->journal, g->request, "restarted openly: %s", why);
	snprintf(g->id, sizeof(g->id), "%08" PRIx32 "%08" PRIx32, arc4random(),
		 arc4random());
	resume_stream_init(&g->resume);
	g->text_len = 0;
	g->text_tokens = 0;
	g->expected_hash = 0;
	g->out_len = 0;
	XXH3_64bits_reset(g->hash);
	relay_restart(g, why);
	g->phase = GENERATION_DISPATCHING;
	g->dispatch_at = 0;
	generation_dispatch(e, g);
}

/* Appends a token's text to the known text and its hash. */
void generation_add_text(struct generation *g, const char *text, size_t len)
{
	if (g->text_size - g->text_len < len + 1) {
		g->text_size = (g->text_len + len + 1) * 2;
		g->text = xreallocarray(g->text, g->text_size, 1);
	}
	memcpy(g->text + g->text_len, text, len);
	g->text_len += len;
	g->text[g->text_len] = '\0';
	g->text_tokens++;
	XXH3_64bits_update(g->hash, text, len);
}

/* Returns the hash of the known text.  It includes the number of tokens, so
 * that a cursor with another position does not match the text. */
uint64_t generation_hash(const struct generation *g)
{
	uint64_t digest = XXH3_64bits_digest(g->hash);

	return XXH3_64bits_withSeed(&digest, sizeof(digest), g->text_tokens);
}

/* Lists the requests on an endpoint, including those that were just interrupted
 * and wait for its probe.  Returns the number written to out. */
size_t generations_on(const struct entryd *e, const struct endpoint *ep,
		      struct quarantine_digest *out, size_t max)
{
	const struct generation *g;
	uint32_t index = 0;
	size_t n = 0;
	int i;

	while (n < max && (g = generations_next(e, &index))) {
		bool on_endpoint = g->probing &&
				   handle_equal(g->lost_endpoint, ep->self);

		for (i = 0; i < 2; i++)
			on_endpoint |= g->attempts[i] &&
				       handle_equal(g->attempts[i]->endpoint,
						    ep->self);
		if (on_endpoint)
			out[n++] = g->digest;
	}
	return n;
}

/* Ends the callers' streams of this instance in an orderly way.  The engines
 * continue for a while, so that callers can resume their streams through
 * another instance. */
void generations_hand_over(struct entryd *e)
{
	struct generation *g;
	uint32_t index = 0;

	while ((g = generations_next(e, &index))) {
		if (!g->params.stream || !g->head_sent)
			continue;
		relay_flush(g);
		relay_hand_over(g);
		journal_add(e->journal, g->request,
			    "handed over: this instance is leaving");
		end_attempts(e, g, false);
		generation_free(e, g);
	}
}

/* Frees the memory of the parameters and clears them. */
void generation_params_release(struct generation_params *params)
{
	free(params->prompt);
	free(params->last_event_id);
	free(params->received);
	memset(params, 0, sizeof(*params));
}

/* Creates a generation with a new random id. */
static struct generation *generation_new(struct entryd *e,
					 struct httpd_req *req, uint32_t org,
					 const struct service *service,
					 struct generation_params *params)
{
	struct generation *g = xcalloc(1, sizeof(*g));
	struct generation **item =
		slots_alloc(&e->generations->table, &g->self);
	const struct org *o = org_at(e, org);

	*item = g;
	g->phase = GENERATION_DISPATCHING;
	g->req = req;
	g->params = *params;
	memset(params, 0, sizeof(*params));
	g->org = org;
	g->org_id = o->id;
	g->service = service->self;
	g->arrived_at = entryd_now(e);
	g->hash = XXH3_createState();
	XXH3_64bits_reset(g->hash);
	snprintf(g->id, sizeof(g->id), "%08" PRIx32 "%08" PRIx32, arc4random(),
		 arc4random());
	snprintf(g->request, sizeof(g->request), "cmpl-%s", g->id);
	g->digest = suspects_digest(o->name, g->params.prompt,
				    strlen(g->params.prompt));
	resume_stream_init(&g->resume);
	journal_add(e->journal, g->request,
		    "arrived at instance %s from organisation %s for %s",
		    e->settings->instance, o->name, service->name);
	return g;
}

/* Ends the attempts of a generation, releases its slot and frees it. */
static void generation_free(struct entryd *e, struct generation *g)
{
	struct service *service = service_get(e, g->service);
	bool completed = g->first_token_at != 0;

	end_attempts(e, g, true);
	if (g->req)
		httpd_on_close(g->req, NULL, NULL);
	slots_free(&e->generations->table, g->self);
	if (g->admitted_at)
		service_finish(e, service, g->org, &g->admission,
			       g->admitted_at, completed);
	else if (g->phase == GENERATION_WAITING)
		service_cancel(e, service, g->org, g->ticket);
	generation_params_release(&g->params);
	XXH3_freeState(g->hash);
	free(g->text);
	free(g->out);
	free(g);
}

/* Ends both attempts. */
static void end_attempts(struct entryd *e, struct generation *g, bool cancel)
{
	int i;

	for (i = 0; i < 2; i++)
		if (g->attempts[i])
			attempt_end(e, g, g->attempts[i], cancel);
	g->resume.attempt = RESUME_NO_ATTEMPT;
	g->resume.hedge = RESUME_NO_ATTEMPT;
}

/* The caller disconnected.  The engine keeps a streamed generation for a while,
 * since the caller may resume it with its cursor on any instance. */
static void on_caller_left(void *arg)
{
	struct entryd *e = current_entryd;
	struct generation *g =
		generation_get(e, handle_unpack((uint64_t)(uintptr_t)arg));

	if (!g)
		return;
	g->req = NULL;
	journal_add(e->journal, g->request, "the caller left");
	if (g->params.stream && g->head_sent)
		end_attempts(e, g, false);
	generation_free(e, g);
}

/* Resumes a generation from the cursor that the caller sent. */
static void resume_from_cursor(struct entryd *e, struct generation *g)
{
	struct cursor cursor;
	enum cursor_outcome outcome =
		cursor_parse(g->params.last_event_id, g->org_id,
			     e->config->cursor_key, &cursor);

	if (outcome == CURSOR_MALFORMED) {
		generation_refuse(e, g, 400, "malformed-cursor",
				  "Last-Event-ID is not an id of an event of "
				  "ours.",
				  0);
		return;
	}
	if (outcome == CURSOR_BAD_MAC || cursor.attempt == 0) {
		generation_restart(e, g, "the cursor is not valid any more");
		return;
	}
	memcpy(g->id, cursor.generation, sizeof(g->id));
	snprintf(g->request, sizeof(g->request), "cmpl-%s", g->id);
	journal_add(e->journal, g->request,
		    "the caller came to instance %s to go on after token "
		    "%" PRIu32,
		    e->settings->instance, cursor.position);
	g->resume.next_pos = cursor.position + 1;
	g->resume.last_attempt = cursor.attempt - 1;
	g->interrupted_at = entryd_now(e);
	g->expected_hash = cursor.text_hash;
	if (g->params.received && !check_received_text(g, &cursor)) {
		generation_restart(e, g,
				   "the text that you hold is not the "
				   "one that you were sent");
		return;
	}
	attach_to_stream(e, g, &cursor);
}

/* Adopts the text that the caller already has.  Returns false if it does not
 * match the cursor's hash. */
static bool check_received_text(struct generation *g,
				const struct cursor *cursor)
{
	generation_add_text(g, g->params.received, g->params.received_len);
	g->text_tokens = g->resume.next_pos;
	return generation_hash(g) == cursor->text_hash;
}

/* Attaches to the stream at its engine, if that is still known.  The stream
 * already holds a slot there, so admission is needed only if it has to move.
 * If only the engine has the text before the caller's position, an endpoint
 * that is reported down is tried too: the report may be wrong or outdated, and
 * without the text the answer would have to restart. */
static void attach_to_stream(struct entryd *e, struct generation *g,
			     const struct cursor *cursor)
{
	struct endpoint *ep = endpoint_by_id(e, cursor->endpoint);

	if (ep && (endpoint_up(ep) || g->text_tokens < g->resume.next_pos))
		attempt_attach(e, g, ep, cursor);
	else
		generation_interrupted(e, g, NULL, false);
}

/* Submits the generation for admission. */
static void admit(struct entryd *e, struct generation *g, enum admit_kind kind)
{
	struct service *service = service_get(e, g->service);
	const struct admit_request request = {
		.id = handle_pack(g->self),
		.digest = g->digest.lo,
		.org = g->org,
		.kind = kind,
		.priority = g->params.priority,
		.deadline_ms = g->params.deadline_ms,
		.need_ms = (uint32_t)service->need_ms,
	};
	struct admit_decision v = service_arrive(e, service, &request);

	if (v.outcome == ADMIT_QUEUE) {
		g->phase = GENERATION_WAITING;
		g->ticket = v.ticket;
		journal_add(e->journal, g->request,
			    "waits for a slot, %" PRIu32 " ms expected",
			    v.wait_ms);
		return;
	}
	generation_admitted(e, g->self, &v);
}
