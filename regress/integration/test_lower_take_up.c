/*
 * A caller takes a stream up at another instance after an event that is lower
 * than the last one that the first instance has sent.  It gets all events after
 * that one, each once.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/platform_standin.h"

#define EVENTS_BEFORE 12 /* that the first instance has sent at least */
#define KEPT 4 /* by the caller */
#define TAKE_UPS 3 /* each after an event that is lower than the one before */

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;
static struct standin_instance two;

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	standin_init_instance(world, &one, "one", NULL);
	standin_init_instance(world, &two, "two", one.control);
	standin_add_worker(world, "engine", "z1");
	standin_add_worker(world, "engine", "z1");
	standin_put_configuration(world, 2, NULL);
	standin_start_instance(world, &one);
	standin_start_instance(world, &two);
	standin_wait_status(world, one.readiness, "/readyz", 200);
	standin_wait_status(world, two.readiness, "/readyz", 200);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	proc_kill(one.proc);
	proc_kill(two.proc);
	standin_free(world);
	harness_free(harness);
	return 0;
}

/* Requests a stream after an event; 0: from its begin. */
static struct stream_reader *open_stream(const struct standin_instance *in,
					 size_t after)
{
	static unsigned int number;
	char id[24];
	char last[24];
	struct httpc_header headers[] = {
		{ "credential", "k1" },	    { "request-id", id },
		{ "deadline-ms", "15000" }, { "token-usage", "300,100" },
		{ "last-event-id", last },  { "resumes", "s-1" },
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = in->callers,
		.path = "/write/a",
		.headers = headers,
		.n_headers = after ? 6 : 4,
		.body = "x",
		.body_len = 1,
	};

	snprintf(id, sizeof(id), "s-%u", ++number);
	snprintf(last, sizeof(last), "%zu", after);
	return stream_open(harness, &r);
}

/* Expects the events of a stream from the one after `after`, each once. */
static void expect_events(const struct stream_reader *s, size_t after)
{
	size_t i;

	for (i = 0; i < stream_n_events(s); i++)
		assert_int_equal(strtoul(stream_event_at(s, i)->id, NULL, 10),
				 after + i + 1);
}

static void lower_at_another_instance(void **state)
{
	struct stream_reader *first = open_stream(&one, 0);
	size_t i;

	(void)state;
	stream_wait_events(first, EVENTS_BEFORE);
	expect_events(first, 0);
	stream_close(first);
	for (i = 0; i < TAKE_UPS; i++) {
		size_t after = KEPT - i;
		struct stream_reader *s =
			open_stream(i % 2 ? &one : &two, after);

		stream_wait_end(s);
		assert_int_equal(stream_status(s), 200);
		expect_events(s, after);
		assert_int_equal(stream_n_events(s), STANDIN_EVENTS - after);
		stream_close(s);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(lower_at_another_instance,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
