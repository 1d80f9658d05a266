#ifndef POLICY_HEARTBEAT_H
#define POLICY_HEARTBEAT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Another instance, as seen by this one.  Times in ms. */
struct heartbeat {
	uint64_t listed_ms; /* when its entry was first seen */
	uint64_t last_seen_ms; /* its last datagram; 0: none yet */
	bool leaving;
	bool configured; /* it has a configuration */
};

uint32_t heartbeat_interval_ms(size_t instances);
bool heartbeat_alive(const struct heartbeat *p, size_t instances, uint64_t now);
bool heartbeat_stopping(const struct heartbeat *p, size_t instances,
			uint64_t now);
bool heartbeat_isolated(size_t alive, size_t listed);

#endif /* POLICY_HEARTBEAT_H */
