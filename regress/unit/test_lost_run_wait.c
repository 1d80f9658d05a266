/* How long a run that has lost its endpoint waits for another one. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/lost_run_wait.h"

static void run_that_has_begun(void **state)
{
	(void)state;
	assert_int_equal(lost_run_wait_ms(true, true, 17000), 17000);
	assert_int_equal(lost_run_wait_ms(true, true, 300), 300);
	assert_int_equal(lost_run_wait_ms(true, true, UINT64_MAX), UINT32_MAX);
}

static void run_without_events(void **state)
{
	(void)state;
	assert_int_equal(lost_run_wait_ms(false, true, 17000), 1500);
	assert_int_equal(lost_run_wait_ms(false, true, 1500), 1500);
	assert_int_equal(lost_run_wait_ms(false, true, 1499), 1499);
}

static void endpoints_that_are_full(void **state)
{
	(void)state;
	assert_int_equal(lost_run_wait_ms(true, false, 17000), 1500);
	assert_int_equal(lost_run_wait_ms(false, false, 17000), 1500);
}

/* All endpoints are full: a run is offered at a few of them, and not all its
 * attempts are used in the same moment. */
static void endpoint_that_turned_the_run_away(void **state)
{
	(void)state;
	assert_true(lost_run_offered_again(0, 0, 5000));
	assert_false(lost_run_offered_again(5000, 0, 5000));
	assert_false(lost_run_offered_again(5000, 0, 5020));
	assert_true(lost_run_offered_again(5000, 0, 5200));
	assert_false(lost_run_offered_again(5200, 1, 5400));
	assert_true(lost_run_offered_again(5200, 1, 5600));
	assert_false(lost_run_offered_again(5600, UINT32_MAX, 6300));
	assert_true(lost_run_offered_again(5600, UINT32_MAX, 6400));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(endpoint_that_turned_the_run_away),
		cmocka_unit_test(run_that_has_begun),
		cmocka_unit_test(run_without_events),
		cmocka_unit_test(endpoints_that_are_full),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
