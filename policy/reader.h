#ifndef POLICY_READER_H
#define POLICY_READER_H

#include <stdbool.h>
#include <stdint.h>

/* What another instance last said of reading the store for others.  Times in
 * ms. */
struct reader {
	uint64_t said_ms; /* that it is one that reads; 0: it is none */
	uint64_t answered_ms; /* that the store answers it; 0: never */
	bool unable; /* it is to read, but the store does not answer it */
};

uint32_t reader_tell_ms(void);
void reader_says(struct reader *r, bool answers, uint64_t now);
void reader_ends(struct reader *r);
void reader_lives(struct reader *r, uint64_t now);
bool reader_silent(const struct reader *r, uint64_t now);

#endif /* POLICY_READER_H */
