/* A request that crashes every endpoint it runs on is sent repeatedly through
 * different instances.  The endpoints lost must be few, and unrelated streams
 * on the same endpoints must stay whole. */
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/caller.h"

#define N_INSTANCES 3
#define N_ENGINES 6
#define UNRELATED_PER_ENGINE 30 /* unrelated streams on each engine */
#define N_UNRELATED (UNRELATED_PER_ENGINE * N_ENGINES)
#define MAX_TOKENS 150
#define SENDS 8 /* of the crashing request */
#define ENDPOINTS_LOST_MAX 3 /* endpoints of the whole fleet */
#define PROMPT "crash-now: draft a handover note"

static struct fleet *fleet;

struct crash_case {
	const char *name;
	const char *settings; /* of the engines */
	bool restart_engines; /* a crashed engine is restarted at once */
};

static const struct crash_case cases[] = {
	{ "crashes before its first token", "{\"crash_on\":\"crash-now\"}",
	  false },
	{ "crashes after 5 tokens",
	  "{\"crash_on\":\"crash-now\",\"crash_after_tokens\":5}", false },
	{ "dead engines come back",
	  "{\"crash_on\":\"crash-now\",\"crash_after_tokens\":5}", true },
};

/* One run of a case. */
struct run {
	const struct crash_case *cc;
	struct caller *unrelated[N_UNRELATED];
	struct caller *crashing;
	unsigned sent; /* times */
	unsigned lost; /* endpoints */
	bool refused;
};

static void start_fleet(void)
{
	static const struct fleet_options options = {
		.n_instances = N_INSTANCES,
		.n_zones = 3,
		.n_engines = N_ENGINES,
		.n_organisations = 2,
		.slots = 64,
		.engine_args = { "--token-ms=10", "--load-lag-ms=50",
				 "--prefill-tokens-per-s=200000" },
	};

	fleet = harness_fleet(harness_new(), &options);
}

static void stop_fleet(void)
{
	struct harness *h = fleet->harness;

	fleet_free(fleet);
	harness_free(h);
}

/* Counts the engines that have crashed, and restarts them if the case has
 * restart_engines. */
static void count_lost(struct run *r)
{
	size_t i;

	for (i = 0; i < N_ENGINES; i++) {
		struct fleet_endpoint *e = &fleet->engines[i];

		if (!e->proc || proc_running(e->proc))
			continue;
		r->lost++;
		e->proc = NULL;
		if (!r->cc->restart_engines)
			continue;
		fleet_start_endpoint(fleet, e);
		harness_control(fleet->harness, e->control, "%s",
				r->cc->settings);
	}
}

/* Sends the crashing request to the next instance. */
static void send_crashing(struct run *r)
{
	const char *address = fleet->instances[r->sent++ % N_INSTANCES].entry;

	if (r->crashing)
		caller_close(r->crashing);
	r->crashing = caller_open(fleet->harness, address, "org-1", PROMPT,
				  MAX_TOKENS);
}

/* Returns whether all unrelated answers are complete and the crashing request
 * was sent SENDS times; sends it again when its last answer has ended. */
static bool is_over(void *arg)
{
	struct run *r = arg;
	bool all = true;
	size_t i;

	count_lost(r);
	for (i = 0; i < N_UNRELATED; i++) {
		struct caller *c = r->unrelated[i];

		if (!caller_ended(c))
			all = false;
		else if (!c->done)
			caller_expect_complete(c, r->cc->name);
	}
	if (!r->crashing || caller_ended(r->crashing)) {
		if (r->sent < SENDS)
			send_crashing(r);
		else
			return all;
	}
	return false;
}

/* Checks that the last copy sent was refused as crashing, and as not run. */
static void expect_refusal(const struct run *r)
{
	const struct stream_reader *s = r->crashing->stream;
	const json_t *problem = r->crashing->problem;

	if (stream_status(s) != 422)
		fail_msg("%s: status %d: %s", r->cc->name, stream_status(s),
			 stream_body(s));
	assert_string_equal(
		json_string_value(json_object_get(problem, "title")),
		"crashes-endpoints");
	assert_string_equal(json_string_value(json_object_get(problem, "run")),
			    "not-run");
	assert_true(json_integer_value(
			    json_object_get(problem, "retry_after_s")) > 0);
}

/* Runs one case in a new fleet. */
static void run_case(const struct crash_case *cc)
{
	struct run r = { .cc = cc };
	char prompt[64];
	size_t i;

	start_fleet();
	for (i = 0; i < N_UNRELATED; i++) {
		snprintf(prompt, sizeof(prompt), "innocent %zu", i);
		r.unrelated[i] = caller_open(
			fleet->harness, fleet->instances[i % N_INSTANCES].entry,
			"org-2", prompt, MAX_TOKENS);
	}
	for (i = 0; i < N_UNRELATED; i++)
		caller_wait_tokens(r.unrelated[i], 10);
	for (i = 0; i < N_ENGINES; i++)
		harness_control(fleet->harness, fleet->engines[i].control, "%s",
				cc->settings);
	harness_until(fleet->harness, is_over, &r, cc->name);
	count_lost(&r);
	print_message("%-34s %u endpoints lost, request sent %u times\n",
		      cc->name, r.lost, r.sent);
	for (i = 0; i < N_UNRELATED; i++) {
		caller_expect_complete(r.unrelated[i], cc->name);
		assert_int_equal(r.unrelated[i]->restarts, 0);
		caller_close(r.unrelated[i]);
	}
	assert_true(r.lost >= 1);
	assert_true(r.lost <= ENDPOINTS_LOST_MAX);
	expect_refusal(&r);
	caller_close(r.crashing);
	stop_fleet();
}

static void endpoints_lost_are_bounded(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(&cases[i]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(endpoints_lost_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
