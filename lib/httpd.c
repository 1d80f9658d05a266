/*
 * HTTP server on h2o and libuv: HTTP/1.1 and HTTP/2 in clear text, with whole
 * and streamed answers.  Writes to a stream are buffered while h2o is sending,
 * so that a slow caller never blocks the loop; httpd_stream_pending() returns
 * the size of the buffers.
 */
#include "lib/httpd.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>

#include "lib/settings.h"
#include "lib/xalloc.h"

#define HTTPD_BACKLOG 1024
#define HTTPD_LISTENERS_MAX 4
#define HTTPD_MAX_BODY_BYTES (4u << 20) /* default, bytes */
#define HTTPD_QUERY_VALUE_MAX 1024 /* bytes of one decoded value */

struct httpd {
	uv_loop_t *loop;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	const struct httpd_route *routes;
	void *arg;
	uv_tcp_t *listeners[HTTPD_LISTENERS_MAX];
	size_t n_listeners;
	size_t open_requests;
	size_t open_connections;
	struct httpd *next;
};

struct httpd_handler {
	h2o_handler_t super;
	struct httpd *server;
};

/* A listener or accepted connection, with its server. */
struct httpd_tcp {
	uv_tcp_t tcp;
	struct httpd *server;
};

struct buffer {
	char *data;
	size_t len;
	size_t size;
};

struct httpd_req {
	h2o_generator_t generator; /* first: cast to struct httpd_req */
	h2o_req_t *req;
	struct httpd *server;
	char *method;
	char *path;
	char *query;
	char *peer;
	void (*on_close)(void *arg);
	void *on_close_arg;
	struct buffer waiting; /* written, not yet passed to h2o */
	struct buffer sending; /* passed to h2o */
	bool begun;
	bool send_in_progress; /* on_proceed() follows */
	bool end_requested; /* by httpd_stream_end() or _abort() */
	bool aborted;
	bool finished; /* h2o has the last send, or the caller left */
};

/* Allocated in h2o's pool, whose disposal shows that the request is over. */
struct httpd_watch {
	struct httpd_req *req;
};

/* All servers: h2o's contexts are never freed. */
static struct httpd *servers;

static int on_request(h2o_handler_t *self, h2o_req_t *req);
static const struct httpd_route *find_route(const struct httpd *s,
					    const char *path);
static struct httpd_req *req_new(struct httpd *s, h2o_req_t *req);
static void on_dispose(void *watch);
static void on_proceed(h2o_generator_t *generator, h2o_req_t *req);
static void on_stop(h2o_generator_t *generator, h2o_req_t *req);
static void flush(struct httpd_req *r);
static void on_connection(uv_stream_t *stream, int status);
static void on_connection_closed(uv_handle_t *h);
static void on_handle_closed(uv_handle_t *h);
static int hex_digit(char c);
static void url_decode(char *s);

/* Creates a server; it accepts no connection before httpd_listen(). */
struct httpd *httpd_new(uv_loop_t *loop, const struct httpd_options *options)
{
	struct httpd *s = xcalloc(1, sizeof(*s));
	struct httpd_handler *handler;
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;

