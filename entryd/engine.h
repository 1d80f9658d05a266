#ifndef ENTRYD_ENGINE_H
#define ENTRYD_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/httpc.h"

/* Why an engine's stream ended before its answer was complete. */
enum engine_failure {
	ENGINE_UNREACHABLE, /* connect failed; nothing has run */
	ENGINE_BUSY, /* rejected because the queue is full; nothing has run */
	ENGINE_UNKNOWN_STREAM, /* attach: the engine has no such stream */
	ENGINE_REFUSED, /* rejected for another reason */
	ENGINE_BROKEN, /* the connection broke */
	ENGINE_MALFORMED, /* the response violates the interface */
};

struct engine_start {
	const char *address;
	const char *stream; /* name, unique per attempt */
	const char *prompt;
	const char *text; /* generated so far */
	size_t text_len;
	uint32_t position; /* number of tokens in text */
	uint32_t max_tokens;
	int priority; /* 0 to 9 */
};

/* Events of a stream.  No callback runs after on_done, on_failed or detach. */
struct engine_events {
	void (*on_started)(void *arg, uint64_t salt);
	void (*on_token)(void *arg, uint32_t position, const char *text,
			 size_t len);
	/* all tokens of one read were delivered; output can be flushed */
	void (*on_pause)(void *arg);
	void (*on_done)(void *arg, uint32_t n);
	void (*on_failed)(void *arg, enum engine_failure failure);
};

struct engine;
struct engine_stream;

struct engine_ops {
	struct engine_stream *(*start)(struct engine *engine,
				       const struct engine_start *start,
				       const struct engine_events *events,
				       void *arg);
	/* reads a running stream again, starting at token from */
	struct engine_stream *(*attach)(struct engine *engine,
					const char *address, const char *stream,
					uint32_t from,
					const struct engine_events *events,
					void *arg);
	/* stops reading; the engine continues for a while */
	void (*detach)(struct engine_stream *s);
	void (*cancel)(struct engine *engine, const char *address,
		       const char *stream);
	void (*pause)(struct engine_stream *s, bool paused);
	void (*free)(struct engine *engine);
};

struct engine {
	const struct engine_ops *ops;
};

const char *engine_failure_text(enum engine_failure failure);
struct engine *engine_http_new(struct httpc *client);

#endif /* ENTRYD_ENGINE_H */
