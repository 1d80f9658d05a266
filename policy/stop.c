/*
 * A planned stop.  From the signal on the process is neither ready nor named
 * to callers, but it goes on serving those that still come, because they keep
 * an address for some seconds.  What would not end within the grace time is
 * refused at once, so that its caller goes elsewhere.
 */
#include "policy/stop.h"

/* Before the end of the grace time nothing is open any more: a kill would cut
 * what is. */
#define LAST_MS 400

/* A run takes longer than expected if its engine fails on the way. */
#define EXPECT_FACTOR_PERCENT 115

/* Callers hold an address for this part of the grace time at most; a process
 * with nothing to do ends after it. */
#define LINGER_PERMILLE 850

/* Tells whether callers may be sent here. */
bool stop_ready(const struct stop *s)
{
	return !s->told_ms;
}

/* Tells whether a request that is expected to last so long may still begin. */
bool stop_takes(const struct stop *s, uint64_t expected_ms, uint64_t now)
{
	if (!s->told_ms)
		return true;
	return now + expected_ms * EXPECT_FACTOR_PERCENT / 100 + LAST_MS <
	       s->told_ms + s->grace_ms;
}

/* Tells whether what is still open is broken off now. */
bool stop_cuts(const struct stop *s, uint64_t now)
{
	return s->told_ms && now + LAST_MS >= s->told_ms + s->grace_ms;
}

/* Tells whether the process ends, with so many requests open. */
bool stop_ends(const struct stop *s, uint64_t now, uint32_t open)
{
	if (!s->told_ms)
		return false;
	if (stop_cuts(s, now))
		return true;
	return !open &&
	       now >= s->told_ms + s->grace_ms * LINGER_PERMILLE / 1000;
}
