/*
 * Attempts: the engine streams of a generation.  policy/resume.c decides which
 * attempt's tokens are relayed; this file applies its decisions.
 */
#include <bsd/stdlib.h>
#include <bsd/string.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entryd/generation.h"
#include "entryd/journal.h"
#include "entryd/objectives.h"
#include "entryd/services.h"
#include "lib/counters.h"
#include "lib/log.h"
#include "lib/xalloc.h"

#define PENDING_HIGH_BYTES (256u << 10) /* unsent; above it, reading stops */
#define ORPHAN_CANCEL_DELAY_MS 500 /* from the break of the connection */
#define PRIORITY_NEW 5
#define PRIORITY_RESUME 9

static struct counter relayed = {
	.name = "cdmentryd_tokens_relayed",
	.help = "Tokens relayed to callers.",
};
static struct counter dropped = {
	.name = "cdmentryd_tokens_dropped",
	.help = "Tokens of attempts that had lost, or repeated, dropped.",
};

static struct attempt *attempt_new(struct entryd *e, struct generation *g,
				   struct endpoint *ep);
static void attempt_fill_prefix(struct attempt *a, const struct generation *g,
				uint64_t endpoint);
static void on_started(void *arg, uint64_t salt);
static void on_token(void *arg, uint32_t position, const char *text,
		     size_t len);
static void on_pause(void *arg);
static void on_done(void *arg, uint32_t n);
static void on_failed(void *arg, enum engine_failure failure);
static void record_progress(struct attempt *a, struct generation *g,
			    struct endpoint *ep, uint64_t now);
static void handle_replayed(struct attempt *a, struct generation *g,
			    uint32_t position, const char *text, size_t len);
static void relay(struct attempt *a, struct generation *g, uint32_t position,
		  const char *text, size_t len, uint64_t now);
static void attempt_failed(struct attempt *a, struct generation *g, bool cancel,
			   bool broken);

static const struct engine_events attempt_events = {
	.on_started = on_started,
	.on_token = on_token,
	.on_pause = on_pause,
	.on_done = on_done,
	.on_failed = on_failed,
};

/* Registers the counters.  Called once. */
void attempts_init(void)
{
	counter_register(&relayed);
	counter_register(&dropped);
}

/* Starts an attempt on an endpoint at the current position.  With hedge set, it
 * runs in parallel to the current attempt. */
void attempt_start(struct entryd *e, struct generation *g, struct endpoint *ep,
		   bool hedge)
{
	struct attempt *a = attempt_new(e, g, ep);
	const struct service *service = service_get(e, g->service);
	const struct engine_start start = {
		.address = ep->address,
		.stream = a->name,
		.prompt = g->params.prompt,
		.text = g->text,
		.text_len = g->text_len,
		.position = g->resume.next_pos,
		.max_tokens = g->params.max_tokens - g->resume.next_pos,
		.priority = g->resume.last_attempt ? PRIORITY_RESUME
						   : PRIORITY_NEW,
	};

	if (hedge)
		a->number = resume_start_hedge(&g->resume);
	else
		a->number = resume_start(&g->resume, entryd_now(e),
					 (uint32_t)service->first_token_ms);
	snprintf(a->name, sizeof(a->name), "%s.%" PRIu32 ".%08" PRIx32, g->id,
		 a->number, arc4random());
	attempt_fill_prefix(a, g, ep->id);
	a->stream =
		e->engine->ops->start(e->engine, &start, &attempt_events, a);
}

/* Reads a stream that another instance started, from the cursor's position, or
 * from the first token if the preceding text is not known. */
void attempt_attach(struct entryd *e, struct generation *g, struct endpoint *ep,
		    const struct cursor *cursor)
{
	struct attempt *a = attempt_new(e, g, ep);

	a->number = resume_start(&g->resume, entryd_now(e), 0);
	a->attached = true;
	strlcpy(a->name, cursor->stream, sizeof(a->name));
	attempt_fill_prefix(a, g, ep->id);
	a->stream = e->engine->ops->attach(e->engine, ep->address, a->name,
					   g->text_tokens, &attempt_events, a);
}

/* Ends an attempt.  With cancel set, the engine is asked to stop it as well. */
void attempt_end(struct entryd *e, struct generation *g, struct attempt *a,
		 bool cancel)
{
	struct endpoint *ep = endpoint_get(e, a->endpoint);
	int i;

	for (i = 0; i < 2; i++)
		if (g->attempts[i] == a)
			g->attempts[i] = NULL;
	g->may_have_run |= !a->not_started;
	if (ep) {
		if (a->decoding)
			resume_endpoint_decoding(&ep->silence, -1,
						 entryd_now(e));
		ep->suspect_requests -= a->suspect;
		ep->isolated_requests -= a->alone;
		if (cancel)
			e->engine->ops->cancel(e->engine, ep->address, a->name);
		endpoint_release(e, ep);
	}
	if (a->stream)
		e->engine->ops->detach(a->stream);
	free(a);
}

