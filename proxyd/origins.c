/*
 * Which software version began the streams that callers resume: notes of this
 * instance and records in the store (policy/stream_origin.c).  The records are
 * written in batches, one row each, and read as a whole when a caller resumes a
 * stream that is not known here.
 */
#include "proxyd/origins.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "lib/counters.h"
#include "lib/event_log.h"
#include "lib/xalloc.h"
#include "proxyd/endpoints_table.h"
#include "proxyd/exchange.h"
#include "proxyd/peers.h"
#include "proxyd/proxyd.h"
#include "proxyd/watch.h"

/* Begun within the longest life of a stream, at this instance or at those that
 * it is a keeper for. */
#define STREAMS_MAX 32768
#define ROW_STREAMS_MAX 256
#define SEGMENTS_MAX 1024 /* rows of this instance in the store */
#define LISTED_INTERVAL_MS 1000 /* between two looks at all endpoints */
#define READ_GAP_MS 150 /* between two readings */
#define RETRY_MS 1000 /* after a call to the store failed */

/* One failure may be that of a connection. */
#define FAILED_READINGS_MAX 2

/* The last request of a stream may arrive just before its deadline, and the
 * versions that other instances see may be older by this. */
#define LIFE_MARGIN_MS 5000

/* Begins with all streams that have the same version. */
struct batch {
	struct origin_entry entry;
	uint64_t streams[ROW_STREAMS_MAX];
};

/* A row of this instance in the store. */
struct segment {
	char key[STORE_STREAM_KEY_SIZE];
	uint64_t written_ms;
};

struct origins {
	struct proxyd *proxyd;
	struct stream_origin_table streams;
	struct software_history history;
	uint64_t longest_deadline_ms; /* of any stream so far */
	uint64_t life_ms; /* longest life of a stream */
	uint64_t listed_ms; /* last look at all endpoints */
	bool complete; /* the store's versions were read in this era */
	bool was_mixed;

	bool reading;
	uint64_t readings_begun;
	uint64_t readings_done; /* successful ones */
	uint64_t readings_wanted;
	uint64_t read_number; /* of the last successful reading */
	uint64_t next_reading_ms;
	uint32_t failed_readings; /* consecutive */
	uint64_t failed_ms; /* when the last of these ended */

	bool writing;
	uint64_t next_write_ms;
	uint32_t n_written; /* rows, in their keys */
	struct segment *segments;
	size_t n_segments;
	size_t n_removing; /* of the first segments, in the current call */

	struct counter *by_own;
	struct counter *by_keeper;
	struct counter *by_row;
	struct counter *by_only;
	struct counter *refused;
	struct counter *reads;
	struct counter *writes;
};

static void note_listed(struct origins *t, uint64_t now);
static uint64_t longest_timeout_ms(const struct routes *routes);
static bool serves_streams(const struct routes *routes, const char *service);
static bool store_answers(const struct origins *t, uint64_t now);
static void read_rows(struct origins *t, uint64_t now);
static void on_rows(void *arg, enum store_outcome outcome,
		    const struct store_row *rows, size_t n, uint64_t version);
static void apply_row(struct origins *t, const struct store_row *row,
		      uint64_t now);
static void keep_segment(struct origins *t, const char *key, uint64_t now);
static void write_rows(struct origins *t, uint64_t now);
static void send_rows(struct origins *t, const struct stream_row *rows,
		      size_t n, uint64_t now);
static size_t add_versions(struct origins *t, struct stream_row *rows,
			   struct software_entry *entries, size_t most);
static size_t add_streams(struct origins *t, struct stream_row *rows,
			  struct batch *batches, size_t most, uint64_t now);
static size_t add_removals(struct origins *t, struct stream_row *rows,
			   size_t most, bool mixed, uint64_t now);
static size_t add_ended_versions(struct origins *t, struct stream_row *rows,
				 size_t most, uint64_t now);
static void on_written(void *arg, enum store_outcome outcome);
static void forget_removed_versions(struct origins *t,
				    enum store_outcome outcome);
static struct software_recent recent_of_route(const struct origins *t,
					      const struct route *route,
					      uint64_t now);
static bool awaits_start(const struct endpoint *e);
static uint64_t stream_of(const struct exchange *x);
static uint64_t stream_hash(const char *id);
static void log_take_up(const struct origins *t, const struct exchange *x,
			const struct stream_take_up *question,
			const struct take_up_decision *d, const char *from,
			uint64_t age_ms);

