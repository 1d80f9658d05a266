/* Tests the caller that checks answers in other tests, against an entry that
 * follows a script: the caller must detect every fault that it checks for. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "emulator/caller.h"
#include "lib/httpd.h"
#include "lib/xalloc.h"
#include "regress/harness.h"

#define PROMPT "a prompt"
#define N_TOKENS 8
#define STEPS_MAX 4

/* Each step answers one request for a completion.  Digits are tokens of a
 * valid chain; letters:
 *	f  sends the last events, "length" and [DONE]
 *	x  aborts the connection (h2o may discard tokens written just
 *	   before, so no digit precedes it)
 *	e  ends the response without its last events
 *	h  sends nothing more and keeps the connection open
 *	r  sends the restart event
 *	b  refuses with Retry-After 0, B without it
 *	s  sends a token of another chain */
struct script {
	const char *name;
	const char *steps[STEPS_MAX];
	enum caller_outcome outcome;
	enum chain_fault fault;
	unsigned refusals;
	unsigned reconnects;
	unsigned restarts;
	uint64_t tokens;
};

struct entry {
	struct harness *h;
	const char *address;
	const struct script *script;
	size_t step;
	bool resumed_correctly; /* each reconnect's cursor and text */
	char tokens[N_TOKENS][CHAIN_TOKEN_SIZE];
	bool done;
	struct caller_result result;
};

static void handle_entries(struct httpd_req *req, void *arg)
{
	struct entry *e = arg;

	assert_string_equal(httpd_header(req, "authorization"), "Bearer key");
	httpd_reply_json(req, 200,
			 "{\"organisation\":\"o\",\"ttl_s\":1,\"entries\":"
			 "[{\"address\":\"%s\"},{\"address\":\"%s\"}]}",
			 e->address, e->address);
}

/* Compares the cursor and text that a caller sends with the tokens before
 * position n. */
static void check_resume(struct entry *e, struct httpd_req *req, size_t n)
{
	const char *cursor = httpd_header(req, "last-event-id");
	char expected[N_TOKENS * CHAIN_TOKEN_SIZE] = "";
	size_t len;
	const char *body = httpd_body(req, &len);
	json_t *json = json_loadb(body, len, 0, NULL);
	const char *text =
		json_string_value(json_object_get(json, "received_text"));
	char id[16];
	size_t i;

	for (i = 0; i < n; i++)
		strcat(expected, e->tokens[i]);
	snprintf(id, sizeof(id), "c%zu", n - 1);
	if (!cursor || strcmp(cursor, id) != 0 || !text ||
	    strcmp(text, expected) != 0)
		e->resumed_correctly = false;
	json_decref(json);
}

static void send_token(struct httpd_req *req, const char *token, size_t n)
{
	char *event = xasprintf("id: c%zu\ndata: {\"id\":\"g\",\"choices\":"
				"[{\"index\":0,\"text\":\"%s\"}]}\n\n",
				n, token);

	httpd_stream_write(req, event, strlen(event));
	free(event);
}

static void send_text(struct httpd_req *req, const char *text)
{
	httpd_stream_write(req, text, strlen(text));
}

static void refuse(struct httpd_req *req, bool retry)
{
	if (retry)
		httpd_add_header(req, "retry-after", "0");
	httpd_reply_json(req, 503, "{\"run\":\"not-run\",\"detail\":\"busy\"}");
}

/* Executes one letter of a script; returns false if nothing follows it. */
static bool run_letter(struct entry *e, struct httpd_req *req, char letter)
{
	if (letter >= '0' && letter < '0' + N_TOKENS) {
		send_token(req, e->tokens[letter - '0'],
			   (size_t)(letter - '0'));
		return true;
	}
	switch (letter) {
	case 's':
		send_token(req, "3.00000000.0123456789abcdef ", 3);
		return true;
	case 'r':
		send_text(req, "event: restart\ndata: {}\n\n");
		return true;
	case 'f':
		send_text(req, "data: {\"choices\":[{\"text\":\"\","
			       "\"finish_reason\":\"length\"}]}\n\n"
			       "data: [DONE]\n\n");
		httpd_stream_end(req);
		return false;
	case 'e':
		httpd_stream_end(req);
		return false;
	case 'x':
		httpd_stream_abort(req);
		return false;
	default:
		return false;
	}
}

static void handle_completion(struct httpd_req *req, void *arg)
{
	struct entry *e = arg;
	const char *p = e->script->steps[e->step];

	if (!p) {
		refuse(req, false);
		return;
	}
	e->step++;
	if (*p == 'b' || *p == 'B') {
		refuse(req, *p == 'b');
		return;
	}
	if (*p > '0' && *p < '0' + N_TOKENS)
		check_resume(e, req, (size_t)(*p - '0'));
	httpd_stream_begin(req, 200, "text/event-stream");
	while (*p && run_letter(e, req, *p))
		p++;
}

static const struct httpd_route routes[] = {
	{ "/v1/entries", handle_entries },
	{ "/v1/completions", handle_completion },
	{ NULL, NULL },
};

static void on_done(void *arg, const struct caller_result *r)
{
	struct entry *e = arg;

	e->result = *r;
	e->done = true;
}

