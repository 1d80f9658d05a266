/* The hash used for rendezvous hashing and for derived random numbers. */
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "policy/pair_hash.h"

/*
 * Returns the hash of an ordered pair of numbers.  It is the same on all
 * instances with the same byte order.
 */
uint64_t pair_hash(uint64_t a, uint64_t b)
{
	return XXH64(&a, sizeof(a), b);
}

/*
 * Maps a hash to a number above 0 and at most 1.
 */
double pair_hash_unit(uint64_t hash)
{
	return ((hash >> 11) + 1) * 0x1.0p-53;
}
