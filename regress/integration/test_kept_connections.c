/*
 * Requests on kept connections beside changes of the configuration and a
 * planned stop: each gets an answer or a refusal.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/bytes.h"
#include "lib/xalloc.h"
#include "regress/platform_standin.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))

#define BODY_LIMIT 10000
#define BODY_LIMIT_BEFORE (4u << 20)
#define IDLE_BEFORE_MS 15000
#define BIG_BODY (6u << 20)
#define UPLOADS 300
#define UPLOAD_BYTES (2u << 20)
#define SILENT_MS 1500 /* of an endpoint before it answers */
#define SLOW_BODY 3000 /* bytes, one part of it in each PART_MS */
#define PART_BYTES 100
#define PART_MS 100
#define IDLE_LOW_MS 2000
#define IDLE_LOWEST_MS 1000
#define IDLE_SHORTEST_MS 50
#define IDLE_TICKS_MS 400 /* connections are examined each 100 ms */
#define BIG_ANSWER (7u << 20) /* more than sockets take */
#define READ_BYTES 65536
#define SLOW_READ_BYTES 70000 /* in each PART_MS */
#define GRACE_S 8
#define SHORT_GRACE_S 2
#define SLOW_EVENT_MS 400
#define LINGER_MS 3500 /* a process without requests stops in this time */

/* What a configuration holds; NULL and 0 stand for the default. */
struct settings_case {
	const char *what;
	const char *look; /* service of /look/, as members */
	const char *more_routes; /* each after a comma */
	const char *more_services;
	const char *keys;
	unsigned int timeout_ms; /* of /look/ */
	unsigned int header_bytes;
	unsigned int header_ms;
	unsigned int body_bytes;
	unsigned int idle_ms;
};

static const struct settings_case before = {
	.more_routes = ",{\"name\":\"old\",\"hostname\":\"127.0.0.1\","
		       "\"pathPrefix\":\"/old/\",\"routeType\":\"idempotent\","
		       "\"timeoutMs\":900,\"targetLatencyMs\":400,"
		       "\"backend\":\"plain\",\"maxAttempts\":2}",
	.more_services = ",{\"name\":\"spare\",\"healthPath\":\"/healthz\"},"
			 "{\"name\":\"unused\",\"healthPath\":\"/healthz\"}",
	.keys = "\"k1\",\"k2\"",
};

static const struct settings_case changes[] = {
	{ .what = "time of a route lowered", .timeout_ms = 5000 },
	{ .what = "time of a route raised", .timeout_ms = 60000 },
	{ .what = "idle time lowered", .idle_ms = 1000 },
	{ .what = "idle time raised", .idle_ms = 60000 },
	{ .what = "header time lowered", .header_ms = 500 },
	{ .what = "header time raised", .header_ms = 9000 },
	{ .what = "header size lowered", .header_bytes = 1024 },
	{ .what = "body size lowered", .body_bytes = 20 },
	{ .what = "key added", .keys = "\"k1\",\"k2\",\"k3\"" },
	{ .what = "key removed", .keys = "\"k1\"" },
	{ .what = "route moved", .look = "\"backend\":\"spare\"" },
	{ .what = "route split",
	  .look = "\"trafficSplit\":[{\"backend\":\"plain\",\"weight\":1},"
		  "{\"backend\":\"spare\",\"weight\":1}]" },
	{ .what = "route removed", .more_routes = "" },
	{ .what = "route added",
	  .more_routes = ",{\"name\":\"new\",\"hostname\":\"127.0.0.1\","
			 "\"pathPrefix\":\"/new/\",\"routeType\":"
			 "\"idempotent\",\"timeoutMs\":900,"
			 "\"targetLatencyMs\":400,\"backend\":\"plain\","
			 "\"maxAttempts\":2}" },
	{ .what = "service removed",
	  .more_services = ",{\"name\":\"spare\",\"healthPath\":"
			   "\"/healthz\"}" },
};

