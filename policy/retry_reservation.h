#ifndef POLICY_RETRY_RESERVATION_H
#define POLICY_RETRY_RESERVATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { RESERVATION_WAYS = 4 };

/* A refused request and the time at which its caller should retry. */
struct reservation {
	uint64_t digest; /* 0: unused */
	uint64_t due_ms;
};

struct reservation_table {
	uint32_t nsets; /* a power of two */
	struct reservation *slot;
};

void reservation_init(struct reservation_table *t, uint32_t max);
void reservation_release(struct reservation_table *t);
void reservation_add(struct reservation_table *t, uint64_t digest,
		     uint64_t due_ms);
bool reservation_redeem(struct reservation_table *t, uint64_t digest,
			uint64_t now);

#endif /* POLICY_RETRY_RESERVATION_H */
