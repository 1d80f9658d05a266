/* Unit tests of policy/member.c and member_probe.c, on one table. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "policy/member.h"

struct merge_case {
	const char *name;
	struct member_update known;
	struct member_update received;
	enum member_state state; /* afterwards */
	uint64_t incarnation;
};

#define UPDATE(i, s)                                      \
	{                                                 \
		.id = 2, .incarnation = (i), .state = (s) \
	}

static const struct merge_case merge_cases[] = {
	{ "same incarnation, later state", UPDATE(5, MEMBER_ALIVE),
	  UPDATE(5, MEMBER_SUSPECT), MEMBER_SUSPECT, 5 },
	{ "same incarnation, earlier state", UPDATE(5, MEMBER_SUSPECT),
	  UPDATE(5, MEMBER_ALIVE), MEMBER_SUSPECT, 5 },
	{ "refuted", UPDATE(5, MEMBER_SUSPECT), UPDATE(6, MEMBER_ALIVE),
	  MEMBER_ALIVE, 6 },
	{ "restarted", UPDATE(5, MEMBER_DEAD), UPDATE(900, MEMBER_ALIVE),
	  MEMBER_ALIVE, 900 },
	{ "late update of a former process", UPDATE(900, MEMBER_ALIVE),
	  UPDATE(5, MEMBER_DEAD), MEMBER_ALIVE, 900 },
	{ "dead beats leaving", UPDATE(5, MEMBER_LEAVING),
	  UPDATE(5, MEMBER_DEAD), MEMBER_DEAD, 5 },
	{ "left beats dead", UPDATE(5, MEMBER_DEAD), UPDATE(5, MEMBER_LEFT),
	  MEMBER_LEFT, 5 },
};

static struct member_table *new_table(void)
{
	struct member_table *t = xcalloc(1, sizeof(*t));
	struct member_update self = { .id = 1, .incarnation = 100 };

	member_init(t, &self, 1000);
	return t;
}

static void test_merge(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(merge_cases) / sizeof(merge_cases[0]); i++) {
		const struct merge_case *c = &merge_cases[i];
		struct member_table *t = new_table();
		struct member_update first = c->known;
		const struct member *m;

		print_message("%s\n", c->name);
		/* Members already gone aren't added, so it is alive first. */
		first.state = MEMBER_ALIVE;
		member_merge(t, &first, 1000);
		member_merge(t, &c->known, 1000);
		member_merge(t, &c->received, 1000);
		m = member_find(t, 2);
		assert_int_equal(m->u.state, c->state);
		assert_int_equal(m->u.incarnation, c->incarnation);
		free(t);
	}
}

static void test_refutes_own_death(void **state)
{
	struct member_table *t = new_table();
	struct member_update dead = { .id = 1,
				      .incarnation = 100,
				      .state = MEMBER_DEAD };

	(void)state;
	member_merge(t, &dead, 1000);
	assert_int_equal(member_find(t, 1)->u.state, MEMBER_ALIVE);
	assert_int_equal(member_find(t, 1)->u.incarnation, 101);
	assert_int_equal(t->false_suspicions, 1);
	free(t);
}

static void test_instance_list(void **state)
{
	struct member_table *t = new_table();
	struct member_listing list[] = {
		{ .id = 1 },
		{ .id = 2 },
		{ .id = 3, .leaving = true },
	};
	struct member_update u = UPDATE(5, MEMBER_ALIVE);

	(void)state;
	member_list(t, list, 3, 1000);
	assert_int_equal(member_find(t, 2)->u.state, MEMBER_UNKNOWN);
	assert_false(member_serves(member_find(t, 2)));
	member_merge(t, &u, 1000);
	u.id = 3;
	member_merge(t, &u, 1000);
	assert_true(member_serves(member_find(t, 2)));
	assert_false(member_serves(member_find(t, 3)));
	/* Alive but off the list: the list lags. */
	member_list(t, list, 1, 2000);
	assert_true(member_serves(member_find(t, 2)));
	u.state = MEMBER_DEAD;
	member_merge(t, &u, 2000);
	member_list(t, list, 1, 2000 + MEMBER_FORGET_MS - 1);
	assert_non_null(member_find(t, 3));
	member_list(t, list, 1, 2000 + MEMBER_FORGET_MS);
	assert_null(member_find(t, 3));
	/* The list marks this instance as leaving. */
	list[0].leaving = true;
	member_list(t, list, 1, 2000 + MEMBER_FORGET_MS);
	assert_int_equal(member_find(t, 1)->u.state, MEMBER_LEAVING);
	free(t);
}

