/*
 * Table of endpoints: the state of each as known from the configuration, from
 * cdmfleetd and from this process's own requests, the subset that this instance
 * uses, and the candidates for routing.
 */
#include "entryd/endpoints.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entryd/members.h"
#include "lib/ident.h"
#include "lib/log.h"
#include "lib/xalloc.h"
#include "policy/subset.h"

#define GAP_PRIOR_MS 20 /* between arrivals, until measured */
#define SAME_ZONE_LATENCY_US 200 /* assumed one-way latency */
#define OTHER_ZONE_LATENCY_US 1000

/* An endpoint that refused a request as full counts as full for this long: its
 * load is polled about once a second. */
#define FULL_HOLD_MS 1200
#define FULL_QUEUE_PER_SLOT 2 /* assumed queue length meanwhile */

struct endpoints {
	struct slots table; /* of struct endpoint * */
	size_t assign_next; /* index of the next service to assign */
};

static struct endpoint *endpoint_add(struct entryd *e, uint64_t id);
static void endpoint_configure(struct endpoint *ep,
			       const struct config_endpoint *from, bool model);
static void remove_unused(struct entryd *e);
static void assign_service(struct entryd *e, uint64_t service);
static void fill_candidate(const struct entryd *e, const struct endpoint *ep,
			   const struct endpoint_list *avoid, uint64_t now,
			   struct route_candidate *c);
static bool list_has(const struct endpoint_list *list, uint64_t id);

/* Allocates an empty table. */
struct endpoints *endpoints_new(void)
{
	struct endpoints *t = xcalloc(1, sizeof(*t));

	slots_init(&t->table, sizeof(struct endpoint *));
	return t;
}

/* Frees a table. */
void endpoints_free(struct endpoints *t)
{
	struct endpoint **item;
	uint32_t i = 0;

	while ((item = slots_next(&t->table, &i, NULL))) {
		free((*item)->name);
		free((*item)->address);
		free((*item)->broken_runs);
		free(*item);
	}
	slots_release(&t->table);
	free(t);
}

/* Applies the endpoints of a new configuration.  An endpoint that is no longer
 * listed gets no new work and is removed once its last request has finished. */
void endpoints_configure(struct entryd *e)
{
	const struct config *c = e->config;
	struct endpoint *ep;
	uint32_t index = 0;
	size_t i;

	while ((ep = endpoints_next(e, &index)))
		ep->removed = true;
	for (i = 0; i < c->n_endpoints; i++) {
		const struct config_endpoint *from = &c->endpoints[i];
		const struct config_service *service =
			config_service_by_name(c, from->service);

		ep = endpoint_by_id(e, name_id(from->name));
		if (!ep)
			ep = endpoint_add(e, name_id(from->name));
		endpoint_configure(ep, from, service->kind == SERVICE_MODEL);
	}
	remove_unused(e);
	endpoints_reassign(e);
	endpoints_assign_step(e);
}

/* Schedules a new assignment of endpoints to this instance, after a change of
 * the instances or the endpoints. */
void endpoints_reassign(struct entryd *e)
{
	e->endpoints->assign_next = 0;
}

/* Assigns the endpoints of one service if an assignment is due.  It handles one
 * service per tick, since all at once would block the loop in a large fleet. */
void endpoints_assign_step(struct entryd *e)
{
	struct endpoints *t = e->endpoints;

	if (e->config && t->assign_next < e->config->n_services)
		assign_service(
			e, name_id(e->config->services[t->assign_next++].name));
}

/* Applies endpoint states received from cdmfleetd. */
void endpoints_receive(struct entryd *e, Cdm__EndpointState **states, size_t n)
{
	uint64_t now = entryd_now(e);
	size_t i;

	for (i = 0; i < n; i++) {
		const Cdm__EndpointState *s = states[i];
		struct endpoint *ep = endpoint_by_id(e, name_id(s->name));

		if (!ep)
			continue;
		ep->fleet_down = !s->up;
		ep->fleet_leaving = s->leaving;
		if (!s->has_running)
			continue;
		ep->running = s->running;
		ep->queued = s->queued;
		if (s->has_slots && s->slots)
			ep->slots = s->slots;
		ep->reported_at =
			now -
			(s->has_age_ms && s->age_ms < now ? s->age_ms : 0);
		ep->own_requests_reported = ep->own_requests;
		if (s->has_salt && s->salt && !ep->own_requests)
			ep->salt = s->salt;
	}
}

