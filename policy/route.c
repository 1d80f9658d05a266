/*
 * Chooses an endpoint for a request.  Each permitted candidate has a cost in
 * microseconds: the expected wait for a slot, the slowdown by the requests in
 * the same batch, the prefill that its prefix cache does not save, and the
 * latency to its zone.  Load reports lag, so they are corrected by the requests
 * that this instance started or finished since, and the older a report, the
 * more its figure of other instances' requests is weighted towards the mean.
 * Cache events arrive late and with gaps, so their weight falls with their age.
 */
#include "policy/route.h"

#include <float.h>
#include <stdbool.h>

enum { US_PER_MS = 1000, TWO_CHOICES_DRAWS = 8 };

/* The values that are computed once for all candidates. */
struct scan {
	const struct route_params *params;
	const struct route_request *req;
	const struct route_candidate *cand;
	size_t n;
	uint16_t skip_flags; /* flags of candidates to skip for now */
	float mean_other_requests; /* other instances' requests per endpoint */
	float full_per_slot; /* requests per slot at which an endpoint is
			      * full */
	float prompt_tokens;
	float prefill_us; /* per token */
	float crossings;
	float service_us;
	float slowdown_us; /* of a full endpoint against an idle one */
};

const struct route_params route_defaults = {
	.method = ROUTE_SCAN,
	.prefill_us_per_token = 200,
	.cache_half_life_ms = 30000,
	.report_half_life_ms = 2000,
	.slowdown_permille = 250,
	.queue_per_slot_permille = 125,
	.zone_crossings = 4,
};

static float other_requests(const struct route_candidate *c);
static float estimate_load(const struct scan *s,
			   const struct route_candidate *c);
static float mean_other_requests(const struct route_candidate *cand, size_t n);
static enum route_outcome check_candidate(const struct scan *s,
					  const struct route_candidate *c,
					  float load);
static float cost_us(const struct scan *s, const struct route_candidate *c,
		     float load);
static float cache_saves_us(const struct scan *s,
			    const struct route_candidate *c);
static float wait_us(const struct scan *s, const struct route_candidate *c,
		     float load);
static bool outranks(enum route_outcome a, enum route_outcome b);
static enum route_outcome choose_scan(const struct scan *s, uint64_t rnd,
				      size_t *best);
static bool choose_two(const struct scan *s, uint64_t rnd, size_t *best);
static bool choose_isolated(const struct scan *s, bool idle, size_t *best);
static bool can_isolate(const struct scan *s, size_t i, bool idle);
static bool choose_without_scan(struct scan *s, uint64_t rnd, size_t *best);
static enum route_outcome choose(struct scan *s, uint64_t rnd, size_t *best);

/* Returns the other instances' requests at the endpoint when it last
 * reported. */
static float other_requests(const struct route_candidate *c)
{
	uint32_t all = (uint32_t)c->running + c->queued;

	return all > c->own_requests_reported
		       ? (float)(all - c->own_requests_reported)
		       : 0;
}

/* Returns the mean of other_requests() over the endpoints that are up. */
static float mean_other_requests(const struct route_candidate *cand, size_t n)
{
	float sum = 0;
	size_t up = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		if (!(cand[i].flags & ROUTE_UP))
			continue;
		sum += other_requests(&cand[i]);
		up++;
	}
	return up ? sum / (float)up : 0;
}

/* Estimates the requests at the endpoint now, including queued ones. */
static float estimate_load(const struct scan *s,
			   const struct route_candidate *c)
{
	float keep = (float)s->params->report_half_life_ms;
	float trust = keep / (keep + (float)c->report_age_ms);

	return trust * other_requests(c) +
	       (1 - trust) * s->mean_other_requests + (float)c->own_requests;
}

/* Returns ROUTE_OK if the request may go to c, otherwise the reason why not. */
static enum route_outcome check_candidate(const struct scan *s,
					  const struct route_candidate *c,
					  float load)
{
	if (!(c->flags & ROUTE_UP) || c->flags & ROUTE_LEAVING || !c->slots)
		return ROUTE_NONE_UP;
	if (c->flags & ROUTE_AVOID)
		return ROUTE_ALL_AVOIDED;
	if (c->flags & ROUTE_RESERVED)
		return ROUTE_ALL_RESERVED;
	if (load >= (float)c->slots * s->full_per_slot)
		return ROUTE_ALL_BUSY;
	return ROUTE_OK;
}

