#ifndef POLICY_STORE_READER_H
#define POLICY_STORE_READER_H

#include <stdbool.h>
#include <stdint.h>

/* What another instance last announced about reading the store for others.
 * Times in ms. */
struct reader {
	uint64_t announced_ms; /* last announcement; 0: it is no reader */
	uint64_t answered_ms; /* last one with an answering store; 0: none */
	bool unable; /* it is a reader, but the store does not answer it */
};

uint32_t store_reader_interval_ms(void);
void store_reader_announced(struct reader *r, bool answers, uint64_t now);
void store_reader_stopped(struct reader *r);
void store_reader_seen(struct reader *r, uint64_t now);
bool store_reader_silent(const struct reader *r, uint64_t now);

#endif /* POLICY_STORE_READER_H */
