#ifndef POLICY_STORE_GAP_H
#define POLICY_STORE_GAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define STORE_GAP_LATER_MAX 128

/* Which transactions of the store an instance has read rows of.  Times in ms. */
struct store_gap {
	uint64_t accounted; /* all up to this one are accounted for */
	uint64_t newest; /* that the store has named */
	uint64_t since_ms; /* one of those up to newest is missing; 0: none */
	uint64_t later
		[STORE_GAP_LATER_MAX]; /* known, beyond the first missing */
	size_t n_later;
};

void store_gap_row(struct store_gap *g, uint64_t version, uint64_t now);
void store_gap_tables_read(struct store_gap *g, uint64_t version, uint64_t now);
void store_gap_newest(struct store_gap *g, uint64_t version, uint64_t now);
bool store_gap_open(const struct store_gap *g, uint64_t now);

#endif /* POLICY_STORE_GAP_H */
