/* Unit tests of policy/poison.c and policy/content.c. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/content.h"
#include "policy/poison.h"
#include "regress/random.h"

#define START_MS 1000000
#define A 0x1234567890abcdefu

static struct poison *poison;
static uint32_t n_ids;

static int set_up(void **state)
{
	(void)state;
	poison = poison_new(&poison_defaults);
	n_ids = 0;
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	poison_free(poison);
	return 0;
}

/* An endpoint ends under a run of a content. */
static bool ends_at(uint64_t endpoint, uint64_t content, uint64_t sent_ms,
		    uint64_t ended_ms)
{
	const struct poison_strike s = {
		.id = ++n_ids,
		.endpoint = endpoint,
		.sent_ms = sent_ms,
		.ended_ms = ended_ms,
	};

	return poison_strike(poison, content, &s, ended_ms);
}

/* The same, of an endpoint that nothing else ran at. */
static bool ends(uint64_t content, uint64_t sent_ms, uint64_t ended_ms)
{
	return ends_at(1000 + n_ids, content, sent_ms, ended_ms);
}

/* Returns whether the content is refused once all has been decided. */
static bool refused(uint64_t content, uint64_t now)
{
	while (poison_decide(poison, now + poison_defaults.settle_ms))
		;
	return poison_judge(poison, content, now + poison_defaults.settle_ms) ==
	       POISON_REFUSE;
}

/* Three runs, one after the other, and the content is refused. */
static uint64_t refused_after_three(uint64_t content, uint64_t from_ms)
{
	assert_true(ends(content, from_ms, from_ms + 10));
	assert_false(refused(content, from_ms + 10));
	assert_true(ends(content, from_ms + 10, from_ms + 20));
	assert_false(refused(content, from_ms + 20));
	assert_true(ends(content, from_ms + 500, from_ms + 520));
	assert_int_equal(poison_judge(poison, content, from_ms + 520),
			 POISON_HOLD);
	assert_true(refused(content, from_ms + 520));
	return from_ms + 520 + poison_defaults.settle_ms;
}

static void third_end_refuses(void **state)
{
	uint64_t now;

	(void)state;
	now = refused_after_three(A, START_MS);
	assert_int_equal(poison_refused_ms(poison, A, now),
			 poison_defaults.refused_ms);
	assert_int_equal(poison_refused_ms(poison, A + 1, now), 0);
	assert_false(ends(A, now, now + 1));
}

/* A rack ends under all runs of a lookup that runs everywhere. */
static void runs_at_the_same_time_count_once(void **state)
{
	int i;

	(void)state;
	assert_true(ends(A, START_MS, START_MS + 50));
	for (i = 0; i < 100; i++)
		assert_false(
			ends(A, START_MS + (uint64_t)i % 40, START_MS + 60));
	assert_false(refused(A, START_MS + 60));
}

/* Instances find the same end of an endpoint one after the other. */
static void end_that_several_find_counts_once(void **state)
{
	uint64_t now = START_MS;
	int i;

	(void)state;
	for (i = 0; i < 10; i++, now += 100)
		ends_at(7, A, now, now + 1);
	assert_false(refused(A, now));
}

/* The same end is told by a datagram that comes twice. */
static void end_that_is_told_twice_counts_once(void **state)
{
	const struct poison_strike s = { .id = 7,
					 .sent_ms = START_MS,
					 .ended_ms = START_MS + 1 };
	struct poison_strike late = s;

	(void)state;
	late.sent_ms += 40;
	late.ended_ms += 40;
	assert_true(poison_strike(poison, A, &s, START_MS + 1));
	assert_false(poison_strike(poison, A, &late, START_MS + 300));
}

/* Runs that follow on each other seem to overlap by what a datagram takes. */
static void times_that_are_told_are_a_little_off(void **state)
{
	(void)state;
	assert_true(ends(A, START_MS, START_MS + 33));
	assert_true(ends(A, START_MS + 30, START_MS + 61));
	assert_true(ends(A, START_MS + 58, START_MS + 90));
	assert_true(refused(A, START_MS + 90));
}

