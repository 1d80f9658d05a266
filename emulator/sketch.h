#ifndef EMULATOR_SKETCH_H
#define EMULATOR_SKETCH_H

#include <stdint.h>

/* Each bucket is 2 percent wider than the previous one; together they cover
 * 1 microsecond to 1 hour. */
#define SKETCH_BUCKETS 1120

/* Histogram of times in milliseconds; quantiles are accurate to 2 percent. */
struct sketch {
	uint64_t buckets[SKETCH_BUCKETS];
	uint64_t count;
	double max;
};

void sketch_add(struct sketch *s, double ms);
double sketch_quantile(const struct sketch *s, double q);

#endif /* EMULATOR_SKETCH_H */
