/* Unit tests of policy/lease.c. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "policy/lease.h"

#define STEP_MS 100
#define ORDER_MS 500

/* Faults of the table at the next write. */
enum fault {
	FAULT_NONE,
	FAULT_LOST_BEFORE, /* no answer, no effect */
	FAULT_LOST_AFTER, /* no answer, but written */
	FAULT_LATE, /* no answer; written by late_write() */
	FAULT_DOWN, /* error, no effect */
};

struct table {
	uint64_t now;
	uint64_t nonce;
	struct lease_row row;
	enum fault fault;
	bool down; /* reads and writes fail */
	struct lease_write late;
	bool has_late;
	unsigned int n_writes;
	unsigned int n_reads;
};

static enum lease_result apply_write(struct table *w,
				     const struct lease_write *write)
{
	if (write->if_version != w->row.version)
		return LEASE_CONFLICT;
	w->row = write->row;
	w->row.version = write->if_version + 1;
	w->n_writes++;
	return LEASE_WRITTEN;
}

static enum lease_result write_row(struct table *w,
				   const struct lease_write *write)
{
	enum fault fault = w->fault;

	w->fault = FAULT_NONE;
	if (w->down || fault == FAULT_DOWN)
		return LEASE_FAILED;
	switch (fault) {
	case FAULT_LOST_BEFORE:
		return LEASE_NO_ANSWER;
	case FAULT_LOST_AFTER:
		apply_write(w, write);
		return LEASE_NO_ANSWER;
	case FAULT_LATE:
		w->late = *write;
		w->has_late = true;
		return LEASE_NO_ANSWER;
	default:
		return apply_write(w, write);
	}
}

static void late_write(struct table *w)
{
	assert_true(w->has_late);
	w->has_late = false;
	apply_write(w, &w->late);
}

static void step(struct table *w, struct lease *l)
{
	struct lease_write write;
	enum lease_result result;

	switch (lease_step(l, w->now, ++w->nonce, &write)) {
	case LEASE_NOTHING:
		break;
	case LEASE_READ:
		w->n_reads++;
		if (w->down)
			lease_read_failed(l, w->now);
		else
			lease_read(l, &w->row, w->now);
		break;
	case LEASE_WRITE:
		result = write_row(w, &write);
		lease_written(l, result, w->row.version, w->now);
		break;
	}
}

static bool may_send(const struct table *w, const struct lease *l, bool checks)
{
	return lease_check(l, w->now, checks, ORDER_MS) == LEASE_SEND;
}

/* Runs both instances for ms; asserts that only one may send orders. */
static void run(struct table *w, struct lease *a, struct lease *b, uint64_t ms)
{
	uint64_t end = w->now + ms;

	for (; w->now < end; w->now += STEP_MS) {
		if (a)
			step(w, a);
		if (b)
			step(w, b);
		if (a && b)
			assert_false(may_send(w, a, false) &&
				     may_send(w, b, false));
	}
}

static void start(struct lease *l, uint64_t self)
{
	lease_init(l, self);
	l->wanted = true;
}

static void test_acquire_and_renew(void **state)
{
	struct table w = { .now = 1000 };
	struct lease a;
	struct lease b;

	(void)state;
	start(&a, 1);
	start(&b, 2);
	run(&w, &a, &b, 60000);
	assert_true(may_send(&w, &a, true));
	assert_true(may_send(&w, &a, false));
	assert_int_equal(lease_check(&b, w.now, true, 0), LEASE_REFUSE);
	assert_int_equal(w.row.fencing, 1);
	assert_true(w.n_writes <= 1 + 60000 / LEASE_RENEW_INTERVAL_MS);
}

/* An instance that doesn't want the lease reads the row only once. */
static void test_unwanted(void **state)
{
	struct table w = { .now = 1000 };
	struct lease a;
	struct lease b;

	(void)state;
	start(&a, 1);
	lease_init(&b, 2);
	run(&w, &a, &b, 60000);
	assert_int_equal(w.n_reads, 2);
	/* Its first write is based on an outdated row and conflicts. */
	b.wanted = true;
	run(&w, &a, &b, 20000);
	assert_true(may_send(&w, &a, false));
	assert_int_equal(w.row.fencing, 1);
}

