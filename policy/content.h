#ifndef POLICY_CONTENT_H
#define POLICY_CONTENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The fields that a caller's attempts of one request have in common.  Strings
 * are not terminated. */
struct content {
	const char *caller; /* terminated; "" if callers are not known */
	const char *target; /* path and query */
	size_t target_len;
	const char *body;
	size_t body_len;
};

#define CONTENT_PARTS_LOGGED 8

#define CONTENT_TEXT_SIZE 17 /* 16 hexadecimal digits and a NUL */

uint64_t content_hash(const struct content *c);
uint64_t content_part_hash(const char *id, size_t len);
bool content_is_part(uint64_t hash);
void content_text(uint64_t hash, char text[CONTENT_TEXT_SIZE]);
void content_parts_text(const uint64_t *parts, size_t n,
			char text[CONTENT_PARTS_LOGGED * CONTENT_TEXT_SIZE]);

#endif /* POLICY_CONTENT_H */
