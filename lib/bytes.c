/*
 * Growing byte buffers.
 */
#include "lib/bytes.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"

#define BYTES_INITIAL 512 /* bytes of the first allocation */

static void reserve(struct bytes *b, size_t len);

/* Appends len bytes. */
void bytes_add(struct bytes *b, const void *data, size_t len)
{
	if (!len)
		return;
	reserve(b, len);
	memcpy(b->data + b->len, data, len);
	b->len += len;
}

/* Appends text formatted as by printf(3), without its terminator. */
void bytes_addf(struct bytes *b, const char *fmt, ...)
{
	char *text = NULL;
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vasprintf(&text, fmt, ap);
	va_end(ap);
	if (n < 0)
		abort();
	bytes_add(b, text, (size_t)n);
	free(text);
}

/* Removes the first len bytes; len is at most b->len. */
void bytes_consume(struct bytes *b, size_t len)
{
	b->len -= len;
	if (b->len)
		memmove(b->data, b->data + len, b->len);
}

/* Frees the memory and leaves b an empty buffer. */
void bytes_release(struct bytes *b)
{
	free(b->data);
	memset(b, 0, sizeof(*b));
}

/* Ensures that len more bytes fit, at least doubling a buffer that grows. */
static void reserve(struct bytes *b, size_t len)
{
	if (b->size - b->len >= len)
		return;
	b->size = b->size ? b->size * 2 : BYTES_INITIAL;
	if (b->size < b->len + len)
		b->size = b->len + len;
	b->data = xreallocarray(b->data, b->size, 1);
}
