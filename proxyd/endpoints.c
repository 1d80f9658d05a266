/*
 * Table of endpoints: their store entries, their state as seen by the calls and
 * probes of this instance, and their load.
 */
#include "proxyd/endpoints_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "lib/event_log.h"
#include "lib/settings.h"
#include "lib/xalloc.h"
#include "policy/endpoint_restart.h"
#include "policy/gossip_select.h"
#include "proxyd/answer_ends.h"
#include "proxyd/exchange.h"
#include "proxyd/limits.h"
#include "proxyd/origins.h"
#include "proxyd/peers.h"
#include "proxyd/proxyd.h"
#include "proxyd/rediscover.h"
#include "proxyd/suspects.h"
#include "proxyd/watch.h"
#include "proxyd/witness.h"

/* Prompts that all instances prefilled within the last seconds. */
#define PROMPT_LOCATIONS_MAX 2048

/* A live endpoint completes a connection within 2 ms, 4 ms across zones. */
#define PROBE_TIMEOUT_MS 40

/* An endpoint that was added without a store entry gets its entry within this
 * time if it is alive and the store answers; otherwise it is removed. */
#define ADOPTION_CONFIRM_MS 4000

/* Reports of other instances that an endpoint is dead are ignored if it was
 * reached within this time. */
#define RECENTLY_REACHED_MS 100

/* A removed entry is kept this long, for runs that finish there. */
#define REMOVED_KEEP_MS 30000

/* Weight of the newest answer in the exponential moving averages. */
#define LATENCY_WEIGHT 0.2F
#define FAILURE_WEIGHT 0.1F

static uint32_t slots_at_address(const struct endpoints *t,
				 const char *address);
static bool probe_due(const struct endpoints *t, const struct endpoint *e,
		      bool store_answers);
static bool is_older_than_leaving(const struct endpoint *e,
				  const struct endpoint_entry *n);
static const char *row_problem(const struct store_row *row);
static void entry_updated(struct endpoint *e, const struct endpoint_entry *n);
static void entry_removed(struct endpoints *t, struct endpoint *e,
			  uint64_t outage_end_ms);
static struct endpoint *endpoint_new(struct endpoints *t, const char *id);
static void resolve_address_conflict(struct endpoints *t, struct endpoint *e);
static void address_claimed(struct endpoints *t, struct endpoint *e,
			    const struct endpoint *by);
static void endpoint_free(struct endpoints *t, struct endpoint *e);
static uint16_t zone_index(struct endpoints *t, const char *zone);
static void probe_start(struct endpoints *t, struct endpoint *e);
static void on_probe_end(void *arg, enum http1_outcome outcome);

/* A probe sends no request: the call ends as soon as the connection is
 * established. */
static const struct http1_call_ops probe_ops = {
	.on_end = on_probe_end,
};

/* Creates an empty endpoint table. */
struct endpoints *endpoints_new(struct proxyd *p)
{
	struct endpoints *t = xcalloc(1, sizeof(*t));

	t->proxyd = p;
	slots_init(&t->table, sizeof(struct endpoint *));
	prompt_location_init(&t->prompt_locations, PROMPT_LOCATIONS_MAX);
	t->own_zone = zone_index(t, p->settings.zone);
	t->probes = counter_labelled("cdm_probes_total",
				     "Connections made only to see whether an "
				     "endpoint lives",
				     COUNTER_TOTAL, "kind", "endpoint");
	t->path_probes = counter_labelled("cdm_probes_total",
					  "Connections made only to see "
					  "whether an endpoint lives",
					  COUNTER_TOTAL, "kind", "path");
	t->paths_lost = counter_labelled(
		"cdm_paths_lost", "Services whose endpoints can't be reached",
		COUNTER_GAUGE, "by", "self");
	t->losses = counter_labelled("cdm_endpoint_losses_total",
				     "Endpoints found dead", COUNTER_TOTAL,
				     "by", "self");
	return t;
}

/* Frees removed endpoints, removes added ones that got no store entry, and
 * probes endpoints that are down. */
