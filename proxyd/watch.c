/*
 * Follows the tables of the store: the configuration, the endpoints and the
 * other instances; and writes this instance's own entry.  Each table is read
 * whole once, and then only its changes are read.  When the store returns from
 * a copy, the tables are read whole again, and the own entry is written again;
 * so is one that the store has lost (policy/own_entry.c).
 */
#include "proxyd/watch.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "lib/counters.h"
#include "lib/event_log.h"
#include "lib/xalloc.h"
#include "policy/own_entry.h"
#include "policy/store_era.h"
#include "policy/store_gap.h"
#include "policy/store_poll.h"
#include "policy/store_view.h"
#include "proxyd/endpoints.h"
#include "proxyd/origins.h"
#include "proxyd/peers.h"
#include "proxyd/proxyd.h"
#include "proxyd/snapshot.h"
#include "proxyd/suspects.h"

/* Delay before the own entry is written again after a failure; a random delay
 * of up to the same length is added, because instances that all start together
 * request more writes than the store accepts. */
#define ENTRY_RETRY_MS 500

/* A broken connection is replaced, and the call answered, within this time. */
#define STORE_LOST_MS 300

struct watch {
	struct watches *watches;
	enum store_table table;
	struct store_poll poll;
	uint64_t next_call_ms; /* earliest time of the next call */
	uint64_t version; /* of the store when it last answered */
	uint64_t row_version; /* version of the newest rows received */
	uint64_t change_version; /* of the change that is being decoded */
	uint64_t answered_ms; /* when the store last answered; 0: never */
	uint64_t behind_ms; /* others are ahead since then; 0: no */
	uint64_t announced_version; /* newest one of a reader; see behind_ms */
	uint64_t newest_row; /* version of the newest row that it read itself */
	uint64_t heard_version; /* of the newest row that others know */
	uint64_t heard_ms; /* since when they know rows that it lacks */
	char heard_from[64]; /* the instance that named heard_version */
	/* when the call that a check or a renewal ended began; 0: none, or the
	 * answer since was handled */
	uint64_t checked_ms;
	uint64_t called_ms; /* when the last call began */
	uint32_t wait_ms; /* for which it waits for changes at most */
	uint64_t seen_ms; /* changes until then are known; 0: none read */
	bool waits; /* the call in progress waits for changes */
	bool renews; /* the next call renews the view: it does not wait */
	bool loaded; /* version is known, changes are followed */
	bool busy;
	bool listing; /* the call reads the table whole */
	bool from_copy; /* the next listing is the first one of an era */
	enum store_poll_reason reason; /* of the last call */
};

struct watches {
	struct proxyd *proxyd;
	struct watch watch[STORE_TABLES];
	uint64_t era; /* of the store, that the tables follow; 0: unknown */
	bool listed; /* the instances were read and the own entry written */
	struct own_entry own_entry;
	bool write_busy;
	bool stopping;
	uint64_t next_write_ms;
	struct store_gap gap; /* changes of which no row was read */
	struct store_view view;
	struct counter *view_age;
	struct counter *renewals; /* of the view, by own calls */
	struct counter *calls[STORE_TABLES];
	struct counter *checked[STORE_TABLES];
	struct counter *stale[STORE_TABLES];
	struct counter *writes;
	struct counter *missing; /* losses of the own entry, as read */
	struct counter *other;
};

static bool waits_for_configuration(const struct watches *w, int table);
static enum store_poll_reason poll_reason(const struct watch *w, uint64_t now);
static void apply_decoded(void *arg, const struct store_row *rows, size_t n);
static void note_era(struct watches *w, const char *by, bool first_hand);
static void begin_era(struct watches *w, uint64_t now, uint32_t delay_ms);
static void note_caught_up(struct watch *w);
static bool is_missing_rows(const struct watch *w);
static void end_if_dead(struct watch *w, uint64_t now);
static void note_stale(struct watch *w, uint64_t now, uint64_t waited_ms);
static void check_tables(struct watches *w, uint64_t now);
static void check_table(struct watch *w, uint64_t now);
static void note_checked(struct watch *w, size_t n, uint64_t now);
static void account_for(struct watch *w, const struct store_row *rows, size_t n,
			uint64_t now);
static uint64_t tables_version(const struct watches *w);
static void note_seen(struct watch *w, size_t n, uint64_t now);
static void renew_view(struct watches *w);
static void renew_view_if_due(struct watches *w, uint64_t now);
static void note_view_age(struct watches *w, uint64_t now);
static void end_waiting(struct watches *w, const struct watch *except);
static void call_if_due(struct watch *w, uint64_t now);
static void call_store(struct watch *w);
static uint32_t follow_ms(const struct watch *w);
static void on_rows(void *arg, enum store_outcome outcome,
		    const struct store_row *rows, size_t n, uint64_t version);
