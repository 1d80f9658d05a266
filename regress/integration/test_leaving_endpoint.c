/* A leaving endpoint gets no new requests after DRAIN_PROPAGATION_MS, whether
 * it leaves by a drain, by the configuration or by the platform's list, and
 * also at an instance that learns of it by gossip only.  An isolated instance
 * continues to serve until it is reachable again. */
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
#define ISOLATED 2 /* index of the instance that cannot reach the platform */
#define ENGINES 4
#define CALLERS 24
#define CHECKS 18
#define LIST_LAG_MS 1000

struct group {
	struct caller_result results[CALLERS];
	size_t n_done;
};

struct caller_slot {
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

static struct caller_slot caller_slots[CALLERS];

static void on_done(void *arg, const struct caller_result *r)
{
	struct caller_slot *p = arg;

	p->group->results[p->index] = *r;
	p->group->n_done++;
}

static const struct caller_ops ops = { .on_done = on_done };

/* Starts callers, distributed over the instances. */
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
		caller_slots[i] = (struct caller_slot){ g, i };
		caller_start(harness_loop(f->harness),
			     harness_client(f->harness), &o, &ops,
			     &caller_slots[i]);
	}
}

static bool all_done(void *arg)
{
	struct group *g = arg;

	return g->n_done == CALLERS;
}

static void expect_all_complete(struct fleet *f, struct group *g)
{
	size_t i;

	harness_until(f->harness, all_done, g, "all responses end");
	for (i = 0; i < CALLERS; i++)
		if (g->results[i].outcome != CALLER_SUCCESS)
			fail_msg("caller %zu: %s: %s", i,
				 caller_outcome_name(g->results[i].outcome),
				 g->results[i].detail);
}

static double runs_started(struct fleet *f, size_t engine)
{
	return harness_counter(f->harness, f->engines[engine].control,
			       "engine_runs_total");
}

/* Returns whether every engine has started a run. */
static bool all_engines_started(void *arg)
{
	struct fleet *f = arg;
	size_t i;

	for (i = 0; i < ENGINES; i++)
		if (runs_started(f, i) < 1)
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

/* Applies a configuration file in which an engine is leaving. */
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

/* Checks that this instance itself serves a completion.  Runs at leaving
 * engines must not delay it. */
static void expect_completion(struct fleet *f, size_t instance)
{
	static const char body[] = "{\"model\":\"" FLEET_MODEL
				   "\",\"prompt\":\"short\","
				   "\"max_tokens\":5}";
	static const struct httpc_header headers[] = {
		{ "authorization", "Bearer key-org-1" },
		{ "content-type", "application/json" },
		{ "x-deadline-ms", "2000" }, /* shorter than current runs */
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

/* Checks that the first engines get no requests from the first instances. */
static void check_no_new_work(struct fleet *f, const char *when,
			      size_t n_engines, size_t n_instances)
{
	double before[ENGINES];
	double after;
	size_t i;

	for (i = 0; i < n_engines; i++)
		before[i] = runs_started(f, i);
	for (i = 0; i < CHECKS; i++)
		expect_completion(f, i % n_instances);
	for (i = 0; i < n_engines; i++) {
		after = runs_started(f, i);
		if (after != before[i])
			fail_msg("%s: leaving %s received %.0f requests", when,
				 f->engines[i].name, after - before[i]);
	}
}

/* Engines leave by an operator's drain, by the configuration and by the
 * platform's delayed list, while one instance learns of it by gossip only.
 * Current runs are not aborted. */
static void test_all_sources(void **state)
{
	struct harness *h = harness_new();
	struct fleet *f = harness_fleet(h, &options);
	struct group running = { .n_done = 0 };

	(void)state;
	fleet_set_faults(f, f->instances[ISOLATED].platform,
			 "{\"mode\":\"cut\"}");
	start_callers(f, &running, 1000);
	harness_until(h, all_engines_started, f,
		      "every engine has started a run");
	list_leaving(f, 2);
	drain(f, "engine-1");
	configure_leaving(f, "engine-2");
	harness_run(h, LIST_LAG_MS + DRAIN_PROPAGATION_MS);
	check_no_new_work(f, "all sources", 3, INSTANCES);
	expect_all_complete(f, &running);
	harness_free(h);
	fleet_free(f);
}

static void fault_gossip(struct fleet *f, const char *mode)
{
	size_t i;

	for (i = 0; i < INSTANCES; i++)
		fleet_set_faults(f, f->instances[i].advertised,
				 "{\"mode\":\"%s\"}", mode);
	fleet_set_faults(f, f->instances[ISOLATED].platform,
			 "{\"mode\":\"%s\"}", mode);
}

/* Without gossip, the instances that reach the platform keep the time limit
 * themselves.  The isolated one continues to serve and keeps the limit from the
 * time its connections are restored. */
static void test_isolated_instance(void **state)
{
	struct harness *h = harness_new();
	struct fleet *f = harness_fleet(h, &options);
	size_t i;

	(void)state;
	fault_gossip(f, "cut");
	drain(f, "engine-1");
	harness_run(h, DRAIN_PROPAGATION_MS);
	check_no_new_work(f, "while isolated", 1, ISOLATED);
	for (i = 0; i < CHECKS; i++)
		expect_completion(f, ISOLATED);
	fault_gossip(f, "pass");
	harness_run(h, DRAIN_PROPAGATION_MS);
	check_no_new_work(f, "after isolation", 1, INSTANCES);
	harness_free(h);
	fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_sources),
		cmocka_unit_test(test_isolated_instance),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