void endpoints_tick(struct endpoints *t)
{
	uint64_t now = proxyd_now(t->proxyd);
	bool store_answers = watches_store_reachable(t->proxyd->watches);
	struct endpoint *e;
	uint32_t i = 0;

	while ((e = endpoint_next(t, &i))) {
		endpoint_ask_start(t, e);
		if (e->expiry.removed &&
		    now - e->expiry.removed_ms > REMOVED_KEEP_MS &&
		    !e->own_load.requests && !e->own_load.tokens) {
			endpoint_free(t, e);
			continue;
		}
		if (e->adopted_ms && store_answers &&
		    now - e->adopted_ms > ADOPTION_CONFIRM_MS)
			entry_removed(t, e, 0);
		if (e->state == ENDPOINT_DOWN && !e->rediscovering &&
		    endpoint_accepts_work(e, now) &&
		    (limits_check_wanted(e) ||
		     probe_due(t, e, store_answers)) &&
		    limits_take_for_check(e)) {
			e->probed_ms = now;
			counter_add(t->probes, 1);
			rediscover(t->proxyd, e->self);
		}
	}
	endpoints_check_paths(t);
}

/* Applies a row of the store: adds, updates or removes an endpoint.
 * outage_end_ms is when this instance last saw the store recover, 0 if it saw
 * no outage. */
void endpoints_apply_row(struct endpoints *t, const struct store_row *row,
			 uint64_t outage_end_ms)
{
	struct endpoint *e = endpoint_by_id(t, row->key);
	const char *problem = row_problem(row);

	if (problem) {
		if (problem[0])
			event_log(EVENT_NOTABLE, "entry-unreadable", NULL,
				  "{s:s, s:s}", "endpoint", row->key, "problem",
				  problem);
		if (e)
			entry_removed(t, e, outage_end_ms);
		return;
	}
	if (e && row->endpoint->born_ms && row->endpoint->born_ms < e->born_ms)
		return; /* late row of an earlier start */
	if (e && is_older_than_leaving(e, row->endpoint))
		return;
	if (!e)
		e = endpoint_new(t, row->key);
	e->zone = zone_index(t, row->endpoint->zone);
	entry_updated(e, row->endpoint);
	endpoints_note_versions(t, e->service);
	resolve_address_conflict(t, e);
}

/* Returns whether an entry is from before its endpoint said that it is leaving:
 * it was written late, or comes with a copy of the store. */
static bool is_older_than_leaving(const struct endpoint *e,
				  const struct endpoint_entry *n)
{
	return e->leaving && !n->leaving && n->born_ms &&
	       n->born_ms == e->born_ms && n->sequence &&
	       n->sequence < e->sequence;
}

/* Returns why no endpoint can be used by a row, "" if the row was removed; NULL
 * if one can.  The id goes into requests, and so does the address, so neither
 * may hold characters that end a header line. */
static const char *row_problem(const struct store_row *row)
{
	size_t len = strlen(row->key);
	char host[ENDPOINT_ADDRESS_SIZE];
	uint16_t port;
	size_t i;

	if (!row->endpoint)
		return row->problem;
	if (!len || len >= ENDPOINT_ID_SIZE)
		return "the id is empty or too long";
	for (i = 0; i < len; i++)
		if (row->key[i] <= ' ' || row->key[i] > '~')
			return "the id has characters that are not printable";
	if (strlen(row->endpoint->address) >= ENDPOINT_ADDRESS_SIZE ||
	    !address_parse(row->endpoint->address, host, sizeof(host), &port) ||
	    !port)
		return "the address is not an IPv4 address and port";
	return NULL;
}

/* Removes the entries that are missing from a full listing.  Endpoints that
 * were added without a store entry stay. */
void endpoints_remove_unlisted(struct endpoints *t,
			       const struct store_row *rows, size_t n,
			       uint64_t outage_end_ms)
{
	struct endpoint *e;
	uint32_t i = 0;
	size_t k;

	while ((e = endpoint_next(t, &i))) {
		for (k = 0; k < n; k++)
			if (!strcmp(rows[k].key, e->id))
				break;
		if (k == n && !e->expiry.removed && !e->adopted_ms)
			entry_removed(t, e, outage_end_ms);
	}
}

/* Adds an endpoint that was found at an address before the store lists it; the
 * version of its software may be NULL, unknown, and so may its start be, 0.
 * Endpoints that were known at this address are marked as replaced; if another
 * instance reported it, which may be out of date, those with runs are asked
 * first. */
