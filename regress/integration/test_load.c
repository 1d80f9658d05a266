/* Runs cdmload against a fleet and checks that its figures are consistent, and
 * that it rejects wrong arguments. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "regress/harness_fleet.h"

#define CALLERS "10"
#define REQUESTS 20
#define TOKENS 50

/* Returns the JSON object that cdmload printed last. */
static json_t *summary(const struct proc *p)
{
	char *output = proc_output(p);
	const char *brace = strchr(output, '{');
	json_t *json = json_loads(brace ? brace : "", 0, NULL);

	assert_non_null(json);
	free(output);
	return json;
}

static double number_at(const json_t *json, const char *name)
{
	assert_non_null(json_object_get(json, name));
	return json_number_value(json_object_get(json, name));
}

static void test_figures_are_consistent(void **state)
{
	static const struct fleet_options options = {
		.n_instances = 2,
		.n_zones = 2,
		.n_engines = 2,
		.n_organisations = 2,
		.slots = 16,
		.engine_args = { "--token-ms=10" },
	};
	struct harness *h = harness_new();
	struct fleet *f = harness_fleet(h, &options);
	char *at = xasprintf("200,%s,{\"reset\":true}", f->engines[0].control);
	struct proc *p = HARNESS_START(
		h, "load", "cdmload", "-e", f->instances[0].entry, "-e",
		f->instances[1].entry, "-k", "key-org-1", "-k", "key-org-2",
		"-m", FLEET_MODEL, "-n", CALLERS, "-r", "20", "--max-tokens=50",
		"--engine", f->engines[0].control, "--engine",
		f->engines[1].control, "--at", at);
	json_t *json;

	(void)state;
	assert_int_equal(proc_wait(p), 0);
	json = summary(p);
	assert_true(number_at(json, "started") == REQUESTS);
	assert_true(number_at(json, "completed") == REQUESTS);
	assert_true(number_at(json, "wrong") == 0);
	assert_true(number_at(json, "tokens") == REQUESTS * TOKENS);
	assert_true(number_at(json, "engines_decoded") >= REQUESTS * TOKENS);
	assert_true(number_at(json, "extra_work") >= 0);
	assert_true(number_at(json, "first_token_p50") > 0);
	assert_true(number_at(json, "longest_gap_max") >=
		    number_at(json, "longest_gap_p50"));
	json_decref(json);
	free(at);
	harness_free(h);
	fleet_free(f);
}

static void test_wrong_arguments_are_rejected(void **state)
{
	static const char *const arguments[][4] = {
		{ "-n", "many" },
		{ "--at", "soon" },
		{ "-e", "127.0.0.1:1" }, /* no key */
		{ "--speed", "3" },
	};
	struct harness *h = harness_new();
	struct proc *p;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(arguments) / sizeof(arguments[0]); i++) {
		p = harness_startv(h, "load", "cdmload", arguments[i]);
		assert_int_equal(proc_wait(p), 64);
	}
	harness_free(h);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_figures_are_consistent),
		cmocka_unit_test(test_wrong_arguments_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
