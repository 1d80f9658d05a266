/*
 * The instances of the fleet as cdmfleetd tells them, the shard of each
 * organisation, and the answer to GET /v1/entries.
 */
#include "entryd/members.h"

#include <stdlib.h>
#include <string.h>

#include "entryd/endpoints.h"
#include "entryd/orgs.h"
#include "lib/ident.h"
#include "lib/log.h"
#include "lib/xalloc.h"

#define WEIGHT_UNIT 1000 /* of a configured weight of 1 */
#define PLAN_STEPS 16 /* of a plan in one tick */

struct instance {
	uint64_t id;
	char *name;
	char *zone;
	enum member_state state;
	char **addresses; /* of its cdmentryds */
	size_t n_addresses;
};

/* A plan and the organisations that it was built for. */
struct shards {
	struct shard_plan plan;
	struct shard_org *orgs;
	size_t n_orgs;
};

struct members {
	struct instance *all;
	size_t n;
	struct shard_member *serving; /* sorted by zone and id */
	size_t n_serving;
	struct shards now; /* in use */
	struct shards next; /* being built */
	bool changed; /* instances or organisations */
	bool building;
	bool replan; /* once what is being built is complete */
};

static struct instance *instance_find(struct members *m, uint64_t id);
static void instance_update(struct instance *member, const Cdm__Member *from);
static void instance_release(struct instance *member);
static enum member_state state_of(const Cdm__Member *from);
static void list_serving(struct members *m);
static void plan_begin(struct entryd *e);
static void plan_step(struct members *m, unsigned steps);
static void shards_release(struct shards *s);
static size_t shards_index(const struct shards *s, const struct org *org);
static int compare_serving(const void *a, const void *b);
static void add_addresses(json_t *list, const struct instance *member);

/* Makes an empty table. */
struct members *members_new(void)
{
	struct members *m = xcalloc(1, sizeof(*m));

	shard_plan_init(&m->now.plan);
	shard_plan_init(&m->next.plan);
	return m;
}

/* Frees a table. */
void members_free(struct members *m)
{
	size_t i;

	for (i = 0; i < m->n; i++)
		instance_release(&m->all[i]);
	shards_release(&m->now);
	shards_release(&m->next);
	free(m->all);
	free(m->serving);
	free(m);
}

/* Takes changed instances from cdmfleetd. */
void members_heard(struct entryd *e, Cdm__Member **list, size_t n)
{
	struct members *m = e->members;
	size_t i;

	for (i = 0; i < n; i++) {
		struct instance *member = instance_find(m, list[i]->id);

		if (!member) {
			m->all = xreallocarray(m->all, m->n + 1,
					       sizeof(*m->all));
			member = &m->all[m->n++];
			memset(member, 0, sizeof(*member));
			member->id = list[i]->id;
		}
		instance_update(member, list[i]);
		m->changed = true;
	}
}

/* The organisations have changed. */
void members_configured(struct entryd *e)
{
	e->members->changed = true;
}

/* Takes changes in, and builds the next plan on by a few steps, so that the
 * loop never stands still for a whole plan of a large fleet. */
void members_tick(struct entryd *e)
{
	struct members *m = e->members;

	if (m->changed) {
		m->changed = false;
		m->replan = true;
		list_serving(m);
		endpoints_reassign(e);
	}
	if (m->replan && !m->building)
		plan_begin(e);
	if (m->building)
		plan_step(m, PLAN_STEPS);
}

/* Returns the serving instances sorted by zone and id; *self is the index of
 * this one, or *n. */
const struct shard_member *members_serving(struct entryd *e, size_t *n,
					   size_t *self)
{
	struct members *m = e->members;

	*n = m->n_serving;
	for (*self = 0; *self < *n && m->serving[*self].id != e->self;
	     (*self)++)
		;
	return m->serving;
}

/*
 * Writes the first max ids of an organisation's shard, in the same order at
 * every instance that knows the same members, and this instance's part of the
 * load, of SHARD_SHARE_ONE; 0 if it is not of the shard.  Returns the number of
 * all its members.
 */
size_t members_shard(struct entryd *e, const struct org *org, uint64_t *ids,
		     size_t max, uint16_t *part)
{
	const struct shards *s = &e->members->now;
	const struct shard_entry *entries;
	size_t index = shards_index(s, org);
	size_t n = 0;
	size_t i;

	*part = 0;
	if (index >= s->plan.n_orgs)
		return 0;
	entries = shard_entries(&s->plan, index, &n);
	for (i = 0; i < n; i++) {
		uint64_t id = s->plan.members[entries[i].member].id;

		if (id == e->self)
			*part = entries[i].share;
		if (i < max)
			ids[i] = id;
	}
	return n;
}

/* Returns the addresses that callers of an organisation should try, in order;
 * empty while the fleet is not known. */
json_t *members_entries(struct entryd *e, const struct org *org, uint16_t zone)
{
	struct members *m = e->members;
	const struct shard_plan *plan = &m->now.plan;
	size_t index = shards_index(&m->now, org);
	uint16_t order[SHARD_ORDER_MAX];
	json_t *list = json_array();
	size_t n;
	size_t i;

	if (index >= plan->n_orgs)
		return list;
	n = shard_order(plan, index, zone, 0, entryd_random(), order,
			SHARD_ORDER_MAX);
	for (i = 0; i < n; i++)
		add_addresses(list,
			      instance_find(m, plan->members[order[i]].id));
	return list;
}

