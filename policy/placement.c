/*
 * Places runs of generations, copies of their KV cache, and calls of plain
 * services.  Many instances choose on views that are some hundred milliseconds
 * old, so ties between equal candidates are broken at random and not by their
 * order.
 */
#include "policy/placement.h"

#include <math.h>

/* Prompt tokens that an engine reads per millisecond. */
#define PREFILL_TOKENS_PER_MS 5

/* Reading a prompt of usual length stalls each run on the same engine for about
 * a second. */
#define PREFILL_STALL_MS 900

/* KV cache in use lengthens each step a little: tokens per millisecond of
 * cost. */
#define USED_TOKENS_PER_MS 100

/* Traffic between zones costs bytes; the cost decides only between equal
 * loads. */
#define ZONE_CROSSING_MS 5

/* A run in its decode phase is moved to where other runs decode, so that
 * other engines stay free for prompts.  Each run there lowers the cost by
 * this much. */
#define SHARED_ENGINE_GAIN_MS 40

/* Capacity that a moved run leaves free, since the runs at the endpoint
 * grow. */
#define DECODE_FREE_PERMILLE 120

/* A copy is not made where it would leave less than this free for runs. */
#define COPY_FREE_PERMILLE 150

/* Least time that a request at a plain endpoint is taken to last. */
#define LATENCY_FLOOR_MS 5

/* Reports of the others' plain calls that are older than this do not show where
 * calls are now, and all instances would act on the same stale reports. */
#define PLAIN_VIEW_MAX_MS 1000

/* Latency assumed in a weighted draw for an endpoint without recent answers,
 * and the least latency of any other. */
#define DRAW_LATENCY_FLOOR_MS 40

/* With 40 % failures an endpoint counts as five times as loaded. */
#define FAILING_WEIGHT 10

/* Costs that differ by less than this count as equal, and prompt affinity
 * decides: a repeated prompt then finds its KV cache where it ran.  A prompt
 * being read at an endpoint outweighs affinity, unless this request's prompt
 * has been read already. */
#define EQUAL_COST_MS 400
#define EQUAL_COST_RESUMED_MS 2500

/* Endpoints fail by zone: a suspected one is chosen only if the others are
 * overloaded. */
#define SUSPECTED_MS 20000
#define SUSPECTED_FACTOR 4

/* A stream can't leave the version that begins it.  One without another endpoint
 * takes new streams only if the others are overloaded, and so does one that the
 * store does not know: after the loss of all instances its streams could not be
 * told from those of other versions. */
#define VERSION_ALONE_MS 20000
#define VERSION_UNRECORDED_MS 20000

/* Versions of a service that are told apart when they are counted. */
#define VERSIONS_COUNTED 16

#define PERMILLE 1000

static bool continues(const struct placement_request *r,
		      const struct placement_candidate *c);
static bool version_returns(const struct placement_request *r,
			    const struct placement_candidate *c, size_t n);
static bool fits(const struct placement_candidate *c, uint32_t tokens,
		 uint32_t keep_free);
static uint64_t version_cost(const struct placement_request *r,
			     const struct placement_candidate *c);
static uint64_t run_cost(const struct placement_request *r,
			 const struct placement_candidate *c);
static uint64_t copy_cost(const struct placement_request *r,
			  const struct placement_candidate *c);
static uint64_t decode_cost(const struct placement_request *r,
			    const struct placement_candidate *c);
static uint64_t plain_cost(const struct placement_request *r,
			   const struct placement_candidate *c);
static uint64_t plain_work(const struct placement_request *r,
			   const struct placement_candidate *c,
			   uint32_t requests, uint32_t floor_ms);
static uint64_t plain_weight(const struct placement_request *r,
			     const struct placement_candidate *c);
static uint32_t draw_weighted(const struct placement_request *r,
			      const struct placement_candidate *c, size_t n,
			      uint32_t least, uint64_t rnd);
