/*
 * A client of the system, for tests and the load tool.  It follows the
 * published protocol: it honours Retry-After, sends the last cursor and the
 * text received so far when it reconnects, and discards its text on a restart.
 * The token chain of every answer is verified.
 */
#include "emulator/caller.h"

#include <bsd/string.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "emulator/sse.h"
#include "lib/xalloc.h"

#define ENTRIES_TIMEOUT_MS 2000
#define ENTRIES_MAX 16
#define RECONNECT_WAIT_MS 50
#define RETRY_DEFAULT_MS 1000
#define RETRY_MAX_MS 60000
#define ERROR_BODY_MAX 4096

struct caller {
	uv_loop_t *loop;
	struct httpc *client;
	const struct caller_ops *ops;
	void *arg;
	struct caller_options options;
	char *key; /* copies that the options point to */
	char *model;
	char *prompt;
	struct caller_result result;
	uv_timer_t timer;
	struct httpc_req *req;
	char *entries[ENTRIES_MAX];
	size_t n_entries;
	size_t next_entry;
	size_t next_address;
	struct sse sse;
	struct chain chain;
	char *cursor; /* last event id, or NULL */
	char *text;
	size_t text_len;
	size_t text_size;
	char *error; /* body of a refusal or of the entries response */
	size_t error_len;
	char *retry_after;
	int status; /* of the current exchange */
	double start_ms;
	double last_token_ms;
	bool done; /* "[DONE]" was received */
	bool cancelled;
};

static double now_ms(void);
static void request_entries(struct caller *c);
static void on_entries_body(void *arg, const char *data, size_t len);
static void on_entries_end(void *arg, enum httpc_outcome outcome);
static bool parse_entries(struct caller *c);
static void clear_entries(struct caller *c);
static void request_completion(struct caller *c);
static char *make_body(const struct caller *c);
static void on_head(void *arg, int status, const struct httpc_header *headers,
		    size_t n);
static void on_body(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum httpc_outcome outcome);
static void on_event(void *arg, const struct sse_event *event);
static void append_text(struct caller *c, const char *text, size_t len);
static void record_tokens(struct caller *c, uint64_t n);
static void restart(struct caller *c);
static void append_body(struct caller *c, const char *data, size_t len);
static void begin_exchange(struct caller *c);
static void handle_refusal(struct caller *c);
static void handle_disconnect(struct caller *c);
static void schedule_retry(struct caller *c, uint64_t ms);
static void on_retry(uv_timer_t *timer);
static void finish(struct caller *c, enum caller_outcome outcome);
static void release(uv_handle_t *timer);

static const struct httpc_ops entries_ops = {
	.on_head = on_head,
	.on_body = on_entries_body,
	.on_end = on_entries_end,
};

static const struct httpc_ops completion_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

/* Starts a caller on a loop; ops->on_done reports its result. */
struct caller *caller_start(uv_loop_t *loop, struct httpc *client,
			    const struct caller_options *options,
			    const struct caller_ops *ops, void *arg)
{
	struct caller *c = xcalloc(1, sizeof(*c));

	c->loop = loop;
	c->client = client;
	c->ops = ops;
	c->arg = arg;
	c->options = *options;
	c->options.key = c->key = xstrdup(options->key);
	c->options.model = c->model = xstrdup(options->model);
	c->options.prompt = c->prompt = xstrdup(options->prompt);
	c->next_address = options->first_address;
	c->result.first_token_ms = -1;
	c->result.prompt_tokens =
		(strlen(options->prompt) + CHAIN_PROMPT_TOKEN_BYTES - 1) /
		CHAIN_PROMPT_TOKEN_BYTES;
	c->start_ms = now_ms();
	chain_start(&c->chain, options->prompt, strlen(options->prompt));
	uv_timer_init(loop, &c->timer);
	c->timer.data = c;
	request_entries(c);
	return c;
}

