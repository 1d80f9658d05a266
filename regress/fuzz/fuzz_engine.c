/* Fuzzes the parser of model engine streams, with reads of any length.  The
 * functions of the HTTP client that engine_http.c calls are replaced by
 * stubs. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "entryd/engine.h"
#include "lib/httpc.h"
#include "regress/fuzz/fuzz.h"

#define ADDRESS "127.0.0.1:1"

struct httpc_req {
	const struct httpc_ops *ops;
	void *arg;
};

/* The state of a stream; it is detached at its end, as attempts do. */
struct stream_state {
	struct engine_stream *stream;
	struct engine *engine;
	bool over;
};

static struct httpc_req request;

struct httpc_req *httpc_start(struct httpc *client,
			      const struct httpc_request *r,
			      const struct httpc_ops *ops, void *arg)
{
	(void)client;
	(void)r;
	request.ops = ops;
	request.arg = arg;
	return &request;
}

void httpc_cancel(struct httpc_req *r)
{
	r->ops = NULL;
}

void httpc_pause(struct httpc_req *r, bool paused)
{
	(void)r;
	(void)paused;
}

void httpc_fetch(struct httpc *client, const struct httpc_request *r,
		 void (*done)(void *arg, enum httpc_outcome outcome, int status,
			      const char *body, size_t len),
		 void *arg)
{
	(void)client;
	(void)r;
	(void)done;
	(void)arg;
}

static void on_started(void *arg, uint64_t salt)
{
	(void)arg;
	(void)salt;
}

static void on_token(void *arg, uint32_t position, const char *text, size_t len)
{
	const struct stream_state *st = arg;

	(void)position;
	if (st->over || strlen(text) > len)
		abort();
}

/* Detaches the stream at its end; no event may follow. */
static void finish(struct stream_state *st)
{
	if (st->over)
		abort();
	st->over = true;
	st->engine->ops->detach(st->stream);
}

static void on_done(void *arg, uint32_t n)
{
	(void)n;
	finish(arg);
}

static void on_failed(void *arg, enum engine_failure failure)
{
	if (!engine_failure_text(failure))
		abort();
	finish(arg);
}

static void on_pause(void *arg)
{
	const struct stream_state *st = arg;

	if (st->over)
		abort();
}

static const struct engine_events events = {
	.on_started = on_started,
	.on_token = on_token,
	.on_done = on_done,
	.on_failed = on_failed,
	.on_pause = on_pause,
};

/* Passes the input to the engine; the first byte of each read sets its
 * length. */
static void feed(const uint8_t *data, size_t size)
{
	const struct httpc_header salt = { "x-engine-salt",
					   "0123456789abcdef" };

	request.ops->on_head(request.arg, 200, &salt, 1);
	while (size && request.ops) {
		size_t n = data[0] % 64 + 1;

		n = n < size ? n : size;
		request.ops->on_body(request.arg, (const char *)data, n);
		data += n;
		size -= n;
	}
	if (request.ops)
		request.ops->on_end(request.arg, HTTPC_OK);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct stream_state st = { .engine = engine_http_new(NULL) };

	st.stream = st.engine->ops->attach(st.engine, ADDRESS, "a.1.b", 0,
					   &events, &st);
	feed(data, size);
	if (!st.over)
		abort();
	st.engine->ops->free(st.engine);
	return 0;
}
