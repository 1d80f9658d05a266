/*
 * Splits the server-sent events received from an endpoint into complete events,
 * so that an event cut off by the endpoint is never forwarded.
 */
#include "lib/event_stream.h"

#include <ctype.h>
#include <string.h>

#define ID_DIGITS_MAX 18 /* always fits into 64 bits */

static size_t event_length(const char *data, size_t len);
static void read_id(struct whole_event *event);
static bool begins_with_field(const char *data);

/* Appends bytes read from the endpoint. */
void event_stream_add(struct event_stream *s, const char *data, size_t len)
{
	bytes_add(&s->pending, data, len);
}

/* Finds the complete event that begins at offset in the pending bytes; returns
 * false if there is none. */
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
	event->is_event = begins_with_field(event->data);
	return true;
}

/* Removes the first len pending bytes. */
void event_stream_consume(struct event_stream *s, size_t len)
{
	bytes_consume(&s->pending, len);
}

/* Frees the pending bytes, including an incomplete event. */
void event_stream_release(struct event_stream *s)
{
	bytes_release(&s->pending);
}

/* Returns the length of the event at data, including the empty line that ends
 * it; 0 if the event is incomplete. */
static size_t event_length(const char *data, size_t len)
{
	size_t line = 0; /* offset of the current line's start */
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

/* Reads the number in the event's id line, if it has one; of several id lines
 * the last counts. */
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

/* Returns whether the event's first line is a field, whose name consists of
 * letters, digits, '-' and '_', or a comment, or is empty.  The head of an
 * answer and JSON are neither. */
static bool begins_with_field(const char *data)
{
	while (isalnum((unsigned char)*data) || *data == '-' || *data == '_')
		data++;
	return *data == ':' || *data == '\r' || *data == '\n';
}
