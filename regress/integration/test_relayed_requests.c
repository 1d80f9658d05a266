/*
 * Requests that an instance relays to another one while it has no path to the
 * endpoints, and requests that it must not relay.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/http1_client.h"
#include "lib/xalloc.h"
#include "regress/lost_path.h"

#define BODY_BYTES 24
#define EVENT_BYTES 200000
#define SLOW_ANSWER_MS 350
#define BURSTS 6
#define BURST_REQUESTS 10
#define BETWEEN_BURSTS_MS 350
#define ATTEMPTS 2 /* of the idempotent route */
#define LONG_WORK_MS 2000
#define CALLS 12
#define RELAYS_SETTLE_MS 200
#define MANY_CALLS 60
#define CUT_MS 2000
#define SHORT_TIMEOUT_MS 300 /* two events take as long */
#define DENIED "\"allowed\":false"
#define SLOW_CALLERS 4
#define PAUSE_MS 6000 /* for so long they do not read */

/* Returns how many lines of an instance's log have all of the texts; NULL stands
 * for a text that every line has. */
static size_t count_lines(const struct standin_instance *in, const char *event,
			  const char *id, const char *text)
{
	char *output = proc_output(in->proc);
	char *event_part = xasprintf("\"event\":\"%s\"", event);
	char *id_part = id ? xasprintf("\"request\":\"%s\"", id) : xstrdup("");
	char *rest = output;
	char *line;
	size_t n = 0;

	while ((line = strsep(&rest, "\n")))
		n += strstr(line, event_part) && strstr(line, id_part) &&
		     strstr(line, text ? text : "");
	free(id_part);
	free(event_part);
	free(output);
	return n;
}

/* Returns whether all requests from the given one on have an answer's head. */
static bool have_heads(void *first)
{
	const struct path_callers *c = &lost_path_get()->callers;
	size_t i;

	for (i = *(const size_t *)first; i < c->n; i++)
		if (!c->requests[i]->status && !c->requests[i]->over_ms)
			return false;
	return true;
}

/* Sends requests of one kind, on new connections; returns the number of the
 * first one. */
static size_t send_requests(enum path_kind kind, enum path_phase phase,
			    size_t n)
{
	struct path_callers *c = &lost_path_get()->callers;
	size_t first = c->n;

	while (c->n < first + n)
		path_send(c, kind, phase, false, BODY_BYTES);
	return first;
}

static void wait_over(void)
{
	struct lost_path *l = lost_path_get();

	harness_until(l->harness, path_callers_over, &l->callers,
		      "all requests end");
}

/* Prints how the requests from the given one on ended; returns how many did not
 * get a whole answer. */
static size_t report_from(size_t first)
{
	const struct path_callers *c = &lost_path_get()->callers;
	size_t broken = 0;
	size_t i;

	for (i = first; i < c->n; i++) {
		const struct path_request *r = c->requests[i];

		if (path_is_whole(r))
			continue;
		broken++;
		print_message("%s: status %d, %zu bytes, %d events, %s\n",
			      r->id, r->status, r->body.len,
			      path_count_events(r),
			      http1_outcome_name(r->outcome));
	}
	return broken;
}

/* A relayed stream was not read again after its caller had paused. */
static void slow_caller_of_a_relayed_stream(void **state)
{
	struct lost_path *l = lost_path_get();
	struct path_request **requests = l->callers.requests;
	size_t first;
	size_t i;

	(void)state;
	lost_path_warm_up();
	l->world->event_padding = EVENT_BYTES;
	lost_path_set_mode("cut");
	first = send_requests(PATH_STREAM, PATH_LATE, SLOW_CALLERS);
	harness_until(l->harness, have_heads, &first, "the streams begin");
	for (i = first; i < l->callers.n; i++)
		if (!requests[i]->over_ms)
			http1_call_pause(requests[i]->call, true);
	harness_run(l->harness, PAUSE_MS);
	for (i = first; i < l->callers.n; i++)
		if (!requests[i]->over_ms)
			http1_call_pause(requests[i]->call, false);
	wait_over();
	assert_int_equal(report_from(first), 0);
	for (i = first; i < l->callers.n; i++)
		assert_true(count_lines(&l->instances[0], "relayed",
					requests[i]->id, NULL) > 0);
}

