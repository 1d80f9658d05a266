/*
 * HTTP/1.1 server.  A request is passed to its handler once it is complete.
 * The connection is read while its request is being answered, so that a
 * disconnect by the caller is detected at once.  A caller that ends only its
 * sending direction gets its answer.
 */
#include "lib/http1_server.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib/bytes.h"
#include "lib/settings.h"
#include "lib/xalloc.h"

#define BACKLOG 1024
#define READ_BYTES 65536 /* buffer shared by all connections */
#define LISTENERS_MAX 4

/* Callers and this server learn of a new limit at different times, at most this
 * far apart: an idle connection is kept for longer than the limit by this. */
#define LIMIT_CHANGE_MS 2000

/* A caller may pause for this long while it takes an answer, also if the idle
 * limit is lower: it doesn't wait for a request. */
#define UNTAKEN_MAX_MS 10000

/* A body that takes longer is refused even if it makes progress. */
#define BODY_MAX_MS 120000

/* After its last answer a connection is read and dropped, so that no reset
 * overtakes the answer while its caller still sends: until nothing was sent for
 * this long, and no longer than LINGER_MAX_MS. */
#define LINGER_SILENT_MS 2000
#define LINGER_MAX_MS 30000
#define LINGER_MAX_BYTES ((size_t)64 << 20)

#define VERSION_TEXT "HTTP/1.1 " /* each answer begins with it */

/* A caller that has ended its input is taken for gone if nothing that is sent
 * can show within this time whether it still receives.  Work for callers that
 * are gone has to end within half a second. */
#define UNKNOWN_CALLER_MAX_MS 300

enum conn_state {
	CONN_HEAD, /* between requests, or reading a head */
	CONN_BODY,
	CONN_ANSWERING,
	CONN_CLOSING, /* until all queued bytes are sent */
	CONN_LINGERING, /* all is sent; what still comes is dropped */
	CONN_CLOSED,
};

struct http1_conn {
	uv_tcp_t tcp;
	uv_poll_t reset_poll; /* see watch_reset() */
	int reset_fd; /* duplicate of the socket; valid if watching */
	uv_shutdown_t shutdown;
	struct http1_server *server;
	TAILQ_ENTRY(http1_conn) link;
	enum conn_state state;
	struct bytes input; /* received, not yet parsed */
	struct bytes head; /* of the current request */
	struct bytes body;
	struct http1_request request;
	struct http1_body framing;
	void *owner;
	struct http1_limits limits; /* in force when its request began */
	/* the same of what is received behind a request that is answered */
	struct http1_limits limits_behind;
	size_t dropped; /* bytes, while lingering */
	size_t unsent; /* bytes not received by the caller at the last tick */
	size_t sent_early; /* bytes sent of what is sent next */
	uint64_t progress_ms; /* loop time: bytes were read or sent last */
	uint64_t since_ms; /* loop time: idle or reading since then */
	uint64_t input_ended_ms; /* loop time; valid if watching */
	unsigned int n_handles; /* not yet closed by the loop */
	bool keep_alive; /* the connection may be reused */
	bool begun; /* a streamed answer has begun */
	bool refused; /* before its request was whole; more of it may come */
	bool chunked; /* the answer is sent in chunks */
	bool unframed; /* the answer ends with the connection */
	bool parsing;
	bool peer_closed; /* or failed */
	bool watching; /* for a reset, after the end of the input */
	bool asked; /* bytes were sent or queued after the end of the input */
};

TAILQ_HEAD(conn_list, http1_conn);

struct http1_server {
	uv_loop_t *loop;
	const struct http1_server_ops *ops;
	void *arg;
	struct http1_limits limits;
	uint64_t idle_lowered_ms; /* loop time, 0: never */
	uv_tcp_t *listeners[LISTENERS_MAX];
	size_t n_listeners;
	struct conn_list conns;
	size_t n_handles; /* not yet closed by the loop */
	bool closing; /* close connections after their answers */
	bool freed; /* free the server with its last handle */
};

struct write {
	uv_write_t req;
	char data[];
};

static char read_buffer[READ_BYTES];

