/* Unit tests of policy/stream_origin.c: notes of streams, versions that serve,
 * and where a stream goes on that its caller resumes. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/stream_origin.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))

#define SERVICE 7
#define OTHER_SERVICE 8
#define V1 101
#define V2 102
#define V3 103
#define LIFE_MS 30000

static void notes_and_records(void **state)
{
	struct stream_origin_table t;
	struct stream_origin *o;
	size_t position = 0;

	(void)state;
	stream_origin_init(&t, 64);
	assert_null(stream_origin_find(&t, 1));
	assert_null(stream_origin_find(&t, 0));
	stream_origin_note(&t, 1, V1, 100);
	assert_int_equal(stream_origin_find(&t, 1)->software, V1);
	stream_origin_read(&t, 1, V2, 110); /* the own note counts more */
	assert_int_equal(stream_origin_find(&t, 1)->software, V1);
	stream_origin_read(&t, 2, V1, 120);
	stream_origin_read(&t, 2, V1, 130);
	assert_int_equal(stream_origin_find(&t, 2)->software, V1);
	stream_origin_read(&t, 2, V2, 140);
	assert_int_equal(stream_origin_find(&t, 2)->software, SOFTWARE_UNKNOWN);
	/* only the own note has to be written, until it was */
	o = stream_origin_next_unstored(&t, 0, &position);
	assert_int_equal(o->stream, 1);
	o->stored = STORED_IN_CALL;
	assert_null(stream_origin_next_unstored(&t, 0, &position));
	stream_origin_written(&t, false);
	position = 0;
	o = stream_origin_next_unstored(&t, 0, &position);
	assert_int_equal(o->stream, 1);
	o->stored = STORED_IN_CALL;
	stream_origin_written(&t, true);
	position = 0;
	assert_null(stream_origin_next_unstored(&t, 0, &position));
	/* sent elsewhere before it began: to be written once more */
	stream_origin_note(&t, 1, V2, 200);
	position = 0;
	assert_non_null(stream_origin_next_unstored(&t, 0, &position));
	stream_origin_note(&t, 1, V2, 210);
	stream_origin_lost(&t);
	position = 0;
	assert_non_null(stream_origin_next_unstored(&t, 210, &position));
	position = 0;
	assert_null(stream_origin_next_unstored(&t, 211, &position));
	stream_origin_release(&t);
}

/* Notes of begun streams: they count more than records of the store. */
static void kept_notes(void **state)
{
	struct stream_origin_table t;
	size_t position = 0;

	(void)state;
	stream_origin_init(&t, 64);
	stream_origin_read(&t, 1, V1, 100); /* made before its first event */
	stream_origin_keep(&t, 1, V2, 110);
	assert_int_equal(stream_origin_find(&t, 1)->software, V2);
	assert_true(stream_origin_find(&t, 1)->begun);
	stream_origin_read(&t, 1, V1, 120);
	assert_int_equal(stream_origin_find(&t, 1)->software, V2);
	assert_null(stream_origin_next_unstored(&t, 0, &position));
	stream_origin_keep(&t, 1, V1, 130);
	assert_int_equal(stream_origin_find(&t, 1)->software, SOFTWARE_UNKNOWN);
	stream_origin_note(&t, 2, V1, 140);
	assert_false(stream_origin_find(&t, 2)->begun);
	stream_origin_begin(&t, 2, V2, 150);
	assert_true(stream_origin_find(&t, 2)->begun);
	assert_true(stream_origin_find(&t, 2)->own);
	assert_int_equal(stream_origin_find(&t, 2)->software, V2);
	stream_origin_release(&t);
}

/* The oldest notes give way; a table holds the streams of its size. */
static void notes_are_bounded(void **state)
{
	struct stream_origin_table t;
	uint64_t found = 0;
	uint64_t i;

	(void)state;
	stream_origin_init(&t, 1024);
	for (i = 1; i <= 100000; i++)
		stream_origin_note(&t, i * 0x9E3779B97F4A7C15, V1, i);
	for (i = 100000 - 511; i <= 100000; i++)
		found += stream_origin_find(&t, i * 0x9E3779B97F4A7C15) != NULL;
	assert_int_equal(found, 512);
	assert_null(stream_origin_find(&t, 0x9E3779B97F4A7C15));
	stream_origin_release(&t);
}

/* Records of others do not replace own notes that are not written yet. */
static void reading_keeps_unwritten_notes(void **state)
{
	struct stream_origin_table t;
	uint64_t i;

	(void)state;
	stream_origin_init(&t, 64);
	for (i = 1; i <= 16; i++)
		stream_origin_note(&t, i, V1, 100);
	for (i = 1000; i < 9000; i++)
		stream_origin_read(&t, i, V2, 200);
	for (i = 1; i <= 16; i++)
		assert_non_null(stream_origin_find(&t, i));
	stream_origin_release(&t);
}

