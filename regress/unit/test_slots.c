/* Unit tests of lib/slots.c, one of them against a model. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/slots.h"
#include "regress/random.h"

#define HANDLES 4000
#define STEPS 20000

static void test_a_freed_handle_names_nothing(void **state)
{
	struct slots t;
	struct handle a;
	struct handle b;
	int *item;

	(void)state;
	slots_init(&t, sizeof(int));
	item = slots_alloc(&t, &a);
	assert_int_equal(*item, 0);
	*item = 5;
	assert_ptr_equal(slots_get(&t, a), item);
	slots_free(&t, a);
	assert_null(slots_get(&t, a));
	slots_free(&t, a); /* ignored */
	item = slots_alloc(&t, &b);
	assert_int_equal(*item, 0);
	assert_int_equal(b.index, a.index);
	assert_false(handle_equal(a, b));
	assert_null(slots_get(&t, a));
	assert_int_equal(t.n_used, 1);
	slots_release(&t);
}

static void test_unallocated_handles(void **state)
{
	static const struct handle none;
	const struct handle far = { .index = 99, .generation = 1 };
	struct handle free_slot;
	struct handle h;
	struct slots t;

	(void)state;
	slots_init(&t, sizeof(int));
	assert_true(handle_is_none(none));
	assert_null(slots_get(&t, none));
	assert_null(slots_get(&t, far));
	slots_alloc(&t, &h);
	assert_false(handle_is_none(h));
	free_slot = h;
	slots_free(&t, h);
	free_slot.generation++; /* generation of the freed slot */
	assert_null(slots_get(&t, free_slot));
	slots_release(&t);
}

static void test_items_may_be_freed_during_a_walk(void **state)
{
	struct handle handles[100];
	struct handle h;
	struct slots t;
	uint32_t index = 0;
	unsigned seen = 0;
	unsigned *item;
	unsigned i;

	(void)state;
	slots_init(&t, sizeof(unsigned));
	for (i = 0; i < 100; i++)
		*(unsigned *)slots_alloc(&t, &handles[i]) = i;
	while ((item = slots_next(&t, &index, &h))) {
		assert_int_equal(*item, seen);
		assert_true(handle_equal(h, handles[seen]));
		slots_free(&t, h);
		seen++;
	}
	assert_int_equal(seen, 100);
	assert_int_equal(t.n_used, 0);
	slots_release(&t);
}

/* Allocates and frees items at random; every handle ever returned must find its
 * own item, or none once that is freed. */
static void test_against_a_model(void **state)
{
	static struct handle handles[HANDLES];
	static bool used[HANDLES];
	struct random_source random = { .seed = 1 };
	unsigned n_used = 0;
	unsigned n = 0;
	struct slots t;
	unsigned step;
	unsigned i;

	(void)state;
	slots_init(&t, sizeof(unsigned));
	for (step = 0; step < STEPS; step++) {
		i = random_below(&random, HANDLES);
		if (i >= n) {
			if (n == HANDLES)
				continue;
			*(unsigned *)slots_alloc(&t, &handles[n]) = n;
			used[n++] = true;
			n_used++;
		} else if (used[i] && random_below(&random, 2)) {
			slots_free(&t, handles[i]);
			used[i] = false;
			n_used--;
		}
		assert_int_equal(t.n_used, n_used);
	}
	for (i = 0; i < n; i++) {
		const unsigned *item = slots_get(&t, handles[i]);

		assert_true(used[i] ? item && *item == i : !item);
	}
	slots_release(&t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_freed_handle_names_nothing),
		cmocka_unit_test(test_unallocated_handles),
		cmocka_unit_test(test_items_may_be_freed_during_a_walk),
		cmocka_unit_test(test_against_a_model),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
