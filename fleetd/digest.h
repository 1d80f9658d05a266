#ifndef FLEETD_DIGEST_H
#define FLEETD_DIGEST_H

#include "fleetd/endpoints.h"
#include "fleetd/fleetd.h"
#include "fleetd/suspects.h"
#include "proto/control.pb-c.h"

/* A digest and the storage that its message points to. */
struct digest {
	Cdm__Digest message;
	Cdm__Member *members;
	Cdm__Member **updates;
	Cdm__EndpointState states[ENDPOINT_GOSSIP_MAX];
	Cdm__EndpointState *endpoints[ENDPOINT_GOSSIP_MAX];
	Cdm__Suspicion suspicions[SUSPECT_UPDATES_MAX];
	Cdm__Suspicion *suspicion_list[SUSPECT_UPDATES_MAX];
	/* of digest_add_table(): all that a new instance has missed */
	Cdm__EndpointState *all_states;
	Cdm__EndpointState **all_endpoints;
	Cdm__Suspicion *all_suspicions;
	Cdm__Suspicion **all_suspicion_list;
};

void digest_init(struct fleetd *f, struct digest *d, Cdm__DigestKind kind,
		 size_t max_updates);
void digest_add(struct fleetd *f, struct digest *d,
		const struct member_update *u);
void digest_add_gossip(struct fleetd *f, struct digest *d);
void digest_add_table(struct fleetd *f, struct digest *d);
void digest_release(struct digest *d);

#endif /* FLEETD_DIGEST_H */
