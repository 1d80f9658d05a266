/*
 * Measured drain rate.  Completions divided by the slot time held give the
 * rate at which one slot drains, whether or not all slots are in use; times
 * the number of slots it is what a full instance completes, and it follows a
 * change of that number at once.  Engines that hang hold slots without
 * completing, so the rate falls.
 */
#include "policy/rate.h"

enum { RATE_MIN_COMPLETIONS = 4 };

/* Starts from a prior of prior_ms in a slot, worth a few completions. */
void rate_init(struct rate_meter *m, uint32_t keep_ms, uint32_t prior_ms,
	       uint64_t now)
{
	m->completions = RATE_MIN_COMPLETIONS;
	m->held_ms = (double)RATE_MIN_COMPLETIONS * prior_ms;
	m->updated_ms = now;
	m->decay_ms = keep_ms;
}

/*
 * Counts the time that running slots were held since the last call, and lets
 * old measurements decay, but never below what the prior was worth.
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

/* Mean time that a request holds a slot, at least 1 ms. */
double rate_service_ms(const struct rate_meter *m)
{
	double ms = m->held_ms / m->completions;

	return ms < 1 ? 1 : ms;
}
