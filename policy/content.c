/*
 * The content of a request: the part that stays the same when its caller sends
 * it again, with another id, deadline or position, at another instance.
 */
#include "policy/content.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

static uint64_t hash_part(uint64_t hash, const char *text, size_t len);

/* Returns the hash of a request's content, the same on all instances and never
 * 0.  The caller's name is part of it: equal requests of two callers have
 * different hashes. */
uint64_t content_hash(const struct content *c)
{
	uint64_t hash = hash_part(0, c->caller, strlen(c->caller));

	hash = hash_part(hash, c->target, c->target_len);
	hash = hash_part(hash, c->body, c->body_len);
	return hash ? hash : 1;
}

/* Formats the hash as it stands in logs and in the store. */
void content_text(uint64_t hash, char text[CONTENT_TEXT_SIZE])
{
	snprintf(text, CONTENT_TEXT_SIZE, "%016" PRIx64, hash);
}

/* Adds a part to a hash.  The hash of the parts before is the seed, so that
 * moving bytes from one part to the next changes the result. */
static uint64_t hash_part(uint64_t hash, const char *text, size_t len)
{
	return XXH3_64bits_withSeed(text, len, hash);
}