static bool accepts_copy(const struct placement_request *r,
			 const struct placement_candidate *c,
			 const struct placement_candidate *run_at);
static bool accepts_copy_unlimited(const struct placement_request *r,
				   const struct placement_candidate *c,
				   const struct placement_candidate *run_at);
static bool accepts_decode(const struct placement_request *r,
			   const struct placement_candidate *c,
			   const struct placement_candidate *run_at);
static bool accepts_decode_in_zone(const struct placement_request *r,
				   const struct placement_candidate *c,
				   const struct placement_candidate *run_at);
static uint32_t cheaper_of_two(
	const struct placement_request *r, const struct placement_candidate *c,
	size_t n, uint32_t run_at, uint64_t rnd,
	bool (*accepts)(const struct placement_request *r,
			const struct placement_candidate *c,
			const struct placement_candidate *run_at),
	uint64_t (*cost)(const struct placement_request *r,
			 const struct placement_candidate *c));
static uint32_t highest_affinity(const struct placement_request *r,
				 const struct placement_candidate *c, size_t n,
				 uint64_t cost_max, uint32_t least);
static void count_skipped(struct placement_choice *choice,
			  const struct placement_candidate *c, uint32_t index);
static enum placement_outcome skipped_outcome(
	const struct placement_choice *choice);
static uint32_t start_index(uint64_t rnd, size_t n);

/*
 * Chooses the endpoint of a run: one with capacity for all its tokens, the
 * fewest prompts being read, then the least KV cache in use; among candidates
 * of about equal cost the one with the highest affinity.  Handles two load
 * patterns: many prompts of a second each at the moment when a zone's engines
 * are lost and the others take over its streams; and all streams returning at
 * once after the instances were killed, to engines that still hold their
 * prompts.
 */
struct placement_choice placement_run(const struct placement_request *r,
				      const struct placement_candidate *c,
				      size_t n, uint64_t rnd)
{
	struct placement_choice choice = { .outcome = PLACEMENT_NONE_USABLE };
	uint64_t best = UINT64_MAX;
	uint64_t equal = r->resumes ? EQUAL_COST_RESUMED_MS : EQUAL_COST_MS;
	uint32_t start = start_index(rnd, n);
	size_t k;

	for (k = 0; k < n; k++) {
		uint32_t i = (uint32_t)((start + k) % n);

		if (!continues(r, &c[i]))
			continue;
		if (!c[i].usable) {
			count_skipped(&choice, c, i);
			continue;
		}
		if (c[i].avoided) {
			if (choice.outcome == PLACEMENT_NONE_USABLE)
				choice.outcome = PLACEMENT_ALL_AVOIDED;
			continue;
		}
		if (!fits(&c[i], r->tokens, 0)) {
			if (choice.outcome != PLACEMENT_OK)
				choice.outcome = PLACEMENT_FULL;
			continue;
		}
		if (run_cost(r, &c[i]) >= best)
			continue;
		best = run_cost(r, &c[i]);
		choice.outcome = PLACEMENT_OK;
		choice.index = i;
	}
	if (choice.outcome == PLACEMENT_OK)
		choice.index =
			highest_affinity(r, c, n, best + equal, choice.index);
	if (choice.outcome == PLACEMENT_NONE_USABLE)
		choice.outcome = version_returns(r, c, n)
					 ? skipped_outcome(&choice)
					 : PLACEMENT_VERSION_GONE;
	return choice;
}

/*
 * Chooses the endpoint that keeps the copy of a run's KV cache: in another
 * zone, so that one failure does not take both, and where capacity is left for
 * runs; if possible at one that has named no limit, which is not in need and
 * where the run can resume at once.  Returns PLACEMENT_NONE if there is no such
 * endpoint.
 */
