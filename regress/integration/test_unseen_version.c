/*
 * An engine that no stream is at starts again under its id with another software
 * version, and its entry is the old one for some time: no stream holds events of
 * two versions.  Also if a connection to its earlier process has gone silent, and
 * looks open, if a statement of that process is read late, and if the engine has no
 * entry.
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
#define STREAMS 12
#define EVENT_MS 60
#define EVENTS_BEFORE 10 /* received before the entry changes */

/* Returns whether all events of a stream are of one version. */
static bool is_of_one_version(const struct stream_reader *s)
{
	const char *first = strchr(stream_event_at(s, 0)->data, ' ');
	size_t i;

	for (i = 1; i < stream_n_events(s); i++)
		if (strcmp(strchr(stream_event_at(s, i)->data, ' '), first) !=
		    0)
			return false;
	return true;
}

/* Opens a stream whose id is its content, too. */
static struct stream_reader *open_stream(struct harness *h, const char *callers,
					 const char *path, const char *id)
{
	const struct httpc_header headers[] = {
		{ "credential", "k1" },
		{ "request-id", id },
		{ "deadline-ms", "15000" },
		{ "token-usage", "300,100" },
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = callers,
		.path = path,
		.headers = headers,
		.n_headers = N(headers),
		.body = id,
		.body_len = strlen(id),
	};

	return stream_open(h, &r);
}

static void unseen_start(void **state)
{
	struct harness *h = harness_new();
	struct standin_world *world = standin_new(h);
	struct stream_reader *streams[STREAMS];
	struct standin_instance in;
	size_t mixed = 0;
	size_t i;

	(void)state;
	world->event_ms = EVENT_MS;
	for (i = 0; i < 4; i++) {
		struct standin_worker *w =
			standin_add_worker(world, "engine", "z1");

		w->version = i < 2 ? "v1" : "v2";
		standin_put_worker_entry(w, "ready");
	}
	standin_put_configuration(world, 2, NULL);
	standin_init_instance(world, &in, "one", NULL);
	standin_start_instance(world, &in);
	standin_wait_status(world, in.readiness, "/readyz", 200);
	standin_restart_worker(&world->workers[0], "v2");
	for (i = 0; i < STREAMS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "s-%02zu", i);
		streams[i] = open_stream(h, in.callers, "/write/a", id);
	}
	for (i = 0; i < STREAMS; i++)
		stream_wait_events(streams[i], EVENTS_BEFORE);
	standin_put_worker_entry(&world->workers[0], "ready");
	for (i = 0; i < STREAMS; i++) {
		stream_wait_end(streams[i]);
		mixed += !is_of_one_version(streams[i]);
		stream_close(streams[i]);
	}
	print_message("%zu of %d streams hold two versions\n", mixed, STREAMS);
	assert_int_equal(mixed, 0);
	proc_kill(in.proc);
	standin_free(world);
	harness_free(h);
}

#define CALLERS 24

/* Opens the streams of all callers, whose contents differ. */
static void open_callers(struct stream_reader **streams, const char *callers)
{
	size_t i;

	for (i = 0; i < CALLERS; i++) {
		static unsigned int number;
		char id[24];

		snprintf(id, sizeof(id), "%022u-", number++);
		streams[i] =
			open_stream(silence_harness, callers, "/case/a", id);
	}
}

static bool is_listed_with_v2(void *arg)
{
	(void)arg;
	return proc_output_count(silence_instances[0].proc,
				 "\"software\":\"v2\",\"leaving\"") >= 2;
}

/* Guards against streams that are bound to the listed version of an engine whose
 * process has ended, as a connection to that has gone silent and looks open. */
