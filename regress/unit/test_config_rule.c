/* The checker of the users' rule CONFIG. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/config_rule.h"

static struct config_rule rule;

/* A request that the versions of a mask allow to be handled so. */
static bool allows(size_t number, const void *request)
{
	return *(const unsigned int *)request >> number & 1;
}

static enum config_fault check(uint64_t sent_ms, unsigned int mask,
			       size_t process, bool in_touch)
{
	return config_rule_check(&rule, &(struct config_outcome){
						.sent_ms = sent_ms,
						.over_ms = sent_ms + 10,
						.process = process,
						.in_touch = in_touch,
						.allows = allows,
						.request = &mask,
					});
}

/* Three versions, written at 1000, 2000 and 3000. */
static int set_up(void **state)
{
	(void)state;
	rule = (struct config_rule){ 0 };
	config_rule_written(&rule, 1000);
	config_rule_written(&rule, 2000);
	config_rule_written(&rule, 3000);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	config_rule_release(&rule);
	return 0;
}

static void old_versions(void **state)
{
	(void)state;
	assert_int_equal(check(4000, 1, 0, true), CONFIG_FAULT_NONE);
	assert_int_equal(check(4001, 1, 0, true), CONFIG_FAULT_OLD);
	assert_int_equal(check(4001, 1, 1, false), CONFIG_FAULT_NONE);
	assert_int_equal(check(5000, 3, 0, true), CONFIG_FAULT_NONE);
	assert_int_equal(check(5400, 3, 0, true), CONFIG_FAULT_OLD);
	assert_int_equal(rule.latest_ms, 400);
	assert_int_equal(check(9000, 5, 0, true), CONFIG_FAULT_NONE);
	assert_int_equal(check(9000, 8, 0, true), CONFIG_FAULT_UNKNOWN);
	assert_int_equal(rule.checked, 6);
}

/* A version that is not written yet allows nothing. */
static void later_versions(void **state)
{
	(void)state;
	assert_int_equal(check(2980, 4, 0, true), CONFIG_FAULT_UNKNOWN);
	assert_int_equal(check(2990, 4, 0, true), CONFIG_FAULT_NONE);
}

static void versions_that_go_back(void **state)
{
	(void)state;
	assert_int_equal(check(3000, 4, 0, true), CONFIG_FAULT_NONE);
	assert_int_equal(check(3260, 3, 0, true), CONFIG_FAULT_NONE);
	assert_int_equal(check(3261, 3, 0, true), CONFIG_FAULT_BACK);
	assert_int_equal(check(3261, 3, 0, false), CONFIG_FAULT_BACK);
	assert_int_equal(check(3261, 3, 1, true), CONFIG_FAULT_NONE);
	assert_int_equal(check(3261, 6, 0, true), CONFIG_FAULT_NONE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(old_versions, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(later_versions, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(versions_that_go_back, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
