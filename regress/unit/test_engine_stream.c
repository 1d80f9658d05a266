/* Tests which events engine_http.c produces from the bytes of a stream,
 * independent of how the bytes are split.  The functions of the HTTP client
 * that it calls are replaced here. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "entryd/engine.h"
#include "lib/httpc.h"
#include "lib/xalloc.h"

#define LINE_TOO_LONG ((1u << 20) + 1) /* bytes */

struct httpc_req {
	const struct httpc_ops *ops; /* NULL once it is cancelled */
	void *arg;
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

/* The events received, as text.  The stream is detached at its end. */
struct event_log {
	struct engine *engine;
	struct engine_stream *stream;
	char text[512];
	bool over;
};

static void log_event(struct event_log *h, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void log_event(struct event_log *h, const char *fmt, ...)
{
	size_t len = strlen(h->text);
	va_list ap;

	assert_false(h->over);
	va_start(ap, fmt);
	vsnprintf(h->text + len, sizeof(h->text) - len, fmt, ap);
	va_end(ap);
}

static void finish(struct event_log *h)
{
	h->over = true;
	h->engine->ops->detach(h->stream);
}

static void on_started(void *arg, uint64_t salt)
{
	log_event(arg, "started %llx;", (unsigned long long)salt);
}

static void on_token(void *arg, uint32_t position, const char *text, size_t len)
{
	log_event(arg, "%u=%.*s;", position, (int)len, text);
}

static void on_done(void *arg, uint32_t n)
{
	log_event(arg, "done %u", n);
	finish(arg);
}

static void on_failed(void *arg, enum engine_failure failure)
{
	log_event(arg, "%s", engine_failure_text(failure));
	finish(arg);
}

static const struct engine_events events = {
	.on_started = on_started,
	.on_token = on_token,
	.on_done = on_done,
	.on_failed = on_failed,
};

struct stream_case {
	int status;
	const char *bytes;
	enum httpc_outcome outcome; /* after the bytes */
	bool attaching;
	const char *expected_events; /* after "started 1f;" for status 200 */
};

#define TOKEN(p, t) "data: {\"p\":" p ",\"t\":\"" t "\"}\n\n"
#define MALFORMED "sent something malformed"
#define BROKE "broke the connection"

static const struct stream_case cases[] = {
	{ 200,
	  TOKEN("0", "a") TOKEN("1", "b") "data: {\"done\":true,\"n\":2}\n",
	  HTTPC_OK, false, "0=a;1=b;done 2" },
	{ 200, TOKEN("4294967295", "a"), HTTPC_BROKEN, false,
	  "4294967295=a;" BROKE },
	{ 200, TOKEN("4294967296", "a"), HTTPC_OK, false, MALFORMED },
	{ 200, TOKEN("-1", "a"), HTTPC_OK, false, MALFORMED },
	{ 200, TOKEN("0.0", "a"), HTTPC_OK, false, MALFORMED },
	{ 200, "data: {\"done\":true,\"n\":-1}\n", HTTPC_OK, false, MALFORMED },
	{ 200, "data: {\"done\":true}\n", HTTPC_OK, false, MALFORMED },
	{ 200, "data: {\"p\":0}\n", HTTPC_OK, false, MALFORMED },
	{ 200, "data: [\n", HTTPC_OK, false, MALFORMED },
	{ 200, "data: []\n", HTTPC_OK, false, MALFORMED },
	{ 200, "data: {\"error\":\"out of memory\"}\n" TOKEN("0", "a"),
	  HTTPC_OK, false, "refused the request" },
	{ 200, ": ping\nevent: x\n\n" TOKEN("0", "a"), HTTPC_OK, false,
	  "0=a;" BROKE },
	{ 200, "data: {\"p\":0,\"t\":\"cut\"}", HTTPC_OK, false, BROKE },
	{ 200, "", HTTPC_TIMEOUT, false, BROKE },
	{ 429, TOKEN("0", "a"), HTTPC_OK, false, "had no room" },
	{ 503, "", HTTPC_OK, false, "had no room" },
	{ 404, "", HTTPC_OK, true, "no longer knew the generation" },
	{ 404, "", HTTPC_OK, false, "refused the request" },
	{ 409, "", HTTPC_OK, false, "refused the request" },
	{ 429, "", HTTPC_BROKEN, false, BROKE },
	{ 0, "", HTTPC_CONNECT_FAILED, false, "could not be reached" },
};

/* Starts or attaches to a stream. */
static void begin(struct event_log *h, bool attaching)
{
	const struct engine_start start = {
		.address = "127.0.0.1:1",
		.stream = "a.1.b",
		.prompt = "p",
	};

	memset(h, 0, sizeof(*h));
	h->engine = engine_http_new(NULL);
	if (attaching)
		h->stream = h->engine->ops->attach(h->engine, start.address,
						   start.stream, 0, &events, h);
	else
		h->stream =
			h->engine->ops->start(h->engine, &start, &events, h);
}

/* Delivers bytes to the stream, at most step at a time. */
static void feed(const char *bytes, size_t len, size_t step)
{
	while (len && request.ops) {
		size_t n = len < step ? len : step;

		request.ops->on_body(request.arg, bytes, n);
		bytes += n;
		len -= n;
	}
}

static void run_case(const struct stream_case *c, size_t step)
{
	const struct httpc_header salt = { "x-engine-salt", "1f" };
	char expected[512];
	struct event_log h;

	begin(&h, c->attaching);
	if (c->status)
		request.ops->on_head(request.arg, c->status, &salt, 1);
	feed(c->bytes, strlen(c->bytes), step);
	if (request.ops)
		request.ops->on_end(request.arg, c->outcome);
	snprintf(expected, sizeof(expected), "%s%s",
		 c->status == 200 ? "started 1f;" : "", c->expected_events);
	assert_true(h.over);
	assert_string_equal(h.text, expected);
	h.engine->ops->free(h.engine);
}

static void test_events_of_split_input(void **state)
{
	static const size_t steps[] = { 1, 2, 7, 4096 };
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		for (k = 0; k < sizeof(steps) / sizeof(steps[0]); k++)
			run_case(&cases[i], steps[k]);
}

/* The buffer for a line without end is bounded. */
static void test_unbounded_line_is_malformed(void **state)
{
	char *line = xcalloc(LINE_TOO_LONG, 1);
	struct event_log h;

	(void)state;
	memset(line, 'x', LINE_TOO_LONG);
	begin(&h, false);
	request.ops->on_head(request.arg, 200, NULL, 0);
	feed(line, LINE_TOO_LONG, 65536);
	assert_string_equal(h.text, "started 0;" MALFORMED);
	assert_null(request.ops);
	h.engine->ops->free(h.engine);
	free(line);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_events_of_split_input),
		cmocka_unit_test(test_unbounded_line_is_malformed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
