#ifndef POLICY_LAPSE_H
#define POLICY_LAPSE_H

#include <stdbool.h>
#include <stdint.h>

/* Whether the entry of an endpoint still stands, as this instance knows. */
struct lapse {
	bool removed;
	uint64_t removed_ms; /* when we were told */
	uint64_t hold_until_ms; /* it may come back until then; 0: no */
};

void lapse_removed(struct lapse *l, uint64_t outage_end_ms, uint64_t now);
void lapse_returned(struct lapse *l);
bool lapse_takes_work(const struct lapse *l, uint64_t now);

#endif /* POLICY_LAPSE_H */
