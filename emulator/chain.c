/*
 * The chain of tokens that stand-in engines generate.  Each token holds its
 * position and a digest of the prompt, of all preceding text and of a salt
 * that is drawn at each start of an engine.  Verification fails on a missing,
 * repeated or foreign token and on a mix of two generations.  A correct resume
 * on another engine passes.
 */
#include "emulator/chain.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define SALT_DIGITS 8
#define DIGEST_DIGITS 16

static uint64_t digest_with_salt(const struct chain *c, const char *salt);
static char *write_hex(char *out, uint64_t n, size_t digits);
static bool parse_hex(const char *s, size_t digits, uint64_t *value);
static enum chain_fault check_token(struct chain *c, const char *token,
				    size_t len);

/* Initializes the chain of an answer to a prompt of len bytes. */
void chain_start(struct chain *c, const char *prompt, size_t len)
{
	*c = (struct chain){ .fault = CHAIN_GOOD };
	XXH64_reset(&c->state, 0);
	XXH64_update(&c->state, prompt, len);
	XXH64_update(&c->state, "", 1);
}

/* Appends len bytes of text without verification and sets the position of the
 * next token. */
void chain_append(struct chain *c, const char *text, size_t len,
		  uint64_t position)
{
	if (len)
		XXH64_update(&c->state, text, len);
	c->position = position;
}

/* Writes the next token with its final NUL, and returns its length. */
size_t chain_make_token(struct chain *c, uint32_t salt,
			char token[CHAIN_TOKEN_SIZE])
{
	char *p = token + chain_write_number(token, c->position);
	char *digits = p + 1;
	size_t len;

	*p++ = '.';
	p = write_hex(p, salt, SALT_DIGITS);
	*p++ = '.';
	p = write_hex(p, digest_with_salt(c, digits), DIGEST_DIGITS);
	*p++ = ' ';
	*p = '\0';
	len = (size_t)(p - token);
	XXH64_update(&c->state, token, len);
	c->position++;
	return len;
}

/* Writes a number in decimal, without a NUL, and returns its length.  Engines
 * write two numbers for each token, for which printf(3) is too slow. */
size_t chain_write_number(char *out, uint64_t n)
{
	char digits[20];
	size_t len = 0;
	size_t i;

	do {
		digits[len++] = (char)('0' + n % 10);
		n /= 10;
	} while (n);
	for (i = 0; i < len; i++)
		out[i] = digits[len - 1 - i];
	return len;
}

/* Writes a number as the given count of hexadecimal digits; returns the end. */
static char *write_hex(char *out, uint64_t n, size_t digits)
{
	size_t i;

	for (i = digits; i > 0; i--) {
		out[i - 1] = "0123456789abcdef"[n & 15];
		n >>= 4;
	}
	return out + digits;
}

/* Verifies the next len bytes of an answer, which may end within a token.
 * Returns the first fault of the answer; text after it is ignored. */
enum chain_fault chain_check(struct chain *c, const char *text, size_t len)
{
	size_t i;

	for (i = 0; i < len && c->fault == CHAIN_GOOD; i++) {
		if (c->partial_len + 1 >= sizeof(c->partial)) {
			c->fault = CHAIN_MALFORMED;
			break;
		}
		c->partial[c->partial_len++] = text[i];
		if (text[i] != ' ')
			continue;
		c->partial[c->partial_len] = '\0';
		c->fault = check_token(c, c->partial, c->partial_len);
		c->partial_len = 0;
	}
	return c->fault;
}

/* Returns the fault of a finished answer, or CHAIN_GOOD. */
enum chain_fault chain_finish(const struct chain *c)
{
	if (c->fault == CHAIN_GOOD && c->partial_len)
		return CHAIN_TORN;
	return c->fault;
}

/* Returns the name of a fault, as printed in reports. */
const char *chain_fault_name(enum chain_fault fault)
{
	static const char *const names[] = {
		[CHAIN_GOOD] = "good",	       [CHAIN_MALFORMED] = "malformed",
		[CHAIN_REPEATED] = "repeated", [CHAIN_MISSING] = "missing",
		[CHAIN_FOREIGN] = "foreign",   [CHAIN_TORN] = "torn",
	};

	return names[fault];
}

/* Returns the expected digest of the next token with these salt digits. */
static uint64_t digest_with_salt(const struct chain *c, const char *salt)
{
	XXH64_state_t state = c->state;

	XXH64_update(&state, salt, SALT_DIGITS);
	return XXH64_digest(&state);
}

/* Parses exactly the given count of lower-case hexadecimal digits. */
static bool parse_hex(const char *s, size_t digits, uint64_t *value)
{
	if (strspn(s, "0123456789abcdef") != digits)
		return false;
	*value = strtoull(s, NULL, 16);
	return true;
}

/* Verifies one token, terminated by a space and a NUL. */
static enum chain_fault check_token(struct chain *c, const char *token,
				    size_t len)
{
	uint64_t position, salt, digest;
	char *end;
	const char *digits;

	if (strspn(token, "0123456789") == 0)
		return CHAIN_MALFORMED;
	errno = 0;
	position = strtoull(token, &end, 10);
	if (errno || *end != '.')
		return CHAIN_MALFORMED;
	digits = end + 1;
	if (!parse_hex(digits, SALT_DIGITS, &salt) ||
	    digits[SALT_DIGITS] != '.' ||
	    !parse_hex(digits + SALT_DIGITS + 1, DIGEST_DIGITS, &digest) ||
	    strcmp(digits + SALT_DIGITS + 1 + DIGEST_DIGITS, " ") != 0)
		return CHAIN_MALFORMED;
	if (position != c->position)
		return position < c->position ? CHAIN_REPEATED : CHAIN_MISSING;
	if (digest != digest_with_salt(c, digits))
		return CHAIN_FOREIGN;
	XXH64_update(&c->state, token, len);
	c->position++;
	return CHAIN_GOOD;
}