void endpoints_adopt(struct endpoints *t, const char *id,
		     const struct endpoint_entry *found, bool reported)
{
	struct endpoint *e = endpoint_by_id(t, id);
	struct endpoint_entry entry = *found;
	struct endpoint *other;
	uint32_t i = 0;

	if (e || strlen(id) >= ENDPOINT_ID_SIZE ||
	    strlen(found->address) >= ENDPOINT_ADDRESS_SIZE)
		return;
	entry.slots = slots_at_address(t, found->address);
	e = endpoint_new(t, id);
	e->zone = zone_index(t, found->zone);
	entry_updated(e, &entry);
	e->adopted_ms = proxyd_now(t->proxyd);
	while ((other = endpoint_next(t, &i))) {
		if (other == e || strcmp(other->address, e->address) != 0)
			continue;
		if (reported)
			address_claimed(t, other, e);
		else
			endpoint_replaced(t, other->self, NULL);
	}
}

/* Returns the slots of an endpoint that is known at an address; 0, which means
 * no limit, if there is none. */
static uint32_t slots_at_address(const struct endpoints *t, const char *address)
{
	const struct endpoint *e;
	uint32_t i = 0;

	while ((e = endpoint_next(t, &i)))
		if (!strcmp(e->address, address))
			return e->slots;
	return 0;
}

/* Returns the name of a zone by its index. */
const char *endpoints_zone_name(const struct endpoints *t, uint16_t zone)
{
	return t->zones[zone];
}

/* Returns the endpoint with a handle; NULL if it was freed. */
struct endpoint *endpoint_get(const struct endpoints *t, struct handle h)
{
	struct endpoint **item = slots_get(&t->table, h);

	return item ? *item : NULL;
}

/* Iterates over the table; *index starts at 0.  Returns NULL at the end. */
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

/* Returns the endpoint that is up at an address, or NULL. */
struct endpoint *endpoint_by_address(const struct endpoints *t,
				     const char *address)
{
	struct endpoint *e;
	uint32_t i = 0;

	while ((e = endpoint_next(t, &i)))
		if (e->state == ENDPOINT_UP && !strcmp(e->address, address))
			return e;
	return NULL;
}

/* Handles a failed connection attempt, begun at begun_ms.  The endpoint is marked as
 * lost, unless it was not refused, and attempts at other endpoints suggest a network
 * fault of this instance. */
void endpoint_unreachable(struct endpoints *t, struct handle h,
			  uint64_t begun_ms, const char *request,
			  enum http1_outcome outcome)
{
	struct endpoint *e = endpoint_get(t, h);
	uint64_t now = proxyd_now(t->proxyd);

	if (!e)
		return;
	endpoint_not_connected(t, h, begun_ms);
	if (outcome != HTTP1_NOT_SENT) {
		local_fault_record_timeout(&t->local_fault, e->zone, now);
		if (local_fault_likely(&t->local_fault, now)) {
			event_log(
				EVENT_NOTABLE, "own-fault", request,
				"{s:s, s:I}", "endpoint", e->id, "heard_ms_ago",
				(json_int_t)endpoint_last_seen_ms_ago(e, now));
			return;
		}
	}
	endpoint_lost(t, h, request, outcome);
}

/* Marks an endpoint as dead: its silent runs move, and it gets no requests until
 * it is reached again or its entry changes.  Other instances are informed,
 * unless one of them has just reported the loss.  A refused connection shows
 * that it has ended, unless this instance has no path to it; one that takes too
 * long, or has no way to its host, only suggests it, as an endpoint or the network
 * may be silent for a time, and is no evidence against its requests. */
void endpoint_lost(struct endpoints *t, struct handle h, const char *request,
		   enum http1_outcome outcome)
{
	struct endpoint *e = endpoint_get(t, h);

	if (!e || e->state == ENDPOINT_REPLACED)
		return;
	endpoint_name_unasked_start(e);
	if (outcome == HTTP1_NOT_SENT && endpoint_refused(t, e))
		endpoint_ended(t, e);
	if (e->state != ENDPOINT_UP)
		return;
	e->state = ENDPOINT_DOWN;
	e->software_doubted = true;
	e->start_asked_ms = 0;
	e->down_ms = proxyd_now(t->proxyd);
	e->down_moment = http1_client_moment(t->proxyd->client);
	e->probed_ms = e->down_ms;
	endpoints_service(t, e->service)->lost_ms[e->zone] = e->down_ms;
	counter_add(t->losses, 1);
	event_log(EVENT_NOTABLE, "endpoint-lost", request,
		  "{s:s, s:s, s:s, s:b, s:I}", "endpoint", e->id, "address",
		  e->address, "why", http1_outcome_name(outcome), "ended",
		  e->ended, "heard_ms_ago",
		  (json_int_t)endpoint_last_seen_ms_ago(e, e->down_ms));
	if (gossip_is_new(e->reported_lost_ms, e->down_ms) &&
	    !endpoints_path_lost(t, e->service))
		peers_announce_lost(t->proxyd->peers, e->id);
	if (e->ended)
		witness_ask(e);
	exchanges_endpoint_lost(t->proxyd->exchanges, h);
}

