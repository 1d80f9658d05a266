/*
 * Choice of an endpoint for one request.
 *
 * Every permitted candidate gets a cost in microseconds: the expected wait for
 * a slot, the slowdown by the requests that share its batch, the prefill that
 * its prefix cache does not save, and the way to its zone.  Load reports lag,
 * so the requests that this instance started or finished since the report are
 * put right, and what an old report says of other instances' requests is drawn
 * towards the mean.  Cache events come late and with gaps, so an old one is
 * worth less.
 */
#include "policy/route.h"

#include <float.h>
#include <stdbool.h>

enum { US_PER_MS = 1000, TWO_PROBES = 8 };

/* What a choice works out once for all candidates. */
struct scan {
	const struct route_params *params;
	const struct route_request *req;
	const struct route_candidate *cand;
	size_t n;
	uint16_t shun; /* flags of candidates passed over for now */
	float mean_others; /* other instances' requests an endpoint */
	float room_per_slot; /* requests a slot at which an endpoint is full */
	float prompt_tokens;
	float prefill_us; /* a token */
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

static float others(const struct route_candidate *c);
static float load_of(const struct scan *s, const struct route_candidate *c);
static float mean_others(const struct route_candidate *cand, size_t n);
static enum route_outcome permit(const struct scan *s,
				 const struct route_candidate *c, float load);
static float cost_us(const struct scan *s, const struct route_candidate *c,
		     float load);
static float cache_saves_us(const struct scan *s,
			    const struct route_candidate *c);
static float wait_us(const struct scan *s, const struct route_candidate *c,
		     float load);
static bool is_better(enum route_outcome a, enum route_outcome b);
static enum route_outcome choose_scan(const struct scan *s, uint64_t rnd,
				      size_t *best);
static bool choose_two(const struct scan *s, uint64_t rnd, size_t *best);
static bool choose_alone(const struct scan *s, bool idle, size_t *best);
static bool is_candidate_alone(const struct scan *s, size_t i, bool idle);
static bool choose_special(struct scan *s, uint64_t rnd, size_t *best);
static enum route_outcome choose(struct scan *s, uint64_t rnd, size_t *best);

/* Requests of other instances at the endpoint when it last reported. */
static float others(const struct route_candidate *c)
{
	uint32_t all = (uint32_t)c->running + c->queued;

	return all > c->own_requests_reported ? (float)(all - c->own_requests_reported) : 0;
}

/* Mean of others() over the endpoints that are up. */
static float mean_others(const struct route_candidate *cand, size_t n)
{
	float sum = 0;
	size_t up = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		if (!(cand[i].flags & ROUTE_UP))
			continue;
		sum += others(&cand[i]);
		up++;
	}
	return up ? sum / (float)up : 0;
}

/* Requests believed to be at the endpoint now, waiting ones included. */
static float load_of(const struct scan *s, const struct route_candidate *c)
{
	float keep = (float)s->params->report_half_life_ms;
	float trust = keep / (keep + (float)c->report_age_ms);

	return trust * others(c) + (1 - trust) * s->mean_others +
	       (float)c->own_requests;
}

/* Says whether the request may go to c, and if not, why. */
static enum route_outcome permit(const struct scan *s,
				 const struct route_candidate *c, float load)
{
	if (!(c->flags & ROUTE_UP) || c->flags & ROUTE_LEAVING || !c->slots)
		return ROUTE_NONE_UP;
	if (c->flags & ROUTE_AVOID)
		return ROUTE_ALL_AVOIDED;
	if (c->flags & ROUTE_RESERVED)
		return ROUTE_ALL_RESERVED;
	if (load >= (float)c->slots * s->room_per_slot)
		return ROUTE_ALL_BUSY;
	return ROUTE_OK;
}

/* Expected wait for a slot, in microseconds. */
static float wait_us(const struct scan *s, const struct route_candidate *c,
		     float load)
{
	float ahead = load - (float)c->slots + 1;

	return ahead <= 0 ? 0 : ahead * s->service_us / (float)c->slots;
}

/* Prefill that the prefix cache saves at c, in microseconds. */
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
 * Expected time that running at c adds, in microseconds.  The prefill of the
 * whole prompt is the same everywhere, so only what the cache saves counts.
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
 * Orders reasons: the one nearest to a place to run is the one to report.
 */
