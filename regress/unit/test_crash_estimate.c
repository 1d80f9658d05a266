/* Tests the arithmetic of the estimate of requests that end endpoints, by small
 * cases computed by hand. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/crash_estimate.h"
#include "regress/random.h"

#define START_MS 1000000
#define A 0x1234567890abcdefu
#define B 0x2bc243522bcdb48du
#define NEAR 0.0005

static struct crash_estimates *estimates;
static uint64_t n_ids;

/* Replaces the parameters. */
static void use(const struct crash_estimate_params *params)
{
	crash_estimate_free(estimates);
	estimates = crash_estimate_new(params);
}

/* Decisions are made at once, unless a case sets the parameters. */
static int set_up(void **state)
{
	struct crash_estimate_params params = crash_estimate_defaults;

	(void)state;
	params.settle_ms = 0;
	params.break_hold_ms = 0;
	use(&params);
	n_ids = 0;
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	crash_estimate_free(estimates);
	estimates = NULL;
	return 0;
}

/* A single round leaves the shares of the start, in which each estimate is
 * 0.5. */
static void use_rounds(uint32_t rounds, double other_cause)
{
	struct crash_estimate_params params = crash_estimate_defaults;

	params.rounds_max = rounds;
	params.other_cause = other_cause;
	params.completed_reach_all = false;
	params.settle_ms = 0;
	params.break_hold_ms = 0;
	use(&params);
}

/* Begins a run and returns its id. */
static uint64_t begin(uint64_t content, uint64_t endpoint, uint64_t sent_ms)
{
	const struct crash_estimate_run run = {
		.id = ++n_ids,
		.content = content,
		.endpoint = endpoint,
		.sent_ms = sent_ms,
	};

	crash_estimate_run_began(estimates, &run);
	return run.id;
}

/* A run that completes at an age. */
static void complete(uint64_t content, uint64_t endpoint, uint64_t sent_ms,
		     uint64_t age_ms)
{
	crash_estimate_run_completed(
		estimates, begin(content, endpoint, sent_ms), sent_ms + age_ms);
}

/* A run that breaks at an age. */
static void broke(uint64_t content, uint64_t endpoint, uint64_t sent_ms,
		  uint64_t age_ms)
{
	crash_estimate_run_broke(estimates, begin(content, endpoint, sent_ms),
				 sent_ms + age_ms);
}

/* A run that breaks at an age, whose endpoint is then shown to have ended. */
static void ended(uint64_t content, uint64_t endpoint, uint64_t sent_ms,
		  uint64_t age_ms)
{
	broke(content, endpoint, sent_ms, age_ms);
	crash_estimate_endpoint_ended(estimates, endpoint,
				      sent_ms + age_ms + 30);
}

static void expect(uint64_t content, uint32_t ends, uint32_t at_risk,
		   double estimate, uint64_t now)
{
	struct crash_estimate_result r;

	crash_estimate_evaluate(estimates, now);
	r = crash_estimate_result(estimates, content);
	assert_int_equal(r.ends, ends);
	assert_int_equal(r.at_risk, at_risk);
	assert_float_equal(r.estimate, estimate, NEAR);
}

/* Without another cause a lone content has all ends: Kaplan and Meier's estimate
 * with ends at 10 and 30 ms, runs that completed at 20 and 40 ms, and one in
 * progress whose last event came at 35 ms: 1 - (1 - 1/5)(1 - 1/3). */
static void estimate_of_lone_content(void **state)
{
	(void)state;
	use_rounds(1, 0);
	complete(A, 1, START_MS, 20);
	complete(A, 1, START_MS, 40);
	crash_estimate_run_lives(estimates, begin(A, 1, START_MS),
				 START_MS + 35);
	ended(A, 2, START_MS, 10);
	ended(A, 3, START_MS, 30);
	expect(A, 2, 5, 1 - 4.0 / 5 * 2 / 3, START_MS + 100);
}

/* The same if completed runs reached every age: 1 - (1 - 1/5)(1 - 1/4). */
static void completed_runs_reach_every_age(void **state)
{
	struct crash_estimate_params params = crash_estimate_defaults;

	(void)state;
	params.rounds_max = 1;
	params.other_cause = 0;
	use(&params);
	complete(A, 1, START_MS, 20);
	complete(A, 1, START_MS, 40);
	crash_estimate_run_lives(estimates, begin(A, 1, START_MS),
				 START_MS + 35);
	ended(A, 2, START_MS, 10);
	ended(A, 3, START_MS, 30);
	expect(A, 2, 5, 1 - 4.0 / 5 * 3 / 4, START_MS + 100);
}

