/*
 * Responses to the caller of a generation: server-sent events of a streamed
 * answer, each with its resume cursor, or one complete answer.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entryd/generation.h"
#include "lib/xalloc.h"

#define EVENT_OVERHEAD 512 /* bytes of a token's event without its text */

static void reserve_output(struct generation *g, size_t len);
static void append(struct generation *g, const char *text, size_t len);
static void append_string(struct generation *g, const char *text);
static void send_head(struct generation *g);
static void append_json_string(struct generation *g, const char *text,
			       size_t len);
static void reply_complete(struct generation *g, const char *reason);

/* Buffers the event of one token; relay_flush() sends it. */
void relay_token(struct generation *g, const struct attempt *a,
		 uint32_t position, const char *text, size_t len)
{
	char cursor[CURSOR_PREFIX_SIZE + 32];

	if (!g->req || !g->params.stream)
		return;
	cursor_write(cursor, sizeof(cursor), a->prefix, position,
		     generation_hash(g));
	reserve_output(g, EVENT_OVERHEAD + 6 * len);
	append_string(g, "id: ");
	append_string(g, cursor);
	append_string(g, "\ndata: {\"id\":\"");
	append_string(g, g->request);
	append_string(g, g->params.chat
				 ? "\",\"choices\":[{\"index\":0,\"delta\":"
				   "{\"content\":"
				 : "\",\"choices\":[{\"index\":0,\"text\":");
	append_json_string(g, text, len);
	append_string(g, g->params.chat ? "}}]}\n\n" : "}]}\n\n");
}

/* Sends the buffered events. */
void relay_flush(struct generation *g)
{
	if (!g->req || !g->out_len)
		return;
	send_head(g);
	httpd_stream_write(g->req, g->out, g->out_len);
	g->out_len = 0;
}

/* Sends an event saying that the answer restarts from its first token. */
void relay_restart(struct generation *g, const char *why)
{
	json_t *json;
	char *text;

	if (!g->req || !g->params.stream)
		return;
	json = json_pack("{s:s, s:s}", "id", g->request, "detail", why);
	text = json_dumps(json, JSON_COMPACT);
	append_string(g, "event: restart\ndata: ");
	append_string(g, text);
	append_string(g, "\n\n");
	free(text);
	json_decref(json);
	relay_flush(g);
}

/* Completes the answer; reason is the completion format's finish_reason. */
void relay_finish(struct generation *g, const char *reason)
{
	if (!g->req)
		return;
	if (!g->params.stream) {
		reply_complete(g, reason);
		return;
	}
	append_string(g, "data: {\"id\":\"");
	append_string(g, g->request);
	append_string(g, g->params.chat
				 ? "\",\"choices\":[{\"index\":0,\"delta\":{}"
				 : "\",\"choices\":[{\"index\":0,\"text\":"
				   "\"\"");
	append_string(g, ",\"finish_reason\":\"");
	append_string(g, reason);
	append_string(g, "\"}]}\n\ndata: [DONE]\n\n");
	relay_flush(g);
	httpd_stream_end(g->req);
}

/* Sends the problem as the response, or as the last event of a started stream.
 * The stream is ended in an orderly way, since an abort could lose the event;
 * the missing [DONE] shows the caller that the answer is incomplete. */
void relay_problem(struct generation *g, const struct problem *problem)
{
	json_t *json;
	char *text;

	if (!g->req)
		return;
	if (!g->head_sent) {
		problem_reply(g->req, problem);
		return;
	}
	json = problem_json(problem);
	text = json_dumps(json, JSON_COMPACT);
	append_string(g, "event: error\ndata: ");
	append_string(g, text);
	append_string(g, "\n\n");
	free(text);
	json_decref(json);
	relay_flush(g);
	httpd_stream_end(g->req);
}

/* Ends the caller's stream in an orderly way.  The caller continues with its
 * cursor at another address of its shard. */
void relay_hand_over(struct generation *g)
{
	if (!g->req)
		return;
	append_string(g,
		      "event: handover\ndata: {\"detail\":\"this instance is "
		      "leaving; go on at another address with "
		      "Last-Event-ID\"}\n\n");
	relay_flush(g);
	httpd_stream_end(g->req);
}

/* Grows the output buffer to hold len more bytes. */
static void reserve_output(struct generation *g, size_t len)
{
	if (g->out_size - g->out_len >= len)
		return;
	g->out_size = (g->out_len + len) * 2;
	g->out = xreallocarray(g->out, g->out_size, 1);
}

/* Appends bytes to the output buffer. */
static void append(struct generation *g, const char *text, size_t len)
{
	reserve_output(g, len);
	memcpy(g->out + g->out_len, text, len);
	g->out_len += len;
}

/* Appends a string to the output buffer. */
static void append_string(struct generation *g, const char *text)
{
	append(g, text, strlen(text));
}

/* Sends the response header of a streamed answer, once. */
static void send_head(struct generation *g)
{
	if (g->head_sent)
		return;
	g->head_sent = true;
	httpd_add_header(g->req, "cache-control", "no-store");
	httpd_add_header(g->req, "x-request-id", g->request);
	httpd_stream_begin(g->req, 200, "text/event-stream");
}

/* Appends a JSON string with its quotes. */
static void append_json_string(struct generation *g, const char *text,
			       size_t len)
{
	json_t *json = json_stringn_nocheck(text, len);
	size_t n = json_dumpb(json, g->out + g->out_len,
			      g->out_size - g->out_len, JSON_ENCODE_ANY);

	if (n > g->out_size - g->out_len) {
		reserve_output(g, n);
		n = json_dumpb(json, g->out + g->out_len,
			       g->out_size - g->out_len, JSON_ENCODE_ANY);
	}
	g->out_len += n;
	json_decref(json);
}

/* Sends a complete answer as one response. */
static void reply_complete(struct generation *g, const char *reason)
{
	json_t *choice =
		g->params.chat
			? json_pack("{s:i, s:{s:s, s:s%}, s:s}", "index", 0,
				    "message", "role", "assistant", "content",
				    g->text ? g->text : "", g->text_len,
				    "finish_reason", reason)
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
