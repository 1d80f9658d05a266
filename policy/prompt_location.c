/*
 * Which endpoint read which prompt.  A caller whose stream broke comes back
 * within a moment, to any instance; where the prompt was read its memory is
 * still held, and the stream goes on after a tenth of a second and not after the
 * second that reading it again takes.  Answers the pattern of instances that are
 * killed, or whose connections are reset, with all their streams.
 */
#include "policy/prompt_location.h"

#include <stdlib.h>

#include "lib/xalloc.h"

#define WAYS 4

/* An engine gives up the memory that was used longest ago; a run takes less
 * time than this. */
#define HELD_MS 20000

/* Returns the slots where a session may stand. */
static struct prompt_location *set_of(const struct prompt_location_table *t,
				   uint64_t session)
{
	return &t->slot[(session & (t->nsets - 1)) * WAYS];
}

/* Takes memory for about max places. */
void prompt_location_init(struct prompt_location_table *t, uint32_t max)
{
	t->nsets = 1;
	while (t->nsets * WAYS < max)
		t->nsets *= 2;
	t->slot = xcalloc((size_t)t->nsets * WAYS, sizeof(*t->slot));
}

/* Frees what prompt_location_init() took. */
void prompt_location_release(struct prompt_location_table *t)
{
	free(t->slot);
}

/* Notes that an endpoint has read a prompt; the last word counts.  Where there
 * is no room the place that was noted first goes. */
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

/* Returns the endpoint that holds a prompt's memory, 0 if none is known. */
uint64_t prompt_location_find(const struct prompt_location_table *t, uint64_t session,
			    uint64_t now)
{
	const struct prompt_location *set = set_of(t, session);
	int i;

	for (i = 0; i < WAYS; i++)
		if (set[i].session == session)
			return now - set[i].read_ms < HELD_MS ? set[i].endpoint
							      : 0;
	return 0;
}
