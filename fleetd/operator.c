/*
 * HTTP interface for operators: configuration, status, draining, counters.
 * Responses are JSON; an error response has a sentence that says which
 * operation failed and why.
 */
#include "fleetd/operator.h"

#include <bsd/stdlib.h>
#include <bsd/string.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fleetd/commit.h"
#include "fleetd/confsync.h"
#include "fleetd/gossip.h"
#include "fleetd/listing.h"
#include "fleetd/roster.h"
#include "fleetd/status.h"
#include "lib/counters.h"
#include "lib/httpd.h"
#include "lib/ident.h"
#include "lib/xalloc.h"

#define CONFIG_FILE_MAX_BYTES (6u << 20) /* in the body of a request */

struct operator_server {
	struct httpd *server;
};

/* A request whose response is sent later.  The caller may close the connection
 * before that. */
struct deferred {
	struct fleetd *f;
	struct httpd_req *req; /* NULL after the caller closed the connection */
	bool drains_instance; /* not an endpoint, and not an undo */
	char *name; /* what is drained, or NULL */
};

static void handle_health(struct httpd_req *req, void *arg);
static void handle_counters(struct httpd_req *req, void *arg);
static void handle_config(struct httpd_req *req, void *arg);
static void handle_plan(struct httpd_req *req, void *arg);
static void handle_status(struct httpd_req *req, void *arg);
static void handle_drain(struct httpd_req *req, void *arg);
static void get_config(struct fleetd *f, struct httpd_req *req);
static void post_config(struct fleetd *f, struct httpd_req *req);
static bool is_utf8(const char *text);
static struct config *parse_body(struct httpd_req *req);
static void on_committed(void *arg, const struct commit_result *result);
static void reply_conflict(struct httpd_req *req,
			   const struct commit_result *result);
static void on_drained(void *arg, enum drain_result result);
static void reply_json(struct httpd_req *req, int status, json_t *body);
static void reply_error(struct httpd_req *req, int status, const char *text);
static bool require_method(struct httpd_req *req, const char *method);
static struct deferred *defer(struct fleetd *f, struct httpd_req *req);
static void on_caller_closed(void *arg);
static struct httpd_req *deferred_finish(struct deferred *d);
static bool check_drain_target(struct fleetd *f, struct httpd_req *req,
			       const char *endpoint, const char *instance);

static const struct httpd_route routes[] = {
	{ .path = "/health", .handle = handle_health },
	{ .path = "/counters", .handle = handle_counters },
	{ .path = "/v1/config", .handle = handle_config },
	{ .path = "/v1/plan", .handle = handle_plan },
	{ .path = "/v1/status", .handle = handle_status },
	{ .path = "/v1/drain", .handle = handle_drain },
	{ .path = NULL },
};

/* Listens on the operators' address.  Returns NULL with a message in err on
 * failure. */
struct operator_server *operator_new(struct fleetd *f, char *err,
				     size_t err_size)
{
	const struct httpd_options options = {
		.routes = routes,
		.arg = f,
		.max_body = CONFIG_FILE_MAX_BYTES,
	};
	struct operator_server *o = xcalloc(1, sizeof(*o));

	o->server = httpd_new(f->loop, &options);
	if (httpd_listen(o->server, f->settings->operator_address, err,
			 err_size) < 0) {
		operator_free(o);
		return NULL;
	}
	return o;
}

/* Stops accepting connections and shuts down the open ones. */
void operator_stop(struct fleetd *f)
{
	httpd_stop_listening(f->operator->server);
	httpd_shutdown(f->operator->server);
}

void operator_free(struct operator_server *o)
{
	httpd_free(o->server);
	free(o);
}

/* GET /health: whether this instance is serving or leaving. */
static void handle_health(struct httpd_req *req, void *arg)
{
	struct fleetd *f = arg;

	if (require_method(req, "GET"))
		httpd_reply_json(req, 200, "{\"status\":\"%s\"}\n",
				 f->leaving ? "leaving" : "serving");
}

/* GET /counters: the counters as text. */
static void handle_counters(struct httpd_req *req, void *arg)
{
	size_t len;
	char *text;

	(void)arg;
	if (!require_method(req, "GET"))
		return;
	text = counters_text(&len);
	httpd_reply(req, 200, "text/plain; version=0.0.4", text, len);
	free(text);
}

