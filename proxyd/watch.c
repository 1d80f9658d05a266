/*
 * What this instance reads from the store: the configuration, the endpoints
 * and the other instances; and its own entry there.  Each table is read whole
 * once and then followed by its changes.
 */
#include "proxyd/watch.h"

#include <stdlib.h>
#include <string.h>

#include "lib/counters.h"
#include "lib/event_log.h"
#include "lib/xalloc.h"
#include "policy/store_poll.h"
#include "proxyd/endpoints.h"
#include "proxyd/peers.h"
#include "proxyd/proxyd.h"
#include "proxyd/snapshot.h"
#include "proxyd/suspects.h"

/* The own entry is written again this long after a failure, and up to as long
 * again: a fleet that starts at once asks for more writes than the store takes. */
#define PUT_AGAIN_MS 500

struct watch {
	struct watches *watches;
	enum store_table table;
	struct store_poll reread;
	uint64_t next_ms; /* when to call */
	uint64_t version; /* of the store when it last answered */
	uint64_t changed; /* of the newest rows that were seen */
	uint64_t answered_ms; /* when the store last answered; 0: never */
	uint64_t behind_ms; /* since when others have a newer version; 0: no */
	bool loaded; /* version is known, changes are followed */
	bool busy;
	enum store_poll_reason reason; /* of the last call */
};

struct watches {
	struct proxyd *proxyd;
	struct watch watch[STORE_TABLES];
	bool put; /* the own entry stands */
	bool put_busy;
	bool leaving;
	uint64_t put_next_ms;
	struct counter *calls[STORE_TABLES];
	struct counter *writes;
};

static bool waits_for_another(const struct watches *w, int table);
static enum store_poll_reason reads_itself(const struct watch *w, uint64_t now);
static void take_decoded(void *arg, const struct store_row *rows, size_t n);
static void call_if_due(struct watch *w, uint64_t now);
static void call(struct watch *w);
static uint32_t follow_ms(const struct watch *w);
static void on_rows(void *arg, enum store_outcome outcome,
		    const struct store_row *rows, size_t n, uint64_t version);
static void failed(struct watch *w, enum store_outcome outcome);
static void take(struct watch *w, const struct store_row *rows, size_t n);
static void take_configuration(struct watch *w, const struct store_row *row);
static void put_entry(struct watches *w);
static void on_put(void *arg, enum store_outcome outcome);
static void on_removed(void *arg, enum store_outcome outcome);

/* Starts reading at the next tick. */
struct watches *watches_new(struct proxyd *p)
{
	struct watches *w = xcalloc(1, sizeof(*w));
	int i;

	w->proxyd = p;
	for (i = 0; i < STORE_TABLES; i++) {
		w->watch[i].watches = w;
		w->watch[i].table = (enum store_table)i;
		w->calls[i] = counter_labelled("cdm_store_calls_total",
					       "Calls to the store",
					       COUNTER_TOTAL, "table",
					       store_table_name(i));
	}
	w->writes = counter_labelled("cdm_store_calls_total",
				     "Calls to the store", COUNTER_TOTAL,
				     "table", "own entry");
	return w;
}

/* Makes the calls that are due. */
void watches_tick(struct watches *w)
{
	uint64_t now = proxyd_now(w->proxyd);
	int i;

	for (i = 0; i < STORE_TABLES; i++)
		if (!w->watch[i].busy && now >= w->watch[i].next_ms &&
		    !waits_for_another(w, i))
			call_if_due(&w->watch[i], now);
	if (!w->put && !w->put_busy && !w->leaving && now >= w->put_next_ms)
		put_entry(w);
}

/* Tells whether the list of instances waits until the store answers for another
 * table: while it is away, two calls show as much as three. */
static bool waits_for_another(const struct watches *w, int table)
{
	return table == STORE_INSTANCES &&
	       w->watch[STORE_CONFIGURATION].reread.failures;
}

/* Removes the own entry, so that instances which start later don't name it. */
void watches_leave(struct watches *w)
{
	struct store *s = w->proxyd->store;

	w->leaving = true;
	counter_add(w->writes, 1);
	s->ops->remove_entry(s, w->proxyd->settings.name, on_removed, w);
}

/* Tells whether the first reading of the configuration is still under way. */
bool watches_starting(const struct watches *w)
{
	const struct watch *c = &w->watch[STORE_CONFIGURATION];

	return !c->loaded && !c->reread.failures;
}

/* Tells whether the list of instances is known, and this one is on it. */
bool watches_listed(const struct watches *w)
{
	return w->watch[STORE_INSTANCES].loaded && w->put;
}

/* Tells whether the store answers, as far as this instance or one that reads
 * for it knows. */
bool watches_answered(const struct watches *w)
{
	const struct watch *e = &w->watch[STORE_ENDPOINTS];

	return e->loaded &&
	       (!e->reread.failures || !reads_itself(e, proxyd_now(w->proxyd)));
}

