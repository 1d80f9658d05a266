/*
 * HTTP/1.1 client with persistent connections.  A connection carries one call
 * at a time.  Idle connections are read too, so that a connection that the
 * server closed, or on which unsolicited bytes arrive, is not reused.
 */
#include "lib/http1_client.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "lib/bytes.h"
#include "lib/settings.h"
#include "lib/xalloc.h"

#define READ_BYTES 65536
#define HEAD_MAX_BYTES 65536 /* of an answer's heads, including interim ones */
#define SKIP_MAX_BYTES (1u << 20) /* of skipped answers of one call */

/* Limits of the bytes that frame chunks, including trailers: a chunk of one
 * byte has five, and extensions are short. */
#define FRAMING_MAX_BYTES HEAD_MAX_BYTES
#define FRAMING_PER_CONTENT_BYTE 16

#define IDLE_MAX_MS 30000 /* longest idle time of a connection */
#define KEEPALIVE_MARGIN_MS 1000 /* subtracted from the server's timeout */
#define ADDRESS_SIZE 32
#define REFUSALS_MAX 16 /* on a connection; after the last it is closed */

enum conn_state {
	CONN_CONNECTING,
	CONN_AWAITING_HEAD, /* the request was sent, the head is incomplete */
	CONN_READING,
	CONN_IDLE,
	CONN_CLOSED,
};

/* A connection, in use by a call or idle. */
struct client_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct http1_client *client;
	TAILQ_ENTRY(client_conn) link;
	struct http1_call *call;
	char address[ADDRESS_SIZE];
	enum conn_state state;
	struct bytes input; /* of the incomplete head */
	struct http1_body body;
	bool success; /* the status of the answer is 2xx */
	bool unsent; /* a request couldn't be queued */
	uint64_t opened_ms; /* when it was established; 0: not yet */
	uint64_t opened_moment; /* in which it was reported; 0: not yet */
	/* when the last request that was answered on it was sent; 0: none was */
	uint64_t answered_moment;
	uint64_t process; /* that it ends at; 0: unknown */
	uint64_t idle_since_ms;
	uint64_t idle_limit_ms;
	bool keep_alive;
	bool skipping; /* the answer belongs to an earlier request */
	bool skipped; /* such answers have come; not reused */
	uint64_t refused[REFUSALS_MAX]; /* tags of calls that were refused */
	size_t n_refused;
	size_t head_bytes; /* of the call's heads read so far */
	size_t skipped_bytes; /* of answers to earlier requests */
	uint64_t content_bytes; /* of the body so far */
	uint64_t framing_bytes; /* of chunk framing so far */
};

struct http1_call {
	struct http1_client *client;
	TAILQ_ENTRY(http1_call) link; /* in failed_calls */
	struct client_conn *conn;
	/* the connection that has become idle as the answer was complete, while
	 * on_end is called; else NULL */
	struct client_conn *kept;
	uint64_t tag;
	const struct http1_call_ops *ops;
	void *arg;
	char *request;
	size_t request_len;
	uint64_t sent_moment; /* when its request was begun to be written */
	uint64_t connect_deadline_ms;
	uint64_t deadline_ms; /* 0: none */
	enum http1_outcome failure; /* while in failed_calls */
	bool head;
	bool reused;
	bool paused;
};

TAILQ_HEAD(client_conn_list, client_conn);
TAILQ_HEAD(call_list, http1_call);

struct http1_client {
	uv_loop_t *loop;
	struct client_conn_list conns; /* most recently used first */
	struct call_list failed_calls; /* reported at the next tick */
	struct http1_client_stats stats;
	/* number of the last moment: iterations of the loop, and sendings of
	 * requests in them */
	uint64_t moments;
	uint64_t iteration_moment; /* when the current iteration began */
	uv_prepare_t prepare;
	size_t n_handles; /* not yet closed by the loop */
	bool freed; /* free the client with its last handle */
};

struct write {
	uv_write_t req;
	char *data;
};

static char read_buffer[READ_BYTES];

static struct client_conn *find_idle(const struct http1_client *c,
				     const struct http1_call_options *o);
