/*
 * An instance that stops says so in its pulses.  One that it sent before comes
 * after these: the others go on without it.  The test simulates the instance.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/peer_standin.h"

#define OTHER "two"
#define CONFIGURATION 2
#define SEEN "\"event\":\"instance-alive\""
#define STOPS "\"event\":\"instance-leaving\""
#define STAYS "\"event\":\"instance-staying\""

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	standin_init_instance(world, &one, "one", NULL);
	standin_put_configuration(world, CONFIGURATION, NULL);
	standin_put_instance_entry(world, OTHER, harness_address(harness),
				   harness_address(harness),
				   harness_address(harness));
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

/* Sends a pulse of a process of the other instance. */
static void send_pulse(uint64_t born_ms, bool leaving)
{
	const struct peer_standin_pulse pulse = {
		.name = OTHER,
		.born_ms = born_ms,
		.version = CONFIGURATION,
		.leaving = leaving,
	};

	peer_standin_pulse(&one, &pulse);
}

static bool has_logged(void *arg)
{
	return proc_output_count(one.proc, arg) > 0;
}

/* The process that stops started at 1; one that starts after it at 2. */
static void pulse_from_before_the_stop(void **state)
{
	(void)state;
	send_pulse(1, false);
	harness_until(harness, has_logged, SEEN, "the instance is heard");
	send_pulse(1, true);
	harness_until(harness, has_logged, STOPS, "the instance stops");
	send_pulse(1, false);
	send_pulse(1, true);
	standin_add_worker(world, "plain", "z1");
	harness_until(harness, has_logged, "\"endpoint\":\"i-0\"",
		      "what came after the pulses is read");
	assert_false(has_logged(STAYS));
	send_pulse(2, false);
	harness_until(harness, has_logged, STAYS, "its next process runs");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(pulse_from_before_the_stop,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
