/* Unit tests of policy/admit.c and its queue. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "policy/admit.h"
#include "policy/heap.h"
#include "regress/random.h"

enum { NOW = 100000, LIMIT = 1000, SERVICE_MS = 1000 };

/* Returns admission with slots and orgs organisations of weight 1. */
static struct admit *make(uint32_t slots, uint32_t orgs)
{
	struct admit_params p = admit_defaults;
	struct admit *a;
	uint32_t i;

	p.slots = slots;
	p.orgs_max = orgs + 1;
	p.queue_max = 64;
	p.org_queue_max = 32;
	p.service_prior_ms = SERVICE_MS;
	p.reserved_permille = 500;
	p.margin_permille = 0;
	a = admit_new(&p, NOW);
	for (i = 0; i < orgs; i++)
		admit_set_org(a, i, 1, LIMIT);
	return a;
}

static struct admit_decision arrive(struct admit *a, uint64_t id, uint32_t org,
				    enum admit_kind kind, uint64_t deadline)
{
	const struct admit_request req = {
		.id = id,
		.digest = id,
		.org = org,
		.kind = kind,
		.priority = ADMIT_NORMAL,
		.deadline_ms = deadline,
		.cost_ms = SERVICE_MS,
	};

	return admit_arrive(a, &req, NOW, 0);
}

static void finish(struct admit *a, uint32_t org, enum admit_kind kind)
{
	admit_finish(a, org, kind, SERVICE_MS, SERVICE_MS, true, NOW);
}

/* Returns the id of the request that starts next, or 0 if there is none. */
static uint64_t next_run(struct admit *a)
{
	struct admit_decision v;

	if (!admit_next(a, NOW, 0, &v))
		return 0;
	assert_int_equal(v.outcome, ADMIT_RUN);
	return v.id;
}

static void test_run_queue_refuse(void **state)
{
	struct admit *a = make(1, 2);
	struct admit_decision v;

	(void)state;
	assert_int_equal(arrive(a, 1, 0, ADMIT_NEW, 0).outcome, ADMIT_RUN);
	assert_int_equal(arrive(a, 2, 0, ADMIT_NEW, 0).outcome, ADMIT_QUEUE);
	v = arrive(a, 3, 0, ADMIT_NEW, NOW + 1500);
	assert_int_equal(v.outcome, ADMIT_REFUSE);
	assert_int_equal(v.reason, ADMIT_REASON_DEADLINE);
	assert_true(v.retry_after_s >= 1);
	v = arrive(a, 4, 2, ADMIT_NEW, 0);
	assert_int_equal(v.reason, ADMIT_REASON_ORG_UNKNOWN);
	assert_int_equal(next_run(a), 0);
	finish(a, 0, ADMIT_NEW);
	assert_int_equal(next_run(a), 2);
	admit_free(a);
}

static void test_queue_bounds(void **state)
{
	struct admit *a = make(1, 4);
	struct admit_decision v;
	uint64_t id;

	(void)state;
	arrive(a, 1, 0, ADMIT_NEW, 0);
	for (id = 2; id < 30; id++)
		assert_int_equal(arrive(a, id, 0, ADMIT_NEW, 0).outcome,
				 ADMIT_QUEUE);
	v = arrive(a, 30, 0, ADMIT_NEW, 0);
	assert_int_equal(v.reason, ADMIT_REASON_ORG_QUEUE_FULL);
	for (id = 31; id < 59; id++)
		assert_int_equal(arrive(a, id, 1, ADMIT_NEW, 0).outcome,
				 ADMIT_QUEUE);
	v = arrive(a, 59, 2, ADMIT_NEW, 0);
	assert_int_equal(v.reason, ADMIT_REASON_QUEUE_FULL);
	assert_int_equal(arrive(a, 60, 2, ADMIT_RESUME, 0).outcome,
			 ADMIT_QUEUE);
	admit_free(a);
}

