/*
 * Where work is placed: runs of generations, the copies of their memory, and
 * calls of plain services.  Many instances choose on views that are some
 * hundred milliseconds old, so equal candidates are told apart by chance and
 * not by their order.
 */
#include "policy/placement.h"

#include <math.h>

/* An engine reads so many prompt tokens in a millisecond. */
#define PREFILL_TOKENS_PER_MS 5

/* While a prompt of usual length is read, each run beside it stands still for
 * about a second. */
#define HARM_MS 900

/* Memory in use lengthens each step a little: so many tokens a millisecond. */
#define USED_TOKENS_PER_MS 100

/* A crossing costs bytes between zones; it decides between equal loads. */
#define CROSSING_MS 5

/* A run that settles goes where others run already, so that engines stay free
 * for prompts; it gains this much for each of them. */
#define COMPANY_MS 40

/* Memory that a run which settles leaves free, for those that are there and
 * grow. */
#define SETTLE_FREE_PERMILLE 120

/* Copies yield to runs: none is made where it would leave less free. */
#define COPY_FREE_PERMILLE 150

/* Requests at a plain endpoint count as if each took at least so long. */
#define LATENCY_FLOOR_MS 5

/* What others said of their plain calls longer ago than this tells nothing of
 * where calls are now, and all instances would go by the same old words. */
#define PLAIN_VIEW_MS 1000

/* Drawn by weight, an endpoint whose answers are not known for lately counts as
 * if each took so long. */
#define DRAWN_FLOOR_MS 40

/* Four in ten failures make an endpoint look five times as loaded. */
#define FAILING_WEIGHT 10

/* Loads that differ by less than this count as equal, and the prompt decides:
 * one that comes again then finds its memory where it ran.  A prompt being
 * read elsewhere outweighs it, unless this one has been read already. */
#define EQUAL_MS 400
#define EQUAL_RESUMED_MS 2500

/* Endpoints fail by zones: one that is in doubt is chosen only if the others
 * are loaded beyond all use. */
#define DOUBT_MS 20000
#define DOUBT_FACTOR 4

#define PERMILLE 1000

static bool fits(const struct placement_candidate *c, uint32_t tokens,
		 uint32_t keep_free);
static uint64_t run_cost(const struct placement_request *r,
			 const struct placement_candidate *c);
static uint64_t copy_cost(const struct placement_request *r,
			  const struct placement_candidate *c);
static uint64_t settle_cost(const struct placement_request *r,
			    const struct placement_candidate *c);
static uint64_t plain_cost(const struct placement_request *r,
			   const struct placement_candidate *c);
static uint64_t plain_work(const struct placement_request *r,
			   const struct placement_candidate *c, uint32_t requests,
			   uint32_t floor_ms);
static uint64_t plain_weight(const struct placement_request *r,
			     const struct placement_candidate *c);
static uint32_t draw_plain(const struct placement_request *r,
			   const struct placement_candidate *c, size_t n,
			   uint32_t least, uint64_t rnd);
static bool takes_copy(const struct placement_request *r,
		       const struct placement_candidate *c,
		       const struct placement_candidate *run_at);
static bool takes_settled(const struct placement_request *r,
			  const struct placement_candidate *c,
			  const struct placement_candidate *run_at);
static bool takes_settled_near(const struct placement_request *r,
			       const struct placement_candidate *c,
			       const struct placement_candidate *run_at);
static uint32_t better_of_two(
	const struct placement_request *r, const struct placement_candidate *c,
	size_t n, uint32_t run_at, uint64_t rnd,
	bool (*takes)(const struct placement_request *r,
		      const struct placement_candidate *c,
		      const struct placement_candidate *run_at),
	uint64_t (*cost)(const struct placement_request *r,
			 const struct placement_candidate *c));
static uint32_t most_drawn(const struct placement_request *r,
			   const struct placement_candidate *c, size_t n,
			   uint64_t cost_max, uint32_t least);
static void left_out(struct placement_choice *choice,
		     const struct placement_candidate *c);
static uint32_t start_of(uint64_t rnd, size_t n);