/* A pause of this instance restarts the deadlines of its suspects. */
static void test_local_pause_extends_suspicion(void **state)
{
	struct member_table *t = new_table();
	struct member_update u = UPDATE(5, MEMBER_SUSPECT);
	struct member_msg out[MEMBER_OUT_MAX];
	uint64_t now = 1000;
	uint64_t resumed_at;

	(void)state;
	member_merge(t, &u, now);
	member_tick(t, now, 1, out, MEMBER_OUT_MAX);
	resumed_at = now + 100 * member_suspect_ms(2);
	for (now = resumed_at; now < resumed_at + member_suspect_ms(2);
	     now += MEMBER_TICK_MS)
		member_tick(t, now, now, out, MEMBER_OUT_MAX);
	assert_int_equal(member_find(t, 2)->u.state, MEMBER_SUSPECT);
	assert_int_equal(t->pauses, 1);
	while (now < resumed_at + 100 * member_suspect_ms(2)) {
		now += MEMBER_TICK_MS;
		member_tick(t, now, now, out, MEMBER_OUT_MAX);
	}
	assert_int_equal(member_find(t, 2)->u.state, MEMBER_DEAD);
	free(t);
}

struct message_case {
	const char *name;
	struct member_msg msg;
	enum member_outcome outcome;
};

static const struct message_case message_cases[] = {
	{ "for another",
	  { .kind = MEMBER_PING, .to = 9, .from = UPDATE(1, MEMBER_ALIVE) },
	  MEMBER_NOT_FOR_US },
	{ "unknown kind",
	  { .kind = 77, .to = 1, .from = UPDATE(1, MEMBER_ALIVE) },
	  MEMBER_MALFORMED },
	{ "no sender", { .kind = MEMBER_PING, .to = 1 }, MEMBER_MALFORMED },
	{ "dead sender",
	  { .kind = MEMBER_PING, .to = 1, .from = UPDATE(1, MEMBER_DEAD) },
	  MEMBER_MALFORMED },
	{ "too many updates",
	  { .kind = MEMBER_PING,
	    .to = 1,
	    .n_updates = MEMBER_PIGGYBACK_MAX + 1,
	    .from = UPDATE(1, MEMBER_ALIVE) },
	  MEMBER_MALFORMED },
	{ "incarnation out of range",
	  { .kind = MEMBER_PING,
	    .to = 1,
	    .from = UPDATE(UINT64_MAX, MEMBER_ALIVE) },
	  MEMBER_MALFORMED },
};

static void test_bad_messages(void **state)
{
	struct member_msg out[MEMBER_OUT_MAX];
	struct member_table *t = new_table();
	size_t n;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(message_cases) / sizeof(message_cases[0]); i++) {
		const struct message_case *c = &message_cases[i];

		print_message("%s\n", c->name);
		assert_int_equal(member_receive(t, &c->msg, 1000, out,
						MEMBER_OUT_MAX, &n),
				 c->outcome);
		assert_int_equal(n, 0);
		assert_int_equal(t->n, 1);
	}
	free(t);
}

static void test_full_table(void **state)
{
	struct member_table *t = new_table();
	struct member_update u = { .incarnation = 1, .state = MEMBER_ALIVE };
	struct member_update all[100];
	size_t from = 0;
	size_t total = 0;
	size_t n;

	(void)state;
	for (u.id = 2; u.id <= MEMBER_MAX; u.id++)
		assert_int_equal(member_merge(t, &u, 1000), MEMBER_OK);
	assert_int_equal(member_merge(t, &u, 1000), MEMBER_TABLE_FULL);
	while ((n = member_copy_updates(t, &from, all, 100)) > 0)
		total += n;
	assert_int_equal(total, MEMBER_MAX);
	u.id = 77;
	u.state = MEMBER_DEAD;
	member_merge(t, &u, 1000);
	u.id = MEMBER_MAX + 1;
	u.state = MEMBER_ALIVE;
	assert_int_equal(member_merge(t, &u, 1000), MEMBER_OK);
	assert_null(member_find(t, 77));
	free(t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_merge),
		cmocka_unit_test(test_refutes_own_death),
		cmocka_unit_test(test_instance_list),
		cmocka_unit_test(test_local_pause_extends_suspicion),
		cmocka_unit_test(test_bad_messages),
		cmocka_unit_test(test_full_table),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
