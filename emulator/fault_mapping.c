/*
 * Mappings of the fault proxy: their listeners and fault settings.
 */
#include "emulator/fault_mapping.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "emulator/fault_link.h"
#include "lib/settings.h"
#include "lib/xalloc.h"

#define TICK_MS 1

static const char *const mode_names[] = {
	"pass", "cut", "freeze", "drop-up", "drop-down", "hang", "refuse", NULL,
};

static bool listens(enum fault_mode mode);
static bool start_listening(struct fault_mapping *m, char *err,
			    size_t err_size);
static void stop_listening(struct fault_mapping *m);
static void fill_listener(struct fault_mapping *m);
static void close_full_listener(struct fault_mapping *m);
static void on_listener_closed(uv_handle_t *h);
static void on_connection(uv_stream_t *server, int status);
static void reset_all(struct fault_mapping *m);
static void on_tick(uv_timer_t *timer);
static int parse_mode(const json_t *value);

/* Creates a mapping; NULL if an address is malformed. */
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
	m->full_listener = -1;
	m->filler = -1;
	TAILQ_INIT(&m->links);
	return m;
}

/* Starts listening; false with a message on failure. */
bool fault_mapping_open(struct fault_mapping *m, uv_loop_t *loop, char *err,
			size_t err_size)
{
	m->loop = loop;
	uv_timer_init(loop, &m->tick);
	m->tick.data = m;
	return start_listening(m, err, err_size);
}

/* Closes the listener and all connections. */
void fault_mapping_close(struct fault_mapping *m)
{
	if (!m->loop)
		return;
	stop_listening(m);
	close_full_listener(m);
	reset_all(m);
	uv_close((uv_handle_t *)&m->tick, NULL);
}

/* Frees a mapping after the loop has closed its handles. */
void fault_mapping_free(struct fault_mapping *m)
{
	free(m->address);
	free(m->target);
	free(m);
}

/* Returns the listening address of a mapping. */
const char *fault_mapping_address(const struct fault_mapping *m)
{
	return m->address;
}

/* Validates settings before any of them is applied. */
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
			allowed = parse_mode(value) >= 0;
		else if (strcmp(name, "reset") == 0 ||
			 strcmp(name, "silence") == 0)
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

/* Applies validated settings. */
void fault_mapping_apply(struct fault_mapping *m, const json_t *settings)
{
	const json_t *mode = json_object_get(settings, "mode");
	const json_t *delay = json_object_get(settings, "delay_ms");
	const json_t *after = json_object_get(settings, "reset_after_bytes");
	bool silence = json_is_true(json_object_get(settings, "silence"));
	struct fault_link *l;
	char err[256];

	if (delay)
		m->delay_ms = json_number_value(delay);
	if (after)
		m->reset_after_bytes = (int64_t)json_number_value(after);
	if (mode)
		m->mode = (enum fault_mode)parse_mode(mode);
	if (json_is_true(json_object_get(settings, "reset")) ||
	    m->mode == MODE_CUT)
		reset_all(m);
	if (!listens(m->mode))
		stop_listening(m);
	if (m->mode == MODE_HANG)
		fill_listener(m);
	else
		close_full_listener(m);
	if (listens(m->mode))
		start_listening(m, err, sizeof(err));
	TAILQ_FOREACH(l, &m->links, link)
	{
		l->silent = l->silent || silence;
		fault_link_update(l);
	}
}

/* Returns whether a mapping accepts connections in a mode. */
static bool listens(enum fault_mode mode)
{
	return mode != MODE_CUT && mode != MODE_HANG && mode != MODE_REFUSE;
}

/* Returns a mapping's settings and counts as JSON. */
json_t *fault_mapping_state(const struct fault_mapping *m)
{
	const struct fault_link *l;
	json_int_t open = 0;

	TAILQ_FOREACH(l, &m->links, link)
	open += !l->closing;
	return json_pack("{s:s, s:s, s:f, s:I, s:I, s:I, s:I, s:I}", "target",
			 m->target, "mode", mode_names[m->mode], "delay_ms",
			 m->delay_ms, "reset_after_bytes",
			 (json_int_t)m->reset_after_bytes, "accepted",
			 (json_int_t)m->accepted, "open", open, "bytes_up",
			 (json_int_t)m->bytes_up, "bytes_down",
			 (json_int_t)m->bytes_down);
}

/* Opens the listener unless it is open; false with a message on failure. */
static bool start_listening(struct fault_mapping *m, char *err, size_t err_size)
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

/* Closes the listener, so that connections are refused. */
static void stop_listening(struct fault_mapping *m)
{
	if (m->listener)
		uv_close((uv_handle_t *)m->listener, on_listener_closed);
	m->listener = NULL;
}

/* Listens with a queue that is full, so that new connections get no answer.  A
 * queue of length 0 holds one connection.  Without the socket, connections are
 * refused. */
static void fill_listener(struct fault_mapping *m)
{
	struct sockaddr_in sin;
	char host[64];
	uint16_t port;
	int on = 1;

	if (m->full_listener >= 0)
		return;
	address_parse(m->address, host, sizeof(host), &port);
	uv_ip4_addr(host, port, &sin);
	m->full_listener =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	m->filler =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (m->full_listener < 0 || m->filler < 0 ||
	    setsockopt(m->full_listener, SOL_SOCKET, SO_REUSEADDR, &on,
		       sizeof(on)) ||
	    bind(m->full_listener, (const struct sockaddr *)&sin,
		 sizeof(sin)) ||
	    listen(m->full_listener, 0) ||
	    (connect(m->filler, (const struct sockaddr *)&sin, sizeof(sin)) &&
	     errno != EINPROGRESS))
		close_full_listener(m);
}

/* Closes the full listener, if there is one. */
static void close_full_listener(struct fault_mapping *m)
{
	if (m->filler >= 0)
		close(m->filler);
	if (m->full_listener >= 0)
		close(m->full_listener);
	m->filler = -1;
	m->full_listener = -1;
}

/* Frees a closed listener. */
static void on_listener_closed(uv_handle_t *h)
{
	free(h);
}

/* Accepts a new connection. */
static void on_connection(uv_stream_t *server, int status)
{
	if (status == 0)
		fault_link_accept(server->data);
}

/* Starts the timer that writes delayed bytes. */
void fault_mapping_tick(struct fault_mapping *m)
{
	if (!uv_is_active((uv_handle_t *)&m->tick))
		uv_timer_start(&m->tick, on_tick, TICK_MS, TICK_MS);
}

/* Resets every connection of a mapping. */
static void reset_all(struct fault_mapping *m)
{
	struct fault_link *l;

	TAILQ_FOREACH(l, &m->links, link)
	fault_link_reset(l);
}

/* Writes due bytes of all connections; stops when none are delayed. */
static void on_tick(uv_timer_t *timer)
{
	struct fault_mapping *m = timer->data;
	struct fault_link *l;
	bool waiting = false;

	TAILQ_FOREACH(l, &m->links, link)
	{
		fault_link_update(l);
		waiting = waiting || !STAILQ_EMPTY(&l->directions[0].chunks) ||
			  !STAILQ_EMPTY(&l->directions[1].chunks);
	}
	if (!waiting && m->delay_ms <= 0)
		uv_timer_stop(timer);
}

/* Returns the mode named by a JSON string, or -1. */
static int parse_mode(const json_t *value)
{
	int i;

	for (i = 0; json_is_string(value) && mode_names[i]; i++)
		if (strcmp(json_string_value(value), mode_names[i]) == 0)
			return i;
	return -1;
}
