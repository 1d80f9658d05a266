/*
 * Limits of endpoints on the requests per second from all instances together.
 *
 * The limit is divided in advance among a few of the listed instances, its
 * holders, so that the sum stays within it whatever messages are lost.  Each
 * holder has a token bucket, whose tokens are called permits.  There are few
 * holders because a bucket must hold a whole permit to be of use: hundreds of
 * buckets could release hundreds of permits at once.  The other instances, and
 * holders with more requests than permits, borrow from holders; a permit that
 * is lent is gone from its lender's bucket, so that a lost loan is not used at
 * all.
 *
 * The holders that are not silent use more than their part, up to
 * TAKEOVER_PERCENT of it, in place of those that are.  A silent instance may
 * still send its own part, so that the sum may reach TAKEOVER_PERCENT of the
 * limit.
 *
 * A limit ends with an answer that names none.  Answers may overtake each
 * other: only an answer to a request that was sent after the limit was last
 * named is certain to be newer.  The rate then rises over some time, as an
 * endpoint that has just recovered is overloaded again by all the requests that
 * went elsewhere.
 */
#include "policy/request_limit.h"

#include <math.h>

#include "policy/pair_hash.h"

/* Holders, of which each can send a request at any time, and further holders
 * per request per second. */
#define HOLDERS_MIN 3
#define HOLDERS_PER_S 0.25

/* Time for which a bucket collects permits, if that is more than one permit. */
#define BURST_MS 250

#define TAKEOVER_PERCENT 125

/* An instance that becomes a holder, or has not been listed before, waits this
 * long: until the others have heard
 * of the change that made it one, the one whose place it takes may still send
 * its part. */
#define HANDOVER_MS 2000

/* An instance asks others for permits this often at most, more seldom among
 * many instances, as all of them ask the same few. */
#define ASK_INTERVAL_MS 20
#define ASK_INTERVAL_PER_INSTANCE_MS 4

/* Least time between two messages that the value of a limit is lower, or
 * higher. */
#define TELL_LOWER_MS 300
#define TELL_HIGHER_MS 1000

/* A loan may be used until this time after it was asked for. */
#define LOAN_MS 300

/* A lower limit counts as this many requests per second, so that some request
 * shows when the limit ends. */
#define PER_S_MIN 0.25

/* A higher limit counts as this one. */
#define PER_S_MAX 1e6

/* After the end of a limit the rate doubles in this time, from at least
 * RISE_FROM_PER_S on, and is free after RISE_MS. */
#define RISE_DOUBLING_MS 500
#define RISE_FROM_PER_S 1
#define RISE_MS 2500

/* A message of another instance that a limit is named is older than the end of
 * the limit, unless it is newer by more than this: the time that it took is not
 * included in the age that it states. */
#define MESSAGE_MS 100

#define MS_PER_S 1000
#define PERCENT 100
#define WHOLE 0.999999 /* of a permit, after rounding */

static double part_per_s(const struct request_limit *l,
			 const struct request_limit_part *part, uint64_t now);
static double bucket_size(double per_s);
static void fill(struct request_limit *l, const struct request_limit_part *part,
		 uint64_t now);
static uint32_t whole_permits(const struct request_limit *l);

/* Returns among how many of the listed instances a limit is divided. */
uint32_t request_limit_holders(double per_s, uint32_t instances)
{
	double holders = HOLDERS_MIN + floor(per_s * HOLDERS_PER_S);

	if (!instances)
		return 1;
	return holders < instances ? (uint32_t)holders : instances;
}

/* Returns the weight by which instances are ranked for an endpoint; the one with
 * the greatest is the first. */
uint64_t request_limit_weight(uint64_t endpoint, uint64_t instance)
{
	return pair_hash(endpoint, instance);
}

/* Updates this instance's part after a change of the instances, or of the
 * number of holders. */
