/*
 * Numeric ids that policy/ uses in place of names.  An id is a hash of the
 * name, so that every process derives the same id from the same name.
 */
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "lib/ident.h"

#include <string.h>

/* Returns the id of an instance, organisation or endpoint.  It is never 0,
 * which means none. */
uint64_t name_id(const char *name)
{
	uint64_t id = XXH64(name, strlen(name), 0);

	return id ? id : 1;
}

/* Returns the id of an availability zone. */
uint16_t zone_id(const char *zone)
{
	return (uint16_t)name_id(zone);
}
