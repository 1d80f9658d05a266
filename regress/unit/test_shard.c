/* Unit tests of policy/shard.c, shard_fit.c and shard_order.c. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "policy/pair_hash.h"
#include "policy/shard.h"
#include "regress/fleet_tables.h"

struct size_case {
	const char *name;
	double share;
	size_t members;
	size_t regions;
	unsigned int configured;
	unsigned int size;
};

static const struct size_case size_cases[] = {
	{ "small, one region", 0.0001, 920, 1, 0, SHARD_SIZE_MIN },
	{ "small, four regions", 0.0001, 920, 4, 0, 4 * SHARD_REGION_MIN },
	{ "an eighth of the load", 0.125, 920, 4, 0, 384 },
	{ "a zone fewer changes nothing", 0.125, 849, 4, 0, 384 },
	{ "at most all instances", 0.9, 6, 1, 0, 6 },
	{ "small fleet", 0.01, 3, 1, 0, 3 },
	{ "configured", 0.5, 920, 4, 2, 2 },
	{ "configured above the fleet", 0.5, 6, 1, 20, 6 },
	{ "no instance", 0.5, 0, 1, 0, 0 },
};

static struct fleet *new_fleet(size_t instances, size_t orgs,
			       unsigned int zones, unsigned int regions)
{
	struct fleet *f = xcalloc(1, sizeof(*f));

	f->n_instances = instances;
	f->n_orgs = orgs;
	f->n_zones = zones;
	f->n_regions = regions;
	f->n_models = 1;
	fleet_fill(f, 7);
	return f;
}

static void build(struct shard_plan *plan, const struct fleet *f)
{
	assert_int_equal(shard_plan_build(plan, f->instances, f->n_instances,
					  f->orgs, f->n_orgs),
			 SHARD_OK);
}

/* Number of zones of a shard without the instance `lost`. */
static size_t zones_without(const struct shard_plan *plan, size_t org,
			    size_t lost)
{
	const struct shard_entry *e;
	uint64_t seen = 0;
	size_t i;
	size_t n;

	e = shard_entries(plan, org, &n);
	for (i = 0; i < n; i++) {
		if (e[i].member != lost)
			seen |= 1ull << plan->members[e[i].member].zone;
	}
	return __builtin_popcountll(seen);
}

static void test_size(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(size_cases) / sizeof(size_cases[0]); i++) {
		const struct size_case *c = &size_cases[i];

		print_message("%s\n", c->name);
		assert_int_equal(shard_size(c->share, c->members, c->regions,
					    c->configured),
				 c->size);
	}
}

static void test_nobody_serves(void **state)
{
	struct shard_member m[] = {
		{ .id = 1, .state = MEMBER_DEAD },
		{ .id = 2, .state = MEMBER_ALIVE, .leaving = true },
		{ .id = 3, .state = MEMBER_LEFT },
	};
	struct shard_org org = { .key = 1 };
	struct shard_plan plan;

	(void)state;
	shard_plan_init(&plan);
	assert_int_equal(shard_plan_build(&plan, m, 3, &org, 1),
			 SHARD_NO_MEMBERS);
	assert_int_equal(plan.n_members, 0);
	assert_false(shard_serves(&plan, 0, 1));
	shard_plan_free(&plan);
}

/* The plan contains exactly the serving members of the table. */
static void test_from_member_table(void **state)
{
	struct member_table *t = xcalloc(1, sizeof(*t));
	struct member_update u = { .id = 1, .addr = { .zone = 2 } };
	struct shard_member *members = xcalloc(MEMBER_MAX, sizeof(*members));
	struct shard_org org = { .key = 1 };
	struct shard_plan plan;
	size_t n;

	(void)state;
	member_init(t, &u, 1000);
	for (u.id = 2; u.id <= 6; u.id++) {
		u.state = MEMBER_ALIVE + (u.id - 2);
		member_merge(t, &u, 1000);
	}
	n = shard_copy_members(t, members);
	shard_plan_init(&plan);
	assert_int_equal(shard_plan_build(&plan, members, n, &org, 1),
			 SHARD_OK);
	assert_int_equal(plan.n_members, member_count_serving(t));
	assert_int_equal(plan.n_members, 3);
	assert_int_equal(plan.members[0].zone, 2);
	shard_plan_free(&plan);
	free(members);
	free(t);
}

static void test_spans_zones(void **state)
{
	struct fleet *f = new_fleet(9, 10, 3, 1);
	struct shard_plan plan;
	size_t lost;
	size_t org;

	(void)state;
	shard_plan_init(&plan);
	f->orgs[9].size = 2;
	build(&plan, f);
	assert_int_equal(zones_without(&plan, 9, SHARD_MEMBERS_MAX), 2);
	for (org = 0; org < 9; org++) {
		for (lost = 0; lost < plan.n_members; lost++)
			assert_true(zones_without(&plan, org, lost) >= 2);
	}
	shard_plan_free(&plan);
	free(f);
}

