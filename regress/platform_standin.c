/*
 * Stand-ins for the parts of the users' platform that cdmproxyd talks to: the
 * store with its change feed, plain workers and engine workers.
 */
#include "regress/platform_standin.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include <openssl/evp.h>

#include "lib/bytes.h"
#include "lib/xalloc.h"

#define BODY_BYTES 10000 /* of a request, in the configuration */
#define HEAD_BYTES 4096 /* of a head, in the configuration */
#define SIGNATURE "response-signature: m.1\r\n"
#define FEEDS_TICK_MS 20 /* between looks at feeds that wait */
#define EXTRA_HEADERS_BYTES 160
#define HEADERS_BYTES (EXTRA_HEADERS_BYTES + 352)

/* A stream in progress. */
struct standin_stream {
	struct standin_stream *next;
	struct http1_conn *conn;
	struct standin_worker *worker;
	struct standin_arrival *arrival;
	const char *version; /* of the worker's software at its begin */
	unsigned int run; /* number in the order of starts */
	char request_id[40];
	bool unframed; /* it ends with its connection */
	uv_timer_t timer;
	int next_event;
	uint64_t written_ms; /* time of the last event written; 0: none */
	/* of a plain answer that waits for the end of its worker's silence */
	char headers[HEADERS_BYTES];
	char report[96]; /* "" or a deferred one */
};

static struct http1_server *listen_store(struct standin_world *w,
					 const struct http1_server_ops *ops,
					 const char *address);
static void on_store(struct http1_conn *c, struct http1_request *r, void *arg);
static void on_view(struct http1_conn *c, struct http1_request *r, void *arg);
static void serve_store(struct standin_world *w, struct http1_conn *c,
			const struct http1_request *r, bool view);
static void on_store_closed(void *owner);
static void serve_get(struct standin_world *w, struct http1_conn *c,
		      const char *target, bool view);
static void serve_feed(struct standin_world *w, struct http1_conn *c,
		       const char *target, bool view);
static void serve_tx(struct standin_world *w, struct http1_conn *c,
		     const struct http1_request *r);
static bool answer_feed(struct standin_world *w, struct http1_conn *c,
			const char *table, json_int_t after, bool view);
static void answer_pending_feeds(struct standin_world *w);
static void set_row(struct standin_world *w, const char *table,
		    const char *part, const char *key, const char *value64);
static char *row_value(const struct standin_world *w, const char *table,
		       const char *key);
static bool is_held(const struct standin_world *w, const json_t *tx);
static bool names_key(const json_t *entries, const char *prefix);
static bool condition_holds(const struct standin_world *w, const json_t *tx);
static json_int_t version_of(const struct standin_world *w,
			     const json_t *entry);
static void apply_tx(struct standin_world *w, const json_t *tx);
static void apply_entry(struct standin_world *w, const json_t *entry);
static bool is_row(const json_t *row, const char *table, const char *part,
		   const char *key);
static void on_feeds_timer(uv_timer_t *timer);
static void reply_rows(struct standin_world *w, struct http1_conn *c,
		       json_t *rows, bool view);
static json_t *row_of_view(const struct standin_world *w, const json_t *row);
static void set_address(json_t *row, const char *address);
static char *decode_value(const char *value64);
static char *encode_value(const char *text);
static void reply_store(struct standin_world *w, struct http1_conn *c,
			int status, const char *text);
static char *parameter(const char *target, const char *name);
static void reply_text(struct http1_conn *c, const char *headers,
		       const char *text);
static void on_worker(struct http1_conn *c, struct http1_request *r, void *arg);
static void reply_report(struct standin_worker *worker, struct http1_conn *c,
			 struct standin_arrival *a, const char *headers);
static struct standin_stream *answer_begin(struct standin_worker *worker,
					   struct http1_conn *c,
					   struct standin_arrival *a);
static const char *extra_headers_of(const struct standin_worker *worker);
static void on_stream_closed(void *owner);
static void begin_crash(struct standin_worker *worker, struct http1_conn *c,
			struct standin_arrival *a, const char *id);
static void on_crash(uv_timer_t *timer);
static struct standin_arrival *record_arrival(struct standin_worker *worker,
					      const struct http1_request *r);
static void serve_plain(struct standin_worker *worker, struct http1_conn *c,
			struct standin_arrival *a, const char *id);
static void reply_plain(const struct standin_worker *worker,
			struct http1_conn *c, const char *headers,
			const char *text);
static void serve_stream(struct standin_worker *worker, struct http1_conn *c,
			 struct standin_arrival *a, const char *id);
static void answer_later(struct standin_worker *worker, struct http1_conn *c,
			 struct standin_arrival *a, const char *id);
static void on_silence_over(uv_timer_t *timer);
static size_t n_in_progress(const struct standin_worker *worker);
static void update_longest_gap(struct standin_stream *s);
static void on_event(uv_timer_t *timer);
static void stream_free(struct standin_stream *s);
static char *header_value(const struct http1_request *r, const char *name);

static const struct http1_server_ops store_ops = {
	.on_request = on_store,
	.on_gone = on_store_closed,
};

static const struct http1_server_ops view_ops = {
	.on_request = on_view,
	.on_gone = on_store_closed,
};

static const struct http1_server_ops worker_ops = {
	.on_request = on_worker,
	.on_gone = on_stream_closed,
};

/* Creates a platform with a running store without rows, and no workers. */
struct standin_world *standin_new(struct harness *h)
{
	struct standin_world *w = xcalloc(1, sizeof(*w));

	w->harness = h;
	w->event_ms = STANDIN_EVENT_MS;
	w->key = "k1";
	w->rows = json_array();
	w->held = json_array();
	w->version = 1;
	w->era = 1;
	w->store_address = harness_address(h);
	w->store_public_address = w->store_address;
	uv_timer_init(harness_loop(h), &w->feeds_timer);
	w->feeds_timer.data = w;
	uv_timer_start(&w->feeds_timer, on_feeds_timer, FEEDS_TICK_MS,
		       FEEDS_TICK_MS);
	standin_start_store(w);
	return w;
}

/* Starts the store; rows of an earlier run are kept. */
void standin_start_store(struct standin_world *w)
{
	w->store = listen_store(w, &store_ops, w->store_address);
	if (w->view_address)
		w->view = listen_store(w, &view_ops, w->view_address);
}

/* Opens the view, a second address of the store at which the entries of workers
 * bear their view_address. */
void standin_open_view(struct standin_world *w)
{
	w->view_address = harness_address(w->harness);
	w->view = listen_store(w, &view_ops, w->view_address);
}