static void on_failure(struct watch *w, enum store_outcome outcome);
static void apply_rows(struct watch *w, const struct store_row *rows, size_t n,
		       uint64_t version);
static void remove_unlisted(struct watch *w, const struct store_row *rows,
			    size_t n);
static void apply_configuration(struct watch *w, const struct store_row *row);
static void note_own_entry(struct watches *w, const struct store_row *rows,
			   size_t n, bool whole, uint64_t version);
static void rewrite_entry_if_lost(struct watches *w);
static void put_entry(struct watches *w);
static void on_put(void *arg, enum store_outcome outcome);
static void on_removed(void *arg, enum store_outcome outcome);

/* Creates the watches; reading starts at the next tick. */
struct watches *watches_new(struct proxyd *p)
{
	static const char rewrites[] = "cdm_own_entry_rewrites_total";
	static const char rewrites_help[] =
		"Losses of the own entry in the store, after each of which it "
		"is written again";
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
		w->stale[i] = counter_labelled(
			"cdm_store_stale_total",
			"Calls that waited while others had newer rows",
			COUNTER_TOTAL, "table", store_table_name(i));
		w->checked[i] = counter_labelled(
			"cdm_store_checked_total",
			"Calls ended as the store named an unknown change",
			COUNTER_TOTAL, "table", store_table_name(i));
	}
	w->writes = counter_labelled("cdm_store_calls_total",
				     "Calls to the store", COUNTER_TOTAL,
				     "table", "own entry");
	w->missing = counter_labelled(rewrites, rewrites_help, COUNTER_TOTAL,
				      "read", "missing");
	w->view_age = counter_labelled("cdm_store_view_age_ms",
				       "Time since which changes of the store "
				       "may be unknown; -1: not read yet",
				       COUNTER_GAUGE, "by", "self");
	w->renewals = counter_labelled("cdm_store_view_renewals_total",
				       "Readings of all tables as the view of "
				       "the store was not renewed in time",
				       COUNTER_TOTAL, "by", "self");
	w->other = counter_labelled(rewrites, rewrites_help, COUNTER_TOTAL,
				    "read", "of another process");
	return w;
}

/* Makes the calls that are due. */
void watches_tick(struct watches *w)
{
	uint64_t now = proxyd_now(w->proxyd);
	int i;

	note_view_age(w, now);
	for (i = 0; i < STORE_TABLES; i++)
		end_if_dead(&w->watch[i], now);
	check_tables(w, now);
	renew_view_if_due(w, now);
	for (i = 0; i < STORE_TABLES; i++)
		if (!w->watch[i].busy && now >= w->watch[i].next_call_ms &&
		    !waits_for_configuration(w, i))
			call_if_due(&w->watch[i], now);
	if (!w->own_entry.written && !w->write_busy && !w->stopping &&
	    now >= w->next_write_ms)
		put_entry(w);
	if (w->watch[STORE_INSTANCES].loaded && w->own_entry.written)
		w->listed = true;
}

/* Returns whether a table is not read until the store answers for the
 * configuration.  This holds for the list of instances: while the store is
 * unreachable, calls for the two other tables suffice to detect its return. */
static bool waits_for_configuration(const struct watches *w, int table)
{
	return table == STORE_INSTANCES &&
	       w->watch[STORE_CONFIGURATION].poll.failures;
}

/* Removes the own entry, so that instances that start later don't list it. */
void watches_remove_entry(struct watches *w)
{
	struct store *s = w->proxyd->store;

	w->stopping = true;
	counter_add(w->writes, 1);
	s->ops->remove_entry(s, w->proxyd->settings.name, 0, on_removed, w);
}

/* Returns whether the first read of the configuration has neither succeeded nor
 * failed yet. */
bool watches_starting(const struct watches *w)
{
	const struct watch *c = &w->watch[STORE_CONFIGURATION];

	return !c->loaded && !c->answered_ms && !c->poll.failures;
}

/* Returns whether the list of instances was read and the own entry written.
 * It stays true while both are done anew after the store's return from a
 * copy. */
bool watches_listed(const struct watches *w)
{
	return w->listed;
}

/* Returns whether the store answers, as far as is known to this instance or to
 * one that reads for it. */
bool watches_store_reachable(const struct watches *w)
{
	const struct watch *e = &w->watch[STORE_ENDPOINTS];

	return e->loaded &&
	       (!e->poll.failures || !poll_reason(e, proxyd_now(w->proxyd)));
}

