/*
 * Goodput under overload, with real processes: callers that obey Retry-After at
 * 1, 2 and 5 times the slots of the engines, and an organisation that overloads
 * the service next to one that does not.  Prints `name value unit`.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "regress/harness_fleet.h"

#define ENGINES 4
#define SLOTS 8
#define CAPACITY (ENGINES * SLOTS)
#define LOAD_MS "8000"

static struct harness *h;
static struct fleet *f;

/* Starts cdmload with a number of callers of one organisation. */
static struct proc *start_load(const char *name, const char *key,
			       unsigned callers)
{
	char n[16];

	snprintf(n, sizeof(n), "%u", callers);
	return HARNESS_START(h, name, "cdmload", "-e", f->instances[0].entry,
			     "-e", f->instances[1].entry, "-k", key, "-m",
			     FLEET_MODEL, "-n", n, "-d", LOAD_MS,
			     "--max-tokens=50", "--refusals=100");
}

/* Waits for p and returns the value that it printed for name, or 0. */
static double read_figure(struct proc *p, const char *name)
{
	char *out;
	char *line;
	char *pattern = xasprintf("%s ", name);
	double value = 0;

	proc_wait(p);
	out = proc_output(p);
	for (line = strtok(out, "\n"); line; line = strtok(NULL, "\n"))
		if (!strncmp(line, pattern, strlen(pattern)))
			value = strtod(line + strlen(pattern), NULL);
	free(out);
	free(pattern);
	return value;
}

/* Returns the completed requests per second of a load process. */
static double completed_per_s(struct proc *p)
{
	return read_figure(p, "completed") / read_figure(p, "elapsed");
}

/*
 * Runs the load of one organisation alone, prints its figures and returns its
 * completed requests per second.
 */
static double run_alone(const char *name, const char *key, unsigned callers)
{
	struct proc *p = start_load(name, key, callers);
	double per_s = completed_per_s(p);

	printf("overload_%s_completed_per_s %.1f requests/s\n", name, per_s);
	printf("overload_%s_refusals_per_completed %.3f ratio\n", name,
	       read_figure(p, "refusals") / read_figure(p, "completed"));
	printf("overload_%s_wrong %.0f requests\n", name,
	       read_figure(p, "wrong"));
	return per_s;
}

static void bench(void **state)
{
	const struct fleet_options options = {
		.n_instances = 3,
		.n_zones = 2,
		.n_engines = ENGINES,
		.n_organisations = 2,
		.slots = SLOTS,
		.engine_args = { "--token-ms=10", "--slots=8",
				 "--load-lag-ms=100" },
	};
	struct proc *flood;
	struct proc *quiet;
	double goodput_x1;
	double quiet_alone;

	(void)state;
	h = harness_new();
	f = harness_fleet(h, &options);
	harness_run(h, 4000);
	run_alone("warm", "key-org-1", CAPACITY);
	goodput_x1 = run_alone("x1", "key-org-1", CAPACITY);
	printf("overload_goodput_x2 %.3f of_x1\n",
	       run_alone("x2", "key-org-1", 2 * CAPACITY) / goodput_x1);
	printf("overload_goodput_x5 %.3f of_x1\n",
	       run_alone("x5", "key-org-1", 5 * CAPACITY) / goodput_x1);
	quiet_alone = run_alone("quiet", "key-org-2", CAPACITY / 4);
	flood = start_load("flood", "key-org-1", 5 * CAPACITY);
	quiet = start_load("beside", "key-org-2", CAPACITY / 4);
	printf("overload_quiet_beside_flood %.3f of_alone\n",
	       completed_per_s(quiet) / quiet_alone);
	printf("overload_flood_and_quiet %.3f of_x1\n",
	       (completed_per_s(flood) + completed_per_s(quiet)) / goodput_x1);
	fleet_free(f);
	harness_free(h);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bench),
	};

	setvbuf(stdout, NULL, _IOLBF, 0);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
