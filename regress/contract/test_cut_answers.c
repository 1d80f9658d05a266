/*
 * The server reports each answer that it was handed whole and whose connection it
 * ends before that answer is out: it is counted as lost, and not as given.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/http1_server.h"
#include "lib/settings.h"
#include "lib/xalloc.h"
#include "regress/harness.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define CLOSE "connection: close\r\n"
#define LINGERERS 300 /* connections that are read on after their answers */
#define LARGE ((size_t)32 << 20) /* exceeds the buffers of sockets */
#define UPLOAD ((size_t)1 << 20) /* exceeds what the server reads in one go */
#define SOME_UPLOAD ((size_t)65536)
#define READ_BYTES 4096
#define IDLE_MS 1
#define ENDS_MAX 8

struct cut_case {
	const char *what;
	const char *headers;
	size_t bytes; /* of the answer, which the caller doesn't read */
	size_t upload; /* sent after the request */
	bool sends_on; /* more, until the connection is ended */
	bool process_ends;
	enum http1_end why;
	bool cut;
};

static const struct cut_case cases[] = {
	{ .what = "queued, the last one of its connection",
	  .headers = CLOSE,
	  .bytes = LARGE,
	  .why = HTTP1_END_IDLE,
	  .cut = true },
	{ .what = "queued, on a connection that is kept",
	  .headers = "",
	  .bytes = LARGE,
	  .why = HTTP1_END_IDLE,
	  .cut = true },
	{ .what = "queued, the process ends",
	  .headers = "",
	  .bytes = LARGE,
	  .process_ends = true,
	  .why = HTTP1_END_PROCESS,
	  .cut = true },
	{ .what = "all of it sent, on a connection that is kept",
	  .headers = "",
	  .why = HTTP1_END_IDLE },
	{ .what = "its caller sends on beyond what is read after it",
	  .headers = CLOSE,
	  .upload = UPLOAD,
	  .sends_on = true,
	  .why = HTTP1_END_LINGER,
	  .cut = true },
};

static struct harness *harness;
static struct http1_server *server;
static const char *address;
static size_t answer_bytes;
static size_t n_requests;
static struct http1_ended ends[ENDS_MAX];
static size_t n_ends;
static int sender = -1; /* a caller that sends on; -1: none */

static void on_request(struct http1_conn *c, struct http1_request *r, void *arg)
{
	char *body = xcalloc(1, answer_bytes + 1);

	(void)r;
	(void)arg;
	n_requests++;
	http1_reply(c, 200, NULL, body, answer_bytes);
	free(body);
}

static void on_gone(void *owner)
{
	(void)owner;
}

static void on_end(const struct http1_ended *ended, void *arg)
{
	(void)arg;
	assert_true(n_ends < ENDS_MAX);
	ends[n_ends++] = *ended;
}

/* Connects a caller and sends its request, and upload bytes after that or as many
 * as its socket takes. */
static int send_request(const char *headers, size_t upload)
{
	char *request =
		xasprintf("GET / HTTP/1.1\r\nhost: a\r\n%s\r\n", headers);
	struct sockaddr_in sin;
	char host[64];
	uint16_t port;
	char *rest = xcalloc(1, upload + 1);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address_parse(address, host, sizeof(host), &port);
	uv_ip4_addr(host, port, &sin);
	assert_int_equal(
		connect(fd, (const struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(send(fd, request, strlen(request), 0),
			 strlen(request));
	if (upload)
		assert_true(send(fd, rest, upload, MSG_DONTWAIT) > 0);
	free(rest);
	free(request);
	return fd;
}

static bool are_answered(void *arg)
{
	return n_requests == *(size_t *)arg;
}

static bool has_ended(void *arg)
{
	static const char rest[UPLOAD];

	(void)arg;
	http1_server_tick(server);
	while (sender >= 0 && send(sender, rest, sizeof(rest),
				   MSG_DONTWAIT | MSG_NOSIGNAL) > 0)
		;
	return n_ends > 0;
}

/* Starts a server. */
static void start(void)
{
	static const struct http1_server_ops ops = {
		.on_request = on_request,
		.on_gone = on_gone,
		.on_end = on_end,
	};
	static const struct http1_limits limits = {
		.header_bytes = 4096,
		.body_bytes = 4096,
		.header_ms = HARNESS_WAIT_MS,
		.idle_ms = IDLE_MS,
	};
	char err[256];

	harness = harness_new();
	address = harness_address(harness);
	n_ends = n_requests = answer_bytes = 0;
	server = http1_server_new(harness_loop(harness), &ops, NULL);
	http1_server_limits(server, &limits);
	assert_int_equal(http1_server_listen(server, address, err, sizeof(err)),
			 0);
}

static void is_reported(void **state)
{
	const struct cut_case *c = *state;
	size_t one = 1;
	int fd;

	start();
	answer_bytes = c->bytes;
	fd = send_request(c->headers, c->upload);
	harness_until(harness, are_answered, &one, "it is answered");
	if (c->process_ends)
		http1_server_report_open(server);
	sender = c->sends_on ? fd : -1;
	harness_until(harness, has_ended, NULL, "its connection is ended");
	sender = -1;
	assert_int_equal(n_ends, 1);
	assert_string_equal(http1_end_text(ends[0].why),
			    http1_end_text(c->why));
	assert_int_equal(ends[0].cut, c->cut);
	assert_int_equal(ends[0].unsent != 0, c->bytes != 0);
	assert_int_equal(ends[0].unread != 0, c->upload != 0);
	close(fd);
	http1_server_free(server);
	harness_free(harness);
}

/* Returns whether a caller has its answer, and the end behind it. */
static bool has_answer(void *arg)
{
	char buf[READ_BYTES];
	ssize_t n;

	while ((n = recv(*(int *)arg, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
		;
	assert_true(n == 0 || errno == EAGAIN);
	return n == 0;
}

/* However many callers still send after their answers, none is reset before it has
 * read its own. */
static void is_read_beside_many_that_linger(void **state)
{
	size_t n_all = LINGERERS;
	int callers[LINGERERS];
	size_t i;

	(void)state;
	start();
	for (i = 0; i < LINGERERS; i++)
		callers[i] = send_request(CLOSE, SOME_UPLOAD);
	harness_until(harness, are_answered, &n_all, "all are answered");
	for (i = 0; i < LINGERERS; i++)
		harness_until(harness, has_answer, &callers[i],
			      "its answer is read");
	assert_int_equal(n_ends, 0);
	for (i = 0; i < LINGERERS; i++)
		close(callers[i]);
	http1_server_free(server);
	harness_free(harness);
}

int main(void)
{
	struct CMUnitTest tests[N(cases) + 1] = {
		[N(cases)] = cmocka_unit_test(is_read_beside_many_that_linger),
	};
	size_t i;

	for (i = 0; i < N(cases); i++)
		tests[i] = (struct CMUnitTest){
			.name = cases[i].what,
			.test_func = is_reported,
			.initial_state = (void *)&cases[i],
		};
	return cmocka_run_group_tests_name("cut answers", tests, NULL, NULL);
}
