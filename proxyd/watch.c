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
#include "policy/reread.h"
#include "proxyd/endpoints.h"
#include "proxyd/peers.h"
#include "proxyd/proxyd.h"

#define FOLLOW_MS 25000 /* the store keeps a call waiting for 30 s at most */

/* The own entry is written again this long after a failure. */
#define PUT_AGAIN_MS 500

struct watch {
	struct watches *watches;
	enum store_table table;
	struct reread reread;
	uint64_t next_ms; /* when to call */
	uint64_t version;
	bool loaded; /* version is known, changes are followed */
	bool busy;
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

static void call(struct watch *w);
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
		w->calls[i] = counter_labelled(
			"cdm_store_calls_total", "Calls to the store",
			COUNTER_TOTAL, "table", store_table_name(i));
	}
	w->writes = counter_labelled("cdm_store_calls_total",
				     "Calls to the store", COUNTER_TOTAL,
				     "table", "own entry");
	return w;
}

/* Frees the watches; the store's calls must have been cancelled. */
void watches_free(struct watches *w)
{
	free(w);
}

/* Makes the calls that are due. */
void watches_tick(struct watches *w)
{
	uint64_t now = proxyd_now(w->proxyd);
	int i;

	for (i = 0; i < STORE_TABLES; i++)
		if (!w->watch[i].busy && now >= w->watch[i].next_ms)
			call(&w->watch[i]);
	if (!w->put && !w->put_busy && !w->leaving && now >= w->put_next_ms)
		put_entry(w);
}

/* Removes the own entry, so that instances which start later don't name it. */
void watches_leave(struct watches *w)
{
	struct store *s = w->proxyd->store;

	w->leaving = true;
	counter_add(w->writes, 1);
	s->ops->remove_instance(s, w->proxyd->settings.name, on_removed, w);
}

/* Tells whether the first reading of the configuration is still under way. */
bool watches_starting(const struct watches *w)
{
	const struct watch *c = &w->watch[STORE_CONFIGURATION];

	return !c->loaded && !c->reread.failures;
}

/* Reads a table, or waits for its changes. */
static void call(struct watch *w)
{
	struct store *s = w->watches->proxyd->store;

	w->busy = true;
	counter_add(w->watches->calls[w->table], 1);
	if (w->loaded)
		s->ops->follow(s, w->table, w->version, FOLLOW_MS, on_rows, w);
	else
		s->ops->list(s, w->table, on_rows, w);
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
			  (json_int_t)(now - w->reread.failed_ms));
	w->next_ms = now + reread_after_success(&w->reread,
						peers_alive(p->peers) + 1, now);
	take(w, rows, n);
	w->version = version;
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
	w->next_ms = now +
		     reread_after_failure(&w->reread, now, proxyd_random());
}

/* Takes rows into the tables. */
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
			endpoints_take_row(p->endpoints, &rows[i],
					   w->reread.back_ms);
			break;
		default:
			peers_take_row(p->peers, &rows[i]);
			break;
		}
	}
	if (w->loaded)
		return;
	if (w->table == STORE_ENDPOINTS)
		endpoints_keep_only(p->endpoints, rows, n, w->reread.back_ms);
	if (w->table == STORE_INSTANCES)
		peers_keep_only(p->peers, rows, n);
}

/* Adopts a configuration that is newer than the one in force. */
static void take_configuration(struct watch *w, const struct store_row *row)
{
	struct proxyd *p = w->watches->proxyd;

	if (row->routes)
		proxyd_adopt(p, routes_ref(row->routes));
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
	w->put_next_ms = proxyd_now(w->proxyd) + PUT_AGAIN_MS;
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
