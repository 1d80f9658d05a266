#ifndef POLICY_ADMIT_WAIT_H
#define POLICY_ADMIT_WAIT_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/admit.h"
#include "policy/admit_queue.h"
#include "policy/retry_reservation.h"
#include "policy/rate.h"

enum { MS_PER_S = 1000 };

struct admit {
	struct admit_params params;
	uint32_t checked_slots; /* most slots since the last deadline check */
	uint32_t running;
	uint32_t running_resumes;
	struct rate_meter rate;
	struct reservation_table reservations;
	struct admit_queue q;
};

double admit_drain_per_ms(const struct admit *a);
double admit_wait_ms(const struct admit *a, uint32_t org, uint32_t ahead,
		     bool resume);
double admit_reserved_ms(const struct admit *a, uint32_t org, double wait,
			 uint64_t now);
double admit_margin_ms(const struct admit *a, uint32_t org, double wait);
uint64_t admit_retry_time(struct admit *a, uint32_t org, double late_ms,
			  uint64_t now, uint64_t rnd, bool *reserved);

#endif /* POLICY_ADMIT_WAIT_H */
