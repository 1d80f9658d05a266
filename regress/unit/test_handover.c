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
#define OFFERED_MS 10000
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

/* A silent endpoint may refuse only once it goes on, so that the time for that
 * begins with its first bytes; it is asked for some. */
static void old_run_outlasts_the_silence_of_the_new_endpoint(void **state)
{
	struct handover h = {
		.goes_on = true,
		.offered_ms = OFFERED_MS,
		.heard_ms = OFFERED_MS,
	};

	(void)state;
	assert_false(handover_can_refuse(&h));
	assert_false(handover_should_ask(&h, OFFERED_MS));
	assert_true(handover_should_ask(&h, OFFERED_MS + BOTH_MAX_MS));
	h.heard_ms = OFFERED_MS + 1;
	assert_true(handover_can_refuse(&h));
	assert_false(handover_should_ask(&h, OFFERED_MS + BOTH_MAX_MS));
	h.heard_ms = 0;
	h.cannot_be_asked = true;
	assert_true(handover_can_refuse(&h));
}

/* While there is no path, the old endpoint is not reached and may go on first. */
static void old_run_outlasts_a_lost_path(void **state)
{
	struct handover h = {
		.goes_on = true,
		.relayed = true,
		.path_lost = true,
		.offered_ms = OFFERED_MS,
	};

	(void)state;
	assert_false(handover_can_refuse(&h));
	assert_false(handover_should_ask(&h, OFFERED_MS + BOTH_MAX_MS));
	h.path_lost = false;
	assert_false(handover_can_refuse(&h));
	h.old_heard_ms = OFFERED_MS;
	assert_false(handover_can_refuse(&h));
	h.old_heard_ms = OFFERED_MS + 1;
	assert_true(handover_can_refuse(&h));
	h.path_lost = true;
	assert_false(handover_can_refuse(&h));
}

/* An endpoint that has ended doesn't go on. */
static void ended_endpoint_is_not_waited_for(void **state)
{
	struct handover h = {
		.goes_on = true,
		.relayed = true,
		.offered_ms = OFFERED_MS,
	};

	(void)state;
	assert_false(handover_can_refuse(&h));
	h.old_ended = true;
	assert_true(handover_can_refuse(&h));
}

/* A run that is not read can't speak first. */
static void unread_run_is_held_for_a_refusal_only(void **state)
{
	struct handover h = { .offered_ms = OFFERED_MS };

	(void)state;
	assert_true(handover_can_refuse(&h));
	h.offered_ms = 0;
	assert_false(handover_can_refuse(&h));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(old_run_outlasts_a_refusal),
		cmocka_unit_test(
			old_run_outlasts_the_silence_of_the_new_endpoint),
		cmocka_unit_test(old_run_outlasts_a_lost_path),
		cmocka_unit_test(ended_endpoint_is_not_waited_for),
		cmocka_unit_test(unread_run_is_held_for_a_refusal_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
