/*
 * A planned stop.  From the signal on the process is neither ready nor named
 * to callers, but it goes on serving those that still come, because they keep
 * an address for some seconds.  What would not end within the grace time is
 * refused at once, so that its caller goes elsewhere.
 */
#include "policy/planned_stop.h"

/* Before the end of the grace time nothing is open any more: a kill would cut
 * what is. */
#define LAST_MS 200

/* One run in twenty takes longer than this part of the mean, one in four than
 * the other; a run that is cut has lost all, one that is refused is served
 * elsewhere a second later. */
#define EXPECT_PERCENT 145
#define EXPECT_ALONE_PERCENT 115

/* Some callers keep a directory's answer for three times as long as it says.  A
 * process with nothing to do ends once these have another answer, but a little
 * before the end of the grace time in any case. */
#define NAMED_FACTOR 3
#define NAMED_MARGIN_MS 250
#define LINGER_PERMILLE 850

/* A caller that comes back has a newer answer of the directory by then. */
#define RETRY_MARGIN_MS 50

static uint64_t linger_ms(const struct planned_stop *s);

/* Tells whether callers may be sent here. */
bool planned_stop_ready(const struct planned_stop *s)
{
	return !s->signal_ms;
}

/* Tells whether a request that is expected to last so long, in the mean, may
 * still begin; elsewhere: another instance is there to take it. */
bool planned_stop_accepts(const struct planned_stop *s, uint64_t expected_ms, bool elsewhere,
		uint64_t now)
{
	uint64_t percent = elsewhere ? EXPECT_PERCENT : EXPECT_ALONE_PERCENT;

	if (!s->signal_ms)
		return true;
	return now + expected_ms * percent / 100 + LAST_MS <
	       s->signal_ms + s->grace_ms;
}

/* Returns when a caller that was refused is to come back: with the directory's
 * answer that it still holds it would meet this instance again, or another one
 * that stops too.  Answers the pattern of all instances stopping in turn, faster
 * than they are back. */
uint32_t planned_stop_retry_ms(const struct planned_stop *s)
{
	return (uint32_t)s->directory_ttl_ms + RETRY_MARGIN_MS;
}

/* Tells whether what is still open is broken off now. */
bool planned_stop_must_abort(const struct planned_stop *s, uint64_t now)
{
	return s->signal_ms && now + LAST_MS >= s->signal_ms + s->grace_ms;
}

/* Tells whether the process ends, with so many requests open. */
bool planned_stop_may_exit(const struct planned_stop *s, uint64_t now, uint32_t open)
{
	if (!s->signal_ms)
		return false;
	if (planned_stop_must_abort(s, now))
		return true;
	return !open && now >= s->signal_ms + linger_ms(s);
}

/* Returns for how long callers may still come after the signal. */
static uint64_t linger_ms(const struct planned_stop *s)
{
	uint64_t named = s->directory_ttl_ms * NAMED_FACTOR + NAMED_MARGIN_MS;
	uint64_t most = s->grace_ms * LINGER_PERMILLE / 1000;

	return named < most ? named : most;
}
