/*
 * A stream that endpoints have failed is offered again while attempts and time are
 * left, also to an endpoint that failed it before.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/silence.h"

#define EVENTS_BEFORE 5 /* received before the loss */
#define FAILING_MS 100 /* within which attempts could be used up */
#define ROUTE SILENCE_ROUTE "\"maxAttempts\":5,\"resumable\":true}"

static size_t attempts_wanted;

/* Returns whether so many attempts have reached an engine. */
static bool have_arrived(void *unused)
{
	(void)unused;
	return silence_attempts() >= attempts_wanted;
}

/* Waits until n attempts have reached an engine. */
static void wait_attempts(size_t n)
{
	attempts_wanted = n;
	harness_until(silence_harness, have_arrived, NULL, "attempts arrive");
}

/* Has all engines behave in one way towards further requests. */
static void set_behaviour(enum standin_behaviour behaviour)
{
	size_t i;

	for (i = 0; i < silence_world->n_workers; i++)
		silence_world->workers[i].behaviour = behaviour;
}

/* Waits for the end of a stream, which is whole. */
static void read_whole(struct stream_reader *s)
{
	stream_wait_end(s);
	assert_int_equal(stream_status(s), 200);
	assert_int_equal(stream_outcome(s), HTTPC_OK);
	assert_int_equal(stream_n_events(s), STANDIN_EVENTS);
	stream_close(s);
}

/* Starts a case with a whole stream: a process that has just started has no
 * repeats. */
static void start(const struct silence_case *c)
{
	silence_start(c);
	read_whole(silence_open_stream());
}

/* Each endpoint has failed a stream that has not begun, in one way, and attempts are
 * left. */
static void stream_that_each_endpoint_failed_once(void **state)
{
	const enum standin_behaviour *behaviour = *state;
	const struct silence_case c = {
		.route = ROUTE,
		.instances = 1,
		.engines = 1,
	};
	struct stream_reader *s;
	size_t before;

	start(&c);
	before = silence_attempts();
	set_behaviour(*behaviour);
	s = silence_open_stream();
	wait_attempts(before + 2);
	harness_run(silence_harness, FAILING_MS);
	set_behaviour(STANDIN_NORMAL);
	read_whole(s);
	silence_end(&c);
}

/* A begun stream moves to an address that is another endpoint's now, and the
 * budget has no repeat left for a moment. */
static void misdirected_stream_waits_for_a_repeat(void **state)
{
	const struct silence_case c = {
		/* two attempts, so that it does not run in two stages */
		.route = SILENCE_ROUTE "\"maxAttempts\":2,\"resumable\":true}",
		.settings = "repeat_slack = 24\n"
			    "repeat_ratio = 0.0\n"
			    "repeat_window_s = 1.0\n",
		.instances = 1,
		.engines = 2,
	};
	struct stream_reader *s;

	(void)state;
	silence_start(&c);
	s = silence_open_stream();
	stream_wait_events(s, EVENTS_BEFORE);
	set_behaviour(STANDIN_MISDIRECTED);
	silence_set_mode(silence_engine_of_run(), "cut");
	wait_attempts(2);
	set_behaviour(STANDIN_NORMAL);
	read_whole(s);
	silence_end(&c);
}

int main(void)
{
	static enum standin_behaviour disconnects = STANDIN_DISCONNECTS;
	static enum standin_behaviour breaks_off = STANDIN_BREAKS_OFF;
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_prestate(stream_that_each_endpoint_failed_once,
					  &disconnects),
		cmocka_unit_test_prestate(stream_that_each_endpoint_failed_once,
					  &breaks_off),
		cmocka_unit_test(misdirected_stream_waits_for_a_repeat),
	};

	return cmocka_run_group_tests_name("streams offered again", tests, NULL,
					   NULL);
}
