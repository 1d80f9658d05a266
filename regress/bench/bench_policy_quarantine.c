/*
 * Benchmark of the quarantine policy: endpoints lost to one crashing request,
 * harmless requests blocked with it, and harmless requests blocked when
 * endpoints die for other reasons.
 */
#include <math.h>
#include <stdio.h>

#include "regress/quarantine_sim.h"

enum {
	TRIALS = 300,
	REMAINING_S = 120, /* of a stream after it moved */
	DEATH_TRIALS = 20000,
};

static void bench_crash(int endpoints, bool partitioned);
static void bench_independent(int endpoints);
static void bench_copies(int copies);

/* Measures one crashing request, with or without an exchange of records. */
static void bench_crash(int endpoints, bool partitioned)
{
	const char *how = partitioned ? "cut_" : "";
	int lost[8] = { 0 };
	int harmless = 0, blocked = 0;
	int t, k;

	for (t = 0; t < TRIALS; t++) {
		struct outcome o = quarantine_sim_crash(endpoints, partitioned,
							1, (uint64_t)t + 1);

		lost[o.lost < 8 ? o.lost : 7]++;
		harmless += o.blocked_harmless;
		blocked += o.blocked;
	}
	for (k = 1; k < 8; k++)
		printf("quarantine_%s%d_endpoints_lost_%d%s %.3f of-trials\n",
		       how, endpoints, k, k == 7 ? "_or_more" : "",
		       (double)lost[k] / TRIALS);
	printf("quarantine_%s%d_endpoints_culprit_convicted %.3f of-trials\n",
	       how, endpoints, (double)blocked / TRIALS);
	printf("quarantine_%s%d_endpoints_innocents_convicted %.5f per-trial\n",
	       how, endpoints, (double)harmless / TRIALS);
}

/*
 * No request crashes endpoints: an endpoint dies, its streams move to separate
 * endpoints, and one of these dies too while they run.  Prints how many
 * harmless requests this blocks, and the resulting rate at 61 deaths a day
 * among 920 endpoints.
 */
static void bench_independent(int endpoints)
{
	double per_s = 61.0 / 920 / 86400;
	double chance = 1 - exp(-per_s * endpoints * REMAINING_S);
	int blocked = 0;
	int t, k;

	for (t = 0; t < DEATH_TRIALS / endpoints; t++) {
		struct sim s;

		quarantine_sim_init(&s, endpoints, (uint64_t)t + 1);
		kill_endpoint(&s, 0);
		place(&s);
		exchange(&s);
		s.now += 10000;
		kill_endpoint(&s,
			      (int)random_below(&s.rnd, (uint32_t)endpoints));
		exchange(&s);
		s.now += 10000;
		place(&s);
		for (k = 0; k < STREAMS; k++)
			blocked += s.stream[k].endpoint == -2;
		quarantine_sim_free(&s);
	}
	printf("quarantine_%d_endpoints_second_death_convicts %.3f innocents\n",
	       endpoints, (double)blocked * endpoints / DEATH_TRIALS);
	printf("quarantine_%d_endpoints_false_convictions %.6f per-death\n",
	       endpoints, chance * blocked * endpoints / DEATH_TRIALS);
}

/* Measures copies of the request that run at once from several instances. */
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
