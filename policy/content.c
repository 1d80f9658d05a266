/*
 * The content of a request: the part that stays the same when its caller sends
 * it again, with another id, deadline or position, at another instance.
 */
#include "policy/content.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

/* The first bits of the hash of a part.  No content has them, so that one table
 * and one kind of message hold both. */
#define PART_BITS (UINT64_C(0x7061) << 48)
#define PART_MASK (UINT64_C(0xffff) << 48)

static uint64_t hash_part(uint64_t hash, const char *text, size_t len);

/* Returns the hash of a request's content, the same on all instances and never
 * 0.  The caller's name is part of it: equal requests of two callers have
 * different hashes. */
uint64_t content_hash(const struct content *c)
{
	uint64_t hash = hash_part(0, c->caller, strlen(c->caller));

	hash = hash_part(hash, c->target, c->target_len);
	hash = hash_part(hash, c->body, c->body_len);
	if (content_is_part(hash))
		hash ^= PART_MASK;
	return hash ? hash : 1;
}

/* Returns the hash of a part of a prompt, the same on all instances and for all
 * callers. */
uint64_t content_part_hash(const char *id, size_t len)
{
	return (XXH3_64bits(id, len) & ~PART_MASK) | PART_BITS;
}

/* Returns whether a hash is that of a part of a prompt. */
bool content_is_part(uint64_t hash)
{
	return (hash & PART_MASK) == PART_BITS;
}

/* Formats the hash as it stands in logs and in the store. */
void content_text(uint64_t hash, char text[CONTENT_TEXT_SIZE])
{
	snprintf(text, CONTENT_TEXT_SIZE, "%016" PRIx64, hash);
}

/* Formats the hashes of the first CONTENT_PARTS_LOGGED parts, separated by
 * commas. */
void content_parts_text(const uint64_t *parts, size_t n,
			char text[CONTENT_PARTS_LOGGED * CONTENT_TEXT_SIZE])
{
	size_t i;

	text[0] = '\0';
	for (i = 0; i < n && i < CONTENT_PARTS_LOGGED; i++)
		snprintf(text + i * CONTENT_TEXT_SIZE, CONTENT_TEXT_SIZE,
			 "%016" PRIx64, parts[i]);
	for (i = 1; i < n && i < CONTENT_PARTS_LOGGED; i++)
		text[i * CONTENT_TEXT_SIZE - 1] = ',';
}

/* Adds a part to a hash.  The hash of the parts before is the seed, so that
 * moving bytes from one part to the next changes the result. */
static uint64_t hash_part(uint64_t hash, const char *text, size_t len)
{
	return XXH3_64bits_withSeed(text, len, hash);
}
