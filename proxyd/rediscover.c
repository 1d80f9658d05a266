/*
 * Detection of endpoints that restarted while the store was unreachable.  A
 * health check at a known address returns the id of the endpoint that answers
 * there now.  Addresses are reused by other services, so that a new id is
 * accepted only if the address was silent for less than the reuse time, or if a
 * report shows an engine and only one service has engines.
 */
#include "proxyd/rediscover.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/event_log.h"
#include "lib/http1_client.h"
#include "lib/xalloc.h"
#include "policy/endpoint_restart.h"
#include "proxyd/endpoints.h"
#include "proxyd/peers.h"
#include "proxyd/proxyd.h"

#define CONNECT_TIMEOUT_MS 60
#define ANSWER_TIMEOUT_MS 2000 /* reports under load take some hundred */
#define PATH_ANSWER_TIMEOUT_MS 400 /* health checks are answered at once */
#define REPORT_MAX_BYTES 65536

/* Time limit on a connection that was open before: it may have gone silent. */
#define REUSED_ANSWER_TIMEOUT_MS 100

struct rediscovery {
	struct proxyd *proxyd;
	struct handle old;
	char id[ENDPOINT_ID_SIZE]; /* of the endpoint that answers now */
	bool awaiting_report; /* the second of two requests */
	bool awaiting_start; /* only the time of its start is of interest */
	bool path; /* it shows whether there is a path */
	bool may_reuse; /* may be sent on a connection that is open */
	bool reused; /* was sent on one */
	uint64_t sent_ms;
	struct http1_call *call; /* NULL once it has ended */
	uint64_t opened_ms; /* when the connection of the answer was */
	struct http1_moments moments; /* of the request of the answer */
	int status;
	struct bytes body;
};

static void send_get(struct rediscovery *r, const char *address,
		     const char *path);
static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head);
static void on_body(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum http1_outcome outcome);
static bool is_same_endpoint(const struct rediscovery *r,
			     const struct endpoint *e);
static void handle_id(struct rediscovery *r);
static void adopt(struct rediscovery *r, const struct endpoint *old);
static void finish(struct rediscovery *r);

static const struct http1_call_ops ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

/* Queries the id of the endpoint at the address of one that was found dead.
 * Does nothing if its service has no health path. */
void rediscover(struct proxyd *p, struct handle endpoint)
{
	struct endpoint *e = endpoint_get(p->endpoints, endpoint);
	const struct route_service *s =
		e && p->routes ? routes_service(p->routes, e->service) : NULL;
	struct rediscovery *r;

	if (!s || !s->health_path)
		return;
	r = xcalloc(1, sizeof(*r));
	r->proxyd = p;
	r->old = endpoint;
	e->rediscovering = true;
	send_get(r, e->address, s->health_path);
}

/* Asks an endpoint for an answer on a new connection, to see whether there is a
 * path to it.  Returns false if its service has no health path. */
bool rediscover_path(struct proxyd *p, struct handle endpoint)
{
	struct endpoint *e = endpoint_get(p->endpoints, endpoint);
	const struct route_service *s =
		e && p->routes ? routes_service(p->routes, e->service) : NULL;
	struct rediscovery *r;

	if (!s || !s->health_path)
		return false;
	r = xcalloc(1, sizeof(*r));
	r->proxyd = p;
	r->old = endpoint;
	r->path = true;
	e->rediscovering = true;
	send_get(r, e->address, s->health_path);
	return true;
}

/* Asks an endpoint that may have started again when it started, so that it is
 * known whether it runs the listed version; on a connection that is idle if one may be
 * used, and on a new one if that is silent.  A service without engines has no reports;
 * its endpoints are taken at the word of their entries. */
