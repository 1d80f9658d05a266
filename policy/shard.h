#ifndef POLICY_SHARD_H
#define POLICY_SHARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/member.h"

#define SHARD_SIZE_MIN 4 /* instances, where the fleet has as many */
#define SHARD_REGION_MIN 2 /* instances in each region that serves */
#define SHARD_SPREAD 3 /* instances for each instance's worth of load */
#define SHARD_MEMBERS_MAX MEMBER_MAX
#define SHARD_ZONES_MAX 64
#define SHARD_REGIONS_MAX 32
#define SHARD_SHARE_ONE 65535 /* share of an entry that takes all the load */
#define SHARD_ORDER_MAX 16 /* addresses in one answer */

enum shard_outcome {
	SHARD_OK,
	SHARD_NO_MEMBERS, /* nobody serves */
	SHARD_TOO_LARGE, /* members, zones or regions beyond the maxima */
};

/* How strictly callers are sent to what is near them. */
enum shard_near {
	SHARD_NEAR_REGION, /* zones of a region count alike */
	SHARD_NEAR_ZONE, /* the caller's zone goes first */
};

struct shard_member {
	uint64_t id;
	uint16_t zone;
	uint16_t region; /* below SHARD_REGIONS_MAX */
	enum member_state state;
	bool leaving;
};

struct shard_org {
	uint64_t key; /* hash of the organisation's name */
	uint32_t weight; /* share of the load, any unit; 0 counts as 1 */
	uint16_t size; /* configured number of instances; 0: by weight */
	uint32_t regions; /* bit set of regions that may serve; 0: all */
};

struct shard_entry {
	uint16_t member; /* index into the plan's members */
	uint16_t share; /* of the organisation's load, of SHARD_SHARE_ONE */
};

/*
 * Who serves whom.  Every instance that builds a plan from the same members
 * and organisations gets the same one.  The plan owns its arrays and keeps
 * them from build to build.
 */
struct shard_plan {
	enum shard_near near; /* set by the owner after shard_plan_init() */
	size_t n_members; /* serving ones only, sorted by zone and id */
	size_t n_orgs;
	size_t n_zones;
	size_t n_entries;
	size_t max_entries;
	size_t max_orgs;
	struct shard_member *members;
	double *load; /* by member, of the mean */
	uint32_t *first; /* by organisation, n_orgs + 1 of them */
	struct shard_entry *entries;
	struct shard_scratch *scratch;
};

size_t shard_members(const struct member_table *t, struct shard_member *out);
unsigned int shard_size(double share, size_t n_members, size_t n_regions,
			unsigned int size);
void shard_plan_init(struct shard_plan *plan);
void shard_plan_free(struct shard_plan *plan);
enum shard_outcome shard_plan_build(struct shard_plan *plan,
				    const struct shard_member *members,
				    size_t n_members,
				    const struct shard_org *orgs,
				    size_t n_orgs);
enum shard_outcome shard_plan_begin(struct shard_plan *plan,
				    const struct shard_member *members,
				    size_t n_members,
				    const struct shard_org *orgs,
				    size_t n_orgs);
bool shard_plan_step(struct shard_plan *plan, const struct shard_org *orgs);
const struct shard_entry *shard_of(const struct shard_plan *plan, size_t org,
				   size_t *n);
bool shard_serves(const struct shard_plan *plan, size_t org, uint64_t id);
size_t shard_order(const struct shard_plan *plan, size_t org, uint16_t zone,
		   uint16_t region, uint64_t rnd, uint16_t *out, size_t max);
double shard_fullest(const struct shard_plan *plan);

#endif /* POLICY_SHARD_H */
