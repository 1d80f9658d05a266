/* Runs cdmproxyd against endpoints that send a response head or body without
 * end until the connection is closed.  Guards against unbounded memory use and
 * against calls that last until their deadline. */
#include <netinet/in.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "regress/platform_standin.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define HEAD "HTTP/1.1 200 OK\r\nresponse-signature: m.1\r\n"
#define STREAM HEAD "content-type: text/event-stream\r\n"
#define CHUNKED "transfer-encoding: chunked\r\n\r\n"

/* Upper bound of the bytes read of one response: the largest relayed body
 * (8 MB), as much chunk framing, and the socket buffers of both sides. */
#define READ_MAX (32u << 20)
#define MEMORY_MAX_KB (100u << 10) /* total memory of the smallest instance */
#define STREAMS 8 /* beside MANY calls */
#define MANY 48
#define SOON_MS 5000 /* well before the requests' deadline */

/* What an endpoint sends: a prefix, then a block repeated without end. */
struct endless {
	const char *name;
	const char *prefix;
	const char *repeated;
};

/* An endpoint that sends without end. */
struct sender {
	uv_tcp_t listener;
	const struct endless *endless;
	struct sender_conn *conns;
	char *block; /* copies of the repeated part */
	size_t block_len;
	unsigned int requests;
	unsigned int open;
	uint64_t max_sent; /* bytes sent on one connection */
};

struct sender_conn {
	struct sender *sender;
	uv_tcp_t tcp;
	uv_write_t write;
	uint64_t sent;
	bool responding;
	char input[4096];
};

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;
static struct sender sender;

static void send_block(struct sender_conn *c);

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	standin_init_instance(world, &one, "one", NULL);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	if (one.proc)
		proc_kill(one.proc);
	uv_close((uv_handle_t *)&sender.listener, NULL);
	harness_run(harness, 100);
	free(sender.block);
	standin_free(world);
	harness_free(harness);
	return 0;
}

static void on_conn_closed(uv_handle_t *h)
{
	struct sender_conn *c = h->data;

	c->sender->open--;
	free(c);
}

static void conn_close(struct sender_conn *c)
{
	if (!uv_is_closing((uv_handle_t *)&c->tcp))
		uv_close((uv_handle_t *)&c->tcp, on_conn_closed);
}

static void on_written(uv_write_t *w, int status)
{
	struct sender_conn *c = w->data;

	if (status < 0) {
		conn_close(c);
		return;
	}
	send_block(c);
}

/* Sends a block; the next one follows when it is written. */
static void send_block(struct sender_conn *c)
{
	const uv_buf_t buf = uv_buf_init(c->sender->block,
					 (unsigned int)c->sender->block_len);

	c->write.data = c;
	c->sent += c->sender->block_len;
	if (c->sent > c->sender->max_sent)
		c->sender->max_sent = c->sent;
	if (uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written))
		conn_close(c);
}

static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	struct sender_conn *c = h->data;

	(void)suggested;
	*buf = uv_buf_init(c->input, sizeof(c->input));
}

/* Starts the response at the first bytes of a request. */
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct sender_conn *c = stream->data;
	uv_buf_t prefix =
		uv_buf_init((char *)c->sender->endless->prefix,
			    (unsigned int)strlen(c->sender->endless->prefix));

	(void)buf;
	if (n < 0) {
		conn_close(c);
		return;
	}
	if (!n || c->responding)
		return;
	c->responding = true;
	c->sender->requests++;
	uv_try_write(stream, &prefix, 1);
	send_block(c);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct sender *s = listener->data;
	struct sender_conn *c = xcalloc(1, sizeof(*c));

	assert_int_equal(status, 0);
	c->sender = s;
	c->tcp.data = c;
	s->open++;
	uv_tcp_init(listener->loop, &c->tcp);
	uv_accept(listener, (uv_stream_t *)&c->tcp);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

/* Adds an endpoint that sends without end to the store, starts the instance. */
static void start(const char *service, const struct endless *endless)
{
	const char *address = harness_address(harness);
	size_t len = strlen(endless->repeated);
	char *entry = xasprintf(
		"{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\","
		"\"version\":\"v1\",\"slots\":16,\"state\":\"ready\","
		"\"born\":1}",
		service, address);
	size_t i;

	sender = (struct sender){ .endless = endless };
	sender.block_len = len * (65536 / len);
	sender.block = xcalloc(sender.block_len, 1);
	for (i = 0; i < sender.block_len; i += len)
		memcpy(sender.block + i, endless->repeated, len);
	harness_listen(harness, &sender.listener, address, on_connection,
		       &sender);
	standin_put(world, "servers", "i-endless", entry);
	free(entry);
	standin_put_configuration(world, 2, NULL);
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
}

