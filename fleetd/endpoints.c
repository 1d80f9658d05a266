/*
 * The endpoints of the configuration in force and their state.  An instance
 * watches some of them and receives the state of the others in the digests of
 * the instances that watch those.
 */
#include "fleetd/endpoints.h"

#include <stdlib.h>
#include <string.h>

#include "fleetd/gossip.h"
#include "lib/counters.h"
#include "lib/ident.h"
#include "lib/log.h"
#include "lib/xalloc.h"
#include "policy/subset.h"

#define ENDPOINTS_TICK_MS 500
#define RESEND_INTERVAL_MS 4000 /* of a lasting loss or leaving */

static struct counter endpoints_up = {
	.name = "cdmfleetd_endpoints_up",
	.help = "Endpoints taken for up.",
	.kind = COUNTER_GAUGE,
};
static struct counter endpoints_watched = {
	.name = "cdmfleetd_endpoints_watched",
	.help = "Endpoints that this instance watches.",
	.kind = COUNTER_GAUGE,
};
static struct counter losses = {
	.name = "cdmfleetd_endpoint_losses",
	.help = "Endpoints that went from up to down.",
};

static int compare_endpoints(const void *a, const void *b);
static void mark_changed(struct fleetd *f, struct endpoint *e);
static bool must_resend(const struct endpoint *e);
static void assign_service(struct fleetd *f, size_t service,
			   const struct shard_member *members, size_t n,
			   size_t self);
static struct shard_member *serving_members(struct fleetd *f, size_t *n,
					    size_t *self);
static int compare_members(const void *a, const void *b);

/* Returns an empty table and registers the counters. */
struct endpoints *endpoints_new(void)
{
	counter_register(&endpoints_up);
	counter_register(&endpoints_watched);
	counter_register(&losses);
	return xcalloc(1, sizeof(struct endpoints));
}

/* Frees the table. */
void endpoints_free(struct endpoints *t)
{
	free(t->all);
	free(t);
}

/* Rebuilds the table for the configuration in force.  The state of an endpoint
 * is kept if its name is still configured. */
void endpoints_configure(struct fleetd *f)
{
	struct endpoints *t = f->endpoints;
	const struct config *c = f->config;
	struct endpoints old = *t;
	const struct config_service *service;
	const struct endpoint *before;
	struct endpoint *e;
	size_t i;

	t->all = xcalloc(c->n_endpoints, sizeof(*t->all));
	t->n = c->n_endpoints;
	for (i = 0; i < t->n; i++) {
		e = &t->all[i];
		e->id = name_id(c->endpoints[i].name);
		e->up = true;
		before = endpoints_find(&old, e->id);
		if (before)
			*e = *before;
		e->index = i;
		e->zone = zone_id(c->endpoints[i].zone);
		service = config_service_by_name(c, c->endpoints[i].service);
		e->service = (size_t)(service - c->services);
		e->model = service->kind == SERVICE_MODEL;
		e->next_poll_ms = 0;
		e->changed = fleetd_next_sequence(f);
	}
	qsort(t->all, t->n, sizeof(*t->all), compare_endpoints);
	free(old.all);
	endpoints_assign(f);
}

/* Determines which endpoints this instance uses and watches. */
void endpoints_assign(struct fleetd *f)
{
	struct shard_member *members;
	struct endpoint *e;
	size_t n_members;
	size_t self;
	size_t i;

	if (!f->config)
		return;
	for (i = 0; i < f->endpoints->n; i++) {
		e = &f->endpoints->all[i];
		if (e->watched)
			e->down_expires_ms =
				fleetd_now(f) + ENDPOINT_DOWN_TTL_MS;
		e->used = false;
		e->watched = false;
	}
	members = serving_members(f, &n_members, &self);
	if (self < n_members)
		for (i = 0; i < f->config->n_services; i++)
			assign_service(f, i, members, n_members, self);
	free(members);
}

