/* Which instances callers are sent to, and which ones ask the store. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/presence.h"
#include "policy/reader.h"
#include "policy/reread.h"

static void presence(void **state)
{
	struct presence p = { .listed_ms = 1000 };

	(void)state;
	assert_true(presence_alive(&p, 6, 1500)); /* just listed */
	assert_false(presence_alive(&p, 6, 4000)); /* never heard */
	p.heard_ms = 4000;
	assert_false(presence_alive(&p, 6, 4000)); /* would answer 503 */
	p.configured = true;
	assert_true(presence_alive(&p, 6, 4900));
	assert_false(presence_alive(&p, 6, 5200));
	assert_true(presence_alive(&p, 64, 5200)); /* heard less often */
	p.leaving = true;
	assert_false(presence_alive(&p, 6, 4000));
	assert_true(presence_cut_off(0, 5));
	assert_false(presence_cut_off(1, 5));
	assert_false(presence_cut_off(0, 1));
}

/* What an instance hears stays bounded as instances grow. */
static void datagrams_bounded(void **state)
{
	size_t n;

	(void)state;
	for (n = 2; n <= 256; n *= 2)
		assert_true(n * 1000 / presence_interval_ms(n) <= 80);
}

static void who_asks_the_store(void **state)
{
	struct reread_others o = { .before = 5, .instances = 64 };

	(void)state;
	assert_true(reread_itself(&o, 10000)); /* nobody reads yet */
	o.reading_ms = 9800;
	o.said_ms = 9800;
	assert_false(reread_itself(&o, 10000));
	o.instances = 9; /* so few read each for itself */
	assert_true(reread_itself(&o, 10000));
	o.instances = 64;
	o.behind_ms = 9650; /* a change was lost on its way */
	assert_true(reread_itself(&o, 10000));
	o.behind_ms = 0;
	assert_true(reread_itself(&o, 12500)); /* the readers fell silent */
	o.before = 1;
	assert_true(reread_itself(&o, 10000)); /* it is one of them */
	assert_true(reread_designated(&o));
	o.before = 2;
	assert_false(reread_designated(&o));
	o.instances = 9;
	o.before = 0;
	assert_false(reread_designated(&o));
}

/* Fault of the hunt (austral-despacho, scale-2, seed 309577313026): both
 * readers are cut off from the store without a word, and a key is taken away
 * right after.  The others read for themselves before the bound of three
 * seconds, in which they have to act on it. */
static void readers_cut_off(void **state)
{
	enum { BOUND_MS = 3000, INSTANCES = 64, CUT_MS = 100000 };
	struct reread_others o = { .before = 5, .instances = INSTANCES };
	uint64_t now;

	(void)state;
	assert_true(reread_fresh(CUT_MS, CUT_MS + reread_follow_ms(true)));
	/* the last word of a reader that still says that it reads */
	for (now = CUT_MS; reread_fresh(CUT_MS, now); now++)
		o.said_ms = o.reading_ms = now;
	while (!reread_itself(&o, now))
		now++;
	assert_true(now + 200 <= CUT_MS + BOUND_MS);
}

/* A fleet in the order in which its instances read. */
enum { FLEET = 295, CUT_MS = 100000 };

static struct reader fleet[FLEET];

/* Returns what the instance at a place of the order knows of the others. */
static struct reread_others others_of(int place, uint64_t now)
{
	struct reread_others o = { .instances = FLEET };
	int i;

	for (i = 0; i < FLEET; i++) {
		if (i == place)
			continue;
		if (fleet[i].said_ms > o.said_ms)
			o.said_ms = fleet[i].said_ms;
		if (fleet[i].answered_ms > o.reading_ms)
			o.reading_ms = fleet[i].answered_ms;
		if (reader_silent(&fleet[i], now))
			continue;
		if (fleet[i].unable)
			o.unable++;
		else
			o.before += i < place;
	}
	return o;
}

/* Lets the instances that are to read say so, from place first on; returns how
 * many ask the store, for others or for themselves. */
static int say(int first, uint64_t now, bool (*answered)(int place))
{
	bool reads[FLEET] = { false };
	int asking = 0;
	int i;

	for (i = first; i < FLEET; i++) {
		struct reread_others o = others_of(i, now);

		reads[i] = reread_designated(&o);
		asking += reread_itself(&o, now) != REREAD_NOT;
	}
	for (i = first; i < FLEET; i++)
		if (reads[i])
			reader_says(&fleet[i], answered(i), now);
	return asking;
}

static bool all_answered(int place)
{
	(void)place;
	return true;
}

static bool third_refused(int place)
{
	return place % 3 == 2 && place > 6;
}

/* Load pattern (ajoke-assist-large, trouble-1): 295 instances, both readers are
 * cut off, and a key is taken away in that moment.  Two others read well before
 * the bound of four seconds, and no others ask the store. */
static void readers_lost_among_many(void **state)
{
	uint64_t now = CUT_MS;

	(void)state;
	memset(fleet, 0, sizeof(fleet));
	assert_int_equal(say(0, now, all_answered), FLEET); /* at the start */
	assert_int_equal(say(0, now + 400, all_answered), 2);
	for (now += 800; now < CUT_MS + 1600; now += 100)
		assert_int_equal(say(2, now, all_answered), 0);
	assert_int_equal(say(2, now + 100, all_answered), 2);
	assert_int_equal(say(2, now + 500, all_answered), 2);
	assert_true(fleet[2].answered_ms && fleet[3].answered_ms);
	/* the former come back, and the others end */
	reader_lives(&fleet[0], now + 600);
	reader_lives(&fleet[1], now + 600);
	assert_int_equal(say(0, now + 600, all_answered), 2);
	assert_true(reader_silent(&fleet[2], now + 2500));
}

/* Load pattern: the store turns the first of them away and two thirds of the
 * others.  One that it answers is found within a few rounds, by few calls. */
static void readers_refused_among_many(void **state)
{
	uint64_t now;
	int asking = 0;

	(void)state;
	memset(fleet, 0, sizeof(fleet));
	reader_says(&fleet[0], true, CUT_MS);
	reader_says(&fleet[1], true, CUT_MS);
	for (now = CUT_MS + 400; now < CUT_MS + 2000; now += 400)
		asking = say(0, now, third_refused);
	assert_true(asking <= 16);
	assert_true(now - others_of(200, now).reading_ms <= 400);
}

/* Load pattern: 64 instances and a store that is away for eight seconds.  Each
 * asks ten times at most, and not all at the same moment. */
static void outage(void **state)
{
	struct reread r = { 0 };
	uint64_t now = 0;
	int calls = 0;

	(void)state;
	while (now < 8000) {
		now += reread_after_failure(&r, 64, now,
					    (uint64_t)calls * 7919);
		calls++;
	}
	assert_true(calls >= 4); /* a return is noticed in time */
	assert_true(calls <= 10);
	assert_true(reread_after_success(&r, 64, false, now) <= 1000);
	assert_int_equal(r.back_ms, now);
	assert_int_equal(r.failures, 0);
	/* one failed call is no outage */
	r.back_ms = 0;
	reread_after_failure(&r, 64, now, 1);
	reread_after_success(&r, 64, false, now + 10);
	assert_int_equal(r.back_ms, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(presence),
		cmocka_unit_test(datagrams_bounded),
		cmocka_unit_test(who_asks_the_store),
		cmocka_unit_test(readers_cut_off),
		cmocka_unit_test(readers_lost_among_many),
		cmocka_unit_test(readers_refused_among_many),
		cmocka_unit_test(outage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
