/*
 * The address of a worker that has ended is used again by a worker of another
 * service, while an instance still has an old answer of the first one to read:
 * no booking runs at the other service.
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
#include "regress/platform_standin.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define BOOKINGS 10
#define REUSE_SETTING "reuse_after_s = 0.6\n"
#define REUSE_MS 600 /* less than the time limit of a booking */

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance instance;
static const char *control; /* of the fault proxy before the worker */
static unsigned int n_ids;

static int set_up(void **state)
{
	const char *gate;
	struct standin_worker *worker;
	char *map;

	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	world->extra_settings = REUSE_SETTING;
	worker = standin_add_worker(world, "plain", "z1");
	gate = harness_address(harness);
	control = harness_address(harness);
	map = xasprintf("%s=%s", gate, worker->address);
	HARNESS_START(harness, "faultd", "faultd", "-c", control, "-m", map);
	free(map);
	harness_wait_listening(harness, control);
	worker->public_address = gate;
	standin_put_worker_entry(worker, "ready");
	standin_put_configuration(world, 2, NULL);
	standin_init_instance(world, &instance, "one", NULL);
	standin_start_instance(world, &instance);
	standin_wait_status(world, instance.readiness, "/readyz", 200);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	proc_kill(instance.proc);
	standin_free(world);
	harness_free(harness);
	return 0;
}

static void set_mode(const char *mode)
{
	harness_control(harness, control, "{\"*\":{\"mode\":\"%s\"}}", mode);
}

/* Starts a booking at the instance. */
static struct stream_reader *book(void)
{
	char id[16];
	const struct httpc_header headers[] = {
		{ "credential", "k1" },
		{ "request-id", id },
		{ "deadline-ms", "15000" },
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = instance.callers,
		.path = "/book/a",
		.headers = headers,
		.n_headers = N(headers),
		.body = "x",
		.body_len = 1,
	};

	snprintf(id, sizeof(id), "b-%u", ++n_ids);
	return stream_open(harness, &r);
}

static bool has_run(void *arg)
{
	const size_t *n = arg;
	size_t ran = 0;
	size_t i;

	for (i = 0; i < world->n_arrivals; i++)
		ran += world->arrivals[i]->ran;
	return ran >= *n;
}

/* Starts a booking whose answer is held back on its way to the instance. */
static struct stream_reader *book_with_held_answer(void)
{
	struct stream_reader *s = book();
	size_t n = 1;

	stream_wait_end(s);
	assert_int_equal(stream_status(s), 200);
	stream_close(s);
	set_mode("drop-down");
	s = book();
	n++;
	harness_until(harness, has_run, &n, "the booking runs");
	return s;
}

/* Ends the worker; after the time for which its address is not used again, a
 * worker of the other service starts there, and is not listed yet. */
static void reuse_address(void)
{
	struct standin_worker *worker = &world->workers[0];

	standin_kill_worker(worker);
	harness_run(harness, REUSE_MS + REUSE_MS / 10);
	worker->service = "engine";
	standin_start_unlisted(worker, "i-other");
}

/* Expects that no booking runs at the worker of the other service. */
static void expect_no_booking_there(void)
{
	size_t i;

	for (i = 0; i < BOOKINGS; i++) {
		struct stream_reader *s = book();

		stream_wait_end(s);
		stream_close(s);
	}
	for (i = 0; i < world->n_arrivals; i++)
		if (!strcmp(world->arrivals[i]->worker_id, "i-other") &&
		    !strcmp(world->arrivals[i]->target, "/book/a"))
			assert_false(world->arrivals[i]->ran);
}

/* Guards against taking the time at which an answer is read for the time at
 * which its worker was alive: the answer was held by a cut that has healed. */
static void answer_after_cut(void **state)
{
	struct stream_reader *s = book_with_held_answer();

	(void)state;
	reuse_address();
	set_mode("pass");
	stream_wait_end(s);
	assert_int_equal(stream_status(s), 200);
	stream_close(s);
	expect_no_booking_there();
}

/* Guards against the same for an answer that arrives while the instance is
 * stopped by a signal. */
static void answer_after_freeze(void **state)
{
	struct stream_reader *s = book_with_held_answer();

	(void)state;
	proc_signal(instance.proc, SIGSTOP);
	set_mode("pass");
	harness_run(harness, REUSE_MS / 10);
	reuse_address();
	proc_signal(instance.proc, SIGCONT);
	stream_wait_end(s);
	stream_close(s);
	expect_no_booking_there();
}

#define CASE(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(answer_after_cut),
		CASE(answer_after_freeze),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
