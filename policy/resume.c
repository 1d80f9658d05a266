/*
 * Resume of generations: detects silent endpoints and streams, and selects the
 * attempt whose tokens are relayed.
 *
 * An engine batches continuously, so all its streams advance together and fall
 * silent together.  Silence is therefore measured over all streams that this
 * instance receives from an endpoint, and compared with the mean, deviation and
 * tail of the gaps between arrivals.  This detects a failure long before a
 * single stream's timeout.  While an endpoint is suspected, a second attempt (a
 * hedge) may start at another one.  The attempt that first sends the next
 * position is relayed and the other is fenced off permanently, so that an
 * answer never mixes two generations beyond the point of the change.
 */
#include "policy/resume.h"

#include <assert.h>
#include <string.h>

enum {
	MILLI = 1000,
	GAP_MEAN_SHIFT = 5, /* weight of a new gap in the mean: 1/32 */
	DEV_MIN_MS = 1,
	TAIL_INIT_GAPS = 8, /* initial tail, in expected gaps */
	TAIL_ONE_IN = 2000, /* one gap in so many exceeds the tail */
	TAIL_STEP_DIVISOR = 20, /* step up: tail / TAIL_STEP_DIVISOR */
	LOCAL_FAULT_MIN_ENDPOINTS = 4, /* fewer are no evidence */
};

const struct resume_profile resume_favour_latency = {
	.gap_factor = 8,
	.tail_permille = 1250,
	.suspect_min_ms = 250,
	.suspect_max_ms = 600,
	.lost_after_ms = 1500,
	.stream_suspect_ms = 1500,
	.stream_lost_ms = 5000,
	.first_token_ms = 1500,
	.hedge = true,
	.hedge_permille = 50,
	.hedge_burst_tokens = 300000,
};

const struct resume_profile resume_favour_work = {
	.gap_factor = 16,
	.tail_permille = 1500,
	.suspect_min_ms = 500,
	.suspect_max_ms = 800,
	.lost_after_ms = 2500,
	.stream_suspect_ms = 3000,
	.stream_lost_ms = 8000,
	.first_token_ms = 3000,
	.hedge = true,
	.hedge_permille = 25,
	.hedge_burst_tokens = 200000,
};

static void add_gap(struct resume_endpoint *ep, float gap);
static uint32_t take_over(struct resume_stream *s, uint32_t attempt);
static void add_credit(struct resume_budget *b,
		       const struct resume_profile *profile, uint64_t milli);

/* Initializes with an expected gap of gap_ms between arrivals. */
void resume_endpoint_init(struct resume_endpoint *ep, uint32_t gap_ms)
{
	*ep = (struct resume_endpoint){
		.mean_ms = (float)gap_ms,
		.dev_ms = (float)gap_ms / 2,
		.tail_ms = (float)gap_ms * TAIL_INIT_GAPS,
	};
}

/*
 * Counts streams that start (change 1) or stop (change -1) decoding.  If there
 * were none, silence counts from now.
 */
void resume_endpoint_decoding(struct resume_endpoint *ep, int change,
			      uint64_t now)
{
	assert(change > 0 || ep->decoding >= (uint32_t)-change);
	if (!ep->decoding)
		ep->last_seen_ms = now;
	ep->decoding += (uint32_t)change;
}

/*
 * Updates mean, deviation and tail with a gap.  The tail rises by a step when
 * the gap exceeds it, and otherwise falls by a step TAIL_ONE_IN times smaller;
 * the two balance when one gap in TAIL_ONE_IN exceeds the tail.
 */
static void add_gap(struct resume_endpoint *ep, float gap)
{
	float off = gap - ep->mean_ms;
	float up = ep->tail_ms / TAIL_STEP_DIVISOR;

	ep->mean_ms += off / (1 << GAP_MEAN_SHIFT);
	off = off < 0 ? -off : off;
	if (off < DEV_MIN_MS)
		off = DEV_MIN_MS;
	ep->dev_ms += (off - ep->dev_ms) / (1 << GAP_MEAN_SHIFT);
	if (gap <= ep->tail_ms)
		ep->tail_ms -= up / TAIL_ONE_IN;
	else
		ep->tail_ms += gap - ep->tail_ms < up ? gap - ep->tail_ms : up;
}

/* Records the arrival of a token of any stream and the gap before it. */
void resume_endpoint_received(struct resume_endpoint *ep, uint64_t now)
{
	uint64_t before = ep->last_seen_ms;

	if (now <= before)
		return;
	ep->last_seen_ms = now;
	if (ep->decoding)
		add_gap(ep, (float)(now - before));
}

