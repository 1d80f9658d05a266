#ifndef LIB_HTTPD_H
#define LIB_HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct httpd;
struct httpd_req;

/* A path and its handler; a path with a trailing '/' matches all paths below
 * it. */
struct httpd_route {
	const char *path;
	void (*handle)(struct httpd_req *req, void *arg);
};

struct httpd_options {
	const struct httpd_route *routes; /* ends with a NULL path */
	void *arg; /* passed to the handlers */
	size_t max_body; /* bytes, 0: 4 MiB; larger bodies get 413 */
};

/* The server owns its listeners and connections, all on one loop. */
struct httpd *httpd_new(uv_loop_t *loop, const struct httpd_options *options);
int httpd_listen(struct httpd *s, const char *address, char *err,
		 size_t err_size);
void httpd_stop_listening(struct httpd *s);
void httpd_shutdown(struct httpd *s); /* GOAWAY, connection: close */
size_t httpd_open_requests(const struct httpd *s);
size_t httpd_open_connections(const struct httpd *s);
void httpd_free(struct httpd *s);

/* The request; the strings are valid until it is over. */
const char *httpd_method(const struct httpd_req *req);
const char *httpd_path(const struct httpd_req *req); /* without the query */
const char *httpd_query(const struct httpd_req *req); /* or "" */
bool httpd_query_get(const struct httpd_req *req, const char *name, char *value,
		     size_t value_size);
const char *httpd_header(struct httpd_req *req, const char *name);
const char *httpd_body(const struct httpd_req *req, size_t *len);
const char *httpd_peer(struct httpd_req *req); /* "address:port" */

/* The caller may disconnect at any time.  on_close is called exactly once when
 * the request is over; req must not be used after it. */
void httpd_on_close(struct httpd_req *req, void (*on_close)(void *arg),
		    void *arg);

/* A whole answer.  The calls copy their arguments. */
void httpd_add_header(struct httpd_req *req, const char *name,
		      const char *value);
void httpd_reply(struct httpd_req *req, int status, const char *type,
		 const void *body, size_t len);
void httpd_reply_json(struct httpd_req *req, int status, const char *fmt, ...);

/* A streamed answer: begin once, write any number of times, then end or abort.
 * The caller can detect that an aborted answer is incomplete. */
void httpd_stream_begin(struct httpd_req *req, int status, const char *type);
void httpd_stream_write(struct httpd_req *req, const void *data, size_t len);
size_t httpd_stream_pending(const struct httpd_req *req); /* unsent bytes */
void httpd_stream_end(struct httpd_req *req);
void httpd_stream_abort(struct httpd_req *req);

#endif /* LIB_HTTPD_H */