/* Sets for how long the plain endpoints are silent before they answer. */
static void set_silence(unsigned int ms)
{
	struct standin_world *w = lost_path_get()->world;
	size_t i;

	for (i = 0; i < w->n_workers; i++)
		if (!strcmp(w->workers[i].service, "plain"))
			w->workers[i].silent_ms = ms;
}

/* Prints the requests from the given one on that reached endpoints more often
 * than allowed; returns how many did. */
static size_t report_runs_over(size_t first, unsigned int most)
{
	const struct path_callers *c = &lost_path_get()->callers;
	size_t bad = 0;
	size_t i;

	for (i = first; i < c->n; i++) {
		unsigned int runs = path_count_runs(c->requests[i]);

		if (runs <= most)
			continue;
		bad++;
		print_message("%s: status %d, %u runs of %u\n",
			      c->requests[i]->id, c->requests[i]->status, runs,
			      most);
	}
	return bad;
}

/* Endpoints that were slow to answer bursts were taken for a lost path, and the
 * requests that ran there were repeated over other instances. */
static void slow_endpoints_are_no_lost_path(void **state)
{
	struct lost_path *l = lost_path_get();
	size_t lost = 0;
	size_t repeated;
	size_t first;
	size_t i;

	(void)state;
	lost_path_warm_up();
	set_silence(SLOW_ANSWER_MS);
	first = l->callers.n;
	for (i = 0; i < BURSTS; i++) {
		send_requests(PATH_LOOK, PATH_BEFORE, BURST_REQUESTS);
		wait_over();
		harness_run(l->harness, BETWEEN_BURSTS_MS);
	}
	repeated = report_runs_over(first, 1);
	for (i = 0; i < LOST_PATH_INSTANCES; i++)
		lost += count_lines(&l->instances[i], "path-lost", NULL, NULL);
	print_message("%zu path-lost, %zu relayed, %zu of %zu repeated\n", lost,
		      count_lines(&l->instances[0], "relayed", NULL, NULL),
		      repeated, l->callers.n - first);
	assert_int_equal(report_from(first), 0);
	assert_int_equal(lost, 0);
	assert_int_equal(repeated, 0);
}

/* Returns whether all requests from the given one on run at endpoints. */
static bool all_run(void *first)
{
	const struct path_callers *c = &lost_path_get()->callers;
	size_t i;

	for (i = *(const size_t *)first; i < c->n; i++)
		if (!path_count_runs(c->requests[i]))
			return false;
	return true;
}

/* Returns an instance through which requests that were repeated run, from the
 * given one on; NULL: none. */
static struct standin_instance *find_relaying(size_t first)
{
	struct lost_path *l = lost_path_get();
	const struct path_callers *c = &l->callers;
	size_t i;

	for (i = first; i < c->n; i++) {
		if (path_count_runs(c->requests[i]) < ATTEMPTS)
			continue;
		if (count_lines(&l->instances[0], "relayed", c->requests[i]->id,
				"\"to\":\"two\""))
			return &l->instances[1];
		if (count_lines(&l->instances[0], "relayed", c->requests[i]->id,
				"\"to\":\"three\""))
			return &l->instances[2];
	}
	return NULL;
}

static bool is_any_relayed(void *first)
{
	return find_relaying(*(const size_t *)first) != NULL;
}

/* Requests that had been lost at an endpoint and then at another instance were
 * repeated once more. */
static void attempts_over_relays(void **state)
{
	struct lost_path *l = lost_path_get();
	size_t first;

	(void)state;
	lost_path_warm_up();
	set_silence(LONG_WORK_MS);
	first = send_requests(PATH_LOOK, PATH_EARLY, CALLS);
	harness_until(l->harness, all_run, &first, "the calls run");
	lost_path_set_mode("cut");
	harness_until(l->harness, is_any_relayed, &first, "calls are relayed");
	harness_run(l->harness, RELAYS_SETTLE_MS);
	proc_kill(find_relaying(first)->proc);
	wait_over();
	assert_int_equal(report_runs_over(first, ATTEMPTS), 0);
}

