/* An endpoint that is leaving gets no new work after the stated seconds, by
 * whichever way it leaves, and also where an instance hears of it from others
 * only.  An instance that hears of nothing goes on, until it hears again. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "emulator/caller.h"
#include "lib/xalloc.h"
#include "policy/drain.h"
#include "regress/harness_fleet.h"

#define INSTANCES 3
#define CUT 2 /* the instance that does not reach the platform */
#define ENGINES 4
#define CALLERS 24
#define CHECKS 18
#define LIST_LAG_MS 1000

struct group {
	struct caller_result results[CALLERS];
	size_t n_done;
};

struct place {
	struct group *group;
	size_t index;
};

static const struct fleet_options options = {
	.n_instances = INSTANCES,
	.n_zones = 1,
	.n_engines = ENGINES,
	.n_organisations = 1,
	.faults = true,
	.slots = 16,
	.platform_args = { "--list-lag-ms=1000" },
	.engine_args = { "--token-ms=10" },
};

static struct place places[CALLERS];

static void on_done(void *arg, const struct caller_result *r)
{
	struct place *p = arg;

	p->group->results[p->index] = *r;
	p->group->n_done++;
}

static const struct caller_ops ops = { .on_done = on_done };

/* Starts callers, at each instance in turn. */
static void start_callers(struct fleet *f, struct group *g, uint64_t tokens)
{
	const char *address;
	char prompt[64];
	size_t i;

	for (i = 0; i < CALLERS; i++) {
		const struct caller_options o = {
			.key = "key-org-1",
			.model = FLEET_MODEL,
			.prompt = prompt,
			.max_tokens = tokens,
			.addresses = &address,
			.n_addresses = 1,
			.reconnects_max = 20,
		};

		address = f->instances[i % INSTANCES].entry;
		snprintf(prompt, sizeof(prompt), "leaving %zu", i);
		places[i] = (struct place){ g, i };
		caller_start(harness_loop(f->harness),
			     harness_client(f->harness), &o, &ops, &places[i]);
	}
}

static bool all_done(void *arg)
{
	struct group *g = arg;

	return g->n_done == CALLERS;
}

static void wait_whole(struct fleet *f, struct group *g)
{
	size_t i;

	harness_until(f->harness, all_done, g, "all answers end");
	for (i = 0; i < CALLERS; i++)
		if (g->results[i].outcome != CALLER_WHOLE)
			fail_msg("caller %zu: %s: %s", i,
				 caller_outcome_name(g->results[i].outcome),
				 g->results[i].detail);
}

static double starts_at(struct fleet *f, size_t engine)
{
	return harness_counter(f->harness, f->engines[engine].control,
			       "engine_runs_total");
}

/* Every engine runs something; returns when that is so. */
static bool all_engines_run(void *arg)
{
	struct fleet *f = arg;
	size_t i;

	for (i = 0; i < ENGINES; i++)
		if (starts_at(f, i) < 1)
			return false;
	return true;
}

static void drain(struct fleet *f, const char *engine)
{
	struct proc *p = HARNESS_START(f->harness, "cdmctl-drain", "cdmctl",
				       "-s", f->instances[0].operator_address,
				       "drain", "endpoint", engine);

	assert_int_equal(proc_wait(p), 0);
}

/* Puts a file in force in which an engine is leaving. */
static void configure_leaving(struct fleet *f, const char *engine)
{
	char line[64];
	char *text = NULL;
	size_t size = 0;
	FILE *file = fopen(fleet_write_config(f, "before.toml"), "r");
	const char *path;
	char *at;

	assert_non_null(file);
	assert_true(getdelim(&text, &size, '\0', file) > 0);
	fclose(file);
	snprintf(line, sizeof(line), "name = \"%s\"\n", engine);
	at = strstr(text, line);
	assert_non_null(at);
	at += strlen(line);
	path = harness_file(f->harness, "leaving.toml",
			    "%.*sleaving = true\n%s", (int)(at - text), text,
			    at);
	free(text);
	assert_int_equal(fleet_apply(f, 0, path), 0);
}

