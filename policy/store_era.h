#ifndef POLICY_STORE_ERA_H
#define POLICY_STORE_ERA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* How an era of the store relates to the newest one known.  Versions of
 * different eras can't be compared. */
enum store_era_order {
	STORE_ERA_SAME, /* or one of them is unknown */
	STORE_ERA_OLDER,
	STORE_ERA_NEWER,
};

enum store_era_order store_era_compare(uint64_t known, uint64_t seen);
bool store_era_note(uint64_t *known, uint64_t seen);
uint32_t store_era_delay_ms(size_t instances, bool first_hand, uint64_t rnd);
bool store_era_keeps_instance(uint64_t missing_ms, bool alive, uint64_t now);

#endif /* POLICY_STORE_ERA_H */
