/* Unit tests of capacity waits, planned stops and entry expiry. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/entry_expiry.h"
#include "policy/capacity_wait.h"
#include "policy/planned_stop.h"

/* Load pattern: a burst of long prompts while a zone's engines are lost.  The
 * first runs wait; those whose first event would be late are refused at once,
 * with a retry time that grows with the queue. */
static void burst_of_long_prompts(void **state)
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
		struct capacity_wait_decision d;

		r.waiting_tokens = (uint64_t)waiting * r.need_tokens;
		d = capacity_wait_decide(&r);
		if (d.wait) {
			assert_true(waiting == (uint32_t)i);
			waiting++;
			continue;
		}
		assert_true(d.retry_after_ms >= last);
		last = d.retry_after_ms;
	}
	/* waiting runs start in time at the rate at which runs end */
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
	const struct capacity_wait none_up = { .need_tokens = 6400,
					       .target_ms = 4500 };

	(void)state;
	assert_false(capacity_wait_decide(&late).wait);
	assert_false(capacity_wait_decide(&none_up).wait);
	assert_true(capacity_wait_decide(&none_up).retry_after_ms > 0);
}

/* Returns whether a run without a time limit that may be repeated is accepted
 * when it arrives. */
static bool accepts(const struct planned_stop *s, uint64_t expected_ms,
		    bool other_instance, uint64_t now)
{
	const struct planned_stop_request r = {
		.received_ms = now,
		.until_ms = UINT64_MAX,
		.expected_ms = expected_ms,
		.repeatable = true,
		.other_instance = other_instance,
	};

	return planned_stop_accepts(s, &r, now);
}

static void planned_stop(void **state)
{
	struct planned_stop s = { .grace_ms = 8000, .directory_ttl_ms = 2000 };

	(void)state;
	assert_true(planned_stop_ready(&s));
	assert_true(accepts(&s, 1000000, false, 500));
	assert_false(planned_stop_should_exit(&s, 500, 0));
	s.signal_ms = 1000;
	assert_false(planned_stop_ready(&s));
	/* it ends in time */
	assert_true(accepts(&s, 6000, false, 1100));
	assert_false(accepts(&s, 6000, false, 3000));
	/* short requests are accepted for longer */
	assert_true(accepts(&s, 200, true, 3400));
	/* callers keep the address */
	assert_false(planned_stop_should_exit(&s, 5000, 0));
	assert_true(planned_stop_should_exit(&s, 8500, 0));
	assert_false(planned_stop_should_exit(&s, 8500, 1));
	assert_false(planned_stop_must_abort(&s, 8500));
	/* before the process is killed */
	assert_true(planned_stop_must_abort(&s, 8900));
	assert_true(planned_stop_should_exit(&s, 8900, 1));
}

/* A process that has decided to exit accepts nothing that it reads after that,
 * however short. */
static void request_read_after_decision_to_exit(void **state)
{
	struct planned_stop s = { .grace_ms = 8000,
				  .directory_ttl_ms = 1000,
				  .signal_ms = 1000 };

	(void)state;
	assert_true(accepts(&s, 20, true, 3000));
	s.over = true;
	assert_false(accepts(&s, 20, true, 3000));
	assert_false(accepts(&s, 20, false, 3000));
}

/* A run that may not end in time is refused if another instance can take it,
 * and started if there is no other. */
static void run_during_planned_stop(void **state)
{
	const struct planned_stop s = { .grace_ms = 8000,
					.directory_ttl_ms = 1000,
					.signal_ms = 1000 };

	(void)state;
	assert_false(accepts(&s, 6000, true, 1100));
	assert_true(accepts(&s, 6000, false, 1100));
	assert_true(accepts(&s, 4000, true, 1100));
}

/* Requests during a stop from 1000 to 9000 ms; open ones are aborted at 8800. */
struct stop_case {
	const char *what;
	struct planned_stop_request request;
	uint64_t now;
	bool accepted;
};

