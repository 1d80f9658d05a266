/*
 * Which other instances callers are sent to.  Each instance sends heartbeats to
 * all others; the interval grows with their number, which bounds the datagrams
 * that an instance receives.
 */
#include "policy/heartbeat.h"

/* Approximate upper bound of the datagrams an instance receives a second. */
#define RECEIVED_PER_S 70

#define INTERVAL_MIN_MS 250
#define INTERVAL_MAX_MS 4000
#define MS_PER_S 1000

/* Intervals without a datagram after which an instance counts as gone: the loss
 * of two datagrams in a row is rare. */
#define SILENT_INTERVALS 4

/* A newly listed instance counts as alive for this time before its first
 * datagram. */
#define NEW_MS 1500

/* Returns the interval between an instance's heartbeats, ms. */
uint32_t heartbeat_interval_ms(size_t instances)
{
	size_t ms = instances * MS_PER_S / RECEIVED_PER_S;

	if (ms < INTERVAL_MIN_MS)
		return INTERVAL_MIN_MS;
	return ms > INTERVAL_MAX_MS ? INTERVAL_MAX_MS : (uint32_t)ms;
}

/* Tells whether callers may be sent to an instance. */
bool heartbeat_alive(const struct heartbeat *p, size_t instances, uint64_t now)
{
	uint64_t timeout =
		(uint64_t)heartbeat_interval_ms(instances) * SILENT_INTERVALS;

	if (p->leaving)
		return false;
	if (!p->last_seen_ms)
		return now - p->listed_ms < NEW_MS;
	if (!p->configured)
		return false;
	return now - p->last_seen_ms < timeout;
}

/* Tells whether an instance is stopping and still accepts requests that end in
 * time: callers are sent there only if there is no other instance. */
bool heartbeat_stopping(const struct heartbeat *p, size_t instances,
			uint64_t now)
{
	struct heartbeat staying = *p;

	staying.leaving = false;
	return p->leaving && p->last_seen_ms &&
	       heartbeat_alive(&staying, instances, now);
}

/* Tells whether this instance receives from none of the listed instances: then
 * it is itself cut off, and its view of the others is unusable. */
bool heartbeat_isolated(size_t alive, size_t listed)
{
	return listed >= 2 && !alive;
}
