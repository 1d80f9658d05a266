/*
 * Instances of the fleet as reported by cdmfleetd, the shard of each
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

#define WEIGHT_UNIT 1000 /* scaled value of a configured weight of 1 */
#define PLAN_STEPS_PER_TICK 16 /* bounds the work of one tick */

struct instance {
	uint64_t id;
	char *name;
	char *zone;
	enum member_state state;
	char **addresses; /* of its cdmentryds */
	size_t n_addresses;
};

/* A shard plan and the organisations that it was built for. */
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
	struct shards current; /* in use */
	struct shards next; /* being built */
	bool changed; /* instances or organisations, since the last tick */
	bool building;
	bool replan; /* start a new plan once the current build completes */
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

/* Allocates an empty table. */
struct members *members_new(void)
{
	struct members *m = xcalloc(1, sizeof(*m));

	shard_plan_init(&m->current.plan);
	shard_plan_init(&m->next.plan);
	return m;
}

/* Frees a table. */
void members_free(struct members *m)
{
	size_t i;

	for (i = 0; i < m->n; i++)
		instance_release(&m->all[i]);
	shards_release(&m->current);
	shards_release(&m->next);
	free(m->all);
	free(m->serving);
	free(m);
}

/* Applies changed instances received from cdmfleetd. */
void members_receive(struct entryd *e, Cdm__Member **list, size_t n)
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

/* Notes that the organisations have changed. */
void members_orgs_changed(struct entryd *e)
{
	e->members->changed = true;
}

/* Applies changes and runs a few steps of the next plan's build, so that
 * planning for a large fleet never blocks the loop. */
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
		plan_step(m, PLAN_STEPS_PER_TICK);
}

/* Returns the serving instances sorted by zone and id.  *self is the index of
 * this instance, or *n if it is not serving. */
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
 * every instance that knows the same members, and this instance's fraction of
 * the load in units of 1 / SHARD_SHARE_ONE; 0 if it is not in the shard.
 * Returns the number of all members of the shard.
 */
size_t members_shard(struct entryd *e, const struct org *org, uint64_t *ids,
		     size_t max, uint16_t *fraction)
{
	const struct shards *s = &e->members->current;
	const struct shard_entry *entries;
	size_t index = shards_index(s, org);
	size_t n = 0;
	size_t i;

	*fraction = 0;
	if (index >= s->plan.n_orgs)
		return 0;
	entries = shard_entries(&s->plan, index, &n);
	for (i = 0; i < n; i++) {
		uint64_t id = s->plan.members[entries[i].member].id;

		if (id == e->self)
			*fraction = entries[i].share;
		if (i < max)
			ids[i] = id;
	}
	return n;
}

/* Returns the addresses that callers of an organisation should try, in order,
 * as a JSON array; it is empty while the fleet is unknown. */
json_t *members_entries(struct entryd *e, const struct org *org, uint16_t zone)
{
	struct members *m = e->members;
	const struct shard_plan *plan = &m->current.plan;
	size_t index = shards_index(&m->current, org);
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

/* Returns an instance by its id, or NULL. */
static struct instance *instance_find(struct members *m, uint64_t id)
{
	size_t i;

	for (i = 0; i < m->n; i++)
		if (m->all[i].id == id)
			return &m->all[i];
	return NULL;
}

/* Replaces the state of an instance by that of a message. */
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

/* Frees what an instance owns, but not its entry in the table. */
static void instance_release(struct instance *member)
{
	while (member->n_addresses)
		free(member->addresses[--member->n_addresses]);
	free(member->addresses);
	free(member->name);
	free(member->zone);
}

/* Converts a message's member state to the policy's. */
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

/* Rebuilds the sorted list of the instances that serve callers. */
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

/* Starts the build of the next plan. */
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
		return; /* the plan in use stays */
	case SHARD_TOO_LARGE:
		log_msg(LOG_ERR, "shards", NULL,
			"%zu instances are too many to compute shards for; the "
			"previous shards stay in use",
			m->n_serving);
		return;
	}
}

/* Runs up to the given number of steps of the next plan's build and puts the
 * plan in use once it is complete. */
static void plan_step(struct members *m, unsigned steps)
{
	struct shards swap;

	while (steps--) {
		if (!shard_plan_step(&m->next.plan, m->next.orgs))
			continue;
		swap = m->current;
		m->current = m->next;
		m->next = swap;
		m->building = false;
		return;
	}
}

/* Frees a plan and its organisations. */
static void shards_release(struct shards *s)
{
	shard_plan_free(&s->plan);
	free(s->orgs);
}

/* Returns the index of an organisation in a plan, which may be older than the
 * configuration; n_orgs if it is not in the plan. */
static size_t shards_index(const struct shards *s, const struct org *org)
{
	size_t i = org->config_index;

	if (i < s->n_orgs && s->orgs[i].key == org->id)
		return i;
	for (i = 0; i < s->n_orgs && s->orgs[i].key != org->id; i++)
		;
	return i;
}

/* Compares by zone, then by id; for qsort(). */
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

/* Appends each address of an instance; member may be NULL. */
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