static bool is_better(enum route_outcome a, enum route_outcome b)
{
	static const int rank[] = {
		[ROUTE_OK] = 4,
		[ROUTE_ALL_BUSY] = 3,
		[ROUTE_ALL_RESERVED] = 2,
		[ROUTE_ALL_AVOIDED] = 1,
		[ROUTE_NONE_UP] = 0,
	};

	return rank[a] > rank[b];
}

/*
 * Finds the cheapest permitted candidate that is not shunned.  The scan starts at a random one, so that equal costs do not send all instances
 * to the same endpoint.
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

		if (c->flags & s->shun)
			continue;
		load = load_of(s, c);
		o = permit(s, c, load);
		if (is_better(o, outcome))
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
 * Takes the cheaper of two permitted candidates drawn at random.  Returns
 * false if the draws did not find any.
 */
static bool choose_two(const struct scan *s, uint64_t rnd, size_t *best)
{
	float best_us = FLT_MAX;
	size_t found = 0;
	int i;

	for (i = 0; i < TWO_PROBES && found < 2; i++) {
		size_t k = (rnd >> (8 * i) & 0xff) * s->n >> 8;
		const struct route_candidate *c = &s->cand[k];
		float load = load_of(s, c);
		float us;

		if (c->flags & s->shun || permit(s, c, load) != ROUTE_OK)
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

/* Says whether candidate i can take a request alone; idle asks for no load. */
static bool is_candidate_alone(const struct scan *s, size_t i, bool idle)
{
	const struct route_candidate *c = &s->cand[i];

	if (c->flags & s->shun || permit(s, c, load_of(s, c)) != ROUTE_OK)
		return false;
	return !idle || (!c->own_requests && others(c) == 0);
}

/*
 * Picks the rank-th endpoint, by index, of those that can take a request
 * alone.  Instances that see the same endpoints so put requests of different
 * rank apart without asking each other.
 */
static bool choose_alone(const struct scan *s, bool idle, size_t *best)
{
	size_t count = 0;
	size_t i, k, smaller;

	for (i = 0; i < s->n; i++)
		count += is_candidate_alone(s, i, idle);
	for (i = 0; i < s->n && count; i++) {
		if (!is_candidate_alone(s, i, idle))
			continue;
		smaller = 0;
		for (k = 0; k < s->n; k++)
			smaller += is_candidate_alone(s, k, idle) &&
				   s->cand[k].endpoint < s->cand[i].endpoint;
		if (smaller != s->req->rank % count)
			continue;
		*best = i;
		return true;
	}
	return false;
}

/* Chooses where something else than a scan is asked for. */
static bool choose_special(struct scan *s, uint64_t rnd, size_t *best)
{
	s->shun = ROUTE_SILENT;
	if (s->req->isolation != ROUTE_ISOLATE_NONE)
		s->shun |= ROUTE_RUNS_SUSPECT;
	if (s->req->isolation != ROUTE_ISOLATE_FULL)
		return s->params->method == ROUTE_TWO_CHOICES &&
		       choose_two(s, rnd, best);
	if (choose_alone(s, true, best) || choose_alone(s, false, best))
		return true;
	s->shun = ROUTE_SILENT;
	return choose_alone(s, false, best);
}

/*
 * Chooses among all candidates: first shunning those that run a suspect, if
 * the request is to be kept apart, and those that are silent; then taking the
 * former, then the latter too, rather than none.
 */
static enum route_outcome choose(struct scan *s, uint64_t rnd, size_t *best)
{
	enum route_outcome outcome;

	if (choose_special(s, rnd, best))
		return ROUTE_OK;
	outcome = choose_scan(s, rnd, best);
	if (outcome != ROUTE_OK && s->shun & ROUTE_RUNS_SUSPECT) {
		s->shun = ROUTE_SILENT;
		outcome = choose_scan(s, rnd, best);
	}
	if (outcome != ROUTE_OK) {
		s->shun = 0;
		outcome = choose_scan(s, rnd, best);
	}
	return outcome;
}

/*
 * Chooses one of n candidates for req.  rnd is a fresh random number.  If
 * there is no choice, the outcome says what stood in the way of the candidate
 * that came nearest.
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
	s.mean_others = mean_others(cand, n);
	s.room_per_slot = 1 + (float)params->queue_per_slot_permille / 1000;
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
	choice.wait_ms =
		(uint32_t)(wait_us(&s, &cand[best], load_of(&s, &cand[best])) /
			   US_PER_MS);
	return choice;
}

/* The outcome as a phrase for a log line or a person. */
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
