/* Endpoints that start again unannounced, and silence that is our own fault. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/own_fault.h"
#include "policy/reborn.h"
#include "regress/random.h"

/* An address belongs to the same service while it was silent for less time
 * than others need to get it; later only a report tells, and only if engines
 * are of one service. */
static void identity(void **state)
{
	static const struct {
		int64_t heard_ms_ago;
		bool engine;
		size_t engine_services;
		enum reborn_verdict verdict;
	} cases[] = {
		{ 1200, false, 1, REBORN_BELIEVE },
		{ 1200, true, 2, REBORN_BELIEVE },
		{ 1800, true, 1, REBORN_ASK }, /* too close to be sure */
		{ 5000, true, 1, REBORN_ASK },
		{ 5000, true, 2, REBORN_LEAVE },
		{ 5000, false, 1, REBORN_LEAVE },
		/* listed, but never heard: it may have ended long ago */
		{ -1, false, 1, REBORN_LEAVE },
		{ -1, true, 1, REBORN_ASK },
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct reborn r = {
			.heard_ms_ago = cases[i].heard_ms_ago,
			.reuse_after_ms = 2000,
			.engine = cases[i].engine,
			.engine_services = cases[i].engine_services,
		};

		assert_int_equal(reborn_judge(&r), cases[i].verdict);
	}
}

/* Load pattern: the store is away and 25 engines of a zone are down.  However
 * many instances there are, each address is asked a few times a second by all
 * of them together. */
static void probes_bounded(void **state)
{
	static const size_t instances[] = { 1, 6, 64, 917 };
	struct random_source random = { .seed = 5 };
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(instances) / sizeof(instances[0]); i++) {
		const struct reborn_probe probe = {
			.probed_ms_ago = 10000,
			.instances = instances[i],
		};
		uint32_t due = 0;
		size_t k;

		for (k = 0; k < instances[i] * 10 * 1000 / REBORN_TICK_MS; k++)
			due += reborn_probe_due(&probe, random_next(&random));
		assert_true(due >= 10); /* of ten seconds */
		assert_true(due <= 60);
	}
}

static void own_fault(void **state)
{
	struct own_fault f = { 0 };

	(void)state;
	assert_false(own_fault_likely(&f, 1000));
	own_fault_silence(&f, 1, 1000);
	own_fault_silence(&f, 1, 1010); /* a zone is lost */
	assert_false(own_fault_likely(&f, 1020));
	own_fault_silence(&f, 2, 1100);
	assert_true(own_fault_likely(&f, 1110));
	assert_false(own_fault_likely(&f, 1600));
	own_fault_silence(&f, 0, 9000); /* the next zone, seconds later */
	assert_false(own_fault_likely(&f, 9000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(identity),
		cmocka_unit_test(probes_bounded),
		cmocka_unit_test(own_fault),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
