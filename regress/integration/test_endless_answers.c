/* cdmproxyd as a process before endpoints that send bytes without end, in a head
 * or a body, until their caller closes. */
#include <netinet/in.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/settings.h"
#include "lib/xalloc.h"
#include "regress/platform_standin.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define HEAD "HTTP/1.1 200 OK\r\nresponse-signature: m.1\r\n"
#define STREAM HEAD "content-type: text/event-stream\r\n"
#define CHUNKED "transfer-encoding: chunked\r\n\r\n"

/* The most that is taken of an answer: one of the largest that are passed on, 8 MB,
 * as much that frames its chunks, and what lies in the buffers of both sides. */
#define READ_MAX (32u << 20)
#define MEMORY_MAX_KB (100u << 10) /* the least that instances have, in all */
#define SOON_MS 5000 /* long before the time of the requests is over */

/* What an endpoint sends: a beginning, and the rest again and again. */
struct endless {
	const char *name;
	const char *begin;
	const char *again;
};

/* An endpoint that sends without end. */
struct sender {
	uv_tcp_t listener;
	const struct endless *says;
	struct sender_conn *conns;
	char *block; /* of what it sends again */
	size_t block_len;
	unsigned int requests;
	unsigned int open;
	uint64_t most; /* bytes that one connection took */
};

struct sender_conn {
	struct sender *sender;
	uv_tcp_t tcp;
	uv_write_t write;
	uint64_t sent;
	bool begun;
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

/* Sends the next block, once the one before is taken. */
static void send_block(struct sender_conn *c)
{
	const uv_buf_t buf = uv_buf_init(c->sender->block,
					 (unsigned int)c->sender->block_len);

	c->write.data = c;
	c->sent += c->sender->block_len;
	if (c->sent > c->sender->most)
		c->sender->most = c->sent;
	if (uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written))
		conn_close(c);
}

static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	struct sender_conn *c = h->data;

	(void)suggested;
	*buf = uv_buf_init(c->input, sizeof(c->input));
}

/* The first bytes of a request are enough to answer. */
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct sender_conn *c = stream->data;
	uv_buf_t begin =
		uv_buf_init((char *)c->sender->says->begin,
			    (unsigned int)strlen(c->sender->says->begin));

	(void)buf;
	if (n < 0) {
		conn_close(c);
		return;
	}
	if (!n || c->begun)
		return;
	c->begun = true;
	c->sender->requests++;
	uv_try_write(stream, &begin, 1);
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

/* Lists an endpoint that sends without end, and starts the instance. */
static void start(const char *service, const struct endless *says)
{
	const char *address = harness_address(harness);
	struct sockaddr_in sin;
	char host[64];
	uint16_t port;
	size_t len = strlen(says->again);
	char *entry = xasprintf(
		"{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\","
		"\"version\":\"v1\",\"slots\":16,\"state\":\"ready\","
		"\"born\":1}",
		service, address);
	size_t i;

	sender = (struct sender){ .says = says };
	sender.block_len = len * (65536 / len);
	sender.block = xcalloc(sender.block_len, 1);
	for (i = 0; i < sender.block_len; i += len)
		memcpy(sender.block + i, says->again, len);
	address_parse(address, host, sizeof(host), &port);
	uv_ip4_addr(host, port, &sin);
	uv_tcp_init(harness_loop(harness), &sender.listener);
	sender.listener.data = &sender;
	assert_int_equal(uv_tcp_bind(&sender.listener,
				     (const struct sockaddr *)&sin, 0),
			 0);
	assert_int_equal(uv_listen((uv_stream_t *)&sender.listener, 64,
				   on_connection),
			 0);
	standin_put(world, "servers", "i-endless", entry);
	free(entry);
	standin_put_configuration(world, 2, NULL);
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
}

/* Sends a request; returns the answer's status, 0 if there was none. */
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

/* Returns the memory that the instance has ever had, kB. */
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

static bool all_are_closed(void *arg)
{
	(void)arg;
	return !sender.open;
}

/* What came is bounded, and its connection is not used again. */
static void check_bounds(const char *name)
{
	harness_until(harness, all_are_closed, NULL,
		      "connections are closed that send without end");
	print_message("%s: %u requests, %llu bytes taken at most, %lu kB\n",
		      name, sender.requests, (unsigned long long)sender.most,
		      memory_kb());
	assert_true(sender.requests > 0);
	assert_true(sender.most < READ_MAX);
	/* the sanitizers' own memory is not the program's */
	if (!strstr(getenv("CDM_BIN"), "san"))
		assert_true(memory_kb() < MEMORY_MAX_KB);
}

/* The caller of a call that may run once is told that its answer was lost, soon. */
static void call_gets(const struct endless *says, int status)
{
	uint64_t begin;
	int got;

	start("plain", says);
	begin = uv_now(harness_loop(harness));
	got = call("/look/a");
	if (got != status)
		fail_msg("%s: status %d", says->name, got);
	assert_true(uv_now(harness_loop(harness)) - begin < SOON_MS);
	got = call("/book/a");
	if (got != status)
		fail_msg("%s: status %d", says->name, got);
	check_bounds(says->name);
}