static void on_connection(uv_stream_t *stream, int status);
static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);
static void on_written(uv_write_t *req, int status);
static void on_conn_closed(uv_handle_t *h);
static void on_listener_closed(uv_handle_t *h);
static void handle_closed(struct http1_server *s);
static void parse(struct http1_conn *c);
static bool parse_head(struct http1_conn *c);
static bool parse_body(struct http1_conn *c);
static void dispatch_request(struct http1_conn *c);
static void refuse(struct http1_conn *c, int status);
static bool is_last_answer(const struct http1_conn *c);
static void finish_answer(struct http1_conn *c);
static void end_connection(struct http1_conn *c);
static void half_close(struct http1_conn *c);
static void on_shutdown(uv_shutdown_t *req, int status);
static void drop_input(struct http1_conn *c, ssize_t n);
static void keep_half_closed(struct http1_conn *c);
static bool watch_reset(struct http1_conn *c);
static void on_reset(uv_poll_t *poll, int status, int events);
static bool is_unknown_too_long(const struct http1_conn *c, uint64_t now);
static void send_rest(struct http1_conn *c, const void *data, size_t len);
static void conn_close(struct http1_conn *c);
static void reset_at_close(struct http1_conn *c, bool on);
static void examine(struct http1_conn *c, uint64_t now);
static void begin_request(struct http1_conn *c);
static struct http1_limits limits_of(const struct http1_conn *c);
static uint64_t without_progress_ms(const struct http1_conn *c, uint64_t now);
static bool is_busy(const struct http1_conn *c);
static bool is_idle_too_long(const struct http1_conn *c, uint64_t now);
static bool is_received_too_long(const struct http1_conn *c, uint64_t now);
static bool lingers_too_long(const struct http1_conn *c, uint64_t now);
static void note_sending(struct http1_conn *c, uint64_t now);
static size_t unread_bytes(const struct http1_conn *c);
static size_t socket_bytes(const struct http1_conn *c, unsigned long what);
static bool is_unfinished(const struct http1_conn *c);
static bool is_answer_cut(const struct http1_conn *c, enum http1_end why);
static void report_end(const struct http1_conn *c, enum http1_end why,
		       int status);
static void send_bytes(struct http1_conn *c, const void *data, size_t len);
static const char *reason_phrase(int status);

/* Creates a server with default limits; it accepts no connection before
 * http1_server_listen(). */
struct http1_server *http1_server_new(uv_loop_t *loop,
				      const struct http1_server_ops *ops,
				      void *arg)
{
	struct http1_server *s = xcalloc(1, sizeof(*s));

	s->loop = loop;
	s->ops = ops;
	s->arg = arg;
	s->limits = (struct http1_limits){
		.header_bytes = 16384,
		.body_bytes = 4u << 20,
		.header_ms = 3000,
		.idle_ms = 15000,
	};
	TAILQ_INIT(&s->conns);
	return s;
}

/* Listens on a numeric address.  Returns 0, or -1 with a message in err on
 * failure. */
int http1_server_listen(struct http1_server *s, const char *address, char *err,
			size_t err_size)
{
	struct sockaddr_in sin;
	char host[64];
	uint16_t port;
	uv_tcp_t *l;
	int rc;

	if (s->n_listeners == LISTENERS_MAX ||
	    !address_parse(address, host, sizeof(host), &port)) {
		snprintf(err, err_size, "%s: not a numeric address", address);
		return -1;
	}
	l = xcalloc(1, sizeof(*l));
	uv_tcp_init(s->loop, l);
	s->n_handles++;
	l->data = s;
	uv_ip4_addr(host, port, &sin);
	rc = uv_tcp_bind(l, (const struct sockaddr *)&sin, 0);
	if (!rc)
		rc = uv_listen((uv_stream_t *)l, BACKLOG, on_connection);
	if (rc) {
		snprintf(err, err_size, "listening on %s: %s", address,
			 uv_strerror(rc));
		uv_close((uv_handle_t *)l, on_listener_closed);
		return -1;
	}
	s->listeners[s->n_listeners++] = l;
	return 0;
}

/* Sets the limits for callers.  A lower idle limit counts from now, as callers
 * that were idle for longer could not know it. */
void http1_server_limits(struct http1_server *s,
			 const struct http1_limits *limits)
{
	if (limits->idle_ms < s->limits.idle_ms)
		s->idle_lowered_ms = uv_now(s->loop);
	s->limits = *limits;
}

/* Closes each connection after its next answer from now on, or after the answers
 * to the requests that have been received by then. */
void http1_server_disable_keepalive(struct http1_server *s)
{
	s->closing = true;
}

/* Closes connections that were idle for too long and refuses requests whose
 * head or body takes too long, with status 408. */
void http1_server_tick(struct http1_server *s)
{
	struct http1_conn *c = TAILQ_FIRST(&s->conns);

	while (c) {
		struct http1_conn *next = TAILQ_NEXT(c, link);

		examine(c, uv_now(s->loop));
		c = next;
	}
}