/* Starts to serve the rows at an address. */
static struct http1_server *listen_store(struct standin_world *w,
					 const struct http1_server_ops *ops,
					 const char *address)
{
	struct http1_server *server =
		http1_server_new(harness_loop(w->harness), ops, w);
	char err[256];

	if (http1_server_listen(server, address, err, sizeof(err)))
		fail_msg("%s", err);
	return server;
}

/* Stops the store and all workers and frees the platform.  The processes that
 * use it must have exited. */
void standin_free(struct standin_world *w)
{
	size_t i;

	standin_stop_store(w);
	uv_close((uv_handle_t *)&w->feeds_timer, NULL);
	for (i = 0; i < w->n_workers; i++) {
		standin_kill_worker(&w->workers[i]);
		if (w->workers[i].crash_timer_initialised)
			uv_close((uv_handle_t *)&w->workers[i].crash_timer,
				 NULL);
	}
	harness_run(w->harness, 20);
	for (i = 0; i < w->n_arrivals; i++) {
		free(w->arrivals[i]->head);
		free(w->arrivals[i]->target);
		free(w->arrivals[i]->body);
		free(w->arrivals[i]);
	}
	free(w->arrivals);
	json_decref(w->rows);
	json_decref(w->copy_rows);
	json_decref(w->held);
	free(w);
}

/* Writes a row with the value in base64 and answers the feeds that wait for
 * it. */
void standin_put(struct standin_world *w, const char *table, const char *key,
		 const char *value)
{
	char *value64 = encode_value(value);

	set_row(w, table, "", key, value64);
	free(value64);
	answer_pending_feeds(w);
}

/* Marks a row as deleted and answers the feeds that wait for it. */
void standin_remove(struct standin_world *w, const char *table, const char *key)
{
	set_row(w, table, "", key, NULL);
	answer_pending_feeds(w);
}

/* Returns whether a row exists and is not deleted. */
bool standin_row_exists(const struct standin_world *w, const char *table,
			const char *key)
{
	json_t *row;
	size_t i;

	json_array_foreach(w->rows, i, row)
	{
		if (is_row(row, table, "", key))
			return !json_is_true(json_object_get(row, "deleted"));
	}
	return false;
}

/* Returns the version of the newest row of a table, in any part, whose key begins
 * with a prefix; 0 if there is none. */
json_int_t standin_newest_row(const struct standin_world *w, const char *table,
			      const char *prefix)
{
	json_int_t newest = 0;
	json_t *row;
	size_t i;

	json_array_foreach(w->rows, i, row)
	{
		if (strcmp(json_string_value(json_object_get(row, "table")),
			   table) != 0 ||
		    strncmp(json_string_value(json_object_get(row, "key")),
			    prefix, strlen(prefix)) != 0 ||
		    json_is_true(json_object_get(row, "deleted")))
			continue;
		newest = json_integer_value(json_object_get(row, "ver"));
	}
	return newest; /* as rows are ordered by version */
}

/* Returns the value of a row, decoded, NULL if there is none; the caller frees
 * it. */
static char *row_value(const struct standin_world *w, const char *table,
		       const char *key)
{
	json_t *row;
	size_t i;

	json_array_foreach(w->rows, i, row)
	{
		const char *value =
			json_string_value(json_object_get(row, "value"));

		if (value && is_row(row, table, "", key))
			return decode_value(value);
	}
	return NULL;
}

/* Returns whether a row exists, is not deleted, and its value contains a text of
 * printable characters. */
bool standin_row_contains(const struct standin_world *w, const char *table,
			  const char *key, const char *text)
{
	char *value = row_value(w, table, key);
	bool contains = value && strstr(value, text);

	free(value);
	return contains;
}

/* Returns the number of rows of a table, in all parts, whose keys begin with a
 * prefix. */
size_t standin_count_rows(const struct standin_world *w, const char *table,
			  const char *prefix)
{
	json_t *row;
	size_t n = 0;
	size_t i;

	json_array_foreach(w->rows, i, row)
	{
		const char *key =
			json_string_value(json_object_get(row, "key"));

		n += !strcmp(json_string_value(json_object_get(row, "table")),
			     table) &&
		     !strncmp(key, prefix, strlen(prefix)) &&
		     !json_is_true(json_object_get(row, "deleted"));
	}
	return n;
}

/* Writes a configuration with the routes that tests use: /book/ may run once,
 * /look/ may be repeated, /look/open/ needs no key, /write/ streams.
 * extra_routes are further routes as JSON, or NULL. */
void standin_put_configuration(struct standin_world *w, int version,
			       const char *extra_routes)
{
	char *text = xasprintf(
		"{\"version\":%d,\"routes\":["
		"{\"name\":\"book\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":"
		"\"/book/\",\"routeType\":\"non_idempotent\",\"timeoutMs\":900,"
		"\"targetLatencyMs\":100,\"backend\":\"plain\",\"maxAttempts\":1},"
		"{\"name\":\"look\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":"
		"\"/look/\",\"routeType\":\"idempotent\",\"timeoutMs\":900,"
		"\"targetLatencyMs\":400,\"backend\":\"plain\",\"maxAttempts\":2},"
		"{\"name\":\"open\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":"
		"\"/look/open/\",\"routeType\":\"idempotent\",\"timeoutMs\":900,"
		"\"targetLatencyMs\":400,\"trafficSplit\":[{\"backend\":"
		"\"plain\",\"weight\":1}],\"maxAttempts\":2,\"public\":true},"
		"{\"name\":\"write\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":"
		"\"/write/\",\"routeType\":\"streaming\",\"timeoutMs\":20000,"
		"\"targetLatencyMs\":4500,\"targetGapMs\":700,\"backend\":"
		"\"engine\",\"maxAttempts\":5,\"resumable\":true}%s%s],"
		"\"services\":[{\"name\":\"plain\",\"healthPath\":\"/healthz\"},"
		"{\"name\":\"engine\",\"healthPath\":\"/healthz\",\"engine\":{"
		"\"slots\":16,\"kvCapacity\":55000,\"backups\":true,"
		"\"moves\":true}}],"
		"\"limits\":{\"maxHeaderBytes\":%u,\"maxBodyBytes\":%u,"
		"\"headerTimeoutMs\":2000,\"idleTimeoutMs\":15000},"
		"\"tenants\":[{\"name\":\"ajoke\",\"apiKeys\":[\"%s\"]}]}",
		version, extra_routes ? "," : "",
		extra_routes ? extra_routes : "",
		w->header_bytes ? w->header_bytes : HEAD_BYTES,
		w->body_bytes ? w->body_bytes : BODY_BYTES, w->key);

	standin_put(w, "op", "config", text);
	free(text);
}

