/* Tests endpoint restarts that the store does not list, and local faults. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/endpoint_restart.h"
#include "policy/local_fault.h"
#include "regress/random.h"

/* An address belongs to the same service if it was last seen more recently than
 * another service could have taken it over; after that only a report of the
 * endpoint decides, and only if a single service has engines. */
static void identity(void **state)
{
	static const struct {
		int64_t last_seen_ms_ago;
		bool engine;
		size_t engine_services;
		enum endpoint_restart_decision decision;
	} cases[] = {
		{ 1200, false, 1, ENDPOINT_RESTART_ACCEPT },
		{ 1200, true, 2, ENDPOINT_RESTART_ACCEPT },
		{ 1800, true, 1,
		  ENDPOINT_RESTART_QUERY }, /* within the margin */
		{ 5000, true, 1, ENDPOINT_RESTART_QUERY },
		{ 5000, true, 2, ENDPOINT_RESTART_IGNORE },
		{ 5000, false, 1, ENDPOINT_RESTART_IGNORE },
		/* listed, but never seen: it may be long dead */
		{ -1, false, 1, ENDPOINT_RESTART_IGNORE },
		{ -1, true, 1, ENDPOINT_RESTART_QUERY },
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct endpoint_restart r = {
			.last_seen_ms_ago = cases[i].last_seen_ms_ago,
			.reuse_after_ms = 2000,
			.is_engine = cases[i].engine,
			.engine_services = cases[i].engine_services,
		};

		assert_int_equal(endpoint_restart_decide(&r),
				 cases[i].decision);
	}
}

/* Load pattern: the store is unreachable and 25 engines of a zone are down.
 * All instances together probe each address a few times a second, however many
 * instances there are. */
static void probes_bounded(void **state)
{
	static const size_t instances[] = { 1, 6, 64, 917 };
	struct random_source random = { .seed = 5 };
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(instances) / sizeof(instances[0]); i++) {
		const struct endpoint_restart_probe probe = {
			.probed_ms_ago = 10000,
			.instances = instances[i],
		};
		uint32_t due = 0;
		size_t k;

		for (k = 0;
		     k < instances[i] * 10 * 1000 / ENDPOINT_RESTART_TICK_MS;
		     k++)
			due += endpoint_restart_probe_due(&probe,
							  random_next(&random));
		assert_true(due >= 10); /* in ten seconds */
		assert_true(due <= 60);
	}
}

static void local_fault(void **state)
{
	struct local_fault f = { 0 };

	(void)state;
	assert_false(local_fault_likely(&f, 1000));
	local_fault_record_timeout(&f, 1, 1000);
	local_fault_record_timeout(&f, 1, 1010); /* a zone is lost */
	assert_false(local_fault_likely(&f, 1020));
	local_fault_record_timeout(&f, 2, 1100);
	assert_true(local_fault_likely(&f, 1110));
	assert_false(local_fault_likely(&f, 1600));
	local_fault_record_timeout(&f, 0,
				   9000); /* the next zone, seconds later */
	assert_false(local_fault_likely(&f, 9000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(identity),
		cmocka_unit_test(probes_bounded),
		cmocka_unit_test(local_fault),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
