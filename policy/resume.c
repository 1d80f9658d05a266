/*
 * Resume of generations: when an endpoint or a stream counts as silent, and
 * which attempt's tokens are relayed.
 *
 * An engine batches continuously, so all its streams advance together and fall
 * silent together.  Silence is therefore judged over all streams that this
 * instance hears from an endpoint, against the mean, deviation and tail of the
 * gaps between their arrivals, long before a single stream's timeout.  While it is
 * suspected, a second attempt may start elsewhere; the attempt that gives the
 * next position first wins and the other is fenced off for good, so that an
 * answer never mixes two generations beyond the point where one took over.
 */
#include "policy/resume.h"

#include <assert.h>
#include <string.h>

enum {
	MILLI = 1000,
	GAP_MEAN_SHIFT = 5, /* weight of a new gap in the mean: 1/32 */
	DEV_LEAST_MS = 1,
	TAIL_START_GAPS = 8, /* of the expected gap */
	TAIL_ONE_IN = 2000,
	TAIL_STEP_SHARE = 20, /* a step up is this part of the tail */
	OWN_FAULT_LEAST = 4, /* endpoints heard, below which it is not judged */
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

static void learn_gap(struct resume_endpoint *ep, float gap);
static uint32_t take_over(struct resume_stream *s, uint32_t attempt);
static void add_credit(struct resume_budget *b,
		       const struct resume_profile *profile, uint64_t milli);

/* Starts with an expected gap of gap_ms between arrivals. */
void resume_endpoint_init(struct resume_endpoint *ep, uint32_t gap_ms)
{
	*ep = (struct resume_endpoint){
		.mean_ms = (float)gap_ms,
		.dev_ms = (float)gap_ms / 2,
		.tail_ms = (float)gap_ms * TAIL_START_GAPS,
	};
}

/*
 * Counts streams that began (change 1) or ceased (change -1) to decode.  An
 * endpoint that had none is judged from now on only.
 */
void resume_endpoint_decoding(struct resume_endpoint *ep, int change,
			      uint64_t now)
{
	assert(change > 0 || ep->decoding >= (uint32_t)-change);
	if (!ep->decoding)
		ep->heard_ms = now;
	ep->decoding += (uint32_t)change;
}

/*
 * Learns a gap: its mean, its deviation, and the tail by steps up when it is
 * exceeded and so much smaller ones down when not that the two balance at one
 * gap in TAIL_ONE_IN.
 */
static void learn_gap(struct resume_endpoint *ep, float gap)
{
	float off = gap - ep->mean_ms;
	float up = ep->tail_ms / TAIL_STEP_SHARE;

	ep->mean_ms += off / (1 << GAP_MEAN_SHIFT);
	off = off < 0 ? -off : off;
	if (off < DEV_LEAST_MS)
		off = DEV_LEAST_MS;
	ep->dev_ms += (off - ep->dev_ms) / (1 << GAP_MEAN_SHIFT);
	if (gap <= ep->tail_ms)
		ep->tail_ms -= up / TAIL_ONE_IN;
	else
		ep->tail_ms += gap - ep->tail_ms < up ? gap - ep->tail_ms : up;
}

/* Notes that a token of any stream arrived, and learns the gap before it. */
void resume_endpoint_heard(struct resume_endpoint *ep, uint64_t now)
{
	uint64_t before = ep->heard_ms;

	if (now <= before)
		return;
	ep->heard_ms = now;
	if (ep->decoding)
		learn_gap(ep, (float)(now - before));
}

/*
 * Takes stall_ms, during which this instance itself did not run, out of the
 * silence of the endpoint.
 */
void resume_endpoint_excuse(struct resume_endpoint *ep, uint32_t stall_ms)
{
	ep->heard_ms += stall_ms;
}

/* Silence in milliseconds after which the endpoint is suspected. */
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

/* Judges the silence of the endpoint; one that decodes nothing is healthy. */
enum resume_health resume_endpoint_judge(const struct resume_endpoint *ep,
					 const struct resume_profile *profile,
					 uint64_t now)
{
	uint64_t silent, suspect;

	if (!ep->decoding || now <= ep->heard_ms)
		return RESUME_HEALTHY;
	silent = now - ep->heard_ms;
	suspect = resume_suspect_ms(ep, profile);
	if (silent < suspect)
		return RESUME_HEALTHY;
	if (silent < suspect + profile->lost_after_ms)
		return RESUME_SUSPECT;
	return RESUME_LOST;
}

/*
 * Says whether the silence of so many of the endpoints that are heard points
 * to this instance's own network.  Moving their streams would then only add
 * load elsewhere.
 */
bool resume_own_fault(uint32_t suspect, uint32_t active)
{
	return active >= OWN_FAULT_LEAST && 2 * (uint64_t)suspect > active;
}

/* Starts with no attempt and nothing relayed. */
void resume_stream_init(struct resume_stream *s)
{
	memset(s, 0, sizeof(*s));
}

/* Takes this instance's own stall out of the silence of the stream. */
void resume_stream_excuse(struct resume_stream *s, uint32_t stall_ms)
{
	s->heard_ms += stall_ms;
	if (s->first_by_ms)
		s->first_by_ms += stall_ms;
}

/*
 * Gives out the number of a new attempt, from which alone tokens are accepted
 * from now on.  Its first token is expected within expect_first_ms.
 */
uint32_t resume_start(struct resume_stream *s, uint64_t now,
		      uint32_t expect_first_ms)
{
	s->attempt = ++s->last_attempt;
	s->hedge = RESUME_NO_ATTEMPT;
	s->heard_ms = now;
	s->first_by_ms = now + expect_first_ms;
	return s->attempt;
}

/* Gives out the number of a second attempt, heard beside the first. */
uint32_t resume_start_hedge(struct resume_stream *s)
{
	assert(s->attempt != RESUME_NO_ATTEMPT);
	assert(s->hedge == RESUME_NO_ATTEMPT);
	s->hedge = ++s->last_attempt;
	return s->hedge;
}

/*
 * Notes that an attempt's connection or endpoint is gone.  Returns the attempt
 * that goes on, or RESUME_NO_ATTEMPT if the caller must start one.
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
		s->heard_ms = now;
	}
	return s->attempt;
}

/* Makes attempt the only one; returns the one to cancel. */
static uint32_t take_over(struct resume_stream *s, uint32_t attempt)
{
	uint32_t other = attempt == s->attempt ? s->hedge : s->attempt;

	s->attempt = attempt;
	s->hedge = RESUME_NO_ATTEMPT;
	return other;
}

/*
 * Decides on a token of an attempt at a position.  The first attempt to give
 * the next position wins.  RESUME_GAP leaves the state as it is: the caller
 * cancels the attempt and reports it by resume_attempt_lost().
 */
struct resume_verdict resume_accept(struct resume_stream *s, uint32_t attempt,
				    uint32_t pos, uint64_t now)
{
	struct resume_verdict v = { .cancel = RESUME_NO_ATTEMPT };

	if (attempt == RESUME_NO_ATTEMPT ||
	    (attempt != s->attempt && attempt != s->hedge)) {
		v.outcome = RESUME_DROP_STALE;
		v.cancel = attempt;
		return v;
	}
	if (pos < s->next_pos) {
		v.outcome = RESUME_DROP_DUPLICATE;
		return v;
	}
	if (pos > s->next_pos) {
		v.outcome = RESUME_GAP;
		v.cancel = attempt;
		return v;
	}
	v.outcome = RESUME_RELAY;
	v.cancel = take_over(s, attempt);
	s->next_pos++;
	s->heard_ms = now;
	s->first_by_ms = 0;
	return v;
}

/*
 * Says what to do about a stream, given the health of the endpoint of its
 * attempt.  RESUME_MOVE is not given while a hedge is on: that one gives
 * the next position, or breaks, or is lost by resume_hedge_lost().
 */
enum resume_action resume_judge(const struct resume_stream *s,
				enum resume_health endpoint,
				const struct resume_profile *profile,
				uint64_t now)
{
	uint64_t from = s->first_by_ms ? s->first_by_ms : s->heard_ms;
	uint64_t silent = now > from ? now - from : 0;
	uint64_t suspect = profile->stream_suspect_ms;
	uint64_t lost = profile->stream_lost_ms;

	if (s->attempt == RESUME_NO_ATTEMPT)
		return RESUME_MOVE;
	if (s->hedge != RESUME_NO_ATTEMPT)
		return RESUME_WAIT;
	if (s->first_by_ms) {
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
 * Says whether a hedge that was started at started_ms, and has given nothing
 * yet, is lost too.  The caller then cancels it and reports it by
 * resume_attempt_lost(), so that the first attempt is judged again and another
 * hedge or a move follows.  Without this two silent engines in a row would
 * hold a stream for good.
 */
bool resume_hedge_lost(enum resume_health endpoint, uint64_t started_ms,
		       uint32_t expect_first_ms,
		       const struct resume_profile *profile, uint64_t now)
{
	uint64_t by = started_ms + expect_first_ms + profile->first_token_ms;

	return endpoint != RESUME_HEALTHY || now >= by;
}

/* Starts with the whole burst. */
void resume_budget_init(struct resume_budget *b,
			const struct resume_profile *profile)
{
	b->credit_milli = (uint64_t)profile->hedge_burst_tokens * MILLI;
}

/* Adds thousandths of a token, up to the burst. */
static void add_credit(struct resume_budget *b,
		       const struct resume_profile *profile, uint64_t milli)
{
	uint64_t max = (uint64_t)profile->hedge_burst_tokens * MILLI;

	b->credit_milli += milli;
	if (b->credit_milli > max)
		b->credit_milli = max;
}

/* Earns hedged prefill by tokens relayed. */
void resume_budget_relayed(struct resume_budget *b,
			   const struct resume_profile *profile,
			   uint32_t tokens)
{
	add_credit(b, profile, (uint64_t)tokens * profile->hedge_permille);
}

/*
 * Takes the prefill of one hedge out of the budget, or returns false: the
 * stream then waits until its endpoint counts as lost.
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
 * Gives back what a hedge did not waste: all of it if it won, since the move
 * was needed; if it lost, the prefill that it had not done when cancelled.
 */
void resume_budget_refund(struct resume_budget *b,
			  const struct resume_profile *profile, uint32_t tokens)
{
	add_credit(b, profile, (uint64_t)tokens * MILLI);
}
