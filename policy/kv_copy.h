#ifndef POLICY_KV_COPY_H
#define POLICY_KV_COPY_H

#include <stdbool.h>
#include <stdint.h>

/* The copy of one run.  Times in ms. */
struct kv_copy_state {
	bool prefill_done; /* its prompt has been read and events come */
	bool has_copy;
	bool ordered; /* a copy made by an order, which lapses */
	uint64_t made_ms;
	uint64_t last_order_ms; /* last order; 0: none */
};

bool kv_copy_due(const struct kv_copy_state *run, uint64_t now);

#endif /* POLICY_KV_COPY_H */