/* Ends at one age are one factor: 1 - 2/4. */
static void ends_at_one_age(void **state)
{
	(void)state;
	use_rounds(1, 0);
	complete(A, 1, START_MS, 20);
	complete(A, 1, START_MS, 20);
	ended(A, 2, START_MS, 10);
	ended(A, 3, START_MS + 50, 10);
	expect(A, 2, 4, 0.5, START_MS + 100);
}

/* In the first round the one content has 0.5 / (0.5 + 0.3) of its end. */
static void another_cause_has_a_share(void **state)
{
	(void)state;
	use_rounds(1, 0.3);
	ended(A, 1, START_MS, 10);
	expect(A, 1, 1, 0.625, START_MS + 100);
}

/* Two contents under one end: 0.5 / (0.3 + 0.5 + 0.5) each; the second has two
 * runs there, which share that, and one more that lived on for longer. */
static void contents_share_an_end(void **state)
{
	const double share = 0.5 / 1.3;

	(void)state;
	use_rounds(1, 0.3);
	complete(B, 2, START_MS, 500);
	broke(B, 1, START_MS - 20, 30);
	broke(B, 1, START_MS - 10, 20);
	ended(A, 1, START_MS, 10);
	expect(A, 1, 1, share, START_MS + 100);
	expect(B, 1, 3, 1 - (1 - share / 2 / 3) * (1 - share / 2 / 2),
	       START_MS + 100);
}

/* The shares settle at p = p / (p + 0.3), so that p = 0.7, for a lone content
 * all of whose runs end their endpoints at one age. */
static void shares_settle(void **state)
{
	int i;

	(void)state;
	use_rounds(1000, 0.3);
	for (i = 0; i < 3; i++)
		ended(A, 1 + (uint64_t)i, START_MS + (uint64_t)i * 50, 10);
	expect(A, 3, 3, 0.7, START_MS + 200);
	assert_int_equal(crash_estimate_decide(estimates, A, START_MS + 200),
			 CRASH_ESTIMATE_REFUSE);
}

/* Four rounds for the same: 0.5, 0.625, 0.676, 0.693, 0.698. */
static void four_rounds(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < 3; i++)
		ended(A, 1 + (uint64_t)i, START_MS + (uint64_t)i * 50, 10);
	expect(A, 3, 3, 0.698, START_MS + 200);
}

/* Two ends refuse nothing. */
static void two_ends_refuse_nothing(void **state)
{
	(void)state;
	ended(A, 1, START_MS, 10);
	ended(A, 2, START_MS + 50, 10);
	expect(A, 2, 2, 0.698, START_MS + 100);
	assert_int_equal(crash_estimate_decide(estimates, A, START_MS + 100),
			 CRASH_ESTIMATE_RUN);
}

/* A break whose endpoint gives a sign of life is no end. */
static void reset_is_no_end(void **state)
{
	(void)state;
	use_rounds(1, 0);
	broke(A, 1, START_MS, 10);
	crash_estimate_endpoint_answered(estimates, 1, START_MS + 40);
	ended(A, 1, START_MS + 100, 5);
	expect(A, 1, 2, 0.5, START_MS + 200);
}

/* Nor is a run that was sent after its endpoint had ended: it counts nothing. */
static void run_on_ended_endpoint_counts_nothing(void **state)
{
	(void)state;
	use_rounds(1, 0);
	broke(B, 1, START_MS, 500);
	broke(A, 1, START_MS + 520, 60);
	crash_estimate_endpoint_ended(estimates, 1, START_MS + 600);
	expect(B, 1, 1, 1, START_MS + 600);
	expect(A, 0, 0, 0, START_MS + 600);
}

/* The same reports in another order give the same estimate. */
static void order_of_reports_does_not_matter(void **state)
{
	(void)state;
	use_rounds(1, 0);
	crash_estimate_endpoint_ended(estimates, 1, START_MS + 600);
	broke(A, 1, START_MS + 520, 60);
	crash_estimate_evaluate(estimates, START_MS + 700);
	broke(B, 1, START_MS, 500);
	expect(B, 1, 1, 1, START_MS + 700);
	expect(A, 0, 0, 0, START_MS + 700);
}

/* What one instance tells another, in the wrong order, twice and mixed with
 * older states, gives the other the same estimate; it tells none of that on. */
