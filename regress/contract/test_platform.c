/* Contract of the platform's HTTP interface, run against the simulated
 * platform. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "regress/harness.h"

struct fixture {
	struct harness *h;
	const char *address;
};

static int set_up(void **state)
{
	struct fixture *f = xcalloc(1, sizeof(*f));

	f->h = harness_new();
	f->address = harness_address(f->h);
	HARNESS_START(f->h, "platform", "platformd", "-l", f->address);
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

/* Sends a request and returns the status, or 0 without a complete response. */
static int status_of(struct fixture *f, const char *method, const char *path,
		     const char *body)
{
	const struct httpc_request r = { .method = method,
					 .address = f->address,
					 .path = path,
					 .body = body,
					 .body_len = body ? strlen(body) : 0,
					 .timeout_ms = 200 };
	struct answer a;
	int status;

	harness_request(f->h, &r, &a);
	status = a.json ? a.status : 0;
	answer_release(&a);
	return status;
}

#define WRITE(writes) "{\"nonce\":\"n1\",\"writes\":[" writes "]}"
#define ROW(key, value, version) \
	"{\"key\":\"" key "\",\"value\":" value ",\"if_version\":" version "}"

/* Sequence of writes with the state of row "a" after each. */
static void test_conditional_writes(void **state)
{
	static const struct {
		const char *write;
		int status;
		const char *value; /* of row "a" afterwards, or NULL */
		json_int_t version;
	} cases[] = {
		{ WRITE(ROW("a", "\"1\"", "0")), 200, "1", 1 },
		{ WRITE(ROW("a", "\"2\"", "0")), 409, "1", 1 },
		{ WRITE(ROW("a", "\"2\"", "1")), 200, "2", 2 },
		{ WRITE(ROW("b", "\"x\"", "0") "," ROW("a", "\"3\"", "1")), 409,
		  "2", 2 },
		{ WRITE(ROW("b", "\"x\"", "0") "," ROW("a", "\"3\"", "2")), 200,
		  "3", 4 },
		{ WRITE(ROW("a", "null", "4")), 200, NULL, 0 },
		{ WRITE(ROW("a", "\"5\"", "4")), 409, NULL, 0 },
		{ WRITE(ROW("a", "\"6\"", "0")), 200, "6", 6 },
		{ WRITE(""), 400, "6", 6 },
		{ WRITE("{\"key\":\"a\",\"value\":\"7\"}"), 400, "6", 6 },
		{ "{\"writes\":[" ROW("a", "\"8\"", "6") "]}", 400, "6", 6 },
		{ "{", 400, "6", 6 },
	};
	struct fixture *f = *state;
	struct answer a;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		assert_int_equal(status_of(f, "POST", "/table/write",
					   cases[i].write),
				 cases[i].status);
		harness_call(f->h, "GET", f->address, "/table/row?key=a", NULL,
			     &a);
		assert_int_equal(a.status, cases[i].value ? 200 : 404);
		if (cases[i].value) {
			assert_string_equal(json_string_value(json_object_get(
						    a.json, "value")),
					    cases[i].value);
			assert_string_equal(json_string_value(json_object_get(
						    a.json, "nonce")),
					    "n1");
			assert_int_equal(json_integer_value(json_object_get(
						 a.json, "version")),
					 cases[i].version);
		}
		answer_release(&a);
	}
}

static void test_scan_is_ordered(void **state)
{
	struct fixture *f = *state;
	json_t *scan;
	json_t *rows;

	status_of(f, "POST", "/table/write",
		  WRITE(ROW("m/2", "\"x\"", "0") "," ROW(
			  "n/1", "\"x\"", "0") "," ROW("m/1", "\"x\"", "0")));
	scan = harness_get(f->h, f->address, "/table/scan?prefix=m%2F");
	rows = json_object_get(scan, "rows");
	assert_int_equal(json_array_size(rows), 2);
	assert_string_equal(json_string_value(json_object_get(
				    json_array_get(rows, 0), "key")),
			    "m/1");
	json_decref(scan);
}

static void test_lost_response_after_write(void **state)
{
	struct fixture *f = *state;
	json_t *row;

	harness_control(f->h, f->address, "{\"lose_answers\":1}");
	assert_int_equal(status_of(f, "POST", "/table/write",
				   WRITE(ROW("a", "\"1\"", "0"))),
			 0);
	row = harness_get(f->h, f->address, "/table/row?key=a");
	assert_string_equal(json_string_value(json_object_get(row, "nonce")),
			    "n1");
	json_decref(row);
	assert_int_equal(status_of(f, "POST", "/table/write",
				   WRITE(ROW("a", "\"2\"", "1"))),
			 200);
}

