/*
 * Quarantine at policy level: the real tables of several instances, exchanging
 * records after a delay, with simulated endpoints.  Endpoints lost to one
 * crashing request, innocents convicted with it, and innocents convicted when
 * endpoints die for reasons of their own.
 */
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"
#include "policy/quarantine.h"
#include "regress/random.h"

enum {
	INSTANCES = 6,
	ENDPOINTS_MAX = 128,
	STREAMS = 31, /* on the endpoint that dies first; 0 is the culprit */
	CRASH_MS = 400, /* from the start of the culprit to the death */
	EXCHANGE_MS = 150,
	TICK_MS = 50,
	RUN_MS = 20000,
	TRIALS = 300,
	REMAINING_S = 120, /* of a stream after it moved */
	DEATH_TRIALS = 20000,
};

struct stream {
	struct quarantine_digest digest;
	int instance;
	int endpoint; /* -1: waits, -2: refused */
	uint64_t started_ms;
};

struct sim {
	struct random_source rnd;
	struct quarantine *q[INSTANCES];
	uint64_t exported[INSTANCES];
	struct stream stream[STREAMS];
	uint64_t incarnation[ENDPOINTS_MAX];
	int endpoints;
	uint64_t now;
	int lost;
	int moved_innocents;
};

struct outcome {
	int lost;
	int convicted_innocents;
	bool convicted;
};

static void sim_init(struct sim *s, int endpoints, uint64_t seed);
static void sim_free(struct sim *s);
static void die(struct sim *s, int endpoint);
static bool runs_suspect(const struct sim *s, const struct stream *me, int e,
			 bool all);
static int pick(struct sim *s, const struct stream *me, bool alone,
		uint32_t rank);
static void place(struct sim *s);
static void exchange(struct sim *s);
static struct outcome crash_trial(int endpoints, bool cut, uint64_t seed);
static void bench_crash(int endpoints, bool cut);
static void bench_independent(int endpoints);

static void sim_init(struct sim *s, int endpoints, uint64_t seed)
{
	int i;

	memset(s, 0, sizeof(*s));
	s->rnd.seed = seed;
	s->endpoints = endpoints;
	s->now = 100000;
	for (i = 0; i < INSTANCES; i++)
		s->q[i] = quarantine_new(&quarantine_defaults);
	for (i = 0; i < STREAMS; i++)
		s->stream[i] = (struct stream){
			.digest = quarantine_digest("org", &i, sizeof(i)),
			.instance = (int)random_below(&s->rnd, INSTANCES),
			.started_ms = s->now,
		};
}

static void sim_free(struct sim *s)
{
	int i;

	for (i = 0; i < INSTANCES; i++)
		quarantine_free(s->q[i]);
}

/* An endpoint dies and restarts; each instance knows its own streams there. */
static void die(struct sim *s, int endpoint)
{
	uint64_t id =
		1 + (uint64_t)endpoint * 1000 + s->incarnation[endpoint]++;
	int i, k;

	for (i = 0; i < INSTANCES; i++) {
		struct quarantine_digest running[STREAMS];
		size_t n = 0;

		for (k = 0; k < STREAMS; k++)
			if (s->stream[k].instance == i &&
			    s->stream[k].endpoint == endpoint)
				running[n++] = s->stream[k].digest;
		quarantine_death(s->q[i], id, running, n, s->now);
	}
	for (k = 0; k < STREAMS; k++)
		if (s->stream[k].endpoint == endpoint)
			s->stream[k].endpoint = -1;
	s->lost++;
}

/* Says whether e runs a suspect that the stream's instance knows of. */
static bool runs_suspect(const struct sim *s, const struct stream *me, int e,
			 bool all)
{
	int k;

	for (k = 0; k < STREAMS; k++)
		if (s->stream[k].endpoint == e && &s->stream[k] != me &&
		    (all || s->stream[k].instance == me->instance))
			return true;
	return false;
}

/*
 * An endpoint for a suspect.  Instances that place at the same time do not see
 * each other's choice; one that runs alone goes by its rank.
 */
