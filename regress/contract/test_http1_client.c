/* Contract tests of lib/http1_client.h against a server that answers with
 * scripted bytes: which answers are complete, and when a connection is
 * reused. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/bytes.h"
#include "lib/http1_client.h"
#include "lib/xalloc.h"
#include "regress/harness.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define HEAD "HTTP/1.1 200 OK\r\n"
/* No connection can be made to it; the kernel says that there is no way. */
#define BROADCAST_ADDRESS "127.255.255.255:1"
/* Of a server's connections, so that a request of a few segments doesn't fit. */
#define RECEIVE_BYTES 4096
#define WAYS 4 /* closed in order or reset, on a new or a kept connection */

/* What the server does with a connection after its answer. */
enum ending {
	KEEP,
	FIN,
	RESET,
	/* the sending side is closed in order; the connection stays open */
	HALF,
};

struct script {
	const char *bytes;
	enum ending ending;
};

struct server {
	struct harness *harness;
	struct bytes *record; /* all received bytes, or NULL */
	size_t answer_at; /* received bytes after which it answers */
	uv_tcp_t listener;
	const char *address;
	struct script script;
	unsigned accepted;
	bool stops_reading; /* when it answers */
	struct connection *last; /* that it answered on */
};

struct connection {
	uv_tcp_t tcp;
	struct server *server;
	uv_write_t write;
	char in[4096];
};

struct result {
	bool over;
	enum http1_outcome outcome;
	int status;
	struct bytes body;
	const char *skip_id; /* answers with this id are skipped */
};

static struct harness *harness;
static struct http1_client *client;
static struct server server;

static void on_closed(uv_handle_t *h)
{
	free(h->data);
}

static void close_sending_side(struct connection *c)
{
	uv_os_fd_t fd;

	assert_int_equal(uv_fileno((uv_handle_t *)&c->tcp, &fd), 0);
	assert_int_equal(shutdown(fd, SHUT_WR), 0);
}

static void on_written(uv_write_t *req, int status)
{
	struct connection *c = req->data;

	(void)status;
	if (c->server->script.ending == FIN)
		uv_close((uv_handle_t *)&c->tcp, on_closed);
	else if (c->server->script.ending == RESET)
		uv_tcp_close_reset(&c->tcp, on_closed);
	else if (c->server->script.ending == HALF)
		close_sending_side(c);
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
	uv_buf_t out;

	if (n < 0) {
		if (!uv_is_closing((uv_handle_t *)stream))
			uv_close((uv_handle_t *)stream, on_closed);
		return;
	}
	if (c->server->record) {
		bytes_add(c->server->record, buf->base, (size_t)n);
		if (c->server->record->len < c->server->answer_at)
			return;
		c->server->answer_at = SIZE_MAX; /* answer only once */
	}
	out = uv_buf_init((char *)c->server->script.bytes,
			  (unsigned int)strlen(c->server->script.bytes));
	c->server->last = c;
	if (c->server->stops_reading)
		uv_read_stop(stream);
	c->write.data = c;
	uv_write(&c->write, stream, &out, 1, on_written);
}

static void on_connection(uv_stream_t *stream, int status)
{
	struct server *s = stream->data;
	struct connection *c = xcalloc(1, sizeof(*c));

	assert_int_equal(status, 0);
	s->accepted++;
	c->server = s;
	uv_tcp_init(stream->loop, &c->tcp);
	c->tcp.data = c;
	assert_int_equal(uv_accept(stream, (uv_stream_t *)&c->tcp), 0);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	client = http1_client_new(harness_loop(harness));
	memset(&server, 0, sizeof(server));
	server.address = harness_address(harness);
	harness_listen(harness, &server.listener, server.address, on_connection,
		       &server);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	http1_client_free(client);
	client = NULL;
	uv_close((uv_handle_t *)&server.listener, NULL);
	harness_run(harness, 20);
	harness_free(harness);
	return 0;
}

static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head)
{
	struct result *r = arg;
	const struct http1_header *id = http1_find_header(head, "id");

	if (r->skip_id && id && !memcmp(id->value, r->skip_id, id->value_len))
		return HTTP1_SKIP;
	r->status = head->status;
	return HTTP1_ACCEPT;
}

static void on_body(void *arg, const char *data, size_t len)
{
	bytes_add(&((struct result *)arg)->body, data, len);
}

