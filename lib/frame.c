/*
 * Framed messages between cardamomknot processes over TCP.  A frame is the
 * payload's length (4 bytes, big endian), its type (1 byte) and the payload, a
 * packed protobuf message.
 */
#include "lib/frame.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/settings.h"
#include "lib/xalloc.h"

#define FRAME_HEADER_BYTES 5
#define FRAME_READ_BYTES 65536 /* least free buffer space for a read */
#define FRAME_BACKLOG 256
/* The connection is closed once more than this is queued for a peer. */
#define FRAME_PENDING_MAX_BYTES (2 * FRAME_MAX_BYTES)

struct frame_conn {
	uv_tcp_t tcp; /* first: cast to struct frame_conn */
	uv_connect_t connect;
	const struct frame_ops *ops;
	void *arg;
	void *data;
	uint8_t *in;
	size_t in_len;
	size_t in_size;
	bool open;
	bool closing;
	char close_reason[128];
};

struct frame_server {
	uv_tcp_t tcp;
	const struct frame_ops *ops;
	void *arg;
};

struct frame_write {
	uv_write_t req;
	uint8_t bytes[];
};

static struct frame_conn *conn_new(uv_loop_t *loop, const struct frame_ops *ops,
				   void *arg);
static void conn_fail(struct frame_conn *c, const char *why);
static void conn_opened(struct frame_conn *c);
static void on_connection(uv_stream_t *stream, int status);
static void on_connected(uv_connect_t *req, int status);
static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);
static void on_written(uv_write_t *req, int status);
static void on_conn_closed(uv_handle_t *h);
static void on_server_closed(uv_handle_t *h);
static bool dispatch_frames(struct frame_conn *c);

/* Listens on a numeric address.  Returns NULL with a message in err on
 * failure. */
struct frame_server *frame_listen(uv_loop_t *loop, const char *address,
				  const struct frame_ops *ops, void *arg,
				  char *err, size_t err_size)
{
	struct frame_server *s = xcalloc(1, sizeof(*s));
	struct sockaddr_in sin;
	char host[64];
	uint16_t port;
	int rc;

	s->ops = ops;
	s->arg = arg;
	uv_tcp_init(loop, &s->tcp);
	if (!address_parse(address, host, sizeof(host), &port)) {
		snprintf(err, err_size, "%s: not a numeric address", address);
		goto fail;
	}
	uv_ip4_addr(host, port, &sin);
	rc = uv_tcp_bind(&s->tcp, (const struct sockaddr *)&sin, 0);
	if (!rc)
		rc = uv_listen((uv_stream_t *)&s->tcp, FRAME_BACKLOG,
			       on_connection);
	if (!rc)
		return s;
	snprintf(err, err_size, "listening on %s: %s", address,
		 uv_strerror(rc));
fail:
	frame_server_close(s);
	return NULL;
}

/* Stops listening and frees the server; accepted connections stay open. */
void frame_server_close(struct frame_server *s)
{
	uv_close((uv_handle_t *)&s->tcp, on_server_closed);
}

/* Starts connecting; the loop then calls on_open, or on_close on failure. */
struct frame_conn *frame_connect(uv_loop_t *loop, const char *address,
				 const struct frame_ops *ops, void *arg)
{
	struct frame_conn *c = conn_new(loop, ops, arg);
	struct sockaddr_in sin;
	char host[64];
	uint16_t port;
	int rc;

	if (!address_parse(address, host, sizeof(host), &port)) {
		conn_fail(c, "not a numeric address");
		return c;
	}
	uv_ip4_addr(host, port, &sin);
	rc = uv_tcp_connect(&c->connect, &c->tcp, (const struct sockaddr *)&sin,
			    on_connected);
	if (rc)
		conn_fail(c, uv_strerror(rc));
	return c;
}

/* Queues a message.  Returns false if the connection is closing or not yet
 * open, the message exceeds FRAME_MAX_BYTES, or sending fails. */
bool frame_send(struct frame_conn *c, uint8_t type,
		const ProtobufCMessage *message)
{
	size_t len = protobuf_c_message_get_packed_size(message);
	struct frame_write *w;
	uint32_t be = htonl((uint32_t)len);
	uv_buf_t buf;
	int rc;

	if (c->closing || !c->open || len > FRAME_MAX_BYTES)
		return false;
	if (frame_pending(c) > FRAME_PENDING_MAX_BYTES) {
		conn_fail(c, "the peer does not read");
		return false;
	}
	w = xcalloc(1, sizeof(*w) + FRAME_HEADER_BYTES + len);
	memcpy(w->bytes, &be, sizeof(be));
	w->bytes[sizeof(be)] = type;
	protobuf_c_message_pack(message, w->bytes + FRAME_HEADER_BYTES);
	buf = uv_buf_init((char *)w->bytes,
			  (unsigned)(FRAME_HEADER_BYTES + len));
	rc = uv_write(&w->req, (uv_stream_t *)&c->tcp, &buf, 1, on_written);
	if (!rc)
		return true;
	free(w);
	conn_fail(c, uv_strerror(rc));
	return false;
}

/* Returns the number of bytes queued for sending. */
size_t frame_pending(const struct frame_conn *c)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&c->tcp);
}

/* Stores a pointer of the caller's with the connection. */
void frame_set_data(struct frame_conn *c, void *data)
{
	c->data = data;
}

/* Returns the pointer stored by frame_set_data(), or NULL. */
void *frame_data(const struct frame_conn *c)
{
	return c->data;
}

