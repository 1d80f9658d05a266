/* Tokens of two generations of one request are never mixed in one answer. */
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

#define MAX_TOKENS 160
#define HASH_DIGITS 16

static struct fleet *fleet;

static int set_up_all(void **state)
{
	static const struct fleet_options options = {
		.n_instances = 2,
		.n_zones = 2,
		.n_engines = 6,
		.n_organisations = 2,
		.model_timeout_ms = 3000,
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

/* Sends a request to the first instance as org-1. */
static struct caller *open_caller(const char *prompt)
{
	return caller_open(fleet->harness, fleet->instances[0].entry, "org-1",
			   prompt, MAX_TOKENS);
}

static void control_engines(const char *settings)
{
	size_t i;

	for (i = 0; i < fleet->options.n_engines; i++)
		harness_control(fleet->harness, fleet->engines[i].control, "%s",
				settings);
}

static double read_counter(const char *series)
{
	return harness_counter(fleet->harness,
			       fleet->instances[0].entry_operator, series);
}

/* An engine continues its old attempt after a pause, while another engine has
 * the generation. */
static void paused_engine_continues(void **state)
{
	static const int pauses_ms[] = { 240, 300, 400, 500, 600 };
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(pauses_ms) / sizeof(pauses_ms[0]); i++) {
		char prompt[64];
		struct caller *c;

		snprintf(prompt, sizeof(prompt), "woken %zu", i);
		c = open_caller(prompt);
		caller_wait_tokens(c, 20);
		harness_control(fleet->harness,
				caller_last_engine(c, fleet)->control,
				"{\"pause_ms\":%d}", pauses_ms[i]);
		caller_wait_end(c);
		caller_expect_complete(c, "paused engine continues");
		assert_int_equal(c->restarts, 0);
		caller_close(c);
	}
}

/* Returns whether the prompt has run on two engines. */
static bool ran_twice(void *arg)
{
	return fleet_prompt_runs(fleet, arg) >= 2;
}

/* Both attempts of a hedged resume send tokens at the same time. */
static void both_hedged_attempts_answer(void **state)
{
	char prompt[] = "both sides";
	double hedges = read_counter("cdmentryd_hedges");
	struct caller *c;

	(void)state;
	c = open_caller(prompt);
	caller_wait_tokens(c, 20);
	control_engines("{\"mute\":true}");
	harness_until(fleet->harness, ran_twice, prompt,
		      "a second engine runs the generation");
	control_engines("{\"mute\":false}");
	caller_wait_end(c);
	caller_expect_complete(c, "both sides answer");
	assert_int_equal(c->restarts, 0);
	assert_true(read_counter("cdmentryd_hedges") > hedges);
	caller_close(c);
}

/* The same request at two instances gives two answers, each complete. */
static void same_request_twice(void **state)
{
	struct caller *a = open_caller("the same");
	struct caller *b = caller_open(fleet->harness,
				       fleet->instances[1].entry, "org-1",
				       "the same", MAX_TOKENS);

	(void)state;
	caller_wait_end(a);
	caller_wait_end(b);
	caller_expect_complete(a, "first copy");
	caller_expect_complete(b, "second copy");
	assert_string_not_equal(a->id, b->id);
	caller_close(a);
	caller_close(b);
}

/* One cursor is used at two instances: both callers get the complete answer,
 * and no answer contains tokens of another generation. */
static void same_cursor_twice(void **state)
{
	struct caller *a = open_caller("one cursor");
	struct caller *b;

	(void)state;
	caller_wait_tokens(a, 30);
	b = caller_clone(a, fleet->instances[1].entry);
	caller_wait_end(a);
	caller_wait_end(b);
	caller_expect_complete(a, "the first caller");
	caller_expect_complete(b, "the caller that resumed with the cursor");
	caller_close(a);
	caller_close(b);
}

/* The engine is killed and the caller does not send the text: the restart is
 * announced, and one complete generation follows it. */
static void restart_is_announced(void **state)
{
	struct caller *c = open_caller("restart");
	struct fleet_endpoint *e;

	(void)state;
	caller_wait_tokens(c, 40);
	e = caller_last_engine(c, fleet);
	proc_kill(e->proc);
	caller_resume(c, fleet->instances[1].entry, false);
	caller_wait_end(c);
	caller_expect_complete(c, "restart");
	assert_int_equal(c->restarts, 1);
	caller_close(c);
	fleet_start_endpoint(fleet, e);
}

/* A way to alter a cursor, and the expected result. */
struct cursor_case {
	const char *name;
	void (*alter)(struct caller *c);
	const char *org; /* that sends it */
	int status;
	unsigned restarts;
};

static void alter_code(struct caller *c)
{
	char *code = c->id;
	int dots;

	for (dots = 0; dots < 4; dots++)
		code = strchr(code, '.') + 1;
	code[0] = code[0] == '0' ? '1' : '0';
}

static void alter_generation(struct caller *c)
{
	c->id[3] = c->id[3] == '0' ? '1' : '0';
}

static void alter_attempt(struct caller *c)
{
	char *attempt = strchr(c->id, '.') + 1;

	attempt[0] = attempt[0] == '9' ? '8' : '9';
}

static void alter_hash(struct caller *c)
{
	char *end = strrchr(c->id, '.') + 1;

	end[0] = end[0] == '0' ? '1' : '0';
}

/* Replaces the position in a caller's cursor. */
static void set_position(struct caller *c, unsigned long position)
{
	char *hash = strrchr(c->id, '.');
	char *id;
	char *at;

	*hash = '\0';
	at = strrchr(c->id, '.');
	*at = '\0';
	id = xasprintf("%s.%lu.%s", c->id, position, hash + 1);
	free(c->id);
	c->id = id;
}

static void alter_back(struct caller *c)
{
	set_position(c, c->tokens - 11);
}

static void alter_ahead(struct caller *c)
{
	set_position(c, c->tokens + 10);
}

static void alter_far(struct caller *c)
{
	set_position(c, 999999999);
}

static void alter_to_end(struct caller *c)
{
	set_position(c, MAX_TOKENS - 1);
}

static void alter_to_text(struct caller *c)
{
	free(c->id);
	c->id = xstrdup("no cursor of ours");
}

static void alter_nothing(struct caller *c)
{
	(void)c;
}

static const struct cursor_case cursor_cases[] = {
	{ "not altered", alter_nothing, "org-1", 200, 0 },
	{ "code altered", alter_code, "org-1", 200, 1 },
	{ "generation altered", alter_generation, "org-1", 200, 1 },
	{ "attempt altered", alter_attempt, "org-1", 200, 1 },
	{ "hash altered", alter_hash, "org-1", 200, 1 },
	{ "position put back", alter_back, "org-1", 200, 1 },
	{ "position put ahead", alter_ahead, "org-1", 200, 1 },
	{ "position beyond all", alter_far, "org-1", 200, 1 },
	{ "position at the end", alter_to_end, "org-1", 200, 1 },
	{ "of another organisation", alter_nothing, "org-2", 200, 1 },
	{ "not a cursor", alter_to_text, "org-1", 400, 0 },
};

/* Resumes with one altered cursor, with or without the text received. */
static void try_cursor(const struct cursor_case *cc, bool with_text)
{
	char prompt[64];
	struct caller *c;

	snprintf(prompt, sizeof(prompt), "cursor %s %d", cc->name, with_text);
	c = open_caller(prompt);
	caller_wait_tokens(c, 30);
	free(c->org);
	c->org = xstrdup(cc->org);
	cc->alter(c);
	caller_resume(c, fleet->instances[1].entry, with_text);
	caller_wait_end(c);
	assert_int_equal(stream_status(c->stream), cc->status);
	if (cc->status == 200)
		caller_expect_complete(c, cc->name);
	else
		assert_string_equal(
			json_string_value(json_object_get(c->problem, "run")),
			"may-have-run");
	if (c->restarts != cc->restarts)
		fail_msg("%s: %u restarts", cc->name, c->restarts);
	caller_close(c);
}

static void altered_cursors(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cursor_cases) / sizeof(cursor_cases[0]); i++) {
		try_cursor(&cursor_cases[i], false);
		try_cursor(&cursor_cases[i], true);
	}
}

