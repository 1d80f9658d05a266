/* What endpoints say of themselves in their answers, and cdmproxyd as a process
 * that goes by it: that they leave, and that they want nothing for a while.  The
 * store says all the time that they are ready. */
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
#define LEAVES "server-leaving: 1\r\n"
#define CALLS 30 /* enough that each of two endpoints would get some */
#define TAKEN_MS 500 /* a pause is to be kept from then on */

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

/* Starts the instance before two endpoints of a service, in its own zone. */
static void start(const char *service)
{
	first = standin_add_worker(world, service, "z1");
	second = standin_add_worker(world, service, "z1");
	standin_put_configuration(world, 2, NULL);
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
}

/* Sends a call; fills in its answer. */
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

/* Sends calls until an endpoint has got one; returns its last status. */
static int call_until(const struct standin_worker *worker, const char *path)
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
	fail_msg("%s gets nothing", worker->id);
	return 0;
}

/* Counts what reached an endpoint since then, of callers and of the instance
 * itself. */
static size_t arrivals(const struct standin_worker *worker, size_t from)
{
	size_t n = 0;
	size_t i;

	for (i = from; i < world->n_arrivals; i++)
		n += world->arrivals[i]->worker == worker;
	return n;
}

/* Calls that are made now are served, and none reaches the endpoint. */
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
	enum standin_behaviour mood;
	const char *path;
};

/* An endpoint that says in an answer, of whatever status, that it leaves gets
 * nothing from then on, though the store still lists it as ready. */
static void leaving_endpoint_gets_nothing(void **state)
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
	call_until(second, "/look/a");
	for (i = 0; i < N(cases); i++) {
		char id[24];

		first->behaviour = cases[i].mood;
		first->extra_headers = LEAVES;
		call_until(first, cases[i].path);
		first->behaviour = STANDIN_NORMAL;
		expect_avoided(first, "/book/a", cases[i].name);
		/* its successor is none that leaves */
		standin_remove(world, "servers", first->id);
		first->extra_headers = NULL;
		snprintf(id, sizeof(id), "i-next-%zu", i);
		standin_kill_worker(first);
		standin_start_worker(first, id);
		call_until(first, "/book/a");
	}
}

/* The store is away: what the endpoint said stands. */
static void leaving_endpoint_gets_nothing_without_the_store(void **state)
{
	(void)state;
	start("plain");
	call_until(second, "/look/a");
	world->store_refuses = true;
	first->extra_headers = LEAVES;
	call_until(first, "/book/a");
	first->extra_headers = NULL;
	expect_avoided(first, "/book/a", "store away");
	world->store_refuses = false;
	standin_put_worker_entry(first, "ready");
	harness_run(harness, 300);
	expect_avoided(first, "/book/a", "store back");
}

/* An endpoint that was found while the store was away has no time of its start;
 * its first entry, which has one, is no new start. */
static void endpoint_found_without_the_store_is_held_to_its_word(void **state)
{
	(void)state;
	start("plain");
	call_until(first, "/book/a");
	world->store_refuses = true;
	standin_kill_worker(first);
	standin_start_worker(first, "i-found");
	do /* until it is found: what it answers to another's name is 421 */
		call_until(first, "/look/a");
	while (!world->arrivals[world->n_arrivals - 1]->ran);
	first->extra_headers = LEAVES;
	call_until(first, "/book/a");
	first->extra_headers = NULL;
	expect_avoided(first, "/book/a", "store away");
	world->store_refuses = false;
	standin_put_worker_entry(first, "ready");
	harness_run(harness, 1500);
	expect_avoided(first, "/book/a", "store back");
}

/* A later start under the same id is told by the entry. */
static void endpoint_that_started_again_is_used(void **state)
{
	(void)state;
	start("plain");
	first->extra_headers = LEAVES;
	call_until(first, "/book/a");
	first->extra_headers = NULL;
	first->born_ms += 1000;
	standin_put_worker_entry(first, "ready");
	call_until(first, "/book/a");
}

