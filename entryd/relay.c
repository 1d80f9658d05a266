/*
 * The caller's side of a generation: server-sent events of a streamed answer,
 * each with its resume cursor, or one whole answer.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entryd/generation.h"
#include "lib/xalloc.h"

#define EVENT_OVERHEAD 512 /* bytes of a token's event beside its text */

static void reserve(struct generation *g, size_t len);
static void add(struct generation *g, const char *text, size_t len);
static void add_string(struct generation *g, const char *text);
static void begin(struct generation *g);
static void add_json_string(struct generation *g, const char *text, size_t len);
static void reply_whole(struct generation *g, const char *reason);

/* Adds the event of one token; relay_flush() sends it. */
void relay_token(struct generation *g, const struct attempt *a,
		 uint32_t position, const char *text, size_t len)
{
	char cursor[CURSOR_PREFIX_SIZE + 32];

	if (!g->req || !g->ask.stream)
		return;
	cursor_write(cursor, sizeof(cursor), a->prefix, position,
		     generation_hash(g));
	reserve(g, EVENT_OVERHEAD + 6 * len);
	add_string(g, "id: ");
	add_string(g, cursor);
	add_string(g, "\ndata: {\"id\":\"");
	add_string(g, g->request);
	add_string(g, g->ask.chat ? "\",\"choices\":[{\"index\":0,\"delta\":"
				    "{\"content\":"
				  : "\",\"choices\":[{\"index\":0,\"text\":");
	add_json_string(g, text, len);
	add_string(g, g->ask.chat ? "}}]}\n\n" : "}]}\n\n");
}

/* Sends the events that were added. */
void relay_flush(struct generation *g)
{
	if (!g->req || !g->out_len)
		return;
	begin(g);
	httpd_stream_write(g->req, g->out, g->out_len);
	g->out_len = 0;
}

/* Tells the caller openly that the answer starts anew from its first token. */
void relay_restart(struct generation *g, const char *why)
{
	json_t *json;
	char *text;

	if (!g->req || !g->ask.stream)
		return;
	json = json_pack("{s:s, s:s}", "id", g->request, "detail", why);
	text = json_dumps(json, JSON_COMPACT);
	add_string(g, "event: restart\ndata: ");
	add_string(g, text);
	add_string(g, "\n\n");
	free(text);
	json_decref(json);
	relay_flush(g);
}

/* Ends the answer; reason is the completion format's finish_reason. */
void relay_finish(struct generation *g, const char *reason)
{
	if (!g->req)
		return;
	if (!g->ask.stream) {
		reply_whole(g, reason);
		return;
	}
	add_string(g, "data: {\"id\":\"");
	add_string(g, g->request);
	add_string(g, g->ask.chat ? "\",\"choices\":[{\"index\":0,\"delta\":{}"
				  : "\",\"choices\":[{\"index\":0,\"text\":"
				    "\"\"");
	add_string(g, ",\"finish_reason\":\"");
	add_string(g, reason);
	add_string(g, "\"}]}\n\ndata: [DONE]\n\n");
	relay_flush(g);
	httpd_stream_end(g->req);
}

/* Refuses, or ends a begun answer with the refusal as its last event.  The
 * connection ends in order, since a cut would lose the event; without [DONE]
 * nobody takes the answer for whole. */
void relay_problem(struct generation *g, const struct problem *problem)
{
	json_t *json;
	char *text;

	if (!g->req)
		return;
	if (!g->begun) {
		problem_reply(g->req, problem);
		return;
	}
	json = problem_json(problem);
	text = json_dumps(json, JSON_COMPACT);
	add_string(g, "event: error\ndata: ");
	add_string(g, text);
	add_string(g, "\n\n");
	free(text);
	json_decref(json);
	relay_flush(g);
	httpd_stream_end(g->req);
}

/* Ends the caller's connection in order: it goes on at another address of its
 * shard with its cursor. */
void relay_hand_over(struct generation *g)
{
	if (!g->req)
		return;
	add_string(g, "event: handover\ndata: {\"detail\":\"this instance is "
		      "leaving; go on at another address with "
		      "Last-Event-ID\"}\n\n");
	relay_flush(g);
	httpd_stream_end(g->req);
}

/* Makes room for len more bytes. */
static void reserve(struct generation *g, size_t len)
{
	if (g->out_size - g->out_len >= len)
		return;
	g->out_size = (g->out_len + len) * 2;
	g->out = xreallocarray(g->out, g->out_size, 1);
}

/* Adds bytes to what waits to be written. */
static void add(struct generation *g, const char *text, size_t len)
{
	reserve(g, len);
	memcpy(g->out + g->out_len, text, len);
	g->out_len += len;
}

/* Adds a string. */
static void add_string(struct generation *g, const char *text)
{
	add(g, text, strlen(text));
}

/* Sends the head of a streamed answer, once. */
static void begin(struct generation *g)
{
	if (g->begun)
		return;
	g->begun = true;
	httpd_add_header(g->req, "cache-control", "no-store");
	httpd_add_header(g->req, "x-request-id", g->request);
	httpd_stream_begin(g->req, 200, "text/event-stream");
}

/* Adds a JSON string with its quotes. */
static void add_json_string(struct generation *g, const char *text, size_t len)
{
	json_t *json = json_stringn_nocheck(text, len);
	size_t n = json_dumpb(json, g->out + g->out_len,
			      g->out_size - g->out_len, JSON_ENCODE_ANY);

	if (n > g->out_size - g->out_len) {
		reserve(g, n);
		n = json_dumpb(json, g->out + g->out_len,
			       g->out_size - g->out_len, JSON_ENCODE_ANY);
	}
	g->out_len += n;
	json_decref(json);
}

/* Sends a whole answer. */
static void reply_whole(struct generation *g, const char *reason)
{
	json_t *choice =
		g->ask.chat ? json_pack("{s:i, s:{s:s, s:s%}, s:s}", "index", 0,
					"message", "role", "assistant",
					"content", g->text ? g->text : "",
					g->text_len, "finish_reason", reason)
			    : json_pack("{s:i, s:s%, s:s}", "index", 0, "text",
					g->text ? g->text : "", g->text_len,
					"finish_reason", reason);
	json_t *json = json_pack("{s:s, s:[o], s:{s:i}}", "id", g->request,
				 "choices", choice, "usage",
				 "completion_tokens", (int)g->resume.next_pos);
	char *text = json_dumps(json, JSON_COMPACT);

	httpd_add_header(g->req, "x-request-id", g->request);
	httpd_reply(g->req, 200, "application/json", text, strlen(text));
	free(text);
	json_decref(json);
}
