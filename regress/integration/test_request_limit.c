/* Endpoints name the requests per second that they take from all instances
 * together; what arrives there is counted as the users' rule counts. */
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
#include "regress/limit_rule.h"

#define INSTANCES_MAX 6
#define CALLS_MAX 4096
#define STEP_MS 20

/* Every instance has heard of a limit by then, if it hears anything. */
#define APPLIED_MS 500

/* A caller's request. */
struct call {
	bool open;
	int status;
	double retry_after_s; /* 0: none */
	struct http1_call *http;
};

/* Calls that ended, by result. */
struct tally {
	size_t served;
	size_t refused; /* 503, not executed */
	size_t other;
};

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance instances[INSTANCES_MAX];
static size_t n_instances;
static struct http1_client *client;
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
		if (calls[i].open)
			http1_call_cancel(calls[i].http);
	for (i = 0; i < n_instances; i++)
		proc_kill(instances[i].proc);
	http1_client_free(client);
	standin_free(world);
	harness_free(harness);
	return 0;
}

static void start_workers(const char *service, size_t n)
{
	static const char *const zones[] = { "z1", "z2", "z3" };
	size_t i;

	for (i = 0; i < n; i++)
		standin_add_worker(world, service, zones[i % 3]);
}

/* Adds an instance and waits until it is ready. */
static void start_instance(void)
{
	static const char *const names[INSTANCES_MAX] = { "one",   "two",
							  "three", "four",
							  "five",  "six" };
	struct standin_instance *in = &instances[n_instances];

	standin_init_instance(world, in, names[n_instances],
			      n_instances ? instances[0].control : NULL);
	standin_start_instance(world, in);
	n_instances++;
	standin_wait_status(world, in->readiness, "/readyz", 200);
}

/* Starts instances and waits until they have heard of each other. */
static void start(size_t n)
{
	standin_put_configuration(world, 2, NULL);
	while (n_instances < n)
		start_instance();
	harness_run(harness, 2500);
}

static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head)
{
	const struct http1_header *h = http1_find_header(head, "retry-after");
	struct call *c = arg;

	c->status = head->status;
	if (h)
		c->retry_after_s = strtod(h->value, NULL);
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
	struct call *c = arg;

	c->open = false;
	if (outcome != HTTP1_COMPLETE)
		c->status = -1;
}

/* Sends a request to an instance; line is its request line and headers. */
static void send_call(const struct standin_instance *in, const char *line,
		      unsigned int deadline_ms)
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
	struct call *c = &calls[n_calls];
	struct bytes out = { 0 };

	assert_true(n_calls < CALLS_MAX);
	bytes_addf(&out,
		   "%shost: 127.0.0.1\r\ncredential: k1\r\n"
		   "request-id: r-%zu\r\ndeadline-ms: %u\r\n\r\n",
		   line, n_calls++, deadline_ms);
	c->open = true;
	c->http =
		http1_call_start(client, &options, out.data, out.len, &ops, c);
}

/* Sends per_step lookups in each step of ms, to the first n instances in
 * turn. */
static void load(uint64_t ms, size_t n, size_t per_step)
{
	uint64_t end;

	for (end = now_ms() + ms; now_ms() < end;) {
		size_t i;

		for (i = 0; i < per_step; i++)
			send_call(&instances[n_calls % n],
				  "GET /look/a HTTP/1.1\r\n", 900);
		http1_client_tick(client);
		harness_run(harness, STEP_MS);
	}
}

/* Counts the results of the calls from one with an index on. */
static struct tally tally_from(size_t from)
{
	struct tally t = { 0 };
	size_t i;

	for (i = from; i < n_calls; i++) {
		if (calls[i].status == 200)
			t.served++;
		else if (calls[i].status == 503)
			t.refused++;
		else
			t.other++;
	}
	return t;
}

/* Checks that workers got no more than they named allows, and that some got
 * part of it. */
static void check_limits(void)
{
	const struct limit_use use = limit_rule_worst(world, APPLIED_MS, NULL);

	print_message("%s: %zu arrivals in 4 s, %.1f allowed\n",
		      use.worker_id ? use.worker_id : "no worker", use.arrivals,
		      use.allowed);
	assert_true(use.arrivals > 0);
	if (use.used > 1)
		fail_msg("%s: %zu arrivals in 4 s, %.1f allowed", use.worker_id,
			 use.arrivals, use.allowed);
}

/* Two of three endpoints name a limit; the third takes the rest. */
static void sum_over_instances(void **state)
{
	struct tally t;

	(void)state;
	start_workers("plain", 3);
	start(6);
	load(500, 6, 2);
	world->workers[0].limit = "14";
	world->workers[1].limit = "5.7";
	load(6000, 6, 2);
	harness_run(harness, 1000);
	check_limits();
	t = tally_from(0);
	print_message("%zu served, %zu refused, %zu other\n", t.served,
		      t.refused, t.other);
	assert_int_equal(t.refused + t.other, 0);
}

/* The rule holds for one instance too. */
static void single_instance(void **state)
{
	(void)state;
	start_workers("plain", 2);
	start(1);
	world->workers[0].limit = "3";
	load(6000, 1, 2);
	check_limits();
}

/* Instances that hear nothing from each other keep the sum. */
static void instances_without_datagrams(void **state)
{
	size_t i;

	(void)state;
	start_workers("plain", 3);
	start(6);
	for (i = 0; i < n_instances; i++)
		standin_put_instance_entry(world, instances[i].name,
					   instances[i].callers,
					   instances[i].control,
					   harness_address(harness));
	harness_run(harness, 1500);
	world->workers[0].limit = "14";
	world->workers[1].limit = "5.7";
	load(6000, 6, 2);
	check_limits();
}

/* Instances are suspended, killed and started again while a limit holds. */
static void suspended_and_restarted_instances(void **state)
{
	(void)state;
	start_workers("plain", 3);
	start(6);
	world->workers[0].limit = "4";
	load(1500, 6, 2);
	proc_signal(instances[0].proc, SIGSTOP);
	proc_kill(instances[1].proc);
	load(1500, 6, 2);
	proc_signal(instances[0].proc, SIGCONT);
	standin_start_instance(world, &instances[1]);
	load(1000, 6, 2);
	proc_kill(instances[2].proc);
	standin_start_instance(world, &instances[2]);
	load(3000, 6, 2);
	check_limits();
}

int main(int argc, char **argv)
{
#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(sum_over_instances),
		CASE(single_instance),
		CASE(instances_without_datagrams),
		CASE(suspended_and_restarted_instances),
	};

	if (argc > 1) /* one case */
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