/* Returns whether the endpoints have been read since the start. */
bool watches_endpoints_loaded(const struct watches *w)
{
	return w->watch[STORE_ENDPOINTS].answered_ms != 0;
}

/* Returns whether the store is away: calls of this instance have failed for some
 * time.  A single failure may be that of a connection. */
bool watches_store_lost(const struct watches *w)
{
	const struct store_poll *poll = &w->watch[STORE_ENDPOINTS].poll;

	return poll->failures &&
	       proxyd_now(w->proxyd) - poll->first_failure_ms >= STORE_LOST_MS;
}

/* Returns whether this instance is designated to read the store for others. */
bool watches_designated(const struct watches *w)
{
	const struct store_poll_others others =
		peers_store_readers(w->proxyd->peers);

	return store_poll_designated(&others);
}

/* Returns whether this instance is designated to read the store for others and
 * the store has answered lately. */
bool watches_reading(const struct watches *w)
{
	uint64_t now = proxyd_now(w->proxyd);

	return watches_designated(w) &&
	       store_poll_fresh(w->watch[STORE_ENDPOINTS].answered_ms, now) &&
	       store_poll_fresh(w->watch[STORE_CONFIGURATION].answered_ms, now);
}

/* Returns the version of the newest known row of a table, 0 if it is not
 * loaded.  The store counts the changes of all its tables together, so its
 * newest version does not show whether one table has changed. */
uint64_t watches_row_version(const struct watches *w, enum store_table table)
{
	return w->watch[table].loaded ? w->watch[table].row_version : 0;
}

/* Returns the version of the newest row of a table that this instance has read
 * itself, 0 if it is not loaded.  An instance with a lower version of the table
 * lacks that row. */
uint64_t watches_newest_row(const struct watches *w, enum store_table table)
{
	return w->watch[table].loaded ? w->watch[table].newest_row : 0;
}

/* Returns the time since the store recovered from an outage, in ms, plus 1; 0
 * if there was none. */
uint32_t watches_since_recovery_ms(const struct watches *w,
				   enum store_table table)
{
	uint64_t recovered_ms = w->watch[table].poll.recovered_ms;

	return recovered_ms
		       ? (uint32_t)(proxyd_now(w->proxyd) - recovered_ms) + 1
		       : 0;
}

/* Returns the era of the store that the tables follow, 0 if it is unknown. */
uint64_t watches_era(const struct watches *w)
{
	return w->era;
}

/* Handles the era of the store that another instance names, 0 if it names none.
 * Returns false if it is an older one, whose versions mean nothing here. */
bool watches_era_seen(struct watches *w, uint64_t era, const char *peer)
{
	if (!store_era_note(&w->proxyd->store->era, era))
		return false;
	note_era(w, peer, false);
	return true;
}

/* Begins a new era if one was seen; by names the instance that told of it, or
 * the store, which is first_hand. */
static void note_era(struct watches *w, const char *by, bool first_hand)
{
	const struct proxyd *p = w->proxyd;
	uint64_t before = w->era;
	uint32_t delay_ms;

	if (p->store->era == before)
		return;
	w->era = p->store->era;
	if (!before)
		return;
	delay_ms = store_era_delay_ms(peers_alive(p->peers) + 1, first_hand,
				      proxyd_random());
	event_log(EVENT_ALWAYS, "store-era", NULL, "{s:I, s:I, s:s, s:I, s:I}",
		  "era", (json_int_t)w->era, "before", (json_int_t)before, "by",
		  by, "configuration",
		  (json_int_t)(p->routes ? p->routes->version : 0), "delay_ms",
		  (json_int_t)delay_ms);
	begin_era(w, proxyd_now(p), delay_ms);
}

/* Has the tables read whole and the own entry written again, delay_ms from
 * now. */
static void begin_era(struct watches *w, uint64_t now, uint32_t delay_ms)
{
	int i;

	end_waiting(w, NULL);
	for (i = 0; i < STORE_TABLES; i++) {
		struct watch *t = &w->watch[i];

		t->loaded = false;
		t->from_copy = true;
		t->version = 0;
		t->row_version = 0;
		t->behind_ms = 0;
		t->announced_version = 0;
		t->newest_row = 0;
		t->heard_version = 0;
		t->checked_ms = 0;
		t->seen_ms = 0;
		t->poll.recovered_ms = now;
		t->next_call_ms = now + delay_ms;
	}
	memset(&w->gap, 0, sizeof(w->gap));
	store_view_reset(&w->view);
	own_entry_era_began(&w->own_entry);
	w->next_write_ms = now + delay_ms;
	origins_era_began(w->proxyd->origins);
}

