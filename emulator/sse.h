#ifndef EMULATOR_SSE_H
#define EMULATOR_SSE_H

#include <stdbool.h>
#include <stddef.h>

/* One server-sent event; the strings are valid during the callback. */
struct sse_event {
	const char *event; /* "" if not named */
	const char *id; /* last one received, or "" */
	const char *data;
	size_t data_len;
};

struct sse_buffer {
	char *data;
	size_t len;
	size_t size;
};

/* Incremental parser of server-sent events. */
struct sse {
	void (*on_event)(void *arg, const struct sse_event *event);
	void *arg;
	struct sse_buffer line;
	struct sse_buffer event;
	struct sse_buffer id;
	struct sse_buffer data;
	bool has_data;
};

void sse_init(struct sse *s,
	      void (*on_event)(void *arg, const struct sse_event *event),
	      void *arg);
void sse_feed(struct sse *s, const char *bytes, size_t len);
void sse_release(struct sse *s);

#endif /* EMULATOR_SSE_H */
