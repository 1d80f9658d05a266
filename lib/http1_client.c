/*
 * HTTP/1.1 client with kept connections.  A connection carries one call at a
 * time.  Idle connections are read as well, so that one which the other side
 * has closed, or on which bytes come that belong to no call, is not used again.
 */
#include "lib/http1_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "lib/bytes.h"
#include "lib/settings.h"
#include "lib/xalloc.h"

#define READ_BYTES 65536
#define HEAD_MAX 65536 /* bytes of an answer's heads, interim ones included */
#define SKIP_MAX (1u << 20) /* bytes of answers that belong to no request */

/* Bytes that frame chunks, trailers included: a chunk of one byte has five, and
 * extensions are short. */
#define FRAMING_MAX HEAD_MAX
#define FRAMING_PER_BYTE 16

#define IDLE_MAX_MS 30000 /* no connection is kept longer than this */
#define KEEP_MARGIN_MS 1000 /* before the timeout that the other side states */
#define ADDRESS_SIZE 32

enum conn_state {
	CONN_CONNECTING,
	CONN_WAITING, /* the request is out, the head is not in */
	CONN_READING,
	CONN_IDLE,
	CONN_CLOSED,
};

struct kept_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct http1_client *client;
	TAILQ_ENTRY(kept_conn) link;
	struct http1_call *call;
	char address[ADDRESS_SIZE];
	enum conn_state state;
	struct bytes input; /* the head so far */
	struct http1_body body;
	uint64_t idle_since_ms;
	uint64_t idle_limit_ms;
	bool keep;
	bool skipping; /* the answer belongs to an earlier request */
	size_t head_bytes; /* of the call's heads that were read */
	size_t skipped; /* bytes of answers that belong to no request */
	uint64_t content; /* bytes of the body so far */
	uint64_t framing; /* and those around them */
};

struct http1_call {
	struct http1_client *client;
	TAILQ_ENTRY(http1_call) link; /* while no connection was had */
	struct kept_conn *conn;
	const struct http1_call_ops *ops;
	void *arg;
	char *request;
	size_t request_len;
	uint64_t connect_by_ms;
	uint64_t whole_by_ms; /* 0: any time */
	bool head;
	bool reused;
	bool paused;
};

TAILQ_HEAD(kept_list, kept_conn);
TAILQ_HEAD(call_list, http1_call);

struct http1_client {
	uv_loop_t *loop;
	struct kept_list conns; /* the most recently used first */
	struct call_list stillborn; /* their failure is told at the next tick */
	struct http1_client_stats stats;
	size_t n_handles; /* of the loop, not closed yet */
	bool freed; /* when the last handle is closed */
};

struct write {
	uv_write_t req;
	char *data;
};

static char read_buffer[READ_BYTES];

static struct kept_conn *find_idle(struct http1_client *c,
				   const struct http1_call_options *o);
static struct kept_conn *connect_to(struct http1_client *c,
				    const struct http1_call_options *o);
static void probe_silence(struct kept_conn *k, uint32_t silent_s);
static void send_request(struct kept_conn *k);
static void on_connect(uv_connect_t *req, int status);
static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);
static void on_written(uv_write_t *req, int status);
static void on_closed(uv_handle_t *h);
static bool was_reset(const struct kept_conn *k);
static bool is_late(const struct kept_conn *k, uint64_t now);
static void on_eof(struct kept_conn *k, bool orderly);
static bool take_head(struct kept_conn *k);
static void take_body(struct kept_conn *k, char *data, size_t len);
static bool is_bounded(struct kept_conn *k, size_t len, size_t decoded,
		       size_t rest);
static void answer_over(struct kept_conn *k, size_t rest);
static uint64_t idle_limit(const struct http1_head *head);
static void conn_close(struct kept_conn *k);
static void call_end(struct http1_call *call, enum http1_outcome outcome);
static void call_free(struct http1_call *call);

/* Makes a client on a loop. */
struct http1_client *http1_client_new(uv_loop_t *loop)
{
	struct http1_client *c = xcalloc(1, sizeof(*c));

	c->loop = loop;
	TAILQ_INIT(&c->conns);
	TAILQ_INIT(&c->stillborn);
	return c;
}

