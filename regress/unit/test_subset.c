/* Unit tests of policy/subset.c. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "policy/subset.h"
#include "regress/fleet_tables.h"

struct users_case {
	const char *name;
	size_t instances;
	size_t endpoints;
	unsigned int users;
};

static const struct users_case users_cases[] = {
	{ "all, 9 instances", 9, 20, 9 },
	{ "all, 6 instances", 6, 25, 6 },
	{ "the average model of the target", 920, 228, 137 },
	{ "the same without a zone", 849, 228, 137 },
	{ "the same with an endpoint more", 920, 229, 137 },
	{ "many endpoints", 60, 1000, SUBSET_USERS_MIN },
	{ "no endpoint", 9, 0, 0 },
	{ "no instance", 0, 20, 0 },
};

static struct fleet *new_fleet(size_t instances, size_t endpoints,
			       unsigned int zones, unsigned int regions)
{
	struct fleet *f = xcalloc(1, sizeof(*f));

	f->n_instances = instances;
	f->n_endpoints = endpoints;
	f->n_zones = zones;
	f->n_regions = regions;
	f->n_models = 1;
	fleet_fill(f, 11);
	return f;
}

static size_t subset(const struct fleet *f, size_t i, struct subset_entry *out)
{
	return subset_of_instance(f->instances, f->n_instances, i, f->endpoints,
				  f->n_endpoints, out);
}

static void test_users(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(users_cases) / sizeof(users_cases[0]); i++) {
		const struct users_case *c = &users_cases[i];

		print_message("%s\n", c->name);
		assert_int_equal(subset_users(c->instances, c->endpoints),
				 c->users);
	}
}

static void test_small_fleet_uses_all(void **state)
{
	struct fleet *f = new_fleet(6, 25, 3, 1);
	struct subset_entry out[25];
	unsigned int watchers[25] = { 0 };
	size_t i;
	size_t j;

	(void)state;
	for (i = 0; i < 6; i++) {
		assert_int_equal(subset(f, i, out), 25);
		for (j = 0; j < 25; j++)
			watchers[out[j].endpoint] += out[j].watch;
	}
	for (j = 0; j < 25; j++)
		assert_int_equal(watchers[j], SUBSET_WATCHERS);
	free(f);
}

/* subset_of_instance() and subset_of_endpoint() agree. */
static void test_views_agree(void **state)
{
	struct fleet *f = new_fleet(100, 120, 5, 2);
	struct subset_entry out[120];
	uint16_t users[101];
	bool *used = xcalloc(100 * 120, sizeof(*used));
	bool *watched = xcalloc(100 * 120, sizeof(*watched));
	size_t i;
	size_t j;
	size_t n;

	(void)state;
	for (i = 0; i < 100; i++) {
		n = subset(f, i, out);
		assert_true(n >= SUBSET_SIZE_MIN);
		for (j = 0; j < n; j++) {
			used[out[j].endpoint * 100 + i] = true;
			watched[out[j].endpoint * 100 + i] = out[j].watch;
		}
	}
	for (i = 0; i < 120; i++) {
		size_t n_watchers = 0;
		uint16_t zone;

		n = subset_of_endpoint(f->instances, 100, &f->endpoints[i],
				       subset_users(100, 120), users);
		zone = f->instances[users[0]].zone;
		assert_true(zone != f->instances[users[1]].zone ||
			    zone != f->instances[users[2]].zone);
		for (j = 0; j < n; j++) {
			assert_true(used[i * 100 + users[j]]);
			assert_int_equal(watched[i * 100 + users[j]],
					 j < SUBSET_WATCHERS);
		}
		for (j = 0; j < 100; j++)
			n_watchers += watched[i * 100 + j];
		assert_int_equal(n_watchers, SUBSET_WATCHERS);
	}
	free(used);
	free(watched);
	free(f);
}

/* Instances far from all endpoints still have SUBSET_SIZE_MIN of them. */
static void test_minimum_size(void **state)
{
	struct fleet *f = new_fleet(400, 300, 13, 4);
	unsigned int users = subset_users(400, 300);
	unsigned int chosen[400] = { 0 };
	struct subset_entry out[300];
	uint16_t users_of[401];
	bool added = false;
	size_t i;
	size_t j;
	size_t n;

	(void)state;
	for (i = 0; i < 300; i++) {
		f->endpoints[i].zone = 1;
		f->endpoints[i].region = 1;
		n = subset_of_endpoint(f->instances, 400, &f->endpoints[i],
				       users, users_of);
		for (j = 0; j < n; j++)
			chosen[users_of[j]]++;
	}
	for (i = 0; i < 400; i++) {
		n = subset(f, i, out);
		assert_true(n >= SUBSET_SIZE_MIN);
		assert_true(n >= chosen[i]);
		added = added || n > chosen[i];
	}
	assert_true(added);
	free(f);
}

/* Each instance has endpoints of two zones, most of them in its region. */
static void test_prefers_nearby(void **state)
{
	struct fleet *f = new_fleet(92, 660, 13, 4);
	struct subset_entry out[660];
	size_t in_region = 0;
	size_t total = 0;
	size_t i;
	size_t j;
	size_t n;

	(void)state;
	for (i = 0; i < f->n_instances; i++) {
		bool other = false;

		n = subset(f, i, out);
		for (j = 0; j < n; j++) {
			const struct subset_endpoint *e =
				&f->endpoints[out[j].endpoint];

			other = other || e->zone != f->instances[i].zone;
			in_region += e->region == f->instances[i].region;
		}
		total += n;
		assert_true(other);
	}
	assert_true(in_region * 2 > total);
	assert_true(in_region < total);
	free(f);
}

/* A lost instance is replaced at its endpoints; other uses stay. */
static void test_loss_moves_only_its_uses(void **state)
{
	struct fleet *f = new_fleet(92, 100, 4, 1);
	uint16_t before[93];
	uint16_t after[93];
	unsigned int users = subset_users(92, 100);
	uint64_t lost = f->instances[91].id;
	size_t gained;
	size_t had;
	size_t e;
	size_t i;
	size_t j;
	size_t n;
	size_t m;

	(void)state;
	for (e = 0; e < 100; e++) {
		n = subset_of_endpoint(f->instances, 92, &f->endpoints[e],
				       users, before);
		m = subset_of_endpoint(f->instances, 91, &f->endpoints[e],
				       users, after);
		had = 0;
		gained = 0;
		for (i = 0; i < n; i++)
			had += f->instances[before[i]].id == lost;
		for (i = 0; i < m; i++) {
			for (j = 0; j < n && before[j] != after[i]; j++)
				;
			gained += j == n;
		}
		assert_int_equal(gained, had);
	}
	free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_users),
		cmocka_unit_test(test_small_fleet_uses_all),
		cmocka_unit_test(test_views_agree),
		cmocka_unit_test(test_minimum_size),
		cmocka_unit_test(test_prefers_nearby),
		cmocka_unit_test(test_loss_moves_only_its_uses),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
