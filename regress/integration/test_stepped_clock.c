/*
 * The clock of an instance is set back, and the instance is killed and starts
 * again: the start that it names is lower than that of its earlier process.  The
 * others hear it as they hear any other.  The test simulates the instance.
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
#define BORN_MS 1700000060000 /* Unix time of the earlier process */
#define STEP_MS 30000
#define PULSE_MS 100

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;
static const char *callers;
static const char *control;
static const char *peers;

/* Writes the entry of the simulated instance, as it does at each start. */
static void put_entry(void)
{
	standin_put_instance_entry(world, OTHER, callers, control, peers);
}

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	callers = harness_address(harness);
	control = harness_address(harness);
	peers = harness_address(harness);
	standin_init_instance(world, &one, "one", NULL);
	standin_put_configuration(world, CONFIGURATION, NULL);
	put_entry();
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

/* Sends a pulse of the process that started at born_ms. */
static void send_pulse(uint64_t born_ms)
{
	const struct peer_standin_pulse pulse = {
		.name = OTHER,
		.born_ms = born_ms,
		.version = CONFIGURATION,
	};

	peer_standin_pulse(&one, &pulse);
}

/* A text that the log has to contain so often. */
struct logged {
	uint64_t born_ms; /* of the process that sends pulses; 0: none does */
	const char *text;
	size_t times;
};

static bool has_logged(void *arg)
{
	const struct logged *l = arg;

	if (l->born_ms)
		send_pulse(l->born_ms);
	harness_run(harness, PULSE_MS);
	return proc_output_count(one.proc, l->text) >= l->times;
}

/* Lets a process of the other instance send pulses until it counts as alive,
 * times times in all; then it is killed. */
static void live_and_end(uint64_t born_ms, size_t times)
{
	struct logged pulses = { born_ms, "\"event\":\"instance-alive\"",
				 times };
	struct logged silence = { 0, "\"event\":\"instance-silent\"", times };

	put_entry();
	harness_until(harness, has_logged, &pulses, "the instance is heard");
	harness_until(harness, has_logged, &silence, "the instance is killed");
}

static void starts_later(void **state)
{
	(void)state;
	live_and_end(BORN_MS, 1);
	live_and_end(BORN_MS + STEP_MS, 2);
}

static void starts_earlier_by_its_clock(void **state)
{
	(void)state;
	live_and_end(BORN_MS, 1);
	live_and_end(BORN_MS - STEP_MS, 2);
}

int main(void)
{
#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(starts_later),
		CASE(starts_earlier_by_its_clock),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