/* Closes all connections; calls in progress are cancelled.  The client is
 * freed with its last connection, by the loop.  The analyzer does not see that
 * a freed call is out of its list. */
void http1_client_free(struct http1_client *c)
{
	struct kept_conn *k;
	struct http1_call *call;

	while ((call = TAILQ_FIRST(&c->stillborn)))
		http1_call_cancel(call); /* NOLINT */
	while ((k = TAILQ_FIRST(&c->conns))) {
		if (k->call)
			http1_call_cancel(k->call); /* NOLINT */
		else
			conn_close(k);
	}
	c->freed = true;
	if (!c->n_handles)
		free(c);
}

/* Gives connections under way the time that this process stood still. */
void http1_client_excuse(struct http1_client *c, uint64_t stall_ms)
{
	struct kept_conn *k;

	TAILQ_FOREACH(k, &c->conns, link)
	{
		if (k->state == CONN_CONNECTING && k->call)
			k->call->connect_by_ms += stall_ms;
		if (k->call && k->call->whole_by_ms)
			k->call->whole_by_ms += stall_ms;
	}
}

/* Ends calls that found no connection in time, and old idle connections. */
void http1_client_tick(struct http1_client *c)
{
	uint64_t now = uv_now(c->loop);
	struct kept_conn *k = TAILQ_FIRST(&c->conns);
	struct http1_call *call;

	while ((call = TAILQ_FIRST(&c->stillborn))) {
		TAILQ_REMOVE(&c->stillborn, call, link);
		call_end(call, HTTP1_NOT_SENT);
	}
	while (k) {
		struct kept_conn *next = TAILQ_NEXT(k, link);

		if (is_late(k, now)) {
			enum http1_outcome outcome = k->state == CONN_CONNECTING
							     ? HTTP1_NO_ANSWER
							     : HTTP1_BROKEN;

			call = k->call;
			conn_close(k);
			call_end(call, outcome);
			next = TAILQ_FIRST(&c->conns); /* may have changed */
		} else if (k->state == CONN_IDLE &&
			   now - k->idle_since_ms >= k->idle_limit_ms) {
			conn_close(k);
		}
		k = next;
	}
}

/* Tells whether the time of a connection's call is up: to have the connection, or
 * its whole answer. */
static bool is_late(const struct kept_conn *k, uint64_t now)
{
	const struct http1_call *call = k->call;

	if (k->state == CONN_CONNECTING)
		return now >= call->connect_by_ms;
	return call && call->whole_by_ms && now >= call->whole_by_ms;
}

/* Returns how often connections were made and used again. */
struct http1_client_stats http1_client_stats(const struct http1_client *c)
{
	return c->stats;
}

/* Starts a call on a kept connection that was used lately, or a fresh one. */
struct http1_call *http1_call_start(struct http1_client *c,
				    const struct http1_call_options *options,
				    char *request, size_t len,
				    const struct http1_call_ops *ops, void *arg)
{
	struct http1_call *call = xcalloc(1, sizeof(*call));
	struct kept_conn *k;

	call->client = c;
	call->ops = ops;
	call->arg = arg;
	call->request = request;
	call->request_len = len;
	call->head = options->head;
	call->connect_by_ms = uv_now(c->loop) + options->connect_ms;
	if (options->whole_ms)
		call->whole_by_ms = uv_now(c->loop) + options->whole_ms;
	k = find_idle(c, options);
	if (k) {
		call->reused = true;
		c->stats.reuses++;
		call->conn = k;
		k->call = call;
		send_request(k);
		return call;
	}
	k = connect_to(c, options);
	if (k) {
		call->conn = k;
		k->call = call;
	} else {
		TAILQ_INSERT_TAIL(&c->stillborn, call, link);
	}
	return call;
}

/* Gives a call up by closing its connection; no callback follows. */
void http1_call_cancel(struct http1_call *call)
{
	if (call->conn) {
		call->conn->call = NULL;
		conn_close(call->conn);
	} else {
		TAILQ_REMOVE(&call->client->stillborn, call, link);
	}
	call_free(call);
}

