/*
 * Resume cursors: the id of each event of a streamed answer.
 *
 *	GENERATION.ATTEMPT.ENDPOINT.NONCE.CODE.POSITION.TEXTHASH
 *
 * CODE is a truncated HMAC-SHA256 over the organisation and the fields before
 * it, worked out once for each attempt.  Position and hash of the text stand
 * after it: a caller that alters them harms only its own answer, and is found
 * out where its text does not match the hash.
 */
#include "entryd/cursor.h"

#include <inttypes.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdio.h>
#include <string.h>

#define CODE_BYTES 8
#define SIGNED_SIZE 160

static void sign(const char *fields, uint64_t org, const char *key,
		 char code[2 * CODE_BYTES + 1]);
static bool scan(const char *text, struct cursor *c, char nonce[9],
		 char code[2 * CODE_BYTES + 1]);

/* Writes the signed part, with its last dot. */
void cursor_prefix(const struct cursor *c, uint64_t org, const char *key,
		   char prefix[CURSOR_PREFIX_SIZE])
{
	const char *nonce = strrchr(c->stream, '.');
	char fields[SIGNED_SIZE];
	char code[2 * CODE_BYTES + 1];

	snprintf(fields, sizeof(fields), "%s.%" PRIu32 ".%016" PRIx64 ".%.8s",
		 c->generation, c->attempt, c->endpoint,
		 nonce ? nonce + 1 : "00000000");
	sign(fields, org, key, code);
	snprintf(prefix, CURSOR_PREFIX_SIZE, "%.120s.%s.", fields, code);
}

/* Writes a whole cursor; returns its length, or -1 if out is too small. */
int cursor_write(char *out, size_t size, const char *prefix, uint32_t position,
		 uint64_t text_hash)
{
	int n = snprintf(out, size, "%s%" PRIu32 ".%016" PRIx64, prefix,
			 position, text_hash);

	return n < 0 || (size_t)n >= size ? -1 : n;
}

/* Reads a cursor that came back from a caller of the organisation. */
enum cursor_outcome cursor_parse(const char *text, uint64_t org,
				 const char *key, struct cursor *c)
{
	char expected[2 * CODE_BYTES + 1];
	char code[2 * CODE_BYTES + 1];
	char fields[SIGNED_SIZE];
	char nonce[9];

	memset(c, 0, sizeof(*c));
	if (!scan(text, c, nonce, code))
		return CURSOR_MALFORMED;
	snprintf(fields, sizeof(fields), "%s.%" PRIu32 ".%016" PRIx64 ".%s",
		 c->generation, c->attempt, c->endpoint, nonce);
	sign(fields, org, key, expected);
	if (CRYPTO_memcmp(code, expected, 2 * CODE_BYTES) != 0)
		return CURSOR_BAD_MAC;
	snprintf(c->stream, sizeof(c->stream), "%s.%" PRIu32 ".%s",
		 c->generation, c->attempt, nonce);
	return CURSOR_OK;
}

/* Splits a cursor; every field has a fixed form. */
static bool scan(const char *text, struct cursor *c, char nonce[9],
		 char code[2 * CODE_BYTES + 1])
{
	int end = 0;
	int n;

	if (strspn(text, "0123456789abcdef.") != strlen(text))
		return false;
	n = sscanf(text,
		   "%16[0-9a-f].%9" SCNu32 ".%16" SCNx64
		   ".%8[0-9a-f].%16[0-9a-f].%9" SCNu32 ".%16" SCNx64 "%n",
		   c->generation, &c->attempt, &c->endpoint, nonce, code,
		   &c->position, &c->text_hash, &end);
	return n == 7 && text[end] == '\0' && strlen(c->generation) == 16 &&
	       strlen(nonce) == 8 && strlen(code) == 2 * CODE_BYTES;
}

/* Works out the code of the fields for an organisation. */
static void sign(const char *fields, uint64_t org, const char *key,
		 char code[2 * CODE_BYTES + 1])
{
	unsigned char mac[EVP_MAX_MD_SIZE];
	char message[SIGNED_SIZE + 32];
	unsigned len = 0;
	int i;
	int n = snprintf(message, sizeof(message), "%016" PRIx64 ".%s", org,
			 fields);

	HMAC(EVP_sha256(), key, (int)strlen(key), (unsigned char *)message,
	     (size_t)n, mac, &len);
	for (i = 0; i < CODE_BYTES; i++)
		snprintf(code + 2 * i, 3, "%02x", mac[i]);
}