/* Records the version of a table that a store reader has announced. */
void watches_version_seen(struct watches *w, enum store_table table,
			  uint64_t version)
{
	struct watch *t = &w->watch[table];

	if (version <= t->version)
		return;
	if (!t->behind_ms)
		t->behind_ms = proxyd_now(w->proxyd);
	if (version > t->announced_version)
		t->announced_version = version;
}

/* Ends that a table is behind, once it has reached the newest version that a
 * store reader has announced. */
static void note_caught_up(struct watch *w)
{
	if (w->version >= w->announced_version)
		w->behind_ms = 0;
}

/* Records the version of a row of a table that another instance knows. */
void watches_row_seen(struct watches *w, enum store_table table,
		      uint64_t version, const char *peer)
{
	struct watch *t = &w->watch[table];

	if (version <= t->version || version <= t->heard_version)
		return;
	if (!is_missing_rows(t))
		t->heard_ms = proxyd_now(w->proxyd);
	t->heard_version = version;
	strlcpy(t->heard_from, peer, sizeof(t->heard_from));
}

/* Records the version of a change of a table that is not followed. */
void watches_change_known(struct watches *w, uint64_t version)
{
	store_gap_row(&w->gap, version, proxyd_now(w->proxyd));
	renew_view(w);
}

/* Tells whether another instance has named a newer row than this one knows. */
static bool is_missing_rows(const struct watch *w)
{
	return w->heard_version > w->version;
}

/* Fetches the configuration from another instance if its version is newer.  If
 * the fetch fails, it is read from the store. */
void watches_configuration_seen(struct watches *w, uint64_t version,
				const char *control)
{
	const struct routes *routes = w->proxyd->routes;

	if (routes && version > routes->version)
		snapshot_fetch_configuration(w->proxyd->snapshots, control);
}

/* Marks a table as behind, so that it is read from the store. */
void watches_rows_missed(struct watches *w, enum store_table table)
{
	struct watch *t = &w->watch[table];

	if (t->loaded && !t->behind_ms)
		t->behind_ms = proxyd_now(w->proxyd);
}

/* Applies changes that another instance has read, if they leave no gap after
 * the known version. */
void watches_apply_change(struct watches *w, enum store_table table,
			  const struct store_change *change)
{
	struct watch *t = &w->watch[table];

	if (!t->loaded || change->version <= t->version ||
	    table == STORE_CONFIGURATION)
		return;
	if (change->after > t->version) { /* a datagram was lost */
		watches_version_seen(w, table, change->version);
		return;
	}
	if (change->since_recovery_ms)
		t->poll.recovered_ms =
			proxyd_now(w->proxyd) - change->since_recovery_ms + 1;
	t->change_version = change->version;
	w->proxyd->store->ops->decode(table, change, apply_decoded, t);
	t->version = change->version;
	t->row_version = change->version;
	note_caught_up(t);
}

/* Applies decoded rows; callback of decode(). */
static void apply_decoded(void *arg, const struct store_row *rows, size_t n)
{
	struct watch *w = arg;

	apply_rows(w, rows, n, w->change_version);
}

/* Returns why this instance reads a table from the store itself,
 * STORE_POLL_NOT if it relies on the announcements of others. */
static enum store_poll_reason poll_reason(const struct watch *w, uint64_t now)
{
	struct store_poll_others others;

	if (!w->loaded)
		return STORE_POLL_NO_READER;
	others = peers_store_readers(w->watches->proxyd->peers);
	others.behind_ms = w->behind_ms;
	return store_poll_decide(&others, now);
}

/* Ends the waiting calls of all tables if this one's is dead: they were made to
 * the same store, and a new call returns at once what was missed. */
static void end_if_dead(struct watch *w, uint64_t now)
{
	if (!w->busy || !w->waits || !is_missing_rows(w) ||
	    !store_poll_call_dead(w->heard_ms, w->called_ms, now))
		return;
	note_stale(w, now, now - w->called_ms);
	end_waiting(w->watches, NULL);
}

/* Counts and logs a dead call, which had waited for waited_ms when it was ended: by
 * a row that others or the store had named, or by reading the table again. */
static void note_stale(struct watch *w, uint64_t now, uint64_t waited_ms)
{
	bool named = is_missing_rows(w);

	counter_add(w->watches->stale[w->table], 1);
	event_log(EVENT_ALWAYS, "store-stale", NULL,
		  "{s:s, s:I, s:I, s:s, s:I, s:I}", "table",
		  store_table_name(w->table), "version", (json_int_t)w->version,
		  "heard", (json_int_t)(named ? w->heard_version : 0), "from",
		  named ? w->heard_from : "own reading", "age_ms",
		  (json_int_t)(named ? now - w->heard_ms : 0), "waited_ms",
		  (json_int_t)waited_ms);
}

