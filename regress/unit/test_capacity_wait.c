/* Runs without room, planned stops, lapsed entries. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/lapse.h"
#include "policy/capacity_wait.h"
#include "policy/planned_stop.h"

/* Load pattern: a burst of long prompts while a zone's engines are gone.  The
 * first wait; those that would get their first event late are refused at once,
 * with a time to come back that grows with the queue. */
static void burst(void **state)
{
	struct capacity_wait r = {
		.used_tokens = 12 * 50000,
		.run_ms = 6000,
		.need_tokens = 6400,
		.first_event_ms = 1100,
		.target_ms = 4500,
	};
	uint32_t waiting = 0;
	uint32_t last = 0;
	int i;

	(void)state;
	for (i = 0; i < 100; i++) {
		struct capacity_wait_decision v;

		r.waiting_tokens = (uint64_t)waiting * r.need_tokens;
		v = capacity_wait_decide(&r);
		if (v.wait) {
			assert_true(waiting == (uint32_t)i);
			waiting++;
			continue;
		}
		assert_true(v.retry_after_ms >= last);
		last = v.retry_after_ms;
	}
	/* what waits starts in time at the rate at which runs end */
	assert_true(waiting > 10);
	assert_true((uint64_t)waiting * r.need_tokens * r.run_ms /
				    r.used_tokens +
			    r.first_event_ms <=
		    r.target_ms);
}

static void no_time_left(void **state)
{
	const struct capacity_wait late = {
		.used_tokens = 600000,
		.run_ms = 6000,
		.need_tokens = 6400,
		.first_event_ms = 1100,
		.target_ms = 4500,
		.waited_ms = 3400,
	};
	const struct capacity_wait none_up = { .need_tokens = 6400, .target_ms = 4500 };

	(void)state;
	assert_false(capacity_wait_decide(&late).wait);
	assert_false(capacity_wait_decide(&none_up).wait);
	assert_true(capacity_wait_decide(&none_up).retry_after_ms > 0);
}

static void planned_stop(void **state)
{
	struct planned_stop s = { .grace_ms = 8000, .directory_ttl_ms = 2000 };

	(void)state;
	assert_true(planned_stop_ready(&s));
	assert_true(planned_stop_accepts(&s, 1000000, false, 500));
	assert_false(planned_stop_may_exit(&s, 500, 0));
	s.signal_ms = 1000;
	assert_false(planned_stop_ready(&s));
	assert_true(planned_stop_accepts(&s, 6000, false, 1100)); /* it ends in time */
	assert_false(planned_stop_accepts(&s, 6000, false, 3000));
	assert_true(planned_stop_accepts(&s, 200, true, 8000)); /* short ones still do */
	assert_false(planned_stop_may_exit(&s, 5000, 0)); /* callers keep the address */
	assert_true(planned_stop_may_exit(&s, 8500, 0));
	assert_false(planned_stop_may_exit(&s, 8500, 1));
	assert_false(planned_stop_must_abort(&s, 8500));
	assert_true(planned_stop_must_abort(&s, 8900)); /* before the kill */
	assert_true(planned_stop_may_exit(&s, 8900, 1));
}

/* A run that may end too late is refused while another instance takes it, and
 * begun where there is no other. */
static void run_at_a_stop(void **state)
{
	const struct planned_stop s = { .grace_ms = 8000,
				.directory_ttl_ms = 1000,
				.signal_ms = 1000 };

	(void)state;
	assert_false(planned_stop_accepts(&s, 6000, true, 1100));
	assert_true(planned_stop_accepts(&s, 6000, false, 1100));
	assert_true(planned_stop_accepts(&s, 4000, true, 1100));
}

/* Load pattern: six instances are stopped one second after another and start
 * again.  There is always one that is ready, and a caller that was refused and
 * comes back when it is told to holds a list made after the refusal. */
static void stops_in_turn(void **state)
{
	enum { INSTANCES = 6, GAP_MS = 1000, START_MS = 600 };
	struct planned_stop s = { .grace_ms = 8000, .directory_ttl_ms = 1000 };
	uint64_t back_ms;
	uint64_t t;

	(void)state;
	s.signal_ms = 1000;
	assert_true(planned_stop_retry_ms(&s) > s.directory_ttl_ms);
	for (t = s.signal_ms; !planned_stop_may_exit(&s, t, 0); t += 20)
		;
	/* callers that keep a list for three times as long have left it */
	assert_true(t >= s.signal_ms + 3 * s.directory_ttl_ms);
	back_ms = t - s.signal_ms + START_MS;
	assert_true(back_ms < (INSTANCES - 1) * GAP_MS);
}

static void lapsed_entries(void **state)
{
	struct lapse l = { 0 };

	(void)state;
	assert_true(lapse_takes_work(&l, 1000));
	lapse_removed(&l, 0, 1000); /* the store works: it is gone */
	assert_false(lapse_takes_work(&l, 1000));
	lapse_returned(&l);
	assert_true(lapse_takes_work(&l, 1100));
	lapse_removed(&l, 5000, 5200); /* lapsed in an outage */
	assert_true(lapse_takes_work(&l, 5300));
	assert_true(lapse_takes_work(&l, 6900));
	assert_false(lapse_takes_work(&l, 7100)); /* it did not come back */
	lapse_returned(&l);
	lapse_removed(&l, 5000, 9000); /* long after the outage */
	assert_false(lapse_takes_work(&l, 9000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(burst),
		cmocka_unit_test(no_time_left),
		cmocka_unit_test(planned_stop),
		cmocka_unit_test(run_at_a_stop),
		cmocka_unit_test(stops_in_turn),
		cmocka_unit_test(lapsed_entries),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
