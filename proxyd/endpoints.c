/*
 * The endpoints: what the store says of them, what this instance finds out by
 * its own calls and probes, and how loaded they are.
 */
#include "proxyd/endpoints_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "lib/event_log.h"
#include "lib/xalloc.h"
#include "policy/endpoint_restart.h"
#include "policy/gossip_select.h"
#include "proxyd/exchange.h"
#include "proxyd/peers.h"
#include "proxyd/proxyd.h"
#include "proxyd/rediscover.h"
#include "proxyd/suspects.h"
#include "proxyd/watch.h"

/* Prompts that all instances had read within the last seconds. */
#define PROMPT_PLACES_MAX 2048

/* A live endpoint completes a connection within 2 ms, 4 ms across zones. */
#define PROBE_MS 40

/* An endpoint that was taken on without the store's word is listed there
 * within this time, if the store answers and the endpoint lives. */
#define CONFIRM_MS 4000

/* An endpoint that was heard this lately lives, whatever others say. */
#define RUMOUR_MS 100

/* An entry that was removed is kept this long for the runs that end there. */
#define FORGET_MS 30000

/* Weight of the newest answer in the moving means. */
#define MEAN_WEIGHT 0.2F
#define FAILING_WEIGHT 0.1F

static uint32_t slots_at(const struct endpoints *t, const char *address);
static bool probe_due(const struct endpoints *t, const struct endpoint *e,
		      bool store_answers);
static void entry_changed(struct endpoint *e, const struct endpoint_entry *n);
static void entry_removed(struct endpoints *t, struct endpoint *e,
			  uint64_t outage_end_ms);
static struct endpoint *add(struct endpoints *t, const char *id);
static void settle_address(struct endpoints *t, struct endpoint *e);
static void forget(struct endpoints *t, struct endpoint *e);
static uint16_t zone_index(struct endpoints *t, const char *zone);
static void probe_start(struct endpoints *t, struct endpoint *e);
static void on_probe_end(void *arg, enum http1_outcome outcome);

/* A probe is a connection and no request: what is sent ends it. */
static const struct http1_call_ops probe_ops = {
	.on_end = on_probe_end,
};

/* Makes an empty table. */
struct endpoints *endpoints_new(struct proxyd *p)
{
	struct endpoints *t = xcalloc(1, sizeof(*t));

	t->proxyd = p;
	slots_init(&t->table, sizeof(struct endpoint *));
	prompt_location_init(&t->prompts, PROMPT_PLACES_MAX);
	t->own_zone = zone_index(t, p->settings.zone);
	t->probes = counter_labelled("cdm_probes_total",
				     "Connections made only to see whether an "
				     "endpoint lives",
				     COUNTER_TOTAL, "kind", "endpoint");
	t->losses = counter_labelled("cdm_endpoint_losses_total",
				     "Endpoints found dead", COUNTER_TOTAL,
				     "by", "self");
	return t;
}

/* Probes what is down, ends probes that hang, forgets what is long gone. */
void endpoints_tick(struct endpoints *t)
{
	uint64_t now = proxyd_now(t->proxyd);
	bool store_answers = watches_store_reachable(t->proxyd->watches);
	struct endpoint *e;
	uint32_t i = 0;

	while ((e = endpoint_next(t, &i))) {
		if (e->lapse.removed && now - e->lapse.removed_ms > FORGET_MS &&
		    !e->own.requests && !e->own.tokens) {
			forget(t, e);
			continue;
		}
		if (e->adopted_ms && store_answers &&
		    now - e->adopted_ms > CONFIRM_MS)
			entry_removed(t, e, 0);
		if (e->state == ENDPOINT_DOWN && !e->rediscovering &&
		    endpoint_takes_work(e, now) &&
		    probe_due(t, e, store_answers)) {
			e->probed_ms = now;
			counter_add(t->probes, 1);
			rediscover(t->proxyd, e->self);
		}
	}
}

/* Takes a row of the store. */
void endpoints_take_row(struct endpoints *t, const struct store_row *row,
			uint64_t outage_end_ms)
{
	struct endpoint *e = endpoint_by_id(t, row->key);

	if (!row->endpoint) {
		if (row->problem[0])
			event_log(EVENT_NOTABLE, "entry-unreadable", NULL,
				  "{s:s, s:s}", "endpoint", row->key, "problem",
				  row->problem);
		if (e)
			entry_removed(t, e, outage_end_ms);
		return;
	}
	if (strlen(row->key) >= ENDPOINT_ID_SIZE ||
	    strlen(row->endpoint->address) >= ENDPOINT_ADDRESS_SIZE)
		return;
	if (e && row->endpoint->born_ms && row->endpoint->born_ms < e->born_ms)
		return; /* written before it started again, and come late */
	if (!e)
		e = add(t, row->key);
	e->zone = zone_index(t, row->endpoint->zone);
	entry_changed(e, row->endpoint);
	settle_address(t, e);
}