	s->loop = loop;
	s->routes = options->routes;
	s->arg = options->arg;
	h2o_config_init(&s->config);
	s->config.server_name = h2o_iovec_init(H2O_STRLIT("cardamomknot"));
	s->config.max_request_entity_size =
		options->max_body ? options->max_body : HTTPD_MAX_BODY_BYTES;
	host = h2o_config_register_host(
		&s->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (struct httpd_handler *)h2o_create_handler(path,
							     sizeof(*handler));
	handler->super.on_req = on_request;
	handler->server = s;
	h2o_context_init(&s->context, loop, &s->config);
	s->accept.ctx = &s->context;
	s->accept.hosts = s->config.hosts;
	s->next = servers;
	servers = s;
	return s;
}

/* Listens on a numeric address.  Returns 0, or -1 with a message in err on
 * failure. */
int httpd_listen(struct httpd *s, const char *address, char *err,
		 size_t err_size)
{
	struct httpd_tcp *l;
	struct sockaddr_in sin;
	char host[64];
	uint16_t port;
	int rc;

	if (s->n_listeners == HTTPD_LISTENERS_MAX ||
	    !address_parse(address, host, sizeof(host), &port)) {
		snprintf(err, err_size, "%s: not a numeric address", address);
		return -1;
	}
	l = xcalloc(1, sizeof(*l));
	l->server = s;
	uv_tcp_init(s->loop, &l->tcp);
	uv_ip4_addr(host, port, &sin);
	rc = uv_tcp_bind(&l->tcp, (const struct sockaddr *)&sin, 0);
	if (!rc)
		rc = uv_listen((uv_stream_t *)&l->tcp, HTTPD_BACKLOG,
			       on_connection);
	if (rc) {
		snprintf(err, err_size, "listening on %s: %s", address,
			 uv_strerror(rc));
		uv_close((uv_handle_t *)&l->tcp, on_handle_closed);
		return -1;
	}
	s->listeners[s->n_listeners++] = &l->tcp;
	return 0;
}

/* Closes the listeners; open connections stay open. */
void httpd_stop_listening(struct httpd *s)
{
	while (s->n_listeners) {
		uv_tcp_t *l = s->listeners[--s->n_listeners];

		uv_close((uv_handle_t *)l, on_handle_closed);
	}
}

/* Asks callers to stop using their connections: HTTP/2 callers by GOAWAY,
 * HTTP/1.1 callers by "connection: close" on their next answer. */
void httpd_shutdown(struct httpd *s)
{
	if (!s->context.shutdown_requested)
		h2o_context_request_shutdown(&s->context);
}

/* Returns the number of requests in progress. */
size_t httpd_open_requests(const struct httpd *s)
{
	return s->open_requests;
}

/* Returns the number of connections, including idle ones. */
size_t httpd_open_connections(const struct httpd *s)
{
	return s->open_connections;
}

/* Stops listening and shuts connections down.  h2o's own state is never
 * freed. */
void httpd_free(struct httpd *s)
{
	httpd_stop_listening(s);
	httpd_shutdown(s);
}

/* Returns the request's method as sent. */
const char *httpd_method(const struct httpd_req *r)
{
	return r->method;
}

/* Returns the path, decoded, without "." and ".." segments and the query. */
const char *httpd_path(const struct httpd_req *r)
{
	return r->path;
}

/* Returns the query as sent, without its question mark. */
const char *httpd_query(const struct httpd_req *r)
{
	return r->query;
}

/* Copies a decoded query parameter.  Returns false if it is absent or its
 * encoded form does not fit. */
bool httpd_query_get(const struct httpd_req *r, const char *name, char *value,
		     size_t value_size)
{
	size_t name_len = strlen(name);
	const char *p = r->query;

	while (*p) {
		size_t len = strcspn(p, "&");

		if (len > name_len && p[name_len] == '=' &&
		    !memcmp(p, name, name_len)) {
			size_t n = len - name_len - 1;

			if (n >= value_size)
				return false;
			memcpy(value, p + name_len + 1, n);
			value[n] = '\0';
			url_decode(value);
			return true;
		}
		p += len;
		p += *p == '&';
	}
	return false;
}

/* Returns a header's value by its lower-case name, or NULL. */
const char *httpd_header(struct httpd_req *r, const char *name)
{
	ssize_t i = h2o_find_header_by_str(&r->req->headers, name, strlen(name),
					   -1);
	h2o_iovec_t value;

	if (i < 0)
		return NULL;
	value = r->req->headers.entries[i].value;
	return h2o_strdup(&r->req->pool, value.base, value.len).base;
}

/* Returns the body, which is not null-terminated; never NULL. */
const char *httpd_body(const struct httpd_req *r, size_t *len)
{
	*len = r->req->entity.len;
	return r->req->entity.base ? r->req->entity.base : "";
}

/* Returns the caller's address and port. */
const char *httpd_peer(struct httpd_req *r)
{
	h2o_conn_t *conn = r->req->conn;
	struct sockaddr_storage ss;
	char host[64] = "?";
	uint16_t port = 0;

	if (r->peer)
		return r->peer;
	if (conn->callbacks->get_peername(conn, (struct sockaddr *)&ss) > 0 &&
	    ss.ss_family == AF_INET) {
		const struct sockaddr_in *sin = (const void *)&ss;

		inet_ntop(AF_INET, &sin->sin_addr, host, sizeof(host));
		port = ntohs(sin->sin_port);
	}
	r->peer = xasprintf("%s:%u", host, port);
	return r->peer;
}

/* Sets the callback for the end of the request, whether it was answered or the
 * caller disconnected. */
void httpd_on_close(struct httpd_req *r, void (*on_close)(void *arg), void *arg)
{
	r->on_close = on_close;
	r->on_close_arg = arg;
}

/* Adds a header to the answer; to be called before the answer begins. */
void httpd_add_header(struct httpd_req *r, const char *name, const char *value)
{
	h2o_mem_pool_t *pool = &r->req->pool;
	h2o_iovec_t n = h2o_strdup(pool, name, strlen(name));
	h2o_iovec_t v = h2o_strdup(pool, value, strlen(value));

	h2o_add_header_by_str(pool, &r->req->res.headers, n.base, n.len, 1,
			      NULL, v.base, v.len);
}

/* Sends a whole answer. */
void httpd_reply(struct httpd_req *r, int status, const char *type,
		 const void *body, size_t len)
{
	r->req->res.content_length = len;
	httpd_stream_begin(r, status, type);
	httpd_stream_write(r, body, len);
	httpd_stream_end(r);
}

/* Sends a whole JSON answer formatted as by printf(3); the caller encodes the
 * strings in it. */
void httpd_reply_json(struct httpd_req *r, int status, const char *fmt, ...)
{
	char *text = NULL;
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vasprintf(&text, fmt, ap);
	va_end(ap);
	assert(n >= 0);
	httpd_reply(r, status, "application/json", text, (size_t)n);
	free(text);
}

/* Starts a streamed answer.  Nothing is sent until the first write or end. */
void httpd_stream_begin(struct httpd_req *r, int status, const char *type)
{
	assert(!r->begun);
	r->begun = true;
	r->req->res.status = status;
	r->req->res.reason = "";
	httpd_add_header(r, "content-type", type);
	h2o_start_response(r->req, &r->generator);
}

/* Sends bytes of a streamed answer. */
void httpd_stream_write(struct httpd_req *r, const void *data, size_t len)
{
	struct buffer *b = &r->waiting;

	assert(r->begun && !r->end_requested);
	if (b->size - b->len < len) {
		b->size = (b->len + len) * 2;
		b->data = xreallocarray(b->data, b->size, 1);
	}
	if (len)
		memcpy(b->data + b->len, data, len);
	b->len += len;
	flush(r);
}

/* Returns the number of written bytes that h2o has not yet sent. */
size_t httpd_stream_pending(const struct httpd_req *r)
{
	return r->waiting.len + r->sending.len;
}

/* Ends a streamed answer. */
void httpd_stream_end(struct httpd_req *r)
{
	assert(r->begun);
	r->end_requested = true;
	flush(r);
}

/* Aborts a streamed answer so that the caller detects that it is incomplete. */
void httpd_stream_abort(struct httpd_req *r)
{
	assert(r->begun);
	r->end_requested = true;
	r->aborted = true;
	flush(r);
}

/* Called by h2o with a request: calls the route's handler or answers 404. */
static int on_request(h2o_handler_t *self, h2o_req_t *req)
{
	struct httpd *s = ((struct httpd_handler *)self)->server;
	struct httpd_req *r = req_new(s, req);
	const struct httpd_route *route = find_route(s, r->path);
	static const char missing[] = "{\"error\": \"no such path\"}\n";

	if (route)
		route->handle(r, s->arg);
	else
		httpd_reply(r, 404, "application/json", missing,
			    sizeof(missing) - 1);
	return 0;
}

/* Returns the first route that matches a path, or NULL. */
static const struct httpd_route *find_route(const struct httpd *s,
					    const char *path)
{
	const struct httpd_route *route;

	for (route = s->routes; route->path; route++) {
		size_t len = strlen(route->path);

		if (!strcmp(route->path, path))
			return route;
		if (route->path[len - 1] == '/' &&
		    !strncmp(route->path, path, len))
			return route;
	}
	return NULL;
}

/* Creates the state of a request, which on_dispose() frees with h2o's
 * request. */
static struct httpd_req *req_new(struct httpd *s, h2o_req_t *req)
{
	struct httpd_req *r = xcalloc(1, sizeof(*r));
	struct httpd_watch *watch =
		h2o_mem_alloc_shared(&req->pool, sizeof(*watch), on_dispose);

