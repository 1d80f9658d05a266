/*
 * An engine that no stream is at starts again under its id with another software
 * version, and its entry is the old one for some time: no stream holds events of
 * two versions.
 */
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
#define STREAMS 12
#define EVENT_MS 60
#define EVENTS_BEFORE 10 /* received before the entry changes */

/* Returns whether all events of a stream are of one version. */
static bool is_of_one_version(const struct stream_reader *s)
{
	const char *first = strchr(stream_event_at(s, 0)->data, ' ');
	size_t i;

	for (i = 1; i < stream_n_events(s); i++)
		if (strcmp(strchr(stream_event_at(s, i)->data, ' '), first) !=
		    0)
			return false;
	return true;
}

static void unseen_start(void **state)
{
	struct harness *h = harness_new();
	struct standin_world *world = standin_new(h);
	struct stream_reader *streams[STREAMS];
	struct standin_instance in;
	size_t mixed = 0;
	size_t i;

	(void)state;
	world->event_ms = EVENT_MS;
	for (i = 0; i < 4; i++) {
		struct standin_worker *w =
			standin_add_worker(world, "engine", "z1");

		w->version = i < 2 ? "v1" : "v2";
		standin_put_worker_entry(w, "ready");
	}
	standin_put_configuration(world, 2, NULL);
	standin_init_instance(world, &in, "one", NULL);
	standin_start_instance(world, &in);
	standin_wait_status(world, in.readiness, "/readyz", 200);
	standin_restart_worker(&world->workers[0], "v2");
	for (i = 0; i < STREAMS; i++) {
		char id[16];
		const struct httpc_header headers[] = {
			{ "credential", "k1" },
			{ "request-id", id },
			{ "deadline-ms", "15000" },
			{ "token-usage", "300,100" },
		};
		const struct httpc_request r = {
			.method = "POST",
			.address = in.callers,
			.path = "/write/a",
			.headers = headers,
			.n_headers = N(headers),
			.body = id,
			.body_len = 4,
		};

		snprintf(id, sizeof(id), "s-%02zu", i);
		streams[i] = stream_open(h, &r);
	}
	for (i = 0; i < STREAMS; i++)
		stream_wait_events(streams[i], EVENTS_BEFORE);
	standin_put_worker_entry(&world->workers[0], "ready");
	for (i = 0; i < STREAMS; i++) {
		stream_wait_end(streams[i]);
		mixed += !is_of_one_version(streams[i]);
		stream_close(streams[i]);
	}
	print_message("%zu of %d streams hold two versions\n", mixed, STREAMS);
	assert_int_equal(mixed, 0);
	proc_kill(in.proc);
	standin_free(world);
	harness_free(h);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(unseen_start),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
