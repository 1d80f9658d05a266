/*
 * HTTP client on h2o's HTTP/1 client.  Each exchange opens a connection of its
 * own, so that a failed connect proves that the server received nothing.  A
 * periodic sweep over the open exchanges enforces their timeouts.
 */
#include "lib/httpc.h"

#include <assert.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <h2o.h>
#include <h2o/http1client.h>

#include "lib/http1.h"
#include "lib/settings.h"
#include "lib/xalloc.h"

#define HTTPC_CONNECT_TIMEOUT_MS 1000 /* default */
#define HTTPC_SWEEP_MS 20
#define HTTPC_STALL_MS 100 /* a longer gap between sweeps is a stall */
#define HTTPC_IDLE_MS (24 * 3600 * 1000) /* h2o's own timeout, unused */
#define HTTPC_HEADERS_MAX 64

enum httpc_phase {
	PHASE_CONNECTING,
	PHASE_SENT,
	PHASE_BODY,
};

struct httpc {
	uv_loop_t *loop;
	uv_timer_t sweep;
	uint64_t swept_ms;
	h2o_timeout_t io_timeout;
	h2o_http1client_ctx_t ctx;
	h2o_linklist_t open; /* of struct httpc_req */
};

struct httpc_req {
	struct httpc *client;
	h2o_linklist_t link; /* in the client's open exchanges */
	h2o_http1client_t *h2o;
	const struct httpc_ops *ops;
	void *arg;
	char *request; /* head and body as sent */
	h2o_iovec_t request_vec;
	uint64_t last_activity_ms; /* loop time of the last progress */
	uint32_t connect_timeout_ms;
	uint32_t timeout_ms;
	enum httpc_phase phase;
	bool head; /* the method is HEAD */
	bool chunked; /* the answer is chunked */
	bool until_close; /* its body ends with the connection */
	bool success; /* its status is 2xx */
	bool paused;
	bool in_callback; /* of h2o, whose return value closes it */
	bool done;
	uv_timer_t *failure_timer; /* reports a malformed address */
	h2o_socket_cb read_cb; /* h2o's callback, while paused */
};

static char *format_request(const struct httpc_request *r, size_t *len);
static void start(struct httpc_req *r, const struct httpc_request *request);
static void finish(struct httpc_req *r, enum httpc_outcome outcome);
static void req_free(struct httpc_req *r);
static void on_sweep(uv_timer_t *timer);
static void discount_stall(struct httpc *c, uint64_t stall_ms);
static struct httpc_req *req_from_link(const h2o_linklist_t *l);
static struct httpc_req *find_timed_out(const struct httpc *c, uint64_t now);
static struct httpc_req *first_open(const struct httpc *c);
static h2o_http1client_head_cb on_connect(h2o_http1client_t *client,
					  const char *errstr,
					  h2o_iovec_t **reqbufs,
					  size_t *reqbufcnt, int *is_head);
static h2o_http1client_body_cb on_head(h2o_http1client_t *client,
				       const char *errstr, int minor_version,
				       int status, h2o_iovec_t msg,
				       h2o_header_t *headers, size_t n,
				       int rlen);
static int on_body(h2o_http1client_t *client, const char *errstr);
static bool has_header(const h2o_header_t *headers, size_t n,
		       const h2o_token_t *token);
static bool closed_between_chunks(const struct httpc_req *r);
static bool ended_early(const struct httpc_req *r);
static void deliver_head(struct httpc_req *r, int status,
			 const h2o_header_t *headers, size_t n);
static void on_failure_timer(uv_timer_t *timer);
static void on_timer_closed(uv_handle_t *h);
static void on_client_closed(uv_handle_t *h);

/* Creates a client on a loop. */
struct httpc *httpc_new(uv_loop_t *loop)
{
	struct httpc *c = xcalloc(1, sizeof(*c));

	c->loop = loop;
	h2o_linklist_init_anchor(&c->open);
	h2o_timeout_init(loop, &c->io_timeout, HTTPC_IDLE_MS);
	c->ctx.loop = loop;
	c->ctx.io_timeout = &c->io_timeout;
	uv_timer_init(loop, &c->sweep);
	c->sweep.data = c;
	c->swept_ms = uv_now(loop);
	uv_timer_start(&c->sweep, on_sweep, HTTPC_SWEEP_MS, HTTPC_SWEEP_MS);
	uv_unref((uv_handle_t *)&c->sweep);
	return c;
}

/* Cancels every open exchange, calling on_dropped; the loop frees the
 * client. */
