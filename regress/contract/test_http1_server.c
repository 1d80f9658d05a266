/*
 * Contract tests of lib/http1_server.h with callers that read or send slowly:
 * limits that fall while a request or an answer is under way, and callers that
 * are refused while they send.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>
#include <uv.h>

#include "lib/bytes.h"
#include "lib/http1.h"
#include "lib/http1_server.h"
#include "lib/xalloc.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define TICK_MS 100
#define WAIT_MS 60000 /* for an expected condition */
#define PAUSE_MS 3000 /* over the low limits and what is added to them */
#define STALL_MS 300 /* over low.idle_ms, low.header_ms and a tick */
#define BIG_ANSWER (16u << 20) /* more than sockets take */
#define READ_BYTES 65536
#define RECEIVE_BUFFER_BYTES 65536 /* of a caller that reads slowly */

static const struct http1_limits usual = {
	.header_bytes = 4096,
	.body_bytes = 4u << 20,
	.header_ms = 15000,
	.idle_ms = 15000,
};

static const struct http1_limits low = {
	.header_bytes = 4096,
	.body_bytes = 1000,
	.header_ms = 50,
	.idle_ms = 50,
};

/* The connection of a caller. */
struct caller {
	int fd;
	int error; /* of a send or a receive; 0: none */
	bool closed; /* by the server */
	size_t unsent; /* bytes of its body */
	struct bytes in;
};

static uv_loop_t *loop;
static uv_timer_t tick;
static bool examines; /* connections are examined at each tick */
static struct http1_server *server;
static uint16_t port;
static char *big;
static unsigned int n_requests;
static struct http1_conn *held; /* its request is answered by the test */
static unsigned int n_refused;

static void on_request(struct http1_conn *c, struct http1_request *r, void *arg)
{
	const char *target = r->head.target;

	(void)arg;
	n_requests++;
	if (!strncmp(target, "/big", 4)) {
		http1_reply(c, 200, NULL, big, BIG_ANSWER);
	} else if (!strncmp(target, "/unframed", 9)) {
		http1_reply_unframed(c, 200, NULL, big, BIG_ANSWER);
	} else if (!strncmp(target, "/stream", 7)) {
		http1_stream_begin(c, 200, NULL);
		http1_stream_write(c, big, BIG_ANSWER);
		http1_stream_end(c);
	} else if (!strncmp(target, "/later", 6)) {
		held = c;
	} else {
		http1_reply(c, 200, NULL, target, r->head.target_len);
	}
}

static void on_end(const struct http1_ended *ended, void *arg)
{
	(void)arg;
	if (ended->why == HTTP1_END_REFUSED)
		n_refused++;
}

static const struct http1_server_ops ops = {
	.on_request = on_request,
	.on_end = on_end,
};

static void on_tick(uv_timer_t *t)
{
	(void)t;
	if (examines)
		http1_server_tick(server);
}

static int set_up(void **state)
{
	char address[32];
	char err[128];

	(void)state;
	n_requests = 0;
	n_refused = 0;
	examines = true;
	loop = uv_default_loop();
	server = http1_server_new(loop, &ops, NULL);
	http1_server_limits(server, &usual);
	big = xcalloc(1, BIG_ANSWER);
	memset(big, 'a', BIG_ANSWER);
	uv_timer_init(loop, &tick);
	uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
	for (port = 21200; port < 21300; port++) {
		snprintf(address, sizeof(address), "127.0.0.1:%u", port);
		if (!http1_server_listen(server, address, err, sizeof(err)))
			return 0;
	}
	return -1;
}

static int tear_down(void **state)
{
	(void)state;
	uv_close((uv_handle_t *)&tick, NULL);
	http1_server_free(server);
	while (uv_run(loop, UV_RUN_NOWAIT))
		continue;
	free(big);
	return 0;
}

/* Runs the loop for a time. */
static void run_for(uint64_t ms)
{
	uint64_t until;

	uv_update_time(loop);
	until = uv_now(loop) + ms;
	while (uv_now(loop) < until)
		uv_run(loop, UV_RUN_ONCE);
}

/* Runs what is due in the loop; fails the test after WAIT_MS from since. */
static void run_once(uint64_t since)
{
	uv_run(loop, UV_RUN_NOWAIT);
	assert_true(uv_now(loop) - since < WAIT_MS);
}

/* Opens the connection of a caller, with a receive buffer of this size; 0: the
 * usual one. */
