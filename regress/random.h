/* Seeded, reproducible random numbers for tests and benches. */
#ifndef REGRESS_RANDOM_H
#define REGRESS_RANDOM_H

#include <stdint.h>
#include <xxhash.h>

struct random_source {
	uint64_t seed;
	uint64_t drawn; /* numbers returned so far */
};

/* Returns the next number of the sequence determined by the seed. */
static inline uint64_t random_next(struct random_source *r)
{
	r->drawn++;
	return XXH3_64bits_withSeed(&r->drawn, sizeof(r->drawn), r->seed);
}

/* Returns a number in [0, n). */
static inline uint32_t random_below(struct random_source *r, uint32_t n)
{
	return (uint32_t)((random_next(r) >> 32) * n >> 32);
}

/* Returns a number in (0, 1]. */
static inline double random_unit(struct random_source *r)
{
	return (double)((random_next(r) >> 11) + 1) * 0x1p-53;
}

#endif /* REGRESS_RANDOM_H */
