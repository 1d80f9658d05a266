/*
 * Connections through the fault proxy.  Each has two directions; a direction
 * reads, keeps what it read until its delay is over, and writes.  A silent
 * direction stops reading and keeps what it has, as a network that loses
 * packets does: nothing is lost from the middle of a stream, and when the
 * fault ends the stream goes on.
 */
#include "emulator/fault_link.h"

#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "lib/settings.h"
#include "lib/xalloc.h"

#define READ_BYTES 65536
#define QUEUE_MAX_BYTES (1u << 20) /* a direction reads no more than this */
#define TICK_MS 1

enum fault_mode {
	MODE_PASS,
	MODE_CUT,
	MODE_FREEZE,
	MODE_DROP_UP,
	MODE_DROP_DOWN,
};

static const char *const mode_names[] = {
	"pass", "cut", "freeze", "drop-up", "drop-down", NULL,
};

/* Bytes on their way; a chunk of no bytes is the end of the stream. */
struct chunk {
	STAILQ_ENTRY(chunk) link;
	uv_write_t write;
	struct direction *to;
	double due_ms;
	size_t len;
	char data[];
};

struct direction {
	struct fault_link *owner;
	uv_tcp_t *from;
	uv_tcp_t *to;
	bool down; /* towards the caller */
	bool reading;
	bool ended; /* its end was read */
	bool shut; /* its end was passed on */
	size_t queued; /* bytes kept or being written */
	size_t writing; /* writes not finished */
	uv_shutdown_t shutdown;
	STAILQ_HEAD(chunk_queue, chunk) chunks;
};

struct fault_link {
	TAILQ_ENTRY(fault_link) link;
	struct fault_mapping *mapping;
	uv_tcp_t caller;
	uv_tcp_t target;
	uv_connect_t connect;
	struct direction directions[2]; /* up, down */
	bool connecting;
	bool connected;
	bool closing;
	bool reset_when_written;
	int open_handles;
};

struct fault_mapping {
	char *address;
	char *target;
	uv_loop_t *loop;
	uv_tcp_t *listener; /* NULL while connections are refused */
	uv_timer_t tick;
	enum fault_mode mode;
	double delay_ms;
	int64_t reset_after; /* bytes down that are left; 0: never */
	uint64_t accepted;
	uint64_t bytes_up;
	uint64_t bytes_down;
	TAILQ_HEAD(link_list, fault_link) links;
};

static bool listen_now(struct fault_mapping *m, char *err, size_t err_size);
static void stop_listening(struct fault_mapping *m);
static void on_listener_closed(uv_handle_t *h);
static void on_connection(uv_stream_t *server, int status);
static void connect_target(struct fault_link *l);
static void on_connected(uv_connect_t *connect, int status);
static bool is_silent(const struct direction *d);
static void update(struct fault_link *l);
static void update_direction(struct direction *d);
static void on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);
static void keep(struct direction *d, const char *data, size_t len);
static void pass_on(struct direction *d);
static void write_chunk(struct direction *d, struct chunk *c);
static void limit_down(struct direction *d, struct chunk *c);
static void on_written(uv_write_t *write, int status);
static void reset_link(struct fault_link *l);
static void close_link(struct fault_link *l);
static void on_end_closed(uv_handle_t *h);
static void drop_chunks(struct direction *d);
static void reset_all(struct fault_mapping *m);
static void on_tick(uv_timer_t *timer);
static int mode_of(const json_t *value);

/* Makes a mapping; NULL if an address is malformed. */
struct fault_mapping *fault_mapping_new(const char *address, const char *target)
{
	struct fault_mapping *m;
	char host[64];
	uint16_t port;

	if (!address_parse(address, host, sizeof(host), &port) ||
	    !address_parse(target, host, sizeof(host), &port))
		return NULL;
	m = xcalloc(1, sizeof(*m));
	m->address = xstrdup(address);
	m->target = xstrdup(target);
	TAILQ_INIT(&m->links);
	return m;
}

/* Begins to listen. */
bool fault_mapping_open(struct fault_mapping *m, uv_loop_t *loop, char *err,
			size_t err_size)
{
	m->loop = loop;
	uv_timer_init(loop, &m->tick);
	m->tick.data = m;
	return listen_now(m, err, err_size);
}

/* Closes the listener and all connections. */
void fault_mapping_close(struct fault_mapping *m)
{
	if (!m->loop)
		return;
	stop_listening(m);
	reset_all(m);
	uv_close((uv_handle_t *)&m->tick, NULL);
}

/* Frees a mapping whose handles the loop has closed. */
void fault_mapping_free(struct fault_mapping *m)
{
	free(m->address);
	free(m->target);
	free(m);
}

/* Returns the address that a mapping listens at. */
const char *fault_mapping_address(const struct fault_mapping *m)
{
	return m->address;
}

/* Checks settings before any of them is put in force. */
bool fault_settings_check(const json_t *settings, char *err, size_t err_size)
{
	json_t *copy = json_is_object(settings) ? json_deep_copy(settings)
						: NULL;
	const char *name;
	json_t *value;
	bool good = copy != NULL;

	if (!good)
		snprintf(err, err_size, "a mapping's settings are an object");
	json_object_foreach(copy, name, value)
	{
		bool allowed = json_is_number(value) &&
			       json_number_value(value) >= 0;

		if (strcmp(name, "mode") == 0)
			allowed = mode_of(value) >= 0;
		else if (strcmp(name, "reset") == 0)
			allowed = json_is_boolean(value);
		else if (strcmp(name, "delay_ms") != 0 &&
			 strcmp(name, "reset_after_bytes") != 0)
			allowed = false;
		if (!allowed)
			snprintf(err, err_size,
				 "%s: no such setting, or not such a value",
				 name);
		good = good && allowed;
	}
	json_decref(copy);
	return good;
}

