/* Unit tests of policy/drain.c. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "policy/drain.h"

#define TTL_MS 10000
/* From the announcement to the refusal of new requests. */
#define REFUSES_MS (DRAIN_PROPAGATION_MS + TTL_MS)

static const struct drain_settings settings = {
	.entries_ttl_ms = TTL_MS,
	.handover_ms = DRAIN_HANDOVER_MS,
	.exit_ms = DRAIN_EXIT_MS,
};

struct endpoint_case {
	const char *name;
	uint64_t deadline;
	uint64_t now;
	enum drain_endpoint_phase phase;
};

static const struct endpoint_case endpoint_cases[] = {
	{ "no deadline", 0, 1000000, DRAIN_ENDPOINT_FINISHING },
	{ "long before", 60000, 2000, DRAIN_ENDPOINT_FINISHING },
	{ "shortly before", 60000, 60000 - DRAIN_ENDPOINT_MOVE_MS,
	  DRAIN_ENDPOINT_MOVING },
	{ "at the deadline", 60000, 60000, DRAIN_ENDPOINT_GONE },
	{ "short notice", 3000, 1000, DRAIN_ENDPOINT_MOVING },
};

static void test_endpoint(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(endpoint_cases) / sizeof(endpoint_cases[0]);
	     i++) {
		const struct endpoint_case *c = &endpoint_cases[i];
		struct drain_endpoint d = { 0 };

		print_message("%s\n", c->name);
		assert_true(drain_endpoint_takes_work(&d));
		assert_int_equal(drain_endpoint_phase(&d, 1000),
				 DRAIN_ENDPOINT_OPEN);
		assert_true(drain_endpoint_leave(&d, 1000, c->deadline));
		assert_false(drain_endpoint_takes_work(&d));
		assert_int_equal(drain_endpoint_phase(&d, c->now), c->phase);
		assert_true(drain_endpoint_cancel(&d));
		assert_true(drain_endpoint_takes_work(&d));
	}
}

static void test_earliest_deadline(void **state)
{
	struct drain_endpoint d = { 0 };

	(void)state;
	assert_true(drain_endpoint_leave(&d, 1000, 0));
	assert_true(drain_endpoint_leave(&d, 2000, 90000));
	assert_true(drain_endpoint_leave(&d, 3000, 60000));
	assert_false(drain_endpoint_leave(&d, 4000, 70000));
	assert_false(drain_endpoint_leave(&d, 4000, 0));
	assert_int_equal(d.deadline, 60000);
	assert_int_equal(d.since, 1000);
}

struct drain_point {
	uint64_t after; /* ms since the announcement */
	unsigned int running;
	enum drain_phase phase;
};

struct drain_case {
	const char *name;
	struct drain_point points[6];
};

static const struct drain_case drain_cases[] = {
	{ "idle: serves until cached entries have expired",
	  { { 0, 0, DRAIN_ANNOUNCED },
	    { REFUSES_MS - 1, 0, DRAIN_ANNOUNCED },
	    { REFUSES_MS, 0, DRAIN_EXIT } } },
	{ "requests finish before the hand-over",
	  { { REFUSES_MS, 5, DRAIN_REFUSING },
	    { REFUSES_MS + 1000, 1, DRAIN_REFUSING },
	    { REFUSES_MS + 2000, 0, DRAIN_EXIT } } },
	{ "long generations are handed over",
	  { { REFUSES_MS, 5, DRAIN_REFUSING },
	    { DRAIN_HANDOVER_MS - 1, 5, DRAIN_REFUSING },
	    { DRAIN_HANDOVER_MS, 5, DRAIN_HANDING_OVER },
	    { DRAIN_HANDOVER_MS + 100, 0, DRAIN_EXIT } } },
	{ "a hand-over that hangs",
	  { { DRAIN_HANDOVER_MS, 5, DRAIN_HANDING_OVER },
	    { DRAIN_HANDOVER_MS + DRAIN_EXIT_MS - 1, 5, DRAIN_HANDING_OVER },
	    { DRAIN_HANDOVER_MS + DRAIN_EXIT_MS, 5, DRAIN_EXIT } } },
	{ "paused past the hand-over: still hands over before it exits",
	  { { 0, 5, DRAIN_ANNOUNCED },
	    { DRAIN_HANDOVER_MS * 10, 5, DRAIN_HANDING_OVER } } },
};

static void run_case(const struct drain_case *c)
{
	struct drain d;
	size_t i;

	drain_init(&d, &settings);
	assert_int_equal(drain_step(&d, 500, 0), DRAIN_SERVING);
	assert_true(drain_in_entries(&d));
	drain_announce(&d, 1000);
	assert_false(drain_in_entries(&d));
	for (i = 0; i < 6 && c->points[i].phase != DRAIN_SERVING; i++) {
		const struct drain_point *p = &c->points[i];

		assert_int_equal(drain_step(&d, 1000 + p->after, p->running),
				 p->phase);
		assert_int_equal(drain_accepts(&d),
				 p->phase == DRAIN_ANNOUNCED);
		/* A second announcement has no effect. */
		drain_announce(&d, 1000 + p->after);
		assert_int_equal(d.phase, p->phase);
		assert_int_equal(d.announced_at, 1000);
	}
}

static void test_instance(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(drain_cases) / sizeof(drain_cases[0]); i++) {
		print_message("%s\n", drain_cases[i].name);
		run_case(&drain_cases[i]);
	}
}

/* The hand-over waits for cached entries to expire if set to be earlier. */
static void test_long_entries_ttl(void **state)
{
	struct drain_settings s = settings;
	struct drain d;

	(void)state;
	s.handover_ms = 1000;
	drain_init(&d, &s);
	drain_announce(&d, 0);
	assert_int_equal(drain_step(&d, REFUSES_MS - 1, 3), DRAIN_ANNOUNCED);
	assert_true(drain_accepts(&d));
	assert_int_equal(drain_next(&d), REFUSES_MS);
	assert_int_equal(drain_step(&d, REFUSES_MS, 3), DRAIN_HANDING_OVER);
	assert_int_equal(drain_next(&d), REFUSES_MS + DRAIN_EXIT_MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_endpoint),
		cmocka_unit_test(test_earliest_deadline),
		cmocka_unit_test(test_instance),
		cmocka_unit_test(test_long_entries_ttl),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
