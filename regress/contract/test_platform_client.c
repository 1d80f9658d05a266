/*
 * Contract of the platform client, run against the simulated platform: each
 * outcome of the interface and the fault that causes it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "lib/platform.h"
#include "regress/harness.h"

#define TIMEOUT_MS 300

struct fixture {
	struct harness *h;
	const char *address;
	struct platform *p;
};

/* The result of a call. */
struct result {
	bool done;
	enum platform_outcome outcome;
	uint64_t version;
	char text[256];
	char nonce[PLATFORM_NONCE_SIZE];
	size_t n;
	bool leaving;
};

static int set_up(void **state)
{
	static struct fixture f;

	f.h = harness_new();
	f.address = harness_address(f.h);
	HARNESS_START(f.h, "platformd", "platformd", "-l", f.address);
	harness_wait_listening(f.h, f.address);
	f.p = platform_http_new(harness_client(f.h), f.address, TIMEOUT_MS);
	*state = &f;
	return 0;
}

static int tear_down(void **state)
{
	struct fixture *f = *state;

	f->p->ops->free(f->p);
	harness_free(f->h);
	return 0;
}

static bool is_done(void *arg)
{
	return ((struct result *)arg)->done;
}

static void take_row(struct result *r, const struct platform_row *row)
{
	r->version = row ? row->version : 0;
	snprintf(r->text, sizeof(r->text), "%s", row ? row->value : "");
	snprintf(r->nonce, sizeof(r->nonce), "%s", row ? row->nonce : "");
}

static void on_read(void *arg, enum platform_outcome outcome,
		    const struct platform_row *row)
{
	struct result *r = arg;

	r->done = true;
	r->outcome = outcome;
	take_row(r, row);
}

static void on_write(void *arg, enum platform_outcome outcome, uint64_t version,
		     const struct platform_row *row)
{
	struct result *r = arg;

	r->done = true;
	r->outcome = outcome;
	take_row(r, row);
	if (outcome == PLATFORM_OK)
		r->version = version;
}

static void on_scan(void *arg, enum platform_outcome outcome,
		    const struct platform_row *rows, size_t n)
{
	struct result *r = arg;
	size_t i;

	r->done = true;
	r->outcome = outcome;
	r->n = n;
	for (i = 0; i < n; i++)
		snprintf(r->text + strlen(r->text),
			 sizeof(r->text) - strlen(r->text), "%s=%s ",
			 rows[i].key, rows[i].value);
}

static void on_put(void *arg, enum platform_outcome outcome)
{
	struct result *r = arg;

	r->done = true;
	r->outcome = outcome;
}

static void on_get(void *arg, enum platform_outcome outcome, const char *data,
		   size_t len)
{
	struct result *r = arg;

	r->done = true;
	r->outcome = outcome;
	r->n = len;
	snprintf(r->text, sizeof(r->text), "%.*s", (int)len, data);
}

static void on_instances(void *arg, enum platform_outcome outcome,
			 const struct platform_instance *list, size_t n)
{
	struct result *r = arg;

	r->done = true;
	r->outcome = outcome;
	r->n = n;
	if (n) {
		snprintf(r->text, sizeof(r->text), "%s %s %s %s", list[0].name,
			 list[0].zone, list[0].kind, list[0].address);
		r->leaving = list[0].leaving;
	}
}

static struct result read_row(struct fixture *f, const char *key)
{
	struct result r = { 0 };

	f->p->ops->read(f->p, key, on_read, &r);
	harness_until(f->h, is_done, &r, "a row is read");
	return r;
}

static struct result write_row(struct fixture *f, const char *nonce,
			       const char *key, const char *value,
			       uint64_t if_version)
{
	const struct platform_write w = { .key = key,
					  .value = value,
					  .if_version = if_version };
	struct result r = { 0 };

	f->p->ops->write(f->p, nonce, &w, 1, on_write, &r);
	harness_until(f->h, is_done, &r, "a row is written");
	return r;
}

struct fault_case {
	const char *name;
	const char *fault; /* settings of the simulated platform */
	enum platform_outcome write;
	bool written;
	enum platform_outcome read;
};

static const struct fault_case faults[] = {
	{ "no fault", "{}", PLATFORM_OK, true, PLATFORM_OK },
	{ "refuses", "{\"outage\":\"refuse\"}", PLATFORM_UNAVAILABLE, false,
	  PLATFORM_UNAVAILABLE },
	{ "silent", "{\"outage\":\"silent\"}", PLATFORM_UNKNOWN, false,
	  PLATFORM_UNAVAILABLE },
	{ "answer lost", "{\"lose_answers\":1}", PLATFORM_UNKNOWN, true,
	  PLATFORM_OK },
	{ "slower than the timeout", "{\"slow_ms\":2000}", PLATFORM_UNKNOWN,
	  true, PLATFORM_UNAVAILABLE },
};

/* A lost response is distinguished from a write that did not happen; the nonce
 * identifies the writer of a row. */
static void test_faults(void **state)
{
	static const char *const healthy =
		"{\"outage\":\"none\",\"lose_answers\":0,\"slow_ms\":0}";
	struct fixture *f = *state;
	char nonce[PLATFORM_NONCE_SIZE];
	struct result r;
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		platform_nonce(nonce);
		harness_control(f->h, f->address, "%s", faults[i].fault);
		r = write_row(f, nonce, faults[i].name, "v", 0);
		assert_int_equal(r.outcome, faults[i].write);
		r = read_row(f, faults[i].name);
		assert_int_equal(r.outcome, faults[i].read);
		harness_control(f->h, f->address, "%s", healthy);
		r = read_row(f, faults[i].name);
		assert_int_equal(r.outcome, faults[i].written
						    ? PLATFORM_OK
						    : PLATFORM_NOT_FOUND);
		assert_string_equal(r.nonce, faults[i].written ? nonce : "");
	}
}