/* Returns the expected wait for a slot, in microseconds. */
static float wait_us(const struct scan *s, const struct route_candidate *c,
		     float load)
{
	float ahead = load - (float)c->slots + 1;

	return ahead <= 0 ? 0 : ahead * s->service_us / (float)c->slots;
}

/* Returns the prefill time that the prefix cache at c saves, in
 * microseconds. */
static float cache_saves_us(const struct scan *s,
			    const struct route_candidate *c)
{
	float cached = (float)c->cached_tokens;
	float keep = (float)s->params->cache_half_life_ms;

	if (cached > s->prompt_tokens)
		cached = s->prompt_tokens;
	return cached * s->prefill_us * keep / (keep + (float)c->cache_age_ms);
}

/*
 * Returns the expected time that running at c adds, in microseconds.  The
 * prefill of the whole prompt takes the same time everywhere, so only what the
 * cache saves counts.
 */
static float cost_us(const struct scan *s, const struct route_candidate *c,
		     float load)
{
	float ahead = load - (float)c->slots + 1;
	float busy = load * s->slowdown_us;

	if (ahead > 0)
		busy += ahead * s->service_us;
	return busy / (float)c->slots - cache_saves_us(s, c) +
	       s->crossings * (float)c->zone_us;
}

/*
 * Orders outcomes: the one closest to success is reported.
 */
static bool outranks(enum route_outcome a, enum route_outcome b)
{
	static const int rank[] = {
		[ROUTE_OK] = 4,		  [ROUTE_ALL_BUSY] = 3,
		[ROUTE_ALL_RESERVED] = 2, [ROUTE_ALL_AVOIDED] = 1,
		[ROUTE_NONE_UP] = 0,
	};

	return rank[a] > rank[b];
}

/*
 * Finds the cheapest permitted candidate that is not skipped.  The scan starts
 * at a random one, so that equal costs do not send all instances to the same
 * endpoint.
 */
static enum route_outcome choose_scan(const struct scan *s, uint64_t rnd,
				      size_t *best)
{
	enum route_outcome outcome = ROUTE_NONE_UP;
	float best_us = FLT_MAX;
	size_t start = rnd % s->n;
	size_t k;

	for (k = 0; k < s->n; k++) {
		size_t i = start + k < s->n ? start + k : start + k - s->n;
		const struct route_candidate *c = &s->cand[i];
		enum route_outcome o;
		float load, us;

		if (c->flags & s->skip_flags)
			continue;
		load = estimate_load(s, c);
		o = check_candidate(s, c, load);
		if (outranks(o, outcome))
			outcome = o;
		if (o != ROUTE_OK)
			continue;
		us = cost_us(s, c, load);
		if (us >= best_us)
			continue;
		best_us = us;
		*best = i;
	}
	return outcome;
}

/*
 * Picks the cheaper of two permitted candidates drawn at random.  Returns false
 * if the draws find none.
 */
static bool choose_two(const struct scan *s, uint64_t rnd, size_t *best)
{
	float best_us = FLT_MAX;
	size_t found = 0;
	int i;

	for (i = 0; i < TWO_CHOICES_DRAWS && found < 2; i++) {
		size_t k = (rnd >> (8 * i) & 0xff) * s->n >> 8;
		const struct route_candidate *c = &s->cand[k];
		float load = estimate_load(s, c);
		float us;

		if (c->flags & s->skip_flags ||
		    check_candidate(s, c, load) != ROUTE_OK)
			continue;
		found++;
		us = cost_us(s, c, load);
		if (us >= best_us)
			continue;
		best_us = us;
		*best = k;
	}
	return found > 0;
}

/* Returns whether candidate i can run an isolated request; if idle is set, only
 * if it has no load. */
static bool can_isolate(const struct scan *s, size_t i, bool idle)
{
	const struct route_candidate *c = &s->cand[i];

	if (c->flags & s->skip_flags ||
	    check_candidate(s, c, estimate_load(s, c)) != ROUTE_OK)
		return false;
	return !idle || (!c->own_requests && other_requests(c) == 0);
}

/*
 * Picks the rank-th endpoint, by index, of those that can run an isolated
 * request.  Instances that see the same endpoints thus assign requests of
 * different rank to different endpoints without coordination.
 */
