/*
 * Requests that were refused with a Retry-After, so that one that comes back
 * when it was told to finds the room kept for it.  The table is of fixed size
 * and forgets the promise due first: a forgotten request is treated as new.
 */
#include "policy/retry_reservation.h"

#include <stdlib.h>

#include "lib/xalloc.h"

enum {
	RESERVATION_EARLY_MS = 1000, /* Retry-After is in whole seconds */
	RESERVATION_LATE_MS = 10000,
};

static struct reservation *set_of(const struct reservation_table *t, uint64_t digest);

/* Takes memory for about max promises. */
void reservation_init(struct reservation_table *t, uint32_t max)
{
	t->nsets = 1;
	while (t->nsets * RESERVATION_WAYS < max)
		t->nsets *= 2;
	t->slot = xcalloc((size_t)t->nsets * RESERVATION_WAYS, sizeof(*t->slot));
}

/* Frees what reservation_init() took. */
void reservation_release(struct reservation_table *t)
{
	free(t->slot);
}

/* The slots where digest may stand. */
static struct reservation *set_of(const struct reservation_table *t, uint64_t digest)
{
	return &t->slot[(digest & (t->nsets - 1)) * RESERVATION_WAYS];
}

/* Notes that the request was told to come back at due_ms. */
void reservation_add(struct reservation_table *t, uint64_t digest, uint64_t due_ms)
{
	struct reservation *set = set_of(t, digest);
	struct reservation *slot = set;
	int i;

	if (!digest)
		return;
	for (i = 0; i < RESERVATION_WAYS; i++) {
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
bool reservation_redeem(struct reservation_table *t, uint64_t digest, uint64_t now)
{
	struct reservation *set = set_of(t, digest);
	int i;

	for (i = 0; digest && i < RESERVATION_WAYS; i++) {
		if (set[i].digest != digest)
			continue;
		if (now + RESERVATION_EARLY_MS < set[i].due_ms)
			return false;
		if (now > set[i].due_ms + RESERVATION_LATE_MS)
			return false;
		set[i].digest = 0;
		set[i].due_ms = 0;
		return true;
	}
	return false;
}