static struct caller open_caller(int receive_bytes)
{
	struct caller c = {
		.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0),
	};
	const struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	assert_true(c.fd >= 0);
	if (receive_bytes)
		assert_int_equal(setsockopt(c.fd, SOL_SOCKET, SO_RCVBUF,
					    &receive_bytes,
					    sizeof(receive_bytes)),
				 0);
	assert_int_equal(
		connect(c.fd, (const struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(fcntl(c.fd, F_SETFL, O_NONBLOCK), 0);
	return c;
}

static void close_caller(struct caller *c)
{
	close(c->fd);
	bytes_release(&c->in);
}

/* Sends a short text. */
static void send_text(struct caller *c, const char *text)
{
	assert_int_equal(send(c->fd, text, strlen(text), MSG_NOSIGNAL),
			 strlen(text));
}

/* Sends what the socket takes of a body. */
static void send_body(struct caller *c)
{
	while (c->unsent && !c->error) {
		size_t len = c->unsent < READ_BYTES ? c->unsent : READ_BYTES;
		ssize_t n = send(c->fd, big, len, MSG_NOSIGNAL);

		if (n < 0) {
			if (errno != EAGAIN)
				c->error = errno;
			return;
		}
		c->unsent -= (size_t)n;
	}
}

/* Receives what has arrived. */
static void receive(struct caller *c)
{
	char buf[READ_BYTES];
	ssize_t n;

	while ((n = recv(c->fd, buf, sizeof(buf), 0)) > 0)
		bytes_add(&c->in, buf, (size_t)n);
	if (!n)
		c->closed = true;
	else if (errno != EAGAIN)
		c->error = errno;
}

/* Returns the length of the first answer received if it is whole, otherwise 0.
 * One in chunks, or that ends with its connection, is the last one. */
static size_t whole_length(const struct caller *c, int *status)
{
	static const char last_chunk[] = "\r\n0\r\n\r\n";
	struct http1_body framing;
	struct http1_head head;
	size_t used;

	if (!c->in.len || http1_parse_response(c->in.data, c->in.len, &head,
					       &used) != HTTP1_DONE)
		return 0;
	*status = head.status;
	assert_true(http1_response_framing(&head, false, &framing));
	switch (framing.framing) {
	case HTTP1_CHUNKED:
		return c->in.len > BIG_ANSWER &&
				       !memcmp(c->in.data + c->in.len -
						       strlen(last_chunk),
					       last_chunk, strlen(last_chunk))
			       ? c->in.len
			       : 0;
	case HTTP1_UNTIL_CLOSE:
		return c->closed && c->in.len == used + BIG_ANSWER ? c->in.len
								   : 0;
	default:
		return c->in.len >= used + framing.left ? used + framing.left
							: 0;
	}
}

/* Waits until a whole answer is received or the connection ends; returns its
 * status, 0 if there is none. */
static int wait_answer(struct caller *c)
{
	uint64_t since = uv_now(loop);
	int status = 0;
	size_t len;

	do {
		run_once(since);
		receive(c);
		len = whole_length(c, &status);
	} while (!len && !c->closed && !c->error);
	if (!len)
		return 0;
	bytes_consume(&c->in, len);
	return status;
}

/* Waits until the server has read this many whole requests. */
static void wait_requests(unsigned int n)
{
	uint64_t since = uv_now(loop);

	while (n_requests < n)
		run_once(since);
}

struct reader_case {
	const char *what;
	const char *request;
	bool stopping; /* the answer is the last one of its connection */
};

static const struct reader_case reader_cases[] = {
	{ .what = "kept connection",
	  .request = "GET /big HTTP/1.1\r\nHost: a\r\n\r\n" },
	{ .what = "last answer of a connection",
	  .request = "GET /big HTTP/1.1\r\nHost: a\r\n"
		     "Connection: close\r\n\r\n" },
	{ .what = "last answer before a stop",
	  .request = "GET /big HTTP/1.1\r\nHost: a\r\n\r\n",
	  .stopping = true },
	{ .what = "stream",
	  .request = "GET /stream HTTP/1.1\r\nHost: a\r\n"
		     "Connection: close\r\n\r\n" },
	{ .what = "answer without a length",
	  .request = "GET /unframed HTTP/1.1\r\nHost: a\r\n\r\n" },
};

/* An answer that its caller takes with pauses is not ended by an idle limit that
 * falls meanwhile. */
static void lower_idle_limit_spares_a_reader_that_pauses(void **state)
{
	struct caller callers[N(reader_cases)];
	unsigned int cut = 0;
	size_t i;

	(void)state;
	for (i = 0; i < N(reader_cases); i++) {
		callers[i] = open_caller(RECEIVE_BUFFER_BYTES);
		if (reader_cases[i].stopping)
			continue;
		send_text(&callers[i], reader_cases[i].request);
	}
	wait_requests(N(reader_cases) - 1);
	http1_server_disable_keepalive(server);
	for (i = 0; i < N(reader_cases); i++) {
		if (reader_cases[i].stopping)
			send_text(&callers[i], reader_cases[i].request);
	}
	wait_requests(N(reader_cases));
	http1_server_limits(server, &low);
	run_for(PAUSE_MS);
	for (i = 0; i < N(reader_cases); i++) {
		if (wait_answer(&callers[i]) != 200) {
			print_message("%s: %zu bytes\n", reader_cases[i].what,
				      callers[i].in.len);
			cut++;
		}
		close_caller(&callers[i]);
	}
	assert_int_equal(cut, 0);
}

struct sender_case {
	const char *what;
	const char *first; /* sent before the limits fall */
	const char *rest;
};

static const struct sender_case sender_cases[] = {
	{ .what = "head under way",
	  .first = "POST /a HTTP/1.1\r\nHost: a\r\n",
	  .rest = "content-length: 1\r\n\r\nx" },
	{ .what = "body under way",
	  .first = "POST /b HTTP/1.1\r\nHost: a\r\ncontent-length: 4\r\n\r\nx",
	  .rest = "xyz" },
	{ .what = "body in chunks under way",
	  .first = "POST /c HTTP/1.1\r\nHost: a\r\n"
		   "transfer-encoding: chunked\r\n\r\n1\r\nx\r\n",
	  .rest = "1\r\ny\r\n0\r\n\r\n" },
};

/* A request keeps the time limits that were in force when it began. */
static void lower_limits_spare_a_request_under_way(void **state)
{
	struct caller callers[N(sender_cases)];
	unsigned int refused = 0;
	size_t i;

	(void)state;
	for (i = 0; i < N(sender_cases); i++) {
		callers[i] = open_caller(0);
		send_text(&callers[i], sender_cases[i].first);
	}
	run_for(TICK_MS);
	http1_server_limits(server, &low);
	run_for(PAUSE_MS);
	for (i = 0; i < N(sender_cases); i++) {
		int status;

		send_text(&callers[i], sender_cases[i].rest);
		status = wait_answer(&callers[i]);
		if (status != 200) {
			print_message("%s: status %d\n", sender_cases[i].what,
				      status);
			refused++;
		}
		close_caller(&callers[i]);
	}
	assert_int_equal(refused, 0);
}

/* A request whose head is in the limit is not whole for longer than low.header_ms
 * if no limit fell either. */
static void limits_in_force_end_a_request(void **state)
{
	struct caller callers[N(sender_cases)];
	size_t i;

	(void)state;
	http1_server_limits(server, &low);
	for (i = 0; i < N(sender_cases); i++) {
		callers[i] = open_caller(0);
		send_text(&callers[i], sender_cases[i].first);
	}
	for (i = 0; i < N(sender_cases); i++) {
		assert_int_equal(wait_answer(&callers[i]), 408);
		close_caller(&callers[i]);
	}
}

/* Requests whose rest came while the loop stood still are answered: it is in the
 * socket when the time limits are examined. */
static void stall_of_the_loop_ends_no_request(void **state)
{
	struct caller callers[N(sender_cases)];
	unsigned int refused = 0;
	size_t i;

	(void)state;
	http1_server_limits(server, &low);
	examines = false;
	for (i = 0; i < N(sender_cases); i++) {
		callers[i] = open_caller(0);
		send_text(&callers[i], sender_cases[i].first);
	}
	run_for(TICK_MS);
	examines = true;
	for (i = 0; i < N(sender_cases); i++)
		send_text(&callers[i], sender_cases[i].rest);
	usleep(STALL_MS * 1000);
	for (i = 0; i < N(sender_cases); i++) {
		int status = wait_answer(&callers[i]);

		if (status != 200) {
			print_message("%s: status %d\n", sender_cases[i].what,
				      status);
			refused++;
		}
		close_caller(&callers[i]);
	}
	assert_int_equal(refused, 0);
}

#define UPLOADERS 300
#define UPLOAD_BYTES (2u << 20)

/* Callers that are refused while they send a long body see the refusal, and no
 * reset while they send, however many they are. */
static void many_refused_uploads_are_not_reset(void **state)
{
	static struct caller callers[UPLOADERS];
	unsigned int refused = 0;
	uint64_t since;
	size_t left;
	char text[128];
	size_t i;

	(void)state;
	http1_server_limits(server, &low);
	snprintf(text, sizeof(text),
		 "POST /a HTTP/1.1\r\nHost: a\r\ncontent-length: %u\r\n\r\n",
		 UPLOAD_BYTES);
	for (i = 0; i < UPLOADERS; i++) {
		callers[i] = open_caller(0);
		callers[i].unsent = UPLOAD_BYTES;
		send_text(&callers[i], text);
		run_once(uv_now(loop));
	}
	/* all are refused before one has sent its body */
	since = uv_now(loop);
	while (n_refused < UPLOADERS) {
		for (i = 0; i < UPLOADERS; i++) {
			if (callers[i].unsent == UPLOAD_BYTES &&
			    send(callers[i].fd, big, READ_BYTES,
				 MSG_NOSIGNAL) == READ_BYTES)
				callers[i].unsent -= READ_BYTES;
		}
		run_once(since);
	}
	do {
		left = 0;
		for (i = 0; i < UPLOADERS; i++) {
			send_body(&callers[i]);
			left += callers[i].error ? 0 : callers[i].unsent;
		}
		run_once(since);
	} while (left);
	for (i = 0; i < UPLOADERS; i++) {
		refused += !callers[i].error && wait_answer(&callers[i]) == 413;
		close_caller(&callers[i]);
	}
	assert_int_equal(refused, UPLOADERS);
}

#define SLOW_PART_BYTES 100

/* A caller that sends on slowly after its refusal is not reset. */
static void slow_refused_upload_is_not_reset(void **state)
{
	struct caller c = open_caller(0);
	unsigned int parts;

	(void)state;
	http1_server_limits(server, &low);
	send_text(&c, "POST /a HTTP/1.1\r\nHost: a\r\n"
		      "content-length: 100000\r\n\r\n");
	for (parts = 0; parts < 2 * PAUSE_MS / TICK_MS && !c.error; parts++) {
		c.unsent = parts ? SLOW_PART_BYTES : 2 * low.body_bytes;
		send_body(&c);
		run_for(TICK_MS);
	}
	assert_int_equal(c.error, 0);
	assert_int_equal(wait_answer(&c), 413);
	close_caller(&c);
}

/* A server is busy while a caller that was refused still sends: the end of its
 * process would reset the connection.  It is not once the caller has gone. */
static void server_is_busy_while_a_refused_caller_sends(void **state)
{
	struct caller c = open_caller(0);
	uint64_t since;
	char text[128];

	(void)state;
	http1_server_limits(server, &low);
	snprintf(text, sizeof(text),
		 "POST /a HTTP/1.1\r\nHost: a\r\ncontent-length: %u\r\n\r\n",
		 UPLOAD_BYTES);
	send_text(&c, text);
	c.unsent = 2 * low.body_bytes;
	send_body(&c);
	since = uv_now(loop);
	while (!n_refused)
		run_once(since);
	assert_true(http1_server_busy(server));
	c.unsent = UPLOAD_BYTES - 2 * low.body_bytes;
	while (c.unsent) {
		send_body(&c);
		assert_int_equal(c.error, 0);
		assert_true(http1_server_busy(server));
		run_once(since);
	}
	assert_int_equal(wait_answer(&c), 413);
	close_caller(&c);
	while (http1_server_busy(server))
		run_once(since);
}

/* A refused caller that neither sends nor closes keeps no process alive. */
static void silent_refused_caller_is_closed(void **state)
{
	struct caller c = open_caller(0);
	uint64_t since;

	(void)state;
	send_text(&c, "nonsense\r\n\r\n");
	assert_int_equal(wait_answer(&c), 400);
	since = uv_now(loop);
	while (http1_server_busy(server))
		run_once(since);
	close_caller(&c);
}

struct stop_case {
	const char *what;
	const char *first; /* sent before the server closes connections */
	const char
		*rest; /* sent after that, before the first answer; or NULL */
	const char *last; /* sent after the first answer; or NULL */
};

static const struct stop_case stop_cases[] = {
	{ .what = "sent at once",
	  .first = "GET /later HTTP/1.1\r\nHost: a\r\n\r\n"
		   "GET /b HTTP/1.1\r\nHost: a\r\n\r\n" },
	{ .what = "not read yet",
	  .first = "GET /later HTTP/1.1\r\nHost: a\r\n\r\n",
	  .rest = "GET /b HTTP/1.1\r\nHost: a\r\n\r\n" },
	{ .what = "begun",
	  .first = "GET /later HTTP/1.1\r\nHost: a\r\n\r\nGET /b HT",
	  .last = "TP/1.1\r\nHost: a\r\n\r\n" },
};

/* A request that a caller sent behind another one is answered, although the server
 * closes connections after their answers by then. */
static void requests_sent_at_once_are_answered_before_a_stop(void **state)
{
	unsigned int unanswered = 0;
	size_t i;

	(void)state;
	for (i = 0; i < N(stop_cases); i++) {
		const struct stop_case *k = &stop_cases[i];
		struct caller c = open_caller(0);

		send_text(&c, k->first);
		n_requests = 0;
		wait_requests(1);
		http1_server_disable_keepalive(server);
		if (k->rest)
			send_text(&c, k->rest);
		http1_reply(held, 200, NULL, "", 0);
		assert_int_equal(wait_answer(&c), 200);
		if (k->last)
			send_text(&c, k->last);
		if (wait_answer(&c) != 200) {
			print_message("%s: error %d\n", k->what, c.error);
			unanswered++;
		}
		/* then the connection is closed in order */
		assert_int_equal(wait_answer(&c), 0);
		assert_int_equal(c.error, 0);
		close_caller(&c);
	}
	assert_int_equal(unanswered, 0);
}

struct behind_case {
	const char *what;
	const char *behind; /* sent behind a request that is being answered */
	const char *rest; /* sent once limits are lower; or NULL */
};

static const struct behind_case behind_cases[] = {
	{ .what = "body under way, over the lower limit",
	  .behind = "POST /b HTTP/1.1\r\nHost: a\r\n"
		    "content-length: 1500\r\n\r\n" },
	{ .what = "head under way",
	  .behind = "POST /c HTTP/1.1\r\nHost: a\r\n",
	  .rest = "content-length: 1\r\n\r\nx" },
};

/* A request that arrives behind another one keeps the limits under which it
 * began, too. */
static void lower_limits_spare_a_request_behind_another_one(void **state)
{
	unsigned int refused = 0;
	size_t i;

	(void)state;
	for (i = 0; i < N(behind_cases); i++) {
		const struct behind_case *k = &behind_cases[i];
		struct caller c = open_caller(0);
		int status;

		http1_server_limits(server, &usual);
		n_requests = 0;
		send_text(&c, "GET /later HTTP/1.1\r\nHost: a\r\n\r\n");
		send_text(&c, k->behind);
		if (!k->rest) {
			c.unsent = 1500;
			send_body(&c);
		}
		wait_requests(1);
		run_for(TICK_MS);
		http1_server_limits(server, &low);
		run_for(TICK_MS);
		http1_reply(held, 200, NULL, "", 0);
		assert_int_equal(wait_answer(&c), 200);
		if (k->rest) {
			run_for(PAUSE_MS);
			send_text(&c, k->rest);
		}
		status = wait_answer(&c);
		if (status != 200) {
			print_message("%s: status %d\n", k->what, status);
			refused++;
		}
		close_caller(&c);
	}
	assert_int_equal(refused, 0);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(lower_idle_limit_spares_a_reader_that_pauses),
		TEST(lower_limits_spare_a_request_under_way),
		TEST(limits_in_force_end_a_request),
		TEST(stall_of_the_loop_ends_no_request),
		TEST(many_refused_uploads_are_not_reset),
		TEST(slow_refused_upload_is_not_reset),
		TEST(server_is_busy_while_a_refused_caller_sends),
		TEST(silent_refused_caller_is_closed),
		TEST(requests_sent_at_once_are_answered_before_a_stop),
		TEST(lower_limits_spare_a_request_behind_another_one),
	};

	return cmocka_run_group_tests_name("HTTP/1.1 server", tests, NULL,
					   NULL);
}
