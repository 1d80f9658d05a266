/*
 * Client for model engines with the HTTP interface of docs/INTERFACES.md.
 */
#include "entryd/engine.h"

#include <assert.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"

#define CONNECT_TIMEOUT_MS 400
#define CANCEL_TIMEOUT_MS 2000
#define LINE_MAX_BYTES (1u << 20)
#define PATH_SIZE 160

struct engine_http {
	struct engine engine; /* must be first */
	struct httpc *client;
};

struct engine_stream {
	struct httpc_req *req; /* NULL once the exchange has ended */
	const struct engine_events *events;
	void *arg;
	char *line; /* the incomplete last line */
	size_t len;
	size_t size;
	int status;
	enum engine_failure failure;
	bool attaching;
	bool busy; /* in a callback: freeing is deferred */
	bool detached;
};

static struct engine_stream *start(struct engine *engine,
				   const struct engine_start *params,
				   const struct engine_events *events,
				   void *arg);
static struct engine_stream *attach(struct engine *engine, const char *address,
				    const char *stream, uint32_t from,
				    const struct engine_events *events,
				    void *arg);
static void detach(struct engine_stream *s);
static void cancel(struct engine *engine, const char *address,
		   const char *stream);
static void pause_reading(struct engine_stream *s, bool paused);
static void engine_free(struct engine *engine);
static void on_head(void *arg, int status, const struct httpc_header *headers,
		    size_t n);
static void on_body(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum httpc_outcome outcome);
static void on_cancelled(void *arg, enum httpc_outcome outcome, int status,
			 const char *body, size_t len);
static bool append_line(struct engine_stream *s, const char *data, size_t len);
static void parse_line(struct engine_stream *s, const char *line, size_t len);
static void handle_event(struct engine_stream *s, json_t *event);
static bool read_position(const json_t *event, const char *key, uint32_t *out);
static void report_failure(struct engine_stream *s,
			   enum engine_failure failure);
static enum engine_failure failure_of_status(const struct engine_stream *s);

static const struct engine_ops engine_http_ops = {
	.start = start,
	.attach = attach,
	.detach = detach,
	.cancel = cancel,
	.pause = pause_reading,
	.free = engine_free,
};

static const struct httpc_ops stream_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

/* Creates the engine interface over HTTP.  Each stream has its own
 * connection. */
struct engine *engine_http_new(struct httpc *client)
{
	struct engine_http *h = xcalloc(1, sizeof(*h));

	h->engine.ops = &engine_http_ops;
	h->client = client;
	return &h->engine;
}

/* Returns a clause that describes the failure, for the request's journal. */
const char *engine_failure_text(enum engine_failure failure)
{
	static const char *const texts[] = {
		[ENGINE_UNREACHABLE] = "could not be reached",
		[ENGINE_BUSY] = "had no room",
		[ENGINE_UNKNOWN_STREAM] = "no longer knew the generation",
		[ENGINE_REFUSED] = "refused the request",
		[ENGINE_BROKEN] = "broke the connection",
		[ENGINE_MALFORMED] = "sent something malformed",
	};

	return texts[failure];
}

/* Starts or resumes a generation. */
static struct engine_stream *start(struct engine *engine,
				   const struct engine_start *params,
				   const struct engine_events *events,
				   void *arg)
{
	struct engine_http *h = (struct engine_http *)engine;
	struct engine_stream *s = xcalloc(1, sizeof(*s));
	json_t *json = json_pack("{s:s, s:s, s:s%, s:I, s:I, s:i}", "stream",
				 params->stream, "prompt", params->prompt,
				 "text", params->text ? params->text : "",
				 params->text_len, "position",
				 (json_int_t)params->position, "max_tokens",
				 (json_int_t)params->max_tokens, "priority",
				 params->priority);
	char *body = json_dumps(json, JSON_COMPACT);
	const struct httpc_header headers[] = {
		{ "content-type", "application/json" },
	};
	const struct httpc_request request = {
		.method = "POST",
		.address = params->address,
		.path = "/v1/streams",
		.headers = headers,
		.n_headers = 1,
		.body = body,
		.body_len = strlen(body),
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
	};

	s->events = events;
	s->arg = arg;
	s->req = httpc_start(h->client, &request, &stream_ops, s);
	free(body);
	json_decref(json);
	return s;
}

/* Reads a stream that another instance or another request started. */
static struct engine_stream *attach(struct engine *engine, const char *address,
				    const char *stream, uint32_t from,
				    const struct engine_events *events,
				    void *arg)
{
	struct engine_http *h = (struct engine_http *)engine;
	struct engine_stream *s = xcalloc(1, sizeof(*s));
	char path[PATH_SIZE];
	const struct httpc_request request = {
		.method = "GET",
		.address = address,
		.path = path,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
	};

	snprintf(path, sizeof(path), "/v1/streams/%s?from=%" PRIu32, stream,
		 from);
	s->events = events;
	s->arg = arg;
	s->attaching = true;
	s->req = httpc_start(h->client, &request, &stream_ops, s);
	return s;
}

/* Closes the connection; no event follows. */
static void detach(struct engine_stream *s)
{
	s->detached = true;
	if (s->req)
		httpc_cancel(s->req);
	s->req = NULL;
	if (s->busy)
		return;
	free(s->line);
	free(s);
}

/* Asks an engine to stop a generation.  The outcome is ignored, since the
 * engine ends a stream without reader by itself. */