/* After a full listing: removes the entries that are not in it. */
void endpoints_keep_only(struct endpoints *t, const struct store_row *rows,
			 size_t n, uint64_t outage_end_ms)
{
	struct endpoint *e;
	uint32_t i = 0;
	size_t k;

	while ((e = endpoint_next(t, &i))) {
		for (k = 0; k < n; k++)
			if (!strcmp(rows[k].key, e->id))
				break;
		if (k == n && !e->lapse.removed && !e->adopted_ms)
			entry_removed(t, e, outage_end_ms);
	}
}

/* Takes on an endpoint that was found at an address without the store's word;
 * those that were known there are not there any more. */
void endpoints_adopt(struct endpoints *t, const char *id, const char *address,
		     const char *service, const char *zone)
{
	struct endpoint *e = endpoint_by_id(t, id);
	const struct endpoint_entry entry = {
		.service = service,
		.address = address,
		.zone = zone,
		.slots = slots_at(t, address),
	};
	struct endpoint *other;
	uint32_t i = 0;

	if (e || strlen(id) >= ENDPOINT_ID_SIZE ||
	    strlen(address) >= ENDPOINT_ADDRESS_SIZE)
		return;
	e = add(t, id);
	e->zone = zone_index(t, zone);
	entry_changed(e, &entry);
	e->adopted_ms = proxyd_now(t->proxyd);
	while ((other = endpoint_next(t, &i)))
		if (other != e && !strcmp(other->address, address))
			endpoint_misdirected(t, other->self, NULL);
}

/* Returns the slots of an endpoint that was known at an address; 0 if none
 * was, which bounds nothing. */
static uint32_t slots_at(const struct endpoints *t, const char *address)
{
	const struct endpoint *e;
	uint32_t i = 0;

	while ((e = endpoint_next(t, &i)))
		if (!strcmp(e->address, address))
			return e->slots;
	return 0;
}

/* Returns the name of a zone. */
const char *endpoints_zone_name(const struct endpoints *t, uint16_t zone)
{
	return t->zones[zone];
}

/* Returns the endpoint of a handle, or NULL. */
struct endpoint *endpoint_get(const struct endpoints *t, struct handle h)
{
	struct endpoint **item = slots_get(&t->table, h);

	return item ? *item : NULL;
}

/* Goes through the table; begin with *index 0. */
struct endpoint *endpoint_next(const struct endpoints *t, uint32_t *index)
{
	struct handle h;
	struct endpoint **item = slots_next(&t->table, index, &h);

	return item ? *item : NULL;
}

/* Returns the endpoint whose id has this hash, or NULL. */
struct endpoint *endpoint_by_hash(const struct endpoints *t, uint64_t hash)
{
	struct endpoint *e;
	uint32_t i = 0;

	while ((e = endpoint_next(t, &i)))
		if (e->hash == hash)
			return e;
	return NULL;
}

/* Returns the endpoint with an id, or NULL. */
struct endpoint *endpoint_by_id(const struct endpoints *t, const char *id)
{
	return endpoint_by_hash(t, XXH3_64bits(id, strlen(id)));
}

/* No connection to an endpoint could be had.  It is taken for dead, unless
 * others fell silent with it in a way that points to this instance. */
void endpoint_unreachable(struct endpoints *t, struct handle h,
			  const char *request, enum http1_outcome outcome)
{
	struct endpoint *e = endpoint_get(t, h);
	uint64_t now = proxyd_now(t->proxyd);

	if (!e)
		return;
	if (outcome == HTTP1_NO_ANSWER) {
		local_fault_record_timeout(&t->own_fault, e->zone, now);
		if (local_fault_likely(&t->own_fault, now)) {
			event_log(EVENT_NOTABLE, "own-fault", request,
				  "{s:s, s:I}", "endpoint", e->id,
				  "heard_ms_ago",
				  (json_int_t)endpoint_heard_ago(e, now));
			return;
		}
	}
	endpoint_lost(t, h, request, http1_outcome_name(outcome));
}

/* Takes an endpoint for dead: its runs move, nothing goes there until it is
 * heard again or its entry changes.  Other instances are told. */