static void silent_connection(void **state)
{
	const struct silence_case c = {
		.route = SILENCE_ROUTE "\"maxAttempts\":9,\"resumable\":true}",
		.settings = "repeat_ratio = 10\n",
		.instances = 1,
		.engines = 3,
	};
	struct stream_reader *streams[CALLERS];
	size_t mixed = 0;
	size_t i;

	(void)state;
	silence_start(&c);
	for (i = 2; i < 4; i++) {
		standin_restart_worker(&silence_world->workers[i], "v2");
		standin_put_worker_entry(&silence_world->workers[i], "ready");
	}
	harness_until(silence_harness, is_listed_with_v2, NULL,
		      "two engines are listed with v2");
	open_callers(streams, silence_instances[0].callers);
	for (i = 0; i < CALLERS; i++) {
		stream_wait_end(streams[i]);
		stream_close(streams[i]);
	}
	silence_connections(0);
	standin_restart_worker(&silence_world->workers[0], "v2");
	open_callers(streams, silence_instances[0].callers);
	for (i = 0; i < CALLERS; i++)
		stream_wait_events(streams[i], EVENTS_BEFORE);
	standin_kill_worker(&silence_world->workers[0]);
	for (i = 0; i < CALLERS; i++) {
		stream_wait_end(streams[i]);
		mixed += !is_of_one_version(streams[i]);
		stream_close(streams[i]);
	}
	print_message("%zu of %d streams hold two versions\n", mixed, CALLERS);
	assert_int_equal(mixed, 0);
	silence_end(&c);
}

static struct standin_instance unlisted_in;

static bool is_found(void *arg)
{
	return proc_output_count(unlisted_in.proc, arg) > 0;
}

/* Starts an instance, and an engine under an id that the store doesn't list, which the
 * instance finds. */
static void find_unlisted_engine(struct harness *h, struct standin_world *world,
				 struct standin_worker *w)
{
	struct stream_reader *finder;

	world->event_ms = EVENT_MS;
	w->version = "v1";
	standin_put_worker_entry(w, "ready");
	standin_put_configuration(world, 2, NULL);
	standin_init_instance(world, &unlisted_in, "one", NULL);
	standin_start_instance(world, &unlisted_in);
	standin_wait_status(world, unlisted_in.readiness, "/readyz", 200);
	standin_kill_worker(w);
	standin_start_unlisted(w, "i-found");
	finder = open_stream(h, unlisted_in.callers, "/write/a", "finder");
	harness_until(h, is_found,
		      "\"event\":\"endpoint-rediscovered\","
		      "\"endpoint\":\"i-found\"",
		      "the engine is found");
	stream_close(finder);
}

/* Opens streams at an engine without an entry, has their connections closed in the
 * middle, and sets how many of them hold two versions, and how many are whole.  If
 * starts_again is set, the process that accepts connections then is another one with
 * the same id and another version. */
static void close_at_unlisted_engine(bool starts_again, size_t *mixed,
				     size_t *whole)
{
	struct harness *h = harness_new();
	struct standin_world *world = standin_new(h);
	struct standin_worker *w = standin_add_worker(world, "engine", "z1");
	struct stream_reader *streams[STREAMS];
	size_t i;

	*mixed = *whole = 0;
	find_unlisted_engine(h, world, w);
	for (i = 0; i < STREAMS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "u-%02zu", i);
		streams[i] =
			open_stream(h, unlisted_in.callers, "/write/a", id);
	}
	for (i = 0; i < STREAMS; i++)
		stream_wait_events(streams[i], EVENTS_BEFORE);
	if (starts_again) {
		standin_restart_worker(w, "v2");
	} else {
		standin_kill_worker(w);
		standin_start_unlisted(w, w->id);
	}
	for (i = 0; i < STREAMS; i++) {
		stream_wait_end(streams[i]);
		*mixed += !is_of_one_version(streams[i]);
		*whole += stream_outcome(streams[i]) == HTTPC_OK;
		stream_close(streams[i]);
	}
	print_message("of %d streams %zu hold two versions, %zu are whole\n",
		      STREAMS, *mixed, *whole);
	proc_kill(unlisted_in.proc);
	standin_free(world);
	harness_free(h);
}

/* Guards against streams that began at an engine without an entry and go on at the
 * process that has followed it under its id, with another version. */
static void unlisted_engine_starts_again(void **state)
{
	size_t mixed, whole;

	(void)state;
	close_at_unlisted_engine(true, &mixed, &whole);
	assert_int_equal(mixed, 0);
}

/* Guards against streams that are lost where only their connections have ended. */
static void unlisted_engine_closes_connections(void **state)
{
	size_t mixed, whole;

	(void)state;
	close_at_unlisted_engine(false, &mixed, &whole);
	assert_int_equal(mixed, 0);
	assert_int_equal(whole, STREAMS);
}

static bool has_deferred_report(void *arg)
{
	return standin_defers_report(arg);
}

/* Guards against streams that get the listed version by a statement that was asked for
 * before they were sent: an engine's earlier process has written it, and a partition has
 * held it back while another one followed with another version. */
