/*
 * cdmctl: outputs, exit statuses, fallback to another server, and the reports
 * with real cdmentryds.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "regress/control_fleet.h"
#include "regress/harness_fleet.h"

#define ARGS_MAX 8

/* One command with its expected result; FILE stands for the file's path and
 * DEAD for an address without a listener. */
struct ctl_case {
	const char *args[ARGS_MAX];
	int code;
	const char *output; /* part of standard output, or NULL */
	const char *error; /* part of standard error, or NULL */
};

static const struct ctl_case cases[] = {
	{ { "frobnicate" }, 2, NULL, "no command is called frobnicate" },
	{ { "apply" }, 2, NULL, "usage: cdmctl apply FILE" },
	{ { "status", "now" }, 2, NULL, "usage: cdmctl status" },
	{ { "-w", "-1", "status" }, 2, NULL, "wait: \"-1\" is too small" },
	{ { "drain", "router", "x" },
	  2,
	  NULL,
	  "router is neither endpoint nor instance" },
	{ { "report", "cost" }, 2, NULL, "the only report is burn" },
	{ { "plan", "/nowhere/file.toml" }, 1, NULL, "No such file" },
	{ { "report", "burn" }, 1, NULL, "no configuration is in force yet" },
	{ { "plan", "FILE" }, 0, "added service s\n", NULL },
	{ { "-b", "5", "apply", "FILE" },
	  3,
	  NULL,
	  "no version has been accepted yet" },
	{ { "-s", "DEAD", "-w", "20", "apply", "FILE" },
	  0,
	  "version 1 accepted; in force in 2 of 2 instances\n",
	  NULL },
	{ { "plan", "FILE" }, 0, "nothing would change; version 1", NULL },
	{ { "drain", "endpoint", "none" },
	  1,
	  NULL,
	  "no such endpoint is configured" },
	{ { "drain", "instance", "none" },
	  1,
	  NULL,
	  "no such instance is known" },
	{ { "-a", "ines\377", "apply", "FILE" },
	  1,
	  NULL,
	  "author= is not UTF-8" },
	{ { "plan", "FILE" }, 0, "nothing would change; version 1", NULL },
	{ { "undrain", "endpoint", "e" }, 0, "e is no longer drained", NULL },
	{ { "status" }, 0, "configuration version 1 by", NULL },
	{ { "status" }, 0, "instance-2", NULL },
	{ { "explain", "nobody" }, 1, NULL, "no cdmentryd knows of request" },
};

static const char *const endpoint =
	"[[endpoint]]\nname = \"e\"\nservice = \"s\"\n"
	"address = \"127.0.0.1:1\"\nzone = \"z\"\n";

/* Fails the test unless the text contains the part. */
static void check_part(const char *text, const char *part, const char *command)
{
	if (part && !strstr(text, part))
		fail_msg("%s: \"%s\" is not in \"%s\"", command, part, text);
}

/* Runs cdmctl and checks its result; the last of its servers is an instance
 * that answers. */
static void run_case(struct control_fleet *f, const struct ctl_case *c,
		     const char *file, const char *dead)
{
	const char *args[ARGS_MAX + 1] = { 0 };
	struct proc *p;
	char *output;
	char *error;
	int code;
	size_t i;

	for (i = 0; i < ARGS_MAX && c->args[i]; i++) {
		args[i] = c->args[i];
		if (!strcmp(args[i], "FILE"))
			args[i] = file;
		if (!strcmp(args[i], "DEAD"))
			args[i] = dead;
	}
	p = control_start_cdmctl(f, 1, args);
	code = proc_wait(p);
	output = proc_output(p);
	error = proc_log(p);
	check_part(output, c->output, c->args[0]);
	check_part(error, c->error, c->args[0]);
	assert_int_equal(code, c->code);
	free(output);
	free(error);
}

/* The cases run in order; later ones depend on the version that an earlier one
 * applies. */
static void test_cases(void **state)
{
	struct control_fleet *f = control_fleet_new(2, 2);
	const char *file = control_write_config(f, "c.toml", endpoint);
	const char *dead = harness_address(f->h);
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(f, &cases[i], file, dead);
	control_fleet_free(f);
}