/* Closes one connection, or refuses its request, if it takes too long.  The rest
 * of a request may be in the socket if the loop was held up. */
static void examine(struct http1_conn *c, uint64_t now)
{
	note_sending(c, now);
	if (is_idle_too_long(c, now)) {
		report_end(c, HTTP1_END_IDLE, 0);
		conn_close(c);
	} else if (is_unknown_too_long(c, now)) {
		report_end(c, HTTP1_END_UNKNOWN, 0);
		conn_close(c);
	} else if (lingers_too_long(c, now)) {
		if (is_unfinished(c))
			report_end(c, HTTP1_END_LINGER, 0);
		conn_close(c);
	} else if (is_received_too_long(c, now) && !unread_bytes(c)) {
		refuse(c, 408);
	}
}

/* Starts the time of a request, or of a connection that waits for one, under the
 * limits in force now. */
static void begin_request(struct http1_conn *c)
{
	c->since_ms = uv_now(c->server->loop);
	c->limits = c->server->limits;
}

/* Returns the limits of the request that is being received: those in force now
 * or when it began, whichever allow more. */
static struct http1_limits limits_of(const struct http1_conn *c)
{
	struct http1_limits limits = c->server->limits;

	if (limits.header_bytes < c->limits.header_bytes)
		limits.header_bytes = c->limits.header_bytes;
	if (limits.body_bytes < c->limits.body_bytes)
		limits.body_bytes = c->limits.body_bytes;
	if (limits.header_ms < c->limits.header_ms)
		limits.header_ms = c->limits.header_ms;
	if (limits.idle_ms < c->limits.idle_ms)
		limits.idle_ms = c->limits.idle_ms;
	return limits;
}

/* Notes whether the caller has taken bytes of a queued answer since the last
 * tick.  The queue alone moves in steps of megabytes. */
static void note_sending(struct http1_conn *c, uint64_t now)
{
	size_t unsent = http1_pending(c);

	if (unsent || c->unsent)
		unsent += socket_bytes(c, TIOCOUTQ);
	if (unsent != c->unsent)
		c->progress_ms = now;
	c->unsent = unsent;
}

/* Returns whether a connection between requests, or one with its last answer
 * queued, has made no progress for too long.  What is in the socket has
 * arrived, though it was not read yet. */
static bool is_idle_too_long(const struct http1_conn *c, uint64_t now)
{
	uint64_t limit = (uint64_t)c->server->limits.idle_ms + LIMIT_CHANGE_MS;

	if ((c->state != CONN_HEAD || c->input.len) && c->state != CONN_CLOSING)
		return false;
	if (c->unsent && limit < UNTAKEN_MAX_MS)
		limit = UNTAKEN_MAX_MS;
	return without_progress_ms(c, now) > limit &&
	       (c->state == CONN_CLOSING || !unread_bytes(c));
}

/* Returns whether a request takes too long to be received. */
static bool is_received_too_long(const struct http1_conn *c, uint64_t now)
{
	const struct http1_limits limits = limits_of(c);
	uint64_t age = now - c->since_ms;

	if (c->state == CONN_HEAD)
		return c->input.len && age > limits.header_ms;
	return c->state == CONN_BODY &&
	       (age > BODY_MAX_MS ||
		without_progress_ms(c, now) > limits.idle_ms);
}

/* Returns whether the caller of a connection that lingers has sent nothing for
 * too long, or has sent for too long. */
static bool lingers_too_long(const struct http1_conn *c, uint64_t now)
{
	return c->state == CONN_LINGERING &&
	       (now - c->since_ms > LINGER_MAX_MS ||
		(without_progress_ms(c, now) > LINGER_SILENT_MS &&
		 !unread_bytes(c)));
}

/* Returns for how long a connection made no progress, in ms: since bytes were
 * read or sent, its state changed, or the idle limit fell. */
static uint64_t without_progress_ms(const struct http1_conn *c, uint64_t now)
{
	uint64_t since = c->server->idle_lowered_ms;

	if (since < c->since_ms)
		since = c->since_ms;
	if (since < c->progress_ms)
		since = c->progress_ms;
	return now - since;
}

/* Returns whether a request is being received, waits in a socket or is being
 * answered, bytes of an answer are queued, or a refused caller may still send. */
bool http1_server_busy(const struct http1_server *s)
{
	const struct http1_conn *c;

	TAILQ_FOREACH(c, &s->conns, link)
	{
		if (is_busy(c))
			return true;
	}
	return false;
}