/* Creates the table; the records are read at the first tick. */
struct origins *origins_new(struct proxyd *p)
{
	static const char name[] = "cdm_take_ups_total";
	static const char help[] = "Streams resumed by their callers, by how "
				   "their software version is known";
	struct origins *t = xcalloc(1, sizeof(*t));

	t->proxyd = p;
	t->readings_wanted = 1;
	t->life_ms = LIFE_MARGIN_MS;
	t->segments = xcalloc(SEGMENTS_MAX, sizeof(*t->segments));
	stream_origin_init(&t->streams, STREAMS_MAX);
	t->by_own = counter_labelled(name, help, COUNTER_TOTAL, "known", "own");
	t->by_keeper =
		counter_labelled(name, help, COUNTER_TOTAL, "known", "keeper");
	t->by_row =
		counter_labelled(name, help, COUNTER_TOTAL, "known", "store");
	t->by_only = counter_labelled(name, help, COUNTER_TOTAL, "known",
				      "only one");
	t->refused =
		counter_labelled(name, help, COUNTER_TOTAL, "known", "unknown");
	t->reads = counter_labelled("cdm_store_calls_total",
				    "Calls to the store", COUNTER_TOTAL,
				    "table", "streams read");
	t->writes = counter_labelled("cdm_store_calls_total",
				     "Calls to the store", COUNTER_TOTAL,
				     "table", "streams written");
	return t;
}

/* Notes the versions that are listed, and makes the calls to the store that are
 * due. */
void origins_tick(struct origins *t)
{
	uint64_t now = proxyd_now(t->proxyd);

	if (!t->proxyd->routes)
		return;
	if (!t->listed_ms || now - t->listed_ms >= LISTED_INTERVAL_MS)
		note_listed(t, now);
	if (!t->reading && t->readings_begun < t->readings_wanted &&
	    now >= t->next_reading_ms)
		read_rows(t, now);
	if (t->complete && !t->writing && now >= t->next_write_ms &&
	    watches_store_reachable(t->proxyd->watches))
		write_rows(t, now);
}

/* Notes the versions of all listed endpoints. */
static void note_listed(struct origins *t, uint64_t now)
{
	struct endpoints *endpoints = t->proxyd->endpoints;
	const struct endpoint *e;
	uint64_t longest_ms = longest_timeout_ms(t->proxyd->routes);
	uint32_t i = 0;

	t->listed_ms = now;
	if (t->longest_deadline_ms > longest_ms)
		longest_ms = t->longest_deadline_ms;
	if (longest_ms + LIFE_MARGIN_MS > t->life_ms)
		t->life_ms = longest_ms + LIFE_MARGIN_MS;
	while ((e = endpoint_next(endpoints, &i)))
		if (!e->expiry.removed)
			origins_endpoint_listed(t, e);
}

/* Returns the longest time that a route for streams allows, ms. */
static uint64_t longest_timeout_ms(const struct routes *routes)
{
	uint64_t longest = 0;
	size_t i;

	for (i = 0; i < routes->n_routes; i++)
		if (routes->routes[i].kind == KIND_STREAM &&
		    routes->routes[i].timeout_ms > longest)
			longest = routes->routes[i].timeout_ms;
	return longest;
}

/* Returns whether streams that may be resumed go to a service. */
static bool serves_streams(const struct routes *routes, const char *service)
{
	size_t i;
	size_t k;

	for (i = 0; routes && i < routes->n_routes; i++) {
		const struct route *r = &routes->routes[i];

		if (r->kind != KIND_STREAM || !r->resumable)
			continue;
		for (k = 0; k < r->n_shares; k++)
			if (!strcmp(r->shares[k].service, service))
				return true;
	}
	return false;
}

/* Notes that an endpoint is listed with its version. */
void origins_endpoint_listed(struct origins *t, const struct endpoint *e)
{
	uint64_t software = e->software ? e->software : e->unlisted_software;

	if (serves_streams(t->proxyd->routes, e->service))
		software_note(&t->history,
			      endpoints_service_hash(t->proxyd->endpoints,
						     e->service),
			      software, proxyd_now(t->proxyd));
}

/* Handles an endpoint whose version was not known until now: what stood for it
 * is no version of its own, and its streams are of the listed one. */
