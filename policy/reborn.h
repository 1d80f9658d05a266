#ifndef POLICY_REBORN_H
#define POLICY_REBORN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Another id answers at the address of an endpoint that was found dead. */
struct reborn {
	int64_t heard_ms_ago; /* of the endpoint that was known; -1: never */
	uint64_t reuse_after_ms; /* another service may have the address then */
	size_t engine_services; /* services that have engines */
	bool engine; /* the endpoint was one */
};

enum reborn_verdict {
	REBORN_LEAVE, /* it may be anyone: the store will tell */
	REBORN_ASK, /* a report tells */
	REBORN_BELIEVE, /* it is the same service */
};

/* What is done about an endpoint that is down. */
struct reborn_probe {
	uint64_t probed_ms_ago;
	size_t instances;
	bool answers; /* the store does */
};

#define REBORN_TICK_MS 20 /* how often reborn_probe_due() is asked */

enum reborn_verdict reborn_judge(const struct reborn *r);
bool reborn_probe_due(const struct reborn_probe *p, uint64_t rnd);

#endif /* POLICY_REBORN_H */