/* A kept connection of a caller. */
struct kept {
	int fd;
	int error; /* of a send or a receive; 0: none */
	bool closed; /* by the other side */
	struct bytes in; /* received, not yet consumed */
};

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;
static int version;

static const char *text_or(const char *text, const char *otherwise)
{
	return text ? text : otherwise;
}

static unsigned int number_or(unsigned int n, unsigned int otherwise)
{
	return n ? n : otherwise;
}

/* Writes a new version of the configuration. */
static void put_configuration(const struct settings_case *s)
{
	char *text = xasprintf(
		"{\"version\":%d,\"routes\":["
		"{\"name\":\"look\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":"
		"\"/look/\",\"routeType\":\"idempotent\",\"timeoutMs\":%u,"
		"\"targetLatencyMs\":400,%s,\"maxAttempts\":2},"
		"{\"name\":\"write\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":"
		"\"/write/\",\"routeType\":\"streaming\",\"timeoutMs\":20000,"
		"\"targetLatencyMs\":4500,\"targetGapMs\":700,\"backend\":"
		"\"engine\",\"maxAttempts\":5,\"resumable\":true}%s],"
		"\"services\":[{\"name\":\"plain\",\"healthPath\":\"/healthz\"},"
		"{\"name\":\"engine\",\"healthPath\":\"/healthz\",\"engine\":{"
		"\"slots\":16,\"kvCapacity\":55000}}%s],"
		"\"limits\":{\"maxHeaderBytes\":%u,\"maxBodyBytes\":%u,"
		"\"headerTimeoutMs\":%u,\"idleTimeoutMs\":%u},"
		"\"tenants\":[{\"name\":\"ajoke\",\"apiKeys\":[%s]}]}",
		++version, number_or(s->timeout_ms, 20000),
		text_or(s->look, "\"backend\":\"plain\""),
		text_or(s->more_routes, before.more_routes),
		text_or(s->more_services, before.more_services),
		number_or(s->header_bytes, 4096),
		number_or(s->body_bytes, BODY_LIMIT_BEFORE),
		number_or(s->header_ms, 8000),
		number_or(s->idle_ms, IDLE_BEFORE_MS),
		text_or(s->keys, before.keys));

	standin_put(world, "op", "config", text);
	free(text);
}

/* Returns whether the process has logged a text. */
static bool has_logged(void *text)
{
	return proc_output_count(one.proc, text) > 0;
}

static void wait_logged(const char *text)
{
	harness_until(harness, has_logged, (void *)text, text);
}

/* Puts a configuration into force. */
static void change(const struct settings_case *s)
{
	char *text;

	put_configuration(s);
	text = xasprintf("\"event\":\"configuration\",\"version\":%d,",
			 version);
	wait_logged(text);
	free(text);
}

/* Starts a platform with three services and one instance. */
static int start(unsigned int grace_s, uint64_t event_ms)
{
	harness = harness_new();
	world = standin_new(harness);
	world->grace_s = grace_s;
	world->event_ms = event_ms;
	version = 1;
	standin_add_worker(world, "plain", "z1");
	standin_add_worker(world, "spare", "z1");
	standin_add_worker(world, "engine", "z1");
	put_configuration(&before);
	standin_init_instance(world, &one, "one", NULL);
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
	wait_logged("\"event\":\"endpoint-entry\"");
	harness_run(harness, 100);
	return 0;
}

static int set_up(void **state)
{
	(void)state;
	return start(GRACE_S, STANDIN_EVENT_MS);
}

/* Streams take longer than the grace time. */
static int set_up_short_grace(void **state)
{
	(void)state;
	return start(SHORT_GRACE_S, SLOW_EVENT_MS);
}

static int tear_down(void **state)
{
	(void)state;
	proc_kill(one.proc);
	standin_free(world);
	harness_free(harness);
	return 0;
}

/* Opens a connection whose socket does not block. */
static struct kept open_kept(void)
{
	const char *colon = strchr(one.callers, ':');
	struct sockaddr_in sin = { .sin_family = AF_INET };
	struct kept k = { 0 };