/* Puts checked settings in force. */
void fault_mapping_apply(struct fault_mapping *m, const json_t *settings)
{
	const json_t *mode = json_object_get(settings, "mode");
	const json_t *delay = json_object_get(settings, "delay_ms");
	const json_t *after = json_object_get(settings, "reset_after_bytes");
	struct fault_link *l;
	char err[256];

	if (delay)
		m->delay_ms = json_number_value(delay);
	if (after)
		m->reset_after = (int64_t)json_number_value(after);
	if (mode)
		m->mode = (enum fault_mode)mode_of(mode);
	if (json_is_true(json_object_get(settings, "reset")) ||
	    m->mode == MODE_CUT)
		reset_all(m);
	if (m->mode == MODE_CUT)
		stop_listening(m);
	else
		listen_now(m, err, sizeof(err));
	TAILQ_FOREACH(l, &m->links, link)
	update(l);
}

/* Returns a mapping's settings and counts. */
json_t *fault_mapping_state(const struct fault_mapping *m)
{
	const struct fault_link *l;
	json_int_t open = 0;

	TAILQ_FOREACH(l, &m->links, link)
	open += !l->closing;
	return json_pack("{s:s, s:s, s:f, s:I, s:I, s:I, s:I, s:I}", "target",
			 m->target, "mode", mode_names[m->mode], "delay_ms",
			 m->delay_ms, "reset_after_bytes",
			 (json_int_t)m->reset_after, "accepted",
			 (json_int_t)m->accepted, "open", open, "bytes_up",
			 (json_int_t)m->bytes_up, "bytes_down",
			 (json_int_t)m->bytes_down);
}

/* Listens, unless the mapping does so already. */
static bool listen_now(struct fault_mapping *m, char *err, size_t err_size)
{
	struct sockaddr_in sin;
	char host[64];
	uint16_t port;
	int rc;

	if (m->listener)
		return true;
	address_parse(m->address, host, sizeof(host), &port);
	uv_ip4_addr(host, port, &sin);
	m->listener = xcalloc(1, sizeof(*m->listener));
	uv_tcp_init(m->loop, m->listener);
	m->listener->data = m;
	rc = uv_tcp_bind(m->listener, (const struct sockaddr *)&sin, 0);
	if (!rc)
		rc = uv_listen((uv_stream_t *)m->listener, 1024, on_connection);
	if (!rc)
		return true;
	snprintf(err, err_size, "listening on %s: %s", m->address,
		 uv_strerror(rc));
	stop_listening(m);
	return false;
}

/* Refuses connections from now on. */
static void stop_listening(struct fault_mapping *m)
{
	if (m->listener)
		uv_close((uv_handle_t *)m->listener, on_listener_closed);
	m->listener = NULL;
}

/* Frees a listener. */
static void on_listener_closed(uv_handle_t *h)
{
	free(h);
}

/* Accepts a connection. */
static void on_connection(uv_stream_t *server, int status)
{
	struct fault_mapping *m = server->data;
	struct fault_link *l;
	int i;

	if (status < 0)
		return;
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
	if (uv_accept(server, (uv_stream_t *)&l->caller) < 0) {
		close_link(l);
		return;
	}
	uv_tcp_nodelay(&l->caller, 1);
	update(l);
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
		reset_link(l);
}

/* The connection to the target stands or failed. */
static void on_connected(uv_connect_t *connect, int status)
{
	struct fault_link *l = connect->handle->data;

	if (l->closing)
		return;
	if (status < 0) {
		reset_link(l);
		return;
	}
	l->connected = true;
	uv_tcp_nodelay(&l->target, 1);
	update(l);
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
static void update(struct fault_link *l)
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
		reset_link(l);
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
	if (m->delay_ms > 0 && !uv_is_active((uv_handle_t *)&m->tick))
		uv_timer_start(&m->tick, on_tick, TICK_MS, TICK_MS);
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
		reset_link(d->owner);
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
		reset_link(l);
		return;
	}
	if (l->directions[0].shut && l->directions[1].shut &&
	    !l->directions[0].writing && !l->directions[1].writing)
		close_link(l);
	else
		update_direction(d);
}

/* Resets both ends. */
static void reset_link(struct fault_link *l)
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

/* Resets every connection of a mapping. */
static void reset_all(struct fault_mapping *m)
{
	struct fault_link *l;

	TAILQ_FOREACH(l, &m->links, link)
	reset_link(l);
}

/* Passes on what was delayed. */
static void on_tick(uv_timer_t *timer)
{
	struct fault_mapping *m = timer->data;
	struct fault_link *l;
	bool waiting = false;

	TAILQ_FOREACH(l, &m->links, link)
	{
		update(l);
		waiting = waiting || !STAILQ_EMPTY(&l->directions[0].chunks) ||
			  !STAILQ_EMPTY(&l->directions[1].chunks);
	}
	if (!waiting && m->delay_ms <= 0)
		uv_timer_stop(timer);
}

/* Returns the mode that a value names, or -1. */
static int mode_of(const json_t *value)
{
	int i;

	for (i = 0; json_is_string(value) && mode_names[i]; i++)
		if (strcmp(json_string_value(value), mode_names[i]) == 0)
			return i;
	return -1;
}
