/*
 * Connections through the fault proxy.  Each has two directions; a direction
 * reads, keeps what it read until its delay is over, and writes.  A silent
 * direction stops reading and keeps what it has, as a network that loses
 * packets does: nothing is lost from the middle of a stream, and when the
 * fault ends the stream goes on.
 */
#include "emulator/fault_link.h"

#include <stdlib.h>
#include <string.h>

#include "lib/settings.h"
#include "lib/xalloc.h"

#define READ_BYTES 65536
#define QUEUE_MAX_BYTES (1u << 20) /* a direction reads no more than this */

/* Bytes on their way; a chunk of no bytes is the end of the stream. */
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
static bool is_silent(const struct direction *d);
static void update_direction(struct direction *d);
static void on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);
static void keep(struct direction *d, const char *data, size_t len);
static void pass_on(struct direction *d);
static void write_chunk(struct direction *d, struct chunk *c);
static void limit_down(struct direction *d, struct chunk *c);
static void on_written(uv_write_t *write, int status);
static void close_link(struct fault_link *l);
static void on_end_closed(uv_handle_t *h);
static void drop_chunks(struct direction *d);

/* Accepts a connection of a mapping. */
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
	l->directions[1].down = true;
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

/* Begins the connection to the target. */
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

/* The connection to the target stands or failed. */
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

/* Tells whether a direction passes nothing on now. */
static bool is_silent(const struct direction *d)
{
	switch (d->owner->mapping->mode) {
	case MODE_FREEZE:
		return true;
	case MODE_DROP_UP:
		return !d->down;
	case MODE_DROP_DOWN:
		return d->down;
	case MODE_PASS:
	case MODE_CUT:
		break;
	}
	return false;
}

/* Brings a connection in line with the mapping's mode. */
void fault_link_update(struct fault_link *l)
{
	if (l->closing)
		return;
	if (!l->connecting && l->mapping->mode != MODE_FREEZE)
		connect_target(l);
	if (l->closing || !l->connected)
		return;
	update_direction(&l->directions[0]);
	if (!l->closing)
		update_direction(&l->directions[1]);
}

/* Starts or stops reading in a direction, and passes on what is due. */
static void update_direction(struct direction *d)
{
	bool read = !is_silent(d) && !d->ended && d->queued < QUEUE_MAX_BYTES;

	if (read && !d->reading)
		uv_read_start((uv_stream_t *)d->from, on_alloc, on_read);
	else if (!read && d->reading)
		uv_read_stop((uv_stream_t *)d->from);
	d->reading = read;
	pass_on(d);
}

/* Gives libuv a buffer to read into. */
static void on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	static char buffer[READ_BYTES];

	(void)h;
	(void)size;
	*buf = uv_buf_init(buffer, sizeof(buffer));
}

/* Takes what was read, an end, or a reset. */
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
		d->ended = true;
		keep(d, "", 0);
	} else {
		keep(d, buf->base, (size_t)n);
	}
	update_direction(d);
}

/* Keeps bytes until their delay is over. */
static void keep(struct direction *d, const char *data, size_t len)
{
	struct fault_mapping *m = d->owner->mapping;
	struct chunk *c = xcalloc(1, sizeof(*c) + len);

	c->to = d;
	c->len = len;
	c->due_ms = (double)uv_now(m->loop) + m->delay_ms;
	memcpy(c->data, data, len);
	STAILQ_INSERT_TAIL(&d->chunks, c, link);
	d->queued += len;
	if (m->delay_ms > 0)
		fault_mapping_tick(m);
}

/* Writes the chunks that are due. */
static void pass_on(struct direction *d)
{
	double now = (double)uv_now(d->owner->mapping->loop);
	struct chunk *c;

	while (!d->owner->closing && !d->owner->reset_when_written &&
	       !is_silent(d) && (c = STAILQ_FIRST(&d->chunks)) &&
	       c->due_ms <= now) {
		STAILQ_REMOVE_HEAD(&d->chunks, link);
		write_chunk(d, c);
	}
}

/* Writes one chunk, or passes the end of the stream on. */
static void write_chunk(struct direction *d, struct chunk *c)
{
	struct fault_mapping *m = d->owner->mapping;
	uv_buf_t buf;

	if (!c->len) {
		d->shut = true;
		free(c);
		if (d->owner->directions[!d->down].shut &&
		    !d->owner->directions[!d->down].writing && !d->writing)
			close_link(d->owner);
		else
			uv_shutdown(&d->shutdown, (uv_stream_t *)d->to, NULL);
		return;
	}
	if (d->down && m->reset_after > 0)
		limit_down(d, c);
	*(d->down ? &m->bytes_down : &m->bytes_up) += c->len;
	buf = uv_buf_init(c->data, (unsigned)c->len);
	d->writing++;
	if (uv_write(&c->write, (uv_stream_t *)d->to, &buf, 1, on_written) <
	    0) {
		d->writing--;
		free(c);
		fault_link_reset(d->owner);
	}
}

/* Counts bytes down; the connection that carries the last one gets no byte
 * beyond it and is reset. */
static void limit_down(struct direction *d, struct chunk *c)
{
	struct fault_mapping *m = d->owner->mapping;

	if ((int64_t)c->len < m->reset_after) {
		m->reset_after -= (int64_t)c->len;
		return;
	}
	d->queued -= c->len - (size_t)m->reset_after;
	c->len = (size_t)m->reset_after;
	m->reset_after = 0;
	d->owner->reset_when_written = true;
}

/* A chunk is written. */
static void on_written(uv_write_t *write, int status)
{
	struct chunk *c =
		(struct chunk *)((char *)write - offsetof(struct chunk, write));
	struct direction *d = c->to;
	struct fault_link *l = d->owner;

	d->queued -= c->len;
	d->writing--;
	free(c);
	if (l->closing)
		return;
	if (status < 0 || (l->reset_when_written && d->down && !d->writing)) {
		fault_link_reset(l);
		return;
	}
	if (l->directions[0].shut && l->directions[1].shut &&
	    !l->directions[0].writing && !l->directions[1].writing)
		close_link(l);
	else
		update_direction(d);
}

/* Resets both ends. */
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

/* Closes both ends, whose streams are over. */
static void close_link(struct fault_link *l)
{
	if (l->closing)
		return;
	l->closing = true;
	uv_close((uv_handle_t *)&l->caller, on_end_closed);
	uv_close((uv_handle_t *)&l->target, on_end_closed);
}

/* One end is closed; frees the connection after the other one. */
static void on_end_closed(uv_handle_t *h)
{
	struct fault_link *l = h->data;

	if (--l->open_handles)
		return;
	drop_chunks(&l->directions[0]);
	drop_chunks(&l->directions[1]);
	TAILQ_REMOVE(&l->mapping->links, l, link);
	free(l);
}

/* Frees what a direction kept. */
static void drop_chunks(struct direction *d)
{
	struct chunk *c;

	while ((c = STAILQ_FIRST(&d->chunks))) {
		STAILQ_REMOVE_HEAD(&d->chunks, link);
		free(c);
	}
}
