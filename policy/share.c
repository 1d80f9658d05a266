/*
 * An organisation's limit, split over the members of its shard.
 *
 * Half of the limit is split evenly, so that every member can always serve a
 * caller that comes to it; the other half follows demand.  A member lowers its
 * share at once, but raises it only out of what the others have published as
 * no longer in force, takes at most an even part of that a round, and only if
 * it has just heard from all others.  Members that act in step so never exceed
 * the limit together, whatever messages are lost.  A member that has not heard
 * from a majority for the hold time falls back to its even part of the whole,
 * and only after twice that time do others use what it held beyond that.  News
 * that came by way of another member counts as heard, so that two members that
 * cannot reach each other alone do not take each other for gone.
 */
#include "policy/share.h"

#include <assert.h>
#include <stdbool.h>

static uint32_t even_part(uint32_t total, size_t i, size_t n);
static bool has_fallen_back(const struct share_member *m, uint64_t now,
		    uint32_t hold_ms);
static bool is_cut_off(const struct share_member *m, size_t n, size_t self,
		       uint64_t now, uint32_t hold_ms);
static uint32_t held_by_others(uint32_t limit, const struct share_member *m,
			       size_t n, size_t self, uint64_t now,
			       uint32_t hold_ms);
static bool is_fresh(const struct share_member *m, size_t n, size_t self,
		     uint64_t now, const struct share_params *params);
static uint32_t spare_part(uint32_t spare, const struct share_member *m,
			      const uint32_t *target, size_t n, size_t self);

/* The i-th of n parts of total, which differ by at most one. */
static uint32_t even_part(uint32_t total, size_t i, size_t n)
{
	return (uint32_t)(total / n + (i < total % n));
}

/*
 * Splits limit over n members into share, which sums to limit exactly.  Equal
 * inputs give equal results at every member.
 */
void share_split(uint32_t limit, const uint32_t *demand, size_t n,
		 uint32_t *share)
{
	uint32_t moving = limit / 2;
	uint32_t given = 0;
	uint64_t total = 0;
	size_t i;

	assert(n > 0 && n <= SHARE_MEMBERS_MAX);
	for (i = 0; i < n; i++)
		total += demand[i];
	for (i = 0; i < n; i++) {
		uint32_t part = even_part(moving, i, n);

		if (total)
			part = (uint32_t)((uint64_t)moving * demand[i] / total);
		share[i] = even_part(limit - moving, i, n) + part;
		given += share[i];
	}
	for (i = 0; given < limit; i = (i + 1) % n) {
		if (total && !demand[i])
			continue;
		share[i]++;
		given++;
	}
}

/*
 * The share that member self of n starts with, and falls back to if it holds
 * more: its even part.
 */
uint32_t share_even(uint32_t limit, size_t self, size_t n)
{
	return even_part(limit, self, n);
}

/*
 * The share of a member of a shard of more than SHARE_EXCHANGE_MAX members,
 * among which exchanging demands would cost messages with the square of their
 * number: the limit is split as the load is, by the member's part of whole.
 */
uint32_t share_proportional(uint32_t limit, uint32_t part, uint32_t whole)
{
	return (uint32_t)((uint64_t)limit * part / whole);
}

/* The share of an instance that is no member: callers come to it only by an
 * answer that is no longer right. */
uint32_t share_nonmember(uint32_t limit)
{
	return limit / SHARE_NONMEMBER_DIVISOR;
}

/* Says whether the member has fallen back to its even part for certain. */
static bool has_fallen_back(const struct share_member *m, uint64_t now,
		    uint32_t hold_ms)
{
	return now - m->last_seen_ms > 2 * (uint64_t)hold_ms;
}

/*
 * Says whether no majority of the members, self included, was heard within
 * hold_ms.  Of two sides of a partition at least one is cut off.
 */
static bool is_cut_off(const struct share_member *m, size_t n, size_t self,
		       uint64_t now, uint32_t hold_ms)
{
	size_t heard = 0;
	size_t i;

	for (i = 0; i < n; i++)
		heard += i == self || now - m[i].last_seen_ms <= hold_ms;
	return 2 * heard <= n;
}

/*
 * What the others may have in force: the last published share, or the even
 * part of a member not heard for so long that it holds no more than that.
 */
static uint32_t held_by_others(uint32_t limit, const struct share_member *m,
			       size_t n, size_t self, uint64_t now,
			       uint32_t hold_ms)
{
	uint64_t held = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		if (i == self)
			continue;
		if (has_fallen_back(&m[i], now, hold_ms))
			held += share_even(limit, i, n);
		else
			held += m[i].share;
	}
	return held < limit ? (uint32_t)held : limit;
}

/*
 * Says whether every member was heard lately, but for those that have fallen
 * back for certain.  On older news several members could use the same spare
 * part of the limit.
 */
static bool is_fresh(const struct share_member *m, size_t n, size_t self,
		     uint64_t now, const struct share_params *params)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (i == self || has_fallen_back(&m[i], now, params->hold_ms))
			continue;
		if (now - m[i].last_seen_ms > params->fresh_ms)
			return false;
	}
	return true;
}

/*
 * The part of spare that member self may take: even parts go to the members
 * below their target, in the order that all members agree on.
 */
static uint32_t spare_part(uint32_t spare, const struct share_member *m,
			      const uint32_t *target, size_t n, size_t self)
{
	size_t takers = 0;
	size_t before = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		if (m[i].share >= target[i])
			continue;
		takers++;
		before += i < self;
	}
	assert(takers > 0);
	return even_part(spare, before, takers);
}

/*
 * The share that member self puts in force next, to be called once a round (an
 * exchange between all members).  members is in the same order everywhere, and
 * self's own entry is as it last published it: members that decide on the same
 * entries take disjoint parts of what is spare.
 */
uint32_t share_next(uint32_t limit, const struct share_member *members,
		    size_t n, size_t self, uint64_t now,
		    const struct share_params *params)
{
	uint32_t hold_ms = params->hold_ms;
	uint32_t demand[SHARE_MEMBERS_MAX] = { 0 };
	uint32_t target[SHARE_MEMBERS_MAX];
	uint32_t own_share = members[self].share;
	uint32_t held, step;
	size_t i;

	assert(n > 0 && n <= SHARE_MEMBERS_MAX && self < n);
	if (is_cut_off(members, n, self, now, hold_ms)) {
		held = share_even(limit, self, n);
		return own_share < held ? own_share : held;
	}
	for (i = 0; i < n; i++)
		demand[i] = i != self && has_fallen_back(&members[i], now, hold_ms)
				    ? 0
				    : members[i].demand;
	share_split(limit, demand, n, target);
	if (own_share >= target[self])
		return target[self];
	if (!is_fresh(members, n, self, now, params))
		return own_share;
	held = held_by_others(limit, members, n, self, now, hold_ms);
	if (held >= limit - own_share)
		return own_share;
	step = spare_part(limit - own_share - held, members, target, n, self);
	if (step > target[self] - own_share)
		step = target[self] - own_share;
	return own_share + step;
}
