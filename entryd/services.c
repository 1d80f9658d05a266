/*
 * Services: admission to each, with as many slots as this instance may use of
 * its endpoints now.
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
#define FIRST_TOKEN_SHIFT 16 /* weight of a new value: 1 / this */
#define NEED_FADE_MS 1000 /* without a first token, the need halves in it */

struct services {
	struct slots table; /* of struct service * */
};

static struct service *service_add(struct entryd *e, const char *name);
static void set_profile(struct service *s,
			const struct resume_profile *profile);
static void fade_need(struct service *s, uint64_t now);
static void set_slots(struct entryd *e, struct service *s, uint64_t now);
static void run_queue(struct entryd *e, struct service *s, uint64_t now);
static void dispatch(struct entryd *e, const struct admit_decision *v);

/* Makes an empty table. */
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

/* Takes the services of a new configuration.  One that is gone admits nothing
 * and is kept for what still runs. */
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

/* Adjusts the slots and starts what waits. */
void services_tick(struct entryd *e, uint64_t now)
{
	struct service *s;
	uint32_t index = 0;

	while ((s = services_next(e, &index))) {
		fade_need(s, now);
		set_slots(e, s, now);
		run_queue(e, s, now);
	}
}

/* Returns a service. */
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

/* Walks over all services; *index starts at 0. */
struct service *services_next(const struct entryd *e, uint32_t *index)
{
	struct service **item = slots_next(&e->services->table, index, NULL);

	return item ? *item : NULL;
}

/* Puts an organisation's share in force at every service: of each, what its
 * requests at the other services leave. */
void services_set_org(struct entryd *e, uint32_t org)
{
	const struct org *o = org_at(e, org);
	struct service *s;
	uint32_t index = 0;

	while ((s = services_next(e, &index))) {
		uint32_t here = admit_org_running(s->admit, org);
		uint32_t elsewhere = o->running > here ? o->running - here : 0;
		uint32_t limit = o->share > elsewhere ? o->share - elsewhere
						      : 1;

		admit_set_org(s->admit, org, o->configured ? o->weight : 0,
			      limit);
	}
}

/* Asks for admission.  The verdict on a request that waits is given later, by
 * generation_admitted() or call_admitted(). */
struct admit_decision service_arrive(struct entryd *e, struct service *s,
				     const struct admit_request *request)
{
	struct org *o = org_at(e, request->org);
	uint64_t now = entryd_now(e);
	struct admit_decision v;

	services_set_org(e, request->org);
	set_slots(e, s, now);
	v = admit_arrive(s->admit, request, now, entryd_random());
	if (v.outcome == ADMIT_RUN)
		o->running++;
	else if (v.outcome == ADMIT_QUEUE)
		o->waiting++;
	return v;
}

/* Gives the slot of an admitted request back. */
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

/* Learns the time to a first token. */
void service_first_token(struct service *s, uint32_t ms)
{
	s->first_token_ms += (ms - s->first_token_ms) / FIRST_TOKEN_SHIFT;
	s->need_ms += (ms - s->need_ms) / FIRST_TOKEN_SHIFT;
	s->need_heard = true;
}

/*
 * Halves what admission takes a first token to need while none comes.
 * Requests whose deadline is shorter are refused, so nothing else would ever
 * show that the engines are fast again.
 */
static void fade_need(struct service *s, uint64_t now)
{
	if (s->need_heard)
		s->need_fades_at = now + NEED_FADE_MS;
	s->need_heard = false;
	if (now < s->need_fades_at)
		return;
	s->need_ms /= 2;
	s->need_fades_at = now + NEED_FADE_MS;
}

/* Judges silence by a profile from now on, with its budget for hedges. */
static void set_profile(struct service *s, const struct resume_profile *profile)
{
	if (s->profile == profile)
		return;
	s->profile = profile;
	resume_budget_init(&s->hedges, profile);
}

/* Makes a service that is new. */
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
	s->need_fades_at = now + NEED_FADE_MS;
	retry_init(&s->retry, &retry_defaults, now);
	return s;
}

/*
 * Sets how many requests may run here at once: an even part of the endpoints'
 * slots, or what runs here now and an even part of the slots that the load
 * reports show free, whichever is more.  What waits at the endpoints is taken
 * off the latter: more was admitted over all instances than there is room for,
 * and an endpoint's queue knows no fair shares.  What still runs at endpoints
 * that get no new work takes nothing from that.
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
			held += ep->own_now;
			continue;
		}
		n++;
		all += ep->slots;
		own += ep->own_now;
		queued += endpoint_queued(ep, now);
		busy = ep->running + endpoint_queued(ep, now) + ep->own_now;
		busy -= busy < ep->own_reported ? busy : ep->own_reported;
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

/* Starts, or refuses, requests that wait. */
static void run_queue(struct entryd *e, struct service *s, uint64_t now)
{
	struct admit_decision v;

	if (s->in_queue)
		return; /* the loop further up goes on */
	s->in_queue = true;
	while (admit_next(s->admit, now, entryd_random(), &v)) {
		struct org *o = org_at(e, v.org);

		o->waiting--;
		if (v.outcome == ADMIT_RUN)
			o->running++;
		dispatch(e, &v);
	}
	s->in_queue = false;
}

/* Gives up a request that waits. */
void service_cancel(struct entryd *e, struct service *s, uint32_t org,
		    uint32_t ticket)
{
	if (admit_cancel(s->admit, ticket))
		org_at(e, org)->waiting--;
}

/* Hands a verdict to the request that waited for it. */
static void dispatch(struct entryd *e, const struct admit_decision *v)
{
	if (v->id & WORK_CALL)
		call_admitted(e, handle_unpack(v->id & ~WORK_CALL), v);
	else
		generation_admitted(e, handle_unpack(v->id), v);
}