/* Pauses or resumes reading for a slow caller.  The silence of a paused stream
 * is no evidence against its endpoint, so it is not counted as decoding. */
void attempt_pause(struct generation *g, struct attempt *a, bool paused)
{
	struct endpoint *ep = endpoint_get(a->e, a->endpoint);

	g->paused = paused;
	a->e->engine->ops->pause(a->stream, paused);
	if (!paused || !a->decoding || !ep)
		return;
	a->decoding = false;
	resume_endpoint_decoding(&ep->silence, -1, entryd_now(a->e));
}

/* Returns the attempt with the given number, or NULL. */
struct attempt *attempt_by_number(const struct generation *g, uint32_t number)
{
	int i;

	for (i = 0; i < 2; i++)
		if (g->attempts[i] && g->attempts[i]->number == number)
			return g->attempts[i];
	return NULL;
}

/* Allocates an attempt and adds it to the endpoint's counts. */
static struct attempt *attempt_new(struct entryd *e, struct generation *g,
				   struct endpoint *ep)
{
	struct attempt *a = xcalloc(1, sizeof(*a));
	struct quarantine_decision decision =
		quarantine_decide(e->quarantine, &g->digest, entryd_now(e));

	a->e = e;
	a->generation = g->self;
	a->endpoint = ep->self;
	a->started_at = entryd_now(e);
	a->suspect = decision.deaths > 0;
	a->alone = decision.action == QUARANTINE_RUN_ALONE;
	ep->own_requests++;
	ep->suspect_requests += a->suspect;
	ep->isolated_requests += a->alone;
	g->attempts[g->attempts[0] ? 1 : 0] = a;
	g->phase = GENERATION_RUNNING;
	return a;
}

/* Writes the prefix that the attempt's cursors share. */
static void attempt_fill_prefix(struct attempt *a, const struct generation *g,
				uint64_t endpoint)
{
	struct cursor cursor = {
		.attempt = a->number,
		.endpoint = endpoint,
	};

	memcpy(cursor.generation, g->id, sizeof(cursor.generation));
	memcpy(cursor.stream, a->name, sizeof(cursor.stream));
	cursor_prefix(&cursor, g->org_id, a->e->config->cursor_key, a->prefix);
}

/* The engine accepted the stream. */
static void on_started(void *arg, uint64_t salt)
{
	struct attempt *a = arg;
	struct endpoint *ep = endpoint_get(a->e, a->endpoint);

	if (ep && salt)
		ep->salt = salt;
}

/* Handles a received token. */
static void on_token(void *arg, uint32_t position, const char *text, size_t len)
{
	struct attempt *a = arg;
	struct entryd *e = a->e;
	struct generation *g = generation_get(e, a->generation);
	struct endpoint *ep = endpoint_get(e, a->endpoint);
	uint64_t now = entryd_now(e);
	struct resume_decision v;
	struct attempt *loser;

	if (ep)
		record_progress(a, g, ep, now);
	if (position < g->resume.next_pos) {
		handle_replayed(a, g, position, text, len);
		return;
	}
	if (g->text_tokens < g->resume.next_pos) {
		attempt_failed(a, g, false, false);
		return;
	}
	v = resume_accept(&g->resume, a->number, position, now);
	loser = v.outcome == RESUME_RELAY ? attempt_by_number(g, v.cancel)
					  : NULL;
	if (loser)
		attempt_end(e, g, loser, true);
	switch (v.outcome) {
	case RESUME_RELAY:
		relay(a, g, position, text, len, now);
		return;
	case RESUME_DROP_DUPLICATE:
		counter_add(&dropped, 1);
		return;
	case RESUME_DROP_STALE:
		counter_add(&dropped, 1);
		attempt_end(e, g, a, true);
		return;
	case RESUME_GAP:
		attempt_failed(a, g, true, false);
		return;
	}
}

/* All tokens of one read were handled: flushes them to the caller, and pauses
 * reading while too much is unsent. */
static void on_pause(void *arg)
{
	struct attempt *a = arg;
	struct generation *g = generation_get(a->e, a->generation);
	bool slow;

	relay_flush(g);
	slow = g->req && g->head_sent &&
	       httpd_stream_pending(g->req) > PENDING_HIGH_BYTES;
	if (slow == g->paused)
		return;
	attempt_pause(g, a, slow);
}

/* The engine reported the end of the generation. */
static void on_done(void *arg, uint32_t n)
{
	struct attempt *a = arg;
	struct generation *g = generation_get(a->e, a->generation);

	if (n != g->resume.next_pos || g->text_tokens != n) {
		attempt_failed(a, g, true, false);
		return;
	}
	generation_finish(a->e, g);
}