/* A holder that was paused beyond its lease sends no orders afterwards. */
static void test_paused_holder(void **state)
{
	struct table w = { .now = 1000 };
	struct lease a;
	struct lease b;

	(void)state;
	start(&a, 1);
	start(&b, 2);
	run(&w, &a, &b, 10000);
	run(&w, NULL, &b,
	    LEASE_DURATION_MS + LEASE_MARGIN_MS + LEASE_RENEW_INTERVAL_MS +
		    LEASE_READ_INTERVAL_MS);
	assert_true(may_send(&w, &b, false));
	assert_int_equal(lease_fencing(&b), 2);
	/* Resumed: orders are refused by its own clock, before any read. */
	assert_false(may_send(&w, &a, true));
	run(&w, &a, &b, 20000);
	assert_false(may_send(&w, &a, true));
	assert_true(may_send(&w, &b, false));
}

/* A pause shorter than the lease keeps the lease. */
static void test_briefly_paused_holder(void **state)
{
	struct table w = { .now = 1000 };
	struct lease a;
	struct lease b;

	(void)state;
	start(&a, 1);
	start(&b, 2);
	run(&w, &a, &b, 10000);
	run(&w, NULL, &b, 4000);
	run(&w, &a, &b, 20000);
	assert_true(may_send(&w, &a, false));
	assert_int_equal(w.row.fencing, 1);
}

static void test_order_beyond_expiry(void **state)
{
	struct table w = { .now = 1000 };
	struct lease a;

	(void)state;
	start(&a, 1);
	run(&w, &a, NULL, 1000);
	assert_int_equal(lease_check(&a, w.now, true, LEASE_DURATION_MS),
			 LEASE_REFUSE);
	assert_int_equal(lease_check(&a, w.now, true, 100), LEASE_SEND);
	assert_int_equal(lease_check(&a, a.valid_until - 100, true, 100),
			 LEASE_REFUSE);
}

struct fault_case {
	const char *name;
	enum fault fault;
};

static const struct fault_case fault_cases[] = {
	{ "answer lost, not written", FAULT_LOST_BEFORE },
	{ "answer lost, written", FAULT_LOST_AFTER },
	{ "write failed", FAULT_DOWN },
};

/* The holder recovers from a fault at the first write or at a renewal. */
static void test_lost_answers(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(fault_cases) / sizeof(fault_cases[0]); i++) {
		struct table w = { .now = 1000 };
		struct lease a;
		struct lease b;

		print_message("%s\n", fault_cases[i].name);
		start(&a, 1);
		start(&b, 2);
		w.fault = fault_cases[i].fault;
		run(&w, &a, NULL, 2000);
		assert_true(may_send(&w, &a, false));
		assert_int_equal(w.row.fencing, 1);
		w.fault = fault_cases[i].fault;
		run(&w, &a, &b, 20000);
		assert_int_equal(w.fault, FAULT_NONE);
		assert_true(may_send(&w, &a, false));
		assert_int_equal(w.row.fencing, 1);
	}
}

/* A write that takes effect after its resending takes effect only once. */
static void test_late_write(void **state)
{
	struct table w = { .now = 1000, .fault = FAULT_LATE };
	struct lease a;
	struct lease b;
	uint64_t sent;

	(void)state;
	start(&a, 1);
	start(&b, 2);
	run(&w, &a, NULL, 200);
	sent = a.write_sent_at;
	/* It takes effect after the read and before it is sent again. */
	while (a.read_due)
		run(&w, &a, NULL, STEP_MS);
	late_write(&w);
	run(&w, &a, NULL, 1000);
	/* The lease counts from the first sending. */
	assert_int_equal(a.valid_until,
			 sent + LEASE_DURATION_MS - LEASE_MARGIN_MS);
	assert_int_equal(w.n_writes, 1);
	assert_true(may_send(&w, &a, false));
	/* Another instance writes first: the late write conflicts. */
	w.fault = FAULT_LATE;
	run(&w, &a, &b, LEASE_RENEW_INTERVAL_MS);
	w.row.version++;
	w.row.holder = 2;
	w.row.fencing = 2;
	w.row.nonce = 12345;
	late_write(&w);
	assert_int_equal(w.row.holder, 2);
	/* The next renewal finds this out. */
	run(&w, &a, NULL, LEASE_RENEW_INTERVAL_MS);
	assert_int_equal(w.row.holder, 2);
	assert_false(may_send(&w, &a, true));
}

