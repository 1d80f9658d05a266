/*
 * Table of requests that were refused with a Retry-After, so that a caller that
 * retries on time gets the capacity reserved for it.  The table is a
 * set-associative hash of fixed size.  A full set evicts the reservation due
 * first, and the evicted request is treated as new.
 */
#include "policy/retry_reservation.h"

#include <stdlib.h>

#include "lib/xalloc.h"

enum {
	RESERVATION_EARLY_MS = 1000, /* Retry-After is in whole seconds */
	RESERVATION_LATE_MS = 10000,
};

static struct reservation *set_of(const struct reservation_table *t,
				  uint64_t digest);

/* Initialises an empty table for at least max reservations. */
void reservation_init(struct reservation_table *t, uint32_t max)
{
	t->nsets = 1;
	while (t->nsets * RESERVATION_WAYS < max)
		t->nsets *= 2;
	t->slot =
		xcalloc((size_t)t->nsets * RESERVATION_WAYS, sizeof(*t->slot));
}

/* Frees the memory of a table. */
void reservation_release(struct reservation_table *t)
{
	free(t->slot);
}

/* Returns the set of RESERVATION_WAYS slots for digest. */
static struct reservation *set_of(const struct reservation_table *t,
				  uint64_t digest)
{
	return &t->slot[(digest & (t->nsets - 1)) * RESERVATION_WAYS];
}

/* Adds or renews the reservation of a request at due_ms. */
void reservation_add(struct reservation_table *t, uint64_t digest,
		     uint64_t due_ms)
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
 * Returns whether now is between RESERVATION_EARLY_MS before and
 * RESERVATION_LATE_MS after the request's reserved time, and removes the
 * reservation if so.
 */
bool reservation_redeem(struct reservation_table *t, uint64_t digest,
			uint64_t now)
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
