#ifndef REGRESS_LOST_PATH_H
#define REGRESS_LOST_PATH_H

#include <stdbool.h>
#include <stddef.h>

#include "regress/path_callers.h"
#include "regress/platform_standin.h"

/* Three instances, one of which reaches the endpoints through a fault proxy only,
 * and callers of that one while the proxy cuts it off. */

#define LOST_PATH_INSTANCES 3

/* What else happens while the path is cut. */
enum lost_path_beside {
	LOST_PATH_ALONE,
	LOST_PATH_CHANGES, /* of the configuration, in series */
	LOST_PATH_STOP, /* SIGTERM of the instance that is cut off */
};

struct lost_path_case {
	const char *mode; /* of the fault proxy during the cut */
	enum lost_path_beside beside;
	bool default_repeats; /* repeats are limited as by default */
};

/* What a test of its own plays on. */
struct lost_path {
	struct harness *harness;
	struct standin_world *world;
	/* the first one is behind the fault proxy */
	struct standin_instance instances[LOST_PATH_INSTANCES];
	struct path_callers callers; /* of the first one */
};

int lost_path_set_up(void **state);
int lost_path_tear_down(void **state);
void lost_path_run(void **state);
struct lost_path *lost_path_get(void);
void lost_path_wait_direct(enum path_phase phase);
void lost_path_warm_up(void);
void lost_path_begin_streams(void);
void lost_path_set_mode(const char *mode);
void lost_path_drop_routes(void);
void lost_path_shorten_routes(unsigned int timeout_ms);

/* A cmocka test of a case. */
#define LOST_PATH_TEST(name, case)                                            \
	{                                                                     \
		(name), lost_path_run, lost_path_set_up, lost_path_tear_down, \
			(void *)(uintptr_t)(case)                             \
	}

/* A cmocka test that plays on its own. */
#define LOST_PATH_PLAY(function, case)                                        \
	{                                                                     \
#function, (function), lost_path_set_up, lost_path_tear_down, \
			(void *)(uintptr_t)(case)                             \
	}

#endif /* REGRESS_LOST_PATH_H */