/* Records that the endpoint refused a request because it is full. */
void endpoint_set_full(struct entryd *e, struct endpoint *ep)
{
	ep->full_until = entryd_now(e) + FULL_HOLD_MS;
}

/* Returns an endpoint, or NULL if it has been removed. */
struct endpoint *endpoint_get(const struct entryd *e, struct handle h)
{
	struct endpoint **item = slots_get(&e->endpoints->table, h);

	return item ? *item : NULL;
}

/* Returns an endpoint by the id of its name, or NULL. */
struct endpoint *endpoint_by_id(const struct entryd *e, uint64_t id)
{
	struct endpoint *ep;
	uint32_t index = 0;

	while ((ep = endpoints_next(e, &index)))
		if (ep->id == id)
			return ep;
	return NULL;
}

/* Iterates over all endpoints; *index starts at 0.  Returns NULL at the end. */
struct endpoint *endpoints_next(const struct entryd *e, uint32_t *index)
{
	struct endpoint **item = slots_next(&e->endpoints->table, index, NULL);

	return item ? *item : NULL;
}

/* Returns whether an endpoint is presumed to be reachable. */
bool endpoint_up(const struct endpoint *ep)
{
	return !ep->removed && !ep->fleet_down && !ep->lost;
}

/* Returns whether an endpoint must get no new work. */
bool endpoint_leaving(const struct endpoint *ep)
{
	return ep->removed || ep->config_leaving || ep->fleet_leaving;
}

/* Chooses an endpoint for a request; avoid may be NULL.  Returns NULL if there
 * is none, with the reason in *outcome. */
struct endpoint *endpoints_route(struct entryd *e, uint64_t service,
				 const struct route_request *req,
				 const struct endpoint_list *avoid,
				 enum route_outcome *outcome)
{
	static struct route_candidate list[ENDPOINT_CANDIDATES_MAX];
	struct endpoint *eps[ENDPOINT_CANDIDATES_MAX];
	struct route_choice choice;
	struct endpoint *ep;
	uint64_t now = entryd_now(e);
	uint32_t index = 0;
	size_t n = 0;

	while (n < ENDPOINT_CANDIDATES_MAX &&
	       (ep = endpoints_next(e, &index))) {
		if (ep->service != service || !ep->used || ep->removed)
			continue;
		eps[n] = ep;
		fill_candidate(e, ep, avoid, now, &list[n]);
		list[n].endpoint = (uint32_t)n;
		n++;
	}
	choice = route_choose(&route_defaults, req, list, n, entryd_random());
	*outcome = choice.outcome;
	return choice.outcome == ROUTE_OK ? eps[choice.index] : NULL;
}

/* Adds to a list of endpoints to avoid.  If the list is full, the oldest entry
 * is dropped. */
void endpoint_list_add(struct endpoint_list *list, uint64_t id)
{
	const size_t max = sizeof(list->ids) / sizeof(list->ids[0]);

	if (list_has(list, id))
		return;
	if (list->n == max) {
		memmove(list->ids, list->ids + 1,
			(max - 1) * sizeof(list->ids[0]));
		list->n--;
	}
	list->ids[list->n++] = id;
}

/* Records that a request of this process has finished at the endpoint. */
void endpoint_release(struct entryd *e, struct endpoint *ep)
{
	ep->own_requests--;
	if (ep->removed && !ep->own_requests)
		remove_unused(e);
}

/* Returns the state of all endpoints as a JSON array. */
json_t *endpoints_status(const struct entryd *e)
{
	json_t *list = json_array();
	const struct endpoint *ep;
	uint32_t index = 0;

	while ((ep = endpoints_next(e, &index)))
		json_array_append_new(
			list,
			json_pack("{s:s, s:b, s:b, s:b, s:i, s:i, s:i, s:i}",
				  "name", ep->name, "up", endpoint_up(ep),
				  "leaving", endpoint_leaving(ep), "used",
				  ep->used, "slots", (int)ep->slots, "running",
				  (int)ep->running, "queued", (int)ep->queued,
				  "own", (int)ep->own_requests));
	return list;
}

/* Allocates an endpoint and adds it to the table. */
static struct endpoint *endpoint_add(struct entryd *e, uint64_t id)
{
	struct endpoint *ep = xcalloc(1, sizeof(*ep));
	struct endpoint **item = slots_alloc(&e->endpoints->table, &ep->self);

	*item = ep;
	ep->id = id;
	resume_endpoint_init(&ep->silence, GAP_PRIOR_MS);
	return ep;
}

