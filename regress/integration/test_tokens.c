/* No token of an answer is missing or repeated when engines, links or instances
 * fail during it. */
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

#define MAX_TOKENS 160
#define STEPS_MAX 3
#define N_ENGINES 8
#define ENGINES_UP_MIN 5 /* before the next case; others may still start */

enum fault {
	NO_FAULT,
	ENGINE_KILL,
	ENGINE_RESET, /* resets its connections and keeps running */
	ENGINE_HANG, /* until the end of the case */
	ENGINE_PAUSE, /* continues while another engine has the generation */
	ENGINE_PAUSE_UNTIL_RESUME, /* until the second attempt starts */
	ENGINE_STOP, /* SIGSTOP, and SIGCONT at the end of the case */
	ENGINE_MUTE, /* generates, but sends nothing */
	ENGINE_KILL_TWICE, /* and the next engine, before its first token */
	ENGINE_HANG_TWICE,
	LINK_FREEZE,
	LINK_CUT,
	LINK_DROP_DOWN,
	ENTRY_KILL, /* the caller resumes at the other instance */
	ENTRY_KILL_WITH_TEXT, /* and sends the text that it has received */
	ENTRY_STOPPED, /* SIGSTOP: the old instance does not notice the move */
	BOTH_KILL,
	BOTH_KILL_WITH_TEXT,
	ENTRY_KILL_ENGINE_HANG_WITH_TEXT,
};

/* A fault that is injected after `at` tokens. */
struct step {
	uint32_t at;
	enum fault fault;
};

struct fault_case {
	const char *name;
	struct step steps[STEPS_MAX];
	unsigned restarts; /* that must be announced to the caller */
};

struct case_state {
	struct caller *c;
	size_t entry; /* index of the instance that serves the caller */
};

static struct fleet *fleet;

static const struct fault_case cases[] = {
	{ "nothing", { { 0, NO_FAULT } }, 0 },
	{ "engine killed", { { 30, ENGINE_KILL } }, 0 },
	{ "engine killed at the first token", { { 1, ENGINE_KILL } }, 0 },
	{ "engine killed at the last token", { { 159, ENGINE_KILL } }, 0 },
	{ "engine reset", { { 30, ENGINE_RESET } }, 0 },
	{ "engine hung", { { 30, ENGINE_HANG } }, 0 },
	{ "engine paused and woken", { { 30, ENGINE_PAUSE } }, 0 },
	{ "engine paused for a moment",
	  { { 30, ENGINE_PAUSE_UNTIL_RESUME } },
	  0 },
	{ "engine stopped", { { 30, ENGINE_STOP } }, 0 },
	{ "engine muted", { { 30, ENGINE_MUTE } }, 0 },
	{ "killed again during the resume", { { 30, ENGINE_KILL_TWICE } }, 0 },
	{ "hung, and the next one too", { { 30, ENGINE_HANG_TWICE } }, 0 },
	{ "killed twice", { { 30, ENGINE_KILL }, { 90, ENGINE_KILL } }, 0 },
	{ "hung, then killed",
	  { { 30, ENGINE_HANG }, { 90, ENGINE_KILL } },
	  0 },
	{ "reset three times",
	  { { 30, ENGINE_RESET }, { 60, ENGINE_RESET }, { 90, ENGINE_RESET } },
	  0 },
	{ "link frozen", { { 30, LINK_FREEZE } }, 0 },
	{ "link cut", { { 30, LINK_CUT } }, 0 },
	{ "link silent downwards", { { 30, LINK_DROP_DOWN } }, 0 },
	{ "entry killed", { { 30, ENTRY_KILL } }, 0 },
	{ "entry killed, text sent", { { 30, ENTRY_KILL_WITH_TEXT } }, 0 },
	{ "entry stopped", { { 30, ENTRY_STOPPED } }, 0 },
	{ "entry killed, then engine",
	  { { 30, ENTRY_KILL }, { 90, ENGINE_KILL } },
	  0 },
	{ "engine killed, then entry",
	  { { 30, ENGINE_KILL }, { 90, ENTRY_KILL } },
	  0 },
	{ "engine killed, then entry, text sent",
	  { { 30, ENGINE_KILL }, { 90, ENTRY_KILL_WITH_TEXT } },
	  0 },
	{ "entry killed twice", { { 30, ENTRY_KILL }, { 90, ENTRY_KILL } }, 0 },
	{ "both killed, text sent", { { 30, BOTH_KILL_WITH_TEXT } }, 0 },
	{ "both killed, no text", { { 30, BOTH_KILL } }, 1 },
	{ "entry killed, engine hung, text sent",
	  { { 30, ENTRY_KILL_ENGINE_HANG_WITH_TEXT } },
	  0 },
};