/*
 * Discounts stall_ms, in which this instance itself did not run, from the
 * silence of the endpoint.
 */
void resume_endpoint_discount(struct resume_endpoint *ep, uint32_t stall_ms)
{
	ep->last_seen_ms += stall_ms;
}

/* Returns the silence in milliseconds after which the endpoint is suspected. */
uint32_t resume_suspect_ms(const struct resume_endpoint *ep,
			   const struct resume_profile *profile)
{
	float ms = ep->mean_ms + (float)profile->gap_factor * ep->dev_ms;
	float tail = ep->tail_ms * (float)profile->tail_permille / 1000;

	if (ms < tail)
		ms = tail;
	if (ms < (float)profile->suspect_min_ms)
		return profile->suspect_min_ms;
	if (ms > (float)profile->suspect_max_ms)
		return profile->suspect_max_ms;
	return (uint32_t)ms;
}

/*
 * Returns the health of the endpoint by its silence; one that decodes no stream
 * is healthy.
 */
enum resume_health resume_endpoint_evaluate(
	const struct resume_endpoint *ep, const struct resume_profile *profile,
	uint64_t now)
{
	uint64_t silent, suspect;

	if (!ep->decoding || now <= ep->last_seen_ms)
		return RESUME_HEALTHY;
	silent = now - ep->last_seen_ms;
	suspect = resume_suspect_ms(ep, profile);
	if (silent < suspect)
		return RESUME_HEALTHY;
	if (silent < suspect + profile->lost_after_ms)
		return RESUME_SUSPECT;
	return RESUME_LOST;
}

/*
 * Returns whether so many of the active endpoints are suspect that the fault is
 * likely in this instance's own network.  Moving their streams would then only
 * add load to other endpoints.
 */
bool resume_local_fault(uint32_t suspect, uint32_t active)
{
	return active >= LOCAL_FAULT_MIN_ENDPOINTS &&
	       2 * (uint64_t)suspect > active;
}

/* Initializes with no attempt and no tokens relayed. */
void resume_stream_init(struct resume_stream *s)
{
	memset(s, 0, sizeof(*s));
}

/* Discounts a stall of this instance from the silence of the stream. */
void resume_stream_discount(struct resume_stream *s, uint32_t stall_ms)
{
	s->last_seen_ms += stall_ms;
	if (s->first_token_due_ms)
		s->first_token_due_ms += stall_ms;
}

/*
 * Starts a new attempt and returns its number.  From now on tokens of other
 * attempts are dropped.  The first token is expected within expect_first_ms.
 */
uint32_t resume_start(struct resume_stream *s, uint64_t now,
		      uint32_t expect_first_ms)
{
	s->attempt = ++s->last_attempt;
	s->hedge = RESUME_NO_ATTEMPT;
	s->last_seen_ms = now;
	s->first_token_due_ms = now + expect_first_ms;
	return s->attempt;
}

/* Starts a second, concurrent attempt and returns its number. */
uint32_t resume_start_hedge(struct resume_stream *s)
{
	assert(s->attempt != RESUME_NO_ATTEMPT);
	assert(s->hedge == RESUME_NO_ATTEMPT);
	s->hedge = ++s->last_attempt;
	return s->hedge;
}

/*
 * Records the loss of an attempt's connection or endpoint.  Returns the attempt
 * that continues, or RESUME_NO_ATTEMPT if the caller must start one.
 */
uint32_t resume_attempt_lost(struct resume_stream *s, uint32_t attempt,
			     uint64_t now)
{
	if (attempt == RESUME_NO_ATTEMPT)
		return s->attempt;
	if (attempt == s->hedge) {
		s->hedge = RESUME_NO_ATTEMPT;
	} else if (attempt == s->attempt) {
		s->attempt = s->hedge;
		s->hedge = RESUME_NO_ATTEMPT;
		s->last_seen_ms = now;
	}
	return s->attempt;
}

/* Makes attempt the only one; returns the other, which is to be cancelled. */
static uint32_t take_over(struct resume_stream *s, uint32_t attempt)
{
	uint32_t other = attempt == s->attempt ? s->hedge : s->attempt;

	s->attempt = attempt;
	s->hedge = RESUME_NO_ATTEMPT;
	return other;
}

/*
 * Decides on a token of an attempt at a position.  The first attempt to send
 * the next position becomes the only one.  RESUME_GAP leaves the state
 * unchanged: the caller cancels the attempt and calls resume_attempt_lost().
 */
