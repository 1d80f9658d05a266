/* Tests policy/gossip_select.c: the items that a bounded message carries. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/gossip_select.h"

#define ITEMS 40 /* requests that ran on an engine that crashed */
#define SENDS 8 /* messages that carry each */
#define ITEMS_MAX 8 /* items of one message */

/* Sends one message and counts the sends of each item. */
static size_t send_one(unsigned int *left, unsigned int *sent)
{
	struct gossip_item list[ITEMS_MAX] = { { 0 } };
	struct gossip_selection choice = { .list = list, .max = ITEMS_MAX };
	size_t i;

	for (i = 0; i < ITEMS; i++)
		gossip_offer(&choice, i, left[i]);
	for (i = 0; i < choice.n; i++) {
		left[list[i].index]--;
		sent[list[i].index]++;
	}
	return choice.n;
}

/* Load pattern: an engine crashes while running 40 requests, any of which may
 * be the relevant one.  Each is sent once before any is sent twice. */
static void engine_crash(void **state)
{
	unsigned int left[ITEMS];
	unsigned int sent[ITEMS] = { 0 };
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < ITEMS; i++)
		left[i] = SENDS;
	for (k = 0; k < SENDS; k++) {
		for (i = 0; i < ITEMS / ITEMS_MAX; i++)
			assert_int_equal(send_one(left, sent), ITEMS_MAX);
		for (i = 0; i < ITEMS; i++)
			assert_int_equal(sent[i], k + 1);
	}
	assert_int_equal(send_one(left, sent), 0);
}

/* An item added while older ones are still being sent goes into the next
 * message, wherever it is in the table. */
static void newest_first(void **state)
{
	unsigned int left[ITEMS];
	unsigned int sent[ITEMS] = { 0 };
	size_t i;

	(void)state;
	for (i = 0; i < ITEMS; i++)
		left[i] = SENDS - 1;
	left[ITEMS - 1] = SENDS;
	send_one(left, sent);
	assert_int_equal(sent[ITEMS - 1], 1);
}

/* Load pattern: a zone's 25 engines are lost and 300 instances detect this one
 * after another within a second; what one sends reaches all 20 ms later.  Only
 * a few of them send it. */
static void zone_lost(void **state)
{
	enum { INSTANCES = 300, INTERVAL_MS = 3, DELAY_MS = 20 };
	uint64_t first_ms = 0;
	size_t sent = 0;
	size_t i;

	(void)state;
	for (i = 0; i < INSTANCES; i++) {
		uint64_t now = 1000 + i * INTERVAL_MS;
		uint64_t received = first_ms && now >= first_ms + DELAY_MS
					    ? first_ms + DELAY_MS
					    : 0;

		if (!gossip_is_new(received, now))
			continue;
		sent++;
		if (!first_ms)
			first_ms = now;
	}
	assert_in_range(sent, 1, INSTANCES / 20);
	assert_true(gossip_is_new(1000, 100000)); /* lost again */
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(engine_crash),
		cmocka_unit_test(newest_first),
		cmocka_unit_test(zone_lost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
