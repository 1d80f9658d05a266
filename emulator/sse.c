/*
 * Parses server-sent events, for emulated callers.
 */
#include "emulator/sse.h"

#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"

static void append(struct sse_buffer *b, const char *bytes, size_t len);
static const char *text(const struct sse_buffer *b);
static void parse_line(struct sse *s);
static void dispatch_event(struct sse *s);
static const char *field(const char *line, const char *name);

/* Initializes a parser that calls on_event for each event. */
void sse_init(struct sse *s,
	      void (*on_event)(void *arg, const struct sse_event *event),
	      void *arg)
{
	*s = (struct sse){ .on_event = on_event, .arg = arg };
}

/* Parses the next part of the body. */
void sse_feed(struct sse *s, const char *bytes, size_t len)
{
	while (len) {
		const char *end = memchr(bytes, '\n', len);
		size_t n = end ? (size_t)(end - bytes) : len;

		append(&s->line, bytes, n);
		if (!end)
			return;
		parse_line(s);
		bytes += n + 1;
		len -= n + 1;
	}
}

/* Frees the buffers. */
void sse_release(struct sse *s)
{
	free(s->line.data);
	free(s->event.data);
	free(s->id.data);
	free(s->data.data);
}

/* Appends bytes to a buffer and terminates it with a NUL. */
static void append(struct sse_buffer *b, const char *bytes, size_t len)
{
	if (b->size - b->len < len + 1) {
		b->size = (b->len + len + 1) * 2;
		b->data = xreallocarray(b->data, b->size, 1);
	}
	memcpy(b->data + b->len, bytes, len);
	b->len += len;
	b->data[b->len] = '\0';
}

/* Returns a buffer's text. */
static const char *text(const struct sse_buffer *b)
{
	return b->len ? b->data : "";
}

/* Parses a complete line; an empty line ends the event. */
static void parse_line(struct sse *s)
{
	const char *line = text(&s->line);
	const char *value;

	if (!*line) {
		dispatch_event(s);
	} else if ((value = field(line, "data"))) {
		if (s->has_data)
			append(&s->data, "\n", 1);
		append(&s->data, value, strlen(value));
		s->has_data = true;
	} else if ((value = field(line, "id"))) {
		s->id.len = 0;
		append(&s->id, value, strlen(value));
	} else if ((value = field(line, "event"))) {
		s->event.len = 0;
		append(&s->event, value, strlen(value));
	}
	s->line.len = 0;
}

/* Calls on_event, unless the event has neither data nor a name. */
static void dispatch_event(struct sse *s)
{
	struct sse_event event = {
		.event = text(&s->event),
		.id = text(&s->id),
		.data = text(&s->data),
		.data_len = s->data.len,
	};

	if (s->has_data || s->event.len)
		s->on_event(s->arg, &event);
	s->event.len = 0;
	s->data.len = 0;
	s->has_data = false;
}

/* Returns the value of a line "name: value", or NULL. */
static const char *field(const char *line, const char *name)
{
	size_t len = strlen(name);

	if (strncmp(line, name, len) != 0 || line[len] != ':')
		return NULL;
	return line + len + 1 + (line[len + 1] == ' ');
}
