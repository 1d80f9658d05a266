/*
 * Builds gossip digests: the sender's own record, updates about other
 * instances, endpoint states and suspect requests.
 */
#include "fleetd/digest.h"

#include <stdlib.h>
#include <string.h>

#include "fleetd/gossip.h"
#include "fleetd/roster.h"
#include "lib/xalloc.h"

/* Initializes a digest with this instance's own record and storage for
 * max_updates further ones. */
void digest_init(struct fleetd *f, struct digest *d, Cdm__DigestKind kind,
		 size_t max_updates)
{
	const struct member *self = member_find(gossip_members(f), f->self);

	memset(d, 0, sizeof(*d));
	cdm__digest__init(&d->message);
	d->message.kind = kind;
	d->message.from = f->self;
	d->message.config_version = f->config ? f->config->version : 0;
	d->members = xcalloc(max_updates + 1, sizeof(*d->members));
	d->updates = xcalloc(max_updates + 1, sizeof(Cdm__Member *));
	d->message.updates = d->updates;
	digest_add(f, d, &self->u);
}

/* Adds an update unless the roster lacks the instance's name. */
void digest_add(struct fleetd *f, struct digest *d,
		const struct member_update *u)
{
	const struct roster_entry *e = roster_find(f->roster, u->id);
	Cdm__Member *m = &d->members[d->message.n_updates];

	if (!e || u->state == MEMBER_UNKNOWN)
		return;
	roster_pack(e, m);
	m->state = roster_state_to_wire(u->state);
	m->incarnation = u->incarnation;
	m->config_version = u->config_version;
	d->updates[d->message.n_updates++] = m;
}

/* Adds the endpoint states and suspect requests that are due to spread. */
void digest_add_gossip(struct fleetd *f, struct digest *d)
{
	size_t i;

	d->message.n_endpoints =
		endpoints_select_gossip(f, d->states, ENDPOINT_GOSSIP_MAX);
	for (i = 0; i < d->message.n_endpoints; i++)
		d->endpoints[i] = &d->states[i];
	d->message.endpoints = d->endpoints;
	d->message.n_suspicions =
		suspects_select(f, d->suspicions, SUSPECT_UPDATES_MAX);
	for (i = 0; i < d->message.n_suspicions; i++)
		d->suspicion_list[i] = &d->suspicions[i];
	d->message.suspicions = d->suspicion_list;
}

/* Adds all other instances, every endpoint that is lost or leaving and every
 * suspect request.  Used instead of digest_add_gossip(). */
void digest_add_table(struct fleetd *f, struct digest *d)
{
	const struct member_table *t = gossip_members(f);
	Cdm__Digest *m = &d->message;
	size_t i;

	for (i = 0; i < t->n; i++)
		if (t->members[i].u.id != f->self)
			digest_add(f, d, &t->members[i].u);
	d->all_states = endpoints_unavailable(f, &m->n_endpoints);
	d->all_endpoints =
		xcalloc(m->n_endpoints, sizeof(Cdm__EndpointState *));
	for (i = 0; i < m->n_endpoints; i++)
		d->all_endpoints[i] = &d->all_states[i];
	m->endpoints = d->all_endpoints;
	d->all_suspicions = suspects_changes(f, 0, &m->n_suspicions);
	d->all_suspicion_list =
		xcalloc(m->n_suspicions, sizeof(Cdm__Suspicion *));
	for (i = 0; i < m->n_suspicions; i++)
		d->all_suspicion_list[i] = &d->all_suspicions[i];
	m->suspicions = d->all_suspicion_list;
}

/* Frees the storage of a digest. */
void digest_release(struct digest *d)
{
	free(d->members);
	free(d->updates);
	free(d->all_states);
	free(d->all_endpoints);
	free(d->all_suspicions);
	free(d->all_suspicion_list);
}
