/* Unit tests of policy/quarantine.c and policy/quarantine_decide.c. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "policy/quarantine.h"
#include "regress/random.h"

enum { INSTANCES = 6, NOW = 1000000, AFTER_SETTLE_MS = 1000 };

static struct quarantine_digest digest_of(uint32_t request)
{
	return quarantine_digest("org", &request, sizeof(request));
}

/* Adds a death, with id number e, at which up to 3 requests were running. */
static void add_death(struct quarantine *q, uint64_t e, uint32_t a, uint32_t b,
		      uint32_t c, uint64_t now)
{
	struct quarantine_digest d[] = { digest_of(a), digest_of(b),
					 digest_of(c) };
	size_t n = (a != 0) + (b != 0) + (c != 0);

	quarantine_add_death(q, quarantine_death_id("e", e), d, n, now);
}

static enum quarantine_action action_of(struct quarantine *q, uint32_t request,
					uint64_t now)
{
	struct quarantine_digest d = digest_of(request);

	return quarantine_decide(q, &d, now).action;
}

struct death {
	uint64_t endpoint;
	uint32_t running[3];
};

struct quarantine_case {
	const char *name;
	struct death death[6];
	enum quarantine_action action[4]; /* of requests 1 to 3 */
};

static const struct quarantine_case cases[] = {
	{ "nothing happened",
	  { { 0 } },
	  { 0, QUARANTINE_RUN, QUARANTINE_RUN, QUARANTINE_RUN } },
	{ "one death makes its requests suspects",
	  { { 1, { 1, 2, 0 } } },
	  { 0, QUARANTINE_RUN_APART, QUARANTINE_RUN_APART, QUARANTINE_RUN } },
	{ "a suspect at a second death is blocked",
	  { { 1, { 1, 2, 3 } }, { 2, { 1, 0, 0 } } },
	  { 0, QUARANTINE_REFUSE, QUARANTINE_RUN, QUARANTINE_RUN } },
	{ "a new request at the second death is cleared",
	  { { 1, { 1, 2, 0 } }, { 2, { 1, 3, 0 } } },
	  { 0, QUARANTINE_REFUSE, QUARANTINE_RUN, QUARANTINE_RUN } },
	{ "two requests at both deaths are run alone",
	  { { 1, { 1, 2, 3 } }, { 2, { 1, 2, 0 } } },
	  { 0, QUARANTINE_RUN_ALONE, QUARANTINE_RUN_ALONE,
	    QUARANTINE_RUN_APART } },
	{ "the third death identifies one of them",
	  { { 1, { 1, 2, 3 } }, { 2, { 1, 2, 0 } }, { 3, { 2, 0, 0 } } },
	  { 0, QUARANTINE_RUN, QUARANTINE_REFUSE, QUARANTINE_RUN } },
	{ "another suspect at the third death is not blocked",
	  { { 1, { 1, 2, 3 } }, { 2, { 1, 2, 0 } }, { 3, { 2, 3, 0 } } },
	  { 0, QUARANTINE_RUN, QUARANTINE_REFUSE, QUARANTINE_RUN } },
	{ "a death reported twice counts once",
	  { { 1, { 1, 2, 0 } }, { 1, { 1, 0, 0 } } },
	  { 0, QUARANTINE_RUN_APART, QUARANTINE_RUN_APART, QUARANTINE_RUN } },
	{ "two crashing requests on one endpoint",
	  { { 1, { 1, 2, 3 } },
	    { 2, { 1, 0, 0 } },
	    { 3, { 2, 0, 0 } },
	    { 4, { 1, 0, 0 } },
	    { 5, { 2, 0, 0 } } },
	  { 0, QUARANTINE_REFUSE, QUARANTINE_REFUSE, QUARANTINE_RUN } },
};

