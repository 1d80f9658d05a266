/*
 * Generations: a request for a completion from its admission to its last
 * token, over as many engines as it takes.
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

#define PROBE_WAIT_MS 100 /* longest wait for a probe before moving on */

struct generations {
	struct slots table; /* of struct generation * */
};

static struct generation *generation_new(struct entryd *e,
					 struct httpd_req *req, uint32_t org,
					 const struct service *service,
					 struct generation_params *ask);
static void generation_free(struct entryd *e, struct generation *g);
static void end_attempts(struct entryd *e, struct generation *g, bool cancel);
static void on_caller_left(void *arg);
static void take_cursor(struct entryd *e, struct generation *g);
static bool take_received(struct generation *g, const struct cursor *cursor);
static void attach(struct entryd *e, struct generation *g,
		   const struct cursor *cursor);
static void admit(struct entryd *e, struct generation *g, enum admit_kind kind);

static struct entryd *the_entryd; /* for on_caller_left, which has one word */

/* Makes an empty table. */
struct generations *generations_new(void)
{
	struct generations *t = xcalloc(1, sizeof(*t));

	slots_init(&t->table, sizeof(struct generation *));
	attempts_init();
	dispatch_init();
	suspects_init();
	return t;
}

/* Frees a table that is empty. */
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

/* Returns a generation, or NULL if it is over. */
struct generation *generation_get(const struct entryd *e, struct handle h)
{
	struct generation **item = slots_get(&e->generations->table, h);

	return item ? *item : NULL;
}

/* Walks over all generations; *index starts at 0. */
struct generation *generations_next(const struct entryd *e, uint32_t *index)
{
	struct generation **item =
		slots_next(&e->generations->table, index, NULL);

	return item ? *item : NULL;
}

/* Takes a request in.  With a cursor it goes on where the caller left off. */
void generation_start(struct entryd *e, struct httpd_req *req, uint32_t org,
		      struct service *service, struct generation_params *ask)
{
	struct generation *g = generation_new(e, req, org, service, ask);

	the_entryd = e;
	httpd_on_close(req, on_caller_left,
		       (void *)(uintptr_t)handle_pack(g->self));
	g->may_have_run = g->ask.last_event_id != NULL;
	if (g->ask.last_event_id)
		take_cursor(e, g);
	else
		admit(e, g, ADMIT_NEW);
}

/* Admission has decided about a request that waited. */
void generation_admitted(struct entryd *e, struct handle h,
			 const struct admit_decision *v)
{
	struct generation *g = generation_get(e, h);

	if (!g)
		return;
	g->phase =
		GENERATION_DISPATCHING; /* it has left the queue, if it was in */
	if (v->outcome == ADMIT_REFUSE) {
		journal_add(e->journal, g->request, "refused: %s",
			    admit_reason_text(v->reason));
		generation_refuse(e, g, 503, "overloaded",
				  admit_reason_text(v->reason),
				  v->retry_after_s);
		return;
	}
	g->run = *v;
	g->admitted_at = entryd_now(e);
	journal_add(e->journal, g->request, "admitted after %" PRIu64 " ms",
		    g->admitted_at - g->arrived_at);
	generation_dispatch(e, g);
}

/* Refuses a generation of which nothing has run for this request. */
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

/* Gives a generation up with a refusal. */
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