static bool choose_isolated(const struct scan *s, bool idle, size_t *best)
{
	size_t count = 0;
	size_t i, k, smaller;

	for (i = 0; i < s->n; i++)
		count += can_isolate(s, i, idle);
	for (i = 0; i < s->n && count; i++) {
		if (!can_isolate(s, i, idle))
			continue;
		smaller = 0;
		for (k = 0; k < s->n; k++)
			smaller += can_isolate(s, k, idle) &&
				   s->cand[k].endpoint < s->cand[i].endpoint;
		if (smaller != s->req->rank % count)
			continue;
		*best = i;
		return true;
	}
	return false;
}

/* Chooses by a method other than a scan: two choices, or isolation.  Returns
 * false if a scan is to decide.  Sets the flags to skip in either case. */
static bool choose_without_scan(struct scan *s, uint64_t rnd, size_t *best)
{
	s->skip_flags = ROUTE_SILENT;
	if (s->req->isolation != ROUTE_ISOLATE_NONE)
		s->skip_flags |= ROUTE_RUNS_SUSPECT;
	if (s->req->isolation != ROUTE_ISOLATE_FULL)
		return s->params->method == ROUTE_TWO_CHOICES &&
		       choose_two(s, rnd, best);
	if (choose_isolated(s, true, best) || choose_isolated(s, false, best))
		return true;
	s->skip_flags = ROUTE_SILENT;
	return choose_isolated(s, false, best);
}

/*
 * Chooses among all candidates.  First skips endpoints that run a suspect, if
 * the request is to be isolated, and silent ones.  If none is found, allows the
 * former, and then the latter too.
 */
static enum route_outcome choose(struct scan *s, uint64_t rnd, size_t *best)
{
	enum route_outcome outcome;

	if (choose_without_scan(s, rnd, best))
		return ROUTE_OK;
	outcome = choose_scan(s, rnd, best);
	if (outcome != ROUTE_OK && s->skip_flags & ROUTE_RUNS_SUSPECT) {
		s->skip_flags = ROUTE_SILENT;
		outcome = choose_scan(s, rnd, best);
	}
	if (outcome != ROUTE_OK) {
		s->skip_flags = 0;
		outcome = choose_scan(s, rnd, best);
	}
	return outcome;
}

/*
 * Chooses one of n candidates for req. rnd is a fresh random number.  If there
 * is no choice, the outcome is the reason of the candidate that was closest to
 * being permitted.
 */
struct route_choice route_choose(const struct route_params *params,
				 const struct route_request *req,
				 const struct route_candidate *cand, size_t n,
				 uint64_t rnd)
{
	struct scan s = { .params = params, .req = req, .cand = cand, .n = n };
	struct route_choice choice = { .outcome = ROUTE_NONE_UP };
	size_t best = 0;

	if (!n)
		return choice;
	s.mean_other_requests = mean_other_requests(cand, n);
	s.full_per_slot = 1 + (float)params->queue_per_slot_permille / 1000;
	s.prompt_tokens = (float)req->prompt_tokens;
	s.prefill_us = (float)params->prefill_us_per_token;
	s.crossings = (float)params->zone_crossings;
	s.service_us = (float)req->service_ms * US_PER_MS;
	s.slowdown_us = s.service_us * (float)params->slowdown_permille / 1000;
	choice.outcome = choose(&s, rnd, &best);
	if (choice.outcome != ROUTE_OK)
		return choice;
	choice.index = (uint32_t)best;
	choice.endpoint = cand[best].endpoint;
	choice.wait_ms = (uint32_t)(wait_us(&s, &cand[best],
					    estimate_load(&s, &cand[best])) /
				    US_PER_MS);
	return choice;
}

/* Returns the outcome as a phrase for logs and messages. */
const char *route_outcome_text(enum route_outcome outcome)
{
	switch (outcome) {
	case ROUTE_OK:
		return "an endpoint was chosen";
	case ROUTE_NONE_UP:
		return "no endpoint is up";
	case ROUTE_ALL_AVOIDED:
		return "the request failed on every endpoint that is up";
	case ROUTE_ALL_BUSY:
		return "every endpoint is full";
	case ROUTE_ALL_RESERVED:
		return "every endpoint is kept for a request that runs alone";
	}
	return "unknown";
}