/* Ends a caller without calling on_done. */
void caller_cancel(struct caller *c)
{
	c->cancelled = true;
	finish(c, CALLER_BROKEN);
}

/* Returns a caller's result so far. */
const struct caller_result *caller_progress(const struct caller *c)
{
	return &c->result;
}

/* Returns the name of an outcome, as printed in reports. */
const char *caller_outcome_name(enum caller_outcome outcome)
{
	static const char *const names[] = {
		[CALLER_SUCCESS] = "whole",
		[CALLER_REFUSED] = "refused",
		[CALLER_BROKEN] = "broken",
		[CALLER_WRONG] = "wrong",
	};

	return names[outcome];
}

/* Returns a monotonic clock in milliseconds. */
static double now_ms(void)
{
	return (double)uv_hrtime() / 1e6;
}

/* Requests the entry addresses from the next configured address. */
static void request_entries(struct caller *c)
{
	char authorization[256];
	const struct httpc_header headers[] = {
		{ "authorization", authorization },
	};
	const struct caller_options *o = &c->options;
	const struct httpc_request r = {
		.method = "GET",
		.address = o->addresses[c->next_address++ % o->n_addresses],
		.path = "/v1/entries",
		.headers = headers,
		.n_headers = 1,
		.timeout_ms = ENTRIES_TIMEOUT_MS,
	};

	snprintf(authorization, sizeof(authorization), "Bearer %s", o->key);
	begin_exchange(c);
	c->req = httpc_start(c->client, &r, &entries_ops, c);
}

/* Buffers a part of the entries response. */
static void on_entries_body(void *arg, const char *data, size_t len)
{
	append_body(arg, data, len);
}

/* Uses the entries received, or tries another address. */
static void on_entries_end(void *arg, enum httpc_outcome outcome)
{
	struct caller *c = arg;

	c->req = NULL;
	if (outcome == HTTPC_OK && c->status == 200 && parse_entries(c))
		request_completion(c);
	else if (outcome == HTTPC_OK && c->status >= 400)
		handle_refusal(c);
	else
		handle_disconnect(c);
}

/* Parses the answer to /v1/entries; false if it holds no address. */
static bool parse_entries(struct caller *c)
{
	json_t *json =
		json_loadb(c->error ? c->error : "", c->error_len, 0, NULL);
	json_t *entry;
	size_t i;

	clear_entries(c);
	json_array_foreach(json_object_get(json, "entries"), i, entry)
	{
		const char *address =
			json_string_value(json_object_get(entry, "address"));

		if (address && c->n_entries < ENTRIES_MAX)
			c->entries[c->n_entries++] = xstrdup(address);
	}
	json_decref(json);
	return c->n_entries > 0;
}

/* Frees the list of entries. */
static void clear_entries(struct caller *c)
{
	while (c->n_entries)
		free(c->entries[--c->n_entries]);
	c->next_entry = 0;
}

/* Requests the completion, or the rest of it after a break. */
static void request_completion(struct caller *c)
{
	char authorization[256];
	char deadline[16];
	struct httpc_header headers[4] = {
		{ "authorization", authorization },
		{ "content-type", "application/json" },
	};
	struct httpc_request r = {
		.method = "POST",
		.address = c->entries[c->next_entry++ % c->n_entries],
		.path = "/v1/completions",
		.headers = headers,
		.n_headers = 2,
		.timeout_ms = c->options.silence_ms,
	};
	char *body = make_body(c);

	snprintf(authorization, sizeof(authorization), "Bearer %s",
		 c->options.key);
	if (c->cursor)
		headers[r.n_headers++] =
			(struct httpc_header){ "last-event-id", c->cursor };
	if (c->options.has_deadline) {
		snprintf(deadline, sizeof(deadline), "%u",
			 c->options.deadline_ms);
		headers[r.n_headers++] =
			(struct httpc_header){ "x-deadline-ms", deadline };
	}
	r.body = body;
	r.body_len = strlen(body);
	begin_exchange(c);
	sse_release(&c->sse);
	sse_init(&c->sse, on_event, c);
	c->req = httpc_start(c->client, &r, &completion_ops, c);
	free(body);
}

