/*
 * The budget of repeats: what all instances together send to a service beyond
 * the first time.  Each knows its own use and what the others last said of
 * theirs.  While much is left anyone may repeat; what is left at the end is
 * dealt out in equal parts, as the others' words are up to a second old.
 * Answers the pattern of a zone that is lost at a busy moment, when a few
 * instances have most of its streams and each is sent again.
 */
#include "policy/repeat.h"

#include <string.h>

/* Part of the budget that is used at all: windows slide, and others repeat at
 * the same moment without our knowing it yet. */
#define USED_PERMILLE 880

/* Below this part of the budget each instance keeps to its own share. */
#define COMMON_PERMILLE 350

/* Part of the budget that only losses may use. */
#define SPARE_PERMILLE 550

#define PERMILLE 1000

static struct repeat_balance balance_of(struct repeat_budget *b,
					const struct repeat_params *p,
					const struct repeat_others *others,
					uint64_t now);
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

/* Counts a request that was sent to an endpoint once more. */
void repeat_sent(struct repeat_budget *b, const struct repeat_params *p,
		 uint64_t now)
{
	advance(b, p, now);
	b->repeats[b->slot % REPEAT_SLOTS]++;
}

/* The request that was counted last found no connection. */
void repeat_not_sent(struct repeat_budget *b)
{
	if (b->repeats[b->slot % REPEAT_SLOTS])
		b->repeats[b->slot % REPEAT_SLOTS]--;
}

/* Tells whether a request that was lost may be sent once more, and by which
 * figures. */
bool repeat_allowed(struct repeat_budget *b, const struct repeat_params *p,
		    const struct repeat_others *others, uint64_t now,
		    struct repeat_balance *seen)
{
	struct repeat_balance s = balance_of(b, p, others, now);

	*seen = s;
	if (s.used >= s.allowed)
		return false;
	return s.own < s.share ||
	       (s.allowed - s.used) * PERMILLE >= s.allowed * COMMON_PERMILLE;
}

/* Tells whether enough is left that a request may be sent once more by choice
 * and not because of a loss. */
bool repeat_spare(struct repeat_budget *b, const struct repeat_params *p,
		  const struct repeat_others *others, uint64_t now)
{
	struct repeat_balance s = balance_of(b, p, others, now);

	return s.used < s.allowed &&
	       (s.allowed - s.used) * PERMILLE >= s.allowed * SPARE_PERMILLE;
}

/* Gives this instance's own counts within the window, for the others. */
void repeat_counts(struct repeat_budget *b, const struct repeat_params *p,
		   uint64_t now, uint32_t *requests, uint32_t *repeats)
{
	advance(b, p, now);
	*requests = sum(b->requests);
	*repeats = sum(b->repeats);
}

/* Reckons what is allowed and used. */
static struct repeat_balance balance_of(struct repeat_budget *b,
					const struct repeat_params *p,
					const struct repeat_others *others,
					uint64_t now)
{
	struct repeat_balance s;
	uint64_t slack = (uint64_t)p->slack * PERMILLE;

	advance(b, p, now);
	s.own = sum(b->repeats);
	s.used = s.own + others->repeats;
	s.allowed = ((uint64_t)sum(b->requests) + others->requests) *
			    p->ratio_permille +
		    slack;
	s.allowed = s.allowed * USED_PERMILLE / PERMILLE / PERMILLE;
	s.share = (uint64_t)sum(b->requests) * p->ratio_permille +
		  slack / (others->instances + 1);
	s.share = s.share * USED_PERMILLE / PERMILLE / PERMILLE;
	return s;
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
