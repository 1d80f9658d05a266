#ifndef POLICY_COPY_H
#define POLICY_COPY_H

#include <stdbool.h>
#include <stdint.h>

/* The copy of one run.  Times in ms. */
struct copy_run {
	bool begun; /* its prompt has been read and events come */
	bool has_copy;
	bool ordered; /* a copy made by an order, which lapses */
	uint64_t made_ms;
	uint64_t tried_ms; /* last order; 0: none */
};

bool copy_due(const struct copy_run *run, uint64_t now);

#endif /* POLICY_COPY_H */