/* Builds the request body, with the text received so far after a break. */
static char *make_body(const struct caller *c)
{
	json_t *json =
		json_pack("{s:s, s:s, s:I, s:b}", "model", c->options.model,
			  "prompt", c->options.prompt, "max_tokens",
			  (json_int_t)c->options.max_tokens, "stream", 1);
	char *body;

	if (c->cursor)
		json_object_set_new(json, "received_text",
				    json_stringn(c->text ? c->text : "",
						 c->text_len));
	body = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return body;
}

/* Resets the state of the previous exchange. */
static void begin_exchange(struct caller *c)
{
	c->status = 0;
	c->error_len = 0;
	free(c->retry_after);
	c->retry_after = NULL;
}

/* Records the status and Retry-After of an answer. */
static void on_head(void *arg, int status, const struct httpc_header *headers,
		    size_t n)
{
	struct caller *c = arg;
	size_t i;

	c->status = status;
	for (i = 0; i < n; i++) {
		if (strcmp(headers[i].name, "retry-after") != 0)
			continue;
		free(c->retry_after);
		c->retry_after = xstrdup(headers[i].value);
	}
}

/* Handles a part of a completion or a refusal. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct caller *c = arg;

	if (c->status == 200)
		sse_feed(&c->sse, data, len);
	else
		append_body(c, data, len);
}

/* Buffers a part of a body, up to ERROR_BODY_MAX bytes in all. */
static void append_body(struct caller *c, const char *data, size_t len)
{
	if (!c->error)
		c->error = xcalloc(ERROR_BODY_MAX, 1);
	if (len > ERROR_BODY_MAX - c->error_len)
		len = ERROR_BODY_MAX - c->error_len;
	memcpy(c->error + c->error_len, data, len);
	c->error_len += len;
}

/* Handles the end of an exchange. */
static void on_end(void *arg, enum httpc_outcome outcome)
{
	struct caller *c = arg;

	c->req = NULL;
	if (c->chain.fault != CHAIN_GOOD ||
	    (c->done && chain_finish(&c->chain) != CHAIN_GOOD))
		finish(c, CALLER_WRONG);
	else if (c->done)
		finish(c, CALLER_SUCCESS);
	else if (outcome == HTTPC_OK && c->status >= 400)
		handle_refusal(c);
	else
		handle_disconnect(c);
}

/* Handles one event of the stream. */
static void on_event(void *arg, const struct sse_event *event)
{
	struct caller *c = arg;
	const json_t *choice;
	const char *finish_reason;
	json_t *json;

	if (strcmp(event->data, "[DONE]") == 0) {
		c->done = true;
		return;
	}
	if (strcmp(event->event, "restart") == 0) {
		restart(c);
		return;
	}
	json = json_loadb(event->data, event->data_len, 0, NULL);
	choice = json_array_get(json_object_get(json, "choices"), 0);
	if (choice && *event->id) {
		free(c->cursor);
		c->cursor = xstrdup(event->id);
	}
	if (choice && json_object_get(choice, "text")) {
		const json_t *text = json_object_get(choice, "text");

		append_text(c, json_string_value(text),
			    json_string_length(text));
	}
	finish_reason =
		json_string_value(json_object_get(choice, "finish_reason"));
	if (finish_reason)
		strlcpy(c->result.finish, finish_reason,
			sizeof(c->result.finish));
	json_decref(json);
}