static void test_cases(void **state)
{
	struct quarantine_params params = quarantine_defaults;
	size_t i;
	uint32_t k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct quarantine_case *c = &cases[i];
		struct quarantine *q = quarantine_new(&params);
		uint64_t now = NOW;

		for (k = 0; c->death[k].endpoint; k++) {
			const struct death *d = &c->death[k];

			now += params.mass_ms;
			add_death(q, d->endpoint, d->running[0], d->running[1],
				  d->running[2], now);
		}
		for (k = 1; k <= 3; k++)
			if (action_of(q, k, now + AFTER_SETTLE_MS) !=
			    c->action[k])
				fail_msg(
					"%s: request %u: action %d", c->name, k,
					action_of(q, k, now + AFTER_SETTLE_MS));
		quarantine_free(q);
	}
}

/* After a second death the decision waits for other instances' records. */
static void test_hold(void **state)
{
	struct quarantine *q = quarantine_new(&quarantine_defaults);
	struct quarantine_digest other = digest_of(2);
	struct quarantine_record r = { .digest = other,
				       .ndeaths = 2,
				       .keep_ms = 60000 };
	uint64_t a = quarantine_death_id("e", 1);
	uint64_t b = quarantine_death_id("e", 2);

	(void)state;
	add_death(q, 1, 1, 0, 0, NOW);
	add_death(q, 2, 1, 0, 0, NOW + 100);
	assert_int_equal(action_of(q, 1, NOW + 100), QUARANTINE_HOLD);
	r.deaths[0] = a < b ? a : b;
	r.deaths[1] = a < b ? b : a;
	assert_true(quarantine_merge(q, &r, NOW + 200));
	assert_false(quarantine_merge(q, &r, NOW + 250));
	assert_int_equal(action_of(q, 1, NOW + 5000), QUARANTINE_RUN_ALONE);
	assert_int_equal(action_of(q, 2, NOW + 5000), QUARANTINE_RUN_ALONE);
	quarantine_free(q);
}

/*
 * When a rack fails, requests that were moved within it are not blocked, though
 * each was running at two deaths.
 */
static void test_mass_deaths(void **state)
{
	struct quarantine *q = quarantine_new(&quarantine_defaults);
	uint64_t e;

	(void)state;
	for (e = 1; e <= 6; e++)
		add_death(q, e, (uint32_t)(e + 1) / 2, 0, 0, NOW + e * 100);
	for (e = 1; e <= 3; e++)
		assert_int_equal(action_of(q, (uint32_t)e, NOW + 5000),
				 QUARANTINE_RUN_APART);
	add_death(q, 7, 1, 0, 0, NOW + 60000);
	assert_int_equal(action_of(q, 1, NOW + 65000), QUARANTINE_REFUSE);
	quarantine_free(q);
}

/*
 * Old deaths that a new instance learns of at once are not taken for mass
 * deaths.
 */
static void test_new_instance(void **state)
{
	const struct quarantine_params *p = &quarantine_defaults;
	struct quarantine *q = quarantine_new(p);
	uint32_t i;

	(void)state;
	for (i = 1; i <= 6; i++) {
		struct quarantine_record r = {
			.digest = digest_of(i < 6 ? 100 + i : 2),
			.deaths = { quarantine_death_id("e", i) },
			.ndeaths = 1,
			.keep_ms = p->suspect_keep_ms - i * 2 * p->mass_ms,
		};

		quarantine_merge(q, &r, NOW);
	}
	add_death(q, 7, 2, 0, 0, NOW + p->mass_ms);
	assert_int_equal(action_of(q, 2, NOW + 2 * p->mass_ms),
			 QUARANTINE_REFUSE);
	quarantine_free(q);
}

