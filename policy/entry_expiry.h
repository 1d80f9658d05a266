#ifndef POLICY_ENTRY_EXPIRY_H
#define POLICY_ENTRY_EXPIRY_H

#include <stdbool.h>
#include <stdint.h>

/* State of an endpoint's entry in the store, as this instance knows it.  Times
 * in ms. */
struct entry_expiry {
	bool removed;
	uint64_t removed_ms; /* when this instance learned of the removal */
	uint64_t grace_until_ms; /* the endpoint is used until then; 0: no */
};

void entry_expiry_removed(struct entry_expiry *l, uint64_t outage_end_ms,
			  uint64_t now);
void entry_expiry_restored(struct entry_expiry *l);
bool entry_expiry_accepts_work(const struct entry_expiry *l, uint64_t now);

#endif /* POLICY_ENTRY_EXPIRY_H */
