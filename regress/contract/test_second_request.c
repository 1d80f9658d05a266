/*
 * A server that is to close its connections answers each request that a caller
 * has sent behind another one before it closes the connection.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/bytes.h"
#include "lib/http1_server.h"
#include "regress/harness.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define REQUEST "POST /a HTTP/1.1\r\nHost: a\r\ncontent-length: 1\r\n\r\nx"
#define CLOSE "connection: close\r\n"

struct second_request_case {
	const char *what;
	const char *sent; /* at once */
	const char
		*rest; /* once the first request has been answered, or NULL */
	size_t answers;
	bool streams; /* its answers */
	bool begun; /* the first answer, before the server is to close */
};

static const struct second_request_case cases[] = {
	{ .what = "one request", .sent = REQUEST, .answers = 1 },
	{ .what = "two requests", .sent = REQUEST REQUEST, .answers = 2 },
	{ .what = "three requests",
	  .sent = REQUEST REQUEST REQUEST,
	  .answers = 3 },
	{ .what = "part of the second",
	  .sent = REQUEST "POST /a HTTP/1.1\r\nHost: a\r\n",
	  .rest = "content-length: 1\r\n\r\nx",
	  .answers = 2 },
	{ .what = "one stream",
	  .sent = REQUEST,
	  .answers = 1,
	  .streams = true },
	{ .what = "two streams",
	  .sent = REQUEST REQUEST,
	  .answers = 2,
	  .streams = true },
	{ .what = "two streams, the first begun",
	  .sent = REQUEST REQUEST,
	  .answers = 2,
	  .streams = true,
	  .begun = true },
};

struct caller {
	int fd;
	struct bytes in;
	bool closed; /* by the server */
};

static struct harness *harness;
static struct http1_server *server;
static const struct second_request_case *in_play;
static struct http1_conn *first; /* that waits for its answer */
static size_t n_requests;

static void begin_answer(struct http1_conn *c)
{
	if (in_play->streams)
		http1_stream_begin(c, 200, NULL);
}

static void end_answer(struct http1_conn *c)
{
	if (!in_play->streams) {
		http1_reply(c, 200, NULL, "a", 1);
		return;
	}
	http1_stream_write(c, "a", 1);
	http1_stream_end(c);
}

/* Answers each request but the first at once. */
static void on_request(struct http1_conn *c, struct http1_request *r, void *arg)
{
	(void)r;
	(void)arg;
	if (!n_requests++) {
		first = c;
		return;
	}
	begin_answer(c);
	end_answer(c);
}

static void on_gone(void *owner)
{
	(void)owner;
}

static const struct http1_server_ops ops = {
	.on_request = on_request,
	.on_gone = on_gone,
};

static bool has_first(void *unused)
{
	(void)unused;
	return first;
}

/* Receives what has arrived; returns whether the connection has ended. */
static bool is_closed(void *caller)
{
	struct caller *c = caller;
	char buf[4096];
	ssize_t n;

	while ((n = recv(c->fd, buf, sizeof(buf), 0)) > 0)
		bytes_add(&c->in, buf, (size_t)n);
	c->closed = n == 0 || errno != EAGAIN;
	return c->closed;
}

/* Receives what has arrived; returns whether it is more than nothing. */
static bool has_bytes(void *caller)
{
	struct caller *c = caller;

	return is_closed(c) || c->in.len;
}

static void connect_caller(struct caller *c, const char *address)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };

	*c = (struct caller){
		.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0),
	};
	sin.sin_port =
		htons((uint16_t)strtoul(strchr(address, ':') + 1, NULL, 10));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(c->fd, (struct sockaddr *)&sin, sizeof(sin)),
			 0);
	assert_int_equal(fcntl(c->fd, F_SETFL, O_NONBLOCK), 0);
}

static void send_text(const struct caller *c, const char *text)
{
	assert_int_equal(send(c->fd, text, strlen(text), MSG_NOSIGNAL),
			 strlen(text));
}

/* Counts the whole answers that a caller received.  Sets *last to whether the last
 * one alone says that the connection is closed after it. */
static size_t count_answers(struct caller *c, bool *last)
{
	size_t closes = 0;
	size_t n = 0;

	*last = false;
	while (c->in.len) {
		struct http1_body framing;
		struct http1_head head;
		size_t decoded;
		size_t rest;

		if (http1_parse_response(c->in.data, c->in.len, &head, &rest) !=
			    HTTP1_DONE ||
		    !http1_response_framing(&head, false, &framing))
			break;
		*last = !http1_keeps_alive(&head);
		closes += *last;
		bytes_consume(&c->in, rest);
		if (http1_body_read(&framing, c->in.data, c->in.len, &decoded,
				    &rest) != HTTP1_DONE)
			break;
		bytes_consume(&c->in, decoded);
		c->in.len = rest;
		n++;
	}
	*last = *last && closes == 1;
	return n;
}

/* Plays a case; returns whether all its requests were answered. */
static bool run_case(const struct second_request_case *k)
{
	const char *address = harness_address(harness);
	struct caller c;
	char err[128];
	size_t answers;
	bool last;

	in_play = k;
	first = NULL;
	n_requests = 0;
	server = http1_server_new(harness_loop(harness), &ops, NULL);
	assert_int_equal(http1_server_listen(server, address, err, sizeof(err)),
			 0);
	connect_caller(&c, address);
	send_text(&c, k->sent);
	harness_until(harness, has_first, NULL, k->what);
	if (k->begun)
		begin_answer(first);
	http1_server_disable_keepalive(server);
	if (!k->begun)
		begin_answer(first);
	end_answer(first);
	if (k->rest) {
		harness_until(harness, has_bytes, &c, "the first answer");
		if (!c.closed)
			send_text(&c, k->rest);
	}
	harness_until(harness, is_closed, &c, k->what);
	answers = count_answers(&c, &last);
	if (answers != k->answers || !last)
		print_message("%s: %zu of %zu answered%s\n", k->what, answers,
			      k->answers,
			      last ? "" : ", not the last one alone closes");
	close(c.fd);
	bytes_release(&c.in);
	http1_server_free(server);
	return answers == k->answers && last;
}

static void request_behind_another_one_is_answered(void **state)
{
	size_t unanswered = 0;
	size_t i;

	(void)state;
	harness = harness_new();
	for (i = 0; i < N(cases); i++)
		unanswered += !run_case(&cases[i]);
	harness_free(harness);
	assert_int_equal(unanswered, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(request_behind_another_one_is_answered),
	};

	return cmocka_run_group_tests_name("second request", tests, NULL, NULL);
}