void origins_endpoint_named(struct origins *t, const struct endpoint *e)
{
	if (!e->software)
		return;
	origins_rename(t, e->unlisted_software, e->software);
}

/* Gives the streams of a name that stands for a version another one. */
void origins_rename(struct origins *t, uint64_t from, uint64_t to)
{
	software_forget(&t->history, from);
	stream_origin_rename(&t->streams, from, to);
	exchanges_software_named(t->proxyd->exchanges, from, to);
}

/* Notes the version of the endpoint that a stream without events is sent to;
 * that of an endpoint whose version is not known counts from here on.  While the
 * endpoint is being asked for its start, the listed version may be outdated, and
 * the stream is noted with what stands for it. */
void origins_note_sent(struct origins *t, const struct exchange *x)
{
	const struct endpoint *e =
		endpoint_get(t->proxyd->endpoints, x->endpoint);
	bool awaited = awaits_start(e);
	uint64_t now = proxyd_now(t->proxyd);
	uint64_t stream;

	if (x->route->kind != KIND_STREAM || !x->route->resumable ||
	    !x->fields.id[0] || x->software != SOFTWARE_UNKNOWN)
		return;
	if (x->fields.deadline_ms > t->longest_deadline_ms)
		t->longest_deadline_ms = x->fields.deadline_ms;
	stream = stream_hash(x->fields.id);
	stream_origin_note(&t->streams, stream,
			   awaited ? e->unlisted_software : x->sent_software,
			   now);
	if (awaited)
		stream_origin_await_name(&t->streams, stream);
	software_note(&t->history,
		      endpoints_service_hash(t->proxyd->endpoints, x->service),
		      x->sent_software, now);
}

/* Handles the first event of a stream here: its version is final, and the
 * keepers of its record are told, also of one that was begun elsewhere, as its
 * first keepers may have ended since. */
void origins_note_begun(struct origins *t, struct exchange *x)
{
	uint64_t stream = stream_of(x);
	uint64_t software = x->software; /* if it was begun elsewhere */
	const struct endpoint *e =
		endpoint_get(t->proxyd->endpoints, x->endpoint);

	if (!stream || x->origin_told)
		return;
	if (software == SOFTWARE_UNKNOWN)
		software = x->sent_software;
	/* the keepers are told once the version has a name, or gets none */
	x->origin_told = !e || !e->start_wanted ||
			 software != e->unlisted_software;
	stream_origin_begin(&t->streams, stream, software,
			    proxyd_now(t->proxyd));
	if (x->origin_told)
		peers_announce_origin(t->proxyd->peers, stream, software);
	else if (awaits_start(e))
		stream_origin_await_name(&t->streams, stream);
}

/* Returns whether an endpoint is being asked whether it still runs since the
 * start that its entry names. */
static bool awaits_start(const struct endpoint *e)
{
	return e && e->software && e->start_wanted && !e->software_doubted;
}

/* Tells an instance that has started, or was silent, of the streams that go on
 * here and whose keeper it is. */
void origins_tell(struct origins *t, const struct peer *peer)
{
	const struct exchange *x;

	TAILQ_FOREACH(x, &t->proxyd->exchanges->list, link)
	if (x->origin_told)
		peers_send_origin(t->proxyd->peers, peer, stream_of(x),
				  x->software);
}

/* Handles the note of another instance on a stream that has begun. */
void origins_receive(struct origins *t, uint64_t stream, uint64_t software)
{
	if (stream && software != SOFTWARE_UNKNOWN)
		stream_origin_keep(&t->streams, stream, software,
				   proxyd_now(t->proxyd));
}

/* Returns the version that began a stream, SOFTWARE_UNKNOWN if it is not known
 * for sure. */
uint64_t origins_begun_software(const struct origins *t, uint64_t stream)
{
	const struct stream_origin *o = stream_origin_find(&t->streams, stream);

	return o && o->begun ? o->software : SOFTWARE_UNKNOWN;
}

/* Returns the hash that names a stream over all its requests, 0 if its caller
 * can't resume it. */
static uint64_t stream_of(const struct exchange *x)
{
	const char *id = x->fields.resumes ? x->fields.first_id : x->fields.id;

	if (x->route->kind != KIND_STREAM || !x->route->resumable || !id[0])
		return 0;
	return stream_hash(id);
}