/* Stops or goes on reading the answer. */
void http1_call_pause(struct http1_call *call, bool paused)
{
	if (!call->conn || call->paused == paused)
		return;
	call->paused = paused;
	if (paused)
		uv_read_stop((uv_stream_t *)&call->conn->tcp);
	else
		uv_read_start((uv_stream_t *)&call->conn->tcp, on_alloc,
			      on_read);
}

/* Tells whether the request has been handed to a connection. */
bool http1_call_connected(const struct http1_call *call)
{
	return call->conn && call->conn->state != CONN_CONNECTING;
}

/* Tells whether only the end of the connection ends the answer's body; valid
 * once its head has come. */
bool http1_call_unframed(const struct http1_call *call)
{
	return call->conn && call->conn->body.framing == HTTP1_UNTIL_CLOSE;
}

/* Tells whether the call went out on a connection used before. */
bool http1_call_reused(const struct http1_call *call)
{
	return call->reused;
}

/* Returns a word for an outcome, for logs. */
const char *http1_outcome_name(enum http1_outcome outcome)
{
	static const char *const names[] = {
		[HTTP1_COMPLETE] = "complete",
		[HTTP1_NOT_SENT] = "not sent",
		[HTTP1_NO_ANSWER] = "no connection in time",
		[HTTP1_BROKEN] = "connection broken",
		[HTTP1_MALFORMED] = "malformed answer",
	};

	return names[outcome];
}

/* Returns the idle connection to the address that was used last, or NULL. */
static struct kept_conn *find_idle(struct http1_client *c,
				   const struct http1_call_options *o)
{
	uint64_t now = uv_now(c->loop);
	struct kept_conn *k;

	if (!o->reuse_ms)
		return NULL;
	TAILQ_FOREACH(k, &c->conns, link)
	{
		uint64_t idle = now - k->idle_since_ms;

		if (k->state == CONN_IDLE && idle < o->reuse_ms &&
		    idle < k->idle_limit_ms && !strcmp(k->address, o->address))
			return k;
	}
	return NULL;
}

/* Begins connecting; NULL if the address is malformed or sockets are out. */
static struct kept_conn *connect_to(struct http1_client *c,
				    const struct http1_call_options *o)
{
	struct sockaddr_in sin;
	struct kept_conn *k;
	char host[64];
	uint16_t port;

	if (!address_parse(o->address, host, sizeof(host), &port) ||
	    strlen(o->address) >= ADDRESS_SIZE)
		return NULL;
	k = xcalloc(1, sizeof(*k));
	k->client = c;
	k->state = CONN_CONNECTING;
	strcpy(k->address, o->address);
	uv_tcp_init(c->loop, &k->tcp);
	c->n_handles++;
	k->tcp.data = k;
	k->connect.data = k;
	TAILQ_INSERT_HEAD(&c->conns, k, link);
	uv_ip4_addr(host, port, &sin);
	c->stats.connects++;
	if (uv_tcp_connect(&k->connect, &k->tcp, (const struct sockaddr *)&sin,
			   on_connect)) {
		conn_close(k);
		return NULL;
	}
	uv_tcp_nodelay(&k->tcp, 1);
	if (o->silent_s)
		probe_silence(k, o->silent_s);
	return k;
}

/* Lets TCP itself find that the other side is gone: probes after a second of
 * silence, and an end after silent_s seconds without an answer. */
static void probe_silence(struct kept_conn *k, uint32_t silent_s)
{
	int interval_s = 1;
	int count = (int)silent_s;
	unsigned int user_timeout_ms = silent_s * 1000;
	uv_os_fd_t fd;

	uv_tcp_keepalive(&k->tcp, 1, 1);
	if (uv_fileno((const uv_handle_t *)&k->tcp, &fd))
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
		   sizeof(user_timeout_ms));
}

/* The connection stands or failed. */
static void on_connect(uv_connect_t *req, int status)
{
	struct kept_conn *k = req->data;
	struct http1_call *call = k->call;

	if (k->state != CONN_CONNECTING)
		return;
	if (status < 0) {
		conn_close(k);
		if (call)
			call_end(call, HTTP1_NOT_SENT);
		return;
	}
	if (!call->request_len) { /* only the connection was asked for */
		conn_close(k);
		call_end(call, HTTP1_COMPLETE);
		return;
	}
	uv_read_start((uv_stream_t *)&k->tcp, on_alloc, on_read);
	send_request(k);
}