static void test_expiry(void **state)
{
	const struct quarantine_params *p = &quarantine_defaults;
	struct quarantine *q = quarantine_new(p);
	uint64_t now = NOW;

	(void)state;
	add_death(q, 1, 1, 2, 0, now);
	add_death(q, 2, 1, 0, 0, now);
	now += AFTER_SETTLE_MS;
	assert_int_equal(action_of(q, 1, now), QUARANTINE_REFUSE);
	assert_int_equal(quarantine_count(q), 2);
	now += p->suspect_keep_ms;
	assert_int_equal(quarantine_expire(q, now), 1);
	assert_int_equal(action_of(q, 1, now), QUARANTINE_REFUSE);
	now += p->blocked_keep_ms;
	assert_int_equal(action_of(q, 1, now), QUARANTINE_RUN);
	assert_int_equal(quarantine_expire(q, now), 1);
	quarantine_free(q);
}

/* Merging in any order, with duplicates, gives the same records everywhere. */
static void test_merge_order(void **state)
{
	struct random_source rnd = { .seed = 5 };
	struct quarantine_record all[64];
	struct quarantine_record got[2][64];
	struct quarantine *from = quarantine_new(&quarantine_defaults);
	size_t n, i, k;

	(void)state;
	for (i = 0; i < 40; i++)
		add_death(from, 1 + i % 9, 1 + random_below(&rnd, 12),
			  20 + random_below(&rnd, 12), 0, NOW);
	n = quarantine_export(from, 0, NOW, all, 64);
	for (k = 0; k < 2; k++) {
		struct quarantine *q = quarantine_new(&quarantine_defaults);

		for (i = 0; i < 1000; i++)
			quarantine_merge(
				q, &all[random_below(&rnd, (uint32_t)n)], NOW);
		assert_int_equal(quarantine_export(q, 0, NOW, got[k], 64), n);
		quarantine_free(q);
	}
	for (i = 0; i < n; i++) {
		bool found = false;

		for (k = 0; k < n; k++)
			found |= !memcmp(&got[0][i].digest, &got[1][k].digest,
					 sizeof(got[0][i].digest)) &&
				 !memcmp(got[0][i].deaths, got[1][k].deaths,
					 sizeof(got[0][i].deaths));
		assert_true(found);
	}
	quarantine_free(from);
}

/* A full table keeps the records with the most deaths. */
static void test_full_table(void **state)
{
	struct quarantine_params params = quarantine_defaults;
	struct quarantine *q;
	uint32_t i;

	(void)state;
	params.records_max = 8;
	q = quarantine_new(&params);
	add_death(q, 1, 1, 2, 0, NOW);
	add_death(q, 2, 1, 0, 0, NOW);
	assert_int_equal(action_of(q, 1, NOW + AFTER_SETTLE_MS),
			 QUARANTINE_REFUSE);
	for (i = 10; i < 200; i++)
		add_death(q, i, i, 0, 0, NOW + AFTER_SETTLE_MS + i * 15000ULL);
	assert_int_equal(action_of(q, 1, NOW + AFTER_SETTLE_MS),
			 QUARANTINE_REFUSE);
	assert_int_equal(quarantine_count(q), 8);
	quarantine_free(q);
}

static void test_explain(void **state)
{
	struct quarantine_decision d = { .action = QUARANTINE_REFUSE,
					 .deaths = 2,
					 .keep_ms = 61000 };
	char buf[256];

	(void)state;
	quarantine_explain(&d, buf, sizeof(buf));
	assert_non_null(strstr(buf, "2 endpoints"));
	assert_non_null(strstr(buf, "2 minutes"));
	for (d.action = 0; d.action <= QUARANTINE_REFUSE; d.action++)
		assert_in_range(quarantine_explain(&d, buf, sizeof(buf)), 10,
				sizeof(buf) - 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cases),
		cmocka_unit_test(test_hold),
		cmocka_unit_test(test_mass_deaths),
		cmocka_unit_test(test_new_instance),
		cmocka_unit_test(test_expiry),
		cmocka_unit_test(test_merge_order),
		cmocka_unit_test(test_full_table),
		cmocka_unit_test(test_explain),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
