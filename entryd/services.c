/*
 * Services: admission to each, limited to the endpoint slots that this instance
 * may currently use.
 */
#include "entryd/services.h"

#include <stdlib.h>
#include <string.h>

#include "entryd/calls.h"
#include "entryd/endpoints.h"
#include "entryd/generation.h"
#include "entryd/members.h"
#include "entryd/orgs.h"
#include "lib/ident.h"
#include "lib/xalloc.h"
#include "policy/subset.h"

#define FIRST_TOKEN_PRIOR_MS 200
#define FIRST_TOKEN_MEAN_DIVISOR 16 /* a new value weighs 1 / this */
#define NEED_HALF_LIFE_MS 1000 /* of need_ms while no first token arrives */

struct services {
	struct slots table; /* of struct service * */
};

static struct service *service_add(struct entryd *e, const char *name);
static void set_profile(struct service *s,
			const struct resume_profile *profile);
static void decay_need(struct service *s, uint64_t now);
static void set_slots(struct entryd *e, struct service *s, uint64_t now);
static void run_queue(struct entryd *e, struct service *s, uint64_t now);
static void dispatch(struct entryd *e, const struct admit_decision *d);

/* Allocates an empty table. */
struct services *services_new(void)
{
	struct services *t = xcalloc(1, sizeof(*t));

	slots_init(&t->table, sizeof(struct service *));
	return t;
}

/* Frees a table. */
void services_free(struct services *t)
{
	struct service **item;
	uint32_t i = 0;

	while ((item = slots_next(&t->table, &i, NULL))) {
		admit_free((*item)->admit);
		free((*item)->name);
		free(*item);
	}
	slots_release(&t->table);
	free(t);
}

/* Applies the services of a new configuration.  A service that is no longer
 * listed admits nothing and is kept for its running requests. */
void services_configure(struct entryd *e)
{
	const struct config *c = e->config;
	struct service *s;
	uint32_t index = 0;
	size_t i;

	while ((s = services_next(e, &index)))
		s->configured = false;
	for (i = 0; i < c->n_services; i++) {
		const struct config_service *from = &c->services[i];

		s = service_by_id(e, name_id(from->name));
		if (!s)
			s = service_add(e, from->name);
		s->configured = true;
		s->kind = from->kind;
		s->timeout_ms = (uint32_t)from->timeout_ms;
		set_profile(s, from->resume == RESUME_LATENCY
				       ? &resume_favour_latency
				       : &resume_favour_work);
	}
}

/* Adjusts the slots of each service and starts waiting requests. */
void services_tick(struct entryd *e, uint64_t now)
{
	struct service *s;
	uint32_t index = 0;

	while ((s = services_next(e, &index))) {
		decay_need(s, now);
		set_slots(e, s, now);
		run_queue(e, s, now);
	}
}

/* Returns a service, or NULL if the handle is not valid. */
struct service *service_get(const struct entryd *e, struct handle h)
{
	struct service **item = slots_get(&e->services->table, h);

	return item ? *item : NULL;
}

/* Returns a service by the id of its name, or NULL. */
struct service *service_by_id(const struct entryd *e, uint64_t id)
{
	struct service *s;
	uint32_t index = 0;

	while ((s = services_next(e, &index)))
		if (s->id == id)
			return s;
	return NULL;
}

/* Iterates over all services; *index starts at 0.  Returns NULL at the end. */
struct service *services_next(const struct entryd *e, uint32_t *index)
{
	struct service **item = slots_next(&e->services->table, index, NULL);

	return item ? *item : NULL;
}

/* Applies an organisation's share at every service.  The limit at a service is
 * the share less the organisation's requests at the other services, at least
 * 1. */
void services_set_org(struct entryd *e, uint32_t org)
{
	const struct org *o = org_at(e, org);
	struct service *s;
	uint32_t index = 0;

	while ((s = services_next(e, &index))) {
		uint32_t running = admit_org_running(s->admit, org);
		uint32_t others = o->running > running ? o->running - running
						       : 0;
		uint32_t limit = o->share > others ? o->share - others : 1;

		admit_set_org(s->admit, org, o->configured ? o->weight : 0,
			      limit);
	}
}

/* Requests admission.  For a request that has to wait, the decision is
 * delivered later through generation_admitted() or call_admitted(). */
struct admit_decision service_arrive(struct entryd *e, struct service *s,
				     const struct admit_request *request)
{
	struct org *o = org_at(e, request->org);
	uint64_t now = entryd_now(e);
	struct admit_decision d;

	services_set_org(e, request->org);
	set_slots(e, s, now);
	d = admit_arrive(s->admit, request, now, entryd_random());
	if (d.outcome == ADMIT_RUN)
		o->running++;
	else if (d.outcome == ADMIT_QUEUE)
		o->waiting++;
	return d;
}

/* Releases the slot of an admitted request and starts waiting ones.  started_at
 * is in ms; completed says whether the request succeeded. */
