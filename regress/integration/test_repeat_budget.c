/* The repeats of all cdmproxyd instances together stay within a service's
 * repeat budget, as counted at the workers. */
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
#include "lib/xalloc.h"
#include "regress/platform_standin.h"
#include "regress/repeat_rule.h"

#define INSTANCES 3
#define ENGINES 4
#define CALLS_MAX 256
#define STEP_MS 20
#define SERVED 200

/* Small enough that a few streams reach the budget. */
#define WINDOW_MS 2000
#define SLACK 10

/* A stream lasts for three windows, so that its first request no longer counts
 * when its engine is lost. */
#define EVENT_MS 250

/* A caller's request. */
struct call {
	bool open;
	bool body_started;
	int status;
	struct http1_call *http;
};

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance instances[INSTANCES];
static size_t n_instances;
static struct http1_client *client;
static struct repeat_rule rule;
static struct call calls[CALLS_MAX];
static size_t n_calls;

static uint64_t now_ms(void)
{
	return uv_now(harness_loop(harness));
}

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	world->event_ms = EVENT_MS;
	world->extra_settings = "repeat_window_s = 2\nrepeat_ratio = 0.8\n"
				"repeat_slack = 10\n";
	client = http1_client_new(harness_loop(harness));
	rule = (struct repeat_rule){
		.window_ms = WINDOW_MS,
		.ratio = 0.8,
		.slack = SLACK,
	};
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
		if (calls[i].open)
			http1_call_cancel(calls[i].http);
	for (i = 0; i < n_instances; i++)
		proc_kill(instances[i].proc);
	http1_client_free(client);
	standin_free(world);
	harness_free(harness);
	repeat_rule_release(&rule);
	return 0;
}

/* Starts instances, waits until they are ready and until the slack of a newly
 * started process is available. */
static void start(size_t n)
{
	static const char *const names[] = { "one", "two", "three" };

	standin_put_configuration(world, 2, NULL);
	for (n_instances = 0; n_instances < n; n_instances++) {
		struct standin_instance *in = &instances[n_instances];

		standin_init_instance(world, in, names[n_instances],
				      n_instances ? instances[0].control
						  : NULL);
		standin_start_instance(world, in);
		standin_wait_status(world, in->readiness, "/readyz", 200);
	}
	harness_run(harness, 2 * WINDOW_MS);
}

/* Sets the ratio to 0: new requests add no repeats to the budget. */
static void set_ratio_zero(void)
{
	world->extra_settings = "repeat_window_s = 2\nrepeat_ratio = 0\n"
				"repeat_slack = 10\n";
	rule.ratio = 0;
}

static void start_engines(size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		standin_add_worker(world, "engine", "z1");
}

static void kill_engines(size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		standin_kill_worker(&world->workers[i]);
}

/* Restarts killed engines under new ids. */
static void replace_engines(void)
{
	size_t i;

	for (i = 0; i < world->n_workers; i++)
		standin_replace_worker(&world->workers[i]);
}

static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head)
{
	struct call *c = arg;

	c->status = head->status;
	return HTTP1_ACCEPT;
}

static void on_body(void *arg, const char *data, size_t len)
{
	struct call *c = arg;

	(void)data;
	c->body_started = c->body_started || len;
}

static void on_end(void *arg, enum http1_outcome outcome)
{
	struct call *c = arg;

	(void)outcome;
	c->open = false;
}

/* Sends n requests to an instance. */
static void send_calls(const struct standin_instance *in, size_t n,
		       const char *service, const char *head)
{
	static const struct http1_call_ops ops = {
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
	};
	const struct http1_call_options options = {
		.address = in->callers,
		.connect_timeout_ms = 5000,
	};

	for (; n; n--) {
		struct call *c = &calls[n_calls];
		struct bytes out = { 0 };

		assert_true(n_calls < CALLS_MAX);
		bytes_addf(&out,
			   "%shost: 127.0.0.1\r\ncredential: k1\r\n"
			   "request-id: r-%zu\r\ndeadline-ms: 20000\r\n\r\n",
			   head, n_calls++);
		c->open = true;
		c->http = http1_call_start(client, &options, out.data, out.len,
					   &ops, c);
		repeat_rule_sent(&rule, service, now_ms());
	}
}

static void send_streams(const struct standin_instance *in, size_t n)
{
	send_calls(in, n, "engine",
		   "GET /write/a HTTP/1.1\r\n"
		   "token-usage: 100,30\r\nprompt-prefix: a:100\r\n");
}

static void run(uint64_t ms)
{
	uint64_t end;

	for (end = now_ms() + ms; now_ms() < end;) {
		http1_client_tick(client);
		harness_run(harness, STEP_MS);
	}
}

/* Waits until all streams have started and their first requests are older than
 * the window. */
