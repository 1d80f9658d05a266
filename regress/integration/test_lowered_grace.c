/*
 * A reload during a planned stop, whose settings have a lower grace time, cuts no
 * stream that was accepted before it.
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

#define GRACE_S 8
#define EVENT_MS \
	100 /* the stream takes 3 s, longer than the lowered grace time */
#define GRACE_LINE "grace_s = "

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	world->grace_s = GRACE_S;
	world->event_ms = EVENT_MS;
	standin_init_instance(world, &one, "one", NULL);
	standin_add_worker(world, "engine", "z1");
	standin_put_configuration(world, 2, NULL);
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

static bool has_logged(void *text)
{
	return proc_output_count(one.proc, text) > 0;
}

/* Lowers the grace time in the settings file to 2 s. */
static void lower_grace(void)
{
	FILE *f = fopen(one.settings, "r+");
	char line[256];
	long at = 0;

	assert_non_null(f);
	while (fgets(line, sizeof(line), f) &&
	       strncmp(line, GRACE_LINE, strlen(GRACE_LINE)) != 0)
		at = ftell(f);
	fseek(f, at + (long)strlen(GRACE_LINE), SEEK_SET);
	fputc('2', f);
	fclose(f);
}

static void stream_is_not_cut(void **state)
{
	struct httpc_header headers[] = {
		{ "credential", "k1" },
		{ "request-id", "r1" },
		{ "token-usage", "10,10" },
		{ "deadline-ms", "6000" },
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = one.callers,
		.path = "/write/a",
		.headers = headers,
		.n_headers = sizeof(headers) / sizeof(headers[0]),
		.body = "x",
		.body_len = 1,
	};
	struct stream_reader *s = stream_open(harness, &r);

	(void)state;
	stream_wait_events(s, 1);
	proc_signal(one.proc, SIGTERM);
	harness_until(harness, has_logged, "\"event\":\"stopping\"",
		      "the process is stopping");
	lower_grace();
	proc_signal(one.proc, SIGHUP);
	harness_until(harness, has_logged, "\"event\":\"reload\"",
		      "the settings are reloaded");
	stream_wait_end(s);
	assert_int_equal(stream_n_events(s), STANDIN_EVENTS);
	assert_int_equal(stream_outcome(s), HTTPC_OK);
	stream_close(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(stream_is_not_cut, set_up,
						tear_down),
	};

	return cmocka_run_group_tests_name("lowered grace time", tests, NULL,
					   NULL);
}