/* On the first instance: reads the tables to which a change of unknown rows may
 * belong, without a wait.  The others compare their tables with what this one
 * then reads. */
static void check_tables(struct watches *w, uint64_t now)
{
	struct store_poll_others others;
	int i;

	if (!store_gap_open(&w->gap, now))
		return;
	others = peers_store_readers(w->proxyd->peers);
	if (!store_poll_first(&others) ||
	    !store_poll_all_read(peers_listed(w->proxyd->peers) + 1))
		return; /* also if many start that are not heard yet */
	for (i = 0; i < STORE_TABLES; i++)
		check_table(&w->watch[i], now);
}

/* Has a table read without a wait, and ends its call that waits, which may be
 * dead; once for each change.  See check_tables(). */
static void check_table(struct watch *w, uint64_t now)
{
	struct store *s = w->watches->proxyd->store;
	uint64_t newest = w->watches->gap.newest;

	if (!w->loaded || w->version >= newest || w->heard_version >= newest)
		return;
	watches_row_seen(w->watches, w->table, newest, "the store");
	if (!w->busy || !w->waits)
		return;
	counter_add(w->watches->checked[w->table], 1);
	event_log(EVENT_ROUTINE, "store-checked", NULL, "{s:s, s:I, s:I, s:I}",
		  "table", store_table_name(w->table), "version",
		  (json_int_t)w->version, "newest", (json_int_t)newest,
		  "waited_ms", (json_int_t)(now - w->called_ms));
	w->checked_ms = w->called_ms;
	s->ops->end_reading(s, w->table);
}

/* Handles the answer that follows a check or a renewal: rows show that the call
 * which that ended was dead. */
static void note_checked(struct watch *w, size_t n, uint64_t now)
{
	if (w->checked_ms && n)
		note_stale(w, now, now - w->checked_ms);
	w->checked_ms = 0;
}

/* Records up to when an answer with n rows shows the changes of a table: a call
 * that waited in vain shows that there was none while it waited. */
static void note_seen(struct watch *w, size_t n, uint64_t now)
{
	uint64_t ms = w->called_ms + (n ? 0 : w->wait_ms);

	w->seen_ms = ms < now ? ms : now;
}

/* Renews the view of the store by what has been read: of all tables, or of the
 * one whose answers name the newest change, while all changes are known. */
static void renew_view(struct watches *w)
{
	uint64_t ms = UINT64_MAX;
	int i;

	for (i = 0; i < STORE_TABLES; i++) {
		if (!w->watch[i].loaded)
			return;
		if (w->watch[i].seen_ms < ms)
			ms = w->watch[i].seen_ms;
	}
	if (!w->gap.since_ms && w->watch[STORE_ENDPOINTS].seen_ms > ms)
		ms = w->watch[STORE_ENDPOINTS].seen_ms;
	if (store_view_read(&w->view, ms))
		peers_announce_soon(w->proxyd->peers);
}

/* Reads the tables if the view is not renewed in time.  Calls in progress may be
 * dead, and are ended; those that follow a failure are made again anyway. */
static void renew_view_if_due(struct watches *w, uint64_t now)
{
	struct store *s = w->proxyd->store;
	struct store_poll_others others;
	uint64_t age_ms = store_view_age_ms(&w->view, now);
	int i;

	if (!store_view_aged(&w->view, now) || !tables_version(w))
		return;
	others = peers_store_readers(w->proxyd->peers);
	if (!store_poll_all_read(others.instances) ||
	    !store_view_renewal_due(&w->view, others.preceding,
				    others.instances, now))
		return;
	counter_add(w->renewals, 1);
	event_log(EVENT_NOTABLE, "store-view-read", NULL,
		  "{s:I, s:I, s:I, s:I}", "age_ms", (json_int_t)age_ms,
		  "preceding", (json_int_t)others.preceding, "instances",
		  (json_int_t)others.instances, "patience_ms",
		  (json_int_t)w->view.patience_ms);
	for (i = 0; i < STORE_TABLES; i++) {
		struct watch *t = &w->watch[i];

		if (t->poll.failures)
			continue;
		t->checked_ms = t->busy && t->waits ? t->called_ms : 0;
		if (t->busy)
			s->ops->end_reading(s, t->table);
		t->renews = true;
		t->next_call_ms = now;
	}
}

/* Sets the metric of the view's age, and logs that the view has become old or has
 * been renewed. */