static void cancel(struct engine *engine, const char *address,
		   const char *stream)
{
	struct engine_http *h = (struct engine_http *)engine;
	char path[PATH_SIZE];
	const struct httpc_request request = {
		.method = "DELETE",
		.address = address,
		.path = path,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.timeout_ms = CANCEL_TIMEOUT_MS,
	};

	snprintf(path, sizeof(path), "/v1/streams/%s", stream);
	httpc_fetch(h->client, &request, on_cancelled, NULL);
}

/* Pauses or resumes reading, for a slow caller. */
static void pause_reading(struct engine_stream *s, bool paused)
{
	if (s->req)
		httpc_pause(s->req, paused);
}

/* Frees the interface. */
static void engine_free(struct engine *engine)
{
	free(engine);
}

/* Handles the engine's response header. */
static void on_head(void *arg, int status, const struct httpc_header *headers,
		    size_t n)
{
	struct engine_stream *s = arg;
	uint64_t salt = 0;
	size_t i;

	s->status = status;
	if (status != 200)
		return;
	for (i = 0; i < n; i++)
		if (!strcmp(headers[i].name, "x-engine-salt"))
			salt = strtoull(headers[i].value, NULL, 16);
	s->busy = true;
	s->events->on_started(s->arg, salt);
	s->busy = false;
	if (s->detached)
		detach(s);
}

/* Splits the received bytes into lines. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct engine_stream *s = arg;

	if (s->status != 200)
		return;
	s->busy = true;
	while (len && !s->detached) {
		const char *end = memchr(data, '\n', len);
		size_t n = end ? (size_t)(end - data) : len;

		if (!end || s->len) {
			if (!append_line(s, data, n))
				break;
			if (!end)
				break;
			parse_line(s, s->line, s->len);
			s->len = 0;
		} else {
			parse_line(s, data, n);
		}
		data += n + 1;
		len -= n + 1;
	}
	if (!s->detached && s->events->on_pause)
		s->events->on_pause(s->arg);
	s->busy = false;
	if (s->detached)
		detach(s);
}

/* The exchange ended without a final event. */
static void on_end(void *arg, enum httpc_outcome outcome)
{
	struct engine_stream *s = arg;

	s->req = NULL;
	s->busy = true;
	if (outcome == HTTPC_CONNECT_FAILED)
		report_failure(s, ENGINE_UNREACHABLE);
	else if (outcome == HTTPC_OK && s->status != 200)
		report_failure(s, failure_of_status(s));
	else
		report_failure(s, ENGINE_BROKEN);
	s->busy = false;
	if (s->detached)
		detach(s);
}

/* Ignores the outcome of a cancellation. */
static void on_cancelled(void *arg, enum httpc_outcome outcome, int status,
			 const char *body, size_t len)
{
	(void)arg;
	(void)outcome;
	(void)status;
	(void)body;
	(void)len;
}

/* Appends to the incomplete line.  Returns false and fails the stream if the
 * line exceeds LINE_MAX_BYTES. */
static bool append_line(struct engine_stream *s, const char *data, size_t len)
{
	if (s->len + len > LINE_MAX_BYTES) {
		report_failure(s, ENGINE_MALFORMED);
		return false;
	}
	if (s->size - s->len < len) {
		s->size = (s->len + len) * 2;
		s->line = xreallocarray(s->line, s->size, 1);
	}
	memcpy(s->line + s->len, data, len);
	s->len += len;
	return true;
}

/* Parses one line; lines other than data lines are ignored. */
static void parse_line(struct engine_stream *s, const char *line, size_t len)
{
	static const char field[] = "data: ";
	json_t *event;

	if (len < sizeof(field) || memcmp(line, field, sizeof(field) - 1) != 0)
		return;
	event = json_loadb(line + sizeof(field) - 1, len - sizeof(field) + 1, 0,
			   NULL);
	if (!event) {
		report_failure(s, ENGINE_MALFORMED);
		return;
	}
	handle_event(s, event);
	json_decref(event);
}

/* Handles one event. */
static void handle_event(struct engine_stream *s, json_t *event)
{
	const json_t *text = json_object_get(event, "t");
	uint32_t n;

	if (json_is_string(text) && read_position(event, "p", &n))
		s->events->on_token(s->arg, n, json_string_value(text),
				    json_string_length(text));
	else if (json_is_true(json_object_get(event, "done")) &&
		 read_position(event, "n", &n))
		s->events->on_done(s->arg, n);
	else if (json_object_get(event, "error"))
		report_failure(s, ENGINE_REFUSED);
	else
		report_failure(s, ENGINE_MALFORMED);
}

/* Reads a token position of an event.  Returns false if it is not a 32-bit
 * unsigned integer. */
static bool read_position(const json_t *event, const char *key, uint32_t *out)
{
	const json_t *value = json_object_get(event, key);
	json_int_t n = json_integer_value(value);

	if (!json_is_integer(value) || n < 0 || n > UINT32_MAX)
		return false;
	*out = (uint32_t)n;
	return true;
}

/* Reports the stream's failure, unless the stream was detached. */
static void report_failure(struct engine_stream *s, enum engine_failure failure)
{
	if (!s->detached)
		s->events->on_failed(s->arg, failure);
}

/* Maps a status other than 200 to a failure. */
static enum engine_failure failure_of_status(const struct engine_stream *s)
{
	if (s->status == 429 || s->status == 503)
		return ENGINE_BUSY;
	if (s->status == 404 && s->attaching)
		return ENGINE_UNKNOWN_STREAM;
	return ENGINE_REFUSED;
}
