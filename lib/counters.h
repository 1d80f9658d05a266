#ifndef LIB_COUNTERS_H
#define LIB_COUNTERS_H

#include <stddef.h>
#include <stdint.h>

enum counter_kind {
	COUNTER_TOTAL, /* monotonic */
	COUNTER_GAUGE,
};

/* A counter or gauge with an optional label pair. */
struct counter {
	const char *name;
	const char *help;
	enum counter_kind kind;
	char labels[96]; /* as printed between braces; empty for none */
	double value;
	struct counter *next;
};

#define HISTOGRAM_BUCKETS 18

/* A latency histogram with fixed bucket bounds in milliseconds. */
struct histogram {
	const char *name;
	const char *help;
	uint64_t buckets[HISTOGRAM_BUCKETS + 1]; /* the last is unbounded */
	double sum_ms;
	uint64_t count;
	struct histogram *next;
};

/* Registered objects must stay valid for the life of the process. */
void counter_register(struct counter *c);
struct counter *counter_labelled(const char *name, const char *help,
				 enum counter_kind kind, const char *label,
				 const char *value);
void counter_add(struct counter *c, double n);
void counter_set(struct counter *c, double value);
void histogram_register(struct histogram *h);
void histogram_add(struct histogram *h, double ms);
double histogram_quantile(const struct histogram *h, double q);
char *counters_text(size_t *len); /* caller frees */
void counters_release(void);

#endif /* LIB_COUNTERS_H */
