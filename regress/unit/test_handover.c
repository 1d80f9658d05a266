/* Unit test of policy/handover.c: the old run of a stream outlasts a refusal of
 * the new endpoint, and both never work for longer than the users allow. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "policy/handover.h"

#define BOTH_MAX_MS 400 /* the users' bound for two endpoints at work */
#define TICK_MS 20
#define REFUSAL_MS 100 /* connection and refusal between zones */

static void old_run_outlasts_a_refusal(void **state)
{
	uint64_t ms;

	(void)state;
	for (ms = 0; ms <= REFUSAL_MS; ms++)
		assert_false(handover_over(ms, false));
	assert_true(handover_over(BOTH_MAX_MS - TICK_MS, false));
	assert_true(handover_over(0, true));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(old_run_outlasts_a_refusal),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
