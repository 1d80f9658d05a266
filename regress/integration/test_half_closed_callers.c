/*
 * A caller that ends its sending direction after a whole request, and still reads,
 * gets the answer.
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
#include "regress/platform_standin.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define SILENT_MS 100 /* of the endpoint of plain requests */

struct half_closed_case {
	const char *what;
	const char *path;
	bool kept; /* the connection has carried a request before */
	const char *end; /* of the answer */
};

static const struct half_closed_case cases[] = {
	{ "runs once", "/book/a", false, "plain answer" },
	{ "runs once, kept connection", "/book/b", true, "plain answer" },
	{ "may be repeated", "/look/a", false, "plain answer" },
	{ "may be repeated, kept connection", "/look/b", true, "plain answer" },
	{ "stream that resumes", "/write/a", false, "\r\n0\r\n\r\n" },
	{ "stream that does not", "/tell/a", false, "\r\n0\r\n\r\n" },
};

/* The connection of a caller and what it has received. */
struct caller {
	int fd;
	struct bytes in;
	bool closed; /* by the instance */
};

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	standin_init_instance(world, &one, "one", NULL);
	standin_add_worker(world, "plain", "z1")->silent_ms = SILENT_MS;
	standin_add_worker(world, "engine", "z1");
	standin_put_configuration(
		world, 2,
		"{\"name\":\"tell\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":"
		"\"/tell/\",\"routeType\":\"streaming\",\"timeoutMs\":20000,"
		"\"targetLatencyMs\":4500,\"targetGapMs\":700,\"backend\":"
		"\"engine\",\"maxAttempts\":1}");
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	proc_kill(one.proc);
	standin_free(world);
	harness_free(harness);
	return 0;
}

static void connect_caller(struct caller *c)
{
	const char *colon = strchr(one.callers, ':');
	struct sockaddr_in sin = { .sin_family = AF_INET };

	*c = (struct caller){
		.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0),
	};
	sin.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(c->fd, (struct sockaddr *)&sin, sizeof(sin)),
			 0);
	assert_int_equal(fcntl(c->fd, F_SETFL, O_NONBLOCK), 0);
}

static void send_request(struct caller *c, const char *path)
{
	char text[512];
	int n = snprintf(text, sizeof(text),
			 "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\n"
			 "credential: k1\r\nrequest-id: %s\r\n"
			 "deadline-ms: 8000\r\ncontent-length: 1\r\n\r\nx",
			 path, path);

	assert_int_equal(send(c->fd, text, (size_t)n, MSG_NOSIGNAL), n);
}

static void receive(struct caller *c)
{
	char buf[4096];
	ssize_t n;

	while ((n = recv(c->fd, buf, sizeof(buf), 0)) > 0)
		bytes_add(&c->in, buf, (size_t)n);
	c->closed = n == 0 || errno != EAGAIN;
}

/* Receives what has arrived; returns whether it ends like a plain answer, or the
 * connection has ended. */
static bool has_answer(void *caller)
{
	static const char end[] = "plain answer";
	struct caller *c = caller;
	size_t len = strlen(end);

	receive(c);
	return c->closed || (c->in.len > len &&
			     !memcmp(c->in.data + c->in.len - len, end, len));
}

/* Receives what has arrived; returns whether the connection has ended. */
static bool is_closed(void *caller)
{
	struct caller *c = caller;

	receive(c);
	return c->closed;
}

/* Sends the request of a case and ends the sending direction; returns whether a
 * whole answer came. */
static bool run_case(const struct half_closed_case *k)
{
	size_t len = strlen(k->end);
	struct caller c;
	bool whole;

	connect_caller(&c);
	if (k->kept) {
		send_request(&c, "/look/first");
		harness_until(harness, has_answer, &c, "the first answer");
		assert_false(c.closed);
		c.in.len = 0;
	}
	send_request(&c, k->path);
	assert_int_equal(shutdown(c.fd, SHUT_WR), 0);
	harness_until(harness, is_closed, &c, k->what);
	whole = c.in.len > len &&
		!memcmp(c.in.data, "HTTP/1.1 200", strlen("HTTP/1.1 200")) &&
		!memcmp(c.in.data + c.in.len - len, k->end, len);
	if (!whole)
		print_message("%s: %zu bytes in place of an answer\n", k->what,
			      c.in.len);
	close(c.fd);
	bytes_release(&c.in);
	return whole;
}

static void whole_request_is_answered(void **state)
{
	unsigned int unanswered = 0;
	size_t i;

	(void)state;
	for (i = 0; i < N(cases); i++)
		unanswered += !run_case(&cases[i]);
	assert_int_equal(unanswered, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(whole_request_is_answered,
						set_up, tear_down),
	};

	return cmocka_run_group_tests_name("half-closed callers", tests, NULL,
					   NULL);
}
