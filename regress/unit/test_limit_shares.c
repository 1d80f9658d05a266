/* Unit tests of policy/request_limit.c and policy/limit_wait.c: the sum over all
 * instances, how much of a limit is used, the order of answers, and what
 * refused callers are told. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/limit_wait.h"
#include "policy/request_limit.h"
#include "regress/random.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define INSTANCES_MAX 300
#define SENT_MAX 65536
#define STEP_MS 10
#define WINDOW_MS 4000
#define ENDPOINT 0xe1

/* The instances of a fleet, each with its own view. */
struct fleet {
	uint32_t n;
	struct request_limit limits[INSTANCES_MAX];
	struct request_limit_part parts[INSTANCES_MAX];
	bool alive[INSTANCES_MAX];
	bool returns; /* instances were listed before they started */
	bool lonely; /* every instance takes all others for silent */
	uint64_t started[INSTANCES_MAX];
	uint64_t sent[SENT_MAX]; /* times of all requests */
	size_t n_sent;
	struct random_source random_numbers;
};

static struct fleet fleet;

/* Returns the rank of an instance. */
static uint32_t rank_of(uint32_t instance)
{
	uint64_t own = request_limit_weight(ENDPOINT, instance);
	uint32_t rank = 0;
	uint32_t i;

	for (i = 0; i < fleet.n; i++)
		rank += request_limit_weight(ENDPOINT, i) > own;
	return rank;
}

/* Updates the part of an instance. */
static void divide(uint32_t instance, uint64_t now)
{
	struct request_limit_instances seen = {
		.returns = fleet.returns,
		.rank = rank_of(instance),
		.holders = request_limit_holders(fleet.limits[instance].per_s,
						 fleet.n),
		.counted = true,
		.start_ms = fleet.started[instance],
	};
	uint32_t i;

	for (i = 0; i < fleet.n; i++)
		if (rank_of(i) < seen.holders)
			seen.alive += i == instance ||
				      (fleet.alive[i] && !fleet.lonely);
	request_limit_divide(&fleet.parts[instance], &seen, now);
}

/* An instance hears that the limit is named. */
static void hear(uint32_t instance, double per_s, uint64_t now)
{
	struct request_limit *l = &fleet.limits[instance];

	if (!l->in_force)
		l->per_s = per_s;
	divide(instance, now);
	request_limit_named(l, &fleet.parts[instance], per_s, now, now);
	divide(instance, now);
}

/* Makes a fleet all of whose instances hear of a limit at now. */
static void make_fleet(uint32_t n, double per_s, uint64_t now)
{
	uint32_t i;

	memset(&fleet, 0, sizeof(fleet));
	fleet.n = n;
	for (i = 0; i < n; i++) {
		fleet.alive[i] = true;
		fleet.started[i] = 1;
	}
	for (i = 0; i < n; i++)
		hear(i, per_s, now);
}

static void record_sent(uint64_t now)
{
	assert_true(fleet.n_sent < SENT_MAX);
	fleet.sent[fleet.n_sent++] = now;
}

/* An instance sends up to wanted requests: with its own permits, then with those
 * that it borrows from up to asks others, drawn at random; returns how many. */
static uint32_t send_some(uint32_t instance, uint32_t wanted, uint32_t asks,
			  uint64_t now)
{
	struct request_limit *l = &fleet.limits[instance];
	const struct request_limit_part *part = &fleet.parts[instance];
	uint32_t sent = 0;

	while (sent < wanted) {
		uint32_t lender = random_below(&fleet.random_numbers, fleet.n);

		if (request_limit_available(l, part, now)) {
			request_limit_take(l, part, now);
			record_sent(now);
			sent++;
			continue;
		}
		if (!asks)
			break;
		asks--;
		if (lender != instance && fleet.alive[lender])
			request_limit_add_loan(
				l,
				request_limit_lend(&fleet.limits[lender],
						   &fleet.parts[lender], 1,
						   now),
				now, now);
	}
	return sent;
}