/* Sends a request; returns the response's status, 0 if there is none. */
static int call(const char *path)
{
	static const struct httpc_header headers[] = {
		{ "credential", "k1" },	      { "request-id", "r-1" },
		{ "deadline-ms", "15000" },   { "token-usage", "300,100" },
		{ "prompt-prefix", "a:300" },
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = one.callers,
		.path = path,
		.headers = headers,
		.n_headers = N(headers),
		.body = "x",
		.body_len = 1,
	};
	struct answer a;
	int status;

	harness_request(harness, &r, &a);
	status = a.outcome == HTTPC_OK ? a.status : 0;
	answer_release(&a);
	return status;
}

/* Returns the instance's peak resident memory, kB. */
static unsigned long memory_kb(void)
{
	char path[64];
	char line[256];
	unsigned long kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)one.proc->pid);
	f = fopen(path, "r");
	assert_non_null(f);
	while (fgets(line, sizeof(line), f))
		if (!strncmp(line, "VmHWM:", 6))
			kb = strtoul(line + 6, NULL, 10);
	fclose(f);
	return kb;
}

static bool all_closed(void *arg)
{
	(void)arg;
	return !sender.open;
}

/* Checks that the bytes read and the memory are bounded and that all
 * connections are closed. */
static void check_bounds(const char *name)
{
	harness_until(harness, all_closed, NULL,
		      "endless connections are closed");
	print_message("%s: %u requests, %llu bytes sent at most, %lu kB\n",
		      name, sender.requests,
		      (unsigned long long)sender.max_sent, memory_kb());
	assert_true(sender.requests > 0);
	assert_true(sender.max_sent < READ_MAX);
	/* sanitizers use memory of their own */
	if (!strstr(getenv("CDM_BIN"), "san"))
		assert_true(memory_kb() < MEMORY_MAX_KB);
}

/* Checks that calls get this status soon, also where the request may run only
 * once. */
static void expect_call_status(const struct endless *endless, int status)
{
	uint64_t begin;
	int got;

	start("plain", endless);
	begin = uv_now(harness_loop(harness));
	got = call("/look/a");
	if (got != status)
		fail_msg("%s: status %d", endless->name, got);
	assert_true(uv_now(harness_loop(harness)) - begin < SOON_MS);
	got = call("/book/a");
	if (got != status)
		fail_msg("%s: status %d", endless->name, got);
	check_bounds(endless->name);
}

static void endless_header_line(void **state)
{
	static const struct endless endless = { "line of a head",
						HEAD "x-long: ", "a" };

	(void)state;
	expect_call_status(&endless, 502);
}

static void endless_header_lines(void **state)
{
	static const struct endless endless = { "lines of a head", HEAD,
						"x: a\r\n" };

	(void)state;
	expect_call_status(&endless, 502);
}

static void not_http(void **state)
{
	static const struct endless endless = { "no protocol", "\x16\x03\x01",
						"\x02\x03" };

	(void)state;
	expect_call_status(&endless, 502);
}

static void endless_interim_responses(void **state)
{
	static const struct endless endless = { "interim answers", "",
						"HTTP/1.1 103 Early Hints\r\n"
						"link: </a>\r\n\r\n" };

	(void)state;
	expect_call_status(&endless, 502);
}

static void body_without_length(void **state)
{
	static const struct endless endless = { "body without length",
						HEAD "\r\n", "body " };

	(void)state;
	expect_call_status(&endless, 502);
}

static void endless_chunked_body(void **state)
{
	static const struct endless endless = { "body of chunks", HEAD CHUNKED,
						"5\r\nbody \r\n" };

	(void)state;
	expect_call_status(&endless, 502);
}

static void endless_chunk_size(void **state)
{
	static const struct endless endless = { "size line of a chunk",
						HEAD CHUNKED, "0" };

	(void)state;
	expect_call_status(&endless, 502);
}

static void endless_chunk_extension(void **state)
{
	static const struct endless endless = { "extension of a chunk",
						HEAD CHUNKED "5;x=", "a" };

	(void)state;
	expect_call_status(&endless, 502);
}

static void trailers(void **state)
{
	static const struct endless endless = { "trailers",
						HEAD CHUNKED "2\r\nok\r\n0\r\n",
						"x: a\r\n" };

	(void)state;
	expect_call_status(&endless, 502);
}

static void answer_to_another_request(void **state)
{
	static const struct endless endless = { "answer to another request",
						HEAD
						"request-id: r-else\r\n\r\n",
						"body " };

	(void)state;
	expect_call_status(&endless, 502);
}

