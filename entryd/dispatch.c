/*
 * Selects an endpoint for a generation, initially and after each loss, and
 * checks running generations for silence, which leads to a second attempt or a
 * move.
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

#define DISPATCH_RETRY_MS 20 /* between searches for an endpoint */
#define ATTEMPTS_MAX 12 /* consecutive, without a token */
#define FREE_ATTEMPTS 2 /* of these, not charged to the retry budgets */
#define PENDING_LOW_BYTES (64u << 10) /* unsent; below it, reading resumes */
#define NO_ENDPOINT_RETRY_S 3
#define MS_PER_SECOND 1000

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
			     struct quarantine_decision *decision,
			     uint64_t now);
static bool local_fault_suspected(const struct entryd *e);
static bool check_budget(struct entryd *e, struct generation *g, uint64_t now);
static struct endpoint *choose_endpoint(
	struct entryd *e, struct generation *g,
	const struct quarantine_decision *decision,
	enum route_outcome *outcome);
static void no_endpoint_available(struct entryd *e, struct generation *g,
				  enum route_outcome outcome, uint64_t now);
static uint64_t dispatch_deadline(const struct entryd *e,
				  const struct generation *g);
static void watch(struct entryd *e, struct generation *g, uint64_t now,
		  uint32_t stall_ms, bool local_fault);
static bool watch_hedge(struct entryd *e, struct generation *g, uint64_t now,
			uint32_t stall_ms);
static void hedge(struct entryd *e, struct generation *g);
static void move(struct entryd *e, struct generation *g);
static uint32_t prefill_tokens(const struct generation *g);

/* Selects an endpoint and starts an attempt there.  Without an endpoint, tries
 * again later or refuses the generation. */
void generation_dispatch(struct entryd *e, struct generation *g)
{
	uint64_t now = entryd_now(e);
	struct quarantine_decision decision;
	enum route_outcome outcome;
	struct endpoint *ep;

	if (g->text_tokens < g->resume.next_pos) {
		generation_restart(e, g,
				   "the engine that held the text before "
				   "your position is gone");
		return;
	}
	if (g->resume.next_pos >= g->params.max_tokens) {
		generation_finish(e, g); /* only the final event is missing */
		return;
	}
	if (!g->admitted_at) {
		generation_readmit(e, g);
		return;
	}
	if (now < g->dispatch_at)
		return;
	if (!check_quarantine(e, g, &decision, now))
		return;
	ep = choose_endpoint(e, g, &decision, &outcome);
	if (!ep) {
		no_endpoint_available(e, g, outcome, now);
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

/* Registers the counters.  Called once. */
void dispatch_init(void)
{
	counter_register(&moves);
	counter_register(&hedges);
	counter_register(&resent);
}

/* Checks every generation, once per tick.  A stall of this process (stall_ms)
 * is discounted from all silences. */
void generations_tick(struct entryd *e, uint64_t now, uint32_t stall_ms)
{
	struct generation *g;
	uint32_t index = 0;
	bool local_fault;

	local_fault = local_fault_suspected(e);
	while ((g = generations_next(e, &index))) {
		if (g->phase == GENERATION_RUNNING)
			watch(e, g, now, stall_ms, local_fault);
		else if (g->phase == GENERATION_DISPATCHING &&
			 now >= g->dispatch_at)
			generation_dispatch(e, g);
	}
}

/* Dispatches the generations that waited for an endpoint's probe. */
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
		g->dispatch_at = 0;
		generation_dispatch(e, g);
	}
}

/* Applies an update of other instances about a request: if it may not run any
 * more, it is stopped on this instance before it crashes another engine. */
