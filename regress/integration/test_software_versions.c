/*
 * Endpoints of one service that run several software versions: a stream goes on
 * only at the version that began it, over moves within an answer and over the
 * take-ups of its caller.
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

#include "lib/xalloc.h"
#include "regress/silence.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define CALLERS 12
#define ENGINES_MAX 6
#define EVENT_MS 60
#define EVENTS_BEFORE 10 /* received before a stream breaks off */
#define CALLS 30

/* Moves in these tests are never refused for want of repeats. */
#define MANY_REPEATS "repeat_ratio = 10\n"

/* A caller with its stream, over all its take-ups. */
struct caller {
	char first_id[24]; /* of the attempt that brought the first event */
	char version[8]; /* of the software that wrote the first event */
	size_t received;
	struct stream_reader *stream;
};

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;
static struct standin_instance two;
static struct standin_instance three; /* started by some cases */
static struct caller callers[CALLERS];

static int set_up(void **state)
{
	(void)state;
	memset(callers, 0, sizeof(callers));
	memset(&three, 0, sizeof(three));
	harness = harness_new();
	world = standin_new(harness);
	world->event_ms = EVENT_MS;
	world->extra_settings = MANY_REPEATS;
	standin_init_instance(world, &one, "one", NULL);
	standin_init_instance(world, &two, "two", one.control);
	return 0;
}

static int tear_down(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < CALLERS; i++)
		if (callers[i].stream)
			stream_close(callers[i].stream);
	proc_kill(one.proc);
	proc_kill(two.proc);
	if (three.proc)
		proc_kill(three.proc);
	standin_free(world);
	harness_free(harness);
	return 0;
}

static void start_instances(void)
{
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
	standin_start_instance(world, &two);
	standin_wait_status(world, two.readiness, "/readyz", 200);
}

/* Starts an endpoint for each version of a NULL-terminated list, and both
 * instances. */
static void start(const char *service, const char *const *versions)
{
	size_t i;

	for (i = 0; versions[i]; i++) {
		struct standin_worker *w =
			standin_add_worker(world, service, "z1");

		w->version = versions[i];
		standin_put_worker_entry(w, "ready");
	}
	standin_put_configuration(world, 2, NULL);
	start_instances();
}

static const char *const one_version[] = { "v1", "v1", "v1", "v1", NULL };
static const char *const two_versions[] = { "v1", "v1", "v2", "v2", NULL };
static const char *const three_versions[ENGINES_MAX + 1] = { "v1", "v1", "v2",
							     "v2", "v3", "v3" };

/* Sends a caller's request; resumes is the id that it names, or NULL. */
static void open_stream(struct caller *c, const struct standin_instance *in,
			const char *resumes)
{
	static unsigned int number;
	char id[24];
	char after[24];
	struct httpc_header headers[6] = {
		{ "credential", "k1" },
		{ "request-id", id },
		{ "deadline-ms", "15000" },
		{ "token-usage", "300,100" },
	};
	struct httpc_request r = {
		.method = "POST",
		.address = in->callers,
		.path = "/write/a",
		.headers = headers,
		.n_headers = 4,
		.body = c->first_id,
	};

	snprintf(id, sizeof(id), "s-%u", ++number);
	if (!c->received)
		memcpy(c->first_id, id, sizeof(id));
	r.body_len = strlen(c->first_id);
	if (c->received) {
		snprintf(after, sizeof(after), "%zu", c->received);
		headers[r.n_headers++] =
			(struct httpc_header){ "last-event-id", after };
	}
	if (resumes)
		headers[r.n_headers++] =
			(struct httpc_header){ "resumes", resumes };
	c->stream = stream_open(harness, &r);
}

/* Checks the events of a caller's present attempt: each follows the last one,
 * and all are of one version.  Closes the attempt. */
static void close_stream(struct caller *c)
{
	size_t i;

	for (i = 0; i < stream_n_events(c->stream); i++) {
		const char *data = stream_event_at(c->stream, i)->data;
		unsigned int event;
		char version[8];

		assert_int_equal(sscanf(data, "e%u %7s", &event, version), 2);
		if (!c->received)
			memcpy(c->version, version, sizeof(version));
		assert_int_equal(event, c->received + 1);
		if (strcmp(version, c->version) != 0)
			fail_msg("%s: begun by %s, event %u is of %s",
				 c->first_id, c->version, event, version);
		c->received++;
	}
	stream_close(c->stream);
	c->stream = NULL;
}