static void on_end(void *arg, enum http1_outcome outcome)
{
	struct result *r = arg;

	r->outcome = outcome;
	r->over = true;
}

static bool is_over(void *arg)
{
	http1_client_tick(client);
	return ((struct result *)arg)->over;
}

/* Calls the server with a method, on a connection that was idle for reuse_ms at
 * most, and waits for the end of the call. */
static void call_with(struct result *r, const char *method, const char *address,
		      uint32_t reuse_ms)
{
	static const struct http1_call_ops ops = {
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
	};
	const struct http1_call_options options = {
		.address = address,
		.head = !strcmp(method, "HEAD"),
		.connect_timeout_ms = 1000,
		.max_idle_ms = reuse_ms,
	};
	char *request = xasprintf("%s / HTTP/1.1\r\nhost: h\r\n\r\n", method);

	http1_call_start(client, &options, request, strlen(request), &ops, r);
	harness_until(harness, is_over, r, "the call ends");
}

static void call(struct result *r, const char *address, uint32_t reuse_ms)
{
	call_with(r, "GET", address, reuse_ms);
}

static void test_answer_completeness(void **state)
{
	static const struct {
		const char *what;
		struct script script;
		enum http1_outcome outcome;
		const char *body;
		unsigned connections; /* opened by two successive calls */
	} cases[] = {
		{ "content length",
		  { HEAD "content-length: 2\r\n\r\nab", KEEP },
		  HTTP1_COMPLETE,
		  "ab",
		  1 },
		{ "chunked",
		  { HEAD "transfer-encoding: chunked\r\n\r\n"
			 "1\r\na\r\n1\r\nb\r\n0\r\n\r\n",
		    KEEP },
		  HTTP1_COMPLETE,
		  "ab",
		  1 },
		{ "no body",
		  { "HTTP/1.1 204 No Content\r\n\r\n", KEEP },
		  HTTP1_COMPLETE,
		  "",
		  1 },
		{ "informational heads before the answer",
		  { "HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n"
		    "HTTP/1.1 100 Continue\r\n\r\n" HEAD
		    "content-length: 2\r\n\r\nab",
		    KEEP },
		  HTTP1_COMPLETE,
		  "ab",
		  1 },
		{ "ended by the connection",
		  { HEAD "\r\nab", FIN },
		  HTTP1_COMPLETE,
		  "ab",
		  2 },
		{ "ended by a reset",
		  { HEAD "\r\nab", RESET },
		  HTTP1_BROKEN,
		  NULL,
		  2 },
		{ "content length, closed early",
		  { HEAD "content-length: 3\r\n\r\nab", FIN },
		  HTTP1_BROKEN,
		  NULL,
		  2 },
		{ "closed between two chunks",
		  { HEAD "transfer-encoding: chunked\r\n\r\n1\r\na\r\n", FIN },
		  HTTP1_BROKEN,
		  NULL,
		  2 },
		{ "no answer", { "", RESET }, HTTP1_BROKEN, NULL, 2 },
		{ "closed without an answer",
		  { "", FIN },
		  HTTP1_BROKEN,
		  NULL,
		  2 },
		{ "not HTTP",
		  { "\x16\x03\x01 hello\r\n\r\n", KEEP },
		  HTTP1_MALFORMED,
		  NULL,
		  2 },
		{ "two content lengths",
		  { HEAD "content-length: 2\r\ncontent-length: 3\r\n\r\nab",
		    KEEP },
		  HTTP1_MALFORMED,
		  NULL,
		  2 },
		{ "bytes after the answer",
		  { HEAD "content-length: 2\r\n\r\nabEXTRA", KEEP },
		  HTTP1_COMPLETE,
		  "ab",
		  2 },
		{ "connection: close",
		  { HEAD "connection: close\r\ncontent-length: 2\r\n\r\nab",
		    KEEP },
		  HTTP1_COMPLETE,
		  "ab",
		  2 },
		{ "keep-alive timeout of one second",
		  { HEAD "keep-alive: timeout=1\r\ncontent-length: 2\r\n\r\nab",
		    KEEP },
		  HTTP1_COMPLETE,
		  "ab",
		  2 },
	};
	size_t i;
	int again;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		http1_client_free(client); /* closes idle connections */
		client = http1_client_new(harness_loop(harness));
		server.accepted = 0;
		server.script = cases[i].script;
		for (again = 0; again < 2; again++) {
			struct result r = { .over = false };

			call(&r, server.address, 60000);
			if (r.outcome != cases[i].outcome)
				fail_msg("%s: %s", cases[i].what,
					 http1_outcome_name(r.outcome));
			if (cases[i].body) {
				assert_int_equal(r.body.len,
						 strlen(cases[i].body));
				if (r.body.len)
					assert_memory_equal(r.body.data,
							    cases[i].body,
							    r.body.len);
			}
			bytes_release(&r.body);
			harness_run(harness, 5);
		}
		if (server.accepted != cases[i].connections)
			fail_msg("%s: %u connections", cases[i].what,
				 server.accepted);
	}
}

