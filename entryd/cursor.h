#ifndef ENTRYD_CURSOR_H
#define ENTRYD_CURSOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GENERATION_ID_SIZE 17 /* 16 hexadecimal digits */
#define STREAM_NAME_SIZE 64
#define CURSOR_PREFIX_SIZE 160

/* A decoded resume cursor. */
struct cursor {
	char generation[GENERATION_ID_SIZE];
	uint32_t attempt;
	uint64_t endpoint; /* id */
	char stream[STREAM_NAME_SIZE]; /* stream name at the engine */
	uint32_t position; /* of the token that carried the cursor */
	uint64_t text_hash; /* of the text up to and including that token */
};

enum cursor_outcome {
	CURSOR_OK,
	CURSOR_MALFORMED,
	CURSOR_BAD_MAC, /* the MAC does not match: altered, or an old key */
};

/* Writes the part that all cursors of an attempt share; org is the id of the
 * organisation that the cursors are bound to. */
void cursor_prefix(const struct cursor *c, uint64_t org, const char *key,
		   char prefix[CURSOR_PREFIX_SIZE]);
int cursor_write(char *out, size_t size, const char *prefix, uint32_t position,
		 uint64_t text_hash);
enum cursor_outcome cursor_parse(const char *text, uint64_t org,
				 const char *key, struct cursor *c);

#endif /* ENTRYD_CURSOR_H */