static void reports_may_repeat_in_any_order(void **state)
{
	struct crash_estimates *other =
		crash_estimate_new(&crash_estimate_defaults);
	struct random_source random = { .seed = 11 };
	struct crash_estimate_report told[200];
	struct crash_estimate_report own;
	struct crash_estimate_result mine;
	struct crash_estimate_result theirs;
	size_t index = 0;
	size_t n = 0;
	size_t i;

	(void)state;
	for (i = 0; i < 20; i++) {
		const struct crash_estimate_run run = {
			.id = ++n_ids,
			.content = A,
			.endpoint = i < 3 ? i + 1 : 9,
			.sent_ms = START_MS + i * 50,
			.own = true,
		};

		crash_estimate_run_began(estimates, &run);
		crash_estimate_run_lives(estimates, run.id, run.sent_ms + 5);
		index = 0;
		while (crash_estimate_next_report(estimates, A, &index, &own) &&
		       n < 100)
			told[n++] = own;
		if (i < 3)
			crash_estimate_run_broke(estimates, run.id,
						 run.sent_ms + 10);
		else if (i % 2)
			crash_estimate_run_completed(estimates, run.id,
						     run.sent_ms + 40);
	}
	index = 0;
	while (crash_estimate_next_report(estimates, A, &index, &own))
		told[n++] = own;
	for (i = 0; i < 3 * n; i++)
		crash_estimate_add_report(
			other, &told[random_below(&random, (uint32_t)n)]);
	for (i = n; i-- > 0;)
		crash_estimate_add_report(other, &told[i]);
	for (i = 1; i <= 3; i++) {
		crash_estimate_endpoint_ended(estimates, i, START_MS + 500);
		crash_estimate_endpoint_ended(other, i, START_MS + 500);
	}
	crash_estimate_evaluate(estimates, START_MS + 2000);
	crash_estimate_evaluate(other, START_MS + 2000);
	mine = crash_estimate_result(estimates, A);
	theirs = crash_estimate_result(other, A);
	assert_int_equal(mine.ends, 3);
	assert_int_equal(mine.at_risk, 20);
	assert_int_equal(theirs.ends, mine.ends);
	assert_int_equal(theirs.at_risk, mine.at_risk);
	assert_float_equal(theirs.estimate, mine.estimate, NEAR);
	index = 0;
	assert_false(crash_estimate_next_report(other, A, &index, &own));
	crash_estimate_free(other);
}

/* A run that another instance had sent before the refusal is no trial. */
static void earlier_run_is_no_trial(void **state)
{
	uint64_t now = START_MS + 200;
	int i;

	(void)state;
	for (i = 0; i < 3; i++)
		ended(A, 1 + (uint64_t)i, START_MS + (uint64_t)i * 50, 10);
	crash_estimate_evaluate(estimates, now);
	now += crash_estimate_defaults.refused_ms;
	begin(A, 7, START_MS + 100); /* told late */
	assert_int_equal(crash_estimate_decide(estimates, A, now),
			 CRASH_ESTIMATE_TRIAL);
	begin(A, 7, now);
	assert_int_equal(crash_estimate_decide(estimates, A, now),
			 CRASH_ESTIMATE_REFUSE);
}

/* Three ends of three runs refuse a content; runs that live on elsewhere lift
 * it. */
static void later_runs_lift(void **state)
{
	uint64_t now = START_MS + 200;
	uint32_t runs = 0;
	int i;

	(void)state;
	for (i = 0; i < 3; i++)
		ended(A, 1 + (uint64_t)i, START_MS + (uint64_t)i * 50, 10);
	crash_estimate_evaluate(estimates, now);
	assert_int_equal(crash_estimate_decide(estimates, A, now),
			 CRASH_ESTIMATE_REFUSE);
	while (crash_estimate_decide(estimates, A, now) != CRASH_ESTIMATE_RUN) {
		complete(A, 9, now, 20);
		now += 100;
		crash_estimate_evaluate(estimates, now);
		assert_in_range(++runs, 1, 20);
	}
	print_message("lifted after %u runs\n", runs);
	assert_true(crash_estimate_result(estimates, A).estimate <
		    crash_estimate_defaults.refused_at);
}

/* After the refusal one run is a trial; if its endpoint ends, the content is
 * refused for longer. */
static void trial_that_ends_refuses_longer(void **state)
{
	uint64_t now = START_MS + 200;
	uint64_t id;
	int i;

	(void)state;
	for (i = 0; i < 3; i++)
		ended(A, 1 + (uint64_t)i, START_MS + (uint64_t)i * 50, 10);
	crash_estimate_evaluate(estimates, now);
	assert_int_equal(crash_estimate_refused_ms(estimates, A, now),
			 crash_estimate_defaults.refused_ms);
	now += crash_estimate_defaults.refused_ms;
	assert_int_equal(crash_estimate_decide(estimates, A, now),
			 CRASH_ESTIMATE_TRIAL);
	id = begin(A, 7, now);
	assert_int_equal(crash_estimate_decide(estimates, A, now),
			 CRASH_ESTIMATE_REFUSE);
	crash_estimate_run_broke(estimates, id, now + 10);
	crash_estimate_endpoint_ended(estimates, 7, now + 30);
	crash_estimate_evaluate(estimates, now + 30);
	assert_int_equal(crash_estimate_refused_ms(estimates, A, now + 30),
			 crash_estimate_defaults.refused_ms *
				 crash_estimate_defaults.refused_factor);
}