static void line_of_a_head(void **state)
{
	static const struct endless says = { "line of a head",
					     HEAD "x-long: ", "a" };

	(void)state;
	call_gets(&says, 502);
}

static void lines_of_a_head(void **state)
{
	static const struct endless says = { "lines of a head", HEAD,
					     "x: a\r\n" };

	(void)state;
	call_gets(&says, 502);
}

static void no_protocol(void **state)
{
	static const struct endless says = { "no protocol", "\x16\x03\x01",
					     "\x02\x03" };

	(void)state;
	call_gets(&says, 502);
}

static void interim_answers(void **state)
{
	static const struct endless says = { "interim answers", "",
					     "HTTP/1.1 103 Early Hints\r\n"
					     "link: </a>\r\n\r\n" };

	(void)state;
	call_gets(&says, 502);
}

static void body_without_length(void **state)
{
	static const struct endless says = { "body without length", HEAD "\r\n",
					     "body " };

	(void)state;
	call_gets(&says, 502);
}

static void body_of_chunks(void **state)
{
	static const struct endless says = { "body of chunks", HEAD CHUNKED,
					     "5\r\nbody \r\n" };

	(void)state;
	call_gets(&says, 502);
}

static void size_line_of_a_chunk(void **state)
{
	static const struct endless says = { "size line of a chunk",
					     HEAD CHUNKED, "0" };

	(void)state;
	call_gets(&says, 502);
}

static void extension_of_a_chunk(void **state)
{
	static const struct endless says = { "extension of a chunk",
					     HEAD CHUNKED "5;x=", "a" };

	(void)state;
	call_gets(&says, 502);
}

static void trailers(void **state)
{
	static const struct endless says = { "trailers",
					     HEAD CHUNKED "2\r\nok\r\n0\r\n",
					     "x: a\r\n" };

	(void)state;
	call_gets(&says, 502);
}

static void answer_to_another_request(void **state)
{
	static const struct endless says = { "answer to another request",
					     HEAD "request-id: r-else\r\n\r\n",
					     "body " };

	(void)state;
	call_gets(&says, 502);
}

/* What follows a whole answer belongs to nobody. */
static void bytes_after_an_answer(void **state)
{
	static const struct endless says = {
		"bytes after an answer",
		HEAD "request-id: r-1\r\ncontent-length: 2\r\n\r\nok",
		HEAD "request-id: r-1\r\ncontent-length: 3\r\n\r\nbad",
	};

	(void)state;
	call_gets(&says, 200);
}

/* A stream whose engine sends without end has no other engine: it is broken off,
 * or answered 502 if nothing of it was passed on. */
static void stream_gets(const struct endless *says)
{
	uint64_t begin;
	int status;

	start("engine", says);
	begin = uv_now(harness_loop(harness));
	status = call("/write/a");
	if (status != 502 && status != 503 && status != 0)
		fail_msg("%s: status %d", says->name, status);
	assert_true(uv_now(harness_loop(harness)) - begin < 2 * SOON_MS);
	check_bounds(says->name);
}

static void event_without_end(void **state)
{
	static const struct endless says = { "event without end",
					     STREAM "\r\nid: 1\ndata: ", "a" };

	(void)state;
	stream_gets(&says);
}

static void lines_of_an_event_without_end(void **state)
{
	static const struct endless says = { "lines of an event",
					     STREAM "\r\nid: 1\ndata: e1\n\n",
					     "data: a\n" };

	(void)state;
	stream_gets(&says);
}

/* The answer to a health check has no end; the endpoint is asked again, and used
 * once it answers. */
static void health_check(void **state)
{
	static const struct endless says = { "health check", HEAD "\r\n",
					     "body " };
	struct standin_worker *w;
	int i;

	(void)state;
	start("plain", &says);
	assert_int_equal(call("/look/a"), 502);
	w = standin_add_worker(world, "plain", "z1");
	for (i = 0; i < 40; i++) {
		call("/look/a");
		harness_run(harness, 25);
	}
	w->behaviour = STANDIN_NORMAL;
	assert_int_equal(call("/look/a"), 200);
	check_bounds(says.name);
}

int main(int argc, char **argv)
{
#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(line_of_a_head),
		CASE(lines_of_a_head),
		CASE(no_protocol),
		CASE(interim_answers),
		CASE(body_without_length),
		CASE(body_of_chunks),
		CASE(size_line_of_a_chunk),
		CASE(extension_of_a_chunk),
		CASE(trailers),
		CASE(answer_to_another_request),
		CASE(bytes_after_an_answer),
		CASE(event_without_end),
		CASE(lines_of_an_event_without_end),
		CASE(health_check),
	};

	if (argc > 1) /* one case */
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
