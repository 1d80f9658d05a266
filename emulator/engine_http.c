/*
 * The HTTP interface of the stand-in engine.
 */
#include "emulator/engine.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define STREAM_PATH "/v1/streams/"
#define PRIORITY_MAX 9

static void handle_any(struct httpd_req *req, void *arg);
static void serve(struct engine *e, struct httpd_req *req);
static void serve_start(struct engine *e, struct httpd_req *req);
static bool read_request(const json_t *body, struct stream_request *r);
static bool read_number(const json_t *body, const char *name, uint64_t max,
			uint64_t *value);
static void serve_stream(struct engine *e, struct httpd_req *req);
static void serve_attach(struct engine *e, struct httpd_req *req,
			 const char *name);
static void serve_load(struct engine *e, struct httpd_req *req);
static void serve_cache_events(struct engine *e, struct httpd_req *req);
static void serve_orders(struct engine *e, struct httpd_req *req);
static void serve_runs(struct engine *e, struct httpd_req *req);
static bool query_number(struct httpd_req *req, const char *name,
			 uint64_t *value);

const struct httpd_route engine_routes[] = {
	{ "/v1/", handle_any },
	{ NULL, NULL },
};

/* Handles a request, or holds it while the engine is stalled.  req is NULL if
 * the caller of a held request disconnected. */
static void handle_any(struct httpd_req *req, void *arg)
{
	struct engine *e = ((struct standin *)arg)->target;

	if (!req)
		return;
	if (e->hang)
		standin_hold(arg, req, INFINITY, handle_any, arg);
	else if (engine_stalled(e))
		standin_hold(arg, req, e->paused_until_ms, handle_any, arg);
	else
		serve(e, req);
}

/* Dispatches a request by its path. */
static void serve(struct engine *e, struct httpd_req *req)
{
	static const struct {
		const char *path;
		void (*serve)(struct engine *e, struct httpd_req *req);
	} paths[] = {
		{ "/v1/streams", serve_start },
		{ "/v1/load", serve_load },
		{ "/v1/cache-events", serve_cache_events },
		{ "/v1/orders", serve_orders },
		{ "/v1/runs", serve_runs },
	};
	const char *path = httpd_path(req);
	size_t i;

	if (strncmp(path, STREAM_PATH, strlen(STREAM_PATH)) == 0) {
		serve_stream(e, req);
		return;
	}
	for (i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
		if (strcmp(path, paths[i].path) == 0) {
			paths[i].serve(e, req);
			return;
		}
	}
	standin_error(req, 404, "no such path: %s", path);
}

/* POST /v1/streams: starts a stream. */
static void serve_start(struct engine *e, struct httpd_req *req)
{
	json_t *body = standin_body(req);
	struct stream_request r;
	struct stream *st;

	if (!body)
		return;
	if (!read_request(body, &r)) {
		standin_error(req, 400,
			      "a stream needs stream, prompt and "
			      "max_tokens; text, position and "
			      "priority have to fit");
		json_decref(body);
		return;
	}
	switch (engine_add(e, &r, &st)) {
	case ADD_DONE:
		reader_attach(e, st, req, r.position);
		break;
	case ADD_NAME_TAKEN:
		standin_error(req, 409, "there is a stream of this name");
		break;
	case ADD_QUEUE_FULL:
		standin_error(req, 429, "the queue is full");
		break;
	}
	json_decref(body);
}

/* Parses the body of a start request; the strings point into the body. */
static bool read_request(const json_t *body, struct stream_request *r)
{
	const json_t *name = json_object_get(body, "stream");
	const json_t *prompt = json_object_get(body, "prompt");
	const json_t *text = json_object_get(body, "text");
	uint64_t priority;

	*r = (struct stream_request){
		.name = json_string_value(name),
		.prompt = json_string_value(prompt),
		.prompt_len = json_string_length(prompt),
		.text = json_is_string(text) ? json_string_value(text) : "",
		.text_len = json_string_length(text),
	};
	if (!r->name || !*r->name || !r->prompt ||
	    (text && !json_is_string(text)) ||
	    !json_object_get(body, "max_tokens") ||
	    !read_number(body, "max_tokens", INT64_MAX, &r->max_tokens) ||
	    !read_number(body, "position", INT64_MAX, &r->position) ||
	    !read_number(body, "priority", PRIORITY_MAX, &priority))
		return false;
	r->priority = (int)priority;
	return (r->position == 0) == (r->text_len == 0);
}

