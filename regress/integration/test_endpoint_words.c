/* cdmproxyd obeys what endpoints report in response headers: that they are
 * leaving (server-leaving) or want no requests for a time (retry-after).  The
 * store lists them as ready all the time. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "regress/platform_standin.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define LEAVING_HEADER "server-leaving: 1\r\n"
#define CALLS 30 /* enough that each of two endpoints would get a few */
#define PAUSE_EFFECT_MS 500 /* time for a pause to take effect */

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;
static struct standin_worker *first;
static struct standin_worker *second;

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	standin_init_instance(world, &one, "one", NULL);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	if (one.proc)
		proc_kill(one.proc);
	standin_free(world);
	harness_free(harness);
	return 0;
}

/* Starts the instance with two endpoints of a service in its own zone. */
static void start(const char *service)
{
	first = standin_add_worker(world, service, "z1");
	second = standin_add_worker(world, service, "z1");
	standin_put_configuration(world, 2, NULL);
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
}

/* Sends a request; fills in its response. */
static void call(const char *path, struct answer *a)
{
	static unsigned int number;
	char id[24];
	char prompt[32];
	const struct httpc_header headers[] = {
		{ "credential", "k1" },	     { "request-id", id },
		{ "deadline-ms", "900" },    { "token-usage", "10,10" },
		{ "prompt-prefix", prompt },
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

	snprintf(id, sizeof(id), "r-%u", ++number);
	snprintf(prompt, sizeof(prompt), "%x:10", number);
	harness_request(harness, &r, a);
}

/* Sends requests until an endpoint has received one; returns its status. */
static int call_until_received(const struct standin_worker *worker,
			       const char *path)
{
	size_t from = world->n_arrivals;
	unsigned int tries;

	for (tries = 0; tries < 300; tries++) {
		struct answer a;
		int status;
		size_t i;

		call(path, &a);
		status = a.status;
		answer_release(&a);
		for (i = from; i < world->n_arrivals; i++)
			if (world->arrivals[i]->worker == worker)
				return status;
		harness_run(harness, 10);
	}
	fail_msg("%s received no request", worker->id);
	return 0;
}

/* Counts the requests, of callers and of the instance itself, that an endpoint
 * has received since the arrival with index `from`. */
static size_t arrivals(const struct standin_worker *worker, size_t from)
{
	size_t n = 0;
	size_t i;

	for (i = from; i < world->n_arrivals; i++)
		n += world->arrivals[i]->worker == worker;
	return n;
}

/* Checks that new requests are served and none reaches the endpoint. */
static void expect_avoided(const struct standin_worker *worker,
			   const char *path, const char *name)
{
	size_t from = world->n_arrivals;
	size_t i;

	for (i = 0; i < CALLS; i++) {
		struct answer a;

		call(path, &a);
		if (a.status != 200)
			fail_msg("%s: status %d: %s", name, a.status, a.body);
		answer_release(&a);
	}
	if (arrivals(worker, from))
		fail_msg("%s: %zu requests reached the endpoint", name,
			 arrivals(worker, from));
}

struct leaving_case {
	const char *name;
	enum standin_behaviour behaviour;
	const char *path;
};

/* An endpoint that reports in a response, whatever its status, that it is
 * leaving gets no more requests, although the store still lists it as ready. */
static void leaving_endpoint_is_avoided(void **state)
{
	static const struct leaving_case cases[] = {
		{ "success", STANDIN_NORMAL, "/book/a" },
		{ "failure", STANDIN_FAILS, "/book/a" },
		{ "refusal", STANDIN_FULL, "/look/a" },
		{ "refusal without a word of the run", STANDIN_FULL_EXECUTED,
		  "/look/a" },
	};
	size_t i;

	(void)state;
	start("plain");
	call_until_received(second, "/look/a");
	for (i = 0; i < N(cases); i++) {
		char id[24];

		first->behaviour = cases[i].behaviour;
		first->extra_headers = LEAVING_HEADER;
		call_until_received(first, cases[i].path);
		first->behaviour = STANDIN_NORMAL;
		expect_avoided(first, "/book/a", cases[i].name);
		/* its successor is not leaving */
		standin_remove(world, "servers", first->id);
		first->extra_headers = NULL;
		snprintf(id, sizeof(id), "i-next-%zu", i);
		standin_kill_worker(first);
		standin_start_worker(first, id);
		call_until_received(first, "/book/a");
	}
}

/* The endpoint's report stays in force while the store is unreachable and after
 * it recovers. */
static void leaving_endpoint_is_avoided_without_the_store(void **state)
{
	(void)state;
	start("plain");
	call_until_received(second, "/look/a");
	world->store_refuses = true;
	first->extra_headers = LEAVING_HEADER;
	call_until_received(first, "/book/a");
	first->extra_headers = NULL;
	expect_avoided(first, "/book/a", "store unreachable");
	world->store_refuses = false;
	standin_put_worker_entry(first, "ready");
	harness_run(harness, 300);
	expect_avoided(first, "/book/a", "store recovered");
}

/* An endpoint that was found while the store was unreachable has no start time.
 * Its first entry, which has one, must not count as a restart. */
static void leaving_endpoint_found_without_the_store_is_avoided(void **state)
{
	(void)state;
	start("plain");
	call_until_received(first, "/book/a");
	world->store_refuses = true;
	standin_kill_worker(first);
	standin_start_worker(first, "i-found");
	do /* until it is found: it answers 421 to another endpoint's id */
		call_until_received(first, "/look/a");
	while (!world->arrivals[world->n_arrivals - 1]->ran);
	first->extra_headers = LEAVING_HEADER;
	call_until_received(first, "/book/a");
	first->extra_headers = NULL;
	expect_avoided(first, "/book/a", "store unreachable");
	world->store_refuses = false;
	standin_put_worker_entry(first, "ready");
	harness_run(harness, 1500);
	expect_avoided(first, "/book/a", "store recovered");
}

/* A restart under the same id is recognised by the entry's start time. */
static void restarted_endpoint_is_used(void **state)
{
	(void)state;
	start("plain");
	first->extra_headers = LEAVING_HEADER;
	call_until_received(first, "/book/a");
	first->extra_headers = NULL;
	first->born_ms += 1000;
	standin_put_worker_entry(first, "ready");
	call_until_received(first, "/book/a");
}

/* All endpoints are leaving: callers are refused at once with 503. */
static void all_endpoints_are_leaving(void **state)
{
	struct answer a;
	size_t from;

	(void)state;
	start("plain");
	first->extra_headers = LEAVING_HEADER;
	call_until_received(first, "/book/a");
	second->extra_headers = LEAVING_HEADER;
	call_until_received(second, "/book/a");
	from = world->n_arrivals;
	call("/book/a", &a);
	assert_int_equal(a.status, 503);
	answer_release(&a);
	assert_int_equal(world->n_arrivals, from);
}

/* A run whose KV cache is copied to another engine while it continues. */
struct copied_run {
	struct standin_worker *engine;
	struct standin_worker *holder;
};

/* Finds the last request of the long stream that names a KV-cache copy. */
static bool run_is_copied(void *arg)
{
	static const char key[] = "\nkv-backup: ";
	struct copied_run *run = arg;
	size_t i;
	size_t k;

	for (i = 0; i < world->n_arrivals; i++) {
		const struct standin_arrival *a = world->arrivals[i];
		const char *to = strstr(a->head, key);

		if (!to ||
		    !standin_arrival_has_line(a, "\nrequest-id: r-long\n"))
			continue;
		run->engine = a->worker;
		to += sizeof(key) - 1;
		for (k = 0; k < world->n_workers; k++)
			if (!strncmp(to, world->workers[k].address,
				     strlen(world->workers[k].address)))
				run->holder = &world->workers[k];
	}
	return run->holder != NULL;
}

/* A stream whose engine is lost does not resume from its KV-cache copy at an
 * endpoint that is leaving. */
static void stream_does_not_resume_at_leaving_endpoint(void **state)
{
	static const struct httpc_header headers[] = {
		{ "credential", "k1" },	      { "request-id", "r-long" },
		{ "deadline-ms", "15000" },   { "token-usage", "300,100" },
		{ "prompt-prefix", "a:300" },
	};
	struct httpc_request r = {
		.method = "POST",
		.path = "/write/long",
		.headers = headers,
		.n_headers = N(headers),
		.body = "x",
		.body_len = 1,
	};
	struct copied_run run = { 0 };
	struct stream_reader *stream;
	size_t from;

	(void)state;
	start("engine");
	standin_add_worker(world, "engine", "z2");
	standin_add_worker(world, "engine", "z3");
	call_until_received(&world->workers[3], "/write/a");
	world->event_ms = 100;
	r.address = one.callers;
	stream = stream_open(harness, &r);
	harness_until(harness, run_is_copied, &run, "the run has a copy");
	world->event_ms = 5;
	run.holder->extra_headers = LEAVING_HEADER;
	call_until_received(run.holder, "/write/a");
	from = world->n_arrivals;
	standin_kill_worker(run.engine);
	stream_wait_end(stream);
	assert_int_equal(stream_n_events(stream), STANDIN_EVENTS);
	assert_int_equal(arrivals(run.holder, from), 0);
	stream_close(stream);
}

/* After a refusal with a retry-after, the endpoint gets no requests from
 * PAUSE_EFFECT_MS on until that time has passed, then it is used again. */
static void paused_endpoint_is_avoided(void **state)
{
	size_t from;
	uint64_t end;

	(void)state;
	start("plain");
	call_until_received(second, "/look/a");
	first->behaviour = STANDIN_FULL;
	first->extra_headers = "retry-after: 2.5\r\n";
	call_until_received(first, "/look/a");
	end = uv_now(harness_loop(harness)) + 2500;
	first->behaviour = STANDIN_NORMAL;
	first->extra_headers = NULL;
	harness_run(harness, PAUSE_EFFECT_MS);
	from = world->n_arrivals;
	while (uv_now(harness_loop(harness)) + 100 < end) {
		struct answer a;

		call("/look/a", &a);
		assert_int_equal(a.status, 200);
		answer_release(&a);
	}
	for (; from < world->n_arrivals; from++)
		if (world->arrivals[from]->worker == first &&
		    world->arrivals[from]->at_ms < end)
			fail_msg("endpoint got a request in its pause");
	call_until_received(first, "/look/a");
}

/* All endpoints are paused: callers are refused at once, with a retry-after
 * that names the end of the first pause. */
static void callers_get_the_end_of_the_first_pause(void **state)
{
	struct answer a;
	size_t from;

	(void)state;
	start("plain");
	first->behaviour = STANDIN_FULL;
	first->extra_headers = "retry-after: 8\r\n";
	call_until_received(first, "/look/a");
	second->behaviour = STANDIN_FULL;
	second->extra_headers = "retry-after: 4\r\n";
	call_until_received(second, "/look/a");
	harness_run(harness, PAUSE_EFFECT_MS);
	from = world->n_arrivals;
	call("/look/a", &a);
	assert_int_equal(a.status, 503);
	assert_non_null(a.retry_after);
	assert_true(atof(a.retry_after) > 2.5 && atof(a.retry_after) < 5);
	answer_release(&a);
	assert_int_equal(world->n_arrivals, from);
}

/* A retry-after that is not a number of seconds is ignored. */
static void invalid_pause_is_ignored(void **state)
{
	static const char *const words[] = {
		"retry-after: soon\r\n",
		"retry-after: -5\r\n",
		"retry-after: \r\n",
		"retry-after: 1e9x\r\n",
		"retry-after: nan\r\n",
		"retry-after: Fri, 04 Dec 2026 08:00:00 GMT\r\n",
	};
	size_t i;

	(void)state;
	start("plain");
	call_until_received(second, "/look/a");
	for (i = 0; i < N(words); i++) {
		first->behaviour = STANDIN_FULL;
		first->extra_headers = words[i];
		call_until_received(first, "/look/a");
		first->behaviour = STANDIN_NORMAL;
		call_until_received(first, "/look/a");
	}
}

/* A 421 that names the endpoint itself shows no other one at its address: the
 * endpoint stays in use. */
static void misdirected_by_itself(void **state)
{
	struct answer a;

	(void)state;
	start("plain");
	call_until_received(first, "/look/a");
	first->behaviour = STANDIN_MISDIRECTED_SELF;
	second->behaviour = STANDIN_MISDIRECTED_SELF;
	call("/look/a", &a);
	assert_int_equal(a.status, 503); /* not run */
	answer_release(&a);
	first->behaviour = STANDIN_NORMAL;
	second->behaviour = STANDIN_NORMAL;
	call("/look/a", &a);
	assert_int_equal(a.status, 200);
	answer_release(&a);
	call_until_received(first, "/look/a");
	call_until_received(second, "/look/a");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(leaving_endpoint_is_avoided,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			leaving_endpoint_is_avoided_without_the_store, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			leaving_endpoint_found_without_the_store_is_avoided,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(restarted_endpoint_is_used,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(all_endpoints_are_leaving,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			stream_does_not_resume_at_leaving_endpoint, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(paused_endpoint_is_avoided,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			callers_get_the_end_of_the_first_pause, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(invalid_pause_is_ignored,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(misdirected_by_itself, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