/* Handles the end of an endpoint's process: the runs that broke there count as
 * crashes, and what starts at its address is another process. */
void endpoint_ended(struct endpoints *t, struct endpoint *e)
{
	e->ended = true;
	e->refused_ms = 0;
	endpoint_name_process(e, ~proxyd_now(t->proxyd));
	suspects_endpoint_crashed(t->proxyd->suspects, e);
}

/* Marks an endpoint as replaced because another one answered at its address;
 * its store entry is out of date.  Its runs move. */
void endpoint_replaced(struct endpoints *t, struct handle h,
		       const char *request)
{
	struct endpoint *e = endpoint_get(t, h);

	if (!e || e->state == ENDPOINT_REPLACED)
		return;
	e->state = ENDPOINT_REPLACED;
	e->ended = true;
	event_log(EVENT_NOTABLE, "endpoint-replaced", request, "{s:s, s:s}",
		  "endpoint", e->id, "address", e->address);
	suspects_endpoint_crashed(t->proxyd->suspects, e);
	exchanges_endpoint_lost(t->proxyd->exchanges, h);
}

/* Returns the time since the endpoint itself is known to have been alive, ms; -1
 * if it never answered. */
int64_t endpoint_last_seen_ms_ago(const struct endpoint *e, uint64_t now)
{
	return e->last_seen_ms ? (int64_t)(now - e->last_seen_ms) : -1;
}

/* Records a connection or answer at the endpoint's address, to a call made at
 * sent_ms, and marks it as up if it was down and this is newer.  Another
 * endpoint may have answered, so that an endpoint that comes up this way stays
 * unconfirmed. */
void endpoint_reached(struct endpoints *t, struct handle h, uint64_t sent_ms)
{
	struct endpoint *e = endpoint_get(t, h);
	uint64_t since_ms = proxyd_received_ms(t->proxyd);

	if (!e)
		return;
	if (sent_ms > since_ms)
		since_ms = sent_ms;
	if (since_ms > e->reached_ms)
		e->reached_ms = since_ms;
	if (e->state != ENDPOINT_DOWN || since_ms < e->down_ms)
		return;
	e->state = ENDPOINT_UP;
	e->ended = false;
	e->refused_ms = 0;
	e->unconfirmed = true;
	event_log(EVENT_NOTABLE, "endpoint-back", NULL, "{s:s, s:I}",
		  "endpoint", e->id, "down_ms",
		  (json_int_t)(proxyd_now(t->proxyd) - e->down_ms));
}

/* Records an answer of the endpoint itself, to a request sent at sent_ms: no
 * other endpoint answers requests that name it.  The answer may be old when it
 * is read, after a stall of this process or a cut that has healed, so that it
 * only shows that the endpoint was alive when the request was sent. */
void endpoint_seen(struct endpoints *t, struct handle h, uint64_t sent_ms)
{
	struct endpoint *e = endpoint_get(t, h);

	endpoint_reached(t, h, sent_ms);
	if (!e)
		return;
	if (sent_ms > e->last_seen_ms)
		e->last_seen_ms = sent_ms;
	e->unconfirmed = false;
}

/* Applies the limit, pause and leaving fields of an endpoint's answer to a
 * request sent at sent_ms.  Other instances are informed if its entry does not
 * list it as leaving. */
