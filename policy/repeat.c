/*
 * The budget of repeats: limits how many requests all instances together send
 * to a service again within any window.  It is divided in advance, so that no
 * instance depends on a message from another: each request allows repeats at
 * the instance where it arrived, and the slack is shared equally by the listed
 * instances, whether or not they can be reached.  The shares add up to no more
 * than the whole, whatever messages are lost between instances.
 *
 * An instance lends what it does not use to an instance that asks.  A loan
 * counts as used at its lender from then on, as if it were sent at the last
 * moment at which the borrower may send it; a loan that is lost on the way is
 * not used at all.  The borrower computes that moment by its own clock from the
 * time when it asked, so that a late answer shortens the loan and does not
 * extend it.
 *
 * Handles the loss of a zone at a busy moment, when a few instances have most
 * of its streams and each stream has to be sent again.
 *
 * A process that has just started may replace one whose repeats are still
 * within the window.  It gets its part of the slack when they have left the
 * window; until then it has what its own requests allow, and a small part of
 * the slack.
 */
#include "policy/repeat.h"

#include <string.h>

/* Buckets in the window of the limit. */
#define WINDOW_BUCKETS 20

/* A repeat counts for this many buckets beyond the window, the time that it may
 * take to arrive.  One more bucket is counted, as the current one is not
 * complete. */
#define ARRIVAL_BUCKETS 2
#define COUNTED_BUCKETS (WINDOW_BUCKETS + ARRIVAL_BUCKETS + 1)

/* A loan has to be taken within the first of these times after it was asked
 * for, and sent within the second; the difference is how long a run waits for
 * an endpoint. */
#define LOAN_TAKE_BUCKETS 2
#define LOAN_BUCKETS 6

/* Part of its unused share that an instance lends. */
#define LENT_PERMILLE 500

/* Part of its share that an instance uses.  The rest is for processes that have
 * just started, up to two per instance and window, so that each can repeat a
 * run that is lost there. */
#define USED_PERMILLE 900
#define STARTING_PERMILLE 50

/* Part of the share that is reserved for losses. */
#define LOSS_RESERVE_PERMILLE 550

#define PERMILLE 1000

static struct repeat_share compute_share(struct repeat_budget *b,
					 const struct repeat_params *p,
					 const struct repeat_group *group,
					 uint64_t now);
static uint32_t bucket_ms(const struct repeat_params *p);
static uint32_t turnover_ms(const struct repeat_params *p);
static void advance(struct repeat_budget *b, const struct repeat_params *p,
		    uint64_t now);
static uint32_t sum(const struct repeat_budget *b, const uint32_t *counts,
		    uint32_t buckets);

/* Records how many instances are listed, this one included.  An instance that
 * left counts until its repeats have left the window. */
void repeat_group_update(struct repeat_group *s, const struct repeat_params *p,
			 uint32_t instances, uint64_t now)
{
	uint64_t hold_ms = p->grace_ms + (uint64_t)turnover_ms(p);

	if (!s->known_since_ms)
		s->known_since_ms = now;
	if (instances < s->instances && now - s->seen_ms <= hold_ms)
		return;
	s->instances = instances;
	s->seen_ms = now;
}

/* Counts a request that arrived for the service. */
void repeat_count_request(struct repeat_budget *b,
			  const struct repeat_params *p, uint64_t now)
{
	advance(b, p, now);
	b->requests[b->bucket % REPEAT_BUCKETS]++;
}

/* Takes one repeat out of the budget.  It is held until it is sent or returned,
 * and counts as used meanwhile.  A loan is used first, as it expires.  Sets
 * seen to the figures of the decision. */
