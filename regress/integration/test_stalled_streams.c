/* cdmproxyd tells slow streams, which it leaves alone, from streams that are
 * stalled although single bytes arrive. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/platform_standin.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define SLOW_MS 300 /* between events; the route allows gaps of 700 ms */
#define MOVE_GAP_MS 550 /* a run with a KV-cache copy moves after it */

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	standin_init_instance(world, &one, "one", NULL);
	standin_add_worker(world, "engine", "z1");
	standin_add_worker(world, "engine", "z2");
	standin_put_configuration(world, 2, NULL);
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	proc_kill(one.proc);
	standin_free(world);
	harness_free(harness);
	return 0;
}

/* Requests a stream with the given deadline. */
static struct stream_reader *open_stream(const char *deadline_ms)
{
	const struct httpc_header headers[] = {
		{ "credential", "k1" },
		{ "request-id", "r-1" },
		{ "deadline-ms", deadline_ms },
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = one.callers,
		.path = "/write/a",
		.headers = headers,
		.n_headers = N(headers),
		.body = "x",
		.body_len = 1,
	};

	return stream_open(harness, &r);
}

/* Counts the requests to endpoints for the stream. */
static size_t n_sent(void)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < world->n_arrivals; i++)
		n += standin_arrival_has_line(world->arrivals[i],
					      "\nrequest-id: r-1\n") &&
		     !strcmp(world->arrivals[i]->target, "/write/a");
	return n;
}

/* A stream whose gaps are long but within its route's limit is not moved. */
static void slow_stream_is_not_moved(void **state)
{
	struct stream_reader *s;

	(void)state;
	world->event_ms = SLOW_MS;
	s = open_stream("19000");
	stream_wait_end(s);
	assert_int_equal(stream_outcome(s), HTTPC_OK);
	assert_int_equal(stream_n_events(s), STANDIN_EVENTS);
	/* One move by choice is allowed.  If the stand-in itself was delayed,
	 * the gap was long enough for another move. */
	if (world->longest_gap_ms < MOVE_GAP_MS - SLOW_MS / 3)
		assert_true(n_sent() <= 2);
	else
		print_message("longest gap between two events: %llu ms\n",
			      (unsigned long long)world->longest_gap_ms);
	stream_close(s);
}

static bool sent_twice(void *arg)
{
	(void)arg;
	return n_sent() >= 2;
}

/* A stream that delivers only single bytes resumes at another engine and is
 * complete. */
static void stalled_stream_moves(void **state)
{
	struct stream_reader *s;

	(void)state;
	world->workers[0].behaviour = STANDIN_TRICKLES;
	world->workers[1].behaviour = STANDIN_TRICKLES;
	s = open_stream("15000");
	harness_until(harness, sent_twice, NULL, "the stream moves");
	world->workers[0].behaviour = STANDIN_NORMAL;
	world->workers[1].behaviour = STANDIN_NORMAL;
	stream_wait_end(s);
	assert_int_equal(stream_outcome(s), HTTPC_OK);
	assert_int_equal(stream_n_events(s), STANDIN_EVENTS);
	stream_close(s);
}

/* If all engines stall, the stream ends at its deadline and is not reported as
 * complete. */
static void stalled_stream_ends(void **state)
{
	struct stream_reader *s;

	(void)state;
	world->workers[0].behaviour = STANDIN_TRICKLES;
	world->workers[1].behaviour = STANDIN_TRICKLES;
	s = open_stream("3000");
	stream_wait_end(s);
	assert_int_not_equal(stream_outcome(s), HTTPC_OK);
	assert_true(stream_n_events(s) < STANDIN_EVENTS);
	stream_close(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(slow_stream_is_not_moved,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(stalled_stream_moves, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(stalled_stream_ends, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
