/*
 * Endpoints that restart under a new id.  The store lists them, but not during
 * an outage; with a zone lost every few seconds this instance would then run
 * out of known endpoints.  Handles an outage of the store while engines keep
 * crashing.
 */
#include "policy/endpoint_restart.h"

/* Upper bound of the error of times, from clocks and from answers in flight. */
#define REUSE_MARGIN_MS 300

/* All instances together probe an address that is down about so often a second;
 * a single instance never more often than PROBE_MIN_MS. */
#define PROBES_PER_S 3
#define PROBE_MIN_MS 400

/* While the store answers it lists restarts itself, and probes only find
 * endpoints that were wrongly taken for dead. */
#define PROBES_SLOWER 4

#define MS_PER_S 1000

/* Decides whether an address still belongs to the same service. */
enum endpoint_restart_decision endpoint_restart_decide(
	const struct endpoint_restart *r)
{
	if (r->last_seen_ms_ago >= 0 &&
	    (uint64_t)r->last_seen_ms_ago + REUSE_MARGIN_MS < r->reuse_after_ms)
		return ENDPOINT_RESTART_ACCEPT;
	return r->is_engine && r->engine_services == 1
		       ? ENDPOINT_RESTART_QUERY
		       : ENDPOINT_RESTART_IGNORE;
}

/* Tells whether this instance probes an address that is down now.  It is called
 * every ENDPOINT_RESTART_TICK_MS; rnd is a random number, which spreads the
 * probes of the instances. */
bool endpoint_restart_probe_due(const struct endpoint_restart_probe *p,
				uint64_t rnd)
{
	uint64_t interval_ms = p->instances * MS_PER_S / PROBES_PER_S;

	if (p->store_answers)
		interval_ms *= PROBES_SLOWER;
	if (interval_ms < PROBE_MIN_MS)
		interval_ms = PROBE_MIN_MS;
	if (p->probed_ms_ago < PROBE_MIN_MS)
		return false;
	return rnd % interval_ms < ENDPOINT_RESTART_TICK_MS;
}