void service_finish(struct entryd *e, struct service *s, uint32_t org,
		    const struct admit_decision *run, uint64_t started_at,
		    bool completed)
{
	uint64_t now = entryd_now(e);
	struct org *o = org_at(e, org);

	o->running--;
	admit_finish(s->admit, org, run->kind, run->charged_ms,
		     (uint32_t)(now - started_at), completed, now);
	if (completed) {
		retry_success(&o->retry, &retry_defaults);
		retry_success(&s->retry, &retry_defaults);
	}
	run_queue(e, s, now);
}

/* Adds a time to first token, in ms, to the moving means. */
void service_first_token(struct service *s, uint32_t ms)
{
	s->first_token_ms +=
		(ms - s->first_token_ms) / FIRST_TOKEN_MEAN_DIVISOR;
	s->need_ms += (ms - s->need_ms) / FIRST_TOKEN_MEAN_DIVISOR;
	s->need_updated = true;
}

/*
 * Halves the time that admission assumes for a first token while none arrives.
 * Requests with a shorter deadline are refused, so without this decay no
 * request would run to show that the engines are fast again.
 */
static void decay_need(struct service *s, uint64_t now)
{
	if (s->need_updated)
		s->need_decay_at = now + NEED_HALF_LIFE_MS;
	s->need_updated = false;
	if (now < s->need_decay_at)
		return;
	s->need_ms /= 2;
	s->need_decay_at = now + NEED_HALF_LIFE_MS;
}

/* Sets the profile for the detection of silent endpoints and resets the budget
 * of hedges to it. */
static void set_profile(struct service *s, const struct resume_profile *profile)
{
	if (s->profile == profile)
		return;
	s->profile = profile;
	resume_budget_init(&s->hedges, profile);
}

/* Allocates a service and adds it to the table. */
static struct service *service_add(struct entryd *e, const char *name)
{
	struct service *s = xcalloc(1, sizeof(*s));
	struct service **item = slots_alloc(&e->services->table, &s->self);
	uint64_t now = entryd_now(e);

	*item = s;
	s->id = name_id(name);
	s->name = xstrdup(name);
	s->admit = admit_new(&admit_defaults, now);
	s->first_token_ms = FIRST_TOKEN_PRIOR_MS;
	s->need_ms = FIRST_TOKEN_PRIOR_MS;
	s->need_decay_at = now + NEED_HALF_LIFE_MS;
	retry_init(&s->retry, &retry_defaults, now);
	return s;
}

/*
 * Sets how many requests may run here at once: an even part of the endpoints'
 * slots, or the requests running here plus an even part of the slots that are
 * free by the load reports, whichever is more.  Requests queued at the
 * endpoints are subtracted from the latter: they show that the instances
 * together admitted more than the capacity, and an endpoint's queue does not
 * follow fair shares.  Requests still running at endpoints that get no new work
 * do not reduce the limit.
 */
static void set_slots(struct entryd *e, struct service *s, uint64_t now)
{
	const struct endpoint *ep;
	uint32_t index = 0;
	uint32_t all = 0;
	uint32_t free_slots = 0;
	uint32_t own = 0;
	uint32_t held = 0;
	uint32_t queued = 0;
	uint32_t n = 0;
	size_t users;
	size_t self;
	uint32_t even;

	while ((ep = endpoints_next(e, &index))) {
		uint32_t busy;

		if (ep->service != s->id || !endpoint_up(ep))
			continue;
		if (!ep->used || endpoint_leaving(ep)) {
			held += ep->own_requests;
			continue;
		}
		n++;
		all += ep->slots;
		own += ep->own_requests;
		queued += endpoint_queued(ep, now);
		busy = ep->running + endpoint_queued(ep, now) +
		       ep->own_requests;
		busy -= busy < ep->own_requests_reported
				? busy
				: ep->own_requests_reported;
		if (busy < ep->slots)
			free_slots += ep->slots - busy;
	}
	members_serving(e, &users, &self);
	users = subset_users(users ? users : 1, n ? n : 1);
	users = users ? users : 1;
	even = (uint32_t)((all + users - 1) / users);
	own += (uint32_t)(free_slots / users);
	own -= queued < own ? queued : own;
	if (even > own)
		own = even;
	if (own)
		own += held;
	admit_set_slots(s->admit, s->configured ? own : 0, now);
}

/* Starts or refuses waiting requests as admission decides.  A nested call does
 * nothing. */
static void run_queue(struct entryd *e, struct service *s, uint64_t now)
{
	struct admit_decision d;

	if (s->dispatching)
		return; /* the outer call's loop continues */
	s->dispatching = true;
	while (admit_next(s->admit, now, entryd_random(), &d)) {
		struct org *o = org_at(e, d.org);

		o->waiting--;
		if (d.outcome == ADMIT_RUN)
			o->running++;
		dispatch(e, &d);
	}
	s->dispatching = false;
}

/* Cancels a waiting request. */
void service_cancel(struct entryd *e, struct service *s, uint32_t org,
		    uint32_t ticket)
{
	if (admit_cancel(s->admit, ticket))
		org_at(e, org)->waiting--;
}

/* Delivers a decision to the waiting request. */
static void dispatch(struct entryd *e, const struct admit_decision *d)
{
	if (d->id & WORK_CALL)
		call_admitted(e, handle_unpack(d->id & ~WORK_CALL), d);
	else
		generation_admitted(e, handle_unpack(d->id), d);
}
