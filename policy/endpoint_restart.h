#ifndef POLICY_ENDPOINT_RESTART_H
#define POLICY_ENDPOINT_RESTART_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* An endpoint that was found dead and at whose address another id answers. */
struct endpoint_restart {
	int64_t last_seen_ms_ago; /* the endpoint known before; -1: never */
	uint64_t reuse_after_ms; /* another service may have the address then */
	size_t engine_services; /* services that have engines */
	bool is_engine; /* the endpoint known before was one */
};

enum endpoint_restart_decision {
	ENDPOINT_RESTART_IGNORE, /* unknown service: wait for the store */
	ENDPOINT_RESTART_QUERY, /* fetch its report, which names the service */
	ENDPOINT_RESTART_ACCEPT, /* it is the same service */
};

/* Probing of an endpoint that is down. */
struct endpoint_restart_probe {
	uint64_t probed_ms_ago;
	size_t instances;
	bool store_answers;
};

/* Interval between calls of endpoint_restart_probe_due() */
#define ENDPOINT_RESTART_TICK_MS 20

enum endpoint_restart_decision endpoint_restart_decide(
	const struct endpoint_restart *r);
bool endpoint_restart_probe_due(const struct endpoint_restart_probe *p,
				uint64_t rnd);

#endif /* POLICY_ENDPOINT_RESTART_H */
