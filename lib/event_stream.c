/*
 * Server-sent events as they come from an endpoint: cut into whole events, so
 * that one which its endpoint left half-way is never passed on.
 */
#include "lib/event_stream.h"

#include <string.h>

#define ID_DIGITS_MAX 18 /* no overflow of 64 bits */

static size_t event_length(const char *data, size_t len);
static void read_id(struct whole_event *event);

/* Adds bytes as they were read. */
void event_stream_add(struct event_stream *s, const char *data, size_t len)
{
	bytes_add(&s->pending, data, len);
}

/* Finds the whole event that begins at an offset; false if there is none. */
bool event_stream_next(const struct event_stream *s, size_t offset,
		       struct whole_event *event)
{
	if (offset >= s->pending.len)
		return false;
	event->data = s->pending.data + offset;
	event->len = event_length(event->data, s->pending.len - offset);
	if (!event->len)
		return false;
	read_id(event);
	return true;
}

/* Drops the first len bytes. */
void event_stream_consume(struct event_stream *s, size_t len)
{
	bytes_consume(&s->pending, len);
}

/* Frees what is pending, an event that was cut off included. */
void event_stream_release(struct event_stream *s)
{
	bytes_release(&s->pending);
}

/* Returns the length of the event at data with its empty line; 0 if it is not
 * whole. */
static size_t event_length(const char *data, size_t len)
{
	size_t line = 0; /* start of the current one */
	size_t i;

	for (i = 0; i < len; i++) {
		if (data[i] != '\n')
			continue;
		if (i == line || (i == line + 1 && data[line] == '\r'))
			return i + 1;
		line = i + 1;
	}
	return 0;
}

/* Reads the number in the event's id line, if it has one. */
static void read_id(struct whole_event *event)
{
	const char *p = event->data;
	const char *end = p + event->len;

	event->has_id = false;
	event->id = 0;
	while (p < end) {
		const char *eol = memchr(p, '\n', (size_t)(end - p));
		const char *digit = p + 3;
		int n = 0;

		if (end - p > 3 && !memcmp(p, "id:", 3)) {
			while (*digit == ' ')
				digit++;
			event->id = 0;
			while (*digit >= '0' && *digit <= '9' &&
			       n++ < ID_DIGITS_MAX)
				event->id = event->id * 10 +
					    (uint64_t)(*digit++ - '0');
			event->has_id = n > 0;
		}
		p = eol ? eol + 1 : end;
	}
}
