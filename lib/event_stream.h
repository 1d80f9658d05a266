#ifndef LIB_EVENT_STREAM_H
#define LIB_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/bytes.h"

/* Splits a stream of server-sent events; a zeroed struct begins a stream. */
struct event_stream {
	struct bytes pending; /* begins at an event, complete or not */
};

/* A complete event; its data is valid until the stream changes. */
struct whole_event {
	const char *data; /* including the empty line that ends it */
	size_t len;
	bool has_id;
	bool is_event; /* it begins with a field or a comment */
	uint64_t id;
};

void event_stream_add(struct event_stream *s, const char *data, size_t len);
bool event_stream_next(const struct event_stream *s, size_t offset,
		       struct whole_event *event);
void event_stream_consume(struct event_stream *s, size_t len);
void event_stream_release(struct event_stream *s);

#endif /* LIB_EVENT_STREAM_H */
