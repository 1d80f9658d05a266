/*
 * Finding an endpoint for a generation, at first and after each loss, and the
 * watch over the running ones: silence leads to a second attempt or a move.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "entryd/generation.h"
#include "entryd/journal.h"
#include "entryd/orgs.h"
#include "entryd/services.h"
#include "lib/counters.h"
#include "lib/log.h"

#define SEEK_AGAIN_MS 20 /* before an endpoint is sought again */
#define ATTEMPTS_MAX 12 /* in a row that give no token */
#define FREE_TRIES 2 /* of these, outside the retry budgets */
#define PENDING_LOW (64u << 10) /* bytes unsent: read again */
#define NO_ENDPOINT_RETRY_S 3
#define SECONDS_MS 1000

static struct counter moves = {
	.name = "cdmentryd_moves",
	.help = "Generations that went on at another endpoint.",
};
static struct counter hedges = {
	.name = "cdmentryd_hedges",
	.help = "Second attempts started beside a silent one.",
};
static struct counter resent = {
	.name = "cdmentryd_tokens_resent",
	.help = "Generated tokens that moves and hedges gave to a new engine "
		"to prefill.",
};

static bool check_quarantine(struct entryd *e, struct generation *g,
			     struct quarantine_decision *finding, uint64_t now);
static bool own_fault(const struct entryd *e);
static bool check_budget(struct entryd *e, struct generation *g, uint64_t now);
static struct endpoint *choose(struct entryd *e, struct generation *g,
			       const struct quarantine_decision *finding,
			       enum route_outcome *outcome);
static void not_found(struct entryd *e, struct generation *g,
		      enum route_outcome outcome, uint64_t now);
static uint64_t give_up_at(const struct entryd *e, const struct generation *g);
static void watch(struct entryd *e, struct generation *g, uint64_t now,
		  uint32_t stall_ms, bool blind);
static bool watch_hedge(struct entryd *e, struct generation *g, uint64_t now,
			uint32_t stall_ms);
static void hedge(struct entryd *e, struct generation *g);
static void move(struct entryd *e, struct generation *g);
static uint32_t prefill_of(const struct generation *g);

/* Looks for an endpoint and starts an attempt there; without one, the
 * generation stays as it is and is looked at again, or is given up. */
void generation_dispatch(struct entryd *e, struct generation *g)
{
	uint64_t now = entryd_now(e);
	struct quarantine_decision finding;
	enum route_outcome outcome;
	struct endpoint *ep;

	if (g->text_tokens < g->resume.next_pos) {
		generation_restart(e, g,
				   "the engine that held the text before "
				   "your position is gone");
		return;
	}
	if (g->resume.next_pos >= g->ask.max_tokens) {
		generation_finish(e, g); /* only the end was not heard */
		return;
	}
	if (!g->admitted_at) {
		generation_readmit(e, g);
		return;
	}
	if (now < g->seek_at)
		return;
	if (!check_quarantine(e, g, &finding, now))
		return;
	ep = choose(e, g, &finding, &outcome);
	if (!ep) {
		not_found(e, g, outcome, now);
		return;
	}
	if (!check_budget(e, g, now))
		return;
	if (g->resume.last_attempt) {
		counter_add(&moves, 1);
		counter_add(&resent, g->text_tokens);
	}
	journal_add(e->journal, g->request,
		    "%s at engine %s from token %" PRIu32,
		    g->resume.last_attempt ? "goes on" : "starts", ep->name,
		    g->resume.next_pos);
	attempt_start(e, g, ep, false);
}

/* Makes the counters known, once. */
void dispatch_init(void)
{
	counter_register(&moves);
	counter_register(&hedges);
	counter_register(&resent);
}

/* Looks at every generation once a tick. */
void generations_tick(struct entryd *e, uint64_t now, uint32_t stall_ms)
{
	struct generation *g;
	uint32_t index = 0;
	bool blind;

	blind = own_fault(e);
	while ((g = generations_next(e, &index))) {
		if (g->phase == GENERATION_RUNNING)
			watch(e, g, now, stall_ms, blind);
		else if (g->phase == GENERATION_DISPATCHING &&
			 now >= g->seek_at)
			generation_dispatch(e, g);
	}
}

/* An endpoint's probe is over: those that waited for it go on. */
void generations_probed(struct entryd *e, const struct endpoint *ep)
{
	struct generation *g;
	uint32_t index = 0;

	while ((g = generations_next(e, &index))) {
		if (!g->probing || !handle_equal(g->lost_endpoint, ep->self))
			continue;
		g->probing = false;
		if (g->phase != GENERATION_DISPATCHING)
			continue;
		g->seek_at = 0;
		generation_dispatch(e, g);
	}
}

/* Other instances know more of a request now: where it runs here, it is
 * stopped if it may not run any more, before it ends another engine. */