/* Returns whether the end of the process would lose something of c.  It resets a
 * connection whose caller still sends, which may lose the answer. */
static bool is_busy(const struct http1_conn *c)
{
	if (c->state == CONN_LINGERING)
		return c->refused || unread_bytes(c);
	return c->state != CONN_HEAD || c->input.len || http1_pending(c) ||
	       unread_bytes(c);
}

/* Reports the connections that the end of the process closes, but for those
 * that wait for a request. */
void http1_server_report_open(struct http1_server *s)
{
	struct http1_conn *c;

	TAILQ_FOREACH(c, &s->conns, link)
	{
		if (is_busy(c))
			report_end(c, HTTP1_END_PROCESS, 0);
	}
}

/* Returns the text of a reason, for logs. */
const char *http1_end_text(enum http1_end why)
{
	static const char *const texts[] = {
		[HTTP1_END_IDLE] = "idle",
		[HTTP1_END_REFUSED] = "refused",
		[HTTP1_END_ABORTED] = "aborted",
		[HTTP1_END_UNKNOWN] = "caller unknown",
		[HTTP1_END_NO_DESCRIPTOR] = "no descriptor",
		[HTTP1_END_LINGER] = "linger limit",
		[HTTP1_END_PROCESS] = "process ends",
	};

	return texts[why];
}

/* Closes listeners and connections; the loop frees the server with the last
 * handle. */
void http1_server_free(struct http1_server *s)
{
	struct http1_conn *c;

	while (s->n_listeners)
		uv_close((uv_handle_t *)s->listeners[--s->n_listeners],
			 on_listener_closed);
	while ((c = TAILQ_FIRST(&s->conns)))
		conn_close(c);
	s->freed = true;
	if (!s->n_handles)
		free(s);
}

/* Sets the owner of the request in progress, which is passed to on_gone and
 * on_sent; NULL: no calls. */
void http1_set_owner(struct http1_conn *c, void *owner)
{
	c->owner = owner;
}

/* Returns whether a server that closes its connections does so after this answer.
 * What the caller has already sent behind the request is answered first. */
static bool is_last_answer(const struct http1_conn *c)
{
	return c->server->closing && !c->input.len && !unread_bytes(c);
}

/* Sends a whole answer; headers are lines that each end in CRLF, or NULL. */
void http1_reply(struct http1_conn *c, int status, const char *headers,
		 const void *body, size_t len)
{
	struct bytes out = { 0 };

	if (is_last_answer(c))
		c->keep_alive = false;
	bytes_addf(&out,
		   VERSION_TEXT "%d %s\r\n%scontent-length: %zu\r\n%s\r\n",
		   status, reason_phrase(status), headers ? headers : "", len,
		   c->keep_alive ? "" : "connection: close\r\n");
	bytes_add(&out, body, len);
	send_rest(c, out.data, out.len);
	bytes_release(&out);
	finish_answer(c);
}

/* Sends an answer whose body ends with the connection, for an answer that an
 * endpoint sent without a length: whether such an answer is complete cannot be
 * known, so it is not framed as if it were. */
void http1_reply_unframed(struct http1_conn *c, int status, const char *headers,
			  const void *body, size_t len)
{
	struct bytes out = { 0 };

	c->keep_alive = false;
	c->unframed = true;
	reset_at_close(c, true);
	bytes_addf(&out, VERSION_TEXT "%d %s\r\n%sconnection: close\r\n\r\n",
		   status, reason_phrase(status), headers ? headers : "");
	bytes_add(&out, body, len);
	send_rest(c, out.data, out.len);
	bytes_release(&out);
	finish_answer(c);
}

/* Starts an answer of unknown length, in chunks for HTTP/1.1 callers. */
void http1_stream_begin(struct http1_conn *c, int status, const char *headers)
{
	struct bytes out = { 0 };

	c->chunked = c->request.head.minor_version >= 1;
	c->unframed = !c->chunked;
	if (c->unframed)
		reset_at_close(c, true);
	if (is_last_answer(c) || !c->chunked)
		c->keep_alive = false;
	bytes_addf(&out, VERSION_TEXT "%d %s\r\n%s%s%s\r\n", status,
		   reason_phrase(status), headers ? headers : "",
		   c->chunked ? "transfer-encoding: chunked\r\n" : "",
		   c->keep_alive ? "" : "connection: close\r\n");
	c->begun = true;
	send_rest(c, out.data, out.len);
	bytes_release(&out);
}

/* Sends bytes of a streamed answer.  A zero of the chunk's size that was sent
 * early leads the digits of that size. */
