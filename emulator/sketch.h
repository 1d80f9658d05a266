#ifndef EMULATOR_SKETCH_H
#define EMULATOR_SKETCH_H

#include <stdint.h>

/* Buckets that grow by 2 percent each, from a microsecond to an hour. */
#define SKETCH_BUCKETS 1120

/* Times in milliseconds, for quantiles that are right within 2 percent. */
struct sketch {
	uint64_t buckets[SKETCH_BUCKETS];
	uint64_t count;
	double max;
};

void sketch_add(struct sketch *s, double ms);
double sketch_quantile(const struct sketch *s, double q);

#endif /* EMULATOR_SKETCH_H */
