/*
 * Organisations: the share of each one's limit that is in force here.  The
 * shares follow demand between the instances of the organisation's shard.
 */
#include "entryd/orgs.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "entryd/fleet.h"
#include "entryd/members.h"
#include "entryd/services.h"
#include "lib/ident.h"
#include "lib/log.h"
#include "lib/xalloc.h"

#define STARTUP_SETTLE_MS 3000 /* after the first configuration */
#define EXCHANGE_INTERVAL_MS 500 /* of demands; shares are updated then */
#define PUBLISH_IDLE_MS 3000 /* without requests; then not published */
#define WEIGHT_UNIT 1000
#define DEMANDS_MAX 512 /* in one message */

static const struct share_params share_params = {
	.fresh_ms = EXCHANGE_INTERVAL_MS,
	.hold_ms = 6 * EXCHANGE_INTERVAL_MS,
};

struct orgs {
	struct org *all[ORGS_MAX];
	size_t n;
	uint64_t next_exchange_at; /* ms */
	uint64_t settled_at; /* ms; shards may be partly unknown before */
};

static struct org *org_add(struct entryd *e, const char *name);
static void org_update_share(struct entryd *e, struct org *o, uint64_t now);
static size_t list_shard(const struct entryd *e, const struct org *o,
			 const uint64_t *ids, size_t n, uint64_t now,
			 struct share_member *members);
static bool must_publish(const struct org *o, uint64_t now);
static const struct org_peer *peer_find(const struct org *o, uint64_t id);
static void publish(struct entryd *e, uint64_t now);

/* Allocates an empty table. */
struct orgs *orgs_new(void)
{
	return xcalloc(1, sizeof(struct orgs));
}

/* Frees a table. */
void orgs_free(struct orgs *t)
{
	while (t->n) {
		free(t->all[--t->n]->name);
		free(t->all[t->n]);
	}
	free(t);
}

/* Applies the organisations of a new configuration. */
void orgs_configure(struct entryd *e)
{
	const struct config *c = e->config;
	size_t i;

	if (!e->orgs->settled_at)
		e->orgs->settled_at = entryd_now(e) + STARTUP_SETTLE_MS;
	for (i = 0; i < e->orgs->n; i++)
		e->orgs->all[i]->configured = false;
	for (i = 0; i < c->n_organisations; i++) {
		const struct config_organisation *from = &c->organisations[i];
		uint32_t index = org_index(e, name_id(from->name));
		struct org *o = index < ORGS_MAX ? e->orgs->all[index]
						 : org_add(e, from->name);

		if (!o)
			continue;
		o->configured = true;
		o->config_index = i;
		o->weight = (uint32_t)(from->weight * WEIGHT_UNIT);
		o->limit = (uint32_t)from->max_running;
		org_update_share(e, o, entryd_now(e));
	}
	e->orgs->next_exchange_at = 0;
}

/* Updates the shares and publishes demands, once per EXCHANGE_INTERVAL_MS. */
void orgs_tick(struct entryd *e, uint64_t now)
{
	size_t i;

	if (now < e->orgs->next_exchange_at)
		return;
	e->orgs->next_exchange_at = now + EXCHANGE_INTERVAL_MS;
	for (i = 0; i < e->orgs->n; i++) {
		struct org *o = e->orgs->all[i];

		if (o->running || o->waiting)
			o->active_at = now;
		if (o->configured)
			org_update_share(e, o, now);
	}
	publish(e, now);
}

/* Applies the demands that another instance published. */
void orgs_receive(struct entryd *e, const char *instance, Cdm__Demand **demands,
		  size_t n)
{
	uint64_t id = name_id(instance);
	uint64_t now = entryd_now(e);
	size_t i;

	for (i = 0; i < n; i++) {
		uint32_t index =
			org_index(e, name_id(demands[i]->organisation));
		struct org_peer *peer;
		struct org *o;

		if (index >= ORGS_MAX)
			continue;
		o = e->orgs->all[index];
		peer = (struct org_peer *)peer_find(o, id);
		if (!peer && o->n_peers < ORG_PEERS_MAX)
			peer = &o->peers[o->n_peers++];
		if (!peer)
			continue;
		peer->id = id;
		peer->member.demand = demands[i]->running + demands[i]->waiting;
		peer->member.share = demands[i]->share;
		peer->member.last_seen_ms = now;
		if (peer->member.demand)
			o->active_at = now;
	}
}

/* Returns an organisation by its index. */
struct org *org_at(const struct entryd *e, uint32_t index)
{
	assert(index < e->orgs->n);
	return e->orgs->all[index];
}