void http1_stream_write(struct http1_conn *c, const void *data, size_t len)
{
	struct bytes out = { 0 };

	if (!len)
		return;
	if (c->chunked)
		bytes_addf(&out, "%zx\r\n", len);
	bytes_add(&out, data, len);
	if (c->chunked)
		bytes_add(&out, "\r\n", 2);
	c->sent_early = 0;
	send_bytes(c, out.data, out.len);
	bytes_release(&out);
}

/* Ends a streamed answer. */
void http1_stream_end(struct http1_conn *c)
{
	if (c->chunked)
		send_rest(c, "0\r\n\r\n", 5);
	finish_answer(c);
}

/* Closes the connection without ending the answer, so that the caller detects
 * that it is incomplete.  on_gone is not called. */
void http1_abort(struct http1_conn *c)
{
	c->owner = NULL;
	report_end(c, HTTP1_END_ABORTED, 0);
	conn_close(c);
}

/* Returns the number of bytes queued for sending. */
size_t http1_pending(const struct http1_conn *c)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&c->tcp);
}

/* Accepts a connection. */
static void on_connection(uv_stream_t *stream, int status)
{
	struct http1_server *s = stream->data;
	struct http1_conn *c;

	if (status < 0)
		return;
	c = xcalloc(1, sizeof(*c));
	uv_tcp_init(s->loop, &c->tcp);
	s->n_handles++;
	c->n_handles = 1;
	c->tcp.data = c;
	c->server = s;
	c->keep_alive = true;
	begin_request(c);
	TAILQ_INSERT_TAIL(&s->conns, c, link);
	if (uv_accept(stream, (uv_stream_t *)&c->tcp) < 0) {
		conn_close(c);
		return;
	}
	uv_tcp_nodelay(&c->tcp, 1);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

/* Provides the read buffer shared by all connections. */
static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	(void)h;
	(void)suggested;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/* Handles bytes from a caller, its disconnect or an error. */
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct http1_conn *c = stream->data;
	size_t max_buffered = c->server->limits.header_bytes +
			      c->server->limits.body_bytes + READ_BYTES;

	if (n == 0)
		return;
	if (c->state == CONN_CLOSING || c->state == CONN_LINGERING) {
		drop_input(c, n);
		return;
	}
	if (n < 0) {
		c->peer_closed = true;
		if (n == UV_EOF && c->state == CONN_ANSWERING)
			keep_half_closed(c);
		else if (n == UV_EOF && http1_pending(c))
			end_connection(c); /* the caller may still read */
		else
			conn_close(c);
		return;
	}
	if (c->state == CONN_HEAD && !c->input.len)
		begin_request(c);
	if (c->state == CONN_ANSWERING && !c->input.len)
		c->limits_behind = c->server->limits;
	c->progress_ms = uv_now(c->server->loop);
	bytes_add(&c->input, buf->base, (size_t)n);
	if (c->state == CONN_ANSWERING && c->input.len > max_buffered) {
		uv_read_stop(stream); /* until the answer is finished */
		return;
	}
	parse(c);
}

/* Parses input until a request is being answered or more input is needed. */
static void parse(struct http1_conn *c)
{
	if (c->parsing)
		return;
	c->parsing = true;
	while (c->input.len) {
		if (c->state == CONN_HEAD && parse_head(c))
			continue;
		if (c->state == CONN_BODY && parse_body(c))
			continue;
		break;
	}
	c->parsing = false;
	if (c->peer_closed && (c->state == CONN_HEAD || c->state == CONN_BODY))
		end_connection(c); /* what is left will never be whole */
}

/* Parses a head.  Returns true if the state changed and parsing may
 * continue. */
