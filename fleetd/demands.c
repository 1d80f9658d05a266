/*
 * Forwards the demands of organisations between the cdmentryds that share a
 * limit: to the instances of the organisation's shard, or in a small fleet to
 * all instances.  Only the cdmentryds interpret them.
 */
#include "fleetd/demands.h"

#include <stdlib.h>
#include <string.h>

#include "fleetd/feed.h"
#include "fleetd/gossip.h"
#include "fleetd/peers.h"
#include "fleetd/roster.h"
#include "lib/counters.h"
#include "lib/ident.h"
#include "lib/xalloc.h"
#include "policy/shard.h"

#define DEMANDS_BROADCAST_MAX 16 /* largest fleet that gets all demands */
#define WEIGHT_SCALE 1000 /* shard weight of a configured weight of 1 */

/* The shard plan by which demands are routed. */
struct demands {
	struct shard_plan plan;
	bool stale; /* the plan must be rebuilt */
};

static struct counter demands_passed = {
	.name = "cdmfleetd_demands_passed",
	.help = "Messages with demands passed on to other instances.",
};

static void build_plan(struct fleetd *f);
static void send_to(struct fleetd *f, uint64_t id, const Cdm__Observation *m);
static size_t select_demands(struct fleetd *f, const Cdm__Observation *m,
			     uint64_t id, Cdm__Demand **out);
static size_t organisation_index(const struct config *c, const char *name);

/* Returns an empty plan and registers the counter. */
struct demands *demands_new(void)
{
	struct demands *d = xcalloc(1, sizeof(*d));

	shard_plan_init(&d->plan);
	d->stale = true;
	counter_register(&demands_passed);
	return d;
}

void demands_free(struct demands *d)
{
	shard_plan_free(&d->plan);
	free(d);
}

/* Marks the shards for recomputation after a change of members or
 * configuration. */
void demands_changed(struct fleetd *f)
{
	f->demands->stale = true;
}

/* Sends the demands of a cdmentryd of this instance to the other instances
 * concerned and to the other cdmentryds of this one. */
void demands_observed(struct fleetd *f, const struct frame_conn *from,
		      const Cdm__Observation *m)
{
	const struct member_table *t = gossip_members(f);
	Cdm__Observation out = CDM__OBSERVATION__INIT;
	const struct member *member;
	size_t i;

	if (!f->config)
		return;
	if (f->demands->stale)
		build_plan(f);
	out.instance = f->settings->instance;
	out.demands = xcalloc(m->n_demands, sizeof(Cdm__Demand *));
	for (i = 0; i < t->n; i++) {
		member = &t->members[i];
		if (member->u.id == f->self || !member_serves(member))
			continue;
		out.n_demands = select_demands(f, m, member->u.id, out.demands);
		if (out.n_demands)
			send_to(f, member->u.id, &out);
	}
	free(out.demands);
	feed_forward(f, from, m);
}

/* Passes the demands of another instance to the cdmentryds of this one. */
void demands_received(struct fleetd *f, Cdm__Observation *m)
{
	if (m->instance && m->n_demands)
		feed_forward(f, NULL, m);
}

/* Recomputes the shards. */
static void build_plan(struct fleetd *f)
{
	const struct member_table *t = gossip_members(f);
	const struct config *c = f->config;
	struct shard_member *members = xcalloc(t->n, sizeof(*members));
	struct shard_org *orgs = xcalloc(c->n_organisations, sizeof(*orgs));
	size_t i;

	for (i = 0; i < t->n; i++) {
		members[i].id = t->members[i].u.id;
		members[i].zone = t->members[i].u.addr.zone;
		members[i].state = t->members[i].u.state;
		members[i].leaving = !member_serves(&t->members[i]);
	}
	for (i = 0; i < c->n_organisations; i++) {
		orgs[i].key = name_id(c->organisations[i].name);
		orgs[i].weight =
			(uint32_t)(c->organisations[i].weight * WEIGHT_SCALE);
		orgs[i].size = (uint16_t)c->organisations[i].shard_size;
	}
	shard_plan_build(&f->demands->plan, members, t->n, orgs,
			 c->n_organisations);
	f->demands->stale = false;
	free(members);
	free(orgs);
}

/* Sends demands to one instance. */
static void send_to(struct fleetd *f, uint64_t id, const Cdm__Observation *m)
{
	const struct roster_entry *e = roster_find(f->roster, id);

	if (!e)
		return;
	counter_add(&demands_passed, 1);
	peers_send(f, id, e->control_address,
		   CDM__FRAME_TYPE__FRAME_OBSERVATION, &m->base);
}

/* Collects the demands that concern the instance; returns their number. */
static size_t select_demands(struct fleetd *f, const Cdm__Observation *m,
			     uint64_t id, Cdm__Demand **out)
{
	const struct shard_plan *plan = &f->demands->plan;
	size_t n = 0;
	size_t org;
	size_t i;

	for (i = 0; i < m->n_demands; i++) {
		org = organisation_index(f->config,
					 m->demands[i]->organisation);
		if (org < plan->n_orgs &&
		    (plan->n_members <= DEMANDS_BROADCAST_MAX ||
		     shard_serves(plan, org, id)))
			out[n++] = m->demands[i];
	}
	return n;
}

/* Returns the index of an organisation, or n_organisations if not found. */
static size_t organisation_index(const struct config *c, const char *name)
{
	size_t i;

	for (i = 0; i < c->n_organisations; i++)
		if (!strcmp(c->organisations[i].name, name))
			break;
	return i;
}