/* Returns after how long the records of all instances that run are in the store,
 * ms. */
uint32_t origins_write_interval_ms(const struct origins *t)
{
	return stream_origin_interval_ms(peers_listed(t->proxyd->peers) + 1);
}

/* Handles the arrival of a stream that its caller resumes. */
void origins_arrived(struct origins *t, struct exchange *x)
{
	x->readings_before = t->readings_done + t->reading;
}

/* Finds the version that began a stream which its caller resumes, and binds the
 * stream to it. */
enum take_up_action origins_find(struct origins *t, struct exchange *x)
{
	uint64_t now = proxyd_now(t->proxyd);
	uint64_t stream =
		x->fields.first_id[0] ? stream_hash(x->fields.first_id) : 0;
	const struct stream_origin *o = stream_origin_find(&t->streams, stream);
	uint32_t readings =
		t->readings_done > x->readings_before
			? (uint32_t)(t->readings_done - x->readings_before)
			: 0;
	const struct stream_take_up question = {
		.recorded = o ? o->software : SOFTWARE_UNKNOWN,
		.begun = o && o->begun,
		.keepers = stream ? peers_alive(t->proxyd->peers) : 0,
		.asked_ms_ago = x->origin_asked_ms ? now - x->origin_asked_ms
						   : 0,
		.recent = recent_of_route(t, x->route, now),
		.history_complete = readings > 0,
		.store_answers = store_answers(t, now),
		.readings = readings,
		.waited_ms = now - x->received_ms,
	};
	struct take_up_decision d = stream_take_up_decide(&question);
	const char *from = "unknown";
	struct counter *counter = t->refused;

	if (d.action == TAKE_UP_ASK) {
		if (!x->origin_asked_ms) {
			x->origin_asked_ms = now;
			peers_ask_origin(t->proxyd->peers, stream);
		}
		return d.action;
	}
	if (d.action == TAKE_UP_WAIT) {
		if (!t->reading)
			t->readings_wanted = t->readings_begun + 1;
		return d.action;
	}
	if (question.recorded != SOFTWARE_UNKNOWN) {
		from = o->own ? "own" : o->begun ? "keeper" : "store";
		counter = o->own     ? t->by_own
			  : o->begun ? t->by_keeper
				     : t->by_row;
	} else if (d.action == TAKE_UP_BOUND) {
		from = "only one";
		counter = t->by_only;
	}
	counter_add(counter, 1);
	x->software = d.software;
	log_take_up(t, x, &question, &d, from, o ? now - o->noted_ms : 0);
	return d.action;
}

/* Returns the versions of all services of a route that may have begun a stream
 * which is not over. */
static struct software_recent recent_of_route(const struct origins *t,
					      const struct route *route,
					      uint64_t now)
{
	struct software_recent sum = { .only = SOFTWARE_UNKNOWN };
	size_t i;

	for (i = 0; i < route->n_shares; i++) {
		struct software_recent r = software_recent(
			&t->history,
			endpoints_service_hash(t->proxyd->endpoints,
					       route->shares[i].service),
			t->life_ms, now);

		sum.n += r.n;
		sum.only = sum.n == 1 && r.n ? r.only : sum.only;
	}
	if (sum.n != 1)
		sum.only = SOFTWARE_UNKNOWN;
	return sum;
}

/* Logs how the version of a stream is known. */
static void log_take_up(const struct origins *t, const struct exchange *x,
			const struct stream_take_up *question,
			const struct take_up_decision *d, const char *from,
			uint64_t age_ms)
{
	event_log(EVENT_NOTABLE, "take-up", x->fields.id,
		  "{s:s, s:I, s:s, s:s, s:I, s:i, s:b, s:I, s:I}", "first_id",
		  x->fields.first_id, "after",
		  (json_int_t)x->fields.resume_after, "known", from, "software",
		  d->action == TAKE_UP_BOUND
			  ? endpoints_software_text(t->proxyd->endpoints,
						    d->software)
			  : "",
		  "noted_ms_ago", (json_int_t)age_ms, "versions",
		  (int)question->recent.n, "versions_complete",
		  question->history_complete, "waited_ms",
		  (json_int_t)question->waited_ms, "readings",
		  (json_int_t)question->readings);
}

/* Returns whether the store knows that a version serves. */
bool origins_software_stored(const struct origins *t, uint64_t software)
{
	return software_stored(&t->history, software);
}

