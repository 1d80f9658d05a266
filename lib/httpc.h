#ifndef LIB_HTTPC_H
#define LIB_HTTPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/* How an exchange ended.  Only HTTPC_CONNECT_FAILED proves that the server
 * received no byte of the request. */
enum httpc_outcome {
	HTTPC_OK, /* the whole answer was received */
	HTTPC_CONNECT_FAILED,
	HTTPC_BROKEN, /* reset, closed early, or no valid answer */
	HTTPC_TIMEOUT, /* sent, then nothing received for timeout_ms */
	HTTPC_DROPPED, /* the client was freed; from httpc_fetch() only */
};

struct httpc;
struct httpc_req;

struct httpc_header {
	const char *name; /* lower case */
	const char *value;
};

struct httpc_request {
	const char *method;
	const char *address; /* "a.b.c.d:port" */
	const char *path; /* with the query */
	const struct httpc_header *headers;
	size_t n_headers;
	const void *body; /* copied */
	size_t body_len;
	uint32_t connect_timeout_ms; /* 0: 1000 */
	uint32_t timeout_ms; /* without progress; 0: no limit */
};

/* Each callback may be NULL.  None is called after on_end, on_dropped or
 * httpc_cancel. */
struct httpc_ops {
	/* the connection is established; true sends the request, false ends
	 * the exchange with nothing sent (on_end follows with
	 * HTTPC_CONNECT_FAILED) */
	bool (*on_connected)(void *arg);
	void (*on_head)(void *arg, int status,
			const struct httpc_header *headers, size_t n);
	void (*on_body)(void *arg, const char *data, size_t len);
	void (*on_end)(void *arg, enum httpc_outcome outcome);
	/* the client is freed while the exchange is open: release arg and do
	 * nothing else, as the process is stopping */
	void (*on_dropped)(void *arg);
};

/* Every exchange opens a connection of its own. */
struct httpc *httpc_new(uv_loop_t *loop);
void httpc_free(struct httpc *c); /* drops open exchanges */
struct httpc_req *httpc_start(struct httpc *c, const struct httpc_request *r,
			      const struct httpc_ops *ops, void *arg);
void httpc_cancel(struct httpc_req *req);
void httpc_pause(struct httpc_req *req, bool paused);
const char *httpc_outcome_name(enum httpc_outcome outcome);

/* Collects a whole answer (at most 16 MiB) and passes it to done; status is 0
 * unless the outcome is HTTPC_OK.  On HTTPC_DROPPED done must only release
 * arg. */
void httpc_fetch(struct httpc *c, const struct httpc_request *r,
		 void (*done)(void *arg, enum httpc_outcome outcome, int status,
			      const char *body, size_t len),
		 void *arg);

#endif /* LIB_HTTPC_H */