static int set_up_all(void **state)
{
	static const struct fleet_options options = {
		.n_instances = 2,
		.n_zones = 2,
		.n_engines = N_ENGINES,
		.n_organisations = 1,
		.faults = true,
		.engine_args = { "--token-ms=4", "--load-lag-ms=50" },
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

/* Sends control settings to an engine, if it is running. */
static void engine_set(struct fleet_endpoint *e, const char *settings)
{
	if (proc_running(e->proc))
		harness_control(fleet->harness, e->control, "%s", settings);
}

/* Sends control settings to every running engine but one. */
static void others_set(const struct fleet_endpoint *one, const char *settings)
{
	size_t i;

	for (i = 0; i < fleet->options.n_engines; i++)
		if (&fleet->engines[i] != one)
			engine_set(&fleet->engines[i], settings);
}

/* The search for the engine that resumes a generation. */
struct resumed {
	struct case_state *state;
	struct fleet_endpoint *first; /* sent the last token */
	struct fleet_endpoint *next; /* runs the prompt now, or NULL */
};

static bool is_resumed(void *arg)
{
	struct resumed *r = arg;
	size_t i;

	for (i = 0; i < fleet->options.n_engines; i++) {
		struct fleet_endpoint *e = &fleet->engines[i];
		json_t *all;

		if (e == r->first || !proc_running(e->proc))
			continue;
		all = harness_get(fleet->harness, e->control, "/v1/runs");
		if (json_object_get(json_object_get(all, "runs"),
				    r->state->c->prompt))
			r->next = e;
		json_decref(all);
	}
	return r->next != NULL;
}

/* Waits until another engine runs the generation, and returns that engine.  The
 * other engines must be muted. */
static struct fleet_endpoint *wait_resumed(struct case_state *s,
					   struct fleet_endpoint *first)
{
	struct resumed r = { s, first, NULL };

	harness_until(fleet->harness, is_resumed, &r,
		      "the generation goes to another engine");
	return r.next;
}

/* Kills an engine, and the next engine before it sends a token. */
static void kill_twice(struct case_state *s, struct fleet_endpoint *e)
{
	struct fleet_endpoint *next;

	others_set(e, "{\"mute\":true}");
	proc_kill(e->proc);
	next = wait_resumed(s, e);
	proc_kill(next->proc);
	others_set(e, "{\"mute\":false}");
}

/* Makes both attempts send tokens: the first engine continues once the second
 * one has received the request. */
static void pause_until_resume(struct case_state *s, struct fleet_endpoint *e)
{
	others_set(e, "{\"mute\":true}");
	engine_set(e, "{\"mute\":true}");
	wait_resumed(s, e);
	others_set(e, "{\"mute\":false}");
	engine_set(e, "{\"mute\":false}");
}

/* Hangs the engine and the next one that receives the request. */
static void hang_twice(struct case_state *s, struct fleet_endpoint *e)
{
	struct fleet_endpoint *next;

	others_set(e, "{\"mute\":true}");
	engine_set(e, "{\"hang\":true}");
	next = wait_resumed(s, e);
	engine_set(next, "{\"hang\":true}");
	others_set(e, "{\"mute\":false}");
}

/* Sends a signal to the caller's instance and resumes at the other one. */
static void change_entry(struct case_state *s, int signum, bool with_text)
{
	proc_signal(fleet->instances[s->entry].entryd, signum);
	s->entry = 1 - s->entry;
	caller_resume(s->c, fleet->instances[s->entry].entry_advertised,
		      with_text);
}

/* Continues or restarts an instance, so that the other one can fail next. */
static void restart_entry(size_t i)
{
	struct fleet_instance *in = &fleet->instances[i];

	proc_signal(in->entryd, SIGCONT);
	if (proc_running(in->entryd))
		return;
	fleet_start_entryd(fleet, i);
	fleet_wait_serving(fleet, i);
}

/* Injects one fault. */
static void inject_fault(struct case_state *s, enum fault fault)
{
	struct fleet_endpoint *e = caller_last_engine(s->c, fleet);

	switch (fault) {
	case NO_FAULT:
		return;
	case ENGINE_KILL:
		proc_kill(e->proc);
		return;
	case ENGINE_RESET:
		engine_set(e, "{\"reset\":true}");
		return;
	case ENGINE_HANG:
		engine_set(e, "{\"hang\":true}");
		return;
	case ENGINE_PAUSE:
		engine_set(e, "{\"pause_ms\":700}");
		return;
	case ENGINE_PAUSE_UNTIL_RESUME:
		pause_until_resume(s, e);
		return;
	case ENGINE_STOP:
		proc_signal(e->proc, SIGSTOP);
		return;
	case ENGINE_MUTE:
		engine_set(e, "{\"mute\":true}");
		return;
	case ENGINE_KILL_TWICE:
		kill_twice(s, e);
		return;
	case ENGINE_HANG_TWICE:
		hang_twice(s, e);
		return;
	case LINK_FREEZE:
		fleet_set_faults(fleet, e->advertised, "{\"mode\":\"freeze\"}");
		return;
	case LINK_CUT:
		fleet_set_faults(fleet, e->advertised, "{\"mode\":\"cut\"}");
		return;
	case LINK_DROP_DOWN:
		fleet_set_faults(fleet, e->advertised,
				 "{\"mode\":\"drop-down\"}");
		return;
	case ENTRY_KILL:
	case ENTRY_KILL_WITH_TEXT:
		change_entry(s, SIGKILL, fault == ENTRY_KILL_WITH_TEXT);
		return;
	case ENTRY_STOPPED:
		change_entry(s, SIGSTOP, false);
		return;
	case BOTH_KILL:
	case BOTH_KILL_WITH_TEXT:
		proc_kill(e->proc);
		change_entry(s, SIGKILL, fault == BOTH_KILL_WITH_TEXT);
		return;
	case ENTRY_KILL_ENGINE_HANG_WITH_TEXT:
		engine_set(e, "{\"hang\":true}");
		change_entry(s, SIGKILL, true);
		return;
	}
}

/* Returns whether an instance reports at least ENGINES_UP_MIN engines as up. */
static bool sees_enough_up(void *arg)
{
	const char *address = arg;
	json_t *all = harness_get(fleet->harness, address, "/v1/endpoints");
	json_t *list = json_object_get(all, "endpoints");
	json_t *item;
	size_t up = 0;
	size_t i;

	json_array_foreach(list, i, item)
		up += json_is_true(json_object_get(item, "up"));
	json_decref(all);
	return up >= ENGINES_UP_MIN;
}

/* Clears all faults and waits until enough engines are up again. */
static void clear_faults(void)
{
	size_t i;

	fleet_set_faults(fleet, "*", "{\"mode\":\"pass\"}");
	for (i = 0; i < fleet->options.n_engines; i++) {
		struct fleet_endpoint *e = &fleet->engines[i];

		proc_signal(e->proc, SIGCONT);
		engine_set(e, "{\"hang\":false,\"mute\":false,"
			      "\"pause_ms\":0}");
		if (!proc_running(e->proc))
			fleet_start_endpoint(fleet, e);
	}
	for (i = 0; i < fleet->options.n_instances; i++)
		restart_entry(i);
	for (i = 0; i < fleet->options.n_instances; i++)
		harness_until(
			fleet->harness, sees_enough_up,
			(void *)(uintptr_t)fleet->instances[i].entry_operator,
			"an instance sees enough engines");
}

/* Runs one case. */
static void run_case(const struct fault_case *fc, unsigned number)
{
	struct case_state s = { .entry = number % 2 };
	char prompt[128];
	size_t i;

	snprintf(prompt, sizeof(prompt), "note %u: %s", number, fc->name);
	s.c = caller_open(fleet->harness,
			  fleet->instances[s.entry].entry_advertised, "org-1",
			  prompt, MAX_TOKENS);
	for (i = 0; i < STEPS_MAX && fc->steps[i].fault != NO_FAULT; i++) {
		caller_wait_tokens(s.c, fc->steps[i].at);
		if (i)
			restart_entry(1 - s.entry);
		inject_fault(&s, fc->steps[i].fault);
	}
	caller_wait_end(s.c);
	caller_expect_complete(s.c, fc->name);
	if (s.c->restarts != fc->restarts)
		fail_msg("%s: %u restarts announced, %u expected", fc->name,
			 s.c->restarts, fc->restarts);
	print_message("%-42s longest gap %4.0f ms\n", fc->name,
		      s.c->gap_max_ms);
	caller_close(s.c);
	clear_faults();
}

static void no_token_is_missing_or_repeated(void **state)
{
	const char *only = getenv("CASE");
	unsigned i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		if (!only || strstr(cases[i].name, only))
			run_case(&cases[i], i);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(no_token_is_missing_or_repeated),
	};

	return cmocka_run_group_tests(tests, set_up_all, tear_down_all);
}
