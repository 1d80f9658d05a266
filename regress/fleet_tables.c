/* Made-up fleets for tests and benches of policy/. */
#include <math.h>
#include <string.h>

#include "policy/pair_hash.h"
#include "regress/fleet_tables.h"

/*
 * Fills the tables: instances and endpoints dealt to the zones in turn, the
 * weight of the organisation of rank r in proportion to 1 / r.  The caller
 * has set the numbers.
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