static struct client_conn *connect_to(struct http1_client *c,
				      const struct http1_call_options *o,
				      enum http1_outcome *failure);
static enum http1_outcome connect_failure(int error);
static void enable_keepalive(struct client_conn *k, uint32_t timeout_s);
static bool spans(const struct client_conn *k, const char *address,
		  uint64_t since_ms);
static bool was_refused(const struct client_conn *k, uint64_t tag);
static void send_request(struct client_conn *k);
static void on_connect(uv_connect_t *req, int status);
static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);
static void on_written(uv_write_t *req, int status);
static void on_closed(uv_handle_t *h);
static void on_prepare(uv_prepare_t *prepare);
static void on_prepare_closed(uv_handle_t *h);
static void release_handle(struct http1_client *c);
static bool was_reset(const struct client_conn *k);
static bool is_received(const struct client_conn *k);
static bool is_past_deadline(const struct client_conn *k, uint64_t now);
static void on_eof(struct client_conn *k, bool orderly);
static bool read_head(struct client_conn *k);
static void apply_decision(struct client_conn *k,
			   enum http1_head_decision decision);
static void read_body(struct client_conn *k, char *data, size_t len);
static bool count_body_bytes(struct client_conn *k, size_t len, size_t decoded,
			     size_t rest);
static void finish_answer(struct client_conn *k, size_t rest);
static uint64_t idle_limit(const struct http1_head *head);
static void conn_close(struct client_conn *k);
static void call_end(struct http1_call *call, enum http1_outcome outcome);
static void call_free(struct http1_call *call);

/* Creates a client on a loop. */
struct http1_client *http1_client_new(uv_loop_t *loop)
{
	struct http1_client *c = xcalloc(1, sizeof(*c));

	c->loop = loop;
	TAILQ_INIT(&c->conns);
	TAILQ_INIT(&c->failed_calls);
	c->iteration_moment = ++c->moments;
	uv_prepare_init(loop, &c->prepare);
	c->prepare.data = c;
	uv_prepare_start(&c->prepare, on_prepare);
	uv_unref((uv_handle_t *)&c->prepare);
	c->n_handles++;
	return c;
}

/* Begins an iteration of the loop.  What is reported in it had happened before any of
 * its callbacks runs. */
static void on_prepare(uv_prepare_t *prepare)
{
	struct http1_client *c = prepare->data;

	c->iteration_moment = ++c->moments;
}

/* Cancels calls in progress and closes all connections.  The loop frees the
 * client with its last connection.  The analyzer does not see that a freed call
 * has been removed from its list. */
void http1_client_free(struct http1_client *c)
{
	struct client_conn *k;
	struct http1_call *call;

	while ((call = TAILQ_FIRST(&c->failed_calls)))
		http1_call_cancel(call); /* NOLINT */
	while ((k = TAILQ_FIRST(&c->conns))) {
		if (k->call)
			http1_call_cancel(k->call); /* NOLINT */
		else
			conn_close(k);
	}
	c->freed = true;
	uv_close((uv_handle_t *)&c->prepare, on_prepare_closed);
}

/* Handles the end of the client's own handle. */
static void on_prepare_closed(uv_handle_t *h)
{
	release_handle(h->data);
}

/* Frees a freed client with its last handle. */
static void release_handle(struct http1_client *c)
{
	if (!--c->n_handles && c->freed)
		free(c);
}

/* Extends the deadlines of all calls by stall_ms, during which this process did
 * not run. */
void http1_client_discount_stall(struct http1_client *c, uint64_t stall_ms)
{
	struct client_conn *k;

	TAILQ_FOREACH(k, &c->conns, link)
	{
		if (k->state == CONN_CONNECTING && k->call)
			k->call->connect_deadline_ms += stall_ms;
		if (k->call && k->call->deadline_ms)
			k->call->deadline_ms += stall_ms;
	}
}

/* Reports calls that failed at once, ends calls past their deadline and closes
 * connections that were idle for too long. */
