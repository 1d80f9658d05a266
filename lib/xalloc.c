/*
 * Allocation that never returns NULL.  A daemon that cannot allocate memory
 * cannot answer requests either, so a failed allocation ends the process.
 * Sizes are given as count and element size, so that overflow of the product
 * is detected.
 */
#include "lib/xalloc.h"

#include <err.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Returns zeroed memory for n elements of size bytes. */
void *xcalloc(size_t n, size_t size)
{
	void *p = calloc(n ? n : 1, size ? size : 1);

	if (!p)
		err(1, "allocating %zu elements of %zu bytes", n, size);
	return p;
}

/* Resizes ptr to n elements of size bytes; new bytes are not zeroed. */
void *xreallocarray(void *ptr, size_t n, size_t size)
{
	void *p = reallocarray(ptr, n ? n : 1, size ? size : 1);

	if (!p)
		err(1, "allocating %zu elements of %zu bytes", n, size);
	return p;
}

/* Returns a copy of the string s. */
char *xstrdup(const char *s)
{
	return xstrndup(s, strlen(s));
}

/* Returns a null-terminated copy of the first len bytes of s. */
char *xstrndup(const char *s, size_t len)
{
	char *p = xcalloc(len + 1, 1);

	memcpy(p, s, len);
	return p;
}

/* Returns a copy of len bytes at src. */
void *xmemdup(const void *src, size_t len)
{
	void *p = xcalloc(len, 1);

	if (len)
		memcpy(p, src, len);
	return p;
}

/* Returns a newly allocated string formatted as by printf(3). */
char *xasprintf(const char *fmt, ...)
{
	va_list ap;
	char *s;
	int n;

	va_start(ap, fmt);
	n = vasprintf(&s, fmt, ap);
	va_end(ap);
	if (n < 0)
		err(1, "formatting a string");
	return s;
}
