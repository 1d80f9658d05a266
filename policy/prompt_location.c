/*
 * Records which endpoint read which prompt.  A caller whose stream broke
 * returns within a moment, to any instance.  The endpoint that read its prompt
 * still holds the KV cache, and the stream resumes after 0.1 s there instead of
 * the second that reading the prompt again takes.  Handles instances that are
 * killed, or whose connections are reset, with all their streams.
 */
#include "policy/prompt_location.h"

#include <stdlib.h>

#include "lib/xalloc.h"

#define WAYS 4

/* An engine evicts the least recently used KV cache; a run is over within this
 * time. */
#define KV_CACHE_HELD_MS 20000

/* Returns the set of slots that may hold a session. */
static struct prompt_location *set_of(const struct prompt_location_table *t,
				      uint64_t session)
{
	return &t->slot[(session & (t->nsets - 1)) * WAYS];
}

/* Allocates a table of about max locations. */
void prompt_location_init(struct prompt_location_table *t, uint32_t max)
{
	t->nsets = 1;
	while (t->nsets * WAYS < max)
		t->nsets *= 2;
	t->slot = xcalloc((size_t)t->nsets * WAYS, sizeof(*t->slot));
}

/* Frees the table. */
void prompt_location_release(struct prompt_location_table *t)
{
	free(t->slot);
}

/* Records that an endpoint has read a prompt, in place of an earlier record of
 * it.  If the set is full, the oldest record is replaced. */
void prompt_location_record(struct prompt_location_table *t, uint64_t session,
			    uint64_t endpoint, uint64_t now)
{
	struct prompt_location *set = set_of(t, session);
	struct prompt_location *slot = set;
	int i;

	for (i = 0; i < WAYS; i++) {
		if (set[i].session == session) {
			slot = &set[i];
			break;
		}
		if (set[i].read_ms < slot->read_ms)
			slot = &set[i];
	}
	*slot = (struct prompt_location){
		.session = session,
		.endpoint = endpoint,
		.read_ms = now,
	};
}

/* Returns the endpoint that holds a prompt's KV cache, 0 if none is known. */
uint64_t prompt_location_find(const struct prompt_location_table *t,
			      uint64_t session, uint64_t now)
{
	const struct prompt_location *set = set_of(t, session);
	int i;

	for (i = 0; i < WAYS; i++)
		if (set[i].session == session)
			return now - set[i].read_ms < KV_CACHE_HELD_MS
				       ? set[i].endpoint
				       : 0;
	return 0;
}
