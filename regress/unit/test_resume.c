/* Unit tests of policy/resume.c. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "policy/resume.h"
#include "regress/random.h"

enum { STEP_MS = 40, LOST_MS = 10000 };

static const struct resume_profile *const profiles[] = {
	&resume_favour_latency,
	&resume_favour_work,
};

/* Returns an endpoint that sent a token every STEP_MS until *now. */
static struct resume_endpoint steady_endpoint(uint64_t *now)
{
	struct resume_endpoint ep;
	int i;

	resume_endpoint_init(&ep, STEP_MS);
	resume_endpoint_decoding(&ep, 1, *now);
	for (i = 0; i < 500; i++) {
		*now += STEP_MS;
		resume_endpoint_received(&ep, *now);
	}
	return ep;
}

/* A silent endpoint is suspected, then lost, within the profile's bounds. */
static void test_silence(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < 2; i++) {
		const struct resume_profile *p = profiles[i];
		uint64_t now = 1000;
		struct resume_endpoint ep = steady_endpoint(&now);
		uint32_t suspect = resume_suspect_ms(&ep, p);

		assert_in_range(suspect, p->suspect_min_ms, p->suspect_max_ms);
		assert_true(suspect < 1000);
		assert_int_equal(resume_endpoint_evaluate(&ep, p,
							  now + suspect - 1),
				 RESUME_HEALTHY);
		assert_int_equal(resume_endpoint_evaluate(&ep, p,
							  now + suspect),
				 RESUME_SUSPECT);
		assert_int_equal(resume_endpoint_evaluate(
					 &ep, p,
					 now + suspect + p->lost_after_ms),
				 RESUME_LOST);
	}
}

/* A slow or uneven endpoint has a higher threshold, up to the bound. */
static void test_adapts(void **state)
{
	const struct resume_profile *p = &resume_favour_latency;
	struct random_source rnd = { .seed = 3 };
	struct resume_endpoint ep;
	uint64_t now = 0;
	int i;

	(void)state;
	resume_endpoint_init(&ep, STEP_MS);
	resume_endpoint_decoding(&ep, 1, now);
	for (i = 0; i < 500; i++) {
		now += 20 + random_below(&rnd, 100);
		resume_endpoint_received(&ep, now);
	}
	assert_true(resume_suspect_ms(&ep, p) > p->suspect_min_ms);
	for (i = 0; i < 500; i++) {
		now += 100 + random_below(&rnd, 2000);
		resume_endpoint_received(&ep, now);
	}
	assert_int_equal(resume_suspect_ms(&ep, p), p->suspect_max_ms);
}

/* Idle time and stalls of the instance itself do not count as silence. */
static void test_discounts(void **state)
{
	const struct resume_profile *p = &resume_favour_latency;
	uint64_t now = 1000;
	struct resume_endpoint ep = steady_endpoint(&now);

	(void)state;
	resume_endpoint_discount(&ep, 3000);
	assert_int_equal(resume_endpoint_evaluate(&ep, p, now + 3000),
			 RESUME_HEALTHY);
	resume_endpoint_decoding(&ep, -1, now);
	assert_int_equal(resume_endpoint_evaluate(&ep, p, now + LOST_MS),
			 RESUME_HEALTHY);
	resume_endpoint_decoding(&ep, 1, now + LOST_MS);
	assert_int_equal(resume_endpoint_evaluate(&ep, p, now + LOST_MS + 10),
			 RESUME_HEALTHY);
}

static void test_local_fault(void **state)
{
	(void)state;
	assert_false(resume_local_fault(1, 1));
	assert_false(resume_local_fault(3, 3));
	assert_false(resume_local_fault(2, 4));
	assert_true(resume_local_fault(3, 4));
	assert_false(resume_local_fault(0, 20));
}

struct token {
	uint32_t attempt;
	uint32_t pos;
	enum resume_outcome outcome;
	uint32_t cancel;
};

/* Attempt 1 runs, attempt 2 is its hedge, positions 0 to 4 were relayed. */
struct fence_case {
	const char *name;
	struct token token[5];
};

