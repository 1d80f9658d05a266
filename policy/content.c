/*
 * The content of a request: what stays the same when its caller sends it again,
 * with another id, deadline or position, at another instance.
 */
#include "policy/content.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

static uint64_t add(uint64_t hash, const char *text, size_t len);

/* Returns the hash of a request's content, the same at all instances and never
 * 0.  Two callers that send the same have different ones. */
uint64_t content_hash(const struct content *c)
{
	uint64_t hash = add(0, c->caller, strlen(c->caller));

	hash = add(hash, c->target, c->target_len);
	hash = add(hash, c->body, c->body_len);
	return hash ? hash : 1;
}

/* Writes the hash as logs and the store name the content. */
void content_text(uint64_t hash, char text[CONTENT_TEXT_SIZE])
{
	snprintf(text, CONTENT_TEXT_SIZE, "%016" PRIx64, hash);
}

/* Adds a part; the seed is the hash of those before, so that none can run on
 * into the next. */
static uint64_t add(uint64_t hash, const char *text, size_t len)
{
	return XXH3_64bits_withSeed(text, len, hash);
}
