/* What the silence of a run means, and when its copy is ordered. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/kv_copy.h"
#include "policy/silence.h"

#define NOW 100000

static void silences(void **state)
{
	static const struct {
		const char *what;
		uint32_t silent_ms;
		uint32_t probed_ago_ms; /* 0: never */
		int first_in_ms; /* expected; 0: it has come */
		bool can_move;
		bool has_copy;
		enum silence_action action;
	} cases[] = {
		{ "an ordinary gap", 60, 0, 0, true, true, SILENCE_WAIT },
		{ "a suspicious one", 130, 0, 0, true, true, SILENCE_PROBE },
		{ "just probed", 200, 60, 0, true, true, SILENCE_WAIT },
		{ "probed long ago", 300, 200, 0, true, true, SILENCE_PROBE },
		{ "about to be late", 560, 10, 0, true, true, SILENCE_MOVE },
		{ "without a copy moving costs more", 560, 10, 0, true, false,
		  SILENCE_WAIT },
		{ "stuck without a copy", 2200, 10, 0, true, false,
		  SILENCE_MOVE },
		{ "no attempt left", 3000, 10, 0, false, true, SILENCE_WAIT },
		{ "prompt being read", 400, 0, 700, true, false, SILENCE_WAIT },
		{ "prompt being read for long", 600, 0, 700, true, false,
		  SILENCE_PROBE },
		{ "overdue, but others are read too", 2000, 100, -900, true,
		  false, SILENCE_WAIT },
		{ "far overdue", 6000, 100, -4000, true, false, SILENCE_MOVE },
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct silence_run run = {
			.heard_ms = NOW - cases[i].silent_ms,
			.probed_ms = cases[i].probed_ago_ms
					     ? NOW - cases[i].probed_ago_ms
					     : 0,
			.first_by_ms =
				cases[i].first_in_ms
					? (uint64_t)(NOW + cases[i].first_in_ms)
					: 0,
			.expected_first_ms = 1100,
			.gap_max_ms = 700,
			.can_move = cases[i].can_move,
			.has_copy = cases[i].has_copy,
		};
		enum silence_action got = silence_judge(&run, NOW);

		if (got != cases[i].action)
			fail_msg("%s: %d", cases[i].what, got);
	}
}

/* Load pattern: engines take four in ten requests and never begin them, while
 * their health check is good.  A run that was to go on from a copy is left in
 * time for the pause that its caller allows, if there is budget; a prompt that
 * is slow is left alone. */
static void hanging_engines(void **state)
{
	enum { PAUSE_MS = 700 };
	struct silence_run run = {
		.heard_ms = NOW,
		.first_by_ms = NOW + 400,
		.expected_first_ms = 400,
		.gap_max_ms = PAUSE_MS,
		.from_copy = true,
		.can_move = true,
		.spare = true,
	};
	uint64_t now;

	(void)state;
	for (now = NOW; silence_judge(&run, now) != SILENCE_MOVE; now += 20)
		assert_true(now < NOW + PAUSE_MS);
	assert_in_range(now, NOW + 300, NOW + PAUSE_MS - 300);
	run.spare = false; /* the budget is kept for losses */
	assert_int_not_equal(silence_judge(&run, now), SILENCE_MOVE);
	run.spare = true;
	run.from_copy = false;
	assert_int_not_equal(silence_judge(&run, now), SILENCE_MOVE);
}

/* Load pattern: zones are lost one after another, every six seconds, and a
 * stream lives for nine.  The loss that takes only its copy is followed by an
 * order, so that the next loss finds one. */
static void copies(void **state)
{
	struct kv_copy_state run = { .prefill_done = false };

	(void)state;
	assert_false(kv_copy_due(&run, NOW));
	run.prefill_done = true;
	assert_true(kv_copy_due(&run, NOW));
	run.last_order_ms = NOW - 100;
	assert_false(kv_copy_due(&run, NOW));
	assert_true(kv_copy_due(&run, NOW + 400));
	run.has_copy = true;
	run.made_ms = NOW;
	assert_false(kv_copy_due(&run, NOW + 400));
	run.ordered = true; /* lapses after four seconds */
	assert_false(kv_copy_due(&run, NOW + 2000));
	assert_true(kv_copy_due(&run, NOW + 3000));
	run.has_copy = false;
	assert_true(kv_copy_due(&run, NOW + 400));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(silences),
		cmocka_unit_test(hanging_engines),
		cmocka_unit_test(copies),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
