/* Contract of plain services, against the stand-in service. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "regress/harness.h"

struct fixture {
	struct harness *h;
	struct proc *service;
	const char *address;
};

static int set_up(void **state)
{
	struct fixture *f = xcalloc(1, sizeof(*f));

	f->h = harness_new();
	f->address = harness_address(f->h);
	f->service =
		HARNESS_START(f->h, "service", "serviced", "-l", f->address);
	harness_wait_listening(f->h, f->address);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	struct fixture *f = *state;

	harness_free(f->h);
	free(f);
	return 0;
}

/* Calls the service with an idempotency key; times out after timeout_ms (0:
 * never). */
static void call(struct fixture *f, const char *method, const char *key,
		 uint32_t timeout_ms, struct answer *a)
{
	const struct httpc_header headers[] = { { "idempotency-key", key } };
	const struct httpc_request r = { .method = method,
					 .address = f->address,
					 .path = "/book/escort?gate=4",
					 .headers = headers,
					 .n_headers = 1,
					 .body = "two",
					 .body_len = 3,
					 .timeout_ms = timeout_ms };

	harness_request(f->h, &r, a);
}

static int64_t runs(struct fixture *f, const char *key)
{
	json_t *all = harness_get(f->h, f->address, "/runs");
	int64_t n = json_integer_value(
		json_object_get(json_object_get(all, "runs"), key));

	json_decref(all);
	return n;
}

static void test_counts_runs_by_key(void **state)
{
	struct fixture *f = *state;
	struct answer a;
	json_int_t run;
	json_int_t echo;
	const char *path;
	int i;

	for (i = 1; i <= 2; i++) {
		call(f, "POST", "k1", 0, &a);
		assert_int_equal(a.status, 200);
		assert_int_equal(json_unpack(a.json, "{s:I, s:I, s:s}", "run",
					     &run, "echo", &echo, "path",
					     &path),
				 0);
		assert_int_equal(run, i);
		assert_int_equal(echo, 3);
		assert_string_equal(path, "/book/escort");
		answer_release(&a);
	}
	call(f, "DELETE", "k2", 0, &a);
	answer_release(&a);
	assert_int_equal(runs(f, "k1"), 2);
	assert_int_equal(runs(f, "k2"), 1);
	assert_int_equal(runs(f, "k3"), 0);
}

/* Each fault, the status that the caller gets and the runs counted so far. */
static void test_faults(void **state)
{
	static const struct {
		const char *control;
		uint32_t timeout_ms;
		int status; /* 0: no complete answer */
		int64_t runs;
	} cases[] = {
		{ "{\"status\":503}", 0, 503, 1 },
		{ "{\"status\":200,\"delay_ms\":50}", 0, 200, 2 },
		{ "{\"delay_ms\":100000}", 100, 0, 3 },
		{ "{\"delay_ms\":0,\"reset_before_run\":true}", 0, 0, 3 },
		{ "{\"reset_before_run\":false,\"hang\":true}", 100, 0, 3 },
		{ "{\"hang\":false}", 0, 200, 4 },
	};
	struct fixture *f = *state;
	struct answer a;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		harness_control(f->h, f->address, "%s", cases[i].control);
		call(f, "POST", "key", cases[i].timeout_ms, &a);
		if (cases[i].status) {
			assert_int_equal(a.status, cases[i].status);
			assert_non_null(a.json);
		} else {
			assert_null(a.json);
		}
		answer_release(&a);
		assert_int_equal(runs(f, "key"), cases[i].runs);
	}
}

static void test_answer_cut_after_the_run(void **state)
{
	struct fixture *f = *state;
	struct answer a;

	harness_control(f->h, f->address, "{\"reset_after_run\":true}");
	call(f, "POST", "key", 0, &a);
	assert_null(a.json);
	answer_release(&a);
	assert_int_equal(runs(f, "key"), 1);
}

static void test_control_is_atomic(void **state)
{
	static const char *const refused[] = {
		"{\"status\":201,\"speed\":3}",
		"{\"status\":201,\"hang\":1}",
		"{\"status\":99}",
		"[1]",
		"nonsense",
	};
	struct fixture *f = *state;
	struct answer a;
	json_t *all;
	size_t i;

	for (i = 0; i < sizeof(refused) / sizeof(refused[0]); i++) {
		harness_call(f->h, "POST", f->address, "/control", refused[i],
			     &a);
		assert_int_equal(a.status, 400);
		answer_release(&a);
	}
	all = harness_get(f->h, f->address, "/control");
	assert_int_equal(json_integer_value(json_object_get(all, "status")),
			 200);
	json_decref(all);
}

static void test_dies_and_stops(void **state)
{
	struct fixture *f = *state;

	harness_control(f->h, f->address, "{\"die\":true}");
	assert_int_equal(proc_wait(f->service), 3);
	f->service =
		HARNESS_START(f->h, "service", "serviced", "-l", f->address);
	harness_wait_listening(f->h, f->address);
	assert_int_equal(proc_stop(f->service), 0);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_counts_runs_by_key),
		TEST(test_faults),
		TEST(test_answer_cut_after_the_run),
		TEST(test_control_is_atomic),
		TEST(test_dies_and_stops),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
