/*
 * The budget of repeats: what all instances together send to a service beyond
 * the first time, in any window.  It is divided, so that nobody needs another's
 * word: a request allows repeats at the instance that it came to, and the slack
 * is shared equally by the instances that are listed, heard or not.  The parts
 * of all add up to no more than the whole, whatever is lost between instances.
 *
 * What an instance does not use it lends to one that asks.  A loan counts as used
 * at its lender from then on, as if it were sent at the last moment at which the
 * borrower may send it; a loan that is lost on the way is used by nobody.  The
 * borrower reckons that moment from when it asked, by its own clock, so that a
 * late answer lends for less time, not more.
 *
 * Answers the pattern of a zone that is lost at a busy moment, when a few
 * instances have most of its streams and each is to be sent again.
 *
 * A process that has just started may have taken the place of one whose repeats
 * lie in the window still.  Its part of the slack is due when they have left it;
 * until then it has what its own requests allow, and little more.
 */
#include "policy/repeat.h"

#include <string.h>

/* Parts of the window that the rule speaks of. */
#define WINDOW_PARTS 20

/* A repeat counts for so many parts more than the window: it may take so long to
 * arrive.  The current part is not over yet. */
#define ARRIVAL_PARTS 2
#define COUNTED_PARTS (WINDOW_PARTS + ARRIVAL_PARTS + 1)

/* A loan is taken within the first of these after it was asked for, and sent
 * within the second; the difference is how long a run waits for an endpoint. */
#define LOAN_TAKEN_PARTS 2
#define LOAN_PARTS 6

/* Part of what it has left that an instance lends. */
#define LENT_PERMILLE 500

/* Part of its share that an instance uses.  The rest is for processes that have
 * just started, two in a window in each place, so that a run which is lost there
 * may move. */
#define USED_PERMILLE 900
#define STARTING_PERMILLE 50

/* Part of the share that only losses may use. */
#define SPARE_PERMILLE 550

#define PERMILLE 1000

static struct repeat_share share_of(struct repeat_budget *b,
				    const struct repeat_params *p,
				    const struct repeat_group *sharers,
				    uint64_t now);
static uint32_t part_ms(const struct repeat_params *p);
static uint32_t settle_ms(const struct repeat_params *p);
static void advance(struct repeat_budget *b, const struct repeat_params *p,
		    uint64_t now);
static uint32_t sum(const struct repeat_budget *b, const uint32_t *counts,
		    uint32_t parts);

/* Notes how many instances are listed, this one included.  One that left counts
 * until what it sent has left the window. */
void repeat_group_update(struct repeat_group *s,
			   const struct repeat_params *p, uint32_t instances,
			   uint64_t now)
{
	uint64_t hold_ms = p->grace_ms + (uint64_t)settle_ms(p);

	if (!s->known_since_ms)
		s->known_since_ms = now;
	if (instances < s->instances && now - s->seen_ms <= hold_ms)
		return;
	s->instances = instances;
	s->seen_ms = now;
}

/* Counts a request that arrived for the service. */
void repeat_request(struct repeat_budget *b, const struct repeat_params *p,
		    uint64_t now)
{
	advance(b, p, now);
	b->requests[b->bucket % REPEAT_BUCKETS]++;
}

/* Takes one repeat out of the budget: it is held until it is sent or returned,
 * and counts as used meanwhile.  A loan goes first, as it lapses.  seen says by
 * which figures. */
enum repeat_token repeat_take(struct repeat_budget *b,
			      const struct repeat_params *p,
			      const struct repeat_group *sharers,
			      uint64_t now, struct repeat_share *seen)
{
	*seen = share_of(b, p, sharers, now);
	if (b->loan_left) {
		b->loan_left--;
		b->held++;
		return REPEAT_LENT;
	}
	if (seen->used >= seen->repeats)
		return REPEAT_NONE;
	b->held++;
	return REPEAT_OWN;
}