/* Each refused caller gets a later retry time than the one before. */
static void test_retry_after_spread(void **state)
{
	struct admit *a = make(1, 2);
	uint32_t last = 0;
	uint64_t id;

	(void)state;
	arrive(a, 1, 0, ADMIT_NEW, 0);
	for (id = 2; id < 12; id++) {
		struct admit_decision v =
			arrive(a, id, 0, ADMIT_NEW, NOW + 500);

		assert_int_equal(v.outcome, ADMIT_REFUSE);
		assert_true(v.retry_after_s > last);
		last = v.retry_after_s;
	}
	assert_in_range(last, 18, 24);
	admit_free(a);
}

static void test_deadline_in_queue(void **state)
{
	struct admit *a = make(1, 2);
	struct admit_decision v;

	(void)state;
	arrive(a, 1, 0, ADMIT_NEW, 0);
	arrive(a, 2, 0, ADMIT_NEW, NOW + 3000);
	arrive(a, 3, 0, ADMIT_NEW, 0);
	assert_false(admit_next(a, NOW + 3000, 0, &v));
	assert_true(admit_next(a, NOW + 3001, 0, &v));
	assert_int_equal(v.outcome, ADMIT_REFUSE);
	assert_int_equal(v.id, 2);
	assert_false(admit_next(a, NOW + 3001, 0, &v));
	admit_free(a);
}

/* When slots are lost, requests that will be too late are refused at once. */
static void test_slots_lost(void **state)
{
	struct admit *a = make(4, 2);
	struct admit_decision v;
	uint32_t refused = 0;
	uint64_t id;

	(void)state;
	for (id = 1; id <= 12; id++)
		assert_int_not_equal(arrive(a, id, 0, ADMIT_NEW,
					    id > 4 ? NOW + 2500 : 0)
					     .outcome,
				     ADMIT_REFUSE);
	admit_set_slots(a, 2, NOW);
	while (admit_next(a, NOW, 0, &v)) {
		assert_int_equal(v.outcome, ADMIT_REFUSE);
		refused++;
	}
	assert_in_range(refused, 5, 7);
	admit_set_slots(a, 0, NOW);
	v = arrive(a, 13, 0, ADMIT_NEW, 0);
	assert_int_equal(v.reason, ADMIT_REASON_NO_CAPACITY);
	assert_in_range(v.retry_after_s, 3, 6);
	admit_free(a);
}

/* Single small losses of slots are ignored, but their sum is not. */
static void test_slots_lost_slowly(void **state)
{
	struct admit *a = make(16, 2);
	struct admit_decision v;
	uint32_t slots;
	uint64_t id;

	(void)state;
	for (id = 1; id <= 44; id++)
		assert_int_not_equal(arrive(a, id, 0, ADMIT_NEW,
					    id > 16 ? NOW + 1800 : 0)
					     .outcome,
				     ADMIT_REFUSE);
	for (slots = 15; slots >= 14; slots--) {
		admit_set_slots(a, slots, NOW);
		assert_false(admit_next(a, NOW, 0, &v));
	}
	admit_set_slots(a, 13, NOW);
	assert_true(admit_next(a, NOW, 0, &v));
	assert_int_equal(v.reason, ADMIT_REASON_DEADLINE);
	admit_free(a);
}

/* Resumes go first while they hold less than their part of the slots. */
static void test_resumes_within_bound(void **state)
{
	struct admit *a = make(10, 2);
	uint64_t id;
	int i;

	(void)state;
	for (id = 1; id <= 10; id++)
		arrive(a, id, 0, ADMIT_NEW, 0);
	for (id = 11; id <= 14; id++)
		arrive(a, id, 1, ADMIT_NEW, 0);
	for (id = 21; id <= 24; id++)
		arrive(a, id, 0, ADMIT_RESUME, 0);
	for (i = 0; i < 4; i++)
		finish(a, 0, ADMIT_NEW);
	assert_int_equal(next_run(a), 21);
	assert_int_equal(next_run(a), 22);
	assert_int_equal(next_run(a), 11);
	assert_int_equal(next_run(a), 12);
	finish(a, 0, ADMIT_RESUME);
	assert_int_equal(next_run(a), 23);
	admit_free(a);
}

