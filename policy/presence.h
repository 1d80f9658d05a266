#ifndef POLICY_PRESENCE_H
#define POLICY_PRESENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Another instance, as this one hears it.  Times in ms. */
struct presence {
	uint64_t listed_ms; /* when its entry was first seen */
	uint64_t heard_ms; /* its last datagram; 0: none yet */
	bool leaving;
	bool configured; /* it knows a configuration */
};

uint32_t presence_interval_ms(size_t instances);
bool presence_alive(const struct presence *p, size_t instances, uint64_t now);
bool presence_stopping(const struct presence *p, size_t instances,
		       uint64_t now);
bool presence_cut_off(size_t alive, size_t listed);

#endif /* POLICY_PRESENCE_H */