void request_limit_divide(struct request_limit_part *part,
			  const struct request_limit_instances *seen,
			  uint64_t now)
{
	bool held = seen->counted && seen->rank < seen->holders;
	bool first = !part->holders;
	bool joined = !part->counted && !seen->returns;

	if (first)
		part->from_ms =
			seen->start_ms + (seen->returns ? 0 : HANDOVER_MS);
	else if (held && !part->held && (seen->rank < part->rank || joined))
		part->from_ms = now + HANDOVER_MS;
	part->held = held;
	part->counted = seen->counted;
	part->rank = seen->rank;
	part->holders = seen->holders ? seen->holders : 1;
	part->alive = seen->alive;
}

/* Returns the least time between two requests for permits, ms. */
uint32_t request_limit_ask_interval_ms(uint32_t instances)
{
	uint32_t ms = instances * ASK_INTERVAL_PER_INSTANCE_MS;

	return ms > ASK_INTERVAL_MS ? ms : ASK_INTERVAL_MS;
}

/* Records that an answer of named_ms names the limit; returns whether that is
 * news: it was not in force, rose, or had another value.  The first permits of
 * the holders come one after the other. */
bool request_limit_named(struct request_limit *l,
			 const struct request_limit_part *part, double per_s,
			 uint64_t named_ms, uint64_t now)
{
	bool news = !l->in_force || l->ended_ms || per_s != l->per_s;

	if ((l->in_force && named_ms < l->named_ms) ||
	    (l->ended_sent_ms && named_ms <= l->ended_sent_ms + MESSAGE_MS &&
	     named_ms < now))
		return false;
	if (!l->in_force) {
		l->since_ms = now;
		l->filled_ms = now;
		l->permits = 0;
		if (part->held && now >= part->from_ms)
			l->permits = (double)(part->holders - part->rank) /
				     part->holders;
	} else {
		fill(l, part, now); /* at the rate before */
	}
	l->in_force = true;
	l->per_s = per_s;
	l->named_ms = named_ms;
	l->ended_ms = 0;
	l->ended_sent_ms = 0;
	return news;
}

/* Records that the answer to a request of sent_ms names no limit; returns
 * whether that ends the limit. */
bool request_limit_not_named(struct request_limit *l, uint64_t sent_ms,
			     uint64_t now)
{
	if (!l->in_force || l->ended_ms || sent_ms <= l->named_ms)
		return false;
	l->ended_ms = now;
	l->ended_sent_ms = sent_ms;
	return true;
}

/* Returns after how many ms the other instances are told that the limit has
 * another value than before.  A lower one concerns those that send more than
 * they may; but an endpoint may name another value in each answer. */
uint32_t request_limit_tell_ms(double before, double per_s,
			       uint64_t told_ms_ago)
{
	uint32_t interval_ms = per_s < before ? TELL_LOWER_MS : TELL_HIGHER_MS;

	return told_ms_ago < interval_ms ? interval_ms - (uint32_t)told_ms_ago
					 : 0;
}

/* Lifts a limit that has risen for long enough. */
void request_limit_tick(struct request_limit *l, uint64_t now)
{
	if (l->in_force && l->ended_ms && now - l->ended_ms >= RISE_MS)
		l->in_force = false;
}

/* Returns the rate that applies now, requests per second of all instances. */
double request_limit_per_s(const struct request_limit *l, uint64_t now)
{
	double per_s = l->per_s;

	if (l->ended_ms) {
		if (per_s < RISE_FROM_PER_S)
			per_s = RISE_FROM_PER_S;
		per_s *= exp2((double)(now - l->ended_ms) / RISE_DOUBLING_MS);
	}
	if (per_s < PER_S_MIN)
		return PER_S_MIN;
	return per_s < PER_S_MAX ? per_s : PER_S_MAX;
}

/* Returns how many requests this instance may send now. */
uint32_t request_limit_available(struct request_limit *l,
				 const struct request_limit_part *part,
				 uint64_t now)
{
	if (!l->in_force)
		return UINT32_MAX;
	fill(l, part, now);
	return whole_permits(l) + l->borrowed;
}

/* Takes the permit for one request, a borrowed one first, as it expires.  If
 * none is left, the next permits of this instance pay for it. */
