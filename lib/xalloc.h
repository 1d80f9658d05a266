#ifndef LIB_XALLOC_H
#define LIB_XALLOC_H

#include <stddef.h>

void *xcalloc(size_t n, size_t size);
void *xreallocarray(void *ptr, size_t n, size_t size);
char *xstrdup(const char *s);
char *xstrndup(const char *s, size_t len);
void *xmemdup(const void *src, size_t len);
char *xasprintf(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

#endif /* LIB_XALLOC_H */