static void open_all_at(const struct standin_instance *in)
{
	size_t i;

	for (i = 0; i < CALLERS; i++)
		open_stream(&callers[i], in, NULL);
	for (i = 0; i < CALLERS; i++)
		stream_wait_events(callers[i].stream, EVENTS_BEFORE);
}

static void open_all(void)
{
	open_all_at(&one);
}

static void close_all(void)
{
	size_t i;

	for (i = 0; i < CALLERS; i++)
		close_stream(&callers[i]);
}

/* Expects that each stream goes on to its end. */
static void expect_all_complete(void)
{
	size_t i;

	for (i = 0; i < CALLERS; i++) {
		stream_wait_end(callers[i].stream);
		assert_int_equal(stream_status(callers[i].stream), 200);
		assert_int_equal(stream_outcome(callers[i].stream), HTTPC_OK);
	}
	close_all();
	for (i = 0; i < CALLERS; i++)
		assert_int_equal(callers[i].received, STANDIN_EVENTS);
}

/* Takes all streams up, in turn at the one and the other instance. */
static void take_up_all(void)
{
	size_t i;

	for (i = 0; i < CALLERS; i++)
		open_stream(&callers[i], i % 2 ? &two : &one,
			    callers[i].first_id);
}

/* Expects that the stream of a caller is refused as not run. */
static void expect_refused(struct caller *c)
{
	stream_wait_end(c->stream);
	assert_int_equal(stream_status(c->stream), 503);
	close_stream(c);
}

/* Ends an engine and starts it under its id with another version. */
static void release(size_t i, const char *version)
{
	standin_restart_worker(&world->workers[i], version);
	standin_put_worker_entry(&world->workers[i], "ready");
}

/* An instance that has to have read n entries with a version. */
struct listing {
	const struct standin_instance *instance;
	const char *version;
	size_t n;
};

static bool has_read_entries(void *arg)
{
	const struct listing *l = arg;
	char *entry = xasprintf("\"software\":\"%s\",\"leaving\"", l->version);
	size_t n = proc_output_count(l->instance->proc, entry);

	free(entry);
	return n >= l->n;
}

/* Waits until an instance has read n entries with a version since its start. */
static void wait_entries(struct harness *h, const struct standin_instance *in,
			 const char *version, size_t n)
{
	struct listing l = { in, version, n };

	harness_until(h, has_read_entries, &l, "the entries are read");
}

static void kill_instances(void)
{
	proc_kill(one.proc);
	proc_kill(two.proc);
}

/* Streams move to another engine once their prompt is read. */
static void second_stage(void **state)
{
	(void)state;
	start("engine", two_versions);
	open_all();
	expect_all_complete();
}

static void move_after_loss(void **state)
{
	(void)state;
	start("engine", two_versions);
	open_all();
	standin_kill_worker(&world->workers[0]);
	standin_kill_worker(&world->workers[2]);
	expect_all_complete();
}

/* A silent engine's stream moves back and forth between the two engines of its
 * version. */
static void move_after_silence(void **state)
{
	const struct silence_case c = {
		.route = SILENCE_ROUTE "\"maxAttempts\":9,\"resumable\":true}",
		.instances = 1,
		.engines = 3,
	};
	struct caller caller = { .first_id = "r-1" };
	size_t silences;
	size_t i;

	(void)state;
	silence_start(&c);
	for (i = 2; i < 4; i++) {
		standin_restart_worker(&silence_world->workers[i], "v2");
		standin_put_worker_entry(&silence_world->workers[i], "ready");
	}
	wait_entries(silence_harness, &silence_instances[0], "v2", 2);
	caller.stream = silence_open_stream();
	for (silences = 0; silences < 3; silences++) {
		size_t engine;

		stream_wait_events(caller.stream, (silences + 1) * 5);
		engine = silence_engine_of_run();
		silence_set_mode(engine, "hang");
		stream_wait_events(caller.stream, (silences + 1) * 5 + 1);
		silence_set_mode(engine, "pass");
	}
	stream_wait_end(caller.stream);
	close_stream(&caller);
	assert_int_equal(caller.received, STANDIN_EVENTS);
	silence_end(&c);
}