void endpoint_lost(struct endpoints *t, struct handle h, const char *request,
		   const char *why)
{
	struct endpoint *e = endpoint_get(t, h);

	if (!e || e->state != ENDPOINT_UP)
		return;
	e->state = ENDPOINT_DOWN;
	e->down_ms = proxyd_now(t->proxyd);
	e->probed_ms = e->down_ms;
	endpoints_service(t, e->service)->lost_ms[e->zone] = e->down_ms;
	counter_add(t->losses, 1);
	event_log(EVENT_NOTABLE, "endpoint-lost", request,
		  "{s:s, s:s, s:s, s:I}", "endpoint", e->id, "address",
		  e->address, "why", why, "heard_ms_ago",
		  (json_int_t)endpoint_heard_ago(e, e->down_ms));
	if (gossip_is_new(e->rumoured_ms, e->down_ms))
		peers_announce_lost(t->proxyd->peers, e->id);
	suspects_endpoint_ended(t->proxyd->suspects, e);
	exchanges_endpoint_lost(t->proxyd->exchanges, h);
}

/* Another endpoint answered at the address: the entry is out of date. */
void endpoint_misdirected(struct endpoints *t, struct handle h,
			  const char *request)
{
	struct endpoint *e = endpoint_get(t, h);

	if (!e || e->state == ENDPOINT_OTHER)
		return;
	e->state = ENDPOINT_OTHER;
	event_log(EVENT_NOTABLE, "endpoint-replaced", request, "{s:s, s:s}",
		  "endpoint", e->id, "address", e->address);
	suspects_endpoint_ended(t->proxyd->suspects, e);
	exchanges_endpoint_lost(t->proxyd->exchanges, h);
}

/* Returns how long ago the endpoint itself was heard, ms; -1 if never. */
int64_t endpoint_heard_ago(const struct endpoint *e, uint64_t now)
{
	return e->heard_ms ? (int64_t)(now - e->heard_ms) : -1;
}

/* Someone answered at the endpoint's address; whether it is the same one is
 * not said. */
void endpoint_reached(struct endpoints *t, struct handle h)
{
	struct endpoint *e = endpoint_get(t, h);

	if (!e)
		return;
	e->reached_ms = proxyd_now(t->proxyd);
	if (e->state != ENDPOINT_DOWN)
		return;
	e->state = ENDPOINT_UP;
	e->unproven = true;
	event_log(EVENT_NOTABLE, "endpoint-back", NULL, "{s:s, s:I}",
		  "endpoint", e->id, "down_ms",
		  (json_int_t)(e->reached_ms - e->down_ms));
}

/* The endpoint itself was heard: only it answers requests that name it. */
void endpoint_heard(struct endpoints *t, struct handle h)
{
	struct endpoint *e = endpoint_get(t, h);

	endpoint_reached(t, h);
	if (!e)
		return;
	e->heard_ms = e->reached_ms;
	e->unproven = false;
}

/* Takes what the endpoint says of itself in an answer. */
void endpoint_said(struct endpoints *t, struct handle h,
		   const struct answer_fields *answer, const char *request)
{
	struct endpoint *e = endpoint_get(t, h);
	uint64_t now = proxyd_now(t->proxyd);

	if (!e)
		return;
	if (answer->pauses) {
		holdoff_pause(&e->holdoff, answer->pause_ms, now);
		event_log(EVENT_NOTABLE, "endpoint-pauses", request,
			  "{s:s, s:I, s:I}", "endpoint", e->id, "asked_ms",
			  (json_int_t)answer->pause_ms, "left_ms",
			  (json_int_t)holdoff_remaining_ms(&e->holdoff, now));
	}
	if (!answer->leaving || !holdoff_set_leaving(&e->holdoff, now))
		return;
	event_log(EVENT_NOTABLE, "endpoint-leaves", request, "{s:s, s:s, s:b}",
		  "endpoint", e->id, "by", "itself", "listed_leaving",
		  e->leaving);
	if (!e->leaving)
		peers_announce_leaving(t->proxyd->peers, e->id, e->born_ms);
}

/* Another instance says that an endpoint, in a certain start, leaves. */
void endpoint_hinted_leaving(struct endpoints *t, const char *id,
			     uint64_t born_ms)
{
	struct endpoint *e = endpoint_by_id(t, id);

	if (e && e->born_ms == born_ms &&
	    holdoff_set_leaving(&e->holdoff, proxyd_now(t->proxyd)))
		event_log(EVENT_NOTABLE, "endpoint-leaves", NULL,
			  "{s:s, s:s, s:b}", "endpoint", e->id, "by",
			  "another instance", "listed_leaving", e->leaving);
}

/* Tells whether the endpoint leaves, by its own word or its entry's. */
bool endpoint_leaves(const struct endpoint *e)
{
	return e->leaving || e->holdoff.leaving_ms;
}

