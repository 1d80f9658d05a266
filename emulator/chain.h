#ifndef EMULATOR_CHAIN_H
#define EMULATOR_CHAIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* for the state by value, which is copied for each digest */
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

/* "p.SALT.DIGEST " with the longest position, and the final NUL. */
#define CHAIN_TOKEN_SIZE 48
#define CHAIN_PROMPT_TOKEN_BYTES 4 /* a prompt's token has so many */

enum chain_fault {
	CHAIN_GOOD,
	CHAIN_MALFORMED, /* not the text of a token */
	CHAIN_REPEATED, /* a position that was there before */
	CHAIN_MISSING, /* a position that comes too early */
	CHAIN_FOREIGN, /* its digest does not follow from the text before */
	CHAIN_TORN, /* the answer ends within a token */
};

/* The prompt and the text so far; a token follows from both. */
struct chain {
	XXH64_state_t state;
	uint64_t position; /* of the next token */
	char partial[CHAIN_TOKEN_SIZE];
	size_t partial_len;
	enum chain_fault fault; /* the first one found */
};

void chain_start(struct chain *c, const char *prompt, size_t len);
void chain_append(struct chain *c, const char *text, size_t len,
		  uint64_t position);
size_t chain_make_token(struct chain *c, uint32_t salt,
			char token[CHAIN_TOKEN_SIZE]);
enum chain_fault chain_check(struct chain *c, const char *text, size_t len);
enum chain_fault chain_finish(const struct chain *c);
size_t chain_write_number(char *out, uint64_t n);
const char *chain_fault_name(enum chain_fault fault);

#endif /* EMULATOR_CHAIN_H */
