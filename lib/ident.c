/*
 * Numbers that stand for names in the decisions of policy/.  Every process
 * derives the same number from the same name.
 */
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "lib/ident.h"

#include <string.h>

/* Returns the id of an instance, organisation or endpoint; never 0, which
 * stands for none. */
uint64_t name_id(const char *name)
{
	uint64_t id = XXH64(name, strlen(name), 0);

	return id ? id : 1;
}

/* Returns the number of an availability zone. */
uint16_t zone_id(const char *zone)
{
	return (uint16_t)name_id(zone);
}
