#ifndef POLICY_LOCAL_FAULT_H
#define POLICY_LOCAL_FAULT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LOCAL_FAULT_ZONES 64

/* When an endpoint of each zone last left a connection unanswered, ms. */
struct local_fault {
	uint64_t last_timeout_ms[LOCAL_FAULT_ZONES]; /* 0: never */
};

void local_fault_record_timeout(struct local_fault *f, uint16_t zone,
				uint64_t now);
bool local_fault_likely(const struct local_fault *f, uint64_t now);

#endif /* POLICY_LOCAL_FAULT_H */