/* A generation is not continued from text that was altered. */
static void altered_text(void **state)
{
	struct caller *c = open_caller("altered text");

	(void)state;
	caller_wait_tokens(c, 30);
	c->text[5] ^= 1;
	caller_resume(c, fleet->instances[1].entry, true);
	caller_wait_end(c);
	caller_expect_complete(c, "altered text");
	assert_int_equal(c->restarts, 1);
	caller_close(c);
}

/* Returns whether no engine has a running stream. */
static bool all_idle(void *arg)
{
	size_t i;

	(void)arg;
	for (i = 0; i < fleet->options.n_engines; i++)
		if (harness_counter(fleet->harness, fleet->engines[i].control,
				    "engine_running_streams") > 0)
			return false;
	return true;
}

/* The engine has dropped the cursor's stream: with the text the answer is
 * continued, without it a restart is announced. */
static void expired_cursor(void **state)
{
	int with_text;

	(void)state;
	for (with_text = 0; with_text < 2; with_text++) {
		struct caller *c =
			open_caller(with_text ? "expired" : "forgotten");

		caller_wait_tokens(c, 30);
		control_engines("{\"linger_ms\":1}");
		caller_disconnect(c);
		harness_until(fleet->harness, all_idle, NULL,
			      "the engines drop the stream");
		control_engines("{\"linger_ms\":3000}");
		caller_resume(c, fleet->instances[1].entry, with_text);
		caller_wait_end(c);
		caller_expect_complete(c, "expired cursor");
		assert_int_equal(c->restarts, with_text ? 0 : 1);
		caller_close(c);
	}
}

/* With all engines killed, the refusal of a request that has run says so.  It
 * is read from the journal of requests, since a client may lose the last event
 * of an answer that is cut. */
static void refusal_after_a_run(void **state)
{
	struct caller *c = open_caller("no engine is left");
	char path[96];
	struct answer a;
	size_t i;

	(void)state;
	caller_wait_tokens(c, 30);
	for (i = 0; i < fleet->options.n_engines; i++)
		proc_kill(fleet->engines[i].proc);
	snprintf(path, sizeof(path), "/v1/explain?request=cmpl-%.16s", c->id);
	caller_resume(c, fleet->instances[1].entry, false);
	caller_wait_end(c);
	assert_false(c->done);
	harness_call(fleet->harness, "GET", fleet->instances[1].entry_operator,
		     path, NULL, &a);
	assert_non_null(strstr(a.body, "(may-have-run)"));
	assert_null(strstr(a.body, "(not-run)"));
	answer_release(&a);
	caller_close(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(paused_engine_continues),
		cmocka_unit_test(both_hedged_attempts_answer),
		cmocka_unit_test(same_request_twice),
		cmocka_unit_test(same_cursor_twice),
		cmocka_unit_test(restart_is_announced),
		cmocka_unit_test(altered_cursors),
		cmocka_unit_test(altered_text),
		cmocka_unit_test(expired_cursor),
		cmocka_unit_test(refusal_after_a_run), /* the last: kills all */
	};

	return cmocka_run_group_tests(tests, set_up_all, tear_down_all);
}
