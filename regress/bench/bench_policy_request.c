/*
 * Benchmark of the policy decisions on the request path: nanoseconds per
 * decision and bytes per table entry, by size.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "lib/xalloc.h"
#include "policy/admit.h"
#include "policy/burn.h"
#include "policy/claim.h"
#include "policy/quarantine.h"
#include "policy/resume.h"
#include "policy/retry.h"
#include "policy/route.h"
#include "policy/share.h"
#include "regress/random.h"

enum {
	REPEATS = 5,
	ROUTE_ROUNDS = 100000,
	SUSPECT_ROUNDS = 2000,
	ADMIT_ROUNDS = 500000,
	RESUME_ROUNDS = 5000000,
	ADMIT_BACKLOG = 2000,
	QUARANTINE_SUSPECTS = 31,
};

static uint64_t sink; /* keeps the compiler from removing the calls */

static double now_ns(void);
static void fill(struct route_candidate *cand, uint32_t n,
		 struct random_source *rnd);
static void bench_route(uint32_t n, enum route_method method, const char *name);
static void bench_admit(uint32_t orgs);
static void bench_resume(void);
static void bench_quarantine(void);
static void print_bytes(void);

/* Returns this thread's CPU time in nanoseconds. */
static double now_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

/* Fills in the candidates' fields that route_choose() reads. */
static void fill(struct route_candidate *cand, uint32_t n,
		 struct random_source *rnd)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		cand[i] = (struct route_candidate){
			.endpoint = i,
			.flags = random_below(rnd, 20) ? ROUTE_UP : 0,
			.slots = 32,
			.running = (uint16_t)random_below(rnd, 32),
			.own_requests = (uint16_t)random_below(rnd, 4),
			.own_requests_reported = (uint16_t)random_below(rnd, 4),
			.report_age_ms = random_below(rnd, 2000),
			.cached_tokens = random_below(rnd, 4000),
			.cache_age_ms = random_below(rnd, 60000),
			.zone_us = 100 + random_below(rnd, 1000),
		};
}

/* Times one choice among n candidates; prints the minimum of REPEATS runs. */
static void bench_route(uint32_t n, enum route_method method, const char *name)
{
	struct route_candidate *cand = xcalloc(n, sizeof(*cand));
	struct random_source rnd = { .seed = n };
	struct route_params params = route_defaults;
	const struct route_request req = {
		.prompt_tokens = 4000,
		.service_ms = 10000,
	};
	double least = INFINITY;
	double start;
	uint32_t i;
	int r;

	params.method = method;
	fill(cand, n, &rnd);
	for (r = 0; r < REPEATS; r++) {
		start = now_ns();
		for (i = 0; i < ROUTE_ROUNDS; i++) {
			cand[i % n].own_requests ^= 1;
			sink += route_choose(&params, &req, cand, n,
					     random_next(&rnd))
					.endpoint;
		}
		least = fmin(least, (now_ns() - start) / ROUTE_ROUNDS);
	}
	printf("route_%s_%u %.0f ns/decision\n", name, n, least);
	free(cand);
}

/* Times arrival, dequeueing and finish of requests, with a constant backlog. */
static void bench_admit(uint32_t orgs)
{
	struct admit_params params = admit_defaults;
	struct random_source rnd = { .seed = orgs };
	struct admit_decision v;
	struct admit_request req = { .priority = ADMIT_NORMAL };
	struct admit *a;
	double start;
	uint32_t i;

	params.slots = 1;
	params.orgs_max = orgs;
	a = admit_new(&params, 0);
	for (i = 0; i < orgs; i++)
		admit_set_org(a, i, 1 + i % 4, 100);
	v = admit_arrive(a, &req, 0, 0);
	for (i = 0; i < ADMIT_BACKLOG; i++) {
		req.org = random_below(&rnd, orgs);
		sink += admit_arrive(a, &req, 0, 0).outcome;
	}
	start = now_ns();
	for (i = 0; i < ADMIT_ROUNDS; i++) {
		uint64_t now = i;

		req.org = random_below(&rnd, orgs);
		req.digest = i + 1;
		sink += admit_arrive(a, &req, now, now).outcome;
		admit_finish(a, v.org, v.kind, v.charged_ms, 5000, true, now);
		while (admit_next(a, now, now, &v))
			sink += v.id;
	}
	printf("admit_orgs_%u %.0f ns/request\n", orgs,
	       (now_ns() - start) / ADMIT_ROUNDS);
	admit_free(a);
}

