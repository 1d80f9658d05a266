/*
 * Each request ends in one way that is counted, and an end without an answer names
 * its excuse: a loss is not taken for any other failure.
 */
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "policy/request_end.h"
#include "regress/platform_standin.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
/* A stream takes 6 s, longer than the grace time and the short deadline. */
#define EVENT_MS 200
#define LONG_MS "15000"
#define SHORT_MS "900"
/* A stream that may not go on elsewhere. */
#define ROUTE_ONCE                                                      \
	"{\"name\":\"once\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":" \
	"\"/once/\",\"routeType\":\"streaming\",\"timeoutMs\":20000,"   \
	"\"targetLatencyMs\":4500,\"targetGapMs\":700,\"backend\":"     \
	"\"engine\",\"maxAttempts\":5}"

/* What happens to a request once its stream has begun. */
enum event {
	EVENT_NONE,
	EVENT_CALLER_LEAVES,
	EVENT_ENGINE_KILLED,
	EVENT_INSTANCE_STOPS,
};

struct end_case {
	const char *what;
	const char *path;
	const char *deadline_ms;
	uint64_t event_ms;
	bool begins; /* a stream does, and the event is after that */
	enum event event;
	enum request_end end;
};

static const struct end_case cases[] = {
	{ .what = "a whole stream",
	  .path = "/write/a",
	  .deadline_ms = LONG_MS,
	  .event_ms = STANDIN_EVENT_MS,
	  .begins = true,
	  .end = REQUEST_END_ANSWERED },
	{ .what = "a service without endpoints",
	  .path = "/look/a",
	  .deadline_ms = LONG_MS,
	  .end = REQUEST_END_REFUSED },
	{ .what = "a path without a route",
	  .path = "/nowhere",
	  .deadline_ms = LONG_MS,
	  .end = REQUEST_END_FAILED },
	{ .what = "its caller leaves",
	  .path = "/write/a",
	  .deadline_ms = LONG_MS,
	  .event_ms = EVENT_MS,
	  .begins = true,
	  .event = EVENT_CALLER_LEAVES,
	  .end = REQUEST_END_CALLER_LEFT },
	{ .what = "its deadline comes",
	  .path = "/write/a",
	  .deadline_ms = SHORT_MS,
	  .event_ms = EVENT_MS,
	  .begins = true,
	  .end = REQUEST_END_OUT_OF_TIME },
	{ .what = "its engine is killed, and it may not go on elsewhere",
	  .path = "/once/a",
	  .deadline_ms = LONG_MS,
	  .event_ms = EVENT_MS,
	  .begins = true,
	  .event = EVENT_ENGINE_KILLED,
	  .end = REQUEST_END_BROKEN_OFF },
	{ .what = "the grace time of its instance ends",
	  .path = "/write/a",
	  .deadline_ms = LONG_MS,
	  .event_ms = EVENT_MS,
	  .begins = true,
	  .event = EVENT_INSTANCE_STOPS,
	  .end = REQUEST_END_GRACE_OVER },
};

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;

static void start(const struct end_case *c)
{
	harness = harness_new();
	world = standin_new(harness);
	if (c->event_ms)
		world->event_ms = c->event_ms;
	standin_init_instance(world, &one, "one", NULL);
	standin_add_worker(world, "engine", "z1");
	standin_put_configuration(world, 2, ROUTE_ONCE);
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
}

static void stop(void)
{
	proc_kill(one.proc);
	standin_free(world);
	harness_free(harness);
}

static struct stream_reader *ask(const struct end_case *c)
{
	const struct httpc_header headers[] = {
		{ "credential", "k1" },
		{ "request-id", "r-1" },
		{ "token-usage", "10,10" },
		{ "deadline-ms", c->deadline_ms },
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = one.callers,
		.path = c->path,
		.headers = headers,
		.n_headers = N(headers),
		.body = "x",
		.body_len = 1,
	};

	return stream_open(harness, &r);
}

static bool is_over(void *arg)
{
	(void)arg;
	return proc_output_count(one.proc, "\"event\":\"over\"") > 0;
}

/* Returns the value of a series in the text of the counters, 0 if it has none. */
static double value_of(const char *text, const char *series)
{
	const char *line = strstr(text, series);

	return line ? strtod(line + strlen(series), NULL) : 0;
}

/* Checks that the one request is counted under its end and no other. */
static void check_counts(const struct end_case *c)
{
	enum request_end end;
	struct answer a;

	harness_call(harness, "GET", one.metrics, "/metrics", NULL, &a);
	assert_int_equal(a.status, 200);
	for (end = REQUEST_END_ANSWERED; end <= REQUEST_END_UNEXCUSED; end++) {
		char *series = xasprintf("cdm_request_ends_total{end=\"%s\"} ",
					 request_end_name(end));

		assert_non_null(strstr(a.body, series));
		assert_int_equal((int)value_of(a.body, series), end == c->end);
		free(series);
	}
	assert_int_equal((int)value_of(a.body, "cdm_unattended_requests_total{"
					       "kind=\"all\"} "),
			 0);
	answer_release(&a);
}

/* Checks that an end without an answer, and no other, is logged with its name. */
static void check_log(const struct end_case *c)
{
	char *end = xasprintf("\"end\":\"%s\"", request_end_name(c->end));
	bool answered = request_end_is_answered(c->end);

	assert_int_equal(proc_output_count(one.proc,
					   "\"event\":\"unanswered\""),
			 !answered);
	assert_int_equal(proc_output_count(one.proc, end), !answered);
	free(end);
}

static void request_ends(void **state)
{
	const struct end_case *c = *state;
	struct stream_reader *s;

	start(c);
	s = ask(c);
	if (c->begins)
		stream_wait_events(s, 1);
	switch (c->event) {
	case EVENT_NONE:
		break;
	case EVENT_CALLER_LEAVES:
		stream_close(s);
		s = NULL;
		break;
	case EVENT_ENGINE_KILLED:
		standin_kill_worker(&world->workers[0]);
		break;
	case EVENT_INSTANCE_STOPS:
		proc_signal(one.proc, SIGTERM);
		break;
	}
	if (s) {
		stream_wait_end(s);
		stream_close(s);
	}
	harness_until(harness, is_over, NULL, "the request is over");
	if (c->event == EVENT_INSTANCE_STOPS)
		proc_wait(one.proc);
	else
		check_counts(c);
	check_log(c);
	stop();
}

int main(void)
{
	struct CMUnitTest tests[N(cases)];
	size_t i;

	for (i = 0; i < N(cases); i++)
		tests[i] = (struct CMUnitTest){
			.name = cases[i].what,
			.test_func = request_ends,
			.initial_state = (void *)&cases[i],
		};
	return cmocka_run_group_tests_name("ends of requests", tests, NULL,
					   NULL);
}