/* Ends are told in any order. */
static void order_of_the_news_does_not_matter(void **state)
{
	(void)state;
	assert_true(ends(A, START_MS + 500, START_MS + 520));
	assert_true(ends(A, START_MS, START_MS + 10));
	assert_true(ends(A, START_MS + 10, START_MS + 20));
	assert_true(refused(A, START_MS + 520));
}

/* Innocent runs were at the same three endpoints: none stands out, until the one
 * that ends them is at a fourth without them. */
static void those_that_are_even_run_on(void **state)
{
	uint64_t now = START_MS;
	uint64_t c;
	int i;

	(void)state;
	for (i = 0; i < POISON_STRIKES; i++, now += 100)
		for (c = A; c < A + 5; c++)
			assert_true(ends_at((uint64_t)i, c, now, now + 50));
	assert_int_equal(poison_judge(poison, A + 2, now), POISON_HOLD);
	for (c = A; c < A + 5; c++)
		assert_false(refused(c, now));
	assert_true(ends_at(9, A + 3, now, now + 50));
	for (c = A; c < A + 5; c++)
		assert_int_equal(refused(c, now + 50), c == A + 3);
	/* what ended under it counts against no other */
	assert_null(poison_find(poison, A, now + 50));
}

/* They are even at each end: all are refused at the last, and come back. */
static void those_that_stay_even_are_refused(void **state)
{
	uint64_t now = START_MS;
	int i;

	(void)state;
	for (i = 0; i < POISON_STRIKES_MAX; i++, now += 1000) {
		assert_false(refused(A, now));
		assert_true(ends_at((uint64_t)i, A, now, now + 50));
		assert_true(ends_at((uint64_t)i, A + 1, now, now + 50));
	}
	assert_true(refused(A, now));
}

/* A popular lookup is there whenever an endpoint ends, and runs to its end
 * between. */
static void content_that_runs_to_its_end_is_cleared(void **state)
{
	uint64_t now = START_MS;
	int i;

	(void)state;
	for (i = 0; i < 50; i++, now += 1000) {
		ends(A, now, now + 10);
		assert_false(refused(A, now + 10));
		poison_ran(poison, A, now + 500);
		assert_null(poison_find(poison, A, now + 500));
	}
	/* a run that ended well while that of the strike went on */
	poison_ran(poison, A, now + 5);
	assert_false(ends(A, now, now + 10));
}

/* All endpoints of a service are lost within a moment, each under a run of what
 * all callers ask for: a run was sent after the end of the one before. */
static void lost_service_does_not_refuse_what_it_served(void **state)
{
	uint64_t now = START_MS;
	int i;

	(void)state;
	poison_ran(poison, A, START_MS - 10);
	for (i = 0; i < 10; i++, now += 5)
		assert_false(ends_at((uint64_t)i, A, now, now + 4));
	assert_false(refused(A, now));
}

/* All engines are lost at once, again and again, before any run of what all callers
 * ask for could end: each loss counts once, and it takes as many as any content. */
static void what_many_ask_for_needs_more_ends(void **state)
{
	uint64_t now = START_MS;
	int i;
	int k;

	(void)state;
	for (i = 0; i < POISON_STRIKES_MAX; i++, now += 2500) {
		assert_false(refused(A, now));
		for (k = 0; k < 5; k++)
			ends_at((uint64_t)k, A, now + (uint64_t)k,
				now + (uint64_t)k * 5 + 50);
	}
	assert_true(refused(A, now));
	assert_true(poison_refused_ms(poison, A, now) <=
		    poison_defaults.refused_many_ms +
			    poison_defaults.settle_ms);
}

