/* A cdmproxyd that starts again while the store is away: what was withdrawn before
 * is not in use again. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/platform_standin.h"

#define CALLS 30 /* enough that each of two endpoints would get some */

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

/* Starts both instances before two endpoints. */
static void start(void)
{
	standin_add_worker(world, "plain", "z1");
	standin_add_worker(world, "plain", "z1");
	standin_put_configuration(world, 2, NULL);
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
	standin_start_instance(world, &two);
	standin_wait_status(world, two.readiness, "/readyz", 200);
}

/* The second instance is killed, and starts again without the store. */
static void restart_without_store(void)
{
	world->store_refuses = true;
	proc_kill(two.proc);
	standin_start_instance(world, &two);
	standin_wait_status(world, two.callers, "/look/open/a", 200);
}

static int status_at(const struct standin_instance *in, const char *key)
{
	const struct httpc_header headers[] = { { "credential", key } };
	const struct httpc_request r = {
		.method = "GET",
		.address = in->callers,
		.path = "/look/a",
		.headers = headers,
		.n_headers = 1,
	};
	struct answer a;
	int status;

	harness_request(harness, &r, &a);
	status = a.status;
	answer_release(&a);
	return status;
}

/* Counts what reached an endpoint. */
static size_t arrivals(const struct standin_worker *worker)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < world->n_arrivals; i++)
		n += world->arrivals[i]->worker == worker;
	return n;
}

/* Calls an instance; returns how many of the calls reached an endpoint. */
static size_t calls_reach(const struct standin_instance *in,
			  const struct standin_worker *worker)
{
	size_t before = arrivals(worker);
	int i;

	for (i = 0; i < CALLS; i++)
		assert_int_equal(status_at(in, "k1"), 200);
	return arrivals(worker) - before;
}

/* Waits until no call reaches an endpoint by way of an instance. */
static void wait_unused(const struct standin_instance *in,
			const struct standin_worker *worker)
{
	int tries;

	for (tries = 0; tries < 100; tries++) {
		if (!calls_reach(in, worker))
			return;
		harness_run(harness, 20);
	}
	fail_msg("%s still uses %s", in->name, worker->id);
}

/* The entry of an endpoint was removed, and the store went away: it serves on,
 * but gets nothing. */
static void removed_endpoint_stays_out(void **state)
{
	(void)state;
	start();
	standin_remove(world, "servers", world->workers[0].id);
	wait_unused(&one, &world->workers[0]);
	restart_without_store();
	assert_int_equal(calls_reach(&two, &world->workers[0]), 0);
}

/* An endpoint said itself that it leaves; the store has not heard of it. */
static void leaving_endpoint_stays_out(void **state)
{
	(void)state;
	start();
	world->workers[0].extra_headers = "server-leaving: 1\r\n";
	wait_unused(&one, &world->workers[0]);
	world->workers[0].extra_headers = NULL;
	restart_without_store();
	assert_int_equal(calls_reach(&two, &world->workers[0]), 0);
}

/* A key was withdrawn: it is unknown to the new process too. */
static void withdrawn_key_stays_out(void **state)
{
	int tries;

	(void)state;
	start();
	world->key = "k2";
	standin_put_configuration(world, 3, NULL);
	for (tries = 0; status_at(&one, "k2") != 200; tries++) {
		assert_true(tries < 300);
		harness_run(harness, 20);
	}
	restart_without_store();
	assert_int_equal(status_at(&two, "k1"), 401);
	assert_int_equal(status_at(&two, "k2"), 200);
}

/* Finding of the hunt (bula-passes, pair-release-and-cuts, seed 951508215479): the
 * store was out of reach for a moment.  Afterwards changes of the endpoints are
 * followed, though the configuration does not change for long. */
static void endpoints_are_followed_after_an_outage(void **state)
{
	(void)state;
	start();
	standin_stop_store(world);
	harness_run(harness, 1000);
	standin_start_store(world);
	harness_run(harness, 1000);
	standin_remove(world, "servers", world->workers[0].id);
	wait_unused(&one, &world->workers[0]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(removed_endpoint_stays_out,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(leaving_endpoint_stays_out,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(withdrawn_key_stays_out, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(
			endpoints_are_followed_after_an_outage, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
