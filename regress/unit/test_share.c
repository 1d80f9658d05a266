/* Unit tests of policy/share.c. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "policy/share.h"
#include "regress/fleet_tables.h"
#include "regress/random.h"

enum {
	HOLD_MS = 5000,
	ROUND_MS = 500,
	MEMBERS_MAX = 8,
	TRIALS = 400,
};

static const struct share_params params = {
	.fresh_ms = ROUND_MS - 1,
	.hold_ms = HOLD_MS,
};

static uint32_t sum(const uint32_t *v, size_t n)
{
	uint32_t total = 0;
	size_t i;

	for (i = 0; i < n; i++)
		total += v[i];
	return total;
}

/* The split is exact, and every member gets its even part of one half. */
static void test_split_is_exact(void **state)
{
	struct random_source rnd = { .seed = 1 };
	int trial;

	(void)state;
	for (trial = 0; trial < TRIALS; trial++) {
		size_t n = 1 + random_below(&rnd, MEMBERS_MAX);
		uint32_t limit = random_below(&rnd, 2000);
		uint32_t even = limit - limit / 2;
		uint32_t demand[MEMBERS_MAX], share[MEMBERS_MAX];
		size_t i;

		for (i = 0; i < n; i++)
			demand[i] = random_below(&rnd, 3)
					    ? random_below(&rnd, UINT32_MAX)
					    : 0;
		share_split(limit, demand, n, share);
		assert_int_equal(sum(share, n), limit);
		for (i = 0; i < n; i++)
			assert_true(share[i] >= even / n + (i < even % n));
	}
}

static void test_split_follows_demand(void **state)
{
	const uint32_t demand[3] = { 90, 10, 0 };
	uint32_t share[3];

	(void)state;
	share_split(60, demand, 3, share);
	assert_int_equal(share[0], 10 + 27);
	assert_int_equal(share[1], 10 + 3);
	assert_int_equal(share[2], 10);
}

/* A shard whose members exchange once per round. */
struct shard {
	struct random_source rnd;
	size_t n;
	uint32_t limit;
	struct share_member member[MEMBERS_MAX];
	struct share_member view[MEMBERS_MAX][MEMBERS_MAX];
};

static void shard_init(struct shard *s, size_t n, uint32_t limit)
{
	size_t i, k;

	s->rnd = (struct random_source){ .seed = n };
	s->n = n;
	s->limit = limit;
	for (i = 0; i < n; i++)
		s->member[i] = (struct share_member){
			.share = share_even(limit, i, n),
		};
	for (i = 0; i < n; i++)
		for (k = 0; k < n; k++)
			s->view[i][k] = s->member[k];
}

/* Member i receives the state of k, and newer reports of others that k has. */
static void shard_receive(struct shard *s, size_t i, size_t k, uint64_t now)
{
	size_t j;

	s->view[i][k] = s->member[k];
	s->view[i][k].last_seen_ms = now;
	for (j = 0; j < s->n; j++)
		if (j != i &&
		    s->view[k][j].last_seen_ms > s->view[i][j].last_seen_ms)
			s->view[i][j] = s->view[k][j];
}

/*
 * Runs one round: all members exchange their state and then set their next
 * shares.  cut is a bit set of the members on one side of a partition.
 */
static void shard_round(struct shard *s, uint64_t now, unsigned int cut,
			uint32_t loss_percent)
{
	size_t i, k;

	for (i = 0; i < s->n; i++)
		for (k = 0; k < s->n; k++) {
			if ((cut >> i & 1) != (cut >> k & 1))
				continue;
			if (i == k ||
			    random_below(&s->rnd, 100) >= loss_percent)
				shard_receive(s, i, k, now);
		}
	for (i = 0; i < s->n; i++)
		s->member[i].share =
			share_next(s->limit, s->view[i], s->n, i, now, &params);
}

static uint32_t shard_sum(const struct shard *s)
{
	uint32_t total = 0;
	size_t i;

	for (i = 0; i < s->n; i++)
		total += s->member[i].share;
	return total;
}