uint32_t placement_kv_copy(const struct placement_request *r,
			   const struct placement_candidate *c, size_t n,
			   uint32_t run_at, uint64_t rnd)
{
	uint32_t unlimited = cheaper_of_two(r, c, n, run_at, rnd,
					    accepts_copy_unlimited, copy_cost);

	if (unlimited != PLACEMENT_NONE)
		return unlimited;
	return cheaper_of_two(r, c, n, run_at, rnd, accepts_copy, copy_cost);
}

/*
 * Chooses the endpoint to which a run is moved for its decode phase, once its
 * prompt has been read: one that runs others and reads no prompt, in this
 * instance's own zone if there is one.  Returns PLACEMENT_NONE if the run
 * stays.  Handles two load patterns: a steady flow of long prompts, each of
 * which would stall the runs on its engine for a second and so double the time
 * of every answer; and lossy links between zones, where each lost packet delays
 * its event by 200 ms or more.
 */
uint32_t placement_decode_phase(const struct placement_request *r,
				const struct placement_candidate *c, size_t n,
				uint32_t run_at, uint64_t rnd)
{
	uint32_t in_zone = cheaper_of_two(r, c, n, run_at, rnd,
					  accepts_decode_in_zone, decode_cost);

	if (in_zone != PLACEMENT_NONE)
		return in_zone;
	return cheaper_of_two(r, c, n, run_at, rnd, accepts_decode,
			      decode_cost);
}

/*
 * Chooses the endpoint of a plain call: the one with the least work waiting,
 * estimated from its latency and failure rate; or, if the view of the others'
 * calls is old, a random one with a weight that falls with this instance's own
 * work there.  Handles two load patterns: one of three endpoints turning slow,
 * or failing while it reports that it is healthy; and hundreds of instances
 * that would all send their calls to the endpoint that was least loaded seconds
 * ago.
 */
struct placement_choice placement_plain(const struct placement_request *r,
					const struct placement_candidate *c,
					size_t n, uint64_t rnd)
{
	struct placement_choice choice = { .outcome = PLACEMENT_NONE_USABLE };
	uint64_t best = UINT64_MAX;
	uint32_t start = start_index(rnd, n);
	size_t k;

	for (k = 0; k < n; k++) {
		uint32_t i = (uint32_t)((start + k) % n);

		if (!continues(r, &c[i]))
			continue;
		if (!c[i].usable) {
			count_skipped(&choice, c, i);
			continue;
		}
		if (c[i].avoided) {
			if (choice.outcome == PLACEMENT_NONE_USABLE)
				choice.outcome = PLACEMENT_ALL_AVOIDED;
			continue;
		}
		if (plain_cost(r, &c[i]) >= best)
			continue;
		best = plain_cost(r, &c[i]);
		choice.outcome = PLACEMENT_OK;
		choice.index = i;
	}
	if (choice.outcome == PLACEMENT_OK &&
	    r->view_age_ms > PLAIN_VIEW_MAX_MS)
		choice.index = draw_weighted(r, c, n, choice.index, rnd);
	if (choice.outcome == PLACEMENT_NONE_USABLE)
		choice.outcome = version_returns(r, c, n)
					 ? skipped_outcome(&choice)
					 : PLACEMENT_VERSION_GONE;
	return choice;
}

/* Draws one of the candidates that accept a plain call, by weight; least is the
 * index of one of them. */
static uint32_t draw_weighted(const struct placement_request *r,
			      const struct placement_candidate *c, size_t n,
			      uint32_t least, uint64_t rnd)
{
	uint64_t sum = plain_weight(r, &c[least]);
	uint64_t left;
	size_t i;

	for (i = 0; i < n; i++)
		if (i != least && continues(r, &c[i]) && c[i].usable &&
		    !c[i].avoided)
			sum += plain_weight(r, &c[i]);
	left = rnd % sum;
	for (i = 0; i < n; i++) {
		if (i == least || !continues(r, &c[i]) || !c[i].usable ||
		    c[i].avoided)
			continue;
		if (left < plain_weight(r, &c[i]))
			return (uint32_t)i;
		left -= plain_weight(r, &c[i]);
	}
	return least;
}

