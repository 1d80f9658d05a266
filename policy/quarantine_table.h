#ifndef POLICY_QUARANTINE_TABLE_H
#define POLICY_QUARANTINE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/quarantine.h"

enum { QUARANTINE_WAYS = 8, QUARANTINE_RECENT = 64 };

/* A suspect or convicted request, as one instance knows it. */
struct quarantine_entry {
	struct quarantine_digest digest;
	uint64_t deaths[QUARANTINE_DEATHS_MAX];
	uint64_t expires_ms; /* 0: unused entry */
	uint64_t changed_ms; /* for the exchange between instances */
	uint64_t death_ms; /* when the last death was learnt of */
	uint8_t ndeaths;
	bool convicted;
};

/* One of the deaths learnt of last. */
struct quarantine_recent {
	uint64_t death_id;
	uint64_t at_ms; /* when it was, as far as is known */
	bool mass; /* one of many at about the same time */
};

struct quarantine {
	struct quarantine_params params;
	uint32_t nsets; /* a power of two */
	struct quarantine_entry *entry;
	struct quarantine_recent recent[QUARANTINE_RECENT];
	uint32_t recent_next;
};

bool quarantine_has_death(const struct quarantine_entry *e, uint64_t death_id);
bool quarantine_is_mass(const struct quarantine *q, uint64_t death_id);
struct quarantine_entry *quarantine_find(struct quarantine *q,
					 const struct quarantine_digest *digest,
					 uint64_t now);

#endif /* POLICY_QUARANTINE_TABLE_H */
