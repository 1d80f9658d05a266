#ifndef POLICY_RATE_H
#define POLICY_RATE_H

#include <stdint.h>

/* Number of completions and the slot time used, both decaying. */
struct rate_meter {
	double completions;
	double held_ms;
	uint64_t updated_ms;
	uint32_t decay_ms;
};

void rate_init(struct rate_meter *m, uint32_t decay_ms, uint32_t prior_ms,
	       uint64_t now);
void rate_advance(struct rate_meter *m, uint32_t running, uint64_t now);
void rate_completed(struct rate_meter *m);
double rate_service_ms(const struct rate_meter *m);

#endif /* POLICY_RATE_H */
