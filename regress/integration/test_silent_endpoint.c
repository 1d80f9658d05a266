/*
 * Streams whose endpoint falls silent for a time and then goes on.  A stream
 * that cannot move stays at its endpoint and is complete in the end; one that
 * moves is not taken for a request that crashes endpoints.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "regress/silence.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define EVENTS_BEFORE 5 /* received before the silence */

/* A sound endpoint may be silent for about a second. */
#define SILENT_MS 1000

/* Crashes after which a content is refused. */
#define SILENCES 3

#define CONNECTING 12 /* streams that begin to connect, this far apart */
#define CONNECTING_GAP_MS 16

#define NO_REPEATS "repeat_ratio = 0\nrepeat_slack = 0\n"

static const struct silence_case cases[] = {
	{
		.what = "no attempt is left, connections hang",
		.mode = "hang",
		.route = SILENCE_ROUTE "\"maxAttempts\":1,\"resumable\":true}",
		.instances = 1,
	},
	{
		.what = "the route does not resume, connections hang",
		.mode = "hang",
		.route = SILENCE_ROUTE "\"maxAttempts\":5}",
		.instances = 1,
	},
	{
		.what = "the route does not resume, connections are accepted",
		.mode = "freeze",
		.route = SILENCE_ROUTE "\"maxAttempts\":5}",
		.instances = 1,
	},
	{
		.what = "no repeat is left, connections hang",
		.mode = "hang",
		.route = SILENCE_ROUTE "\"maxAttempts\":5,\"resumable\":true}",
		.settings = NO_REPEATS,
		.instances = 1,
	},
	{
		.what = "no repeat is left, connections are accepted",
		.mode = "freeze",
		.route = SILENCE_ROUTE "\"maxAttempts\":5,\"resumable\":true}",
		.settings = NO_REPEATS,
		.instances = 1,
	},
	{
		.what = "no instance has a repeat to lend",
		.mode = "hang",
		.route = SILENCE_ROUTE "\"maxAttempts\":5,\"resumable\":true}",
		.settings = NO_REPEATS,
		.instances = 2,
	},
};

/* A stream that cannot move is complete although its endpoint was silent. */
static void run_case(void **state)
{
	const struct silence_case *c = *state;
	struct stream_reader *s;

	print_message("%s\n", c->what);
	silence_start(c);
	s = silence_open_stream();
	stream_wait_events(s, EVENTS_BEFORE);
	silence_set_mode(0, c->mode);
	harness_run(silence_harness, SILENT_MS);
	silence_set_mode(0, "pass");
	stream_wait_end(s);
	assert_int_equal(stream_status(s), 200);
	assert_int_equal(stream_outcome(s), HTTPC_OK);
	assert_int_equal(stream_n_events(s), STANDIN_EVENTS);
	stream_close(s);
	silence_end(c);
}

/* Returns whether the process has logged an event. */
static bool has_logged(const char *event)
{
	char *name = xasprintf("\"event\":\"%s\"", event);
	char *log = proc_output(silence_instances[0].proc);
	bool found = strstr(log, name) != NULL;

	free(log);
	free(name);
	return found;
}

static bool has_moved(void *arg)
{
	return silence_attempts() > *(size_t *)arg;
}

/* A stream whose engines fall silent one after the other moves each time and is
 * complete; its content is not refused. */
static void silences_are_no_crashes(void **state)
{
	const struct silence_case c = {
		.route = SILENCE_ROUTE "\"maxAttempts\":9,\"resumable\":true}",
		.instances = 1,
		.engines = 2,
	};
	struct stream_reader *s;
	size_t silences;

	(void)state;
	silence_start(&c);
	s = silence_open_stream();
	for (silences = 0; silences < SILENCES; silences++) {
		size_t before;
		size_t engine;

		stream_wait_events(s, (silences + 1) * EVENTS_BEFORE);
		before = silence_attempts();
		engine = silence_engine_of_run();
		silence_set_mode(engine, "hang");
		harness_until(silence_harness, has_moved, &before,
			      "the stream moves");
		stream_wait_events(s, stream_n_events(s) + 1);
		silence_set_mode(engine, "pass");
	}
	stream_wait_end(s);
	assert_int_equal(stream_outcome(s), HTTPC_OK);
	assert_int_equal(stream_n_events(s), STANDIN_EVENTS);
	assert_false(has_logged("content-refused"));
	stream_close(s);
	silence_end(&c);
}

/* Streams that are connecting to an endpoint when it is found silent go to
 * another one, also if their route has one attempt. */
static void connecting_to_silent_endpoint(void **state)
{
	const struct silence_case c = {
		.route = SILENCE_ROUTE "\"maxAttempts\":1,\"resumable\":true}",
		.instances = 1,
		.engines = 1,
	};
	struct stream_reader *first;
	struct stream_reader *streams[CONNECTING];
	size_t engine;
	size_t i;

	(void)state;
	silence_start(&c);
	first = silence_open_stream();
	stream_wait_events(first, EVENTS_BEFORE);
	engine = silence_engine_of_run();
	silence_set_mode(engine, "hang");
	for (i = 0; i < CONNECTING; i++) {
		harness_run(silence_harness, CONNECTING_GAP_MS);
		streams[i] = silence_open_stream();
	}
	harness_run(silence_harness, SILENT_MS);
	silence_set_mode(engine, "pass");
	stream_wait_end(first);
	for (i = 0; i < CONNECTING; i++) {
		stream_wait_end(streams[i]);
		assert_int_equal(stream_status(streams[i]), 200);
		stream_close(streams[i]);
	}
	stream_close(first);
	silence_end(&c);
}

int main(void)
{
	const struct CMUnitTest others[] = {
		cmocka_unit_test(silences_are_no_crashes),
		cmocka_unit_test(connecting_to_silent_endpoint),
	};
	struct CMUnitTest tests[N(cases) + N(others)];
	size_t i;

	for (i = 0; i < N(cases); i++)
		tests[i] = (struct CMUnitTest){
			.name = cases[i].what,
			.test_func = run_case,
			.initial_state = (void *)&cases[i],
		};
	memcpy(tests + N(cases), others, sizeof(others));
	return _cmocka_run_group_tests("silent endpoint", tests, N(tests), NULL,
				       NULL);
}
