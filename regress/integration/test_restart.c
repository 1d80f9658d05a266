/* Tests that a cdmproxyd that restarts while the store is unreachable does not
 * use endpoints or keys that were withdrawn before. */
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

/* Starts two endpoints and both instances. */
static void start_instances(void)
{
	standin_add_worker(world, "plain", "z1");
	standin_add_worker(world, "plain", "z1");
	standin_put_configuration(world, 2, NULL);
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
	standin_start_instance(world, &two);
	standin_wait_status(world, two.readiness, "/readyz", 200);
}

/* Kills the second instance and restarts it while the store refuses calls. */
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

/* Counts the requests that reached an endpoint. */
static size_t count_arrivals(const struct standin_worker *worker)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < world->n_arrivals; i++)
		n += world->arrivals[i]->worker == worker;
	return n;
}

/* Sends CALLS requests to an instance; returns how many reached an endpoint. */
static size_t count_calls_reaching(const struct standin_instance *in,
				   const struct standin_worker *worker)
{
	size_t before = count_arrivals(worker);
	int i;

	for (i = 0; i < CALLS; i++)
		assert_int_equal(status_at(in, "k1"), 200);
	return count_arrivals(worker) - before;
}

/* Waits until an instance sends no request to an endpoint. */
static void wait_unused(const struct standin_instance *in,
			const struct standin_worker *worker)
{
	int tries;

	for (tries = 0; tries < 100; tries++) {
		if (!count_calls_reaching(in, worker))
			return;
		harness_run(harness, 20);
	}
	fail_msg("%s still sends requests to %s", in->name, worker->id);
}

/* The entry of an endpoint is removed before the store becomes unreachable.
 * The endpoint still serves, but must get no requests. */
static void removed_endpoint_stays_unused(void **state)
{
	(void)state;
	start_instances();
	standin_remove(world, "servers", world->workers[0].id);
	wait_unused(&one, &world->workers[0]);
	restart_without_store();
	assert_int_equal(count_calls_reaching(&two, &world->workers[0]), 0);
}

/* An endpoint reports that it is leaving; the store still lists it. */
static void leaving_endpoint_stays_unused(void **state)
{
	(void)state;
	start_instances();
	world->workers[0].extra_headers = "server-leaving: 1\r\n";
	wait_unused(&one, &world->workers[0]);
	world->workers[0].extra_headers = NULL;
	restart_without_store();
	assert_int_equal(count_calls_reaching(&two, &world->workers[0]), 0);
}

/* A withdrawn key stays unknown to the restarted process. */
static void withdrawn_key_stays_unknown(void **state)
{
	int tries;

	(void)state;
	start_instances();
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

/* Changes of the endpoints are followed after a short outage of the store,
 * though the configuration does not change for a long time.  Regression test
 * of a fault found in scenario pair-release-and-cuts of bula-passes, seed
 * 951508215479. */
static void endpoints_are_followed_after_an_outage(void **state)
{
	(void)state;
	start_instances();
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
		cmocka_unit_test_setup_teardown(removed_endpoint_stays_unused,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(leaving_endpoint_stays_unused,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(withdrawn_key_stays_unknown,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			endpoints_are_followed_after_an_outage, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
