/*
 * Decides about a request when all endpoints of its service have named limits
 * and this instance has no permit: it waits if a permit is expected while its
 * answer would still be on time, and is refused at once otherwise, with the
 * time at which a permit is expected for its caller.  Handles a service all of
 * whose endpoints name limits far below the rate of requests.
 */
#include "policy/limit_wait.h"

#include "policy/request_limit.h"

/* Bounds of the time for which an instance is not asked again after it had no
 * permit: fewer of its permits may be used than it expects. */
#define DENIED_MIN_MS 40
#define DENIED_MAX_MS 1000

/* Of a Retry-After.  Later returns are not planned. */
#define RETURN_MIN_MS 50
#define RETURN_MAX_MS 30000

#define MS_PER_S 1000

/* Returns for how long an instance is not asked again that had no permit and
 * expects one after wait_ms. */
uint32_t limit_wait_denied_ms(uint32_t wait_ms)
{
	if (wait_ms < DENIED_MIN_MS)
		return DENIED_MIN_MS;
	return wait_ms < DENIED_MAX_MS ? wait_ms : DENIED_MAX_MS;
}

/* Returns how much of the time is left in which the answer, or the first event,
 * would be on time, ms: target_ms after the arrival, or half of the caller's
 * time if that is shorter or there is no target (0). */
uint32_t limit_wait_left_ms(const struct limit_turn *t, uint32_t target_ms,
			    uint64_t now)
{
	uint64_t until = t->received_ms + target_ms;

	if (!target_ms || until > t->deadline_ms)
		until = t->received_ms + (t->deadline_ms - t->received_ms) / 2;
	return until > now ? (uint32_t)(until - now) : 0;
}

/* Returns whether request a gets a permit before b: lost runs come first, as
 * their callers have part of the answer, then the more urgent request, then the
 * one that has less time. */
bool limit_turn_before(const struct limit_turn *a, const struct limit_turn *b)
{
	if (a->lost != b->lost)
		return a->lost;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->deadline_ms != b->deadline_ms)
		return a->deadline_ms < b->deadline_ms;
	return a->received_ms < b->received_ms;
}

/* Returns whether the request waits for a permit. */
bool limit_wait_decide(const struct limit_wait *w)
{
	double turn_ms = w->per_s > 0
				 ? ((double)w->ahead + 1) * MS_PER_S / w->per_s
				 : REQUEST_LIMIT_NEVER;

	if (w->own_ms <= w->left_ms)
		return true;
	if (!w->ask_ms)
		return LIMIT_ASK_MS <= w->left_ms;
	return (uint64_t)w->ask_ms + LIMIT_ASK_MS <= w->left_ms &&
	       turn_ms <= w->left_ms;
}

/* Returns after how many ms the caller of a refused request returns.  Returns
 * are planned at the rate at which permits come (per_s), so that callers don't
 * return together; rnd spreads those of different instances.  A caller whose
 * time (left_ms) ends before its return takes no place. */
uint32_t limit_return_ms(struct limit_return *r, double per_s, uint32_t left_ms,
			 uint64_t now, uint64_t rnd)
{
	double gap_ms = MS_PER_S / per_s;
	double at_ms = r->next_ms > (double)now ? r->next_ms : (double)now;
	double wait_ms;

	if (!(gap_ms < RETURN_MAX_MS))
		gap_ms = RETURN_MAX_MS;
	wait_ms = at_ms - (double)now +
		  gap_ms * (double)(rnd % MS_PER_S) / MS_PER_S;
	if (wait_ms < left_ms)
		r->next_ms = at_ms + gap_ms;
	if (wait_ms < RETURN_MIN_MS)
		return RETURN_MIN_MS;
	return wait_ms < RETURN_MAX_MS ? (uint32_t)wait_ms : RETURN_MAX_MS;
}
