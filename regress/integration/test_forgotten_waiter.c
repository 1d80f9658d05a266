/*
 * A stream that an engine has turned away, while the others are full, waits for
 * room for a bounded time and no longer: it is sent once there is room, or refused.
 * Neither its caller nor those after it wait for a place that nobody looks for.
 */
#include <signal.h>
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
#define ALL_TOKENS "20000,34990" /* of an engine */
#define RATIO_LINE "repeat_ratio = "
#define NO_REPEATS RATIO_LINE "0\nrepeat_slack = 0\n"
/* A stream whose first event may come late. */
#define ROUTE_TALE                                                      \
	"{\"name\":\"tale\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":" \
	"\"/tale/\",\"routeType\":\"streaming\",\"timeoutMs\":20000,"   \
	"\"targetLatencyMs\":20000,\"targetGapMs\":700,\"backend\":"    \
	"\"engine\",\"maxAttempts\":5,\"resumable\":true}"
#define TALE_MS "20000"
#define TOO_LARGE ((size_t)9 << 20) /* no such answer is forwarded */
#define SILENT_MS 7000 /* of the engine that sends it */
#define LIMIT "0.1" /* a permit in 10 s */

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;

/* Starts an instance with two engines, of which the first is silent. */
static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	standin_init_instance(world, &one, "one", NULL);
	standin_add_worker(world, "engine", "z1");
	standin_add_worker(world, "engine", "z1");
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

static struct stream_reader *ask_until(const char *path, const char *tokens,
				       const char *deadline_ms)
{
	const struct httpc_header headers[] = {
		{ "credential", "k1" },
		{ "request-id", path },
		{ "token-usage", tokens },
		{ "deadline-ms", deadline_ms },
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = one.callers,
		.path = path,
		.headers = headers,
		.n_headers = N(headers),
		.body = "x",
		.body_len = 1,
	};

	return stream_open(harness, &r);
}

static struct stream_reader *ask(const char *path, const char *tokens)
{
	return ask_until(path, tokens, "15000");
}

/* Returns the engine that a request has reached, NULL if none. */
static struct standin_worker *engine_of(const char *path)
{
	size_t i;

	for (i = 0; i < world->n_arrivals; i++)
		if (!strcmp(world->arrivals[i]->target, path))
			return world->arrivals[i]->worker;
	return NULL;
}

static bool has_arrived(void *path)
{
	return engine_of(path) != NULL;
}

static bool has_logged(void *text)
{
	return proc_output_count(one.proc, text) > 0;
}

/* Fills one engine with a stream that goes on, and has the other turn away all that
 * it gets. */
static struct stream_reader *fill_engines(void)
{
	struct stream_reader *full;
	size_t i;

	for (i = 0; i < world->n_workers; i++)
		world->workers[i].behaviour = STANDIN_SILENT;
	full = ask("/write/full", ALL_TOKENS);
	harness_until(harness, has_arrived, "/write/full", "a stream runs");
	for (i = 0; i < world->n_workers; i++)
		if (&world->workers[i] != engine_of("/write/full"))
			world->workers[i].behaviour = STANDIN_FULL;
	return full;
}

static void turned_away_stream_takes_the_next_room(void **state)
{
	struct stream_reader *full = fill_engines();
	struct stream_reader *s = ask("/write/a", "10,10");

	(void)state;
	harness_until(harness, has_logged, "\"event\":\"waits\"",
		      "a stream waits");
	engine_of("/write/full")->behaviour = STANDIN_NORMAL;
	stream_close(full);
	stream_wait_end(s);
	assert_int_equal(stream_status(s), 200);
	assert_int_equal(stream_n_events(s), STANDIN_EVENTS);
	stream_close(s);
}

static void turned_away_stream_is_refused(void **state)
{
	struct stream_reader *full = fill_engines();
	struct stream_reader *s = ask("/write/a", "10,10");

	(void)state;
	stream_wait_end(s);
	assert_int_equal(stream_status(s), 503);
	stream_close(s);
	stream_close(full);
}

/* The tokens of one that has ended are no longer counted as waiting. */
static void turned_away_stream_leaves_no_tokens(void **state)
{
	struct stream_reader *full = fill_engines();
	struct stream_reader *s;
	size_t i;

	(void)state;
	for (i = 0; i < 2; i++) {
		s = ask(i ? "/write/b" : "/write/a", "10,10");
		stream_wait_end(s);
		stream_close(s);
	}
	assert_int_equal(proc_output_count(one.proc, "\"event\":\"waits\""), 2);
	assert_int_equal(proc_output_count(one.proc, "\"waiting_tokens\":20}"),
			 2);
	stream_close(full);
}

/* Starts an instance that may not repeat, with one engine. */
static int set_up_without_repeats(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	world->extra_settings = NO_REPEATS;
	standin_init_instance(world, &one, "one", NULL);
	standin_add_worker(world, "engine", "z1");
	standin_put_configuration(world, 2, ROUTE_TALE);
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
	return 0;
}

/* Has the instance allow repeats. */
static void allow_repeats(void)
{
	FILE *f = fopen(one.settings, "r+");
	char line[256];
	long at = 0;

	assert_non_null(f);
	while (fgets(line, sizeof(line), f) &&
	       strncmp(line, RATIO_LINE, strlen(RATIO_LINE)) != 0)
		at = ftell(f);
	fseek(f, at + (long)strlen(RATIO_LINE), SEEK_SET);
	fputc('9', f);
	fclose(f);
	proc_signal(one.proc, SIGHUP);
	harness_until(harness, has_logged, "\"event\":\"reload\"",
		      "the settings are reloaded");
}

/* A run that may not leave its silent engine, as there is no repeat, waits for a
 * permit once it has lost it: for the time of a lost run, and not until a permit or
 * its deadline comes. */
static void lost_run_waits_for_a_permit_for_its_time(void **state)
{
	struct stream_reader *s;
	struct stream_reader *other;
	char path[32];
	size_t i;

	(void)state;
	world->plain_bytes = TOO_LARGE;
	world->workers[0].silent_ms = SILENT_MS;
	world->workers[0].extra_headers = "content-type: text/plain\r\n";
	s = ask_until("/tale/a", "10,10", TALE_MS);
	harness_until(harness, has_arrived, "/tale/a", "a stream runs");
	standin_add_worker(world, "engine", "z1");
	standin_put_worker_entry(&world->workers[0], "draining");
	harness_until(harness, has_logged, "\"awaits_repeat\":true",
		      "it may not leave");
	world->workers[1].limit = LIMIT;
	for (i = 0; !has_logged("\"event\":\"limited\""); i++) {
		snprintf(path, sizeof(path), "/write/%zu", i);
		other = ask(path, "10,10");
		stream_wait_end(other);
		stream_close(other);
	}
	allow_repeats();
	assert_int_equal(proc_output_count(one.proc, "answer-too-large"), 0);
	stream_wait_end(s);
	assert_int_equal(proc_output_count(one.proc, "answer-too-large"), 1);
	assert_int_equal(stream_status(s), 502);
	assert_int_equal(
		proc_output_count(one.proc, "\"event\":\"unattended\""), 0);
	stream_close(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			turned_away_stream_takes_the_next_room, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(turned_away_stream_is_refused,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			turned_away_stream_leaves_no_tokens, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			lost_run_waits_for_a_permit_for_its_time,
			set_up_without_repeats, tear_down),
	};

	return cmocka_run_group_tests_name("forgotten waiter", tests, NULL,
					   NULL);
}
