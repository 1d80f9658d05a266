/* Tests policy/crash_suspect.c and policy/content.c. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/content.h"
#include "policy/crash_suspect.h"
#include "regress/random.h"

#define START_MS 1000000
#define A 0x1234567890abcdefu

static struct crash_suspects *suspects;
static uint32_t n_ids;

static int set_up(void **state)
{
	(void)state;
	suspects = crash_suspect_new(&crash_suspect_defaults);
	n_ids = 0;
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	crash_suspect_free(suspects);
	return 0;
}

/* Records that an endpoint crashed during a run of a content. */
static bool crash_at(uint64_t endpoint, uint64_t content, uint64_t sent_ms,
		     uint64_t crashed_ms)
{
	const struct run_crash s = {
		.id = ++n_ids,
		.endpoint = endpoint,
		.sent_ms = sent_ms,
		.crashed_ms = crashed_ms,
	};

	return crash_suspect_add_crash(suspects, content, &s, crashed_ms);
}

/* The same, for an endpoint that ran nothing else. */
static bool crash(uint64_t content, uint64_t sent_ms, uint64_t crashed_ms)
{
	return crash_at(1000 + n_ids, content, sent_ms, crashed_ms);
}

/* Tells whether the content is refused after all suspects were evaluated. */
static bool refused(uint64_t content, uint64_t now)
{
	while (crash_suspect_evaluate(suspects,
				      now + crash_suspect_defaults.settle_ms))
		;
	return crash_suspect_decide(suspects, content,
				    now + crash_suspect_defaults.settle_ms) ==
	       CRASH_SUSPECT_REFUSE;
}

/* The content is refused after three runs, one after the other. */
static uint64_t refused_after_three_crashes(uint64_t content, uint64_t from_ms)
{
	assert_true(crash(content, from_ms, from_ms + 10));
	assert_false(refused(content, from_ms + 10));
	assert_true(crash(content, from_ms + 10, from_ms + 20));
	assert_false(refused(content, from_ms + 20));
	assert_true(crash(content, from_ms + 500, from_ms + 520));
	assert_int_equal(crash_suspect_decide(suspects, content, from_ms + 520),
			 CRASH_SUSPECT_HOLD);
	assert_true(refused(content, from_ms + 520));
	return from_ms + 520 + crash_suspect_defaults.settle_ms;
}

static void third_crash_refuses(void **state)
{
	uint64_t now;

	(void)state;
	now = refused_after_three_crashes(A, START_MS);
	assert_int_equal(crash_suspect_refused_ms(suspects, A, now),
			 crash_suspect_defaults.refused_ms);
	assert_int_equal(crash_suspect_refused_ms(suspects, A + 1, now), 0);
	assert_false(crash(A, now, now + 1));
}

/* The loss of a rack cuts off all runs of a popular lookup. */
static void concurrent_runs_count_once(void **state)
{
	int i;

	(void)state;
	assert_true(crash(A, START_MS, START_MS + 50));
	for (i = 0; i < 100; i++)
		assert_false(
			crash(A, START_MS + (uint64_t)i % 40, START_MS + 60));
	assert_false(refused(A, START_MS + 60));
}

/* Several instances detect the same crash one after the other. */
static void crash_detected_by_several_counts_once(void **state)
{
	uint64_t now = START_MS;
	int i;

	(void)state;
	for (i = 0; i < 10; i++, now += 100)
		crash_at(7, A, now, now + 1);
	assert_false(refused(A, now));
}

/* The same crash is received in a duplicated datagram. */
static void crash_received_twice_counts_once(void **state)
{
	const struct run_crash s = { .id = 7,
				     .sent_ms = START_MS,
				     .crashed_ms = START_MS + 1 };
	struct run_crash late = s;

	(void)state;
	late.sent_ms += 40;
	late.crashed_ms += 40;
	assert_true(crash_suspect_add_crash(suspects, A, &s, START_MS + 1));
	assert_false(
		crash_suspect_add_crash(suspects, A, &late, START_MS + 300));
}

/* Consecutive runs seem to overlap by the delay of a datagram. */
static void times_may_be_slightly_off(void **state)
{
	(void)state;
	assert_true(crash(A, START_MS, START_MS + 33));
	assert_true(crash(A, START_MS + 30, START_MS + 61));
	assert_true(crash(A, START_MS + 58, START_MS + 90));
	assert_true(refused(A, START_MS + 90));
}

