/* Tests policy/holdoff.c, and placement that skips the endpoints it
 * excludes. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/holdoff.h"
#include "policy/placement.h"

/* A leaving endpoint stays out of use however much time passes. */
static void leaving_is_permanent(void **state)
{
	struct holdoff h = { 0 };

	(void)state;
	assert_true(holdoff_accepts_work(&h, 1000));
	assert_true(holdoff_set_leaving(&h, 1000));
	assert_false(holdoff_set_leaving(&h, 1100));
	assert_false(holdoff_accepts_work(&h, 1000));
	assert_false(holdoff_accepts_work(&h, 100000000));
}

/* A pause ends; a shorter one reported later does not end it sooner. */
static void pause_ends(void **state)
{
	struct holdoff h = { 0 };

	(void)state;
	holdoff_pause(&h, 2500, 1000);
	assert_int_equal(holdoff_remaining_ms(&h, 1500), 2000);
	holdoff_pause(&h, 100, 1500);
	assert_false(holdoff_accepts_work(&h, 3499));
	assert_true(holdoff_accepts_work(&h, 3500));
	assert_int_equal(holdoff_remaining_ms(&h, 9000), 0);
}

/* A pause of years is a mistake of the sender and is cut short. */
static void pause_is_bounded(void **state)
{
	struct holdoff h = { 0 };

	(void)state;
	holdoff_pause(&h, UINT64_MAX, 1000);
	assert_false(holdoff_accepts_work(&h, 2000));
	assert_true(holdoff_accepts_work(&h, 1000 + 3600000));
}

/* Callers retry after the pause, and not all at once. */
static void callers_are_spread(void **state)
{
	uint32_t least = UINT32_MAX;
	uint32_t most = 0;
	uint64_t rnd;

	(void)state;
	for (rnd = 0; rnd < 10000; rnd += 7) {
		uint32_t ms = holdoff_retry_ms(2000, rnd);

		least = ms < least ? ms : least;
		most = ms > most ? ms : most;
	}
	assert_true(least >= 2000 && least < 2050);
	assert_true(most > 2400 && most <= 2500);
	assert_int_equal(holdoff_retry_ms(0, 5), 0);
}

/* The pause that ends first is reported; a leaving endpoint has none. */
static void earliest_pause_is_reported(void **state)
{
	const struct placement_request r = { .zone = 0 };
	struct placement_candidate c[] = {
		{ .pause_ms = 4000 },
		{ .pause_ms = 1500 },
		{ .leaving = true, .pause_ms = 10 },
		{ .usable = false },
	};
	struct placement_choice choice = placement_plain(&r, c, 4, 3);

	(void)state;
	assert_int_equal(choice.outcome, PLACEMENT_PAUSED);
	assert_int_equal(choice.pause_ms, 1500);
	assert_int_equal(choice.paused, 2);
	assert_int_equal(choice.leaving, 1);
	choice = placement_run(&r, c, 4, 1);
	assert_int_equal(choice.outcome, PLACEMENT_PAUSED);
	c[3] = (struct placement_candidate){ .usable = true, .avoided = true };
	assert_int_equal(placement_plain(&r, c, 4, 3).outcome,
			 PLACEMENT_ALL_AVOIDED);
	c[3].avoided = false;
	choice = placement_plain(&r, c, 4, 3);
	assert_int_equal(choice.outcome, PLACEMENT_OK);
	assert_int_equal(choice.index, 3);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(leaving_is_permanent),
		cmocka_unit_test(pause_ends),
		cmocka_unit_test(pause_is_bounded),
		cmocka_unit_test(callers_are_spread),
		cmocka_unit_test(earliest_pause_is_reported),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
