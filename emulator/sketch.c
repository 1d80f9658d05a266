/*
 * Quantiles of many times from a histogram with exponential buckets.
 */
#include "emulator/sketch.h"

#include <math.h>

#define FIRST_MS 0.001
#define GROWTH 1.02

/* Adds one time in milliseconds. */
void sketch_add(struct sketch *s, double ms)
{
	double at = ms > FIRST_MS ? log(ms / FIRST_MS) / log(GROWTH) : 0;
	unsigned i = at < SKETCH_BUCKETS - 1 ? (unsigned)at
					     : SKETCH_BUCKETS - 1;

	s->buckets[i]++;
	s->count++;
	if (ms > s->max)
		s->max = ms;
}

/* Returns the q-quantile in milliseconds, q in 0..1; 0 if there is no time. */
double sketch_quantile(const struct sketch *s, double q)
{
	uint64_t wanted = (uint64_t)ceil(q * (double)s->count);
	uint64_t seen = 0;
	unsigned i;

	for (i = 0; i < SKETCH_BUCKETS && s->count; i++) {
		seen += s->buckets[i];
		if (seen >= wanted && seen)
			return fmin(FIRST_MS * pow(GROWTH, i + 0.5), s->max);
	}
	return 0;
}