/* Sends the call's request. */
static void send_request(struct kept_conn *k)
{
	struct http1_call *call = k->call;
	uv_stream_t *stream = (uv_stream_t *)&k->tcp;
	uv_buf_t buf = uv_buf_init(call->request, (unsigned)call->request_len);
	struct write *w;
	int sent;

	k->state = CONN_WAITING;
	k->skipping = false;
	k->head_bytes = 0;
	k->skipped = 0;
	sent = uv_try_write(stream, &buf, 1);
	if (sent < 0)
		sent = 0;
	if ((size_t)sent == call->request_len)
		return;
	w = xcalloc(1, sizeof(*w));
	w->data = call->request;
	call->request = NULL;
	w->req.data = k;
	buf = uv_buf_init(w->data + sent,
			  (unsigned int)(call->request_len - (size_t)sent));
	if (uv_write(&w->req, stream, &buf, 1, on_written)) {
		free(w->data); /* the read side tells of the break */
		free(w);
	}
}

/* A request was sent, or will not be. */
static void on_written(uv_write_t *req, int status)
{
	struct write *w = (struct write *)req;
	struct kept_conn *k = req->data;

	free(w->data);
	free(w);
	if (status < 0 && k->state != CONN_CLOSED)
		on_eof(k, false);
}

/* Lends the loop's one read buffer. */
static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	(void)h;
	(void)suggested;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/* Takes what the other side sent. */
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct kept_conn *k = stream->data;

	if (n == 0 || k->state == CONN_CLOSED)
		return;
	if (n < 0) {
		on_eof(k, n == UV_EOF && !was_reset(k));
		return;
	}
	if (k->state == CONN_IDLE) { /* bytes that belong to no call */
		conn_close(k);
		return;
	}
	if (k->state == CONN_READING) {
		take_body(k, buf->base, (size_t)n);
		return;
	}
	bytes_add(&k->input, buf->base, (size_t)n);
	while (k->state == CONN_WAITING && k->input.len)
		if (!take_head(k))
			return;
}

/* Tells whether a connection that seems to have ended in order was reset.
 * libuv reports an end when a reset arrives together with the last bytes; the
 * socket still knows better. */
static bool was_reset(const struct kept_conn *k)
{
	int error = 0;
	socklen_t len = sizeof(error);
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)&k->tcp, &fd) ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len))
		return true;
	return error != 0;
}

/* The connection ended, in order or broken. */
static void on_eof(struct kept_conn *k, bool orderly)
{
	struct http1_call *call = k->call;
	bool whole = orderly && k->state == CONN_READING && !k->skipping &&
		     k->body.framing == HTTP1_UNTIL_CLOSE;

	conn_close(k);
	if (call)
		call_end(call, whole ? HTTP1_COMPLETE : HTTP1_BROKEN);
}

/* Parses a head; false if it must wait for more or the connection is over. */
static bool take_head(struct kept_conn *k)
{
	struct http1_call *call = k->call;
	enum http1_result result;
	struct http1_head head;
	struct bytes rest = { 0 };
	size_t used = 0;

	result =
		http1_parse_response(k->input.data, k->input.len, &head, &used);
	if (result == HTTP1_MORE && k->input.len <= HEAD_MAX)
		return false;
	k->head_bytes += used;
	if (result != HTTP1_DONE || k->head_bytes > HEAD_MAX) {
		conn_close(k);
		call_end(call, HTTP1_MALFORMED);
		return false;
	}
	if (head.status < 200) { /* informational: the answer follows */
		bytes_consume(&k->input, used);
		return true;
	}
	if (!http1_body_of_response(&head, call->head, &k->body)) {
		conn_close(k);
		call_end(call, HTTP1_MALFORMED);
		return false;
	}
	k->keep = http1_keeps_alive(&head) &&
		  k->body.framing != HTTP1_UNTIL_CLOSE;
	k->idle_limit_ms = idle_limit(&head);
	k->state = CONN_READING;
	k->content = 0;
	k->framing = 0;
	k->skipping = call->ops->on_head &&
		      call->ops->on_head(call->arg, &head) == HTTP1_SKIP;
	if (k->state != CONN_READING) /* cancelled */
		return false;
	rest = k->input;
	memset(&k->input, 0, sizeof(k->input));
	bytes_consume(&rest, used);
	take_body(k, rest.data, rest.len);
	bytes_release(&rest);
	return k->state == CONN_WAITING;
}