/*
 * Chooses the endpoint of a run: one with room for all its tokens, with the
 * fewest prompts being read, then the least memory used; among such as are
 * about equal the one that the prompt is drawn to.  Answers two patterns: many
 * prompts of a second each at the moment when a zone's engines have gone and
 * the rest take its streams; and all streams coming back at once when the
 * instances have been killed, to engines that still hold their prompts.
 */
struct placement_choice placement_run(const struct placement_request *r,
			      const struct placement_candidate *c, size_t n,
			      uint64_t rnd)
{
	struct placement_choice choice = { .outcome = PLACEMENT_NONE_USABLE };
	uint64_t best = UINT64_MAX;
	uint64_t equal = r->resumes ? EQUAL_RESUMED_MS : EQUAL_MS;
	uint32_t start = start_of(rnd, n);
	size_t k;

	for (k = 0; k < n; k++) {
		uint32_t i = (uint32_t)((start + k) % n);

		if (!c[i].usable) {
			left_out(&choice, &c[i]);
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
		choice.index = most_drawn(r, c, n, best + equal, choice.index);
	if (choice.outcome == PLACEMENT_NONE_USABLE && choice.paused)
		choice.outcome = PLACEMENT_PAUSED;
	return choice;
}

/*
 * Chooses where the copy of a run's memory is kept: in another zone, so that
 * one event does not take both, and where room is left for runs; PLACEMENT_NONE
 * if there is no such endpoint.
 */
uint32_t placement_kv_copy(const struct placement_request *r,
		    const struct placement_candidate *c, size_t n, uint32_t run_at,
		    uint64_t rnd)
{
	return better_of_two(r, c, n, run_at, rnd, takes_copy, copy_cost);
}

/*
 * Chooses where a run whose prompt has been read goes on: with other such runs
 * and without prompts beside it, in this instance's own zone if there is such an
 * endpoint; PLACEMENT_NONE if it stays where it is.  Answers two patterns: a steady
 * flow of long prompts, each of which would halt the runs beside it for a second
 * and so double the time of every answer; and links between zones that lose
 * packets, where each lost one holds up its event for 200 ms and more.
 */
uint32_t placement_decode(const struct placement_request *r,
		      const struct placement_candidate *c, size_t n,
		      uint32_t run_at, uint64_t rnd)
{
	uint32_t near = better_of_two(r, c, n, run_at, rnd, takes_settled_near,
				      settle_cost);

	if (near != PLACEMENT_NONE)
		return near;
	return better_of_two(r, c, n, run_at, rnd, takes_settled, settle_cost);
}

/*
 * Chooses the endpoint of a plain call: the least work waiting, reckoned by
 * how long its answers take and how often they fail; or, where what is known of
 * the others' calls is old, one drawn with a weight that falls with the work
 * known here.  Answers two patterns: one of three endpoints turning slow, or
 * failing while it says it is well; and hundreds of instances that would all
 * send their calls to the endpoint that had the least seconds ago.
 */
struct placement_choice placement_plain(const struct placement_request *r,
				const struct placement_candidate *c, size_t n,
				uint64_t rnd)
{
	struct placement_choice choice = { .outcome = PLACEMENT_NONE_USABLE };
	uint64_t best = UINT64_MAX;
	uint32_t start = start_of(rnd, n);
	size_t k;

	for (k = 0; k < n; k++) {
		uint32_t i = (uint32_t)((start + k) % n);

		if (!c[i].usable) {
			left_out(&choice, &c[i]);
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
	if (choice.outcome == PLACEMENT_OK && r->view_age_ms > PLAIN_VIEW_MS)
		choice.index = draw_plain(r, c, n, choice.index, rnd);
	if (choice.outcome == PLACEMENT_NONE_USABLE && choice.paused)
		choice.outcome = PLACEMENT_PAUSED;
	return choice;
}

/* Draws one of the candidates that take a plain call, by weight; least is one of
 * them. */
static uint32_t draw_plain(const struct placement_request *r,
			   const struct placement_candidate *c, size_t n,
			   uint32_t least, uint64_t rnd)
{
	uint64_t sum = plain_weight(r, &c[least]);
	uint64_t left;
	size_t i;

	for (i = 0; i < n; i++)
		if (i != least && c[i].usable && !c[i].avoided)
			sum += plain_weight(r, &c[i]);
	left = rnd % sum;
	for (i = 0; i < n; i++) {
		if (i == least || !c[i].usable || c[i].avoided)
			continue;
		if (left < plain_weight(r, &c[i]))
			return (uint32_t)i;
		left -= plain_weight(r, &c[i]);
	}
	return least;
}

/* Returns what an old observation still counts for: half of it after half_ms.
 * An endpoint that was slow or failed gets nothing while others are better, so
 * that only time can tell that it has recovered. */
float placement_decayed(float value, uint64_t age_ms, uint32_t half_ms)
{
	return value * exp2f(-(float)age_ms / (float)half_ms);
}

/* Returns a phrase for an outcome, for logs. */
const char *placement_outcome_text(enum placement_outcome outcome)
{
	static const char *const texts[] = {
		[PLACEMENT_OK] = "placed",
		[PLACEMENT_NONE_USABLE] = "no endpoint is up",
		[PLACEMENT_ALL_AVOIDED] = "it failed at each endpoint that is up",
		[PLACEMENT_FULL] = "no endpoint has room",
		[PLACEMENT_PAUSED] = "all endpoints asked for a pause",
	};

	return texts[outcome];
}

/* Counts an endpoint that is not usable by why it is not. */
static void left_out(struct placement_choice *choice,
		     const struct placement_candidate *c)
{
	choice->leaving += c->leaving;
	if (c->leaving || !c->pause_ms)
		return;
	if (!choice->paused++ || c->pause_ms < choice->pause_ms)
		choice->pause_ms = c->pause_ms;
}

/* Tells whether a run of so many tokens finds memory and a slot. */
static bool fits(const struct placement_candidate *c, uint32_t tokens,
		 uint32_t keep_free)
{
	if (c->slots && c->requests >= c->slots)
		return false;
	return (uint64_t)c->used_tokens + tokens + keep_free <=
	       c->capacity_tokens;
}

/* Reckons what a prompt that is read at an engine costs, in milliseconds: its
 * own wait, and that of the runs which it delays. */
static uint64_t run_cost(const struct placement_request *r,
			 const struct placement_candidate *c)
{
	uint32_t running = c->requests > c->prefills ? c->requests - c->prefills
						     : 0;

	return c->prefill_tokens / PREFILL_TOKENS_PER_MS +
	       (uint64_t)running * HARM_MS +
	       c->used_tokens / USED_TOKENS_PER_MS +
	       (c->zone == r->zone ? 0 : CROSSING_MS) +
	       (c->suspected ? DOUBT_MS : 0);
}

/* Reckons what a copy costs at an engine: only memory. */
static uint64_t copy_cost(const struct placement_request *r,
			  const struct placement_candidate *c)
{
	return c->used_tokens / USED_TOKENS_PER_MS +
	       (c->zone == r->zone ? 0 : CROSSING_MS) +
	       (c->suspected ? DOUBT_MS : 0);
}

/* Reckons what a run whose prompt has been read costs at an engine: prompts
 * that delay it there, less what it leaves free elsewhere. */
static uint64_t settle_cost(const struct placement_request *r,
			    const struct placement_candidate *c)
{
	uint32_t running = c->requests > c->prefills ? c->requests - c->prefills
						     : 0;
	uint64_t company = (uint64_t)running * COMPANY_MS;
	uint64_t cost = HARM_MS + (uint64_t)c->prefills * HARM_MS +
			(c->zone == r->zone ? 0 : CROSSING_MS) +
			(c->suspected ? DOUBT_MS : 0);

	return cost > company ? cost - company : 0;
}

/* Tells whether a copy of a run may lie at an endpoint. */
static bool takes_copy(const struct placement_request *r,
		       const struct placement_candidate *c,
		       const struct placement_candidate *run_at)
{
	uint32_t keep = c->capacity_tokens / PERMILLE * COPY_FREE_PERMILLE;

	return c != run_at && c->usable && !c->avoided &&
	       c->zone != run_at->zone && fits(c, r->tokens, keep);
}

/* Tells whether a run may settle at an endpoint. */
static bool takes_settled(const struct placement_request *r,
			  const struct placement_candidate *c,
			  const struct placement_candidate *run_at)
{
	uint32_t keep = c->capacity_tokens / PERMILLE * SETTLE_FREE_PERMILLE;

	return c != run_at && c->usable && !c->avoided && !c->suspected &&
	       !c->prefills && fits(c, r->tokens, keep);
}

/* Tells whether a run may settle at an endpoint of this instance's zone. */
static bool takes_settled_near(const struct placement_request *r,
			       const struct placement_candidate *c,
			       const struct placement_candidate *run_at)
{
	return c->zone == r->zone && takes_settled(r, c, run_at);
}

/*
 * Draws two of the candidates that take a run or copy and returns the better
 * one; PLACEMENT_NONE if none does.  The best of all would be the same one for all
 * instances until they hear of each other's choices, and be overrun.
 */
static uint32_t better_of_two(
	const struct placement_request *r, const struct placement_candidate *c,
	size_t n, uint32_t run_at, uint64_t rnd,
	bool (*takes)(const struct placement_request *r,
		      const struct placement_candidate *c,
		      const struct placement_candidate *run_at),
	uint64_t (*cost)(const struct placement_request *r,
			 const struct placement_candidate *c))
{
	uint32_t start = start_of(rnd, n);
	uint32_t second = start_of(rnd >> 32, n);
	uint32_t one = PLACEMENT_NONE;
	uint32_t two = PLACEMENT_NONE;
	size_t k;

	for (k = 0; k < n && one == PLACEMENT_NONE; k++)
		if (takes(r, &c[(start + k) % n], &c[run_at]))
			one = (uint32_t)((start + k) % n);
	for (k = 0; k < n && two == PLACEMENT_NONE; k++)
		if (takes(r, &c[(second + k) % n], &c[run_at]))
			two = (uint32_t)((second + k) % n);
	if (one == PLACEMENT_NONE || cost(r, &c[two]) >= cost(r, &c[one]))
		return one;
	return two;
}

/* Returns the candidate, among those that cost at most so much, to which the
 * prompt is drawn most; least is the one of the least cost. */
static uint32_t most_drawn(const struct placement_request *r,
			   const struct placement_candidate *c, size_t n,
			   uint64_t cost_max, uint32_t least)
{
	uint32_t chosen = least;
	size_t i;

	for (i = 0; i < n; i++)
		if (c[i].usable && !c[i].avoided && fits(&c[i], r->tokens, 0) &&
		    run_cost(r, &c[i]) <= cost_max &&
		    c[i].affinity > c[chosen].affinity)
			chosen = (uint32_t)i;
	return chosen;
}

/* Reckons the work before a new call, in thousandths of a millisecond. */
static uint64_t plain_cost(const struct placement_request *r,
			   const struct placement_candidate *c)
{
	return plain_work(r, c, c->requests, LATENCY_FLOOR_MS);
}

/* Returns the weight of a candidate that is drawn, 1 or more. */
static uint64_t plain_weight(const struct placement_request *r,
			     const struct placement_candidate *c)
{
	return UINT32_MAX / plain_work(r, c, c->own_requests, DRAWN_FLOOR_MS) +
	       1;
}

/* Reckons the work before a new call with so many others there, each of which
 * takes floor_ms at least, in thousandths of a millisecond. */
static uint64_t plain_work(const struct placement_request *r,
			   const struct placement_candidate *c, uint32_t requests,
			   uint32_t floor_ms)
{
	uint64_t ms = c->latency_ms > floor_ms ? c->latency_ms : floor_ms;
	uint64_t cost = (requests + 1) * ms *
			(PERMILLE + c->failing_permille * FAILING_WEIGHT) *
			(c->suspected ? DOUBT_FACTOR : 1);

	return c->zone == r->zone ? cost : cost + cost / 4;
}

/* Returns the candidate to begin with. */
static uint32_t start_of(uint64_t rnd, size_t n)
{
	return n ? (uint32_t)(rnd % n) : 0;
}
