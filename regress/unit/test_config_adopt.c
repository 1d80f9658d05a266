/* Unit tests of policy/config_adopt.c and config_commit.c. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "policy/config_adopt.h"
#include "policy/pair_hash.h"

#define ADOPTION_MAX_MS 14000 /* required bound on adoption without gossip */

static struct config_adopt init_with_version(uint64_t version, uint64_t now)
{
	struct config_adopt a;

	config_adopt_init(&a, now);
	assert_int_equal(config_adopt_body(&a, CONFIG_FROM_TABLE, version,
					   version * 10, true, now),
			 CONFIG_ADOPTED);
	config_adopt_polled(&a, true, version, now, 0);
	return a;
}

struct body_case {
	const char *name;
	uint64_t version;
	uint64_t digest;
	bool valid;
	enum config_source source;
	enum config_outcome outcome;
	uint64_t in_force; /* afterwards; version 5 before */
};

static const struct body_case body_cases[] = {
	{ "next", 6, 60, true, CONFIG_FROM_PEER, CONFIG_ADOPTED, 6 },
	{ "some are skipped", 9, 90, true, CONFIG_FROM_TABLE, CONFIG_ADOPTED,
	  9 },
	{ "the same again", 5, 50, true, CONFIG_FROM_PEER, CONFIG_OLD, 5 },
	{ "an earlier one", 4, 40, true, CONFIG_FROM_TABLE, CONFIG_OLD, 5 },
	{ "none", 0, 0, true, CONFIG_FROM_PEER, CONFIG_OLD, 5 },
	{ "invalid", 6, 60, false, CONFIG_FROM_TABLE, CONFIG_INVALID, 5 },
	{ "other content", 5, 51, true, CONFIG_FROM_PEER, CONFIG_DIFFERS, 5 },
};

static void test_body_outcomes(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(body_cases) / sizeof(body_cases[0]); i++) {
		const struct body_case *c = &body_cases[i];
		struct config_adopt a = init_with_version(5, 1000);

		print_message("%s\n", c->name);
		assert_int_equal(config_adopt_body(&a, c->source, c->version,
						   c->digest, c->valid, 2000),
				 c->outcome);
		assert_int_equal(a.version, c->in_force);
	}
}

static void test_gossip_starts_fetch(void **state)
{
	struct config_adopt a = init_with_version(5, 1000);

	(void)state;
	config_adopt_peer_version(&a, 5, 7, 1100);
	assert_int_equal(config_adopt_step(&a, 1100), CONFIG_NO_ACTION);
	config_adopt_peer_version(&a, 6, 7, 1200);
	assert_int_equal(config_adopt_freshness(&a, 1200), CONFIG_BEHIND);
	assert_int_equal(config_adopt_step(&a, 1200), CONFIG_FETCH_PEER);
	assert_int_equal(a.peer, 7);
	/* No answer: the table is tried, then a peer again. */
	assert_int_equal(config_adopt_step(&a, 1300), CONFIG_NO_ACTION);
	assert_int_equal(config_adopt_step(&a, 1200 + CONFIG_FETCH_TIMEOUT_MS),
			 CONFIG_FETCH_TABLE);
	config_adopt_fetch_failed(&a, 2300);
	config_adopt_peer_version(&a, 6, 8, 2350);
	assert_int_equal(config_adopt_step(&a, 2400), CONFIG_NO_ACTION);
	assert_int_equal(config_adopt_step(&a, 2300 + CONFIG_FETCH_TIMEOUT_MS),
			 CONFIG_FETCH_PEER);
	assert_int_equal(a.peer, 8);
	config_adopt_fetch_failed(&a, 3350);
	assert_int_equal(config_adopt_step(&a, 3350), CONFIG_FETCH_TABLE);
	assert_int_equal(config_adopt_body(&a, CONFIG_FROM_TABLE, 6, 60, true,
					   3400),
			 CONFIG_ADOPTED);
	assert_int_equal(config_adopt_step(&a, 3400), CONFIG_NO_ACTION);
	assert_int_equal(config_adopt_freshness(&a, 3400), CONFIG_CURRENT);
}

/* A version announced during the fetch of another is fetched next. */
static void test_newer_version_during_fetch(void **state)
{
	struct config_adopt a = init_with_version(5, 1000);

	(void)state;
	config_adopt_peer_version(&a, 6, 7, 1200);
	assert_int_equal(config_adopt_step(&a, 1200), CONFIG_FETCH_PEER);
	config_adopt_peer_version(&a, 8, 9, 1250);
	config_adopt_peer_version(&a, 7, 4, 1260);
	assert_int_equal(config_adopt_body(&a, CONFIG_FROM_PEER, 6, 60, true,
					   1300),
			 CONFIG_ADOPTED);
	assert_int_equal(config_adopt_step(&a, 1300), CONFIG_FETCH_PEER);
	assert_int_equal(a.latest_known, 8);
	assert_int_equal(a.peer, 9);
}