/* Expires losses received by gossip, schedules lasting losses and leavings for
 * resending, and updates the gauges. */
void endpoints_tick(struct fleetd *f, uint64_t now)
{
	size_t watched = 0;
	struct endpoint *e;
	size_t up = 0;
	size_t i;

	if (now < f->endpoints->next_tick_ms)
		return;
	f->endpoints->next_tick_ms = now + ENDPOINTS_TICK_MS;
	for (i = 0; i < f->endpoints->n; i++) {
		e = &f->endpoints->all[i];
		watched += e->watched;
		up += e->up;
		if (!e->up && !e->watched && now >= e->down_expires_ms) {
			endpoint_set_up(f, e, true, "no loss reported lately");
			e->sends_left = 0;
		}
		if (now >= e->next_resend_ms && must_resend(e)) {
			e->next_resend_ms = now + RESEND_INTERVAL_MS;
			e->sends_left = ENDPOINT_SENDS;
		}
		endpoint_update_leaving(f, e);
	}
	counter_set(&endpoints_up, (double)up);
	counter_set(&endpoints_watched, (double)watched);
}

/* Returns the endpoint with the id, or NULL. */
struct endpoint *endpoints_find(const struct endpoints *t, uint64_t id)
{
	struct endpoint key = { .id = id };

	if (!t->n)
		return NULL;
	return bsearch(&key, t->all, t->n, sizeof(*t->all), compare_endpoints);
}

/* Returns whether the endpoint is leaving and so gets no new work. */
bool endpoint_leaving(const struct fleetd *f, const struct endpoint *e)
{
	return e->listed_leaving || e->drained ||
	       fleetd_now(f) < e->gossip_leaving_until_ms ||
	       f->config->endpoints[e->index].leaving;
}

/* Returns whether this instance has observed a lasting loss or leaving itself
 * and so must send it again. */
static bool must_resend(const struct endpoint *e)
{
	return e->listed_leaving || e->drained || (!e->up && e->watched);
}

/* Marks the endpoint as changed if it has begun or ceased to leave. */
void endpoint_update_leaving(struct fleetd *f, struct endpoint *e)
{
	bool leaving = endpoint_leaving(f, e);

	if (e->sent_leaving == leaving)
		return;
	e->sent_leaving = leaving;
	mark_changed(f, e);
	log_msg(LOG_NOTICE, leaving ? "endpoint-leaving" : "endpoint-stays",
		NULL, "endpoint %s is %s", f->config->endpoints[e->index].name,
		leaving ? "leaving and gets no new work" : "no longer leaving");
}

/* Sets whether the endpoint is up.  A change is sent to the cdmentryds and to
 * other instances; why goes into the log line. */
void endpoint_set_up(struct fleetd *f, struct endpoint *e, bool up,
		     const char *why)
{
	const char *name = f->config->endpoints[e->index].name;

	if (e->up == up)
		return;
	e->up = up;
	mark_changed(f, e);
	e->sends_left = ENDPOINT_SENDS;
	e->next_resend_ms = fleetd_now(f) + RESEND_INTERVAL_MS;
	gossip_push_soon(f);
	if (!up)
		counter_add(&losses, 1);
	log_msg(LOG_NOTICE, up ? "endpoint-up" : "endpoint-down", NULL,
		"endpoint %s is %s: %s", name, up ? "up" : "down", why);
}

/* Records a load report from a poll. */
void endpoint_set_load(struct fleetd *f, struct endpoint *e,
		       const struct endpoint_load *load)
{
	bool same = e->polled && e->slots == load->slots &&
		    e->running == load->running && e->queued == load->queued &&
		    e->salt == load->salt;

	e->polled = true;
	e->slots = load->slots;
	e->running = load->running;
	e->queued = load->queued;
	e->salt = load->salt;
	e->load_ms = fleetd_now(f) - load->age_ms;
	if (!same)
		mark_changed(f, e);
}

/* Records whether the platform's list has the endpoint as leaving and whether
 * an operator drains it. */
