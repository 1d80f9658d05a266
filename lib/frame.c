/*
 * Frames between our own processes: the payload's length (4 bytes, big
 * endian), its type (1 byte) and a packed protobuf message, over TCP.
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
#define FRAME_READ_BYTES 65536 /* read at once */
#define FRAME_BACKLOG 256
/* A peer that does not read is cut off once this much waits for it. */
#define FRAME_PENDING_MAX (2 * FRAME_MAX_BYTES)

struct frame_conn {
	uv_tcp_t tcp; /* first, so that handles are connections */
	uv_connect_t connect;
	const struct frame_ops *ops;
	void *arg;
	void *data;
	uint8_t *in;
	size_t in_len;
	size_t in_size;
	bool open;
	bool closing;
	char why[128];
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
static bool take_frames(struct frame_conn *c);

/* Listens on a numeric address; NULL with a message in err on failure. */
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

/* Stops listening; accepted connections go on. */
void frame_server_close(struct frame_server *s)
{
	uv_close((uv_handle_t *)&s->tcp, on_server_closed);
}

/* Starts connecting; on_open or on_close tells what came of it. */
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

/* Queues a message; false if the connection is closing or not yet open. */
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
	if (frame_pending(c) > FRAME_PENDING_MAX) {
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

/* Returns the bytes that wait to be sent. */
size_t frame_pending(const struct frame_conn *c)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&c->tcp);
}

/* Keeps a pointer of the user's with the connection. */
void frame_set_data(struct frame_conn *c, void *data)
{
	c->data = data;
}

/* Returns the pointer kept with the connection. */
void *frame_data(const struct frame_conn *c)
{
	return c->data;
}

/* Closes the connection; what waits to be sent is dropped. */
void frame_close(struct frame_conn *c)
{
	conn_fail(c, "closed on this side");
}

/*
 * Finds the first frame in len bytes.  Returns its whole size with type and
 * payload set, 0 if more bytes are needed, -1 if the length is over
 * FRAME_MAX_BYTES.
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

/* Starts closing, once; why reaches on_close. */
static void conn_fail(struct frame_conn *c, const char *why)
{
	if (c->closing)
		return;
	c->closing = true;
	snprintf(c->why, sizeof(c->why), "%s", why);
	uv_close((uv_handle_t *)&c->tcp, on_conn_closed);
}

/* Starts reading a connection that has just been set up. */
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

/* The connection that frame_connect() began stands, or failed. */
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

/* Hands out the free end of the connection's read buffer. */
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

/* Takes what was read. */
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
	if (!take_frames(c))
		conn_fail(c, "malformed frame");
}

/* Hands every whole frame to the user; false if one is malformed. */
static bool take_frames(struct frame_conn *c)
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

/* Frees a written frame. */
static void on_written(uv_write_t *req, int status)
{
	struct frame_conn *c = (struct frame_conn *)req->handle;

	if (status < 0)
		conn_fail(c, uv_strerror(status));
	free(req);
}

/* Tells the user and frees the connection. */
static void on_conn_closed(uv_handle_t *h)
{
	struct frame_conn *c = (struct frame_conn *)h;

	if (c->ops->on_close)
		c->ops->on_close(c, c->arg, c->why);
	free(c->in);
	free(c);
}

/* Frees a server. */
static void on_server_closed(uv_handle_t *h)
{
	free(h);
}