static const struct fence_case fence_cases[] = {
	{ "first attempt continues first",
	  { { 1, 5, RESUME_RELAY, 2 },
	    { 2, 5, RESUME_DROP_STALE, 2 },
	    { 2, 6, RESUME_DROP_STALE, 2 },
	    { 1, 6, RESUME_RELAY, 0 } } },
	{ "hedge takes over, the first attempt continues late",
	  { { 2, 5, RESUME_RELAY, 1 },
	    { 1, 5, RESUME_DROP_STALE, 1 },
	    { 1, 6, RESUME_DROP_STALE, 1 },
	    { 2, 6, RESUME_RELAY, 0 } } },
	{ "a repeated position does not take over",
	  { { 2, 4, RESUME_DROP_DUPLICATE, 0 },
	    { 1, 3, RESUME_DROP_DUPLICATE, 0 },
	    { 2, 5, RESUME_RELAY, 1 } } },
	{ "a gap does not take over",
	  { { 2, 6, RESUME_GAP, 2 }, { 1, 5, RESUME_RELAY, 2 } } },
	{ "unknown attempt numbers",
	  { { 0, 5, RESUME_DROP_STALE, 0 }, { 9, 5, RESUME_DROP_STALE, 9 } } },
	{ "last position", { { 1, UINT32_MAX, RESUME_GAP, 1 } } },
};

static void test_fencing(void **state)
{
	size_t i;
	int k;

	(void)state;
	for (i = 0; i < sizeof(fence_cases) / sizeof(fence_cases[0]); i++) {
		const struct fence_case *c = &fence_cases[i];
		struct resume_stream s;

		resume_stream_init(&s);
		assert_int_equal(resume_start(&s, 0, 100), 1);
		for (k = 0; k < 5; k++)
			resume_accept(&s, 1, (uint32_t)k, 0);
		assert_int_equal(resume_start_hedge(&s), 2);
		for (k = 0; k < 5 && (c->token[k].attempt || c->token[k].pos);
		     k++) {
			const struct token *t = &c->token[k];
			struct resume_decision d =
				resume_accept(&s, t->attempt, t->pos, 0);

			if (d.outcome != t->outcome || d.cancel != t->cancel)
				fail_msg("%s: token %d: outcome %d cancel %u",
					 c->name, k, d.outcome, d.cancel);
		}
	}
}

/*
 * With random events, positions are relayed once and in order, and after a
 * change of attempt the older one is never relayed again.
 */
static void test_random_attempts(void **state)
{
	struct random_source rnd = { .seed = 4 };
	int trial, i;

	(void)state;
	for (trial = 0; trial < 200; trial++) {
		struct resume_stream s;
		uint32_t next = 0;
		uint32_t relayed_attempt = 0;

		resume_stream_init(&s);
		for (i = 0; i < 500; i++) {
			uint32_t a = random_below(&rnd, s.last_attempt + 2);
			uint32_t pos = next + random_below(&rnd, 3) - 1;
			uint32_t event = random_below(&rnd, 20);

			if (s.attempt == RESUME_NO_ATTEMPT || event == 0)
				resume_start(&s, 0, 100);
			else if (event == 1 && s.hedge == RESUME_NO_ATTEMPT)
				resume_start_hedge(&s);
			else if (event == 2)
				resume_attempt_lost(&s, a, 0);
			if (resume_accept(&s, a, pos, 0).outcome !=
			    RESUME_RELAY)
				continue;
			assert_int_equal(pos, next++);
			assert_true(a >= relayed_attempt || s.hedge == 0);
			assert_true(a == s.attempt);
			relayed_attempt = a;
		}
		assert_int_equal(s.next_pos, next);
	}
}

static void test_lost_attempts(void **state)
{
	struct resume_stream s;

	(void)state;
	resume_stream_init(&s);
	resume_start(&s, 0, 100);
	resume_start_hedge(&s);
	assert_int_equal(resume_attempt_lost(&s, 1, 5), 2);
	assert_int_equal(resume_attempt_lost(&s, 1, 5), 2);
	assert_int_equal(resume_attempt_lost(&s, 2, 5), RESUME_NO_ATTEMPT);
	assert_int_equal(resume_decide(&s, RESUME_HEALTHY, &resume_favour_work,
				       5),
			 RESUME_MOVE);
	assert_int_equal(resume_start(&s, 5, 100), 3);
}

struct decide_case {
	const char *name;
	bool first_token;
	bool hedged;
	enum resume_health endpoint;
	uint32_t silent_ms; /* since the last token, or its expected time */
	enum resume_action action;
};

