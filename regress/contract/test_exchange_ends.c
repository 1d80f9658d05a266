/* An answer without a length that was reset, or that ended in order before the
 * server had received the request, was complete for lib/httpc.h. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/bytes.h"
#include "lib/httpc.h"
#include "lib/xalloc.h"
#include "regress/harness.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define HEAD "HTTP/1.1 200 OK\r\n"
#define CONNECT_MS 1000
#define CLOSE_MS 20 /* for handles to be closed */
/* Of a server's connections, so that a long request doesn't fit. */
#define RECEIVE_BYTES 4096
#define BODY_BYTES (64u << 10)

/* What the server does with a connection after its answer. */
enum ending {
	HALF, /* closes its sending side in order; the connection stays open */
	FIN,
	RESET,
};

struct server {
	uv_tcp_t listener;
	const char *address;
	const char *answer;
	enum ending ending;
	size_t read_bytes; /* it reads so many, then answers */
	struct connection *last;
};

struct connection {
	uv_tcp_t tcp;
	struct server *server;
	uv_write_t write;
	size_t received;
	char in[4096];
};

struct result {
	bool over;
	enum httpc_outcome outcome;
	int status;
	struct bytes body;
};

static struct harness *harness;
static struct httpc *client;
static struct server server;

static void on_closed(uv_handle_t *h)
{
	free(h->data);
}

/* Ends the connection once the answer is written. */
static void on_written(uv_write_t *req, int status)
{
	struct connection *c = req->data;
	uv_os_fd_t fd;

	assert_int_equal(status, 0);
	if (c->server->ending == HALF) {
		assert_int_equal(uv_fileno((uv_handle_t *)&c->tcp, &fd), 0);
		assert_int_equal(shutdown(fd, SHUT_WR), 0);
		return;
	}
	c->server->last = NULL;
	if (c->server->ending == RESET)
		uv_tcp_close_reset(&c->tcp, on_closed);
	else
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
	if (n < 0) {
		c->server->last = NULL;
		uv_close((uv_handle_t *)stream, on_closed);
		return;
	}
	c->received += (size_t)n;
	if (c->received < c->server->read_bytes)
		return;
	uv_read_stop(stream);
	c->server->last = c;
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
	client = httpc_new(harness_loop(harness));
	memset(&server, 0, sizeof(server));
	server.address = harness_address(harness);
	harness_listen(harness, &server.listener, server.address, on_connection,
		       &server);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	httpc_free(client);
	uv_close((uv_handle_t *)&server.listener, NULL);
	harness_run(harness, CLOSE_MS);
	harness_free(harness);
	return 0;
}

static void on_head(void *arg, int status, const struct httpc_header *headers,
		    size_t n)
{
	(void)headers;
	(void)n;
	((struct result *)arg)->status = status;
}

static void on_body(void *arg, const char *data, size_t len)
{
	bytes_add(&((struct result *)arg)->body, data, len);
}

static void on_end(void *arg, enum httpc_outcome outcome)
{
	struct result *r = arg;

	r->outcome = outcome;
	r->over = true;
}

static bool is_over(void *arg)
{
	return ((struct result *)arg)->over;
}

/* Returns how many bytes the client sends for a body of len bytes. */
static size_t request_bytes(size_t len)
{
	char *head = xasprintf("POST / HTTP/1.1\r\nhost: %s\r\n"
			       "connection: close\r\n"
			       "content-length: %zu\r\n\r\n",
			       server.address, len);
	size_t n = strlen(head) + len;

	free(head);
	return n;
}

/* Sends a body of len bytes to the server, which reads all of the request or the
 * first byte, and waits for the end of the exchange. */
static void upload(struct result *r, size_t len, bool reads_all)
{
	static const struct httpc_ops ops = {
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
	};
	char *body = xcalloc(len, 1);
	const struct httpc_request request = {
		.method = "POST",
		.address = server.address,
		.path = "/",
		.body = body,
		.body_len = len,
		.connect_timeout_ms = CONNECT_MS,
	};

	server.read_bytes = reads_all ? request_bytes(len) : 1;
	httpc_start(client, &request, &ops, r);
	harness_until(harness, is_over, r, "the exchange ends");
	free(body);
	if (server.last)
		uv_close((uv_handle_t *)&server.last->tcp, on_closed);
	server.last = NULL;
}

static void early_ends(void **state)
{
	static const struct {
		const char *what;
		const char *answer;
		/* the outcome if the request is not read; if it is, and the
		 * connection ends in order; and if it is, and that is reset */
		enum httpc_outcome unread;
		enum httpc_outcome read;
		enum httpc_outcome reset;
	} cases[] = {
		{ "without a length", HEAD "\r\nab", HTTPC_BROKEN, HTTPC_OK,
		  HTTPC_BROKEN },
		{ "without a length, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nab",
		  HTTPC_BROKEN, HTTPC_OK, HTTPC_BROKEN },
		{ "without a byte of its body", HEAD "\r\n", HTTPC_BROKEN,
		  HTTPC_OK, HTTPC_BROKEN },
		{ "a refusal without a length", "HTTP/1.1 413 L\r\n\r\nab",
		  HTTPC_OK, HTTPC_OK, HTTPC_BROKEN },
		{ "with a length", HEAD "content-length: 2\r\n\r\nab", HTTPC_OK,
		  HTTPC_OK, HTTPC_OK },
		{ "in chunks",
		  HEAD "transfer-encoding: chunked\r\n\r\n"
		       "2\r\nab\r\n0\r\n\r\n",
		  HTTPC_OK, HTTPC_OK, HTTPC_OK },
	};
	int size = RECEIVE_BYTES;
	uv_os_fd_t fd;
	size_t n;

	(void)state;
	assert_int_equal(uv_fileno((uv_handle_t *)&server.listener, &fd), 0);
	assert_int_equal(
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size)), 0);
	for (n = 0; n < N(cases) * 4; n++) {
		size_t i = n / 4;
		enum ending ending = n % 4 == 3	  ? RESET
				     : n % 4 == 2 ? FIN
						  : HALF;
		bool reads_all = n % 4 > 0;
		enum httpc_outcome expected = !reads_all ? cases[i].unread
					      : ending == RESET ? cases[i].reset
								: cases[i].read;
		struct result r = { .over = false };

		server.answer = cases[i].answer;
		server.ending = ending;
		upload(&r, BODY_BYTES, reads_all);
		if (r.outcome != expected)
			fail_msg("%s, way %zu: %s", cases[i].what, n % 4,
				 httpc_outcome_name(r.outcome));
		bytes_release(&r.body);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(early_ends, set_up, tear_down),
	};

	return cmocka_run_group_tests_name("early ends of exchanges", tests,
					   NULL, NULL);
}