static void take_up_at_both_instances(void **state)
{
	(void)state;
	start("engine", two_versions);
	open_all();
	close_all();
	take_up_all();
	expect_all_complete();
}

static void take_up_of_take_up(void **state)
{
	size_t i;

	(void)state;
	start("engine", two_versions);
	open_all();
	close_all();
	take_up_all();
	for (i = 0; i < CALLERS; i++)
		stream_wait_events(callers[i].stream, 5);
	close_all();
	for (i = 0; i < CALLERS; i++)
		open_stream(&callers[i], i % 2 ? &one : &two,
			    callers[i].first_id);
	expect_all_complete();
}

static void three_versions_at_once(void **state)
{
	(void)state;
	start("engine", three_versions);
	open_all();
	close_all();
	take_up_all();
	expect_all_complete();
}

static void all_instances_killed(void **state)
{
	(void)state;
	start("engine", two_versions);
	open_all();
	kill_instances();
	close_all();
	start_instances();
	take_up_all();
	expect_all_complete();
}

/* What the version began that has left is refused, and the rest goes on. */
static void version_left_with_all_instances(void **state)
{
	size_t refused = 0;
	size_t i;

	(void)state;
	start("engine", two_versions);
	open_all();
	kill_instances();
	close_all();
	for (i = 0; i < 2; i++) {
		standin_kill_worker(&world->workers[i]);
		standin_remove(world, "servers", world->workers[i].id);
	}
	start_instances();
	take_up_all();
	for (i = 0; i < CALLERS; i++) {
		if (!strcmp(callers[i].version, "v1")) {
			expect_refused(&callers[i]);
			refused++;
			continue;
		}
		stream_wait_end(callers[i].stream);
		close_stream(&callers[i]);
		assert_int_equal(callers[i].received, STANDIN_EVENTS);
	}
	assert_in_range(refused, 1, CALLERS - 1);
}

/* Takes streams up without an id, and with one that no instance knows. */
static void take_up_unnamed(void)
{
	size_t i;

	for (i = 0; i < CALLERS; i++)
		open_stream(&callers[i], i % 4 < 2 ? &one : &two,
			    i % 2 ? "s-unknown" : NULL);
}

static void unnamed_with_one_version(void **state)
{
	(void)state;
	start("engine", one_version);
	open_all();
	close_all();
	take_up_unnamed();
	expect_all_complete();
}

static void unnamed_with_two_versions(void **state)
{
	size_t i;

	(void)state;
	start("engine", two_versions);
	open_all();
	close_all();
	take_up_unnamed();
	for (i = 0; i < CALLERS; i++)
		expect_refused(&callers[i]);
}

/* A release is taken back: what the old version began goes on when it is
 * back. */
static void release_taken_back(void **state)
{
	size_t i;

	(void)state;
	start("engine", one_version);
	open_all();
	close_all();
	for (i = 0; i < 4; i++)
		release(i, "v2");
	wait_entries(harness, &one, "v2", 4);
	for (i = 0; i < CALLERS; i += 2) {
		callers[i].received = 0;
		open_stream(&callers[i], &one, NULL);
	}
	for (i = 0; i < CALLERS; i += 2)
		stream_wait_events(callers[i].stream, EVENTS_BEFORE);
	for (i = 0; i < CALLERS; i += 2)
		close_stream(&callers[i]);
	for (i = 0; i < 2; i++)
		release(i, "v1");
	wait_entries(harness, &one, "v1", 6);
	wait_entries(harness, &two, "v1", 6);
	take_up_all();
	expect_all_complete();
}

/* An engine starts again under its id with another version while its entry is
 * the old one. */
static void entry_lags_behind(void **state)
{
	(void)state;
	start("engine", two_versions);
	open_all();
	standin_restart_worker(&world->workers[0], "v2");
	harness_run(harness, 10 * EVENT_MS);
	standin_put_worker_entry(&world->workers[0], "ready");
	expect_all_complete();
}

