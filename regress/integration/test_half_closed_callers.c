/*
 * A caller that ends its sending direction after a whole request, and still reads,
 * gets the answer.  One that closes its connection is left at once.
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
#include "lib/http1.h"
#include "lib/xalloc.h"
#include "regress/platform_standin.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define SILENT_MS 100 /* of the endpoint of plain requests */
#define UNANSWERED_MS 60000 /* silence of an endpoint, over each time limit */
#define SLOW_EVENT_MS 400 /* between two events, for callers that close */

struct half_closed_case {
	const char *what;
	const char *path;
	bool kept; /* the connection has carried a request before */
	const char *end; /* of the answer */
	size_t events; /* of the answer */
	bool begun; /* its input ends after the first event */
	bool http_1_0;
};

static const struct half_closed_case cases[] = {
	{ .what = "runs once", .path = "/book/a", .end = "plain answer" },
	{ .what = "runs once, kept connection",
	  .path = "/book/b",
	  .kept = true,
	  .end = "plain answer" },
	{ .what = "may be repeated", .path = "/look/a", .end = "plain answer" },
	{ .what = "may be repeated, kept connection",
	  .path = "/look/b",
	  .kept = true,
	  .end = "plain answer" },
	{ .what = "stream that resumes",
	  .path = "/write/a",
	  .end = "\r\n0\r\n\r\n",
	  .events = STANDIN_EVENTS },
	{ .what = "stream that does not",
	  .path = "/tell/a",
	  .end = "\r\n0\r\n\r\n",
	  .events = STANDIN_EVENTS },
	{ .what = "begun stream",
	  .path = "/write/b",
	  .end = "\r\n0\r\n\r\n",
	  .events = STANDIN_EVENTS,
	  .begun = true },
	{ .what = "runs once, HTTP/1.0",
	  .path = "/book/c",
	  .end = "plain answer",
	  .http_1_0 = true },
	{ .what = "may be repeated, HTTP/1.0",
	  .path = "/look/c",
	  .end = "plain answer",
	  .http_1_0 = true },
	{ .what = "stream, HTTP/1.0",
	  .path = "/write/c",
	  .end = "\n\n",
	  .events = STANDIN_EVENTS,
	  .http_1_0 = true },
	{ .what = "begun stream, HTTP/1.0",
	  .path = "/write/d",
	  .end = "\n\n",
	  .events = STANDIN_EVENTS,
	  .begun = true,
	  .http_1_0 = true },
};

struct closing_case {
	const char *what;
	const char *path;
	bool begun; /* it closes after the first event */
	bool http_1_0;
};

