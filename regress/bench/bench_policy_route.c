/*
 * Measures the quality of routing at the policy level: several instances route
 * to shared endpoints by load reports and cache events that lag.  It starts no
 * processes and uses a simulated clock.
 */
#include <assert.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"
#include "policy/route.h"
#include "regress/random.h"

enum {
	SEEDS = 6,
	INSTANCES = 6,
	ENDPOINTS = 24,
	SLOTS = 32,
	SERVICE_MS = 10000,
	TICK_MS = 10,
	REPORT_MS = 1000, /* interval of load reports */
	REPORT_LAG_MS = 500,
	CACHE_LAG_MS = 2000,
	CACHE_LOST_PERCENT = 10,
	PREFIXES = 60, /* number of distinct prompt prefixes */
	PREFIX_TOKENS = 3000,
	CACHE_PREFIXES = 8, /* prefixes that an endpoint caches */
	RUN_MS = 400000,
	WARM_MS = 60000,
	REQUESTS = 1 << 17,
	CALENDAR = 1 << 15,
};

struct request {
	uint32_t next;
	uint16_t instance;
	uint16_t endpoint;
	uint32_t service_ms;
	uint64_t arrived_ms;
};

struct endpoint {
	uint32_t running;
	uint32_t queued;
	uint32_t head;
	uint32_t tail;
	uint64_t prefix_used_ms[PREFIXES]; /* 0: not in the cache */
};

/* An instance's view of an endpoint. */
struct view {
	uint16_t own_now;
	uint16_t own_reported;
	uint16_t running;
	uint16_t queued;
	uint16_t own_at_report; /* value in the report in transit */
	uint16_t running_sent;
	uint16_t queued_sent;
	uint64_t sent_ms;
	uint64_t prefix_ms[PREFIXES]; /* time of the cache event; 0: none */
};

struct sim {
	struct route_params params;
	struct random_source rnd;
	uint64_t now;
	bool ignore_own;
	struct endpoint endpoint[ENDPOINTS];
	struct view view[INSTANCES][ENDPOINTS];
	struct request request[REQUESTS];
	uint32_t calendar[CALENDAR];
	uint32_t n;
	float wait[REQUESTS];
	uint32_t nwaits;
	uint64_t prompt_tokens, cached_tokens;
};

struct result {
	double wait_mean_ms;
	double wait_p99_ms;
	double hits;
};

struct variant {
	const char *name;
	enum route_method method;
	bool ignore_own; /* ignore the instance's own requests */
	bool no_cache;
	bool trust_reports; /* weight reports equally at any age */
};

static void report(struct sim *s);
static void finish(struct sim *s, uint32_t r);
static void start(struct sim *s, uint32_t r);
static void serve(struct sim *s, uint32_t r, uint32_t prefix);
static void arrive(struct sim *s, uint32_t instance);
static struct result simulate(const struct variant *v, double load,
			      uint64_t seed);
static void run(const struct variant *v, double load);
static int compare_waits(const void *a, const void *b);

/* Sends the endpoints' load reports, which arrive after a lag. */
static void report(struct sim *s)
{
	uint32_t i, e;

	for (i = 0; i < INSTANCES; i++)
		for (e = 0; e < ENDPOINTS; e++) {
			struct view *v = &s->view[i][e];
			uint64_t phase = s->now + (e * 41 + i * 17) % 100 * 10;

			if (phase % REPORT_MS == 0) {
				v->sent_ms = s->now;
				v->running_sent =
					(uint16_t)s->endpoint[e].running;
				v->queued_sent =
					(uint16_t)s->endpoint[e].queued;
				v->own_at_report = v->own_now;
			}
			if (phase % REPORT_MS != REPORT_LAG_MS)
				continue;
			v->running = v->running_sent;
			v->queued = v->queued_sent;
			v->own_reported = v->own_at_report;
		}
}