static bool two_other_starts(void *arg)
{
	(void)arg;
	return proc_output_count(one.proc, "endpoint-other-start") >= 2;
}

/* Returns how many streams a worker has run since a number of arrivals. */
static size_t runs_since(const struct standin_worker *worker, size_t arrivals)
{
	size_t n = 0;
	size_t i;

	for (i = arrivals; i < world->n_arrivals; i++)
		n += world->arrivals[i]->worker == worker &&
		     world->arrivals[i]->ran;
	return n;
}

/* Guards against streams that are bound to one engine, and lost with it, because
 * it had stated its start shortly before its entry came and was not asked again
 * for a second. */
static void entry_after_stated_start(void **state)
{
	size_t arrivals;
	size_t i;

	(void)state;
	start("engine", two_versions);
	for (i = 0; i < 2; i++)
		standin_restart_worker(&world->workers[i], "v2");
	for (i = 0; i < CALLERS; i++)
		open_stream(&callers[i], &one, NULL);
	harness_until(harness, two_other_starts, NULL,
		      "the engines state that they have started again");
	close_all();
	for (i = 0; i < 2; i++)
		standin_put_worker_entry(&world->workers[i], "ready");
	wait_entries(harness, &one, "v2", 4);
	wait_entries(harness, &two, "v2", 4);
	arrivals = world->n_arrivals;
	for (i = 0; i < CALLERS; i++) {
		callers[i].received = 0;
		open_stream(&callers[i], &one, NULL);
	}
	for (i = 0; i < CALLERS; i++)
		stream_wait_events(callers[i].stream, 1);
	close_all();
	assert_true(runs_since(&world->workers[0], arrivals) > 0);
	standin_kill_worker(&world->workers[0]);
	take_up_all();
	expect_all_complete();
}

/* Guards against a stream that goes on at the version in an outdated entry: its
 * engine had started again with another one, and its instance is lost before the
 * engine has stated that. */
static void instance_lost_before_start_stated(void **state)
{
	struct standin_worker *again = &world->workers[0];
	size_t refused = 0;
	size_t ran;
	size_t i;

	(void)state;
	start("engine", two_versions);
	standin_restart_worker(again, "v2");
	again->holds_reports = true;
	world->event_ms = 10 * EVENT_MS;
	for (i = 0; i < CALLERS; i++)
		open_stream(&callers[i], &one, NULL);
	/* what was noted before the first events is written, and no more */
	harness_run(harness, 7 * EVENT_MS);
	world->store_refuses_writes = true;
	for (i = 0; i < CALLERS; i++)
		stream_wait_events(callers[i].stream, 1);
	proc_kill(one.proc);
	close_all();
	ran = runs_since(again, 0);
	assert_true(ran > 0);
	again->holds_reports = false;
	world->store_refuses_writes = false;
	world->event_ms = EVENT_MS;
	for (i = 0; i < CALLERS; i++)
		open_stream(&callers[i], &two, callers[i].first_id);
	for (i = 0; i < CALLERS; i++) {
		int status;

		stream_wait_end(callers[i].stream);
		status = stream_status(callers[i].stream);
		close_stream(&callers[i]);
		refused += status == 503;
		if (status != 503)
			assert_int_equal(callers[i].received, STANDIN_EVENTS);
	}
	assert_in_range(refused, 0, ran);
}

static bool one_has_logged(void *arg)
{
	return proc_output_count(one.proc, arg) > 0;
}

static bool two_has_logged(void *arg)
{
	return proc_output_count(two.proc, arg) > 0;
}

/* Guards against streams that began at an engine without an entry and are taken up at
 * an instance which knows the process that has followed it, with another version, by
 * the same name. */