static void note_view_age(struct watches *w, uint64_t now)
{
	const struct watch *c = &w->watch[STORE_CONFIGURATION];
	const struct proxyd *p = w->proxyd;
	uint64_t age_ms = store_view_age_ms(&w->view, now);
	bool known = age_ms != UINT64_MAX;

	counter_set(w->view_age, known ? (double)age_ms : -1);
	if (!known || !store_view_old_changes(&w->view, now))
		return;
	event_log(EVENT_ALWAYS,
		  w->view.old ? "store-view-old" : "store-view-renewed", NULL,
		  "{s:I, s:b, s:I, s:I, s:I, s:b, s:I}", "age_ms",
		  (json_int_t)age_ms, "by_others",
		  w->view.told_ms > w->view.read_ms, "answered_ms_ago",
		  (json_int_t)(now - c->answered_ms), "asked_ms_ago",
		  (json_int_t)(now - c->called_ms), "row",
		  (json_int_t)c->newest_row, "missing", is_missing_rows(c),
		  "version", (json_int_t)(p->routes ? p->routes->version : 0));
}

/* Returns the age of the view of the store, ms; UINT64_MAX if there is none. */
uint64_t watches_view_age_ms(const struct watches *w)
{
	return store_view_age_ms(&w->view, proxyd_now(w->proxyd));
}

/* Returns the age of the view of the store as read by this instance itself, ms,
 * plus 1, for other instances; 0: unknown. */
uint32_t watches_read_ms_ago(const struct watches *w)
{
	uint64_t now = proxyd_now(w->proxyd);
	uint64_t ms_ago = now - w->view.read_ms + 1;

	return w->view.read_ms && ms_ago < UINT32_MAX ? (uint32_t)ms_ago : 0;
}

/* Handles the age of the view of the store that another instance has read, 0 if
 * it names none, and the version of its configuration.  The view counts here if
 * nothing that the other one has named is missing. */
void watches_view_told(struct watches *w, uint32_t read_ms_ago,
		       uint64_t configuration)
{
	const struct routes *routes = w->proxyd->routes;
	uint64_t now = proxyd_now(w->proxyd);
	int i;

	if (!read_ms_ago || read_ms_ago > now || !routes ||
	    configuration > routes->version)
		return;
	for (i = 0; i < STORE_TABLES; i++)
		if (!w->watch[i].loaded || w->watch[i].behind_ms ||
		    is_missing_rows(&w->watch[i]))
			return;
	store_view_told(&w->view, now - (read_ms_ago - 1));
}

/* Records the rows of an answer, and the version of the store that it names, as
 * accounted for. */
static void account_for(struct watch *w, const struct store_row *rows, size_t n,
			uint64_t now)
{
	struct store_gap *gap = &w->watches->gap;
	uint64_t all_read = tables_version(w->watches);
	size_t i;

	for (i = 0; i < n; i++)
		store_gap_row(gap, rows[i].version, now);
	store_gap_tables_read(gap, all_read, now);
	if (w->table == STORE_ENDPOINTS && all_read)
		store_gap_newest(gap, w->version, now);
}

/* Returns the version of the store up to which all tables are read, 0 if one is
 * not loaded. */
static uint64_t tables_version(const struct watches *w)
{
	uint64_t version = UINT64_MAX;
	int i;

	for (i = 0; i < STORE_TABLES; i++) {
		if (!w->watch[i].loaded)
			return 0;
		if (w->watch[i].version < version)
			version = w->watch[i].version;
	}
	return version;
}

/* Ends the calls that wait for changes, except that of one table; NULL: of
 * none. */
static void end_waiting(struct watches *w, const struct watch *except)
{
	struct store *s = w->proxyd->store;
	int i;

	for (i = 0; i < STORE_TABLES; i++)
		if (&w->watch[i] != except && w->watch[i].busy &&
		    w->watch[i].waits)
			s->ops->end_reading(s, (enum store_table)i);
}

/* Reads a table if this instance has to, and logs a change of the reason. */
static void call_if_due(struct watch *w, uint64_t now)
{
	enum store_poll_reason reason = poll_reason(w, now);

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
	call_store(w);
}

/* Reads a table whole, or once it is loaded, its changes. */
static void call_store(struct watch *w)
{
	struct store *s = w->watches->proxyd->store;
	uint32_t wait_ms = w->loaded ? follow_ms(w) : 0;

	w->busy = true;
	w->waits = wait_ms > 0;
	w->renews = false;
	w->wait_ms = wait_ms;
	w->called_ms = proxyd_now(w->watches->proxyd);
	w->listing = !w->loaded;
	counter_add(w->watches->calls[w->table], 1);
	if (w->loaded)
		s->ops->follow(s, w->table, w->version, wait_ms, on_rows, w);
	else
		s->ops->list(s, w->table, on_rows, w);
}