/* Adds a worker, starts it and writes its entry as ready. */
struct standin_worker *standin_add_worker(struct standin_world *w,
					  const char *service, const char *zone)
{
	return standin_add_worker_of(w, service, zone, "v1");
}

/* Adds a worker with a version of its software. */
struct standin_worker *standin_add_worker_of(struct standin_world *w,
					     const char *service,
					     const char *zone,
					     const char *version)
{
	struct standin_worker *worker = &w->workers[w->n_workers];

	assert_true(w->n_workers < STANDIN_WORKERS_MAX);
	worker->world = w;
	snprintf(worker->id, sizeof(worker->id), "i-%zu", w->n_workers++);
	worker->service = service;
	worker->zone = zone;
	worker->address = harness_address(w->harness);
	worker->public_address = worker->address;
	worker->version = version;
	worker->born_ms = 1000;
	standin_start_worker(worker, worker->id);
	return worker;
}

/* Starts a worker that is down under an id, which may be its old one, and
 * writes its entry as ready. */
void standin_start_worker(struct standin_worker *worker, const char *id)
{
	standin_start_unlisted(worker, id);
	standin_put_worker_entry(worker, "ready");
}

/* Ends a worker and starts it under its id with another version of its software,
 * and later by its entry, which the caller writes. */
void standin_restart_worker(struct standin_worker *worker, const char *version)
{
	standin_kill_worker(worker);
	worker->version = version;
	worker->born_ms += 1000;
	standin_start_unlisted(worker, worker->id);
}

/* Starts a worker that is down under an id.  Its entry, if there is one, stays
 * as it was. */
void standin_start_unlisted(struct standin_worker *worker, const char *id)
{
	char copy[sizeof(worker->id)];
	char err[256];

	snprintf(copy, sizeof(copy), "%s", id);
	memcpy(worker->id, copy, sizeof(copy));
	worker->server = http1_server_new(harness_loop(worker->world->harness),
					  &worker_ops, worker);
	if (http1_server_listen(worker->server, worker->address, err,
				sizeof(err)))
		fail_msg("%s", err);
}

/* Starts a worker that was killed under a new id and removes its old entry.
 * Does nothing if the worker is running. */
void standin_replace_worker(struct standin_worker *worker)
{
	static unsigned int start;
	char id[24];

	if (worker->server)
		return;
	snprintf(id, sizeof(id), "i-again-%u", ++start);
	standin_remove(worker->world, "servers", worker->id);
	standin_start_worker(worker, id);
}

/* Writes a worker's entry with a state. */
void standin_put_worker_entry(struct standin_worker *worker, const char *state)
{
	char *text =
		xasprintf("{\"backend\":\"%s\",\"address\":\"%s\","
			  "\"zone\":\"%s\",\"version\":\"%s\",\"slots\":%u,"
			  "\"state\":\"%s\",\"born\":%u}",
			  worker->service, worker->public_address, worker->zone,
			  worker->version, worker->slots ? worker->slots : 16,
			  state, worker->born_ms);

	standin_put(worker->world, "servers", worker->id, text);
	free(text);
}

/* Stops a worker at once: closes its listener and its connections.  Its entry
 * remains. */
void standin_kill_worker(struct standin_worker *worker)
{
	struct standin_stream *s = worker->world->streams;

	if (!worker->server)
		return;
	while (s) {
		struct standin_stream *next = s->next;

		if (s->worker == worker && s->conn) {
			http1_set_owner(s->conn, NULL);
			stream_free(s);
		}
		s = next;
	}
	http1_server_free(worker->server);
	worker->server = NULL;
}

/* Ends a worker as a kernel ends a process that is killed: closes its listener
 * and its connections in order, also those of streams without a length, which
 * standin_kill_worker() resets.  Its entry remains. */
void standin_kill_in_order(struct standin_worker *worker)
{
	struct standin_stream *s;

	for (s = worker->world->streams; s; s = s->next)
		if (s->worker == worker && s->conn && s->unframed)
			http1_stream_end(s->conn);
	standin_kill_worker(worker);
}

/* Stops the store: connections to it are refused. */
void standin_stop_store(struct standin_world *w)
{
	size_t i;

	if (!w->store)
		return;
	for (i = 0; i < STANDIN_PENDING_FEEDS_MAX; i++) {
		if (w->pending_feeds[i])
			http1_set_owner(w->pending_feeds[i], NULL);
		w->pending_feeds[i] = NULL;
	}
	http1_server_free(w->store);
	w->store = NULL;
	if (w->view)
		http1_server_free(w->view);
	w->view = NULL;
}

/* Copies the rows and the version of the store. */
void standin_copy_store(struct standin_world *w)
{
	json_decref(w->copy_rows);
	w->copy_rows = json_deep_copy(w->rows);
	w->copy_version = w->version;
}

/* Replaces the store by its copy: closes its connections, forgets what was
 * written since the copy and begins a new era.  Versions are given out
 * again. */
void standin_restore_store(struct standin_world *w)
{
	assert_non_null(w->copy_rows);
	standin_stop_store(w);
	json_decref(w->rows);
	w->rows = json_deep_copy(w->copy_rows);
	w->version = w->copy_version;
	w->era++;
	standin_start_store(w);
}

/* Returns the newest arrival at any worker; fails if there is none. */
const struct standin_arrival *standin_last_arrival(
	const struct standin_world *w)
{
	assert_true(w->n_arrivals > 0);
	return w->arrivals[w->n_arrivals - 1];
}

/* Returns whether the header lines of a request contain a text, in lower case;
 * a whole line is given as "\nname: value\n". */
bool standin_arrival_has_line(const struct standin_arrival *a, const char *line)
{
	return strstr(a->head, line) != NULL;
}

/* Assigns addresses to an instance and writes its settings file; seed is the
 * control address of another instance, or NULL. */
void standin_init_instance(struct standin_world *w, struct standin_instance *in,
			   const char *name, const char *seed)
{
	struct harness *h = w->harness;
	char file[64];

	*in = (struct standin_instance){
		.name = name,
		.callers = harness_address(h),
		.readiness = harness_address(h),
		.directory = harness_address(h),
		.metrics = harness_address(h),
		.control = harness_address(h),
		.peers = harness_address(h),
	};
	snprintf(file, sizeof(file), "%s.toml", name);
	in->settings = harness_file(
		h, file,
		"name = \"%s\"\nzone = \"z1\"\n"
		"callers = \"%s\"\nreadiness = \"%s\"\ndirectory = \"%s\"\n"
		"metrics = \"%s\"\ncontrol = \"%s\"\npeers = \"%s\"\n"
		"store = \"%s\"\nseeds = [\"%s\"]\ngrace_s = %u\n%s",
		name, in->callers, in->readiness, in->directory, in->metrics,
		in->control, in->peers, w->store_public_address,
		seed ? seed : in->control, w->grace_s ? w->grace_s : 2,
		w->extra_settings ? w->extra_settings : "");
}