/* Tells whether enough is left that a request may be sent once more by choice
 * and not because of a loss. */
bool repeat_optional_allowed(struct repeat_budget *b, const struct repeat_params *p,
		  const struct repeat_group *sharers, uint64_t now)
{
	struct repeat_share s = share_of(b, p, sharers, now);
	uint32_t own = s.repeats - s.borrowed;

	return s.used < own && (uint64_t)(own - s.used) * PERMILLE >=
				       (uint64_t)own * SPARE_PERMILLE;
}

/* Lends what another instance wants, as far as this one can spare it; returns
 * how many repeats. */
uint32_t repeat_lend(struct repeat_budget *b, const struct repeat_params *p,
		     const struct repeat_group *sharers, uint32_t wanted,
		     uint64_t now)
{
	struct repeat_share s = share_of(b, p, sharers, now);
	uint32_t own = s.repeats - s.borrowed;
	uint32_t most = 0;

	if (s.used < own)
		most = ((own - s.used) * LENT_PERMILLE + PERMILLE / 2) /
		       PERMILLE;
	if (wanted > most)
		wanted = most;
	b->repeats[(b->bucket + LOAN_PARTS) % REPEAT_BUCKETS] += wanted;
	return wanted;
}

/* Takes a loan that was asked for at asked_ms; one that comes too late is of no
 * use. */
void repeat_add_loan(struct repeat_budget *b, const struct repeat_params *p,
		     uint32_t repeats, uint64_t asked_ms, uint64_t now)
{
	uint64_t until_ms = asked_ms + (uint64_t)LOAN_TAKEN_PARTS * part_ms(p);

	advance(b, p, now);
	if (now >= until_ms)
		return;
	if (b->loan_left) { /* goes with the new one, for the shorter time */
		b->borrowed[b->loan_bucket % REPEAT_BUCKETS] -= b->loan_left;
		if (b->loan_until_ms < until_ms)
			until_ms = b->loan_until_ms;
	}
	b->loan_left += repeats;
	b->loan_bucket = b->bucket;
	b->loan_until_ms = until_ms;
	b->borrowed[b->bucket % REPEAT_BUCKETS] += b->loan_left;
}

/* Gives back a repeat that was taken and will not be sent.  One of a loan is not
 * to be had again. */
void repeat_return(struct repeat_budget *b, enum repeat_token token)
{
	uint64_t i;

	if (b->held)
		b->held--;
	for (i = 0; token == REPEAT_LENT && i < COUNTED_PARTS && i <= b->bucket;
	     i++) {
		uint32_t *borrowed = &b->borrowed[(b->bucket - i) % REPEAT_BUCKETS];

		if (!*borrowed)
			continue;
		--*borrowed;
		return;
	}
}

/* A repeat that was taken is sent: it counts until it leaves the window. */
void repeat_sent(struct repeat_budget *b, const struct repeat_params *p,
		 uint64_t now)
{
	advance(b, p, now);
	repeat_return(b, REPEAT_OWN);
	b->repeats[b->bucket % REPEAT_BUCKETS]++;
}

/* A repeat that was sent at sent_ms found no connection: it is held again. */
void repeat_send_failed(struct repeat_budget *b, const struct repeat_params *p,
		     uint64_t sent_ms, uint64_t now)
{
	uint64_t part = sent_ms / part_ms(p);
	uint32_t *repeats = &b->repeats[part % REPEAT_BUCKETS];

	advance(b, p, now);
	if (part + REPEAT_BUCKETS - LOAN_PARTS > b->bucket && *repeats)
		--*repeats;
	b->held++;
}

/* This process stood still until now, for longer than a repeat is given to
 * arrive: what it sent shortly before may arrive only now and counts from now
 * on. */