static void test_decide(void **state)
{
	static const struct decide_case cases[] = {
		{ "healthy", true, false, RESUME_HEALTHY, 100, RESUME_WAIT },
		{ "endpoint suspected", true, false, RESUME_SUSPECT, 300,
		  RESUME_HEDGE },
		{ "endpoint lost", true, false, RESUME_LOST, 300, RESUME_MOVE },
		{ "hedge is running", true, true, RESUME_LOST, 300,
		  RESUME_WAIT },
		{ "one stream silent", true, false, RESUME_HEALTHY, 1500,
		  RESUME_HEDGE },
		{ "one stream lost", true, false, RESUME_HEALTHY, 5000,
		  RESUME_MOVE },
		{ "first token not late", false, false, RESUME_HEALTHY, 0,
		  RESUME_WAIT },
		{ "first token late", false, false, RESUME_HEALTHY, 1500,
		  RESUME_HEDGE },
		{ "first token very late", false, false, RESUME_HEALTHY, 3000,
		  RESUME_MOVE },
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct decide_case *c = &cases[i];
		uint64_t from = c->first_token ? 50 : 2000;
		struct resume_stream s;

		resume_stream_init(&s);
		resume_start(&s, 0, 2000);
		if (c->first_token)
			resume_accept(&s, 1, 0, from);
		if (c->hedged)
			resume_start_hedge(&s);
		if (resume_decide(&s, c->endpoint, &resume_favour_latency,
				  from + c->silent_ms) != c->action)
			fail_msg("%s", c->name);
	}
}

/* A hedge is lost with its endpoint or when its first token is overdue. */
static void test_hedge_lost(void **state)
{
	static const struct {
		enum resume_health endpoint;
		uint32_t after_ms; /* since its start */
		bool lost;
	} cases[] = {
		{ RESUME_HEALTHY, 0, false },	{ RESUME_HEALTHY, 1599, false },
		{ RESUME_HEALTHY, 1600, true }, { RESUME_SUSPECT, 0, true },
		{ RESUME_LOST, 0, true },
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(resume_hedge_lost(cases[i].endpoint, 1000, 100,
						   &resume_favour_latency,
						   1000 + cases[i].after_ms),
				 cases[i].lost);
}

/* Hedges get no more prefill than their share and the burst. */
static void test_budget(void **state)
{
	struct resume_profile p = resume_favour_work;
	struct resume_budget b;
	uint64_t taken = 0;
	int i;

	(void)state;
	p.hedge_burst_tokens = 1000;
	p.hedge_permille = 5;
	resume_budget_init(&b, &p);
	for (i = 0; i < 1000000; i++) {
		resume_budget_relayed(&b, &p, 1);
		if (resume_budget_take(&b, 500))
			taken += 500;
	}
	assert_in_range(taken, 5000, 6000);
	resume_budget_refund(&b, &p, UINT32_MAX);
	assert_int_equal(b.credit_milli, 1000 * 1000);
}

/*
 * Rare long gaps of a live endpoint raise the threshold above their length, so
 * that they start no hedges; the threshold falls again when they stop.
 */
static void test_adapts_to_tail(void **state)
{
	const struct resume_profile *p = &resume_favour_latency;
	struct resume_endpoint ep;
	uint64_t now = 0;
	uint32_t suspected = 0;
	int i;

	(void)state;
	resume_endpoint_init(&ep, STEP_MS);
	resume_endpoint_decoding(&ep, 1, now);
	for (i = 0; i < 40000; i++) {
		uint32_t gap = i % 100 ? STEP_MS : 380;

		if (i > 20000 && gap >= resume_suspect_ms(&ep, p))
			suspected++;
		now += gap;
		resume_endpoint_received(&ep, now);
	}
	assert_int_equal(suspected, 0);
	assert_in_range(resume_suspect_ms(&ep, p), 381, p->suspect_max_ms);
	for (i = 0; i < 200000; i++) {
		now += STEP_MS;
		resume_endpoint_received(&ep, now);
	}
	assert_int_equal(resume_suspect_ms(&ep, p), p->suspect_min_ms);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_silence),
		cmocka_unit_test(test_adapts),
		cmocka_unit_test(test_discounts),
		cmocka_unit_test(test_local_fault),
		cmocka_unit_test(test_fencing),
		cmocka_unit_test(test_random_attempts),
		cmocka_unit_test(test_lost_attempts),
		cmocka_unit_test(test_decide),
		cmocka_unit_test(test_hedge_lost),
		cmocka_unit_test(test_budget),
		cmocka_unit_test(test_adapts_to_tail),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