/* Reads on in the answer's body. */
static void take_body(struct kept_conn *k, char *data, size_t len)
{
	struct http1_call *call = k->call;
	enum http1_result result;
	size_t decoded;
	size_t rest;

	result = http1_body_take(&k->body, data, len, &decoded, &rest);
	if (result == HTTP1_BAD || !is_bounded(k, len, decoded, rest)) {
		conn_close(k);
		call_end(call, HTTP1_MALFORMED);
		return;
	}
	if (decoded && !k->skipping && call->ops->on_body)
		call->ops->on_body(call->arg, data, decoded);
	if (k->state != CONN_READING || result == HTTP1_MORE)
		return;
	if (k->skipping) {
		k->state = CONN_WAITING;
		k->skipping = false;
		bytes_add(&k->input, data + decoded, rest);
		return;
	}
	answer_over(k, rest);
}

/* Counts what was read of a body; false if that has gone on for longer than any
 * answer: bytes of a skipped one, or such as only frame chunks. */
static bool is_bounded(struct kept_conn *k, size_t len, size_t decoded,
		       size_t rest)
{
	if (k->skipping)
		k->skipped += len - rest;
	k->content += decoded;
	k->framing += len - rest - decoded;
	return k->skipped <= SKIP_MAX &&
	       k->framing <= FRAMING_MAX + k->content * FRAMING_PER_BYTE;
}

/* The answer is whole; rest bytes that follow it belong to no call. */
static void answer_over(struct kept_conn *k, size_t rest)
{
	struct http1_call *call = k->call;

	k->call = NULL;
	if (k->keep && !rest && !call->paused) {
		k->state = CONN_IDLE;
		k->idle_since_ms = uv_now(k->client->loop);
		TAILQ_REMOVE(&k->client->conns, k, link);
		TAILQ_INSERT_HEAD(&k->client->conns, k, link);
	} else {
		conn_close(k);
	}
	call->conn = NULL;
	call_end(call, HTTP1_COMPLETE);
}

/* Returns how long the connection may stay idle before it is used again, ms. */
static uint64_t idle_limit(const struct http1_head *head)
{
	const struct http1_header *h = http1_find(head, "keep-alive");
	char text[64];
	const char *p;
	uint64_t ms;

	if (!h || h->value_len >= sizeof(text))
		return IDLE_MAX_MS;
	memcpy(text, h->value, h->value_len);
	text[h->value_len] = '\0';
	p = strstr(text, "timeout=");
	if (!p)
		return IDLE_MAX_MS;
	ms = strtoul(p + strlen("timeout="), NULL, 10) * 1000;
	if (ms > IDLE_MAX_MS)
		return IDLE_MAX_MS;
	return ms > KEEP_MARGIN_MS ? ms - KEEP_MARGIN_MS : 0;
}

/* Closes a connection; its call, if any, is left to the caller. */
static void conn_close(struct kept_conn *k)
{
	if (k->state == CONN_CLOSED)
		return;
	k->state = CONN_CLOSED;
	if (k->call)
		k->call->conn = NULL;
	k->call = NULL;
	TAILQ_REMOVE(&k->client->conns, k, link);
	uv_close((uv_handle_t *)&k->tcp, on_closed);
}

/* Frees a connection. */
static void on_closed(uv_handle_t *h)
{
	struct kept_conn *k = h->data;

	bytes_release(&k->input);
	if (!--k->client->n_handles && k->client->freed)
		free(k->client);
	free(k);
}

/* Tells a call's end and frees it. */
static void call_end(struct http1_call *call, enum http1_outcome outcome)
{
	if (call->ops->on_end)
		call->ops->on_end(call->arg, outcome);
	call_free(call);
}

/* Frees a call that has no connection any more. */
static void call_free(struct http1_call *call)
{
	free(call->request);
	free(call);
}
