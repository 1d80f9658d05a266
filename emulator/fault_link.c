/*
 * Connections through the fault proxy.  Each has two directions; a direction
 * reads, queues the data until its delay is over, and writes.  A blocked
 * direction stops reading and keeps its queue, like TCP over a network that
 * loses packets: no data is lost, and the stream continues when the fault ends.
 */
#include "emulator/fault_link.h"

#include <stdlib.h>
#include <string.h>

#include "lib/settings.h"
#include "lib/xalloc.h"

#define READ_BYTES 65536
#define QUEUE_MAX_BYTES (1u << 20) /* per direction; reading stops above */

/* Queued bytes; a chunk of length 0 is the end of the stream. */
struct chunk {
	STAILQ_ENTRY(chunk) link;
	uv_write_t write;
	struct direction *to;
	double due_ms;
	size_t len;
	char data[];
};

static void connect_target(struct fault_link *l);
static void on_connected(uv_connect_t *connect, int status);
static bool is_blocked(const struct direction *d);
static void update_direction(struct direction *d);
static void on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);
static void keep(struct direction *d, const char *data, size_t len);
static void write_due_chunks(struct direction *d);
static void write_chunk(struct direction *d, struct chunk *c);
static void limit_bytes_down(struct direction *d, struct chunk *c);
static void on_written(uv_write_t *write, int status);
static void close_link(struct fault_link *l);
static void on_end_closed(uv_handle_t *h);
static void free_chunks(struct direction *d);

/* Accepts a connection on a mapping's listener. */
void fault_link_accept(struct fault_mapping *m)
{
	struct fault_link *l;
	int i;

	l = xcalloc(1, sizeof(*l));
	l->mapping = m;
	uv_tcp_init(m->loop, &l->caller);
	uv_tcp_init(m->loop, &l->target);
	l->caller.data = l->target.data = l;
	l->open_handles = 2;
	l->directions[0].from = l->directions[1].to = &l->caller;
	l->directions[0].to = l->directions[1].from = &l->target;
	l->directions[1].to_caller = true;
	for (i = 0; i < 2; i++) {
		l->directions[i].owner = l;
		STAILQ_INIT(&l->directions[i].chunks);
	}
	TAILQ_INSERT_TAIL(&m->links, l, link);
	m->accepted++;
	if (uv_accept((uv_stream_t *)m->listener, (uv_stream_t *)&l->caller) <
	    0) {
		close_link(l);
		return;
	}
	uv_tcp_nodelay(&l->caller, 1);
	fault_link_update(l);
}

/* Starts connecting to the target. */
static void connect_target(struct fault_link *l)
{
	struct sockaddr_in sin;
	char host[64];
	uint16_t port;

	l->connecting = true;
	address_parse(l->mapping->target, host, sizeof(host), &port);
	uv_ip4_addr(host, port, &sin);
	if (uv_tcp_connect(&l->connect, &l->target,
			   (const struct sockaddr *)&sin, on_connected) < 0)
		fault_link_reset(l);
}

/* Handles the result of connecting to the target. */
static void on_connected(uv_connect_t *connect, int status)
{
	struct fault_link *l = connect->handle->data;

	if (l->closing)
		return;
	if (status < 0) {
		fault_link_reset(l);
		return;
	}
	l->connected = true;
	uv_tcp_nodelay(&l->target, 1);
	fault_link_update(l);
}

/* Returns whether a direction passes nothing on, as its connection is silent or by the
 * mapping's mode. */
static bool is_blocked(const struct direction *d)
{
	if (d->owner->silent)
		return true;
	switch (d->owner->mapping->mode) {
	case MODE_FREEZE:
	case MODE_HANG:
		return true;
	case MODE_DROP_UP:
		return !d->to_caller;
	case MODE_DROP_DOWN:
		return d->to_caller;
	case MODE_PASS:
	case MODE_CUT:
	case MODE_REFUSE:
		break;
	}
	return false;
}

/* Applies the mapping's mode to a connection. */
void fault_link_update(struct fault_link *l)
{
	if (l->closing)
		return;
	if (!l->connecting && l->mapping->mode != MODE_FREEZE &&
	    l->mapping->mode != MODE_HANG)
		connect_target(l);
	if (l->closing || !l->connected)
		return;
	update_direction(&l->directions[0]);
	if (!l->closing)
		update_direction(&l->directions[1]);
}

/* Starts or stops reading in a direction, and writes due chunks. */
static void update_direction(struct direction *d)
{
	bool read = !is_blocked(d) && !d->eof_read &&
		    d->queued_bytes < QUEUE_MAX_BYTES;

	if (read && !d->reading)
		uv_read_start((uv_stream_t *)d->from, on_alloc, on_read);
	else if (!read && d->reading)
		uv_read_stop((uv_stream_t *)d->from);
	d->reading = read;
	if (!d->owner->silent)
		write_due_chunks(d);
}

/* Provides the read buffer for libuv. */
static void on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	static char buffer[READ_BYTES];

	(void)h;
	(void)size;
	*buf = uv_buf_init(buffer, sizeof(buffer));
}