/* Starts the process of an instance and waits until it listens. */
void standin_start_instance(struct standin_world *w,
			    struct standin_instance *in)
{
	in->proc = HARNESS_START(w->harness, in->name, "cdmproxyd", "-f",
				 in->settings);
	proc_wait_listening(in->proc, in->callers);
}

/* Writes an instance's entry; peers is the address that other instances send
 * their datagrams to.  An entry that exists keeps the start of its process, which
 * would take it for that of another one and write its own again. */
void standin_put_instance_entry(struct standin_world *w, const char *name,
				const char *callers, const char *control,
				const char *peers)
{
	char *before = row_value(w, "instances", name);
	json_t *entry = before ? json_loads(before, 0, NULL) : NULL;
	json_int_t born = json_integer_value(json_object_get(entry, "born"));
	char *text = xasprintf("{\"callers\":\"%s\",\"peers\":\"%s\","
			       "\"control\":\"%s\",\"zone\":\"z1\","
			       "\"born\":%lld}",
			       callers, peers, control, (long long)born);

	standin_put(w, "instances", name, text);
	free(text);
	json_decref(entry);
	free(before);
}

/* Repeats a GET until it is answered with a status; fails after
 * HARNESS_WAIT_MS. */
void standin_wait_status(struct standin_world *w, const char *address,
			 const char *path, int status)
{
	uint64_t tries;

	for (tries = 0; tries < HARNESS_WAIT_MS / 20; tries++) {
		struct answer a;
		bool holds;

		harness_call(w->harness, "GET", address, path, NULL, &a);
		holds = a.status == status;
		answer_release(&a);
		if (holds)
			return;
		harness_run(w->harness, 20);
	}
	fail_msg("GET %s at %s was never answered with %d", path, address,
		 status);
}

/* Forgets the calls that wait for changes of a table, NULL: of any table: they
 * are never answered, though their connections stand.  Later calls are
 * answered. */
void standin_lose_feeds(struct standin_world *w, const char *table)
{
	size_t i;

	for (i = 0; i < STANDIN_PENDING_FEEDS_MAX; i++) {
		if (!w->pending_feeds[i] ||
		    (table && strcmp(w->pending_table[i], table) != 0))
			continue;
		http1_set_owner(w->pending_feeds[i], NULL);
		w->pending_feeds[i] = NULL;
	}
}

/* Returns the number of calls that wait for changes of a table and have at least
 * least_ms left to wait. */
size_t standin_waiting_feeds(const struct standin_world *w, const char *table,
			     uint64_t least_ms)
{
	uint64_t until_ms = uv_now(harness_loop(w->harness)) + least_ms;
	size_t n = 0;
	size_t i;

	for (i = 0; i < STANDIN_PENDING_FEEDS_MAX; i++)
		n += w->pending_feeds[i] &&
		     w->pending_until_ms[i] >= until_ms &&
		     !strcmp(w->pending_table[i], table);
	return n;
}

/* Returns the number of transactions that are held. */
size_t standin_count_held(const struct standin_world *w)
{
	return json_array_size(w->held);
}

/* Does the transactions that are held and whose conditions hold; their callers
 * get no answer. */
void standin_do_held(struct standin_world *w)
{
	json_t *tx;
	size_t i;

	json_array_foreach(w->held, i, tx)
	{
		if (condition_holds(w, tx))
			apply_tx(w, tx);
	}
	json_array_clear(w->held);
	answer_pending_feeds(w);
}

/* Forgets the history: calls for changes after an older version than the present
 * one are answered 410. */
void standin_forget_history(struct standin_world *w)
{
	w->history_from = w->version;
}

/* Handles a call to the store. */
static void on_store(struct http1_conn *c, struct http1_request *r, void *arg)
{
	serve_store(arg, c, r, false);
}

/* Handles a call to the view. */
static void on_view(struct http1_conn *c, struct http1_request *r, void *arg)
{
	serve_store(arg, c, r, true);
}

/* Serves a call to the store, or to its view. */
static void serve_store(struct standin_world *w, struct http1_conn *c,
			const struct http1_request *r, bool view)
{
	char *target = xstrndup(r->head.target, r->head.target_len);
	bool reads = !strncmp(target, "/rows-get", 9);
	bool follows = !strncmp(target, "/rows-feed", 10);

	if (w->store_refuses || (w->store_refuses_writes && !reads && !follows))
		reply_store(w, c, 503, "");
	else if (reads)
		serve_get(w, c, target, view);
	else if (follows)
		serve_feed(w, c, target, view);
	else
		serve_tx(w, c, r);
	free(target);
}

/* Clears the slot of a feed whose connection was closed. */
static void on_store_closed(void *owner)
{
	struct http1_conn **slot = owner;

	*slot = NULL;
}

/* Answers with all rows of a part of a table that are not deleted. */
static void serve_get(struct standin_world *w, struct http1_conn *c,
		      const char *target, bool view)
{
	char *table = parameter(target, "table");
	char *part = parameter(target, "part");
	json_t *rows = json_array();
	json_t *row;
	size_t i;

	json_array_foreach(w->rows, i, row)
	{
		if (is_row(row, table, part, NULL) &&
		    !json_is_true(json_object_get(row, "deleted")))
			json_array_append(rows, row);
	}
	reply_rows(w, c, rows, view);
	free(part);
	free(table);
}

/* Answers with the changes of a table after a version, or keeps the call until
 * there are some; at once if it may not wait.  A version that the store does not
 * have is answered 410. */
static void serve_feed(struct standin_world *w, struct http1_conn *c,
		       const char *target, bool view)
{
	char *table = parameter(target, "table");
	char *after = parameter(target, "after");
	char *wait = parameter(target, "waitMs");
	size_t i;

	if (strtoll(after, NULL, 10) > w->version ||
	    strtoll(after, NULL, 10) < w->history_from) {
		reply_store(w, c, 410, "{}");
	} else if (!strcmp(wait, "0")) {
		if (!answer_feed(w, c, table, strtoll(after, NULL, 10), view))
			reply_rows(w, c, json_array(), view);
	} else if (!answer_feed(w, c, table, strtoll(after, NULL, 10), view)) {
		for (i = 0;
		     i < STANDIN_PENDING_FEEDS_MAX - 1 && w->pending_feeds[i];
		     i++)
			;
		w->pending_feeds[i] = c;
		snprintf(w->pending_table[i], 32, "%s", table);
		w->pending_after[i] = strtoll(after, NULL, 10);
		w->pending_until_ms[i] = uv_now(harness_loop(w->harness)) +
					 strtoull(wait, NULL, 10);
		w->pending_view[i] = view;
		http1_set_owner(c, &w->pending_feeds[i]);
	}
	free(wait);
	free(table);
	free(after);
}

