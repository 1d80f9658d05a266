/*
 * A stand-in for the platform: the table, the object store, the delayed list
 * of instances and the rate-limited weight store, with configurable outages
 * and lost answers.
 */
#include <math.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "emulator/standin.h"
#include "emulator/table.h"
#include "lib/counters.h"
#include "lib/xalloc.h"

enum outage {
	OUTAGE_NONE,
	OUTAGE_REFUSE,
	OUTAGE_SILENT,
};

/* A token bucket that holds at most the tokens of one second. */
struct bucket {
	double level;
	double refilled_ms;
};

struct platform_state {
	struct standin standin;
	int outage;
	double slow_ms;
	int64_t lose_answers;
	int64_t read_limit;
	int64_t write_limit;
	double list_lag_ms;
	int64_t weight_bytes_per_s;
	int64_t weight_wait_max_ms;
	struct table table;
	json_t *objects; /* name: content */
	json_t *instances; /* name: entry, as currently listed */
	json_t *changes; /* to the list, not visible yet */
	struct bucket reads;
	struct bucket writes;
	double weights_free_ms; /* when the weight store becomes idle */
};

static void handle_any(struct httpd_req *req, void *arg);
static void serve(struct httpd_req *req, void *arg);
static bool bucket_take(struct bucket *b, int64_t per_second);
static bool is_write(const struct httpd_req *req);
static void answer(struct platform_state *p, struct httpd_req *req, int status,
		   json_t *body);
static void send_delayed(struct httpd_req *req, void *arg);
static void serve_write(struct platform_state *p, struct httpd_req *req);
static void serve_row(struct platform_state *p, struct httpd_req *req);
static void serve_scan(struct platform_state *p, struct httpd_req *req);
static void serve_object(struct platform_state *p, struct httpd_req *req);
static void serve_instances(struct platform_state *p, struct httpd_req *req);
static void serve_weights(struct platform_state *p, struct httpd_req *req);
static void apply_due_changes(struct platform_state *p);
static bool change_instance(void *target, const json_t *value, char *err,
			    size_t err_size);
static void start(struct standin *s);
static void release(void *target);

static struct counter read_counter = {
	.name = "platform_reads_total",
	.help = "Reads of the table and the object store",
	.kind = COUNTER_TOTAL,
};
static struct counter write_counter = {
	.name = "platform_writes_total",
	.help = "Writes to the table and the object store",
	.kind = COUNTER_TOTAL,
};
static struct counter conflict_counter = {
	.name = "platform_conflicts_total",
	.help = "Writes whose condition did not hold",
	.kind = COUNTER_TOTAL,
};
static struct counter limited_counter = {
	.name = "platform_limited_total",
	.help = "Requests refused for their rate",
	.kind = COUNTER_TOTAL,
};
static struct counter lost_counter = {
	.name = "platform_lost_answers_total",
	.help = "Writes that took effect and whose answers were cut",
	.kind = COUNTER_TOTAL,
};
static struct counter *const counters[] = {
	&read_counter,	  &write_counter, &conflict_counter,
	&limited_counter, &lost_counter,
};

static const char *const outages[] = { "none", "refuse", "silent", NULL };

#define FIELD(name) offsetof(struct platform_state, name)
static const struct standin_setting settings[] = {
	{ .name = "outage",
	  .type = STANDIN_CHOICE,
	  .offset = FIELD(outage),
	  .choices = outages,
	  .help = "none, refuse (503 at once) or silent" },
	{ .name = "slow_ms",
	  .type = STANDIN_DECIMAL,
	  .offset = FIELD(slow_ms),
	  .max = 3600000,
	  .help = "Time from a request's effect to its answer" },
	{ .name = "lose_answers",
	  .type = STANDIN_INTEGER,
	  .offset = FIELD(lose_answers),
	  .max = 1e9,
	  .help = "Cut the answers of the next writes, which take effect" },
	{ .name = "read_limit",
	  .type = STANDIN_INTEGER,
	  .offset = FIELD(read_limit),
	  .max = 1e9,
	  .help = "Reads a second; 0 for no limit" },
	{ .name = "write_limit",
	  .type = STANDIN_INTEGER,
	  .offset = FIELD(write_limit),
	  .max = 1e9,
	  .help = "Writes a second; 0 for no limit" },
	{ .name = "list_lag_ms",
	  .type = STANDIN_DECIMAL,
	  .offset = FIELD(list_lag_ms),
	  .max = 3600000,
	  .help = "Time until the instance list shows a change" },
	{ .name = "weight_bytes_per_s",
	  .type = STANDIN_INTEGER,
	  .offset = FIELD(weight_bytes_per_s),
	  .min = 1,
	  .max = 1e12,
	  .help = "Rate of the weight store" },
	{ .name = "weight_wait_max_ms",
	  .type = STANDIN_INTEGER,
	  .offset = FIELD(weight_wait_max_ms),
	  .max = 3600000,
	  .help = "Longest wait at the weight store; beyond: 429" },
	{ .name = "instance", .type = STANDIN_ACTION, .act = change_instance },
	{ .name = NULL },
};