static const struct stop_case stop_cases[] = {
	{ "runs once, may outlast the stop",
	  { 1100, 9100, 200, false, false },
	  1100,
	  false },
	{ "runs once, alone, may outlast the stop",
	  { 1100, 20000, 1, false, false },
	  1100,
	  false },
	{ "runs once, ends with the stop",
	  { 1100, 8800, 200, false, false },
	  1100,
	  false },
	{ "runs once, ends before the stop",
	  { 7000, 8799, 200, false, false },
	  7000,
	  true },
	{ "runs once, came before the stop and waited",
	  { 500, 15500, 200, false, true },
	  1100,
	  false },
	{ "may be repeated, came early",
	  { 3499, 20000, 200, true, true },
	  3499,
	  true },
	{ "may be repeated, came late",
	  { 3500, 20000, 200, true, true },
	  3500,
	  false },
	{ "may be repeated, came late, ends before the stop",
	  { 8000, 8500, 200, true, true },
	  8000,
	  true },
	{ "may be repeated, came early and waited",
	  { 1100, 20000, 200, true, true },
	  8600,
	  false },
	{ "its limit ends it before the estimate does",
	  { 7000, 8000, 6000, true, true },
	  7000,
	  true },
};

/* A guess of its duration is no reason to start a request that may be cut by
 * the end of a planned stop without an answer. */
static void limits_during_planned_stop(void **state)
{
	const struct planned_stop s = { .grace_ms = 8000,
					.directory_ttl_ms = 1000,
					.signal_ms = 1000 };
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(stop_cases) / sizeof(stop_cases[0]); i++) {
		const struct stop_case *c = &stop_cases[i];

		if (planned_stop_accepts(&s, &c->request, c->now) !=
		    c->accepted)
			fail_msg("%s", c->what);
	}
}

/* Load pattern: six instances are stopped one second after another and start
 * again.  At any time one of them is ready, and a refused caller that retries
 * when it is told to holds a list made after the refusal. */
static void instances_stopped_in_turn(void **state)
{
	enum { INSTANCES = 6, GAP_MS = 1000, START_MS = 600 };
	struct planned_stop s = { .grace_ms = 8000, .directory_ttl_ms = 1000 };
	uint64_t back_ms;
	uint64_t t;

	(void)state;
	s.signal_ms = 1000;
	assert_true(planned_stop_retry_ms(&s) > s.directory_ttl_ms);
	for (t = s.signal_ms; !planned_stop_should_exit(&s, t, 0); t += 20)
		;
	/* callers that keep a list for three TTLs have dropped it */
	assert_true(t >= s.signal_ms + 3 * s.directory_ttl_ms);
	back_ms = t - s.signal_ms + START_MS;
	assert_true(back_ms < (INSTANCES - 1) * GAP_MS);
}

static void expired_entries(void **state)
{
	struct entry_expiry l = { 0 };

	(void)state;
	assert_true(entry_expiry_accepts_work(&l, 1000));
	entry_expiry_removed(&l, 0, 1000); /* removed while the store works */
	assert_false(entry_expiry_accepts_work(&l, 1000));
	entry_expiry_restored(&l);
	assert_true(entry_expiry_accepts_work(&l, 1100));
	entry_expiry_removed(&l, 5000, 5200); /* expired during an outage */
	assert_true(entry_expiry_accepts_work(&l, 5300));
	assert_true(entry_expiry_accepts_work(&l, 6900));
	assert_false(
		entry_expiry_accepts_work(&l, 7100)); /* it did not return */
	entry_expiry_restored(&l);
	entry_expiry_removed(&l, 5000, 9000); /* long after the outage */
	assert_false(entry_expiry_accepts_work(&l, 9000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(burst_of_long_prompts),
		cmocka_unit_test(no_time_left),
		cmocka_unit_test(planned_stop),
		cmocka_unit_test(request_read_after_decision_to_exit),
		cmocka_unit_test(run_during_planned_stop),
		cmocka_unit_test(limits_during_planned_stop),
		cmocka_unit_test(instances_stopped_in_turn),
		cmocka_unit_test(expired_entries),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