void http1_client_tick(struct http1_client *c)
{
	uint64_t now = uv_now(c->loop);
	struct client_conn *k = TAILQ_FIRST(&c->conns);
	struct http1_call *call;

	while ((call = TAILQ_FIRST(&c->failed_calls))) {
		TAILQ_REMOVE(&c->failed_calls, call, link);
		call_end(call, call->failure);
	}
	while (k) {
		struct client_conn *next = TAILQ_NEXT(k, link);

		if (is_past_deadline(k, now)) {
			enum http1_outcome outcome =
				k->state == CONN_CONNECTING
					? HTTP1_CONNECT_TIMEOUT
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

/* Reports whether a connection's call is past its deadline, for connecting or
 * for the whole answer. */
static bool is_past_deadline(const struct client_conn *k, uint64_t now)
{
	const struct http1_call *call = k->call;

	if (k->state == CONN_CONNECTING)
		return now >= call->connect_deadline_ms;
	return call && call->deadline_ms && now >= call->deadline_ms;
}

/* Returns how many connections were opened and reused. */
struct http1_client_stats http1_client_stats(const struct http1_client *c)
{
	return c->stats;
}

/* Starts a call on a recently used idle connection, or on a new one. */
struct http1_call *http1_call_start(struct http1_client *c,
				    const struct http1_call_options *options,
				    char *request, size_t len,
				    const struct http1_call_ops *ops, void *arg)
{
	struct http1_call *call = xcalloc(1, sizeof(*call));
	struct client_conn *k;

	call->client = c;
	call->ops = ops;
	call->arg = arg;
	call->request = request;
	call->request_len = len;
	call->tag = options->tag;
	call->head = options->head;
	call->connect_deadline_ms =
		uv_now(c->loop) + options->connect_timeout_ms;
	if (options->timeout_ms)
		call->deadline_ms = uv_now(c->loop) + options->timeout_ms;
	k = find_idle(c, options);
	if (k) {
		call->reused = true;
		c->stats.reuses++;
		call->conn = k;
		k->call = call;
		send_request(k);
		return call;
	}
	k = connect_to(c, options, &call->failure);
	if (k) {
		call->conn = k;
		k->call = call;
	} else {
		TAILQ_INSERT_TAIL(&c->failed_calls, call, link);
	}
	return call;
}

/* Cancels a call by closing its connection; no callback follows. */
void http1_call_cancel(struct http1_call *call)
{
	if (call->conn) {
		call->conn->call = NULL;
		conn_close(call->conn);
	} else {
		TAILQ_REMOVE(&call->client->failed_calls, call, link);
	}
	call_free(call);
}

/* Has later callbacks of a call go elsewhere. */
void http1_call_reassign(struct http1_call *call,
			 const struct http1_call_ops *ops, void *arg)
{
	call->ops = ops;
	call->arg = arg;
}

/* Pauses or resumes reading the answer. */
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

/* Returns whether the answer is not read now, so that its end is not seen. */
bool http1_call_paused(const struct http1_call *call)
{
	return call->paused;
}

/* Returns when the connection of a call was established, 0 if it is not. */
uint64_t http1_call_opened_ms(const struct http1_call *call)
{
	return call->conn ? call->conn->opened_ms : 0;
}

/* Returns the moments of a call. */
struct http1_moments http1_call_moments(const struct http1_call *call)
{
	return (struct http1_moments){
		.opened = call->conn ? call->conn->opened_moment : 0,
		.sent = call->sent_moment,
	};
}

/* Returns the process that the connection of a call is known to end at, as
 * http1_call_name_process() named it; 0: unknown. */
uint64_t http1_call_process(const struct http1_call *call)
{
	return call->conn ? call->conn->process : 0;
}

/* Returns whether the server's host has received the whole request of a call whose
 * connection is open. */
bool http1_call_received(const struct http1_call *call)
{
	return http1_call_connected(call) && is_received(call->conn);
}

/* Returns whether a call to an address would find an idle connection, however long
 * that has been idle. */
bool http1_client_has_idle(const struct http1_client *c, const char *address)
{
	const struct http1_call_options o = {
		.address = address,
		.max_idle_ms = UINT32_MAX,
	};

	return find_idle(c, &o) != NULL;
}

/* Returns whether a connection to an address that was established at since_ms or
 * before is still open here.  It ends at one process, which may have ended if the
 * connection has gone silent or a partition holds its end back.  Those that are not
 * read don't count: their end is not seen. */
bool http1_client_spans(const struct http1_client *c, const char *address,
			uint64_t since_ms)
{
	const struct client_conn *k;

	TAILQ_FOREACH(k, &c->conns, link)
	if (spans(k, address, since_ms))
		return true;
	return false;
}

/* Numbers the present moment, later than all before. */
uint64_t http1_client_moment(struct http1_client *c)
{
	return ++c->moments;
}

/* Returns whether a connection to an address that was established before a moment has
 * carried the answer to a request sent later: the process at its end has outlived the
 * moment. */
bool http1_client_outlasts(const struct http1_client *c, const char *address,
			   uint64_t moment)
{
	const struct client_conn *k;

	TAILQ_FOREACH(k, &c->conns, link)
	if (k->opened_moment && k->opened_moment < moment &&
	    k->answered_moment > moment && !strcmp(k->address, address))
		return true;
	return false;
}

/* Names the process that the connection of a call ends at, for
 * http1_client_spans_process().  In on_end this holds for a connection that carries
 * later calls. */
void http1_call_name_process(struct http1_call *call, uint64_t process)
{
	struct client_conn *k = call->conn ? call->conn : call->kept;

	if (k)
		k->process = process;
}

/* As http1_client_spans(), of connections that are known to end at a process. */
bool http1_client_spans_process(const struct http1_client *c,
				const char *address, uint64_t since_ms,
				uint64_t process)
{
	const struct client_conn *k;

	TAILQ_FOREACH(k, &c->conns, link)
	if (process && k->process == process && spans(k, address, since_ms))
		return true;
	return false;
}

/* Returns whether a connection to an address that was established at since_ms or
 * before is open and read. */
static bool spans(const struct client_conn *k, const char *address,
		  uint64_t since_ms)
{
	return k->opened_ms && k->opened_ms <= since_ms &&
	       !(k->call && k->call->paused) && !strcmp(k->address, address);
}

/* Reports whether the call has an established connection. */
bool http1_call_connected(const struct http1_call *call)
{
	return call->conn && call->conn->state != CONN_CONNECTING;
}

/* Reports whether the answer's body ends only with the connection; valid once
 * the head has been read. */
bool http1_call_unframed(const struct http1_call *call)
{
	return call->conn && call->conn->body.framing == HTTP1_UNTIL_CLOSE;
}

/* Reports whether the call was sent on a reused connection. */
bool http1_call_reused(const struct http1_call *call)
{
	return call->reused;
}

/* Returns whether an outcome says that no connection to the server came about, so
 * that it received nothing. */
bool http1_not_connected(enum http1_outcome outcome)
{
	return outcome == HTTP1_NOT_SENT || outcome == HTTP1_UNREACHABLE ||
	       outcome == HTTP1_CONNECT_TIMEOUT;
}

/* Returns the name of an outcome for logs. */
const char *http1_outcome_name(enum http1_outcome outcome)
{
	static const char *const names[] = {
		[HTTP1_COMPLETE] = "complete",
		[HTTP1_NOT_SENT] = "not sent",
		[HTTP1_UNREACHABLE] = "unreachable",
		[HTTP1_NO_SOCKET] = "no socket available",
		[HTTP1_CONNECT_TIMEOUT] = "no connection in time",
		[HTTP1_BROKEN] = "connection broken",
		[HTTP1_MALFORMED] = "malformed answer",
	};

	return names[outcome];
}

/* Returns the most recently used idle connection to the address, or NULL. */
static struct client_conn *find_idle(const struct http1_client *c,
				     const struct http1_call_options *o)
{
	uint64_t now = uv_now(c->loop);
	struct client_conn *k;

	if (!o->max_idle_ms)
		return NULL;
	TAILQ_FOREACH(k, &c->conns, link)
	{
		uint64_t idle = now - k->idle_since_ms;

		if (k->state == CONN_IDLE && idle < o->max_idle_ms &&
		    idle < k->idle_limit_ms &&
		    !strcmp(k->address, o->address) && !was_refused(k, o->tag))
			return k;
	}
	return NULL;
}

/* Returns whether a call with a tag was refused on the connection. */
static bool was_refused(const struct client_conn *k, uint64_t tag)
{
	size_t i;

	for (i = 0; tag && i < k->n_refused; i++)
		if (k->refused[i] == tag)
			return true;
	return false;
}

/* Starts connecting.  Returns NULL and sets *failure if the address is malformed
 * or no socket is available. */
static struct client_conn *connect_to(struct http1_client *c,
				      const struct http1_call_options *o,
				      enum http1_outcome *failure)
{
	struct sockaddr_in sin;
	struct client_conn *k;
	char host[64];
	uint16_t port;
	int error;

	*failure = HTTP1_NOT_SENT;
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
	error = uv_tcp_connect(&k->connect, &k->tcp,
			       (const struct sockaddr *)&sin, on_connect);
	if (error) {
		*failure = connect_failure(error);
		conn_close(k);
		return NULL;
	}
	uv_tcp_nodelay(&k->tcp, 1);
	if (o->keepalive_s)
		enable_keepalive(k, o->keepalive_s);
	return k;
}

/* Returns the outcome that an error of connecting stands for: a refusal by the
 * server's host, a want of descriptors, ports or memory here, which shows nothing
 * of the server, or else one of the way to the host, which doesn't show that the
 * server has ended. */
static enum http1_outcome connect_failure(int error)
{
	switch (error) {
	case UV_EMFILE:
	case UV_ENFILE:
	case UV_EADDRNOTAVAIL:
	case UV_ENOBUFS:
	case UV_ENOMEM:
		return HTTP1_NO_SOCKET;
	case UV_ECONNREFUSED:
	case UV_ECONNRESET:
		return HTTP1_NOT_SENT;
	default:
		return HTTP1_UNREACHABLE;
	}
}

/* Enables TCP keepalive to detect an unreachable server: probes every second
 * after one idle second; the connection fails after timeout_s unanswered ones,
 * or if sent data stays unacknowledged for timeout_s seconds. */
static void enable_keepalive(struct client_conn *k, uint32_t timeout_s)
{
	int interval_s = 1;
	int count = (int)timeout_s;
	unsigned int user_timeout_ms = timeout_s * 1000;
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

/* Sends the request on an established connection, or ends the call if
 * connecting failed. */
static void on_connect(uv_connect_t *req, int status)
{
	struct client_conn *k = req->data;
	struct http1_call *call = k->call;

	if (k->state != CONN_CONNECTING)
		return;
	if (status < 0) {
		conn_close(k);
		if (call)
			call_end(call, connect_failure(status));
		return;
	}
	if (!call->request_len) { /* the call only tests the connection */
		conn_close(k);
		call_end(call, HTTP1_COMPLETE);
		return;
	}
	k->opened_ms = uv_now(k->client->loop);
	k->opened_moment = k->client->iteration_moment;
	uv_read_start((uv_stream_t *)&k->tcp, on_alloc, on_read);
	send_request(k);
}

/* Sends the call's request; what the socket does not take at once is queued. */
static void send_request(struct client_conn *k)
{
	struct http1_call *call = k->call;
	uv_stream_t *stream = (uv_stream_t *)&k->tcp;
	uv_buf_t buf = uv_buf_init(call->request, (unsigned)call->request_len);
	struct write *w;
	int sent;

	k->state = CONN_AWAITING_HEAD;
	k->skipping = false;
	k->head_bytes = 0;
	k->skipped_bytes = 0;
	call->sent_moment = ++k->client->moments;
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
		k->unsent = true; /* the read side reports the error */
		free(w->data);
		free(w);
	}
}

/* Frees a queued request that was sent or whose write failed. */
static void on_written(uv_write_t *req, int status)
{
	struct write *w = (struct write *)req;
	struct client_conn *k = req->data;

	free(w->data);
	free(w);
	if (status < 0 && k->state != CONN_CLOSED)
		on_eof(k, false);
}

/* Provides the read buffer shared by all connections. */
static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	(void)h;
	(void)suggested;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/* Handles bytes from the server, the end of the connection or an error. */
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct client_conn *k = stream->data;

	if (n == 0 || k->state == CONN_CLOSED)
		return;
	if (n < 0) {
		on_eof(k, n == UV_EOF && !was_reset(k));
		return;
	}
	if (k->state == CONN_IDLE) { /* unsolicited bytes */
		conn_close(k);
		return;
	}
	if (k->state == CONN_READING) {
		read_body(k, buf->base, (size_t)n);
		return;
	}
	bytes_add(&k->input, buf->base, (size_t)n);
	while (k->state == CONN_AWAITING_HEAD && k->input.len)
		if (!read_head(k))
			return;
}

/* Reports whether a connection that seems to have been closed was reset.  libuv
 * reports end of file when a reset arrives together with the last bytes; the
 * socket's pending error still shows the reset. */
static bool was_reset(const struct client_conn *k)
{
	int error = 0;
	socklen_t len = sizeof(error);
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)&k->tcp, &fd) ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len))
		return true;
	return error != 0;
}