/* Tells whether this instance is to read the store for others. */
bool watches_designated(const struct watches *w)
{
	const struct store_poll_others others = peers_readers(w->proxyd->peers);

	return store_poll_designated(&others);
}

/* Tells whether this instance reads the store for others, and it answers. */
bool watches_reading(const struct watches *w)
{
	uint64_t now = proxyd_now(w->proxyd);

	return watches_designated(w) &&
	       store_poll_fresh(w->watch[STORE_ENDPOINTS].answered_ms, now) &&
	       store_poll_fresh(w->watch[STORE_CONFIGURATION].answered_ms, now);
}

/* Returns the version of the newest row of a table that is known here, 0 if none
 * is.  The store counts the changes of all its tables together, so that its
 * newest version tells nothing of one of them. */
uint64_t watches_changed(const struct watches *w, enum store_table table)
{
	return w->watch[table].loaded ? w->watch[table].changed : 0;
}

/* Returns how long ago the store came back from an outage, ms; 0 if it was not
 * away. */
uint32_t watches_back_ms(const struct watches *w, enum store_table table)
{
	uint64_t back = w->watch[table].reread.recovered_ms;

	return back ? (uint32_t)(proxyd_now(w->proxyd) - back) + 1 : 0;
}

/* An instance that reads the store has a version of a table. */
void watches_hear(struct watches *w, enum store_table table, uint64_t version)
{
	struct watch *t = &w->watch[table];

	if (version <= t->version)
		t->behind_ms = 0;
	else if (!t->behind_ms)
		t->behind_ms = proxyd_now(w->proxyd);
}

/* Another instance has a configuration of this version; it is fetched from
 * there, or read from the store if that fails. */
void watches_hear_configuration(struct watches *w, uint64_t version,
				const char *control)
{
	const struct routes *routes = w->proxyd->routes;

	if (routes && version > routes->version)
		snapshot_fetch_configuration(w->proxyd->snapshots, control);
}

/* The configuration that another instance has could not be fetched. */
void watches_configuration_missed(struct watches *w)
{
	struct watch *t = &w->watch[STORE_CONFIGURATION];

	if (t->loaded && !t->behind_ms)
		t->behind_ms = proxyd_now(w->proxyd);
}

/* Takes changes that another instance has read, if they follow on what is
 * known here. */
void watches_take_change(struct watches *w, enum store_table table,
			 const struct store_change *change)
{
	struct watch *t = &w->watch[table];

	if (!t->loaded || change->version <= t->version ||
	    table == STORE_CONFIGURATION)
		return;
	if (change->after > t->version) { /* a datagram was lost */
		watches_hear(w, table, change->version);
		return;
	}
	if (change->since_recovery_ms)
		t->reread.recovered_ms =
			proxyd_now(w->proxyd) - change->since_recovery_ms + 1;
	w->proxyd->store->ops->decode(table, change, take_decoded, t);
	t->version = change->version;
	t->behind_ms = 0;
}

/* Takes rows that were decoded. */
static void take_decoded(void *arg, const struct store_row *rows, size_t n)
{
	take(arg, rows, n);
}

/* Tells whether, and why, this instance asks the store for a table now, or leaves
 * that to others who tell it. */
static enum store_poll_reason reads_itself(const struct watch *w, uint64_t now)
{
	struct store_poll_others others;

	if (!w->loaded)
		return STORE_POLL_NO_READER;
	others = peers_readers(w->watches->proxyd->peers);
	others.behind_ms = w->behind_ms;
	return store_poll_decide(&others, now);
}

/* Asks the store if this instance has to. */
static void call_if_due(struct watch *w, uint64_t now)
{
	enum store_poll_reason reason = reads_itself(w, now);

	if (reason == STORE_POLL_NOT)
		return;
	if (reason != w->reason || reason == STORE_POLL_BEHIND)
		event_log(EVENT_ROUTINE, "store-asked", NULL,
			  "{s:s, s:s, s:b, s:I}", "table",
			  store_table_name(w->table), "why",
			  w->loaded ? store_poll_reason_text(reason)
				    : "not read yet",
			  "whole", !w->loaded, "version",
			  (json_int_t)w->version);
	w->reason = reason;
	call(w);
}

/* Reads a table, or waits for its changes. */
static void call(struct watch *w)
{
	struct store *s = w->watches->proxyd->store;

	w->busy = true;
	counter_add(w->watches->calls[w->table], 1);
	if (w->loaded)
		s->ops->follow(s, w->table, w->version, follow_ms(w), on_rows,
			       w);
	else
		s->ops->list(s, w->table, on_rows, w);
}

/* Returns how long a call waits for changes, ms: not at all where some are known
 * to be there, or after a failure, as the answer tells that the store is back. */
static uint32_t follow_ms(const struct watch *w)
{
	if (w->behind_ms || w->reread.failures)
		return 0;
	return store_poll_wait_ms(watches_designated(w->watches));
}

