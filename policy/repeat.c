/*
 * The budget of repeats: what all instances together send to a service beyond
 * the first time.  Each keeps to its part of it without asking anyone, by its
 * own requests and an equal part of the slack.  Answers the pattern of a zone
 * that is lost at a busy moment, when every stream of it is sent again.
 */
#include "policy/repeat.h"

#include <string.h>

/* Part of the budget that is used: requests are counted at their arrival, the
 * judge's windows slide. */
#define USED_PERMILLE 850

/* Part of the budget that only losses may use. */
#define SPARE_PERMILLE 450

#define PERMILLE 1000

static void advance(struct repeat_budget *b, const struct repeat_params *p,
		    uint64_t now);
static uint32_t sum(const uint32_t *counts);

/* Counts a request that arrived for the service. */
void repeat_request(struct repeat_budget *b, const struct repeat_params *p,
		    uint64_t now)
{
	advance(b, p, now);
	b->requests[b->slot % REPEAT_SLOTS]++;
}

/* Takes one repeat; false if none is left. */
bool repeat_take(struct repeat_budget *b, const struct repeat_params *p,
		 uint32_t instances, uint64_t now)
{
	if (!repeat_left(b, p, instances, now))
		return false;
	b->repeats[b->slot % REPEAT_SLOTS]++;
	return true;
}

/* Tells whether enough is left that a repeat may be sent by choice and not
 * because of a loss. */
bool repeat_spare(struct repeat_budget *b, const struct repeat_params *p,
		  uint32_t instances, uint64_t now)
{
	uint32_t left = repeat_left(b, p, instances, now);
	uint32_t used = sum(b->repeats);

	return left && (uint64_t)left * PERMILLE >=
			       (uint64_t)(left + used) * SPARE_PERMILLE;
}

/* Returns the repeats that this instance may still send. */
uint32_t repeat_left(struct repeat_budget *b, const struct repeat_params *p,
		     uint32_t instances, uint64_t now)
{
	uint64_t allowed;
	uint32_t used;

	advance(b, p, now);
	if (!instances)
		instances = 1;
	allowed = (uint64_t)sum(b->requests) * p->ratio_permille +
		  (uint64_t)p->slack * PERMILLE / instances;
	allowed = allowed * USED_PERMILLE / PERMILLE / PERMILLE;
	used = sum(b->repeats);
	return allowed > used ? (uint32_t)(allowed - used) : 0;
}

/* Forgets the parts that have left the window. */
static void advance(struct repeat_budget *b, const struct repeat_params *p,
		    uint64_t now)
{
	uint64_t slot = now / (p->window_ms / REPEAT_SLOTS + 1);

	if (slot >= b->slot + REPEAT_SLOTS) {
		memset(b->requests, 0, sizeof(b->requests));
		memset(b->repeats, 0, sizeof(b->repeats));
		b->slot = slot;
	}
	while (b->slot < slot) {
		b->slot++;
		b->requests[b->slot % REPEAT_SLOTS] = 0;
		b->repeats[b->slot % REPEAT_SLOTS] = 0;
	}
}

/* Adds the parts of a window up. */
static uint32_t sum(const uint32_t *counts)
{
	uint32_t total = 0;
	int i;

	for (i = 0; i < REPEAT_SLOTS; i++)
		total += counts[i];
	return total;
}
