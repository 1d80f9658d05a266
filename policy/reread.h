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

/* What this instance knows of the others that read the store. */
struct reread_others {
	size_t before; /* instances that live, come before it and could read */
	size_t unable; /* that are to read, but the store answers none of them */
	size_t instances; /* that live, itself included */
	uint64_t said_ms; /* when one that is to read was last heard; 0: none */
	uint64_t reading_ms; /* when the store last answered one; 0: never */
	uint64_t behind_ms; /* since when one has newer rows; 0: none has */
};

/* Why an instance asks the store. */
enum reread_reason {
	REREAD_NOT, /* it leaves that to others */
	REREAD_FEW, /* instances, of which each reads for itself */
	REREAD_FOR_OTHERS,
	REREAD_NONE_READS, /* as far as it has heard */
	REREAD_BEHIND, /* it has missed a change */
	REREAD_SILENT, /* it hears none of those that read */
	REREAD_AWAY, /* the store answers none of those that read */
};

bool reread_few(size_t instances);
bool reread_designated(const struct reread_others *others);
uint32_t reread_follow_ms(bool for_others);
bool reread_fresh(uint64_t answered_ms, uint64_t now);
enum reread_reason reread_itself(const struct reread_others *others,
				 uint64_t now);
const char *reread_reason_text(enum reread_reason reason);
uint32_t reread_after_failure(struct reread *r, size_t instances, uint64_t now,
			      uint64_t rnd);
uint32_t reread_after_success(struct reread *r, size_t instances,
			      bool for_others, uint64_t now);

#endif /* POLICY_REREAD_H */