	watch->req = r;
	r->generator.proceed = on_proceed;
	r->generator.stop = on_stop;
	r->req = req;
	r->server = s;
	r->method = xstrndup(req->method.base, req->method.len);
	r->path = xstrndup(req->path_normalized.base, req->path_normalized.len);
	if (req->query_at != SIZE_MAX && req->query_at < req->path.len)
		r->query = xstrndup(req->path.base + req->query_at + 1,
				    req->path.len - req->query_at - 1);
	else
		r->query = xstrdup("");
	s->open_requests++;
	return r;
}

/* Called by h2o at the end of a request: calls on_close and frees the state. */
static void on_dispose(void *p)
{
	struct httpd_req *r = ((struct httpd_watch *)p)->req;

	r->server->open_requests--;
	if (r->on_close)
		r->on_close(r->on_close_arg);
	free(r->method);
	free(r->path);
	free(r->query);
	free(r->peer);
	free(r->waiting.data);
	free(r->sending.data);
	free(r);
}

/* Called by h2o once it has sent the last buffer. */
static void on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	struct httpd_req *r = (struct httpd_req *)generator;

	(void)req;
	r->send_in_progress = false;
	r->sending.len = 0;
	flush(r);
}

/* Called by h2o when the caller has disconnected; on_dispose() follows. */
static void on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
	struct httpd_req *r = (struct httpd_req *)generator;

	(void)req;
	r->finished = true;
}

