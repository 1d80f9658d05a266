/* Tests which instances callers are sent to, and which ones poll the store. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/heartbeat.h"
#include "policy/store_poll.h"
#include "policy/store_reader.h"

static void alive(void **state)
{
	struct heartbeat p = { .listed_ms = 1000 };

	(void)state;
	assert_true(heartbeat_alive(&p, 6, 1500)); /* just listed */
	assert_false(heartbeat_alive(&p, 6, 4000)); /* never seen */
	p.last_seen_ms = 4000;
	assert_false(heartbeat_alive(&p, 6, 4000)); /* would answer 503 */
	p.configured = true;
	assert_true(heartbeat_alive(&p, 6, 4900));
	assert_false(heartbeat_alive(&p, 6, 5200));
	assert_true(heartbeat_alive(&p, 64, 5200)); /* longer interval */
	p.leaving = true;
	assert_false(heartbeat_alive(&p, 6, 4000));
	assert_true(heartbeat_isolated(0, 5));
	assert_false(heartbeat_isolated(1, 5));
	assert_false(heartbeat_isolated(0, 1));
}

/* The datagrams that an instance receives stay bounded as the fleet grows. */
static void datagrams_bounded(void **state)
{
	size_t n;

	(void)state;
	for (n = 2; n <= 256; n *= 2)
		assert_true(n * 1000 / heartbeat_interval_ms(n) <= 80);
}

static void polling_decision(void **state)
{
	struct store_poll_others o = { .preceding = 5, .instances = 64 };

	(void)state;
	assert_true(store_poll_decide(&o, 10000)); /* no reader yet */
	o.answered_ms = 9800;
	o.announced_ms = 9800;
	assert_false(store_poll_decide(&o, 10000));
	o.instances = 9; /* so few that each polls for itself */
	assert_true(store_poll_decide(&o, 10000));
	o.instances = 64;
	o.behind_ms = 9650; /* a change was lost in transit */
	assert_true(store_poll_decide(&o, 10000));
	o.behind_ms = 0;
	assert_true(store_poll_decide(&o, 12500)); /* the readers fell silent */
	o.preceding = 1;
	assert_true(store_poll_decide(&o, 10000)); /* it is a reader itself */
	assert_true(store_poll_designated(&o));
	o.preceding = 2;
	assert_false(store_poll_designated(&o));
	o.instances = 9;
	o.preceding = 0;
	assert_false(store_poll_designated(&o));
	assert_true(store_poll_first(&o)); /* looks for missed changes */
	o.preceding = 1;
	assert_false(store_poll_first(&o));
	o.instances = 64; /* readers ask all the time */
	o.preceding = 0;
	assert_false(store_poll_first(&o));
}

/* Regression test: both readers are cut off from the store without an
 * announcement, and an API key is revoked right after.  The others poll for
 * themselves within the three seconds in which the revocation has to take
 * effect. */
static void readers_cut_off(void **state)
{
	enum { BOUND_MS = 3000, INSTANCES = 64, CUT_MS = 100000 };
	struct store_poll_others o = { .preceding = 5, .instances = INSTANCES };
	const struct store_poll_others reader = { .instances = INSTANCES };
	uint64_t now;

	(void)state;
	assert_true(store_poll_fresh(
		CUT_MS, CUT_MS + store_poll_wait_ms(&reader, true, 0)));
	/* last announcement of a reader that still counts as fresh */
	for (now = CUT_MS; store_poll_fresh(CUT_MS, now); now++)
		o.announced_ms = o.answered_ms = now;
	while (!store_poll_decide(&o, now))
		now++;
	assert_true(now + 200 <= CUT_MS + BOUND_MS);
}

/* A fleet, in the order in which its instances become readers. */
enum { FLEET = 295, CUT_MS = 100000 };

static struct reader fleet[FLEET];

/* Returns what the instance of a rank in this order knows of the others. */
static struct store_poll_others others_of(int rank, uint64_t now)
{
	struct store_poll_others o = { .instances = FLEET };
	int i;

	for (i = 0; i < FLEET; i++) {
		if (i == rank)
			continue;
		if (fleet[i].announced_ms > o.announced_ms)
			o.announced_ms = fleet[i].announced_ms;
		if (fleet[i].answered_ms > o.answered_ms)
			o.answered_ms = fleet[i].answered_ms;
		if (store_reader_silent(&fleet[i], now))
			continue;
		if (fleet[i].unable)
			o.unable++;
		else
			o.preceding += i < rank;
	}
	return o;
}

/* Lets the designated readers announce themselves, from rank first on; returns
 * how many instances poll the store, for others or for themselves. */
static int announce_readers(int first, uint64_t now, bool (*answered)(int rank))
{
	bool reads[FLEET] = { false };
	int polling = 0;
	int i;

	for (i = first; i < FLEET; i++) {
		struct store_poll_others o = others_of(i, now);

		reads[i] = store_poll_designated(&o);
		polling += store_poll_decide(&o, now) != STORE_POLL_NOT;
	}
	for (i = first; i < FLEET; i++)
		if (reads[i])
			store_reader_announced(&fleet[i], answered(i), now);
	return polling;
}

static bool all_answered(int rank)
{
	(void)rank;
	return true;
}

static bool third_answered(int rank)
{
	return rank % 3 == 2 && rank > 6;
}

/* Load pattern: of 295 instances both readers are cut off, and an API key is
 * revoked in that moment.  Two others become readers well within the limit of
 * four seconds, and no others poll the store. */
