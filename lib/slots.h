#ifndef LIB_SLOTS_H
#define LIB_SLOTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Refers to an item of a table; generation 0 refers to none. */
struct handle {
	uint32_t index;
	uint32_t generation;
};

/* A table of equally sized items, referred to by handles. */
struct slots {
	unsigned char *items;
	uint32_t *generations; /* odd while the slot is in use */
	uint32_t *free_list;
	uint32_t n_free;
	uint32_t n; /* slots ever used */
	uint32_t size; /* slots allocated */
	uint32_t n_used;
	size_t item_size;
};

void slots_init(struct slots *t, size_t item_size);
void slots_release(struct slots *t);
void *slots_alloc(struct slots *t, struct handle *h);
void slots_free(struct slots *t, struct handle h);
void *slots_get(const struct slots *t, struct handle h);
void *slots_next(const struct slots *t, uint32_t *index, struct handle *h);
bool handle_is_none(struct handle h);
bool handle_equal(struct handle a, struct handle b);

#endif /* LIB_SLOTS_H */