static bool parse_head(struct http1_conn *c)
{
	struct http1_head *head = &c->request.head;
	enum http1_result result;
	size_t used = 0;

	result = http1_parse_request(c->input.data, c->input.len, head, &used);
	if (result == HTTP1_MORE) {
		if (c->input.len > limits_of(c).header_bytes)
			refuse(c, 431);
		return false;
	}
	if (result == HTTP1_DONE && used > limits_of(c).header_bytes) {
		refuse(c, 431);
		return false;
	}
	if (result == HTTP1_BAD || !http1_request_framing(head, &c->framing)) {
		refuse(c, 400);
		return false;
	}
	c->head.len = 0;
	bytes_add(&c->head, c->input.data, used);
	bytes_consume(&c->input, used);
	http1_parse_request(c->head.data, c->head.len, head, &used);
	c->body.len = 0;
	c->keep_alive = http1_keeps_alive(head);
	c->request.received_ms = c->since_ms;
	c->state = CONN_BODY;
	if (http1_has_token(head, "expect", "100-continue"))
		send_bytes(c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	if (c->framing.framing == HTTP1_EMPTY)
		dispatch_request(c);
	return true;
}

/* Decodes the next bytes of a body.  Returns true if the body is complete. */
static bool parse_body(struct http1_conn *c)
{
	size_t decoded;
	size_t rest;
	enum http1_result result = http1_body_read(
		&c->framing, c->input.data, c->input.len, &decoded, &rest);

	if (result == HTTP1_BAD) {
		refuse(c, 400);
		return false;
	}
	if (c->body.len + decoded > limits_of(c).body_bytes) {
		refuse(c, 413);
		return false;
	}
	bytes_add(&c->body, c->input.data, decoded);
	memmove(c->input.data, c->input.data + decoded, rest);
	c->input.len = rest;
	if (result == HTTP1_DONE)
		dispatch_request(c);
	return result == HTTP1_DONE;
}

/* Passes a complete request to its handler. */
static void dispatch_request(struct http1_conn *c)
{
	c->state = CONN_ANSWERING;
	c->limits_behind = limits_of(c);
	if (c->peer_closed && !c->input.len)
		c->keep_alive = false;
	c->begun = false;
	c->unframed = false;
	c->request.body = c->body.data;
	c->request.body_len = c->body.len;
	c->server->ops->on_request(c, &c->request, c->server->arg);
}

/* Answers an unacceptable request with an error status and closes the
 * connection. */
static void refuse(struct http1_conn *c, int status)
{
	report_end(c, HTTP1_END_REFUSED, status);
	c->refused = true;
	c->keep_alive = false;
	c->state = CONN_ANSWERING;
	http1_reply(c, status, NULL, "", 0);
}

/* Ends an answer: parses the next request or closes the connection once all
 * bytes are sent. */
static void finish_answer(struct http1_conn *c)
{
	if (c->state != CONN_ANSWERING)
		return;
	c->owner = NULL;
	begin_request(c);
	if (c->input.len)
		c->limits = c->limits_behind;
	bytes_release(&c->body);
	if (!c->peer_closed)
		uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
	if (!c->keep_alive) {
		end_connection(c);
		return;
	}
	c->state = CONN_HEAD;
	parse(c);
}

/* Closes a connection once all bytes are sent. */
static void end_connection(struct http1_conn *c)
{
	c->state = CONN_CLOSING;
	bytes_release(&c->input);
	if (!http1_pending(c))
		half_close(c);
}

/* Ends the sending direction after the last answer.  The connection is closed
 * when its caller has closed it too, or by examine(). */
static void half_close(struct http1_conn *c)
{
	if (c->unframed)
		reset_at_close(c, false);
	c->shutdown.data = c;
	if (c->peer_closed ||
	    uv_shutdown(&c->shutdown, (uv_stream_t *)&c->tcp, on_shutdown)) {
		conn_close(c);
		return;
	}
	c->state = CONN_LINGERING;
	c->since_ms = uv_now(c->server->loop);
}

/* Closes the connection if its sending direction could not be ended. */
static void on_shutdown(uv_shutdown_t *req, int status)
{
	if (status < 0)
		conn_close(req->data);
}

/* Drops what a caller sends after its last request; n is the number of bytes,
 * or negative at the end or after an error.  A caller that has ended its own
 * sending may still read the answer. */
static void drop_input(struct http1_conn *c, ssize_t n)
{
	if (n == UV_EOF && c->state == CONN_CLOSING) {
		c->peer_closed = true;
		return;
	}
	if (n > 0) {
		c->dropped += (size_t)n;
		if (c->state == CONN_LINGERING)
			c->progress_ms = uv_now(c->server->loop);
		if (c->dropped > LINGER_MAX_BYTES)
			report_end(c, HTTP1_END_LINGER, 0);
	}
	if (n < 0 || c->dropped > LINGER_MAX_BYTES)
		conn_close(c);
}

/* Keeps a connection for the answers to what its caller sent before it ended the
 * input.  One that has closed the whole connection looks the same until it is sent
 * bytes, which it answers with a reset: the first bytes that are due are sent at
 * once, before the rest is known. */
static void keep_half_closed(struct http1_conn *c)
{
	if (!c->input.len)
		c->keep_alive = false;
	c->input_ended_ms = uv_now(c->server->loop);
	if (!watch_reset(c)) {
		report_end(c, HTTP1_END_NO_DESCRIPTOR, 0);
		conn_close(c);
	} else if (http1_pending(c)) {
		c->asked = true;
	} else if (!c->begun) {
		c->sent_early = strlen(VERSION_TEXT);
		send_bytes(c, VERSION_TEXT, c->sent_early);
	} else if (c->chunked) {
		c->sent_early = 1;
		send_bytes(c, "0", c->sent_early);
	}
}

/* Watches a connection for a reset, which the loop does not report for a stream
 * after the end of its input.  A descriptor has one watcher in a loop, thus the
 * duplicate.  Returns false if no descriptor or watcher is to be had. */
static bool watch_reset(struct http1_conn *c)
{
	struct http1_server *s = c->server;
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)&c->tcp, &fd))
		return false;
	c->reset_fd = fcntl(fd, F_DUPFD_CLOEXEC, 0);
	if (c->reset_fd < 0)
		return false;
	if (uv_poll_init(s->loop, &c->reset_poll, c->reset_fd)) {
		close(c->reset_fd);
		return false;
	}
	s->n_handles++;
	c->n_handles++;
	c->reset_poll.data = c;
	c->watching = true;
	/* errors are reported beside any event; this one can't occur any more */
	return !uv_poll_start(&c->reset_poll, UV_PRIORITIZED, on_reset);
}

