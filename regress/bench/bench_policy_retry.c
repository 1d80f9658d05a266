/*
 * Retries at policy level: attempts per request and requests served when
 * attempts fail at random, with the retry budget and with a fixed number of
 * attempts.
 */
#include <stdbool.h>
#include <stdio.h>

#include "policy/retry.h"
#include "regress/random.h"

enum { REQUESTS = 200000, PER_S = 100 };

static void simulate(uint32_t fail_percent, bool budget);

/*
 * Simulates REQUESTS requests whose attempts fail with fail_percent, with the
 * retry budget or with a fixed number of attempts.
 */
static void simulate(uint32_t fail_percent, bool budget)
{
	struct random_source rnd = { .seed = fail_percent };
	struct retry_budget org, service;
	uint64_t attempts = 0, served = 0;
	uint32_t i;

	retry_init(&org, &retry_defaults, 0);
	retry_init(&service, &retry_defaults, 0);
	for (i = 0; i < REQUESTS; i++) {
		uint64_t now = i * 1000ULL / PER_S;
		uint32_t made = 0;

		for (;;) {
			made++;
			if (random_below(&rnd, 100) >= fail_percent) {
				served++;
				retry_success(&org, &retry_defaults);
				retry_success(&service, &retry_defaults);
				break;
			}
			if (budget ? retry_take(&org, &service, &retry_defaults,
						made, now) != RETRY_OK
				   : made >= retry_defaults.attempts_max)
				break;
		}
		attempts += made;
	}
	printf("retry_failing_%u_%s_attempts %.3f per-request\n", fail_percent,
	       budget ? "budget" : "fixed", (double)attempts / REQUESTS);
	printf("retry_failing_%u_%s_served %.4f of-requests\n", fail_percent,
	       budget ? "budget" : "fixed", (double)served / REQUESTS);
}

int main(void)
{
	static const uint32_t failing[] = { 1, 5, 10, 50, 100 };
	size_t i;

	for (i = 0; i < sizeof(failing) / sizeof(failing[0]); i++) {
		simulate(failing[i], true);
		simulate(failing[i], false);
	}
	return 0;
}
