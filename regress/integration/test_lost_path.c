/*
 * An instance loses its path to all endpoints for seconds while the other
 * instances reach them: the streams that it has begun go on, it serves what
 * arrives, and later it reaches the endpoints directly again.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

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

int main(void)
{
	static const struct lost_path_case silent = { .mode = "hang" };
	static const struct lost_path_case reset = { .mode = "cut" };
	static const struct lost_path_case one_way = { .mode = "drop-down" };
	static const struct lost_path_case old_live = { .mode = "refuse" };
	const struct CMUnitTest tests[] = {
		LOST_PATH_TEST("silent", &silent),
		LOST_PATH_TEST("reset and refused", &reset),
		LOST_PATH_TEST("one way", &one_way),
		LOST_PATH_TEST("open connections live on", &old_live),
		LOST_PATH_PLAY(streams_alone_go_on, &one_way),
		LOST_PATH_PLAY(streams_alone_go_on, &silent),
	};

	return cmocka_run_group_tests_name("lost path", tests, NULL, NULL);
}
