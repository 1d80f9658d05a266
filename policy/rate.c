/*
 * Measurement of the drain rate.  Completions divided by slot time give the
 * drain rate of one slot, whether or not all slots are in use.  Multiplied by
 * the number of slots, this is the completion rate of a full instance, and it
 * follows a change of the number of slots at once.  The rate falls if engines
 * hang, because they hold slots without completing requests.
 */
#include "policy/rate.h"

enum { RATE_MIN_COMPLETIONS = 4 };

/*
 * Initialises the meter with a prior service time of prior_ms, with the weight
 * of RATE_MIN_COMPLETIONS completions.
 */
void rate_init(struct rate_meter *m, uint32_t decay_ms, uint32_t prior_ms,
	       uint64_t now)
{
	m->completions = RATE_MIN_COMPLETIONS;
	m->held_ms = (double)RATE_MIN_COMPLETIONS * prior_ms;
	m->updated_ms = now;
	m->decay_ms = decay_ms;
}

/*
 * Adds the slot time of the running requests since the last call and decays
 * old measurements, but not below the weight of the prior.
 */
void rate_advance(struct rate_meter *m, uint32_t running, uint64_t now)
{
	double elapsed, keep;

	if (now <= m->updated_ms)
		return;
	elapsed = (double)(now - m->updated_ms);
	m->updated_ms = now;
	m->held_ms += running * elapsed;
	keep = m->decay_ms / (m->decay_ms + elapsed);
	if (m->completions * keep < RATE_MIN_COMPLETIONS)
		keep = RATE_MIN_COMPLETIONS / m->completions;
	m->completions *= keep;
	m->held_ms *= keep;
}

/* Counts one completion. */
void rate_completed(struct rate_meter *m)
{
	m->completions++;
}

/* Returns the mean time that a request holds a slot, at least 1 ms. */
double rate_service_ms(const struct rate_meter *m)
{
	double ms = m->held_ms / m->completions;

	return ms < 1 ? 1 : ms;
}
