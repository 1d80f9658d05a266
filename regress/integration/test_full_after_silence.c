/*
 * A stream leaves a silent endpoint for one that is full, or its own again, and
 * is complete once one of them goes on.
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

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define EVENTS_BEFORE 5 /* received before the silence */

/* A sound endpoint may be silent for about a second. */
#define SILENT_MS 1000

#define FULL_MS 500 /* a place is free again after that */

/* A stream moves away from a silent endpoint to one that is full: it waits, and
 * is complete once one of them goes on. */
static void refused_after_silence(const char *route, const char *mode,
				  size_t others)
{
	const struct silence_case c = {
		.route = route,
		.instances = 1,
		.engines = others,
	};
	struct stream_reader *s;
	size_t engine;
	size_t i;

	silence_start(&c);
	s = silence_open_stream();
	stream_wait_events(s, EVENTS_BEFORE);
	engine = silence_engine_of_run();
	for (i = 0; i < silence_world->n_workers; i++)
		if (i != engine)
			silence_world->workers[i].behaviour = STANDIN_FULL;
	silence_set_mode(engine, mode);
	harness_run(silence_harness, SILENT_MS);
	silence_set_mode(engine, "pass");
	stream_wait_end(s);
	assert_int_equal(stream_outcome(s), HTTPC_OK);
	assert_int_equal(stream_n_events(s), STANDIN_EVENTS);
	stream_close(s);
	silence_end(&c);
}

static void full_endpoint_after_silence(void **state)
{
	(void)state;
	refused_after_silence(SILENCE_ROUTE
			      "\"maxAttempts\":2,\"resumable\":true}",
			      "hang", 1);
	refused_after_silence(SILENCE_ROUTE
			      "\"maxAttempts\":2,\"resumable\":true}",
			      "freeze", 1);
}

/* The only endpoint is silent and accepts connections: its run stays there. */
static void only_endpoint_is_silent(void **state)
{
	const struct silence_case c = {
		.route = SILENCE_ROUTE "\"maxAttempts\":5,\"resumable\":true}",
		.instances = 1,
	};
	struct stream_reader *s;

	(void)state;
	silence_start(&c);
	s = silence_open_stream();
	stream_wait_events(s, EVENTS_BEFORE);
	silence_world->workers[0].behaviour =
		STANDIN_FULL; /* for further requests */
	silence_set_mode(0, "freeze");
	harness_run(silence_harness, SILENT_MS);
	silence_set_mode(0, "pass");
	stream_wait_end(s);
	assert_int_equal(stream_outcome(s), HTTPC_OK);
	assert_int_equal(silence_attempts(), 1);
	stream_close(s);
	silence_end(&c);
}

static void full_endpoint_with_attempts_left(void **state)
{
	(void)state;
	refused_after_silence(SILENCE_ROUTE
			      "\"maxAttempts\":5,\"resumable\":true}",
			      "hang", 1);
}

/* Has all engines behave in one way towards further requests. */
static void set_behaviour(enum standin_behaviour behaviour)
{
	size_t i;

	for (i = 0; i < silence_world->n_workers; i++)
		silence_world->workers[i].behaviour = behaviour;
}

/* Waits for the end of a stream, which is whole, and ends its case. */
static void end_whole(struct stream_reader *s, const struct silence_case *c)
{
	stream_wait_end(s);
	assert_int_equal(stream_outcome(s), HTTPC_OK);
	assert_int_equal(stream_n_events(s), STANDIN_EVENTS);
	stream_close(s);
	silence_end(c);
}

/* Starts a case and a stream, which has begun. */
static struct stream_reader *begin_stream(const struct silence_case *c)
{
	struct stream_reader *s;

	silence_start(c);
	s = silence_open_stream();
	stream_wait_events(s, EVENTS_BEFORE);
	return s;
}

/* The endpoint that a stream moves to is silent as well, and turns it away when it
 * goes on: the stream goes on where it was. */
static void full_endpoint_is_silent_too(void **state)
{
	const struct silence_case c = {
		.route = SILENCE_ROUTE "\"maxAttempts\":5,\"resumable\":true}",
		.instances = 1,
		.engines = 1,
	};
	struct stream_reader *s = begin_stream(&c);
	size_t engine = silence_engine_of_run();

	(void)state;
	set_behaviour(STANDIN_FULL);
	silence_set_mode(engine, "freeze");
	silence_set_mode(!engine, "freeze");
	harness_run(silence_harness, SILENT_MS);
	silence_set_mode(!engine, "pass");
	harness_run(silence_harness, SILENT_MS / 4);
	silence_set_mode(engine, "pass");
	end_whole(s, &c);
}

/* The endpoint of a stream is lost while all others are full for a moment: the
 * stream waits, and is complete once one of them has room. */
static void all_others_are_full_for_a_moment(void **state)
{
	const struct silence_case c = {
		.route = SILENCE_ROUTE "\"maxAttempts\":5,\"resumable\":true}",
		.instances = 1,
		.engines = 2,
	};
	struct stream_reader *s = begin_stream(&c);

	(void)state;
	set_behaviour(STANDIN_FULL);
	silence_set_mode(silence_engine_of_run(), "cut");
	harness_run(silence_harness, FULL_MS);
	set_behaviour(STANDIN_NORMAL);
	end_whole(s, &c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(all_others_are_full_for_a_moment),
		cmocka_unit_test(full_endpoint_is_silent_too),
		cmocka_unit_test(full_endpoint_after_silence),
		cmocka_unit_test(only_endpoint_is_silent),
		cmocka_unit_test(full_endpoint_with_attempts_left),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
