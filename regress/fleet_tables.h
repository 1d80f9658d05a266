#ifndef REGRESS_FLEET_TABLES_H
#define REGRESS_FLEET_TABLES_H

#include <stddef.h>
#include <stdint.h>

#include "policy/shard.h"
#include "policy/subset.h"

#define FLEET_INSTANCES_MAX 920
#define FLEET_ENDPOINTS_MAX 6600
#define FLEET_ORGS_MAX 1300
#define FLEET_SIZES 3 /* initial size, a tenth of the target, the target */

/* A synthetic fleet of instances, endpoints and organisations. */
struct fleet {
	size_t n_instances;
	size_t n_endpoints;
	size_t n_orgs;
	unsigned int n_zones;
	unsigned int n_regions;
	unsigned int n_models; /* endpoint i serves model i % n_models */
	struct shard_member instances[FLEET_INSTANCES_MAX];
	struct subset_endpoint endpoints[FLEET_ENDPOINTS_MAX];
	struct shard_org orgs[FLEET_ORGS_MAX];
};

const char *fleet_resize(struct fleet *f, size_t size, uint64_t seed);
void fleet_fill(struct fleet *f, uint64_t seed);

#endif /* REGRESS_FLEET_TABLES_H */
