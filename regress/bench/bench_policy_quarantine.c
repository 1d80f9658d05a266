/*
 * Quarantine at policy level: endpoints lost to one crashing request, innocents
 * convicted with it, and innocents convicted when endpoints die for reasons of
 * their own.
 */
#include <math.h>
#include <stdio.h>

#include "regress/quarantine_sim.h"

enum {
	TRIALS = 300,
	REMAINING_S = 120, /* of a stream after it moved */
	DEATH_TRIALS = 20000,
};

static void bench_crash(int endpoints, bool cut);
static void bench_independent(int endpoints);
static void bench_copies(int copies);

static void bench_crash(int endpoints, bool cut)
{
	const char *how = cut ? "cut_" : "";
	int lost[8] = { 0 };
	int innocents = 0, convicted = 0;
	int t, k;

	for (t = 0; t < TRIALS; t++) {
		struct outcome o = quarantine_sim_crash(endpoints, cut, 1,
							(uint64_t)t + 1);

		lost[o.lost < 8 ? o.lost : 7]++;
		innocents += o.convicted_innocents;
		convicted += o.convicted;
	}
	for (k = 1; k < 8; k++)
		printf("quarantine_%s%d_endpoints_lost_%d%s %.3f of-trials\n",
		       how, endpoints, k, k == 7 ? "_or_more" : "",
		       (double)lost[k] / TRIALS);
	printf("quarantine_%s%d_endpoints_culprit_convicted %.3f of-trials\n",
	       how, endpoints, (double)convicted / TRIALS);
	printf("quarantine_%s%d_endpoints_innocents_convicted %.5f per-trial\n",
	       how, endpoints, (double)innocents / TRIALS);
}

/*
 * Nobody is guilty: an endpoint dies, its streams move apart, and while they
 * run on a second one dies too.  Prints how many innocents that convicts, and
 * what it makes of a rate of 61 deaths a day among 920.
 */
static void bench_independent(int endpoints)
{
	double per_s = 61.0 / 920 / 86400;
	double chance = 1 - exp(-per_s * endpoints * REMAINING_S);
	int convicted = 0;
	int t, k;

	for (t = 0; t < DEATH_TRIALS / endpoints; t++) {
		struct sim s;

		quarantine_sim_init(&s, endpoints, (uint64_t)t + 1);
		die(&s, 0);
		place(&s);
		exchange(&s);
		s.now += 10000;
		die(&s, (int)random_below(&s.rnd, (uint32_t)endpoints));
		exchange(&s);
		s.now += 10000;
		place(&s);
		for (k = 0; k < STREAMS; k++)
			convicted += s.stream[k].endpoint == -2;
		quarantine_sim_free(&s);
	}
	printf("quarantine_%d_endpoints_second_death_convicts %.3f innocents\n",
	       endpoints, (double)convicted * endpoints / DEATH_TRIALS);
	printf("quarantine_%d_endpoints_false_convictions %.6f per-death\n",
	       endpoints, chance * convicted * endpoints / DEATH_TRIALS);
}

/* Copies of the request run at once, sent through several instances. */
static void bench_copies(int copies)
{
	int most = 0;
	int t;

	for (t = 0; t < TRIALS; t++) {
		struct outcome o = quarantine_sim_crash(20, false, copies,
							(uint64_t)t + 1);

		if (o.lost > most)
			most = o.lost;
	}
	printf("quarantine_20_endpoints_%d_copies_lost_max %d endpoints\n",
	       copies, most);
}

int main(void)
{
	static const int endpoints[] = { 20, 32, 64, 128 };
	size_t i;

	for (i = 0; i < 4; i++)
		bench_crash(endpoints[i], false);
	bench_crash(endpoints[0], true);
	for (i = 2; i < 5; i++)
		bench_copies((int)i);
	for (i = 0; i < 4; i++)
		bench_independent(endpoints[i]);
	return 0;
}
