/* The checker of the users' rule LOST. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/lost_rule.h"

#define RUN_MS 60000
#define GRACE_MS 6000
#define LIMIT_MS 5000

struct rule_case {
	const char *name;
	struct lost_work work;
	struct lost_request request;
	struct lost_verdict verdict;
};

/* A request of instance 1 that was sent at 10000 and whole at 10100. */
#define REQUEST \
	.instance = 1, .sent_ms = 10000, .whole_ms = 10100, .limit_ms = LIMIT_MS

static const struct rule_case cases[] = {
	{
		.name = "no planned work",
		.work = { LOST_WORK_STOP, 0, 10000 },
		.request = { REQUEST, .over_ms = 12000, .passed_on = true },
	},
	{
		.name = "the first moment of a SIGTERM",
		.work = { LOST_WORK_STOP, 1, 12000 },
		.request = { REQUEST, .over_ms = 12000, .passed_on = true },
		.verdict = { .beside_stops = 1 },
	},
	{
		.name = "before a SIGTERM",
		.work = { LOST_WORK_STOP, 1, 12001 },
		.request = { REQUEST, .over_ms = 12000, .passed_on = true },
	},
	{
		.name = "not sent whole",
		.work = { LOST_WORK_STOP, 1, 12000 },
		.request = { .instance = 1,
			     .sent_ms = 10000,
			     .over_ms = 12000,
			     .limit_ms = LIMIT_MS,
			     .passed_on = true },
	},
	{
		.name = "a second after the grace time",
		.work = { LOST_WORK_STOP, 1, 5000 },
		.request = { REQUEST, .over_ms = 12000, .passed_on = true },
		.verdict = { .beside_stops = 1 },
	},
	{
		.name = "later than that",
		.work = { LOST_WORK_STOP, 1, 4999 },
		.request = { REQUEST, .over_ms = 12000, .passed_on = true },
	},
	{
		.name = "at work in the last sixth of the grace time",
		.work = { LOST_WORK_STOP, 1, 7000 },
		.request = { REQUEST, .over_ms = 12000, .passed_on = true,
			     .at_work = true },
	},
	{
		.name = "at work before that",
		.work = { LOST_WORK_STOP, 1, 7001 },
		.request = { REQUEST, .over_ms = 12000, .passed_on = true,
			     .at_work = true },
		.verdict = { .beside_stops = 1 },
	},
	{
		.name = "at work then, but sent late",
		.work = { LOST_WORK_STOP, 1, 6999 },
		.request = { REQUEST, .over_ms = 12000, .passed_on = true,
			     .at_work = true },
		.verdict = { .beside_stops = 1 },
	},
	{
		.name = "sent within the bound after a SIGHUP",
		.work = { LOST_WORK_RELOAD, 1, 8000 },
		.request = { REQUEST, .over_ms = 12000, .passed_on = true },
		.verdict = { .beside_reloads = 1 },
	},
	{
		.name = "sent later than that",
		.work = { LOST_WORK_RELOAD, 1, 7999 },
		.request = { REQUEST, .over_ms = 12000, .passed_on = true },
	},
	{
		.name = "a SIGHUP of another instance",
		.work = { LOST_WORK_RELOAD, 0, 10000 },
		.request = { REQUEST, .over_ms = 12000, .passed_on = true },
	},
	{
		.name = "cut before a SIGHUP",
		.work = { LOST_WORK_RELOAD, 1, 12001 },
		.request = { REQUEST, .over_ms = 12000, .passed_on = true },
	},
	{
		.name = "at the end of the time of a configuration",
		.work = { LOST_WORK_CONFIG, 0, 9000 },
		.request = { REQUEST, .over_ms = 12000, .passed_on = true },
		.verdict = { .beside_config = 1 },
	},
	{
		.name = "later than that",
		.work = { LOST_WORK_CONFIG, 0, 8999 },
		.request = { REQUEST, .over_ms = 12000, .passed_on = true },
	},
	{
		.name = "beside a configuration, seven tenths of its time used",
		.work = { LOST_WORK_CONFIG, 0, 12000 },
		.request = { REQUEST, .over_ms = 13500, .passed_on = true },
	},
	{
		.name = "beside a configuration, less than that",
		.work = { LOST_WORK_CONFIG, 0, 12000 },
		.request = { REQUEST, .over_ms = 13499, .passed_on = true },
		.verdict = { .beside_config = 1 },
	},
	{
		.name = "not passed on, within the slack",
		.work = { LOST_WORK_CONFIG, 0, 10000 },
		.request = { REQUEST, .over_ms = 10300 },
	},
	{
		.name = "not passed on, later than that",
		.work = { LOST_WORK_CONFIG, 0, 10000 },
		.request = { REQUEST, .over_ms = 10301 },
		.verdict = { .beside_config = 1 },
	},
	{
		.name = "passed on, within the slack",
		.work = { LOST_WORK_CONFIG, 0, 10000 },
		.request = { REQUEST, .over_ms = 10300, .passed_on = true },
		.verdict = { .beside_config = 1 },
	},
	{
		.name = "an endpoint broke off",
		.work = { LOST_WORK_STOP, 1, 12000 },
		.request = { REQUEST, .over_ms = 12000, .passed_on = true,
			     .broken_off = true },
	},
	{
		.name = "its time limit was reached",
		.work = { LOST_WORK_STOP, 1, 14000 },
		.request = { REQUEST, .over_ms = 15000, .passed_on = true },
	},
	{
		.name = "just before its time limit",
		.work = { LOST_WORK_STOP, 1, 14000 },
		.request = { REQUEST, .over_ms = 14999, .passed_on = true },
		.verdict = { .beside_stops = 1 },
	},
};

