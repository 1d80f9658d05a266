#ifndef REGRESS_SOAK_ORDER_PHASE_H
#define REGRESS_SOAK_ORDER_PHASE_H

#include "lib/http1_client.h"
#include "regress/platform_standin.h"

/* What the phase runs on.  The engines are the workers from first_engine on, and
 * the last ones of them, from first_direct on, are reached without a proxy. */
struct order_phase {
	struct harness *harness;
	struct standin_world *world;
	struct http1_client *client;
	struct standin_instance *instances;
	size_t n_instances;
	size_t first_engine;
	size_t first_direct;
	const char *fault_control; /* of the fault proxy */
	const char *const *proxy_addresses; /* of workers, then of the store */
	int version; /* of the configuration that the phase writes */
	unsigned int ms; /* how long the faults last */
	uint64_t seed;
};

void order_phase_run(const struct order_phase *p);

#endif /* REGRESS_SOAK_ORDER_PHASE_H */