/* Members never exceed the limit with changing demand and lost messages. */
static void test_no_overshoot(void **state)
{
	struct random_source rnd = { .seed = 2 };
	int trial, round;

	(void)state;
	for (trial = 0; trial < TRIALS; trial++) {
		struct shard s;
		size_t i;

		shard_init(&s, 2 + random_below(&rnd, MEMBERS_MAX - 1),
			   random_below(&rnd, 500));
		for (round = 1; round < 60; round++) {
			if (round % 7 == 1)
				for (i = 0; i < s.n; i++)
					s.member[i].demand =
						random_below(&rnd, 1000);
			shard_round(&s, (uint64_t)round * ROUND_MS, 0,
				    trial % 2 ? 20 : 0);
			assert_true(shard_sum(&s) <= s.limit);
		}
	}
}

/* With constant demand the whole limit comes into use. */
static void test_converges(void **state)
{
	struct shard s;
	int round;

	(void)state;
	shard_init(&s, 4, 100);
	s.member[1].demand = 500;
	for (round = 1; round < 80; round++)
		shard_round(&s, (uint64_t)round * ROUND_MS, 0, 0);
	assert_int_equal(s.member[1].share, 100 - 13 - 12 - 12);
	assert_int_equal(shard_sum(&s), 100);
}

/*
 * A member that is cut off falls back to its even part before the others use
 * the rest of its share, so that a lasting partition does not exceed the limit.
 */
static void test_one_cut_off(void **state)
{
	struct shard s;
	int round;

	(void)state;
	shard_init(&s, 4, 100);
	s.member[0].demand = 1000;
	for (round = 1; round < 80; round++)
		shard_round(&s, (uint64_t)round * ROUND_MS, 0, 0);
	assert_true(s.member[0].share > 60);
	for (; round < 200; round++) {
		s.member[1].demand = 1000;
		shard_round(&s, (uint64_t)round * ROUND_MS, 1, 0);
		assert_true(shard_sum(&s) <= s.limit);
	}
	assert_int_equal(s.member[0].share, share_even(100, 0, 4));
	assert_true(s.member[1].share > 40);
}

/* Changing partitions with lost messages never exceed the limit. */
static void test_partitions(void **state)
{
	struct random_source rnd = { .seed = 8 };
	int trial, round;

	(void)state;
	for (trial = 0; trial < TRIALS / 4; trial++) {
		unsigned int cut = 0;
		struct shard s;
		size_t i;

		shard_init(&s, 2 + random_below(&rnd, MEMBERS_MAX - 1), 400);
		for (round = 1; round < 600; round++) {
			if (round % 100 == 0)
				cut = random_below(&rnd, 1U << s.n);
			if (round % 20 == 0)
				for (i = 0; i < s.n; i++)
					s.member[i].demand =
						random_below(&rnd, 1000);
			shard_round(&s, (uint64_t)round * ROUND_MS, cut, 5);
			assert_true(shard_sum(&s) <= s.limit);
		}
	}
}

/*
 * In a fleet of the target size, the members of a shard too large for the
 * exchange together hold at most the limit, and no member a quarter of it.
 */
static void test_large_shards(void **state)
{
	static struct fleet f;
	const uint32_t limit = 40000;
	struct shard_plan plan;
	size_t large = 0;
	size_t org;

	(void)state;
	fleet_resize(&f, FLEET_SIZES - 1, 1);
	shard_plan_init(&plan);
	assert_int_equal(shard_plan_build(&plan, f.instances, f.n_instances,
					  f.orgs, f.n_orgs),
			 SHARD_OK);
	for (org = 0; org < f.n_orgs; org++) {
		size_t n;
		const struct shard_entry *e = shard_entries(&plan, org, &n);
		uint64_t held = 0;
		size_t i;

		if (n <= SHARE_EXCHANGE_MAX)
			continue;
		large++;
		for (i = 0; i < n; i++) {
			uint32_t share = share_proportional(limit, e[i].share,
							    SHARD_SHARE_ONE);

			assert_true(share < limit / 4);
			held += share;
		}
		assert_true(held <= limit);
		assert_true(held >= limit - limit / 10);
	}
	assert_true(large > 0);
	shard_plan_free(&plan);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_split_is_exact),
		cmocka_unit_test(test_split_follows_demand),
		cmocka_unit_test(test_no_overshoot),
		cmocka_unit_test(test_converges),
		cmocka_unit_test(test_one_cut_off),
		cmocka_unit_test(test_partitions),
		cmocka_unit_test(test_large_shards),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
