/* An answer with a status that no answer may have was passed on, or skipped like
 * an interim one so that its body was taken for the answer.  Both clients take it
 * for no answer. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/bytes.h"
#include "lib/http1_client.h"
#include "lib/httpc.h"
#include "lib/xalloc.h"
#include "regress/harness.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define CONNECT_MS 1000
#define CLOSE_MS 20 /* for handles to be closed */
#define WHOLE "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab"

struct server {
	uv_tcp_t listener;
	const char *address;
	const char *answer;
};

struct connection {
	uv_tcp_t tcp;
	const struct server *server;
	uv_write_t write;
	char in[4096];
};

struct result {
	bool over;
	bool complete;
	bool malformed; /* told apart by lib/http1_client.h only */
	int status; /* 0: no head was passed on */
	struct bytes body;
};

static struct harness *harness;
static struct http1_client *client;
static struct httpc *httpc;
static struct server server;

static void on_closed(uv_handle_t *h)
{
	free(h->data);
}

/* Ends the connection in order once the answer is written. */
static void on_written(uv_write_t *req, int status)
{
	struct connection *c = req->data;

	(void)status;
	uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	struct connection *c = h->data;

	(void)suggested;
	*buf = uv_buf_init(c->in, sizeof(c->in));
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct connection *c = stream->data;
	uv_buf_t out = uv_buf_init((char *)c->server->answer,
				   (unsigned int)strlen(c->server->answer));

	(void)buf;
	if (uv_is_closing((uv_handle_t *)stream))
		return;
	if (n < 0) {
		uv_close((uv_handle_t *)stream, on_closed);
		return;
	}
	uv_read_stop(stream);
	c->write.data = c;
	uv_write(&c->write, stream, &out, 1, on_written);
}

static void on_connection(uv_stream_t *stream, int status)
{
	struct connection *c = xcalloc(1, sizeof(*c));

	assert_int_equal(status, 0);
	c->server = stream->data;
	uv_tcp_init(stream->loop, &c->tcp);
	c->tcp.data = c;
	assert_int_equal(uv_accept(stream, (uv_stream_t *)&c->tcp), 0);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	client = http1_client_new(harness_loop(harness));
	httpc = httpc_new(harness_loop(harness));
	memset(&server, 0, sizeof(server));
	server.address = harness_address(harness);
	harness_listen(harness, &server.listener, server.address, on_connection,
		       &server);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	http1_client_free(client);
	httpc_free(httpc);
	uv_close((uv_handle_t *)&server.listener, NULL);
	harness_run(harness, CLOSE_MS);
	harness_free(harness);
	return 0;
}

static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head)
{
	((struct result *)arg)->status = head->status;
	return HTTP1_ACCEPT;
}

static void on_body(void *arg, const char *data, size_t len)
{
	bytes_add(&((struct result *)arg)->body, data, len);
}

static void on_end(void *arg, enum http1_outcome outcome)
{
	struct result *r = arg;

	r->complete = outcome == HTTP1_COMPLETE;
	r->malformed = outcome == HTTP1_MALFORMED;
	r->over = true;
}

static void on_httpc_head(void *arg, int status,
			  const struct httpc_header *headers, size_t n)
{
	(void)headers;
	(void)n;
	((struct result *)arg)->status = status;
}

static void on_httpc_end(void *arg, enum httpc_outcome outcome)
{
	struct result *r = arg;

	r->complete = outcome == HTTPC_OK;
	r->malformed = !r->complete;
	r->over = true;
}

static bool is_over(void *arg)
{
	http1_client_tick(client);
	return ((struct result *)arg)->over;
}

