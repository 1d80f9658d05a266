#ifndef POLICY_PROMPT_PLACE_H
#define POLICY_PROMPT_PLACE_H

#include <stdint.h>

/* An endpoint that has read a prompt, and still holds its memory. */
struct prompt_place {
	uint64_t session; /* hash of the prompt's own part; 0: unused */
	uint64_t endpoint; /* hash of its id */
	uint64_t read_ms;
};

/* A table of fixed size. */
struct prompt_places {
	uint32_t nsets; /* a power of two */
	struct prompt_place *slot;
};

void prompt_places_init(struct prompt_places *t, uint32_t max);
void prompt_places_release(struct prompt_places *t);
void prompt_places_note(struct prompt_places *t, uint64_t session,
			uint64_t endpoint, uint64_t now);
uint64_t prompt_places_find(const struct prompt_places *t, uint64_t session,
			    uint64_t now);

#endif /* POLICY_PROMPT_PLACE_H */
