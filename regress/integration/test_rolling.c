/* Planned stops cut nothing: every instance and every engine is replaced, one
 * after the other, under load with long generations. */
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
static unsigned asked; /* requests in all */
static unsigned whole; /* answers */
static unsigned handed_over;
static unsigned redirected; /* refused by an instance that leaves */
static bool closing; /* no new requests */
static bool starting[N_INSTANCES]; /* not among the entries yet */

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

/* Returns the entry of an instance that serves, beginning with the i-th. */
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

/* An answer has ended: it is whole, or handed over, or was refused before
 * anything ran by an instance that leaves. */
static void conclude(size_t i)
{
	struct caller *c = callers[i];
	const char *run = json_string_value(json_object_get(c->problem, "run"));

	if (c->done) {
		caller_expect_complete(c, "rolling");
		assert_int_equal(c->restarts, 0);
		whole++;
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
		caller_expect_complete(c, "a request was cut");
	c->handovers = 0;
	caller_resume(c, serving_entry(i), false);
}

/* Keeps all callers busy. */
static void attend(void)
{
	size_t i;

	for (i = 0; i < N_CALLERS; i++) {
		if (callers[i] && caller_ended(callers[i]))
			conclude(i);
		if (!callers[i] && !closing)
			ask(i);
	}
}

/* A process has ended, while the callers go on. */
static bool has_ended(void *arg)
{
	attend();
	return !proc_running(arg);
}

/* So many answers are whole. */
static bool has_whole(void *arg)
{
	attend();
	return whole >= *(unsigned *)arg;
}

static void wait_whole(unsigned more)
{
	unsigned wanted = whole + more;

	harness_until(fleet->harness, has_whole, &wanted, "answers come");
}

/* An instance serves, while the callers go on. */
static bool is_serving(void *arg)
{
	attend();
	return harness_counter(fleet->harness, arg,
			       "cdmentryd_config_version") > 0;
}

/* Every instance stops gracefully with exit status 0, both processes, and is
 * started anew. */
static void every_instance(void **state)
{
	size_t i;

	(void)state;
	wait_whole(1);
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
	wait_whole(N_CALLERS);
}

/* An engine that is to be left has no streams. */
static bool is_idle(void *arg)
{
	struct fleet_endpoint *e = arg;

	attend();
	return harness_counter(fleet->harness, e->control,
			       "engine_running_streams") == 0;
}

/* What every instance has to see of an engine. */
struct sight {
	const struct fleet_endpoint *engine;
	bool leaving; /* else up and in use */
};

/* Tells whether an instance sees it. */
static bool sees(const struct fleet_instance *in, const struct sight *s)
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

static bool all_see(void *arg)
{
	size_t i;

	attend();
	for (i = 0; i < N_INSTANCES; i++)
		if (!sees(&fleet->instances[i], arg))
			return false;
	return true;
}

static void wait_seen(const struct fleet_endpoint *e, bool leaving)
{
	struct sight s = { e, leaving };

	harness_until(fleet->harness, all_see, &s,
		      leaving ? "all instances know that an engine leaves"
			      : "all instances use an engine again");
}

/* Tells the platform's list that an engine is leaving, or has come back. */
static void list_engine(const struct fleet_endpoint *e, bool leaving)
{
	harness_control(fleet->harness, fleet->platform,
			"{\"instance\":{\"name\":\"%s\",\"zone\":\"%s\","
			"\"kind\":\"endpoint\",\"address\":\"%s\","
			"\"leaving\":%s}}",
			e->name, e->zone, e->advertised,
			leaving ? "true" : "false");
}

/* Runs cdmctl for an engine. */
static void order(const char *command, const struct fleet_endpoint *e)
{
	struct proc *p = HARNESS_START(fleet->harness, "cdmctl", "cdmctl", "-s",
				       fleet->instances[0].operator_address,
				       command, "endpoint", e->name);

	harness_until(fleet->harness, has_ended, p, "cdmctl ends");
	assert_int_equal(p->exit_code, 0);
}

/* Every engine is drained, by the operator or through the platform's list,
 * stopped when it has no work, and started anew. */
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
			order("drain", e);
		wait_seen(e, true);
		harness_until(fleet->harness, is_idle, e,
			      "a leaving engine runs out of work");
		proc_kill(e->proc);
		fleet_start_endpoint(fleet, e);
		if (by_list)
			list_engine(e, false);
		else
			order("undrain", e);
		wait_seen(e, false);
	}
	wait_whole(N_CALLERS);
}

/* No request is left over, and none was cut. */
static void none_was_cut(void **state)
{
	unsigned left;
	size_t i;

	(void)state;
	closing = true;
	left = 0;
	for (i = 0; i < N_CALLERS; i++)
		left += callers[i] != NULL;
	wait_whole(left);
	assert_int_equal(whole, asked);
	print_message("%u answers whole of %u asked; %u handed over, %u "
		      "redirected\n",
		      whole, asked, handed_over, redirected);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_instance),
		cmocka_unit_test(every_engine),
		cmocka_unit_test(none_was_cut),
	};

	return cmocka_run_group_tests(tests, set_up_all, tear_down_all);
}
