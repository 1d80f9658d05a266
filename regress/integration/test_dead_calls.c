/* A call that waits for changes of the store is never answered, though its
 * connection stands: the instance learns of the changes all the same, before the
 * call times out. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <signal.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "regress/platform_standin.h"

#define INSTANCES_MAX 3
#define LONG_MS 10000 /* that the calls of most instances wait at least */

/* Lines of the log that show what an instance knows. */
#define CONFIGURATION_3 "\"event\":\"configuration\",\"version\":3"
#define LISTED_99 "\"event\":\"instance-listed\",\"peer\":\"n-99\""

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance instances[INSTANCES_MAX];
static size_t n_instances;

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	n_instances = 0;
	return 0;
}

static int tear_down(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < n_instances; i++)
		if (instances[i].proc)
			proc_kill(instances[i].proc);
	memset(instances, 0, sizeof(instances));
	standin_free(world);
	harness_free(harness);
	return 0;
}

/* A table, and how many calls wait for its changes, for how long. */
struct waiting {
	const char *table;
	size_t n;
	uint64_t least_ms;
};

static bool so_many_wait(void *arg)
{
	const struct waiting *w = arg;

	return standin_waiting_feeds(world, w->table, w->least_ms) >= w->n;
}

/* Waits until n calls wait for changes of a table, n_long of them for long. */
static void expect_waiting_for(const char *table, size_t n, size_t n_long)
{
	struct waiting all = { table, n, 0 };
	struct waiting lengthy = { table, n_long, LONG_MS };

	harness_until(harness, so_many_wait, &lengthy, "calls that wait long");
	harness_until(harness, so_many_wait, &all, "calls that wait");
}

/* Waits until n calls wait for changes of endpoints, all but one of them for
 * long. */
static void expect_waiting(size_t n)
{
	expect_waiting_for("servers", n, n - 1);
}

/* Starts an instance. */
static void start_instance(void)
{
	static char names[INSTANCES_MAX][32];
	size_t i = n_instances++;

	snprintf(names[i], sizeof(names[i]), "n-%02zu", i);
	standin_init_instance(world, &instances[i], names[i],
			      i ? instances[0].control : NULL);
	standin_start_instance(world, &instances[i]);
	standin_wait_status(world, instances[i].readiness, "/readyz", 200);
}

/* A text that the log of an instance has to contain. */
struct logged {
	const struct standin_instance *in;
	const char *text;
};

static bool has_logged(void *arg)
{
	const struct logged *l = arg;

	return proc_output_count(l->in->proc, l->text) > 0;
}

/* Waits until all instances from the first-th on have logged a text; so many calls
 * of these at most may time out. */
static void expect_known_from(size_t first, const char *text, size_t lost_max)
{
	size_t lost = 0;
	size_t i;

	for (i = first; i < n_instances; i++) {
		struct logged known = { &instances[i], text };
		struct logged timeout = { &instances[i],
					  "\"event\":\"store-lost\"" };

		harness_until(harness, has_logged, &known, text);
		lost += has_logged(&timeout);
	}
	assert_in_range(lost, 0, lost_max);
}

/* The same of all instances. */
static void expect_known_by_all(const char *text, size_t lost_max)
{
	expect_known_from(0, text, lost_max);
}

/* Starts n instances that know a configuration, and waits until their calls for
 * all tables wait. */
static void start_instances(size_t n)
{
	size_t i;

	standin_add_worker(world, "plain", "z1");
	standin_put_configuration(world, 2, NULL);
	for (i = 0; i < n; i++)
		start_instance();
	expect_waiting(n);
	expect_waiting_for("op", n, n);
	expect_waiting_for("instances", n, n);
}

/* The calls of all instances are dead: none times out before they know of the next
 * endpoint. */
static void all_calls_are_lost(void **state)
{
	size_t i;

	(void)state;
	standin_add_worker(world, "plain", "z1");
	standin_put_configuration(world, 2, NULL);
	for (i = 0; i < INSTANCES_MAX; i++)
		start_instance();
	expect_waiting(INSTANCES_MAX);
	standin_lose_feeds(world, NULL);
	standin_add_worker(world, "plain", "z1");
	expect_known_by_all("\"endpoint\":\"i-1\"", 0);
}

/* The calls of some are dead, those of one that starts later are not. */
static void some_calls_are_lost(void **state)
{
	size_t i;

	(void)state;
	standin_add_worker(world, "plain", "z1");
	standin_put_configuration(world, 2, NULL);
	for (i = 0; i + 1 < INSTANCES_MAX; i++)
		start_instance();
	expect_waiting(INSTANCES_MAX - 1);
	standin_lose_feeds(world, NULL);
	start_instance();
	expect_waiting(1);
	standin_add_worker(world, "plain", "z1");
	expect_known_by_all("\"endpoint\":\"i-1\"", 0);
}

/* The calls of two instances for the configuration are dead, those for the other
 * tables are not: none of them times out before the next version is in force. */
