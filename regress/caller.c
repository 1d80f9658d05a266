/*
 * Callers of streamed completions for tests with real processes.  The tokens of
 * an answer follow from its prompt, so each is checked against the chain.
 */
#include "regress/caller.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/ident.h"
#include "lib/xalloc.h"

#define ENDPOINT_FIELD 2 /* index of the endpoint id in a cursor */

static void send_request(struct caller *c, const char *address, bool with_text);
static void process_event(struct caller *c, const struct stream_event *event);
static void process_token(struct caller *c, const struct stream_event *event);
static void reset_answer(struct caller *c);
static const char *choice_text(const json_t *choice, size_t *len);

/* Creates a caller and sends its request. */
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
	send_request(c, address, false);
	return c;
}

/* Closes the connection and resumes at an address with the cursor of the last
 * token, if there is one; with_text also sends the text received so far. */
void caller_resume(struct caller *c, const char *address, bool with_text)
{
	caller_disconnect(c);
	json_decref(c->problem);
	c->problem = NULL;
	send_request(c, address, with_text);
}

/* Creates another caller with the same prompt and the same tokens received, and
 * resumes at an address. */
struct caller *caller_clone(const struct caller *c, const char *address)
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
	send_request(copy, address, true);
	return copy;
}

/* Processes the events received and closes the connection. */
void caller_disconnect(struct caller *c)
{
	if (!c->stream)
		return;
	caller_read_events(c);
	stream_close(c->stream);
	c->stream = NULL;
}

/* Sends the request, with "last-event-id" if tokens were received. */
static void send_request(struct caller *c, const char *address, bool with_text)
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
	c->n_events_read = 0;
	c->stream = stream_open(c->harness, &r);
	free(body);
	json_decref(json);
	free(key);
}

/* Processes the events received and the problem of a refusal. */
void caller_read_events(struct caller *c)
{
	while (c->n_events_read < stream_n_events(c->stream))
		process_event(c,
			      stream_event_at(c->stream, c->n_events_read++));
	if (stream_ended(c->stream) && stream_status(c->stream) >= 400 &&
	    !c->problem)
		c->problem = json_loads(stream_body(c->stream), 0, NULL);
}

/* Processes one event. */
static void process_event(struct caller *c, const struct stream_event *event)
{
	if (strcmp(event->event, "restart") == 0) {
		c->restarts++;
		print_message("%s: restart after %u tokens: %s\n", c->prompt,
			      c->tokens, event->data);
		reset_answer(c);
	} else if (strcmp(event->event, "handover") == 0) {
		c->handovers++;
	} else if (strcmp(event->event, "error") == 0) {
		json_decref(c->problem);
		c->problem = json_loads(event->data, 0, NULL);
	} else if (strcmp(event->data, "[DONE]") == 0) {
		c->done = true;
	} else {
		process_token(c, event);
	}
}

/* Discards the text received, as a restarted answer begins with its first
 * token. */
static void reset_answer(struct caller *c)
{
	c->len = 0;
	c->text[0] = '\0';
	c->tokens = 0;
	free(c->id);
	c->id = NULL;
	chain_start(&c->chain, c->prompt, strlen(c->prompt));
}

/* Processes a token or the finish reason. */
static void process_token(struct caller *c, const struct stream_event *event)
{
	json_t *json = json_loads(event->data, 0, NULL);
	const json_t *choice =
		json_array_get(json_object_get(json, "choices"), 0);
	const json_t *finish = json_object_get(choice, "finish_reason");
	const char *text;
	size_t len;

	if (!choice)
		fail_msg("event without a choice: %s", event->data);
	text = choice_text(choice, &len);
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

/* Returns the text of a choice and its length in bytes, "" if there is none. */
static const char *choice_text(const json_t *choice, size_t *len)
{
	const json_t *text = json_object_get(choice, "text");

	if (!text)
		text = json_object_get(json_object_get(choice, "delta"),
				       "content");
	*len = json_string_length(text);
	return json_is_string(text) ? json_string_value(text) : "";
}

/* Processes the events received; returns whether the connection has ended. */
bool caller_ended(struct caller *c)
{
	caller_read_events(c);
	return stream_ended(c->stream);
}

static bool caller_ended_cb(void *arg)
{
	return caller_ended(arg);
}

static bool has_tokens(void *arg)
{
	struct caller *c = arg;

	return caller_ended(c) || c->tokens >= c->wait_tokens;
}

/* Waits until n tokens are received in all; fails if the answer ends before. */
void caller_wait_tokens(struct caller *c, uint32_t n)
{
	c->wait_tokens = n;
	harness_until(c->harness, has_tokens, c,
		      "a caller receives its tokens");
	if (c->tokens < n)
		fail_msg("%s: the answer ended at token %u: %s", c->prompt,
			 c->tokens, stream_body(c->stream));
}

/* Waits for the end of the connection. */
void caller_wait_end(struct caller *c)
{
	harness_until(c->harness, caller_ended_cb, c, "a caller's answer ends");
}

/* Fails the test unless the answer is complete and belongs to the prompt. */
void caller_expect_complete(struct caller *c, const char *what)
{
	enum chain_fault fault;
	char *problem;

	caller_read_events(c);
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

/* Returns the engine that generated the last token, by the token's cursor. */
struct fleet_endpoint *caller_last_engine(const struct caller *c,
					  struct fleet *f)
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
	fail_msg("no engine has the id in cursor %s", c->id);
	return NULL;
}

/* Closes the connection and frees the caller. */
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
