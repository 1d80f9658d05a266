#ifndef POLICY_STOP_H
#define POLICY_STOP_H

#include <stdbool.h>
#include <stdint.h>

/* A process that was told to stop, within a grace time after which it is
 * killed.  Times in ms. */
struct stop {
	uint64_t told_ms; /* 0: it was not */
	uint64_t grace_ms;
	uint64_t named_ms; /* a directory's answer is to be kept so long */
};

bool stop_ready(const struct stop *s);
bool stop_takes(const struct stop *s, uint64_t expected_ms, bool elsewhere,
		uint64_t now);
uint32_t stop_retry_ms(const struct stop *s);
bool stop_cuts(const struct stop *s, uint64_t now);
bool stop_ends(const struct stop *s, uint64_t now, uint32_t open);

#endif /* POLICY_STOP_H */
