/*
 * Requests that arrive, or wait, during a planned stop: what may not run again,
 * and what came late, is sent on only if its own time limit ends it before the
 * grace time does.  What is refused has not run.
 */
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/platform_standin.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define GRACE_S 8
#define LATE_MS 3000 /* after the signal */
#define ALL_TOKENS "20000,34990" /* of an engine */

#define ROUTE(name, type, service)                                            \
	"{\"name\":\"" name "\",\"hostname\":\"127.0.0.1\","                  \
	"\"pathPrefix\":\"/" name "/\",\"routeType\":\"" type "\","           \
	"\"timeoutMs\":20000,\"targetLatencyMs\":9000,\"backend\":\"" service \
	"\",\"maxAttempts\":2}"

struct late_case {
	const char *what;
	const char *path;
	const char *deadline_ms; /* NULL: none */
	bool late;
	bool sent; /* to an endpoint */
	int status; /* 0: not awaited */
};

static const struct late_case cases[] = {
	{ "runs once, no deadline", "/once/a", NULL, false, false, 503 },
	{ "runs once, long deadline", "/once/b", "15000", false, false, 503 },
	{ "runs once, short deadline", "/once/c", "700", false, true, 504 },
	{ "stream that may not resume", "/flow/a", NULL, false, false, 503 },
	{ "may be repeated", "/many/a", NULL, false, true, 0 },
	{ "late, runs once", "/once/d", "15000", true, false, 503 },
	{ "late, runs once, short deadline", "/once/e", "700", true, true,
	  504 },
	{ "late, may be repeated", "/many/b", NULL, true, false, 503 },
	{ "late, may be repeated, short deadline", "/many/c", "700", true, true,
	  504 },
};

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	world->grace_s = GRACE_S;
	standin_init_instance(world, &one, "one", NULL);
	standin_add_worker(world, "plain", "z1");
	standin_add_worker(world, "engine", "z1");
	standin_put_configuration(
		world, 2,
		ROUTE("once", "non_idempotent", "plain") "," ROUTE(
			"many", "idempotent",
			"plain") "," ROUTE("flow", "streaming", "engine"));
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

static struct stream_reader *ask(const char *path, const char *deadline_ms,
				 const char *tokens)
{
	struct httpc_header headers[] = {
		{ "credential", "k1" },
		{ "request-id", path },
		{ "token-usage", tokens },
		{ "deadline-ms", deadline_ms },
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = one.callers,
		.path = path,
		.headers = headers,
		.n_headers = N(headers) - !deadline_ms,
		.body = "x",
		.body_len = 1,
	};

	return stream_open(harness, &r);
}

static bool has_arrived(void *path)
{
	size_t i;

	for (i = 0; i < world->n_arrivals; i++)
		if (!strcmp(world->arrivals[i]->target, path))
			return true;
	return false;
}

static bool has_logged(void *text)
{
	return proc_output_count(one.proc, text) > 0;
}

static void stop(void)
{
	proc_signal(one.proc, SIGTERM);
	harness_until(harness, has_logged, "\"event\":\"stopping\"",
		      "the process is stopping");
}

/* Sends the requests of all cases that are late, or of all others, at once and
 * adds up those that did not go as they should. */
static unsigned int run_cases(bool late)
{
	struct stream_reader *s[N(cases)] = { 0 };
	unsigned int wrong = 0;
	size_t i;

	for (i = 0; i < N(cases); i++)
		if (cases[i].late == late)
			s[i] = ask(cases[i].path, cases[i].deadline_ms,
				   "10,10");
	for (i = 0; i < N(cases); i++) {
		const struct late_case *c = &cases[i];

		if (!s[i])
			continue;
		if (c->status)
			stream_wait_end(s[i]);
		else
			harness_until(harness, has_arrived, (void *)c->path,
				      c->what);
		if (stream_status(s[i]) != c->status ||
		    has_arrived((void *)c->path) != c->sent) {
			print_message("%s: status %d, %s\n", c->what,
				      stream_status(s[i]),
				      has_arrived((void *)c->path)
					      ? "sent"
					      : "not sent");
			wrong++;
		}
		stream_close(s[i]);
	}
	return wrong;
}

/* No request that may be cut by the end of the stop is taken, though each is
 * expected to be short. */
static void check_arrivals(bool late)
{
	struct stream_reader *open;

	world->workers[0].behaviour = STANDIN_SILENT;
	world->workers[1].behaviour = STANDIN_SILENT;
	open = ask("/many/open", NULL, "10,10"); /* keeps the process up */
	harness_until(harness, has_arrived, "/many/open", "a request runs");
	stop();
	if (late)
		harness_run(harness, LATE_MS);
	assert_int_equal(run_cases(late), 0);
	stream_close(open);
}

static void early_arrivals(void **state)
{
	(void)state;
	check_arrivals(false);
}

static void late_arrivals(void **state)
{
	(void)state;
	check_arrivals(true);
}

/* A stream that may run once and waits for room when the process is stopped is
 * refused, and not sent late in the grace time. */
static void waits_when_the_stop_begins(void **state)
{
	struct stream_reader *full;
	struct stream_reader *s;

	(void)state;
	world->workers[1].behaviour = STANDIN_SILENT;
	full = ask("/flow/full", NULL, ALL_TOKENS);
	harness_until(harness, has_arrived, "/flow/full", "a stream runs");
	s = ask("/flow/waiting", NULL, "10,10");
	harness_until(harness, has_logged, "\"event\":\"waits\"",
		      "a stream waits");
	stop();
	stream_close(full);
	stream_wait_end(s);
	assert_int_equal(stream_status(s), 503);
	assert_false(has_arrived("/flow/waiting"));
	stream_close(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(early_arrivals, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(late_arrivals, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(waits_when_the_stop_begins,
						set_up, tear_down),
	};

	return cmocka_run_group_tests_name("late requests", tests, NULL, NULL);
}