	k.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	sin.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(k.fd, (struct sockaddr *)&sin, sizeof(sin)),
			 0);
	assert_int_equal(fcntl(k.fd, F_SETFL, O_NONBLOCK), 0);
	return k;
}

static void close_kept(struct kept *k)
{
	close(k->fd);
	bytes_release(&k->in);
}

/* Sends all bytes while the loop runs; stops at an error. */
static void send_all(struct kept *k, const char *data, size_t len)
{
	while (len && !k->error) {
		ssize_t n = send(k->fd, data, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EAGAIN) {
			harness_run(harness, 1);
		} else if (n < 0) {
			k->error = errno;
		} else {
			data += n;
			len -= (size_t)n;
		}
	}
}

static void send_text(struct kept *k, const char *text)
{
	send_all(k, text, strlen(text));
}

/* Sends the head of a request with a body of len bytes. */
static void send_head(struct kept *k, const char *path, const char *key,
		      size_t len)
{
	static unsigned int id;
	char *text = xasprintf("POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\n"
			       "credential: %s\r\nrequest-id: r-%u\r\n"
			       "deadline-ms: 15000\r\n"
			       "content-length: %zu\r\n\r\n",
			       path, key, ++id, len);

	send_text(k, text);
	free(text);
}

/* Sends len bytes of a body. */
static void send_body(struct kept *k, size_t len)
{
	char *data = xcalloc(1, len + 1);

	memset(data, 'x', len);
	send_all(k, data, len);
	free(data);
}

/* Receives up to max bytes of those that have arrived; returns whether there
 * may be more. */
static bool receive_some(struct kept *k, size_t max)
{
	char *buf;
	ssize_t n;

	if (k->closed)
		return false;
	buf = xcalloc(1, max);
	n = recv(k->fd, buf, max, 0);
	if (n > 0)
		bytes_add(&k->in, buf, (size_t)n);
	free(buf);
	if (n > 0 || (n < 0 && errno == EAGAIN))
		return n > 0;
	k->closed = true;
	if (n < 0)
		k->error = errno;
	return false;
}

static void receive(struct kept *k)
{
	while (receive_some(k, READ_BYTES))
		;
}

/* Returns the length of the first answer if it is whole, otherwise 0. */
static size_t whole_answer(const struct kept *k)
{
	const char *end;
	const char *length;
	const char *last;
	size_t head;
	size_t len;

	end = k->in.len ? memmem(k->in.data, k->in.len, "\r\n\r\n", 4) : NULL;
	if (!end)
		return 0;
	head = (size_t)(end - k->in.data) + 4;
	length = memmem(k->in.data, head, "content-length: ", 16);
	if (!length) {
		last = memmem(end, k->in.len - head + 4, "\r\n0\r\n\r\n", 7);
		return last ? (size_t)(last - k->in.data) + 7 : 0;
	}
	len = head + strtoul(length + 16, NULL, 10);
	return len <= k->in.len ? len : 0;
}

static bool answered_or_closed(void *arg)
{
	struct kept *k = arg;

	receive(k);
	return whole_answer(k) || k->closed;
}

/* Waits for a whole answer and returns its status; 0 if there is none. */
static int wait_answer(struct kept *k)
{
	size_t len;
	int status;

	harness_until(harness, answered_or_closed, k, "an answer");
	len = whole_answer(k);
	if (!len)
		return 0;
	status = atoi(k->in.data + strlen("HTTP/1.1 "));
	bytes_consume(&k->in, len);
	return status;
}

/* Calls on a kept connection and returns the status. */
static int call(struct kept *k, const char *path)
{
	send_head(k, path, "k1", 1);
	send_body(k, 1);
	return wait_answer(k);
}

/* Fails unless the request of a connection was answered with the status and
 * its caller saw no error. */
static void expect_answer(struct kept *k, const char *what, int status)
{
	int got = wait_answer(k);

	if (got != status || k->error)
		fail_msg("%s: status %d, error %d (%s)", what, got, k->error,
			 strerror(k->error));
}