static void test_priority_within_org(void **state)
{
	static const enum admit_priority priority[] = { ADMIT_LOW, ADMIT_NORMAL,
							ADMIT_HIGH };
	struct admit *a = make(1, 2);
	uint64_t id;

	(void)state;
	arrive(a, 100, 0, ADMIT_NEW, 0);
	for (id = 1; id <= 3; id++) {
		struct admit_request req = { .id = id,
					     .priority = priority[id - 1] };

		admit_arrive(a, &req, NOW, 0);
	}
	for (id = 3; id >= 1; id--) {
		finish(a, 0, ADMIT_NEW);
		assert_int_equal(next_run(a), id);
	}
	admit_free(a);
}

static void test_limit(void **state)
{
	struct admit *a = make(10, 2);

	(void)state;
	admit_set_org(a, 0, 1, 1);
	assert_int_equal(arrive(a, 1, 0, ADMIT_NEW, 0).outcome, ADMIT_RUN);
	assert_int_equal(arrive(a, 2, 0, ADMIT_NEW, 0).outcome, ADMIT_QUEUE);
	assert_int_equal(arrive(a, 3, 1, ADMIT_NEW, 0).outcome, ADMIT_RUN);
	assert_int_equal(next_run(a), 0);
	admit_set_org(a, 0, 1, 2);
	assert_int_equal(next_run(a), 2);
	admit_set_org(a, 0, 1, 0);
	assert_int_equal(arrive(a, 4, 0, ADMIT_NEW, 0).reason,
			 ADMIT_REASON_ORG_CLOSED);
	admit_free(a);
}

/* The waiting requests of a removed organisation are refused. */
static void test_org_removed(void **state)
{
	struct admit *a = make(1, 2);
	struct admit_decision v;

	(void)state;
	arrive(a, 1, 0, ADMIT_NEW, 0);
	arrive(a, 2, 1, ADMIT_NEW, 0);
	admit_set_org(a, 1, 0, 0);
	assert_true(admit_next(a, NOW, 0, &v));
	assert_int_equal(v.id, 2);
	assert_int_equal(v.reason, ADMIT_REASON_ORG_UNKNOWN);
	assert_false(admit_next(a, NOW, 0, &v));
	admit_free(a);
}

static void test_cancel(void **state)
{
	struct admit *a = make(1, 2);
	uint32_t ticket;

	(void)state;
	arrive(a, 1, 0, ADMIT_NEW, 0);
	ticket = arrive(a, 2, 0, ADMIT_NEW, 0).ticket;
	assert_true(admit_cancel(a, ticket));
	assert_false(admit_cancel(a, ticket));
	arrive(a, 3, 0, ADMIT_NEW, 0);
	assert_false(admit_cancel(a, ticket));
	assert_false(admit_cancel(a, UINT32_MAX));
	finish(a, 0, ADMIT_NEW);
	assert_int_equal(next_run(a), 3);
	admit_free(a);
}

/* The heap returns the least key while items are added, changed and removed. */
static void test_heap(void **state)
{
	enum { ITEMS = 50 };
	struct random_source rnd = { .seed = 6 };
	double key[ITEMS] = { 0 }; /* 0: absent */
	struct heap h;
	int i;

	(void)state;
	heap_init(&h, ITEMS);
	for (i = 0; i < 5000; i++) {
		uint32_t item = random_below(&rnd, ITEMS);
		double least = 0, top = 0;
		uint32_t k;

		if (random_below(&rnd, 3)) {
			key[item] = 1 + random_below(&rnd, 1000);
			heap_set(&h, item, key[item]);
		} else {
			key[item] = 0;
			heap_remove(&h, item);
		}
		for (k = 0; k < ITEMS; k++)
			if (key[k] > 0 && (least <= 0 || key[k] < least))
				least = key[k];
		if (heap_peek(&h, &item, &top))
			assert_true(key[item] == top);
		assert_true(top == least);
	}
	heap_release(&h);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_run_queue_refuse),
		cmocka_unit_test(test_queue_bounds),
		cmocka_unit_test(test_retry_after_spread),
		cmocka_unit_test(test_deadline_in_queue),
		cmocka_unit_test(test_slots_lost),
		cmocka_unit_test(test_slots_lost_slowly),
		cmocka_unit_test(test_resumes_within_bound),
		cmocka_unit_test(test_priority_within_org),
		cmocka_unit_test(test_limit),
		cmocka_unit_test(test_org_removed),
		cmocka_unit_test(test_cancel),
		cmocka_unit_test(test_heap),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
