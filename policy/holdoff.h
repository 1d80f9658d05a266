#ifndef POLICY_HOLDOFF_H
#define POLICY_HOLDOFF_H

#include <stdbool.h>
#include <stdint.h>

/* What an endpoint has said about work for it.  Times in ms. */
struct holdoff {
	uint64_t leaving_ms; /* since when it is known to leave; 0: not */
	uint64_t until_ms; /* the pause is over then */
};

bool holdoff_leaving(struct holdoff *h, uint64_t now);
void holdoff_pause(struct holdoff *h, uint64_t pause_ms, uint64_t now);
uint32_t holdoff_left_ms(const struct holdoff *h, uint64_t now);
uint32_t holdoff_retry_ms(uint32_t left_ms, uint64_t rnd);
bool holdoff_takes_work(const struct holdoff *h, uint64_t now);

#endif /* POLICY_HOLDOFF_H */
