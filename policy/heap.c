/*
 * Binary heap of table indices.  heap_init() allocates all memory.  The key of
 * an item can be changed, and any item can be removed.
 */
#include "policy/heap.h"

#include <assert.h>
#include <stdlib.h>

#include "lib/xalloc.h"

static const uint32_t heap_absent = UINT32_MAX;

static void put(struct heap *h, uint32_t position, uint32_t item);
static void sift_up(struct heap *h, uint32_t position);
static void sift_down(struct heap *h, uint32_t position);

/* Initialises an empty heap for items 0 .. max - 1. */
void heap_init(struct heap *h, uint32_t max)
{
	uint32_t i;

	h->max = max;
	h->n = 0;
	h->item = xcalloc(max, sizeof(*h->item));
	h->position = xcalloc(max, sizeof(*h->position));
	h->key = xcalloc(max, sizeof(*h->key));
	for (i = 0; i < max; i++)
		h->position[i] = heap_absent;
}

/* Frees the memory of a heap. */
void heap_release(struct heap *h)
{
	free(h->item);
	free(h->position);
	free(h->key);
}

/* Returns whether item is in the heap. */
bool heap_has(const struct heap *h, uint32_t item)
{
	assert(item < h->max);
	return h->position[item] != heap_absent;
}

/* Stores item at a position. */
static void put(struct heap *h, uint32_t position, uint32_t item)
{
	h->item[position] = item;
	h->position[item] = position;
}

/* Moves the item at position up until the heap order holds. */
static void sift_up(struct heap *h, uint32_t position)
{
	uint32_t item = h->item[position];

	while (position) {
		uint32_t parent = (position - 1) / 2;

		if (h->key[h->item[parent]] <= h->key[item])
			break;
		put(h, position, h->item[parent]);
		position = parent;
	}
	put(h, position, item);
}

/* Moves the item at position down until the heap order holds. */
static void sift_down(struct heap *h, uint32_t position)
{
	uint32_t item = h->item[position];

	for (;;) {
		uint32_t child = 2 * position + 1;

		if (child >= h->n)
			break;
		if (child + 1 < h->n &&
		    h->key[h->item[child + 1]] < h->key[h->item[child]])
			child++;
		if (h->key[item] <= h->key[h->item[child]])
			break;
		put(h, position, h->item[child]);
		position = child;
	}
	put(h, position, item);
}

/* Adds item, or changes its key. */
void heap_set(struct heap *h, uint32_t item, double key)
{
	if (!heap_has(h, item))
		put(h, h->n++, item);
	h->key[item] = key;
	sift_up(h, h->position[item]);
	sift_down(h, h->position[item]);
}

/* Removes item, if it is in the heap. */
void heap_remove(struct heap *h, uint32_t item)
{
	uint32_t position, last;

	if (!heap_has(h, item))
		return;
	position = h->position[item];
	last = h->item[--h->n];
	h->position[item] = heap_absent;
	if (last == item)
		return;
	put(h, position, last);
	sift_up(h, position);
	sift_down(h, h->position[last]);
}

/*
 * Sets *item and *key to the item with the least key.  Returns false if the
 * heap is empty.
 */
bool heap_peek(const struct heap *h, uint32_t *item, double *key)
{
	if (!h->n)
		return false;
	*item = h->item[0];
	*key = h->key[*item];
	return true;
}
