/*
 * A run that no endpoint has room for: it waits here if room comes in time for
 * its first event, and is refused at once if not.  Memory at the endpoints
 * frees at the rate at which runs end.  Answers the pattern of a burst of long
 * prompts while a zone's engines are gone.
 */
#include "policy/capacity_wait.h"

/* A refused caller that comes back at once finds the same queue; one that
 * comes late has lost the time that it had. */
#define RETRY_MIN_MS 250
#define RETRY_MAX_MS 2000

/* The first event comes this much later than reckoned, at times. */
#define MARGIN_MS 300

/* Beyond this a place in the queue is worth less than another try. */
#define WAIT_MAX_MS 2500

/* Decides about a run without room. */
struct capacity_wait_decision capacity_wait_decide(const struct capacity_wait *r)
{
	struct capacity_wait_decision v = { .wait = false };
	uint64_t ahead = r->waiting_tokens + r->need_tokens;
	uint64_t wait = WAIT_MAX_MS + 1;
	uint64_t spent = (uint64_t)r->waited_ms + r->first_event_ms + MARGIN_MS;
	uint64_t left = r->target_ms > spent ? r->target_ms - spent : 0;

	if (r->used_tokens)
		wait = ahead * r->run_ms / r->used_tokens;
	if (left > WAIT_MAX_MS)
		left = WAIT_MAX_MS;
	if (wait <= left) {
		v.wait = true;
		v.wait_ms = (uint32_t)left;
		return v;
	}
	v.retry_after_ms = wait > RETRY_MAX_MS ? RETRY_MAX_MS : (uint32_t)wait;
	if (v.retry_after_ms < RETRY_MIN_MS)
		v.retry_after_ms = RETRY_MIN_MS;
	return v;
}

/* Reckons the time to a first event: the prompt itself, and those that are
 * read beside it and share the engine's steps. */
uint32_t capacity_wait_first_event_ms(uint32_t prompt_tokens, uint32_t ahead_tokens,
		       float ms_per_token)
{
	uint32_t beside = ahead_tokens < prompt_tokens ? ahead_tokens
						       : prompt_tokens;

	uint32_t tokens = prompt_tokens + beside + (ahead_tokens - beside) / 2;

	return (uint32_t)((float)tokens * ms_per_token);
}
