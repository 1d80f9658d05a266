/*
 * An instance loses its path to all endpoints for seconds while the other
 * instances reach them: the streams that it has begun go on, it serves what
 * arrives, and later it reaches the endpoints directly again.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/lost_path.h"

/* Streams that have begun go on also if no other request shows that the path is
 * lost, before their attempts are used up. */
static void streams_alone_go_on(void **state)
{
	struct lost_path *rig = lost_path_get();
	const struct lost_path_case *c = *state;

	lost_path_warm_up();
	lost_path_begin_streams();
	lost_path_set_mode(c->mode);
	harness_until(rig->harness, path_callers_over, &rig->callers,
		      "all requests end");
	assert_int_equal(path_callers_report(&rig->callers), 0);
}

/* Starts all engines again with another version of their software. */
static void replace_version(struct standin_world *world)
{
	size_t i;

	for (i = 0; i < world->n_workers; i++) {
		struct standin_worker *w = &world->workers[i];

		if (strcmp(w->service, "engine") != 0)
			continue;
		standin_restart_worker(w, "v2");
		standin_put_worker_entry(w, "ready");
	}
}

/* Returns whether other instances have refused begun streams, as no endpoint runs
 * their version. */
static bool are_not_taken(void *unused)
{
	const struct lost_path *rig = lost_path_get();

	(void)unused;
	return proc_output_count(rig->instances[0].proc,
				 "\"event\":\"relay-not-taken\"") > 0;
}

/* Returns whether a stream has ended as no endpoint took it in time. */
static bool have_ended_early(void *unused)
{
	const struct lost_path *rig = lost_path_get();

	(void)unused;
	return proc_output_count(rig->instances[0].proc,
				 "\"no endpoint in time\"") > 0;
}

/* The software version of begun streams goes while the path is lost: once it is back
 * they do not wait for that version until their deadline. */
static void streams_whose_version_has_gone(void **state)
{
	struct lost_path *rig = lost_path_get();
	const struct lost_path_case *c = *state;

	lost_path_warm_up();
	lost_path_begin_streams();
	lost_path_set_mode(c->mode);
	replace_version(rig->world);
	harness_until(rig->harness, are_not_taken, NULL,
		      "begun streams are not taken");
	lost_path_set_mode("pass");
	harness_until(rig->harness, have_ended_early, NULL,
		      "streams end before their deadline");
	harness_until(rig->harness, path_callers_over, &rig->callers,
		      "all requests end");
}

int main(void)
{
	static const struct lost_path_case silent = { .mode = "hang" };
	static const struct lost_path_case reset = { .mode = "cut" };
	static const struct lost_path_case one_way = { .mode = "drop-down" };
	static const struct lost_path_case old_live = { .mode = "refuse" };
	const struct CMUnitTest tests[] = {
		LOST_PATH_PLAY(streams_whose_version_has_gone, &reset),
		LOST_PATH_TEST("silent", &silent),
		LOST_PATH_TEST("reset and refused", &reset),
		LOST_PATH_TEST("one way", &one_way),
		LOST_PATH_TEST("open connections live on", &old_live),
		LOST_PATH_PLAY(streams_alone_go_on, &one_way),
		LOST_PATH_PLAY(streams_alone_go_on, &silent),
	};

	return cmocka_run_group_tests_name("lost path", tests, NULL, NULL);
}
