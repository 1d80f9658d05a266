#ifndef POLICY_OWN_ENTRY_H
#define POLICY_OWN_ENTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The entry of this instance, as read from the store. */
enum own_entry_state {
	OWN_ENTRY_PRESENT, /* as this process wrote it */
	OWN_ENTRY_MISSING,
	OWN_ENTRY_OTHER, /* of another process of this instance */
};

/* What the store is known to have as the entry of this instance.  Versions are
 * those of the store in its present era. */
struct own_entry {
	bool written; /* the store has acknowledged it */
	uint64_t written_version; /* after the write; 0: unknown */
	enum own_entry_state read; /* as it was read last */
	uint64_t read_version; /* at which; 0: not read yet */
	uint32_t rewrites; /* in a row */
	uint64_t rewritten_ms; /* when the last of these was due; 0: none */
};

void own_entry_read(struct own_entry *e, enum own_entry_state state,
		    uint64_t version);
void own_entry_written(struct own_entry *e, uint64_t version);
void own_entry_era_began(struct own_entry *e);
bool own_entry_is_lost(const struct own_entry *e);
uint32_t own_entry_rewrite(struct own_entry *e, size_t instances, uint64_t now,
			   uint64_t rnd);
const char *own_entry_state_text(enum own_entry_state state);

#endif /* POLICY_OWN_ENTRY_H */