/* Calls the server with lib/httpc.h, or with lib/http1_client.h. */
static void call(struct result *r, bool by_httpc)
{
	static const struct http1_call_ops ops = {
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
	};
	static const struct httpc_ops httpc_ops = {
		.on_head = on_httpc_head,
		.on_body = on_body,
		.on_end = on_httpc_end,
	};
	const struct http1_call_options options = {
		.address = server.address,
		.connect_timeout_ms = CONNECT_MS,
	};
	const struct httpc_request request = {
		.method = "GET",
		.address = server.address,
		.path = "/",
		.connect_timeout_ms = CONNECT_MS,
	};
	char *text = xstrdup("GET / HTTP/1.1\r\nhost: h\r\n\r\n");

	if (by_httpc) {
		free(text);
		httpc_start(httpc, &request, &httpc_ops, r);
	} else {
		http1_call_start(client, &options, text, strlen(text), &ops, r);
	}
	harness_until(harness, is_over, r, "the call ends");
}

/* The ways in which an answer with a status goes on after its status line. */
static const struct {
	const char *what;
	const char *rest;
} ways[] = {
	{ "with a length", "content-length: 2\r\n\r\nab" },
	{ "without a length", "\r\nab" },
	{ "in chunks",
	  "transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" },
	{ "without a body", "content-length: 0\r\n\r\n" },
	{ "before a whole answer", "content-length: 40\r\n\r\n" WHOLE },
	{ "before a whole answer, without a length", "\r\n" WHOLE },
};

static void odd_statuses(void **state)
{
	static const char *const lines[] = {
		"HTTP/1.1 000 S", "HTTP/1.1 001 S",	"HTTP/1.1 042 S",
		"HTTP/1.1 099 S", "HTTP/1.1 101 S",	"HTTP/1.1 600 S",
		"HTTP/1.1 999 S", "HTTP/1.0 000 S",	"HTTP/1.1 2000 S",
		"HTTP/1.1 20 S",  "HTTP/1.1 +20 S",	"HTTP/1.1 -20 S",
		"HTTP/1.1 2x0 S", "HTTP/1.1  200 S",	"HTTP/1.1 200S",
		"HTTP/2.0 200 S", "HTTP/0.9 200 S",	"HTTP/1.10 200 S",
		"HTTP/1.x 200 S", "HTTP/1.1 200 \x01S", "http/1.1 200 S",
	};
	size_t n;

	(void)state;
	for (n = 0; n < N(lines) * N(ways) * 2; n++) {
		const char *line = lines[n / 2 / N(ways)];
		const char *rest = ways[n / 2 % N(ways)].rest;
		char *answer = xasprintf("%s\r\n%s", line, rest);
		struct result r = { .over = false };

		server.answer = answer;
		call(&r, n % 2);
		if (!r.malformed || r.status || r.body.len)
			fail_msg("%s, %s, %s: %s, status %d, %zu bytes", line,
				 ways[n / 2 % N(ways)].what,
				 n % 2 ? "httpc" : "http1_client",
				 r.complete ? "complete" : "not complete",
				 r.status, r.body.len);
		bytes_release(&r.body);
		free(answer);
	}
}

static void statuses_of_answers(void **state)
{
	static const int statuses[] = {
		200, 201, 299, 302, 404, 499, 500, 599
	};
	size_t n;

	(void)state;
	for (n = 0; n < N(statuses) * 2; n++) {
		int status = statuses[n / 2];
		char *answer = xasprintf("HTTP/1.1 100 S\r\n\r\n"
					 "HTTP/1.1 102 S\r\n\r\n"
					 "HTTP/1.1 199 S\r\n\r\n"
					 "HTTP/1.1 %d S\r\n"
					 "content-length: 2\r\n\r\nab",
					 status);
		struct result r = { .over = false };

		server.answer = answer;
		call(&r, n % 2);
		assert_true(r.complete);
		assert_int_equal(r.status, status);
		assert_int_equal(r.body.len, 2);
		bytes_release(&r.body);
		free(answer);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(odd_statuses),
		cmocka_unit_test(statuses_of_answers),
	};

	return cmocka_run_group_tests_name("odd statuses", tests, set_up,
					   tear_down);
}
