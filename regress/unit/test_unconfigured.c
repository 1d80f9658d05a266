/* Unit tests of policy/unconfigured.c. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/unconfigured.h"

/* Load pattern (bula-passes, scale-1): all instances are killed while the store
 * is away for two seconds more; callers have one more try.  Counts those that find
 * the store back when they come again. */
static void callers_find_the_store_back(void **state)
{
	enum { CALLERS = 200, AWAY_MS = 2000 };
	int served = 0;
	int i;

	(void)state;
	for (i = 0; i < CALLERS; i++) {
		uint32_t came_ms = (uint32_t)(i * AWAY_MS / CALLERS);

		served += came_ms + unconfigured_retry_ms(25000, false,
							  (uint64_t)i * 7919) >=
			  AWAY_MS;
	}
	assert_int_equal(served, CALLERS);
}

/* A third of the time that is left is all that callers wait. */
static void short_calls_come_back_soon(void **state)
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
		cmocka_unit_test(callers_find_the_store_back),
		cmocka_unit_test(short_calls_come_back_soon),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