static void readers_lost_among_many(void **state)
{
	uint64_t now = CUT_MS;

	(void)state;
	memset(fleet, 0, sizeof(fleet));
	assert_int_equal(announce_readers(0, now, all_answered),
			 FLEET); /* at the start */
	assert_int_equal(announce_readers(0, now + 400, all_answered), 2);
	for (now += 800; now < CUT_MS + 1600; now += 100)
		assert_int_equal(announce_readers(2, now, all_answered), 0);
	assert_int_equal(announce_readers(2, now + 100, all_answered), 2);
	assert_int_equal(announce_readers(2, now + 500, all_answered), 2);
	assert_true(fleet[2].answered_ms && fleet[3].answered_ms);
	/* the former readers return, and their replacements stop */
	store_reader_seen(&fleet[0], now + 600);
	store_reader_seen(&fleet[1], now + 600);
	assert_int_equal(announce_readers(0, now + 600, all_answered), 2);
	assert_true(store_reader_silent(&fleet[2], now + 2500));
}

/* Load pattern: the store refuses the first readers and two thirds of the other
 * instances.  One that it answers is found within a few rounds, by few
 * calls. */
static void readers_refused_among_many(void **state)
{
	uint64_t now;
	int polling = 0;

	(void)state;
	memset(fleet, 0, sizeof(fleet));
	store_reader_announced(&fleet[0], true, CUT_MS);
	store_reader_announced(&fleet[1], true, CUT_MS);
	for (now = CUT_MS + 400; now < CUT_MS + 2000; now += 400)
		polling = announce_readers(0, now, third_answered);
	assert_true(polling <= 16);
	assert_true(now - others_of(200, now).answered_ms <= 400);
}

/* Load pattern: 64 instances and a store that is unreachable for eight seconds.
 * Each instance calls it ten times at most, and not all at the same moment. */
static void outage(void **state)
{
	const struct store_poll_others others = { .preceding = 5,
						  .instances = 64 };
	struct store_poll r = { 0 };
	uint64_t now = 0;
	int calls = 0;

	(void)state;
	while (now < 8000) {
		now += store_poll_after_failure(&r, 64, now,
						(uint64_t)calls * 7919);
		calls++;
	}
	assert_true(calls >= 4); /* recovery is detected in time */
	assert_true(calls <= 10);
	assert_true(store_poll_after_success(&r, &others, false, now) <= 1000);
	assert_int_equal(r.recovered_ms, now);
	assert_int_equal(r.failures, 0);
	/* a single failed call is not an outage */
	r.recovered_ms = 0;
	store_poll_after_failure(&r, 64, now, 1);
	store_poll_after_success(&r, &others, false, now + 10);
	assert_int_equal(r.recovered_ms, 0);
}

/* The first instance asks again at once after a wait in vain, and only then: a call
 * that does not wait, as others name a row that it lacks, may bring none either. */
static void pauses(void **state)
{
	struct store_poll_others o = { .instances = 6 };
	struct store_poll r = { 0 };

	(void)state;
	assert_int_equal(store_poll_after_success(&r, &o, true, 0), 0);
	assert_true(store_poll_after_success(&r, &o, false, 0) >= 400);
	o.preceding = 1;
	assert_true(store_poll_after_success(&r, &o, true, 0) >= 400);
	o.instances = 64; /* a reader */
	assert_true(store_poll_after_success(&r, &o, true, 0) >= 100);
}

/* Instances that poll each for itself stayed without news for 25 s, as their
 * calls were dead: of these the first one asks often, for the urgent table
 * alone.  The others end a call that has waited while newer rows were known. */
static void dead_calls(void **state)
{
	enum { LONG_MS = 20000, CALL_TIMEOUT_MS = 2500, STABLE_MS = 3000 };
	enum { BOUND_MS = 2000, HEARD_MS = 50000 };
	struct store_poll_others o = { .instances = 6 };

	(void)state;
	/* a call made at the end of a silence, and a change made as soon as the
	 * store is stable: with the datagram and the others' calls */
	assert_true(store_poll_wait_ms(&o, true, 0) + CALL_TIMEOUT_MS + 1000 <=
		    STABLE_MS + BOUND_MS);
	assert_true(store_poll_wait_ms(&o, false, 0) >= LONG_MS);
	o.preceding = 1;
	assert_true(store_poll_wait_ms(&o, true, 0) >= LONG_MS);
	o.instances = 1; /* alone */
	o.preceding = 0;
	assert_true(store_poll_wait_ms(&o, true, 0) < BOUND_MS);
	/* a pause after changes, or a slow answer, is made up for */
	assert_int_equal(store_poll_wait_ms(&o, true, 450) + 450,
			 store_poll_wait_ms(&o, true, 0));
	assert_true(store_poll_wait_ms(&o, true, 60000) > 0);
	o.instances = 295; /* the readers ask for the others */
	assert_true(store_poll_wait_ms(&o, false, 0) < BOUND_MS);
	o.preceding = 9;
	assert_true(store_poll_wait_ms(&o, true, 0) >= LONG_MS);

	assert_false(store_poll_call_dead(HEARD_MS, 1000, HEARD_MS));
	assert_true(store_poll_call_dead(HEARD_MS, 1000, HEARD_MS + 1000));
	/* made after that was heard, and just now */
	assert_false(store_poll_call_dead(HEARD_MS, HEARD_MS + 1000,
					  HEARD_MS + 1000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(alive),
		cmocka_unit_test(datagrams_bounded),
		cmocka_unit_test(polling_decision),
		cmocka_unit_test(readers_cut_off),
		cmocka_unit_test(readers_lost_among_many),
		cmocka_unit_test(readers_refused_among_many),
		cmocka_unit_test(outage),
		cmocka_unit_test(pauses),
		cmocka_unit_test(dead_calls),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
