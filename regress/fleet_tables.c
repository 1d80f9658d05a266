/* Synthetic fleets for tests and benchmarks of policy/. */
#include <math.h>
#include <string.h>

#include "policy/pair_hash.h"
#include "regress/fleet_tables.h"

struct fleet_size {
	const char *name;
	size_t instances;
	size_t endpoints;
	size_t orgs;
	unsigned int zones;
	unsigned int regions;
	unsigned int models;
};

static const struct fleet_size sizes[FLEET_SIZES] = {
	{ "6", 6, 100, 10, 3, 1, 4 },
	{ "60", 60, 1000, 130, 6, 2, 10 },
	{ "920", 920, 6600, 1300, 13, 4, 29 },
};

/*
 * Sets a fleet to size `size`, below FLEET_SIZES, and fills it.  Returns the
 * size's name.
 */
const char *fleet_resize(struct fleet *f, size_t size, uint64_t seed)
{
	const struct fleet_size *s = &sizes[size];

	f->n_instances = s->instances;
	f->n_endpoints = s->endpoints;
	f->n_orgs = s->orgs;
	f->n_zones = s->zones;
	f->n_regions = s->regions;
	f->n_models = s->models;
	fleet_fill(f, seed);
	return s->name;
}

/*
 * Fills the tables; the caller has set the counts.  Instances and endpoints are
 * distributed round-robin over the zones; the weight of the organisation of
 * rank r is proportional to 1 / r.
 */
void fleet_fill(struct fleet *f, uint64_t seed)
{
	size_t i;

	for (i = 0; i < f->n_instances; i++) {
		struct shard_member *m = &f->instances[i];

		memset(m, 0, sizeof(*m));
		m->id = pair_hash(seed, i);
		m->zone = i % f->n_zones;
		m->region = m->zone % f->n_regions;
		m->state = MEMBER_ALIVE;
	}
	for (i = 0; i < f->n_endpoints; i++) {
		struct subset_endpoint *e = &f->endpoints[i];

		e->id = pair_hash(seed + 1, i);
		e->zone = (i / f->n_models) % f->n_zones;
		e->region = e->zone % f->n_regions;
	}
	for (i = 0; i < f->n_orgs; i++) {
		struct shard_org *o = &f->orgs[i];

		memset(o, 0, sizeof(*o));
		o->key = pair_hash(seed + 2, i);
		o->weight = ceil(1e6 / (i + 1));
	}
}
