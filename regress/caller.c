/*
 * Callers of streamed completions for tests with real processes.  A caller
 * knows its prompt, so it checks every token of its answer against the chain.
 */
#include "regress/caller.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/ident.h"
#include "lib/xalloc.h"

#define ENDPOINT_FIELD 2 /* of a cursor, counted from 0 */

static void connect_to(struct caller *c, const char *address, bool with_text);
static void take_event(struct caller *c, const struct stream_event *event);
static void take_token(struct caller *c, const struct stream_event *event);
static void start_anew(struct caller *c);
static const char *content_of(const json_t *choice, size_t *len);

/* Asks for a completion. */
struct caller *caller_open(struct harness *h, const char *address,
			   const char *org, const char *prompt,
			   uint32_t max_tokens)
{
	struct caller *c = xcalloc(1, sizeof(*c));

	c->harness = h;
	c->org = xstrdup(org);
	c->prompt = xstrdup(prompt);
	c->max_tokens = max_tokens;
	c->text = xstrdup("");
	chain_start(&c->chain, prompt, strlen(prompt));
	connect_to(c, address, false);
	return c;
}

/* Goes on at an address with the cursor of the last token, if one has come;
 * with_text sends along what is held. */
void caller_go_on(struct caller *c, const char *address, bool with_text)
{
	caller_leave(c);
	json_decref(c->problem);
	c->problem = NULL;
	connect_to(c, address, with_text);
}

/* Makes another caller that holds the same, and goes on at an address. */
struct caller *caller_copy(const struct caller *c, const char *address)
{
	struct caller *copy = xcalloc(1, sizeof(*copy));

	*copy = (struct caller){
		.harness = c->harness,
		.org = xstrdup(c->org),
		.prompt = xstrdup(c->prompt),
		.max_tokens = c->max_tokens,
		.text = xmemdup(c->text, c->len + 1),
		.len = c->len,
		.tokens = c->tokens,
		.id = xstrdup(c->id),
		.chain = c->chain,
	};
	connect_to(copy, address, true);
	return copy;
}

/* Closes the connection, after taking in what has come. */
void caller_leave(struct caller *c)
{
	if (!c->stream)
		return;
	caller_take(c);
	stream_close(c->stream);
	c->stream = NULL;
}

/* Sends the request, or sends it again. */
static void connect_to(struct caller *c, const char *address, bool with_text)
{
	char *key = xasprintf("Bearer key-%s", c->org);
	json_t *json = json_pack("{s:s, s:s, s:i, s:b}", "model", FLEET_MODEL,
				 "prompt", c->prompt, "max_tokens",
				 (int)c->max_tokens, "stream", 1);
	const struct httpc_header headers[] = {
		{ "authorization", key },
		{ "content-type", "application/json" },
		{ "last-event-id", c->id },
	};
	struct httpc_request r = {
		.method = "POST",
		.address = address,
		.path = "/v1/completions",
		.headers = headers,
		.n_headers = c->id ? 3 : 2,
	};
	char *body;

	if (with_text)
		json_object_set_new(json, "received_text",
				    json_stringn(c->text, c->len));
	body = json_dumps(json, JSON_COMPACT);
	r.body = body;
	r.body_len = strlen(body);
	c->taken = 0;
	c->stream = stream_open(c->harness, &r);
	free(body);
	json_decref(json);
	free(key);
}

/* Takes in what has come. */
void caller_take(struct caller *c)
{
	while (c->taken < stream_n_events(c->stream))
		take_event(c, stream_event_at(c->stream, c->taken++));
	if (stream_ended(c->stream) && stream_status(c->stream) >= 400 &&
	    !c->problem)
		c->problem = json_loads(stream_body(c->stream), 0, NULL);
}

/* Takes in one event. */
static void take_event(struct caller *c, const struct stream_event *event)
{
	if (strcmp(event->event, "restart") == 0) {
		c->restarts++;
		print_message("%s: restart after %u tokens: %s\n", c->prompt,
			      c->tokens, event->data);
		start_anew(c);
	} else if (strcmp(event->event, "handover") == 0) {
		c->handovers++;
	} else if (strcmp(event->event, "error") == 0) {
		json_decref(c->problem);
		c->problem = json_loads(event->data, 0, NULL);
	} else if (strcmp(event->data, "[DONE]") == 0) {
		c->done = true;
	} else {
		take_token(c, event);
	}
}

