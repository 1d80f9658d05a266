#ifndef LIB_HTTPC_H
#define LIB_HTTPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/* How an exchange ended.  Only HTTPC_CONNECT_FAILED proves that the other
 * side got no byte of the request. */
enum httpc_outcome {
	HTTPC_OK, /* the answer is whole */
	HTTPC_CONNECT_FAILED,
	HTTPC_BROKEN, /* reset, or ended before the answer was whole */
	HTTPC_TIMEOUT, /* sent, then nothing for timeout_ms */
	HTTPC_DROPPED, /* the client was freed; only of httpc_fetch() */
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
	uint32_t timeout_ms; /* silence allowed; 0: no limit */
};

/* Each callback may be NULL.  None is called after on_end, on_dropped or
 * httpc_cancel. */
struct httpc_ops {
	/* the connection stands; the request goes out after it returns true;
	 * false gives the exchange up with nothing sent (on_end follows with
	 * HTTPC_CONNECT_FAILED) */
	bool (*on_connected)(void *arg);
	void (*on_head)(void *arg, int status,
			const struct httpc_header *headers, size_t n);
	void (*on_body)(void *arg, const char *data, size_t len);
	void (*on_end)(void *arg, enum httpc_outcome outcome);
	/* the client is freed with the exchange open: arg is to be released and
	 * nothing else done, as the process stops */
	void (*on_dropped)(void *arg);
};

/* Every exchange has a fresh connection of its own. */
struct httpc *httpc_new(uv_loop_t *loop);
void httpc_free(struct httpc *c); /* drops what is open */
struct httpc_req *httpc_start(struct httpc *c, const struct httpc_request *r,
			      const struct httpc_ops *ops, void *arg);
void httpc_cancel(struct httpc_req *req);
void httpc_pause(struct httpc_req *req, bool paused);
const char *httpc_outcome_name(enum httpc_outcome outcome);

/* Gathers a whole answer (at most 16 MiB) and hands it over at once; status
 * is 0 unless the outcome is HTTPC_OK.  After HTTPC_DROPPED only arg is to be
 * released. */
void httpc_fetch(struct httpc *c, const struct httpc_request *r,
		 void (*done)(void *arg, enum httpc_outcome outcome, int status,
			      const char *body, size_t len),
		 void *arg);

#endif /* LIB_HTTPC_H */
