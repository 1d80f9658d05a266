/*
 * The parts of a prompt, as a request and the runs of it that broke share them.
 * Their number is bounded by the size of a request's head alone.
 */
#include "policy/prompt_parts.h"

#include <assert.h>
#include <stdlib.h>

#include "lib/xalloc.h"

static uint32_t *slot_of(const struct prompt_parts *p, uint64_t hash);

/* Creates a list for up to max parts, with one reference. */
struct prompt_parts *prompt_parts_new(size_t max)
{
	struct prompt_parts *p = xcalloc(1, sizeof(*p));

	p->refs = 1;
	p->max = max;
	p->n_slots = 2;
	while (p->n_slots < 2 * max)
		p->n_slots *= 2;
	p->hash = xcalloc(max, sizeof(*p->hash));
	p->slot = xcalloc(p->n_slots, sizeof(*p->slot));
	return p;
}

/* Adds a part, unless it is there already. */
void prompt_parts_add(struct prompt_parts *p, uint64_t hash)
{
	uint32_t *slot = slot_of(p, hash);

	if (*slot)
		return;
	assert(p->n < p->max);
	p->hash[p->n++] = hash;
	*slot = (uint32_t)p->n;
}

/* Adds a reference; p may be NULL. */
struct prompt_parts *prompt_parts_ref(struct prompt_parts *p)
{
	if (p)
		p->refs++;
	return p;
}

/* Releases a reference, and frees the list with the last one; p may be NULL. */
void prompt_parts_unref(struct prompt_parts *p)
{
	if (!p || --p->refs)
		return;
	free(p->hash);
	free(p->slot);
	free(p);
}

/* Returns the number of parts. */
size_t prompt_parts_count(const struct prompt_parts *p)
{
	return p ? p->n : 0;
}

/* Returns whether a part is among them. */
bool prompt_parts_has(const struct prompt_parts *p, uint64_t hash)
{
	return p && *slot_of(p, hash);
}

/* Returns the slot of a part, or the free one where it belongs.  At least half
 * of the slots are free. */
static uint32_t *slot_of(const struct prompt_parts *p, uint64_t hash)
{
	size_t i = hash & (p->n_slots - 1);

	while (p->slot[i] && p->hash[p->slot[i] - 1] != hash)
		i = (i + 1) & (p->n_slots - 1);
	return &p->slot[i];
}
