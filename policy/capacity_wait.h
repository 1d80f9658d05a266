#ifndef POLICY_CAPACITY_WAIT_H
#define POLICY_CAPACITY_WAIT_H

#include <stdbool.h>
#include <stdint.h>

/* A run that finds no endpoint with enough free KV cache. */
struct capacity_wait {
	uint64_t used_tokens; /* KV cache in use at all endpoints that are up */
	uint64_t run_ms; /* usual duration of a run */
	uint64_t waiting_tokens; /* of the runs that wait already */
	uint32_t need_tokens;
	uint32_t first_event_ms; /* from the run's start to its first event */
	uint32_t target_ms; /* to the first event, from the arrival */
	uint32_t waited_ms; /* since the arrival */
};

struct capacity_wait_decision {
	bool wait;
	uint32_t wait_ms; /* longest wait, if wait */
	uint32_t retry_after_ms; /* if not wait */
};

struct capacity_wait_decision capacity_wait_decide(
	const struct capacity_wait *r);
uint32_t capacity_wait_first_event_ms(uint32_t prompt_tokens,
				      uint32_t ahead_tokens,
				      float ms_per_token);

#endif /* POLICY_CAPACITY_WAIT_H */
