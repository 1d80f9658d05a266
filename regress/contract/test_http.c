/* Contract tests of lib/httpd.h and lib/httpc.h, run against each other. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>
#include <uv.h>

#include "lib/httpc.h"
#include "lib/httpd.h"

#define PARTS 200

static uv_loop_t *loop;
static struct httpd *server;
static struct httpc *client;
static char address[32];
static struct httpd_req *unanswered;
static int closed; /* requests that ended on the server's side */

struct answer {
	enum httpc_outcome outcome;
	int status;
	size_t len;
	int ended;
	char last[64];
	char body[64];
};

static void on_close(void *arg)
{
	(void)arg;
	closed++;
}

static void handle_echo(struct httpd_req *req, void *arg)
{
	size_t len;
	const char *body = httpd_body(req, &len);
	char value[32] = "";

	(void)arg;
	httpd_on_close(req, on_close, NULL);
	if (httpd_query_get(req, "q", value, sizeof(value)))
		httpd_add_header(req, "x-q", value);
	httpd_reply(req, 200, "text/plain", body, len);
}

static void handle_parts(struct httpd_req *req, void *arg)
{
	int i;

	(void)arg;
	httpd_on_close(req, on_close, NULL);
	httpd_stream_begin(req, 200, "text/event-stream");
	for (i = 0; i < PARTS; i++)
		httpd_stream_write(req, "0123456789", 10);
	httpd_stream_end(req);
}

static void handle_cut(struct httpd_req *req, void *arg)
{
	(void)arg;
	httpd_on_close(req, on_close, NULL);
	httpd_stream_begin(req, 200, "text/event-stream");
	httpd_stream_write(req, "half", 4);
	httpd_stream_abort(req);
}

/* Keeps the request for the test to answer: over HTTP/1.1 the server does not
 * detect a disconnect before the answer begins. */
static void handle_silent(struct httpd_req *req, void *arg)
{
	(void)arg;
	httpd_on_close(req, on_close, NULL);
	unanswered = req;
}

static const struct httpd_route routes[] = {
	{ "/echo", handle_echo }, { "/parts", handle_parts },
	{ "/cut", handle_cut },	  { "/silent/", handle_silent },
	{ NULL, NULL },
};

static void on_head(void *arg, int status, const struct httpc_header *headers,
		    size_t n)
{
	struct answer *a = arg;
	size_t i;

	a->status = status;
	for (i = 0; i < n; i++)
		if (!strcmp(headers[i].name, "x-q"))
			snprintf(a->last, sizeof(a->last), "%s",
				 headers[i].value);
}

static void on_body(void *arg, const char *data, size_t len)
{
	struct answer *a = arg;

	if (a->len < sizeof(a->body))
		memcpy(a->body + a->len, data,
		       len < sizeof(a->body) - a->len
			       ? len
			       : sizeof(a->body) - a->len);
	a->len += len;
}

static void on_end(void *arg, enum httpc_outcome outcome)
{
	struct answer *a = arg;

	a->outcome = outcome;
	a->ended++;
}

static const struct httpc_ops ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static bool refuse(void *arg)
{
	(void)arg;
	return false;
}

static const struct httpc_ops refusing_ops = {
	.on_connected = refuse,
	.on_end = on_end,
};

static int setup(void **state)
{
	char err[128];
	const struct httpd_options options = {
		.routes = routes,
		.max_body = 1000,
	};
	int port;

	(void)state;
	loop = uv_default_loop();
	server = httpd_new(loop, &options);
	for (port = 21000; port < 21100; port++) {
		snprintf(address, sizeof(address), "127.0.0.1:%d", port);
		if (!httpd_listen(server, address, err, sizeof(err)))
			break;
	}
	client = httpc_new(loop);
	return port == 21100;
}

static int teardown(void **state)
{
	(void)state;
	httpc_free(client);
	httpd_free(server);
	uv_run(loop, UV_RUN_NOWAIT);
	uv_run(loop, UV_RUN_NOWAIT);
	return 0;
}

static void fetch(struct answer *a, const char *method, const char *to,
		  const char *path, size_t body_len)
{
	char body[4096];
	const struct httpc_request r = {
		.method = method,
		.address = to,
		.path = path,
		.body = body,
		.body_len = body_len,
		.timeout_ms = 200,
	};

	memset(body, 'x', sizeof(body));
	memset(a, 0, sizeof(*a));
	httpc_start(client, &r, &ops, a);
	while (!a->ended)
		uv_run(loop, UV_RUN_ONCE);
}