/* The stream ended before its answer was complete. */
static void on_failed(void *arg, enum engine_failure failure)
{
	struct attempt *a = arg;
	struct generation *g = generation_get(a->e, a->generation);
	struct endpoint *ep = endpoint_get(a->e, a->endpoint);

	journal_add(a->e->journal, g->request, "engine %s %s",
		    ep ? ep->name : "(removed)", engine_failure_text(failure));
	a->not_started = failure == ENGINE_UNREACHABLE ||
			 failure == ENGINE_BUSY;
	if (ep && failure == ENGINE_UNREACHABLE)
		endpoint_unreachable(a->e, ep);
	if (ep && failure == ENGINE_BUSY)
		endpoint_set_full(a->e, ep);
	attempt_failed(a, g, failure == ENGINE_MALFORMED,
		       failure == ENGINE_BROKEN);
}

/* Updates the silence state of the endpoint and, on the attempt's first token,
 * the service's time to the first token. */
static void record_progress(struct attempt *a, struct generation *g,
			    struct endpoint *ep, uint64_t now)
{
	if (!a->decoding) {
		a->decoding = true;
		resume_endpoint_decoding(&ep->silence, 1, now);
	}
	if (!a->first_seen) {
		a->first_seen = true;
		if (!a->attached)
			service_first_token(service_get(a->e, g->service),
					    (uint32_t)(now - a->started_at));
	}
	resume_endpoint_received(&ep->silence, now);
}

/* Handles a token before the caller's position.  An instance that did not relay
 * the preceding text collects it this way and checks it against the cursor's
 * hash. */
static void handle_replayed(struct attempt *a, struct generation *g,
			    uint32_t position, const char *text, size_t len)
{
	struct entryd *e = a->e;

	if (position != g->text_tokens) {
		counter_add(&dropped, 1);
		return;
	}
	generation_add_text(g, text, len);
	if (g->text_tokens == g->resume.next_pos && g->expected_hash &&
	    generation_hash(g) != g->expected_hash)
		generation_restart(e, g,
				   "the text before your position is not "
				   "the one that you were sent");
}

/* Relays the next token. */
static void relay(struct attempt *a, struct generation *g, uint32_t position,
		  const char *text, size_t len, uint64_t now)
{
	struct entryd *e = a->e;
	struct service *service = service_get(e, g->service);

	g->tries = 0;
	generation_add_text(g, text, len);
	relay_token(g, a, position, text, len);
	counter_add(&relayed, 1);
	if (a->hedge_tokens)
		resume_budget_refund(&service->hedges, service->profile,
				     a->hedge_tokens); /* the hedge won */
	a->hedge_tokens = 0;
	resume_budget_relayed(&service->hedges, service->profile, 1);
	if (g->interrupted_at) {
		objectives_record_resume(e, g, now - g->interrupted_at);
		journal_add(e->journal, g->request,
			    "output goes on after %" PRIu64 " ms",
			    now - g->interrupted_at);
		log_msg(LOG_INFO, "moved", g->request,
			"output goes on after %" PRIu64 " ms",
			now - g->interrupted_at);
		g->interrupted_at = 0;
	}
	if (!g->first_token_at) {
		g->first_token_at = now;
		objectives_record_first_token(e, g, now - g->arrived_at);
	}
}

/* Cancels a stream whose connection broke, since its engine may still be
 * running it.  Another instance may have taken over both the stream and the
 * caller, so the cancellation waits for ORPHAN_CANCEL_DELAY_MS and until this
 * generation is running on another attempt. */
void attempt_cancel_orphan(struct entryd *e, struct generation *g)
{
	struct endpoint *ep = endpoint_get(e, g->orphan_endpoint);

	if (ep && !ep->lost)
		e->engine->ops->cancel(e->engine, ep->address, g->orphan);
	g->orphan[0] = '\0';
}

/* Ends an attempt that failed before its answer was complete. */
static void attempt_failed(struct attempt *a, struct generation *g, bool cancel,
			   bool broken)
{
	struct entryd *e = a->e;
	struct endpoint *ep = endpoint_get(e, a->endpoint);
	uint32_t left =
		resume_attempt_lost(&g->resume, a->number, entryd_now(e));

	if (broken) {
		g->orphan_endpoint = a->endpoint;
		g->orphan_at = entryd_now(e) + ORPHAN_CANCEL_DELAY_MS;
		strlcpy(g->orphan, a->name, sizeof(g->orphan));
	}
	attempt_end(e, g, a, cancel);
	if (left != RESUME_NO_ATTEMPT)
		return;
	generation_interrupted(e, g, ep, broken);
}
