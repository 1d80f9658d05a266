/*
 * Stand-ins of the users' platform for tests: what of it cdmproxyd meets.
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

#define MARK "response-signature: m.1\r\n"

/* A stream under way. */
struct standin_stream {
	struct standin_stream *next;
	struct http1_conn *conn;
	struct standin_worker *worker;
	struct standin_arrival *arrival;
	uv_timer_t timer;
	int next_event;
	uint64_t written_ms; /* when its last event was; 0: none yet */
};

static void on_store(struct http1_conn *c, struct http1_request *r, void *arg);
static void on_store_gone(void *owner);
static void serve_get(struct standin_world *w, struct http1_conn *c,
		      const char *target);
static void serve_feed(struct standin_world *w, struct http1_conn *c,
		       const char *target);
static void serve_tx(struct standin_world *w, struct http1_conn *c,
		     const struct http1_request *r);
static bool answer_feed(struct standin_world *w, struct http1_conn *c,
			const char *table, json_int_t after);
static void wake(struct standin_world *w);
static void set_row(struct standin_world *w, const char *table, const char *key,
		    const char *value64);
static void reply_rows(struct standin_world *w, struct http1_conn *c,
		       json_t *rows);
static char *parameter(const char *target, const char *name);
static void reply_text(struct http1_conn *c, const char *headers,
		       const char *text);
static void on_worker(struct http1_conn *c, struct http1_request *r, void *arg);
static const char *words_of(const struct standin_worker *worker);
static void on_worker_gone(void *owner);
static void begin_crash(struct standin_worker *worker, struct http1_conn *c,
			struct standin_arrival *a, const char *id);
static void on_crash(uv_timer_t *timer);
static struct standin_arrival *record(struct standin_worker *worker,
				      const struct http1_request *r);
static void serve_plain(struct standin_worker *worker, struct http1_conn *c,
			struct standin_arrival *a, const char *id);
static void serve_stream(struct standin_worker *worker, struct http1_conn *c,
			 struct standin_arrival *a, const char *id);
static void note_gap(struct standin_stream *s);
static void on_event(uv_timer_t *timer);
static void stream_end(struct standin_stream *s);
static char *header_value(const struct http1_request *r, const char *name);

static const struct http1_server_ops store_ops = {
	.on_request = on_store,
	.on_gone = on_store_gone,
};

static const struct http1_server_ops worker_ops = {
	.on_request = on_worker,
	.on_gone = on_worker_gone,
};

/* Makes a world with a store and no rows. */
struct standin_world *standin_new(struct harness *h)
{
	struct standin_world *w = xcalloc(1, sizeof(*w));

	w->harness = h;
	w->event_ms = STANDIN_EVENT_MS;
	w->key = "k1";
	w->rows = json_array();
	w->version = 1;
	w->store_address = harness_address(h);
	w->store_public = w->store_address;
	standin_start_store(w);
	return w;
}

/* The store listens, with the rows that it had. */
void standin_start_store(struct standin_world *w)
{
	char err[256];

	w->store = http1_server_new(harness_loop(w->harness), &store_ops, w);
	if (http1_server_listen(w->store, w->store_address, err, sizeof(err)))
		fail_msg("%s", err);
}

/* Frees a world; the processes that use it must have ended. */
void standin_free(struct standin_world *w)
{
	size_t i;

	standin_stop_store(w);
	for (i = 0; i < w->n_workers; i++) {
		standin_kill(&w->workers[i]);
		if (w->workers[i].timed)
			uv_close((uv_handle_t *)&w->workers[i].crash, NULL);
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
	free(w);
}

/* Writes a row and wakes who waits for it. */
void standin_put(struct standin_world *w, const char *table, const char *key,
		 const char *value)
{
	size_t n = strlen(value);
	char *out = xcalloc((n + 2) / 3 * 4 + 1, 1);

	EVP_EncodeBlock((unsigned char *)out, (const unsigned char *)value,
			(int)n);
	set_row(w, table, key, out);
	free(out);
	wake(w);
}

/* Removes a row. */
void standin_remove(struct standin_world *w, const char *table, const char *key)
{
	set_row(w, table, key, NULL);
	wake(w);
}

/* Tells whether a row is there. */
bool standin_has(const struct standin_world *w, const char *table,
		 const char *key)
{
	json_t *row;
	size_t i;

	json_array_foreach(w->rows, i, row)
	{
		if (!strcmp(json_string_value(json_object_get(row, "table")),
			    table) &&
		    !strcmp(json_string_value(json_object_get(row, "key")),
			    key))
			return !json_is_true(json_object_get(row, "deleted"));
	}
	return false;
}

/* Writes a configuration with the routes that tests use: /book/ may run once,
 * /look/ may be repeated, /write/ streams, /open/ needs no key. */
void standin_configuration(struct standin_world *w, int version,
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
		"\"limits\":{\"maxHeaderBytes\":4096,\"maxBodyBytes\":10000,"
		"\"headerTimeoutMs\":2000,\"idleTimeoutMs\":15000},"
		"\"tenants\":[{\"name\":\"ajoke\",\"apiKeys\":[\"%s\"]}]}",
		version, extra_routes ? "," : "",
		extra_routes ? extra_routes : "", w->key);

	standin_put(w, "op", "config", text);
	free(text);
}