static void unlisted_engine_starts_again_before_take_up(void **state)
{
	static const char *const versions[] = { "v1", NULL };
	struct caller finder = { .received = 0 };
	struct standin_worker *engine;
	size_t i;

	(void)state;
	start("engine", versions);
	engine = &world->workers[0];
	standin_kill_worker(engine);
	standin_start_unlisted(engine, "i-found");
	open_stream(&finder, &one, NULL);
	harness_until(harness, one_has_logged,
		      "\"event\":\"endpoint-rediscovered\","
		      "\"endpoint\":\"i-found\"",
		      "the first instance finds the engine");
	harness_until(harness, two_has_logged,
		      "\"event\":\"endpoint-entry\","
		      "\"endpoint\":\"i-found\"",
		      "the second instance hears of it");
	open_all();
	proc_kill(one.proc);
	standin_restart_worker(engine, "v2");
	close_all();
	for (i = 0; i < CALLERS; i++)
		open_stream(&callers[i], &two, callers[i].first_id);
	for (i = 0; i < CALLERS; i++) {
		stream_wait_end(callers[i].stream);
		close_stream(&callers[i]);
	}
	stream_close(finder.stream);
}

/* Without the store a stream goes on at the instance that sent it, and at another
 * one, which it was told to. */
static void store_away(void **state)
{
	(void)state;
	start("engine", two_versions);
	open_all();
	close_all();
	world->store_refuses = true;
	take_up_all();
	expect_all_complete();
	world->store_refuses = false;
}

/* Puts a fault proxy between the second instance, which has not started, and
 * the store; returns the proxy's control address. */
static const char *gate_store(void)
{
	const char *gate = harness_address(harness);
	const char *control = harness_address(harness);
	char *map = xasprintf("%s=%s", gate, world->store_address);

	HARNESS_START(harness, "faultd", "faultd", "-c", control, "-m", map);
	free(map);
	harness_wait_listening(harness, control);
	world->store_public_address = gate;
	standin_init_instance(world, &two, "two", one.control);
	return control;
}

/* Starts a third instance, which stays in touch with both others. */
static void start_third(void)
{
	world->store_public_address = world->store_address;
	standin_init_instance(world, &three, "three", one.control);
	standin_start_instance(world, &three);
	standin_wait_status(world, three.readiness, "/readyz", 200);
}

static void add_engines(size_t n, const char *version)
{
	size_t i;

	for (i = 0; i < n; i++)
		standin_add_worker_of(world, "engine", "z1", version);
}

static bool two_versions_recorded(void *arg)
{
	(void)arg;
	return standin_count_rows(world, "streams", "version/") == 2;
}

/* Adds engines of a new version, and begins streams at the first instance once
 * it knows them; some are of the new version. */
static void begin_at_new_version(void)
{
	size_t n = 0;
	size_t i;

	add_engines(4, "v2");
	wait_entries(harness, &one, "v2", 4);
	harness_until(harness, two_versions_recorded, NULL,
		      "the new version is in the store");
	open_all();
	for (i = 0; i < CALLERS; i++)
		n += strstr(stream_event_at(callers[i].stream, 0)->data,
			    "v2") != NULL;
	assert_in_range(n, 1, CALLERS);
}

/* Expects that no stream goes on at another version, complete or not. */
static void expect_none_mixed(void)
{
	size_t i;

	for (i = 0; i < CALLERS; i++) {
		stream_wait_end(callers[i].stream);
		close_stream(&callers[i]);
	}
}

/* Guards against a stream of a new version that goes on at the old one: the
 * instance where it is taken up was cut off from the store before the new
 * version came, and had read then that only one serves. */
static void take_up_cut_off_from_store(void **state)
{
	const char *control = gate_store();
	size_t i;

	(void)state;
	start("engine", one_version);
	start_third();
	harness_control(harness, control, "{\"*\":{\"mode\":\"hang\"}}");
	begin_at_new_version();
	proc_kill(one.proc);
	close_all();
	for (i = 0; i < CALLERS; i++)
		open_stream(&callers[i], &two, callers[i].first_id);
	expect_none_mixed();
}

/* Guards against the same at an instance that was stopped by a signal, and reads
 * the take-ups first when it goes on. */
static void take_up_after_freeze(void **state)
{
	size_t i;

	(void)state;
	start("engine", one_version);
	start_third();
	proc_signal(two.proc, SIGSTOP);
	/* all that it learns of the endpoints when it goes on */
	standin_put_worker_entry(&world->workers[0], "ready");
	begin_at_new_version();
	proc_kill(one.proc);
	close_all();
	for (i = 0; i < CALLERS; i++)
		open_stream(&callers[i], &two, callers[i].first_id);
	harness_run(harness, 10 * EVENT_MS);
	proc_signal(two.proc, SIGCONT);
	expect_none_mixed();
}