static int pick(struct sim *s, const struct stream *me, bool alone,
		uint32_t rank)
{
	uint32_t left = rank;
	int tries;
	int e;

	for (e = 0; alone && e < s->endpoints; e++)
		if (!runs_suspect(s, me, e, true) && !left--)
			return e;
	if (alone)
		return (int)rank % s->endpoints;
	for (tries = 0; tries < 4 * s->endpoints; tries++) {
		e = (int)random_below(&s->rnd, (uint32_t)s->endpoints);
		if (!runs_suspect(s, me, e, false))
			return e;
	}
	return (int)random_below(&s->rnd, (uint32_t)s->endpoints);
}

/* Places the streams that wait, as their instances judge them. */
static void place(struct sim *s)
{
	int chosen[STREAMS];
	int k;

	for (k = 0; k < STREAMS; k++) {
		struct stream *st = &s->stream[k];
		struct quarantine_finding f;

		chosen[k] = st->endpoint;
		if (st->endpoint != -1)
			continue;
		f = quarantine_judge(s->q[st->instance], &st->digest, s->now);
		if (f.verdict == QUARANTINE_REFUSE)
			chosen[k] = -2;
		else if (f.verdict != QUARANTINE_HOLD)
			chosen[k] = pick(s, st,
					 f.verdict == QUARANTINE_RUN_ALONE,
					 f.rank);
		if (chosen[k] >= 0)
			st->started_ms = s->now;
		if (f.verdict == QUARANTINE_RUN_APART)
			st->endpoint = chosen[k];
	}
	for (k = 0; k < STREAMS; k++)
		s->stream[k].endpoint = chosen[k];
}

/* Instances tell each other what changed. */
static void exchange(struct sim *s)
{
	struct quarantine_record record[4 * STREAMS];
	size_t n, r;
	int i, k;

	for (i = 0; i < INSTANCES; i++) {
		n = quarantine_export(s->q[i], s->exported[i], s->now, record,
				      4 * STREAMS);
		s->exported[i] = s->now;
		for (k = 0; k < INSTANCES; k++)
			for (r = 0; k != i && r < n; r++)
				quarantine_merge(s->q[k], &record[r], s->now);
	}
}

/*
 * The culprit crashes what it runs on until it is refused; cut says that
 * instances do not hear of each other's records.
 */
static struct outcome crash_trial(int endpoints, bool cut, uint64_t seed)
{
	struct outcome out = { 0 };
	struct sim s;
	uint64_t end;
	int k;

	sim_init(&s, endpoints, seed);
	end = s.now + RUN_MS;
	for (; s.now < end; s.now += TICK_MS) {
		struct stream *culprit = &s.stream[0];

		if (culprit->endpoint >= 0 &&
		    s.now >= culprit->started_ms + CRASH_MS)
			die(&s, culprit->endpoint);
		if (!cut && s.now % EXCHANGE_MS == 0)
			exchange(&s);
		place(&s);
	}
	out.lost = s.lost;
	out.convicted = s.stream[0].endpoint == -2;
	for (k = 1; k < STREAMS; k++)
		out.convicted_innocents += s.stream[k].endpoint == -2;
	sim_free(&s);
	return out;
}

static void bench_crash(int endpoints, bool cut)
{
	const char *how = cut ? "cut_" : "";
	int lost[8] = { 0 };
	int innocents = 0, convicted = 0;
	int t, k;

	for (t = 0; t < TRIALS; t++) {
		struct outcome o = crash_trial(endpoints, cut, (uint64_t)t + 1);

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

		sim_init(&s, endpoints, (uint64_t)t + 1);
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
		sim_free(&s);
	}
	printf("quarantine_%d_endpoints_second_death_convicts %.3f innocents\n",
	       endpoints, (double)convicted * endpoints / DEATH_TRIALS);
	printf("quarantine_%d_endpoints_false_convictions %.6f per-death\n",
	       endpoints, chance * convicted * endpoints / DEATH_TRIALS);
}

int main(void)
{
	static const int endpoints[] = { 20, 32, 64, 128 };
	size_t i;

	for (i = 0; i < 4; i++)
		bench_crash(endpoints[i], false);
	bench_crash(endpoints[0], true);
	for (i = 0; i < 4; i++)
		bench_independent(endpoints[i]);
	return 0;
}