/* A version that was not known when a stream began is named later. */
static void named_versions(void **state)
{
	struct stream_origin_table t;
	size_t position = 0;
	struct stream_origin *o;

	(void)state;
	stream_origin_init(&t, 64);
	stream_origin_note(&t, 1, V3, 100);
	o = stream_origin_next_unstored(&t, 0, &position);
	o->stored = STORED;
	stream_origin_rename(&t, V3, V1);
	assert_int_equal(stream_origin_find(&t, 1)->software, V1);
	position = 0;
	assert_non_null(stream_origin_next_unstored(&t, 0, &position));
	stream_origin_release(&t);
}

/* A note whose version will be known soon is written once it is. */
static void awaited_names(void **state)
{
	struct stream_origin_table t;
	size_t position = 0;
	struct stream_origin *o;

	(void)state;
	stream_origin_init(&t, 64);
	stream_origin_await_name(&t, 1); /* not noted */
	assert_null(stream_origin_find(&t, 1));
	stream_origin_note(&t, 1, V3, 100);
	stream_origin_await_name(&t, 1);
	stream_origin_note(&t, 2, V3, 100);
	stream_origin_await_name(&t, 2);
	stream_origin_begin(&t, 2, V3, 110);
	stream_origin_await_name(&t, 2);
	assert_null(stream_origin_next_unstored(&t, 0, &position));
	stream_origin_lost(&t);
	assert_null(stream_origin_next_unstored(&t, 0, &position));
	stream_origin_rename(&t, V3, V1);
	position = 0;
	assert_non_null(stream_origin_next_unstored(&t, 0, &position));
	assert_non_null(stream_origin_next_unstored(&t, 0, &position));
	assert_true(stream_origin_find(&t, 2)->begun);
	assert_int_equal(stream_origin_find(&t, 2)->software, V1);
	/* sent on to an endpoint whose version is known */
	stream_origin_note(&t, 3, V3, 200);
	stream_origin_await_name(&t, 3);
	stream_origin_note(&t, 3, V2, 210);
	position = 0;
	o = stream_origin_next_unstored(&t, 210, &position);
	assert_int_equal(o->stream, 3);
	assert_int_equal(o->software, V2);
	stream_origin_release(&t);
}

static void versions_within_the_life_of_a_stream(void **state)
{
	struct software_history h = { .n = 0 };
	struct software_recent r;

	(void)state;
	assert_int_equal(software_recent(&h, SERVICE, LIFE_MS, 0).n, 0);
	software_note(&h, SERVICE, V1, 1000);
	software_note(&h, OTHER_SERVICE, V3, 1000);
	r = software_recent(&h, SERVICE, LIFE_MS, 1000);
	assert_int_equal(r.n, 1);
	assert_int_equal(r.only, V1);
	assert_false(software_mixed(&h, LIFE_MS, 1000));
	software_note(&h, SERVICE, V2, 2000);
	software_note(&h, SERVICE, V2, 500); /* older news changes nothing */
	assert_int_equal(software_recent(&h, SERVICE, LIFE_MS, 2000).n, 2);
	assert_true(software_mixed(&h, LIFE_MS, 2000));
	/* the first version has left; streams of it may still come */
	software_note(&h, SERVICE, V2, 1000 + LIFE_MS);
	assert_int_equal(
		software_recent(&h, SERVICE, LIFE_MS, 1000 + LIFE_MS).n, 2);
	r = software_recent(&h, SERVICE, LIFE_MS, 1001 + LIFE_MS);
	assert_int_equal(r.n, 1);
	assert_int_equal(r.only, V2);
	assert_false(software_mixed(&h, LIFE_MS, 1001 + LIFE_MS));
	/* it comes back: a release that is taken back */
	software_note(&h, SERVICE, V1, 1002 + LIFE_MS);
	assert_true(software_mixed(&h, LIFE_MS, 1002 + LIFE_MS));
	software_forget(&h, V1);
	assert_int_equal(
		software_recent(&h, SERVICE, LIFE_MS, 1002 + LIFE_MS).only, V2);
}

/* The row of a version is removed when the version is over, unless it serves
 * again before. */
static void versions_that_are_over(void **state)
{
	struct software_history h = { .n = 0 };
	struct software_version *v = h.version;

	(void)state;
	software_note(&h, SERVICE, V1, 1000);
	assert_false(software_over(v, LIFE_MS, 1001 + LIFE_MS)); /* no row */
	software_read(&h, SERVICE, V1, true, 12, 2000);
	assert_int_equal(h.n, 1);
	assert_int_equal(v->row_version, 12);
	assert_int_equal(v->listed_ms, 1000); /* a row shows no endpoint */
	assert_false(software_over(v, LIFE_MS, 1000 + LIFE_MS));
	assert_true(software_over(v, LIFE_MS, 1001 + LIFE_MS));
	v->end_reading = 3;
	software_note(&h, SERVICE, V1, 500); /* older news */
	software_read(&h, SERVICE, V1, true, 13, 1002 + LIFE_MS);
	assert_true(software_over(v, LIFE_MS, 1002 + LIFE_MS));
	assert_int_equal(v->end_reading, 3);
	assert_int_equal(v->row_version, 13);
	software_note(&h, SERVICE, V1, 1003 + LIFE_MS);
	assert_false(software_over(v, LIFE_MS, 1003 + LIFE_MS));
	assert_int_equal(v->end_reading, 0);
	/* a row of an older era is written again first */
	software_read(&h, SERVICE, V1, false, 4, 1004 + LIFE_MS);
	assert_false(software_over(v, LIFE_MS, 2000 + 2 * LIFE_MS));
}

