/*
 * An endpoint's write to the store may be performed late, after later ones of
 * it, and a copy of the store holds an older entry.  The start in an entry and
 * its sequence show that: cdmproxyd goes on by the newest entry of an endpoint.
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
#include "regress/platform_standin.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define CALLS 12 /* enough to be tried on each of two endpoints */

/* What orders the entries of an endpoint. */
struct entry {
	const char *state;
	unsigned int born_ms; /* 0: the entry has none */
	unsigned int sequence;
	const char *address; /* NULL: the endpoint's own */
};

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;
static struct standin_worker *first;
static struct standin_worker *second;

static void put_entry(const struct standin_worker *worker,
		      const struct entry *e);

static int set_up(void **state)
{
	static const struct entry ready = { "ready", 1000, 1, NULL };

	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	standin_init_instance(world, &one, "one", NULL);
	standin_put_configuration(world, 2, NULL);
	first = standin_add_worker(world, "plain", "z1");
	second = standin_add_worker(world, "plain", "z1");
	put_entry(first, &ready);
	put_entry(second, &ready);
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

/* Writes an entry of a worker. */
static void put_entry(const struct standin_worker *worker,
		      const struct entry *e)
{
	char *born = e->born_ms ? xasprintf(",\"born\":%u", e->born_ms)
				: xstrdup("");
	char *text = xasprintf(
		"{\"backend\":\"plain\",\"address\":\"%s\",\"zone\":\"z1\","
		"\"version\":\"v1\",\"slots\":16,\"state\":\"%s\","
		"\"sequence\":%u%s}",
		e->address ? e->address : worker->address, e->state,
		e->sequence, born);

	standin_put(world, "servers", worker->id, text);
	free(text);
	free(born);
}

static bool has_logged(void *arg)
{
	return proc_output_count(one.proc, arg) > 0;
}

/* Waits until the instance has applied all rows that were written so far. */
static void expect_read(void)
{
	static unsigned int number;
	struct standin_worker *mark =
		standin_add_worker(world, "engine", number++ % 2 ? "z1" : "z2");
	char *text = xasprintf("\"endpoint\":\"%s\"", mark->id);

	harness_until(harness, has_logged, text, text);
	free(text);
}

/* Sends bookings, which are tried once; returns how many were served. */
static size_t book_often(void)
{
	static unsigned int number;
	size_t served = 0;
	size_t i;

	for (i = 0; i < CALLS; i++) {
		char id[24];
		const struct httpc_header headers[] = {
			{ "credential", "k1" },
			{ "request-id", id },
			{ "deadline-ms", "900" },
		};
		const struct httpc_request r = {
			.method = "POST",
			.address = one.callers,
			.path = "/book/a",
			.headers = headers,
			.n_headers = N(headers),
			.body = "x",
			.body_len = 1,
		};
		struct answer a;

		snprintf(id, sizeof(id), "r-%u", ++number);
		harness_request(harness, &r, &a);
		served += a.status == 200;
		answer_release(&a);
	}
	return served;
}

/* Returns how many requests have run at a worker. */
static size_t n_runs(const struct standin_worker *worker)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < world->n_arrivals; i++)
		n += world->arrivals[i]->worker == worker &&
		     world->arrivals[i]->ran;
	return n;
}

/* Expects that bookings are served by the second worker alone. */
static void expect_first_unused(const char *when)
{
	size_t before = n_runs(first);

	assert_int_equal(book_often(), CALLS);
	if (n_runs(first) != before)
		fail_msg("%s: %zu requests at the leaving worker", when,
			 n_runs(first) - before);
}

/* A ready entry of a leaving worker's start comes late. */
static void late_entry_of_a_leaving_worker(void **state)
{
	static const struct entry leaving = { "draining", 1000, 8, NULL };
	static const struct entry late = { "ready", 1000, 7, NULL };

	(void)state;
	put_entry(first, &leaving);
	expect_read();
	expect_first_unused("it is leaving");
	put_entry(first, &late);
	expect_read();
	expect_first_unused("after the late entry");
}

/* The copy of the store has the ready entry of a worker that leaves. */
static void copy_with_a_leaving_worker(void **state)
{
	static const struct entry leaving = { "draining", 1000, 8, NULL };

	(void)state;
	standin_copy_store(world);
	put_entry(first, &leaving);
	expect_read();
	expect_first_unused("it is leaving");
	standin_restore_store(world);
	harness_until(harness, has_logged, "\"event\":\"store-era\"",
		      "the era is seen");
	expect_read();
	expect_first_unused("after the return from the copy");
}

/* The entry of an earlier start comes late, after an entry of another writer
 * without a start. */
static void late_entry_after_one_without_a_start(void **state)
{
	const char *gone = harness_address(harness);
	const struct entry restarted = { "ready", 3000, 1, NULL };
	const struct entry unknown = { "ready", 0, 1, NULL };
	const struct entry late = { "ready", 2000, 9, gone };

	(void)state;
	standin_remove(world, "servers", second->id);
	put_entry(first, &restarted);
	expect_read();
	put_entry(first, &unknown);
	expect_read();
	assert_int_equal(book_often(), CALLS);
	put_entry(first, &late);
	expect_read();
	assert_int_equal(book_often(), CALLS);
}

int main(void)
{
#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(late_entry_of_a_leaving_worker),
		CASE(copy_with_a_leaving_worker),
		CASE(late_entry_after_one_without_a_start),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