/* Tells whether the endpoint, if it is up, may be given work: new runs, those
 * that go on, repeats, and questions of this system's own. */
bool endpoint_takes_work(const struct endpoint *e, uint64_t now)
{
	return !e->leaving && entry_expiry_accepts_work(&e->lapse, now) &&
	       holdoff_accepts_work(&e->holdoff, now);
}

/* Asks the endpoint for a connection, on suspicion by a silent run. */
void endpoint_probe(struct endpoints *t, struct handle h, const char *request,
		    uint64_t silent_ms)
{
	struct endpoint *e = endpoint_get(t, h);

	if (!e || e->probe || e->state != ENDPOINT_UP)
		return;
	event_log(EVENT_ROUTINE, "probe", request, "{s:s, s:I}", "endpoint",
		  e->id, "silent_ms", (json_int_t)silent_ms);
	probe_start(t, e);
}

/* Counts a plain answer into the endpoint's means. */
void endpoint_answered(struct endpoints *t, struct handle h, uint64_t took_ms,
		       bool failed)
{
	struct endpoint *e = endpoint_get(t, h);

	if (!e)
		return;
	e->latency_ms =
		e->latency_ms > 0
			? e->latency_ms +
				  MEAN_WEIGHT * ((float)took_ms - e->latency_ms)
			: (float)took_ms;
	e->answered_ms = proxyd_now(t->proxyd);
	e->failing += FAILING_WEIGHT * ((failed ? 1.0F : 0.0F) - e->failing);
}

/* Returns the budget of repeats of a service. */
struct repeat_budget *endpoints_budget(struct endpoints *t, const char *service)
{
	return &endpoints_service(t, service)->budget;
}

/* This process stood still: repeats that it sent may arrive only now. */
void endpoints_stood_still(struct endpoints *t, uint64_t stall_ms)
{
	uint64_t now = proxyd_now(t->proxyd);
	size_t i;

	for (i = 0; i < t->n_services; i++)
		repeat_after_stall(&t->services[i].budget, &t->proxyd->repeat,
				   stall_ms, now);
}

/* Returns the hash by which other instances know a service. */
uint64_t endpoints_service_hash(struct endpoints *t, const char *service)
{
	return endpoints_service(t, service)->hash;
}

/* Returns the budget of repeats of the service with a hash, or NULL. */
struct repeat_budget *endpoints_budget_by_hash(struct endpoints *t,
					       uint64_t hash)
{
	size_t i;

	for (i = 0; i < t->n_services; i++)
		if (t->services[i].hash == hash)
			return &t->services[i].budget;
	return NULL;
}

/* Another instance has found an endpoint dead: it is in doubt here, and asked
 * for a connection if this instance has runs there. */
void endpoint_rumoured(struct endpoints *t, const char *id)
{
	struct endpoint *e = endpoint_by_id(t, id);
	uint64_t now = proxyd_now(t->proxyd);

	if (!e || e->state != ENDPOINT_UP || now - e->reached_ms < RUMOUR_MS)
		return;
	e->rumoured_ms = now;
	if (e->own.requests)
		endpoint_probe(t, e->self, NULL, now - e->reached_ms);
}

/* Returns what is known of a service. */
struct service_state *endpoints_service(struct endpoints *t,
					const char *service)
{
	struct service_state *s;
	size_t i;

	for (i = 0; i < t->n_services; i++)
		if (!strcmp(t->services[i].service, service))
			return &t->services[i];
	t->services = xreallocarray(t->services, t->n_services + 1,
				    sizeof(*t->services));
	s = &t->services[t->n_services++];
	memset(s, 0, sizeof(*s));
	s->service = xstrdup(service);
	s->hash = XXH3_64bits(service, strlen(service));
	return s;
}

/* The entry was written: a new start of the endpoint, another state.  One whose
 * address was found to be another's stays out of use until it starts again. */
static void entry_changed(struct endpoint *e, const struct endpoint_entry *n)
{
	bool first = !e->service;
	bool restarted = !first && n->born_ms && e->born_ms &&
			 n->born_ms != e->born_ms;

	if (first || strcmp(e->service, n->service) != 0) {
		free(e->service);
		e->service = xstrdup(n->service);
	}
	if (first || restarted || strcmp(e->address, n->address) != 0 ||
	    (e->lapse.removed && e->state == ENDPOINT_DOWN)) {
		e->state = ENDPOINT_UP;
		e->unproven = false;
	}
	if (first || restarted || e->leaving != n->leaving || e->lapse.removed)
		event_log(EVENT_NOTABLE, "endpoint-entry", NULL,
			  "{s:s, s:s, s:s, s:b, s:b}", "endpoint", e->id,
			  "service", n->service, "address", n->address,
			  "leaving", n->leaving, "restarted", restarted);
	if (restarted) {
		suspects_endpoint_ended(e->proxyd->suspects, e);
		e->holdoff = (struct holdoff){ 0 };
	}
	snprintf(e->address, sizeof(e->address), "%s", n->address);
	e->address_hash = XXH3_64bits(e->address, strlen(e->address));
	e->slots = n->slots;
	e->born_ms = n->born_ms;
	e->leaving = n->leaving;
	e->adopted_ms = 0;
	entry_expiry_restored(&e->lapse);
}

