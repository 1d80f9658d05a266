/*
 * Resume cursors: the id of each event of a streamed answer.
 *
 *	GENERATION.ATTEMPT.ENDPOINT.NONCE.MAC.POSITION.TEXTHASH
 *
 * MAC is a truncated HMAC-SHA256 over the organisation and the fields before
 * it, computed once per attempt.  The position and the text hash after it are
 * not authenticated: a caller that alters them affects only its own answer,
 * and the change is detected if its text does not match the hash.
 */
#include "entryd/cursor.h"

#include <inttypes.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdio.h>
#include <string.h>

#define MAC_BYTES 8
#define SIGNED_SIZE 160

static void sign(const char *fields, uint64_t org, const char *key,
		 char mac_hex[2 * MAC_BYTES + 1]);
static bool split_fields(const char *text, struct cursor *c, char nonce[9],
			 char mac_hex[2 * MAC_BYTES + 1]);

/* Writes the authenticated part, including the dot after the MAC. */
void cursor_prefix(const struct cursor *c, uint64_t org, const char *key,
		   char prefix[CURSOR_PREFIX_SIZE])
{
	const char *nonce = strrchr(c->stream, '.');
	char fields[SIGNED_SIZE];
	char mac_hex[2 * MAC_BYTES + 1];

	snprintf(fields, sizeof(fields), "%s.%" PRIu32 ".%016" PRIx64 ".%.8s",
		 c->generation, c->attempt, c->endpoint,
		 nonce ? nonce + 1 : "00000000");
	sign(fields, org, key, mac_hex);
	snprintf(prefix, CURSOR_PREFIX_SIZE, "%.120s.%s.", fields, mac_hex);
}

/* Writes a complete cursor.  Returns its length, or -1 if out is too small. */
int cursor_write(char *out, size_t size, const char *prefix, uint32_t position,
		 uint64_t text_hash)
{
	int n = snprintf(out, size, "%s%" PRIu32 ".%016" PRIx64, prefix,
			 position, text_hash);

	return n < 0 || (size_t)n >= size ? -1 : n;
}

/* Parses and verifies a cursor sent by a caller of the organisation. */
enum cursor_outcome cursor_parse(const char *text, uint64_t org,
				 const char *key, struct cursor *c)
{
	char expected[2 * MAC_BYTES + 1];
	char mac_hex[2 * MAC_BYTES + 1];
	char fields[SIGNED_SIZE];
	char nonce[9];

	memset(c, 0, sizeof(*c));
	if (!split_fields(text, c, nonce, mac_hex))
		return CURSOR_MALFORMED;
	snprintf(fields, sizeof(fields), "%s.%" PRIu32 ".%016" PRIx64 ".%s",
		 c->generation, c->attempt, c->endpoint, nonce);
	sign(fields, org, key, expected);
	if (CRYPTO_memcmp(mac_hex, expected, 2 * MAC_BYTES) != 0)
		return CURSOR_BAD_MAC;
	snprintf(c->stream, sizeof(c->stream), "%s.%" PRIu32 ".%s",
		 c->generation, c->attempt, nonce);
	return CURSOR_OK;
}

/* Splits a cursor into its fields.  Returns false if a field is malformed. */
static bool split_fields(const char *text, struct cursor *c, char nonce[9],
			 char mac_hex[2 * MAC_BYTES + 1])
{
	int end = 0;
	int n;

	if (strspn(text, "0123456789abcdef.") != strlen(text))
		return false;
	n = sscanf(text,
		   "%16[0-9a-f].%9" SCNu32 ".%16" SCNx64
		   ".%8[0-9a-f].%16[0-9a-f].%9" SCNu32 ".%16" SCNx64 "%n",
		   c->generation, &c->attempt, &c->endpoint, nonce, mac_hex,
		   &c->position, &c->text_hash, &end);
	return n == 7 && text[end] == '\0' && strlen(c->generation) == 16 &&
	       strlen(nonce) == 8 && strlen(mac_hex) == 2 * MAC_BYTES;
}

/* Computes the MAC of the fields for an organisation, in hexadecimal. */
static void sign(const char *fields, uint64_t org, const char *key,
		 char mac_hex[2 * MAC_BYTES + 1])
{
	unsigned char mac[EVP_MAX_MD_SIZE];
	char message[SIGNED_SIZE + 32];
	unsigned len = 0;
	int i;
	int n = snprintf(message, sizeof(message), "%016" PRIx64 ".%s", org,
			 fields);

	HMAC(EVP_sha256(), key, (int)strlen(key), (unsigned char *)message,
	     (size_t)n, mac, &len);
	for (i = 0; i < MAC_BYTES; i++)
		snprintf(mac_hex + 2 * i, 3, "%02x", mac[i]);
}
