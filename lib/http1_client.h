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
	HTTP1_COMPLETE, /* the answer is whole */
	HTTP1_NOT_SENT, /* no connection; the other side got nothing */
	HTTP1_NO_ANSWER, /* the same, and nothing came within connect_ms */
	HTTP1_BROKEN, /* the connection broke after something was sent */
	HTTP1_MALFORMED, /* what came is no answer */
};

/* What to do with the head of an answer. */
enum http1_verdict {
	HTTP1_TAKE,
	HTTP1_SKIP, /* the answer belongs to an earlier request: read past it */
};

/* Each may be NULL.  None is called after on_end or http1_call_cancel(). */
struct http1_call_ops {
	enum http1_verdict (*on_head)(void *arg, const struct http1_head *head);
	void (*on_body)(void *arg, const char *data, size_t len);
	void (*on_end)(void *arg, enum http1_outcome outcome);
};

struct http1_call_options {
	const char *address; /* "a.b.c.d:port" */
	bool head; /* the method is HEAD */
	uint32_t connect_ms; /* longest time to a connection */
	uint32_t
		reuse_ms; /* longest idle time of a kept connection; 0: fresh */
	uint32_t silent_s; /* TCP probes end a silent connection; 0: none */
	uint32_t whole_ms; /* longest time to the end of the answer; 0: any */
};

struct http1_client_stats {
	uint64_t connects;
	uint64_t reuses;
};

struct http1_client *http1_client_new(uv_loop_t *loop);
void http1_client_free(struct http1_client *c);
void http1_client_excuse(struct http1_client *c, uint64_t stall_ms);
void http1_client_tick(struct http1_client *c);
struct http1_client_stats http1_client_stats(const struct http1_client *c);

/* Takes the bytes of the request over, also when the call fails at once; the
 * outcome is always told from the loop.  Without any bytes the call is over,
 * and complete, as soon as its connection stands. */
struct http1_call *http1_call_start(struct http1_client *c,
				    const struct http1_call_options *options,
				    char *request, size_t len,
				    const struct http1_call_ops *ops,
				    void *arg);
void http1_call_cancel(struct http1_call *call);
void http1_call_pause(struct http1_call *call, bool paused);
bool http1_call_connected(const struct http1_call *call);
bool http1_call_unframed(const struct http1_call *call);
bool http1_call_reused(const struct http1_call *call);
const char *http1_outcome_name(enum http1_outcome outcome);

#endif /* LIB_HTTP1_CLIENT_H */
