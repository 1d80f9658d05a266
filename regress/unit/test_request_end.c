/* Unit test of policy/request_end.c: no end without an answer passes for an allowed
 * one, and no unfinished request without anything that ends it goes unseen. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/request_end.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))

static const struct {
	const char *name;
	struct request_end_signs signs;
	enum request_end end;
	bool answered;
} ends[] = {
	{ "answered", { .given = true }, REQUEST_END_ANSWERED, true },
	{ "refused",
	  { .given = true, .refused = true },
	  REQUEST_END_REFUSED,
	  true },
	{ "failed",
	  { .given = true, .failed = true },
	  REQUEST_END_FAILED,
	  true },
	/* a status counts, whatever else there was */
	{ "failed",
	  { .given = true,
	    .failed = true,
	    .out_of_time = true,
	    .grace_over = true,
	    .broken_off = true },
	  REQUEST_END_FAILED,
	  true },
	{ "caller left",
	  { .caller_left = true, .out_of_time = true },
	  REQUEST_END_CALLER_LEFT,
	  false },
	{ "out of time",
	  { .out_of_time = true, .grace_over = true, .broken_off = true },
	  REQUEST_END_OUT_OF_TIME,
	  false },
	{ "grace over",
	  { .failed = true, .grace_over = true, .broken_off = true },
	  REQUEST_END_GRACE_OVER,
	  false },
	{ "broken off",
	  { .failed = true, .broken_off = true },
	  REQUEST_END_BROKEN_OFF,
	  false },
	/* a begun stream that is given up */
	{ "unexcused", { .failed = true }, REQUEST_END_UNEXCUSED, false },
	{ "unexcused", { .refused = true }, REQUEST_END_UNEXCUSED, false },
	{ "unexcused", { .given = false }, REQUEST_END_UNEXCUSED, false },
};

static void each_end_has_its_kind(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < N(ends); i++) {
		enum request_end end = request_end_decide(&ends[i].signs);

		assert_int_equal(end, ends[i].end);
		assert_string_equal(request_end_name(end), ends[i].name);
		assert_int_equal(request_end_is_answered(end),
				 ends[i].answered);
	}
}

static void only_a_known_excuse_excuses(void **state)
{
	unsigned int bits;

	(void)state;
	for (bits = 0; bits < 1u << 7; bits++) {
		const struct request_end_signs s = {
			.given = bits & 1,
			.refused = bits & 2,
			.failed = bits & 4,
			.caller_left = bits & 8,
			.out_of_time = bits & 16,
			.grace_over = bits & 32,
			.broken_off = bits & 64,
		};
		bool allowed = s.given || s.caller_left || s.out_of_time ||
			       s.grace_over || s.broken_off;
		enum request_end end = request_end_decide(&s);

		assert_int_equal(end != REQUEST_END_UNEXCUSED, allowed);
		assert_int_equal(request_end_is_answered(end), s.given);
	}
}

static const struct {
	struct request_attendance a;
	const char *what; /* NULL: attended to */
} attendances[] = {
	{ { .waits = true, .wait_ends = true }, NULL },
	{ { .waits = true, .awaits_origin = true }, NULL },
	{ { .waits = true }, "waits without an end" },
	/* a run that is held is no reason to wait */
	{ { .waits = true, .called = true }, "waits without an end" },
	{ { .called = true }, NULL },
	{ { .answer_ended = true }, NULL },
	{ { .called = false }, "sent without a call" },
	{ { .wait_ends = true }, "sent without a call" },
	{ { .called = true, .answer_ended = true },
	  "its answer has ended beside a call" },
};

static void each_unattended_request_is_seen(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < N(attendances); i++) {
		const char *what = request_unattended(&attendances[i].a);

		if (attendances[i].what) {
			assert_non_null(what);
			assert_string_equal(what, attendances[i].what);
		} else {
			assert_null(what);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_end_has_its_kind),
		cmocka_unit_test(only_a_known_excuse_excuses),
		cmocka_unit_test(each_unattended_request_is_seen),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
