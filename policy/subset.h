#ifndef POLICY_SUBSET_H
#define POLICY_SUBSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/shard.h"

#define SUBSET_SIZE 32 /* endpoints of a model per instance, at least */
#define SUBSET_SIZE_MIN 16 /* an instance with fewer adds some itself */
#define SUBSET_USERS_MIN 8 /* instances that use one endpoint */
#define SUBSET_WATCHERS 3 /* instances that watch one endpoint */

struct subset_endpoint {
	uint64_t id;
	uint16_t zone;
	uint16_t region;
};

/* One endpoint that an instance uses. */
struct subset_entry {
	uint32_t endpoint; /* index into the endpoint table */
	bool watch; /* probe it and report its state */
};

unsigned int subset_users(size_t n_instances, size_t n_endpoints);
size_t subset_of_endpoint(const struct shard_member *instances, size_t n,
			  const struct subset_endpoint *e, unsigned int users,
			  uint16_t *out);
size_t subset_of_instance(const struct shard_member *instances, size_t n,
			  size_t self, const struct subset_endpoint *endpoints,
			  size_t n_endpoints, struct subset_entry *out);

#endif /* POLICY_SUBSET_H */
