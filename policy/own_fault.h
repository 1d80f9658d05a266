#ifndef POLICY_OWN_FAULT_H
#define POLICY_OWN_FAULT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define OWN_FAULT_ZONES 64

/* When endpoints of each zone last gave no answer to a connection, ms. */
struct own_fault {
	uint64_t silent_ms[OWN_FAULT_ZONES]; /* 0: never */
};

void own_fault_silence(struct own_fault *f, uint16_t zone, uint64_t now);
bool own_fault_likely(const struct own_fault *f, uint64_t now);

#endif /* POLICY_OWN_FAULT_H */
