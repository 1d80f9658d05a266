/* Unit tests of policy/route.c. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "policy/route.h"

enum { CANDS_MAX = 4, UP = ROUTE_UP, RND = 0 };

struct route_case {
	const char *name;
	enum route_isolation isolation;
	uint32_t rank;
	size_t n;
	struct route_candidate cand[CANDS_MAX];
	enum route_outcome outcome;
	uint32_t endpoint;
};

/* Endpoint e with flags f, s slots and r running requests of other
 * instances. */
#define CAND(e, f, s, r) \
	.endpoint = (e), .flags = (f), .slots = (s), .running = (r)

static const struct route_case cases[] = {
	{ "no candidates", .n = 0, .outcome = ROUTE_NONE_UP },
	{ "all down", .n = 2,
	  .cand = { { CAND(1, 0, 8, 0) }, { CAND(2, 0, 8, 0) } },
	  .outcome = ROUTE_NONE_UP },
	{ "leaving gets nothing", .n = 2,
	  .cand = { { CAND(1, UP | ROUTE_LEAVING, 8, 0) },
		    { CAND(2, UP, 8, 7) } },
	  .outcome = ROUTE_OK, .endpoint = 2 },
	{ "only leaving", .n = 1,
	  .cand = { { CAND(1, UP | ROUTE_LEAVING, 8, 0) } },
	  .outcome = ROUTE_NONE_UP },
	{ "no slots counts as down", .n = 1, .cand = { { CAND(1, UP, 0, 0) } },
	  .outcome = ROUTE_NONE_UP },
	{ "avoided everywhere", .n = 2,
	  .cand = { { CAND(1, UP | ROUTE_AVOID, 8, 0) }, { CAND(2, 0, 8, 0) } },
	  .outcome = ROUTE_ALL_AVOIDED },
	{ "busy outranks avoided", .n = 2,
	  .cand = { { CAND(1, UP | ROUTE_AVOID, 8, 0) },
		    { CAND(2, UP, 8, 8), .queued = 8 } },
	  .outcome = ROUTE_ALL_BUSY },
	{ "least loaded", .n = 3,
	  .cand = { { CAND(1, UP, 8, 6) },
		    { CAND(2, UP, 8, 2) },
		    { CAND(3, UP, 8, 4) } },
	  .outcome = ROUTE_OK, .endpoint = 2 },
	{ "own requests since the report count", .n = 2,
	  .cand = { { CAND(1, UP, 8, 0), .own_requests = 6 },
		    { CAND(2, UP, 8, 4) } },
	  .outcome = ROUTE_OK, .endpoint = 2 },
	{ "own requests finished since the report do not count", .n = 2,
	  .cand = { { CAND(1, UP, 8, 7), .own_requests_reported = 7 },
		    { CAND(2, UP, 8, 2) } },
	  .outcome = ROUTE_OK, .endpoint = 1 },
	{ "cached prefix outweighs a little load", .n = 2,
	  .cand = { { CAND(1, UP, 8, 2), .cached_tokens = 8000 },
		    { CAND(2, UP, 8, 1) } },
	  .outcome = ROUTE_OK, .endpoint = 1 },
	{ "an old cache event does not outweigh load", .n = 2,
	  .cand = { { CAND(1, UP, 8, 2), .cached_tokens = 8000,
		      .cache_age_ms = 600000 },
		    { CAND(2, UP, 8, 1) } },
	  .outcome = ROUTE_OK, .endpoint = 2 },
	{ "a cached prefix longer than the prompt is capped", .n = 2,
	  .cand = { { CAND(1, UP, 8, 7), .cached_tokens = 4000000000U },
		    { CAND(2, UP, 8, 0), .cached_tokens = 8000 } },
	  .outcome = ROUTE_OK, .endpoint = 2 },
	{ "nearest zone", .n = 2,
	  .cand = { { CAND(1, UP, 8, 2), .zone_us = 5000 },
		    { CAND(2, UP, 8, 2), .zone_us = 100 } },
	  .outcome = ROUTE_OK, .endpoint = 2 },
	{ "silent only if nothing else", .n = 2,
	  .cand = { { CAND(1, UP | ROUTE_SILENT, 8, 0) },
		    { CAND(2, UP, 8, 7) } },
	  .outcome = ROUTE_OK, .endpoint = 2 },
	{ "silent rather than none", .n = 2,
	  .cand = { { CAND(1, UP | ROUTE_SILENT, 8, 0) },
		    { CAND(2, UP | ROUTE_LEAVING, 8, 0) } },
	  .outcome = ROUTE_OK, .endpoint = 1 },
	{ "a suspect is kept apart from another",
	  .isolation = ROUTE_ISOLATE_SUSPECT, .n = 2,
	  .cand = { { CAND(1, UP | ROUTE_RUNS_SUSPECT, 8, 0) },
		    { CAND(2, UP, 8, 7) } },
	  .outcome = ROUTE_OK, .endpoint = 2 },
	{ "with a suspect rather than not at all",
	  .isolation = ROUTE_ISOLATE_SUSPECT, .n = 3,
	  .cand = { { CAND(1, UP | ROUTE_RUNS_SUSPECT, 8, 0) },
		    { CAND(2, UP | ROUTE_RESERVED, 8, 0) },
		    { CAND(3, UP | ROUTE_SILENT, 8, 0) } },
	  .outcome = ROUTE_OK, .endpoint = 1 },
	{ "ranks differ also with suspects", .isolation = ROUTE_ISOLATE_FULL,
	  .rank = 1, .n = 2,
	  .cand = { { CAND(1, UP | ROUTE_RUNS_SUSPECT, 8, 0) },
		    { CAND(2, UP | ROUTE_RUNS_SUSPECT, 8, 0) } },
	  .outcome = ROUTE_OK, .endpoint = 2 },
	{ "no request joins an isolated request", .n = 1,
	  .cand = { { CAND(1, UP | ROUTE_RESERVED, 8, 1) } },
	  .outcome = ROUTE_ALL_RESERVED },
	{ "an isolated request takes an idle endpoint",
	  .isolation = ROUTE_ISOLATE_FULL, .n = 2,
	  .cand = { { CAND(1, UP, 8, 1), .cached_tokens = 8000 },
		    { CAND(2, UP, 8, 0) } },
	  .outcome = ROUTE_OK, .endpoint = 2 },
	{ "ranks go to different endpoints", .isolation = ROUTE_ISOLATE_FULL,
	  .rank = 1, .n = 3,
	  .cand = { { CAND(7, UP, 8, 0) },
		    { CAND(5, UP, 8, 0) },
		    { CAND(6, UP, 8, 0) } },
	  .outcome = ROUTE_OK, .endpoint = 6 },
	{ "an isolated request joins others if no endpoint is idle",
	  .isolation = ROUTE_ISOLATE_FULL, .n = 2,
	  .cand = { { CAND(1, UP, 8, 3) },
		    { CAND(2, UP | ROUTE_RUNS_SUSPECT, 8, 0) } },
	  .outcome = ROUTE_OK, .endpoint = 1 },
};

