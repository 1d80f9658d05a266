/* Unit tests of policy/retry.c. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "policy/retry.h"

/* A failing service gets at most the initial credit and the floor. */
static void test_retries_are_bounded(void **state)
{
	struct retry_budget org, service;
	uint64_t now;
	uint32_t taken = 0;

	(void)state;
	retry_init(&org, &retry_defaults, 0);
	retry_init(&service, &retry_defaults, 0);
	for (now = 0; now < 60000; now += 10)
		taken += retry_take(&org, &service, &retry_defaults, 1, now) ==
			 RETRY_OK;
	assert_in_range(taken, retry_defaults.floor_per_min,
			2 * retry_defaults.floor_per_min);
}

/* Under steady load, retries are the configured share of successes. */
static void test_share_of_successes(void **state)
{
	struct retry_params params = retry_defaults;
	struct retry_budget org, service;
	uint32_t taken = 0;
	int i;

	(void)state;
	params.floor_per_min = 0;
	retry_init(&org, &params, 0);
	retry_init(&service, &params, 0);
	for (i = 0; i < 1000; i++) {
		retry_success(&org, &params);
		retry_success(&service, &params);
		taken += retry_take(&org, &service, &params, 1, 0) == RETRY_OK;
	}
	assert_int_equal(taken, 100);
}

struct take_case {
	const char *name;
	uint64_t org_milli;
	uint64_t service_milli;
	uint32_t attempts;
	enum retry_outcome outcome;
};

static void test_take(void **state)
{
	static const struct take_case cases[] = {
		{ "both have one", 1000, 1000, 1, RETRY_OK },
		{ "organisation has none", 999, 5000, 1, RETRY_ORG_EXHAUSTED },
		{ "service has none", 5000, 999, 1, RETRY_SERVICE_EXHAUSTED },
		{ "too many attempts", 5000, 5000, 4,
		  RETRY_ATTEMPTS_EXHAUSTED },
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct take_case *c = &cases[i];
		struct retry_budget org = { .credit_milli = c->org_milli };
		struct retry_budget service = { .credit_milli =
							c->service_milli };
		uint64_t cost = c->outcome == RETRY_OK ? 1000 : 0;

		if (retry_take(&org, &service, &retry_defaults, c->attempts,
			       0) != c->outcome)
			fail_msg("%s", c->name);
		assert_int_equal(org.credit_milli, c->org_milli - cost);
		assert_int_equal(service.credit_milli, c->service_milli - cost);
	}
}

static void test_burst_and_overflow(void **state)
{
	struct retry_params params = retry_defaults;
	struct retry_budget b;
	int i;

	(void)state;
	params.deposit_permille = UINT32_MAX;
	retry_init(&b, &params, 0);
	for (i = 0; i < 10; i++)
		retry_success(&b, &params);
	assert_int_equal(b.credit_milli, params.burst * 1000);
}

static void test_backoff(void **state)
{
	const struct retry_params *p = &retry_defaults;

	(void)state;
	assert_int_equal(retry_backoff_ms(p, 1, 0), 0);
	assert_int_equal(retry_backoff_ms(p, 1, 25), 25);
	assert_int_equal(retry_backoff_ms(p, 3, 100), 100);
	assert_int_equal(retry_backoff_ms(p, 3, 101), 0);
	assert_int_equal(retry_backoff_ms(p, 1000, 2000), 2000);
	assert_in_range(retry_backoff_ms(p, UINT32_MAX, UINT64_MAX), 0, 2000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_retries_are_bounded),
		cmocka_unit_test(test_share_of_successes),
		cmocka_unit_test(test_take),
		cmocka_unit_test(test_burst_and_overflow),
		cmocka_unit_test(test_backoff),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
