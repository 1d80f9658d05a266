#ifndef POLICY_UNCONFIGURED_H
#define POLICY_UNCONFIGURED_H

#include <stdbool.h>
#include <stdint.h>

uint32_t unconfigured_retry_ms(uint64_t deadline_ms, bool configured_peer,
			       uint64_t rnd);

#endif /* POLICY_UNCONFIGURED_H */
