/*
 * Admission under load at policy level, with simulated callers, slots and
 * clock.  Goodput is relative to capacity.
 */
#include <stdio.h>

#include "regress/admit_load.h"

enum {
	SLOTS = 40,
	ORGS = 10,
	CAPACITY_PER_S = SLOTS * 1000 / LOAD_SERVICE_MS,
	WARM_UP_S = 60,
	RUN_S = 240,
	FLOOD_ORGS = 4,
	HALF_S = 60,
};

static void bench_overload(double load);
static void bench_flood(void);
static void bench_half_lost(void);
static struct load *load_warmed_up(uint32_t orgs, double load, uint64_t seed);

/*
 * Returns a simulation after WARM_UP_S of a load relative to capacity, spread
 * evenly over orgs.
 */
static struct load *load_warmed_up(uint32_t orgs, double load, uint64_t seed)
{
	struct load *l = load_new(SLOTS, orgs, seed);
	uint32_t o;

	for (o = 0; o < orgs; o++)
		l->per_s[o] = CAPACITY_PER_S * load / orgs;
	load_run(l, WARM_UP_S * 1000);
	return l;
}

/* Goodput, refusals and Retry-After at a constant load. */
static void bench_overload(double load)
{
	struct load *l = load_warmed_up(ORGS, load, 7);
	uint64_t before = load_completed(l);
	uint64_t refused = l->refused;
	uint64_t evicted = l->evicted;
	double served;

	load_run(l, RUN_S * 1000);
	served = (double)(load_completed(l) - before);
	printf("admit_load_%.1f_goodput %.3f of-capacity\n", load,
	       served / (CAPACITY_PER_S * RUN_S));
	printf("admit_load_%.1f_refused_at_once %.3f per-served\n", load,
	       (double)(l->refused - refused - l->evicted + evicted) / served);
	printf("admit_load_%.1f_refused_from_queue %.4f per-served\n", load,
	       (double)(l->evicted - evicted) / served);
	printf("admit_load_%.1f_started_late %llu requests\n", load,
	       (unsigned long long)l->late);
	if (l->returned)
		printf("admit_load_%.1f_promised_returns_in %.4f of-%llu\n",
		       load, (double)l->returned_admitted / (double)l->returned,
		       (unsigned long long)l->returned);
	printf("admit_load_%.1f_longest_retry_after %u s\n", load,
	       l->retry_after_max_s);
	load_free(l);
}

/*
 * Fairness: organisation 0 requests five times the capacity, the others 0.8 of
 * their fair share.
 */
static void bench_flood(void)
{
	struct load *l = load_new(SLOTS, FLOOD_ORGS, 9);
	double share = (double)CAPACITY_PER_S / FLOOD_ORGS;
	uint32_t o;

	l->per_s[0] = 5 * CAPACITY_PER_S;
	for (o = 1; o < FLOOD_ORGS; o++)
		l->per_s[o] = 0.8 * share;
	load_run(l, RUN_S * 1000);
	for (o = 0; o < FLOOD_ORGS; o++)
		printf("admit_flood_org_%u %.3f of-fair-share\n", o,
		       (double)l->completed[o] / (share * RUN_S));
	load_free(l);
}

/* Half of the slots are lost for a minute at a load of 0.9. */
static void bench_half_lost(void)
{
	struct load *l = load_warmed_up(FLOOD_ORGS, 0.9, 11);
	uint64_t served = load_completed(l);
	uint64_t attempts;

	admit_set_slots(l->admit, SLOTS / 2, l->now);
	load_run(l, HALF_S * 1000);
	served = load_completed(l) - served;
	printf("admit_half_lost_goodput %.3f of-capacity-left\n",
	       (double)served / (CAPACITY_PER_S * HALF_S / 2.0));
	admit_set_slots(l->admit, SLOTS, l->now);
	served = load_completed(l);
	attempts = l->attempts;
	load_run(l, 2 * HALF_S * 1000);
	served = load_completed(l) - served;
	attempts = l->attempts - attempts;
	printf("admit_recovered_attempts %.3f per-served\n",
	       (double)attempts / (double)served);
	load_free(l);
}

int main(void)
{
	static const double loads[] = { 0.9, 1.2, 2, 5 };
	size_t i;

	for (i = 0; i < sizeof(loads) / sizeof(loads[0]); i++)
		bench_overload(loads[i]);
	bench_flood();
	bench_half_lost();
	return 0;
}