static bool is_done(void *arg)
{
	return ((struct entry *)arg)->done;
}

static const struct script scripts[] = {
	{ "whole", { "01234567f" }, CALLER_SUCCESS, CHAIN_GOOD, 0, 0, 0, 8 },
	{ "ended and resumed twice",
	  { "012e", "34e", "567f" },
	  CALLER_SUCCESS,
	  CHAIN_GOOD,
	  0,
	  2,
	  0,
	  8 },
	{ "ended too early",
	  { "012e", "34567f" },
	  CALLER_SUCCESS,
	  CHAIN_GOOD,
	  0,
	  1,
	  0,
	  8 },
	{ "silent", { "01h", "234f" }, CALLER_SUCCESS, CHAIN_GOOD, 0, 1, 0, 5 },
	{ "cut before a token",
	  { "x", "01f" },
	  CALLER_SUCCESS,
	  CHAIN_GOOD,
	  0,
	  1,
	  0,
	  2 },
	{ "restarted", { "012r01f" }, CALLER_SUCCESS, CHAIN_GOOD, 0, 0, 1, 2 },
	{ "refused, comes back",
	  { "b", "b", "01f" },
	  CALLER_SUCCESS,
	  CHAIN_GOOD,
	  2,
	  0,
	  0,
	  2 },
	{ "refused too often",
	  { "b", "b", "b", "01f" },
	  CALLER_REFUSED,
	  CHAIN_GOOD,
	  2,
	  0,
	  0,
	  0 },
	{ "refused for good", { "B" }, CALLER_REFUSED, CHAIN_GOOD, 0, 0, 0, 0 },
	{ "never whole",
	  { "0e", "1e", "2e", "3e" },
	  CALLER_BROKEN,
	  CHAIN_GOOD,
	  0,
	  3,
	  0,
	  4 },
	{ "token missing",
	  { "0124f" },
	  CALLER_WRONG,
	  CHAIN_MISSING,
	  0,
	  0,
	  0,
	  3 },
	{ "token repeated",
	  { "01223f" },
	  CALLER_WRONG,
	  CHAIN_REPEATED,
	  0,
	  0,
	  0,
	  3 },
	{ "token repeated after a break",
	  { "012e", "23f" },
	  CALLER_WRONG,
	  CHAIN_REPEATED,
	  0,
	  1,
	  0,
	  3 },
	{ "token of another answer",
	  { "012s4f" },
	  CALLER_WRONG,
	  CHAIN_FOREIGN,
	  0,
	  0,
	  0,
	  3 },
	{ "restart without its event",
	  { "012e", "01f" },
	  CALLER_WRONG,
	  CHAIN_REPEATED,
	  0,
	  1,
	  0,
	  3 },
};

static void run_script(struct entry *e, const struct script *script)
{
	static const struct caller_ops ops = { .on_done = on_done };
	const struct caller_options options = {
		.key = "key",
		.model = "m",
		.prompt = PROMPT,
		.max_tokens = N_TOKENS,
		.addresses = &e->address,
		.n_addresses = 1,
		.refusals_max = 2,
		.reconnects_max = 3,
		.silence_ms = 200,
	};

	e->script = script;
	e->step = 0;
	e->done = false;
	e->resumed_correctly = true;
	caller_start(harness_loop(e->h), harness_client(e->h), &options, &ops,
		     e);
	harness_until(e->h, is_done, e, script->name);
}

static void test_scripts(void **state)
{
	struct entry e = { .h = harness_new() };
	const struct httpd_options options = { .routes = routes, .arg = &e };
	struct httpd *server;
	struct chain chain;
	char err[128];
	size_t i;

	(void)state;
	chain_start(&chain, PROMPT, strlen(PROMPT));
	for (i = 0; i < N_TOKENS; i++)
		chain_make_token(&chain, 7, e.tokens[i]);
	e.address = harness_address(e.h);
	server = httpd_new(harness_loop(e.h), &options);
	assert_int_equal(httpd_listen(server, e.address, err, sizeof(err)), 0);
	for (i = 0; i < sizeof(scripts) / sizeof(scripts[0]); i++) {
		const struct script *s = &scripts[i];
		const struct caller_result *r = &e.result;
		bool resumes = s->outcome == CALLER_SUCCESS ||
			       s->outcome == CALLER_BROKEN;

		run_script(&e, s);
		if (r->outcome != s->outcome || r->fault != s->fault ||
		    r->refusals != s->refusals ||
		    r->reconnects != s->reconnects ||
		    r->restarts != s->restarts || r->tokens != s->tokens ||
		    (resumes && !e.resumed_correctly))
			fail_msg("%s: %s, %s, %u refusals, %u reconnects, %u "
				 "restarts, %llu tokens, resumed %s",
				 s->name, caller_outcome_name(r->outcome),
				 chain_fault_name(r->fault), r->refusals,
				 r->reconnects, r->restarts,
				 (unsigned long long)r->tokens,
				 e.resumed_correctly ? "correctly" : "wrongly");
		if (s->outcome == CALLER_REFUSED)
			assert_string_equal(r->run, "not-run");
	}
	httpd_free(server);
	harness_free(e.h);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_scripts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
