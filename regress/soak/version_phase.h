#ifndef REGRESS_SOAK_VERSION_PHASE_H
#define REGRESS_SOAK_VERSION_PHASE_H

#include "lib/http1_client.h"
#include "regress/platform_standin.h"

/* What the phase runs on; the engines are the workers from first_engine on. */
struct version_phase {
	struct harness *harness;
	struct standin_world *world;
	struct http1_client *client;
	struct standin_instance *instances;
	size_t n_instances;
	size_t first_engine;
	uint64_t seed;
};

void version_phase_run(const struct version_phase *p);

#endif /* REGRESS_SOAK_VERSION_PHASE_H */