struct resume_decision resume_accept(struct resume_stream *s, uint32_t attempt,
				     uint32_t pos, uint64_t now)
{
	struct resume_decision d = { .cancel = RESUME_NO_ATTEMPT };

	if (attempt == RESUME_NO_ATTEMPT ||
	    (attempt != s->attempt && attempt != s->hedge)) {
		d.outcome = RESUME_DROP_STALE;
		d.cancel = attempt;
		return d;
	}
	if (pos < s->next_pos) {
		d.outcome = RESUME_DROP_DUPLICATE;
		return d;
	}
	if (pos > s->next_pos) {
		d.outcome = RESUME_GAP;
		d.cancel = attempt;
		return d;
	}
	d.outcome = RESUME_RELAY;
	d.cancel = take_over(s, attempt);
	s->next_pos++;
	s->last_seen_ms = now;
	s->first_token_due_ms = 0;
	return d;
}

/*
 * Decides what to do with a stream, given the health of its attempt's endpoint.
 * Never returns RESUME_MOVE while a hedge is running: the hedge sends the next
 * position, fails, or is declared lost by resume_hedge_lost().
 */
enum resume_action resume_decide(const struct resume_stream *s,
				 enum resume_health endpoint,
				 const struct resume_profile *profile,
				 uint64_t now)
{
	uint64_t from = s->first_token_due_ms ? s->first_token_due_ms
					      : s->last_seen_ms;
	uint64_t silent = now > from ? now - from : 0;
	uint64_t suspect = profile->stream_suspect_ms;
	uint64_t lost = profile->stream_lost_ms;

	if (s->attempt == RESUME_NO_ATTEMPT)
		return RESUME_MOVE;
	if (s->hedge != RESUME_NO_ATTEMPT)
		return RESUME_WAIT;
	if (s->first_token_due_ms) {
		suspect = profile->first_token_ms;
		lost = 2 * (uint64_t)profile->first_token_ms;
	}
	if (endpoint == RESUME_LOST || silent >= lost)
		return RESUME_MOVE;
	if (!profile->hedge)
		return RESUME_WAIT;
	if (endpoint == RESUME_SUSPECT || silent >= suspect)
		return RESUME_HEDGE;
	return RESUME_WAIT;
}

/*
 * Returns whether a hedge that started at started_ms and has sent no token yet
 * is lost too.  The caller then cancels it and calls resume_attempt_lost(), so
 * that resume_decide() considers the first attempt again and another hedge or a
 * move follows.  Otherwise two consecutive silent engines would block a stream
 * forever.
 */
bool resume_hedge_lost(enum resume_health endpoint, uint64_t started_ms,
		       uint32_t expect_first_ms,
		       const struct resume_profile *profile, uint64_t now)
{
	uint64_t by = started_ms + expect_first_ms + profile->first_token_ms;

	return endpoint != RESUME_HEALTHY || now >= by;
}

/* Initializes with the full burst. */
void resume_budget_init(struct resume_budget *b,
			const struct resume_profile *profile)
{
	b->credit_milli = (uint64_t)profile->hedge_burst_tokens * MILLI;
}

/* Adds credit in thousandths of a token, up to the burst. */
static void add_credit(struct resume_budget *b,
		       const struct resume_profile *profile, uint64_t milli)
{
	uint64_t max = (uint64_t)profile->hedge_burst_tokens * MILLI;

	b->credit_milli += milli;
	if (b->credit_milli > max)
		b->credit_milli = max;
}

/* Adds credit for relayed tokens. */
void resume_budget_relayed(struct resume_budget *b,
			   const struct resume_profile *profile,
			   uint32_t tokens)
{
	add_credit(b, profile, (uint64_t)tokens * profile->hedge_permille);
}

/*
 * Takes the prefill of a hedge from the budget.  Returns false if the credit is
 * too small: the stream then waits until its endpoint counts as lost.
 */
bool resume_budget_take(struct resume_budget *b, uint32_t prefill_tokens)
{
	uint64_t milli = (uint64_t)prefill_tokens * MILLI;

	if (b->credit_milli < milli)
		return false;
	b->credit_milli -= milli;
	return true;
}

/*
 * Refunds the prefill that a hedge did not waste: all of it if the hedge took
 * over, since the move was needed; otherwise the prefill not yet done when the
 * hedge was cancelled.
 */
void resume_budget_refund(struct resume_budget *b,
			  const struct resume_profile *profile, uint32_t tokens)
{
	add_credit(b, profile, (uint64_t)tokens * MILLI);
}
