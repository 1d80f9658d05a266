/*
 * Replays losses of all endpoints of a service against policy/crash_suspect.c,
 * without a clock: what ended every endpoint is no content's doing.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/crash_suspect.h"

#define START_MS 1000000
#define ENDPOINTS 5
#define MOVING 0x1234567890abcdefu /* a stream that moves on */
#define CRASHING 0x2bc243522bcdb48du
#define OTHER 0x100u /* one more stream on each endpoint */
#define MOVE_MS 20 /* until a stream that broke is sent again */
#define FOUND_MS 60 /* until a run on a dead endpoint breaks */
#define RAN_MS 500
#define INNOCENT_MAX_MS 2000 /* the target of the users */

static struct crash_suspects *suspects;
static uint32_t n_ids;

static int set_up(void **state)
{
	(void)state;
	suspects = crash_suspect_new(&crash_suspect_defaults);
	n_ids = 0;
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	crash_suspect_free(suspects);
	return 0;
}

/* Records that an endpoint ended during a run of a content. */
static void crash(uint64_t endpoint, uint64_t content, uint64_t sent_ms,
		  uint64_t crashed_ms)
{
	const struct run_crash c = {
		.id = ++n_ids,
		.endpoint = endpoint,
		.sent_ms = sent_ms,
		.crashed_ms = crashed_ms,
	};

	crash_suspect_add_crash(suspects, content, &c, crashed_ms);
}

/* All endpoints end at now, with another stream on each.  One stream moves on
 * and meets one dead endpoint after the other.  Returns when that is decided. */
static uint64_t lose_all(uint64_t now, uint64_t first_endpoint)
{
	uint64_t sent_ms = now - RAN_MS;
	uint64_t i;

	for (i = 0; i < ENDPOINTS; i++)
		crash(first_endpoint + i, OTHER + first_endpoint + i,
		      now - RAN_MS, now);
	for (i = 0; i < ENDPOINTS; i++) {
		crash(first_endpoint + i, MOVING, sent_ms, now);
		sent_ms = now + MOVE_MS;
		now = sent_ms + FOUND_MS;
	}
	now += crash_suspect_defaults.settle_ms;
	while (crash_suspect_evaluate(suspects, now))
		;
	return now;
}

static void loss_of_all_refuses_no_innocent(void **state)
{
	uint64_t now;

	(void)state;
	now = lose_all(START_MS, 0);
	assert_true(crash_suspect_refused_ms(suspects, MOVING, now) <=
		    INNOCENT_MAX_MS);
}

static void second_loss_refuses_no_innocent(void **state)
{
	uint64_t now;

	(void)state;
	lose_all(START_MS, 0);
	now = lose_all(START_MS + 9000, ENDPOINTS);
	assert_true(crash_suspect_refused_ms(suspects, MOVING, now) <=
		    INNOCENT_MAX_MS);
}

/* Between two losses of all endpoints, the request that ends its endpoints ends
 * three, one after the other, beside streams on the others that live on. */
static void crashing_content_is_refused_beside(void **state)
{
	uint64_t now = START_MS + 3000;
	uint64_t i;

	(void)state;
	lose_all(START_MS, 0);
	for (i = 0; i < CRASH_SUSPECT_CRASHES; i++, now += 300)
		crash(2 * ENDPOINTS + i, CRASHING, now, now + 10);
	while (crash_suspect_evaluate(suspects, now))
		;
	assert_true(crash_suspect_refused_ms(suspects, CRASHING, now) > 0);
	now = lose_all(START_MS + 9000, ENDPOINTS);
	assert_true(crash_suspect_refused_ms(suspects, CRASHING, now) > 0);
}

int main(void)
{
#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(loss_of_all_refuses_no_innocent),
		CASE(second_loss_refuses_no_innocent),
		CASE(crashing_content_is_refused_beside),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