/* Times the resume policy per relayed token and per decision on a stream. */
static void bench_resume(void)
{
	struct resume_endpoint ep;
	struct resume_stream s;
	double start;
	uint32_t i;

	resume_endpoint_init(&ep, 40);
	resume_endpoint_decoding(&ep, 1, 0);
	resume_stream_init(&s);
	resume_start(&s, 0, 100);
	start = now_ns();
	for (i = 0; i < RESUME_ROUNDS; i++) {
		resume_endpoint_received(&ep, 40ULL * i);
		sink += resume_accept(&s, 1, i, 40ULL * i).outcome;
	}
	printf("resume_token %.1f ns/token\n",
	       (now_ns() - start) / RESUME_ROUNDS);
	start = now_ns();
	for (i = 0; i < RESUME_ROUNDS; i++)
		sink += resume_decide(
			&s,
			resume_endpoint_evaluate(&ep, &resume_favour_latency,
						 40ULL * RESUME_ROUNDS + i),
			&resume_favour_latency, 40ULL * RESUME_ROUNDS + i);
	printf("resume_judge %.1f ns/stream\n",
	       (now_ns() - start) / RESUME_ROUNDS);
}

/* Times quarantine decisions with records of earlier deaths in the table. */
static void bench_quarantine(void)
{
	struct quarantine *q = quarantine_new(&quarantine_defaults);
	struct quarantine_digest d[QUARANTINE_SUSPECTS];
	struct quarantine_digest other;
	double start;
	uint32_t i;

	for (i = 0; i < QUARANTINE_SUSPECTS; i++)
		d[i] = quarantine_digest("org", &i, sizeof(i));
	other = quarantine_digest("org", &i, sizeof(i));
	quarantine_add_death(q, 1, d, QUARANTINE_SUSPECTS, 1);
	quarantine_add_death(q, 2, d, 2, 1);
	start = now_ns();
	for (i = 0; i < RESUME_ROUNDS; i++)
		sink += quarantine_decide(q, &other, 1000).action;
	printf("quarantine_judge_unknown %.1f ns/request\n",
	       (now_ns() - start) / RESUME_ROUNDS);
	start = now_ns();
	for (i = 0; i < SUSPECT_ROUNDS; i++)
		sink += quarantine_decide(q, &d[0], 1000).action;
	printf("quarantine_judge_suspect %.0f ns/request\n",
	       (now_ns() - start) / SUSPECT_ROUNDS);
	quarantine_free(q);
}

/* Prints the memory per entry of the tables that the daemons keep. */
static void print_bytes(void)
{
	struct admit_params p = admit_defaults;
	size_t base, more;

	p.orgs_max = 0;
	base = admit_bytes(&p);
	p.orgs_max = 1000;
	more = admit_bytes(&p);
	printf("admit_bytes_org %zu bytes\n", (more - base) / 1000);
	printf("admit_bytes_queue_and_promises %zu bytes\n", base);
	printf("route_bytes_candidate %zu bytes\n",
	       sizeof(struct route_candidate));
	printf("retry_bytes_budget %zu bytes\n", sizeof(struct retry_budget));
	printf("resume_bytes_stream %zu bytes\n", sizeof(struct resume_stream));
	printf("resume_bytes_endpoint %zu bytes\n",
	       sizeof(struct resume_endpoint));
	printf("claim_bytes_call %zu bytes\n", sizeof(struct claim));
	printf("quarantine_bytes_record %zu bytes\n",
	       sizeof(struct quarantine_record));
	printf("burn_bytes_objective %zu bytes\n", sizeof(struct burn));
}

int main(void)
{
	static const uint32_t candidates[] = { 32, 64, 256 };
	static const uint32_t orgs[] = { 10, 130, 1300 };
	size_t i;

	for (i = 0; i < 3; i++) {
		bench_route(candidates[i], ROUTE_SCAN, "scan");
		bench_route(candidates[i], ROUTE_TWO_CHOICES, "two");
	}
	for (i = 0; i < 3; i++)
		bench_admit(orgs[i]);
	bench_resume();
	bench_quarantine();
	print_bytes();
	fprintf(stderr, "%d\n", (int)(sink & 1));
	return 0;
}
