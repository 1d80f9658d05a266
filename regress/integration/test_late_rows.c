/* A removal of a row that is not an instance's own entry is done late, after the
 * row was written again: the row stays.
 * usage: test_late_rows [CASE] */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/platform_standin.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define REFUSAL "refused/00000000000000a7"
#define OTHER_REFUSAL "refused/00000000000000a8"
#define SHORT_S 2 /* a refusal that ends in the test */
#define LONG_S 3600
#define FLEET 18 /* only the first ones by name poll the store */

/* The only route; streams end within a second, so that versions are forgotten
 * soon. */
#define SHORT_STREAMS                                                         \
	"{\"version\":2,\"routes\":[{\"name\":\"write\",\"hostname\":"        \
	"\"127.0.0.1\",\"pathPrefix\":\"/write/\",\"routeType\":"             \
	"\"streaming\",\"timeoutMs\":1000,\"backend\":\"engine\","            \
	"\"maxAttempts\":5,\"resumable\":true}],\"services\":[{\"name\":"     \
	"\"engine\",\"engine\":{\"slots\":16,\"kvCapacity\":55000}}],"        \
	"\"limits\":{},\"tenants\":[{\"name\":\"ajoke\",\"apiKeys\":[\"k1\"]" \
	"}]}"

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

static void start(size_t n)
{
	static char names[FLEET][32];

	while (n_instances < n) {
		size_t i = n_instances++;

		snprintf(names[i], sizeof(names[i]), "n-%02zu", i);
		standin_init_instance(world, &instances[i], names[i],
				      i ? instances[0].control : NULL);
		standin_start_instance(world, &instances[i]);
		standin_wait_status(world, instances[i].readiness, "/readyz",
				    200);
	}
}

/* Writes the row of a refusal that ends in so many seconds. */
static void put_refusal(const char *key, unsigned int seconds)
{
	char value[128];

	snprintf(value, sizeof(value),
		 "{\"content\":\"%s\",\"until\":%lld,\"since\":1}",
		 strchr(key, '/') + 1,
		 ((long long)time(NULL) + seconds) * 1000);
	standin_put(world, "instances", key, value);
}

/* A text that the logs of all instances have to contain so often. */
struct logged {
	const char *text;
	size_t times;
};

static bool all_have_logged(void *arg)
{
	const struct logged *l = arg;
	size_t i;

	for (i = 0; i < n_instances; i++)
		if (proc_output_count(instances[i].proc, l->text) < l->times)
			return false;
	return true;
}

static void expect_refused(size_t times)
{
	struct logged l = { "\"event\":\"content-refused\"", times };

	harness_until(harness, all_have_logged, &l, "a content is refused");
}

static bool one_is_held(void *arg)
{
	(void)arg;
	return standin_count_held(world) > 0;
}

/* A content is refused again before the removal of its older row is done. */
static void late_removal_of_a_refusal(size_t n)
{
	size_t i;

	standin_put_configuration(world, 2, NULL);
	start(n);
	world->held_removals = "refused/";
	put_refusal(REFUSAL, SHORT_S);
	expect_refused(1);
	harness_until(harness, one_is_held, NULL, "its removal is sent");
	put_refusal(REFUSAL, LONG_S);
	expect_refused(2);
	standin_do_held(world);
	put_refusal(OTHER_REFUSAL, LONG_S);
	expect_refused(3); /* so that all has been read */
	for (i = 0; i < n; i++)
		assert_int_equal(
			proc_output_count(instances[i].proc,
					  "\"event\":\"content-cleared\""),
			0);
	assert_true(standin_row_exists(world, "instances", REFUSAL));
}

static void refusal_that_each_reads(void **state)
{
	(void)state;
	late_removal_of_a_refusal(2);
}

/* The one that removes the row has most likely not read it itself. */
static void refusal_that_others_forward(void **state)
{
	(void)state;
	late_removal_of_a_refusal(FLEET);
}

/* Numbers of rows of versions, and of the newest one. */
struct version_rows {
	size_t n;
	json_int_t newer_than;
};

