#ifndef EMULATOR_CHAIN_H
#define EMULATOR_CHAIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* needed to copy the hash state by value for each digest */
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

/* Size in bytes of "POSITION.SALT.DIGEST " and the final NUL. */
#define CHAIN_TOKEN_SIZE 48
#define CHAIN_PROMPT_TOKEN_BYTES 4 /* bytes per prompt token */

enum chain_fault {
	CHAIN_GOOD,
	CHAIN_MALFORMED, /* not a token */
	CHAIN_REPEATED, /* position lower than expected */
	CHAIN_MISSING, /* position higher than expected */
	CHAIN_FOREIGN, /* digest does not match the preceding text */
	CHAIN_TORN, /* answer ends within a token */
};

/* Digest state over the prompt and the text so far. */
struct chain {
	XXH64_state_t state;
	uint64_t position; /* of the next token */
	char partial[CHAIN_TOKEN_SIZE];
	size_t partial_len;
	enum chain_fault fault; /* first one found */
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
