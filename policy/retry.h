#ifndef POLICY_RETRY_H
#define POLICY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

enum retry_outcome {
	RETRY_OK,
	RETRY_ORG_EXHAUSTED,
	RETRY_SERVICE_EXHAUSTED,
	RETRY_ATTEMPTS_EXHAUSTED, /* the request has used its attempts_max */
};

struct retry_params {
	uint32_t deposit_permille; /* of a retry, credited per success */
	uint32_t floor_per_min; /* retries credited by time alone */
	uint32_t burst; /* maximum credit, in retries */
	uint32_t attempts_max; /* per request, including the first */
	uint32_t backoff_min_ms;
	uint32_t backoff_max_ms;
};

/* Remaining retries, in thousandths. */
struct retry_budget {
	uint64_t credit_milli;
	uint64_t refilled_ms;
};

extern const struct retry_params retry_defaults;

void retry_init(struct retry_budget *b, const struct retry_params *params,
		uint64_t now);
void retry_success(struct retry_budget *b, const struct retry_params *params);
enum retry_outcome retry_take(struct retry_budget *org,
			      struct retry_budget *service,
			      const struct retry_params *params,
			      uint32_t attempts, uint64_t now);
uint32_t retry_backoff_ms(const struct retry_params *params, uint32_t attempts,
			  uint64_t rnd);

#endif /* POLICY_RETRY_H */
