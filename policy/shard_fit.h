#ifndef POLICY_SHARD_FIT_H
#define POLICY_SHARD_FIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/shard.h"
#include "policy/smallest.h"

/* Shared by shard.c and shard_fit.c only. */
struct shard_zone {
	uint16_t id;
	uint16_t region;
	size_t first; /* index of its first member */
	size_t n;
	size_t quota; /* members for the current organisation */
};

/* The current organisation's load, by the region of its callers. */
struct shard_demand {
	uint32_t present; /* bit set of the regions with serving instances */
	unsigned int n_regions; /* highest of them plus one */
	size_t instances[SHARD_REGIONS_MAX]; /* serving, by region */
	double weight[SHARD_REGIONS_MAX]; /* of its members, by region */
	double sum; /* of `weight` */
	double caller_fraction[SHARD_REGIONS_MAX]; /* by region */
	double remote_fraction; /* callers in regions without its members */
};

struct shard_scratch {
	size_t n_orgs; /* to be planned */
	unsigned int n_rounds; /* fitting rounds so far */
	double total; /* weight of all organisations */
	size_t n_members;
	size_t n_zones;
	struct shard_demand demand;
	struct shard_zone zones[SHARD_ZONES_MAX];
	size_t n_regions; /* the next four: of the current organisation */
	size_t n_ordered;
	struct ranked regions[SHARD_REGIONS_MAX];
	struct ranked order[SHARD_ZONES_MAX];
	struct ranked ranked[SHARD_MEMBERS_MAX];
	struct shard_member members[SHARD_MEMBERS_MAX];
	double load[SHARD_MEMBERS_MAX];
	double weight[SHARD_MEMBERS_MAX];
};

uint32_t shard_org_regions(const struct shard_scratch *s,
			   const struct shard_org *org);
double shard_org_weight(const struct shard_org *org);
bool shard_fit_step(struct shard_plan *plan, const struct shard_org *orgs);

#endif /* POLICY_SHARD_FIT_H */
