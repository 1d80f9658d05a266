/*
 * Endpoints that refuse new connections and may serve on, as one that leaves does.
 * Each is asked on a connection that was open before: only an answer shows that its
 * process has outlived the refusal, as a connection that is open may have gone silent.
 */
#include "proxyd/witness.h"

#include "lib/bytes.h"
#include "lib/event_log.h"
#include "lib/http1_client.h"
#include "proxyd/endpoints.h"
#include "proxyd/proxyd.h"

/* Time limit of the question.  Requests without attempts left wait for it. */
#define ANSWER_MS 100

static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head);
static void on_end(void *arg, enum http1_outcome outcome);

static const struct http1_call_ops ops = {
	.on_head = on_head,
	.on_end = on_end,
};

/* Asks an endpoint that refuses connections whether it serves on, if a connection to it
 * is idle and it is not known.  One that pauses, has no permit left or has nothing that
 * it can be asked for, is not asked. */
void witness_ask(struct endpoint *e)
{
	struct proxyd *p = e->proxyd;
	const struct http1_call_options options = {
		.address = e->address,
		.timeout_ms = ANSWER_MS,
		.max_idle_ms = UINT32_MAX,
	};
	const struct route_service *s =
		p->routes ? routes_service(p->routes, e->service) : NULL;
	const char *path =
		endpoint_question_path(p, e->service, s && s->engine);
	struct bytes out = { 0 };

	if (e->state != ENDPOINT_DOWN || e->witness || !path ||
	    !http1_client_has_idle(p->client, e->address) ||
	    witness_serves_on(e) || !endpoint_take_check(e, proxyd_now(p)))
		return;
	bytes_addf(&out, "GET %s HTTP/1.1\r\nhost: %s\r\n\r\n", path,
		   e->address);
	e->witness = http1_call_start(p->client, &options, out.data, out.len,
				      &ops, e);
}

/* Returns whether an endpoint is being asked whether it serves on. */
bool witness_awaited(const struct endpoint *e)
{
	return e->witness != NULL;
}

/* Returns whether an endpoint that refuses connections has answered since on one that
 * is open. */
bool witness_serves_on(const struct endpoint *e)
{
	return e->state == ENDPOINT_DOWN &&
	       http1_client_outlasts(e->proxyd->client, e->address,
				     e->down_moment);
}

/* Cancels the question to an endpoint. */
void witness_forget(struct endpoint *e)
{
	if (e->witness)
		http1_call_cancel(e->witness);
	e->witness = NULL;
}

/* Takes any answer: its connection shows which process gave it. */
static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head)
{
	(void)arg;
	(void)head;
	return HTTP1_ACCEPT;
}

/* Handles the end of the question. */
static void on_end(void *arg, enum http1_outcome outcome)
{
	struct endpoint *e = arg;

	e->witness = NULL;
	event_log(EVENT_NOTABLE, "endpoint-witness", NULL, "{s:s, s:b, s:s}",
		  "endpoint", e->id, "serves_on", witness_serves_on(e), "why",
		  http1_outcome_name(outcome));
}