/* Drops what is held: a whole answer follows. */
static void start_anew(struct caller *c)
{
	c->len = 0;
	c->text[0] = '\0';
	c->tokens = 0;
	free(c->id);
	c->id = NULL;
	chain_start(&c->chain, c->prompt, strlen(c->prompt));
}

/* Takes in a token, or the finish reason. */
static void take_token(struct caller *c, const struct stream_event *event)
{
	json_t *json = json_loads(event->data, 0, NULL);
	const json_t *choice =
		json_array_get(json_object_get(json, "choices"), 0);
	const json_t *finish = json_object_get(choice, "finish_reason");
	const char *text;
	size_t len;

	if (!choice)
		fail_msg("not an event: %s", event->data);
	text = content_of(choice, &len);
	if (json_is_string(finish)) {
		free(c->finish);
		c->finish = xstrdup(json_string_value(finish));
	} else {
		c->text = xreallocarray(c->text, c->len + len + 1, 1);
		memcpy(c->text + c->len, text, len);
		c->len += len;
		c->text[c->len] = '\0';
		c->tokens++;
		chain_check(&c->chain, text, len);
		free(c->id);
		c->id = xstrdup(event->id);
		if (c->last_at_ms > 0 &&
		    event->at_ms - c->last_at_ms > c->gap_max_ms)
			c->gap_max_ms = event->at_ms - c->last_at_ms;
		c->last_at_ms = event->at_ms;
	}
	json_decref(json);
}

/* Returns the text of a choice. */
static const char *content_of(const json_t *choice, size_t *len)
{
	const json_t *text = json_object_get(choice, "text");

	if (!text)
		text = json_object_get(json_object_get(choice, "delta"),
				       "content");
	*len = json_string_length(text);
	return json_is_string(text) ? json_string_value(text) : "";
}

/* The connection is over. */
bool caller_over(struct caller *c)
{
	caller_take(c);
	return stream_ended(c->stream);
}

static bool is_over(void *arg)
{
	return caller_over(arg);
}

static bool has_tokens(void *arg)
{
	struct caller *c = arg;

	return caller_over(c) || c->tokens >= c->wanted;
}

/* Waits for a number of tokens in all; the answer must not end before. */
void caller_wait_tokens(struct caller *c, uint32_t n)
{
	c->wanted = n;
	harness_until(c->harness, has_tokens, c, "a caller's tokens come");
	if (c->tokens < n)
		fail_msg("%s: the answer ended at token %u: %s", c->prompt,
			 c->tokens, stream_body(c->stream));
}

/* Waits for the end of the connection. */
void caller_wait_end(struct caller *c)
{
	harness_until(c->harness, is_over, c, "a caller's answer ends");
}

/* Fails the test unless the answer is whole and the caller's own. */
void caller_expect_whole(struct caller *c, const char *what)
{
	enum chain_fault fault;
	char *problem;

	caller_take(c);
	fault = chain_finish(&c->chain);
	if (fault == CHAIN_GOOD && c->done && c->tokens == c->max_tokens &&
	    c->finish && strcmp(c->finish, "length") == 0)
		return;
	problem = c->problem ? json_dumps(c->problem, 0) : xstrdup("none");
	fail_msg("%s: %s: the chain is %s, %u of %u tokens, %s, finish %s, "
		 "status %d, problem %s",
		 what, c->prompt, chain_fault_name(fault), c->tokens,
		 c->max_tokens, c->done ? "done" : "not done",
		 c->finish ? c->finish : "none", stream_status(c->stream),
		 problem);
	free(problem);
}

/* Returns the engine that gave the last token, by the token's cursor. */
struct fleet_endpoint *caller_engine(const struct caller *c, struct fleet *f)
{
	const char *field = c->id;
	uint64_t id;
	size_t i;

	assert_non_null(field);
	for (i = 0; i < ENDPOINT_FIELD; i++)
		field = strchr(field, '.') + 1;
	id = strtoull(field, NULL, 16);
	for (i = 0; i < f->options.n_engines; i++)
		if (name_id(f->engines[i].name) == id)
			return &f->engines[i];
	fail_msg("no engine has the id in %s", c->id);
	return NULL;
}

/* Leaves, and frees the caller. */
void caller_close(struct caller *c)
{
	if (c->stream)
		stream_close(c->stream);
	json_decref(c->problem);
	free(c->prompt);
	free(c->org);
	free(c->text);
	free(c->id);
	free(c->finish);
	free(c);
}