/* Parses an integer in [0, max]; a missing one is 0. */
static bool read_number(const json_t *body, const char *name, uint64_t max,
			uint64_t *value)
{
	const json_t *number = json_object_get(body, name);

	*value = (uint64_t)json_integer_value(number);
	return !number || (json_is_integer(number) &&
			   json_integer_value(number) >= 0 && *value <= max);
}

/* GET /v1/streams/NAME attaches a reader, DELETE cancels the stream. */
static void serve_stream(struct engine *e, struct httpd_req *req)
{
	const char *name = httpd_path(req) + strlen(STREAM_PATH);
	struct stream *st;

	if (strcmp(httpd_method(req), "DELETE") != 0) {
		serve_attach(e, req, name);
		return;
	}
	st = engine_find(e, name);
	if (st)
		engine_remove(e, st);
	standin_reply(req, 200, json_pack("{s:b}", "found", st != NULL));
}

/* Attaches a request as the reader of a stream. */
static void serve_attach(struct engine *e, struct httpd_req *req,
			 const char *name)
{
	struct stream *st = engine_find(e, name);
	uint64_t from;

	if (!query_number(req, "from", &from))
		standin_error(req, 400, "from has to be a position");
	else if (!st)
		standin_error(req, 404, "no stream has this name");
	else
		reader_attach(e, st, req, from);
}

/* GET /v1/load */
static void serve_load(struct engine *e, struct httpd_req *req)
{
	standin_reply(req, 200, engine_load(e));
}

/* GET /v1/cache-events?since=SEQ */
static void serve_cache_events(struct engine *e, struct httpd_req *req)
{
	uint64_t since;

	if (!query_number(req, "since", &since))
		standin_error(req, 400, "since has to be a number");
	else
		standin_reply(req, 200, cache_events(&e->cache, since));
}

/* POST /v1/orders executes an order, GET returns the orders executed. */
static void serve_orders(struct engine *e, struct httpd_req *req)
{
	json_t *body;

	if (strcmp(httpd_method(req), "POST") != 0) {
		standin_reply(req, 200, orders_state(&e->orders));
		return;
	}
	body = standin_body(req);
	if (!body)
		return;
	switch (orders_apply(&e->orders, body, e->check_fencing)) {
	case ORDER_DONE:
		standin_reply(req, 200,
			      json_pack("{s:I}", "fence",
					(json_int_t)e->orders.fence));
		break;
	case ORDER_STALE:
		standin_reply(req, 409,
			      json_pack("{s:s, s:I}", "error",
					"the fencing number is too low",
					"fence", (json_int_t)e->orders.fence));
		break;
	case ORDER_MALFORMED:
		standin_error(req, 400, "not an order");
		break;
	}
	json_decref(body);
}

/* GET /v1/runs */
static void serve_runs(struct engine *e, struct httpd_req *req)
{
	standin_reply(req, 200, json_pack("{s:O}", "runs", e->runs));
}

/* Parses a number in the query; a missing one is 0. */
static bool query_number(struct httpd_req *req, const char *name,
			 uint64_t *value)
{
	char text[24];
	char *end;

	*value = 0;
	if (!httpd_query_get(req, name, text, sizeof(text)))
		return strstr(httpd_query(req), name) == NULL;
	errno = 0;
	*value = strtoull(text, &end, 10);
	return !errno && text[0] >= '0' && text[0] <= '9' && !*end;
}
