/* Unit tests of policy/burn.c. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "policy/burn.h"

enum { MIN = BURN_MINUTE_MS };

struct burn_case {
	const char *name;
	uint32_t healthy_min; /* 100 good per minute */
	uint32_t faulty_min; /* then good and bad as below per minute */
	uint32_t good;
	uint32_t bad;
	enum burn_level level;
};

/* Objective 0.99: burn rate 1 is 1 bad in 100. */
static const struct burn_case cases[] = {
	{ "quiet", 0, 0, 0, 0, BURN_OK },
	{ "all good", 360, 0, 0, 0, BURN_OK },
	{ "within the objective", 0, 360, 99, 1, BURN_OK },
	{ "one bad minute of 60 is a spike", 355, 1, 0, 100, BURN_OK },
	{ "an outage of 15 minutes", 345, 15, 0, 100, BURN_PAGE },
	{ "a slow leak", 0, 360, 93, 7, BURN_TICKET },
	{ "a fast leak", 300, 60, 80, 20, BURN_PAGE },
};

static void test_levels(void **state)
{
	size_t i;
	uint32_t m;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct burn_case *c = &cases[i];
		uint64_t now = 1000ULL * MIN;
		struct burn b;

		burn_init(&b, now);
		for (m = 0; m < c->healthy_min; m++, now += MIN)
			burn_add(&b, now, 100, 0);
		for (m = 0; m < c->faulty_min; m++, now += MIN)
			burn_add(&b, now, c->good, c->bad);
		if (burn_evaluate(&b, now, 0.99).level != c->level)
			fail_msg("%s", c->name);
	}
}

/* The alert ends soon after the fault, and old minutes leave the windows. */
static void test_recovery(void **state)
{
	struct burn b;
	uint64_t m;

	(void)state;
	burn_init(&b, 0);
	for (m = 0; m < 20; m++)
		burn_add(&b, m * MIN, 0, 100);
	assert_int_equal(burn_evaluate(&b, 20 * MIN, 0.99).level, BURN_PAGE);
	for (; m < 26; m++)
		burn_add(&b, m * MIN, 100, 0);
	assert_true(burn_evaluate(&b, m * MIN, 0.99).level != BURN_PAGE);
	assert_true(burn_rate(&b, (m + 400) * MIN, 360, 0.99) == 0);
}

static void test_budget(void **state)
{
	struct burn b;

	(void)state;
	burn_init(&b, 0);
	assert_true(burn_evaluate(&b, 0, 0.9).budget_left == 1);
	burn_add(&b, 0, 95, 5);
	assert_true(burn_evaluate(&b, 0, 0.9).budget_left > 0.49);
	assert_true(burn_evaluate(&b, 0, 0.9).budget_left < 0.51);
	burn_add(&b, 0, 0, 100);
	assert_true(burn_evaluate(&b, 0, 0.9).budget_left < 0);
	assert_true(burn_evaluate(&b, 0, 1.0).budget_left < 0);
}

/* Merged tables equal one table of all outcomes. */
static void test_merge(void **state)
{
	struct burn a, b, both;
	uint64_t m;

	(void)state;
	burn_init(&a, 0);
	burn_init(&b, 0);
	burn_init(&both, 0);
	for (m = 0; m < 500; m++) {
		burn_add(m % 3 ? &a : &b, m * MIN, (uint32_t)m, 1);
		burn_add(&both, m * MIN, (uint32_t)m, 1);
	}
	burn_merge(&b, &a);
	assert_memory_equal(&b, &both, sizeof(b));
}

/* Late outcomes count in their minute, or in the budget only. */
static void test_late(void **state)
{
	struct burn b;

	(void)state;
	burn_init(&b, 0);
	burn_add(&b, 400ULL * MIN, 10, 0);
	burn_add(&b, 399ULL * MIN, 0, 10);
	burn_add(&b, 1ULL * MIN, 0, 10);
	assert_true(burn_rate(&b, 400ULL * MIN, 1, 0.5) == 0);
	assert_true(burn_rate(&b, 400ULL * MIN, 360, 0.5) == 1);
	assert_int_equal(b.bad, 20);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_levels), cmocka_unit_test(test_recovery),
		cmocka_unit_test(test_budget), cmocka_unit_test(test_merge),
		cmocka_unit_test(test_late),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