/* Calls the server, which ends the connection after the first n bytes of an
 * answer; on a kept connection if kept is set. */
static void call_cut(struct result *r, const char *method, const char *answer,
		     size_t n, enum ending ending, bool kept)
{
	char *cut = xasprintf("%.*s", (int)n, answer);
	struct result whole = { .over = false };
	uint64_t reuses = http1_client_stats(client).reuses;

	if (kept) {
		server.script = (struct script){
			HEAD "content-length: 0\r\n\r\n",
			KEEP,
		};
		call(&whole, server.address, 0);
		assert_int_equal(whole.outcome, HTTP1_COMPLETE);
	}
	server.script = (struct script){ cut, ending };
	call_with(r, method, server.address, kept ? 60000 : 0);
	assert_int_equal(http1_client_stats(client).reuses, reuses + kept);
	free(cut);
}

/* Answers cut at each byte, also inside their heads, are not whole. */
static void test_cut_answers_are_broken(void **state)
{
	static const struct {
		const char *method;
		const char *head;
		const char *body;
		bool unframed;
	} answers[] = {
		{ "GET", HEAD "id: 1\r\ncontent-length: 12\r\n\r\n",
		  "abcdefghijkl", false },
		{ "GET", HEAD "content-length: 0\r\nid: 1\r\n\r\n", "", false },
		{ "GET", "HTTP/1.1 204 No Content\r\nid: 1\r\n\r\n", "",
		  false },
		{ "GET",
		  "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
		  "HTTP/1.1 100 Continue\r\n\r\n" HEAD
		  "content-length: 2\r\n\r\n",
		  "ab", false },
		{ "GET", HEAD "transfer-encoding: chunked\r\n\r\n",
		  "1\r\na\r\n10;x=y\r\n0123456789abcdef\r\n"
		  "0\r\nsum: 1\r\n\r\n",
		  false },
		{ "GET", "HTTP/1.1 200 OK\ncontent-length: 2\n\n", "ab",
		  false },
		{ "HEAD", HEAD "content-length: 12\r\nid: 1\r\n\r\n", "",
		  false },
		{ "HEAD", HEAD "id: 1\r\n\r\n", "", false },
		{ "GET", HEAD "id: 1\r\n\r\n", "abc", true },
		{ "GET", "HTTP/1.0 200 OK\r\nid: 1\r\n\r\n", "abc", true },
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
		size_t head = strlen(answers[i].head);
		char *whole =
			xasprintf("%s%s", answers[i].head, answers[i].body);
		size_t len = strlen(whole);
		size_t n;

		for (n = 0; n < WAYS * len; n++) {
			size_t cut = n / WAYS;
			int way = (int)(n % WAYS);
			enum ending ending = way < 2 ? FIN : RESET;
			bool may_be_whole = answers[i].unframed &&
					    cut >= head && ending == FIN;
			struct result r = { .over = false };

			call_cut(&r, answers[i].method, whole, cut, ending,
				 way % 2);
			if (r.outcome !=
			    (may_be_whole ? HTTP1_COMPLETE : HTTP1_BROKEN))
				fail_msg("answer %zu, %zu bytes, way %d: %s", i,
					 cut, way,
					 http1_outcome_name(r.outcome));
			if (cut < head && (r.status || r.body.len))
				fail_msg("answer %zu, %zu bytes, way %d: "
					 "status %d, %zu bytes of body",
					 i, cut, way, r.status, r.body.len);
			bytes_release(&r.body);
		}
		free(whole);
	}
}