/* Returns whether the server's host has received all bytes of the requests on a
 * connection that it has ended.  Its end acknowledges the bytes that came before
 * it, so that none of these is counted. */
static bool is_received(const struct client_conn *k)
{
	uv_os_fd_t fd;
	int n;

	return !k->unsent &&
	       !uv_stream_get_write_queue_size((const uv_stream_t *)&k->tcp) &&
	       !uv_fileno((const uv_handle_t *)&k->tcp, &fd) &&
	       !ioctl(fd, SIOCOUTQ, &n) && !n;
}

/* Handles the end of a connection, closed in order or broken.  It ends the body of
 * an answer without a length.  A success is none before the request was received:
 * the server has given up, and may break off its answer as well. */
static void on_eof(struct client_conn *k, bool orderly)
{
	struct http1_call *call = k->call;
	bool whole = orderly && k->state == CONN_READING && !k->skipping &&
		     k->body.framing == HTTP1_UNTIL_CLOSE &&
		     (!k->success || is_received(k));

	conn_close(k);
	if (call)
		call_end(call, whole ? HTTP1_COMPLETE : HTTP1_BROKEN);
}

/* Parses a head.  Returns true if another head may follow in the input, false
 * if more bytes are needed or the connection or call has ended. */
static bool read_head(struct client_conn *k)
{
	struct http1_call *call = k->call;
	enum http1_head_decision decision;
	enum http1_result result;
	struct http1_head head;
	struct bytes rest = { 0 };
	size_t used = 0;

	result =
		http1_parse_response(k->input.data, k->input.len, &head, &used);
	if (result == HTTP1_MORE && k->input.len <= HEAD_MAX_BYTES)
		return false;
	k->head_bytes += used;
	if (result != HTTP1_DONE || k->head_bytes > HEAD_MAX_BYTES) {
		conn_close(k);
		call_end(call, HTTP1_MALFORMED);
		return false;
	}
	if (http1_is_interim(head.status)) { /* the answer follows */
		bytes_consume(&k->input, used);
		return true;
	}
	if (!http1_response_framing(&head, call->head, &k->body)) {
		conn_close(k);
		call_end(call, HTTP1_MALFORMED);
		return false;
	}
	k->keep_alive = http1_keeps_alive(&head) &&
			k->body.framing != HTTP1_UNTIL_CLOSE;
	k->idle_limit_ms = idle_limit(&head);
	k->success = head.status >= 200 && head.status < 300;
	k->state = CONN_READING;
	k->content_bytes = 0;
	k->framing_bytes = 0;
	decision = call->ops->on_head ? call->ops->on_head(call->arg, &head)
				      : HTTP1_ACCEPT;
	if (k->state != CONN_READING) /* cancelled */
		return false;
	apply_decision(k, decision);
	rest = k->input;
	memset(&k->input, 0, sizeof(k->input));
	bytes_consume(&rest, used);
	read_body(k, rest.data, rest.len);
	bytes_release(&rest);
	return k->state == CONN_AWAITING_HEAD;
}