/* Handles a store that returned from a copy: what was written since is read and
 * written again. */
void origins_era_began(struct origins *t)
{
	size_t i;

	t->complete = false;
	t->n_segments = 0;
	t->n_removing = 0;
	t->readings_wanted = t->readings_begun + 1;
	stream_origin_lost(&t->streams);
	for (i = 0; i < t->history.n; i++) {
		struct software_version *v = &t->history.version[i];

		v->stored = STORED_NOT;
		v->row_version = 0;
		v->end_reading = 0;
	}
}

/* Returns the versions that serve or served. */
const struct software_history *origins_history(const struct origins *t)
{
	return &t->history;
}

/* Returns whether these are all that may have begun a stream. */
bool origins_complete(const struct origins *t)
{
	return t->complete;
}

/* Adopts a version that another instance knows of. */
void origins_adopt_version(struct origins *t, uint64_t service,
			   uint64_t software, uint32_t listed_ms_ago)
{
	uint64_t now = proxyd_now(t->proxyd);

	if (software != SOFTWARE_UNKNOWN && listed_ms_ago < now)
		software_note(&t->history, service, software,
			      now - listed_ms_ago);
}

/* Records that another instance has told all versions that it knows, and that
 * it knows all. */
void origins_adopt_complete(struct origins *t)
{
	t->complete = true;
}

/* Returns whether reading the store's records is of use now. */
static bool store_answers(const struct origins *t, uint64_t now)
{
	return !watches_store_lost(t->proxyd->watches) &&
	       (t->failed_readings < FAILED_READINGS_MAX ||
		now - t->failed_ms >= RETRY_MS);
}

/* Reads all records. */
static void read_rows(struct origins *t, uint64_t now)
{
	struct store *s = t->proxyd->store;

	t->reading = true;
	t->readings_begun++;
	t->next_reading_ms = now + READ_GAP_MS;
	counter_add(t->reads, 1);
	s->ops->list(s, STORE_STREAMS, on_rows, t);
}

/* Handles the records, or the failure to read them. */
static void on_rows(void *arg, enum store_outcome outcome,
		    const struct store_row *rows, size_t n, uint64_t version)
{
	struct origins *t = arg;
	uint64_t now = proxyd_now(t->proxyd);
	size_t i;

	(void)version;
	t->reading = false;
	if (outcome != STORE_OK) {
		event_log(EVENT_NOTABLE, "origins-not-read", NULL, "{s:s}",
			  "outcome", store_outcome_name(outcome));
		t->failed_ms = now;
		if (++t->failed_readings >= FAILED_READINGS_MAX)
			t->next_reading_ms = now + RETRY_MS;
		t->readings_wanted = t->readings_begun + 1;
		return;
	}
	for (i = 0; i < t->history.n; i++)
		t->history.version[i].row_version = 0;
	for (i = 0; i < n; i++)
		apply_row(t, &rows[i], now);
	t->failed_readings = 0;
	t->readings_done++;
	t->read_number = t->readings_begun;
	t->complete = true;
}

/* Applies a record of the store.  A version that was recorded in an older era
 * is recorded again. */
static void apply_row(struct origins *t, const struct store_row *row,
		      uint64_t now)
{
	size_t i;

	if (row->problem[0]) {
		event_log(EVENT_NOTABLE, "entry-unreadable", NULL, "{s:s, s:s}",
			  "origins", row->key, "problem", row->problem);
		return;
	}
	if (row->software) {
		software_read(&t->history, row->software->service,
			      row->software->software,
			      row->software->era ==
				      watches_era(t->proxyd->watches),
			      row->version, now);
		return;
	}
	if (!row->origins)
		return;
	for (i = 0; i < row->origins->n; i++)
		stream_origin_read(&t->streams, row->origins->streams[i],
				   row->origins->software, now);
	keep_segment(t, row->key, now);
}

/* Notes a row that an earlier process of this instance wrote, to remove it. */
static void keep_segment(struct origins *t, const char *key, uint64_t now)
{
	char own[STORE_STREAM_KEY_SIZE];
	size_t i;

	snprintf(own, sizeof(own), STORE_ORIGINS_PREFIX "%s/",
		 t->proxyd->settings.name);
	if (strncmp(key, own, strlen(own)) != 0 ||
	    t->n_segments == SEGMENTS_MAX)
		return;
	for (i = 0; i < t->n_segments; i++)
		if (!strcmp(t->segments[i].key, key))
			return;
	snprintf(t->segments[t->n_segments].key, STORE_STREAM_KEY_SIZE, "%s",
		 key);
	t->segments[t->n_segments++].written_ms = now;
}