void rediscover_start(struct proxyd *p, struct handle endpoint, bool may_reuse)
{
	struct endpoint *e = endpoint_get(p->endpoints, endpoint);
	const struct route_service *s =
		e && p->routes ? routes_service(p->routes, e->service) : NULL;
	struct rediscovery *r;

	if (!s || !s->engine) {
		endpoint_stated_start(p->endpoints, endpoint, 0, proxyd_now(p));
		return;
	}
	r = xcalloc(1, sizeof(*r));
	r->proxyd = p;
	r->old = endpoint;
	r->awaiting_start = true;
	r->may_reuse = may_reuse;
	e->rediscovering = true;
	send_get(r, e->address, p->protocol->report_path);
}

/* Handles an answer with another id at the address of an endpoint, to a request
 * sent at sent_ms. */
void rediscover_with_id(struct proxyd *p, struct handle endpoint,
			const char *id, size_t id_len, uint64_t sent_ms)
{
	struct endpoint *e = endpoint_get(p->endpoints, endpoint);
	struct rediscovery *r;

	if (!e || !id || !id_len || id_len >= ENDPOINT_ID_SIZE ||
	    e->rediscovering)
		return;
	r = xcalloc(1, sizeof(*r));
	r->proxyd = p;
	r->old = endpoint;
	r->sent_ms = sent_ms;
	memcpy(r->id, id, id_len);
	e->rediscovering = true;
	handle_id(r);
}

/* Sends a GET request. */
static void send_get(struct rediscovery *r, const char *address,
		     const char *path)
{
	struct http1_call_options options = {
		.address = address,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.timeout_ms = r->path ? PATH_ANSWER_TIMEOUT_MS
				      : ANSWER_TIMEOUT_MS,
	};
	struct bytes out = { 0 };

	if (r->may_reuse && http1_client_has_idle(r->proxyd->client, address)) {
		options.timeout_ms = REUSED_ANSWER_TIMEOUT_MS;
		options.max_idle_ms = UINT32_MAX;
	}
	r->status = 0;
	r->body.len = 0;
	r->sent_ms = proxyd_now(r->proxyd);
	bytes_addf(&out, "GET %s HTTP/1.1\r\nhost: %s\r\n\r\n", path, address);
	r->call = http1_call_start(r->proxyd->client, &options, out.data,
				   out.len, &ops, r);
	r->reused = http1_call_reused(r->call);
}

/* Handles the head of an answer. */
static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head)
{
	struct rediscovery *r = arg;
	struct answer_fields fields;

	endpoint_answered(r->proxyd->endpoints, r->old, r->sent_ms, false);
	r->status = head->status;
	r->opened_ms = http1_call_opened_ms(r->call);
	r->moments = http1_call_moments(r->call);
	r->proxyd->protocol->decode_answer(head, &fields);
	if (!r->awaiting_report && fields.endpoint &&
	    fields.endpoint_len < sizeof(r->id)) {
		memcpy(r->id, fields.endpoint, fields.endpoint_len);
		r->id[fields.endpoint_len] = '\0';
	}
	if (is_same_endpoint(r, endpoint_get(r->proxyd->endpoints, r->old)))
		endpoint_apply_status(r->proxyd->endpoints, r->old, &fields,
				      r->sent_ms, NULL);
	return HTTP1_ACCEPT;
}

/* Returns whether the endpoint that answers is the expected one. */
static bool is_same_endpoint(const struct rediscovery *r,
			     const struct endpoint *e)
{
	return e && !strcmp(r->id, e->id);
}