void endpoint_apply_status(struct endpoints *t, struct handle h,
			   const struct answer_fields *answer, uint64_t sent_ms,
			   const char *request)
{
	struct endpoint *e = endpoint_get(t, h);
	uint64_t now = proxyd_now(t->proxyd);

	if (!e)
		return;
	limits_answer(e, answer, sent_ms, request);
	if (answer->has_pause) {
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

/* Handles another instance's report that an endpoint is leaving.  A report of
 * another start of the endpoint (born_ms, Unix time) is ignored. */
void endpoint_reported_leaving(struct endpoints *t, const char *id,
			       uint64_t born_ms)
{
	struct endpoint *e = endpoint_by_id(t, id);

	if (e && e->born_ms == born_ms &&
	    holdoff_set_leaving(&e->holdoff, proxyd_now(t->proxyd)))
		event_log(EVENT_NOTABLE, "endpoint-leaves", NULL,
			  "{s:s, s:s, s:b}", "endpoint", e->id, "by",
			  "another instance", "listed_leaving", e->leaving);
}

/* Returns whether the endpoint is leaving, by its answers or its entry. */
bool endpoint_is_leaving(const struct endpoint *e)
{
	return e->leaving || e->holdoff.leaving_ms;
}

/* Returns whether the endpoint, if it is up, accepts work: new and resumed
 * runs, repeats, and this system's own calls. */
bool endpoint_accepts_work(const struct endpoint *e, uint64_t now)
{
	return !e->leaving && entry_expiry_accepts_work(&e->expiry, now) &&
	       holdoff_accepts_work(&e->holdoff, now);
}

/* Returns whether an endpoint may be asked about itself now, for which it takes a
 * permit. */
bool endpoint_take_check(struct endpoint *e, uint64_t now)
{
	return !holdoff_remaining_ms(&e->holdoff, now) &&
	       limits_take_for_check(e);
}

/* Returns what an endpoint of a service is asked for about itself: an engine for its
 * report, another one for its health; NULL if it has none. */
const char *endpoint_question_path(const struct proxyd *p, const char *service,
				   bool engine)
{
	const struct route_service *s;

	if (engine)
		return p->protocol->report_path;
	s = p->routes ? routes_service(p->routes, service) : NULL;
	return s ? s->health_path : NULL;
}

/* Starts a probe of an endpoint because a run there is silent for silent_ms. */
void endpoint_probe(struct endpoints *t, struct handle h, const char *request,
		    uint64_t silent_ms)
{
	struct endpoint *e = endpoint_get(t, h);

	if (!e || e->probe || e->state != ENDPOINT_UP)
		return;
	event_log(EVENT_ROUTINE, "probe", request, "{s:s, s:I}", "endpoint",
		  e->id, "silent_ms", (json_int_t)silent_ms);
	e->path_probe = false;
	probe_start(t, e);
}

/* Updates the endpoint's means of latency and failures by a plain answer. */
void endpoint_record_answer(struct endpoints *t, struct handle h,
			    uint64_t took_ms, bool failed)
{
	struct endpoint *e = endpoint_get(t, h);

	if (!e)
		return;
	e->latency_ms =
		e->latency_ms > 0
			? e->latency_ms + LATENCY_WEIGHT * ((float)took_ms -
							    e->latency_ms)
			: (float)took_ms;
	e->means_updated_ms = proxyd_now(t->proxyd);
	e->failure_rate +=
		FAILURE_WEIGHT * ((failed ? 1.0F : 0.0F) - e->failure_rate);
}

/* Returns the repeat budget of a service. */
struct repeat_budget *endpoints_budget(struct endpoints *t, const char *service)
{
	return &endpoints_service(t, service)->budget;
}

/* Returns when the callers return that were refused because of the limits of a
 * service's endpoints. */
struct limit_return *endpoints_limit_return(struct endpoints *t,
					    const char *service)
{
	return &endpoints_service(t, service)->limit_return;
}

/* Adjusts the repeat budgets after a stall of this process: repeats that it
 * sent before may arrive only now. */
void endpoints_after_stall(struct endpoints *t, uint64_t stall_ms)
{
	uint64_t now = proxyd_now(t->proxyd);
	size_t i;

	for (i = 0; i < t->n_services; i++)
		repeat_after_stall(&t->services[i].budget, &t->proxyd->repeat,
				   stall_ms, now);
}

/* Returns the hash that identifies a service in messages between instances. */
uint64_t endpoints_service_hash(struct endpoints *t, const char *service)
{
	return endpoints_service(t, service)->hash;
}

/* Returns the repeat budget of the service with a hash, or NULL. */
struct repeat_budget *endpoints_budget_by_hash(struct endpoints *t,
					       uint64_t hash)
{
	size_t i;

	for (i = 0; i < t->n_services; i++)
		if (t->services[i].hash == hash)
			return &t->services[i].budget;
	return NULL;
}

/* Handles another instance's report that an endpoint is dead: it becomes
 * suspected here, and is probed if this instance has requests there. */
void endpoint_reported_lost(struct endpoints *t, const char *id)
{
	struct endpoint *e = endpoint_by_id(t, id);
	uint64_t now = proxyd_now(t->proxyd);

	if (!e || e->state != ENDPOINT_UP ||
	    now - e->reached_ms < RECENTLY_REACHED_MS)
		return;
	e->reported_lost_ms = now;
	if (e->own_load.requests)
		endpoint_probe(t, e->self, NULL, now - e->reached_ms);
}

/* Returns the state of a service; creates it on first use. */
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

/* Applies a new or updated entry, which may show a restart of the endpoint.  An
 * endpoint that was replaced at its address stays unused until it restarts or
 * its address changes. */
static void entry_updated(struct endpoint *e, const struct endpoint_entry *n)
{
	bool first = !e->service;
	bool restarted = !first && n->born_ms && e->born_ms &&
			 n->born_ms != e->born_ms;

	if (first || strcmp(e->service, n->service) != 0) {
		free(e->service);
		e->service = xstrdup(n->service);
	}
	if (first || restarted || strcmp(e->address, n->address) != 0 ||
	    (e->expiry.removed && e->state == ENDPOINT_DOWN)) {
		e->state = ENDPOINT_UP;
		e->ended = false;
		e->unconfirmed = false;
	}
	if (first || restarted || e->leaving != n->leaving || e->expiry.removed)
		event_log(EVENT_NOTABLE, "endpoint-entry", NULL,
			  "{s:s, s:s, s:s, s:s, s:b, s:b}", "endpoint", e->id,
			  "service", n->service, "address", n->address,
			  "software", n->version ? n->version : "", "leaving",
			  n->leaving, "restarted", restarted);
	if (restarted) {
		suspects_endpoint_crashed(e->proxyd->suspects, e);
		e->holdoff = (struct holdoff){ 0 };
		if (e->stated_born_ms != n->born_ms)
			endpoint_name_process(e, n->born_ms);
		e->stated_born_ms = 0;
		e->start_asked_ms = 0; /* asked before its entry came */
		limits_release(e);
	}
	if (strcmp(e->address, n->address) != 0)
		e->process = (struct process_span){ 0 };
	snprintf(e->address, sizeof(e->address), "%s", n->address);
	process_span_note_entry(&e->process, n->born_ms,
				http1_client_moment(e->proxyd->client));
	endpoint_software_updated(e, n, restarted);
	e->address_hash = XXH3_64bits(e->address, strlen(e->address));
	e->slots = n->slots;
	if (n->born_ms)
		e->born_ms = n->born_ms;
	e->leaving = n->leaving;
	e->sequence = n->sequence;
	e->adopted_ms = 0;
	entry_expiry_restored(&e->expiry);
}

/* Handles the removal of the entry from the store.  Unless the endpoint was
 * leaving, its recent broken runs count as crashes. */
static void entry_removed(struct endpoints *t, struct endpoint *e,
			  uint64_t outage_end_ms)
{
	if (e->expiry.removed)
		return;
	if (!endpoint_is_leaving(e))
		suspects_endpoint_crashed(t->proxyd->suspects, e);
	entry_expiry_removed(&e->expiry, outage_end_ms, proxyd_now(t->proxyd));
	endpoints_note_versions(t, e->service);
	event_log(EVENT_NOTABLE, "endpoint-entry-removed", NULL, "{s:s, s:b}",
		  "endpoint", e->id, "held", e->expiry.grace_until_ms != 0);
}

/* Adds an endpoint without an entry. */
static struct endpoint *endpoint_new(struct endpoints *t, const char *id)
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

/* Decides which of the endpoints with the same address in their entries are out
 * of date: all but the last started one.  Entries may arrive out of order. */
static void resolve_address_conflict(struct endpoints *t, struct endpoint *e)
{
	struct endpoint *other;
	uint32_t i = 0;

	if (e->state == ENDPOINT_REPLACED || !e->born_ms)
		return;
	while ((other = endpoint_next(t, &i))) {
		if (other == e || strcmp(other->address, e->address) != 0)
			continue;
		if (other->born_ms < e->born_ms)
			address_claimed(t, other, e);
		else if (other->born_ms > e->born_ms)
			address_claimed(t, e, other);
	}
}

/* Handles an entry that names the address of an endpoint and a later start, or a
 * report of another endpoint there.  It may be wrong: an endpoint with runs of this
 * instance is asked first, any other is marked as replaced, which its own answer
 * takes back. */
static void address_claimed(struct endpoints *t, struct endpoint *e,
			    const struct endpoint *by)
{
	bool ask = e->own_load.requests > 0;

	if (e->state == ENDPOINT_REPLACED)
		return;
	event_log(EVENT_NOTABLE, "address-claimed", NULL,
		  "{s:s, s:s, s:s, s:I, s:I, s:i, s:s}", "endpoint", e->id,
		  "by", by->id, "address", e->address, "born",
		  (json_int_t)e->born_ms, "by_born", (json_int_t)by->born_ms,
		  "requests", (int)e->own_load.requests, "outcome",
		  ask ? "asked" : "replaced");
	if (!ask)
		endpoint_replaced(t, e->self, NULL);
	else if (!e->rediscovering && limits_take_for_check(e))
		rediscover(t->proxyd, e->self);
}

/* Records that the endpoint with an id answered a request, sent at sent_ms to an
 * address.  One that counted as replaced there is up again.  Returns false if no
 * entry lists this id with this address. */
bool endpoint_answered_at(struct endpoints *t, const char *id,
			  const char *address, uint64_t sent_ms)
{
	struct endpoint *e = endpoint_by_id(t, id);

	if (!e || strcmp(e->address, address) != 0)
		return false;
	if (e->state == ENDPOINT_REPLACED) {
		e->state = ENDPOINT_UP;
		e->ended = false;
		event_log(EVENT_NOTABLE, "endpoint-confirmed", NULL,
			  "{s:s, s:s}", "endpoint", e->id, "address",
			  e->address);
	}
	endpoint_seen(t, e->self, sent_ms);
	return true;
}

/* Frees an endpoint and cancels its probe. */
static void endpoint_free(struct endpoints *t, struct endpoint *e)
{
	struct handle h = e->self;
	size_t i;

	if (e->probe)
		http1_call_cancel(e->probe);
	answer_end_forget(e);
	witness_forget(e);
	limits_release(e);
	for (i = 0; e->broken_runs && i < ENDPOINT_BROKEN_RUNS_MAX; i++)
		prompt_parts_unref(e->broken_runs[i].parts);
	free(e->broken_runs);
	free(e->service);
	free(e);
	slots_free(&t->table, h);
}

/* Returns the index of a zone; adds it on first use.  Zones beyond ZONES_MAX
 * share the last index. */
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

/* Returns whether this instance queries the address of a dead endpoint now. */
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

/* Starts a probe: a connection that is closed once it is established. */
static void probe_start(struct endpoints *t, struct endpoint *e)
{
	const struct http1_call_options options = {
		.address = e->address,
		.connect_timeout_ms = PROBE_TIMEOUT_MS,
	};

	counter_add(t->probes, 1);
	e->probed_ms = proxyd_now(t->proxyd);
	e->probe = http1_call_start(t->proxyd->client, &options, NULL, 0,
				    &probe_ops, e);
}

/* Probes an endpoint, up or down, of a service without a health path: a connection
 * is all that can be asked for. */
void endpoint_probe_path(struct endpoints *t, struct endpoint *e)
{
	e->path_probe = !e->probe;
	if (e->path_probe)
		probe_start(t, e);
}

/* Handles the end of a probe. */
static void on_probe_end(void *arg, enum http1_outcome outcome)
{
	struct endpoint *e = arg;
	struct endpoints *t = e->proxyd->endpoints;

	e->probe = NULL;
	if (outcome == HTTP1_NO_SOCKET)
		return; /* shows nothing of the endpoint */
	if (http1_not_connected(outcome))
		endpoint_unreachable(t, e->self, e->probed_ms, NULL, outcome);
	else {
		suspects_endpoint_alive(e, e->probed_ms);
		endpoint_reached(t, e->self, e->probed_ms);
		endpoint_connected(t, e->self, e->probed_ms);
		if (e->path_probe)
			endpoint_answered(t, e->self, e->probed_ms, false);
	}
}