/* Cuts an instance off from the store, has a new version come, and takes the
 * instance's streams up at the others once it is gone: all of them go on.
 * begun_first: the streams begin before the new version comes. */
static void lose_cut_off_instance(bool begun_first, bool planned)
{
	const char *control = gate_store();
	size_t i;

	start("engine", one_version);
	start_third();
	if (begun_first)
		open_all_at(&two);
	harness_control(harness, control, "{\"*\":{\"mode\":\"hang\"}}");
	add_engines(2, "v2");
	wait_entries(harness, &one, "v2", 2);
	wait_entries(harness, &three, "v2", 2);
	if (!begun_first)
		open_all_at(&two);
	if (planned) {
		proc_signal(two.proc, SIGTERM);
		harness_run(harness, 3 * EVENT_MS);
	}
	proc_kill(two.proc);
	close_all();
	for (i = 0; i < CALLERS; i++)
		open_stream(&callers[i], i % 2 ? &three : &one,
			    callers[i].first_id);
	expect_all_complete();
}

/* Guards against the loss of streams whose instance was cut off from the store
 * when a second version came, so that it alone knew their version. */
static void cut_off_instance_killed(void **state)
{
	(void)state;
	lose_cut_off_instance(true, false);
}

static void cut_off_instance_begins_and_is_killed(void **state)
{
	(void)state;
	lose_cut_off_instance(false, false);
}

static void cut_off_instance_stops(void **state)
{
	(void)state;
	lose_cut_off_instance(true, true);
}

/* Guards against the loss of streams whose keepers have all started again since
 * they were told. */
static void keepers_started_again(void **state)
{
	size_t i;

	(void)state;
	start("engine", two_versions);
	open_all();
	world->store_refuses = true;
	proc_kill(two.proc);
	standin_start_instance(world, &two);
	standin_wait_status(world, two.readiness, "/readyz", 200);
	harness_run(harness, 3 * EVENT_MS);
	proc_kill(one.proc);
	close_all();
	for (i = 0; i < CALLERS; i++)
		open_stream(&callers[i], &two, callers[i].first_id);
	expect_all_complete();
	world->store_refuses = false;
}

/* Calls that are no streams are served by both versions. */
static void plain_calls(void **state)
{
	const struct httpc_header headers[] = { { "credential", "k1" } };
	const struct httpc_request r = {
		.method = "GET",
		.address = one.callers,
		.path = "/look/a",
		.headers = headers,
		.n_headers = 1,
	};
	bool ran[STANDIN_WORKERS_MAX] = { 0 };
	size_t i;

	(void)state;
	start("plain", two_versions);
	for (i = 0; i < CALLS; i++) {
		struct answer a;

		harness_request(harness, &r, &a);
		assert_int_equal(a.status, 200);
		answer_release(&a);
	}
	for (i = 0; i < world->n_arrivals; i++)
		if (world->arrivals[i]->ran)
			ran[world->arrivals[i]->worker - world->workers] = true;
	assert_true(ran[0] || ran[1]);
	assert_true(ran[2] || ran[3]);
}

#define CASE(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(second_stage),
		CASE(move_after_loss),
		cmocka_unit_test(move_after_silence),
		CASE(take_up_at_both_instances),
		CASE(take_up_of_take_up),
		CASE(three_versions_at_once),
		CASE(all_instances_killed),
		CASE(version_left_with_all_instances),
		CASE(unnamed_with_one_version),
		CASE(unnamed_with_two_versions),
		CASE(release_taken_back),
		CASE(entry_lags_behind),
		CASE(entry_after_stated_start),
		CASE(instance_lost_before_start_stated),
		CASE(unlisted_engine_starts_again_before_take_up),
		CASE(store_away),
		CASE(take_up_cut_off_from_store),
		CASE(take_up_after_freeze),
		CASE(cut_off_instance_killed),
		CASE(cut_off_instance_begins_and_is_killed),
		CASE(cut_off_instance_stops),
		CASE(keepers_started_again),
		CASE(plain_calls),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