void repeat_after_stall(struct repeat_budget *b, const struct repeat_params *p,
			uint64_t stall_ms, uint64_t now)
{
	uint64_t still = stall_ms / part_ms(p) + 1;
	uint32_t late = 0;
	uint64_t i;

	if (stall_ms <= ARRIVAL_PARTS * part_ms(p))
		return;
	advance(b, p, now);
	for (i = 0; i < still + ARRIVAL_PARTS &&
		    i < REPEAT_BUCKETS - LOAN_PARTS && i <= b->bucket;
	     i++) {
		uint32_t *repeats = &b->repeats[(b->bucket - i) % REPEAT_BUCKETS];

		late += *repeats;
		*repeats = 0;
	}
	b->repeats[b->bucket % REPEAT_BUCKETS] += late;
}

/* Reckons what is this instance's, and used. */
static struct repeat_share share_of(struct repeat_budget *b,
				    const struct repeat_params *p,
				    const struct repeat_group *sharers,
				    uint64_t now)
{
	struct repeat_share s = { 0 };
	uint64_t slack = 0;
	uint64_t own;

	advance(b, p, now);
	if (sharers->known_since_ms) {
		s.instances = sharers->instances;
		s.full_slack = now - sharers->known_since_ms >= settle_ms(p);
		slack = (uint64_t)p->slack *
			(s.full_slack ? USED_PERMILLE : STARTING_PERMILLE) /
			s.instances;
	}
	s.requests = sum(b, b->requests, WINDOW_PARTS);
	s.used = sum(b, b->repeats, COUNTED_PARTS) + b->held;
	s.borrowed = sum(b, b->borrowed, COUNTED_PARTS);
	own = (uint64_t)s.requests * p->ratio_permille * USED_PERMILLE /
		      PERMILLE +
	      slack;
	s.repeats = (uint32_t)(own / PERMILLE) + s.borrowed;
	return s;
}

/* Returns the length of a part of a window, ms. */
static uint32_t part_ms(const struct repeat_params *p)
{
	return p->window_ms < WINDOW_PARTS ? 1 : p->window_ms / WINDOW_PARTS;
}

/* Returns the time after which nothing counts of what an instance may send and
 * has lent now, ms. */
static uint32_t settle_ms(const struct repeat_params *p)
{
	return (COUNTED_PARTS + LOAN_PARTS) * part_ms(p);
}

/* Forgets the parts that are not kept any more, and a loan that was not taken in
 * time.  Parts ahead of the current one hold what was lent.  Counts of a window
 * of another length say nothing. */
static void advance(struct repeat_budget *b, const struct repeat_params *p,
		    uint64_t now)
{
	uint64_t part = now / part_ms(p);

	if (b->loan_left && now >= b->loan_until_ms) {
		b->borrowed[b->loan_bucket % REPEAT_BUCKETS] -= b->loan_left;
		b->loan_left = 0;
	}
	if (part >= b->bucket + REPEAT_BUCKETS || b->bucket_ms != part_ms(p)) {
		memset(b->requests, 0, sizeof(b->requests));
		memset(b->repeats, 0, sizeof(b->repeats));
		memset(b->borrowed, 0, sizeof(b->borrowed));
		b->loan_left = 0;
		b->bucket = part;
		b->bucket_ms = part_ms(p);
	}
	while (b->bucket < part) {
		uint64_t ahead = ++b->bucket + LOAN_PARTS;

		b->requests[ahead % REPEAT_BUCKETS] = 0;
		b->repeats[ahead % REPEAT_BUCKETS] = 0;
		b->borrowed[ahead % REPEAT_BUCKETS] = 0;
	}
}

/* Adds up the newest parts, those ahead and the current one included. */
static uint32_t sum(const struct repeat_budget *b, const uint32_t *counts,
		    uint32_t parts)
{
	uint64_t last = b->bucket + LOAN_PARTS;
	uint32_t total = 0;
	uint64_t i;

	for (i = 0; i < parts + LOAN_PARTS && i <= last; i++)
		total += counts[(last - i) % REPEAT_BUCKETS];
	return total;
}