/* Starts a worker and announces it as ready. */
struct standin_worker *standin_worker(struct standin_world *w,
				      const char *service, const char *zone)
{
	struct standin_worker *worker = &w->workers[w->n_workers];

	assert_true(w->n_workers < STANDIN_WORKERS_MAX);
	worker->world = w;
	snprintf(worker->id, sizeof(worker->id), "i-%zu", w->n_workers++);
	worker->service = service;
	worker->zone = zone;
	worker->address = harness_address(w->harness);
	worker->public_address = worker->address;
	worker->born_ms = 1000;
	standin_restart(worker, worker->id);
	return worker;
}

/* Starts a worker, again if it was killed, and announces it as ready. */
void standin_restart(struct standin_worker *worker, const char *id)
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
	standin_announce(worker, "ready");
}

/* Starts a worker that was killed, under another id; its old entry goes. */
void standin_return(struct standin_worker *worker)
{
	static unsigned int start;
	char id[24];

	if (worker->server)
		return;
	snprintf(id, sizeof(id), "i-again-%u", ++start);
	standin_remove(worker->world, "servers", worker->id);
	standin_restart(worker, id);
}

/* Writes the worker's entry. */
void standin_announce(struct standin_worker *worker, const char *state)
{
	char *text =
		xasprintf("{\"backend\":\"%s\",\"address\":\"%s\","
			  "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":16,"
			  "\"state\":\"%s\",\"born\":%u}",
			  worker->service, worker->public_address, worker->zone,
			  state, worker->born_ms);

	standin_put(worker->world, "servers", worker->id, text);
	free(text);
}

/* The worker is gone at once; its connections are cut and its entry stays. */
void standin_kill(struct standin_worker *worker)
{
	struct standin_stream *s = worker->world->streams;

	if (!worker->server)
		return;
	while (s) {
		struct standin_stream *next = s->next;

		if (s->worker == worker && s->conn) {
			http1_set_owner(s->conn, NULL);
			stream_end(s);
		}
		s = next;
	}
	http1_server_free(worker->server);
	worker->server = NULL;
}

/* The store is gone: connections to it are refused. */
void standin_stop_store(struct standin_world *w)
{
	size_t i;

	if (!w->store)
		return;
	for (i = 0; i < STANDIN_WAITING_MAX; i++) {
		if (w->waiting[i])
			http1_set_owner(w->waiting[i], NULL);
		w->waiting[i] = NULL;
	}
	http1_server_free(w->store);
	w->store = NULL;
}

/* Returns the newest arrival at a worker. */
const struct standin_arrival *standin_last(const struct standin_world *w)
{
	assert_true(w->n_arrivals > 0);
	return w->arrivals[w->n_arrivals - 1];
}

/* Tells whether a header line, in lower case, came with a request. */
bool standin_head_has(const struct standin_arrival *a, const char *line)
{
	return strstr(a->head, line) != NULL;
}

/* Gives an instance its addresses and settings; seed is the control address of
 * another one, or NULL. */
void standin_instance(struct standin_world *w, struct standin_instance *in,
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
		"store = \"%s\"\nseeds = [\"%s\"]\ngrace_s = 2\n%s",
		name, in->callers, in->readiness, in->directory, in->metrics,
		in->control, in->peers, w->store_public,
		seed ? seed : in->control, w->settings ? w->settings : "");
}

/* Starts the instance's process. */
void standin_start(struct standin_world *w, struct standin_instance *in)
{
	in->proc = HARNESS_START(w->harness, in->name, "cdmproxyd", "-f",
				 in->settings);
	proc_wait_listening(in->proc, in->callers);
}

/* Writes an instance's entry; peers says where others send its datagrams. */
void standin_list_instance(struct standin_world *w, const char *name,
			   const char *callers, const char *control,
			   const char *peers)
{
	char *text = xasprintf("{\"callers\":\"%s\",\"peers\":\"%s\","
			       "\"control\":\"%s\",\"zone\":\"z1\"}",
			       callers, peers, control);

	standin_put(w, "instances", name, text);
	free(text);
}