/* Crashes are received in any order. */
static void order_of_receipt_does_not_matter(void **state)
{
	(void)state;
	assert_true(crash(A, START_MS + 500, START_MS + 520));
	assert_true(crash(A, START_MS, START_MS + 10));
	assert_true(crash(A, START_MS + 10, START_MS + 20));
	assert_true(refused(A, START_MS + 520));
}

/* Innocent contents were running on the same three endpoints: none stands out
 * until the content that crashes them runs on a fourth without the others. */
static void contents_with_equal_evidence_run(void **state)
{
	uint64_t now = START_MS;
	uint64_t c;
	int i;

	(void)state;
	for (i = 0; i < CRASH_SUSPECT_CRASHES; i++, now += 100)
		for (c = A; c < A + 5; c++)
			assert_true(crash_at((uint64_t)i, c, now, now + 50));
	assert_int_equal(crash_suspect_decide(suspects, A + 2, now),
			 CRASH_SUSPECT_HOLD);
	for (c = A; c < A + 5; c++)
		assert_false(refused(c, now));
	assert_true(crash_at(9, A + 3, now, now + 50));
	for (c = A; c < A + 5; c++)
		assert_int_equal(refused(c, now + 50), c == A + 3);
	/* the crashes it explains count against no other */
	assert_null(crash_suspect_find(suspects, A, now + 50));
}

/* Contents with equal evidence in each crash are all refused at the maximum. */
static void equal_evidence_is_refused_at_maximum(void **state)
{
	uint64_t now = START_MS;
	int i;

	(void)state;
	for (i = 0; i < CRASH_SUSPECT_CRASHES_MAX; i++, now += 1000) {
		assert_false(refused(A, now));
		assert_true(crash_at((uint64_t)i, A, now, now + 50));
		assert_true(crash_at((uint64_t)i, A + 1, now, now + 50));
	}
	assert_true(refused(A, now));
}

/* A popular lookup is running in every crash of an endpoint, and completes runs
 * in between. */
static void completed_content_is_cleared(void **state)
{
	uint64_t now = START_MS;
	int i;

	(void)state;
	for (i = 0; i < 50; i++, now += 1000) {
		crash(A, now, now + 10);
		assert_false(refused(A, now + 10));
		crash_suspect_run_completed(suspects, A, now + 500);
		assert_null(crash_suspect_find(suspects, A, now + 500));
	}
	/* a run that completed during the crashed one */
	crash_suspect_run_completed(suspects, A, now + 5);
	assert_false(crash(A, now, now + 10));
}

/* All endpoints of a service are lost at once, each while running the same
 * popular content: each run was sent after the crash of the one before. */
static void loss_of_service_refuses_nothing(void **state)
{
	uint64_t now = START_MS;
	int i;

	(void)state;
	crash_suspect_run_completed(suspects, A, START_MS - 10);
	for (i = 0; i < 10; i++, now += 5)
		assert_false(crash_at((uint64_t)i, A, now, now + 4));
	assert_false(refused(A, now));
}

/* All engines are lost at once, again and again, before any run of a popular
 * content could complete: each loss counts once, and the content is refused
 * only at the maximum. */
static void popular_content_needs_more_crashes(void **state)
{
	uint64_t now = START_MS;
	int i;
	int k;

	(void)state;
	for (i = 0; i < CRASH_SUSPECT_CRASHES_MAX; i++, now += 2500) {
		assert_false(refused(A, now));
		for (k = 0; k < 5; k++)
			crash_at((uint64_t)k, A, now + (uint64_t)k,
				 now + (uint64_t)k * 5 + 50);
	}
	assert_true(refused(A, now));
	assert_true(crash_suspect_refused_ms(suspects, A, now) <=
		    crash_suspect_defaults.refused_popular_ms +
			    crash_suspect_defaults.settle_ms);
}

/* A caller that retries before its last attempt has crashed is detected too. */
static void overlapping_attempts_count(void **state)
{
	uint64_t now = START_MS;
	int i;

	(void)state;
	for (i = 0; i < 8; i++, now += 300)
		crash(A, now, now + 500);
	assert_true(refused(A, now));
	assert_true(crash_suspect_refused_ms(suspects, A, now) >
		    crash_suspect_defaults.refused_popular_ms +
			    crash_suspect_defaults.settle_ms);
}

/* A content that has always completed begins to crash endpoints. */
static void formerly_completed_content_is_refused(void **state)
{
	(void)state;
	crash_suspect_run_completed(suspects, A, START_MS);
	refused_after_three_crashes(
		A, START_MS + crash_suspect_defaults.completed_ms + 1);
}