void generations_reevaluate(struct entryd *e,
			    const struct quarantine_digest *digest)
{
	uint64_t now = entryd_now(e);
	struct quarantine_decision finding;
	struct generation *g;
	uint32_t index = 0;
	int i;

	finding = quarantine_decide(e->quarantine, digest, now);
	if (finding.action != QUARANTINE_HOLD &&
	    finding.action != QUARANTINE_REFUSE)
		return;
	while ((g = generations_next(e, &index))) {
		if (g->digest.lo != digest->lo ||
		    g->phase != GENERATION_RUNNING)
			continue;
		for (i = 0; i < 2; i++)
			if (g->attempts[i])
				attempt_end(e, g, g->attempts[i], true);
		g->resume.attempt = RESUME_NO_ATTEMPT;
		g->resume.hedge = RESUME_NO_ATTEMPT;
		generation_interrupted(e, g, NULL, false);
	}
}

/* Tells whether so many endpoints are silent at once that the fault is likely
 * to be this instance's own. */
static bool own_fault(const struct entryd *e)
{
	const struct endpoint *ep;
	uint32_t index = 0;
	uint32_t active = 0;
	uint32_t silent = 0;

	while ((ep = endpoints_next(e, &index))) {
		active += ep->silence.decoding > 0;
		silent += ep->silence.decoding > 0 &&
			  ep->health != RESUME_HEALTHY;
	}
	return resume_local_fault(silent, active);
}

/* Asks the quarantine; false if the generation may not run now. */
static bool check_quarantine(struct entryd *e, struct generation *g,
			     struct quarantine_decision *finding, uint64_t now)
{
	char why[256];

	*finding = quarantine_decide(e->quarantine, &g->digest, now);
	if (finding->action == QUARANTINE_HOLD) {
		g->seek_at = now + finding->hold_ms;
		return false;
	}
	if (finding->action != QUARANTINE_REFUSE)
		return true;
	quarantine_explain(finding, why, sizeof(why));
	generation_refuse(e, g, 422, "crashes-endpoints", why,
			  finding->keep_ms / SECONDS_MS + 1);
	return false;
}

/* Takes an attempt out of the retry budgets; false if the generation is given
 * up instead.  An attempt is free where the one before gave tokens, and once
 * where it gave none: an engine that dies takes hundreds of generations with
 * it, and to refuse these costs more work than their moves. */
static bool check_budget(struct entryd *e, struct generation *g, uint64_t now)
{
	struct service *service = service_get(e, g->service);
	struct retry_params params = retry_defaults;
	enum retry_outcome outcome;

	params.attempts_max = ATTEMPTS_MAX;
	if (g->tries++ < FREE_TRIES)
		return true;
	outcome = retry_take(&org_at(e, g->org)->retry, &service->retry,
			     &params, g->tries, now);
	if (outcome == RETRY_OK)
		return true;
	generation_refuse(
		e, g, 503, "retries-exhausted",
		outcome == RETRY_ATTEMPTS_EXHAUSTED
			? "Too many engines were lost under this "
			  "generation."
			: "So many engines were lost that no more work "
			  "is repeated for now.",
		NO_ENDPOINT_RETRY_S);
	return false;
}

/* Chooses an endpoint. */
static struct endpoint *choose(struct entryd *e, struct generation *g,
			       const struct quarantine_decision *finding,
			       enum route_outcome *outcome)
{
	const struct service *service = service_get(e, g->service);
	struct route_request request = {
		.prompt_tokens = prefill_of(g),
		.service_ms = (uint32_t)service->first_token_ms,
		.isolation = ROUTE_ISOLATE_NONE,
	};

	if (finding->action == QUARANTINE_RUN_APART)
		request.isolation = ROUTE_ISOLATE_SUSPECT;
	if (finding->action == QUARANTINE_RUN_ALONE) {
		request.isolation = ROUTE_ISOLATE_FULL;
		request.rank = finding->rank;
	}
	return endpoints_route(e, service->id, &request, &g->avoid, outcome);
}

/* No endpoint takes the generation now. */
static void not_found(struct entryd *e, struct generation *g,
		      enum route_outcome outcome, uint64_t now)
{
	if (outcome == ROUTE_ALL_AVOIDED)
		g->avoid.n = 0;
	if (now >= give_up_at(e, g)) {
		generation_refuse(e, g, 503, "no-endpoint",
				  route_outcome_text(outcome),
				  NO_ENDPOINT_RETRY_S);
		return;
	}
	g->seek_at = now + SEEK_AGAIN_MS;
}

/* Returns when looking for an endpoint is given up: a new request then has
 * missed its deadline, a begun one its service's timeout. */
static uint64_t give_up_at(const struct entryd *e, const struct generation *g)
{
	if (g->lost_at)
		return g->lost_at + service_get(e, g->service)->timeout_ms;
	return g->ask.deadline_ms;
}

/* Judges the silence of a running generation.  While this instance may be the
 * one that is cut off (blind), only the stream's own silence counts, since
 * moving everything at once would only add load elsewhere. */