static const struct httpd_route routes[] = {
	{ "/", handle_any },
	{ NULL, NULL },
};

/* Handles any request, subject to outages and rate limits. */
static void handle_any(struct httpd_req *req, void *arg)
{
	struct platform_state *p = ((struct standin *)arg)->target;
	bool write = is_write(req);

	if (p->outage == OUTAGE_SILENT) {
		standin_hold(arg, req, INFINITY, serve, p);
		return;
	}
	if (p->outage == OUTAGE_REFUSE) {
		standin_error(req, 503, "the platform is out of service");
		return;
	}
	if (!bucket_take(write ? &p->writes : &p->reads,
			 write ? p->write_limit : p->read_limit)) {
		counter_add(&limited_counter, 1);
		standin_error(req, 429, "more %s than %lld a second",
			      write ? "writes" : "reads",
			      (long long)(write ? p->write_limit
						: p->read_limit));
		return;
	}
	counter_add(write ? &write_counter : &read_counter, 1);
	serve(req, p);
}

/* Dispatches a request by its path; req is NULL if the caller disconnected. */
static void serve(struct httpd_req *req, void *arg)
{
	static const struct {
		const char *path;
		void (*serve)(struct platform_state *p, struct httpd_req *req);
	} paths[] = {
		{ "/table/write", serve_write },
		{ "/table/row", serve_row },
		{ "/table/scan", serve_scan },
		{ "/instances", serve_instances },
		{ "/weights/fetch", serve_weights },
	};
	struct platform_state *p = arg;
	size_t i;

	if (!req)
		return;
	if (strncmp(httpd_path(req), "/objects/", 9) == 0) {
		serve_object(p, req);
		return;
	}
	for (i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
		if (strcmp(httpd_path(req), paths[i].path) == 0) {
			paths[i].serve(p, req);
			return;
		}
	}
	standin_error(req, 404, "no such path: %s", httpd_path(req));
}

/* Takes one token from a bucket; false if it is empty. */
static bool bucket_take(struct bucket *b, int64_t per_second)
{
	double now = standin_now_ms();

	if (per_second <= 0)
		return true;
	b->level += (now - b->refilled_ms) / 1000 * (double)per_second;
	b->refilled_ms = now;
	if (b->level > (double)per_second)
		b->level = (double)per_second;
	if (b->level < 1)
		return false;
	b->level -= 1;
	return true;
}

/* Returns whether a request counts as a write. */
static bool is_write(const struct httpd_req *req)
{
	return strcmp(httpd_path(req), "/table/write") == 0 ||
	       strcmp(httpd_method(req), "PUT") == 0;
}

/* An answer that is sent later. */
struct delayed_answer {
	int status;
	json_t *body;
};

/* Answers after slow_ms; the request has already taken effect. */
static void answer(struct platform_state *p, struct httpd_req *req, int status,
		   json_t *body)
{
	struct delayed_answer *late;

	if (p->slow_ms <= 0) {
		standin_reply(req, status, body);
		return;
	}
	late = xcalloc(1, sizeof(*late));
	*late = (struct delayed_answer){ .status = status, .body = body };
	standin_hold(&p->standin, req, standin_now_ms() + p->slow_ms,
		     send_delayed, late);
}

/* Sends a delayed answer, or drops it if req is NULL. */
static void send_delayed(struct httpd_req *req, void *arg)
{
	struct delayed_answer *late = arg;

	if (req)
		standin_reply(req, late->status, late->body);
	else
		json_decref(late->body);
	free(late);
}

/* POST /table/write */
static void serve_write(struct platform_state *p, struct httpd_req *req)
{
	json_t *request = standin_body(req);
	json_t *result;
	enum table_outcome outcome;

	if (!request)
		return;
	outcome = table_write(&p->table, request, &result);
	json_decref(request);
	if (outcome == TABLE_MALFORMED) {
		standin_error(req, 400,
			      "a nonce and writes of key, value and "
			      "if_version are needed");
	} else if (outcome == TABLE_CONFLICT) {
		counter_add(&conflict_counter, 1);
		answer(p, req, 409, result);
	} else if (p->lose_answers > 0) {
		p->lose_answers--;
		counter_add(&lost_counter, 1);
		json_decref(result);
		standin_abort(req);
	} else {
		answer(p, req, 200, result);
	}
}

/* GET /table/row?key=K */
static void serve_row(struct platform_state *p, struct httpd_req *req)
{
	char key[1024];
	json_t *row;

	if (!httpd_query_get(req, "key", key, sizeof(key))) {
		standin_error(req, 400, "the query needs a key");
		return;
	}
	row = table_row(&p->table, key);
	if (row)
		answer(p, req, 200, row);
	else
		answer(p, req, 404,
		       json_pack("{s:s}", "error", "there is no such row"));
}