/* Appends and verifies the next text of the answer. */
static void append_text(struct caller *c, const char *text, size_t len)
{
	uint64_t before = c->chain.position;

	if (!text || !len)
		return;
	if (c->text_size - c->text_len < len) {
		c->text_size = (c->text_len + len) * 2;
		c->text = xreallocarray(c->text, c->text_size, 1);
	}
	memcpy(c->text + c->text_len, text, len);
	c->text_len += len;
	chain_check(&c->chain, text, len);
	if (c->chain.position > before)
		record_tokens(c, c->chain.position - before);
}

/* Records the arrival time of n tokens that arrived together. */
static void record_tokens(struct caller *c, uint64_t n)
{
	double now = now_ms();
	double gap = now - c->last_token_ms;

	c->result.relayed += n;
	c->result.tokens = c->chain.position;
	if (c->result.first_token_ms < 0) {
		c->result.first_token_ms = now - c->start_ms;
	} else {
		if (gap > c->result.longest_gap_ms)
			c->result.longest_gap_ms = gap;
		if (c->ops->on_gap)
			c->ops->on_gap(c->arg, gap);
	}
	c->last_token_ms = now;
}

/* Discards the text; the answer starts again from its first token. */
static void restart(struct caller *c)
{
	c->result.restarts++;
	c->result.tokens = 0;
	c->text_len = 0;
	free(c->cursor);
	c->cursor = NULL;
	chain_start(&c->chain, c->options.prompt, strlen(c->options.prompt));
}

/* Handles a refusal: retries after Retry-After, or ends. */
static void handle_refusal(struct caller *c)
{
	json_t *json =
		json_loadb(c->error ? c->error : "", c->error_len, 0, NULL);
	const char *run = json_string_value(json_object_get(json, "run"));
	const char *detail = json_string_value(json_object_get(json, "detail"));
	double wait = RETRY_DEFAULT_MS;

	c->result.status = c->status;
	strlcpy(c->result.run, run ? run : "", sizeof(c->result.run));
	strlcpy(c->result.detail, detail ? detail : "",
		sizeof(c->result.detail));
	json_decref(json);
	if (c->retry_after)
		wait = strtod(c->retry_after, NULL) * 1000;
	if (!c->retry_after || c->result.refusals >= c->options.refusals_max) {
		finish(c, CALLER_REFUSED);
		return;
	}
	c->result.refusals++;
	schedule_retry(c,
		       (uint64_t)(wait < RETRY_MAX_MS ? wait : RETRY_MAX_MS));
}

/* Handles a lost connection: continues at another address, or ends. */
static void handle_disconnect(struct caller *c)
{
	if (c->result.reconnects >= c->options.reconnects_max) {
		finish(c, CALLER_BROKEN);
		return;
	}
	c->result.reconnects++;
	schedule_retry(c, RECONNECT_WAIT_MS);
}

/* Schedules the next try in ms milliseconds. */
static void schedule_retry(struct caller *c, uint64_t ms)
{
	uv_timer_start(&c->timer, on_retry, ms, 0);
}

/* Tries the next address; after the last one requests the entries again. */
static void on_retry(uv_timer_t *timer)
{
	struct caller *c = timer->data;

	if (c->next_entry < c->n_entries)
		request_completion(c);
	else
		request_entries(c);
}

/* Ends a caller and reports its outcome. */
static void finish(struct caller *c, enum caller_outcome outcome)
{
	c->result.outcome = outcome;
	c->result.fault = chain_finish(&c->chain);
	c->result.total_ms = now_ms() - c->start_ms;
	if (c->req)
		httpc_cancel(c->req);
	if (!c->cancelled)
		c->ops->on_done(c->arg, &c->result);
	uv_close((uv_handle_t *)&c->timer, release);
}

/* Frees a caller after its timer is closed. */
static void release(uv_handle_t *timer)
{
	struct caller *c = timer->data;

	clear_entries(c);
	sse_release(&c->sse);
	free(c->key);
	free(c->model);
	free(c->prompt);
	free(c->cursor);
	free(c->text);
	free(c->error);
	free(c->retry_after);
	free(c);
}