/* Waits until a GET is answered with a status. */
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
	fail_msg("GET %s at %s: never %d", path, address, status);
}

/* A call to the store. */
static void on_store(struct http1_conn *c, struct http1_request *r, void *arg)
{
	struct standin_world *w = arg;
	char *target = xstrndup(r->head.target, r->head.target_len);
	bool reads = !strncmp(target, "/rows-get", 9);
	bool follows = !strncmp(target, "/rows-feed", 10);

	if (w->store_refuses || (w->store_refuses_writes && !reads && !follows))
		http1_reply(c, 503, NULL, "", 0);
	else if (reads)
		serve_get(w, c, target);
	else if (follows)
		serve_feed(w, c, target);
	else
		serve_tx(w, c, r);
	free(target);
}

/* A call that waited was given up. */
static void on_store_gone(void *owner)
{
	struct http1_conn **slot = owner;

	*slot = NULL;
}

/* All rows of a table. */
static void serve_get(struct standin_world *w, struct http1_conn *c,
		      const char *target)
{
	char *table = parameter(target, "table");
	json_t *rows = json_array();
	json_t *row;
	size_t i;

	json_array_foreach(w->rows, i, row)
	{
		if (!strcmp(json_string_value(json_object_get(row, "table")),
			    table) &&
		    !json_is_true(json_object_get(row, "deleted")))
			json_array_append(rows, row);
	}
	reply_rows(w, c, rows);
	free(table);
}

/* Changes of a table, now or later. */
static void serve_feed(struct standin_world *w, struct http1_conn *c,
		       const char *target)
{
	char *table = parameter(target, "table");
	char *after = parameter(target, "after");
	size_t i;

	if (!answer_feed(w, c, table, strtoll(after, NULL, 10))) {
		for (i = 0; i < STANDIN_WAITING_MAX - 1 && w->waiting[i]; i++)
			;
		w->waiting[i] = c;
		snprintf(w->waiting_table[i], 32, "%s", table);
		w->waiting_after[i] = strtoll(after, NULL, 10);
		http1_set_owner(c, &w->waiting[i]);
	}
	free(table);
	free(after);
}

/* A transaction, without conditions. */
static void serve_tx(struct standin_world *w, struct http1_conn *c,
		     const struct http1_request *r)
{
	json_t *root = json_loadb(r->body, r->body_len, 0, NULL);
	json_t *row;
	char answer[64];
	size_t i;

	json_array_foreach(json_object_get(root, "puts"), i, row)
		set_row(w, json_string_value(json_object_get(row, "table")),
			json_string_value(json_object_get(row, "key")),
			json_string_value(json_object_get(row, "value")));
	json_array_foreach(json_object_get(root, "remove"), i, row)
		set_row(w, json_string_value(json_object_get(row, "table")),
			json_string_value(json_object_get(row, "key")), NULL);
	json_decref(root);
	snprintf(answer, sizeof(answer), "{\"ver\":%lld}",
		 (long long)w->version);
	http1_reply(c, 200, NULL, answer, strlen(answer));
	wake(w);
}

/* Answers a feed if there are changes; false if it has to wait. */
static bool answer_feed(struct standin_world *w, struct http1_conn *c,
			const char *table, json_int_t after)
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
	reply_rows(w, c, rows);
	return true;
}

/* Answers the feeds that have waited for what changed. */
static void wake(struct standin_world *w)
{
	size_t i;

	for (i = 0; i < STANDIN_WAITING_MAX; i++) {
		struct http1_conn *c = w->waiting[i];

		if (!c)
			continue;
		w->waiting[i] = NULL;
		http1_set_owner(c, NULL);
		if (answer_feed(w, c, w->waiting_table[i], w->waiting_after[i]))
			continue;
		w->waiting[i] = c;
		http1_set_owner(c, &w->waiting[i]);
	}
}

/* Sets a row; NULL deletes it. */
static void set_row(struct standin_world *w, const char *table, const char *key,
		    const char *value64)
{
	json_t *row;
	size_t i;

	json_array_foreach(w->rows, i, row)
	{
		if (!strcmp(json_string_value(json_object_get(row, "table")),
			    table) &&
		    !strcmp(json_string_value(json_object_get(row, "key")),
			    key)) {
			json_array_remove(w->rows, i);
			break;
		}
	}
	row = json_pack("{s:s, s:s, s:s, s:I}", "table", table, "part", "",
			"key", key, "ver", ++w->version);
	if (value64)
		json_object_set_new(row, "value", json_string(value64));
	else
		json_object_set_new(row, "deleted", json_true());
	json_array_append_new(w->rows, row);
}

