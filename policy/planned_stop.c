/*
 * A planned stop.  From the signal on the process is neither ready nor listed
 * for callers, but it still serves new requests, because callers keep an
 * address for some seconds.  A request that may not end within the grace time is
 * refused at once, so that its caller goes to another instance.
 */
#include "policy/planned_stop.h"

/* Requests that are open are aborted this long before the end of the grace
 * time, when the process is killed. */
#define ABORT_MARGIN_MS 200

/* Callers that learn of the stop send elsewhere within this time.  Requests that
 * arrive in it may be accepted by their expected duration. */
#define ESTIMATE_MS 2500

/* One run in twenty takes longer than the first percentage of the mean, one in
 * four longer than the second, used if no other instance can take the request.
 * A run that is aborted loses all its work; a refused one is served by another
 * instance a second later. */
#define DURATION_PERCENT 145
#define DURATION_ALONE_PERCENT 115

/* Some callers keep a directory's answer for three times its TTL.  An idle
 * process exits once these have a newer answer, but always some time before the
 * end of the grace time. */
#define TTL_FACTOR 3
#define TTL_MARGIN_MS 250
#define LINGER_PERMILLE 850

/* A caller that retries after this margin has a newer answer of the
 * directory. */
#define RETRY_MARGIN_MS 50

static uint64_t abort_ms(const struct planned_stop *s);
static uint64_t linger_ms(const struct planned_stop *s);

/* Returns whether callers may be sent to this process. */
bool planned_stop_ready(const struct planned_stop *s)
{
	return !s->signal_ms;
}

/* Returns whether a request that has not run may start now: it ends by its own
 * time limit before it would be aborted, or it may run again, came early in the
 * grace time and is expected to end.  Once the process has decided to exit none
 * may: the event loop can still read requests then. */
bool planned_stop_accepts(const struct planned_stop *s,
			  const struct planned_stop_request *r, uint64_t now)
{
	uint64_t percent = r->other_instance ? DURATION_PERCENT
					     : DURATION_ALONE_PERCENT;

	if (s->over)
		return false;
	if (!s->signal_ms || r->until_ms < abort_ms(s))
		return true;
	if (!r->repeatable || r->received_ms >= s->signal_ms + ESTIMATE_MS)
		return false;
	return now + r->expected_ms * percent / 100 < abort_ms(s);
}

/* Returns the time after which a refused caller is to retry, in ms.  Until the
 * directory's answer that it holds has expired, it would reach this instance
 * again, or another one that is stopping too.  Handles all instances being
 * stopped in turn, faster than they are back. */
uint32_t planned_stop_retry_ms(const struct planned_stop *s)
{
	return (uint32_t)s->directory_ttl_ms + RETRY_MARGIN_MS;
}

/* Returns whether the requests that are still open are to be aborted now. */
bool planned_stop_must_abort(const struct planned_stop *s, uint64_t now)
{
	return s->signal_ms && now >= abort_ms(s);
}

/* Returns whether the process is to exit, with this many open requests. */
bool planned_stop_should_exit(const struct planned_stop *s, uint64_t now,
			      uint32_t open)
{
	if (!s->signal_ms)
		return false;
	if (planned_stop_must_abort(s, now))
		return true;
	return !open && now >= s->signal_ms + linger_ms(s);
}

/* Returns when the requests that are open are aborted. */
static uint64_t abort_ms(const struct planned_stop *s)
{
	uint64_t margin = s->grace_ms < ABORT_MARGIN_MS ? s->grace_ms
							: ABORT_MARGIN_MS;

	return s->signal_ms + s->grace_ms - margin;
}

/* Returns how long callers may still arrive after the signal, in ms. */
static uint64_t linger_ms(const struct planned_stop *s)
{
	uint64_t kept = s->directory_ttl_ms * TTL_FACTOR + TTL_MARGIN_MS;
	uint64_t most = s->grace_ms * LINGER_PERMILLE / 1000;

	return kept < most ? kept : most;
}
