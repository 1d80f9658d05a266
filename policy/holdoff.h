#ifndef POLICY_HOLDOFF_H
#define POLICY_HOLDOFF_H

#include <stdbool.h>
#include <stdint.h>

/* What an endpoint has reported about its acceptance of work.  Times in ms. */
struct holdoff {
	uint64_t leaving_ms; /* when it was first known to leave; 0: it stays */
	uint64_t paused_until_ms; /* end of the pause */
};

bool holdoff_set_leaving(struct holdoff *h, uint64_t now);
void holdoff_pause(struct holdoff *h, uint64_t pause_ms, uint64_t now);
uint32_t holdoff_remaining_ms(const struct holdoff *h, uint64_t now);
uint32_t holdoff_retry_ms(uint32_t left_ms, uint64_t rnd);
bool holdoff_accepts_work(const struct holdoff *h, uint64_t now);

#endif /* POLICY_HOLDOFF_H */