/* Without gossip, polls find a new version within the bound. */
static void test_poll_intervals(void **state)
{
	struct config_adopt a = init_with_version(5, 1000);
	uint64_t changed = 1000;
	uint64_t now;
	uint64_t i;

	(void)state;
	for (i = 0; i < 200; i++) {
		changed = a.next_poll_ms - CONFIG_POLL_MS / 4;
		config_adopt_polled(&a, true, 5, changed, pair_hash(i, 1));
		for (now = changed; config_adopt_step(&a, now) != CONFIG_POLL;
		     now += 100)
			;
		assert_true(now - changed >= CONFIG_POLL_MS * 3 / 4);
		assert_true(now - changed + 2 * CONFIG_FETCH_TIMEOUT_MS <=
			    ADOPTION_MAX_MS);
	}
	config_adopt_polled(&a, true, 6, now, 0);
	assert_int_equal(config_adopt_step(&a, now), CONFIG_FETCH_TABLE);
	/* Failures increase the poll interval up to a limit. */
	for (i = 0; i < 20; i++)
		config_adopt_polled(&a, false, 0, now, 0);
	assert_true(a.next_poll_ms <= now + CONFIG_POLL_FAILED_MAX_MS);
	assert_true(a.next_poll_ms > now + CONFIG_POLL_MS);
}

/* A head row or a peer with an older version changes nothing. */
static void test_older_version_ignored(void **state)
{
	struct config_adopt a = init_with_version(5, 1000);

	(void)state;
	config_adopt_polled(&a, true, 3, 9000, 0);
	assert_int_equal(a.version, 5);
	assert_int_equal(config_adopt_step(&a, 9000), CONFIG_NO_ACTION);
	config_adopt_peer_version(&a, 2, 7, 9000);
	assert_int_equal(config_adopt_step(&a, 9000), CONFIG_NO_ACTION);
}

/* An invalid body of the table isn't fetched again; a later version is. */
static void test_invalid_body(void **state)
{
	struct config_adopt a = init_with_version(5, 1000);

	(void)state;
	config_adopt_polled(&a, true, 6, 1000, 0);
	assert_int_equal(config_adopt_step(&a, 1000), CONFIG_FETCH_TABLE);
	config_adopt_body(&a, CONFIG_FROM_TABLE, 6, 60, false, 1100);
	assert_int_equal(config_adopt_step(&a, 5000), CONFIG_NO_ACTION);
	assert_int_equal(config_adopt_freshness(&a, 5000), CONFIG_BEHIND);
	config_adopt_peer_version(&a, 7, 3, 5000);
	assert_int_equal(config_adopt_step(&a, 5000), CONFIG_FETCH_PEER);
}

/* An announced version that can't be fetched doesn't block real ones. */
static void test_unavailable_version(void **state)
{
	struct config_adopt a = init_with_version(5, 1000);
	uint64_t now = 1000;
	int i;

	(void)state;
	config_adopt_peer_version(&a, UINT64_MAX, 7, now);
	for (i = 0; i < CONFIG_FETCH_ATTEMPTS_MAX; i++) {
		config_adopt_step(&a, now);
		config_adopt_fetch_failed(&a, now);
		now += CONFIG_FETCH_TIMEOUT_MS;
	}
	config_adopt_polled(&a, true, 6, now, 0);
	assert_int_equal(a.latest_known, 6);
	assert_int_equal(config_adopt_step(&a, now), CONFIG_FETCH_TABLE);
}

static void test_freshness(void **state)
{
	struct config_adopt a;

	(void)state;
	config_adopt_init(&a, 1000);
	assert_int_equal(config_adopt_freshness(&a, 1000), CONFIG_NONE);
	/* With the table unreachable, a new instance asks a peer. */
	config_adopt_polled(&a, false, 0, 1000, 0);
	config_adopt_peer_version(&a, 4, 9, 1000);
	assert_int_equal(config_adopt_step(&a, 1000), CONFIG_FETCH_PEER);
	config_adopt_body(&a, CONFIG_FROM_PEER, 4, 40, true, 1100);
	config_adopt_peer_version(&a, 4, 9, 50000);
	assert_int_equal(config_adopt_freshness(&a, 50000), CONFIG_PEERS_ONLY);
	assert_int_equal(config_adopt_freshness(&a, 50000 + CONFIG_STALE_MS),
			 CONFIG_STALE);
	assert_int_equal(a.version, 4);
	config_adopt_polled(&a, true, 4, 90000, 0);
	assert_int_equal(config_adopt_freshness(&a, 90000), CONFIG_CURRENT);
}