/* Answers with rows; takes the list over. */
static void reply_rows(struct standin_world *w, struct http1_conn *c,
		       json_t *rows)
{
	json_t *root = json_pack("{s:o, s:b, s:I}", "rows", rows, "hasMore", 0,
				 "ver", w->version);
	char *text = json_dumps(root, JSON_COMPACT);

	http1_reply(c, 200, "content-type: application/json\r\n", text,
		    strlen(text));
	free(text);
	json_decref(root);
}

/* Returns a parameter of a query, which the caller frees. */
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

/* Answers with a text. */
static void reply_text(struct http1_conn *c, const char *headers,
		       const char *text)
{
	http1_reply(c, 200, headers, text, strlen(text));
}

/* A request to a worker. */
static void on_worker(struct http1_conn *c, struct http1_request *r, void *arg)
{
	struct standin_worker *worker = arg;
	struct standin_arrival *a = record(worker, r);
	char *id = header_value(r, "request-id");
	char headers[256];

	char *expected = header_value(r, "expected-instance");

	snprintf(headers, sizeof(headers), "instance-id: %s\r\n%s", worker->id,
		 words_of(worker));
	a->misdirected = expected[0] && strcmp(expected, worker->id) != 0;
	if (a->misdirected)
		http1_reply(c, 421, headers, "", 0);
	else if (standin_crashes(a))
		begin_crash(worker, c, a, id);
	else if (!strcmp(a->target, "/healthz"))
		http1_reply(c, 200, headers, "", 0);
	else if (!strcmp(a->target, "/report"))
		reply_text(c, headers, "{\"models\":[{\"name\":\"m\"}]}");
	else if (!strcmp(a->target, "/kv-move"))
		reply_text(c, words_of(worker),
			   "{\"handle\":\"h1\",\"created\":3}");
	else if (!strncmp(a->target, "/kv-handle/", 11))
		http1_reply(c, 200, words_of(worker), "", 0);
	else if (!strcmp(worker->service, "engine") &&
		 (worker->mood == STANDIN_SERVES ||
		  worker->mood == STANDIN_TRICKLES))
		serve_stream(worker, c, a, id);
	else
		serve_plain(worker, c, a, id);
	free(expected);
	free(id);
}

/* Returns the header lines that all answers of a worker have. */
static const char *words_of(const struct standin_worker *worker)
{
	return worker->words ? worker->words : "";
}

/* The other side of a stream left. */
static void on_worker_gone(void *owner)
{
	struct standin_stream *s = owner;

	if (!s)
		return;
	s->arrival->closed = true;
	s->conn = NULL;
	stream_end(s);
}

/* Tells whether a request is the one that ends its worker. */
bool standin_crashes(const struct standin_arrival *a)
{
	const char *body = a->worker->world->crash.body;

	return body && a->body_len == strlen(body) &&
	       !memcmp(a->body, body, a->body_len);
}

/* The worker begins to run a request that ends it; a stream may have events
 * before. */
static void begin_crash(struct standin_worker *worker, struct http1_conn *c,
			struct standin_arrival *a, const char *id)
{
	a->ran = true;
	if (!strcmp(worker->service, "engine"))
		serve_stream(worker, c, a, id);
	if (worker->crashing)
		return;
	if (!worker->timed)
		uv_timer_init(harness_loop(worker->world->harness),
			      &worker->crash);
	worker->timed = true;
	worker->crashing = true;
	worker->crash.data = worker;
	uv_timer_start(&worker->crash, on_crash, worker->world->crash.after_ms,
		       0);
}

/* The worker ends, or is back. */
static void on_crash(uv_timer_t *timer)
{
	struct standin_worker *worker = timer->data;
	struct standin_crash *crash = &worker->world->crash;

	if (worker->server) {
		standin_kill(worker);
		if (crash->n < sizeof(crash->at_ms) / sizeof(crash->at_ms[0]))
			crash->at_ms[crash->n] = uv_now(timer->loop);
		crash->n++;
		uv_timer_start(timer, on_crash, crash->down_ms, 0);
		return;
	}
	worker->crashing = false;
	standin_return(worker);
}

/* Keeps a request as it came. */
static struct standin_arrival *record(struct standin_worker *worker,
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
	a->words = worker->words;
	a->at_ms = uv_now(harness_loop(w->harness));
	a->head = head.data;
	a->target = xstrndup(r->head.target, r->head.target_len);
	a->body = xmemdup(r->body_len ? r->body : "", r->body_len);
	a->body_len = r->body_len;
	return a;
}

