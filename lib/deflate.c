/*
 * zlib compression of messages that are sent to many instances.
 */
#include "lib/deflate.h"

#include <stdlib.h>
#include <zlib.h>

#include "lib/xalloc.h"

#define PLAIN_MAX_BYTES (64u << 20)

/* Compresses len bytes.  Returns the compressed bytes, which the caller frees,
 * and sets *packed_len to their number. */
uint8_t *deflate_bytes(const void *data, size_t len, size_t *packed_len)
{
	uLongf size = compressBound(len);
	uint8_t *packed = xcalloc(size, 1);

	if (compress2(packed, &size, data, len, Z_BEST_SPEED) != Z_OK)
		abort();
	*packed_len = size;
	return packed;
}

/* Decompresses packed_len bytes.  Returns the plain bytes, null-terminated,
 * which the caller frees; NULL if the input is malformed, does not expand to
 * exactly plain_len bytes, or plain_len exceeds PLAIN_MAX_BYTES. */
char *inflate_bytes(const uint8_t *packed, size_t packed_len, size_t plain_len)
{
	uLongf size = plain_len;
	char *plain;

	if (plain_len > PLAIN_MAX_BYTES)
		return NULL;
	plain = xcalloc(plain_len + 1, 1);
	if (uncompress((Bytef *)plain, &size, packed, packed_len) == Z_OK &&
	    size == plain_len)
		return plain;
	free(plain);
	return NULL;
}