/* Returns the weight left of an old observation, which halves every half_ms.
 * An endpoint that was slow or failed gets no calls while others are better, so
 * its observations have to decay for it to be tried again. */
float placement_decayed(float value, uint64_t age_ms, uint32_t half_ms)
{
	return value * exp2f(-(float)age_ms / (float)half_ms);
}

/* Returns an outcome as a phrase for logs. */
const char *placement_outcome_text(enum placement_outcome outcome)
{
	static const char *const texts[] = {
		[PLACEMENT_OK] = "placed",
		[PLACEMENT_NONE_USABLE] = "no endpoint is up",
		[PLACEMENT_ALL_AVOIDED] =
			"it failed at each endpoint that is up",
		[PLACEMENT_FULL] = "no endpoint has room",
		[PLACEMENT_PAUSED] = "all endpoints asked for a pause",
		[PLACEMENT_LIMITED] = "the limits of all endpoints are reached",
		[PLACEMENT_VERSION_GONE] =
			"no endpoint runs the stream's software version",
	};

	return texts[outcome];
}

/* Marks the endpoints that are the only usable ones of their version while there
 * are others. */
void placement_mark_alone(struct placement_candidate *c, size_t n)
{
	struct {
		uint64_t software;
		size_t n;
	} counted[VERSIONS_COUNTED];
	size_t n_counted = 0;
	size_t i;
	size_t k;

	for (i = 0; i < n; i++) {
		if (!c[i].usable)
			continue;
		for (k = 0; k < n_counted; k++)
			if (counted[k].software == c[i].software)
				break;
		if (k == VERSIONS_COUNTED)
			continue;
		if (k == n_counted) {
			counted[n_counted].software = c[i].software;
			counted[n_counted++].n = 0;
		}
		counted[k].n++;
	}
	for (i = 0; n_counted > 1 && i < n; i++)
		for (k = 0; k < n_counted; k++)
			if (c[i].usable && counted[k].n == 1 &&
			    counted[k].software == c[i].software)
				c[i].alone = true;
}

/* Returns whether an endpoint runs the version that began the request's stream,
 * if there is one. */
static bool continues(const struct placement_request *r,
		      const struct placement_candidate *c)
{
	return !r->software || c->software == r->software;
}

/* Returns whether an endpoint may serve the request, now or later; any may if no
 * version began its stream. */
static bool version_returns(const struct placement_request *r,
			    const struct placement_candidate *c, size_t n)
{
	size_t i;

	for (i = 0; r->software && i < n; i++)
		if (continues(r, &c[i]) && (c[i].usable || c[i].returns))
			return true;
	return !r->software;
}

/* Counts a skipped endpoint by the reason why it is not usable; one at which the
 * request has failed is avoided whether or not its limit is reached. */
static void count_skipped(struct placement_choice *choice,
			  const struct placement_candidate *c, uint32_t index)
{
	choice->leaving += c[index].leaving;
	if (c[index].limited && c[index].avoided &&
	    choice->outcome == PLACEMENT_NONE_USABLE) {
		choice->outcome = PLACEMENT_ALL_AVOIDED;
	} else if (c[index].limited && !c[index].avoided) {
		choice->limited++;
		choice->limited_index = index;
	}
	if (c[index].leaving || !c[index].pause_ms)
		return;
	if (!choice->paused++ || c[index].pause_ms < choice->pause_ms)
		choice->pause_ms = c[index].pause_ms;
}

/* Returns why no endpoint that is up is usable. */
static enum placement_outcome skipped_outcome(
	const struct placement_choice *choice)
{
	if (choice->limited)
		return PLACEMENT_LIMITED;
	return choice->paused ? PLACEMENT_PAUSED : PLACEMENT_NONE_USABLE;
}

