/*
 * Requests that were refused with a Retry-After, so that one that comes back
 * when it was told to finds the room kept for it.  The table is of fixed size
 * and forgets the promise due first: a forgotten request is treated as new.
 */
#include "policy/promise.h"

#include <stdlib.h>

#include "lib/xalloc.h"

enum {
	PROMISE_EARLY_MS = 1000, /* Retry-After is in whole seconds */
	PROMISE_LATE_MS = 10000,
};

static struct promise *set_of(const struct promise_table *t, uint64_t digest);

/* Takes memory for about max promises. */
void promise_init(struct promise_table *t, uint32_t max)
{
	t->nsets = 1;
	while (t->nsets * PROMISE_WAYS < max)
		t->nsets *= 2;
	t->slot = xcalloc((size_t)t->nsets * PROMISE_WAYS, sizeof(*t->slot));
}

/* Frees what promise_init() took. */
void promise_release(struct promise_table *t)
{
	free(t->slot);
}

/* The slots where digest may stand. */
static struct promise *set_of(const struct promise_table *t, uint64_t digest)
{
	return &t->slot[(digest & (t->nsets - 1)) * PROMISE_WAYS];
}

/* Notes that the request was told to come back at due_ms. */
void promise_give(struct promise_table *t, uint64_t digest, uint64_t due_ms)
{
	struct promise *set = set_of(t, digest);
	struct promise *slot = set;
	int i;

	if (!digest)
		return;
	for (i = 0; i < PROMISE_WAYS; i++) {
		if (set[i].digest == digest) {
			slot = &set[i];
			break;
		}
		if (set[i].due_ms < slot->due_ms)
			slot = &set[i];
	}
	slot->digest = digest;
	slot->due_ms = due_ms;
}

/*
 * Says whether the request comes back when it was told to, and forgets the
 * promise if so.
 */
bool promise_keep(struct promise_table *t, uint64_t digest, uint64_t now)
{
	struct promise *set = set_of(t, digest);
	int i;

	for (i = 0; digest && i < PROMISE_WAYS; i++) {
		if (set[i].digest != digest)
			continue;
		if (now + PROMISE_EARLY_MS < set[i].due_ms)
			return false;
		if (now > set[i].due_ms + PROMISE_LATE_MS)
			return false;
		set[i].digest = 0;
		set[i].due_ms = 0;
		return true;
	}
	return false;
}