/* Executes a transaction; one whose condition does not hold is answered 412. */
static void serve_tx(struct standin_world *w, struct http1_conn *c,
		     const struct http1_request *r)
{
	json_t *root = json_loadb(r->body, r->body_len, 0, NULL);
	char answer[64];

	if (is_held(w, root)) {
		json_array_append_new(w->held, root);
		return;
	}
	if (!condition_holds(w, root)) {
		json_decref(root);
		reply_store(w, c, 412, "{\"rows\":[]}");
		return;
	}
	apply_tx(w, root);
	json_decref(root);
	snprintf(answer, sizeof(answer), "{\"ver\":%lld}",
		 (long long)w->version);
	reply_store(w, c, 200, answer);
	answer_pending_feeds(w);
}

/* Returns whether a transaction is done later. */
static bool is_held(const struct standin_world *w, const json_t *tx)
{
	return names_key(json_object_get(tx, "puts"), w->held_puts) ||
	       names_key(json_object_get(tx, "remove"), w->held_removals);
}

/* Returns whether an entry has a key that begins with a prefix; NULL: none. */
static bool names_key(const json_t *entries, const char *prefix)
{
	json_t *entry;
	size_t i;

	if (!prefix)
		return false;
	json_array_foreach(entries, i, entry)
	{
		if (!strncmp(json_string_value(json_object_get(entry, "key")),
			     prefix, strlen(prefix)))
			return true;
	}
	return false;
}

/* Returns whether the rows of a transaction's condition have the versions that it
 * names. */
static bool condition_holds(const struct standin_world *w, const json_t *tx)
{
	json_t *entry;
	size_t i;

	json_array_foreach(json_object_get(tx, "expectedRev"), i, entry)
	{
		if (json_integer_value(json_object_get(entry, "ver")) !=
		    version_of(w, entry))
			return false;
	}
	return true;
}

/* Returns the version of the row that an entry names, 0 if it does not exist. */
static json_int_t version_of(const struct standin_world *w, const json_t *entry)
{
	const char *part = json_string_value(json_object_get(entry, "part"));
	json_t *row;
	size_t i;

	json_array_foreach(w->rows, i, row)
	{
		if (is_row(row,
			   json_string_value(json_object_get(entry, "table")),
			   part ? part : "",
			   json_string_value(json_object_get(entry, "key"))) &&
		    !json_is_true(json_object_get(row, "deleted")))
			return json_integer_value(json_object_get(row, "ver"));
	}
	return 0;
}

/* Applies all entries of a transaction. */
static void apply_tx(struct standin_world *w, const json_t *tx)
{
	json_t *entry;
	size_t i;

	json_array_foreach(json_object_get(tx, "puts"), i, entry)
		apply_entry(w, entry);
	json_array_foreach(json_object_get(tx, "remove"), i, entry)
		apply_entry(w, entry);
}

/* Writes or removes the row that an entry of a transaction names. */
static void apply_entry(struct standin_world *w, const json_t *entry)
{
	const char *part = json_string_value(json_object_get(entry, "part"));

	set_row(w, json_string_value(json_object_get(entry, "table")),
		part ? part : "",
		json_string_value(json_object_get(entry, "key")),
		json_string_value(json_object_get(entry, "value")));
}

/* Returns whether a row is in a part of a table and has a key; NULL: any. */
static bool is_row(const json_t *row, const char *table, const char *part,
		   const char *key)
{
	return !strcmp(json_string_value(json_object_get(row, "table")),
		       table) &&
	       !strcmp(json_string_value(json_object_get(row, "part")), part) &&
	       (!key ||
		!strcmp(json_string_value(json_object_get(row, "key")), key));
}

/* Answers a feed with the changes after a version; returns false if there are
 * none. */
static bool answer_feed(struct standin_world *w, struct http1_conn *c,
			const char *table, json_int_t after, bool view)
{
	json_t *rows = json_array();
	json_t *row;
	size_t i;

	json_array_foreach(w->rows, i, row)
	{
		if (!strcmp(json_string_value(json_object_get(row, "table")),
			    table) &&
		    json_integer_value(json_object_get(row, "ver")) > after)
			json_array_append(rows, row);
	}
	if (!json_array_size(rows)) {
		json_decref(rows);
		return false;
	}
	reply_rows(w, c, rows, view);
	return true;
}

/* Answers the pending feeds that have changes. */
static void answer_pending_feeds(struct standin_world *w)
{
	size_t i;

	for (i = 0; i < STANDIN_PENDING_FEEDS_MAX; i++) {
		struct http1_conn *c = w->pending_feeds[i];

		if (!c)
			continue;
		w->pending_feeds[i] = NULL;
		http1_set_owner(c, NULL);
		if (answer_feed(w, c, w->pending_table[i], w->pending_after[i],
				w->pending_view[i]))
			continue;
		w->pending_feeds[i] = c;
		http1_set_owner(c, &w->pending_feeds[i]);
	}
}

/* Answers the feeds that have waited as long as they may, without rows. */
static void on_feeds_timer(uv_timer_t *timer)
{
	struct standin_world *w = timer->data;
	uint64_t now = uv_now(timer->loop);
	size_t i;

	for (i = 0; i < STANDIN_PENDING_FEEDS_MAX; i++) {
		struct http1_conn *c = w->pending_feeds[i];

		if (!c || now < w->pending_until_ms[i])
			continue;
		w->pending_feeds[i] = NULL;
		http1_set_owner(c, NULL);
		reply_rows(w, c, json_array(), w->pending_view[i]);
	}
}

/* Writes a row with a new version; value64 is the value in base64, NULL marks
 * the row as deleted. */
static void set_row(struct standin_world *w, const char *table,
		    const char *part, const char *key, const char *value64)
{
	json_t *row;
	size_t i;

	json_array_foreach(w->rows, i, row)
	{
		if (is_row(row, table, part, key)) {
			json_array_remove(w->rows, i);
			break;
		}
	}
	row = json_pack("{s:s, s:s, s:s, s:I}", "table", table, "part", part,
			"key", key, "ver", ++w->version);
	if (value64)
		json_object_set_new(row, "value", json_string(value64));
	else
		json_object_set_new(row, "deleted", json_true());
	json_array_append_new(w->rows, row);
}