/* Returns whether a run of this many tokens finds KV-cache capacity and a slot,
 * with keep_free tokens left over. */
static bool fits(const struct placement_candidate *c, uint32_t tokens,
		 uint32_t keep_free)
{
	if (c->slots && c->requests >= c->slots)
		return false;
	return (uint64_t)c->used_tokens + tokens + keep_free <=
	       c->capacity_tokens;
}

/* Returns the cost of binding a new stream to the version of an engine, ms. */
static uint64_t version_cost(const struct placement_request *r,
			     const struct placement_candidate *c)
{
	if (r->software)
		return 0;
	return (c->alone ? VERSION_ALONE_MS : 0) +
	       (c->unrecorded ? VERSION_UNRECORDED_MS : 0);
}

/* Estimates the cost of reading a prompt at an engine, in ms: its own wait, and
 * the delay of the runs there. */
static uint64_t run_cost(const struct placement_request *r,
			 const struct placement_candidate *c)
{
	uint32_t running = c->requests > c->prefills ? c->requests - c->prefills
						     : 0;

	return c->prefill_tokens / PREFILL_TOKENS_PER_MS +
	       (uint64_t)running * PREFILL_STALL_MS +
	       c->used_tokens / USED_TOKENS_PER_MS +
	       (c->zone == r->zone ? 0 : ZONE_CROSSING_MS) +
	       (c->suspected ? SUSPECTED_MS : 0) + version_cost(r, c);
}

/* Estimates the cost of a copy at an engine, in ms: only KV cache. */
static uint64_t copy_cost(const struct placement_request *r,
			  const struct placement_candidate *c)
{
	return c->used_tokens / USED_TOKENS_PER_MS +
	       (c->zone == r->zone ? 0 : ZONE_CROSSING_MS) +
	       (c->suspected ? SUSPECTED_MS : 0);
}

/* Estimates the cost of a run's decode phase at an engine, in ms: the delay by
 * prompts being read there, less the gain of sharing an engine. */
static uint64_t decode_cost(const struct placement_request *r,
			    const struct placement_candidate *c)
{
	uint32_t running = c->requests > c->prefills ? c->requests - c->prefills
						     : 0;
	uint64_t gain = (uint64_t)running * SHARED_ENGINE_GAIN_MS;
	uint64_t cost = PREFILL_STALL_MS +
			(uint64_t)c->prefills * PREFILL_STALL_MS +
			(c->zone == r->zone ? 0 : ZONE_CROSSING_MS) +
			(c->suspected ? SUSPECTED_MS : 0);

	return cost > gain ? cost - gain : 0;
}

/* Returns whether a run's copy may be kept at an endpoint.  A copy is no request
 * of this instance, so that a limit that is reached does not matter. */
static bool accepts_copy(const struct placement_request *r,
			 const struct placement_candidate *c,
			 const struct placement_candidate *run_at)
{
	uint32_t keep = c->capacity_tokens / PERMILLE * COPY_FREE_PERMILLE;

	return c != run_at && c->software == run_at->software &&
	       (c->usable || c->limited) && !c->avoided &&
	       c->zone != run_at->zone && fits(c, r->tokens, keep);
}

/* Returns whether a run's copy may be kept at an endpoint that has named no
 * limit. */
static bool accepts_copy_unlimited(const struct placement_request *r,
				   const struct placement_candidate *c,
				   const struct placement_candidate *run_at)
{
	return !c->limited && accepts_copy(r, c, run_at);
}

/* Returns whether a run may be moved to an endpoint for its decode phase. */
static bool accepts_decode(const struct placement_request *r,
			   const struct placement_candidate *c,
			   const struct placement_candidate *run_at)
{
	uint32_t keep = c->capacity_tokens / PERMILLE * DECODE_FREE_PERMILLE;

	return c != run_at && c->software == run_at->software && c->usable &&
	       !c->limited && !c->avoided && !c->suspected && !c->prefills &&
	       fits(c, r->tokens, keep);
}