/* Handles received data, end of stream, or an error. */
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct fault_link *l = stream->data;
	struct direction *d =
		&l->directions[stream == (uv_stream_t *)&l->target];

	if (n == 0 || l->closing)
		return;
	if (n < 0 && n != UV_EOF) {
		fault_link_reset(l);
		return;
	}
	if (n == UV_EOF) {
		d->eof_read = true;
		keep(d, "", 0);
	} else {
		keep(d, buf->base, (size_t)n);
	}
	update_direction(d);
}

/* Queues bytes until their delay is over. */
static void keep(struct direction *d, const char *data, size_t len)
{
	struct fault_mapping *m = d->owner->mapping;
	struct chunk *c = xcalloc(1, sizeof(*c) + len);

	c->to = d;
	c->len = len;
	c->due_ms = (double)uv_now(m->loop) + m->delay_ms;
	memcpy(c->data, data, len);
	STAILQ_INSERT_TAIL(&d->chunks, c, link);
	d->queued_bytes += len;
	if (m->delay_ms > 0)
		fault_mapping_tick(m);
}

/* Writes the due chunks of a direction. */
static void write_due_chunks(struct direction *d)
{
	double now = (double)uv_now(d->owner->mapping->loop);
	struct chunk *c;

	while (!d->owner->closing && !d->owner->reset_when_written &&
	       !is_blocked(d) && (c = STAILQ_FIRST(&d->chunks)) &&
	       c->due_ms <= now) {
		STAILQ_REMOVE_HEAD(&d->chunks, link);
		write_chunk(d, c);
	}
}

/* Writes one chunk, or forwards the end of the stream. */
static void write_chunk(struct direction *d, struct chunk *c)
{
	struct fault_mapping *m = d->owner->mapping;
	uv_buf_t buf;

	if (!c->len) {
		d->eof_sent = true;
		free(c);
		if (d->owner->directions[!d->to_caller].eof_sent &&
		    !d->owner->directions[!d->to_caller].n_writes &&
		    !d->n_writes)
			close_link(d->owner);
		else
			uv_shutdown(&d->shutdown, (uv_stream_t *)d->to, NULL);
		return;
	}
	if (d->to_caller && m->reset_after_bytes > 0)
		limit_bytes_down(d, c);
	*(d->to_caller ? &m->bytes_down : &m->bytes_up) += c->len;
	buf = uv_buf_init(c->data, (unsigned)c->len);
	d->n_writes++;
	if (uv_write(&c->write, (uv_stream_t *)d->to, &buf, 1, on_written) <
	    0) {
		d->n_writes--;
		free(c);
		fault_link_reset(d->owner);
	}
}

/* Counts bytes towards callers against reset_after_bytes.  The connection that
 * reaches the limit is truncated there and reset. */
static void limit_bytes_down(struct direction *d, struct chunk *c)
{
	struct fault_mapping *m = d->owner->mapping;

	if ((int64_t)c->len < m->reset_after_bytes) {
		m->reset_after_bytes -= (int64_t)c->len;
		return;
	}
	d->queued_bytes -= c->len - (size_t)m->reset_after_bytes;
	c->len = (size_t)m->reset_after_bytes;
	m->reset_after_bytes = 0;
	d->owner->reset_when_written = true;
}

/* Handles a finished write. */
static void on_written(uv_write_t *write, int status)
{
	struct chunk *c =
		(struct chunk *)((char *)write - offsetof(struct chunk, write));
	struct direction *d = c->to;
	struct fault_link *l = d->owner;

	d->queued_bytes -= c->len;
	d->n_writes--;
	free(c);
	if (l->closing)
		return;
	if (status < 0 ||
	    (l->reset_when_written && d->to_caller && !d->n_writes)) {
		fault_link_reset(l);
		return;
	}
	if (l->directions[0].eof_sent && l->directions[1].eof_sent &&
	    !l->directions[0].n_writes && !l->directions[1].n_writes)
		close_link(l);
	else
		update_direction(d);
}

/* Resets both connections of a link. */
void fault_link_reset(struct fault_link *l)
{
	if (l->closing)
		return;
	l->closing = true;
	if (uv_tcp_close_reset(&l->caller, on_end_closed) < 0)
		uv_close((uv_handle_t *)&l->caller, on_end_closed);
	if (!l->connected || uv_tcp_close_reset(&l->target, on_end_closed) < 0)
		uv_close((uv_handle_t *)&l->target, on_end_closed);
}

/* Closes both connections after their streams ended. */
static void close_link(struct fault_link *l)
{
	if (l->closing)
		return;
	l->closing = true;
	uv_close((uv_handle_t *)&l->caller, on_end_closed);
	uv_close((uv_handle_t *)&l->target, on_end_closed);
}

/* Frees a link once both of its connections are closed. */
static void on_end_closed(uv_handle_t *h)
{
	struct fault_link *l = h->data;

	if (--l->open_handles)
		return;
	free_chunks(&l->directions[0]);
	free_chunks(&l->directions[1]);
	TAILQ_REMOVE(&l->mapping->links, l, link);
	free(l);
}

/* Frees a direction's queue. */
static void free_chunks(struct direction *d)
{
	struct chunk *c;

	while ((c = STAILQ_FIRST(&d->chunks))) {
		STAILQ_REMOVE_HEAD(&d->chunks, link);
		free(c);
	}
}
