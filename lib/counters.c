/*
 * Counters, gauges and histograms of a process, formatted in the Prometheus
 * text exposition format.
 */
#include "lib/counters.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"

static const double bucket_bounds_ms[HISTOGRAM_BUCKETS] = {
	1,   2,	  5,   10,   20,   35,	 50,	75,    100,
	150, 250, 450, 1000, 2000, 5000, 10000, 30000, 60000,
};

static struct counter *counters;
static struct histogram *histograms;

static void print_counter(FILE *f, const struct counter *c,
			  const struct counter *previous);
static void print_histogram(FILE *f, const struct histogram *h);

/* Registers a counter, which must stay valid for the life of the process.
 * Registering it again has no effect.  Counters of the same name are kept
 * adjacent, as the text format requires. */
void counter_register(struct counter *c)
{
	struct counter **p = &counters;

	while (*p && *p != c && strcmp((*p)->name, c->name) != 0)
		p = &(*p)->next;
	if (*p == c)
		return;
	c->next = *p;
	*p = c;
}

/* Returns the counter with this name and label value; creates it on first
 * use. */
struct counter *counter_labelled(const char *name, const char *help,
				 enum counter_kind kind, const char *label,
				 const char *value)
{
	char labels[sizeof(counters->labels)];
	struct counter *c;

	snprintf(labels, sizeof(labels), "%s=\"%s\"", label, value);
	for (c = counters; c; c = c->next)
		if (!strcmp(c->name, name) && !strcmp(c->labels, labels))
			return c;
	c = xcalloc(1, sizeof(*c));
	c->name = name;
	c->help = help;
	c->kind = kind;
	memcpy(c->labels, labels, sizeof(labels));
	counter_register(c);
	return c;
}

/* Adds n to the counter. */
void counter_add(struct counter *c, double n)
{
	c->value += n;
}

/* Sets the value of a gauge. */
void counter_set(struct counter *c, double value)
{
	c->value = value;
}

/* Registers a histogram, which must stay valid for the life of the process. */
void histogram_register(struct histogram *h)
{
	h->next = histograms;
	histograms = h;
}

/* Records one value in milliseconds. */
void histogram_add(struct histogram *h, double ms)
{
	int i = 0;

	while (i < HISTOGRAM_BUCKETS && ms > bucket_bounds_ms[i])
		i++;
	h->buckets[i]++;
	h->count++;
	h->sum_ms += ms;
}

/* Returns the upper bound in milliseconds of the bucket that contains quantile
 * q (0 to 1), or 0 without values.  Values above the last bound count as it. */
double histogram_quantile(const struct histogram *h, double q)
{
	uint64_t cumulative = 0;
	int i;

	if (!h->count)
		return 0;
	for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
		cumulative += h->buckets[i];
		if ((double)cumulative >= q * (double)h->count)
			return bucket_bounds_ms[i];
	}
	return bucket_bounds_ms[HISTOGRAM_BUCKETS - 1];
}

/* Formats all counters and histograms.  Returns a string of *len bytes that the
 * caller frees. */
char *counters_text(size_t *len)
{
	const struct counter *previous = NULL;
	const struct histogram *h;
	const struct counter *c;
	char *text = NULL;
	FILE *f = open_memstream(&text, len);

	if (!f) {
		*len = 0;
		return xstrdup("");
	}
	for (c = counters; c; c = c->next) {
		print_counter(f, c, previous);
		previous = c;
	}
	for (h = histograms; h; h = h->next)
		print_histogram(f, h);
	fclose(f);
	return text;
}

/* Unregisters everything and frees the labelled counters; for tests and process
 * exit. */
void counters_release(void)
{
	while (counters) {
		struct counter *next = counters->next;

		if (counters->labels[0])
			free(counters);
		counters = next;
	}
	histograms = NULL;
}

/* Prints a counter, preceded by HELP and TYPE if its name differs from that of
 * the previous one. */
static void print_counter(FILE *f, const struct counter *c,
			  const struct counter *previous)
{
	const char *kind = c->kind == COUNTER_GAUGE ? "gauge" : "counter";

	if (!previous || strcmp(previous->name, c->name) != 0)
		fprintf(f, "# HELP %s %s\n# TYPE %s %s\n", c->name, c->help,
			c->name, kind);
	if (c->labels[0])
		fprintf(f, "%s{%s} %.15g\n", c->name, c->labels, c->value);
	else
		fprintf(f, "%s %.15g\n", c->name, c->value);
}

/* Prints a histogram in seconds with cumulative buckets. */
static void print_histogram(FILE *f, const struct histogram *h)
{
	uint64_t cumulative = 0;
	int i;

	fprintf(f, "# HELP %s %s\n# TYPE %s histogram\n", h->name, h->help,
		h->name);
	for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
		cumulative += h->buckets[i];
		fprintf(f, "%s_bucket{le=\"%g\"} %" PRIu64 "\n", h->name,
			bucket_bounds_ms[i] / 1000, cumulative);
	}
	fprintf(f, "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n", h->name, h->count);
	fprintf(f, "%s_sum %g\n%s_count %" PRIu64 "\n", h->name,
		h->sum_ms / 1000, h->name, h->count);
}