/* Calls, streams, bodies in parts and requests that follow each other at once
 * are answered beside each kind of change. */
static void changes_end_no_request(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < N(changes); i++) {
		const char *what = changes[i].what;
		struct kept idle = open_kept();
		struct kept stream = open_kept();
		struct kept body = open_kept();
		struct kept pipelined = open_kept();

		print_message("%s\n", what);
		assert_int_equal(call(&idle, "/look/a"), 200);
		assert_int_equal(call(&body, "/look/a"), 200);
		assert_int_equal(call(&pipelined, "/look/a"), 200);
		send_head(&stream, "/write/a", "k1", 1);
		send_body(&stream, 1);
		send_head(&body, "/look/a", "k1", 100);
		send_body(&body, 50);
		send_head(&pipelined, "/look/a", "k2", 1);
		send_text(&pipelined, "x");
		send_head(&pipelined, "/look/a", "k1", 1);
		harness_run(harness, 50);
		change(&changes[i]);
		send_text(&pipelined, "x");
		send_body(&body, 50);
		expect_answer(&pipelined, what, 200);
		expect_answer(&pipelined, what, 200);
		expect_answer(&body, what, 200);
		expect_answer(&stream, what, 200);
		send_head(&idle, "/look/a", "k1", 1);
		send_text(&idle, "x");
		expect_answer(&idle, what, 200);
		close_kept(&idle);
		close_kept(&stream);
		close_kept(&body);
		close_kept(&pipelined);
		change(&before);
	}
}

/* The same while versions follow each other at once, with a reload between. */
static void changes_in_quick_succession(void **state)
{
	struct kept idle = open_kept();
	struct kept stream = open_kept();
	size_t i;

	(void)state;
	assert_int_equal(call(&idle, "/look/a"), 200);
	send_head(&stream, "/write/a", "k1", 1);
	send_body(&stream, 1);
	for (i = 0; i < N(changes); i++) {
		put_configuration(&changes[i]);
		send_head(&idle, "/look/a", "k1", 1);
		send_text(&idle, "x");
		proc_signal(one.proc, SIGHUP);
		expect_answer(&idle, changes[i].what, 200);
	}
	expect_answer(&stream, "stream", 200);
	close_kept(&idle);
	close_kept(&stream);
}

/* A request whose body is too long is refused; its caller, which is still
 * sending, sees the refusal and no error. */
static void refusal_of_a_long_body(void **state)
{
	const struct settings_case low = { .body_bytes = BODY_LIMIT };
	struct kept k = open_kept();

	(void)state;
	assert_int_equal(call(&k, "/look/a"), 200);
	change(&low);
	send_head(&k, "/look/a", "k1", BIG_BODY);
	send_body(&k, BIG_BODY);
	expect_answer(&k, "a long body", 413);
	close_kept(&k);
}

/* Callers whose long bodies are refused at one moment, beside a stop, see the
 * refusal and no error, however many they are. */
static void refusals_of_many_long_bodies(void **state)
{
	const struct settings_case low = { .body_bytes = BODY_LIMIT };
	static struct kept uploads[UPLOADS];
	size_t sent;
	size_t i;

	(void)state;
	change(&low);
	for (i = 0; i < UPLOADS; i++) {
		uploads[i] = open_kept();
		send_head(&uploads[i], "/look/a", "k1", UPLOAD_BYTES);
	}
	for (sent = 0; sent < UPLOAD_BYTES; sent += READ_BYTES) {
		if (sent == UPLOAD_BYTES / 2)
			proc_signal(one.proc, SIGTERM);
		for (i = 0; i < UPLOADS; i++)
			send_body(&uploads[i], READ_BYTES);
	}
	for (i = 0; i < UPLOADS; i++) {
		expect_answer(&uploads[i], "one of many long bodies", 413);
		close_kept(&uploads[i]);
	}
}

/* A caller whose long body is refused before a stop, and which sends on slowly,
 * sees the refusal and no error. */