static void test_outages(void **state)
{
	static const struct {
		const char *control;
		int status; /* 0: no response */
	} cases[] = {
		{ "{\"outage\":\"refuse\"}", 503 },
		{ "{\"outage\":\"silent\"}", 0 },
		{ "{\"outage\":\"none\"}", 200 },
		{ "{\"slow_ms\":20}", 200 },
	};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		harness_control(f->h, f->address, "%s", cases[i].control);
		assert_int_equal(status_of(f, "GET", "/instances", NULL),
				 cases[i].status);
		assert_int_equal(status_of(f, "GET",
					   "/table/scan?prefix=", NULL),
				 cases[i].status);
	}
	assert_int_equal(status_of(f, "POST", "/control",
				   "{\"outage\":\"total\"}"),
			 400);
}

static void test_slow_write_takes_effect(void **state)
{
	struct fixture *f = *state;

	harness_control(f->h, f->address, "{\"slow_ms\":100000}");
	assert_int_equal(status_of(f, "POST", "/table/write",
				   WRITE(ROW("a", "\"1\"", "0"))),
			 0);
	harness_control(f->h, f->address, "{\"slow_ms\":0}");
	assert_int_equal(status_of(f, "GET", "/table/row?key=a", NULL), 200);
}

static void test_rates_are_limited(void **state)
{
	struct fixture *f = *state;
	int refused = 0;
	int i;

	harness_control(f->h, f->address,
			"{\"read_limit\":1,\"write_limit\":1}");
	for (i = 0; i < 20; i++)
		refused += status_of(f, "GET", "/instances", NULL) == 429;
	assert_true(refused > 0);
	refused = 0;
	for (i = 0; i < 20; i++)
		refused += status_of(f, "PUT", "/objects/x", "v") == 429;
	assert_true(refused > 0);
	assert_true(harness_counter(f->h, f->address,
				    "platform_limited_total") >= refused);
}

static void test_objects(void **state)
{
	struct fixture *f = *state;
	struct answer a;

	assert_int_equal(status_of(f, "GET", "/objects/x", NULL), 404);
	assert_int_equal(status_of(f, "PUT", "/objects/x", "{\"v\":1}"), 200);
	harness_call(f->h, "GET", f->address, "/objects/x", NULL, &a);
	assert_string_equal(a.body, "{\"v\":1}");
	answer_release(&a);
}

/* Returns the number of listed instances. */
static size_t listed(struct fixture *f)
{
	json_t *list = harness_get(f->h, f->address, "/instances");
	size_t n = json_array_size(json_object_get(list, "instances"));

	json_decref(list);
	return n;
}

static bool one_listed(void *arg)
{
	return listed(arg) == 1;
}

static void test_instance_list_lags(void **state)
{
	struct fixture *f = *state;

	harness_control(f->h, f->address,
			"{\"list_lag_ms\":100000,\"instance\":{\"name\":"
			"\"e1\",\"kind\":\"entry\"}}");
	assert_int_equal(listed(f), 0);
	harness_control(f->h, f->address, "{\"list_lag_ms\":20}");
	harness_until(f->h, one_listed, f, "the list shows the instance");
	harness_control(f->h, f->address,
			"{\"list_lag_ms\":0,\"instance\":{\"name\":\"e1\","
			"\"gone\":true}}");
	assert_int_equal(listed(f), 0);
}

static void test_weight_store_is_rate_limited(void **state)
{
	static const struct {
		const char *body;
		int status;
	} cases[] = {
		{ "{\"bytes\":1000}", 200 },
		{ "{\"bytes\":1000}", 429 },
		{ "{\"bytes\":0}", 400 },
		{ "{}", 400 },
	};
	struct fixture *f = *state;
	size_t i;

	harness_control(f->h, f->address,
			"{\"weight_bytes_per_s\":1,\"weight_wait_max_ms\":10}");
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(status_of(f, "POST", "/weights/fetch",
					   cases[i].body),
				 cases[i].status);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_conditional_writes),
		TEST(test_scan_is_ordered),
		TEST(test_lost_response_after_write),
		TEST(test_outages),
		TEST(test_slow_write_takes_effect),
		TEST(test_rates_are_limited),
		TEST(test_objects),
		TEST(test_instance_list_lags),
		TEST(test_weight_store_is_rate_limited),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