/* Puts a request into a slot. */
static void start(struct sim *s, uint32_t r)
{
	struct request *q = &s->request[r];
	uint64_t tick = (s->now + q->service_ms) / TICK_MS + 1;
	uint32_t *head = &s->calendar[tick % CALENDAR];

	assert(q->service_ms / TICK_MS < CALENDAR - 2);
	s->endpoint[q->endpoint].running++;
	if (s->now > WARM_MS)
		s->wait[s->nwaits++] = (float)(s->now - q->arrived_ms);
	q->next = *head;
	*head = r;
}

/* Ends a request and starts the next one queued at its endpoint. */
static void finish(struct sim *s, uint32_t r)
{
	struct request *q = &s->request[r];
	struct endpoint *e = &s->endpoint[q->endpoint];

	s->view[q->instance][q->endpoint].own_now--;
	e->running--;
	if (!e->queued)
		return;
	e->queued--;
	r = e->head;
	e->head = s->request[r].next;
	start(s, r);
}

/* Delivers a request to its endpoint, whose cache evicts the least recently
 * used prefix. */
static void serve(struct sim *s, uint32_t r, uint32_t prefix)
{
	struct endpoint *e = &s->endpoint[s->request[r].endpoint];
	uint32_t held = 0, oldest = PREFIXES, p, i;

	s->prompt_tokens += PREFIX_TOKENS;
	if (e->prefix_used_ms[prefix])
		s->cached_tokens += PREFIX_TOKENS;
	e->prefix_used_ms[prefix] = s->now;
	for (p = 0; p < PREFIXES; p++) {
		if (!e->prefix_used_ms[p])
			continue;
		held++;
		if (oldest == PREFIXES ||
		    e->prefix_used_ms[p] < e->prefix_used_ms[oldest])
			oldest = p;
	}
	for (i = 0; i < INSTANCES; i++) {
		uint64_t *seen = s->view[i][s->request[r].endpoint].prefix_ms;

		if (random_below(&s->rnd, 100) >= CACHE_LOST_PERCENT)
			seen[prefix] = s->now;
		if (held > CACHE_PREFIXES &&
		    random_below(&s->rnd, 100) >= CACHE_LOST_PERCENT)
			seen[oldest] = 0;
	}
	if (held > CACHE_PREFIXES)
		e->prefix_used_ms[oldest] = 0;
	if (e->running < SLOTS) {
		start(s, r);
		return;
	}
	s->request[r].next = UINT32_MAX;
	if (e->queued++)
		s->request[e->tail].next = r;
	else
		e->head = r;
	e->tail = r;
}

/* Routes a new request at an instance. */
static void arrive(struct sim *s, uint32_t instance)
{
	struct route_candidate cand[ENDPOINTS] = { 0 };
	const struct route_request req = { .prompt_tokens = PREFIX_TOKENS + 500,
					   .service_ms = SERVICE_MS };
	uint32_t prefix = random_below(&s->rnd, PREFIXES);
	struct route_choice choice;
	uint32_t r = s->n++;
	uint32_t e;

	assert(r < REQUESTS);
	for (e = 0; e < ENDPOINTS; e++) {
		const struct view *v = &s->view[instance][e];
		uint64_t seen = v->prefix_ms[prefix];

		cand[e] = (struct route_candidate){
			.endpoint = e,
			.flags = ROUTE_UP,
			.slots = SLOTS,
			.running = v->running,
			.queued = v->queued,
			.own_requests = s->ignore_own ? 0 : v->own_now,
			.own_requests_reported =
				s->ignore_own ? 0 : v->own_reported,
			.report_age_ms = REPORT_LAG_MS + REPORT_MS / 2,
		};
		if (!seen || s->now < seen + CACHE_LAG_MS)
			continue;
		cand[e].cached_tokens = PREFIX_TOKENS;
		cand[e].cache_age_ms = (uint32_t)(s->now - seen);
	}
	choice = route_choose(&s->params, &req, cand, ENDPOINTS,
			      random_next(&s->rnd));
	if (choice.outcome != ROUTE_OK)
		choice.endpoint = random_below(&s->rnd, ENDPOINTS);
	s->request[r] = (struct request){
		.instance = (uint16_t)instance,
		.endpoint = (uint16_t)choice.endpoint,
		.service_ms =
			1 +
			(uint32_t)fmin(-SERVICE_MS * log(random_unit(&s->rnd)),
				       TICK_MS * (CALENDAR - 4)),
		.arrived_ms = s->now,
	};
	s->view[instance][choice.endpoint].own_now++;
	serve(s, r, prefix);
}