static void assert_verdict(const char *name, struct lost_verdict v,
			   struct lost_verdict expected)
{
	if (v.beside_stops != expected.beside_stops ||
	    v.beside_reloads != expected.beside_reloads ||
	    v.beside_config != expected.beside_config ||
	    v.kept != expected.kept)
		fail_msg("%s: %zu, %zu, %zu, %zu", name, v.beside_stops,
			 v.beside_reloads, v.beside_config, v.kept);
	assert_int_equal(lost_rule_holds(&v),
			 !(expected.beside_stops || expected.beside_reloads ||
			   expected.beside_config || expected.kept));
}

/* Judges instance 1. */
static struct lost_verdict judge(const struct lost_request *requests, size_t n,
				 const struct lost_work *works, size_t n_works)
{
	return lost_rule_judge(
		&(struct lost_run){
			.end_ms = RUN_MS,
			.grace_ms = GRACE_MS,
			.requests = requests,
			.n_requests = n,
			.works = works,
			.n_works = n_works,
		},
		1);
}

static void one_request(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_verdict(cases[i].name,
			       judge(&cases[i].request, 1, &cases[i].work, 1),
			       cases[i].verdict);
}

/* Requests cut at some times of a run of a minute, beside configurations of 3 s
 * each: over three times as often is over 3 * 3 / 57 of those at other times. */
static void configurations_and_other_times(void **state)
{
	static const struct {
		const char *name;
		size_t beside; /* the configuration at 20000 */
		size_t beside_next; /* that at 40000 */
		size_t other;
		size_t expected;
	} rows[] = {
		{ "none at other times", 1, 0, 0, 1 },
		{ "six at other times", 1, 0, 6, 1 },
		{ "seven at other times", 1, 0, 7, 0 },
		{ "two, twelve at other times", 2, 0, 12, 2 },
		{ "two, thirteen at other times", 2, 0, 13, 0 },
		{ "two configurations, each alone", 1, 2, 0, 2 },
		{ "the next one counts as another time", 1, 7, 0, 7 },
		{ "none beside one", 0, 0, 9, 0 },
	};
	static const struct lost_work works[] = {
		{ LOST_WORK_CONFIG, 0, 20000 },
		{ LOST_WORK_CONFIG, 0, 40000 },
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct lost_request requests[32];
		size_t n = rows[i].beside + rows[i].beside_next + rows[i].other;
		size_t k;

		assert_true(n <= sizeof(requests) / sizeof(requests[0]));
		for (k = 0; k < n; k++) {
			uint64_t ms = k < rows[i].beside ? 21000
				      : k < rows[i].beside + rows[i].beside_next
					      ? 41000
					      : 50000;

			requests[k] = (struct lost_request){
				.instance = 1,
				.sent_ms = ms - 500,
				.whole_ms = ms - 400,
				.over_ms = ms,
				.limit_ms = LIMIT_MS,
				.passed_on = true,
			};
		}
		assert_verdict(rows[i].name, judge(requests, n, works, 2),
			       (struct lost_verdict){
				       .beside_config = rows[i].expected });
	}
}

/* More than three at one instance, at any time. */
static void kept_connections(void **state)
{
	struct lost_request requests[5];
	size_t i;

	(void)state;
	for (i = 0; i < 5; i++)
		requests[i] = (struct lost_request){
			REQUEST,
			.over_ms = 10150,
			.kept = true,
			.passed_on = true,
		};
	requests[4].instance = 0;
	assert_verdict("four", judge(requests, 5, NULL, 0),
		       (struct lost_verdict){ .kept = 4 });
	assert_verdict("three", judge(requests, 3, NULL, 0),
		       (struct lost_verdict){ 0 });
	requests[0].passed_on = false;
	assert_verdict("one crossed the close", judge(requests, 5, NULL, 0),
		       (struct lost_verdict){ 0 });
	requests[0].passed_on = true;
	requests[1].kept = false;
	assert_verdict("one was the first", judge(requests, 5, NULL, 0),
		       (struct lost_verdict){ 0 });
	requests[1].kept = true;
	requests[2].broken_off = true;
	assert_verdict("an endpoint broke one off", judge(requests, 5, NULL, 0),
		       (struct lost_verdict){ 0 });
	requests[2].broken_off = false;
	requests[3].begun = true;
	assert_verdict("an answer had begun", judge(requests, 5, NULL, 0),
		       (struct lost_verdict){ 0 });
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(one_request),
		cmocka_unit_test(configurations_and_other_times),
		cmocka_unit_test(kept_connections),
	};

	return cmocka_run_group_tests_name("lost rule", tests, NULL, NULL);
}
