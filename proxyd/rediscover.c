/*
 * Endpoints that started again while the store could not say so.  At an
 * address that is known, a health check tells the id of who answers there now.
 * Addresses are used again by other services, so that a new id is believed only
 * if the address was silent for less time than that takes, or if a report shows
 * an engine and only one service has engines.
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

#define CONNECT_MS 60
#define ANSWER_MS 2000 /* a report takes some hundred at the most loaded */
#define REPORT_MAX 65536 /* bytes */

struct rediscovery {
	struct proxyd *proxyd;
	struct handle old;
	char id[ENDPOINT_ID_SIZE]; /* of who answers at the address now */
	bool reporting; /* the second of two questions */
	int status;
	struct bytes body;
};

static void ask(struct rediscovery *r, const char *address, const char *path);
static enum http1_verdict on_head(void *arg, const struct http1_head *head);
static void on_body(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum http1_outcome outcome);
static bool answers_as(const struct rediscovery *r, const struct endpoint *e);
static void identified(struct rediscovery *r);
static bool reports_engine(const struct rediscovery *r);
static void adopt(struct rediscovery *r, const struct endpoint *old);
static void finish(struct rediscovery *r);

static const struct http1_call_ops ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

/* Asks who answers at the address of an endpoint that was found dead. */
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
	ask(r, e->address, s->health_path);
}

/* Another id than expected answered at the address of an endpoint. */
void rediscover_known(struct proxyd *p, struct handle endpoint, const char *id,
		      size_t id_len)
{
	struct endpoint *e = endpoint_get(p->endpoints, endpoint);
	struct rediscovery *r;

	if (!e || !id || !id_len || id_len >= ENDPOINT_ID_SIZE ||
	    e->rediscovering)
		return;
	r = xcalloc(1, sizeof(*r));
	r->proxyd = p;
	r->old = endpoint;
	memcpy(r->id, id, id_len);
	e->rediscovering = true;
	identified(r);
}

/* Sends a question. */
static void ask(struct rediscovery *r, const char *address, const char *path)
{
	const struct http1_call_options options = {
		.address = address,
		.connect_ms = CONNECT_MS,
		.whole_ms = ANSWER_MS,
	};
	struct bytes out = { 0 };

	r->status = 0;
	r->body.len = 0;
	bytes_addf(&out, "GET %s HTTP/1.1\r\nhost: %s\r\n\r\n", path, address);
	http1_call_start(r->proxyd->client, &options, out.data, out.len, &ops,
			 r);
}

/* The head of an answer. */
static enum http1_verdict on_head(void *arg, const struct http1_head *head)
{
	struct rediscovery *r = arg;
	struct answer_fields fields;

	r->status = head->status;
	r->proxyd->protocol->decode_answer(head, &fields);
	if (!r->reporting && fields.endpoint &&
	    fields.endpoint_len < sizeof(r->id)) {
		memcpy(r->id, fields.endpoint, fields.endpoint_len);
		r->id[fields.endpoint_len] = '\0';
	}
	if (answers_as(r, endpoint_get(r->proxyd->endpoints, r->old)))
		endpoint_said(r->proxyd->endpoints, r->old, &fields, NULL);
	return HTTP1_TAKE;
}

/* Tells whether it is the endpoint that was asked for that answers. */
static bool answers_as(const struct rediscovery *r, const struct endpoint *e)
{
	return e && !strcmp(r->id, e->id);
}

/* A part of an answer. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct rediscovery *r = arg;

	if (r->body.len + len <= REPORT_MAX)
		bytes_add(&r->body, data, len);
}

/* An answer is whole, or none came. */
static void on_end(void *arg, enum http1_outcome outcome)
{
	struct rediscovery *r = arg;
	struct endpoint *e = endpoint_get(r->proxyd->endpoints, r->old);

	if (!e || outcome != HTTP1_COMPLETE || r->status != 200) {
		finish(r);
		return;
	}
	if (!r->reporting) {
		identified(r);
		return;
	}
	if (reports_engine(r))
		adopt(r, e);
	finish(r);
}

/* The id is known: believes it, asks for a report, or leaves it. */
static void identified(struct rediscovery *r)
{
	struct proxyd *p = r->proxyd;
	struct endpoint *e = endpoint_get(p->endpoints, r->old);
	struct endpoint_restart known;

	if (answers_as(r, e)) {
		endpoint_heard(p->endpoints, r->old);
		finish(r);
		return;
	}
	known = (struct endpoint_restart){
		.last_seen_ms_ago = endpoint_heard_ago(e, proxyd_now(p)),
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
		r->reporting = true;
		ask(r, e->address, p->protocol->report_path);
		break;
	case ENDPOINT_RESTART_IGNORE:
		finish(r);
		break;
	}
}

/* Tells whether the report is that of an engine. */
static bool reports_engine(const struct rediscovery *r)
{
	return r->proxyd->protocol->decode_report(r->body.data, r->body.len);
}

/* Takes the new id in the place of the old one, and tells other instances. */
static void adopt(struct rediscovery *r, const struct endpoint *old)
{
	event_log(EVENT_NOTABLE, "endpoint-rediscovered", NULL,
		  "{s:s, s:s, s:s, s:I, s:b}", "endpoint", r->id, "before",
		  old->id, "address", old->address, "heard_ms_ago",
		  (json_int_t)endpoint_heard_ago(old, proxyd_now(r->proxyd)),
		  "by_report", r->reporting);
	endpoints_adopt(r->proxyd->endpoints, r->id, old->address, old->service,
			endpoints_zone_name(r->proxyd->endpoints, old->zone));
	peers_announce_found(r->proxyd->peers, r->id);
}

/* Frees a rediscovery. */
static void finish(struct rediscovery *r)
{
	struct endpoint *e = endpoint_get(r->proxyd->endpoints, r->old);

	if (e)
		e->rediscovering = false;
	bytes_release(&r->body);
	free(r);
}
