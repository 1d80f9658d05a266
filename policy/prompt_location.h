#ifndef POLICY_PROMPT_LOCATION_H
#define POLICY_PROMPT_LOCATION_H

#include <stdint.h>

/* An endpoint that has read a prompt and still holds its KV cache. */
struct prompt_location {
	uint64_t session; /* hash of the prompt's own part; 0: unused */
	uint64_t endpoint; /* hash of its id */
	uint64_t read_ms;
};

/* A set-associative table of fixed size. */
struct prompt_location_table {
	uint32_t nsets; /* a power of two */
	struct prompt_location *slot;
};

void prompt_location_init(struct prompt_location_table *t, uint32_t max);
void prompt_location_release(struct prompt_location_table *t);
void prompt_location_record(struct prompt_location_table *t, uint64_t session,
			    uint64_t endpoint, uint64_t now);
uint64_t prompt_location_find(const struct prompt_location_table *t,
			      uint64_t session, uint64_t now);

#endif /* POLICY_PROMPT_LOCATION_H */