static void test_cases(void **state)
{
	const struct route_request base = {
		.prompt_tokens = 8000,
		.service_ms = 10000,
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct route_case *c = &cases[i];
		struct route_request req = base;
		struct route_choice got;

		req.isolation = c->isolation;
		req.rank = c->rank;
		got = route_choose(&route_defaults, &req, c->cand, c->n, RND);
		if (got.outcome != c->outcome ||
		    (c->outcome == ROUTE_OK && got.endpoint != c->endpoint))
			fail_msg("%s: outcome %d endpoint %u", c->name,
				 got.outcome, got.endpoint);
	}
}

/* Equal candidates are all used, with each method. */
static void test_spread(void **state)
{
	static const enum route_method methods[] = { ROUTE_SCAN,
						     ROUTE_TWO_CHOICES };
	const struct route_request req = { .service_ms = 1000 };
	struct route_params params = route_defaults;
	size_t m;

	(void)state;
	for (m = 0; m < 2; m++) {
		struct route_candidate cand[4] = { 0 };
		unsigned int seen = 0;
		uint64_t k;

		params.method = methods[m];
		for (k = 0; k < 4; k++)
			cand[k] = (struct route_candidate){ CAND((uint32_t)k,
								 UP, 8, 2) };
		for (k = 0; k < 64; k++)
			seen |= 1U << route_choose(&params, &req, cand, 4,
						   k * 0x9e3779b97f4a7c15U)
					      .endpoint;
		assert_int_equal(seen, 0xf);
	}
}

/* Two choices find the only permitted endpoint even if the draws miss it. */
static void test_two_falls_back(void **state)
{
	const struct route_request req = { .service_ms = 1000 };
	struct route_params params = route_defaults;
	struct route_candidate cand[4] = { { CAND(0, 0, 8, 0) },
					   { CAND(1, 0, 8, 0) },
					   { CAND(2, 0, 8, 0) },
					   { CAND(3, UP, 8, 0) } };
	struct route_choice got;

	(void)state;
	params.method = ROUTE_TWO_CHOICES;
	got = route_choose(&params, &req, cand, 4, 0);
	assert_int_equal(got.outcome, ROUTE_OK);
	assert_int_equal(got.endpoint, 3);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cases),
		cmocka_unit_test(test_spread),
		cmocka_unit_test(test_two_falls_back),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
