/*
 * Sends a call to an endpoint of its plain service, on a new connection.
 */
#include <stdlib.h>
#include <string.h>

#include "entryd/call.h"
#include "entryd/journal.h"
#include "lib/xalloc.h"

#define CONNECT_TIMEOUT_MS 400
#define EXPECTED_CALL_MS 100 /* expected duration of a call, for routing */

static bool on_connected(void *arg);
static void on_head(void *arg, int status, const struct httpc_header *headers,
		    size_t n);
static void on_body(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum httpc_outcome outcome);
static void notify_claim(struct call *c, enum httpc_outcome outcome);

static const struct httpc_ops call_ops = {
	.on_connected = on_connected,
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

/* Starts an exchange with an endpoint that was not tried yet.  Returns false if
 * there is none. */
bool call_send(struct call *c)
{
	struct entryd *e = c->e;
	const struct service *service = service_get(e, c->service);
	const struct route_request route = { .service_ms = EXPECTED_CALL_MS };
	enum route_outcome outcome;
	struct endpoint *ep =
		endpoints_route(e, service->id, &route, &c->avoid, &outcome);
	struct httpc_header headers[3];
	struct httpc_request request = {
		.method = c->method,
		.path = c->path,
		.headers = headers,
		.body = c->body,
		.body_len = c->body_len,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.timeout_ms = service->timeout_ms,
	};

	if (!ep)
		return false;
	request.address = ep->address;
	headers[request.n_headers++] =
		(struct httpc_header){ "x-request-id", c->request };
	if (c->type)
		headers[request.n_headers++] =
			(struct httpc_header){ "content-type", c->type };
	if (c->key)
		headers[request.n_headers++] =
			(struct httpc_header){ "idempotency-key", c->key };
	endpoint_list_add(&c->avoid, ep->id);
	c->endpoint = ep->self;
	c->on_endpoint = true;
	ep->own_requests++;
	c->status = 0;
	c->answer_len = 0;
	journal_add(e->journal, c->request, "connects to endpoint %s",
		    ep->name);
	c->exchange = httpc_start(e->client, &request, &call_ops, c);
	return true;
}

/* Releases the call's endpoint, if it holds one. */
void call_release_endpoint(struct call *c)
{
	struct endpoint *ep;

	if (!c->on_endpoint)
		return;
	c->on_endpoint = false;
	ep = endpoint_get(c->e, c->endpoint);
	if (ep)
		endpoint_release(c->e, ep);
}

/* The connection is established and nothing has been sent.  Returns whether to
 * send the request. */
static bool on_connected(void *arg)
{
	struct call *c = arg;

	return c->idempotent || call_claim_may_send(c);
}

/* Stores the response's status and content type. */
static void on_head(void *arg, int status, const struct httpc_header *headers,
		    size_t n)
{
	struct call *c = arg;
	size_t i;

	c->status = status;
	for (i = 0; i < n; i++) {
		if (strcmp(headers[i].name, "content-type") != 0)
			continue;
		free(c->answer_type);
		c->answer_type = xstrdup(headers[i].value);
	}
}

/* Appends a part of the response body. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct call *c = arg;

	if (c->answer_len + len > CALL_ANSWER_MAX) {
		c->answer_too_long = true;
		return;
	}
	if (c->answer_size - c->answer_len < len) {
		c->answer_size = (c->answer_len + len) * 2;
		c->answer = xreallocarray(c->answer, c->answer_size, 1);
	}
	memcpy(c->answer + c->answer_len, data, len);
	c->answer_len += len;
}

/* Handles the end of the exchange. */
static void on_end(void *arg, enum httpc_outcome outcome)
{
	struct call *c = arg;
	struct endpoint *ep = endpoint_get(c->e, c->endpoint);

	c->exchange = NULL;
	if (outcome == HTTPC_OK && c->answer_too_long)
		outcome = HTTPC_BROKEN;
	if (outcome != HTTPC_OK)
		journal_add(c->e->journal, c->request, "endpoint %s: %s",
			    ep ? ep->name : "(removed)",
			    httpc_outcome_name(outcome));
	if (ep && (outcome == HTTPC_BROKEN || outcome == HTTPC_CONNECT_FAILED))
		endpoint_check(c->e, ep);
	call_release_endpoint(c);
	if (c->idempotent)
		call_ended(c, outcome);
	else
		notify_claim(c, outcome);
}

/* Reports the outcome of the only send, or of a failed connect, to the
 * claim. */
static void notify_claim(struct call *c, enum httpc_outcome outcome)
{
	struct claim_event ev = { .now = entryd_now(c->e) };

	if (outcome == HTTPC_OK)
		ev.type = CLAIM_EV_ANSWER;
	else if (outcome == HTTPC_CONNECT_FAILED)
		ev.type = CLAIM_EV_CONNECT_FAILED;
	else
		ev.type = CLAIM_EV_ANSWER_LOST;
	call_claim_event(c, &ev);
}
