/* End-to-end test: a fleet of real processes, callers that check their answers,
 * and faults of engines, links and instances during the answers. */
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
#include "regress/harness_fleet.h"

#define CALLERS 12

struct group {
	struct harness *h;
	struct caller *callers[CALLERS];
	struct caller_result results[CALLERS];
	char prompts[CALLERS][64];
	size_t n_done;
	uint64_t wanted; /* tokens that each caller must receive */
};

/* The argument of a caller's callback: where its result is stored. */
struct result_slot {
	struct group *group;
	size_t index;
};

static struct result_slot result_slots[CALLERS];

static void on_done(void *arg, const struct caller_result *r)
{
	struct result_slot *p = arg;

	p->group->results[p->index] = *r;
	p->group->callers[p->index] = NULL;
	p->group->n_done++;
}

static const struct caller_ops ops = { .on_done = on_done };

static void start_callers(struct group *g, struct fleet *f, uint64_t tokens)
{
	static const char *addresses[FLEET_INSTANCES_MAX];
	size_t i;

	for (i = 0; i < f->options.n_instances; i++)
		addresses[i] = f->instances[i].entry_advertised;
	for (i = 0; i < CALLERS; i++) {
		const struct caller_options o = {
			.key = "key-org-1",
			.model = FLEET_MODEL,
			.prompt = g->prompts[i],
			.max_tokens = tokens,
			.addresses = addresses,
			.n_addresses = f->options.n_instances,
			.first_address = i,
			.reconnects_max = 20,
		};

		snprintf(g->prompts[i], sizeof(g->prompts[i]), "prompt %zu", i);
		result_slots[i] = (struct result_slot){ g, i };
		g->callers[i] = caller_start(harness_loop(f->harness),
					     harness_client(f->harness), &o,
					     &ops, &result_slots[i]);
	}
}

static bool all_done(void *arg)
{
	return ((struct group *)arg)->n_done == CALLERS;
}

static bool all_have_tokens(void *arg)
{
	struct group *g = arg;
	size_t i;

	for (i = 0; i < CALLERS; i++)
		if (g->callers[i] &&
		    caller_progress(g->callers[i])->tokens < g->wanted)
			return false;
	return true;
}

/* Checks that every answer is complete after a fault while all answers are in
 * progress. */
static void test_answers_stay_whole(void **state)
{
	static const struct {
		const char *name;
		const char *engine; /* control of the first engine, or NULL */
		const char *fault; /* of its link, or NULL */
		bool kill_entry; /* the first instance's cdmentryd */
		bool stop_entry;
	} cases[] = {
		{ .name = "nothing" },
		{ .name = "engine dies", .engine = "{\"die\":true}" },
		{ .name = "engine resets", .engine = "{\"reset\":true}" },
		{ .name = "engine hangs", .engine = "{\"hang\":true}" },
		{ .name = "engine pauses", .engine = "{\"pause_ms\":2500}" },
		{ .name = "link freezes", .fault = "{\"mode\":\"freeze\"}" },
		{ .name = "link is cut", .fault = "{\"mode\":\"cut\"}" },
		{ .name = "entry is killed", .kill_entry = true },
		{ .name = "entry stops", .stop_entry = true },
	};
	static const struct fleet_options options = {
		.n_instances = 3,
		.n_zones = 2,
		.n_engines = 3,
		.n_organisations = 1,
		.faults = true,
		.slots = 16,
		.engine_args = { "--token-ms=10" },
	};
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct harness *h = harness_new();
		struct fleet *f = harness_fleet(h, &options);
		struct group g = { .h = h, .wanted = 20 };

		start_callers(&g, f, 150);
		harness_until(h, all_have_tokens, &g, "tokens flow");
		if (cases[i].engine)
			harness_control(h, f->engines[0].control, "%s",
					cases[i].engine);
		if (cases[i].fault)
			fleet_set_faults(f, f->engines[0].advertised, "%s",
					 cases[i].fault);
		if (cases[i].kill_entry)
			proc_kill(f->instances[0].entryd);
		if (cases[i].stop_entry)
			proc_signal(f->instances[0].entryd, 15);
		harness_until(h, all_done, &g, "all answers end");
		for (k = 0; k < CALLERS; k++) {
			const struct caller_result *r = &g.results[k];

			if (r->outcome != CALLER_SUCCESS || r->tokens != 150)
				fail_msg("%s: caller %zu: %s, %s, %llu tokens, "
					 "status %d %s: %s",
					 cases[i].name, k,
					 caller_outcome_name(r->outcome),
					 chain_fault_name(r->fault),
					 (unsigned long long)r->tokens,
					 r->status, r->run, r->detail);
		}
		harness_free(h);
		fleet_free(f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answers_stay_whole),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