/* Returns the most requests in a window. */
static size_t most_in_window(void)
{
	size_t most = 0;
	size_t first = 0;
	size_t i;

	for (i = 0; i < fleet.n_sent; i++) {
		while (fleet.sent[i] - fleet.sent[first] > WINDOW_MS)
			first++;
		if (i - first + 1 > most)
			most = i - first + 1;
	}
	return most;
}

/* Fails if the users' rule is broken. */
static void check_sum(double per_s, const char *what)
{
	double allowed = 1.5 * per_s * WINDOW_MS / 1000 + 5;

	if ((double)most_in_window() > allowed)
		fail_msg("%s, %u instances, limit %g: %zu requests, %g allowed",
			 what, fleet.n, per_s, most_in_window(), allowed);
}

/* Runs a load for limits and fleets of all sizes, each with a new fleet, and
 * checks the sum after each. */
static void run_all_sizes(void (*run)(double per_s), const char *what)
{
	static const double limits[] = { 0, 0.3, 1, 5.7, 14, 100, 600 };
	static const uint32_t instances[] = { 1, 2, 6, 64, 295 };
	size_t k;
	size_t j;

	for (k = 0; k < N(limits); k++)
		for (j = 0; j < N(instances); j++) {
			make_fleet(instances[j], limits[k], 100000);
			run(limits[k]);
			check_sum(limits[k], what);
		}
}

static void all_borrow(double per_s)
{
	uint64_t now;

	for (now = 100000; now < 112000; now += STEP_MS) {
		uint32_t i = random_below(&fleet.random_numbers, fleet.n);
		uint32_t n;

		for (n = 0; n < fleet.n; n++)
			send_some((i + n) % fleet.n, 10, 0, now);
		send_some(i, 10, fleet.n, now);
	}
	if (per_s >= 1)
		assert_true((double)fleet.n_sent >= per_s * 12 * 0.9);
}

/* All instances have any number of requests, and borrow from each other. */
static void sum_of_all_instances(void **state)
{
	(void)state;
	run_all_sizes(all_borrow, "all borrow");
}

static void no_messages(double per_s)
{
	uint64_t now;
	uint32_t i;

	(void)per_s;
	fleet.lonely = true;
	for (i = 0; i < fleet.n; i++)
		divide(i, 100000);
	for (now = 100000; now < 112000; now += STEP_MS)
		for (i = 0; i < fleet.n; i++)
			send_some(i, 10, 0, now);
}

/* Instances hear nothing from each other, so that each takes the others for
 * silent. */
static void sum_without_messages(void **state)
{
	(void)state;
	run_all_sizes(no_messages, "no messages");
}

/* One instance has all requests: the parts of the others do not stay unused. */
static void parts_of_idle_instances_are_lent(void **state)
{
	uint64_t now;

	(void)state;
	make_fleet(6, 14, 100000);
	for (now = 100000; now < 110000; now += STEP_MS)
		send_some(3, 10, 1, now);
	check_sum(14, "one borrows");
	assert_true((double)fleet.n_sent >= 14 * 10 * 0.9);
}

/* Holders are silent for good: the others use part of what is theirs. */
static void parts_of_silent_instances(void **state)
{
	uint64_t now;
	uint32_t i;

	(void)state;
	make_fleet(6, 14, 100000);
	fleet.alive[2] = false;
	for (i = 0; i < fleet.n; i++)
		divide(i, 100000);
	for (now = 100000; now < 110000; now += STEP_MS)
		for (i = 0; i < fleet.n; i++)
			if (fleet.alive[i])
				send_some(i, 10, 0, now);
	check_sum(14, "one silent");
	assert_true((double)fleet.n_sent >= 14 * 10 * 0.9);
}

/* Processes are killed and started again all the time, and hear of the limit at
 * once. */