static void watch(struct entryd *e, struct generation *g, uint64_t now,
		  uint32_t stall_ms, bool blind)
{
	const struct service *service = service_get(e, g->service);
	struct attempt *a = attempt_by_number(g, g->resume.attempt);
	struct endpoint *ep = a ? endpoint_get(e, a->endpoint) : NULL;
	enum resume_health health;

	if (g->orphan[0] && now >= g->orphan_at)
		attempt_cancel_orphan(e, g);
	if (stall_ms)
		resume_stream_discount(&g->resume, stall_ms);
	if (g->paused) {
		resume_stream_discount(&g->resume, ENTRYD_TICK_MS);
		if (a &&
		    (!g->req || httpd_stream_pending(g->req) < PENDING_LOW))
			attempt_pause(g, a, false);
		return;
	}
	if (!ep || !watch_hedge(e, g, now, stall_ms))
		return;
	ep->health =
		resume_endpoint_evaluate(&ep->silence, service->profile, now);
	health = blind ? RESUME_HEALTHY : ep->health;
	switch (resume_decide(&g->resume, health, service->profile, now)) {
	case RESUME_WAIT:
		return;
	case RESUME_HEDGE:
		hedge(e, g);
		return;
	case RESUME_MOVE:
		move(e, g);
		return;
	}
}

/* Drops a second attempt whose engine is silent too, so that the first one is
 * judged again; false while the second one may still be heard. */
static bool watch_hedge(struct entryd *e, struct generation *g, uint64_t now,
			uint32_t stall_ms)
{
	const struct service *service = service_get(e, g->service);
	struct attempt *a = attempt_by_number(g, g->resume.hedge);
	struct endpoint *ep = a ? endpoint_get(e, a->endpoint) : NULL;
	enum resume_health health;

	if (!ep)
		return true;
	a->started_at += stall_ms;
	health = resume_endpoint_evaluate(&ep->silence, service->profile, now);
	if (!resume_hedge_lost(health, a->started_at,
			       (uint32_t)service->first_token_ms,
			       service->profile, now))
		return false;
	journal_add(e->journal, g->request,
		    "the second attempt at engine %s is silent too", ep->name);
	endpoint_list_add(&g->avoid, ep->id);
	endpoint_check(e, ep);
	resume_attempt_lost(&g->resume, a->number, now);
	attempt_end(e, g, a, true);
	return true;
}

/* Starts a second attempt, if there is budget and an endpoint for it.  An
 * engine that does not even replay what it has is left at once. */
static void hedge(struct entryd *e, struct generation *g)
{
	struct service *service = service_get(e, g->service);
	struct attempt *a = attempt_by_number(g, g->resume.attempt);
	struct endpoint *silent = endpoint_get(e, a->endpoint);
	struct endpoint_list avoid = g->avoid;
	struct quarantine_decision finding =
		quarantine_decide(e->quarantine, &g->digest, entryd_now(e));
	enum route_outcome outcome;
	struct endpoint *ep;

	if (a->attached && !a->first_seen) {
		move(e, g);
		return;
	}
	if (finding.action != QUARANTINE_RUN || !g->admitted_at ||
	    g->text_tokens < g->resume.next_pos ||
	    !resume_budget_take(&service->hedges, prefill_of(g)))
		return;
	endpoint_list_add(&g->avoid, silent->id);
	ep = choose(e, g, &finding, &outcome);
	if (!ep) {
		g->avoid = avoid;
		resume_budget_refund(&service->hedges, service->profile,
				     prefill_of(g));
		return;
	}
	if (!g->lost_at)
		g->lost_at = g->resume.last_seen_ms;
	counter_add(&hedges, 1);
	counter_add(&resent, g->text_tokens);
	journal_add(e->journal, g->request,
		    "engine %s is silent; a second attempt starts at engine "
		    "%s from token %" PRIu32,
		    silent->name, ep->name, g->resume.next_pos);
	attempt_start(e, g, ep, true);
	attempt_by_number(g, g->resume.hedge)->hedge_tokens = prefill_of(g);
}

/* Leaves a silent endpoint. */
static void move(struct entryd *e, struct generation *g)
{
	struct attempt *a = attempt_by_number(g, g->resume.attempt);
	struct endpoint *ep;

	if (!a) {
		generation_interrupted(e, g, NULL, false);
		return;
	}
	ep = endpoint_get(e, a->endpoint);
	if (!g->lost_at)
		g->lost_at = g->resume.last_seen_ms;
	journal_add(e->journal, g->request, "engine %s is silent for too long",
		    ep->name);
	resume_attempt_lost(&g->resume, a->number, entryd_now(e));
	endpoint_check(e, ep);
	attempt_end(e, g, a, true);
	generation_interrupted(e, g, ep, false);
}

/* Returns about how many tokens an attempt would prefill; a prompt's tokens
 * are taken to be four bytes each. */
static uint32_t prefill_of(const struct generation *g)
{
	return (uint32_t)(strlen(g->ask.prompt) / 4) + g->text_tokens;
}
