/*
 * Measures how many answers without a length are lost whose endpoint leaves and
 * exits a given time after their last bytes, answering questions meanwhile or
 * silent, or is killed as it writes a part of them, and how many of these parts are
 * taken for whole.
 * usage: bench_leaving [ROUNDS [ROUTE REQUESTS EXIT-MS|killed|silent]]
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
#include "regress/leaving_endpoint.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))

#define SILENT_MS 1200 /* before the exit */
#define WATCH_MS 100 /* before the last bytes */

static int n_args;
static char **args;

/* Measures a row of the table: so many rounds of a case. */
static void measure(const char *route, const char *requests, const char *exits,
		    unsigned long rounds)
{
	char *target = xasprintf("/%s/a", route);
	bool silent = !strcmp(exits, "silent");
	const struct leaving_case c = {
		.target = target,
		.n = strtoul(requests, NULL, 10),
		.notice = NOTICE_ENTRY,
		.exit = silent			  ? EXIT_SILENT
			: strcmp(exits, "killed") ? EXIT_LATER
						  : EXIT_KILLED_WRITING,
		.exit_ms = silent ? SILENT_MS
				  : (unsigned int)strtoul(exits, NULL, 10),
		.begun = silent,
		.watch_ms = silent ? WATCH_MS : 0,
	};
	struct leaving_result result = { .attempts = 0 };
	unsigned long i;
	unsigned int end;

	for (i = 0; i < rounds; i++)
		leaving_play(&c, &result);
	if (c.exit == EXIT_LATER)
		printf("leaving_%s_%s_exit_%s_held %.2f ms\n", route, requests,
		       exits, result.held_ms / (double)rounds);
	for (end = 0; end < LEAVING_ENDS; end++)
		if (result.ends[end])
			printf("leaving_%s_%s_exit_%s_%s %zu answers\n", route,
			       requests, exits, leaving_end_name(end),
			       result.ends[end]);
	fflush(stdout);
	free(target);
}

static void bench(void **state)
{
	static const char *const routes[] = { "write", "once", "single", "pay",
					      "order" };
	static const char *const requests[] = { "1", "30" };
	static const char *const exits[] = { "0",   "1",      "5",     "20",
					     "100", "killed", "silent" };
	unsigned long rounds = n_args > 1 ? strtoul(args[1], NULL, 10) : 1;
	size_t i;

	(void)state;
	if (n_args == 5) {
		measure(args[2], args[3], args[4], rounds);
		return;
	}
	for (i = 0; i < N(routes) * N(requests) * N(exits); i++)
		measure(routes[i / N(exits) / N(requests)],
			requests[i / N(exits) % N(requests)],
			exits[i % N(exits)], rounds);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(bench) };

	n_args = argc;
	args = argv;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