static void stop_spares_a_refused_caller_that_sends(void **state)
{
	const struct settings_case low = { .body_bytes = BODY_LIMIT };
	struct kept k = open_kept();
	unsigned int ms;

	(void)state;
	change(&low);
	send_head(&k, "/look/a", "k1", UPLOAD_BYTES);
	send_body(&k, 2 * BODY_LIMIT);
	wait_logged("\"event\":\"connection-ended\",\"why\":\"refused\"");
	proc_signal(one.proc, SIGTERM);
	for (ms = 0; ms < LINGER_MS; ms += PART_MS) {
		send_body(&k, PART_BYTES);
		harness_run(harness, PART_MS);
	}
	expect_answer(&k, "a refused caller that sends", 413);
	close_kept(&k);
}

/* Requests that wait for an endpoint that is silent for a time are answered,
 * although a change lowers the limits, and a stop begins, meanwhile: also one
 * that is behind another one, one whose body is under way, and one whose caller
 * has ended its sending direction. */
static void changes_spare_requests_at_a_silent_endpoint(void **state)
{
	const struct settings_case low = {
		.body_bytes = 1,
		.header_ms = IDLE_SHORTEST_MS,
		.idle_ms = IDLE_SHORTEST_MS,
	};
	struct kept whole = open_kept();
	struct kept two = open_kept();
	struct kept part = open_kept();
	struct kept half = open_kept();

	(void)state;
	world->workers[0].silent_ms = SILENT_MS;
	send_head(&whole, "/look/a", "k1", 1);
	send_body(&whole, 1);
	send_head(&two, "/look/b", "k1", 1);
	send_body(&two, 1);
	send_head(&two, "/look/c", "k1", 1);
	send_body(&two, 1);
	send_head(&part, "/look/d", "k1", 2);
	send_body(&part, 1);
	send_head(&half, "/look/e", "k1", 1);
	send_body(&half, 1);
	assert_int_equal(shutdown(half.fd, SHUT_WR), 0);
	harness_run(harness, PART_MS);
	change(&low);
	harness_run(harness, IDLE_TICKS_MS);
	send_body(&part, 1);
	harness_run(harness, PART_MS);
	proc_signal(one.proc, SIGTERM);
	expect_answer(&whole, "a whole request", 200);
	expect_answer(&two, "the first of two", 200);
	expect_answer(&two, "the second of two", 200);
	expect_answer(&part, "a body under way", 200);
	expect_answer(&half, "a half-closed caller", 200);
	close_kept(&whole);
	close_kept(&two);
	close_kept(&part);
	close_kept(&half);
}

/* A malformed request is refused; what follows it is dropped. */
static void refusal_of_a_malformed_request(void **state)
{
	struct kept k = open_kept();

	(void)state;
	assert_int_equal(call(&k, "/look/a"), 200);
	send_text(&k, "POST /look/a HTTP/1.1\r\nHost: a\r\n"
		      "Content-Length: -5\r\n\r\n");
	send_body(&k, BIG_BODY);
	expect_answer(&k, "a malformed request", 400);
	close_kept(&k);
}

/* A request that has begun keeps the size that it may have. */
static void lower_body_limit_spares_a_body_under_way(void **state)
{
	const struct settings_case low = { .body_bytes = BODY_LIMIT };
	struct kept k = open_kept();

	(void)state;
	send_head(&k, "/look/a", "k1", BODY_LIMIT_BEFORE / 2);
	send_body(&k, BODY_LIMIT_BEFORE / 4);
	harness_run(harness, 100);
	change(&low);
	send_body(&k, BODY_LIMIT_BEFORE / 4);
	expect_answer(&k, "a body under way", 200);
	close_kept(&k);
}

/* A connection that has been idle for longer than a new limit allows is still
 * served right after the change. */
static void lower_idle_limit_spares_kept_connections(void **state)
{
	const struct settings_case low = { .idle_ms = IDLE_LOW_MS };
	struct kept k = open_kept();

	(void)state;
	assert_int_equal(call(&k, "/look/a"), 200);
	harness_run(harness, IDLE_LOW_MS + PART_MS);
	change(&low);
	harness_run(harness, IDLE_TICKS_MS);
	send_head(&k, "/look/a", "k1", 1);
	send_text(&k, "x");
	expect_answer(&k, "an idle connection", 200);
	close_kept(&k);
}

