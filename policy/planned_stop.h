#ifndef POLICY_PLANNED_STOP_H
#define POLICY_PLANNED_STOP_H

#include <stdbool.h>
#include <stdint.h>

/* A process that received the signal to stop, and is killed at the end of a
 * grace time.  Times in ms. */
struct planned_stop {
	uint64_t signal_ms; /* time of the signal; 0: none yet */
	uint64_t grace_ms;
	uint64_t directory_ttl_ms; /* TTL of a directory's answer */
	bool over; /* the process has decided to exit */
};

/* A request that is about to be sent to an endpoint. */
struct planned_stop_request {
	uint64_t received_ms;
	uint64_t until_ms; /* its deadline or its route's timeout */
	uint64_t expected_ms; /* mean duration of such requests */
	bool repeatable; /* it may run again if it is cut */
	bool other_instance; /* another instance can take it */
};

bool planned_stop_ready(const struct planned_stop *s);
bool planned_stop_accepts(const struct planned_stop *s,
			  const struct planned_stop_request *r, uint64_t now);
uint32_t planned_stop_retry_ms(const struct planned_stop *s);
bool planned_stop_must_abort(const struct planned_stop *s, uint64_t now);
bool planned_stop_should_exit(const struct planned_stop *s, uint64_t now,
			      uint32_t open);

#endif /* POLICY_PLANNED_STOP_H */
