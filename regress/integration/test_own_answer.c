/* Each caller gets its own complete answer: with many callers at once, over
 * reused connections, while an engine is killed and an instance is stopped. */
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "regress/caller.h"

#define N_CALLERS 1000
#define N_INSTANCES 3
#define N_ENGINES 8
#define MAX_TOKENS 40
#define KILL_AT 300 /* completed callers before an engine is killed */
#define STOP_AT 500 /* completed callers before an instance is stopped */
#define LINK_DELAY_MS 40 /* delay of one engine's link */

static struct fleet *fleet;
static struct caller *callers[N_CALLERS];

static int set_up_all(void **state)
{
	static const struct fleet_options options = {
		.n_instances = N_INSTANCES,
		.n_zones = 3,
		.n_engines = N_ENGINES,
		.n_organisations = 3,
		.faults = true,
		.slots = 200,
		.engine_args = { "--token-ms=50", "--load-lag-ms=50",
				 "--prefill-tokens-per-s=200000" },
	};

	(void)state;
	fleet = harness_fleet(harness_new(), &options);
	return 0;
}

static int tear_down_all(void **state)
{
	struct harness *h = fleet->harness;

	(void)state;
	fleet_free(fleet);
	harness_free(h);
	return 0;
}

/* The number of callers with a complete answer. */
struct progress {
	size_t done;
	size_t wanted;
};

/* Reads the events received.  A caller that was handed over, or refused by a
 * draining instance, resumes at another instance. */
static void advance_caller(struct caller *c, size_t i)
{
	caller_read_events(c);
	if (c->done || !stream_ended(c->stream))
		return;
	if (!c->problem && !c->handovers)
		fail_msg("caller %zu: cut at token %u, status %d, %s", i,
			 c->tokens, stream_status(c->stream),
			 httpc_outcome_name(stream_outcome(c->stream)));
	c->handovers = 0;
	caller_resume(c,
		      fleet->instances[i % (N_INSTANCES - 1)].entry_advertised,
		      true);
}

/* Returns whether the wanted number of callers have complete answers. */
static bool enough_done(void *arg)
{
	struct progress *p = arg;
	size_t i;

	p->done = 0;
	for (i = 0; i < N_CALLERS; i++) {
		advance_caller(callers[i], i);
		p->done += callers[i]->done;
	}
	return p->done >= p->wanted;
}

/* Runs the callers until n of them have complete answers. */
static void wait_done(size_t n)
{
	struct progress p = { .wanted = n };

	harness_until(fleet->harness, enough_done, &p,
		      "enough callers have their answers");
}

/* Starts all callers.  Every tenth prompt equals the next caller's, and the
 * lengths differ so that answers end in another order than they start. */
static void start_callers(void)
{
	char prompt[64];
	char org[16];
	size_t i;

	for (i = 0; i < N_CALLERS; i++) {
		snprintf(prompt, sizeof(prompt), "caller %zu",
			 i % 10 ? i : i + 1);
		snprintf(org, sizeof(org), "org-%zu", i % 3 + 1);
		callers[i] = caller_open(
			fleet->harness,
			fleet->instances[i % N_INSTANCES].entry_advertised, org,
			prompt, MAX_TOKENS / 2 + (uint32_t)(i % 7) * 10);
	}
}

static void thousand_callers(void **state)
{
	size_t i;

	(void)state;
	start_callers();
	fleet_set_faults(fleet, fleet->engines[1].advertised,
			 "{\"delay_ms\":%d}", LINK_DELAY_MS);
	wait_done(KILL_AT);
	proc_kill(fleet->engines[0].proc);
	wait_done(STOP_AT);
	proc_signal(fleet->instances[N_INSTANCES - 1].entryd, SIGTERM);
	wait_done(N_CALLERS);
	for (i = 0; i < N_CALLERS; i++) {
		caller_expect_complete(callers[i], "one of a thousand");
		assert_int_equal(callers[i]->restarts, 0);
		caller_close(callers[i]);
	}
	assert_int_equal(proc_wait(fleet->instances[N_INSTANCES - 1].entryd),
			 0);
}

/* Requests answers that are not streamed, one after another, with one client,
 * which keeps its connections open. */
static void reused_connections(void **state)
{
	char *body;
	size_t i;

	(void)state;
	for (i = 0; i < 50; i++) {
		const struct httpc_header headers[] = {
			{ "authorization", "Bearer key-org-1" },
			{ "content-type", "application/json" },
		};
		struct httpc_request r = {
			.method = "POST",
			.address = fleet->instances[i % 2].entry_advertised,
			.path = "/v1/completions",
			.headers = headers,
			.n_headers = 2,
		};
		struct answer a;
		struct chain chain;
		const char *text;
		char prompt[32];

		snprintf(prompt, sizeof(prompt), "whole %zu", i);
		body = xasprintf("{\"model\":\"" FLEET_MODEL "\",\"prompt\":"
				 "\"%s\",\"max_tokens\":3}",
				 prompt);
		r.body = body;
		r.body_len = strlen(body);
		harness_request(fleet->harness, &r, &a);
		assert_int_equal(a.status, 200);
		text = json_string_value(json_object_get(
			json_array_get(json_object_get(a.json, "choices"), 0),
			"text"));
		chain_start(&chain, prompt, strlen(prompt));
		chain_check(&chain, text, strlen(text));
		assert_int_equal(chain_finish(&chain), CHAIN_GOOD);
		assert_int_equal(chain.position, 3);
		answer_release(&a);
		free(body);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(thousand_callers),
		cmocka_unit_test(reused_connections),
	};

	return cmocka_run_group_tests(tests, set_up_all, tear_down_all);
}
