/* How old an instance's view of the store is. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/store_view.h"

#define NOW_MS 100000

/* The newer of what was read and what others have told decides; neither goes
 * back. */
static void newest_decides(void **state)
{
	struct store_view v = { 0 };

	(void)state;
	assert_true(store_view_age_ms(&v, NOW_MS) == UINT64_MAX);
	store_view_read(&v, NOW_MS - 900);
	assert_int_equal(store_view_age_ms(&v, NOW_MS), 900);
	store_view_told(&v, NOW_MS - 1200);
	assert_int_equal(store_view_age_ms(&v, NOW_MS), 900);
	store_view_told(&v, NOW_MS - 300);
	store_view_read(&v, NOW_MS - 800);
	assert_int_equal(store_view_age_ms(&v, NOW_MS), 300);
	store_view_told(&v, NOW_MS + 5); /* by a clock that is ahead */
	assert_int_equal(store_view_age_ms(&v, NOW_MS), 0);
	store_view_reset(&v);
	assert_true(store_view_age_ms(&v, NOW_MS) == UINT64_MAX);
}

/* That a view becomes old is told once, and that it is renewed. */
static void changes_are_told_once(void **state)
{
	struct store_view v = { 0 };
	const uint64_t old_ms = NOW_MS + STORE_VIEW_OLD_MS + 1;

	(void)state;
	store_view_read(&v, NOW_MS);
	assert_false(store_view_old_changes(&v, old_ms - 1));
	assert_true(store_view_old_changes(&v, old_ms));
	assert_true(v.old);
	assert_false(store_view_old_changes(&v, old_ms + 500));
	store_view_told(&v, old_ms);
	assert_true(store_view_old_changes(&v, old_ms + 600));
	assert_false(v.old);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(newest_decides),
		cmocka_unit_test(changes_are_told_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