/* Returns a member by its id, or NULL. */
static struct instance *instance_find(struct members *m, uint64_t id)
{
	size_t i;

	for (i = 0; i < m->n; i++)
		if (m->all[i].id == id)
			return &m->all[i];
	return NULL;
}

/* Copies what a message tells of an instance. */
static void instance_update(struct instance *member, const Cdm__Member *from)
{
	size_t i;

	instance_release(member);
	member->name = xstrdup(from->name);
	member->zone = xstrdup(from->zone);
	member->state = state_of(from);
	member->n_addresses = from->n_entry_addresses;
	member->addresses =
		xcalloc(member->n_addresses, sizeof(*member->addresses));
	for (i = 0; i < member->n_addresses; i++)
		member->addresses[i] = xstrdup(from->entry_addresses[i]);
}

/* Frees what a member owns. */
static void instance_release(struct instance *member)
{
	while (member->n_addresses)
		free(member->addresses[--member->n_addresses]);
	free(member->addresses);
	free(member->name);
	free(member->zone);
}

/* Returns the policy's state for the message's. */
static enum member_state state_of(const Cdm__Member *from)
{
	switch (from->state) {
	case CDM__MEMBER_STATE__MEMBER_ALIVE:
		return MEMBER_ALIVE;
	case CDM__MEMBER_STATE__MEMBER_SUSPECT:
		return MEMBER_SUSPECT;
	case CDM__MEMBER_STATE__MEMBER_LEAVING:
		return MEMBER_LEAVING;
	case CDM__MEMBER_STATE__MEMBER_DEAD:
		return MEMBER_DEAD;
	default:
		return MEMBER_LEFT;
	}
}

/* Lists the instances that serve callers. */
static void list_serving(struct members *m)
{
	size_t i;

	m->serving = xreallocarray(m->serving, m->n, sizeof(*m->serving));
	m->n_serving = 0;
	for (i = 0; i < m->n; i++) {
		const struct instance *in = &m->all[i];

		if ((in->state != MEMBER_ALIVE &&
		     in->state != MEMBER_SUSPECT) ||
		    !in->n_addresses)
			continue;
		m->serving[m->n_serving++] = (struct shard_member){
			.id = in->id,
			.zone = zone_id(in->zone),
			.state = in->state,
		};
	}
	qsort(m->serving, m->n_serving, sizeof(*m->serving), compare_serving);
}

/* Begins the next plan. */
static void plan_begin(struct entryd *e)
{
	struct members *m = e->members;
	struct shards *s = &m->next;
	const struct config *c = e->config;
	size_t i;

	m->replan = false;
	s->n_orgs = c ? c->n_organisations : 0;
	s->orgs = xreallocarray(s->orgs, s->n_orgs, sizeof(*s->orgs));
	for (i = 0; i < s->n_orgs; i++) {
		const struct config_organisation *o = &c->organisations[i];

		s->orgs[i] = (struct shard_org){
			.key = name_id(o->name),
			.weight = (uint32_t)(o->weight * WEIGHT_UNIT),
			.size = (uint16_t)o->shard_size,
		};
	}
	switch (shard_plan_begin(&s->plan, m->serving, m->n_serving, s->orgs,
				 s->n_orgs)) {
	case SHARD_OK:
		m->building = true;
		return;
	case SHARD_NO_MEMBERS:
		return; /* callers go on with the plan that was there */
	case SHARD_TOO_LARGE:
		log_msg(LOG_ERR, "shards", NULL,
			"%zu instances are too many for the shards to be "
			"worked out; the ones before stay",
			m->n_serving);
		return;
	}
}

/* Builds the next plan on; once complete it is the one in use. */
static void plan_step(struct members *m, unsigned steps)
{
	struct shards swap;

	while (steps--) {
		if (!shard_plan_step(&m->next.plan, m->next.orgs))
			continue;
		swap = m->now;
		m->now = m->next;
		m->next = swap;
		m->building = false;
		return;
	}
}

/* Frees what a plan and its organisations take. */
static void shards_release(struct shards *s)
{
	shard_plan_free(&s->plan);
	free(s->orgs);
}

/* Returns the index of an organisation in a plan, which may be older than the
 * configuration; n_orgs if it is not there. */
static size_t shards_index(const struct shards *s, const struct org *org)
{
	size_t i = org->config_index;

	if (i < s->n_orgs && s->orgs[i].key == org->id)
		return i;
	for (i = 0; i < s->n_orgs && s->orgs[i].key != org->id; i++)
		;
	return i;
}

/* Orders by zone, then id. */
static int compare_serving(const void *a, const void *b)
{
	const struct shard_member *x = a;
	const struct shard_member *y = b;

	if (x->zone != y->zone)
		return x->zone < y->zone ? -1 : 1;
	if (x->id != y->id)
		return x->id < y->id ? -1 : 1;
	return 0;
}

/* Adds each address of an instance. */
static void add_addresses(json_t *list, const struct instance *member)
{
	size_t i;

	if (!member)
		return;
	for (i = 0; i < member->n_addresses; i++)
		json_array_append_new(list,
				      json_pack("{s:s, s:s, s:s}", "address",
						member->addresses[i], "zone",
						member->zone, "instance",
						member->name));
}
