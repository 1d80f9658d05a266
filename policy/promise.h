#ifndef POLICY_PROMISE_H
#define POLICY_PROMISE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { PROMISE_WAYS = 4 };

/* A refused request and when it was told to come back. */
struct promise {
	uint64_t digest; /* 0: unused */
	uint64_t due_ms;
};

struct promise_table {
	uint32_t nsets; /* a power of two */
	struct promise *slot;
};

void promise_init(struct promise_table *t, uint32_t max);
void promise_release(struct promise_table *t);
void promise_give(struct promise_table *t, uint64_t digest, uint64_t due_ms);
bool promise_keep(struct promise_table *t, uint64_t digest, uint64_t now);

#endif /* POLICY_PROMISE_H */
