/* What a process writes to the store or removes there is done late, after the
 * next process of its instance has written its entry.  That entry is written
 * again, and the instance stays listed at the others.
 * usage: test_late_removal [CASE] */
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/bytes.h"
#include "lib/http1_client.h"
#include "regress/limit_rule.h"

#define INSTANCES_MAX 24
#define FEW 2 /* each polls the store */
#define FLEET 18 /* only the first ones by name poll the store */
#define CALLS_MAX 2048
#define STEP_MS 20

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance instances[INSTANCES_MAX];
static size_t n_instances;
static struct http1_client *client;
static struct http1_call *calls[CALLS_MAX]; /* NULL: ended */
static size_t n_calls;

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	client = http1_client_new(harness_loop(harness));
	memset(calls, 0, sizeof(calls));
	n_calls = 0;
	n_instances = 0;
	return 0;
}

static int tear_down(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < n_calls; i++)
		if (calls[i])
			http1_call_cancel(calls[i]);
	for (i = 0; i < n_instances; i++)
		if (instances[i].proc)
			proc_kill(instances[i].proc);
	memset(instances, 0, sizeof(instances));
	http1_client_free(client);
	standin_free(world);
	harness_free(harness);
	return 0;
}

/* An instance, or two, that a condition is about. */
struct pair {
	const struct standin_instance *of;
	const struct standin_instance *at;
};

/* Acknowledged writes of its own entry by an instance's processes. */
struct writes {
	const struct standin_instance *in;
	size_t n;
};

static size_t count_writes(const struct standin_instance *in)
{
	return in->proc ? proc_output_count(in->proc, "\"event\":\"own-entry\","
						      "\"outcome\":\"ok\"")
			: 0;
}

static bool has_written_more(void *arg)
{
	const struct writes *w = arg;

	return count_writes(w->in) > w->n;
}

static bool is_in_store(void *arg)
{
	const struct standin_instance *in = arg;

	return standin_row_contains(world, "instances", in->name, in->callers);
}

/* Returns whether the directory of one instance names another. */
static bool is_named(void *arg)
{
	const struct pair *p = arg;
	struct answer a;
	bool named;

	harness_call(harness, "GET", p->at->directory, "/resolve?zone=z1", NULL,
		     &a);
	named = a.status == 200 && strstr(a.body, p->of->callers) != NULL;
	answer_release(&a);
	return named;
}

/* Returns whether so many transactions are held, or more. */
static bool are_held(void *arg)
{
	return standin_count_held(world) >= *(const size_t *)arg;
}

/* Starts the process of an instance and waits until its entry is written. */
static void start_process(struct standin_instance *in)
{
	struct writes before = { in, count_writes(in) };

	standin_start_instance(world, in);
	standin_wait_status(world, in->readiness, "/readyz", 200);
	harness_until(harness, has_written_more, &before,
		      "the own entry is written");
}

/* Starts n instances and waits until each names all others. */
static void start(size_t n)
{
	static char names[INSTANCES_MAX][32];
	size_t i;
	size_t k;

	standin_put_configuration(world, 2, NULL);
	for (i = 0; i < n; i++) {
		snprintf(names[i], sizeof(names[i]), "n-%02zu", i);
		standin_init_instance(world, &instances[i], names[i],
				      i ? instances[0].control : NULL);
		n_instances++;
		start_process(&instances[i]);
	}
	for (i = 0; i < n; i++) {
		for (k = 0; k < n; k++) {
			struct pair p = { &instances[i], &instances[k] };

			harness_until(harness, is_named, &p, "it is named");
		}
	}
}

/* Stops and starts some instances at once; their removals are held. */
static void restart(size_t first, size_t n)
{
	size_t held = standin_count_held(world) + n;
	size_t i;

	world->held_removals = "n-";
	for (i = first; i < first + n; i++)
		proc_signal(instances[i].proc, SIGTERM);
	for (i = first; i < first + n; i++)
		assert_int_equal(proc_wait(instances[i].proc), 0);
	harness_until(harness, are_held, &held, "the removals are sent");
	world->held_removals = NULL;
	for (i = first; i < first + n; i++)
		start_process(&instances[i]);
}

/* Waits until an instance is in the store and named by the others. */
static void expect_listed(struct standin_instance *in)
{
	size_t i;

	harness_until(harness, is_in_store, in, "its entry is in the store");
	for (i = 0; i < n_instances; i++) {
		struct pair p = { in, &instances[i] };

		harness_until(harness, is_named, &p, "it is named");
	}
}

/* Returns how often the process of an instance has written its entry. */
static unsigned long writes_of(const struct standin_instance *in)
{
	static const char series[] =
		"cdm_store_calls_total{table=\"own entry\"} ";
	unsigned long n = 0;
	struct answer a;
	const char *line;

	harness_call(harness, "GET", in->metrics, "/metrics", NULL, &a);
	assert_int_equal(a.status, 200);
	line = strstr(a.body, series);
	if (line)
		n = strtoul(line + strlen(series), NULL, 10);
	answer_release(&a);
	return n;
}

/* Each of two instances reads the change itself. */
static void removal_that_each_reads(void **state)
{
	(void)state;
	start(FEW);
	restart(1, 1);
	assert_true(is_in_store(&instances[1]));
	standin_do_held(world);
	assert_false(is_in_store(&instances[1]));
	expect_listed(&instances[1]);
}