/* More versions than are remembered prove nothing. */
static void forgotten_versions_prove_nothing(void **state)
{
	struct software_history h = { .n = 0 };
	uint64_t i;

	(void)state;
	for (i = 1; i <= SOFTWARE_VERSIONS_MAX + 1; i++)
		software_note(&h, OTHER_SERVICE, i, i);
	software_note(&h, SERVICE, V1, 100);
	assert_true(software_recent(&h, SERVICE, LIFE_MS, 100).n > 1);
	assert_int_equal(software_recent(&h, SERVICE, LIFE_MS, 100).only,
			 SOFTWARE_UNKNOWN);
}

static void take_ups(void **state)
{
	static const struct {
		struct stream_take_up question;
		enum take_up_action action;
		uint64_t software;
	} cases[] = {
		{ { .recorded = V1, .recent = { .n = 2 } }, TAKE_UP_BOUND, V1 },
		/* a record counts more than the only version that serves */
		{ { .recorded = V1,
		    .recent = { .n = 1, .only = V2 },
		    .history_complete = true },
		  TAKE_UP_BOUND,
		  V1 },
		{ { .recent = { .n = 1, .only = V2 },
		    .history_complete = true },
		  TAKE_UP_BOUND,
		  V2 },
		/* a process that has just started does not know who served */
		{ { .recent = { .n = 1, .only = V2 } }, TAKE_UP_REFUSE, 0 },
		{ { .recent = { .n = 1, .only = V2 }, .store_answers = true },
		  TAKE_UP_WAIT,
		  0 },
		{ { .recent = { .n = 2 },
		    .history_complete = true,
		    .store_answers = true },
		  TAKE_UP_WAIT,
		  0 },
		{ { .recent = { .n = 2 },
		    .history_complete = true,
		    .store_answers = true,
		    .readings = 1,
		    .waited_ms = 200 },
		  TAKE_UP_WAIT,
		  0 },
		{ { .recent = { .n = 2 },
		    .history_complete = true,
		    .store_answers = true,
		    .readings = 2 },
		  TAKE_UP_REFUSE,
		  0 },
		{ { .recent = { .n = 2 },
		    .history_complete = true,
		    .store_answers = true,
		    .waited_ms = 1000 },
		  TAKE_UP_REFUSE,
		  0 },
		{ { .recent = { .n = 2 }, .history_complete = true },
		  TAKE_UP_REFUSE,
		  0 },
		{ { .recent = { .n = 0 }, .history_complete = true },
		  TAKE_UP_REFUSE,
		  0 },
		/* keepers are asked unless the record is final */
		{ { .recorded = V1, .begun = true, .keepers = 3 },
		  TAKE_UP_BOUND,
		  V1 },
		{ { .recorded = V1, .keepers = 3 }, TAKE_UP_ASK, 0 },
		{ { .keepers = 3, .asked_ms_ago = 99, .store_answers = true },
		  TAKE_UP_ASK,
		  0 },
		{ { .keepers = 3, .asked_ms_ago = 100, .store_answers = true },
		  TAKE_UP_WAIT,
		  0 },
		{ { .recorded = V1, .keepers = 3, .asked_ms_ago = 100 },
		  TAKE_UP_BOUND,
		  V1 },
		{ { .begun = true, .keepers = 3, .asked_ms_ago = 100 },
		  TAKE_UP_REFUSE,
		  0 },
	};
	size_t i;

	(void)state;
	for (i = 0; i < N(cases); i++) {
		struct take_up_decision d =
			stream_take_up_decide(&cases[i].question);

		assert_int_equal(d.action, cases[i].action);
		if (d.action == TAKE_UP_BOUND)
			assert_int_equal(d.software, cases[i].software);
	}
}

/* All instances together write at most half of what a part of the store takes,
 * 150 a second. */
static void writes_are_bounded(void **state)
{
	static const size_t fleets[] = { 1, 6, 9, 64, 295, 920 };
	size_t i;

	(void)state;
	for (i = 0; i < N(fleets); i++)
		assert_true(fleets[i] * 1000 <=
			    75 * (size_t)stream_origin_interval_ms(fleets[i]));
	assert_true(stream_origin_interval_ms(6) < 1000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(notes_and_records),
		cmocka_unit_test(kept_notes),
		cmocka_unit_test(notes_are_bounded),
		cmocka_unit_test(reading_keeps_unwritten_notes),
		cmocka_unit_test(named_versions),
		cmocka_unit_test(awaited_names),
		cmocka_unit_test(versions_within_the_life_of_a_stream),
		cmocka_unit_test(versions_that_are_over),
		cmocka_unit_test(forgotten_versions_prove_nothing),
		cmocka_unit_test(take_ups),
		cmocka_unit_test(writes_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
