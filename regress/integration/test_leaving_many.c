/*
 * Whole answers without a length that may run once are lost when many end at
 * once, and the endpoint that has written them leaves and exits.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/leaving_endpoint.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define MANY 30
#define SILENT_MS 1600
#define WHOLE (1U << END_WHOLE)

static const struct leaving_case cases[] = {
	{ .what = "not idempotent, thirty after a silence",
	  .target = "/pay/a",
	  .n = MANY,
	  .silent_ms = SILENT_MS,
	  .notice = NOTICE_ENTRY,
	  .exit = EXIT_WHEN_ASKED,
	  .allowed = WHOLE },
	{ .what = "not idempotent, at an engine, thirty after a silence, draining",
	  .target = "/order/a",
	  .n = MANY,
	  .silent_ms = SILENT_MS,
	  .notice = NOTICE_ENTRY,
	  .exit = EXIT_WHEN_ASKED,
	  .allowed = WHOLE },
	{ .what = "not idempotent, at an engine, thirty after a silence, entry removed",
	  .target = "/order/a",
	  .n = MANY,
	  .silent_ms = SILENT_MS,
	  .notice = NOTICE_REMOVED,
	  .exit = EXIT_WHEN_ASKED,
	  .allowed = WHOLE },
};

static void run(void **state)
{
	const struct leaving_case *c = *state;
	struct leaving_result result = { .attempts = 0 };
	unsigned int end;

	leaving_play(c, &result);
	print_message("%s:", c->what);
	for (end = 0; end < LEAVING_ENDS; end++)
		if (result.ends[end])
			print_message(" %zu %s,", result.ends[end],
				      leaving_end_name(end));
	print_message(" %zu attempts\n", result.attempts);
	for (end = 0; end < LEAVING_ENDS; end++)
		if (!(c->allowed & (1U << end)))
			assert_int_equal(result.ends[end], 0);
}

int main(void)
{
	struct CMUnitTest tests[N(cases)];
	size_t i;

	for (i = 0; i < N(cases); i++)
		tests[i] = (struct CMUnitTest){
			.name = cases[i].what,
			.test_func = run,
			.initial_state = (void *)&cases[i],
		};
	return _cmocka_run_group_tests("leaving many", tests, N(tests), NULL,
				       NULL);
}
