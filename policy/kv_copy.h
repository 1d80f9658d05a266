#ifndef POLICY_KV_COPY_H
#define POLICY_KV_COPY_H

#include <stdbool.h>
#include <stdint.h>

/* The KV-cache copy of one run.  Times in ms. */
struct kv_copy_state {
	bool prefill_done; /* the prompt is read and events arrive */
	bool has_copy;
	bool ordered; /* the copy was made by an order and expires */
	uint64_t made_ms;
	uint64_t last_order_ms; /* 0: none */
};

bool kv_copy_due(const struct kv_copy_state *run, uint64_t now);

#endif /* POLICY_KV_COPY_H */