/* A transaction with a failed condition writes nothing; versions never
 * repeat. */
static void test_conditions(void **state)
{
	struct fixture *f = *state;
	const struct platform_write both[] = {
		{ .key = "cond/b", .value = "2", .if_version = 0 },
		{ .key = "cond/a", .value = "2", .if_version = 0 },
	};
	struct result r = { 0 };
	uint64_t first;

	r = write_row(f, "0123", "cond/a", "1", 0);
	assert_int_equal(r.outcome, PLATFORM_OK);
	first = r.version;
	r = (struct result){ 0 };
	f->p->ops->write(f->p, "4567", both, 2, on_write, &r);
	harness_until(f->h, is_done, &r, "a transaction ends");
	assert_int_equal(r.outcome, PLATFORM_CONFLICT);
	assert_string_equal(r.text, "1");
	assert_string_equal(r.nonce, "0123");
	assert_int_equal(read_row(f, "cond/b").outcome, PLATFORM_NOT_FOUND);
	assert_int_equal(write_row(f, "x", "cond/a", NULL, first).outcome,
			 PLATFORM_OK);
	r = write_row(f, "x", "cond/a", "odd key? \xc3\xa9 & \"quotes\"", 0);
	assert_int_equal(r.outcome, PLATFORM_OK);
	assert_true(r.version > first);
	assert_string_equal(read_row(f, "cond/a").text,
			    "odd key? \xc3\xa9 & \"quotes\"");
}

/* Keys with reserved characters are preserved; a scan returns only rows with
 * the prefix. */
static void test_scan(void **state)
{
	struct fixture *f = *state;
	struct result r = { 0 };

	write_row(f, "n", "scan/a&b=c d", "1", 0);
	write_row(f, "n", "scan/z", "2", 0);
	write_row(f, "n", "scam", "3", 0);
	f->p->ops->scan(f->p, "scan/", on_scan, &r);
	harness_until(f->h, is_done, &r, "a scan ends");
	assert_int_equal(r.outcome, PLATFORM_OK);
	assert_int_equal(r.n, 2);
	assert_string_equal(r.text, "scan/a&b=c d=1 scan/z=2 ");
}

static void test_objects(void **state)
{
	struct fixture *f = *state;
	struct result r = { 0 };

	f->p->ops->object_get(f->p, "config/none", on_get, &r);
	harness_until(f->h, is_done, &r, "an object is read");
	assert_int_equal(r.outcome, PLATFORM_NOT_FOUND);
	r.done = false;
	f->p->ops->object_put(f->p, "config/one", "abc\ndef", 7, on_put, &r);
	harness_until(f->h, is_done, &r, "an object is stored");
	assert_int_equal(r.outcome, PLATFORM_OK);
	r.done = false;
	f->p->ops->object_get(f->p, "config/one", on_get, &r);
	harness_until(f->h, is_done, &r, "an object is read");
	assert_int_equal(r.outcome, PLATFORM_OK);
	assert_string_equal(r.text, "abc\ndef");
}

static void test_instances(void **state)
{
	struct fixture *f = *state;
	struct result r = { 0 };

	harness_control(f->h, f->address,
			"{\"instance\":{\"name\":\"i\",\"zone\":\"z\","
			"\"kind\":\"entry\",\"address\":\"127.0.0.1:1\","
			"\"leaving\":true}}");
	f->p->ops->instances(f->p, on_instances, &r);
	harness_until(f->h, is_done, &r, "the instances are read");
	assert_int_equal(r.outcome, PLATFORM_OK);
	assert_int_equal(r.n, 1);
	assert_string_equal(r.text, "i z entry 127.0.0.1:1");
	assert_true(r.leaving);
}

/* A refused connection proves that nothing was written. */
static void test_unreachable(void **state)
{
	struct fixture *f = *state;
	struct fixture unreachable = { .h = f->h };

	unreachable.p = platform_http_new(harness_client(f->h),
					  harness_address(f->h), TIMEOUT_MS);
	assert_int_equal(write_row(&unreachable, "n", "k", "v", 0).outcome,
			 PLATFORM_UNAVAILABLE);
	assert_int_equal(read_row(&unreachable, "k").outcome,
			 PLATFORM_UNAVAILABLE);
	unreachable.p->ops->free(unreachable.p);
}

/* Freeing a client cancels its calls without callbacks and leaks nothing. */
static void test_free_in_progress(void **state)
{
	struct fixture *f = *state;
	struct platform *p =
		platform_http_new(harness_client(f->h), f->address, TIMEOUT_MS);
	struct result r = { 0 };

	p->ops->read(p, "k", on_read, &r);
	p->ops->read(p, "l", on_read, &r);
	assert_int_equal(p->ops->pending(p), 2);
	p->ops->free(p);
	harness_run(f->h, 20);
	assert_false(r.done);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_faults),
		cmocka_unit_test(test_conditions),
		cmocka_unit_test(test_scan),
		cmocka_unit_test(test_objects),
		cmocka_unit_test(test_instances),
		cmocka_unit_test(test_unreachable),
		cmocka_unit_test(test_free_in_progress),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
