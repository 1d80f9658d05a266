#ifndef LIB_DEFLATE_H
#define LIB_DEFLATE_H

#include <stddef.h>
#include <stdint.h>

uint8_t *deflate_bytes(const void *data, size_t len, size_t *packed_len);
char *inflate_bytes(const uint8_t *packed, size_t packed_len, size_t plain_len);

#endif /* LIB_DEFLATE_H */