/* Writes the versions and streams that the store does not have, and removes the
 * rows that no stream needs any more.  Streams are written while versions are
 * mixed. */
static void write_rows(struct origins *t, uint64_t now)
{
	struct stream_row rows[STORE_STREAM_ROWS_MAX];
	struct software_entry versions[STORE_STREAM_ROWS_MAX / 4];
	struct batch *batches = NULL;
	bool mixed = software_mixed(&t->history, t->life_ms, now);
	size_t n;

	if (mixed != t->was_mixed)
		event_log(EVENT_ALWAYS, "software-versions", NULL,
			  "{s:b, s:i, s:I}", "mixed", mixed, "known",
			  (int)t->history.n, "life_ms", (json_int_t)t->life_ms);
	t->was_mixed = mixed;
	/* one in a call of its own, as a row that has changed fails all of it */
	n = add_ended_versions(t, rows, 1, now);
	if (n) {
		send_rows(t, rows, n, now);
		return;
	}
	n = add_versions(t, rows, versions, STORE_STREAM_ROWS_MAX / 4);
	if (mixed) {
		batches = xcalloc(STORE_STREAM_ROWS_MAX / 4, sizeof(*batches));
		n += add_streams(t, rows + n, batches,
				 STORE_STREAM_ROWS_MAX / 4, now);
	}
	n += add_removals(t, rows + n, STORE_STREAM_ROWS_MAX - n, mixed, now);
	if (n)
		send_rows(t, rows, n, now);
	free(batches);
}

/* Sends rows to be written and removed. */
static void send_rows(struct origins *t, const struct stream_row *rows,
		      size_t n, uint64_t now)
{
	struct store *s = t->proxyd->store;

	t->writing = true;
	t->next_write_ms = now + origins_write_interval_ms(t);
	counter_add(t->writes, 1);
	s->ops->put_streams(s, rows, n, on_written, t);
}

/* Adds the rows of versions that the store does not have; returns their
 * number. */
static size_t add_versions(struct origins *t, struct stream_row *rows,
			   struct software_entry *entries, size_t most)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < t->history.n && n < most; i++) {
		struct software_version *v = &t->history.version[i];

		if (v->stored != STORED_NOT)
			continue;
		v->stored = STORED_IN_CALL;
		entries[n] = (struct software_entry){
			.service = v->service,
			.software = v->software,
			.era = watches_era(t->proxyd->watches),
		};
		rows[n] = (struct stream_row){ .software = &entries[n] };
		snprintf(rows[n].key, sizeof(rows[n].key),
			 STORE_SOFTWARE_PREFIX "%016llx",
			 (unsigned long long)v->software);
		n++;
	}
	return n;
}

/* Adds rows of streams that the store does not have, each with streams of one
 * version; returns their number. */
static size_t add_streams(struct origins *t, struct stream_row *rows,
			  struct batch *batches, size_t most, uint64_t now)
{
	uint64_t since = now > t->life_ms ? now - t->life_ms : 0;
	struct stream_origin *o;
	size_t position = 0;
	size_t n = 0;
	size_t i;

	while ((o = stream_origin_next_unstored(&t->streams, since,
						&position))) {
		for (i = 0; i < n; i++)
			if (batches[i].entry.software == o->software &&
			    batches[i].entry.n < ROW_STREAMS_MAX)
				break;
		if (i == n && (n == most || t->n_segments == SEGMENTS_MAX))
			break;
		if (i == n) {
			struct segment *s = &t->segments[t->n_segments++];

			snprintf(s->key, sizeof(s->key),
				 STORE_ORIGINS_PREFIX "%s/%llx-%u",
				 t->proxyd->settings.name,
				 (unsigned long long)t->proxyd->start_unix_ms,
				 t->n_written++);
			s->written_ms = now;
			batches[n].entry.software = o->software;
			batches[n].entry.streams = batches[n].streams;
			rows[n] = (struct stream_row){
				.origins = &batches[n].entry,
			};
			memcpy(rows[n].key, s->key, sizeof(s->key));
			n++;
		}
		batches[i].streams[batches[i].entry.n++] = o->stream;
		o->stored = STORED_IN_CALL;
	}
	return n;
}

