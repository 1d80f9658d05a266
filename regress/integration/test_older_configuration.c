/*
 * An instance has a version of the configuration in force and is then given an
 * older one: by the store, by another instance that is behind, or by a store
 * whose newer row it has missed.  It goes on with the newer one.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "regress/peer_standin.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define OTHER "two"
#define OLD 3
#define IN_FORCE 5
#define NEXT 7
#define CLAIMED 9 /* by the other instance */
#define CALLS 10

static struct harness *harness;
static struct standin_world *world;
static struct standin_world *other_world; /* with a store of its own */
static struct standin_instance one;
static struct standin_instance two;

/* Writes a configuration with one more route, or none more if name is NULL. */
static void put_route(struct standin_world *w, int version, const char *name)
{
	char *route = name ? xasprintf("{\"name\":\"%s\",\"hostname\":"
				       "\"127.0.0.1\",\"pathPrefix\":\"/%s/\","
				       "\"routeType\":\"idempotent\","
				       "\"timeoutMs\":900,\"targetLatencyMs\":"
				       "400,\"backend\":\"plain\","
				       "\"maxAttempts\":2}",
				       name, name)
			   : NULL;

	standin_put_configuration(w, version, route);
	free(route);
}

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	other_world = standin_new(harness);
	standin_init_instance(world, &one, "one", NULL);
	standin_init_instance(other_world, &two, OTHER, NULL);
	standin_add_worker(world, "plain", "z1");
	put_route(world, IN_FORCE, "added");
	put_route(other_world, OLD, NULL);
	standin_start_instance(world, &one);
	standin_start_instance(other_world, &two);
	standin_wait_status(world, one.readiness, "/readyz", 200);
	standin_wait_status(other_world, two.readiness, "/readyz", 200);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	proc_kill(one.proc);
	proc_kill(two.proc);
	standin_free(world);
	standin_free(other_world);
	harness_free(harness);
	return 0;
}

/* Sends a request to the first instance; returns the status. */
static int send_to(const char *path)
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
		.address = one.callers,
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

/* Sends requests on the route that the older version lacks. */
static void expect_added_route(void)
{
	size_t i;

	for (i = 0; i < CALLS; i++)
		assert_int_equal(send_to("/added/a"), 200);
}

/* Tells the first instance, as the second one, of a version in force there. */
static void send_pulse(uint64_t version)
{
	const struct peer_standin_pulse pulse = {
		.name = OTHER,
		.born_ms = 1,
		.version = version,
	};

	peer_standin_pulse(&one, &pulse);
}

static bool has_logged(void *arg)
{
	return proc_output_count(one.proc, arg) > 0;
}

/* Waits until the first instance has put a version in force after another. */
static void expect_followed(int version, int before)
{
	char *text = xasprintf("\"version\":%d,\"before\":%d", version, before);

	harness_until(harness, has_logged, text, text);
	free(text);
}

/* Returns whether a call waits for configurations after the version that arg
 * points to, so that all up to it were read. */
static bool is_read(void *arg)
{
	const json_int_t *version = arg;
	size_t i;

	for (i = 0; i < STANDIN_PENDING_FEEDS_MAX; i++)
		if (world->pending_feeds[i] &&
		    !strcmp(world->pending_table[i], "op") &&
		    world->pending_after[i] >= *version)
			return true;
	return false;
}

/* Writes an older version without the added route, and waits until it is
 * read. */
static void put_older(int version)
{
	json_int_t written;

	put_route(world, version, NULL);
	written = world->version;
	harness_until(harness, is_read, &written, "the older one is read");
}

static bool followed_after_pulse(void *arg)
{
	send_pulse(CLAIMED);
	assert_int_equal(send_to("/added/a"), 200);
	return has_logged(arg);
}

/* The store's row gets an older version, then a newer one. */
static void older_version_in_the_store(void **state)
{
	(void)state;
	put_older(OLD);
	expect_added_route();
	put_route(world, NEXT, "added");
	expect_followed(NEXT, IN_FORCE);
	expect_added_route();
}

/* Another instance names a newer version, but hands out an older one; later it
 * has a newer one. */
static void other_instance_is_behind(void **state)
{
	size_t i;

	(void)state;
	standin_put_instance_entry(world, OTHER, two.callers, two.control,
				   two.peers);
	harness_until(harness, has_logged, "\"event\":\"instance-listed\"",
		      "the other instance is listed");
	for (i = 0; i < CALLS; i++) {
		send_pulse(CLAIMED);
		assert_int_equal(send_to("/added/a"), 200);
	}
	put_route(other_world, NEXT, "added");
	harness_until(harness, followed_after_pulse,
		      "\"version\":7,\"before\":5", "the newer one is taken");
	expect_added_route();
}

/* A store that answers again has an older version than another instance gave. */
static void store_is_behind_another_instance(void **state)
{
	(void)state;
	standin_put_instance_entry(world, OTHER, two.callers, two.control,
				   two.peers);
	harness_until(harness, has_logged, "\"event\":\"instance-listed\"",
		      "the other instance is listed");
	standin_stop_store(world);
	put_route(other_world, NEXT, "added");
	harness_until(harness, followed_after_pulse,
		      "\"version\":7,\"before\":5", "the newer one is taken");
	standin_start_store(world);
	harness_until(harness, has_logged, "\"event\":\"store-regained\"",
		      "the store answers");
	put_older(IN_FORCE + 1);
	expect_added_route();
}

int main(void)
{
#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(older_version_in_the_store),
		CASE(other_instance_is_behind),
		CASE(store_is_behind_another_instance),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
