#ifndef POLICY_PLANNED_STOP_H
#define POLICY_PLANNED_STOP_H

#include <stdbool.h>
#include <stdint.h>

/* A process that was told to stop, within a grace time after which it is
 * killed.  Times in ms. */
struct planned_stop {
	uint64_t signal_ms; /* 0: it was not */
	uint64_t grace_ms;
	uint64_t directory_ttl_ms; /* a directory's answer is to be kept so long */
};

bool planned_stop_ready(const struct planned_stop *s);
bool planned_stop_accepts(const struct planned_stop *s, uint64_t expected_ms, bool elsewhere,
		uint64_t now);
uint32_t planned_stop_retry_ms(const struct planned_stop *s);
bool planned_stop_must_abort(const struct planned_stop *s, uint64_t now);
bool planned_stop_may_exit(const struct planned_stop *s, uint64_t now, uint32_t open);

#endif /* POLICY_PLANNED_STOP_H */
