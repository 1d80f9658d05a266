#ifndef POLICY_CONTENT_H
#define POLICY_CONTENT_H

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

#define CONTENT_TEXT_SIZE 17 /* 16 hexadecimal digits and a NUL */

uint64_t content_hash(const struct content *c);
void content_text(uint64_t hash, char text[CONTENT_TEXT_SIZE]);

#endif /* POLICY_CONTENT_H */
