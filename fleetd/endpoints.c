/*
 * The endpoints of the configuration in force and what is known of each.  An
 * instance watches a few; of the others it learns from those that watch them,
 * by states that spread with the digests.
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
#define REPEAT_MS 4000 /* between tellings of what lasts */

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
static void touch(struct fleetd *f, struct endpoint *e);
static bool knows_itself(const struct endpoint *e);
static void assign_service(struct fleetd *f, size_t service,
			   const struct shard_member *members, size_t n,
			   size_t self);
static struct shard_member *serving_members(struct fleetd *f, size_t *n,
					    size_t *self);
static int compare_members(const void *a, const void *b);

struct endpoints *endpoints_new(void)
{
	counter_register(&endpoints_up);
	counter_register(&endpoints_watched);
	counter_register(&losses);
	return xcalloc(1, sizeof(struct endpoints));
}

void endpoints_free(struct endpoints *t)
{
	free(t->all);
	free(t);
}

/* Rebuilds the table for the configuration in force; what is known of an
 * endpoint stays unless its address has changed. */
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
		e->poll_at = 0;
		e->changed = fleetd_touch(f);
	}
	qsort(t->all, t->n, sizeof(*t->all), compare_endpoints);
	free(old.all);
	endpoints_assign(f);
}

/* Works out which endpoints this instance uses and watches. */
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
			e->down_expires =
				fleetd_now(f) + ENDPOINT_HEARD_DOWN_MS;
		e->used = false;
		e->watched = false;
	}
	members = serving_members(f, &n_members, &self);
	if (self < n_members)
		for (i = 0; i < f->config->n_services; i++)
			assign_service(f, i, members, n_members, self);
	free(members);
}

/* Lets what was heard lapse and has lasting losses told again. */
void endpoints_tick(struct fleetd *f, uint64_t now)
{
	size_t watched = 0;
	struct endpoint *e;
	size_t up = 0;
	size_t i;

	if (now < f->endpoints->tick_at)
		return;
	f->endpoints->tick_at = now + ENDPOINTS_TICK_MS;
	for (i = 0; i < f->endpoints->n; i++) {
		e = &f->endpoints->all[i];
		watched += e->watched;
		up += e->up;
		if (!e->up && !e->watched && now >= e->down_expires) {
			endpoint_set_up(f, e, true, "no word of it since");
			e->sends_left = 0;
		}
		if (now >= e->repeat_at && knows_itself(e)) {
			e->repeat_at = now + REPEAT_MS;
			e->sends_left = ENDPOINT_SENDS;
		}
		endpoint_note_leaving(f, e);
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

/* True if the endpoint is to get no new work. */
bool endpoint_leaving(const struct fleetd *f, const struct endpoint *e)
{
	return e->listed_leaving || e->drained ||
	       fleetd_now(f) < e->leaving_until ||
	       f->config->endpoints[e->index].leaving;
}

/* True if this instance knows at first hand of a loss or leaving that lasts,
 * and is to go on telling of it. */
static bool knows_itself(const struct endpoint *e)
{
	return e->listed_leaving || e->drained || (!e->up && e->watched);
}

/* Tells the cdmentryds if the endpoint has started or ceased to leave. */
void endpoint_note_leaving(struct fleetd *f, struct endpoint *e)
{
	bool leaving = endpoint_leaving(f, e);

	if (e->told_leaving == leaving)
		return;
	e->told_leaving = leaving;
	touch(f, e);
	log_msg(LOG_NOTICE, leaving ? "endpoint-leaving" : "endpoint-stays",
		NULL, "endpoint %s is %s", f->config->endpoints[e->index].name,
		leaving ? "leaving and gets no new work" : "no longer leaving");
}

/* Sets whether the endpoint is up; a change is told everywhere. */
void endpoint_set_up(struct fleetd *f, struct endpoint *e, bool up,
		     const char *why)
{
	const char *name = f->config->endpoints[e->index].name;

	if (e->up == up)
		return;
	e->up = up;
	touch(f, e);
	e->sends_left = ENDPOINT_SENDS;
	e->repeat_at = fleetd_now(f) + REPEAT_MS;
	gossip_push_soon(f);
	if (!up)
		counter_add(&losses, 1);
	log_msg(LOG_NOTICE, up ? "endpoint-up" : "endpoint-down", NULL,
		"endpoint %s is %s: %s", name, up ? "up" : "down", why);
}

/* Takes a load report. */
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
	e->load_at = fleetd_now(f) - load->age_ms;
	if (!same)
		touch(f, e);
}

/* Takes what the platform's list and the operators' rows say. */
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
	endpoint_note_leaving(f, e);
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

static int compare_endpoints(const void *a, const void *b)
{
	const struct endpoint *x = a;
	const struct endpoint *y = b;

	if (x->id == y->id)
		return 0;
	return x->id < y->id ? -1 : 1;
}

/* Marks a change for the cdmentryds. */
static void touch(struct fleetd *f, struct endpoint *e)
{
	e->changed = fleetd_touch(f);
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
 * one (or n if it isn't among them). */
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