/* Another instance reads the change and forwards it. */
static void removal_that_another_forwards(void **state)
{
	struct standin_instance *last = &instances[FLEET - 1];

	(void)state;
	start(FLEET);
	restart(FLEET - 1, 1);
	standin_do_held(world);
	assert_false(is_in_store(last));
	expect_listed(last);
}

/* The history with the removal is lost, so that the table is read whole. */
static void removal_in_a_lost_history(void **state)
{
	(void)state;
	start(FEW);
	restart(1, 1);
	standin_stop_store(world);
	standin_do_held(world);
	assert_false(is_in_store(&instances[1]));
	standin_forget_history(world);
	standin_start_store(world);
	expect_listed(&instances[1]);
}

/* The store loses the entry several times, then keeps it. */
static void removals_one_after_the_other(void **state)
{
	size_t i;

	(void)state;
	start(FEW);
	for (i = 0; i < 3; i++) {
		standin_remove(world, "instances", instances[1].name);
		expect_listed(&instances[1]);
	}
}

/* The entry of an earlier process, with addresses of its own, is written after
 * that of the present one. */
static void write_of_an_earlier_process(void **state)
{
	struct standin_instance earlier;
	size_t held = 1;

	(void)state;
	start(FEW);
	proc_kill(instances[1].proc);
	standin_init_instance(world, &earlier, instances[1].name,
			      instances[0].control);
	world->held_puts = earlier.name;
	standin_start_instance(world, &earlier);
	harness_until(harness, are_held, &held, "the entry is sent");
	proc_kill(earlier.proc);
	world->held_puts = NULL;
	standin_init_instance(world, &instances[1], earlier.name,
			      instances[0].control);
	instances[1].proc = earlier.proc; /* whose output is in the same file */
	start_process(&instances[1]);
	assert_true(is_in_store(&instances[1]));
	standin_do_held(world);
	assert_false(is_in_store(&instances[1]));
	expect_listed(&instances[1]);
}

/* Nothing is written that the store has: not when instances start, and not when
 * they read their own entries or those of others. */
static void calm_instances_write_once(void **state)
{
	size_t i;

	(void)state;
	start(FLEET);
	restart(1, 1);
	standin_remove(world, "instances", "n-other");
	standin_add_worker(world, "plain", "z1");
	harness_run(harness, 3000);
	for (i = 0; i < FLEET; i++)
		assert_int_equal(writes_of(&instances[i]), 1);
}

static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head)
{
	(void)arg;
	(void)head;
	return HTTP1_ACCEPT;
}

static void on_body(void *arg, const char *data, size_t len)
{
	(void)arg;
	(void)data;
	(void)len;
}

static void on_end(void *arg, enum http1_outcome outcome)
{
	struct http1_call **call = arg;

	(void)outcome;
	*call = NULL;
}

/* Sends a lookup to an instance. */
static void send_lookup(const struct standin_instance *in)
{
	static const struct http1_call_ops ops = {
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
	};
	const struct http1_call_options options = {
		.address = in->callers,
		.connect_timeout_ms = 5000,
		.max_idle_ms = 5000,
	};
	struct http1_call **call = &calls[n_calls];
	struct bytes out = { 0 };

	assert_true(n_calls < CALLS_MAX);
	bytes_addf(&out,
		   "GET /look/a HTTP/1.1\r\nhost: 127.0.0.1\r\n"
		   "credential: k1\r\nrequest-id: r-%zu\r\n"
		   "deadline-ms: 900\r\n\r\n",
		   n_calls++);
	*call = http1_call_start(client, &options, out.data, out.len, &ops,
				 call);
}

/* Sends two lookups in each step of ms, to the instances in turn. */
static void load(uint64_t ms)
{
	uint64_t steps = ms / STEP_MS;

	while (steps-- > 0) {
		send_lookup(&instances[n_calls % n_instances]);
		send_lookup(&instances[n_calls % n_instances]);
		http1_client_tick(client);
		harness_run(harness, STEP_MS);
	}
}

/* Instances are stopped and started in turn, a quarter of them at once, and all
 * removals are done late: together they keep to the limit of an endpoint. */
static void limit_of_all(size_t n)
{
	size_t group = (n + 3) / 4;
	struct limit_use use;
	size_t i;

	world->grace_s = 1;
	standin_add_worker(world, "plain", "z1");
	start(n);
	world->workers[0].limit = "5";
	load(1000);
	for (i = 0; i < n; i += group)
		restart(i, group);
	standin_do_held(world);
	load(8000);
	use = limit_rule_worst(world, LIMIT_RULE_APPLIED_MS, NULL);
	print_message("%zu instances: %zu arrivals in 4 s, %.1f allowed\n", n,
		      use.arrivals, use.allowed);
	assert_true(use.arrivals > 0);
	assert_true(use.used <= 1);
}

static void limit_of_two(void **state)
{
	(void)state;
	limit_of_all(2);
}

static void limit_of_six(void **state)
{
	(void)state;
	limit_of_all(6);
}

static void limit_of_twenty_four(void **state)
{
	(void)state;
	limit_of_all(INSTANCES_MAX);
}

int main(int argc, char **argv)
{
#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(removal_that_each_reads),
		CASE(removal_that_another_forwards),
		CASE(removal_in_a_lost_history),
		CASE(removals_one_after_the_other),
		CASE(write_of_an_earlier_process),
		CASE(calm_instances_write_once),
		CASE(limit_of_two),
		CASE(limit_of_six),
		CASE(limit_of_twenty_four),
	};

	if (argc > 1) /* one case */
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