/* A refusal from another instance is rejected where a run completed since. */
static void refusal_is_rejected_after_completed_run(void **state)
{
	(void)state;
	crash_suspect_run_completed(
		suspects, A,
		START_MS + 100 - crash_suspect_defaults.completed_ms);
	assert_false(crash_suspect_refuse(suspects, A, START_MS, 60000,
					  START_MS + 200));
	assert_int_equal(crash_suspect_refused_ms(suspects, A, START_MS + 200),
			 0);
	assert_true(crash_suspect_refuse(suspects, A, START_MS + 101, 60000,
					 START_MS + 200));
	assert_int_equal(crash_suspect_refused_ms(suspects, A, START_MS + 200),
			 60000);
	assert_true(crash_suspect_clear(suspects, A));
	assert_int_equal(crash_suspect_refused_ms(suspects, A, START_MS + 200),
			 0);
}

/* When a refusal expires, one run is a trial; a crash during it refuses the
 * content again, for much longer, on the instance that recorded the crashes and
 * on one that received the refusal. */
static void expired_refusal_allows_a_trial(void **state)
{
	uint64_t ms = crash_suspect_defaults.refused_ms;
	uint64_t longer = ms * crash_suspect_defaults.refused_factor;
	uint64_t now;

	(void)state;
	now = refused_after_three_crashes(A, START_MS) + ms;
	assert_int_equal(crash_suspect_decide(suspects, A, now),
			 CRASH_SUSPECT_RUN);
	assert_true(crash(A, now, now + 5));
	assert_true(refused(A, now + 5));
	assert_true(crash_suspect_refused_ms(suspects, A, now + 5) >= longer);

	assert_true(
		crash_suspect_refuse(suspects, A + 1, START_MS, ms, START_MS));
	now = START_MS + ms;
	assert_int_equal(crash_suspect_decide(suspects, A + 1, now),
			 CRASH_SUSPECT_RUN);
	assert_true(crash(A + 1, now, now + 5));
	assert_true(refused(A + 1, now + 5));
	assert_true(crash_suspect_refused_ms(suspects, A + 1, now + 5) >=
		    longer);
}

/* A caller that sends the request every second gets few trials in a test day of
 * five minutes; the users allow three. */
static void trials_are_few(void **state)
{
	uint64_t now;
	uint64_t end;
	unsigned int trials = 0;

	(void)state;
	now = refused_after_three_crashes(A, START_MS);
	for (end = now + 300000; now < end; now += 1000) {
		if (crash_suspect_decide(suspects, A, now) != CRASH_SUSPECT_RUN)
			continue;
		trials++;
		crash(A, now, now + 50);
		assert_true(refused(A, now + 50));
	}
	print_message("%u trials\n", trials);
	assert_true(trials > 0 && trials < 3);
}

/* A completed trial clears the record. */
static void completed_trial_clears_record(void **state)
{
	uint64_t now;

	(void)state;
	now = refused_after_three_crashes(A, START_MS) +
	      crash_suspect_defaults.refused_ms;
	assert_int_equal(crash_suspect_refused_ms(suspects, A, now), 0);
	assert_true(crash_suspect_run_completed(suspects, A, now + 5));
	assert_null(crash_suspect_find(suspects, A, now + 5));
	refused_after_three_crashes(
		A, now + 6 + crash_suspect_defaults.completed_ms);
}

/* Refusals and suspicions have a maximum duration. */
static void durations_are_bounded(void **state)
{
	uint64_t now = START_MS;
	int i;

	(void)state;
	crash_suspect_refuse(suspects, A, START_MS, UINT64_MAX / 2, START_MS);
	assert_int_equal(crash_suspect_refused_ms(suspects, A, START_MS),
			 crash_suspect_defaults.refused_max_ms);
	now = refused_after_three_crashes(A + 1, now);
	for (i = 0; i < 20; i++) {
		now += crash_suspect_refused_ms(suspects, A + 1, now);
		crash(A + 1, now, now + 5);
		assert_true(refused(A + 1, now + 5));
		now += 5 + crash_suspect_defaults.settle_ms;
		assert_true(crash_suspect_refused_ms(suspects, A + 1, now) <=
			    crash_suspect_defaults.refused_max_ms);
	}
	crash(A + 2, START_MS, START_MS + 1);
	assert_non_null(crash_suspect_find(suspects, A + 2, START_MS + 1));
	assert_null(crash_suspect_find(
		suspects, A + 2,
		START_MS + 1 + crash_suspect_defaults.suspected_ms));
}

/* A caller that sends as many crashing requests as it can evicts no refused
 * content as long as there is a suspect to evict. */