/* If no server can be reached, cdmctl fails with a message. */
static void test_unreachable(void **state)
{
	struct harness *h = harness_new();
	const char *dead = harness_address(h);
	struct proc *p = HARNESS_START(h, "cdmctl", "cdmctl", "-s", dead, "-s",
				       dead, "status");
	char *error;

	(void)state;
	assert_int_equal(proc_wait(p), 1);
	error = proc_log(p);
	check_part(error, "can't be reached", "status");
	free(error);
	harness_free(h);
}

/* An invalid file is refused with its name and line, and changes nothing; the
 * second one triggers an assertion in the library that parses it. */
static void test_bad_file(void **state)
{
	static const struct {
		const char *text;
		const char *error;
	} files[] = {
		{ "queue_mox = 1\n",
		  "bad.toml:9: queue_mox: unknown key, did you mean "
		  "queue_max?" },
		{ "queue_max = [1,}\n", "bad.toml:9: malformed value" },
	};
	struct control_fleet *f = control_fleet_new(2, 2);
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(files) / sizeof(files[0]); i++) {
		const struct ctl_case bad = {
			{ "apply", "FILE" }, 1, NULL, files[i].error
		};

		run_case(f, &bad,
			 control_write_config(f, "bad.toml", files[i].text),
			 "");
		control_check_versions(f);
		assert_true(f->instances[0].version == 0);
	}
	control_fleet_free(f);
}

/* If another version is accepted first, cdmctl prints its author and the
 * differences; it also names an instance that doesn't answer. */
static void test_race_and_wait(void **state)
{
	static const struct ctl_case lost = {
		{ "-b", "0", "apply", "FILE" },
		3,
		"against version 1 this file would change:\n"
		"  changed service s: queue_max\n",
		"version 1 by rosa stands at the head",
	};
	static const struct ctl_case slow = {
		{ "-w", "1", "apply", "FILE" },
		4,
		"version 2 accepted; in force in 1 of 2 instances; not yet in "
		"instance-1\n",
		NULL,
	};
	struct control_fleet *f = control_fleet_new(2, 2);
	const char *file = control_write_config(f, "b.toml", "queue_max = 2\n");
	const char *first[] = {
		"-a",	 "rosa",
		"-w",	 "20",
		"apply", control_write_config(f, "a.toml", "queue_max = 1\n"),
		NULL
	};

	(void)state;
	assert_int_equal(proc_wait(control_start_cdmctl(f, 0, first)), 0);
	run_case(f, &lost, file, "");
	control_pause(f, 0, true);
	run_case(f, &slow, file, "");
	control_pause(f, 0, false);
	control_wait_version(f, 2);
	control_fleet_free(f);
}

/* The report covers all cdmentryds, as JSON and as a self-contained page. */
static void test_report(void **state)
{
	static const struct fleet_options options = {
		.n_instances = 2,
		.n_zones = 2,
		.n_engines = 1,
		.n_services = 1,
		.n_organisations = 1,
		.config = "[[objective]]\nname = \"few <refusals>\"\n"
			  "measure = \"refusals\"\ntarget = 0.99\n",
	};
	struct harness *h = harness_new();
	struct fleet *f = harness_fleet(h, &options);
	const char *server = f->instances[1].operator_address;
	struct proc *p;
	char *output;
	json_t *json;

	(void)state;
	p = HARNESS_START(h, "burn-json", "cdmctl", "-s", server, "-j",
			  "report", "burn");
	assert_int_equal(proc_wait(p), 0);
	output = proc_output(p);
	json = json_loads(output, 0, NULL);
	assert_non_null(json);
	assert_int_equal(json_integer_value(json_object_get(json, "asked")), 2);
	assert_int_equal(json_integer_value(json_object_get(json, "silent")),
			 0);
	json_decref(json);
	free(output);
	p = HARNESS_START(h, "burn-html", "cdmctl", "-s", server, "--html",
			  "report", "burn");
	assert_int_equal(proc_wait(p), 0);
	output = proc_output(p);
	check_part(output, "<h2>few &lt;refusals&gt;</h2>", "report burn");
	check_part(output, "<polyline", "report burn");
	assert_null(strstr(output, "http"));
	free(output);
	fleet_free(f);
	harness_free(h);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cases),
		cmocka_unit_test(test_unreachable),
		cmocka_unit_test(test_bad_file),
		cmocka_unit_test(test_race_and_wait),
		cmocka_unit_test(test_report),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
