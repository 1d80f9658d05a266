/* The settings files of the daemons: the examples are accepted, and each error
 * is reported with file, line and key. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "regress/harness.h"

#define FLEETD_HEAD                              \
	"instance = \"a-1\"\n"                   \
	"zone = \"a\"\n"                         \
	"control_address = \"127.0.0.1:7200\"\n" \
	"operator_address = \"127.0.0.1:7201\"\n"

#define FLEETD_OK FLEETD_HEAD "platform_address = \"127.0.0.1:7300\"\n"

#define ENTRYD_HEAD                             \
	"instance = \"a-1\"\n"                  \
	"zone = \"a\"\n"                        \
	"fleet_address = \"127.0.0.1:7200\"\n"  \
	"listen_address = \"127.0.0.1:8080\"\n" \
	"operator_address = \"127.0.0.1:7202\"\n"

#define ENTRYD_OK ENTRYD_HEAD "platform_address = \"127.0.0.1:7300\"\n"

#define NOT_ADDRESS                                 \
	"must be a numeric IPv4 address and port, " \
	"such as \"10.0.0.1:8080\""
#define LEVELS                                                     \
	"must be one of \"emerg\", \"alert\", \"crit\", \"err\", " \
	"\"warning\", \"notice\", \"info\", \"debug\""

struct bad_file {
	const char *program;
	const char *text;
	const char *message; /* after the file's name */
};

static const struct bad_file bad_files[] = {
	{ "cdmfleetd", "", ":1: instance: missing, but required" },
	{ "cdmfleetd", FLEETD_HEAD,
	  ":1: platform_address: missing, but required" },
	{ "cdmfleetd", FLEETD_OK "drain_msec = 1\n",
	  ":6: drain_msec: unknown key, did you mean drain_ms?" },
	{ "cdmfleetd", FLEETD_OK "drain_ms = -1\n",
	  ":6: drain_ms: is -1, but must be from 0 to 3600000" },
	{ "cdmfleetd", FLEETD_OK "drain_ms = 1.5\n",
	  ":6: drain_ms: must be a whole number" },
	{ "cdmfleetd", FLEETD_OK "platform_timeout_ms = 9\n",
	  ":6: platform_timeout_ms: is 9, but must be from 10 to 60000" },
	{ "cdmfleetd", FLEETD_OK "log_level = \"loud\"\n",
	  ":6: log_level: " LEVELS },
	{ "cdmfleetd", FLEETD_OK "peers = \"127.0.0.1:7200\"\n",
	  ":6: peers: must be an array of strings" },
	{ "cdmfleetd", FLEETD_OK "peers = [\"127.0.0.1:7200\", \"\"]\n",
	  ":6: peers: must be an array of strings, none of them empty" },
	{ "cdmfleetd", FLEETD_OK "\npeers = [\"ikeja-2:7200\"]\n",
	  ":7: peers: \"ikeja-2:7200\" is not a numeric IPv4 address and "
	  "port, such as \"10.0.0.1:7200\"" },
	{ "cdmfleetd", FLEETD_OK "advertise_address = \"host:80\"\n",
	  ":6: advertise_address: " NOT_ADDRESS },
	{ "cdmentryd", "", ":1: instance: missing, but required" },
	{ "cdmentryd", ENTRYD_HEAD,
	  ":1: platform_address: missing, but required" },
	{ "cdmentryd", "instance = \"\"\n" ENTRYD_OK,
	  ":2: Error while parsing key-value pair: cannot redefine existing "
	  "string 'instance'" },
	{ "cdmentryd", ENTRYD_OK "stream_max = 5\n",
	  ":7: stream_max: unknown key, did you mean streams_max?" },
	{ "cdmentryd", ENTRYD_OK "quux = 5\n", ":7: quux: unknown key" },
	{ "cdmentryd", ENTRYD_OK "streams_max = 0\n",
	  ":7: streams_max: is 0, but must be from 1 to 200000" },
	{ "cdmentryd", ENTRYD_OK "handover_ms = 3600001\n",
	  ":7: handover_ms: is 3600001, but must be from 0 to 3600000" },
	{ "cdmentryd", ENTRYD_OK "advertise_address = \"10.0.0.1:65536\"\n",
	  ":7: advertise_address: " NOT_ADDRESS },
	{ "cdmentryd", ENTRYD_OK "advertise_address = \"10.0.0.1: 80\"\n",
	  ":7: advertise_address: " NOT_ADDRESS },
	{ "cdmentryd", ENTRYD_OK "zones = [1,}\n", ":7: malformed value" },
	{ "cdmentryd", ENTRYD_OK "log_level = 6\n", ":7: log_level: " LEVELS },
	{ "cdmentryd", ENTRYD_OK "[log]\nlevel = \"info\"\n",
	  ":7: log: unknown key" },
};

/* Runs a program's check of a file; returns its exit code, and standard error
 * in *log.  Processes of the same name share one log file, so each process gets
 * a different name. */
static int check(struct harness *h, const char *program, const char *file,
		 char **log)
{
	static unsigned n;
	char name[32];
	struct proc *p;
	int code;

	snprintf(name, sizeof(name), "check-%u", n++);
	p = HARNESS_START(h, name, program, "-n", "-f", file);
	code = proc_wait(p);

	*log = proc_log(p);
	return code;
}

static void test_examples_are_accepted(void **state)
{
	static const char *const programs[] = { "cdmentryd", "cdmfleetd",
						"cdmproxyd" };
	const char *root = getenv("CDM_ROOT");
	struct harness *h = harness_new();
	size_t i;

	(void)state;
	assert_non_null(root);
	for (i = 0; i < sizeof(programs) / sizeof(programs[0]); i++) {
		char *file = xasprintf("%s/etc/%s.toml", root, programs[i]);
		char *log;

		assert_int_equal(check(h, programs[i], file, &log), 0);
		assert_string_equal(log, "");
		free(log);
		free(file);
	}
	harness_free(h);
}

static void test_errors_are_reported(void **state)
{
	struct harness *h = harness_new();
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(bad_files) / sizeof(bad_files[0]); i++) {
		const struct bad_file *bad = &bad_files[i];
		char name[32];
		const char *file;
		char *expected;
		char *log;

		snprintf(name, sizeof(name), "bad-%zu.toml", i);
		file = harness_file(h, name, "%s", bad->text);
		expected = xasprintf("%s: %s%s\n", bad->program, file,
				     bad->message);
		if (check(h, bad->program, file, &log) != 1)
			fail_msg("%s was accepted:\n%s", bad->program,
				 bad->text);
		assert_string_equal(log, expected);
		free(log);
		free(expected);
	}
	harness_free(h);
}

static void test_missing_file_is_reported(void **state)
{
	struct harness *h = harness_new();
	char *log;

	(void)state;
	assert_int_equal(check(h, "cdmentryd", "/nonexistent/e.toml", &log), 1);
	assert_string_equal(log, "cdmentryd: /nonexistent/e.toml: No such file "
				 "or directory\n");
	free(log);
	assert_int_equal(check(h, "cdmfleetd", "/nonexistent/f.toml", &log), 1);
	assert_string_equal(log, "cdmfleetd: /nonexistent/f.toml: No such file "
				 "or directory\n");
	free(log);
	harness_free(h);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_examples_are_accepted),
		cmocka_unit_test(test_errors_are_reported),
		cmocka_unit_test(test_missing_file_is_reported),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
