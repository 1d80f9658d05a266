#ifndef POLICY_REREAD_H
#define POLICY_REREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* When a table of the store is read next.  Times in ms. */
struct reread {
	uint32_t failures; /* in a row */
	uint64_t failed_ms; /* the first of these */
	uint64_t back_ms; /* when the store last came back; 0: never away */
};

uint32_t reread_after_failure(struct reread *r, uint64_t now, uint64_t rnd);
uint32_t reread_after_success(struct reread *r, size_t instances,
			      uint64_t now);

#endif /* POLICY_REREAD_H */
