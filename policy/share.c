/*
 * Division of an organisation's limit among the members of its shard.
 *
 * Half of the limit is split evenly, so that every member can always serve
 * callers; the other half follows demand.  A member lowers its share at once.
 * It raises its share only from what the others have published as unused, by at
 * most an even part of that per round, and only with recent reports of all
 * others.  Members that act in synchronous rounds therefore never exceed the
 * limit together, regardless of lost messages.
 *
 * A member that has not seen a majority for hold_ms falls back to its even part
 * of the limit.  The others use the rest of its share only after twice that
 * time.  A member counts as seen also by a report that another member relays,
 * so that the loss of a single link does not make two members consider each
 * other failed.
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

/* Returns the i-th of n parts of total, which differ by at most one. */
static uint32_t even_part(uint32_t total, size_t i, size_t n)
{
	return (uint32_t)(total / n + (i < total % n));
}

/*
 * Splits limit among n members into share, which sums to limit exactly.  The
 * result is deterministic, so that all members with equal inputs agree.
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
 * Returns the even part of member self of n: the share that it starts with, and
 * falls back to if it holds more.
 */
uint32_t share_even(uint32_t limit, size_t self, size_t n)
{
	return even_part(limit, self, n);
}

/*
 * Returns the share of a member of a shard of more than SHARE_EXCHANGE_MAX
 * members, which do not exchange demands because the number of messages grows
 * with the square of the number of members.  The limit is split like the load,
 * by the member's part of whole.
 */
uint32_t share_proportional(uint32_t limit, uint32_t part, uint32_t whole)
{
	return (uint32_t)((uint64_t)limit * part / whole);
}

/*
 * Returns the share of an instance that is not a member of the shard.  Callers
 * reach it only by an outdated lookup answer.
 */
uint32_t share_nonmember(uint32_t limit)
{
	return limit / SHARE_NONMEMBER_DIVISOR;
}

/* Returns whether the member has certainly fallen back to its even part. */
static bool has_fallen_back(const struct share_member *m, uint64_t now,
			    uint32_t hold_ms)
{
	return now - m->last_seen_ms > 2 * (uint64_t)hold_ms;
}

/*
 * Returns whether no majority of the members, including self, was seen within
 * hold_ms.  At least one of the two sides of a partition is cut off.
 */
static bool is_cut_off(const struct share_member *m, size_t n, size_t self,
		       uint64_t now, uint32_t hold_ms)
{
	size_t seen = 0;
	size_t i;

	for (i = 0; i < n; i++)
		seen += i == self || now - m[i].last_seen_ms <= hold_ms;
	return 2 * seen <= n;
}

/*
 * Returns the sum of the shares that the other members may have in force, at
 * most limit: the last published share of each, or its even part if it has
 * certainly fallen back.
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
 * Returns whether every member that has not certainly fallen back was seen
 * within fresh_ms.  With older reports, several members could take the same
 * spare part of the limit.
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
 * Returns the part of spare that member self may take.  The members below their
 * target get even parts, in the common order of members.
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
 * Returns the next share of member self; called once per round (an exchange
 * between all members).  members is in the same order at all members, and the
 * entry of self is as last published, so that members that decide on the same
 * entries take disjoint parts of the spare limit.
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
		demand[i] =
			i != self && has_fallen_back(&members[i], now, hold_ms)
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
