/*
 * The table rows that record accepted configurations.  `config/head` names the
 * version in force.  `config/version/N` is inserted with version N and never
 * changed, so that an instance that lost the answer to a commit can read which
 * commit succeeded.  The file itself is in the object store under its digest.
 */
#include "fleetd/confsync.h"

#include <assert.h>
#include <bsd/string.h>
#include <inttypes.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"

/* Parses a row's value; returns false if it is malformed. */
bool config_head_parse(const char *text, size_t len, struct config_head *out)
{
	json_t *root = json_loadb(text, len, 0, NULL);
	const char *author, *digest, *object;
	json_int_t version;
	bool ok;

	memset(out, 0, sizeof(*out));
	ok = root && !json_unpack(root, "{s:I, s:s, s:s, s:s}", "version",
				  &version, "author", &author, "digest",
				  &digest, "object", &object);
	if (ok) {
		out->version = (uint64_t)version;
		ok = version > 0 &&
		     strlcpy(out->author, author, sizeof(out->author)) <
			     sizeof(out->author) &&
		     strlcpy(out->digest, digest, sizeof(out->digest)) ==
			     sizeof(out->digest) - 1 &&
		     strlcpy(out->object, object, sizeof(out->object)) <
			     sizeof(out->object);
	}
	json_decref(root);
	return ok;
}

/* Formats a row's value, which the caller frees; the author must be UTF-8. */
char *config_head_format(const struct config_head *head)
{
	json_t *root = json_pack("{s:I, s:s, s:s, s:s}", "version",
				 (json_int_t)head->version, "author",
				 head->author, "digest", head->digest, "object",
				 head->object);
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	assert(text); /* a write without a value deletes the row */
	return text;
}

/* Returns the key of a version's own row; the caller frees it. */
char *config_version_key(uint64_t version)
{
	return xasprintf("config/version/%" PRIu64, version);
}

/* Computes the SHA-256 of a file in hexadecimal digits. */
void config_digest(const void *text, size_t len,
		   char digest[CONFIG_DIGEST_SIZE])
{
	unsigned char sum[SHA256_DIGEST_LENGTH];
	size_t i;

	SHA256(text, len, sum);
	for (i = 0; i < sizeof(sum); i++)
		snprintf(digest + 2 * i, 3, "%02x", sum[i]);
}

/* Returns the first 64 bits of a digest in hexadecimal digits. */
uint64_t config_digest_number(const char *digest)
{
	char first[17];

	strlcpy(first, digest, sizeof(first));
	return strtoull(first, NULL, 16);
}
