/* A request that ends every endpoint which runs it, sent again and again
 * through other instances, with innocent streams beside it. */
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
#define N_BESIDE 30 /* innocent streams on each engine */
#define N_INNOCENT (N_BESIDE * N_ENGINES)
#define INNOCENT_TOKENS 150
#define SENDINGS 8 /* of the crashing request */
#define LOST_MOST 3 /* endpoints in the whole fleet */
#define PROMPT "crash-now: draft a handover note"

static struct fleet *fleet;

struct crash_case {
	const char *name;
	const char *settings; /* of the engines */
	bool restart_engines; /* a dead engine comes back at once */
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
	struct caller *innocent[N_INNOCENT];
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

/* Counts the engines that have died, and brings them back if the case says
 * so. */
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

/* Sends the crashing request at the next instance. */
static void send_crashing(struct run *r)
{
	const char *address = fleet->instances[r->sent++ % N_INSTANCES].entry;

	if (r->crashing)
		caller_close(r->crashing);
	r->crashing = caller_open(fleet->harness, address, "org-1", PROMPT,
				  INNOCENT_TOKENS);
}

/* All innocent answers are whole, and the crashing request was sent as often
 * as its caller likes. */
static bool is_over(void *arg)
{
	struct run *r = arg;
	bool all = true;
	size_t i;

	count_lost(r);
	for (i = 0; i < N_INNOCENT; i++) {
		struct caller *c = r->innocent[i];

		if (!caller_ended(c))
			all = false;
		else if (!c->done)
			caller_expect_complete(c, r->cc->name);
	}
	if (!r->crashing || caller_ended(r->crashing)) {
		if (r->sent < SENDINGS)
			send_crashing(r);
		else
			return all;
	}
	return false;
}

/* The last sending was refused, and truthfully. */
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

/* Runs one case in a fleet of its own. */
static void run_case(const struct crash_case *cc)
{
	struct run r = { .cc = cc };
	char prompt[64];
	size_t i;

	start_fleet();
	for (i = 0; i < N_INNOCENT; i++) {
		snprintf(prompt, sizeof(prompt), "innocent %zu", i);
		r.innocent[i] = caller_open(
			fleet->harness, fleet->instances[i % N_INSTANCES].entry,
			"org-2", prompt, INNOCENT_TOKENS);
	}
	for (i = 0; i < N_INNOCENT; i++)
		caller_wait_tokens(r.innocent[i], 10);
	for (i = 0; i < N_ENGINES; i++)
		harness_control(fleet->harness, fleet->engines[i].control, "%s",
				cc->settings);
	harness_until(fleet->harness, is_over, &r, cc->name);
	count_lost(&r);
	print_message("%-34s %u endpoints lost to %u sendings\n", cc->name,
		      r.lost, r.sent);
	for (i = 0; i < N_INNOCENT; i++) {
		caller_expect_complete(r.innocent[i], cc->name);
		assert_int_equal(r.innocent[i]->restarts, 0);
		caller_close(r.innocent[i]);
	}
	assert_true(r.lost >= 1);
	assert_true(r.lost <= LOST_MOST);
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