/* A body that makes progress is not ended by the idle limit. */
static void lower_idle_limit_spares_a_slow_body(void **state)
{
	const struct settings_case low = { .idle_ms = IDLE_LOW_MS };
	struct kept k = open_kept();
	size_t sent;

	(void)state;
	send_head(&k, "/look/a", "k1", SLOW_BODY);
	for (sent = 0; sent < SLOW_BODY; sent += PART_BYTES) {
		send_body(&k, PART_BYTES);
		harness_run(harness, PART_MS);
		if (sent == SLOW_BODY / 2)
			change(&low);
	}
	expect_answer(&k, "a slow body", 200);
	close_kept(&k);
}

/* An answer that its caller reads slowly is not ended by the idle limit. */
static void idle_limit_spares_a_slow_reader(void **state)
{
	const struct settings_case low = { .idle_ms = IDLE_LOWEST_MS };
	struct kept k = open_kept();

	(void)state;
	world->plain_bytes = BIG_ANSWER;
	change(&low);
	send_head(&k, "/look/a", "k1", 1);
	send_text(&k, "x");
	while (!k.closed && k.in.len < BIG_ANSWER) {
		receive_some(&k, SLOW_READ_BYTES);
		harness_run(harness, PART_MS);
	}
	expect_answer(&k, "a slow reader", 200);
	close_kept(&k);
}

/* A caller that does not read its answer at all is closed. */
static void idle_limit_ends_a_silent_reader(void **state)
{
	const struct settings_case low = { .idle_ms = IDLE_LOW_MS };
	struct kept k = open_kept();

	(void)state;
	world->plain_bytes = BIG_ANSWER;
	change(&low);
	send_head(&k, "/look/a", "k1", 1);
	send_text(&k, "x");
	wait_logged("\"event\":\"connection-ended\",\"why\":\"idle\"");
	close_kept(&k);
}

/* An answer that a slow caller has not read when all requests are over is
 * complete although the process stops. */
static void stop_sends_queued_answers(void **state)
{
	struct kept k = open_kept();

	(void)state;
	world->plain_bytes = BIG_ANSWER;
	send_head(&k, "/look/a", "k1", 1);
	send_text(&k, "x");
	wait_logged("\"outcome\":\"served\"");
	proc_signal(one.proc, SIGTERM);
	wait_logged("\"event\":\"stopping\"");
	harness_run(harness, LINGER_MS);
	expect_answer(&k, "a queued answer", 200);
	close_kept(&k);
}

/* An answer that is queued when its caller ends its sending direction is
 * complete. */
static void end_of_input_spares_a_queued_answer(void **state)
{
	struct kept k = open_kept();

	(void)state;
	world->plain_bytes = BIG_ANSWER;
	send_head(&k, "/look/a", "k1", 1);
	send_text(&k, "x");
	wait_logged("\"outcome\":\"served\"");
	assert_int_equal(shutdown(k.fd, SHUT_WR), 0);
	harness_run(harness, IDLE_TICKS_MS);
	expect_answer(&k, "a queued answer", 200);
	close_kept(&k);
}

/* Sends a stream's request with the tokens of its prompt and output. */
static void send_stream(struct kept *k, const char *tokens)
{
	char *text = xasprintf("POST /write/%s HTTP/1.1\r\nHost: 127.0.0.1\r\n"
			       "credential: k1\r\nrequest-id: s-%d\r\n"
			       "deadline-ms: 15000\r\ntoken-usage: %s\r\n"
			       "content-length: 1\r\n\r\nx",
			       tokens, k->fd, tokens);

	send_text(k, text);
	free(text);
}

/* A request that waits for room at an endpoint when the grace time of a stop
 * ends is refused, as it has not run. */
