/* Which news a message of bounded size carries (policy/rumour.c). */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/rumour.h"

#define ITEMS 40 /* requests that ran on an engine that died */
#define SENDS 8 /* messages that carry each */
#define ROOM 8 /* items of one message */

/* Sends one message and counts who was told. */
static size_t send_one(unsigned int *left, unsigned int *told)
{
	struct rumour list[ROOM] = { { 0 } };
	struct rumour_choice choice = { .list = list, .max = ROOM };
	size_t i;

	for (i = 0; i < ITEMS; i++)
		rumour_offer(&choice, i, left[i]);
	for (i = 0; i < choice.n; i++) {
		left[list[i].index]--;
		told[list[i].index]++;
	}
	return choice.n;
}

/* Load pattern: an engine dies under 40 requests, and the one that matters may
 * be any of them.  Each is told once before any is told twice. */
static void death_of_an_engine(void **state)
{
	unsigned int left[ITEMS];
	unsigned int told[ITEMS] = { 0 };
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < ITEMS; i++)
		left[i] = SENDS;
	for (k = 0; k < SENDS; k++) {
		for (i = 0; i < ITEMS / ROOM; i++)
			assert_int_equal(send_one(left, told), ROOM);
		for (i = 0; i < ITEMS; i++)
			assert_int_equal(told[i], k + 1);
	}
	assert_int_equal(send_one(left, told), 0);
}

/* News that comes while older news is still told goes into the next message,
 * wherever it stands in the table. */
static void newest_first(void **state)
{
	unsigned int left[ITEMS];
	unsigned int told[ITEMS] = { 0 };
	size_t i;

	(void)state;
	for (i = 0; i < ITEMS; i++)
		left[i] = SENDS - 1;
	left[ITEMS - 1] = SENDS;
	send_one(left, told);
	assert_int_equal(told[ITEMS - 1], 1);
}

/* Load pattern: a zone's 25 engines are lost before 300 instances, which find out
 * one after another within a second; what one tells all hear 20 ms later.  Few of
 * them tell, not all. */
static void zone_lost(void **state)
{
	enum { INSTANCES = 300, APART_MS = 3, HEARD_MS = 20 };
	uint64_t first_ms = 0;
	size_t told = 0;
	size_t i;

	(void)state;
	for (i = 0; i < INSTANCES; i++) {
		uint64_t now = 1000 + i * APART_MS;
		uint64_t heard = first_ms && now >= first_ms + HEARD_MS
					 ? first_ms + HEARD_MS
					 : 0;

		if (!rumour_is_news(heard, now))
			continue;
		told++;
		if (!first_ms)
			first_ms = now;
	}
	assert_in_range(told, 1, INSTANCES / 20);
	assert_true(rumour_is_news(1000, 100000)); /* lost once more */
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(death_of_an_engine),
		cmocka_unit_test(newest_first),
		cmocka_unit_test(zone_lost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
