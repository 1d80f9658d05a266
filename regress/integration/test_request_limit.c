/* Endpoints name the requests per second that they take from all instances
 * together; what arrives there is counted as the users' rule counts.
 * usage: test_request_limit [CASE [INSTANCES of many_instances]] */
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

#define INSTANCES_MAX 256
#define MANY_INSTANCES 24 /* default of the second argument */
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
static size_t many = MANY_INSTANCES;
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
	static char names[INSTANCES_MAX][8];
	struct standin_instance *in = &instances[n_instances];

	snprintf(names[n_instances], sizeof(names[0]), "n%zu", n_instances);
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

/* Returns the number of arrivals at a worker since a time. */
static size_t arrivals_since(const struct standin_worker *worker, uint64_t ms)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < world->n_arrivals; i++)
		n += world->arrivals[i]->worker == worker &&
		     world->arrivals[i]->at_ms >= ms;
	return n;
}

/* All endpoints name limits far below the load: the excess is refused at once
 * with different times to return, and what the limits allow is served. */
static void refused_when_all_are_limited(void **state)
{
	struct tally t;
	double first_s = 0;
	size_t from;
	size_t others = 0;
	size_t i;

	(void)state;
	start_workers("plain", 3);
	start(6);
	world->workers[0].limit = "14";
	world->workers[1].limit = "5.7";
	world->workers[2].limit = "8";
	load(1000, 6, 2);
	from = n_calls;
	load(6000, 6, 2);
	harness_run(harness, 1000);
	check_limits();
	t = tally_from(from);
	print_message("%zu served, %zu refused, %zu other\n", t.served,
		      t.refused, t.other);
	assert_int_equal(t.other, 0);
	assert_true(t.refused > 0);
	assert_true((double)t.served >= (14 + 5.7 + 8) * 6 * 0.7);
	for (i = from; i < n_calls; i++) {
		if (calls[i].status != 503)
			continue;
		if (calls[i].retry_after_s <= 0)
			fail_msg("call %zu: no time to return", i);
		if (first_s == 0)
			first_s = calls[i].retry_after_s;
		others += calls[i].retry_after_s != first_s;
	}
	assert_true(others * 10 >= t.refused * 9);
}

/* One instance has all requests: it borrows what the five others do not use. */
static void idle_instances_lend(void **state)
{
	struct tally t;
	size_t from;

	(void)state;
	start_workers("plain", 1);
	start(6);
	world->workers[0].limit = "14";
	load(1000, 1, 2);
	from = n_calls;
	load(6000, 1, 2);
	harness_run(harness, 1000);
	check_limits();
	t = tally_from(from);
	print_message("%zu served, %zu refused\n", t.served, t.refused);
	assert_true(t.served >= 14 * 6 * 7 / 10);
}

/* Most of many instances have no part of the limits, and borrow. */
static void many_instances(void **state)
{
	struct tally t;
	size_t from;

	(void)state;
	start_workers("plain", 2);
	start(many);
	world->workers[0].limit = "2";
	world->workers[1].limit = "9";
	load(1000, many, 2);
	from = n_calls;
	load(6000, many, 2);
	harness_run(harness, 1000);
	check_limits();
	t = tally_from(from);
	print_message("%zu served, %zu refused, %zu other\n", t.served,
		      t.refused, t.other);
	assert_int_equal(t.other, 0);
	assert_true(t.served >= (2 + 9) * 6 * 6 / 10);
}

/* An instance that starts knows the limit from the others: the sum holds with
 * it. */
static void new_instance(void **state)
{
	(void)state;
	start_workers("plain", 2);
	start(3);
	world->workers[0].limit = "2";
	load(1500, 3, 2);
	start_instance();
	load(3500, 4, 2);
	check_limits();
}

/* All processes are killed and started again, each at its place in the list:
 * the only endpoint is used at its limit again at once. */
static void all_instances_restarted(void **state)
{
	struct tally t;
	size_t from;
	size_t i;

	(void)state;
	start_workers("plain", 1);
	start(4);
	world->workers[0].limit = "12";
	load(1500, 4, 2);
	for (i = 0; i < 4; i++)
		proc_kill(instances[i].proc);
	for (i = 0; i < 4; i++)
		standin_start_instance(world, &instances[i]);
	for (i = 0; i < 4; i++)
		standin_wait_status(world, instances[i].readiness, "/readyz",
				    200);
	load(300, 4, 2); /* all have heard of the limit */
	from = n_calls;
	load(1000, 4, 2);
	harness_run(harness, 500);
	t = tally_from(from);
	print_message("%zu served\n", t.served);
	assert_true(t.served >= 12 / 2);
	check_limits();
}

/* An endpoint names no limit any more: the requests come back in steps, and
 * instances that had no part learn of it. */
static void end_of_a_limit(void **state)
{
	uint64_t ended_ms;
	size_t in_first_second;

	(void)state;
	start_workers("plain", 1);
	start(6);
	world->workers[0].limit = "3";
	load(2000, 6, 2);
	world->workers[0].limit = NULL;
	ended_ms = now_ms();
	load(1000, 6, 2);
	in_first_second = arrivals_since(&world->workers[0], ended_ms);
	load(4000, 6, 2);
	ended_ms = now_ms();
	load(2000, 6, 2);
	print_message("%zu arrivals in the first second, %zu in the last two\n",
		      in_first_second,
		      arrivals_since(&world->workers[0], ended_ms));
	assert_true(in_first_second <= 3 * 8);
	assert_true(arrivals_since(&world->workers[0], ended_ms) >= 150);
}