/* A trial that outlasts the ends allows the next one. */
static void trial_that_lives_allows_another(void **state)
{
	uint64_t now = START_MS + 200;
	uint64_t id;
	int i;

	(void)state;
	for (i = 0; i < 3; i++)
		ended(A, 1 + (uint64_t)i, START_MS + (uint64_t)i * 50, 10);
	crash_estimate_evaluate(estimates, now);
	now += crash_estimate_defaults.refused_ms;
	id = begin(A, 7, now);
	crash_estimate_run_lives(estimates, id, now + 5);
	crash_estimate_evaluate(estimates, now + 100);
	assert_int_equal(crash_estimate_decide(estimates, A, now + 100),
			 CRASH_ESTIMATE_REFUSE);
	crash_estimate_run_lives(estimates, id, now + 20);
	crash_estimate_evaluate(estimates, now + 200);
	assert_int_equal(crash_estimate_decide(estimates, A, now + 200),
			 CRASH_ESTIMATE_TRIAL);
}

/* With three ends a content is held until the news of the moment have come, and
 * then refused. */
static void held_until_settled(void **state)
{
	uint64_t now = START_MS + 200;
	int i;

	(void)state;
	use(&crash_estimate_defaults);
	for (i = 0; i < 3; i++)
		ended(A, 1 + (uint64_t)i, START_MS + (uint64_t)i * 50, 10);
	crash_estimate_evaluate(estimates, now);
	assert_int_equal(crash_estimate_decide(estimates, A, now),
			 CRASH_ESTIMATE_HOLD);
	now += crash_estimate_defaults.settle_ms - 1;
	crash_estimate_evaluate(estimates, now);
	assert_int_equal(crash_estimate_decide(estimates, A, now),
			 CRASH_ESTIMATE_HOLD);
	now += crash_estimate_defaults.evaluate_ms;
	crash_estimate_evaluate(estimates, now);
	assert_int_equal(crash_estimate_decide(estimates, A, now),
			 CRASH_ESTIMATE_REFUSE);
}

/* One end short of that, it is held after a break until its cause is known. */
static void held_after_a_break(void **state)
{
	uint64_t now = START_MS + 200;

	(void)state;
	use(&crash_estimate_defaults);
	ended(A, 1, START_MS, 10);
	ended(A, 2, START_MS + 50, 10);
	crash_estimate_evaluate(estimates, now);
	assert_int_equal(crash_estimate_decide(estimates, A, now),
			 CRASH_ESTIMATE_RUN);
	broke(A, 3, now, 10);
	now += 20;
	assert_int_equal(crash_estimate_decide(estimates, A, now),
			 CRASH_ESTIMATE_HOLD);
	assert_int_equal(crash_estimate_decide(
				 estimates, A,
				 now + crash_estimate_defaults.break_hold_ms),
			 CRASH_ESTIMATE_RUN);
	crash_estimate_endpoint_answered(estimates, 3, now);
	assert_int_equal(crash_estimate_decide(estimates, A, now + 1),
			 CRASH_ESTIMATE_RUN);
}

/* Floods of contents, runs and endpoints stay within the tables, and a refused
 * content stays refused. */
static void refusal_survives_a_flood(void **state)
{
	struct random_source random = { .seed = 3 };
	uint64_t now = START_MS + 200;
	int i;

	(void)state;
	for (i = 0; i < 3; i++)
		ended(A, 1 + (uint64_t)i, START_MS + (uint64_t)i * 50, 10);
	crash_estimate_evaluate(estimates, now);
	for (i = 0; i < 20000; i++) {
		begin(random_next(&random) | 1, random_next(&random) | 1, now);
		broke(random_next(&random) | 1, random_next(&random) | 1, now,
		      5);
		ended(random_next(&random) | 1, random_next(&random) | 1, now,
		      5);
	}
	crash_estimate_evaluate(estimates, now + 100);
	assert_int_equal(crash_estimate_decide(estimates, A, now),
			 CRASH_ESTIMATE_REFUSE);
}

int main(void)
{
#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(estimate_of_lone_content),
		CASE(completed_runs_reach_every_age),
		CASE(ends_at_one_age),
		CASE(another_cause_has_a_share),
		CASE(contents_share_an_end),
		CASE(shares_settle),
		CASE(four_rounds),
		CASE(two_ends_refuse_nothing),
		CASE(reset_is_no_end),
		CASE(run_on_ended_endpoint_counts_nothing),
		CASE(order_of_reports_does_not_matter),
		CASE(reports_may_repeat_in_any_order),
		CASE(earlier_run_is_no_trial),
		CASE(later_runs_lift),
		CASE(trial_that_ends_refuses_longer),
		CASE(trial_that_lives_allows_another),
		CASE(held_until_settled),
		CASE(held_after_a_break),
		CASE(refusal_survives_a_flood),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