static void stop_refuses_waiting_requests(void **state)
{
	struct kept full = open_kept();
	struct kept waiting = open_kept();

	(void)state;
	send_stream(&full, "20000,34990");
	harness_run(harness, PART_MS);
	send_stream(&waiting, "10,10");
	wait_logged("\"event\":\"waits\"");
	proc_signal(one.proc, SIGTERM);
	expect_answer(&waiting, "a waiting request", 503);
	close_kept(&full);
	close_kept(&waiting);
}

/* Requests that arrive while the process is stopped are answered when it goes
 * on, also if they waited for longer than an idle connection may. */
static void stall_ends_no_request(void **state)
{
	const struct settings_case low = { .idle_ms = 1000 };
	struct kept k = open_kept();
	struct kept fresh;

	(void)state;
	change(&low);
	assert_int_equal(call(&k, "/look/a"), 200);
	proc_signal(one.proc, SIGSTOP);
	fresh = open_kept();
	harness_run(harness, 500);
	send_head(&k, "/look/a", "k1", 1);
	send_text(&k, "x");
	send_head(&fresh, "/look/a", "k1", 1);
	harness_run(harness, 1500);
	send_text(&fresh, "x");
	proc_signal(one.proc, SIGCONT);
	expect_answer(&k, "a kept connection", 200);
	expect_answer(&fresh, "a new connection", 200);
	close_kept(&k);
	close_kept(&fresh);
}

/* Sets how many descriptors the process may have; those open stay. */
static void limit_descriptors(rlim_t n)
{
	struct rlimit limit;

	assert_int_equal(prlimit(one.proc->pid, RLIMIT_NOFILE, NULL, &limit),
			 0);
	limit.rlim_cur = n ? n : limit.rlim_max;
	assert_int_equal(prlimit(one.proc->pid, RLIMIT_NOFILE, &limit, NULL),
			 0);
}

/* A process that has no descriptor for a connection does not take its endpoint
 * for dead: the request waits, or is refused, and later ones are served. */
static void want_of_descriptors_is_no_lost_endpoint(void **state)
{
	struct kept k = open_kept();
	struct kept other = open_kept();

	(void)state;
	assert_int_equal(call(&k, "/look/a"), 200);
	assert_int_equal(call(&other, "/look/a"), 200);
	limit_descriptors(1);
	send_head(&k, "/write/a", "k1", 1);
	send_text(&k, "x");
	wait_logged("\"event\":\"no-socket\"");
	limit_descriptors(0);
	expect_answer(&k, "a stream that waits for a descriptor", 200);
	limit_descriptors(1);
	send_head(&other, "/write/b", "k1", 1);
	send_text(&other, "x");
	expect_answer(&other, "a stream without a descriptor", 503);
	limit_descriptors(0);
	assert_int_equal(call(&k, "/write/c"), 200);
	assert_false(has_logged("\"event\":\"endpoint-lost\""));
	close_kept(&k);
	close_kept(&other);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(changes_end_no_request),
		TEST(changes_in_quick_succession),
		TEST(refusal_of_a_long_body),
		TEST(refusals_of_many_long_bodies),
		TEST(stop_spares_a_refused_caller_that_sends),
		TEST(changes_spare_requests_at_a_silent_endpoint),
		TEST(refusal_of_a_malformed_request),
		TEST(lower_body_limit_spares_a_body_under_way),
		TEST(lower_idle_limit_spares_kept_connections),
		TEST(lower_idle_limit_spares_a_slow_body),
		TEST(idle_limit_spares_a_slow_reader),
		TEST(idle_limit_ends_a_silent_reader),
		TEST(stop_sends_queued_answers),
		TEST(end_of_input_spares_a_queued_answer),
		cmocka_unit_test_setup_teardown(stop_refuses_waiting_requests,
						set_up_short_grace, tear_down),
		TEST(stall_ends_no_request),
		TEST(want_of_descriptors_is_no_lost_endpoint),
	};

	return cmocka_run_group_tests_name("kept connections", tests, NULL,
					   NULL);
}
