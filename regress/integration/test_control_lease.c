/*
 * Orders to engines by the holder of a lease: a holder that is paused past its
 * lease sends no order when it resumes, and no engine executes an order with
 * an old fencing number, whether it checks these numbers or not.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "regress/control_fleet.h"

/* One engine that checks fencing numbers and one that doesn't. */
struct fixture {
	struct control_fleet *f;
	const char *engines[2];
	struct proc *procs[2];
	json_int_t expected_fence;
	size_t holder;
};

static void start_engine(struct fixture *x, size_t i)
{
	char name[16];

	snprintf(name, sizeof(name), "engine-%zu", i);
	x->procs[i] = HARNESS_START(
		x->f->h, name, "engined", "-l", x->engines[i],
		i ? "--check-fencing=false" : "--check-fencing=true");
	harness_wait_listening(x->f->h, x->engines[i]);
}

static json_int_t order_state(struct fixture *x, size_t i, const char *key)
{
	json_t *state = harness_get(x->f->h, x->engines[i], "/v1/orders");
	json_int_t n = json_integer_value(json_object_get(state, key));

	json_decref(state);
	return n;
}

/* Tells whether both engines have executed an order with the expected fencing
 * number or a higher one. */
static bool both_ordered(void *arg)
{
	struct fixture *x = arg;
	size_t i;

	for (i = 0; i < 2; i++)
		if (order_state(x, i, "fence") < x->expected_fence)
			return false;
	return true;
}

static bool holds_lease(struct fixture *x, size_t i)
{
	json_t *status = control_status(x->f, i);
	json_t *lease = json_array_get(json_object_get(status, "leases"), 0);
	bool held = json_is_true(json_object_get(lease, "held_here"));

	json_decref(status);
	return held;
}

/* Tells whether the former holder reports that it has lost the lease. */
static bool has_lost_lease(void *arg)
{
	struct fixture *x = arg;

	return !holds_lease(x, x->holder);
}

static void apply_engines(struct fixture *x)
{
	char more[512];

	snprintf(more, sizeof(more),
		 "[[endpoint]]\nname = \"checks\"\nservice = \"s\"\n"
		 "address = \"%s\"\nzone = \"zone-1\"\nchecks_fencing = true\n"
		 "[[endpoint]]\nname = \"ignores\"\nservice = \"s\"\n"
		 "address = \"%s\"\nzone = \"zone-2\"\n",
		 x->engines[0], x->engines[1]);
	assert_int_equal(
		control_apply(x->f, 0,
			      control_write_config(x->f, "c.toml", more), "20"),
		0);
}

static void test_paused_holder(void **state)
{
	struct fixture x = { .expected_fence = 1 };
	double sent;
	size_t i;

	(void)state;
	x.f = control_fleet_new(3, 2);
	for (i = 0; i < 2; i++) {
		x.engines[i] = harness_address(x.f->h);
		start_engine(&x, i);
	}
	apply_engines(&x);
	harness_until(x.f->h, both_ordered, &x,
		      "the engines have executed orders");
	for (x.holder = 0; x.holder < 3 && !holds_lease(&x, x.holder);)
		x.holder++;
	assert_true(x.holder < 3);
	sent = control_counter(x.f, x.holder, "cdmfleetd_orders_sent");
	control_pause(x.f, x.holder, true);
	/* restarted engines give the resumed holder a reason to send orders */
	for (i = 0; i < 2; i++) {
		proc_kill(x.procs[i]);
		start_engine(&x, i);
	}
	x.expected_fence = 2;
	harness_until(x.f->h, both_ordered, &x, "a new holder sends orders");
	control_pause(x.f, x.holder, false);
	harness_until(x.f->h, has_lost_lease, &x,
		      "the resumed holder loses the lease");
	harness_run(x.f->h, 2500); /* two polls of the restarted engines */
	assert_true(control_counter(x.f, x.holder, "cdmfleetd_orders_sent") ==
		    sent);
	for (i = 0; i < 2; i++) {
		assert_int_equal(order_state(&x, i, "executed_stale"), 0);
		assert_int_equal(order_state(&x, i, "refused"), 0);
	}
	control_fleet_free(x.f);
}

/* A holder that stops gracefully releases the lease, so that the next one
 * needn't wait for its expiry. */
static void test_graceful_handover(void **state)
{
	struct fixture x = { .expected_fence = 1 };
	size_t i;

	(void)state;
	x.f = control_fleet_new(3, 2);
	for (i = 0; i < 2; i++) {
		x.engines[i] = harness_address(x.f->h);
		start_engine(&x, i);
	}
	apply_engines(&x);
	harness_until(x.f->h, both_ordered, &x,
		      "the engines have executed orders");
	for (x.holder = 0; x.holder < 3 && !holds_lease(&x, x.holder);)
		x.holder++;
	assert_int_equal(proc_stop(x.f->instances[x.holder].proc), 0);
	x.expected_fence = 2;
	harness_until(x.f->h, both_ordered, &x, "a new holder sends orders");
	control_fleet_free(x.f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_paused_holder),
		cmocka_unit_test(test_graceful_handover),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
