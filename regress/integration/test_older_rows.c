/*
 * An instance is given a row of an endpoint that is older than the one that it
 * has: by another instance, of an older era of the store, or of an earlier start
 * of the endpoint.  It goes on with the newer one.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/peer_standin.h"

#define READER "two" /* the simulated instance */
#define VERSIONS 100 /* that the store gave out in its older era */

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;
static struct standin_worker *worker;

/* A worker and the state that the log has to name. */
struct wanted {
	const struct standin_worker *worker;
	bool leaving;
	size_t times;
};

static bool is_logged(void *arg)
{
	const struct wanted *w = arg;

	return peer_standin_logged_entries(&one, w->worker, w->leaving) >=
	       w->times;
}

static void expect_logged(const struct standin_worker *of, bool leaving,
			  size_t times)
{
	struct wanted w = { of, leaving, times };

	harness_until(harness, is_logged, &w, of->id);
}

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	standin_init_instance(world, &one, "one", NULL);
	standin_put_instance_entry(world, READER, harness_address(harness),
				   harness_address(harness),
				   harness_address(harness));
	standin_put_configuration(world, 2, NULL);
	worker = standin_add_worker(world, "plain", "z1");
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
	expect_logged(worker, false, 1);
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

/* Waits until the instance has applied all rows that were written so far. */
static void expect_read(void)
{
	expect_logged(standin_add_worker(world, "plain", "z1"), false, 1);
}

/* Forwards the worker's entry as ready, as another instance has read it. */
static void forward_ready(uint64_t version, uint64_t era)
{
	const struct peer_standin_entry e = {
		.name = READER,
		.version = version,
		.era = era,
		.worker = worker,
		.state = "ready",
	};

	peer_standin_forward(&one, &e);
}

/* Fails if the entry has been ready again since it was leaving. */
static void expect_still_leaving(void)
{
	expect_read();
	assert_int_equal(peer_standin_logged_entries(&one, worker, false), 1);
	assert_int_equal(peer_standin_logged_entries(&one, worker, true), 1);
}

/* Another instance has read a change before this one read the next, and its
 * datagram comes after that.  It is applied if it is the next change. */
static void rows_of_another_instance(void **state)
{
	uint64_t before;

	(void)state;
	standin_put_worker_entry(worker, "draining");
	before = (uint64_t)world->version - 1;
	expect_logged(worker, true, 1);
	forward_ready(before, (uint64_t)world->era);
	expect_still_leaving();
	forward_ready((uint64_t)world->version + 1, (uint64_t)world->era);
	expect_logged(worker, false, 2);
}

/* The store gave out a higher version before it returned from a copy. */
static void rows_of_an_older_era(void **state)
{
	uint64_t before = (uint64_t)world->era;

	(void)state;
	standin_put_worker_entry(worker, "draining");
	expect_logged(worker, true, 1);
	standin_copy_store(world);
	standin_restore_store(world);
	expect_read();
	forward_ready((uint64_t)world->version + VERSIONS, before);
	expect_still_leaving();
}

/* A write of the worker's earlier process is performed after one of its present
 * process, which leaves. */
static void entry_of_an_earlier_start(void **state)
{
	unsigned int born_ms = worker->born_ms;

	(void)state;
	worker->born_ms = born_ms + 1;
	standin_put_worker_entry(worker, "draining");
	expect_logged(worker, true, 1);
	worker->born_ms = born_ms;
	standin_put_worker_entry(worker, "ready");
	expect_still_leaving();
	worker->born_ms = born_ms + 2;
	standin_put_worker_entry(worker, "ready");
	expect_logged(worker, false, 2);
}

/* The copy that the store returns from has the entry of an earlier start. */
static void copy_of_an_earlier_start(void **state)
{
	(void)state;
	standin_copy_store(world);
	worker->born_ms++;
	standin_put_worker_entry(worker, "draining");
	expect_logged(worker, true, 1);
	standin_restore_store(world);
	expect_read();
	expect_still_leaving();
}

int main(void)
{
#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(rows_of_another_instance),
		CASE(rows_of_an_older_era),
		CASE(entry_of_an_earlier_start),
		CASE(copy_of_an_earlier_start),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
