/* Unit tests of policy/unconfigured.c. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/unconfigured.h"

/* Load pattern: all instances are killed and the store stays unreachable for
 * two more seconds; callers have one more attempt.  Counts the callers whose
 * retry comes when the store is reachable again. */
static void callers_retry_after_store_outage(void **state)
{
	enum { CALLERS = 200, OUTAGE_MS = 2000 };
	int served = 0;
	int i;

	(void)state;
	for (i = 0; i < CALLERS; i++) {
		uint32_t arrived_ms = (uint32_t)(i * OUTAGE_MS / CALLERS);

		served += arrived_ms +
				  unconfigured_retry_ms(25000, false,
							(uint64_t)i * 7919) >=
			  OUTAGE_MS;
	}
	assert_int_equal(served, CALLERS);
}

/* Callers wait at most a third of their time limit. */
static void short_calls_retry_soon(void **state)
{
	uint64_t rnd;

	(void)state;
	for (rnd = 0; rnd < 1000; rnd++) {
		assert_true(unconfigured_retry_ms(4000, false, rnd) <= 1333);
		assert_true(unconfigured_retry_ms(0, false, rnd) <= 300);
		assert_true(unconfigured_retry_ms(0, false, rnd) >= 225);
		assert_true(unconfigured_retry_ms(UINT64_MAX, false, rnd) <=
			    3000);
		assert_int_equal(unconfigured_retry_ms(25000, true, rnd), 100);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(callers_retry_after_store_outage),
		cmocka_unit_test(short_calls_retry_soon),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