void httpc_free(struct httpc *c)
{
	struct httpc_req *r;

	while ((r = first_open(c))) {
		const struct httpc_ops *ops = r->ops;
		void *arg = r->arg;

		httpc_cancel(r);
		if (ops->on_dropped)
			ops->on_dropped(arg);
	}
	h2o_timeout_dispose(c->loop, &c->io_timeout);
	uv_close((uv_handle_t *)&c->sweep, on_client_closed);
}

/* Starts an exchange.  on_end is always called from the loop, never from within
 * this call, also if the address is malformed. */
struct httpc_req *httpc_start(struct httpc *c, const struct httpc_request *q,
			      const struct httpc_ops *ops, void *arg)
{
	struct httpc_req *r = xcalloc(1, sizeof(*r));

	r->client = c;
	r->ops = ops;
	r->arg = arg;
	r->last_activity_ms = uv_now(c->loop);
	r->connect_timeout_ms = q->connect_timeout_ms
					? q->connect_timeout_ms
					: HTTPC_CONNECT_TIMEOUT_MS;
	r->timeout_ms = q->timeout_ms;
	r->head = !strcmp(q->method, "HEAD");
	r->request = format_request(q, &r->request_vec.len);
	r->request_vec.base = r->request;
	h2o_linklist_insert(&c->open, &r->link);
	start(r, q);
	return r;
}

/* Cancels an exchange; no callback follows. */
void httpc_cancel(struct httpc_req *r)
{
	if (r->done)
		return;
	r->done = true;
	if (r->in_callback)
		return; /* h2o closes it when the callback returns */
	if (r->h2o)
		h2o_http1client_cancel(r->h2o);
	req_free(r);
}

/* Pauses or resumes reading the answer's body; the time paused does not count
 * toward the timeout. */
void httpc_pause(struct httpc_req *r, bool paused)
{
	h2o_socket_t *sock = r->h2o ? r->h2o->sock : NULL;

	if (r->done || r->phase != PHASE_BODY || r->paused == paused || !sock)
		return;
	r->paused = paused;
	r->last_activity_ms = uv_now(r->client->loop);
	if (paused) {
		r->read_cb = sock->_cb.read;
		h2o_socket_read_stop(sock);
	} else if (r->read_cb) {
		h2o_socket_read_start(sock, r->read_cb);
	}
}

/* Returns the name of an outcome for logs. */
const char *httpc_outcome_name(enum httpc_outcome outcome)
{
	static const char *const names[] = {
		[HTTPC_OK] = "ok",
		[HTTPC_CONNECT_FAILED] = "connect failed",
		[HTTPC_BROKEN] = "connection broken",
		[HTTPC_TIMEOUT] = "timeout",
		[HTTPC_DROPPED] = "dropped",
	};

	return names[outcome];
}

/* Starts connecting; if the address is malformed, starts a timer that reports
 * the failure. */
static void start(struct httpc_req *r, const struct httpc_request *q)
{
	char host[64];
	uint16_t port;

	if (address_parse(q->address, host, sizeof(host), &port)) {
		h2o_http1client_connect(&r->h2o, r, &r->client->ctx,
					h2o_iovec_init(host, strlen(host)),
					port, 0, on_connect);
		return;
	}
	r->failure_timer = xcalloc(1, sizeof(*r->failure_timer));
	uv_timer_init(r->client->loop, r->failure_timer);
	r->failure_timer->data = r;
	uv_timer_start(r->failure_timer, on_failure_timer, 0, 0);
}

/* Calls on_end unless the exchange was cancelled, and frees it. */
static void finish(struct httpc_req *r, enum httpc_outcome outcome)
{
	if (!r->done) {
		r->done = true;
		r->in_callback = true;
		if (r->ops->on_end)
			r->ops->on_end(r->arg, outcome);
	}
	req_free(r);
}

/* Unlinks and frees an exchange that h2o no longer uses. */
static void req_free(struct httpc_req *r)
{
	h2o_linklist_unlink(&r->link);
	if (r->failure_timer)
		uv_close((uv_handle_t *)r->failure_timer, on_timer_closed);
	free(r->request);
	free(r);
}

/* Returns the request's head and body, which the caller frees, and their
 * length. */