/* During an outage the holder stops in time, and no instance takes over. */
static void test_outage(void **state)
{
	struct table w = { .now = 1000 };
	struct lease a;
	struct lease b;

	(void)state;
	start(&a, 1);
	start(&b, 2);
	run(&w, &a, &b, 10000);
	w.down = true;
	run(&w, &a, &b, 60000);
	assert_false(may_send(&w, &a, true));
	assert_false(may_send(&w, &b, true));
	w.down = false;
	run(&w, &a, &b, 20000);
	assert_true(may_send(&w, &a, false) || may_send(&w, &b, false));
}

static void test_release(void **state)
{
	struct table w = { .now = 1000 };
	struct lease a;
	struct lease b;

	(void)state;
	start(&a, 1);
	start(&b, 2);
	run(&w, &a, &b, 10000);
	lease_release(&a);
	assert_false(may_send(&w, &a, true));
	w.fault = FAULT_LOST_AFTER;
	run(&w, &a, &b, LEASE_READ_INTERVAL_MS + 3 * LEASE_RETRY_DELAY_MS);
	/* The next holder doesn't wait, since no order is in flight. */
	assert_true(may_send(&w, &b, false));
	assert_int_equal(w.row.fencing, 2);
	/* Releasing a lease that another instance holds has no effect. */
	lease_release(&a);
	run(&w, &a, &b, 10000);
	assert_int_equal(w.row.holder, 2);
}

/*
 * After a take-over by an operator's order, endpoints that check fencing get
 * orders at once, others after the former lease has expired.
 */
static void test_take_over(void **state)
{
	struct table w = { .now = 1000 };
	struct lease_write write;
	struct lease a;
	struct lease b;
	uint64_t taken;

	(void)state;
	start(&a, 1);
	start(&b, 2);
	run(&w, &a, &b, 10000);
	taken = w.now;
	assert_true(lease_take_over(&b, w.now, ++w.nonce, &write));
	lease_written(&b, write_row(&w, &write), w.row.version, w.now);
	assert_int_equal(lease_check(&b, w.now, true, ORDER_MS), LEASE_SEND);
	assert_int_equal(lease_check(&b, w.now, false, ORDER_MS), LEASE_WAIT);
	/* The former holder, partitioned, still considers its lease valid. */
	run(&w, NULL, &b, LEASE_DURATION_MS + LEASE_MARGIN_MS);
	assert_true(may_send(&w, &b, false));
	assert_true(b.unfenced_from >= a.valid_until);
	assert_true(b.unfenced_from <=
		    taken + LEASE_DURATION_MS + LEASE_MARGIN_MS);
}

/* A new process of the same instance waits for its predecessor's lease. */
static void test_restarted_holder(void **state)
{
	struct table w = { .now = 1000 };
	struct lease old;
	struct lease new;

	(void)state;
	start(&old, 1);
	run(&w, &old, NULL, 10000);
	start(&new, 1);
	run(&w, &new, NULL, LEASE_DURATION_MS);
	assert_false(may_send(&w, &new, true));
	run(&w, &new, NULL, LEASE_MARGIN_MS + 2 * STEP_MS);
	assert_true(may_send(&w, &new, false));
	assert_int_equal(w.row.fencing, 2);
	assert_false(may_send(&w, &old, true));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_acquire_and_renew),
		cmocka_unit_test(test_unwanted),
		cmocka_unit_test(test_paused_holder),
		cmocka_unit_test(test_briefly_paused_holder),
		cmocka_unit_test(test_order_beyond_expiry),
		cmocka_unit_test(test_lost_answers),
		cmocka_unit_test(test_late_write),
		cmocka_unit_test(test_outage),
		cmocka_unit_test(test_release),
		cmocka_unit_test(test_take_over),
		cmocka_unit_test(test_restarted_holder),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
