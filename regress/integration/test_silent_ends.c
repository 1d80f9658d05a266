/*
 * Streams without a length whose endpoint falls silent as they end, for longer than
 * an endpoint that lives needs to show it: a stream that no other endpoint takes is
 * complete once its own goes on.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/silence.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define EVENTS_BEFORE 5 /* received before the silence */
#define SILENT_MS 3000 /* after the last event */

/* Taken by the second engine, if there is one. */
#define RESUMES SILENCE_ROUTE "\"maxAttempts\":5,\"resumable\":true}"

static const struct silence_case cases[] = {
	{
		.what = "the route does not resume",
		.route = SILENCE_ROUTE "\"maxAttempts\":5}",
		.instances = 1,
		.engines = 1,
	},
	{
		.what = "no attempt is left",
		.route = SILENCE_ROUTE "\"maxAttempts\":1,\"resumable\":true}",
		.instances = 1,
		.engines = 1,
	},
	{
		.what = "no repeat is left",
		.route = RESUMES,
		.settings = "repeat_ratio = 0\nrepeat_slack = 0\n",
		.instances = 1,
		.engines = 1,
	},
	{
		.what = "there is no other engine",
		.route = RESUMES,
		.instances = 1,
	},
	{
		.what = "another engine shows that nothing is left",
		.route = RESUMES,
		.instances = 1,
		.engines = 1,
	},
};

static void run_case(void **state)
{
	const struct silence_case *c = *state;
	struct stream_reader *s;
	size_t engine;
	size_t i;

	print_message("%s\n", c->what);
	silence_start(c);
	for (i = 0; i <= c->engines; i++)
		silence_world->workers[i].streams_unframed = true;
	s = silence_open_stream();
	stream_wait_events(s, EVENTS_BEFORE);
	engine = silence_engine_of_run();
	silence_world->workers[engine].holds_reports = true;
	stream_wait_events(s, STANDIN_EVENTS);
	harness_run(silence_harness, SILENT_MS);
	silence_world->workers[engine].holds_reports = false;
	stream_wait_end(s);
	assert_int_equal(stream_status(s), 200);
	assert_int_equal(stream_outcome(s), HTTPC_OK);
	assert_int_equal(stream_n_events(s), STANDIN_EVENTS);
	stream_close(s);
	silence_end(c);
}

int main(void)
{
	struct CMUnitTest tests[N(cases)];
	size_t i;

	for (i = 0; i < N(cases); i++)
		tests[i] = (struct CMUnitTest){
			.name = cases[i].what,
			.test_func = run_case,
			.initial_state = (void *)&cases[i],
		};
	return _cmocka_run_group_tests("silent ends", tests, N(tests), NULL,
				       NULL);
}