/* Calls whose repeat was denied asked for it again in every tick until their
 * deadline. */
static void calls_in_flight_without_repeats(void **state)
{
	struct lost_path *l = lost_path_get();
	const struct path_callers *c = &l->callers;
	size_t whole = 0;
	size_t denied = 0; /* lines */
	size_t unended = 0;
	size_t asked_again = 0;
	size_t first;
	size_t i;

	(void)state;
	lost_path_warm_up();
	set_silence(LONG_WORK_MS);
	first = send_requests(PATH_LOOK, PATH_EARLY, MANY_CALLS);
	harness_until(l->harness, all_run, &first, "the calls run");
	lost_path_set_mode("hang");
	set_silence(0);
	wait_over();
	for (i = first; i < c->n; i++) {
		const struct path_request *r = c->requests[i];
		size_t n =
			count_lines(&l->instances[0], "repeat", r->id, DENIED);

		whole += path_is_whole(r);
		unended += r->outcome != HTTP1_COMPLETE;
		asked_again += n > 1;
		denied += n;
	}
	print_message("%d calls: %zu whole, %zu without an end, %zu denied a "
		      "repeat again, %zu denials\n",
		      MANY_CALLS, whole, unended, asked_again, denied);
	assert_int_equal(unended, 0);
	assert_int_equal(asked_again, 0);
}

/* Streams that have begun outlast the 404 of the other instances, whose
 * configuration has their route no more. */
static void route_dropped_elsewhere(void **state)
{
	struct lost_path *l = lost_path_get();
	size_t first;

	(void)state;
	lost_path_warm_up();
	first = l->callers.n;
	lost_path_begin_streams();
	lost_path_set_mode("cut");
	lost_path_drop_routes();
	harness_run(l->harness, CUT_MS);
	lost_path_set_mode("pass");
	wait_over();
	assert_int_equal(report_from(first), 0);
}

/* Returns whether the other instances have a third configuration or a later one. */
static bool have_shorter_routes(void *unused)
{
	size_t n = 0;
	size_t i;

	(void)unused;
	for (i = 1; i < LOST_PATH_INSTANCES; i++)
		n += count_lines(&lost_path_get()->instances[i],
				 "configuration", NULL, "\"version\":3") > 0;
	return n == LOST_PATH_INSTANCES - 1;
}

/* Streams that have begun outlast a shorter time limit of their route, under which
 * the other instances get them: the one that came with them counts. */
static void route_shortened_elsewhere(void **state)
{
	struct lost_path *l = lost_path_get();
	size_t first;

	(void)state;
	lost_path_warm_up();
	first = l->callers.n;
	lost_path_begin_streams();
	lost_path_shorten_routes(SHORT_TIMEOUT_MS);
	harness_until(l->harness, have_shorter_routes, NULL,
		      "the others have the configuration");
	lost_path_set_mode("cut");
	wait_over();
	assert_int_equal(report_from(first), 0);
}

int main(int argc, char **argv)
{
	static const struct lost_path_case limited = { .default_repeats =
							       true };
	const struct CMUnitTest tests[] = {
		LOST_PATH_PLAY(slow_caller_of_a_relayed_stream, NULL),
		LOST_PATH_PLAY(slow_endpoints_are_no_lost_path, NULL),
		LOST_PATH_PLAY(attempts_over_relays, NULL),
		LOST_PATH_PLAY(calls_in_flight_without_repeats, &limited),
		LOST_PATH_PLAY(route_dropped_elsewhere, NULL),
		LOST_PATH_PLAY(route_shortened_elsewhere, NULL),
	};

	if (argc > 1) /* one case */
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests_name("relayed requests", tests, NULL,
					   NULL);
}