/* Handles a part of an answer's body.  One that exceeds the limit, or never
 * ends, is no report: its connection is closed. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct rediscovery *r = arg;

	if (r->body.len + len <= REPORT_MAX_BYTES) {
		bytes_add(&r->body, data, len);
		return;
	}
	http1_call_cancel(r->call);
	on_end(r, HTTP1_MALFORMED);
}

/* Handles the end of an answer, or its failure. */
static void on_end(void *arg, enum http1_outcome outcome)
{
	struct rediscovery *r = arg;
	struct endpoint *e = endpoint_get(r->proxyd->endpoints, r->old);
	uint64_t born_ms = 0;
	bool engine;

	r->call = NULL;
	if (e && r->reused && !r->status) {
		r->may_reuse = false;
		send_get(r, e->address, r->proxyd->protocol->report_path);
		return;
	}
	if (http1_not_connected(outcome) && outcome != HTTP1_NO_SOCKET)
		endpoint_not_connected(r->proxyd->endpoints, r->old,
				       r->sent_ms);
	else if (!r->status && outcome != HTTP1_NO_SOCKET)
		endpoint_unanswered(r->proxyd->endpoints, r->old, r->sent_ms);
	if (!e || outcome != HTTP1_COMPLETE || r->status != 200) {
		if (r->awaiting_start)
			endpoint_unstated_start(r->proxyd->endpoints, r->old);
		finish(r);
		return;
	}
	if (!r->awaiting_report && !r->awaiting_start) {
		handle_id(r);
		return;
	}
	engine = r->proxyd->protocol->decode_report(r->body.data, r->body.len,
						    &born_ms);
	if (engine && r->awaiting_start) {
		endpoint_note_process(r->proxyd->endpoints, r->old, born_ms,
				      r->moments);
		endpoint_stated_start(r->proxyd->endpoints, r->old, born_ms,
				      r->opened_ms > r->sent_ms ? r->opened_ms
								: r->sent_ms);
	} else if (engine)
		adopt(r, e);
	else if (r->awaiting_start)
		endpoint_unstated_start(r->proxyd->endpoints, r->old);
	finish(r);
}

/* Handles the id at the address: accepts it, requests a report, or ignores
 * it. */
static void handle_id(struct rediscovery *r)
{
	struct proxyd *p = r->proxyd;
	struct endpoint *e = endpoint_get(p->endpoints, r->old);
	struct endpoint_restart known;

	if (is_same_endpoint(r, e)) {
		endpoint_seen(p->endpoints, r->old, r->sent_ms);
		finish(r);
		return;
	}
	if (endpoint_answered_at(p->endpoints, r->id, e->address, r->sent_ms)) {
		endpoint_replaced(p->endpoints, r->old, NULL);
		finish(r);
		return;
	}
	known = (struct endpoint_restart){
		.last_seen_ms_ago =
			endpoint_last_seen_ms_ago(e, proxyd_clock_ms()),
		.reuse_after_ms = (uint64_t)(p->settings.reuse_after_s * 1000),
		.engine_services = routes_engine_services(p->routes),
		.is_engine = routes_service(p->routes, e->service) &&
			     routes_service(p->routes, e->service)->engine,
	};
	switch (endpoint_restart_decide(&known)) {
	case ENDPOINT_RESTART_ACCEPT:
		adopt(r, e);
		finish(r);
		break;
	case ENDPOINT_RESTART_QUERY:
		r->awaiting_report = true;
		send_get(r, e->address, p->protocol->report_path);
		break;
	case ENDPOINT_RESTART_IGNORE:
		finish(r);
		break;
	}
}

/* Replaces the old endpoint by the one with the new id, and informs other
 * instances. */
static void adopt(struct rediscovery *r, const struct endpoint *old)
{
	const struct endpoint_entry found = {
		.service = old->service,
		.address = old->address,
		.zone = endpoints_zone_name(r->proxyd->endpoints, old->zone),
	};

	event_log(EVENT_NOTABLE, "endpoint-rediscovered", NULL,
		  "{s:s, s:s, s:s, s:I, s:b}", "endpoint", r->id, "before",
		  old->id, "address", old->address, "heard_ms_ago",
		  (json_int_t)endpoint_last_seen_ms_ago(old,
							proxyd_now(r->proxyd)),
		  "by_report", r->awaiting_report);
	endpoints_adopt(r->proxyd->endpoints, r->id, &found, false);
	peers_announce_found(r->proxyd->peers, r->id);
}

/* Ends a rediscovery and frees it. */
static void finish(struct rediscovery *r)
{
	struct endpoint *e = endpoint_get(r->proxyd->endpoints, r->old);

	if (e)
		e->rediscovering = false;
	bytes_release(&r->body);
	free(r);
}