/* The store answered, or did not. */
static void on_rows(void *arg, enum store_outcome outcome,
		    const struct store_row *rows, size_t n, uint64_t version)
{
	struct watch *w = arg;
	struct proxyd *p = w->watches->proxyd;
	uint64_t now = proxyd_now(p);

	w->busy = false;
	if (outcome == STORE_HISTORY_LOST) {
		event_log(EVENT_ALWAYS, "store-history-lost", NULL,
			  "{s:s, s:I}", "table", store_table_name(w->table),
			  "version", (json_int_t)w->version);
		w->loaded = false;
		w->next_ms = now;
		return;
	}
	if (outcome != STORE_OK) {
		failed(w, outcome);
		return;
	}
	if (w->reread.failures)
		event_log(EVENT_ALWAYS, "store-regained", NULL, "{s:s, s:I}",
			  "table", store_table_name(w->table), "away_ms",
			  (json_int_t)(now - w->reread.first_failure_ms));
	w->next_ms = now + store_poll_after_success(
				   &w->reread, peers_alive(p->peers) + 1,
				   watches_designated(w->watches), now);
	if (w->loaded && n && w->table != STORE_CONFIGURATION &&
	    watches_designated(w->watches))
		peers_tell_rows(p->peers, w->table, w->changed, version, rows,
				n);
	take(w, rows, n);
	if (!w->loaded || n)
		w->changed = version;
	w->version = version;
	w->behind_ms = 0;
	w->answered_ms = now;
	w->loaded = true;
}

/* A call failed: the next one waits. */
static void failed(struct watch *w, enum store_outcome outcome)
{
	struct proxyd *p = w->watches->proxyd;
	uint64_t now = proxyd_now(p);

	if (!w->reread.failures)
		event_log(EVENT_ALWAYS, "store-lost", NULL, "{s:s, s:s}",
			  "table", store_table_name(w->table), "outcome",
			  store_outcome_name(outcome));
	if (w->table == STORE_CONFIGURATION && !p->routes)
		snapshot_fetch_all(p->snapshots);
	w->next_ms = now + store_poll_after_failure(&w->reread,
						    peers_alive(p->peers) + 1,
						    now, proxyd_random());
}

/* Takes rows into the tables; of a whole table what is not among them is gone. */
static void take(struct watch *w, const struct store_row *rows, size_t n)
{
	struct proxyd *p = w->watches->proxyd;
	size_t i;

	for (i = 0; i < n; i++) {
		switch (w->table) {
		case STORE_CONFIGURATION:
			take_configuration(w, &rows[i]);
			break;
		case STORE_ENDPOINTS:
			endpoints_apply_row(p->endpoints, &rows[i],
					    w->reread.recovered_ms);
			break;
		default:
			if (!suspects_apply_row(p->suspects, &rows[i]))
				peers_take_row(p->peers, &rows[i]);
			break;
		}
	}
	if (w->loaded)
		return;
	if (w->table == STORE_ENDPOINTS)
		endpoints_remove_unlisted(p->endpoints, rows, n,
					  w->reread.recovered_ms);
	if (w->table == STORE_INSTANCES) {
		peers_keep_only(p->peers, rows, n);
		suspects_remove_unlisted(p->suspects, rows, n);
	}
}

/* Adopts a configuration that is newer than the one in force. */
static void take_configuration(struct watch *w, const struct store_row *row)
{
	struct proxyd *p = w->watches->proxyd;

	if (row->routes)
		proxyd_apply_routes(p, routes_ref(row->routes));
	else if (row->problem[0])
		event_log(EVENT_ALWAYS, "configuration-unreadable", NULL,
			  "{s:s, s:s}", "row", row->key, "problem",
			  row->problem);
}

/* Writes the own entry. */
static void put_entry(struct watches *w)
{
	struct proxyd *p = w->proxyd;
	const struct instance_entry entry = {
		.callers = p->settings.callers,
		.peers = p->settings.peers,
		.control = p->settings.control,
		.zone = p->settings.zone,
	};

	w->put_busy = true;
	counter_add(w->writes, 1);
	p->store->ops->put_instance(p->store, p->settings.name, &entry, on_put,
				    w);
}

/* The own entry was written or not; a lost answer is written again, which
 * changes nothing. */
static void on_put(void *arg, enum store_outcome outcome)
{
	struct watches *w = arg;

	w->put_busy = false;
	w->put = outcome == STORE_OK;
	w->put_next_ms = proxyd_now(w->proxyd) + PUT_AGAIN_MS +
			 proxyd_random() % PUT_AGAIN_MS;
	event_log(EVENT_ALWAYS, "own-entry", NULL, "{s:s}", "outcome",
		  store_outcome_name(outcome));
}

/* The own entry was removed or not; others hear of the stop by datagrams. */
static void on_removed(void *arg, enum store_outcome outcome)
{
	(void)arg;
	event_log(EVENT_ALWAYS, "own-entry-removed", NULL, "{s:s}", "outcome",
		  store_outcome_name(outcome));
}