/* Closes a connection that its caller has reset. */
static void on_reset(uv_poll_t *poll, int status, int events)
{
	(void)status;
	(void)events;
	conn_close(poll->data);
}

/* Returns whether the caller of an answer has ended its input for too long while
 * nothing was sent that it could answer with a reset: a begun answer without
 * chunks has no bytes to be sent early. */
static bool is_unknown_too_long(const struct http1_conn *c, uint64_t now)
{
	return c->state == CONN_ANSWERING && c->watching && !c->asked &&
	       now - c->input_ended_ms > UNKNOWN_CALLER_MAX_MS;
}

/* Sends data but for its first bytes that were sent early. */
static void send_rest(struct http1_conn *c, const void *data, size_t len)
{
	size_t sent = c->sent_early;

	c->sent_early = 0;
	send_bytes(c, (const char *)data + sent, len - sent);
}

/* Closes a connection and calls on_gone if its request has an owner.  An answer
 * that ends with its connection and is incomplete ends with a reset, as an
 * orderly end would make it look complete. */
static void conn_close(struct http1_conn *c)
{
	void *owner = c->owner;
	bool incomplete = c->state == CONN_ANSWERING || http1_pending(c);

	if (c->state == CONN_CLOSED)
		return;
	c->state = CONN_CLOSED;
	c->owner = NULL;
	TAILQ_REMOVE(&c->server->conns, c, link);
	if (c->watching) {
		uv_close((uv_handle_t *)&c->reset_poll, on_conn_closed);
		close(c->reset_fd);
	}
	if (!c->unframed || !incomplete ||
	    uv_tcp_close_reset(&c->tcp, on_conn_closed))
		uv_close((uv_handle_t *)&c->tcp, on_conn_closed);
	if (owner)
		c->server->ops->on_gone(owner);
}

/* Sets whether the connection is reset when it is closed, also by the kernel if
 * this process is killed: an answer that ends with its connection must not look
 * complete before it is.  There is nothing to be done if the socket does not take
 * it. */
static void reset_at_close(struct http1_conn *c, bool on)
{
	const struct linger linger = { .l_onoff = on };
	uv_os_fd_t fd;

	if (!uv_fileno((const uv_handle_t *)&c->tcp, &fd))
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

/* Returns the number of received bytes that were not read, 0 if unknown. */
static size_t unread_bytes(const struct http1_conn *c)
{
	return socket_bytes(c, FIONREAD);
}

/* Returns what the socket holds: FIONREAD, bytes that were not read, or
 * TIOCOUTQ, bytes that the caller has not received; 0 if unknown. */
static size_t socket_bytes(const struct http1_conn *c, unsigned long what)
{
	uv_os_fd_t fd;
	int n = 0;

	if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) ||
	    ioctl(fd, what, &n) || n < 0)
		return 0;
	return (size_t)n;
}

/* Returns whether closing a connection after its last answer resets it, as its caller
 * has sent more, or leaves bytes that the caller's host has not received. */
static bool is_unfinished(const struct http1_conn *c)
{
	return unread_bytes(c) || socket_bytes(c, TIOCOUTQ);
}