/* GET and POST /v1/config. */
static void handle_config(struct httpd_req *req, void *arg)
{
	if (!strcmp(httpd_method(req), "POST"))
		post_config(arg, req);
	else if (require_method(req, "GET"))
		get_config(arg, req);
}

/* Replies with the configuration in force. */
static void get_config(struct fleetd *f, struct httpd_req *req)
{
	if (!f->config) {
		reply_error(req, 404, "no configuration is in force yet");
		return;
	}
	reply_json(req, 200,
		   json_pack("{s:I, s:s, s:s%}", "version",
			     (json_int_t)f->config->version, "author",
			     confsync_author(f), "file", f->config->text,
			     f->config->text_len));
}

/* Submits the file in the body as the version that follows ?base=. */
static void post_config(struct fleetd *f, struct httpd_req *req)
{
	char author[CONFIG_AUTHOR_MAX] = "unknown";
	const char *why = "missing";
	struct config *config;
	char base[24] = "";
	int64_t number = 0;

	httpd_query_get(req, "author", author, sizeof(author));
	if (!is_utf8(author)) {
		reply_error(req, 400, "the query's author= is not UTF-8");
		return;
	}
	if (httpd_query_get(req, "base", base, sizeof(base)))
		number = strtonum(base, 0, INT64_MAX - 1, &why);
	if (why) {
		reply_error(req, 400,
			    "the query must have base=, the version that the "
			    "file is meant to follow");
		return;
	}
	config = parse_body(req);
	if (config)
		commit_start(f, config, (uint64_t)number, author, on_committed,
			     defer(f, req));
}

/* Returns true if the text is valid UTF-8, which a JSON string must be. */
static bool is_utf8(const char *text)
{
	json_t *json = json_string(text);
	bool ok = json != NULL;

	json_decref(json);
	return ok;
}

/* Parses the body as a configuration file.  Replies with the error and returns
 * NULL if it is invalid. */
static struct config *parse_body(struct httpd_req *req)
{
	char name[256] = "file";
	struct config *config;
	const char *body;
	char err[512];
	size_t len;

	httpd_query_get(req, "file", name, sizeof(name));
	body = httpd_body(req, &len);
	config = config_parse(body, len, name, 0, err, sizeof(err));
	if (!config)
		reply_error(req, 422, err);
	return config;
}

/* Replies with the result of a submitted configuration. */
static void on_committed(void *arg, const struct commit_result *result)
{
	struct httpd_req *req = deferred_finish(arg);

	if (!req)
		return;
	switch (result->outcome) {
	case COMMIT_ACCEPTED:
		httpd_reply_json(req, 200, "{\"version\":%" PRIu64 "}\n",
				 result->version);
		break;
	case COMMIT_LOST:
		reply_conflict(req, result);
		break;
	case COMMIT_NOT_ACCEPTED:
		reply_json(req, 503,
			   json_pack("{s:s, s:s}", "error", result->reason,
				     "accepted", "no"));
		break;
	case COMMIT_UNKNOWN:
		reply_json(req, 503,
			   json_pack("{s:s, s:s, s:I}", "error", result->reason,
				     "accepted", "unknown", "version",
				     (json_int_t)result->version));
		break;
	}
}

/* Replies with the latest accepted version after a conflicting commit. */
static void reply_conflict(struct httpd_req *req,
			   const struct commit_result *result)
{
	char *text;

	if (result->version)
		text = xasprintf("not accepted: version %" PRIu64
				 " by %s stands at the head",
				 result->version, result->author);
	else
		text = xstrdup("not accepted: no version has been accepted "
			       "yet, so base must be 0");
	reply_json(req, 409,
		   json_pack("{s:s, s:s, s:I}", "error", text, "who",
			     result->author, "version",
			     (json_int_t)result->version));
	free(text);
}

/* POST /v1/plan: what the file in the body would change. */
static void handle_plan(struct httpd_req *req, void *arg)
{
	struct config *config;

	if (!require_method(req, "POST"))
		return;
	config = parse_body(req);
	if (!config)
		return;
	reply_json(req, 200, status_plan(arg, config));
	config_unref(config);
}

