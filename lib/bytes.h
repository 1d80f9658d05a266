#ifndef LIB_BYTES_H
#define LIB_BYTES_H

#include <stddef.h>

/* A growing byte buffer; a zeroed struct is an empty buffer. */
struct bytes {
	char *data;
	size_t len;
	size_t size; /* allocated */
};

void bytes_add(struct bytes *b, const void *data, size_t len);
void bytes_addf(struct bytes *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void bytes_consume(struct bytes *b, size_t len);
void bytes_release(struct bytes *b);

#endif /* LIB_BYTES_H */