static const struct closing_case closing_cases[] = {
	{ .what = "plain", .path = "/see/a" },
	{ .what = "plain, HTTP/1.0", .path = "/see/b", .http_1_0 = true },
	{ .what = "stream", .path = "/tell/c" },
	{ .what = "stream, HTTP/1.0", .path = "/tell/d", .http_1_0 = true },
	{ .what = "begun stream", .path = "/write/e", .begun = true },
	{ .what = "begun stream, HTTP/1.0",
	  .path = "/write/f",
	  .begun = true,
	  .http_1_0 = true },
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
static struct standin_worker *plain;
static struct standin_worker *engine;

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	standin_init_instance(world, &one, "one", NULL);
	plain = standin_add_worker(world, "plain", "z1");
	plain->silent_ms = SILENT_MS;
	engine = standin_add_worker(world, "engine", "z1");
	standin_put_configuration(
		world, 2,
		"{\"name\":\"tell\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":"
		"\"/tell/\",\"routeType\":\"streaming\",\"timeoutMs\":20000,"
		"\"targetLatencyMs\":4500,\"targetGapMs\":700,\"backend\":"
		"\"engine\",\"maxAttempts\":1},"
		"{\"name\":\"see\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":"
		"\"/see/\",\"routeType\":\"idempotent\",\"timeoutMs\":20000,"
		"\"targetLatencyMs\":400,\"backend\":\"plain\","
		"\"maxAttempts\":1}");
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

static void send_request(struct caller *c, const char *path, bool http_1_0)
{
	char text[512];
	int n = snprintf(text, sizeof(text),
			 "POST %s HTTP/1.%d\r\nHost: 127.0.0.1\r\n"
			 "credential: k1\r\nrequest-id: %s\r\n"
			 "deadline-ms: 8000\r\ncontent-length: 1\r\n\r\nx",
			 path, !http_1_0, path);

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

/* Receives what has arrived; returns whether the first event has, or the
 * connection has ended. */
static bool has_event(void *caller)
{
	struct caller *c = caller;

	receive(c);
	return c->closed ||
	       (c->in.len && memmem(c->in.data, c->in.len, "\n\n", 2));
}

/* Receives what has arrived; returns whether the connection has ended. */
static bool is_closed(void *caller)
{
	struct caller *c = caller;

	receive(c);
	return c->closed;
}

/* Returns whether what a caller received is one answer with status 200 and a
 * number of events, with nothing before or after it. */
static bool is_whole_answer(const struct caller *c, size_t events)
{
	enum http1_result whole = HTTP1_DONE;
	struct http1_body framing;
	struct http1_head head;
	enum http1_result result;
	size_t decoded;
	size_t found = 0;
	size_t rest;
	size_t used;
	char *body;
	char *p;

	if (!c->in.len || http1_parse_response(c->in.data, c->in.len, &head,
					       &used) != HTTP1_DONE)
		return false;
	assert_true(http1_response_framing(&head, false, &framing));
	if (framing.framing == HTTP1_UNTIL_CLOSE)
		whole = HTTP1_MORE;
	body = xcalloc(1, c->in.len - used + 1);
	memcpy(body, c->in.data + used, c->in.len - used);
	result = http1_body_read(&framing, body, c->in.len - used, &decoded,
				 &rest);
	body[decoded] = '\0';
	for (p = body; (p = strstr(p, "data: e")); p++)
		found++;
	free(body);
	return head.status == 200 && result == whole && !rest &&
	       found == events;
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
		send_request(&c, "/look/first", false);
		harness_until(harness, has_answer, &c, "the first answer");
		assert_false(c.closed);
		c.in.len = 0;
	}
	send_request(&c, k->path, k->http_1_0);
	if (k->begun) {
		harness_until(harness, has_event, &c, "the first event");
		assert_false(c.closed);
	}
	assert_int_equal(shutdown(c.fd, SHUT_WR), 0);
	harness_until(harness, is_closed, &c, k->what);
	whole = c.in.len > len &&
		!memcmp(c.in.data, "HTTP/1.1 200", strlen("HTTP/1.1 200")) &&
		!memcmp(c.in.data + c.in.len - len, k->end, len) &&
		is_whole_answer(&c, k->events);
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

struct pipelined_case {
	const char *what;
	const char *paths[4]; /* sent in one go, before the end of the input */
	const char *rest; /* of a request that is not whole, or NULL */
};

static const struct pipelined_case pipelined_cases[] = {
	{ .what = "two that run once", .paths = { "/book/p", "/book/q" } },
	{ .what = "three that may be repeated",
	  .paths = { "/look/p", "/look/q", "/look/r" } },
	{ .what = "one of each kind",
	  .paths = { "/book/s", "/write/p", "/look/s" } },
	{ .what = "one behind a refusal", .paths = { "/none/p", "/look/t" } },
	{ .what = "part of one behind two",
	  .paths = { "/look/u", "/look/v" },
	  .rest = "POST /look/w HTTP/1.1\r\n" },
	{ .what = "part of one behind one",
	  .paths = { "/look/x" },
	  .rest = "POST /look/y HTTP/1.1\r\nHost: 127.0.0.1\r\n"
		  "content-length: 2\r\n\r\nx" },
};

/* Returns how many whole answers a caller received, 0 if other bytes follow
 * them. */
static size_t count_answers(const struct caller *c)
{
	char *text = xcalloc(1, c->in.len + 1);
	size_t left = c->in.len;
	size_t n = 0;

	memcpy(text, c->in.data, left);
	for (; left; n++) {
		struct http1_body framing;
		struct http1_head head;
		size_t decoded;
		size_t used;

		if (http1_parse_response(text, left, &head, &used) !=
			    HTTP1_DONE ||
		    !http1_response_framing(&head, false, &framing))
			break;
		left -= used;
		memmove(text, text + used, left);
		if (http1_body_read(&framing, text, left, &decoded, &used) !=
		    HTTP1_DONE)
			break;
		memmove(text, text + decoded, used);
		left = used;
	}
	free(text);
	return left ? 0 : n;
}

/* Requests that a caller has sent before the end of its input are answered in
 * turn. */
static void whole_requests_are_answered_in_turn(void **state)
{
	unsigned int unanswered = 0;
	size_t i;

	(void)state;
	for (i = 0; i < N(pipelined_cases); i++) {
		const struct pipelined_case *k = &pipelined_cases[i];
		size_t answers;
		struct caller c;
		size_t n;

		connect_caller(&c);
		for (n = 0; k->paths[n]; n++)
			send_request(&c, k->paths[n], false);
		if (k->rest)
			assert_int_equal(send(c.fd, k->rest, strlen(k->rest),
					      MSG_NOSIGNAL),
					 strlen(k->rest));
		assert_int_equal(shutdown(c.fd, SHUT_WR), 0);
		harness_until(harness, is_closed, &c, k->what);
		answers = count_answers(&c);
		if (answers != n) {
			print_message("%s: %zu of %zu answered\n", k->what,
				      answers, n);
			unanswered++;
		}
		close(c.fd);
		bytes_release(&c.in);
	}
	assert_int_equal(unanswered, 0);
}

/* Returns the last arrival of a request at an endpoint, or NULL. */
static const struct standin_arrival *arrival_of(const char *path)
{
	size_t i = world->n_arrivals;

	while (i--) {
		if (!strcmp(world->arrivals[i]->target, path))
			return world->arrivals[i];
	}
	return NULL;
}

/* Returns whether the run of a request was cancelled, as its caller had left. */
static bool was_left(void *closing_case)
{
	const struct closing_case *k = closing_case;
	char *text = xasprintf("\"request\":\"%s\",\"outcome\":"
			       "\"left by caller\"",
			       k->path);
	const struct standin_arrival *a = arrival_of(k->path);
	bool left = a && a->closed && proc_output_count(one.proc, text) == 1;

	free(text);
	return left;
}

/* Returns whether a request has reached its endpoint. */
static bool has_arrived(void *closing_case)
{
	const struct closing_case *k = closing_case;

	return arrival_of(k->path) != NULL;
}

/* The run for a caller that has closed its whole connection is cancelled while
 * nothing is to be sent to it, and between two events. */
static void closed_caller_is_left(void **state)
{
	struct caller c;
	size_t i;

	(void)state;
	for (i = 0; i < N(closing_cases); i++) {
		struct closing_case k = closing_cases[i];

		print_message("%s\n", k.what);
		plain->silent_ms = UNANSWERED_MS;
		engine->silent_ms = k.begun ? 0 : UNANSWERED_MS;
		world->event_ms = SLOW_EVENT_MS;
		connect_caller(&c);
		send_request(&c, k.path, k.http_1_0);
		if (k.begun)
			harness_until(harness, has_event, &c, "first event");
		else
			harness_until(harness, has_arrived, &k, "its arrival");
		assert_false(c.closed);
		close(c.fd);
		harness_until(harness, was_left, &k, k.what);
		bytes_release(&c.in);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(whole_request_is_answered,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			whole_requests_are_answered_in_turn, set_up, tear_down),
		cmocka_unit_test_setup_teardown(closed_caller_is_left, set_up,
						tear_down),
	};

	return cmocka_run_group_tests_name("half-closed callers", tests, NULL,
					   NULL);
}