static void wait_window_passed(void)
{
	uint64_t tries;
	size_t i = 0;

	for (tries = 0; tries < HARNESS_WAIT_MS / STEP_MS; tries++) {
		while (i < n_calls && calls[i].body_started)
			i++;
		if (i == n_calls)
			break;
		run(STEP_MS);
	}
	assert_int_equal(i, n_calls);
	run(2 * WINDOW_MS);
}

/* Checks that the workers received some repeats, within the rule's limit. */
static void check_repeats(const char *service)
{
	const struct repeat_use e = repeat_rule_worst(&rule, world, service);

	print_message("%s: %zu repeats in a window, %.1f allowed\n", service,
		      e.repeats, e.allowed);
	if (e.used > 1)
		fail_msg("%zu repeats in a window, %.1f allowed", e.repeats,
			 e.allowed);
	assert_true(e.repeats > 0);
}

/* Runs that are lost while no other engine is available are allowed a repeat,
 * wait for an engine, and are sent together when one starts. */
static void runs_lost_without_other_engine(void **state)
{
	(void)state;
	start_engines(1);
	start(1);
	send_streams(&instances[0], 16);
	wait_window_passed();
	standin_put_worker_entry(&world->workers[0], "draining");
	run(300);
	kill_engines(1);
	run(300);
	start_engines(1);
	run(3000);
	check_repeats("engine");
}

/* Instances whose datagrams are lost do not know each other's use of the
 * budget. */
static void instances_without_datagrams(void **state)
{
	size_t i;

	(void)state;
	start_engines(ENGINES);
	start(INSTANCES);
	for (i = 0; i < INSTANCES; i++)
		standin_put_instance_entry(world, instances[i].name,
					   instances[i].callers,
					   instances[i].control,
					   harness_address(harness));
	run(2 * WINDOW_MS);
	for (i = 0; i < INSTANCES; i++)
		send_streams(&instances[i], 20);
	wait_window_passed();
	kill_engines(ENGINES / 2);
	run(2000);
	check_repeats("engine");
}

/* An instance whose entry the store refuses knows the others, but they do not
 * know it. */
static void unlisted_instance(void **state)
{
	struct standin_instance *two = &instances[1];

	(void)state;
	set_ratio_zero();
	start_engines(STANDIN_WORKERS_MAX);
	start(1);
	world->store_refuses_writes = true;
	standin_init_instance(world, two, "two", NULL);
	standin_start_instance(world, two);
	n_instances = 2;
	standin_wait_status(world, two->readiness, "/readyz", 200);
	run(2 * WINDOW_MS);
	send_streams(&instances[0], 20);
	send_streams(two, 20);
	wait_window_passed();
	kill_engines(STANDIN_WORKERS_MAX / 2);
	run(2000);
	check_repeats("engine");
}

/* A process is killed after it has used its share of the budget; its successor
 * must not exceed the budget. */
static void restarted_process(void **state)
{
	struct standin_instance *in = &instances[0];

	(void)state;
	set_ratio_zero();
	start_engines(ENGINES);
	start(1);
	send_streams(in, 20);
	wait_window_passed();
	kill_engines(ENGINES / 2);
	run(200);
	replace_engines();
	proc_kill(in->proc);
	standin_start_instance(world, in);
	standin_wait_status(world, in->readiness, "/readyz", 200);
	send_streams(in, 20);
	run(600);
	kill_engines(ENGINES / 2);
	run(2000);
	check_repeats("engine");
}

/* The workers' addresses now belong to others: each request to one is answered
 * 421 and sent to the next. */
static void reassigned_addresses(void **state)
{
	size_t i;

	(void)state;
	set_ratio_zero();
	for (i = 0; i < STANDIN_WORKERS_MAX; i++)
		standin_add_worker(world, "plain", "z1");
	start(1);
	for (i = 0; i < STANDIN_WORKERS_MAX - 1; i++)
		world->workers[i].behaviour = STANDIN_MISDIRECTED;
	send_calls(&instances[0], 120, "plain", "GET /look/a HTTP/1.1\r\n");
	run(1500);
	check_repeats("plain");
}

/* Runs that start together all plan a move by choice while little of the budget
 * is used.  Moves stop when two fifths of it remain, which are kept for lost
 * runs. */
static void simultaneous_moves_by_choice(void **state)
{
	struct repeat_use use;

	(void)state;
	set_ratio_zero();
	start_engines(ENGINES);
	start(1);
	send_streams(&instances[0], 20);
	run(2 * WINDOW_MS);
	use = repeat_rule_worst(&rule, world, "engine");
	print_message("%zu moves by choice\n", use.repeats);
	assert_true(use.repeats > 0);
	assert_true(use.repeats * 5 <= SLACK * 3);
}

int main(int argc, char **argv)
{
#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(runs_lost_without_other_engine),
		CASE(instances_without_datagrams),
		CASE(unlisted_instance),
		CASE(restarted_process),
		CASE(reassigned_addresses),
		CASE(simultaneous_moves_by_choice),
	};

	if (argc > 1) /* one case */
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