/* GET /table/scan?prefix=P */
static void serve_scan(struct platform_state *p, struct httpd_req *req)
{
	char prefix[1024] = "";

	httpd_query_get(req, "prefix", prefix, sizeof(prefix));
	answer(p, req, 200,
	       json_pack("{s:o}", "rows", table_scan(&p->table, prefix)));
}

/* GET and PUT /objects/NAME */
static void serve_object(struct platform_state *p, struct httpd_req *req)
{
	const char *name = httpd_path(req) + strlen("/objects/");
	json_t *object = json_object_get(p->objects, name);
	size_t len;
	const char *body;

	if (strcmp(httpd_method(req), "PUT") == 0) {
		body = httpd_body(req, &len);
		json_object_set_new(p->objects, name,
				    json_stringn_nocheck(body, len));
		answer(p, req, 200, json_object());
	} else if (object) {
		httpd_reply(req, 200, "application/octet-stream",
			    json_string_value(object),
			    json_string_length(object));
	} else {
		answer(p, req, 404,
		       json_pack("{s:s}", "error", "there is no such object"));
	}
}

/* GET /instances */
static void serve_instances(struct platform_state *p, struct httpd_req *req)
{
	json_t *list = json_array();
	const char *name;
	json_t *entry;

	apply_due_changes(p);
	json_object_foreach(p->instances, name, entry)
		json_array_append(list, entry);
	answer(p, req, 200, json_pack("{s:o}", "instances", list));
}

/* POST /weights/fetch: fetches are served one after another. */
static void serve_weights(struct platform_state *p, struct httpd_req *req)
{
	json_t *request = standin_body(req);
	double now = standin_now_ms();
	double begin = fmax(now, p->weights_free_ms);
	double bytes;
	double wait;

	if (!request)
		return;
	bytes = json_number_value(json_object_get(request, "bytes"));
	json_decref(request);
	if (bytes <= 0) {
		standin_error(req, 400, "bytes has to be above 0");
		return;
	}
	wait = begin - now + bytes * 1000 / (double)p->weight_bytes_per_s;
	if (begin - now > (double)p->weight_wait_max_ms) {
		counter_add(&limited_counter, 1);
		standin_error(req, 429, "the weight store is busy for %.0f ms",
			      begin - now);
		return;
	}
	p->weights_free_ms = now + wait;
	answer(p, req, 200,
	       json_pack("{s:I}", "wait_ms", (json_int_t)ceil(wait)));
}

/* Applies the changes to the instance list whose lag is over. */
static void apply_due_changes(struct platform_state *p)
{
	double now = standin_now_ms();

	while (json_array_size(p->changes)) {
		json_t *change = json_array_get(p->changes, 0);
		json_t *entry = json_object_get(change, "entry");
		const char *name =
			json_string_value(json_object_get(entry, "name"));

		if (json_real_value(json_object_get(change, "made_ms")) +
			    p->list_lag_ms >
		    now)
			break;
		if (json_is_true(json_object_get(entry, "gone")))
			json_object_del(p->instances, name);
		else if (json_object_get(p->instances, name))
			json_object_update(json_object_get(p->instances, name),
					   entry);
		else
			json_object_set(p->instances, name, entry);
		json_array_remove(p->changes, 0);
	}
}

/* Queues a change to the instance list, visible after list_lag_ms. */
static bool change_instance(void *target, const json_t *value, char *err,
			    size_t err_size)
{
	struct platform_state *p = target;

	if (!json_is_string(json_object_get(value, "name"))) {
		snprintf(err, err_size, "an instance needs a name");
		return false;
	}
	json_array_append_new(p->changes, json_pack("{s:f, s:o}", "made_ms",
						    standin_now_ms(), "entry",
						    json_deep_copy(value)));
	return true;
}

/* Initializes empty stores. */
static void start(struct standin *s)
{
	struct platform_state *p = s->target;
	size_t i;

	table_init(&p->table);
	p->objects = json_object();
	p->instances = json_object();
	p->changes = json_array();
	p->reads.level = (double)p->read_limit;
	p->writes.level = (double)p->write_limit;
	for (i = 0; i < sizeof(counters) / sizeof(counters[0]); i++)
		counter_register(counters[i]);
}

/* Frees the stores. */
static void release(void *target)
{
	struct platform_state *p = target;

	table_release(&p->table);
	json_decref(p->objects);
	json_decref(p->instances);
	json_decref(p->changes);
}

int main(int argc, char **argv)
{
	struct platform_state platform = {
		.weight_bytes_per_s = 1000000000,
		.weight_wait_max_ms = 60000,
		.standin = {
			.program = "platformd",
			.doc = "Stand-in for the platform's table, objects, "
			       "instance list and weight store.",
			.settings = settings,
			.target = &platform,
			.routes = routes,
			.start = start,
			.release = release,
		},
	};

	return standin_run(&platform.standin, argc, argv);
}
