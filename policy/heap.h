#ifndef POLICY_HEAP_H
#define POLICY_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Binary heap of items 0 .. max - 1, least key first.  Each item is in the heap
 * at most once.
 */
struct heap {
	uint32_t max;
	uint32_t n;
	uint32_t *item; /* by position */
	uint32_t *position; /* by item; UINT32_MAX if not in the heap */
	double *key; /* by item */
};

enum { HEAP_BYTES_PER_ITEM = 2 * sizeof(uint32_t) + sizeof(double) };

void heap_init(struct heap *h, uint32_t max);
void heap_release(struct heap *h);
bool heap_has(const struct heap *h, uint32_t item);
void heap_set(struct heap *h, uint32_t item, double key);
void heap_remove(struct heap *h, uint32_t item);
bool heap_peek(const struct heap *h, uint32_t *item, double *key);

#endif /* POLICY_HEAP_H */