/* The entry was removed from the store. */
static void entry_removed(struct endpoints *t, struct endpoint *e,
			  uint64_t outage_end_ms)
{
	if (e->lapse.removed)
		return;
	if (!endpoint_leaves(e))
		suspects_endpoint_ended(t->proxyd->suspects, e);
	entry_expiry_removed(&e->lapse, outage_end_ms, proxyd_now(t->proxyd));
	event_log(EVENT_NOTABLE, "endpoint-entry-removed", NULL, "{s:s, s:b}",
		  "endpoint", e->id, "held", e->lapse.grace_until_ms != 0);
}

/* Adds an endpoint. */
static struct endpoint *add(struct endpoints *t, const char *id)
{
	struct endpoint *e = xcalloc(1, sizeof(*e));
	struct endpoint **item = slots_alloc(&t->table, &e->self);

	*item = e;
	e->proxyd = t->proxyd;
	snprintf(e->id, sizeof(e->id), "%s", id);
	e->hash = XXH3_64bits(id, strlen(id));
	e->reached_ms = proxyd_now(t->proxyd);
	return e;
}

/* Of the endpoints that are said to be at one address the one that started last
 * has it; an entry of another may come late. */
static void settle_address(struct endpoints *t, struct endpoint *e)
{
	struct endpoint *other;
	uint32_t i = 0;

	if (e->state == ENDPOINT_OTHER || !e->born_ms)
		return;
	while ((other = endpoint_next(t, &i))) {
		if (other == e || strcmp(other->address, e->address) != 0)
			continue;
		if (other->born_ms < e->born_ms)
			endpoint_misdirected(t, other->self, NULL);
		else if (other->born_ms > e->born_ms)
			endpoint_misdirected(t, e->self, NULL);
	}
}

/* Frees an endpoint. */
static void forget(struct endpoints *t, struct endpoint *e)
{
	struct handle h = e->self;

	if (e->probe)
		http1_call_cancel(e->probe);
	free(e->broken);
	free(e->service);
	free(e);
	slots_free(&t->table, h);
}

/* Returns a zone's number. */
static uint16_t zone_index(struct endpoints *t, const char *zone)
{
	uint16_t i;

	for (i = 0; i < t->n_zones; i++)
		if (!strcmp(t->zones[i], zone))
			return i;
	if (t->n_zones == ZONES_MAX)
		return ZONES_MAX - 1;
	t->zones[t->n_zones] = xstrdup(zone);
	return t->n_zones++;
}

/* Tells whether this instance asks the address of a dead endpoint now. */
static bool probe_due(const struct endpoints *t, const struct endpoint *e,
		      bool store_answers)
{
	uint64_t now = proxyd_now(t->proxyd);
	const struct endpoint_restart_probe probe = {
		.probed_ms_ago = now - e->probed_ms,
		.instances = peers_alive(t->proxyd->peers) + 1,
		.store_answers = store_answers,
	};

	return endpoint_restart_probe_due(&probe, proxyd_random());
}

/* Starts a probe: a connection that is closed as soon as it stands. */
static void probe_start(struct endpoints *t, struct endpoint *e)
{
	const struct http1_call_options options = {
		.address = e->address,
		.connect_ms = PROBE_MS,
	};

	counter_add(t->probes, 1);
	e->probed_ms = proxyd_now(t->proxyd);
	e->probe = http1_call_start(t->proxyd->client, &options, NULL, 0,
				    &probe_ops, e);
}

/* A probe is answered or not. */
static void on_probe_end(void *arg, enum http1_outcome outcome)
{
	struct endpoint *e = arg;
	struct endpoints *t = e->proxyd->endpoints;

	e->probe = NULL;
	if (outcome == HTTP1_NOT_SENT || outcome == HTTP1_NO_ANSWER)
		endpoint_unreachable(t, e->self, NULL, outcome);
	else {
		suspects_endpoint_lives(e, e->probed_ms);
		endpoint_reached(t, e->self);
	}
}