static bool all_received(void *arg)
{
	return server.record->len >= *(const size_t *)arg;
}

/* The server answers before it has read a long request body: the rest of that
 * body must precede the next request on the connection. */
static void test_answer_before_request_body_is_read(void **state)
{
	static const struct http1_call_ops ops = {
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
	};
	const struct http1_call_options options = {
		.address = server.address,
		.connect_timeout_ms = 1000,
		.max_idle_ms = 60000,
	};
	enum { BODY = 4 << 20 };
	struct result first = { .over = false };
	struct result second = { .over = false };
	struct bytes expected = { 0 };
	struct bytes record = { 0 };
	char *body = xcalloc(BODY, 1);

	(void)state;
	memset(body, 'b', BODY);
	bytes_addf(&expected, "POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n",
		   BODY);
	bytes_add(&expected, body, BODY);
	server.record = &record;
	server.answer_at = 1;
	server.script = (struct script){
		HEAD "content-length: 2\r\n\r\nab",
		KEEP,
	};
	http1_call_start(client, &options, xmemdup(expected.data, expected.len),
			 expected.len, &ops, &first);
	harness_until(harness, is_over, &first, "the first call ends");
	assert_int_equal(first.outcome, HTTP1_COMPLETE);
	bytes_addf(&expected, "GET /next HTTP/1.1\r\n\r\n");
	server.answer_at = expected.len;
	http1_call_start(client, &options,
			 xstrdup("GET /next HTTP/1.1\r\n\r\n"), 22, &ops,
			 &second);
	harness_until(harness, all_received, &expected.len, "all bytes arrive");
	harness_until(harness, is_over, &second, "the second call ends");
	assert_int_equal(second.outcome, HTTP1_COMPLETE);
	assert_int_equal(server.accepted, 1);
	assert_int_equal(record.len, expected.len);
	assert_memory_equal(record.data, expected.data, expected.len);
	server.record = NULL;
	free(body);
	bytes_release(&record);
	bytes_release(&expected);
	bytes_release(&first.body);
	bytes_release(&second.body);
}

/* Sends a request of len bytes to the server, which answers when it has received
 * answer_at of them, and waits for the end of the call. */
static void upload(struct result *r, size_t len, size_t answer_at)
{
	static const struct http1_call_ops ops = {
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
	};
	const struct http1_call_options options = {
		.address = server.address,
		.connect_timeout_ms = 1000,
	};
	struct bytes record = { 0 };
	char *request = xcalloc(len, 1);

	memset(request, 'b', len);
	server.record = &record;
	server.answer_at = answer_at;
	http1_call_start(client, &options, request, len, &ops, r);
	harness_until(harness, is_over, r, "the call ends");
	server.record = NULL;
	bytes_release(&record);
}

/* The server closed its sending side in order while the request was still being
 * written, after a part of an answer without a length, and the part was complete.
 * It is broken if it is a success.  Other answers are complete, and so are those
 * with a length, in chunks or without a body. */
