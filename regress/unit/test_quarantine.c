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

enum { INSTANCES = 6, NOW = 1000000, SETTLED = 1000 };

static struct quarantine_digest digest_of(uint32_t request)
{
	return quarantine_digest("org", &request, sizeof(request));
}

/* Notes the death of endpoint e (first incarnation) with up to 3 requests. */
static void died(struct quarantine *q, uint64_t e, uint32_t a, uint32_t b,
		 uint32_t c, uint64_t now)
{
	struct quarantine_digest d[] = { digest_of(a), digest_of(b),
					 digest_of(c) };
	size_t n = (a != 0) + (b != 0) + (c != 0);

	quarantine_add_death(q, quarantine_death_id("e", e), d, n, now);
}

static enum quarantine_action verdict(struct quarantine *q, uint32_t request,
				       uint64_t now)
{
	struct quarantine_digest d = digest_of(request);

	return quarantine_decide(q, &d, now).action;
}

struct death {
	uint64_t endpoint;
	uint32_t running[3];
};

struct case_of_deaths {
	const char *name;
	struct death death[6];
	enum quarantine_action verdict[4]; /* of requests 1 to 3 */
};

static const struct case_of_deaths cases[] = {
	{ "nothing happened",
	  { { 0 } },
	  { 0, QUARANTINE_RUN, QUARANTINE_RUN, QUARANTINE_RUN } },
	{ "one death makes suspects",
	  { { 1, { 1, 2, 0 } } },
	  { 0, QUARANTINE_RUN_APART, QUARANTINE_RUN_APART, QUARANTINE_RUN } },
	{ "one of them at a second death is convicted",
	  { { 1, { 1, 2, 3 } }, { 2, { 1, 0, 0 } } },
	  { 0, QUARANTINE_REFUSE, QUARANTINE_RUN, QUARANTINE_RUN } },
	{ "a newcomer at the second death is cleared",
	  { { 1, { 1, 2, 0 } }, { 2, { 1, 3, 0 } } },
	  { 0, QUARANTINE_REFUSE, QUARANTINE_RUN, QUARANTINE_RUN } },
	{ "two at both deaths are run alone",
	  { { 1, { 1, 2, 3 } }, { 2, { 1, 2, 0 } } },
	  { 0, QUARANTINE_RUN_ALONE, QUARANTINE_RUN_ALONE,
	    QUARANTINE_RUN_APART } },
	{ "the third death names one",
	  { { 1, { 1, 2, 3 } }, { 2, { 1, 2, 0 } }, { 3, { 2, 0, 0 } } },
	  { 0, QUARANTINE_RUN, QUARANTINE_REFUSE, QUARANTINE_RUN } },
	{ "an old suspect beside it is not taken for it",
	  { { 1, { 1, 2, 3 } }, { 2, { 1, 2, 0 } }, { 3, { 2, 3, 0 } } },
	  { 0, QUARANTINE_RUN, QUARANTINE_REFUSE, QUARANTINE_RUN } },
	{ "the same death told twice counts once",
	  { { 1, { 1, 2, 0 } }, { 1, { 1, 0, 0 } } },
	  { 0, QUARANTINE_RUN_APART, QUARANTINE_RUN_APART, QUARANTINE_RUN } },
	{ "two culprits on one endpoint",
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
		const struct case_of_deaths *c = &cases[i];
		struct quarantine *q = quarantine_new(&params);
		uint64_t now = NOW;

		for (k = 0; c->death[k].endpoint; k++) {
			const struct death *d = &c->death[k];

			now += params.mass_ms;
			died(q, d->endpoint, d->running[0], d->running[1],
			     d->running[2], now);
		}
		for (k = 1; k <= 3; k++)
			if (verdict(q, k, now + SETTLED) != c->verdict[k])
				fail_msg("%s: request %u: verdict %d", c->name,
					 k, verdict(q, k, now + SETTLED));
		quarantine_free(q);
	}
}

/* After a second death the verdict waits for other instances' records. */
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
	died(q, 1, 1, 0, 0, NOW);
	died(q, 2, 1, 0, 0, NOW + 100);
	assert_int_equal(verdict(q, 1, NOW + 100), QUARANTINE_HOLD);
	r.deaths[0] = a < b ? a : b;
	r.deaths[1] = a < b ? b : a;
	assert_true(quarantine_merge(q, &r, NOW + 200));
	assert_false(quarantine_merge(q, &r, NOW + 250));
	assert_int_equal(verdict(q, 1, NOW + 5000), QUARANTINE_RUN_ALONE);
	assert_int_equal(verdict(q, 2, NOW + 5000), QUARANTINE_RUN_ALONE);
	quarantine_free(q);
}

