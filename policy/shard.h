#ifndef POLICY_SHARD_H
#define POLICY_SHARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/member.h"

#define SHARD_SIZE_MIN 4 /* instances of a shard, if the fleet has as many */
#define SHARD_REGION_MIN 2 /* instances in each region of a shard */
#define SHARD_SPREAD 3 /* shard size over the number that its load needs */
#define SHARD_MEMBERS_MAX MEMBER_MAX
#define SHARD_ZONES_MAX 64
#define SHARD_REGIONS_MAX 32
#define SHARD_SHARE_ONE 65535 /* share of an entry with all the load */
#define SHARD_ORDER_MAX 16 /* addresses in one answer */

enum shard_outcome {
	SHARD_OK,
	SHARD_NO_MEMBERS, /* no member serves */
	SHARD_TOO_LARGE, /* members, zones or regions beyond the maxima */
};

/* How strongly callers prefer nearby instances. */
enum shard_locality {
	SHARD_LOCALITY_REGION, /* all zones of a region are equal */
	SHARD_LOCALITY_ZONE, /* the caller's zone is preferred */
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
	uint32_t weight; /* relative load, in any unit; 0 counts as 1 */
	uint16_t size; /* configured shard size, instances; 0: by weight */
	uint32_t regions; /* bit set of allowed regions; 0: all */
};

struct shard_entry {
	uint16_t member; /* index into the plan's members */
	uint16_t share; /* of its load, in 1 / SHARD_SHARE_ONE */
};

/*
 * The assignment of organisations to instances.  All instances that build a
 * plan from the same members and organisations get the same result.  The plan
 * owns its arrays and reuses them for the next build.
 */
struct shard_plan {
	enum shard_locality locality; /* set after shard_plan_init() */
	size_t n_members; /* serving ones only, sorted by zone and id */
	size_t n_orgs;
	size_t n_zones;
	size_t n_entries;
	size_t max_entries;
	size_t max_orgs;
	struct shard_member *members;
	double *load; /* by member, relative to the mean */
	uint32_t *first_entry; /* by organisation; n_orgs + 1 items */
	struct shard_entry *entries;
	struct shard_scratch *scratch;
};

size_t shard_copy_members(const struct member_table *t,
			  struct shard_member *out);
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
const struct shard_entry *shard_entries(const struct shard_plan *plan,
					size_t org, size_t *n);
bool shard_serves(const struct shard_plan *plan, size_t org, uint64_t id);
size_t shard_order(const struct shard_plan *plan, size_t org, uint16_t zone,
		   uint16_t region, uint64_t rnd, uint16_t *out, size_t max);
double shard_max_load(const struct shard_plan *plan);

#endif /* POLICY_SHARD_H */
