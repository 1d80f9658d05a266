#ifndef REGRESS_SOAK_LATE_PHASE_H
#define REGRESS_SOAK_LATE_PHASE_H

#include "lib/http1_client.h"
#include "regress/platform_standin.h"

/* What the phase runs on; the first n_plain workers are plain ones. */
struct late_phase {
	struct harness *harness;
	struct standin_world *world;
	struct http1_client *client;
	struct standin_instance *instances;
	size_t n_instances;
	size_t n_plain;
	uint64_t seed;
};

void late_phase_run(const struct late_phase *p);

#endif /* REGRESS_SOAK_LATE_PHASE_H */
