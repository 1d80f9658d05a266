/*
 * Simulated load on policy/admit.c: overload, an organisation that floods, and
 * loss of slots.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "regress/admit_load.h"

enum { SLOTS = 40, CAPACITY_PER_S = SLOTS * 1000 / LOAD_SERVICE_MS };

/*
 * Returns a simulation after a minute of load relative to capacity, spread
 * evenly over orgs.
 */
static struct load *load_warmed_up(uint32_t orgs, double load, uint64_t seed)
{
	struct load *l = load_new(SLOTS, orgs, seed);
	uint32_t o;

	for (o = 0; o < orgs; o++)
		l->per_s[o] = CAPACITY_PER_S * load / orgs;
	load_run(l, 60000);
	return l;
}

/*
 * Under overload, goodput stays near capacity, no request starts after its
 * deadline, few queued requests are refused later, and callers that retry at
 * their reserved time are admitted.
 */
static void test_overload(void **state)
{
	static const double loads[] = { 1.2, 2, 5 };
	size_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		struct load *l = load_warmed_up(10, loads[i], 7 + i);
		uint64_t before = load_completed(l);
		double goodput;

		load_run(l, 240000);
		goodput = (double)(load_completed(l) - before) /
			  (CAPACITY_PER_S * 240.0);
		assert_true(goodput > 0.9);
		assert_int_equal(l->late, 0);
		assert_true(l->evicted * 50 < load_completed(l));
		assert_true(l->returned > 1000);
		assert_true(l->returned_admitted * 100 > l->returned * 99);
		load_free(l);
	}
}

/*
 * When one organisation floods the service, the others keep the part of their
 * share that they use.
 */
static void test_flood(void **state)
{
	struct load *l = load_new(SLOTS, 4, 9);
	uint32_t o;

	(void)state;
	l->per_s[0] = 5 * CAPACITY_PER_S;
	for (o = 1; o < 4; o++)
		l->per_s[o] = 0.8 * CAPACITY_PER_S / 4;
	load_run(l, 240000);
	for (o = 1; o < 4; o++)
		assert_true((double)l->completed[o] > 0.95 * l->per_s[o] * 240);
	assert_true(load_completed(l) > 0.95 * CAPACITY_PER_S * 240);
	load_free(l);
}

/*
 * After half of the slots were lost for a minute, the refused callers cause no
 * retry storm.
 */
static void test_half_lost(void **state)
{
	struct load *l = load_warmed_up(4, 0.9, 11);
	uint64_t completed = load_completed(l);
	uint64_t attempts;

	(void)state;
	admit_set_slots(l->admit, SLOTS / 2, l->now);
	load_run(l, 60000);
	assert_true(load_completed(l) - completed > 0.9 * CAPACITY_PER_S * 30);
	admit_set_slots(l->admit, SLOTS, l->now);
	completed = load_completed(l);
	attempts = l->attempts;
	load_run(l, 120000);
	completed = load_completed(l) - completed;
	attempts = l->attempts - attempts;
	assert_true((double)attempts < 1.1 * (double)completed);
	assert_int_equal(l->late, 0);
	load_free(l);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_overload),
		cmocka_unit_test(test_flood),
		cmocka_unit_test(test_half_lost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
