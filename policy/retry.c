/*
 * Retry budget and backoff.  Each success adds credit for a part of a retry, so
 * that retries add at most a fixed share to the load of a failing fleet.  A
 * small floor credited by time allows retries of organisations with little
 * traffic.  A retry is charged to the organisation and to the service, so that
 * neither one organisation nor one failing service causes a retry storm.
 */
#include "policy/retry.h"

enum { MILLI = 1000, MS_PER_MIN = 60000 };

const struct retry_params retry_defaults = {
	.deposit_permille = 100,
	.floor_per_min = 10,
	.burst = 50,
	.attempts_max = 4,
	.backoff_min_ms = 25,
	.backoff_max_ms = 2000,
};

static void deposit(struct retry_budget *b, const struct retry_params *params,
		    uint64_t milli);
static void refill(struct retry_budget *b, const struct retry_params *params,
		   uint64_t now);

/* Initialises a budget with the credit of one minute's floor. */
void retry_init(struct retry_budget *b, const struct retry_params *params,
		uint64_t now)
{
	b->credit_milli = 0;
	b->refilled_ms = now;
	deposit(b, params, (uint64_t)params->floor_per_min * MILLI);
}

/* Adds credit of milli thousandths of a retry, up to the burst. */
static void deposit(struct retry_budget *b, const struct retry_params *params,
		    uint64_t milli)
{
	uint64_t max = (uint64_t)params->burst * MILLI;

	if (milli > max || b->credit_milli > max - milli)
		b->credit_milli = max;
	else
		b->credit_milli += milli;
}

/* Adds the floor for the time since the last refill, at most one minute. */
static void refill(struct retry_budget *b, const struct retry_params *params,
		   uint64_t now)
{
	uint64_t elapsed;
	uint64_t milli;

	if (now <= b->refilled_ms || !params->floor_per_min)
		return;
	elapsed = now - b->refilled_ms;
	if (elapsed > MS_PER_MIN)
		elapsed = MS_PER_MIN;
	milli = elapsed * params->floor_per_min * MILLI / MS_PER_MIN;
	if (!milli)
		return;
	deposit(b, params, milli);
	b->refilled_ms = now;
}

/* Adds the credit for one success to the budget. */
void retry_success(struct retry_budget *b, const struct retry_params *params)
{
	deposit(b, params, params->deposit_permille);
}

/*
 * Charges one retry to both budgets, or to neither if one is exhausted.
 * attempts is the number already made for the request, at least 1.
 */
enum retry_outcome retry_take(struct retry_budget *org,
			      struct retry_budget *service,
			      const struct retry_params *params,
			      uint32_t attempts, uint64_t now)
{
	if (attempts >= params->attempts_max)
		return RETRY_ATTEMPTS_EXHAUSTED;
	refill(org, params, now);
	refill(service, params, now);
	if (org->credit_milli < MILLI)
		return RETRY_ORG_EXHAUSTED;
	if (service->credit_milli < MILLI)
		return RETRY_SERVICE_EXHAUSTED;
	org->credit_milli -= MILLI;
	service->credit_milli -= MILLI;
	return RETRY_OK;
}

/*
 * Returns the milliseconds to wait before the next attempt: uniformly random
 * between zero and a bound that doubles with each attempt already made (full
 * jitter), up to backoff_max_ms.
 */
uint32_t retry_backoff_ms(const struct retry_params *params, uint32_t attempts,
			  uint64_t rnd)
{
	uint64_t bound = params->backoff_min_ms;
	uint32_t i;

	for (i = 1; i < attempts && bound < params->backoff_max_ms; i++)
		bound *= 2;
	if (bound > params->backoff_max_ms)
		bound = params->backoff_max_ms;
	return (uint32_t)(rnd % (bound + 1));
}