/* The generation is whole. */
void generation_finish(struct entryd *e, struct generation *g)
{
	bool full = g->resume.next_pos >= g->ask.max_tokens;

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
 * Nobody is heard any more.  After a broken connection the endpoint is probed
 * first, so that the requests of a dead engine are known as suspects before
 * they run elsewhere.
 */
void generation_interrupted(struct entryd *e, struct generation *g,
			    struct endpoint *ep, bool broken)
{
	uint64_t now = entryd_now(e);

	if (!g->lost_at)
		g->lost_at = now;
	g->phase = GENERATION_DISPATCHING;
	g->seek_at = now;
	g->probing = false;
	if (ep) {
		endpoint_list_add(&g->avoid, ep->id);
		g->lost_endpoint = ep->self;
	}
	if (ep && broken) {
		g->probing = true;
		g->seek_at = now + PROBE_WAIT_MS;
		suspects_run_broke(ep, &g->digest);
		endpoint_check(e, ep);
		return;
	}
	generation_dispatch(e, g);
}

/* Asks for admission for a generation that was attached and must move. */
void generation_readmit(struct entryd *e, struct generation *g)
{
	admit(e, g, ADMIT_RESUME);
}

/* Tells the caller that its answer starts anew, and starts it. */
void generation_restart(struct entryd *e, struct generation *g, const char *why)
{
	end_attempts(e, g, false);
	if (!g->ask.stream) {
		generation_refuse(e, g, 409, "cannot-resume", why, 1);
		return;
	}
	journal_add(e->journal, g->request, "restarted openly: %s", why);
	snprintf(g->id, sizeof(g->id), "%08" PRIx32 "%08" PRIx32, arc4random(),
		 arc4random());
	resume_stream_init(&g->resume);
	g->text_len = 0;
	g->text_tokens = 0;
	g->expect_hash = 0;
	g->out_len = 0;
	XXH3_64bits_reset(g->hash);
	relay_restart(g, why);
	g->phase = GENERATION_DISPATCHING;
	g->seek_at = 0;
	generation_dispatch(e, g);
}

/* Adds a token's text to what is known. */
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

/* Returns the hash of the text that is known and of its number of tokens, so
 * that a cursor with another position does not match its text. */
uint64_t generation_hash(const struct generation *g)
{
	uint64_t digest = XXH3_64bits_digest(g->hash);

	return XXH3_64bits_withSeed(&digest, sizeof(digest), g->text_tokens);
}

/* Lists the requests on an endpoint, those included that it just lost. */
size_t generations_on(const struct entryd *e, const struct endpoint *ep,
		      struct quarantine_digest *out, size_t max)
{
	const struct generation *g;
	uint32_t index = 0;
	size_t n = 0;
	int i;

	while (n < max && (g = generations_next(e, &index))) {
		bool here = g->probing &&
			    handle_equal(g->lost_endpoint, ep->self);

		for (i = 0; i < 2; i++)
			here |= g->attempts[i] &&
				handle_equal(g->attempts[i]->endpoint,
					     ep->self);
		if (here)
			out[n++] = g->digest;
	}
	return n;
}

/* Ends the callers' connections of this instance in order; the engines go on
 * for a while, so that the callers find their streams again elsewhere. */
void generations_hand_over(struct entryd *e)
{
	struct generation *g;
	uint32_t index = 0;

	while ((g = generations_next(e, &index))) {
		if (!g->ask.stream || !g->begun)
			continue;
		relay_flush(g);
		relay_hand_over(g);
		journal_add(e->journal, g->request,
			    "handed over: this instance is leaving");
		end_attempts(e, g, false);
		generation_free(e, g);
	}
}

/* Frees what a request owns. */
void generation_params_release(struct generation_params *ask)
{
	free(ask->prompt);
	free(ask->last_event_id);
	free(ask->received);
	memset(ask, 0, sizeof(*ask));
}

/* Makes a generation with an id of its own. */
static struct generation *generation_new(struct entryd *e,
					 struct httpd_req *req, uint32_t org,
					 const struct service *service,
					 struct generation_params *ask)
{
	struct generation *g = xcalloc(1, sizeof(*g));
	struct generation **item =
		slots_alloc(&e->generations->table, &g->self);
	const struct org *o = org_at(e, org);

	*item = g;
	g->phase = GENERATION_DISPATCHING;
	g->req = req;
	g->ask = *ask;
	memset(ask, 0, sizeof(*ask));
	g->org = org;
	g->org_id = o->id;
	g->service = service->self;
	g->arrived_at = entryd_now(e);
	g->hash = XXH3_createState();
	XXH3_64bits_reset(g->hash);
	snprintf(g->id, sizeof(g->id), "%08" PRIx32 "%08" PRIx32, arc4random(),
		 arc4random());
	snprintf(g->request, sizeof(g->request), "cmpl-%s", g->id);
	g->digest =
		suspects_digest(o->name, g->ask.prompt, strlen(g->ask.prompt));
	resume_stream_init(&g->resume);
	journal_add(e->journal, g->request,
		    "arrived at instance %s from organisation %s for %s",
		    e->settings->instance, o->name, service->name);
	return g;
}

/* Ends everything about a generation and forgets it. */
static void generation_free(struct entryd *e, struct generation *g)
{
	struct service *service = service_get(e, g->service);
	bool completed = g->first_token_at != 0;

	end_attempts(e, g, true);
	if (g->req)
		httpd_on_close(g->req, NULL, NULL);
	slots_free(&e->generations->table, g->self);
	if (g->admitted_at)
		service_finish(e, service, g->org, &g->run, g->admitted_at,
			       completed);
	else if (g->phase == GENERATION_WAITING)
		service_cancel(e, service, g->org, g->ticket);
	generation_params_release(&g->ask);
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

/* The caller has gone.  A streamed generation is left to its engine for a
 * while: the caller may come back elsewhere with its cursor. */
static void on_caller_left(void *arg)
{
	struct entryd *e = the_entryd;
	struct generation *g =
		generation_get(e, handle_unpack((uint64_t)(uintptr_t)arg));

	if (!g)
		return;
	g->req = NULL;
	journal_add(e->journal, g->request, "the caller left");
	if (g->ask.stream && g->begun)
		end_attempts(e, g, false);
	generation_free(e, g);
}

/* Goes on from the cursor that the caller sent. */
static void take_cursor(struct entryd *e, struct generation *g)
{
	struct cursor cursor;
	enum cursor_outcome outcome =
		cursor_parse(g->ask.last_event_id, g->org_id,
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
	g->lost_at = entryd_now(e);
	g->expect_hash = cursor.text_hash;
	if (g->ask.received && !take_received(g, &cursor)) {
		generation_restart(e, g,
				   "the text that you hold is not the "
				   "one that you were sent");
		return;
	}
	attach(e, g, &cursor);
}

/* Takes the text that the caller holds; false if it is not that of its
 * cursor. */
static bool take_received(struct generation *g, const struct cursor *cursor)
{
	generation_add_text(g, g->ask.received, g->ask.received_len);
	g->text_tokens = g->resume.next_pos;
	return generation_hash(g) == cursor->text_hash;
}

/* Hears the stream at its engine, if that is still there.  It holds its slot
 * there already, so admission is asked only if it has to move.  Where only the
 * engine has the text before the caller's position, one that is taken for down
 * is asked too: that may be hearsay or over, and the answer would start anew. */
static void attach(struct entryd *e, struct generation *g,
		   const struct cursor *cursor)
{
	struct endpoint *ep = endpoint_by_id(e, cursor->endpoint);

	if (ep && (endpoint_up(ep) || g->text_tokens < g->resume.next_pos))
		attempt_attach(e, g, ep, cursor);
	else
		generation_interrupted(e, g, NULL, false);
}

/* Asks for admission. */
static void admit(struct entryd *e, struct generation *g, enum admit_kind kind)
{
	struct service *service = service_get(e, g->service);
	const struct admit_request request = {
		.id = handle_pack(g->self),
		.digest = g->digest.lo,
		.org = g->org,
		.kind = kind,
		.priority = g->ask.priority,
		.deadline_ms = g->ask.deadline_ms,
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
