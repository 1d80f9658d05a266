/* Decisions on an own entry that the store has lost. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/own_entry.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define MINUTE_MS 60000
#define READ_MS 100 /* from a write to the reading that it is lost */

/* Returns an entry that was acknowledged and then read. */
static struct own_entry entry(uint64_t written, enum own_entry_state state,
			      uint64_t read)
{
	struct own_entry e = { 0 };

	own_entry_read(&e, state, read);
	own_entry_written(&e, written);
	return e;
}

/* Answers to the write and to readings overtake each other. */
static void versions_decide(void **state)
{
	static const struct {
		uint64_t written;
		enum own_entry_state state;
		uint64_t read;
		bool lost;
	} cases[] = {
		/* read before the write, or at its version */
		{ 7, OWN_ENTRY_MISSING, 6, false },
		{ 7, OWN_ENTRY_OTHER, 6, false },
		{ 7, OWN_ENTRY_PRESENT, 7, false },
		/* after it */
		{ 7, OWN_ENTRY_PRESENT, 9, false },
		{ 7, OWN_ENTRY_MISSING, 7, true },
		{ 7, OWN_ENTRY_MISSING, 8, true },
		{ 7, OWN_ENTRY_OTHER, 8, true },
		/* not read yet */
		{ 7, OWN_ENTRY_MISSING, 0, false },
		/* the answer names no version */
		{ 0, OWN_ENTRY_MISSING, 6, true },
		{ 0, OWN_ENTRY_PRESENT, 6, false },
	};
	size_t i;

	(void)state;
	for (i = 0; i < N(cases); i++) {
		const struct own_entry e =
			entry(cases[i].written, cases[i].state, cases[i].read);

		if (own_entry_is_lost(&e) != cases[i].lost)
			fail_msg("case %zu", i);
	}
}

/* An entry that was not acknowledged is written in any case. */
static void unacknowledged_entry_is_not_lost(void **state)
{
	struct own_entry e = { 0 };

	(void)state;
	own_entry_read(&e, OWN_ENTRY_MISSING, 9);
	assert_false(own_entry_is_lost(&e));
	own_entry_written(&e, 7);
	assert_true(own_entry_is_lost(&e));
	own_entry_rewrite(&e, 2, 1000, 0);
	assert_false(own_entry_is_lost(&e));
	own_entry_written(&e, 12);
	assert_false(own_entry_is_lost(&e));
}

/* Versions of an older era show nothing. */
static void era_begins(void **state)
{
	struct own_entry e = entry(100, OWN_ENTRY_PRESENT, 100);

	(void)state;
	own_entry_era_began(&e);
	own_entry_read(&e, OWN_ENTRY_MISSING, 40);
	assert_false(own_entry_is_lost(&e));
	own_entry_written(&e, 41);
	assert_false(own_entry_is_lost(&e));
	own_entry_read(&e, OWN_ENTRY_MISSING, 42);
	assert_true(own_entry_is_lost(&e));
}

/* Returns the number of writes until a time, if each is lost and that is read
 * gap_ms later. */
static size_t writes_until(uint64_t end_ms, uint64_t gap_ms)
{
	struct own_entry e = { 0 };
	uint64_t now = 1000000;
	uint64_t version = 10;
	size_t n = 0;

	end_ms += now;
	for (;;) {
		own_entry_written(&e, version);
		now += gap_ms;
		own_entry_read(&e, OWN_ENTRY_MISSING, ++version);
		assert_true(own_entry_is_lost(&e));
		now += own_entry_rewrite(&e, 6, now, 0);
		if (now >= end_ms)
			return n;
		n++;
		version++;
	}
}

/* A store that loses each write is written to seldom. */
static void store_that_goes_on_losing(void **state)
{
	(void)state;
	assert_in_range(writes_until(MINUTE_MS, READ_MS), 2, 8);
	assert_in_range(writes_until(60 * MINUTE_MS, READ_MS), 60, 8 + 59 * 2);
	/* one loss in a longer time than that is mended at once each time */
	assert_int_equal(writes_until(60 * MINUTE_MS + 1, 2 * MINUTE_MS), 30);
}

/* The first write comes in a second for any number of instances, and those of
 * many are spread. */
static void first_rewrite_is_soon(void **state)
{
	static const size_t instances[] = { 1, 2, 6, 24, 295, 920 };
	size_t n[10] = { 0 };
	size_t i;
	uint64_t k;

	(void)state;
	for (i = 0; i < N(instances); i++) {
		for (k = 0; k < instances[i]; k++) {
			struct own_entry e = { 0 };
			uint32_t wait = own_entry_rewrite(
				&e, instances[i], 1000, k * 2654435761u);

			assert_in_range(wait, 0, 1000);
			assert_in_range(wait, 0, instances[i] * 3);
			if (instances[i] == 295)
				n[wait / 100]++;
		}
	}
	for (i = 0; i < N(n); i++)
		assert_in_range(n[i], 0, 100);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(versions_decide),
		cmocka_unit_test(unacknowledged_entry_is_not_lost),
		cmocka_unit_test(era_begins),
		cmocka_unit_test(store_that_goes_on_losing),
		cmocka_unit_test(first_rewrite_is_soon),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