/* Returns how long a call waits for changes, in ms.  It is 0 if changes are
 * known to exist, to renew the view, and after a failure, so that the recovery of
 * the store is noticed at once. */
static uint32_t follow_ms(const struct watch *w)
{
	uint64_t now = proxyd_now(w->watches->proxyd);
	struct store_poll_others others;

	if (w->behind_ms || is_missing_rows(w) || w->poll.failures || w->renews)
		return 0;
	others = peers_store_readers(w->watches->proxyd->peers);
	return store_poll_wait_ms(&others, w->table == STORE_ENDPOINTS,
				  now - w->seen_ms);
}

/* Handles the result of a call to the store. */
static void on_rows(void *arg, enum store_outcome outcome,
		    const struct store_row *rows, size_t n, uint64_t version)
{
	struct watch *w = arg;
	struct proxyd *p = w->watches->proxyd;
	struct store_poll_others others;
	uint64_t now = proxyd_now(p);
	size_t i;

	w->busy = false;
	if (outcome == STORE_ENDED) {
		w->next_call_ms = now;
		return;
	}
	note_era(w->watches, "store", true);
	if (outcome == STORE_OK && !w->loaded && !w->listing)
		return; /* changes of an older era: the table is read whole */
	if (outcome == STORE_HISTORY_LOST) {
		event_log(EVENT_ALWAYS, "store-history-lost", NULL,
			  "{s:s, s:I}", "table", store_table_name(w->table),
			  "version", (json_int_t)w->version);
		w->loaded = false;
		w->next_call_ms = now;
		return;
	}
	if (outcome != STORE_OK) {
		on_failure(w, outcome);
		return;
	}
	if (w->poll.failures) {
		event_log(EVENT_ALWAYS, "store-regained", NULL, "{s:s, s:I}",
			  "table", store_table_name(w->table), "away_ms",
			  (json_int_t)(now - w->poll.first_failure_ms));
		end_waiting(w->watches, w);
	}
	others = peers_store_readers(p->peers);
	w->next_call_ms = now + store_poll_after_success(&w->poll, &others,
							 w->waits && !n, now);
	if (w->loaded && version < w->version) {
		/* another reader has told of newer rows meanwhile */
		w->answered_ms = now;
		return;
	}
	if (w->loaded && n && w->table != STORE_CONFIGURATION &&
	    store_poll_designated(&others))
		peers_announce_rows(p->peers, w->table, w->row_version, version,
				    rows, n);
	/* before answered_ms is set, which tells the first reading from later */
	apply_rows(w, rows, n, version);
	if (!w->loaded || n)
		w->row_version = version;
	for (i = 0; i < n; i++)
		if (rows[i].version > w->newest_row)
			w->newest_row = rows[i].version;
	note_checked(w, n, now);
	w->version = version;
	w->behind_ms = 0;
	w->answered_ms = now;
	w->loaded = true;
	w->from_copy = false;
	note_seen(w, n, now);
	account_for(w, rows, n, now);
	renew_view(w->watches);
}

/* Handles a failed call: schedules the next one with a delay.  An instance
 * without a configuration asks another instance for everything. */
static void on_failure(struct watch *w, enum store_outcome outcome)
{
	struct proxyd *p = w->watches->proxyd;
	uint64_t now = proxyd_now(p);

	if (!w->poll.failures)
		event_log(EVENT_ALWAYS, "store-lost", NULL, "{s:s, s:s}",
			  "table", store_table_name(w->table), "outcome",
			  store_outcome_name(outcome));
	if (w->table == STORE_CONFIGURATION && !p->routes)
		snapshot_fetch_all(p->snapshots);
	w->next_call_ms = now + store_poll_after_failure(
					&w->poll, peers_alive(p->peers) + 1,
					now, proxyd_random());
}

/* Applies rows to the tables, as they are at a version.  After a full read,
 * entries that are not among the rows are removed. */
static void apply_rows(struct watch *w, const struct store_row *rows, size_t n,
		       uint64_t version)
{
	struct proxyd *p = w->watches->proxyd;
	size_t i;

	for (i = 0; i < n; i++) {
		switch (w->table) {
		case STORE_CONFIGURATION:
			apply_configuration(w, &rows[i]);
			break;
		case STORE_ENDPOINTS:
			endpoints_apply_row(p->endpoints, &rows[i],
					    w->poll.recovered_ms);
			break;
		default:
			if (!suspects_apply_row(p->suspects, &rows[i]))
				peers_apply_row(p->peers, &rows[i]);
			break;
		}
	}
	if (!w->loaded)
		remove_unlisted(w, rows, n);
	if (w->table == STORE_INSTANCES)
		note_own_entry(w->watches, rows, n, !w->loaded, version);
}

