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
static uint64_t slot_of(const struct repeat_params *p, uint64_t now);
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

/* Takes one repeat out of the budget: it is held until it is sent or returned,
 * and counts as used meanwhile.  Returns false if none is left; seen says by
 * which figures. */
bool repeat_take(struct repeat_budget *b, const struct repeat_params *p,
		 const struct repeat_others *others, uint64_t now,
		 struct repeat_balance *seen)
{
	struct repeat_balance s = balance_of(b, p, others, now);

	*seen = s;
	if (s.used >= s.allowed)
		return false;
	if (s.own >= s.share &&
	    (s.allowed - s.used) * PERMILLE < s.allowed * COMMON_PERMILLE)
		return false;
	b->held++;
	return true;
}

/* Gives back a repeat that was taken and will not be sent. */
void repeat_return(struct repeat_budget *b)
{
	if (b->held)
		b->held--;
}

/* A repeat that was taken is sent: it counts until it leaves the window. */
void repeat_sent(struct repeat_budget *b, const struct repeat_params *p,
		 uint64_t now)
{
	advance(b, p, now);
	repeat_return(b);
	b->repeats[b->slot % REPEAT_SLOTS]++;
}

/* A repeat that was sent at sent_ms found no connection: it is held again. */
void repeat_not_sent(struct repeat_budget *b, const struct repeat_params *p,
		     uint64_t sent_ms, uint64_t now)
{
	uint64_t slot = slot_of(p, sent_ms);
	uint32_t *repeats = &b->repeats[slot % REPEAT_SLOTS];

	advance(b, p, now);
	if (slot + REPEAT_SLOTS > b->slot && *repeats)
		--*repeats;
	b->held++;
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
	*repeats = sum(b->repeats) + b->held;
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
	s.own = sum(b->repeats) + b->held;
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

/* Returns the number of the part of a window that a time lies in. */
static uint64_t slot_of(const struct repeat_params *p, uint64_t now)
{
	return now / (p->window_ms / REPEAT_SLOTS + 1);
}

/* Forgets the parts that have left the window. */
static void advance(struct repeat_budget *b, const struct repeat_params *p,
		    uint64_t now)
{
	uint64_t slot = slot_of(p, now);

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
