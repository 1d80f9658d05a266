/*
 * Bound on the endpoints lost to one crashing request (policy/quarantine.c and
 * policy/quarantine_decide.c).
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <cmocka.h>

#include "regress/quarantine_sim.h"

enum { TRIALS = 40, LOST_MAX = 3 };

/*
 * With 30 harmless streams beside the crashing one, over 6 instances, at most
 * three endpoints are lost and no harmless stream is blocked.
 */
static void test_bound(void **state)
{
	static const int endpoints[] = { 20, 25, 64 };
	size_t i;
	uint64_t t;

	(void)state;
	for (i = 0; i < 3; i++)
		for (t = 0; t < TRIALS; t++) {
			struct outcome o = quarantine_sim_crash(
				endpoints[i], false, 1, 1000 + t);

			assert_true(o.blocked);
			assert_in_range(o.lost, 2, LOST_MAX);
			assert_int_equal(o.blocked_harmless, 0);
		}
}

/* Instances that cannot exchange records still block the crashing request. */
static void test_partitioned(void **state)
{
	uint64_t t;

	(void)state;
	for (t = 0; t < TRIALS; t++) {
		struct outcome o = quarantine_sim_crash(20, true, 1, 1000 + t);

		assert_true(o.blocked);
		assert_in_range(o.lost, 2, LOST_MAX);
	}
}

/* Copies that run on several instances at once crash one endpoint each. */
static void test_copies(void **state)
{
	int copies;
	uint64_t t;

	(void)state;
	for (copies = 2; copies <= 4; copies++)
		for (t = 0; t < TRIALS; t++) {
			struct outcome o = quarantine_sim_crash(
				20, false, copies, 1000 + t);

			assert_true(o.blocked);
			assert_int_equal(o.lost, copies);
			assert_int_equal(o.blocked_harmless, 0);
		}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bound),
		cmocka_unit_test(test_partitioned),
		cmocka_unit_test(test_copies),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