static void test_member_order_ignored(void **state)
{
	struct fleet *f = new_fleet(60, 130, 6, 2);
	struct shard_plan a;
	struct shard_plan b;
	struct shard_member m;
	size_t i;

	(void)state;
	shard_plan_init(&a);
	shard_plan_init(&b);
	build(&a, f);
	for (i = 0; i < 30; i++) {
		m = f->instances[i];
		f->instances[i] = f->instances[59 - i];
		f->instances[59 - i] = m;
	}
	build(&b, f);
	assert_int_equal(a.n_entries, b.n_entries);
	assert_memory_equal(a.entries, b.entries,
			    a.n_entries * sizeof(a.entries[0]));
	shard_plan_free(&a);
	shard_plan_free(&b);
	free(f);
}

/* The loss of an instance adds one assignment for each that it had. */
static void test_loss_moves_only_its_entries(void **state)
{
	struct fleet *f = new_fleet(60, 130, 6, 2);
	struct shard_plan before;
	struct shard_plan after;
	const struct shard_entry *e;
	uint64_t lost = f->instances[17].id;
	size_t org;
	size_t i;
	size_t n;

	(void)state;
	shard_plan_init(&before);
	shard_plan_init(&after);
	build(&before, f);
	f->instances[17].state = MEMBER_DEAD;
	build(&after, f);
	for (org = 0; org < f->n_orgs; org++) {
		size_t added = 0;

		e = shard_entries(&after, org, &n);
		for (i = 0; i < n; i++) {
			uint64_t id = after.members[e[i].member].id;

			added += !shard_serves(&before, org, id);
		}
		assert_true(added <=
			    (shard_serves(&before, org, lost) ? 1 : 0));
	}
	shard_plan_free(&before);
	shard_plan_free(&after);
	free(f);
}

/* Returns the highest load, relative to the mean, by the entries' shares. */
static double max_load_by_shares(const struct shard_plan *plan,
				 const struct fleet *f)
{
	double *load = xcalloc(plan->n_members, sizeof(*load));
	const struct shard_entry *e;
	double max_load = 0;
	double total = 0;
	size_t i;
	size_t j;
	size_t n;

	for (i = 0; i < f->n_orgs; i++) {
		e = shard_entries(plan, i, &n);
		for (j = 0; j < n; j++)
			load[e[j].member] += (double)f->orgs[i].weight *
					     e[j].share / SHARD_SHARE_ONE;
		total += f->orgs[i].weight;
	}
	for (i = 0; i < plan->n_members; i++) {
		if (load[i] > max_load)
			max_load = load[i];
	}
	free(load);
	return max_load * plan->n_members / total;
}

/* Also with a zone lost, and with a zone that has fewer instances. */
static void test_balance_at_full_size(void **state)
{
	struct fleet *f = new_fleet(920, 1300, 13, 4);
	struct shard_plan plan;
	uint64_t seed;
	size_t i;

	(void)state;
	shard_plan_init(&plan);
	for (seed = 0; seed < 5; seed++) {
		fleet_fill(f, seed * 1000);
		build(&plan, f);
		assert_true(max_load_by_shares(&plan, f) <= 1.2);
		assert_true(shard_max_load(&plan) <= 1.2);
		for (i = 1; i < f->n_instances; i += 13) {
			if (seed < 3 || i % 4 > 0)
				f->instances[i].state = MEMBER_DEAD;
		}
		build(&plan, f);
		assert_true(max_load_by_shares(&plan, f) <= 1.2);
		assert_true(shard_max_load(&plan) >= 1);
	}
	shard_plan_free(&plan);
	free(f);
}

/* A plan built in several steps is the same as one built at once. */
static void test_steps(void **state)
{
	struct fleet *f = new_fleet(60, 130, 6, 2);
	unsigned int steps = 1;
	struct shard_plan whole;
	struct shard_plan plan;

	(void)state;
	shard_plan_init(&whole);
	shard_plan_init(&plan);
	build(&whole, f);
	assert_int_equal(shard_plan_begin(&plan, f->instances, f->n_instances,
					  f->orgs, f->n_orgs),
			 SHARD_OK);
	while (!shard_plan_step(&plan, f->orgs))
		steps++;
	assert_true(steps > 3);
	assert_int_equal(plan.n_entries, whole.n_entries);
	assert_memory_equal(plan.entries, whole.entries,
			    plan.n_entries * sizeof(plan.entries[0]));
	shard_plan_free(&whole);
	shard_plan_free(&plan);
	free(f);
}