static bool are_versions_in_store(void *arg)
{
	const struct version_rows *v = arg;

	return standin_count_rows(world, "streams", "version/") >= v->n &&
	       standin_newest_row(world, "streams", "version/") > v->newer_than;
}

/* A version serves again before the removal of its row is done. */
static void version_that_serves_again(void **state)
{
	struct version_rows two = { 2, 0 };
	struct standin_worker *second;

	(void)state;
	standin_put(world, "op", "config", SHORT_STREAMS);
	standin_add_worker_of(world, "engine", "z1", "v1");
	second = standin_add_worker_of(world, "engine", "z1", "v2");
	start(1);
	harness_until(harness, are_versions_in_store, &two, "both are written");
	world->held_removals = "version/";
	standin_kill_worker(second);
	standin_remove(world, "servers", second->id);
	harness_until(harness, one_is_held, NULL, "the removal is sent");
	world->held_removals = NULL;
	two.newer_than = world->version;
	standin_start_worker(second, "i-again");
	harness_until(harness, are_versions_in_store, &two,
		      "it is written again");
	standin_do_held(world);
	assert_int_equal(standin_count_rows(world, "streams", "version/"), 2);
}

static bool is_stream_in_store(void *arg)
{
	return standin_count_rows(world, "streams", "began/") >=
	       *(const size_t *)arg;
}

/* Has a stream begin, and waits until the store knows so many rows of streams. */
static void begin_stream(size_t rows)
{
	static unsigned int number;
	char id[24];
	const struct httpc_header headers[] = {
		{ "credential", "k1" },
		{ "request-id", id },
		{ "deadline-ms", "1000" },
		{ "token-usage", "300,100" },
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = instances[0].callers,
		.path = "/write/a",
		.headers = headers,
		.n_headers = N(headers),
		.body = "x",
		.body_len = 1,
	};
	struct answer a;

	snprintf(id, sizeof(id), "s-%u", ++number);
	harness_request(harness, &r, &a);
	assert_int_equal(a.status, 200);
	answer_release(&a);
	harness_until(harness, is_stream_in_store, &rows,
		      "the stream is recorded");
}

/* A process removes its row of streams that are over; that is done when the next
 * process of the instance has written its own. */
static void streams_of_the_next_process(void **state)
{
	static const char *const versions[] = { "v1", "v1", "v2", "v2" };
	json_int_t first;
	size_t i;

	(void)state;
	standin_put(world, "op", "config", SHORT_STREAMS);
	for (i = 0; i < N(versions); i++)
		standin_add_worker_of(world, "engine", "z1", versions[i]);
	start(1);
	world->held_removals = "began/";
	begin_stream(1);
	first = standin_newest_row(world, "streams", "began/");
	harness_until(harness, one_is_held, NULL, "the removal is sent");
	proc_kill(instances[0].proc);
	standin_start_instance(world, &instances[0]);
	standin_wait_status(world, instances[0].readiness, "/readyz", 200);
	begin_stream(2);
	standin_do_held(world);
	assert_int_equal(standin_count_rows(world, "streams", "began/"), 1);
	assert_true(standin_newest_row(world, "streams", "began/") > first);
}

/* A version that serves no more is forgotten by the store too. */
static void version_that_is_over(void **state)
{
	struct standin_worker *second;

	(void)state;
	standin_put(world, "op", "config", SHORT_STREAMS);
	standin_add_worker_of(world, "engine", "z1", "v1");
	second = standin_add_worker_of(world, "engine", "z1", "v2");
	start(2);
	world->held_removals = "version/";
	standin_kill_worker(second);
	standin_remove(world, "servers", second->id);
	harness_until(harness, one_is_held, NULL, "the removal is sent");
	standin_do_held(world);
	assert_int_equal(standin_count_rows(world, "streams", "version/"), 1);
}

int main(int argc, char **argv)
{
#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(refusal_that_each_reads),
		CASE(refusal_that_others_forward),
		CASE(version_that_serves_again),
		CASE(version_that_is_over),
		CASE(streams_of_the_next_process),
	};

	if (argc > 1) /* one case */
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
