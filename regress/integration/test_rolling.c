/* Planned restarts break no request: every instance and every engine is
 * restarted in turn under load with long generations. */
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

#define N_INSTANCES 2
#define N_ENGINES 2
#define N_CALLERS 40
#define MAX_TOKENS 250
#define TOKEN_MS "10"

static struct fleet *fleet;
static struct caller *callers[N_CALLERS];
static unsigned asked; /* requests sent */
static unsigned complete; /* complete answers */
static unsigned handed_over;
static unsigned redirected; /* refused by a leaving instance */
static bool closing; /* send no new requests */
static bool starting[N_INSTANCES]; /* accepts no callers yet */

static int set_up_all(void **state)
{
	static const struct fleet_options options = {
		.n_instances = N_INSTANCES,
		.n_zones = 2,
		.n_engines = N_ENGINES,
		.n_organisations = 2,
		.slots = 64,
		.engine_args = { "--token-ms=" TOKEN_MS, "--load-lag-ms=50" },
		.entryd_settings = "handover_ms = 1000\n",
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

/* Returns the entry address of the first serving instance from the i-th on. */
static const char *serving_entry(size_t i)
{
	size_t k;

	for (k = i; k < i + N_INSTANCES; k++) {
		struct fleet_instance *in = &fleet->instances[k % N_INSTANCES];

		if (!starting[k % N_INSTANCES] && proc_running(in->entryd))
			return in->entry;
	}
	fail_msg("no instance serves");
	return NULL;
}

/* Starts the next request of a caller. */
static void ask(size_t i)
{
	char prompt[64];

	snprintf(prompt, sizeof(prompt), "guide %u of caller %zu", asked, i);
	callers[i] = caller_open(fleet->harness, serving_entry(asked), "org-1",
				 prompt, MAX_TOKENS);
	asked++;
}

/* Handles the end of an answer: it is complete, or handed over, or was refused
 * by a leaving instance before anything ran. */
static void handle_end(size_t i)
{
	struct caller *c = callers[i];
	const char *run = json_string_value(json_object_get(c->problem, "run"));

	if (c->done) {
		caller_expect_complete(c, "rolling");
		assert_int_equal(c->restarts, 0);
		complete++;
		caller_close(c);
		callers[i] = NULL;
		return;
	}
	if (c->handovers)
		handed_over++;
	else if (stream_status(c->stream) == 503 && run &&
		 strcmp(json_string_value(json_object_get(c->problem, "title")),
			"leaving") == 0)
		redirected++;
	else if (stream_status(c->stream) != 0)
		caller_expect_complete(c, "a request was broken");
	c->handovers = 0;
	caller_resume(c, serving_entry(i), false);
}

/* Handles ended answers and keeps a request open for each caller. */
static void poll_callers(void)
{
	size_t i;

	for (i = 0; i < N_CALLERS; i++) {
		if (callers[i] && caller_ended(callers[i]))
			handle_end(i);
		if (!callers[i] && !closing)
			ask(i);
	}
}

/* Tells whether a process has ended; keeps the callers running. */
static bool has_ended(void *arg)
{
	poll_callers();
	return !proc_running(arg);
}

/* Tells whether as many answers are complete. */
static bool has_complete(void *arg)
{
	poll_callers();
	return complete >= *(unsigned *)arg;
}

static void wait_complete(unsigned more)
{
	unsigned wanted = complete + more;

	harness_until(fleet->harness, has_complete, &wanted,
		      "answers complete");
}

/* Tells whether an instance has a configuration; keeps the callers running. */
static bool is_serving(void *arg)
{
	poll_callers();
	return harness_counter(fleet->harness, arg,
			       "cdmentryd_config_version") > 0;
}

/* Both processes of every instance stop gracefully with exit status 0 and are
 * restarted. */
static void every_instance(void **state)
{
	size_t i;

	(void)state;
	wait_complete(1);
	for (i = 0; i < N_INSTANCES; i++) {
		struct fleet_instance *in = &fleet->instances[i];

		proc_signal(in->entryd, SIGTERM);
		harness_until(fleet->harness, has_ended, in->entryd,
			      "an entry process stops");
		assert_int_equal(in->entryd->exit_code, 0);
		proc_signal(in->fleetd, SIGTERM);
		harness_until(fleet->harness, has_ended, in->fleetd,
			      "a control process stops");
		assert_int_equal(in->fleetd->exit_code, 0);
		starting[i] = true;
		fleet_start_fleetd(fleet, i);
		fleet_start_entryd(fleet, i);
		harness_until(fleet->harness, is_serving,
			      (void *)(uintptr_t)in->entry_operator,
			      "an instance serves again");
		starting[i] = false;
	}
	wait_complete(N_CALLERS);
}

/* Tells whether a drained engine has no streams. */
static bool is_idle(void *arg)
{
	struct fleet_endpoint *e = arg;

	poll_callers();
	return harness_counter(fleet->harness, e->control,
			       "engine_running_streams") == 0;
}

/* The state of an engine that every instance has to report. */
struct engine_state {
	const struct fleet_endpoint *engine;
	bool leaving; /* else up and not leaving */
};

/* Tells whether an instance reports this state. */
static bool reports_state(const struct fleet_instance *in,
			  const struct engine_state *s)
{
	json_t *all = harness_get(fleet->harness, in->entry_operator,
				  "/v1/endpoints");
	json_t *list = json_object_get(all, "endpoints");
	json_t *item;
	bool found = false;
	size_t i;

	json_array_foreach(list, i, item)
	{
		const char *name =
			json_string_value(json_object_get(item, "name"));
		bool leaving = json_is_true(json_object_get(item, "leaving"));
		bool up = json_is_true(json_object_get(item, "up"));

		if (strcmp(name, s->engine->name) == 0)
			found = s->leaving ? leaving : up && !leaving;
	}
	json_decref(all);
	return found;
}

static bool all_report_state(void *arg)
{
	size_t i;

	poll_callers();
	for (i = 0; i < N_INSTANCES; i++)
		if (!reports_state(&fleet->instances[i], arg))
			return false;
	return true;
}

static void wait_reported(const struct fleet_endpoint *e, bool leaving)
{
	struct engine_state s = { e, leaving };

	harness_until(fleet->harness, all_report_state, &s,
		      leaving ? "all instances report an engine as leaving"
			      : "all instances use an engine again");
}

/* Sets or clears the leaving mark of an engine in the platform's list. */
static void list_engine(const struct fleet_endpoint *e, bool leaving)
{
	harness_control(fleet->harness, fleet->platform,
			"{\"instance\":{\"name\":\"%s\",\"zone\":\"%s\","
			"\"kind\":\"endpoint\",\"address\":\"%s\","
			"\"leaving\":%s}}",
			e->name, e->zone, e->advertised,
			leaving ? "true" : "false");
}

/* Runs a command of cdmctl on an engine. */
static void run_cdmctl(const char *command, const struct fleet_endpoint *e)
{
	struct proc *p = HARNESS_START(fleet->harness, "cdmctl", "cdmctl", "-s",
				       fleet->instances[0].operator_address,
				       command, "endpoint", e->name);

	harness_until(fleet->harness, has_ended, p, "cdmctl ends");
	assert_int_equal(p->exit_code, 0);
}

/* Every engine is drained, by the operator or through the platform's list,
 * killed when it has no streams, and restarted. */
static void every_engine(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < N_ENGINES; i++) {
		struct fleet_endpoint *e = &fleet->engines[i];
		bool by_list = i % 2;

		if (by_list)
			list_engine(e, true);
		else
			run_cdmctl("drain", e);
		wait_reported(e, true);
		harness_until(fleet->harness, is_idle, e,
			      "a leaving engine has no streams");
		proc_kill(e->proc);
		fleet_start_endpoint(fleet, e);
		if (by_list)
			list_engine(e, false);
		else
			run_cdmctl("undrain", e);
		wait_reported(e, false);
	}
	wait_complete(N_CALLERS);
}

/* Every request has got a complete answer. */
static void every_answer_is_complete(void **state)
{
	unsigned n_open;
	size_t i;

	(void)state;
	closing = true;
	n_open = 0;
	for (i = 0; i < N_CALLERS; i++)
		n_open += callers[i] != NULL;
	wait_complete(n_open);
	assert_int_equal(complete, asked);
	print_message("%u answers complete of %u requests; %u handed over, %u "
		      "redirected\n",
		      complete, asked, handed_over, redirected);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_instance),
		cmocka_unit_test(every_engine),
		cmocka_unit_test(every_answer_is_complete),
	};

	return cmocka_run_group_tests(tests, set_up_all, tear_down_all);
}