/* Applies the decision on an answer's head to its connection. */
static void apply_decision(struct client_conn *k,
			   enum http1_head_decision decision)
{
	k->skipping = decision == HTTP1_SKIP;
	k->skipped = k->skipped || k->skipping;
	if (!k->skipping)
		k->answered_moment = k->call->sent_moment;
	if (decision == HTTP1_ACCEPT_REFUSAL)
		k->refused[k->n_refused++] = k->call->tag;
}

/* Decodes the next bytes of the answer's body and passes them to on_body. */
static void read_body(struct client_conn *k, char *data, size_t len)
{
	struct http1_call *call = k->call;
	enum http1_result result;
	size_t decoded;
	size_t rest;

	result = http1_body_read(&k->body, data, len, &decoded, &rest);
	if (result == HTTP1_BAD || !count_body_bytes(k, len, decoded, rest)) {
		conn_close(k);
		call_end(call, HTTP1_MALFORMED);
		return;
	}
	if (decoded && !k->skipping && call->ops->on_body)
		call->ops->on_body(call->arg, data, decoded);
	if (k->state != CONN_READING || result == HTTP1_MORE)
		return;
	if (k->skipping) {
		k->state = CONN_AWAITING_HEAD;
		k->skipping = false;
		bytes_add(&k->input, data + decoded, rest);
		return;
	}
	finish_answer(k, rest);
}

