/* The store returns from a copy that is some seconds old: what was written
 * since is gone, and versions are given out again.  All instances follow it
 * from there, what they knew stays in use until it is written again, and they
 * write again what is theirs. */
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
#define FEW 2 /* each polls the store */
#define FLEET 18 /* only some poll the store */
#define CALL_MS 20 /* between calls, as the rate of log lines is limited */
#define OTHER_ROWS 30 /* written to take the versions past the old ones */
#define REFUSAL "refused/00000000000000a7"
#define REFUSAL_VALUE                                                 \
	"{\"content\":\"00000000000000a7\",\"until\":99999999999999," \
	"\"since\":1}"

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance instances[FLEET];
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

/* Starts n instances with a configuration and one plain worker. */
static void start(size_t n)
{
	static char names[FLEET][32];
	size_t i;

	standin_add_worker(world, "plain", "z1");
	standin_put_configuration(world, 2, NULL);
	for (i = 0; i < n; i++) {
		snprintf(names[i], sizeof(names[i]), "n-%02zu", i);
		standin_init_instance(world, &instances[i], names[i],
				      i ? instances[0].control : NULL);
		standin_start_instance(world, &instances[i]);
		n_instances++;
	}
	for (i = 0; i < n; i++)
		standin_wait_status(world, instances[i].readiness, "/readyz",
				    200);
}

/* Sends a request to an instance; returns the status. */
static int send_to(const char *address, const char *path)
{
	static unsigned int number;
	char id[24];
	const struct httpc_header headers[] = {
		{ "credential", "k1" },
		{ "request-id", id },
		{ "deadline-ms", "900" },
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = address,
		.path = path,
		.headers = headers,
		.n_headers = N(headers),
		.body = "x",
		.body_len = 1,
	};
	struct answer a;
	int status;

	snprintf(id, sizeof(id), "r-%u", ++number);
	harness_request(harness, &r, &a);
	status = a.status;
	answer_release(&a);
	return status;
}

/* A path that an instance has to serve. */
struct served {
	const char *address;
	const char *path;
};

static bool is_served(void *arg)
{
	const struct served *s = arg;

	harness_run(harness, CALL_MS);
	return send_to(s->address, s->path) == 200;
}

/* Waits until all instances serve a path. */
static void expect_served_by_all(const char *path)
{
	struct served s = { .path = path };
	size_t i;

	for (i = 0; i < n_instances; i++) {
		s.address = instances[i].callers;
		harness_until(harness, is_served, &s, path);
	}
}

/* Writes a configuration with one more route. */
static void put_route(int version, const char *name)
{
	char *route = xasprintf(
		"{\"name\":\"%s\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":"
		"\"/%s/\",\"routeType\":\"idempotent\",\"timeoutMs\":900,"
		"\"targetLatencyMs\":400,\"backend\":\"plain\","
		"\"maxAttempts\":2}",
		name, name);

	standin_put_configuration(world, version, route);
	free(route);
}

/* Writes rows of a table that no instance follows. */
static void put_other_rows(void)
{
	char key[16];
	int i;

	for (i = 0; i < OTHER_ROWS; i++) {
		snprintf(key, sizeof(key), "row-%d", i);
		standin_put(world, "other", key, "{}");
	}
}

/* A text that the log of an instance has to contain so often. */
struct logged {
	const struct standin_instance *in;
	const char *text;
	size_t times;
};

static bool has_logged(void *arg)
{
	const struct logged *l = arg;

	return proc_output_count(l->in->proc, l->text) >= l->times;
}

/* Waits until the logs of all instances contain a text so often. */
static void expect_logged_by_all(const char *text, size_t times)
{
	struct logged l = { .text = text, .times = times };
	size_t i;

	for (i = 0; i < n_instances; i++) {
		l.in = &instances[i];
		harness_until(harness, has_logged, &l, text);
	}
}

static bool row_is_written(void *arg)
{
	return standin_row_exists(world, "instances", arg);
}

/* A configuration that is written right after the return, below versions that
 * the store had before, is in force everywhere. */
static void follows(size_t n)
{
	start(n);
	standin_copy_store(world);
	put_other_rows();
	put_route(3, "before");
	expect_served_by_all("/before/a");

	standin_restore_store(world);
	put_route(4, "after");
	put_other_rows();
	put_other_rows();
	expect_served_by_all("/after/a");
}

static void few_instances_follow_the_copy(void **state)
{
	(void)state;
	follows(FEW);
}

static void fleet_follows_the_copy(void **state)
{
	(void)state;
	follows(FLEET);
}