/* Answers with rows, at the view with its own; takes ownership of the list. */
static void reply_rows(struct standin_world *w, struct http1_conn *c,
		       json_t *rows, bool view)
{
	json_t *root;
	char *text;
	size_t i;

	for (i = 0; view && i < json_array_size(rows); i++)
		json_array_set_new(rows, i,
				   row_of_view(w, json_array_get(rows, i)));
	root = json_pack("{s:o, s:b, s:I}", "rows", rows, "hasMore", 0, "ver",
			 w->version);
	text = json_dumps(root, JSON_COMPACT);
	reply_store(w, c, 200, text);
	free(text);
	json_decref(root);
}

/* Returns a row as the view shows it, a new reference. */
static json_t *row_of_view(const struct standin_world *w, const json_t *row)
{
	json_t *shown = json_deep_copy(row);
	const char *value64 = json_string_value(json_object_get(row, "value"));
	size_t i;

	for (i = 0; value64 && i < w->n_workers; i++)
		if (w->workers[i].view_address &&
		    is_row(row, "servers", "", w->workers[i].id))
			set_address(shown, w->workers[i].view_address);
	return shown;
}

/* Replaces the address in the entry of a worker. */
static void set_address(json_t *row, const char *address)
{
	char *text =
		decode_value(json_string_value(json_object_get(row, "value")));
	json_t *entry = json_loads(text, 0, NULL);
	char *value64;

	free(text);
	assert_non_null(entry);
	json_object_set_new(entry, "address", json_string(address));
	text = json_dumps(entry, JSON_COMPACT);
	value64 = encode_value(text);
	json_object_set_new(row, "value", json_string(value64));
	free(value64);
	free(text);
	json_decref(entry);
}

/* Returns the text of a row's value; the caller frees it. */
static char *decode_value(const char *value64)
{
	char *text = xcalloc(strlen(value64) + 1, 1);

	EVP_DecodeBlock((unsigned char *)text, (const unsigned char *)value64,
			(int)strlen(value64));
	return text;
}

/* Returns a text as the value of a row; the caller frees it. */
static char *encode_value(const char *text)
{
	size_t n = strlen(text);
	char *value64 = xcalloc((n + 2) / 3 * 4 + 1, 1);

	EVP_EncodeBlock((unsigned char *)value64, (const unsigned char *)text,
			(int)n);
	return value64;
}

/* Answers a call to the store with its era. */
static void reply_store(struct standin_world *w, struct http1_conn *c,
			int status, const char *text)
{
	char headers[96];

	snprintf(headers, sizeof(headers),
		 "content-type: application/json\r\nstore-era: %lld\r\n",
		 (long long)w->era);
	http1_reply(c, status, headers, text, strlen(text));
}

/* Returns a query parameter, "" if it is missing; the caller frees it. */
static char *parameter(const char *target, const char *name)
{
	char *key = xasprintf("%s=", name);
	const char *p = strstr(target, key);
	char *value = xstrdup("");

	if (p) {
		p += strlen(key);
		free(value);
		value = xstrndup(p, strcspn(p, "&"));
	}
	free(key);
	return value;
}

/* Answers 200 with a text. */
static void reply_text(struct http1_conn *c, const char *headers,
		       const char *text)
{
	http1_reply(c, 200, headers, text, strlen(text));
}

/* Handles a request to a worker. */
static void on_worker(struct http1_conn *c, struct http1_request *r, void *arg)
{
	struct standin_worker *worker = arg;
	struct standin_arrival *a = record_arrival(worker, r);
	char *id = header_value(r, "request-id");
	char headers[HEADERS_BYTES];

	char *expected = header_value(r, "expected-instance");

	snprintf(headers, sizeof(headers), "instance-id: %s\r\n%s%s%s%s",
		 worker->id, id[0] ? "request-id: " : "", id,
		 id[0] ? "\r\n" : "", extra_headers_of(worker));
	a->misdirected = expected[0] && strcmp(expected, worker->id) != 0;
	if (worker->streams_unframed)
		r->head.minor_version = 0; /* as for a client without chunks */
	if (worker->connections && n_in_progress(worker) >= worker->connections)
		http1_abort(c);
	else if (a->misdirected)
		http1_reply(c, 421, headers, "", 0);
	else if (standin_is_crash_request(a))
		begin_crash(worker, c, a, id);
	else if (!strcmp(a->target, "/healthz"))
		http1_reply(c, 200, headers, "", 0);
	else if (!strcmp(a->target, "/report"))
		reply_report(worker, c, a, headers);
	else if (!strcmp(a->target, "/kv-move"))
		reply_text(c, extra_headers_of(worker),
			   "{\"handle\":\"h1\",\"created\":3}");
	else if (!strncmp(a->target, "/kv-handle/", 11))
		http1_reply(c, 200, extra_headers_of(worker), "", 0);
	else if (worker->silent_ms)
		answer_later(worker, c, a, id);
	else if (!strcmp(worker->service, "engine") &&
		 (worker->behaviour == STANDIN_NORMAL ||
		  worker->behaviour == STANDIN_TRICKLES))
		serve_stream(worker, c, a, id);
	else
		serve_plain(worker, c, a, id);
	free(expected);
	free(id);
}

/* Answers with an engine's report, unless the engine holds it back. */
static void reply_report(struct standin_worker *worker, struct http1_conn *c,
			 struct standin_arrival *a, const char *headers)
{
	struct standin_stream *s;
	char text[sizeof(s->report)];

	if (worker->holds_reports)
		return;
	snprintf(text, sizeof(text),
		 "{\"models\":[{\"name\":\"m\"}],\"born\":%u}",
		 worker->born_ms);
	if (!worker->defers_reports) {
		reply_text(c, headers, text);
		return;
	}
	s = answer_begin(worker, c, a);
	snprintf(s->headers, sizeof(s->headers), "%s", headers);
	memcpy(s->report, text, sizeof(text));
}

/* Returns whether a worker has been asked for a report that it has deferred. */
bool standin_defers_report(const struct standin_worker *worker)
{
	const struct standin_stream *s;

	for (s = worker->world->streams; s; s = s->next)
		if (s->worker == worker && s->report[0])
			return true;
	return false;
}

/* Answers for the reports that a worker has deferred, and defers no more. */
void standin_answer_reports(struct standin_worker *worker)
{
	struct standin_stream *s = worker->world->streams;

	worker->defers_reports = false;
	while (s) {
		struct standin_stream *next = s->next;

		if (s->worker == worker && s->report[0]) {
			http1_set_owner(s->conn, NULL);
			reply_text(s->conn, s->headers, s->report);
			stream_free(s);
		}
		s = next;
	}
}