/* Counts the bytes read of a body.  Returns false if skipped answers or chunk
 * framing exceed their limits, which would otherwise let a server send without
 * end. */
static bool count_body_bytes(struct client_conn *k, size_t len, size_t decoded,
			     size_t rest)
{
	if (k->skipping)
		k->skipped_bytes += len - rest;
	k->content_bytes += decoded;
	k->framing_bytes += len - rest - decoded;
	return k->skipped_bytes <= SKIP_MAX_BYTES &&
	       k->framing_bytes <=
		       FRAMING_MAX_BYTES +
			       k->content_bytes * FRAMING_PER_CONTENT_BYTE;
}

/* Ends a call whose answer is complete.  The connection becomes idle unless
 * rest unsolicited bytes follow the answer or it cannot be reused: answers that
 * belonged to no call came on it, or too many refusals to tell them apart. */
static void finish_answer(struct client_conn *k, size_t rest)
{
	struct http1_call *call = k->call;

	k->call = NULL;
	if (k->keep_alive && !rest && !call->paused && !k->skipped &&
	    k->n_refused < REFUSALS_MAX) {
		k->state = CONN_IDLE;
		k->idle_since_ms = uv_now(k->client->loop);
		TAILQ_REMOVE(&k->client->conns, k, link);
		TAILQ_INSERT_HEAD(&k->client->conns, k, link);
		call->kept = k;
	} else {
		conn_close(k);
	}
	call->conn = NULL;
	call_end(call, HTTP1_COMPLETE);
}

/* Returns how long the connection may be idle and still be reused, in ms. */
static uint64_t idle_limit(const struct http1_head *head)
{
	const struct http1_header *h = http1_find_header(head, "keep-alive");
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
	return ms > KEEPALIVE_MARGIN_MS ? ms - KEEPALIVE_MARGIN_MS : 0;
}

/* Closes a connection and detaches its call, which the caller ends. */
static void conn_close(struct client_conn *k)
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

/* Frees a closed connection, and a freed client with its last one. */
static void on_closed(uv_handle_t *h)
{
	struct client_conn *k = h->data;

	bytes_release(&k->input);
	release_handle(k->client);
	free(k);
}

/* Reports the outcome of a call and frees it. */
static void call_end(struct http1_call *call, enum http1_outcome outcome)
{
	if (call->ops->on_end)
		call->ops->on_end(call->arg, outcome);
	call_free(call);
}

/* Frees a call that has no connection. */
static void call_free(struct http1_call *call)
{
	free(call->request);
	free(call);
}