/* An endpoint that is written below the old versions is used by all instances,
 * also by those that follow what others read. */
static void new_endpoint(size_t n)
{
	struct standin_worker *first;

	start(n);
	first = &world->workers[0];
	standin_copy_store(world);
	put_other_rows();
	standin_put_worker_entry(first, "ready");
	put_route(3, "before");
	expect_served_by_all("/before/a");

	standin_restore_store(world);
	standin_add_worker(world, "plain", "z1");
	standin_kill_worker(first);
	put_other_rows();
	put_other_rows();
	put_route(4, "after");
	expect_served_by_all("/after/a");
}

static void few_instances_find_a_new_endpoint(void **state)
{
	(void)state;
	new_endpoint(FEW);
}

static void fleet_finds_a_new_endpoint(void **state)
{
	(void)state;
	new_endpoint(FLEET);
}

/* The configuration in force stays although the copy has an older one. */
static void configuration_does_not_go_back(void **state)
{
	size_t i;

	(void)state;
	start(FEW);
	standin_copy_store(world);
	put_route(3, "before");
	expect_served_by_all("/before/a");
	standin_restore_store(world);
	expect_logged_by_all("\"event\":\"store-era\"", 1);
	for (i = 0; i < n_instances; i++)
		assert_int_equal(send_to(instances[i].callers, "/before/a"),
				 200);
	put_route(3, "before");
	put_route(5, "after");
	expect_served_by_all("/after/a");
}

/* An endpoint that is missing from the copy is kept until it is written
 * again. */
static void missing_endpoint_is_kept(void **state)
{
	struct standin_worker *worker;

	(void)state;
	start(FEW);
	standin_copy_store(world);
	worker = standin_add_worker(world, "plain", "z1");
	expect_logged_by_all("\"endpoint\":\"i-1\"", 1);
	standin_kill_worker(&world->workers[0]);

	standin_restore_store(world);
	expect_logged_by_all("\"held\":true", 1);
	standin_put_worker_entry(worker, "ready");
	expect_served_by_all("/look/a");
}

/* The own entry and the rows of refusals are written again, after each of two
 * returns. */
static void own_rows_are_written_again(void **state)
{
	int i;

	(void)state;
	standin_copy_store(world);
	start(FEW);
	standin_put(world, "instances", REFUSAL, REFUSAL_VALUE);
	expect_logged_by_all("\"event\":\"content-refused\"", 1);
	for (i = 0; i < 2; i++) {
		standin_restore_store(world);
		assert_false(row_is_written((void *)instances[0].name));
		harness_until(harness, row_is_written,
			      (void *)instances[0].name, "the first entry");
		harness_until(harness, row_is_written,
			      (void *)instances[1].name, "the second entry");
		harness_until(harness, row_is_written, (void *)REFUSAL,
			      "the row of the refusal");
	}
}

/* Two returns follow each other before a call is answered. */
static void two_returns_in_a_row(void **state)
{
	(void)state;
	start(FEW);
	standin_copy_store(world);
	put_other_rows();
	put_route(3, "before");
	expect_served_by_all("/before/a");
	standin_restore_store(world);
	put_route(4, "between");
	standin_restore_store(world);
	put_route(5, "after");
	put_other_rows();
	put_other_rows();
	expect_served_by_all("/after/a");
}

/* Instances that can't write their entries again stay listed at the others
 * while they are alive. */
static void missing_instances_stay_listed(void **state)
{
	struct answer a;

	(void)state;
	standin_copy_store(world);
	start(FEW);
	expect_logged_by_all("\"event\":\"instance-alive\"", 1);
	world->store_refuses_writes = true;
	standin_restore_store(world);
	expect_logged_by_all("\"event\":\"instance-kept\"", 1);
	harness_call(harness, "GET", instances[0].directory, "/resolve?zone=z1",
		     NULL, &a);
	assert_int_equal(a.status, 200);
	assert_non_null(strstr(a.body, instances[1].callers));
	answer_release(&a);
	world->store_refuses_writes = false;
	harness_until(harness, row_is_written, (void *)instances[1].name,
		      "the second entry");
}

#define CASE(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(few_instances_follow_the_copy),
		CASE(few_instances_find_a_new_endpoint),
		CASE(configuration_does_not_go_back),
		CASE(missing_endpoint_is_kept),
		CASE(own_rows_are_written_again),
		CASE(two_returns_in_a_row),
		CASE(missing_instances_stay_listed),
		CASE(fleet_follows_the_copy),
		CASE(fleet_finds_a_new_endpoint),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