/* GET /v1/status: the state of the fleet as this instance sees it. */
static void handle_status(struct httpd_req *req, void *arg)
{
	if (require_method(req, "GET"))
		reply_json(req, 200, status_json(arg));
}

/* POST /v1/drain: drains an endpoint or instance, or undoes a drain. */
static void handle_drain(struct httpd_req *req, void *arg)
{
	const char *endpoint = NULL;
	const char *instance = NULL;
	struct deferred *d;
	json_t *root;
	size_t len;
	const char *body;
	int undo = 0;

	if (!require_method(req, "POST"))
		return;
	body = httpd_body(req, &len);
	root = json_loadb(body, len, 0, NULL);
	if (!root ||
	    json_unpack(root, "{s?s, s?s, s?b !}", "endpoint", &endpoint,
			"instance", &instance, "undo", &undo) ||
	    !endpoint == !instance) {
		reply_error(req, 400,
			    "the body must be {\"endpoint\": NAME} or "
			    "{\"instance\": NAME}, with \"undo\": true or not");
		goto out;
	}
	if (!check_drain_target(arg, req, endpoint, instance))
		goto out;
	d = defer(arg, req);
	d->drains_instance = instance && !undo;
	d->name = xstrdup(instance ? instance : endpoint);
	drain_request(arg, instance ? DRAIN_OF_INSTANCE : DRAIN_OF_ENDPOINT,
		      d->name, undo, on_drained, d);
out:
	json_decref(root);
}

/* Returns true if the endpoint or instance to drain exists; otherwise replies
 * with an error. */
static bool check_drain_target(struct fleetd *f, struct httpd_req *req,
			       const char *endpoint, const char *instance)
{
	if (endpoint &&
	    (!f->config || !config_endpoint_by_name(f->config, endpoint))) {
		reply_error(req, 404, "no such endpoint is configured");
		return false;
	}
	if (instance && !roster_find(f->roster, name_id(instance))) {
		reply_error(req, 404, "no such instance is known");
		return false;
	}
	return true;
}

/* Replies with the result of a drain request; notifies a drained instance. */
static void on_drained(void *arg, enum drain_result result)
{
	struct deferred *d = arg;
	struct httpd_req *req;

	if (result == DRAIN_DONE && d->drains_instance)
		gossip_request_leave_check(d->f, name_id(d->name));
	req = deferred_finish(d);
	if (!req)
		return;
	if (result == DRAIN_DONE)
		httpd_reply_json(req, 200, "{\"done\":true}\n");
	else if (result == DRAIN_FAILED)
		reply_error(req, 503,
			    "the platform's table does not answer; nothing "
			    "has changed");
	else
		reply_error(req, 503,
			    "the platform's answer was lost; ask again, which "
			    "does no harm");
}

/* Replies with a JSON body and releases it. */
static void reply_json(struct httpd_req *req, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	httpd_reply(req, status, "application/json", text ? text : "{}",
		    text ? strlen(text) : 2);
	free(text);
	json_decref(body);
}

static void reply_error(struct httpd_req *req, int status, const char *text)
{
	reply_json(req, status, json_pack("{s:s}", "error", text));
}

/* Returns true if the request has the method; otherwise replies with 405. */
static bool require_method(struct httpd_req *req, const char *method)
{
	if (!strcmp(httpd_method(req), method))
		return true;
	httpd_add_header(req, "allow", method);
	reply_error(req, 405, "the path does not take this method");
	return false;
}

/* Keeps the request for a later response. */
static struct deferred *defer(struct fleetd *f, struct httpd_req *req)
{
	struct deferred *d = xcalloc(1, sizeof(*d));

	d->f = f;
	d->req = req;
	httpd_on_close(req, on_caller_closed, d);
	return d;
}

/* The caller closed the connection before the response was sent. */
static void on_caller_closed(void *arg)
{
	struct deferred *d = arg;

	d->req = NULL;
}

/* Frees the record.  Returns the request, or NULL if the caller has closed the
 * connection. */
static struct httpd_req *deferred_finish(struct deferred *d)
{
	struct httpd_req *req = d->req;

	if (req)
		httpd_on_close(req, NULL, NULL);
	free(d->name);
	free(d);
	return req;
}