static void statement_is_older_than_streams(void **state)
{
	struct harness *h = harness_new();
	struct standin_world *world = standin_new(h);
	struct stream_reader *streams[CALLERS];
	struct stream_reader *earlier;
	struct standin_instance in;
	size_t mixed = 0;
	size_t i;

	(void)state;
	world->event_ms = EVENT_MS;
	for (i = 0; i < 3; i++) {
		struct standin_worker *w =
			standin_add_worker(world, "engine", "z1");

		w->version = "v1";
		w->slots = 64;
		w->defers_reports = i == 0;
		standin_put_worker_entry(w, "ready");
	}
	standin_put_configuration(world, 2, NULL);
	standin_init_instance(world, &in, "one", NULL);
	standin_start_instance(world, &in);
	standin_wait_status(world, in.readiness, "/readyz", 200);
	for (i = 0; !standin_defers_report(&world->workers[0]); i++) {
		char id[16];

		snprintf(id, sizeof(id), "e-%02zu", i);
		earlier = open_stream(h, in.callers, "/write/a", id);
		stream_wait_events(earlier, 1);
		stream_close(earlier);
	}
	harness_until(h, has_deferred_report, &world->workers[0],
		      "the engine is asked for its start");
	world->workers[0].version = "v2";
	world->workers[0].born_ms += 1000;
	for (i = 0; i < CALLERS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "l-%02zu", i);
		streams[i] = open_stream(h, in.callers, "/write/a", id);
	}
	for (i = 0; i < CALLERS; i++)
		stream_wait_events(streams[i], 1);
	standin_answer_reports(&world->workers[0]);
	for (i = 0; i < CALLERS; i++)
		stream_wait_events(streams[i], EVENTS_BEFORE);
	standin_kill_worker(&world->workers[0]);
	for (i = 0; i < CALLERS; i++) {
		stream_wait_end(streams[i]);
		mixed += !is_of_one_version(streams[i]);
		stream_close(streams[i]);
	}
	print_message("%zu of %d streams hold two versions\n", mixed, CALLERS);
	assert_int_equal(mixed, 0);
	proc_kill(in.proc);
	standin_free(world);
	harness_free(h);
}

#define QUESTIONS_MS 1000 /* an engine in doubt is asked once in this time */

/* Returns how often the engines have been asked for their reports. */
static size_t n_reports(const struct standin_world *world)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < world->n_arrivals; i++)
		n += !strcmp(world->arrivals[i]->target, "/report");
	return n;
}

/* Guards against an engine without an entry that is asked for its start again and again
 * once it was found dead and is back. */
static void unlisted_engine_is_back(void **state)
{
	struct harness *h = harness_new();
	struct standin_world *world = standin_new(h);
	struct standin_worker *w = standin_add_worker(world, "engine", "z1");
	struct stream_reader *s;
	size_t before;

	(void)state;
	find_unlisted_engine(h, world, w);
	/* else it would count as removed, as the store doesn't list it */
	world->store_refuses = true;
	s = open_stream(h, unlisted_in.callers, "/write/a", "before");
	stream_wait_events(s, 1);
	standin_kill_worker(w);
	harness_until(h, is_found,
		      "\"event\":\"endpoint-lost\",\"endpoint\":\"i-found\"",
		      "the engine is found dead");
	standin_start_unlisted(w, w->id);
	harness_until(h, is_found,
		      "\"event\":\"endpoint-back\",\"endpoint\":\"i-found\"",
		      "the engine is back");
	stream_close(s);
	before = n_reports(world);
	harness_run(h, 2 * QUESTIONS_MS);
	print_message("%zu questions\n", n_reports(world) - before);
	assert_in_range(n_reports(world) - before, 0, 4);
	s = open_stream(h, unlisted_in.callers, "/write/a", "after");
	stream_wait_end(s);
	assert_int_equal(stream_outcome(s), HTTPC_OK);
	stream_close(s);
	proc_kill(unlisted_in.proc);
	standin_free(world);
	harness_free(h);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(unseen_start),
		cmocka_unit_test(silent_connection),
		cmocka_unit_test(statement_is_older_than_streams),
		cmocka_unit_test(unlisted_engine_starts_again),
		cmocka_unit_test(unlisted_engine_closes_connections),
		cmocka_unit_test(unlisted_engine_is_back),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
