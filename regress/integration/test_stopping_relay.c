/*
 * An instance that has lost its path to the endpoints is stopped, while another one
 * serves the streams that it has accepted and waits for the ends of their answers.
 * The other instances no longer tell the stopping one that they live.
 */
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/lost_path.h"

#define EVENTS_RELAYED 6 /* more than come before the cut */
#define SILENT_MS 1700 /* before the ends are known */
#define STOPPING_MS 1500 /* others that aren't heard of count as lost by then */
#define LOOKUPS 5
#define LOOKUP_BYTES 24

static bool all_have(int n_events)
{
	const struct path_callers *callers = &lost_path_get()->callers;
	size_t i;

	for (i = 0; i < callers->n; i++)
		if (callers->requests[i]->phase == PATH_BEGUN &&
		    path_count_events(callers->requests[i]) < n_events)
			return false;
	return true;
}

static bool all_are_relayed(void *arg)
{
	(void)arg;
	return all_have(EVENTS_RELAYED);
}

static bool all_have_their_events(void *arg)
{
	(void)arg;
	return all_have(STANDIN_EVENTS);
}

static void ends_of_relayed_streams_are_awaited(void **state)
{
	struct lost_path *rig = lost_path_get();
	size_t i;

	(void)state;
	lost_path_warm_up();
	for (i = 0; i < rig->world->n_workers; i++)
		rig->world->workers[i].streams_unframed = true;
	lost_path_begin_streams();
	lost_path_set_mode("cut");
	harness_until(rig->harness, all_are_relayed, NULL,
		      "the streams are relayed");
	for (i = 0; i < rig->world->n_workers; i++)
		rig->world->workers[i].holds_reports = true;
	proc_signal(rig->instances[0].proc, SIGTERM);
	harness_until(rig->harness, all_have_their_events, NULL,
		      "all events have come");
	harness_run(rig->harness, SILENT_MS);
	for (i = 0; i < rig->world->n_workers; i++)
		rig->world->workers[i].holds_reports = false;
	harness_until(rig->harness, path_callers_over, &rig->callers,
		      "all requests end");
	assert_int_equal(path_callers_report(&rig->callers), 0);
}

/* Requests that come while the instance stops are relayed too. */
static void requests_of_a_stopping_instance_are_relayed(void **state)
{
	struct lost_path *rig = lost_path_get();
	struct path_request *lookups[LOOKUPS];
	size_t i;

	(void)state;
	lost_path_warm_up();
	lost_path_begin_streams();
	lost_path_set_mode("cut");
	harness_until(rig->harness, all_are_relayed, NULL,
		      "the streams are relayed");
	proc_signal(rig->instances[0].proc, SIGTERM);
	harness_run(rig->harness, STOPPING_MS);
	for (i = 0; i < LOOKUPS; i++)
		lookups[i] = path_send(&rig->callers, PATH_LOOK, PATH_STOPPING,
				       true, LOOKUP_BYTES);
	harness_until(rig->harness, path_callers_over, &rig->callers,
		      "all requests end");
	assert_int_equal(path_callers_report(&rig->callers), 0);
	for (i = 0; i < LOOKUPS; i++)
		assert_true(path_is_whole(lookups[i]));
}

int main(void)
{
	static const struct lost_path_case alone = { .mode = "cut" };
	const struct CMUnitTest tests[] = {
		LOST_PATH_PLAY(ends_of_relayed_streams_are_awaited, &alone),
		LOST_PATH_PLAY(requests_of_a_stopping_instance_are_relayed,
			       &alone),
	};

	return cmocka_run_group_tests_name("stopping relay", tests, NULL, NULL);
}