static void restarted_instances(void **state)
{
	uint64_t now;
	uint32_t i;

	(void)state;
	make_fleet(6, 5.7, 100000);
	fleet.returns = true;
	for (now = 100000; now < 130000; now += STEP_MS)
		for (i = 0; i < fleet.n; i++) {
			send_some(i, 10, 2, now);
			if (random_below(&fleet.random_numbers, 100))
				continue;
			memset(&fleet.limits[i], 0, sizeof(fleet.limits[i]));
			memset(&fleet.parts[i], 0, sizeof(fleet.parts[i]));
			fleet.started[i] = now;
			hear(i, 5.7, now);
		}
	check_sum(5.7, "restarts");
	assert_true(fleet.n_sent >= 5.7 * 30 / 2);
}

static void requests_after_a_minute(double per_s)
{
	uint64_t now;
	uint32_t i;

	(void)per_s;
	for (now = 160000; now < 165000; now += STEP_MS)
		for (i = 0; i < fleet.n; i++)
			send_some(i, 10, 0, now);
}

/* No instance has a request for a long time, then all have many. */
static void burst_after_idle_time(void **state)
{
	(void)state;
	run_all_sizes(requests_after_a_minute, "after idle time");
}

/* Many instances join at once, and those that were there are told 1.9 s
 * later. */
static void joining_instances(void **state)
{
	uint64_t now;
	uint32_t i;

	(void)state;
	make_fleet(30, 100, 100000);
	for (now = 100000; now < 115000; now += STEP_MS) {
		if (now == 104000)
			for (fleet.n = INSTANCES_MAX, i = 30; i < fleet.n;
			     i++) {
				fleet.alive[i] = true;
				fleet.started[i] = now;
				hear(i, 100, now);
			}
		if (now == 105900)
			for (i = 0; i < fleet.n; i++)
				divide(i, now);
		for (i = 0; i < fleet.n; i++)
			send_some(i, 10, 0, now);
	}
	check_sum(100, "joining");
	assert_true(fleet.n_sent >= 100 * 15 * 8 / 10);
}

/* The limit has another value in each answer. */
static void limit_that_changes(void **state)
{
	uint64_t now;
	uint32_t i;

	(void)state;
	make_fleet(6, 14, 100000);
	for (now = 100000; now < 120000; now += STEP_MS)
		for (i = 0; i < fleet.n; i++) {
			hear(i, 6 + random_below(&fleet.random_numbers, 9),
			     now);
			send_some(i, 10, 1, now);
		}
	check_sum(14, "changes");
	assert_true(fleet.n_sent >= 6 * 20 / 2);
}

/* A limit ends only with the answer to a request that was sent after it was last
 * named, and an older message does not name it again. */
static void order_of_answers(void **state)
{
	struct request_limit_part part = { .held = true,
					   .holders = 1,
					   .alive = 1 };
	struct request_limit l = { 0 };

	(void)state;
	assert_false(request_limit_not_named(&l, 900, 1000));
	assert_true(request_limit_named(&l, &part, 5, 1000, 1000));
	assert_false(request_limit_named(&l, &part, 5, 1200, 1200));
	assert_true(request_limit_named(&l, &part, 6, 1300, 1300));
	assert_false(request_limit_not_named(&l, 1250, 1400));
	assert_false(request_limit_not_named(&l, 1300, 1400));
	assert_true(request_limit_not_named(&l, 1350, 1500));
	assert_false(request_limit_not_named(&l, 1400, 1500));
	assert_false(request_limit_named(&l, &part, 6, 1300, 1600));
	assert_false(request_limit_named(&l, &part, 6, 1440, 1600));
	assert_true(request_limit_named(&l, &part, 6, 1700, 1700));
	assert_int_equal(l.ended_ms, 0);
}

/* After its end a limit rises, so that the endpoint is not overloaded again at
 * once, and is lifted. */
