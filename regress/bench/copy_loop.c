/*
 * The baseline of the relay bench: a bare libuv loop that copies bytes between
 * pairs of connections.
 */
#include "regress/bench/copy_loop.h"

#include <err.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <uv.h>

#include "lib/settings.h"
#include "lib/xalloc.h"

#define BACKLOG 4096
#define BUFFER_BYTES 65536

struct side {
	uv_tcp_t tcp;
	struct side *other;
	bool open;
};

struct copy_write {
	uv_write_t req;
	char bytes[];
};

static struct sockaddr_in target_address;
static char buffer[BUFFER_BYTES];

static void on_connection(uv_stream_t *server, int status);
static void on_connected(uv_connect_t *req, int status);
static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);
static void on_written(uv_write_t *req, int status);
static void run(const char *listen);
static void close_side(struct side *s);
static void resolve(const char *address, struct sockaddr_in *sin);

pid_t copy_loop_start(const char *listen, const char *target)
{
	pid_t pid;

	resolve(target, &target_address);
	pid = fork();
	if (pid < 0)
		err(1, "fork");
	if (pid == 0)
		run(listen);
	return pid;
}

/* Runs the loop in the child process until a signal ends it. */
static void run(const char *listen)
{
	uv_loop_t loop;
	uv_tcp_t server;
	struct sockaddr_in sin;

	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&loop);
	uv_tcp_init(&loop, &server);
	resolve(listen, &sin);
	if (uv_tcp_bind(&server, (struct sockaddr *)&sin, 0) ||
	    uv_listen((uv_stream_t *)&server, BACKLOG, on_connection))
		errx(1, "listening on %s failed", listen);
	uv_run(&loop, UV_RUN_DEFAULT);
	_exit(0);
}

/* Accepts a connection and connects to the target. */
static void on_connection(uv_stream_t *server, int status)
{
	struct side *pair = xcalloc(2, sizeof(*pair));
	uv_connect_t *req = xcalloc(1, sizeof(*req));

	(void)status;
	pair[0].other = &pair[1];
	pair[1].other = &pair[0];
	uv_tcp_init(server->loop, &pair[0].tcp);
	uv_tcp_init(server->loop, &pair[1].tcp);
	uv_accept(server, (uv_stream_t *)&pair[0].tcp);
	pair[0].open = true;
	pair[1].open = true;
	uv_tcp_nodelay(&pair[0].tcp, 1);
	uv_tcp_connect(req, &pair[1].tcp, (struct sockaddr *)&target_address,
		       on_connected);
}

/* Starts to copy in both directions. */
static void on_connected(uv_connect_t *req, int status)
{
	struct side *s = (struct side *)req->handle;

	free(req);
	if (status < 0) {
		close_side(s);
		return;
	}
	uv_tcp_nodelay(&s->tcp, 1);
	uv_read_start((uv_stream_t *)&s->tcp, on_alloc, on_read);
	uv_read_start((uv_stream_t *)&s->other->tcp, on_alloc, on_read);
}

/* All connections share one buffer, since on_read() copies the bytes at
 * once. */
static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	(void)h;
	(void)suggested;
	*buf = uv_buf_init(buffer, sizeof(buffer));
}

/* Writes what was read to the other side. */
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct side *s = (struct side *)stream;
	struct copy_write *w;
	uv_buf_t out;

	if (n < 0) {
		close_side(s);
		return;
	}
	if (n == 0 || !s->other->open)
		return;
	w = xcalloc(1, sizeof(*w) + (size_t)n);
	out = uv_buf_init(w->bytes, (unsigned)n);
	memcpy(w->bytes, buf->base, (size_t)n);
	if (uv_write(&w->req, (uv_stream_t *)&s->other->tcp, &out, 1,
		     on_written))
		free(w);
}

static void on_written(uv_write_t *req, int status)
{
	(void)status;
	free(req);
}

/* Closes both sides; the pair is not freed before the process exits. */
static void close_side(struct side *s)
{
	if (s->open)
		uv_close((uv_handle_t *)&s->tcp, NULL);
	s->open = false;
	if (s->other->open)
		uv_close((uv_handle_t *)&s->other->tcp, NULL);
	s->other->open = false;
}

/* Parses a numeric address; exits the process if it is not one. */
static void resolve(const char *address, struct sockaddr_in *sin)
{
	char host[64];
	uint16_t port;

	if (!address_parse(address, host, sizeof(host), &port))
		errx(1, "%s: not a numeric address", address);
	uv_ip4_addr(host, port, sin);
}
