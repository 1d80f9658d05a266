/*
 * Decides about a run for which no endpoint has free capacity: it waits on this
 * instance if capacity is expected in time for its first event, and is refused
 * at once otherwise.  KV cache is freed at the rate at which runs end.  Handles
 * a burst of long prompts while a zone's engines are lost.
 */
#include "policy/capacity_wait.h"

/* A refused caller that returns at once finds the same queue; one that returns
 * late has lost the time that it had. */
#define RETRY_MIN_MS 250
#define RETRY_MAX_MS 2000

/* The first event may be this much later than estimated. */
#define MARGIN_MS 300

/* Beyond this wait, a retry is worth more than a place in the queue. */
#define WAIT_MAX_MS 2500

/* Decides whether a run without capacity waits or is refused. */
struct capacity_wait_decision capacity_wait_decide(
	const struct capacity_wait *r)
{
	struct capacity_wait_decision d = { .wait = false };
	uint64_t ahead = r->waiting_tokens + r->need_tokens;
	uint64_t wait = WAIT_MAX_MS + 1;
	uint64_t spent = (uint64_t)r->waited_ms + r->first_event_ms + MARGIN_MS;
	uint64_t left = r->target_ms > spent ? r->target_ms - spent : 0;

	if (r->used_tokens)
		wait = ahead * r->run_ms / r->used_tokens;
	if (left > WAIT_MAX_MS)
		left = WAIT_MAX_MS;
	if (wait <= left) {
		d.wait = true;
		d.wait_ms = (uint32_t)left;
		return d;
	}
	d.retry_after_ms = wait > RETRY_MAX_MS ? RETRY_MAX_MS : (uint32_t)wait;
	if (d.retry_after_ms < RETRY_MIN_MS)
		d.retry_after_ms = RETRY_MIN_MS;
	return d;
}

/* Estimates the time from a run's start to its first event, in ms: that of its
 * own prompt, and that of the prompts which are read at the same time and share
 * the engine's steps. */
uint32_t capacity_wait_first_event_ms(uint32_t prompt_tokens,
				      uint32_t ahead_tokens, float ms_per_token)
{
	uint32_t concurrent = ahead_tokens < prompt_tokens ? ahead_tokens
							   : prompt_tokens;

	uint32_t tokens =
		prompt_tokens + concurrent + (ahead_tokens - concurrent) / 2;

	return (uint32_t)((float)tokens * ms_per_token);
}
