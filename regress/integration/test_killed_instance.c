/*
 * An instance that is killed while it writes an answer that ends with its
 * connection: its caller sees a reset, not an orderly end.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/bytes.h"
#include "lib/http1_client.h"
#include "lib/xalloc.h"
#include "regress/platform_standin.h"

#define EVENTS_BEFORE 3 /* received before the instance is killed */
#define LARGE_BYTES (6u << 20) /* more than sockets hold */
#define CONNECT_MS 1000

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;

/* What a caller received. */
struct reply {
	struct http1_call *call;
	size_t wanted; /* bytes or events, before the kill */
	bool events;
	bool killed; /* the instance */
	struct bytes body;
	enum http1_outcome outcome;
	bool over;
};

/* Reads events as they come, and of another answer its first bytes, so that its
 * rest cannot have been sent when the instance is killed. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct reply *r = arg;

	bytes_add(&r->body, data, len);
	if (!r->events && !r->killed)
		http1_call_pause(r->call, true);
}

static void on_end(void *arg, enum http1_outcome outcome)
{
	struct reply *r = arg;

	r->outcome = outcome;
	r->over = true;
}

/* Returns how many events, or bytes, a caller has. */
static size_t received(const struct reply *r)
{
	size_t n = 0;
	size_t i;

	if (!r->events)
		return r->body.len;
	for (i = 1; i < r->body.len; i++)
		n += r->body.data[i] == '\n' && r->body.data[i - 1] == '\n';
	return n;
}

static bool has_wanted(void *arg)
{
	const struct reply *r = arg;

	return r->over || received(r) >= r->wanted;
}

static bool is_over(void *arg)
{
	return ((struct reply *)arg)->over;
}

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	standin_add_worker(world, "engine", "z1");
	standin_add_worker(world, "plain", "z1");
	standin_put_configuration(world, 2, NULL);
	standin_init_instance(world, &one, "one", NULL);
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	standin_free(world);
	harness_free(harness);
	return 0;
}

/* Sends a request of a caller with HTTP/1.0, or with HTTP/1.1, kills the instance
 * once a part of the answer has come, and checks that its end is no orderly
 * one. */
static void kill_during(const char *target, const char *version,
			struct reply *r)
{
	static const struct http1_call_ops ops = {
		.on_body = on_body,
		.on_end = on_end,
	};
	const struct http1_call_options options = {
		.address = one.callers,
		.connect_timeout_ms = CONNECT_MS,
	};
	struct http1_client *client = http1_client_new(harness_loop(harness));
	char *request = xasprintf("POST %s HTTP/%s\r\nhost: 127.0.0.1\r\n"
				  "request-id: r-1\r\ncredential: k1\r\n"
				  "deadline-ms: 15000\r\n"
				  "content-length: 1\r\n\r\nx",
				  target, version);

	r->call = http1_call_start(client, &options, request, strlen(request),
				   &ops, r);
	harness_until(harness, has_wanted, r, "a part of the answer has come");
	assert_false(r->over);
	proc_kill(one.proc);
	r->killed = true;
	if (!r->events)
		http1_call_pause(r->call, false);
	harness_until(harness, is_over, r, "the connection ends");
	print_message("%s, HTTP/%s: %zu bytes, %s\n", target, version,
		      r->body.len, http1_outcome_name(r->outcome));
	assert_int_equal(r->outcome, HTTP1_BROKEN);
	bytes_release(&r->body);
	http1_client_free(client);
}

static void stream(void **state)
{
	struct reply r = { .events = true, .wanted = EVENTS_BEFORE };

	(void)state;
	kill_during("/write/a", "1.0", &r);
}

static void stream_in_chunks(void **state)
{
	struct reply r = { .events = true, .wanted = EVENTS_BEFORE };

	(void)state;
	kill_during("/write/a", "1.1", &r);
}

static void large_answer_without_length(void **state)
{
	struct reply r = { .wanted = 1 };

	(void)state;
	world->plain_bytes = LARGE_BYTES;
	world->workers[1].behaviour = STANDIN_UNFRAMED;
	kill_during("/look/a", "1.1", &r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(stream, set_up, tear_down),
		cmocka_unit_test_setup_teardown(stream_in_chunks, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(large_answer_without_length,
						set_up, tear_down),
	};

	return cmocka_run_group_tests_name("killed instance", tests, NULL,
					   NULL);
}
