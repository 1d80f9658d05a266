#ifndef POLICY_LIMIT_WAIT_H
#define POLICY_LIMIT_WAIT_H

#include <stdbool.h>
#include <stdint.h>

/* Time in which other instances answer whether they lend a permit. */
#define LIMIT_ASK_MS 60

/* A request that finds no permit for any endpoint that is up.  Times in ms. */
struct limit_wait {
	uint32_t own_ms; /* until this instance has a permit for it;
			  * REQUEST_LIMIT_NEVER: it has no part */
	uint32_t ask_ms; /* until other instances may be asked for one; 0: they
			  * are being asked */
	double per_s; /* this instance's fair part of what all endpoints take */
	uint32_t ahead; /* requests that get a permit before it */
	uint32_t left_ms; /* of the time in which its answer is on time */
};

/* What decides in which order waiting requests get permits.  Times in ms. */
struct limit_turn {
	bool lost; /* a run that was lost, and is to go on */
	int priority; /* 0 comes first */
	uint64_t deadline_ms;
	uint64_t received_ms;
};

/* When the callers that were refused return, one after the other. */
struct limit_return {
	double next_ms;
};

uint32_t limit_wait_denied_ms(uint32_t wait_ms);
uint32_t limit_wait_left_ms(const struct limit_turn *t, uint32_t target_ms,
			    uint64_t now);
bool limit_turn_before(const struct limit_turn *a, const struct limit_turn *b);
bool limit_wait_decide(const struct limit_wait *w);
uint32_t limit_return_ms(struct limit_return *r, double per_s, uint32_t left_ms,
			 uint64_t now, uint64_t rnd);

#endif /* POLICY_LIMIT_WAIT_H */