/* Removes the entries that are missing from a full listing.  Those that are
 * missing from the copy that the store returned from are kept for a time. */
static void remove_unlisted(struct watch *w, const struct store_row *rows,
			    size_t n)
{
	struct proxyd *p = w->watches->proxyd;

	if (w->table == STORE_ENDPOINTS)
		endpoints_remove_unlisted(p->endpoints, rows, n,
					  w->poll.recovered_ms);
	if (w->table == STORE_INSTANCES) {
		peers_remove_unlisted(p->peers, rows, n, w->from_copy);
		if (!w->answered_ms)
			peers_note_own_row(p->peers, rows, n);
		suspects_remove_unlisted(p->suspects, rows, n, w->from_copy);
	}
}

/* Passes a configuration on to be adopted, or logs why it is unreadable. */
static void apply_configuration(struct watch *w, const struct store_row *row)
{
	struct proxyd *p = w->watches->proxyd;

	if (row->routes)
		proxyd_apply_routes(p, routes_ref(row->routes));
	else if (row->problem[0])
		event_log(EVENT_ALWAYS, "configuration-unreadable", NULL,
			  "{s:s, s:s}", "row", row->key, "problem",
			  row->problem);
}

/* Notes the own entry if it is among the rows, or missing from a whole table;
 * version is that of the rows. */
static void note_own_entry(struct watches *w, const struct store_row *rows,
			   size_t n, bool whole, uint64_t version)
{
	const struct proxyd *p = w->proxyd;
	enum own_entry_state state = OWN_ENTRY_MISSING;
	bool found = false;
	size_t i;

	for (i = 0; i < n; i++) {
		if (strcmp(rows[i].key, p->settings.name) != 0)
			continue;
		found = true;
		if (rows[i].removed)
			state = OWN_ENTRY_MISSING;
		else if (rows[i].instance &&
			 rows[i].instance->born_ms == p->start_unix_ms)
			state = OWN_ENTRY_PRESENT;
		else
			state = OWN_ENTRY_OTHER;
	}
	if (!found && !whole)
		return;
	own_entry_read(&w->own_entry, state, version);
	rewrite_entry_if_lost(w);
}

/* Has the own entry written again if the store has lost it, unless this process
 * is stopping. */
static void rewrite_entry_if_lost(struct watches *w)
{
	struct own_entry *e = &w->own_entry;
	uint64_t now = proxyd_now(w->proxyd);
	uint32_t delay_ms;

	if (w->stopping || !own_entry_is_lost(e))
		return;
	delay_ms = own_entry_rewrite(e, peers_alive(w->proxyd->peers) + 1, now,
				     proxyd_random());
	w->next_write_ms = now + delay_ms;
	counter_add(e->read == OWN_ENTRY_MISSING ? w->missing : w->other, 1);
	event_log(EVENT_ALWAYS, "own-entry-lost", NULL,
		  "{s:s, s:I, s:I, s:i, s:I}", "read",
		  own_entry_state_text(e->read), "version",
		  (json_int_t)e->read_version, "written",
		  (json_int_t)e->written_version, "rewrites", (int)e->rewrites,
		  "delay_ms", (json_int_t)delay_ms);
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
		.born_ms = p->start_unix_ms,
	};

	w->write_busy = true;
	counter_add(w->writes, 1);
	p->store->ops->put_instance(p->store, p->settings.name, &entry, on_put,
				    w);
}

/* Handles the result of writing the own entry.  If the answer was lost, the
 * entry is written again; the write is idempotent. */
static void on_put(void *arg, enum store_outcome outcome)
{
	struct watches *w = arg;
	uint64_t version = outcome == STORE_OK ? w->proxyd->store->written : 0;

	w->write_busy = false;
	note_era(w, "store", true);
	w->next_write_ms = proxyd_now(w->proxyd) + ENTRY_RETRY_MS +
			   proxyd_random() % ENTRY_RETRY_MS;
	event_log(EVENT_ALWAYS, "own-entry", NULL, "{s:s, s:I}", "outcome",
		  store_outcome_name(outcome), "version", (json_int_t)version);
	if (outcome != STORE_OK)
		return;
	own_entry_written(&w->own_entry, version);
	rewrite_entry_if_lost(w);
}

/* Logs the result of removing the own entry.  A failure needs no retry, as the
 * others learn of the stop by datagrams. */
static void on_removed(void *arg, enum store_outcome outcome)
{
	(void)arg;
	event_log(EVENT_ALWAYS, "own-entry-removed", NULL, "{s:s}", "outcome",
		  store_outcome_name(outcome));
}