static void limit_rises_after_its_end(void **state)
{
	uint64_t now;
	uint32_t i;
	size_t in_first_second = 0;
	size_t k;

	(void)state;
	make_fleet(6, 4, 100000);
	for (i = 0; i < fleet.n; i++)
		assert_true(request_limit_not_named(&fleet.limits[i], 100100,
						    104000));
	for (now = 104000; fleet.limits[0].in_force; now += STEP_MS)
		for (i = 0; i < fleet.n; i++) {
			send_some(i, 10, 0, now);
			request_limit_tick(&fleet.limits[i], now);
		}
	for (k = 0; k < fleet.n_sent; k++)
		in_first_second += fleet.sent[k] < 105000;
	assert_true(in_first_second >= 4 && in_first_second <= 4 * 4);
	assert_true(now - 104000 <= 5000);
	assert_int_equal(request_limit_available(&fleet.limits[0],
						 &fleet.parts[0], now),
			 UINT32_MAX);
}

/* A lower value is told soon, a higher one later, neither with each answer. */
static void changes_are_told(void **state)
{
	(void)state;
	assert_int_equal(request_limit_tell_ms(14, 2, 5000), 0);
	assert_int_equal(request_limit_tell_ms(2, 14, 5000), 0);
	assert_true(request_limit_tell_ms(14, 2, 10) > 0);
	assert_true(request_limit_tell_ms(14, 2, 10) <
		    request_limit_tell_ms(2, 14, 10));
}

/* A loan expires, is not returned, and is gone from its lender. */
static void loans(void **state)
{
	const struct request_limit_part part = { .held = true,
						 .holders = 1,
						 .alive = 1 };
	const struct request_limit_part none = { .holders = 1, .rank = 1 };
	struct request_limit lender = { 0 };
	struct request_limit borrower = { 0 };
	uint64_t now = 100000;

	(void)state;
	request_limit_named(&lender, &part, 40, now, now);
	request_limit_named(&borrower, &none, 40, now, now);
	now += 1000;
	assert_int_equal(request_limit_available(&borrower, &none, now), 0);
	assert_int_equal(request_limit_lend(&lender, &part, 4, now), 4);
	assert_true(request_limit_add_loan(&borrower, 4, now, now + 5));
	assert_int_equal(request_limit_take(&borrower, &none, now + 5),
			 PERMIT_BORROWED);
	request_limit_return(&borrower, PERMIT_BORROWED);
	assert_int_equal(request_limit_available(&borrower, &none, now + 5), 3);
	assert_int_equal(request_limit_available(&borrower, &none, now + 400),
			 0);
	assert_false(request_limit_add_loan(&borrower, 4, now, now + 400));
	assert_true(request_limit_lend(&lender, &part, 100, now) <= 6);
	assert_int_equal(request_limit_lend(&lender, &part, 100, now), 0);
}

/* A permit that was taken and not used is available again, once. */
static void returned_permit(void **state)
{
	const struct request_limit_part part = { .held = true,
						 .holders = 3,
						 .alive = 3 };
	struct request_limit l = { 0 };
	enum request_permit permit;

	(void)state;
	request_limit_named(&l, &part, 1, 100000, 100000);
	assert_int_equal(request_limit_available(&l, &part, 100000), 1);
	permit = request_limit_take(&l, &part, 100000);
	assert_int_equal(permit, PERMIT_OWN);
	assert_int_equal(request_limit_available(&l, &part, 100000), 0);
	request_limit_return(&l, permit);
	request_limit_return(&l, permit);
	assert_int_equal(request_limit_available(&l, &part, 100000), 1);
}

/* A request waits if its answer can still be on time, and is refused at once
 * otherwise. */
