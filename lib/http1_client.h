#ifndef LIB_HTTP1_CLIENT_H
#define LIB_HTTP1_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "lib/http1.h"

struct http1_client;
struct http1_call;

/* How a call ended. */
enum http1_outcome {
	HTTP1_COMPLETE, /* the whole answer was received */
	HTTP1_NOT_SENT, /* refused; the server received nothing */
	HTTP1_UNREACHABLE, /* there was no way to the server's host */
	HTTP1_NO_SOCKET, /* this process had no descriptor or port for it */
	HTTP1_CONNECT_TIMEOUT, /* no connection within the time limit */
	HTTP1_BROKEN, /* connection broken, or timeout, after sending */
	HTTP1_MALFORMED, /* the received bytes are no valid answer */
};

/* What to do with the head of an answer. */
enum http1_head_decision {
	HTTP1_ACCEPT,
	/* accept a refusal: a server that writes it once more must not be
	 * believed, so the connection carries no later call with this tag */
	HTTP1_ACCEPT_REFUSAL,
	HTTP1_SKIP, /* the answer to an earlier request: discard it */
};

/* Each may be NULL.  None is called after on_end or http1_call_cancel(). */
struct http1_call_ops {
	enum http1_head_decision (*on_head)(void *arg,
					    const struct http1_head *head);
	void (*on_body)(void *arg, const char *data, size_t len);
	void (*on_end)(void *arg, enum http1_outcome outcome);
};

struct http1_call_options {
	const char *address; /* "a.b.c.d:port" */
	uint64_t tag; /* the same in repeats of a request; 0: none */
	bool head; /* the method is HEAD: no body follows */
	uint32_t connect_timeout_ms; /* from the start of the call */
	uint32_t max_idle_ms; /* of a reused connection; 0: use a new one */
	uint32_t keepalive_s; /* TCP keepalive timeout; 0: none */
	uint32_t timeout_ms; /* to the end of the answer; 0: none */
};

/* When the connection of a call was established, at the latest, and when its request
 * was begun to be written: numbers that order what a client has done, also within a
 * millisecond; 0: not yet. */
struct http1_moments {
	uint64_t opened;
	uint64_t sent;
};

/* Counts since the client was created. */
struct http1_client_stats {
	uint64_t connects;
	uint64_t reuses;
};

struct http1_client *http1_client_new(uv_loop_t *loop);
void http1_client_free(struct http1_client *c);
void http1_client_discount_stall(struct http1_client *c, uint64_t stall_ms);
void http1_client_tick(struct http1_client *c);
struct http1_client_stats http1_client_stats(const struct http1_client *c);

/* Takes ownership of the allocated request bytes, also if the call fails at
 * once; on_end is always called from the loop.  With len 0 the call is complete
 * as soon as its connection is established. */
struct http1_call *http1_call_start(struct http1_client *c,
				    const struct http1_call_options *options,
				    char *request, size_t len,
				    const struct http1_call_ops *ops,
				    void *arg);
void http1_call_cancel(struct http1_call *call);
void http1_call_reassign(struct http1_call *call,
			 const struct http1_call_ops *ops, void *arg);
void http1_call_pause(struct http1_call *call, bool paused);
bool http1_call_paused(const struct http1_call *call);
uint64_t http1_call_opened_ms(const struct http1_call *call);
struct http1_moments http1_call_moments(const struct http1_call *call);
uint64_t http1_call_process(const struct http1_call *call);
bool http1_call_received(const struct http1_call *call);
uint64_t http1_client_moment(struct http1_client *c);
bool http1_client_has_idle(const struct http1_client *c, const char *address);
bool http1_client_outlasts(const struct http1_client *c, const char *address,
			   uint64_t moment);
bool http1_client_spans(const struct http1_client *c, const char *address,
			uint64_t since_ms);
void http1_call_name_process(struct http1_call *call, uint64_t process);
bool http1_client_spans_process(const struct http1_client *c,
				const char *address, uint64_t since_ms,
				uint64_t process);
bool http1_call_connected(const struct http1_call *call);
bool http1_call_unframed(const struct http1_call *call);
bool http1_call_reused(const struct http1_call *call);
const char *http1_outcome_name(enum http1_outcome outcome);
bool http1_not_connected(enum http1_outcome outcome);

#endif /* LIB_HTTP1_CLIENT_H */