static void test_regions(void **state)
{
	struct fleet *f = new_fleet(60, 10, 6, 2);
	unsigned int in_region[2] = { 0 };
	struct shard_plan plan;
	const struct shard_entry *e;
	size_t i;
	size_t n;

	(void)state;
	shard_plan_init(&plan);
	f->orgs[5].regions = 1u << 1;
	f->orgs[6].regions = 1u << 9; /* no such region */
	build(&plan, f);
	e = shard_entries(&plan, 5, &n);
	assert_true(n >= SHARD_SIZE_MIN);
	for (i = 0; i < n; i++)
		assert_int_equal(plan.members[e[i].member].region, 1);
	shard_entries(&plan, 6, &n);
	assert_true(n >= SHARD_SIZE_MIN);
	for (i = 0, e = shard_entries(&plan, 9, &n); i < n; i++)
		in_region[plan.members[e[i].member].region]++;
	assert_true(in_region[0] >= SHARD_REGION_MIN);
	assert_true(in_region[1] >= SHARD_REGION_MIN);
	shard_plan_free(&plan);
	free(f);
}

static void test_order_nearest_first(void **state)
{
	struct fleet *f = new_fleet(60, 3, 6, 2);
	uint16_t out[SHARD_ORDER_MAX];
	struct shard_plan plan;
	size_t i;
	size_t n;
	uint64_t rnd;

	(void)state;
	shard_plan_init(&plan);
	f->orgs[0].size = 12;
	f->instances[2].state = MEMBER_SUSPECT; /* in region 0 */
	build(&plan, f);
	for (rnd = 0; rnd < 50; rnd++) {
		n = shard_order(&plan, 0, 3, 1, rnd, out, 12);
		assert_int_equal(n, 12);
		for (i = 0; i < 6; i++)
			assert_int_equal(plan.members[out[i]].region, 1);
	}
	plan.locality = SHARD_LOCALITY_ZONE;
	shard_order(&plan, 0, 3, 1, 1, out, 12);
	assert_int_equal(plan.members[out[0]].zone, 3);
	/* A short result still spans two zones. */
	f->orgs[0].size = 60;
	build(&plan, f);
	n = shard_order(&plan, 0, 3, 1, 1, out, 4);
	assert_int_equal(n, 4);
	assert_int_equal(plan.members[out[2]].zone, 3);
	assert_int_not_equal(plan.members[out[3]].zone, 3);
	/* A suspect member comes last, even in the caller's region. */
	f->orgs[0].size = 12;
	f->instances[3].state = MEMBER_SUSPECT;
	for (i = 0; i < f->n_instances; i++) {
		if (i % 6 == 3 && i != 3)
			f->instances[i].state = MEMBER_DEAD;
	}
	build(&plan, f);
	n = shard_order(&plan, 0, 3, 1, 1, out, 12);
	assert_int_equal(n, 12);
	for (i = 0; i < 11; i++)
		assert_int_equal(plan.members[out[i]].state, MEMBER_ALIVE);
	assert_int_equal(plan.members[out[11]].id, f->instances[3].id);
	shard_plan_free(&plan);
	free(f);
}

/* The first addresses follow the planned shares. */
static void test_order_follows_shares(void **state)
{
	struct fleet *f = new_fleet(9, 10, 3, 1);
	const int draws = 20000;
	int first[9] = { 0 };
	uint16_t out[1];
	struct shard_plan plan;
	const struct shard_entry *e;
	size_t i;
	size_t n;
	int j;

	(void)state;
	shard_plan_init(&plan);
	build(&plan, f);
	for (j = 0; j < draws; j++) {
		shard_order(&plan, 2, 0, 0, pair_hash(5, j), out, 1);
		first[out[0]]++;
	}
	e = shard_entries(&plan, 2, &n);
	for (i = 0; i < n; i++) {
		double share = (double)e[i].share / SHARD_SHARE_ONE;
		double drawn = (double)first[e[i].member] / draws;

		assert_true(drawn > share - 0.02 && drawn < share + 0.02);
	}
	shard_plan_free(&plan);
	free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_size),
		cmocka_unit_test(test_nobody_serves),
		cmocka_unit_test(test_from_member_table),
		cmocka_unit_test(test_spans_zones),
		cmocka_unit_test(test_member_order_ignored),
		cmocka_unit_test(test_loss_moves_only_its_entries),
		cmocka_unit_test(test_balance_at_full_size),
		cmocka_unit_test(test_steps),
		cmocka_unit_test(test_regions),
		cmocka_unit_test(test_order_nearest_first),
		cmocka_unit_test(test_order_follows_shares),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