/* A caller that comes before the end of its last attempt is known all the same. */
static void attempts_that_overlap_count(void **state)
{
	uint64_t now = START_MS;
	int i;

	(void)state;
	for (i = 0; i < 8; i++, now += 300)
		ends(A, now, now + 500);
	assert_true(refused(A, now));
	assert_true(poison_refused_ms(poison, A, now) >
		    poison_defaults.refused_many_ms +
			    poison_defaults.settle_ms);
}

/* It has run well for long, and ends endpoints from some day on. */
static void content_that_ran_well_before_is_refused(void **state)
{
	(void)state;
	poison_ran(poison, A, START_MS);
	refused_after_three(A, START_MS + poison_defaults.ran_ms + 1);
}

/* A refusal of others is not taken where the content has run since. */
static void refusal_is_taken_back_where_it_ran(void **state)
{
	(void)state;
	poison_ran(poison, A, START_MS + 100 - poison_defaults.ran_ms);
	assert_false(poison_refuse(poison, A, START_MS, 60000, START_MS + 200));
	assert_int_equal(poison_refused_ms(poison, A, START_MS + 200), 0);
	assert_true(poison_refuse(poison, A, START_MS + 101, 60000,
				  START_MS + 200));
	assert_int_equal(poison_refused_ms(poison, A, START_MS + 200), 60000);
	assert_true(poison_clear(poison, A));
	assert_int_equal(poison_refused_ms(poison, A, START_MS + 200), 0);
}

/* When a refusal lapses one run is a trial; an end under it refuses the content
 * again, for much longer, at who saw the ends and at who was told. */
static void refusal_lapses_into_a_trial(void **state)
{
	uint64_t ms = poison_defaults.refused_ms;
	uint64_t longer = ms * poison_defaults.refused_factor;
	uint64_t now;

	(void)state;
	now = refused_after_three(A, START_MS) + ms;
	assert_int_equal(poison_judge(poison, A, now), POISON_RUN);
	assert_true(ends(A, now, now + 5));
	assert_true(refused(A, now + 5));
	assert_true(poison_refused_ms(poison, A, now + 5) >= longer);

	assert_true(poison_refuse(poison, A + 1, START_MS, ms, START_MS));
	now = START_MS + ms;
	assert_int_equal(poison_judge(poison, A + 1, now), POISON_RUN);
	assert_true(ends(A + 1, now, now + 5));
	assert_true(refused(A + 1, now + 5));
	assert_true(poison_refused_ms(poison, A + 1, now + 5) >= longer);
}

/* A caller that comes every second has few trials within a day of the users', of
 * five minutes; they allow three. */
static void trials_are_few(void **state)
{
	uint64_t now;
	uint64_t end;
	unsigned int trials = 0;

	(void)state;
	now = refused_after_three(A, START_MS);
	for (end = now + 300000; now < end; now += 1000) {
		if (poison_judge(poison, A, now) != POISON_RUN)
			continue;
		trials++;
		ends(A, now, now + 50);
		assert_true(refused(A, now + 50));
	}
	print_message("%u trials\n", trials);
	assert_true(trials > 0 && trials < 3);
}

/* The trial runs to its end. */
static void trial_that_ends_well_forgets_all(void **state)
{
	uint64_t now;

	(void)state;
	now = refused_after_three(A, START_MS) + poison_defaults.refused_ms;
	assert_int_equal(poison_refused_ms(poison, A, now), 0);
	assert_true(poison_ran(poison, A, now + 5));
	assert_null(poison_find(poison, A, now + 5));
	refused_after_three(A, now + 6 + poison_defaults.ran_ms);
}