static void waiting_or_refused(void **state)
{
	struct limit_wait w = {
		.own_ms = 50,
		.ask_ms = REQUEST_LIMIT_NEVER,
		.per_s = 2,
		.left_ms = 100,
	};

	(void)state;
	assert_true(limit_wait_decide(&w));
	w.own_ms = 101;
	assert_false(limit_wait_decide(&w));
	w.ask_ms = 0; /* others are being asked */
	assert_true(limit_wait_decide(&w));
	w.left_ms = 30;
	assert_false(limit_wait_decide(&w));
	w.ask_ms = 200; /* all others had none */
	w.left_ms = 4500;
	w.own_ms = REQUEST_LIMIT_NEVER;
	assert_true(limit_wait_decide(&w));
	assert_true(limit_wait_denied_ms(0) > 0);
	assert_int_equal(limit_wait_denied_ms(200), 200);
	assert_true(limit_wait_denied_ms(REQUEST_LIMIT_NEVER) <= 1000);
	w.ahead = 20; /* ten seconds of this instance's part */
	assert_false(limit_wait_decide(&w));
}

/* Permits go to lost runs, then by priority, then to who has least time; a
 * request waits as long as its answer can be on time. */
static void order_of_turns(void **state)
{
	const struct limit_turn turns[] = {
		{ true, 5, 9000, 100 },	 { false, 0, 5000, 300 },
		{ false, 1, 1000, 500 }, { false, 1, 2000, 200 },
		{ false, 1, 2000, 400 },
	};
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < N(turns); i++)
		for (k = 0; k < N(turns); k++)
			assert_int_equal(
				limit_turn_before(&turns[i], &turns[k]), i < k);
	assert_int_equal(limit_wait_left_ms(&turns[1], 100, 300), 100);
	assert_int_equal(limit_wait_left_ms(&turns[1], 100, 390), 10);
	assert_int_equal(limit_wait_left_ms(&turns[1], 100, 900), 0);
	assert_int_equal(limit_wait_left_ms(&turns[1], 0, 300), 2350);
	assert_int_equal(limit_wait_left_ms(&turns[2], 900, 500), 250);
}

/* Load pattern: 60 callers a second are refused for a minute while five places a
 * second come free.  Those who return in time do so at that rate, not together,
 * and not in step with other instances. */
static void callers_return_at_the_rate_of_places(void **state)
{
	enum { SECONDS = 60 };
	struct random_source random_numbers = { .seed = 28 };
	uint32_t returns[SECONDS + 2] = { 0 };
	struct limit_return r = { 0 };
	struct limit_return other = { 0 };
	uint64_t now;
	uint32_t i;

	(void)state;
	for (now = 0; now < SECONDS * 1000; now += 1000 / 60) {
		uint32_t ms = limit_return_ms(&r, 5, 1000, now,
					      random_next(&random_numbers));

		assert_true(ms >= 50);
		if (ms < 1000)
			returns[(now + ms) / 1000]++;
	}
	for (i = 1; i < SECONDS; i++)
		assert_true(returns[i] >= 2 && returns[i] <= 8);
	assert_true(limit_return_ms(&other, 5, 1000, 0, 100) !=
		    limit_return_ms(&other, 5, 1000, 0, 900));
	assert_true(limit_return_ms(&other, 0, 1000, 0, 0) <= 30000);
	assert_true(limit_return_ms(&other, 1e6, 1000, 60000, 0) >= 50);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(sum_of_all_instances),
		cmocka_unit_test(sum_without_messages),
		cmocka_unit_test(parts_of_idle_instances_are_lent),
		cmocka_unit_test(parts_of_silent_instances),
		cmocka_unit_test(restarted_instances),
		cmocka_unit_test(joining_instances),
		cmocka_unit_test(burst_after_idle_time),
		cmocka_unit_test(limit_that_changes),
		cmocka_unit_test(order_of_answers),
		cmocka_unit_test(limit_rises_after_its_end),
		cmocka_unit_test(changes_are_told),
		cmocka_unit_test(loans),
		cmocka_unit_test(returned_permit),
		cmocka_unit_test(waiting_or_refused),
		cmocka_unit_test(order_of_turns),
		cmocka_unit_test(callers_return_at_the_rate_of_places),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
