/* Decisions on changes of the store of which no row was read. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/store_gap.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define LATE_MS 1000 /* far longer than an answer takes */

/* What happens to an instance: a row is read, all tables are read up to a
 * version, or an answer names the newest version. */
enum kind { ROW, TABLES, NEWEST };

struct step {
	uint64_t at_ms;
	enum kind kind;
	uint64_t version;
};

/* Applies steps. */
static void apply(struct store_gap *g, const struct step *steps, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		const struct step *s = &steps[i];

		if (s->kind == ROW)
			store_gap_row(g, s->version, s->at_ms);
		else if (s->kind == TABLES)
			store_gap_tables_read(g, s->version, s->at_ms);
		else
			store_gap_newest(g, s->version, s->at_ms);
	}
}

/* Whether a change is missing after some steps. */
static void missing_changes_are_found(void **state)
{
	static const struct {
		const char *name;
		struct step steps[6];
		size_t n;
		bool open;
	} cases[] = {
		{ "nothing has changed",
		  { { 10, TABLES, 7 }, { 20, NEWEST, 7 } },
		  2,
		  false },
		{ "a row of the only change",
		  { { 10, TABLES, 7 }, { 20, ROW, 8 }, { 20, NEWEST, 8 } },
		  3,
		  false },
		{ "no row of the only change",
		  { { 10, TABLES, 7 }, { 20, NEWEST, 8 } },
		  2,
		  true },
		{ "its row comes after the word of it",
		  { { 10, TABLES, 7 }, { 20, NEWEST, 8 }, { 30, ROW, 8 } },
		  3,
		  false },
		{ "a change between two whose rows are known",
		  { { 10, TABLES, 7 },
		    { 20, ROW, 8 },
		    { 20, ROW, 10 },
		    { 20, NEWEST, 10 } },
		  4,
		  true },
		{ "rows of several tables out of order",
		  { { 10, TABLES, 7 },
		    { 20, ROW, 10 },
		    { 20, ROW, 9 },
		    { 20, NEWEST, 10 },
		    { 25, ROW, 8 } },
		  5,
		  false },
		{ "several rows of one change",
		  { { 10, TABLES, 7 },
		    { 20, ROW, 9 },
		    { 20, ROW, 9 },
		    { 20, ROW, 9 },
		    { 20, NEWEST, 9 } },
		  5,
		  true },
		{ "the tables were read since",
		  { { 10, TABLES, 7 }, { 20, NEWEST, 9 }, { 400, TABLES, 9 } },
		  3,
		  false },
		{ "the tables were read, and then a change",
		  { { 10, TABLES, 7 },
		    { 20, NEWEST, 9 },
		    { 400, TABLES, 9 },
		    { 410, NEWEST, 10 } },
		  4,
		  true },
		{ "an answer that was overtaken",
		  { { 10, TABLES, 7 },
		    { 20, ROW, 8 },
		    { 20, NEWEST, 8 },
		    { 30, NEWEST, 6 } },
		  4,
		  false },
		{ "rows from before the tables were read",
		  { { 5, ROW, 3 },
		    { 5, ROW, 5 },
		    { 10, TABLES, 7 },
		    { 20, NEWEST, 7 } },
		  4,
		  false },
	};
	size_t i;

	(void)state;
	for (i = 0; i < N(cases); i++) {
		struct store_gap g = { 0 };

		apply(&g, cases[i].steps, cases[i].n);
		if (store_gap_open(&g, 10 * LATE_MS) != cases[i].open)
			fail_msg("%s", cases[i].name);
	}
}

/* A change is missing once its row would have come, not before. */
static void rows_in_flight_are_waited_for(void **state)
{
	struct store_gap g = { 0 };

	(void)state;
	store_gap_tables_read(&g, 7, 10);
	store_gap_newest(&g, 8, 1000);
	assert_false(store_gap_open(&g, 1000));
	assert_true(store_gap_open(&g, 1000 + LATE_MS));

	/* the next missing one is missing since the first one's row came */
	store_gap_newest(&g, 9, 2000);
	store_gap_row(&g, 8, 2000);
	assert_false(store_gap_open(&g, 2000));
	assert_true(store_gap_open(&g, 2000 + LATE_MS));
	store_gap_row(&g, 9, 2000 + LATE_MS);
	assert_false(store_gap_open(&g, 10 * LATE_MS));
}

/* The day that store_gap.c names: endpoints change all the time, a quarter of the
 * changes are of another table and all of them are read; then a configuration is
 * written whose row never comes.  It alone is missing, within the time of a few
 * short calls, and nothing is once the tables have been read. */
static void load_of_a_day(void **state)
{
	struct store_gap g = { 0 };
	uint64_t now = 1;
	uint64_t version = 1;
	uint64_t opened_ms = 0;
	uint64_t i;
	uint64_t k;

	(void)state;
	store_gap_tables_read(&g, version, now);
	for (i = 0; i < 10000; i++) {
		uint64_t first = version + 1;

		now += 450;
		version += i % 3 ? 0 : i % 40; /* a zone's endpoints at once */
		for (k = first; k <= version; k++)
			if (k % 4 == 0)
				store_gap_row(&g, k, now - 3);
		for (k = version; k >= first; k--)
			if (k % 4)
				store_gap_row(&g, k, now);
		store_gap_newest(&g, version, now);
		assert_false(store_gap_open(&g, now + LATE_MS));
	}
	version++; /* the configuration */
	for (i = 0; i < 5 && !opened_ms; i++) {
		now += 450;
		store_gap_row(&g, ++version, now);
		store_gap_newest(&g, version, now);
		if (store_gap_open(&g, now))
			opened_ms = now;
	}
	assert_int_not_equal(opened_ms, 0);
	store_gap_tables_read(&g, version, now);
	assert_false(store_gap_open(&g, now + LATE_MS));
}

/* More rows than are remembered lie beyond a missing change: it stays missing
 * until the tables are read, and no later one is taken for missing then. */
static void many_rows_beyond_a_missing_one(void **state)
{
	struct store_gap g = { 0 };
	uint64_t last = 3 + 2 * STORE_GAP_LATER_MAX;
	uint64_t i;

	(void)state;
	store_gap_tables_read(&g, 1, 10);
	for (i = 3; i <= last; i++)
		store_gap_row(&g, i, 20);
	store_gap_newest(&g, last, 20);
	assert_true(store_gap_open(&g, LATE_MS));
	store_gap_tables_read(&g, last, LATE_MS);
	assert_false(store_gap_open(&g, 10 * LATE_MS));
	store_gap_row(&g, last + 1, LATE_MS);
	store_gap_newest(&g, last + 1, LATE_MS);
	assert_false(store_gap_open(&g, 10 * LATE_MS));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(missing_changes_are_found),
		cmocka_unit_test(rows_in_flight_are_waited_for),
		cmocka_unit_test(load_of_a_day),
		cmocka_unit_test(many_rows_beyond_a_missing_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