/* Returns the header lines added to all answers of a worker, "" if none; valid
 * until the next call. */
static const char *extra_headers_of(const struct standin_worker *worker)
{
	static char lines[EXTRA_HEADERS_BYTES];

	snprintf(lines, sizeof(lines), "%s%s%s%s",
		 worker->extra_headers ? worker->extra_headers : "",
		 worker->limit ? "server-limit: " : "",
		 worker->limit ? worker->limit : "",
		 worker->limit ? "\r\n" : "");
	return lines;
}

/* Called when a client closes a connection to a worker: marks the arrival of
 * its stream, if any, as closed and frees the stream. */
static void on_stream_closed(void *owner)
{
	struct standin_stream *s = owner;

	if (!s)
		return;
	s->arrival->closed = true;
	s->conn = NULL;
	stream_free(s);
}

/* Returns whether the prompt of a request has a part, by its id, that is not the
 * last one. */
bool standin_has_part(const struct standin_arrival *a, const char *part)
{
	const char *line = strstr(a->head, "\nprompt-prefix: ");
	const char *end;
	const char *p;

	if (!line)
		return false;
	p = line + strlen("\nprompt-prefix: ");
	end = p + strcspn(p, "\n");
	for (; p < end; p += strcspn(p, ",\n") + 1) {
		size_t len = strcspn(p, ":,\n");

		if (len == strlen(part) && !memcmp(p, part, len) &&
		    memchr(p, ',', (size_t)(end - p)))
			return true;
	}
	return false;
}

/* Returns whether a request is the one that crashes its worker. */
bool standin_is_crash_request(const struct standin_arrival *a)
{
	const struct standin_crash *crash = &a->worker->world->crash;
	const char *body = crash->body;

	if (crash->part && standin_has_part(a, crash->part))
		return true;
	return body && a->body_len == strlen(body) &&
	       !memcmp(a->body, body, a->body_len);
}

/* Starts to run a request that crashes its worker; an engine writes events of
 * the stream until the crash. */
static void begin_crash(struct standin_worker *worker, struct http1_conn *c,
			struct standin_arrival *a, const char *id)
{
	a->ran = true;
	if (!strcmp(worker->service, "engine") && !worker->world->crash.part)
		serve_stream(worker, c, a, id);
	if (worker->crashing)
		return;
	if (!worker->crash_timer_initialised)
		uv_timer_init(harness_loop(worker->world->harness),
			      &worker->crash_timer);
	worker->crash_timer_initialised = true;
	worker->crashing = true;
	worker->crash_timer.data = worker;
	uv_timer_start(&worker->crash_timer, on_crash,
		       worker->world->crash.after_ms, 0);
}

/* Crashes the worker if it is running, or else starts it again. */
static void on_crash(uv_timer_t *timer)
{
	struct standin_worker *worker = timer->data;
	struct standin_crash *crash = &worker->world->crash;

	if (worker->server) {
		standin_kill_worker(worker);
		if (crash->n < sizeof(crash->at_ms) / sizeof(crash->at_ms[0]))
			crash->at_ms[crash->n] = uv_now(timer->loop);
		crash->n++;
		uv_timer_start(timer, on_crash, crash->down_ms, 0);
		return;
	}
	worker->crashing = false;
	standin_replace_worker(worker);
}

/* Records a request as it arrived. */
static struct standin_arrival *record_arrival(struct standin_worker *worker,
					      const struct http1_request *r)
{
	struct standin_world *w = worker->world;
	struct standin_arrival *a = xcalloc(1, sizeof(*a));
	struct bytes head = { 0 };
	size_t i;

	w->arrivals = xreallocarray(w->arrivals, w->n_arrivals + 1,
				    sizeof(a)); /* NOLINT: of pointers */
	w->arrivals[w->n_arrivals++] = a;
	bytes_add(&head, "\n", 1);
	for (i = 0; i < r->head.n_headers; i++) {
		const struct http1_header *h = &r->head.headers[i];

		bytes_addf(&head, "%.*s: %.*s\n", (int)h->name_len, h->name,
			   (int)h->value_len, h->value);
	}
	bytes_add(&head, "", 1);
	for (i = 0; i < head.len; i++)
		head.data[i] = (char)tolower((unsigned char)head.data[i]);
	a->worker = worker;
	memcpy(a->worker_id, worker->id, sizeof(a->worker_id));
	a->worker_born_ms = worker->born_ms;
	a->version = worker->version;
	a->extra_headers = worker->extra_headers;
	snprintf(a->limit, sizeof(a->limit), "%s",
		 worker->limit ? worker->limit : "");
	a->at_ms = uv_now(harness_loop(w->harness));
	a->head = head.data;
	a->target = xstrndup(r->head.target, r->head.target_len);
	a->body = xmemdup(r->body_len ? r->body : "", r->body_len);
	a->body_len = r->body_len;
	return a;
}

/* Answers 200 with the text, or with as many bytes as the test asks for. */
static void reply_plain(const struct standin_worker *worker,
			struct http1_conn *c, const char *headers,
			const char *text)
{
	void (*reply)(struct http1_conn *, int, const char *, const void *,
		      size_t) = worker->behaviour == STANDIN_UNFRAMED
					? http1_reply_unframed
					: http1_reply;
	size_t len = worker->world->plain_bytes;
	char *body;

	if (!len) {
		reply(c, 200, headers, text, strlen(text));
		return;
	}
	body = xcalloc(1, len);
	memset(body, 'x', len);
	reply(c, 200, headers, body, len);
	free(body);
}

/* Answers a plain call according to the worker's behaviour. */
static void serve_plain(struct standin_worker *worker, struct http1_conn *c,
			struct standin_arrival *a, const char *id)
{
	char headers[HEADERS_BYTES];
	char refusal[HEADERS_BYTES];
	char unsigned_headers[HEADERS_BYTES];
	char other[HEADERS_BYTES];
	char self[HEADERS_BYTES];
	const char *body = "plain answer";