/* A rack that goes: requests that were moved within it are not convicted. */
static void test_mass_deaths(void **state)
{
	struct quarantine *q = quarantine_new(&quarantine_defaults);
	uint64_t e;

	(void)state;
	for (e = 1; e <= 6; e++)
		died(q, e, (uint32_t)(e + 1) / 2, 0, 0, NOW + e * 100);
	for (e = 1; e <= 3; e++)
		assert_int_equal(verdict(q, (uint32_t)e, NOW + 5000),
				 QUARANTINE_RUN_APART);
	died(q, 7, 1, 0, 0, NOW + 60000);
	assert_int_equal(verdict(q, 1, NOW + 65000), QUARANTINE_REFUSE);
	quarantine_free(q);
}

/* A newcomer learns of old deaths all at once, which is no wider fault. */
static void test_newcomer(void **state)
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
	died(q, 7, 2, 0, 0, NOW + p->mass_ms);
	assert_int_equal(verdict(q, 2, NOW + 2 * p->mass_ms),
			 QUARANTINE_REFUSE);
	quarantine_free(q);
}

static void test_expiry(void **state)
{
	const struct quarantine_params *p = &quarantine_defaults;
	struct quarantine *q = quarantine_new(p);
	uint64_t now = NOW;

	(void)state;
	died(q, 1, 1, 2, 0, now);
	died(q, 2, 1, 0, 0, now);
	now += SETTLED;
	assert_int_equal(verdict(q, 1, now), QUARANTINE_REFUSE);
	assert_int_equal(quarantine_count(q), 2);
	now += p->suspect_keep_ms;
	assert_int_equal(quarantine_expire(q, now), 1);
	assert_int_equal(verdict(q, 1, now), QUARANTINE_REFUSE);
	now += p->blocked_keep_ms;
	assert_int_equal(verdict(q, 1, now), QUARANTINE_RUN);
	assert_int_equal(quarantine_expire(q, now), 1);
	quarantine_free(q);
}

/* Merging in any order, with repeats, gives the same records everywhere. */
static void test_merge_order(void **state)
{
	struct random_source rnd = { .seed = 5 };
	struct quarantine_record all[64];
	struct quarantine_record got[2][64];
	struct quarantine *from = quarantine_new(&quarantine_defaults);
	size_t n, i, k;

	(void)state;
	for (i = 0; i < 40; i++)
		died(from, 1 + i % 9, 1 + random_below(&rnd, 12),
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

/* A full table keeps the records that matter most. */
static void test_full_table(void **state)
{
	struct quarantine_params params = quarantine_defaults;
	struct quarantine *q;
	uint32_t i;

	(void)state;
	params.records_max = 8;
	q = quarantine_new(&params);
	died(q, 1, 1, 2, 0, NOW);
	died(q, 2, 1, 0, 0, NOW);
	assert_int_equal(verdict(q, 1, NOW + SETTLED), QUARANTINE_REFUSE);
	for (i = 10; i < 200; i++)
		died(q, i, i, 0, 0, NOW + SETTLED + i * 15000ULL);
	assert_int_equal(verdict(q, 1, NOW + SETTLED), QUARANTINE_REFUSE);
	assert_int_equal(quarantine_count(q), 8);
	quarantine_free(q);
}

static void test_explain(void **state)
{
	struct quarantine_decision f = { .action = QUARANTINE_REFUSE,
					.deaths = 2,
					.keep_ms = 61000 };
	char buf[256];

	(void)state;
	quarantine_explain(&f, buf, sizeof(buf));
	assert_non_null(strstr(buf, "2 endpoints"));
	assert_non_null(strstr(buf, "2 minutes"));
	for (f.action = 0; f.action <= QUARANTINE_REFUSE; f.action++)
		assert_in_range(quarantine_explain(&f, buf, sizeof(buf)), 10,
				sizeof(buf) - 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cases),
		cmocka_unit_test(test_hold),
		cmocka_unit_test(test_mass_deaths),
		cmocka_unit_test(test_newcomer),
		cmocka_unit_test(test_expiry),
		cmocka_unit_test(test_merge_order),
		cmocka_unit_test(test_full_table),
		cmocka_unit_test(test_explain),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