/* Refusals are bounded in time, and so are suspicions. */
static void times_are_bounded(void **state)
{
	uint64_t now = START_MS;
	int i;

	(void)state;
	poison_refuse(poison, A, START_MS, UINT64_MAX / 2, START_MS);
	assert_int_equal(poison_refused_ms(poison, A, START_MS),
			 poison_defaults.refused_max_ms);
	now = refused_after_three(A + 1, now);
	for (i = 0; i < 20; i++) {
		now += poison_refused_ms(poison, A + 1, now);
		ends(A + 1, now, now + 5);
		assert_true(refused(A + 1, now + 5));
		now += 5 + poison_defaults.settle_ms;
		assert_true(poison_refused_ms(poison, A + 1, now) <=
			    poison_defaults.refused_max_ms);
	}
	ends(A + 2, START_MS, START_MS + 1);
	assert_non_null(poison_find(poison, A + 2, START_MS + 1));
	assert_null(poison_find(poison, A + 2,
				START_MS + 1 + poison_defaults.suspected_ms));
}

/* A caller that makes as many such requests as it can does not push out what is
 * refused, where there is a suspicion to push out. */
static void refusals_outlive_a_flood_of_suspicions(void **state)
{
	struct random_source random = { .seed = 3 };
	uint64_t now;
	size_t i = 0;
	int k;

	(void)state;
	now = refused_after_three(A, START_MS);
	for (k = 0; k < 100000; k++)
		ends((uint64_t)random_below(&random, UINT32_MAX) << 32 |
			     random_below(&random, UINT32_MAX) | 1,
		     now, now + 1);
	assert_true(poison_refused_ms(poison, A, now) > 0);
	assert_non_null(poison_next_refused(poison, now, &i));
	assert_null(poison_next_refused(poison, now, &i));
}

/* Streams of 18 engines, of which one ends every second for a reason of its own,
 * and comes back: how many of the innocent are refused. */
static void engines_that_flap_refuse_few(void **state)
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
	unsigned ended = 0;
	int i;

	(void)state;
	for (now = START_MS; now < START_MS + DAY_S * 1000u; now += 20) {
		uint32_t lost = now % 1000 ? ENGINES : random_below(&random, 3);

		while (poison_decide(poison, now))
			n_refused++;
		for (i = 0; i < STREAMS; i++) {
			if (now >= run[i].end_ms) {
				if (run[i].content)
					poison_ran(poison, run[i].content, now);
				run[i].content = next++ * 0x9e3779b97f4a7c15u;
				run[i].engine = random_below(&random, ENGINES);
				run[i].sent_ms = now;
				run[i].end_ms =
					now + RUN_MS +
					random_below(&random, RUN_MS / 5);
			}
			if (run[i].engine != lost)
				continue;
			ended++;
			ends_at(lost, run[i].content, run[i].sent_ms, now);
			run[i].engine = random_below(&random, ENGINES);
			run[i].sent_ms = now;
		}
	}
	print_message("%u runs cut off by ends, %u contents refused\n", ended,
		      n_refused);
	assert_true(ended > 200);
	assert_true(n_refused * 100 <= ended);
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

/* Caller, path and body name a content, each by itself. */
static void contents_are_told_apart(void **state)
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
		CASE(third_end_refuses),
		CASE(runs_at_the_same_time_count_once),
		CASE(end_that_several_find_counts_once),
		CASE(end_that_is_told_twice_counts_once),
		CASE(times_that_are_told_are_a_little_off),
		CASE(order_of_the_news_does_not_matter),
		CASE(those_that_are_even_run_on),
		CASE(those_that_stay_even_are_refused),
		CASE(content_that_runs_to_its_end_is_cleared),
		CASE(lost_service_does_not_refuse_what_it_served),
		CASE(what_many_ask_for_needs_more_ends),
		CASE(attempts_that_overlap_count),
		CASE(content_that_ran_well_before_is_refused),
		CASE(refusal_is_taken_back_where_it_ran),
		CASE(refusal_lapses_into_a_trial),
		CASE(trials_are_few),
		CASE(trial_that_ends_well_forgets_all),
		CASE(times_are_bounded),
		CASE(refusals_outlive_a_flood_of_suspicions),
		CASE(engines_that_flap_refuse_few),
		CASE(contents_are_told_apart),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