/* Copies an endpoint's settings from the configuration.  A new address clears
 * the mark that the endpoint is lost. */
static void endpoint_configure(struct endpoint *ep,
			       const struct config_endpoint *from, bool model)
{
	if (ep->address && strcmp(ep->address, from->address) != 0)
		ep->lost = false;
	free(ep->name);
	free(ep->address);
	ep->name = xstrdup(from->name);
	ep->address = xstrdup(from->address);
	ep->zone = zone_id(from->zone);
	ep->service = name_id(from->service);
	ep->model = model;
	ep->removed = false;
	ep->config_leaving = from->leaving;
	if (!ep->slots || !ep->reported_at)
		ep->slots = (uint32_t)from->slots;
}

/* Frees removed endpoints that have no requests and no probe in progress. */
static void remove_unused(struct entryd *e)
{
	struct endpoint *ep;
	uint32_t index = 0;

	while ((ep = endpoints_next(e, &index))) {
		if (!ep->removed || ep->own_requests || ep->probing)
			continue;
		slots_free(&e->endpoints->table, ep->self);
		free(ep->name);
		free(ep->address);
		free(ep->broken_runs);
		free(ep);
	}
}

/* Assigns the endpoints of one service to this instance.  While this instance
 * is not among the serving ones (it starts, or leaves), it uses all. */
static void assign_service(struct entryd *e, uint64_t service)
{
	struct subset_endpoint *list;
	struct subset_entry *chosen;
	struct endpoint **eps;
	const struct shard_member *members;
	struct endpoint *ep;
	uint32_t index = 0;
	size_t n_members;
	size_t self;
	size_t n = 0;
	size_t i;

	members = members_serving(e, &n_members, &self);
	list = xcalloc(e->endpoints->table.n, sizeof(*list));
	chosen = xcalloc(e->endpoints->table.n, sizeof(*chosen));
	eps = xcalloc(e->endpoints->table.n, sizeof(struct endpoint *));
	while ((ep = endpoints_next(e, &index))) {
		if (ep->service != service)
			continue;
		ep->used = self == n_members;
		list[n].id = ep->id;
		list[n].zone = ep->zone;
		eps[n++] = ep;
	}
	if (self < n_members && n) {
		size_t n_chosen = subset_of_instance(members, n_members, self,
						     list, n, chosen);

		for (i = 0; i < n_chosen; i++)
			eps[chosen[i].endpoint]->used = true;
	}
	free(eps);
	free(list);
	free(chosen);
}

/* Fills in the routing policy's view of an endpoint. */
static void fill_candidate(const struct entryd *e, const struct endpoint *ep,
			   const struct endpoint_list *avoid, uint64_t now,
			   struct route_candidate *c)
{
	memset(c, 0, sizeof(*c));
	if (endpoint_up(ep))
		c->flags |= ROUTE_UP;
	if (endpoint_leaving(ep))
		c->flags |= ROUTE_LEAVING;
	if (ep->health != RESUME_HEALTHY)
		c->flags |= ROUTE_SILENT;
	if (avoid && list_has(avoid, ep->id))
		c->flags |= ROUTE_AVOID;
	if (ep->suspect_requests)
		c->flags |= ROUTE_RUNS_SUSPECT;
	if (ep->isolated_requests)
		c->flags |= ROUTE_RESERVED;
	c->slots = (uint16_t)ep->slots;
	c->running = (uint16_t)ep->running;
	c->queued = (uint16_t)endpoint_queued(ep, now);
	c->own_requests = (uint16_t)ep->own_requests;
	c->own_requests_reported = (uint16_t)ep->own_requests_reported;
	c->report_age_ms = ep->reported_at ? (uint32_t)(now - ep->reported_at)
					   : 0;
	c->zone_us = ep->zone == e->zone ? SAME_ZONE_LATENCY_US
					 : OTHER_ZONE_LATENCY_US;
}

/* Returns the number of requests queued at an endpoint.  A refusal as full is
 * newer than the last load report and overrides it.  It expires by time, since
 * no report follows if the reported load does not change. */
uint32_t endpoint_queued(const struct endpoint *ep, uint64_t now)
{
	uint32_t full = ep->slots * FULL_QUEUE_PER_SLOT;

	return now < ep->full_until && ep->queued < full ? full : ep->queued;
}

/* Returns whether a list contains an endpoint. */
static bool list_has(const struct endpoint_list *list, uint64_t id)
{
	size_t i;

	for (i = 0; i < list->n; i++)
		if (list->ids[i] == id)
			return true;
	return false;
}