	snprintf(headers, sizeof(headers),
		 SIGNATURE "request-id: %s\r\nx-own: 1\r\n%s", id,
		 extra_headers_of(worker));
	snprintf(refusal, sizeof(refusal),
		 "not-executed: 1\r\nrequest-id: %s\r\n%s", id,
		 extra_headers_of(worker));
	snprintf(unsigned_headers, sizeof(unsigned_headers),
		 "request-id: %s\r\n", id);
	snprintf(other, sizeof(other),
		 "instance-id: i-else\r\nrequest-id: %s\r\n", id);
	snprintf(self, sizeof(self), "instance-id: %s\r\nrequest-id: %s\r\n",
		 worker->id, id);
	a->ran = worker->behaviour != STANDIN_FULL &&
		 worker->behaviour != STANDIN_MISDIRECTED &&
		 worker->behaviour != STANDIN_MISDIRECTED_SELF;
	switch (worker->behaviour) {
	case STANDIN_NORMAL:
	case STANDIN_TRICKLES:
		reply_plain(worker, c, headers, body);
		break;
	case STANDIN_FULL:
		http1_reply(c, 503, refusal, "", 0);
		break;
	case STANDIN_FAILS:
		http1_reply(c, 500, headers, "failed", 6);
		break;
	case STANDIN_FULL_EXECUTED:
		http1_reply(c, 503, headers, "", 0);
		break;
	case STANDIN_UNSIGNED:
		http1_reply(c, 200, unsigned_headers, body, strlen(body));
		break;
	case STANDIN_ENCODED:
		strcat(headers, "content-encoding: gzip\r\n");
		http1_reply(c, 200, headers, body, strlen(body));
		break;
	case STANDIN_UNFRAMED:
		reply_plain(worker, c, headers, body);
		break;
	case STANDIN_BREAKS_OFF:
		strcat(headers, "content-type: text/event-stream\r\n");
		http1_stream_begin(c, 200, headers);
		http1_abort(c);
		break;
	case STANDIN_DISCONNECTS:
		http1_abort(c);
		break;
	case STANDIN_SILENT:
		break;
	case STANDIN_MISDIRECTED:
		http1_reply(c, 421, other, "", 0);
		break;
	case STANDIN_MISDIRECTED_SELF:
		http1_reply(c, 421, self, "", 0);
		break;
	}
}

/* Starts a stream, after the event of "last-event-id" if there is one. */
static void serve_stream(struct standin_worker *worker, struct http1_conn *c,
			 struct standin_arrival *a, const char *id)
{
	struct standin_stream *s = answer_begin(worker, c, a);
	const char *after = strstr(a->head, "\nlast-event-id: ");
	char headers[HEADERS_BYTES];

	a->ran = true;
	s->version = worker->version;
	s->unframed = worker->streams_unframed;
	s->run = ++worker->world->n_runs;
	snprintf(s->request_id, sizeof(s->request_id), "%s", id);
	s->next_event = after ? atoi(after + 16) + 1 : 1;
	snprintf(headers, sizeof(headers),
		 SIGNATURE
		 "content-type: text/event-stream\r\nrequest-id: %s\r\n%s",
		 id, extra_headers_of(worker));
	http1_stream_begin(c, 200, headers);
	uv_timer_start(&s->timer, on_event, worker->world->event_ms,
		       worker->world->event_ms);
}

/* Answers a request when the silence of its worker is over. */
static void answer_later(struct standin_worker *worker, struct http1_conn *c,
			 struct standin_arrival *a, const char *id)
{
	struct standin_stream *s = answer_begin(worker, c, a);

	a->ran = true;
	snprintf(s->headers, sizeof(s->headers),
		 SIGNATURE "request-id: %s\r\n%s", id,
		 extra_headers_of(worker));
	uv_timer_start(&s->timer, on_silence_over, worker->silent_ms, 0);
}

/* Returns an answer that is to be written later. */
static struct standin_stream *answer_begin(struct standin_worker *worker,
					   struct http1_conn *c,
					   struct standin_arrival *a)
{
	struct standin_stream *s = xcalloc(1, sizeof(*s));

	s->conn = c;
	s->worker = worker;
	s->arrival = a;
	s->next = worker->world->streams;
	worker->world->streams = s;
	http1_set_owner(c, s);
	uv_timer_init(harness_loop(worker->world->harness), &s->timer);
	s->timer.data = s;
	return s;
}

/* Sends an answer that waited for the end of a silence. */
static void on_silence_over(uv_timer_t *timer)
{
	struct standin_stream *s = timer->data;
	struct http1_conn *c = s->conn;

	http1_set_owner(c, NULL);
	reply_plain(s->worker, c, s->headers, "plain answer");
	stream_free(s);
}

/* Returns how many requests a worker is at work on. */
static size_t n_in_progress(const struct standin_worker *worker)
{
	const struct standin_stream *s;
	size_t n = 0;

	for (s = worker->world->streams; s; s = s->next)
		n += s->worker == worker;
	return n;
}

/* Updates the longest time between two events of a stream. */
static void update_longest_gap(struct standin_stream *s)
{
	struct standin_world *w = s->worker->world;
	uint64_t now = uv_now(harness_loop(w->harness));

	if (s->written_ms && now - s->written_ms > w->longest_gap_ms)
		w->longest_gap_ms = now - s->written_ms;
	s->written_ms = now;
}

/* Adds n bytes of text. */
static void add_padding(struct bytes *b, size_t n)
{
	char *text = xcalloc(1, n + 1);

	memset(text, 'x', n);
	bytes_add(b, text, n);
	free(text);
}

/* Writes the next event of a stream, or ends it. */
static void on_event(uv_timer_t *timer)
{
	struct standin_stream *s = timer->data;
	struct http1_conn *c = s->conn;
	struct bytes event = { 0 };
	char run[64] = "";

	if (s->worker->behaviour == STANDIN_TRICKLES && s->next_event > 1) {
		http1_stream_write(c, ":", 1);
		return;
	}
	update_longest_gap(s);
	if (s->next_event <= STANDIN_EVENTS) {
		if (s->worker->world->events_name_runs)
			snprintf(run, sizeof(run), " %u %s", s->run,
				 s->request_id);
		bytes_addf(&event, "id: %d\ndata: e%d %s%s", s->next_event,
			   s->next_event, s->version, run);
		add_padding(&event, s->worker->world->event_padding);
		bytes_add(&event, "\n\n", 2);
		s->next_event++;
		http1_stream_write(c, event.data, event.len);
		bytes_release(&event);
		return;
	}
	http1_set_owner(c, NULL);
	http1_stream_end(c);
	stream_free(s);
}

static void on_timer_closed(uv_handle_t *h)
{
	free(h->data);
}

/* Removes a stream from the list and frees it once its timer is closed. */
static void stream_free(struct standin_stream *s)
{
	struct standin_stream **p = &s->worker->world->streams;

	while (*p != s)
		p = &(*p)->next;
	*p = s->next;
	uv_timer_stop(&s->timer);
	uv_close((uv_handle_t *)&s->timer, on_timer_closed);
}

/* Returns the value of a header, "" if it is missing; the caller frees it. */
static char *header_value(const struct http1_request *r, const char *name)
{
	const struct http1_header *h = http1_find_header(&r->head, name);

	return h ? xstrndup(h->value, h->value_len) : xstrdup("");
}