/* Answers a plain call as the worker's mood is. */
static void serve_plain(struct standin_worker *worker, struct http1_conn *c,
			struct standin_arrival *a, const char *id)
{
	char headers[512];
	char refusal[256];
	const char *body = "plain answer";

	snprintf(headers, sizeof(headers),
		 MARK "request-id: %s\r\nx-own: 1\r\n%s", id, words_of(worker));
	snprintf(refusal, sizeof(refusal), "not-executed: 1\r\n%s",
		 words_of(worker));
	a->ran = worker->mood != STANDIN_FULL && worker->mood != STANDIN_OTHER;
	switch (worker->mood) {
	case STANDIN_SERVES:
	case STANDIN_TRICKLES:
		http1_reply(c, 200, headers, body, strlen(body));
		break;
	case STANDIN_FULL:
		http1_reply(c, 503, refusal, "", 0);
		break;
	case STANDIN_FAILS:
		http1_reply(c, 500, headers, "failed", 6);
		break;
	case STANDIN_BUSY_LIAR:
		http1_reply(c, 503, headers, "", 0);
		break;
	case STANDIN_UNMARKED:
		http1_reply(c, 200, NULL, body, strlen(body));
		break;
	case STANDIN_ENCODED:
		strcat(headers, "content-encoding: gzip\r\n");
		http1_reply(c, 200, headers, body, strlen(body));
		break;
	case STANDIN_UNFRAMED:
		http1_reply_unframed(c, 200, headers, body, strlen(body));
		break;
	case STANDIN_BREAKS:
		http1_abort(c);
		break;
	case STANDIN_SILENT:
		break;
	case STANDIN_OTHER:
		http1_reply(c, 421, "instance-id: i-else\r\n", "", 0);
		break;
	}
}

/* Begins a stream, or goes on with one after an event. */
static void serve_stream(struct standin_worker *worker, struct http1_conn *c,
			 struct standin_arrival *a, const char *id)
{
	struct standin_stream *s = xcalloc(1, sizeof(*s));
	const char *after = strstr(a->head, "\nlast-event-id: ");
	char headers[256];

	a->ran = true;
	s->conn = c;
	s->worker = worker;
	s->arrival = a;
	s->next_event = after ? atoi(after + 16) + 1 : 1;
	s->next = worker->world->streams;
	worker->world->streams = s;
	snprintf(headers, sizeof(headers),
		 MARK "content-type: text/event-stream\r\nrequest-id: %s\r\n%s",
		 id, words_of(worker));
	http1_set_owner(c, s);
	http1_stream_begin(c, 200, headers);
	uv_timer_init(harness_loop(worker->world->harness), &s->timer);
	s->timer.data = s;
	uv_timer_start(&s->timer, on_event, worker->world->event_ms,
		       worker->world->event_ms);
}

/* Notes how long ago the event before was written. */
static void note_gap(struct standin_stream *s)
{
	struct standin_world *w = s->worker->world;
	uint64_t now = uv_now(harness_loop(w->harness));

	if (s->written_ms && now - s->written_ms > w->longest_gap_ms)
		w->longest_gap_ms = now - s->written_ms;
	s->written_ms = now;
}

/* The next event of a stream, or its end. */
static void on_event(uv_timer_t *timer)
{
	struct standin_stream *s = timer->data;
	struct http1_conn *c = s->conn;
	char event[64];

	if (s->worker->mood == STANDIN_TRICKLES && s->next_event > 1) {
		http1_stream_write(c, ":", 1);
		return;
	}
	note_gap(s);
	if (s->next_event <= STANDIN_EVENTS) {
		snprintf(event, sizeof(event), "id: %d\ndata: e%d\n\n",
			 s->next_event, s->next_event);
		s->next_event++;
		http1_stream_write(c, event, strlen(event));
		return;
	}
	http1_set_owner(c, NULL);
	http1_stream_end(c);
	stream_end(s);
}

static void on_timer_closed(uv_handle_t *h)
{
	free(h->data);
}

/* Forgets a stream. */
static void stream_end(struct standin_stream *s)
{
	struct standin_stream **p = &s->worker->world->streams;

	while (*p != s)
		p = &(*p)->next;
	*p = s->next;
	uv_timer_stop(&s->timer);
	uv_close((uv_handle_t *)&s->timer, on_timer_closed);
}

/* Returns a header's value, or "", which the caller frees. */
static char *header_value(const struct http1_request *r, const char *name)
{
	const struct http1_header *h = http1_find_header(&r->head, name);

	return h ? xstrndup(h->value, h->value_len) : xstrdup("");
}