static char *format_request(const struct httpc_request *q, size_t *len)
{
	char *text = NULL;
	size_t i;
	FILE *f = open_memstream(&text, len);

	if (!f)
		abort();
	fprintf(f, "%s %s HTTP/1.1\r\nhost: %s\r\nconnection: close\r\n",
		q->method, q->path, q->address);
	for (i = 0; i < q->n_headers; i++)
		fprintf(f, "%s: %s\r\n", q->headers[i].name,
			q->headers[i].value);
	if (q->body ||
	    (strcmp(q->method, "GET") != 0 && strcmp(q->method, "HEAD") != 0))
		fprintf(f, "content-length: %zu\r\n", q->body_len);
	fprintf(f, "\r\n");
	if (q->body_len)
		fwrite(q->body, 1, q->body_len, f);
	fclose(f);
	return text;
}

/* Ends the exchanges that timed out.  on_end may cancel other exchanges, so the
 * search starts again after each. */
static void on_sweep(uv_timer_t *timer)
{
	struct httpc *c = timer->data;
	uint64_t now = uv_now(c->loop);
	struct httpc_req *r;

	if (now - c->swept_ms > HTTPC_STALL_MS)
		discount_stall(c, now - c->swept_ms);
	c->swept_ms = now;
	while ((r = find_timed_out(c, uv_now(c->loop)))) {
		if (r->h2o)
			h2o_http1client_cancel(r->h2o);
		r->h2o = NULL;
		finish(r, r->phase == PHASE_CONNECTING ? HTTPC_CONNECT_FAILED
						       : HTTPC_TIMEOUT);
	}
}

/* Excludes stall_ms, during which the loop was blocked, from the idle time of
 * all exchanges: what arrived meanwhile is read only after the timers have
 * run. */
static void discount_stall(struct httpc *c, uint64_t stall_ms)
{
	h2o_linklist_t *l;

	for (l = c->open.next; l != &c->open; l = l->next) {
		struct httpc_req *r = req_from_link(l);

		r->last_activity_ms += stall_ms;
		if (r->last_activity_ms > uv_now(c->loop))
			r->last_activity_ms = uv_now(c->loop);
	}
}

/* Returns the exchange that contains a list link. */
static struct httpc_req *req_from_link(const h2o_linklist_t *l)
{
	return H2O_STRUCT_FROM_MEMBER(struct httpc_req, link, l);
}

/*
 * Returns an exchange that made no progress for longer than its timeout, or
 * NULL.  The analyzer does not see that a freed exchange has been unlinked.
 */
static struct httpc_req *find_timed_out(const struct httpc *c, uint64_t now)
{
	const h2o_linklist_t *l = c->open.next;

	/* NOLINTNEXTLINE */
	for (; l != &c->open; l = l->next) {
		struct httpc_req *r = req_from_link(l); /* NOLINT */
		uint64_t limit = r->phase == PHASE_CONNECTING
					 ? r->connect_timeout_ms
					 : r->timeout_ms;

		if (!r->done && !r->paused && limit &&
		    now - r->last_activity_ms >= limit)
			return r;
	}
	return NULL;
}

/* Returns an open exchange, or NULL. */
static struct httpc_req *first_open(const struct httpc *c)
{
	const h2o_linklist_t *l = c->open.next;

	/* NOLINTNEXTLINE */
	return l == &c->open ? NULL : req_from_link(l);
}

/* Called by h2o when the connection is established or failed. */
static h2o_http1client_head_cb on_connect(h2o_http1client_t *client,
					  const char *errstr,
					  h2o_iovec_t **reqbufs,
					  size_t *reqbufcnt, int *is_head)
{
	struct httpc_req *r = client->data;
	bool go_on = true;

	if (errstr) {
		r->h2o = NULL;
		finish(r, HTTPC_CONNECT_FAILED);
		return NULL;
	}
	r->in_callback = true;
	if (r->ops->on_connected)
		go_on = r->ops->on_connected(r->arg);
	r->in_callback = false;
	if (r->done || !go_on) {
		r->h2o = NULL;
		finish(r, HTTPC_CONNECT_FAILED);
		return NULL;
	}
	r->phase = PHASE_SENT;
	r->last_activity_ms = uv_now(r->client->loop);
	*reqbufs = &r->request_vec;
	*reqbufcnt = 1;
	*is_head = r->head;
	return on_head;
}

/* Called by h2o with the answer's head, or with an error.  h2o passes on any
 * status of three digits but those of interim answers. */
