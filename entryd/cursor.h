#ifndef ENTRYD_CURSOR_H
#define ENTRYD_CURSOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GENERATION_ID_SIZE 17 /* 16 hexadecimal digits */
#define STREAM_NAME_SIZE 64
#define CURSOR_PREFIX_SIZE 160

/* What one attempt's cursors have in common. */
struct cursor {
	char generation[GENERATION_ID_SIZE];
	uint32_t attempt;
	uint64_t endpoint; /* id */
	char stream[STREAM_NAME_SIZE]; /* name at the engine */
	uint32_t position; /* of the token that the cursor came with */
	uint64_t text_hash; /* of the text up to and with that token */
};

enum cursor_outcome {
	CURSOR_OK,
	CURSOR_MALFORMED,
	CURSOR_BAD_MAC, /* the code does not match: altered, or an old key */
};

/* The part that is the same for all tokens of an attempt; org is the id of
 * the organisation that it is bound to. */
void cursor_prefix(const struct cursor *c, uint64_t org, const char *key,
		   char prefix[CURSOR_PREFIX_SIZE]);
int cursor_write(char *out, size_t size, const char *prefix, uint32_t position,
		 uint64_t text_hash);
enum cursor_outcome cursor_parse(const char *text, uint64_t org,
				 const char *key, struct cursor *c);

#endif /* ENTRYD_CURSOR_H */