/* Returns whether a run may be moved to an endpoint of this instance's zone. */
static bool accepts_decode_in_zone(const struct placement_request *r,
				   const struct placement_candidate *c,
				   const struct placement_candidate *run_at)
{
	return c->zone == r->zone && accepts_decode(r, c, run_at);
}

/*
 * Draws two of the candidates that accept a run or copy and returns the cheaper
 * one; PLACEMENT_NONE if none does.  The cheapest of all would be the same for
 * all instances until they see each other's choices, and would be overloaded.
 */
static uint32_t cheaper_of_two(
	const struct placement_request *r, const struct placement_candidate *c,
	size_t n, uint32_t run_at, uint64_t rnd,
	bool (*accepts)(const struct placement_request *r,
			const struct placement_candidate *c,
			const struct placement_candidate *run_at),
	uint64_t (*cost)(const struct placement_request *r,
			 const struct placement_candidate *c))
{
	uint32_t start = start_index(rnd, n);
	uint32_t second = start_index(rnd >> 32, n);
	uint32_t one = PLACEMENT_NONE;
	uint32_t two = PLACEMENT_NONE;
	size_t k;

	for (k = 0; k < n && one == PLACEMENT_NONE; k++)
		if (accepts(r, &c[(start + k) % n], &c[run_at]))
			one = (uint32_t)((start + k) % n);
	for (k = 0; k < n && two == PLACEMENT_NONE; k++)
		if (accepts(r, &c[(second + k) % n], &c[run_at]))
			two = (uint32_t)((second + k) % n);
	if (one == PLACEMENT_NONE || cost(r, &c[two]) >= cost(r, &c[one]))
		return one;
	return two;
}

/* Returns the candidate with the highest affinity among those that cost at most
 * cost_max; least is the index of the cheapest. */
static uint32_t highest_affinity(const struct placement_request *r,
				 const struct placement_candidate *c, size_t n,
				 uint64_t cost_max, uint32_t least)
{
	uint32_t chosen = least;
	size_t i;

	for (i = 0; i < n; i++)
		if (continues(r, &c[i]) && c[i].usable && !c[i].avoided &&
		    fits(&c[i], r->tokens, 0) &&
		    run_cost(r, &c[i]) <= cost_max &&
		    c[i].affinity > c[chosen].affinity)
			chosen = (uint32_t)i;
	return chosen;
}

/* Estimates the work ahead of a new call, in microseconds. */
static uint64_t plain_cost(const struct placement_request *r,
			   const struct placement_candidate *c)
{
	return plain_work(r, c, c->requests, LATENCY_FLOOR_MS);
}

/* Returns the weight of a candidate in a weighted draw, 1 or more. */
static uint64_t plain_weight(const struct placement_request *r,
			     const struct placement_candidate *c)
{
	return UINT32_MAX / plain_work(r, c, c->own_requests,
				       DRAW_LATENCY_FLOOR_MS) +
	       1;
}

/* Estimates the work ahead of a new call, in microseconds, with this many other
 * requests there, each of which takes at least floor_ms. */
static uint64_t plain_work(const struct placement_request *r,
			   const struct placement_candidate *c,
			   uint32_t requests, uint32_t floor_ms)
{
	uint64_t ms = c->latency_ms > floor_ms ? c->latency_ms : floor_ms;
	uint64_t cost = (requests + 1) * ms *
			(PERMILLE + c->failing_permille * FAILING_WEIGHT) *
			(c->suspected ? SUSPECTED_FACTOR : 1);

	return c->zone == r->zone ? cost : cost + cost / 4;
}

/* Returns the index of the candidate to begin with. */
static uint32_t start_index(uint64_t rnd, size_t n)
{
	return n ? (uint32_t)(rnd % n) : 0;
}
