/* Fuzzes the event stream parser: input in two parts, split anywhere, gives the
 * same events as input in one part. */
#include <stdlib.h>

#include "lib/event_stream.h"
#include "regress/fuzz/fuzz.h"

/* Returns the number of whole events; sets *length to the sum of their
 * lengths, bytes. */
static size_t read_all(const struct event_stream *s, size_t *length)
{
	struct whole_event e;
	size_t n = 0;

	*length = 0;
	while (event_stream_next(s, *length, &e)) {
		if (!e.len || *length + e.len > s->pending.len)
			abort();
		*length += e.len;
		n++;
	}
	return n;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct event_stream whole = { 0 };
	struct event_stream cut = { 0 };
	size_t at = size ? data[0] % size : 0;
	size_t whole_length;
	size_t cut_length;

	event_stream_add(&whole, (const char *)data, size);
	event_stream_add(&cut, (const char *)data, at);
	read_all(&cut, &cut_length);
	event_stream_add(&cut, (const char *)data + at, size - at);
	if (read_all(&whole, &whole_length) != read_all(&cut, &cut_length) ||
	    whole_length != cut_length)
		abort();
	event_stream_release(&whole);
	event_stream_release(&cut);
	return 0;
}