static void test_exchanges(void **state)
{
	static const struct {
		const char *method;
		const char *path;
		size_t body_len;
		enum httpc_outcome outcome;
		int status;
		size_t len;
	} cases[] = {
		{ "GET", "/echo", 0, HTTPC_OK, 200, 0 },
		{ "POST", "/echo", 1000, HTTPC_OK, 200, 1000 },
		{ "POST", "/echo?q=a%20b", 3, HTTPC_OK, 200, 3 },
		{ "GET", "/parts", 0, HTTPC_OK, 200, PARTS * 10 },
		{ "GET", "/cut", 0, HTTPC_BROKEN, 200, 4 },
		{ "GET", "/silent/x", 0, HTTPC_TIMEOUT, 0, 0 },
		{ "HEAD", "/echo", 0, HTTPC_OK, 200, 0 },
	};
	struct answer a;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		fetch(&a, cases[i].method, address, cases[i].path,
		      cases[i].body_len);
		print_message("%s %s\n", cases[i].method, cases[i].path);
		assert_int_equal(a.outcome, cases[i].outcome);
		assert_int_equal(a.status, cases[i].status);
		/* only a prefix of an aborted answer arrives */
		if (a.outcome == HTTPC_BROKEN) {
			assert_true(a.len <= cases[i].len);
			assert_memory_equal(a.body, "half", a.len);
		} else {
			assert_int_equal(a.len, cases[i].len);
		}
		assert_int_equal(a.ended, 1);
		if (strchr(cases[i].path, '?'))
			assert_string_equal(a.last, "a b");
	}
	httpd_reply(unanswered, 200, "text/plain", "late", 4);
	fetch(&a, "GET", address, "/absent", 0);
	assert_int_equal(a.status, 404);
	fetch(&a, "POST", address, "/echo", 2000);
	assert_int_equal(a.status, 413);
}

static void test_nothing_sent(void **state)
{
	const struct httpc_request r = {
		.method = "POST",
		.address = address,
		.path = "/echo",
	};
	struct answer a;
	int before = closed;

	(void)state;
	fetch(&a, "GET", "127.0.0.1:1", "/", 0);
	assert_int_equal(a.outcome, HTTPC_CONNECT_FAILED);
	fetch(&a, "GET", "nowhere", "/", 0);
	assert_int_equal(a.outcome, HTTPC_CONNECT_FAILED);
	memset(&a, 0, sizeof(a));
	httpc_start(client, &r, &refusing_ops, &a);
	while (!a.ended)
		uv_run(loop, UV_RUN_ONCE);
	assert_int_equal(a.outcome, HTTPC_CONNECT_FAILED);
	assert_int_equal(closed, before);
}

static void test_cancel(void **state)
{
	const struct httpc_request r = {
		.method = "GET",
		.address = address,
		.path = "/parts",
	};
	struct answer a = { .ended = 0 };
	struct httpc_req *req = httpc_start(client, &r, &ops, &a);
	int i;

	(void)state;
	for (i = 0; i < 3; i++)
		uv_run(loop, UV_RUN_NOWAIT);
	if (!a.ended)
		httpc_cancel(req);
	for (i = 0; i < 50; i++)
		uv_run(loop, UV_RUN_NOWAIT);
	assert_true(a.ended <= 1);
	while (httpd_open_requests(server))
		uv_run(loop, UV_RUN_ONCE);
}

/* Checks the outcome of a dropped fetch and frees its argument. */
static void on_dropped_fetch(void *arg, enum httpc_outcome outcome, int status,
			     const char *body, size_t len)
{
	int **ended = arg;

	assert_int_equal(outcome, HTTPC_DROPPED);
	assert_int_equal(status, 0);
	assert_string_equal(body, "");
	assert_int_equal(len, 0);
	(**ended)++;
	free(ended);
}

/* Freeing a client during a fetch calls done with HTTPC_DROPPED, so that its
 * argument does not leak.  Happens at a planned stop with probes in
 * progress. */
static void test_dropped(void **state)
{
	const struct httpc_request request = {
		.method = "GET",
		.address = address,
		.path = "/silent/dropped",
	};
	struct httpc *c = httpc_new(loop);
	int **arg = malloc(sizeof(*arg));
	int ended = 0;
	int i;

	(void)state;
	assert_non_null(arg);
	*arg = &ended;
	httpc_fetch(c, &request, on_dropped_fetch, arg);
	for (i = 0; i < 10; i++)
		uv_run(loop, UV_RUN_NOWAIT);
	assert_int_equal(ended, 0);
	httpc_free(c);
	assert_int_equal(ended, 1);
	for (i = 0; i < 10; i++)
		uv_run(loop, UV_RUN_NOWAIT);
	assert_int_equal(ended, 1);
}

static void on_stalled_end(void *arg, enum httpc_outcome outcome)
{
	enum httpc_outcome *got = arg;

	*got = outcome;
}

/* A loop that was blocked runs its timers before it learns that a connection is
 * established: the blocked time must not count toward the connect timeout. */
static void test_loop_that_stood_still(void **state)
{
	static const struct httpc_ops stalled_ops = {
		.on_end = on_stalled_end,
	};
	const struct httpc_request request = {
		.method = "GET",
		.address = address,
		.path = "/echo",
		.connect_timeout_ms = 200,
		.timeout_ms = 5000,
	};
	enum httpc_outcome outcome = HTTPC_DROPPED;
	int i;

	(void)state;
	uv_update_time(loop);
	httpc_start(client, &request, &stalled_ops, &outcome);
	usleep(600000);
	for (i = 0; i < 200 && outcome == HTTPC_DROPPED; i++)
		uv_run(loop, UV_RUN_ONCE);
	assert_int_equal(outcome, HTTPC_OK);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_exchanges),
		cmocka_unit_test(test_nothing_sent),
		cmocka_unit_test(test_cancel),
		cmocka_unit_test(test_dropped),
		cmocka_unit_test(test_loop_that_stood_still),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
