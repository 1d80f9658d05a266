/*
 * Signals that come while a program starts.  The test holds them for the program
 * until it runs, as a starter can that signals it at once: the time in which the
 * loader has not reached main() is not the program's.  SIGHUP ends none, and
 * SIGTERM ends each in order.
 */
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/harness_fleet.h"
#include "regress/platform_standin.h"

#define PROXY_STARTS 200
#define STARTS_AT_ONCE 20
#define MOMENT_MAX_MS 20 /* after its creation a process is signalled */
#define SEED 43
#define ARGS(...) ((const char *const[]){ __VA_ARGS__, NULL })

struct expected_line {
	struct proc *proc;
	const char *text;
};

/* Holds the signals for the programs that are started from now on, or no
 * longer. */
static void hold_for_programs(bool hold)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGHUP);
	sigaddset(&set, SIGTERM);
	sigprocmask(hold ? SIG_BLOCK : SIG_UNBLOCK, &set, NULL);
}

static struct proc *start_held(struct harness *h, const char *name,
			       const char *program, const char *const *args)
{
	struct proc *p;

	hold_for_programs(true);
	p = harness_startv(h, name, program, args);
	hold_for_programs(false);
	return p;
}

/* Returns whether the program has ended or has written the line. */
static bool has_ended_or_written(void *arg)
{
	const struct expected_line *line = arg;
	char *log = proc_log(line->proc);
	bool written = strstr(log, line->text) ||
		       proc_output_count(line->proc, line->text);

	free(log);
	return written || !proc_running(line->proc);
}

static void expect_line(struct harness *h, struct proc *p, const char *text)
{
	struct expected_line line = { p, text };

	harness_until(h, has_ended_or_written, &line, text);
	if (!proc_running(p))
		fail_msg("%s ended with %d", p->name, p->exit_code);
}

/* SIGHUP at a random moment of the first MOMENT_MAX_MS of an instance. */
static void instances_reload(void **state)
{
	struct harness *h = harness_new();
	struct standin_world *w = standin_new(h);
	struct standin_instance in[STARTS_AT_ONCE];
	char names[STARTS_AT_ONCE][8];
	size_t started;
	size_t i;

	(void)state;
	srandom(SEED);
	standin_put_configuration(w, 2, NULL);
	for (i = 0; i < STARTS_AT_ONCE; i++) {
		snprintf(names[i], sizeof(names[i]), "n%zu", i);
		standin_init_instance(w, &in[i], names[i], NULL);
	}
	for (started = 0; started < PROXY_STARTS; started += STARTS_AT_ONCE) {
		for (i = 0; i < STARTS_AT_ONCE; i++) {
			in[i].proc = start_held(h, names[i], "cdmproxyd",
						ARGS("-f", in[i].settings));
			harness_run(h, (uint64_t)random() % MOMENT_MAX_MS);
			proc_signal(in[i].proc, SIGHUP);
		}
		for (i = 0; i < STARTS_AT_ONCE; i++) {
			expect_line(h, in[i].proc, "\"event\":\"reload\"");
			proc_kill(in[i].proc);
			assert_int_equal(truncate(in[i].proc->out_path, 0), 0);
		}
	}
	standin_free(w);
	harness_free(h);
}

/* SIGHUP, and SIGTERM, before the first statement of a program. */
static void reload_and_stop(struct harness *h, const char *program,
			    const char *const *args)
{
	struct proc *p = start_held(h, program, program, args);

	proc_signal(p, SIGHUP);
	expect_line(h, p, "SIGHUP is ignored");
	assert_int_equal(proc_stop(p), 0);
	p = start_held(h, program, program, args);
	assert_int_equal(proc_stop(p), 0);
}

static void programs_start_and_stop(void **state)
{
	static const struct fleet_options options = {
		.n_instances = 1,
		.n_zones = 1,
		.n_organisations = 1,
	};
	struct harness *h = harness_new();
	struct fleet *f = harness_fleet(h, &options);
	char file[256];
	char mapping[256];

	(void)state;
	proc_kill(f->instances[0].entryd);
	proc_kill(f->instances[0].fleetd);
	snprintf(file, sizeof(file), "%s/fleetd-1.toml", harness_dir(h));
	reload_and_stop(h, "cdmfleetd", ARGS("-f", file));
	snprintf(file, sizeof(file), "%s/entryd-1.toml", harness_dir(h));
	reload_and_stop(h, "cdmentryd", ARGS("-f", file));
	reload_and_stop(h, "platformd", ARGS("-l", harness_address(h)));
	reload_and_stop(h, "engined", ARGS("-l", harness_address(h)));
	reload_and_stop(h, "serviced", ARGS("-l", harness_address(h)));
	snprintf(mapping, sizeof(mapping), "%s=%s", harness_address(h),
		 harness_address(h));
	reload_and_stop(h, "faultd",
			ARGS("-c", harness_address(h), "-m", mapping));
	harness_free(h);
	fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(instances_reload),
		cmocka_unit_test(programs_start_and_stop),
	};

	return cmocka_run_group_tests_name("signals at the start", tests, NULL,
					   NULL);
}