/* Passes the buffered bytes to h2o unless it is still sending. */
static void flush(struct httpd_req *r)
{
	h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
	struct buffer swap;
	h2o_iovec_t vec;

	if (r->send_in_progress || r->finished)
		return;
	if (!r->waiting.len && !r->end_requested)
		return;
	swap = r->sending;
	r->sending = r->waiting;
	r->waiting = swap;
	r->waiting.len = 0;
	r->send_in_progress = true;
	if (r->end_requested) {
		r->finished = true;
		state = r->aborted ? H2O_SEND_STATE_ERROR
				   : H2O_SEND_STATE_FINAL;
	}
	vec = h2o_iovec_init(r->sending.data, r->sending.len);
	h2o_send(r->req, &vec, vec.len ? 1 : 0, state);
}

/* Accepts a connection and passes it to h2o. */
static void on_connection(uv_stream_t *stream, int status)
{
	struct httpd *s = ((struct httpd_tcp *)stream)->server;
	struct httpd_tcp *c;
	h2o_socket_t *sock;

	if (status < 0)
		return;
	c = xcalloc(1, sizeof(*c));
	c->server = s;
	uv_tcp_init(stream->loop, &c->tcp);
	s->open_connections++;
	if (uv_accept(stream, (uv_stream_t *)&c->tcp) < 0) {
		uv_close((uv_handle_t *)&c->tcp, on_connection_closed);
		return;
	}
	uv_tcp_nodelay(&c->tcp, 1);
	sock = h2o_uv_socket_create((uv_stream_t *)&c->tcp,
				    on_connection_closed);
	h2o_accept(&s->accept, sock);
}

/* Frees a closed connection. */
static void on_connection_closed(uv_handle_t *h)
{
	struct httpd_tcp *c = (struct httpd_tcp *)h;

	c->server->open_connections--;
	free(c);
}

/* Frees a closed listener. */
static void on_handle_closed(uv_handle_t *h)
{
	free(h);
}

/* Returns the value of a hexadecimal digit, or -1. */
static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

/* Decodes percent escapes and plus signs in place. */
static void url_decode(char *s)
{
	char *out = s;

	while (*s) {
		int high = -1;
		int low = -1;

		if (*s == '%' && s[1]) {
			high = hex_digit(s[1]);
			low = hex_digit(s[2]);
		}
		if (high >= 0 && low >= 0) {
			*out++ = (char)(high * 16 + low);
			s += 3;
		} else {
			*out++ = *s == '+' ? ' ' : *s;
			s++;
		}
	}
	*out = '\0';
}