static void refusals_survive_a_flood_of_suspects(void **state)
{
	struct random_source random = { .seed = 3 };
	uint64_t now;
	size_t i = 0;
	int k;

	(void)state;
	now = refused_after_three_crashes(A, START_MS);
	for (k = 0; k < 100000; k++)
		crash((uint64_t)random_below(&random, UINT32_MAX) << 32 |
			      random_below(&random, UINT32_MAX) | 1,
		      now, now + 1);
	assert_true(crash_suspect_refused_ms(suspects, A, now) > 0);
	assert_non_null(crash_suspect_next_refused(suspects, now, &i));
	assert_null(crash_suspect_next_refused(suspects, now, &i));
}

/* Of 18 engines one crashes every second for a reason of its own and restarts:
 * few of the innocent contents are refused. */
static void flapping_engines_refuse_few(void **state)
{
	enum { ENGINES = 18, RUN_MS = 5000, STREAMS = 25, DAY_S = 300 };
	struct random_source random = { .seed = 5 };
	struct {
		uint64_t content;
		uint32_t engine;
		uint64_t sent_ms;
		uint64_t end_ms;
	} run[STREAMS] = { 0 };
	uint64_t next = 1;
	uint64_t now;
	unsigned n_refused = 0;
	unsigned n_crashes = 0;
	int i;

	(void)state;
	for (now = START_MS; now < START_MS + DAY_S * 1000u; now += 20) {
		uint32_t lost = now % 1000 ? ENGINES : random_below(&random, 3);

		while (crash_suspect_evaluate(suspects, now))
			n_refused++;
		for (i = 0; i < STREAMS; i++) {
			if (now >= run[i].end_ms) {
				if (run[i].content)
					crash_suspect_run_completed(
						suspects, run[i].content, now);
				run[i].content = next++ * 0x9e3779b97f4a7c15u;
				run[i].engine = random_below(&random, ENGINES);
				run[i].sent_ms = now;
				run[i].end_ms =
					now + RUN_MS +
					random_below(&random, RUN_MS / 5);
			}
			if (run[i].engine != lost)
				continue;
			n_crashes++;
			crash_at(lost, run[i].content, run[i].sent_ms, now);
			run[i].engine = random_below(&random, ENGINES);
			run[i].sent_ms = now;
		}
	}
	print_message("%u runs cut off by crashes, %u contents refused\n",
		      n_crashes, n_refused);
	assert_true(n_crashes > 200);
	assert_true(n_refused * 100 <= n_crashes);
}

static struct content text_content(const char *caller, const char *target,
				   const char *body)
{
	return (struct content){
		.caller = caller,
		.target = target,
		.target_len = strlen(target),
		.body = body,
		.body_len = strlen(body),
	};
}

/* Contents differ if the caller, the target or the body differ. */
static void contents_are_distinguished(void **state)
{
	static const char *const texts[][3] = {
		{ "ajoke", "/look/a", "x" }, { "", "/look/a", "x" },
		{ "ajok", "e/look/a", "x" }, { "ajoke", "/look/", "ax" },
		{ "ajoke", "/look/a", "" },  { "ajoke", "/look/a", "y" },
		{ "ajoke", "", "/look/ax" }, { "bula", "/look/a", "x" },
	};
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < 8; i++)
		for (k = 0; k < 8; k++) {
			struct content a = text_content(
				texts[i][0], texts[i][1], texts[i][2]);
			struct content b = text_content(
				texts[k][0], texts[k][1], texts[k][2]);

			assert_int_equal(content_hash(&a) == content_hash(&b),
					 i == k);
		}
}

int main(void)
{
#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(third_crash_refuses),
		CASE(concurrent_runs_count_once),
		CASE(crash_detected_by_several_counts_once),
		CASE(crash_received_twice_counts_once),
		CASE(times_may_be_slightly_off),
		CASE(order_of_receipt_does_not_matter),
		CASE(contents_with_equal_evidence_run),
		CASE(equal_evidence_is_refused_at_maximum),
		CASE(completed_content_is_cleared),
		CASE(loss_of_service_refuses_nothing),
		CASE(popular_content_needs_more_crashes),
		CASE(overlapping_attempts_count),
		CASE(formerly_completed_content_is_refused),
		CASE(refusal_is_rejected_after_completed_run),
		CASE(expired_refusal_allows_a_trial),
		CASE(trials_are_few),
		CASE(completed_trial_clears_record),
		CASE(durations_are_bounded),
		CASE(refusals_survive_a_flood_of_suspects),
		CASE(flapping_engines_refuse_few),
		CASE(contents_are_distinguished),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