void endpoints_set_leaving(struct fleetd *f, const char *name, bool listed,
			   bool drained)
{
	struct endpoint *e = endpoints_find(f->endpoints, name_id(name));
	bool before;

	if (!e)
		return;
	before = e->listed_leaving || e->drained;
	e->listed_leaving = listed;
	e->drained = drained;
	if (!before && (listed || drained)) {
		e->sends_left = ENDPOINT_SENDS;
		gossip_push_soon(f);
	}
	endpoint_update_leaving(f, e);
}

/* Returns all endpoints as JSON. */
json_t *endpoints_status(const struct fleetd *f)
{
	const struct config_endpoint *ce;
	const struct endpoint *e;
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < f->endpoints->n; i++) {
		e = &f->endpoints->all[i];
		ce = &f->config->endpoints[e->index];
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:s, s:b, s:b, s:b, s:i, "
				  "s:i, s:i}",
				  "name", ce->name, "service", ce->service,
				  "zone", ce->zone, "address", ce->address,
				  "up", e->up, "leaving",
				  endpoint_leaving(f, e), "watched", e->watched,
				  "slots", (int)e->slots, "running",
				  (int)e->running, "queued", (int)e->queued));
	}
	return list;
}

/* Orders endpoints by id. */
static int compare_endpoints(const void *a, const void *b)
{
	const struct endpoint *x = a;
	const struct endpoint *y = b;

	if (x->id == y->id)
		return 0;
	return x->id < y->id ? -1 : 1;
}

/* Marks the endpoint as changed, so that the cdmentryds are sent its state. */
static void mark_changed(struct fleetd *f, struct endpoint *e)
{
	e->changed = fleetd_next_sequence(f);
}

/* Marks the endpoints of one service that this instance uses and watches. */
static void assign_service(struct fleetd *f, size_t service,
			   const struct shard_member *members, size_t n,
			   size_t self)
{
	struct endpoints *t = f->endpoints;
	struct subset_endpoint *list = xcalloc(t->n, sizeof(*list));
	struct subset_entry *chosen = xcalloc(t->n, sizeof(*chosen));
	struct endpoint *e;
	size_t n_list = 0;
	size_t n_chosen;
	size_t i;

	for (i = 0; i < t->n; i++) {
		e = &t->all[i];
		if (e->service != service)
			continue;
		list[n_list].id = e->id;
		list[n_list++].zone = e->zone;
	}
	n_chosen = subset_of_instance(members, n, self, list, n_list, chosen);
	for (i = 0; i < n_chosen; i++) {
		e = endpoints_find(t, list[chosen[i].endpoint].id);
		e->used = true;
		e->watched = chosen[i].watch;
	}
	free(chosen);
	free(list);
}

/* Returns the serving instances sorted by zone and id, and the index of this
 * instance (or n if it isn't among them).  The caller frees the array. */
static struct shard_member *serving_members(struct fleetd *f, size_t *n,
					    size_t *self)
{
	const struct member_table *t = gossip_members(f);
	struct shard_member *members = xcalloc(t->n, sizeof(*members));
	size_t i;

	*n = 0;
	for (i = 0; i < t->n; i++) {
		if (!member_serves(&t->members[i]))
			continue;
		members[*n].id = t->members[i].u.id;
		members[*n].zone = t->members[i].u.addr.zone;
		members[(*n)++].state = t->members[i].u.state;
	}
	qsort(members, *n, sizeof(*members), compare_members);
	for (*self = 0; *self < *n && members[*self].id != f->self; (*self)++)
		;
	return members;
}

/* Orders instances by zone, then id. */
static int compare_members(const void *a, const void *b)
{
	const struct shard_member *x = a;
	const struct shard_member *y = b;

	if (x->zone != y->zone)
		return x->zone < y->zone ? -1 : 1;
	if (x->id == y->id)
		return 0;
	return x->id < y->id ? -1 : 1;
}