/* Compares waits, for qsort(). */
static int compare_waits(const void *a, const void *b)
{
	float x = *(const float *)a;
	float y = *(const float *)b;

	return (x > y) - (x < y);
}

/* Simulates one variant at a load given as a fraction of capacity. */
static struct result simulate(const struct variant *v, double load,
			      uint64_t seed)
{
	struct sim *s = xcalloc(1, sizeof(*s));
	double per_tick = load * ENDPOINTS * SLOTS * TICK_MS / SERVICE_MS;
	struct result result = { 0 };
	double due = 0, sum = 0;
	uint32_t i;

	s->params = route_defaults;
	s->params.method = v->method;
	s->ignore_own = v->ignore_own;
	if (v->no_cache)
		s->params.prefill_us_per_token = 0;
	if (v->trust_reports)
		s->params.report_half_life_ms = 1U << 30;
	s->rnd.seed = seed;
	memset(s->calendar, 0xff, sizeof(s->calendar));
	for (s->now = TICK_MS; s->now < RUN_MS; s->now += TICK_MS) {
		uint32_t *head = &s->calendar[s->now / TICK_MS % CALENDAR];
		uint32_t r = *head;

		*head = UINT32_MAX;
		while (r != UINT32_MAX) {
			uint32_t next = s->request[r].next;

			finish(s, r);
			r = next;
		}
		report(s);
		for (due -= per_tick; due < 0; due -= log(random_unit(&s->rnd)))
			arrive(s, random_below(&s->rnd, INSTANCES));
	}
	qsort(s->wait, s->nwaits, sizeof(*s->wait), compare_waits);
	for (i = 0; i < s->nwaits; i++)
		sum += (double)s->wait[i];
	result.wait_mean_ms = sum / s->nwaits;
	result.wait_p99_ms = (double)s->wait[s->nwaits / 100 * 99];
	result.hits = (double)s->cached_tokens / (double)s->prompt_tokens;
	free(s);
	return result;
}

/* Prints the means of one variant over all seeds. */
static void run(const struct variant *v, double load)
{
	struct result sum = { 0 };
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct result r = simulate(v, load, seed);

		sum.wait_mean_ms += r.wait_mean_ms / SEEDS;
		sum.wait_p99_ms += r.wait_p99_ms / SEEDS;
		sum.hits += r.hits / SEEDS;
	}
	printf("route_load_%.2f_%s_wait_mean %.1f ms\n", load, v->name,
	       sum.wait_mean_ms);
	printf("route_load_%.2f_%s_wait_p99 %.0f ms\n", load, v->name,
	       sum.wait_p99_ms);
	printf("route_load_%.2f_%s_prefix_hits %.3f of-requests\n", load,
	       v->name, sum.hits);
}

int main(void)
{
	static const struct variant variants[] = {
		{ "scan", ROUTE_SCAN, false, false, false },
		{ "two", ROUTE_TWO_CHOICES, false, false, false },
		{ "scan_reports_only", ROUTE_SCAN, true, false, false },
		{ "scan_no_cache", ROUTE_SCAN, false, true, false },
		{ "scan_trust_reports", ROUTE_SCAN, false, false, true },
	};
	static const double loads[] = { 0.7, 0.85, 0.95 };
	size_t i, k;

	for (i = 0; i < 3; i++)
		for (k = 0; k < sizeof(variants) / sizeof(variants[0]); k++)
			run(&variants[k], loads[i]);
	return 0;
}
