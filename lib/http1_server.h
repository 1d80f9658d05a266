#ifndef LIB_HTTP1_SERVER_H
#define LIB_HTTP1_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "lib/http1.h"

struct http1_server;
struct http1_conn;

/* A complete request; valid until it is answered or its caller disconnects. */
struct http1_request {
	struct http1_head head;
	const char *body;
	size_t body_len;
	uint64_t received_ms; /* loop time at which its first byte was read */
};

/* Limits for the size and duration of requests and for idle connections.
 * idle_ms also limits the time in which no byte of a body is received, or none
 * of an answer is taken; for an answer it is 10000 at least. */
struct http1_limits {
	size_t header_bytes;
	size_t body_bytes;
	uint32_t header_ms;
	uint32_t idle_ms;
};

/* Why the server ends a connection that is not after a complete answer. */
enum http1_end {
	HTTP1_END_IDLE, /* no request for too long */
	HTTP1_END_REFUSED, /* refused by the server itself, see the status */
	HTTP1_END_ABORTED, /* its answer had begun and can't be completed */
	/* its caller ended its input, and nothing shows that it still receives */
	HTTP1_END_UNKNOWN,
	HTTP1_END_NO_DESCRIPTOR, /* the same, as it can't be watched */
	HTTP1_END_LINGER, /* not read on after its last answer, for a limit */
	HTTP1_END_PROCESS, /* the server ends */
};

/* The state of a connection that the server ends. */
struct http1_ended {
	enum http1_end why;
	const char *state; /* what it was doing */
	int status; /* of the refusal, 0: none */
	uint64_t idle_ms; /* since its state changed, loop time */
	size_t parsed; /* bytes of an unfinished request */
	size_t unread; /* bytes in the socket, not yet read */
	size_t unsent; /* bytes of answers, not yet sent */
	size_t unreceived; /* bytes sent that the caller's host has not got */
	/* an answer was handed over whole, and a part of it is not sent, or was
	 * sent and may be discarded by a reset */
	bool cut;
};

struct http1_server_ops {
	void (*on_request)(struct http1_conn *c, struct http1_request *r,
			   void *arg);
	/* the caller disconnected before its answer was complete; the owner
	 * set with http1_set_owner() must not use the connection again */
	void (*on_gone)(void *owner);
	/* all queued bytes have been sent; may be NULL */
	void (*on_sent)(void *owner);
	/* the server ends a connection without a complete answer, or before it
	 * is known to have arrived, or refuses a request itself; may be NULL */
	void (*on_end)(const struct http1_ended *ended, void *arg);
};

struct http1_server *http1_server_new(uv_loop_t *loop,
				      const struct http1_server_ops *ops,
				      void *arg);
int http1_server_listen(struct http1_server *s, const char *address, char *err,
			size_t err_size);
void http1_server_limits(struct http1_server *s,
			 const struct http1_limits *limits);
void http1_server_disable_keepalive(struct http1_server *s);
void http1_server_tick(struct http1_server *s);
bool http1_server_busy(const struct http1_server *s);
void http1_server_report_open(struct http1_server *s);
const char *http1_end_text(enum http1_end why);
void http1_server_free(struct http1_server *s);

void http1_set_owner(struct http1_conn *c, void *owner);
void http1_reply(struct http1_conn *c, int status, const char *headers,
		 const void *body, size_t len);
void http1_reply_unframed(struct http1_conn *c, int status, const char *headers,
			  const void *body, size_t len);
void http1_stream_begin(struct http1_conn *c, int status, const char *headers);
void http1_stream_write(struct http1_conn *c, const void *data, size_t len);
void http1_stream_end(struct http1_conn *c);
void http1_abort(struct http1_conn *c);
size_t http1_pending(const struct http1_conn *c);

#endif /* LIB_HTTP1_SERVER_H */