/* Returns whether the end of a connection cuts an answer that was handed over
 * whole: it is queued, or was sent last and a reset may discard it. */
static bool is_answer_cut(const struct http1_conn *c, enum http1_end why)
{
	if (c->state == CONN_ANSWERING || why == HTTP1_END_REFUSED)
		return false;
	return http1_pending(c) || (why == HTTP1_END_LINGER && unread_bytes(c));
}

/* Reports that the server ends a connection. */
static void report_end(const struct http1_conn *c, enum http1_end why,
		       int status)
{
	static const char *const states[] = {
		[CONN_HEAD] = "head",		[CONN_BODY] = "body",
		[CONN_LINGERING] = "lingering", [CONN_ANSWERING] = "answering",
		[CONN_CLOSING] = "closing",	[CONN_CLOSED] = "closed",
	};
	const struct http1_server *s = c->server;
	const struct http1_ended ended = {
		.why = why,
		.state = c->state == CONN_HEAD && !c->input.len
				 ? "idle"
				 : states[c->state],
		.status = status,
		.idle_ms = uv_now(s->loop) - c->since_ms,
		.parsed = c->input.len + c->body.len,
		.unread = unread_bytes(c),
		.unsent = http1_pending(c),
		.unreceived = socket_bytes(c, TIOCOUTQ),
		.cut = is_answer_cut(c, why),
	};

	if (s->ops->on_end)
		s->ops->on_end(&ended, s->arg);
}

/* Writes as many bytes as the socket accepts at once and queues the rest. */
static void send_bytes(struct http1_conn *c, const void *data, size_t len)
{
	uv_stream_t *stream = (uv_stream_t *)&c->tcp;
	const char *rest = data;
	uv_buf_t buf;
	struct write *w;
	int sent = 0;

	if (c->state == CONN_CLOSED)
		return;
	c->asked = c->peer_closed;
	if (!http1_pending(c)) {
		buf = uv_buf_init((char *)rest, (unsigned int)len);
		sent = uv_try_write(stream, &buf, 1);
		if (sent < 0)
			sent = 0;
	}
	if ((size_t)sent == len)
		return;
	rest += sent;
	len -= (size_t)sent;
	w = xcalloc(1, sizeof(*w) + len);
	memcpy(w->data, rest, len);
	w->req.data = c;
	buf = uv_buf_init(w->data, (unsigned int)len);
	if (uv_write(&w->req, stream, &buf, 1, on_written))
		free(w); /* the read side, or on_reset(), reports the error */
}

/* Handles queued bytes that were sent or whose write failed. */
static void on_written(uv_write_t *req, int status)
{
	struct http1_conn *c = req->data;

	free((struct write *)req);
	if (c->state == CONN_CLOSED)
		return;
	if (status < 0)
		conn_close(c);
	else if (c->state == CONN_CLOSING && !http1_pending(c))
		half_close(c);
	else if (c->owner && c->server->ops->on_sent && !http1_pending(c))
		c->server->ops->on_sent(c->owner);
}

/* Frees a connection when the last of its handles is closed. */
static void on_conn_closed(uv_handle_t *h)
{
	struct http1_conn *c = h->data;

	handle_closed(c->server);
	if (--c->n_handles)
		return;
	bytes_release(&c->input);
	bytes_release(&c->head);
	bytes_release(&c->body);
	free(c);
}

/* Frees a closed listener. */
static void on_listener_closed(uv_handle_t *h)
{
	handle_closed(h->data);
	free(h);
}

/* Counts a closed handle and frees a freed server with its last one. */
static void handle_closed(struct http1_server *s)
{
	if (!--s->n_handles && s->freed)
		free(s);
}

/* Returns the reason phrase of a status, "Status" for an unlisted one. */
static const char *reason_phrase(int status)
{
	static const struct {
		int status;
		const char *text;
	} reasons[] = {
		{ 200, "OK" },
		{ 400, "Bad Request" },
		{ 401, "Unauthorized" },
		{ 404, "Not Found" },
		{ 408, "Request Timeout" },
		{ 413, "Content Too Large" },
		{ 421, "Misdirected Request" },
		{ 429, "Too Many Requests" },
		{ 431, "Request Header Fields Too Large" },
		{ 500, "Internal Server Error" },
		{ 502, "Bad Gateway" },
		{ 503, "Service Unavailable" },
		{ 504, "Gateway Timeout" },
	};
	size_t i;

	for (i = 0; i < sizeof(reasons) / sizeof(reasons[0]); i++)
		if (reasons[i].status == status)
			return reasons[i].text;
	return "Status";
}
