/*
 * The instances of the fleet as cdmfleetd tells them, the shard of each
 * organisation, and the answer to GET /v1/entries.
 */
#include "entryd/members.h"

#include <stdlib.h>
#include <string.h>

#include "lib/ident.h"
#include "lib/log.h"
#include "lib/xalloc.h"

#define WEIGHT_UNIT 1000 /* of a configured weight of 1 */

struct instance {
	uint64_t id;
	char *name;
	char *zone;
	enum member_state state;
	char **addresses; /* of its cdmentryds */
	size_t n_addresses;
};

struct members {
	struct instance *all;
	size_t n;
	struct shard_member *serving; /* sorted by zone and id */
	size_t n_serving;
	struct shard_plan plan;
	bool changed;
};

static struct instance *instance_find(struct members *m, uint64_t id);
static void instance_update(struct instance *member, const Cdm__Member *from);
static void instance_release(struct instance *member);
static enum member_state state_of(const Cdm__Member *from);
static void rebuild(struct entryd *e);
static int compare_serving(const void *a, const void *b);
static void add_addresses(json_t *list, const struct instance *member);

/* Makes an empty table. */
struct members *members_new(void)
{
	struct members *m = xcalloc(1, sizeof(*m));

	shard_plan_init(&m->plan);
	return m;
}

/* Frees a table. */
void members_free(struct members *m)
{
	size_t i;

	for (i = 0; i < m->n; i++)
		instance_release(&m->all[i]);
	shard_plan_free(&m->plan);
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

/* Returns the serving instances sorted by zone and id; *self is the index of
 * this one, or *n. */
const struct shard_member *members_serving(struct entryd *e, size_t *n,
					   size_t *self)
{
	struct members *m = e->members;

	rebuild(e);
	*n = m->n_serving;
	for (*self = 0; *self < *n && m->serving[*self].id != e->self;
	     (*self)++)
		;
	return m->serving;
}

/* Writes the ids of an organisation's shard, in the same order at every
 * instance that knows the same members; returns their number. */
size_t members_shard(struct entryd *e, size_t org, uint64_t *ids, size_t max)
{
	const struct shard_entry *entries;
	size_t n = 0;
	size_t i;

	rebuild(e);
	if (org >= e->members->plan.n_orgs)
		return 0;
	entries = shard_of(&e->members->plan, org, &n);
	if (n > max)
		n = max;
	for (i = 0; i < n; i++)
		ids[i] = e->members->plan.members[entries[i].member].id;
	return n;
}

/* Returns the addresses that callers of an organisation should try, in order;
 * empty while the fleet is not known. */
json_t *members_entries(struct entryd *e, size_t org, uint16_t zone)
{
	struct members *m = e->members;
	uint16_t order[SHARD_ORDER_MAX];
	json_t *list = json_array();
	size_t n;
	size_t i;

	rebuild(e);
	if (org >= m->plan.n_orgs)
		return list;
	n = shard_order(&m->plan, org, zone, 0, entryd_random(), order,
			SHARD_ORDER_MAX);
	for (i = 0; i < n; i++)
		add_addresses(list,
			      instance_find(m, m->plan.members[order[i]].id));
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

/* Works out the serving instances and the shards anew, if anything changed. */
static void rebuild(struct entryd *e)
{
	struct members *m = e->members;
	const struct config *c = e->config;
	struct shard_org *orgs;
	size_t n_orgs = c ? c->n_organisations : 0;
	size_t i;

	if (!m->changed)
		return;
	m->changed = false;
	m->serving = xreallocarray(m->serving, m->n, sizeof(*m->serving));
	m->n_serving = 0;
	for (i = 0; i < m->n; i++) {
		const struct instance *member = &m->all[i];

		if ((member->state != MEMBER_ALIVE &&
		     member->state != MEMBER_SUSPECT) ||
		    !member->n_addresses)
			continue;
		m->serving[m->n_serving++] = (struct shard_member){
			.id = member->id,
			.zone = zone_id(member->zone),
			.state = member->state,
		};
	}
	qsort(m->serving, m->n_serving, sizeof(*m->serving), compare_serving);
	orgs = xcalloc(n_orgs, sizeof(*orgs));
	for (i = 0; i < n_orgs; i++) {
		const struct config_organisation *o = &c->organisations[i];

		orgs[i].key = name_id(o->name);
		orgs[i].weight = (uint32_t)(o->weight * WEIGHT_UNIT);
		orgs[i].size = (uint16_t)o->shard_size;
	}
	if (shard_plan_build(&m->plan, m->serving, m->n_serving, orgs,
			     n_orgs) == SHARD_TOO_LARGE)
		log_msg(LOG_ERR, "shards", NULL,
			"%zu instances are too many for the shards to be "
			"worked out; callers get no entries",
			m->n_serving);
	free(orgs);
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