/* A limit belongs to one start of an endpoint. */
static void restarted_endpoint(void **state)
{
	struct standin_worker *w;
	uint64_t from_ms;

	(void)state;
	start_workers("plain", 1);
	w = &world->workers[0];
	start(3);
	w->limit = "1";
	load(1500, 3, 2);
	w->limit = NULL;
	standin_kill_worker(w);
	w->born_ms += 1000;
	standin_start_worker(w, w->id);
	harness_run(harness, 1000);
	from_ms = now_ms();
	load(1000, 3, 2);
	assert_true(arrivals_since(w, from_ms) >= 80);
}

/* What is not a number of requests changes nothing. */
static void invalid_limits(void **state)
{
	static const char *const limits[] = { "", "-1", "nan", "many", "5,7" };
	size_t i;

	(void)state;
	start_workers("plain", 1);
	start(2);
	for (i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
		size_t from = n_calls;
		struct tally t;

		world->workers[0].limit = limits[i];
		load(300, 2, 2);
		harness_run(harness, 500);
		t = tally_from(from);
		if (t.refused || t.other)
			fail_msg("limit \"%s\": %zu refused", limits[i],
				 t.refused);
	}
	world->workers[0].limit = "1e300";
	load(2000, 2, 2);
	harness_run(harness, 500);
	assert_int_equal(tally_from(0).refused, 0);
}

/* An endpoint that takes nothing gets few requests, by which its end of that is
 * found out; another one has room for the rest. */
static void limit_of_zero(void **state)
{
	uint64_t from_ms;

	(void)state;
	start_workers("plain", 2);
	start(3);
	world->workers[0].limit = "0";
	load(5000, 3, 2);
	check_limits();
	assert_int_equal(tally_from(0).refused, 0);
	world->workers[0].limit = NULL;
	load(8000, 3, 2);
	from_ms = now_ms();
	load(2000, 3, 2);
	assert_true(arrivals_since(&world->workers[0], from_ms) >= 60);
}

/* Engines name limits while streams run; one is killed.  Streams that run are
 * completed, and copies and resumed runs count as requests. */
static void streams(void **state)
{
	static const char line[] =
		"GET /write/a HTTP/1.1\r\n"
		"token-usage: 100,30\r\nprompt-prefix: a:100\r\n";
	struct tally t;
	size_t i;

	(void)state;
	world->event_ms = 60;
	start_workers("engine", 4);
	start(3);
	for (i = 0; i < 12; i++)
		send_call(&instances[i % 3], line, 15000);
	harness_run(harness, 300);
	for (i = 0; i < 4; i++)
		world->workers[i].limit = i < 2 ? "2" : "1.5";
	for (i = 0; i < 20; i++) {
		send_call(&instances[i % 3], line, 15000);
		load(200, 3, 0);
		if (i == 8)
			standin_kill_worker(&world->workers[0]);
	}
	load(4000, 3, 0);
	check_limits();
	t = tally_from(0);
	print_message("%zu streams served, %zu refused, %zu other\n", t.served,
		      t.refused, t.other);
	assert_int_equal(t.other, 0);
	assert_true(t.served >= 24);
}

/* Returns whether the last call has had the head of its answer, which comes with
 * its first event. */
static bool last_call_began(void *arg)
{
	(void)arg;
	return calls[n_calls - 1].status != 0;
}

/* Returns the worker at which a call arrived last, NULL if at none. */
static struct standin_worker *worker_of_call(size_t call)
{
	struct standin_worker *worker = NULL;
	char line[32];
	size_t i;

	snprintf(line, sizeof(line), "request-id: r-%zu", call);
	for (i = 0; i < world->n_arrivals; i++)
		if (standin_arrival_has_line(world->arrivals[i], line))
			worker = world->arrivals[i]->worker;
	return worker;
}

/* An engine dies that an instance had no permit to ask for its start: the stream
 * that began there with the instance's only permit goes on elsewhere. */
static void killed_engine_without_permit_for_its_start(void **state)
{
	static const char line[] =
		"GET /write/a HTTP/1.1\r\n"
		"token-usage: 100,30\r\nprompt-prefix: a:100\r\n";
	struct standin_worker *worker;
	size_t i;

	(void)state;
	world->event_ms = 40;
	start_workers("engine", 2);
	world->workers[0].limit = "2";
	world->workers[1].limit = "2";
	start(2);
	for (i = 0; i < 2; i++) /* both engines name their limits */
		send_call(&instances[0], line, 15000);
	load(3000, 2, 0);
	for (i = 0; i < 2; i++) /* leaves the first instance none to lend */
		send_call(&instances[0], line, 15000);
	send_call(&instances[1], line, 15000);
	harness_until(harness, last_call_began, NULL, "the stream begins");
	worker = worker_of_call(n_calls - 1);
	assert_non_null(worker);
	standin_kill_worker(worker);
	load(6000, 2, 0);
	check_limits();
	assert_ptr_not_equal(worker_of_call(n_calls - 1), worker);
	assert_int_equal(tally_from(0).served, n_calls);
}

int main(int argc, char **argv)
{
#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(sum_over_instances),
		CASE(single_instance),
		CASE(instances_without_datagrams),
		CASE(suspended_and_restarted_instances),
		CASE(refused_when_all_are_limited),
		CASE(idle_instances_lend),
		CASE(many_instances),
		CASE(new_instance),
		CASE(all_instances_restarted),
		CASE(end_of_a_limit),
		CASE(restarted_endpoint),
		CASE(invalid_limits),
		CASE(limit_of_zero),
		CASE(streams),
		CASE(killed_engine_without_permit_for_its_start),
	};

	if (argc > 1) /* one case */
		cmocka_set_test_filter(argv[1]);
	if (argc > 2)
		many = strtoul(argv[2], NULL, 10);
	if (!many || many > INSTANCES_MAX)
		return 2;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