enum repeat_token repeat_take(struct repeat_budget *b,
			      const struct repeat_params *p,
			      const struct repeat_group *group, uint64_t now,
			      struct repeat_share *seen)
{
	*seen = compute_share(b, p, group, now);
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

/* Returns whether enough budget is left to send a request again for an optional
 * reason, that is, not because of a loss. */
bool repeat_optional_allowed(struct repeat_budget *b,
			     const struct repeat_params *p,
			     const struct repeat_group *group, uint64_t now)
{
	struct repeat_share s = compute_share(b, p, group, now);
	uint32_t own = s.repeats - s.borrowed;

	return s.used < own && (uint64_t)(own - s.used) * PERMILLE >=
				       (uint64_t)own * LOSS_RESERVE_PERMILLE;
}

/* Lends up to wanted repeats to another instance, as far as this one can spare
 * them; returns the number lent. */
uint32_t repeat_lend(struct repeat_budget *b, const struct repeat_params *p,
		     const struct repeat_group *group, uint32_t wanted,
		     uint64_t now)
{
	struct repeat_share s = compute_share(b, p, group, now);
	uint32_t own = s.repeats - s.borrowed;
	uint32_t most = 0;

	if (s.used < own)
		most = ((own - s.used) * LENT_PERMILLE + PERMILLE / 2) /
		       PERMILLE;
	if (wanted > most)
		wanted = most;
	b->repeats[(b->bucket + LOAN_BUCKETS) % REPEAT_BUCKETS] += wanted;
	return wanted;
}

/* Adds a loan that was asked for at asked_ms; a loan that arrives too late is
 * dropped. */
void repeat_add_loan(struct repeat_budget *b, const struct repeat_params *p,
		     uint32_t repeats, uint64_t asked_ms, uint64_t now)
{
	uint64_t until_ms =
		asked_ms + (uint64_t)LOAN_TAKE_BUCKETS * bucket_ms(p);

	advance(b, p, now);
	if (now >= until_ms)
		return;
	if (b->loan_left) { /* merged, with the earlier expiry */
		b->borrowed[b->loan_bucket % REPEAT_BUCKETS] -= b->loan_left;
		if (b->loan_until_ms < until_ms)
			until_ms = b->loan_until_ms;
	}
	b->loan_left += repeats;
	b->loan_bucket = b->bucket;
	b->loan_until_ms = until_ms;
	b->borrowed[b->bucket % REPEAT_BUCKETS] += b->loan_left;
}

/* Returns a repeat that was taken and will not be sent.  One from a loan is not
 * available again. */
void repeat_return(struct repeat_budget *b, enum repeat_token token)
{
	uint64_t i;

	if (b->held)
		b->held--;
	for (i = 0;
	     token == REPEAT_LENT && i < COUNTED_BUCKETS && i <= b->bucket;
	     i++) {
		uint32_t *borrowed =
			&b->borrowed[(b->bucket - i) % REPEAT_BUCKETS];

		if (!*borrowed)
			continue;
		--*borrowed;
		return;
	}
}

/* Records that a repeat that was taken is sent: it counts until it leaves the
 * window. */
void repeat_sent(struct repeat_budget *b, const struct repeat_params *p,
		 uint64_t now)
{
	advance(b, p, now);
	repeat_return(b, REPEAT_OWN);
	b->repeats[b->bucket % REPEAT_BUCKETS]++;
}

/* Records that a repeat sent at sent_ms found no connection: it is held
 * again. */
void repeat_send_failed(struct repeat_budget *b, const struct repeat_params *p,
			uint64_t sent_ms, uint64_t now)
{
	uint64_t bucket = sent_ms / bucket_ms(p);
	uint32_t *repeats = &b->repeats[bucket % REPEAT_BUCKETS];

	advance(b, p, now);
	if (bucket + REPEAT_BUCKETS - LOAN_BUCKETS > b->bucket && *repeats)
		--*repeats;
	b->held++;
}

/* Adjusts the budget after this process stalled for stall_ms until now.  After
 * a stall longer than the time allowed for arrival, what was sent shortly
 * before it may arrive only now, and counts from now on. */
void repeat_after_stall(struct repeat_budget *b, const struct repeat_params *p,
			uint64_t stall_ms, uint64_t now)
{
	uint64_t stall_buckets = stall_ms / bucket_ms(p) + 1;
	uint32_t late = 0;
	uint64_t i;

	if (stall_ms <= ARRIVAL_BUCKETS * bucket_ms(p))
		return;
	advance(b, p, now);
	for (i = 0; i < stall_buckets + ARRIVAL_BUCKETS &&
		    i < REPEAT_BUCKETS - LOAN_BUCKETS && i <= b->bucket;
	     i++) {
		uint32_t *repeats =
			&b->repeats[(b->bucket - i) % REPEAT_BUCKETS];

		late += *repeats;
		*repeats = 0;
	}
	b->repeats[b->bucket % REPEAT_BUCKETS] += late;
}

/* Computes this instance's share and how much of it is used. */
static struct repeat_share compute_share(struct repeat_budget *b,
					 const struct repeat_params *p,
					 const struct repeat_group *group,
					 uint64_t now)
{
	struct repeat_share s = { 0 };
	uint64_t slack = 0;
	uint64_t own;

	advance(b, p, now);
	if (group->known_since_ms) {
		s.instances = group->instances;
		s.full_slack = now - group->known_since_ms >= turnover_ms(p);
		slack = (uint64_t)p->slack *
			(s.full_slack ? USED_PERMILLE : STARTING_PERMILLE) /
			s.instances;
	}
	s.requests = sum(b, b->requests, WINDOW_BUCKETS);
	s.used = sum(b, b->repeats, COUNTED_BUCKETS) + b->held;
	s.borrowed = sum(b, b->borrowed, COUNTED_BUCKETS);
	own = (uint64_t)s.requests * p->ratio_permille * USED_PERMILLE /
		      PERMILLE +
	      slack;
	s.repeats = (uint32_t)(own / PERMILLE) + s.borrowed;
	return s;
}

/* Returns the length of a bucket, in ms. */
static uint32_t bucket_ms(const struct repeat_params *p)
{
	return p->window_ms < WINDOW_BUCKETS ? 1
					     : p->window_ms / WINDOW_BUCKETS;
}

/* Returns the time after which nothing that an instance may send or has lent
 * now counts any more, in ms. */
static uint32_t turnover_ms(const struct repeat_params *p)
{
	return (COUNTED_BUCKETS + LOAN_BUCKETS) * bucket_ms(p);
}

/* Moves on to the current bucket: clears the buckets that are no longer kept,
 * and drops a loan that was not taken in time.  Buckets ahead of the current
 * one hold what was lent.  After a change of the window's length all counts are
 * dropped, since they were counted in buckets of another length. */
static void advance(struct repeat_budget *b, const struct repeat_params *p,
		    uint64_t now)
{
	uint64_t bucket = now / bucket_ms(p);

	if (b->loan_left && now >= b->loan_until_ms) {
		b->borrowed[b->loan_bucket % REPEAT_BUCKETS] -= b->loan_left;
		b->loan_left = 0;
	}
	if (bucket >= b->bucket + REPEAT_BUCKETS ||
	    b->bucket_ms != bucket_ms(p)) {
		memset(b->requests, 0, sizeof(b->requests));
		memset(b->repeats, 0, sizeof(b->repeats));
		memset(b->borrowed, 0, sizeof(b->borrowed));
		b->loan_left = 0;
		b->bucket = bucket;
		b->bucket_ms = bucket_ms(p);
	}
	while (b->bucket < bucket) {
		uint64_t ahead = ++b->bucket + LOAN_BUCKETS;

		b->requests[ahead % REPEAT_BUCKETS] = 0;
		b->repeats[ahead % REPEAT_BUCKETS] = 0;
		b->borrowed[ahead % REPEAT_BUCKETS] = 0;
	}
}

/* Returns the sum of the newest buckets, including the current one and those
 * ahead. */
static uint32_t sum(const struct repeat_budget *b, const uint32_t *counts,
		    uint32_t buckets)
{
	uint64_t last = b->bucket + LOAN_BUCKETS;
	uint32_t total = 0;
	uint64_t i;

	for (i = 0; i < buckets + LOAN_BUCKETS && i <= last; i++)
		total += counts[(last - i) % REPEAT_BUCKETS];
	return total;
}