/* The last endpoint leaves: callers are refused at once, and truthfully. */
static void no_endpoint_stays(void **state)
{
	struct answer a;
	size_t from;

	(void)state;
	start("plain");
	first->extra_headers = LEAVES;
	call_until(first, "/book/a");
	second->extra_headers = LEAVES;
	call_until(second, "/book/a");
	from = world->n_arrivals;
	call("/book/a", &a);
	assert_int_equal(a.status, 503);
	answer_release(&a);
	assert_int_equal(world->n_arrivals, from);
}

/* A run that its engine copies to another one while it goes on. */
struct copied_run {
	struct standin_worker *engine;
	struct standin_worker *holder;
};

/* Looks for the last arrival of the long stream that names a copy. */
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

/* A stream whose engine is lost does not go on from its copy at an endpoint that
 * leaves. */
static void stream_does_not_go_on_where_it_leaves(void **state)
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
	call_until(&world->workers[3], "/write/a");
	world->event_ms = 100;
	r.address = one.callers;
	stream = stream_open(harness, &r);
	harness_until(harness, run_is_copied, &run, "a run with a copy");
	world->event_ms = 5;
	run.holder->extra_headers = LEAVES;
	call_until(run.holder, "/write/a");
	from = world->n_arrivals;
	standin_kill_worker(run.engine);
	stream_wait_end(stream);
	assert_int_equal(stream_n_events(stream), STANDIN_EVENTS);
	assert_int_equal(arrivals(run.holder, from), 0);
	stream_close(stream);
}

/* A refusal that names a time: nothing reaches the endpoint from half a second
 * later until it is over, then it is used again. */
static void endpoint_that_asks_for_a_pause_is_left_alone(void **state)
{
	size_t from;
	uint64_t end;

	(void)state;
	start("plain");
	call_until(second, "/look/a");
	first->behaviour = STANDIN_FULL;
	first->extra_headers = "retry-after: 2.5\r\n";
	call_until(first, "/look/a");
	end = uv_now(harness_loop(harness)) + 2500;
	first->behaviour = STANDIN_NORMAL;
	first->extra_headers = NULL;
	harness_run(harness, TAKEN_MS);
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
			fail_msg("a request during the pause");
	call_until(first, "/look/a");
}

/* All endpoints ask for a pause: callers are refused at once, and told to come
 * back when the first of them is over. */
static void callers_are_told_when_the_first_pause_is_over(void **state)
{
	struct answer a;
	size_t from;

	(void)state;
	start("plain");
	first->behaviour = STANDIN_FULL;
	first->extra_headers = "retry-after: 8\r\n";
	call_until(first, "/look/a");
	second->behaviour = STANDIN_FULL;
	second->extra_headers = "retry-after: 4\r\n";
	call_until(second, "/look/a");
	harness_run(harness, TAKEN_MS);
	from = world->n_arrivals;
	call("/look/a", &a);
	assert_int_equal(a.status, 503);
	assert_non_null(a.retry_after);
	assert_true(atof(a.retry_after) > 2.5 && atof(a.retry_after) < 5);
	answer_release(&a);
	assert_int_equal(world->n_arrivals, from);
}

/* What is no time is no pause. */
static void pause_that_is_no_time_is_left(void **state)
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
	call_until(second, "/look/a");
	for (i = 0; i < N(words); i++) {
		first->behaviour = STANDIN_FULL;
		first->extra_headers = words[i];
		call_until(first, "/look/a");
		first->behaviour = STANDIN_NORMAL;
		call_until(first, "/look/a");
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(leaving_endpoint_gets_nothing,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			leaving_endpoint_gets_nothing_without_the_store, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			endpoint_found_without_the_store_is_held_to_its_word,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			endpoint_that_started_again_is_used, set_up, tear_down),
		cmocka_unit_test_setup_teardown(no_endpoint_stays, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(
			stream_does_not_go_on_where_it_leaves, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			endpoint_that_asks_for_a_pause_is_left_alone, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			callers_are_told_when_the_first_pause_is_over, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(pause_that_is_no_time_is_left,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