/* Bytes after a complete response are discarded. */
static void bytes_after_an_answer(void **state)
{
	static const struct endless endless = {
		"bytes after an answer",
		HEAD "request-id: r-1\r\ncontent-length: 2\r\n\r\nok",
		HEAD "request-id: r-1\r\ncontent-length: 3\r\n\r\nbad",
	};

	(void)state;
	expect_call_status(&endless, 200);
}

/* Checks a stream whose only engine sends without end: it is aborted, or
 * refused with 502 or 503 if nothing of it was relayed. */
static void expect_stream_fails(const struct endless *endless)
{
	uint64_t begin;
	int status;

	start("engine", endless);
	begin = uv_now(harness_loop(harness));
	status = call("/write/a");
	if (status != 502 && status != 503 && status != 0)
		fail_msg("%s: status %d", endless->name, status);
	assert_true(uv_now(harness_loop(harness)) - begin < 2 * SOON_MS);
	check_bounds(endless->name);
}

static void endless_event(void **state)
{
	static const struct endless endless = {
		"event without end", STREAM "\r\nid: 1\ndata: ", "a"
	};

	(void)state;
	expect_stream_fails(&endless);
}

static void endless_event_lines(void **state)
{
	static const struct endless endless = { "lines of an event",
						STREAM
						"\r\nid: 1\ndata: e1\n\n",
						"data: a\n" };

	(void)state;
	expect_stream_fails(&endless);
}

/* The response to an endpoint's health check has no end: the check is repeated
 * with bounded memory, and another endpoint serves the call. */
static void health_check(void **state)
{
	static const struct endless endless = { "health check", HEAD "\r\n",
						"body " };
	struct standin_worker *w;
	int i;

	(void)state;
	start("plain", &endless);
	assert_int_equal(call("/look/a"), 502);
	w = standin_add_worker(world, "plain", "z1");
	for (i = 0; i < 40; i++) {
		call("/look/a");
		harness_run(harness, 25);
	}
	w->behaviour = STANDIN_NORMAL;
	assert_int_equal(call("/look/a"), 200);
	check_bounds(endless.name);
}

/* Starts a request with an id of its own. */
static struct stream_reader *open_request(const char *path, size_t number)
{
	char id[16];
	const struct httpc_header headers[] = {
		{ "credential", "k1" },
		{ "request-id", id },
		{ "deadline-ms", "15000" },
		{ "token-usage", "300,100" },
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = one.callers,
		.path = path,
		.headers = headers,
		.n_headers = N(headers),
		.body = id,
		.body_len = 4,
	};

	snprintf(id, sizeof(id), "m-%02zu", number);
	return stream_open(harness, &r);
}

/* Guards against memory that grows with the number of endless answers, and
 * against other callers' streams that end with the instance: many calls get one
 * at once. */
static void many_beside_streams(void **state)
{
	static const struct endless endless = { "many at once", HEAD "\r\n",
						"body " };
	struct stream_reader *streams[STREAMS];
	struct stream_reader *calls[MANY];
	size_t i;

	(void)state;
	standin_add_worker(world, "engine", "z1");
	world->event_ms = 100;
	start("plain", &endless);
	for (i = 0; i < STREAMS; i++)
		streams[i] = open_request("/write/a", i);
	for (i = 0; i < STREAMS; i++)
		stream_wait_events(streams[i], 1);
	for (i = 0; i < MANY; i++)
		calls[i] = open_request("/look/a", STREAMS + i);
	for (i = 0; i < MANY; i++) {
		stream_wait_end(calls[i]);
		assert_true(stream_status(calls[i]) != 200);
		stream_close(calls[i]);
	}
	for (i = 0; i < STREAMS; i++) {
		stream_wait_end(streams[i]);
		assert_int_equal(stream_outcome(streams[i]), HTTPC_OK);
		assert_int_equal(stream_n_events(streams[i]), STANDIN_EVENTS);
		stream_close(streams[i]);
	}
	check_bounds(endless.name);
}

int main(int argc, char **argv)
{
#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(endless_header_line),
		CASE(endless_header_lines),
		CASE(not_http),
		CASE(endless_interim_responses),
		CASE(body_without_length),
		CASE(endless_chunked_body),
		CASE(endless_chunk_size),
		CASE(endless_chunk_extension),
		CASE(trailers),
		CASE(answer_to_another_request),
		CASE(bytes_after_an_answer),
		CASE(endless_event),
		CASE(endless_event_lines),
		CASE(health_check),
		CASE(many_beside_streams),
	};

	if (argc > 1) /* one case */
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