/* Adds the removal of own rows whose streams are over; returns their number. */
static size_t add_removals(struct origins *t, struct stream_row *rows,
			   size_t most, bool mixed, uint64_t now)
{
	size_t n = 0;
	size_t i;

	t->n_removing = 0;
	for (i = 0; i < t->n_segments && n < most; i++) {
		if (mixed && now - t->segments[i].written_ms <= t->life_ms)
			break; /* the later ones are younger */
		rows[n] = (struct stream_row){ 0 };
		memcpy(rows[n].key, t->segments[i].key, sizeof(rows[n].key));
		n++;
		t->n_removing++;
	}
	return n;
}

/* Forgets the versions that began no stream which is not over, and adds the
 * removal of their rows, by one instance, which forgets them once it is done;
 * returns how many were added, at most most.  A removal may be done seconds later,
 * when the version serves again and its row was written anew, so that it names the
 * version of the row by a reading made for it. */
static size_t add_ended_versions(struct origins *t, struct stream_row *rows,
				 size_t most, uint64_t now)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < t->history.n && n < most; i++) {
		struct software_version *v = &t->history.version[i];

		if (!software_over(v, t->life_ms, now))
			continue;
		if (peers_is_first_keeper(t->proxyd->peers, v->software)) {
			if (!v->end_reading) {
				v->end_reading = t->readings_begun + 1;
				t->readings_wanted = v->end_reading;
			}
			if (t->read_number < v->end_reading)
				continue;
			if (v->row_version) {
				rows[n] = (struct stream_row){
					.version = v->row_version,
				};
				snprintf(rows[n].key, sizeof(rows[n].key),
					 STORE_SOFTWARE_PREFIX "%016llx",
					 (unsigned long long)v->software);
				n++;
				v->removing = true;
				continue;
			}
		}
		software_forget(&t->history, v->software);
		i--;
	}
	return n;
}

/* Handles the end of a write.  What the store may not have is written again;
 * removals that failed are made again. */
static void on_written(void *arg, enum store_outcome outcome)
{
	struct origins *t = arg;
	/* a row that has changed is of a version that serves again */
	bool success = outcome == STORE_OK || outcome == STORE_CHANGED;
	size_t i;

	t->writing = false;
	stream_origin_written(&t->streams, success);
	for (i = 0; i < t->history.n; i++)
		if (t->history.version[i].stored == STORED_IN_CALL)
			t->history.version[i].stored = success ? STORED
							       : STORED_NOT;
	forget_removed_versions(t, outcome);
	if (outcome == STORE_OK) {
		watches_change_known(t->proxyd->watches,
				     t->proxyd->store->written);
		peers_announce_write(t->proxyd->peers,
				     t->proxyd->store->written);
	}
	if (success) {
		t->n_segments -= t->n_removing;
		memmove(t->segments, t->segments + t->n_removing,
			t->n_segments * sizeof(*t->segments));
	}
	if (outcome != STORE_OK)
		event_log(EVENT_NOTABLE, "origins-not-written", NULL, "{s:s}",
			  "outcome", store_outcome_name(outcome));
	if (!success)
		t->next_write_ms = proxyd_now(t->proxyd) + RETRY_MS;
	t->n_removing = 0;
}

/* Forgets a version whose row was removed, unless it serves again.  A row that has
 * changed is read before it is removed.  A removal without an answer may still be
 * done: the row is written anew, so that it has another version then. */
static void forget_removed_versions(struct origins *t,
				    enum store_outcome outcome)
{
	uint64_t now = proxyd_now(t->proxyd);
	size_t i;

	for (i = 0; i < t->history.n; i++) {
		struct software_version *v = &t->history.version[i];

		if (!v->removing)
			continue;
		v->removing = false;
		v->end_reading = 0;
		if (outcome == STORE_OK && software_over(v, t->life_ms, now))
			software_forget(&t->history, v->software);
		else if (outcome != STORE_CHANGED)
			v->stored = STORED_NOT;
		return;
	}
}

/* Returns the hash of the id of a stream's first request, not 0. */
static uint64_t stream_hash(const char *id)
{
	uint64_t hash = XXH3_64bits(id, strlen(id));

	return hash ? hash : 1;
}