void generations_reevaluate(struct entryd *e,
			    const struct quarantine_digest *digest)
{
	uint64_t now = entryd_now(e);
	struct quarantine_decision decision;
	struct generation *g;
	uint32_t index = 0;
	int i;

	decision = quarantine_decide(e->quarantine, digest, now);
	if (decision.action != QUARANTINE_HOLD &&
	    decision.action != QUARANTINE_REFUSE)
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

/* Returns whether so many endpoints are silent at once that the fault is
 * probably local to this instance. */
static bool local_fault_suspected(const struct entryd *e)
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

/* Queries the quarantine.  Returns false if the generation may not run now. */
static bool check_quarantine(struct entryd *e, struct generation *g,
			     struct quarantine_decision *decision, uint64_t now)
{
	char why[256];

	*decision = quarantine_decide(e->quarantine, &g->digest, now);
	if (decision->action == QUARANTINE_HOLD) {
		g->dispatch_at = now + decision->hold_ms;
		return false;
	}
	if (decision->action != QUARANTINE_REFUSE)
		return true;
	quarantine_explain(decision, why, sizeof(why));
	generation_refuse(e, g, 422, "crashes-endpoints", why,
			  decision->keep_ms / MS_PER_SECOND + 1);
	return false;
}

/* Charges an attempt to the retry budgets.  Returns false if the generation was
 * refused instead.  An attempt is not charged if the previous one gave tokens,
 * and once if it gave none: a crashing engine interrupts hundreds of
 * generations, and refusing these would cost more work than moving them. */
static bool check_budget(struct entryd *e, struct generation *g, uint64_t now)
{
	struct service *service = service_get(e, g->service);
	struct retry_params params = retry_defaults;
	enum retry_outcome outcome;

	params.attempts_max = ATTEMPTS_MAX;
	if (g->tries++ < FREE_ATTEMPTS)
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

/* Selects an endpoint for a generation, isolated as the quarantine demands. */
static struct endpoint *choose_endpoint(
	struct entryd *e, struct generation *g,
	const struct quarantine_decision *decision, enum route_outcome *outcome)
{
	const struct service *service = service_get(e, g->service);
	struct route_request request = {
		.prompt_tokens = prefill_tokens(g),
		.service_ms = (uint32_t)service->first_token_ms,
		.isolation = ROUTE_ISOLATE_NONE,
	};

	if (decision->action == QUARANTINE_RUN_APART)
		request.isolation = ROUTE_ISOLATE_SUSPECT;
	if (decision->action == QUARANTINE_RUN_ALONE) {
		request.isolation = ROUTE_ISOLATE_FULL;
		request.rank = decision->rank;
	}
	return endpoints_route(e, service->id, &request, &g->avoid, outcome);
}

/* No endpoint accepts the generation now: schedules the next try, or refuses
 * the generation at its deadline. */
static void no_endpoint_available(struct entryd *e, struct generation *g,
				  enum route_outcome outcome, uint64_t now)
{
	if (outcome == ROUTE_ALL_AVOIDED)
		g->avoid.n = 0;
	if (now >= dispatch_deadline(e, g)) {
		generation_refuse(e, g, 503, "no-endpoint",
				  route_outcome_text(outcome),
				  NO_ENDPOINT_RETRY_S);
		return;
	}
	g->dispatch_at = now + DISPATCH_RETRY_MS;
}

/* Returns the time at which the search for an endpoint ends, in ms: the
 * deadline of a new request, or the service's timeout after an interruption. */
static uint64_t dispatch_deadline(const struct entryd *e,
				  const struct generation *g)
{
	if (g->interrupted_at)
		return g->interrupted_at +
		       service_get(e, g->service)->timeout_ms;
	return g->params.deadline_ms;
}

/* Checks a running generation for silence.  If the fault is probably local
 * (local_fault), only the stream's own silence counts, since moving all
 * generations at once would only add load to other endpoints. */
static void watch(struct entryd *e, struct generation *g, uint64_t now,
		  uint32_t stall_ms, bool local_fault)
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
		if (a && (!g->req ||
			  httpd_stream_pending(g->req) < PENDING_LOW_BYTES))
			attempt_pause(g, a, false);
		return;
	}
	if (!ep || !watch_hedge(e, g, now, stall_ms))
		return;
	ep->health =
		resume_endpoint_evaluate(&ep->silence, service->profile, now);
	health = local_fault ? RESUME_HEALTHY : ep->health;
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

/* Ends a second attempt whose engine is silent too, so that the first one is
 * evaluated again.  Returns false while the second attempt may still produce
 * tokens. */
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

/* Starts a second attempt, if the budget allows it and an endpoint is
 * available.  If an attached engine has not even replayed its existing tokens,
 * the generation moves at once instead. */
static void hedge(struct entryd *e, struct generation *g)
{
	struct service *service = service_get(e, g->service);
	struct attempt *a = attempt_by_number(g, g->resume.attempt);
	struct endpoint *silent = endpoint_get(e, a->endpoint);
	struct endpoint_list avoid = g->avoid;
	struct quarantine_decision decision =
		quarantine_decide(e->quarantine, &g->digest, entryd_now(e));
	enum route_outcome outcome;
	struct endpoint *ep;

	if (a->attached && !a->first_seen) {
		move(e, g);
		return;
	}
	if (decision.action != QUARANTINE_RUN || !g->admitted_at ||
	    g->text_tokens < g->resume.next_pos ||
	    !resume_budget_take(&service->hedges, prefill_tokens(g)))
		return;
	endpoint_list_add(&g->avoid, silent->id);
	ep = choose_endpoint(e, g, &decision, &outcome);
	if (!ep) {
		g->avoid = avoid;
		resume_budget_refund(&service->hedges, service->profile,
				     prefill_tokens(g));
		return;
	}
	if (!g->interrupted_at)
		g->interrupted_at = g->resume.last_seen_ms;
	counter_add(&hedges, 1);
	counter_add(&resent, g->text_tokens);
	journal_add(e->journal, g->request,
		    "engine %s is silent; a second attempt starts at engine "
		    "%s from token %" PRIu32,
		    silent->name, ep->name, g->resume.next_pos);
	attempt_start(e, g, ep, true);
	attempt_by_number(g, g->resume.hedge)->hedge_tokens = prefill_tokens(g);
}

/* Moves a generation away from a silent endpoint. */
static void move(struct entryd *e, struct generation *g)
{
	struct attempt *a = attempt_by_number(g, g->resume.attempt);
	struct endpoint *ep;

	if (!a) {
		generation_interrupted(e, g, NULL, false);
		return;
	}
	ep = endpoint_get(e, a->endpoint);
	if (!g->interrupted_at)
		g->interrupted_at = g->resume.last_seen_ms;
	journal_add(e->journal, g->request, "engine %s is silent for too long",
		    ep->name);
	resume_attempt_lost(&g->resume, a->number, entryd_now(e));
	endpoint_check(e, ep);
	attempt_end(e, g, a, true);
	generation_interrupted(e, g, ep, false);
}

/* Estimates the number of tokens that an attempt prefills, with four bytes per
 * prompt token. */
static uint32_t prefill_tokens(const struct generation *g)
{
	return (uint32_t)(strlen(g->params.prompt) / 4) + g->text_tokens;
}
