/*
 * The callers' paths: who calls, what for, and whether it is well formed.
 */
#include "entryd/api.h"

#include <bsd/stdlib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "entryd/calls.h"
#include "entryd/completion.h"
#include "entryd/entryd.h"
#include "entryd/members.h"
#include "entryd/orgs.h"
#include "entryd/problem.h"
#include "entryd/services.h"
#include "lib/ident.h"
#include "lib/xalloc.h"

#define STARTING_RETRY_S 1
#define ANOTHER_ADDRESS_RETRY_S 1

static void handle_entries(struct httpd_req *req, void *arg);
static void handle_completions(struct httpd_req *req, void *arg);
static void handle_chat(struct httpd_req *req, void *arg);
static void handle_services(struct httpd_req *req, void *arg);
static bool accept_work(struct entryd *e, struct httpd_req *req);
static uint32_t find_org(struct entryd *e, struct httpd_req *req);
static bool org_may_use(const struct entryd *e, uint32_t org,
			const char *service);
static void refuse(struct httpd_req *req, int status, const char *title,
		   const char *detail, uint32_t retry_after_s);
static void complete(struct entryd *e, struct httpd_req *req, bool chat);

const struct httpd_route api_routes[] = {
	{ "/v1/entries", handle_entries },
	{ "/v1/completions", handle_completions },
	{ "/v1/chat/completions", handle_chat },
	{ "/services/", handle_services },
	{ NULL, NULL },
};

/* GET /v1/entries: which addresses this organisation's callers should use. */
static void handle_entries(struct httpd_req *req, void *arg)
{
	struct entryd *e = arg;
	uint32_t org = find_org(e, req);
	uint16_t zone = e->zone;
	char name[64];
	json_t *json;
	char *text;

	if (org == ORGS_MAX)
		return;
	if (httpd_query_get(req, "zone", name, sizeof(name)))
		zone = zone_id(name);
	json = json_pack("{s:s, s:I, s:o}", "organisation",
			 org_at(e, org)->name, "ttl_s",
			 (json_int_t)e->config->entries_ttl_s, "entries",
			 members_entries(e, org_at(e, org), zone));
	text = json_dumps(json, JSON_COMPACT);
	httpd_reply(req, 200, "application/json", text, strlen(text));
	free(text);
	json_decref(json);
}

/* POST /v1/completions */
static void handle_completions(struct httpd_req *req, void *arg)
{
	complete(arg, req, false);
}

/* POST /v1/chat/completions */
static void handle_chat(struct httpd_req *req, void *arg)
{
	complete(arg, req, true);
}

/* Any method on /services/NAME/... */
static void handle_services(struct httpd_req *req, void *arg)
{
	struct entryd *e = arg;
	const char *rest = httpd_path(req) + strlen("/services/");
	size_t len = strcspn(rest, "/");
	struct service *service;
	uint32_t org;
	char *name;

	if (!accept_work(e, req))
		return;
	org = find_org(e, req);
	if (org == ORGS_MAX)
		return;
	name = xstrndup(rest, len);
	service = service_by_id(e, name_id(name));
	if (!service || !service->configured ||
	    service->kind != SERVICE_PLAIN || !org_may_use(e, org, name))
		refuse(req, 404, "unknown-service",
		       "There is no such service for this organisation.", 0);
	else
		call_start(e, req, org, service, rest[len] ? rest + len : "/");
	free(name);
}

/* Takes a completion in. */
static void complete(struct entryd *e, struct httpd_req *req, bool chat)
{
	const struct config_service *configured;
	struct generation_params ask;
	struct service *service;
	char why[256];
	char model[128];
	uint32_t org;

	if (!accept_work(e, req))
		return;
	org = find_org(e, req);
	if (org == ORGS_MAX)
		return;
	if (strcmp(httpd_method(req), "POST") != 0) {
		refuse(req, 405, "method", "Completions are asked for by POST.",
		       0);
		return;
	}
	if (!completion_parse(e, req, chat, &ask, model, sizeof(model), why,
			      sizeof(why))) {
		refuse(req, 400, "malformed", why, 0);
		return;
	}
	configured = config_service_by_model(e->config, model);
	if (!configured || !org_may_use(e, org, configured->name)) {
		refuse(req, 404, "unknown-model",
		       "There is no such model for this organisation.", 0);
		generation_params_release(&ask);
		return;
	}
	completion_limit(e, org, &ask);
	service = service_by_id(e, name_id(configured->name));
	generation_start(e, req, org, service, &ask);
}

/* Refuses while nothing can be served here; true if requests are accepted. */
static bool accept_work(struct entryd *e, struct httpd_req *req)
{
	if (!e->config) {
		refuse(req, 503, "starting",
		       "This instance has no configuration yet.",
		       STARTING_RETRY_S);
		return false;
	}
	if (!drain_accepts(&e->drain)) {
		refuse(req, 503, "leaving",
		       "This instance is leaving; ask /v1/entries for "
		       "another address.",
		       ANOTHER_ADDRESS_RETRY_S);
		return false;
	}
	if (httpd_open_requests(e->callers) >
	    (size_t)e->settings->streams_max) {
		refuse(req, 503, "full",
		       "This instance holds as many requests as it may.",
		       ANOTHER_ADDRESS_RETRY_S);
		return false;
	}
	return true;
}

/* Returns the caller's organisation; ORGS_MAX after a refusal. */
static uint32_t find_org(struct entryd *e, struct httpd_req *req)
{
	static const char scheme[] = "Bearer ";
	const char *header = httpd_header(req, "authorization");
	const struct config_organisation *found = NULL;
	uint32_t index = ORGS_MAX;

	if (!e->config) {
		refuse(req, 503, "starting",
		       "This instance has no configuration yet.",
		       STARTING_RETRY_S);
		return ORGS_MAX;
	}
	if (header && !strncmp(header, scheme, sizeof(scheme) - 1))
		found = config_organisation_by_key(e->config,
						   header + sizeof(scheme) - 1);
	if (found)
		index = org_index(e, name_id(found->name));
	if (index == ORGS_MAX)
		refuse(req, 401, "unknown-organisation",
		       "The Authorization header names no organisation: it "
		       "must be \"Bearer\" and the organisation's key.",
		       0);
	return index;
}

/* Tells whether the configuration lets an organisation use a service. */
static bool org_may_use(const struct entryd *e, uint32_t org,
			const char *service)
{
	const struct config_organisation *o =
		&e->config->organisations[org_at(e, org)->config_index];
	size_t i;

	for (i = 0; i < o->services.n; i++)
		if (!strcmp(o->services.items[i], service))
			return true;
	return o->services.n == 0;
}

/* Refuses a request that nothing was done for here.  An earlier copy of it may
 * have run elsewhere. */
static void refuse(struct httpd_req *req, int status, const char *title,
		   const char *detail, uint32_t retry_after_s)
{
	const struct problem problem = {
		.status = status,
		.run = problem_is_first_copy(req) ? RUN_NOT_RUN
						  : RUN_MAY_HAVE_RUN,
		.title = title,
		.detail = detail,
		.retry_after_s = retry_after_s,
	};

	problem_reply(req, &problem);
}