static void test_answer_ends_before_request_is_written(void **state)
{
	static const struct {
		const char *what;
		const char *answer;
		bool needs_request; /* complete only after the whole request */
	} answers[] = {
		{ "a success without a length", HEAD "\r\nab", true },
		{ "201", "HTTP/1.1 201 C\r\n\r\nab", true },
		{ "HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nab", true },
		{ "after an interim head", "HTTP/1.1 100 C\r\n\r\n" HEAD "\r\n",
		  true },
		{ "without a byte of its body", HEAD "\r\n", true },
		{ "with a length", HEAD "content-length: 2\r\n\r\nab", false },
		{ "in chunks",
		  HEAD "transfer-encoding: chunked\r\n\r\n"
		       "2\r\nab\r\n0\r\n\r\n",
		  false },
		{ "204", "HTTP/1.1 204 N\r\n\r\n", false },
		{ "a refusal without a length", "HTTP/1.1 413 L\r\n\r\nab",
		  false },
		{ "a failure without a length", "HTTP/1.1 500 F\r\n\r\nab",
		  false },
	};
	static const struct {
		const char *what;
		size_t len;
		size_t answer_at;
		int receive_bytes; /* of the server's socket; 0: as it is */
	} ways[] = {
		{ "8 MB, 1 byte read", 8 << 20, 1, 0 },
		{ "8 MB, 16 KB read", 8 << 20, 16 << 10, 0 },
		{ "8 MB, read whole", 8 << 20, 8 << 20, 0 },
		{ "1 byte, read whole", 1, 1, 0 },
		{ "taken by the socket, not received", 64 << 10, 1,
		  RECEIVE_BYTES },
		{ "the last 64 KB not received", 256 << 10, 192 << 10,
		  RECEIVE_BYTES },
		{ "64 KB, read whole", 64 << 10, 64 << 10, RECEIVE_BYTES },
	};
	uv_os_fd_t fd;
	size_t n;

	(void)state;
	assert_int_equal(uv_fileno((uv_handle_t *)&server.listener, &fd), 0);
	for (n = 0; n < N(answers) * N(ways); n++) {
		size_t a = n % N(answers);
		size_t w = n / N(answers);
		bool whole = ways[w].answer_at == ways[w].len;
		enum http1_outcome outcome = whole || !answers[a].needs_request
						     ? HTTP1_COMPLETE
						     : HTTP1_BROKEN;
		struct result r = { .over = false };

		if (ways[w].receive_bytes)
			assert_int_equal(setsockopt(fd, SOL_SOCKET, SO_RCVBUF,
						    &ways[w].receive_bytes,
						    sizeof(int)),
					 0);
		server.stops_reading = !whole;
		server.script = (struct script){ answers[a].answer, HALF };
		upload(&r, ways[w].len, ways[w].answer_at);
		if (r.outcome != outcome)
			fail_msg("%s, %s: %s", answers[a].what, ways[w].what,
				 http1_outcome_name(r.outcome));
		bytes_release(&r.body);
		if (server.stops_reading)
			uv_close((uv_handle_t *)&server.last->tcp, on_closed);
	}
}

/* A late answer to an earlier request precedes the expected one. */
static void test_answer_to_earlier_request_is_skipped(void **state)
{
	struct result r = { .skip_id = "old" };

	(void)state;
	server.script = (struct script){
		HEAD "id: old\r\ncontent-length: 3\r\n\r\nOLD" HEAD
		     "id: new\r\ncontent-length: 3\r\n\r\nNEW",
		KEEP,
	};
	call(&r, server.address, 0);
	assert_int_equal(r.outcome, HTTP1_COMPLETE);
	assert_int_equal(r.body.len, 3);
	assert_memory_equal(r.body.data, "NEW", 3);
	bytes_release(&r.body);
}

/* The answer to HEAD states the length of a body that is not sent. */
static void test_answer_to_head_has_no_body(void **state)
{
	static const struct http1_call_ops ops = {
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
	};
	const struct http1_call_options options = {
		.address = server.address,
		.head = true,
		.connect_timeout_ms = 1000,
	};
	char *request = xstrdup("HEAD / HTTP/1.1\r\nhost: h\r\n\r\n");
	struct result r = { .over = false };

	(void)state;
	server.script =
		(struct script){ HEAD "content-length: 2\r\n\r\n", KEEP };
	http1_call_start(client, &options, request, strlen(request), &ops, &r);
	harness_until(harness, is_over, &r, "the call ends");
	assert_int_equal(r.outcome, HTTP1_COMPLETE);
	assert_int_equal(r.status, 200);
	assert_int_equal(r.body.len, 0);
}

static void test_nothing_sent(void **state)
{
	struct result refused = { .over = false };
	struct result malformed = { .over = false };
	struct result unreachable = { .over = false };

	(void)state;
	call(&refused, harness_address(harness), 0);
	assert_int_equal(refused.outcome, HTTP1_NOT_SENT);
	call(&unreachable, BROADCAST_ADDRESS, 0);
	assert_int_equal(unreachable.outcome, HTTP1_UNREACHABLE);
	call(&malformed, "not an address", 0);
	assert_int_equal(malformed.outcome, HTTP1_NOT_SENT);
}

/* A want of descriptors in this process is told apart from a server that
 * refuses connections. */
static void test_no_descriptor(void **state)
{
	struct result r = { .over = false };
	struct rlimit before;
	struct rlimit none;

	(void)state;
	assert_int_equal(getrlimit(RLIMIT_NOFILE, &before), 0);
	none = before;
	none.rlim_cur = 0;
	assert_int_equal(setrlimit(RLIMIT_NOFILE, &none), 0);
	call(&r, server.address, 0);
	assert_int_equal(setrlimit(RLIMIT_NOFILE, &before), 0);
	assert_int_equal(r.outcome, HTTP1_NO_SOCKET);
}