static void list_leaving(struct fleet *f, size_t engine)
{
	const struct fleet_endpoint *e = &f->engines[engine];

	harness_control(f->harness, f->platform,
			"{\"instance\":{\"name\":\"%s\",\"zone\":\"%s\","
			"\"kind\":\"endpoint\",\"address\":\"%s\","
			"\"leaving\":true}}",
			e->name, e->zone, e->advertised);
}

/* Has an instance itself serve a completion, not one that it names.  What still
 * runs at leaving engines does not hold it up. */
static void complete_at(struct fleet *f, size_t instance)
{
	static const char body[] = "{\"model\":\"" FLEET_MODEL
				   "\",\"prompt\":\"short\","
				   "\"max_tokens\":5}";
	static const struct httpc_header headers[] = {
		{ "authorization", "Bearer key-org-1" },
		{ "content-type", "application/json" },
		{ "x-deadline-ms", "2000" }, /* less than the running need */
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = f->instances[instance].entry,
		.path = "/v1/completions",
		.headers = headers,
		.n_headers = sizeof(headers) / sizeof(headers[0]),
		.body = body,
		.body_len = sizeof(body) - 1,
	};
	struct answer a;

	harness_request(f->harness, &r, &a);
	if (a.status != 200)
		fail_msg("instance %zu: status %d: %s", instance, a.status,
			 a.body ? a.body : "");
	answer_release(&a);
}

/* The first engines get no new work from the first instances. */
static void check_no_new_work(struct fleet *f, const char *when,
			      size_t n_engines, size_t n_instances)
{
	double before[ENGINES];
	double after;
	size_t i;

	for (i = 0; i < n_engines; i++)
		before[i] = starts_at(f, i);
	for (i = 0; i < CHECKS; i++)
		complete_at(f, i % n_instances);
	for (i = 0; i < n_engines; i++) {
		after = starts_at(f, i);
		if (after != before[i])
			fail_msg("%s: %s is leaving and got %.0f requests",
				 when, f->engines[i].name, after - before[i]);
	}
}

/* By an operator's drain, by the configuration and by the list that lags, while
 * one instance hears of it all from the others only; what runs is not cut. */
static void test_every_way(void **state)
{
	struct harness *h = harness_new();
	struct fleet *f = harness_fleet(h, &options);
	struct group running = { .n_done = 0 };

	(void)state;
	fleet_set_faults(f, f->instances[CUT].platform, "{\"mode\":\"cut\"}");
	start_callers(f, &running, 1000);
	harness_until(h, all_engines_run, f, "every engine runs something");
	list_leaving(f, 2);
	drain(f, "engine-1");
	configure_leaving(f, "engine-2");
	harness_run(h, LIST_LAG_MS + DRAIN_PROPAGATION_MS);
	check_no_new_work(f, "in every way", 3, INSTANCES);
	wait_whole(f, &running);
	harness_free(h);
	fleet_free(f);
}

static void fault_gossip(struct fleet *f, const char *mode)
{
	size_t i;

	for (i = 0; i < INSTANCES; i++)
		fleet_set_faults(f, f->instances[i].advertised, "{\"mode\":\"%s\"}",
			    mode);
	fleet_set_faults(f, f->instances[CUT].platform, "{\"mode\":\"%s\"}", mode);
}

/* Where instances hear nothing of each other, those that reach the platform
 * keep the bound by themselves.  The one that reaches nobody serves on, and
 * keeps the bound from the end of its cut. */
static void test_cut_off(void **state)
{
	struct harness *h = harness_new();
	struct fleet *f = harness_fleet(h, &options);
	size_t i;

	(void)state;
	fault_gossip(f, "cut");
	drain(f, "engine-1");
	harness_run(h, DRAIN_PROPAGATION_MS);
	check_no_new_work(f, "while cut", 1, CUT);
	for (i = 0; i < CHECKS; i++)
		complete_at(f, CUT);
	fault_gossip(f, "pass");
	harness_run(h, DRAIN_PROPAGATION_MS);
	check_no_new_work(f, "after the cut", 1, INSTANCES);
	harness_free(h);
	fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_every_way),
		cmocka_unit_test(test_cut_off),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
