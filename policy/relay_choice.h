#ifndef POLICY_RELAY_CHOICE_H
#define POLICY_RELAY_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RELAY_NONE SIZE_MAX

/* Another instance, as it last told of its path to a service's endpoints. */
struct relay_candidate {
	bool own_zone;
	bool usable; /* alive, with a configuration, not turned down before */
	bool stopping; /* it only takes what ends in time */
	bool outdated; /* its configuration is older than the own one */
	bool lost; /* it has no path itself */
	bool answered; /* endpoints have answered it */
	uint64_t answered_ms_ago; /* the newest of these */
};

bool relay_directory_omits(size_t reaching, size_t all);
size_t relay_choose(const struct relay_candidate *c, size_t n,
		    uint32_t interval_ms, uint64_t rnd);

#endif /* POLICY_RELAY_CHOICE_H */