/* A model of the table that commits are written to. */
struct store {
	uint64_t head;
	struct config_version_row rows[8];
};

static enum config_commit_result commit(struct store *s,
					const struct config_commit *c)
{
	if (s->head != c->base)
		return CONFIG_COMMIT_CONFLICT;
	s->head++;
	s->rows[s->head].version = s->head;
	s->rows[s->head].nonce = c->nonce;
	s->rows[s->head].digest = c->digest;
	return CONFIG_COMMIT_OK;
}

enum commit_fault {
	COMMIT_CLEAN,
	COMMIT_FAILED,
	COMMIT_LOST_BEFORE, /* request lost */
	COMMIT_LOST_AFTER, /* answer lost */
	COMMIT_LOST_AND_FOLLOWED, /* another version has followed since */
	COMMIT_LATE, /* takes effect just before the retry */
	COMMIT_OTHER_FIRST,
	COMMIT_LOST_OTHER_FIRST,
};

struct commit_case {
	const char *name;
	enum commit_fault fault;
	enum config_commit_state state;
};

static const struct commit_case commit_cases[] = {
	{ "clean", COMMIT_CLEAN, CONFIG_COMMIT_WON },
	{ "refused once", COMMIT_FAILED, CONFIG_COMMIT_WON },
	{ "lost before", COMMIT_LOST_BEFORE, CONFIG_COMMIT_WON },
	{ "lost after", COMMIT_LOST_AFTER, CONFIG_COMMIT_WON },
	{ "lost after, another follows", COMMIT_LOST_AND_FOLLOWED,
	  CONFIG_COMMIT_WON },
	{ "takes effect late", COMMIT_LATE, CONFIG_COMMIT_WON },
	{ "another was first", COMMIT_OTHER_FIRST, CONFIG_COMMIT_LOST },
	{ "lost, another was first", COMMIT_LOST_OTHER_FIRST,
	  CONFIG_COMMIT_LOST },
};

static enum config_commit_result first_attempt(
	struct store *s, const struct config_commit *c,
	const struct config_commit *other, enum commit_fault fault)
{
	struct config_commit next;

	switch (fault) {
	case COMMIT_FAILED:
		return CONFIG_COMMIT_FAILED;
	case COMMIT_LOST_BEFORE:
	case COMMIT_LATE:
		return CONFIG_COMMIT_NO_ANSWER;
	case COMMIT_LOST_AFTER:
		commit(s, c);
		return CONFIG_COMMIT_NO_ANSWER;
	case COMMIT_LOST_AND_FOLLOWED:
		commit(s, c);
		config_commit_init(&next, c->base + 1, 999, 1);
		commit(s, &next);
		return CONFIG_COMMIT_NO_ANSWER;
	case COMMIT_OTHER_FIRST:
		commit(s, other);
		return commit(s, c);
	case COMMIT_LOST_OTHER_FIRST:
		commit(s, other);
		return CONFIG_COMMIT_NO_ANSWER;
	default:
		return commit(s, c);
	}
}

static void run_commit(struct store *s, struct config_commit *c,
		       const struct config_commit *other,
		       enum commit_fault fault)
{
	config_commit_answered(c, first_attempt(s, c, other, fault));
	while (c->state < CONFIG_COMMIT_WON) {
		assert_true(c->attempts < 5);
		if (c->state == CONFIG_COMMIT_READ) {
			config_commit_read(c, &s->rows[c->base + 1]);
			continue;
		}
		if (fault == COMMIT_LATE)
			commit(s, c);
		config_commit_answered(c, commit(s, c));
	}
}

static void test_commits(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(commit_cases) / sizeof(commit_cases[0]); i++) {
		const struct commit_case *t = &commit_cases[i];
		struct store s = { .head = 3 };
		struct config_commit c;
		struct config_commit other;

		print_message("%s\n", t->name);
		config_commit_init(&c, 3, 111, 1);
		config_commit_init(&other, 3, 222, 2);
		run_commit(&s, &c, &other, t->fault);
		assert_int_equal(c.state, t->state);
		if (t->state == CONFIG_COMMIT_WON) {
			assert_int_equal(s.rows[4].nonce, 111);
			continue;
		}
		assert_int_equal(s.rows[4].nonce, 222);
		assert_int_equal(c.winner.nonce, 222);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_body_outcomes),
		cmocka_unit_test(test_gossip_starts_fetch),
		cmocka_unit_test(test_newer_version_during_fetch),
		cmocka_unit_test(test_poll_intervals),
		cmocka_unit_test(test_older_version_ignored),
		cmocka_unit_test(test_invalid_body),
		cmocka_unit_test(test_unavailable_version),
		cmocka_unit_test(test_freshness),
		cmocka_unit_test(test_commits),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
