#ifndef POLICY_SMALLEST_H
#define POLICY_SMALLEST_H

#include <stddef.h>
#include <stdint.h>

/* A candidate and its sort key. */
struct ranked {
	double key;
	uint32_t index;
};

void select_smallest(struct ranked *r, size_t n, size_t k);

#endif /* POLICY_SMALLEST_H */
