#ifndef POLICY_QUARANTINE_TABLE_H
#define POLICY_QUARANTINE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/quarantine.h"

enum { QUARANTINE_WAYS = 8, QUARANTINE_RECENT = 64 };

/* An instance's record of a suspect or blocked request. */
struct quarantine_entry {
	struct quarantine_digest digest;
	uint64_t deaths[QUARANTINE_DEATHS_MAX];
	uint64_t expires_ms; /* 0: unused entry */
	uint64_t changed_ms; /* last change, for quarantine_export() */
	uint64_t death_ms; /* when the last death was added */
	uint8_t ndeaths;
	bool blocked;
};

/* One of the most recently added deaths. */
struct quarantine_recent_death {
	uint64_t death_id;
	uint64_t at_ms; /* time of the death, estimated for old ones */
	bool mass; /* one of at least mass_deaths within mass_ms */
};

struct quarantine {
	struct quarantine_params params;
	uint32_t nsets; /* a power of two */
	struct quarantine_entry *entry;
	struct quarantine_recent_death recent[QUARANTINE_RECENT];
	uint32_t recent_next;
};

bool quarantine_has_death(const struct quarantine_entry *e, uint64_t death_id);
bool quarantine_is_mass(const struct quarantine *q, uint64_t death_id);
struct quarantine_entry *quarantine_find(struct quarantine *q,
					 const struct quarantine_digest *digest,
					 uint64_t now);

#endif /* POLICY_QUARANTINE_TABLE_H */