static void configuration_calls_are_lost(void **state)
{
	(void)state;
	start_instances(2);
	standin_lose_feeds(world, "op");
	standin_put_configuration(world, 3, NULL);
	expect_known_by_all(CONFIGURATION_3, 0);
}

/* The same for the table of instances: the first instance finds it out, and the
 * second one learns of it from the first one's datagrams. */
static void instance_calls_are_lost(void **state)
{
	struct logged stale = {
		&instances[1],
		"\"event\":\"store-stale\",\"table\":\"instances\"",
	};

	(void)state;
	start_instances(2);
	standin_lose_feeds(world, "instances");
	standin_put_instance_entry(world, "n-99", "127.0.0.1:1", "127.0.0.1:1",
				   "127.0.0.1:1");
	expect_known_by_all(LISTED_99, 0);
	harness_until(harness, has_logged, &stale, stale.text);
}

/* The calls of all instances for all tables are dead: none times out before the
 * next version is in force. */
static void all_calls_for_configuration_are_lost(void **state)
{
	(void)state;
	start_instances(INSTANCES_MAX);
	standin_lose_feeds(world, NULL);
	standin_put_configuration(world, 3, NULL);
	expect_known_by_all(CONFIGURATION_3, 0);
}

/* The same for an instance without any others. */
static void calls_of_a_lone_instance_are_lost(void **state)
{
	(void)state;
	start_instances(1);
	standin_lose_feeds(world, NULL);
	standin_put_configuration(world, 3, NULL);
	expect_known_by_all(CONFIGURATION_3, 0);
}

/* All calls are dead, and the first instance is parted from the store: the others
 * find it out in its place. */
static void first_instance_is_parted(void **state)
{
	const char *gate = harness_address(harness);
	const char *control = harness_address(harness);
	char *map = xasprintf("%s=%s", gate, world->store_address);

	(void)state;
	HARNESS_START(harness, "faultd", "faultd", "-c", control, "-m", map);
	free(map);
	harness_wait_listening(harness, control);
	standin_add_worker(world, "plain", "z1");
	standin_put_configuration(world, 2, NULL);
	world->store_public_address = gate;
	start_instance();
	world->store_public_address = world->store_address;
	start_instance();
	start_instance();
	expect_waiting(INSTANCES_MAX);
	expect_waiting_for("op", INSTANCES_MAX, INSTANCES_MAX);
	expect_waiting_for("instances", INSTANCES_MAX, INSTANCES_MAX);
	harness_control(harness, control, "{\"*\":{\"mode\":\"freeze\"}}");
	standin_lose_feeds(world, NULL);
	standin_put_configuration(world, 3, NULL);
	expect_known_from(1, CONFIGURATION_3, 0);
	expect_known_by_all(CONFIGURATION_3, 1);
}

/* All calls are dead, and the first instance stands still. */
static void first_instance_stands_still(void **state)
{
	(void)state;
	start_instances(INSTANCES_MAX);
	proc_signal(instances[0].proc, SIGSTOP);
	standin_lose_feeds(world, NULL);
	standin_put_configuration(world, 3, NULL);
	expect_known_from(1, CONFIGURATION_3, 0);
	proc_signal(instances[0].proc, SIGCONT);
}

/* All calls are dead, and the instances can't reach each other: each of them finds
 * it out. */
static void instances_are_parted_from_each_other(void **state)
{
	const char *unused_address = harness_address(harness);
	size_t i;

	(void)state;
	start_instances(INSTANCES_MAX);
	for (i = 0; i < n_instances; i++)
		standin_put_instance_entry(world, instances[i].name,
					   unused_address, unused_address,
					   unused_address);
	expect_waiting_for("instances", INSTANCES_MAX, INSTANCES_MAX);
	standin_lose_feeds(world, NULL);
	standin_put_configuration(world, 3, NULL);
	expect_known_by_all(CONFIGURATION_3, 0);
}

/* The calls for two tables are dead; a change of each comes after the other
 * one's was made good. */
static void calls_are_lost_in_turn(void **state)
{
	(void)state;
	start_instances(2);
	standin_lose_feeds(world, "op");
	standin_put_configuration(world, 3, NULL);
	expect_known_by_all(CONFIGURATION_3, 0);
	expect_waiting_for("op", 2, 2);
	expect_waiting_for("instances", 2, 2);
	standin_lose_feeds(world, "instances");
	standin_put_instance_entry(world, "n-99", "127.0.0.1:1", "127.0.0.1:1",
				   "127.0.0.1:1");
	expect_known_by_all(LISTED_99, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(all_calls_are_lost, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(some_calls_are_lost, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(configuration_calls_are_lost,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(instance_calls_are_lost, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(
			all_calls_for_configuration_are_lost, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			calls_of_a_lone_instance_are_lost, set_up, tear_down),
		cmocka_unit_test_setup_teardown(first_instance_is_parted,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(first_instance_stands_still,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			instances_are_parted_from_each_other, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(calls_are_lost_in_turn, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
