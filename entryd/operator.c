/*
 * HTTP handlers of the operators' address: health, counters, the events of a
 * request, the counts of the objectives, and the endpoints.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "entryd/api.h"
#include "entryd/calls.h"
#include "entryd/endpoints.h"
#include "entryd/entryd.h"
#include "entryd/fleet.h"
#include "entryd/generation.h"
#include "entryd/journal.h"
#include "entryd/objectives.h"
#include "lib/counters.h"

static void handle_health(struct httpd_req *req, void *arg);
static void handle_counters(struct httpd_req *req, void *arg);
static void handle_explain(struct httpd_req *req, void *arg);
static void handle_burn(struct httpd_req *req, void *arg);
static void handle_endpoints(struct httpd_req *req, void *arg);
static void reply(struct httpd_req *req, int status, json_t *json);

const struct httpd_route operator_routes[] = {
	{ "/health", handle_health },	       { "/counters", handle_counters },
	{ "/v1/explain", handle_explain },     { "/v1/burn", handle_burn },
	{ "/v1/endpoints", handle_endpoints }, { NULL, NULL },
};

/* GET /health: status 503 until there is a configuration. */
static void handle_health(struct httpd_req *req, void *arg)
{
	struct entryd *e = arg;

	reply(req, e->config ? 200 : 503,
	      json_pack("{s:s, s:I, s:s, s:b, s:I, s:I}", "instance",
			e->settings->instance, "config_version",
			(json_int_t)(e->config ? e->config->version : 0),
			"phase", drain_phase_name(e->drain.phase),
			"fleet_connected", fleet_connected(e), "generations",
			(json_int_t)generations_count(e), "calls",
			(json_int_t)calls_count(e)));
}

/* GET /counters: counters in the Prometheus text format. */
static void handle_counters(struct httpd_req *req, void *arg)
{
	size_t len;
	char *text = counters_text(&len);

	(void)arg;
	httpd_reply(req, 200, "text/plain; version=0.0.4", text, len);
	free(text);
}

/* GET /v1/explain?request=ID: the recorded events of a request. */
static void handle_explain(struct httpd_req *req, void *arg)
{
	struct entryd *e = arg;
	char request[64];
	json_t *events;

	if (!httpd_query_get(req, "request", request, sizeof(request))) {
		reply(req, 400,
		      json_pack("{s:s}", "error",
				"give the request's id as ?request=ID"));
		return;
	}
	events = journal_events(e->journal, request);
	reply(req, json_array_size(events) ? 200 : 404,
	      json_pack("{s:s, s:o}", "request", request, "events", events));
}

/* GET /v1/burn: counts of each objective per minute. */
static void handle_burn(struct httpd_req *req, void *arg)
{
	reply(req, 200, json_pack("{s:o}", "objectives", objectives_json(arg)));
}

/* GET /v1/endpoints: the endpoints as this process sees them. */
static void handle_endpoints(struct httpd_req *req, void *arg)
{
	reply(req, 200, json_pack("{s:o}", "endpoints", endpoints_status(arg)));
}

/* Answers with JSON, and frees it. */
static void reply(struct httpd_req *req, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	httpd_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(json);
}
