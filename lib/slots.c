/*
 * Tables of equally sized items that are referred to by handles.  A handle
 * holds the slot's generation, so that a stale handle finds no item rather
 * than the item that now uses the slot.  Items move when the table grows: a
 * pointer to an item is valid only until the next slots_alloc().
 */
#include "lib/slots.h"

#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"

#define SLOTS_INITIAL 16 /* slots of the first allocation */

static void grow(struct slots *t);

/* Makes t an empty table of items of item_size bytes. */
void slots_init(struct slots *t, size_t item_size)
{
	memset(t, 0, sizeof(*t));
	t->item_size = item_size;
}

/* Frees the table's memory; the caller releases what the items own. */
void slots_release(struct slots *t)
{
	free(t->items);
	free(t->generations);
	free(t->free_list);
	memset(t, 0, sizeof(*t));
}

/* Returns a new zeroed item and its handle. */
void *slots_alloc(struct slots *t, struct handle *h)
{
	uint32_t i;
	void *item;

	if (t->n_free) {
		i = t->free_list[--t->n_free];
	} else {
		if (t->n == t->size)
			grow(t);
		i = t->n++;
		t->generations[i] = 0;
	}
	t->generations[i]++;
	t->n_used++;
	h->index = i;
	h->generation = t->generations[i];
	item = t->items + i * t->item_size;
	memset(item, 0, t->item_size);
	return item;
}

/* Frees the item of handle h; a stale handle is ignored. */
void slots_free(struct slots *t, struct handle h)
{
	if (!slots_get(t, h))
		return;
	t->generations[h.index]++;
	t->free_list[t->n_free++] = h.index;
	t->n_used--;
}

/* Returns the item of handle h, or NULL if it was freed. */
void *slots_get(const struct slots *t, struct handle h)
{
	if (h.index >= t->n || !(h.generation & 1) ||
	    t->generations[h.index] != h.generation)
		return NULL;
	return t->items + h.index * t->item_size;
}

/*
 * Returns the first item at or after slot *index, sets *h to its handle and
 * moves *index past it; returns NULL at the end.  h may be NULL.  Items may be
 * freed during the iteration.
 */
void *slots_next(const struct slots *t, uint32_t *index, struct handle *h)
{
	while (*index < t->n) {
		uint32_t i = (*index)++;

		if (!(t->generations[i] & 1))
			continue;
		if (h) {
			h->index = i;
			h->generation = t->generations[i];
		}
		return t->items + i * t->item_size;
	}
	return NULL;
}

/* Reports whether h is the null handle, which no item has. */
bool handle_is_none(struct handle h)
{
	return h.generation == 0;
}

/* Reports whether two handles refer to the same item. */
bool handle_equal(struct handle a, struct handle b)
{
	return a.index == b.index && a.generation == b.generation;
}

/* Doubles the number of allocated slots. */
static void grow(struct slots *t)
{
	t->size = t->size ? t->size * 2 : SLOTS_INITIAL;
	t->items = xreallocarray(t->items, t->size, t->item_size);
	t->generations =
		xreallocarray(t->generations, t->size, sizeof(*t->generations));
	t->free_list =
		xreallocarray(t->free_list, t->size, sizeof(*t->free_list));
}