/* Returns the index of an organisation, or ORGS_MAX. */
uint32_t org_index(const struct entryd *e, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < e->orgs->n; i++)
		if (e->orgs->all[i]->id == id)
			return i;
	return ORGS_MAX;
}

/* Adds an organisation.  Returns NULL if there are ORGS_MAX already. */
static struct org *org_add(struct entryd *e, const char *name)
{
	struct org *o;

	if (e->orgs->n == ORGS_MAX) {
		log_msg(LOG_ERR, "organisations", NULL,
			"organisation %s exceeds the limit of this process; "
			"its requests are refused until it is restarted",
			name);
		return NULL;
	}
	o = xcalloc(1, sizeof(*o));
	o->id = name_id(name);
	o->name = xstrdup(name);
	retry_init(&o->retry, &retry_defaults, entryd_now(e));
	e->orgs->all[e->orgs->n++] = o;
	return o;
}

/*
 * Computes the organisation's next share and puts it in force.  A large shard
 * does not exchange demands, since the cost grows with the square of its size:
 * its limit is split in proportion to the planned load, over which many callers
 * spread evenly.
 */
static void org_update_share(struct entryd *e, struct org *o, uint64_t now)
{
	struct share_member members[SHARE_EXCHANGE_MAX];
	uint64_t ids[SHARE_EXCHANGE_MAX];
	uint16_t fraction;
	size_t n = members_shard(e, o, ids, SHARE_EXCHANGE_MAX, &fraction);
	size_t self;

	o->exchanges = fraction && n <= SHARE_EXCHANGE_MAX;
	if (o->exchanges && now < e->orgs->settled_at) {
		/* other members of the shard may be unknown yet */
		o->share = share_even(o->limit, SHARE_EXCHANGE_MAX - 1,
				      SHARE_EXCHANGE_MAX);
	} else if (!fraction) {
		/* not in its shard: only callers with an outdated
		 * answer of /v1/entries come here */
		o->share = share_nonmember(o->limit);
	} else if (!o->exchanges) {
		o->share = (uint32_t)((uint64_t)o->limit * fraction /
				      SHARD_SHARE_ONE);
	} else {
		self = list_shard(e, o, ids, n, now, members);
		members[self].share = o->share;
		o->share = o->share ? share_next(o->limit, members, n, self,
						 now, &share_params)
				    : share_even(o->limit, self, n);
	}
	if (!o->share)
		o->share = 1;
	services_set_org(e, org_index(e, o->id));
}

/* Lists the shard's members with the demand that they published.  Returns the
 * index of this instance, which is one of them. */
static size_t list_shard(const struct entryd *e, const struct org *o,
			 const uint64_t *ids, size_t n, uint64_t now,
			 struct share_member *members)
{
	size_t self = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		const struct org_peer *peer = peer_find(o, ids[i]);

		memset(&members[i], 0, sizeof(members[i]));
		if (ids[i] == e->self) {
			self = i;
			members[i].demand = o->running + o->waiting;
			members[i].last_seen_ms = now;
		} else if (peer) {
			members[i] = peer->member;
		}
	}
	return self;
}

/* Returns whether the organisation's demand must be published to the other
 * instances of its shard. */
static bool must_publish(const struct org *o, uint64_t now)
{
	return o->configured && o->exchanges && o->active_at &&
	       now - o->active_at <= PUBLISH_IDLE_MS;
}

/* Returns what an instance published, or NULL. */
static const struct org_peer *peer_find(const struct org *o, uint64_t id)
{
	size_t i;

	for (i = 0; i < o->n_peers; i++)
		if (o->peers[i].id == id)
			return &o->peers[i];
	return NULL;
}

/* Publishes the demands of the organisations that had requests lately. */
static void publish(struct entryd *e, uint64_t now)
{
	static Cdm__Demand demands[DEMANDS_MAX];
	Cdm__Demand *list[DEMANDS_MAX];
	Cdm__Observation m = CDM__OBSERVATION__INIT;
	size_t n = 0;
	size_t i;

	for (i = 0; i < e->orgs->n && n < DEMANDS_MAX; i++) {
		const struct org *o = e->orgs->all[i];

		if (!must_publish(o, now))
			continue;
		cdm__demand__init(&demands[n]);
		demands[n].organisation = o->name;
		demands[n].running = o->running;
		demands[n].waiting = o->waiting;
		demands[n].has_share = 1;
		demands[n].share = o->share;
		list[n] = &demands[n];
		n++;
	}
	m.demands = list;
	m.n_demands = n;
	if (n)
		fleet_observe(e, &m);
}
