/*
 * Endpoints that start again under a new id.  The store tells of them, but in
 * an outage it does not, and with a zone lost every few seconds the endpoints
 * that are known dwindle to none.  Answers that load pattern: an outage of the
 * store while engines go on crashing.
 */
#include "policy/reborn.h"

/* Clocks and answers that were on their way are this far off, at most. */
#define REUSE_MARGIN_MS 300

/* All instances together ask an address that is down about so often a second;
 * an instance alone never more often than this. */
#define PROBES_PER_S 3
#define PROBE_MIN_MS 400

/* While the store answers it tells of new starts itself, and only endpoints
 * that were wrongly taken for dead are looked for. */
#define PROBES_SLOWER 4

#define MS_PER_S 1000

/* Says whether an address still belongs to the same service. */
enum reborn_verdict reborn_judge(const struct reborn *r)
{
	if (r->heard_ms_ago >= 0 &&
	    (uint64_t)r->heard_ms_ago + REUSE_MARGIN_MS < r->reuse_after_ms)
		return REBORN_BELIEVE;
	return r->engine && r->engine_services == 1 ? REBORN_ASK : REBORN_LEAVE;
}

/* Tells whether this instance asks an address that is down now.  It is called
 * every 20 ms, and chance spreads the instances. */
bool reborn_probe_due(const struct reborn_probe *p, uint64_t rnd)
{
	uint64_t interval_ms = p->instances * MS_PER_S / PROBES_PER_S;

	if (p->answers)
		interval_ms *= PROBES_SLOWER;
	if (interval_ms < PROBE_MIN_MS)
		interval_ms = PROBE_MIN_MS;
	if (p->probed_ms_ago < PROBE_MIN_MS)
		return false;
	return rnd % interval_ms < REBORN_TICK_MS;
}