enum request_permit request_limit_take(struct request_limit *l,
				       const struct request_limit_part *part,
				       uint64_t now)
{
	if (!l->in_force)
		return PERMIT_NOT_NEEDED;
	fill(l, part, now);
	if (l->borrowed) {
		l->borrowed--;
		return PERMIT_BORROWED;
	}
	l->permits -= 1;
	return PERMIT_OWN;
}

/* Returns the permit of a request that was not sent.  A borrowed one is not
 * available again. */
void request_limit_return(struct request_limit *l, enum request_permit permit)
{
	if (l->in_force && permit == PERMIT_OWN)
		l->permits += 1; /* fill() caps it */
}

/* Takes up to wanted permits for another instance; returns their number. */
uint32_t request_limit_lend(struct request_limit *l,
			    const struct request_limit_part *part,
			    uint32_t wanted, uint64_t now)
{
	uint32_t n;

	if (!l->in_force)
		return 0;
	fill(l, part, now);
	n = whole_permits(l);
	if (n > wanted)
		n = wanted;
	l->permits -= n;
	return n;
}

/* Adds permits that were asked for at asked_ms.  Returns false if they come too
 * late to be used. */
bool request_limit_add_loan(struct request_limit *l, uint32_t permits,
			    uint64_t asked_ms, uint64_t now)
{
	uint64_t until = asked_ms + LOAN_MS;

	if (!l->in_force || now >= until)
		return false;
	if (l->borrowed && l->borrowed_until_ms < until)
		until = l->borrowed_until_ms;
	if (now >= until) { /* those held before have expired */
		l->borrowed = 0;
		until = asked_ms + LOAN_MS;
	}
	l->borrowed += permits;
	l->borrowed_until_ms = until;
	return true;
}

/* Returns the time until this instance has a permit of its own besides those
 * for ahead other requests, ms; REQUEST_LIMIT_NEVER if it has no part. */
uint32_t request_limit_wait_ms(struct request_limit *l,
			       const struct request_limit_part *part,
			       uint32_t ahead, uint64_t now)
{
	double rate = part_per_s(l, part, now);
	double missing;
	double ms;

	if (!l->in_force)
		return 0;
	fill(l, part, now);
	missing = (double)ahead + 1 - l->permits;
	if (missing <= 0)
		return 0;
	if (!part->held || rate <= 0)
		return REQUEST_LIMIT_NEVER;
	ms = ceil(missing * MS_PER_S / rate);
	if (now < part->from_ms)
		ms += (double)(part->from_ms - now);
	return ms < REQUEST_LIMIT_NEVER ? (uint32_t)ms : REQUEST_LIMIT_NEVER;
}

/* Returns the rate at which permits come here, per second. */
static double part_per_s(const struct request_limit *l,
			 const struct request_limit_part *part, uint64_t now)
{
	double least = (double)part->holders * PERCENT / TAKEOVER_PERCENT;
	double among = part->alive > least ? part->alive : least;

	return part->held ? request_limit_per_s(l, now) / among : 0;
}

/* Returns how many permits a bucket holds that is filled at a rate. */
static double bucket_size(double per_s)
{
	double size = per_s * BURST_MS / MS_PER_S;

	return size > 1 ? size : 1;
}

/* Brings the permits up to date: adds those that came since the last time, and
 * drops those that the bucket does not hold, those of a part that is no longer
 * held, and loans that have expired. */
static void fill(struct request_limit *l, const struct request_limit_part *part,
		 uint64_t now)
{
	uint64_t from = l->filled_ms;
	double rate = part_per_s(l, part, now);
	double size = bucket_size(rate);

	if (l->borrowed && now >= l->borrowed_until_ms)
		l->borrowed = 0;
	if (from < part->from_ms)
		from = part->from_ms;
	l->filled_ms = now;
	if (!part->held || now < part->from_ms) {
		if (l->permits > 0)
			l->permits = 0;
		return;
	}
	if (now > from)
		l->permits += (double)(now - from) * rate / MS_PER_S;
	if (l->permits > size)
		l->permits = size;
}

/* Returns the number of whole permits in the bucket. */
static uint32_t whole_permits(const struct request_limit *l)
{
	if (l->permits < WHOLE)
		return 0;
	return (uint32_t)(l->permits + 1 - WHOLE);
}
