/*
 * Parts of prompts that were in crashed runs of one request.  Most of them never
 * are in those of another, and get no record (policy/crash_suspect.c): a prompt
 * may have thousands of parts, and must not push out the records of the
 * others.
 */
#include "policy/crash_sighting.h"

#include <stdlib.h>

#include "lib/xalloc.h"

#define WAYS 16

static struct crash_sighting *set_of(const struct crash_sightings *t,
				     uint64_t part);

/* Allocates a table of about max sightings. */
void crash_sightings_init(struct crash_sightings *t, size_t max)
{
	t->n_sets = 1;
	while (t->n_sets * WAYS < max)
		t->n_sets *= 2;
	t->slot = xcalloc(t->n_sets * WAYS, sizeof(*t->slot));
}

/* Frees the table. */
void crash_sightings_release(struct crash_sightings *t)
{
	free(t->slot);
}

/* Returns the sighting of a part if it is not older than since_ms, or NULL. */
struct crash_sighting *crash_sighting_find(const struct crash_sightings *t,
					   uint64_t part, uint64_t since_ms)
{
	struct crash_sighting *set = set_of(t, part);
	int i;

	for (i = 0; i < WAYS; i++)
		if (set[i].part == part && set[i].at_ms >= since_ms)
			return &set[i];
	return NULL;
}

/* Adds a sighting; it replaces that of the same part, or the oldest of its set,
 * which is counted if it is not older than since_ms. */
void crash_sighting_add(struct crash_sightings *t,
			const struct crash_sighting *s, uint64_t since_ms)
{
	struct crash_sighting *set = set_of(t, s->part);
	struct crash_sighting *slot = set;
	int i;

	for (i = 0; i < WAYS; i++) {
		if (set[i].part == s->part) {
			set[i] = *s;
			return;
		}
		if (set[i].at_ms < slot->at_ms)
			slot = &set[i];
	}
	t->forgotten += slot->part && slot->at_ms >= since_ms;
	*slot = *s;
}

/* Iterates over the sightings; *index starts at 0.  Returns NULL at the end. */
struct crash_sighting *crash_sighting_next(const struct crash_sightings *t,
					   size_t *index)
{
	while (*index < t->n_sets * WAYS) {
		struct crash_sighting *s = &t->slot[(*index)++];

		if (s->part)
			return s;
	}
	return NULL;
}

/* Returns the slots that may hold a part. */
static struct crash_sighting *set_of(const struct crash_sightings *t,
				     uint64_t part)
{
	return &t->slot[(part & (t->n_sets - 1)) * WAYS];
}