static h2o_http1client_body_cb on_head(h2o_http1client_t *client,
				       const char *errstr, int minor_version,
				       int status, h2o_iovec_t msg,
				       h2o_header_t *headers, size_t n,
				       int rlen)
{
	struct httpc_req *r = client->data;

	(void)minor_version;
	(void)msg;
	(void)rlen;
	if ((errstr && errstr != h2o_http1client_error_is_eos) ||
	    !http1_is_final(status)) {
		r->h2o = NULL;
		finish(r, HTTPC_BROKEN);
		return NULL;
	}
	r->phase = PHASE_BODY;
	r->last_activity_ms = uv_now(r->client->loop);
	r->chunked = has_header(headers, n, H2O_TOKEN_TRANSFER_ENCODING);
	r->until_close = !r->chunked &&
			 !has_header(headers, n, H2O_TOKEN_CONTENT_LENGTH);
	r->success = status >= 200 && status < 300;
	r->in_callback = true;
	deliver_head(r, status, headers, n);
	r->in_callback = false;
	if (r->done || errstr) {
		r->h2o = NULL;
		finish(r, HTTPC_OK);
		return NULL;
	}
	return on_body;
}

/*
 * Called by h2o with a part of the body, or at its end.  On an error the buffer
 * may hold bytes that are not part of the body (a malformed chunk), so they are
 * discarded and the exchange ends as HTTPC_BROKEN.
 */
static int on_body(h2o_http1client_t *client, const char *errstr)
{
	struct httpc_req *r = client->data;
	h2o_buffer_t **input = &client->sock->input;
	bool broken = errstr && (errstr != h2o_http1client_error_is_eos ||
				 closed_between_chunks(r) || ended_early(r));

	r->last_activity_ms = uv_now(r->client->loop);
	r->in_callback = true;
	if (!broken && !r->done && (*input)->size && r->ops->on_body)
		r->ops->on_body(r->arg, (*input)->bytes, (*input)->size);
	h2o_buffer_consume(input, (*input)->size);
	r->in_callback = false;
	if (!r->done && !errstr)
		return 0;
	r->h2o = NULL;
	finish(r, broken ? HTTPC_BROKEN : HTTPC_OK);
	return -1;
}

/* Reports whether an answer has a header that h2o knows. */
static bool has_header(const h2o_header_t *headers, size_t n,
		       const h2o_token_t *token)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (headers[i].name == &token->buf)
			return true;
	return false;
}

/*
 * Reports whether the end that h2o signals is in fact a connection closed
 * between two chunks.  The last chunk arrives by a read, whereas the read of a
 * closed connection yields no bytes.
 */
static bool closed_between_chunks(const struct httpc_req *r)
{
	return r->chunked && r->h2o->sock->bytes_read == 0;
}

/*
 * Reports whether the end of a connection, which h2o signals as that of an answer
 * without a length, is a reset, or ends a success before the server's host has
 * received the whole request.  The state of the socket tells a reset from an end
 * in order, which acknowledges the bytes that came before it.
 */
static bool ended_early(const struct httpc_req *r)
{
	struct tcp_info info;
	socklen_t len = sizeof(info);
	int unreceived;
	int fd;

	if (!r->until_close)
		return false;
	fd = h2o_socket_get_fd(r->h2o->sock);
	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) ||
	    info.tcpi_state != TCP_CLOSE_WAIT)
		return true;
	return r->success && (ioctl(fd, SIOCOUTQ, &unreceived) || unreceived);
}

/* Calls on_head with null-terminated names and values, at most
 * HTTPC_HEADERS_MAX. */
static void deliver_head(struct httpc_req *r, int status,
			 const h2o_header_t *headers, size_t n)
{
	struct httpc_header list[HTTPC_HEADERS_MAX] = { 0 };
	char *strings[2 * HTTPC_HEADERS_MAX] = { 0 };
	size_t i;

	if (!r->ops->on_head)
		return;
	if (n > HTTPC_HEADERS_MAX)
		n = HTTPC_HEADERS_MAX;
	for (i = 0; i < n; i++) {
		const h2o_header_t *h = &headers[i];

		strings[2 * i] = xstrndup(h->name->base, h->name->len);
		strings[2 * i + 1] = xstrndup(h->value.base, h->value.len);
		list[i].name = strings[2 * i];
		list[i].value = strings[2 * i + 1];
	}
	r->ops->on_head(r->arg, status, list, n);
	for (i = 0; i < 2 * n; i++)
		free(strings[i]);
}

/* Reports a malformed address. */
static void on_failure_timer(uv_timer_t *timer)
{
	finish(timer->data, HTTPC_CONNECT_FAILED);
}

/* Frees a timer. */
static void on_timer_closed(uv_handle_t *h)
{
	free(h);
}

/* Frees the client once its sweep timer is closed. */
static void on_client_closed(uv_handle_t *h)
{
	free(h->data);
}