/* A call whose answer names the process that its connection ends at. */
struct naming_call {
	struct result result;
	struct http1_call *call;
	uint64_t process;
};

static void name_process(void *arg, enum http1_outcome outcome)
{
	struct naming_call *n = arg;

	http1_call_name_process(n->call, n->process);
	on_end(&n->result, outcome);
}

/* Only an open connection whose answer named a process shows that it still runs. */
static void test_connections_of_a_process(void **state)
{
	static const struct http1_call_ops ops = { .on_end = name_process };
	static const char request[] = "GET / HTTP/1.1\r\n\r\n";
	struct naming_call n = { .process = 7 };
	const struct http1_call_options options = {
		.address = server.address,
		.connect_timeout_ms = 1000,
	};
	struct result later = { .over = false };
	uint64_t now;

	(void)state;
	server.script = (struct script){
		HEAD "content-length: 2\r\n\r\nab",
		KEEP,
	};
	n.call = http1_call_start(client, &options, xstrdup(request),
				  strlen(request), &ops, &n);
	harness_until(harness, is_over, &n.result, "the call ends");
	now = uv_now(harness_loop(harness));
	assert_true(http1_client_spans_process(client, server.address, now, 7));
	assert_true(http1_client_spans(client, server.address, now));
	assert_false(
		http1_client_spans_process(client, server.address, now, 8));
	assert_false(
		http1_client_spans_process(client, server.address, now, 0));
	assert_false(http1_client_spans_process(client, server.address, 0, 7));
	assert_false(
		http1_client_spans_process(client, BROADCAST_ADDRESS, now, 7));
	call(&later, server.address, 0);
	bytes_release(&later.body);
	server.script = (struct script){ HEAD "\r\nab", FIN };
	later = (struct result){ .over = false };
	call(&later, server.address, 0);
	bytes_release(&later.body);
	assert_int_equal(server.accepted, 3);
	assert_true(http1_client_spans_process(client, server.address, now, 7));
	http1_client_free(client);
	client = http1_client_new(harness_loop(harness));
	assert_false(
		http1_client_spans_process(client, server.address, now, 7));
	n.result = (struct result){ .over = false };
	n.call = http1_call_start(client, &options, xstrdup(request),
				  strlen(request), &ops, &n);
	harness_until(harness, is_over, &n.result, "the call ends");
	now = uv_now(harness_loop(harness));
	assert_false(
		http1_client_spans_process(client, server.address, now, 7));
}

/* Only an answer to a request that was sent after a moment, on a connection from before,
 * shows that the process at its end has outlived the moment. */
static void test_outlasted_moments(void **state)
{
	struct result r = { .over = false };
	uint64_t first, second;

	(void)state;
	server.script = (struct script){
		HEAD "content-length: 2\r\n\r\nab",
		KEEP,
	};
	first = http1_client_moment(client);
	call(&r, server.address, 0);
	bytes_release(&r.body);
	second = http1_client_moment(client);
	assert_true(http1_client_has_idle(client, server.address));
	assert_false(http1_client_outlasts(client, server.address, first));
	assert_false(http1_client_outlasts(client, server.address, second));
	r = (struct result){ .over = false };
	call(&r, server.address, UINT32_MAX);
	bytes_release(&r.body);
	assert_int_equal(server.accepted, 1);
	assert_false(http1_client_outlasts(client, server.address, first));
	assert_true(http1_client_outlasts(client, server.address, second));
	assert_false(http1_client_outlasts(client, BROADCAST_ADDRESS, second));
	server.script = (struct script){ "", FIN };
	r = (struct result){ .over = false };
	call(&r, server.address, UINT32_MAX);
	bytes_release(&r.body);
	assert_false(http1_client_outlasts(client, server.address, second));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_answer_completeness,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_cut_answers_are_broken,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_answer_before_request_body_is_read, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_answer_ends_before_request_is_written, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_answer_to_earlier_request_is_skipped, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(test_answer_to_head_has_no_body,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_no_descriptor, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_connections_of_a_process,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_outlasted_moments, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_nothing_sent, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
