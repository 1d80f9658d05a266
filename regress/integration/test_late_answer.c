/*
 * An instance reads the endpoints from the store and gets the same changes from
 * another instance that reads them too, which the test simulates.  The store's
 * answer comes late, after newer rows of the other instance: no entry goes back.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "regress/peer_standin.h"

#define READER "two" /* the simulated instance */
#define WAIT_LEFT_MS 300 /* of a call to the store when it is held up */

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;
static struct standin_worker *worker;
static const char *gate_control; /* of the fault proxy before the store */

/* Starts a fault proxy before the store. */
static void add_gate(void)
{
	char *map;

	world->store_public_address = harness_address(harness);
	gate_control = harness_address(harness);
	map = xasprintf("%s=%s", world->store_public_address,
			world->store_address);
	HARNESS_START(harness, "faultd", "faultd", "-c", gate_control, "-m",
		      map);
	free(map);
	harness_wait_listening(harness, gate_control);
}

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	add_gate();
	standin_init_instance(world, &one, "one", NULL);
	standin_put_instance_entry(world, READER, harness_address(harness),
				   harness_address(harness),
				   harness_address(harness));
	standin_put_configuration(world, 2, NULL);
	worker = standin_add_worker(world, "plain", "z1");
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

static void set_gate(const char *mode)
{
	harness_control(harness, gate_control, "{\"*\":{\"mode\":\"%s\"}}",
			mode);
}

/* Forwards the worker's entry as leaving, with the store's newest version. */
static void forward_leaving(void)
{
	const struct peer_standin_entry e = {
		.name = READER,
		.version = (uint64_t)world->version,
		.era = (uint64_t)world->era,
		.worker = worker,
		.state = "draining",
	};

	peer_standin_forward(&one, &e);
}

static bool store_is_asked(void *arg)
{
	(void)arg;
	return standin_waiting_feeds(world, "servers", WAIT_LEFT_MS) > 0;
}

static bool is_leaving(void *arg)
{
	return peer_standin_logged_entries(&one, arg, true) > 0;
}

static bool is_ready(void *arg)
{
	return peer_standin_logged_entries(&one, arg, false) > 0;
}

/* The store answers with the entry as ready, after which it was leaving. */
static void answer_after_newer_rows(void **state)
{
	(void)state;
	harness_until(harness, is_ready, worker, "the entry is read");
	harness_until(harness, store_is_asked, NULL, "a call waits");
	set_gate("freeze");
	standin_put_worker_entry(worker, "ready");
	standin_put_worker_entry(worker, "draining");
	forward_leaving();
	harness_until(harness, is_leaving, worker, "the rows are applied");
	set_gate("pass");
	harness_until(harness, is_ready,
		      standin_add_worker(world, "plain", "z1"),
		      "the store's later answer is applied");
	assert_int_equal(peer_standin_logged_entries(&one, worker, false), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(answer_after_newer_rows, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