/* Closes the connection; queued messages are discarded. */
void frame_close(struct frame_conn *c)
{
	conn_fail(c, "closed on this side");
}

/*
 * Finds the first frame in len bytes.  Returns the frame's size in bytes and
 * sets type and payload, or returns 0 if more bytes are needed and -1 if the
 * payload's length exceeds FRAME_MAX_BYTES.
 */
long frame_parse(const uint8_t *data, size_t len, uint8_t *type,
		 const uint8_t **payload, size_t *payload_len)
{
	uint32_t be;
	size_t n;

	if (len < FRAME_HEADER_BYTES)
		return 0;
	memcpy(&be, data, sizeof(be));
	n = ntohl(be);
	if (n > FRAME_MAX_BYTES)
		return -1;
	if (len < FRAME_HEADER_BYTES + n)
		return 0;
	*type = data[sizeof(be)];
	*payload = data + FRAME_HEADER_BYTES;
	*payload_len = n;
	return (long)(FRAME_HEADER_BYTES + n);
}

/* Allocates a connection that is not yet connected. */
static struct frame_conn *conn_new(uv_loop_t *loop, const struct frame_ops *ops,
				   void *arg)
{
	struct frame_conn *c = xcalloc(1, sizeof(*c));

	uv_tcp_init(loop, &c->tcp);
	c->ops = ops;
	c->arg = arg;
	return c;
}

/* Starts closing the connection unless it is closing already; on_close receives
 * why. */
static void conn_fail(struct frame_conn *c, const char *why)
{
	if (c->closing)
		return;
	c->closing = true;
	snprintf(c->close_reason, sizeof(c->close_reason), "%s", why);
	uv_close((uv_handle_t *)&c->tcp, on_conn_closed);
}

/* Starts reading a newly established connection and calls on_open. */
static void conn_opened(struct frame_conn *c)
{
	uv_tcp_nodelay(&c->tcp, 1);
	c->open = true;
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
	if (c->ops->on_open)
		c->ops->on_open(c, c->arg);
}

/* Accepts a connection. */
static void on_connection(uv_stream_t *stream, int status)
{
	struct frame_server *s = (struct frame_server *)stream;
	struct frame_conn *c;

	if (status < 0)
		return;
	c = conn_new(stream->loop, s->ops, s->arg);
	if (uv_accept(stream, (uv_stream_t *)&c->tcp) < 0) {
		conn_fail(c, "accepting failed");
		return;
	}
	conn_opened(c);
}

/* Handles the result of the connect that frame_connect() started. */
static void on_connected(uv_connect_t *req, int status)
{
	struct frame_conn *c = (struct frame_conn *)req->handle;

	if (c->closing)
		return;
	if (status < 0) {
		conn_fail(c, uv_strerror(status));
		return;
	}
	conn_opened(c);
}

/* Provides the free end of the connection's read buffer, growing it if fewer
 * than FRAME_READ_BYTES are free. */
static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	struct frame_conn *c = (struct frame_conn *)h;

	(void)suggested;
	if (c->in_size - c->in_len < FRAME_READ_BYTES) {
		c->in_size = c->in_len + FRAME_READ_BYTES;
		c->in = xreallocarray(c->in, c->in_size, 1);
	}
	*buf = uv_buf_init((char *)c->in + c->in_len,
			   (unsigned)(c->in_size - c->in_len));
}

/* Handles received bytes, the end of the connection or an error. */
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct frame_conn *c = (struct frame_conn *)stream;

	(void)buf;
	if (c->closing || n == 0)
		return;
	if (n < 0) {
		conn_fail(c, n == UV_EOF ? "closed by the peer"
					 : uv_strerror((int)n));
		return;
	}
	c->in_len += (size_t)n;
	if (!dispatch_frames(c))
		conn_fail(c, "malformed frame");
}

/* Passes every complete frame to on_message and keeps an incomplete one.
 * Returns false if a frame is malformed. */
static bool dispatch_frames(struct frame_conn *c)
{
	const uint8_t *payload = NULL;
	size_t payload_len = 0;
	size_t used = 0;
	uint8_t type = 0;
	long n;

	for (;;) {
		n = frame_parse(c->in + used, c->in_len - used, &type, &payload,
				&payload_len);
		if (n <= 0)
			break;
		if (!c->ops->on_message(c, c->arg, type, payload, payload_len))
			return false;
		if (c->closing)
			return true;
		used += (size_t)n;
	}
	memmove(c->in, c->in + used, c->in_len - used);
	c->in_len -= used;
	if (c->in_len == 0 && c->in_size > FRAME_READ_BYTES) {
		free(c->in);
		c->in = NULL;
		c->in_size = 0;
	}
	return n >= 0;
}

/* Frees a frame that was written or whose write failed. */
static void on_written(uv_write_t *req, int status)
{
	struct frame_conn *c = (struct frame_conn *)req->handle;

	if (status < 0)
		conn_fail(c, uv_strerror(status));
	free(req);
}

/* Calls on_close and frees the connection. */
static void on_conn_closed(uv_handle_t *h)
{
	struct frame_conn *c = (struct frame_conn *)h;

	if (c->ops->on_close)
		c->ops->on_close(c, c->arg, c->close_reason);
	free(c->in);
	free(c);
}

/* Frees the server. */
static void on_server_closed(uv_handle_t *h)
{
	free(h);
}
