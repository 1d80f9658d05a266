/*
 * Polls the endpoints that this instance watches.  A model engine is asked for
 * its load; a plain service passes if it accepts a connection.
 */
#include "fleetd/watch.h"

#include <jansson.h>
#include <stdlib.h>

#include "fleetd/endpoints.h"
#include "lib/counters.h"
#include "lib/xalloc.h"

#define POLL_INTERVAL_MS 1000
#define POLL_JITTER_MS 200
#define POLL_TIMEOUT_MS 900
#define UNANSWERED_POLLS_MAX 2 /* then the endpoint is down */

struct watch {
	size_t outstanding; /* polls in progress */
};

/* One poll.  It refers to the endpoint by id, because the endpoint may be
 * removed in the meantime. */
struct poll {
	struct fleetd *f;
	uint64_t id;
	uint64_t started_ms;
	bool connected;
};

static struct counter polls = {
	.name = "cdmfleetd_polls",
	.help = "Polls of endpoints.",
};
static struct counter failed_polls = {
	.name = "cdmfleetd_polls_failed",
	.help = "Polls of endpoints that failed.",
};

static void poll_start(struct fleetd *f, struct endpoint *e);
static bool on_connected(void *arg);
static void on_connect_end(void *arg, enum httpc_outcome outcome);
static void on_load(void *arg, enum httpc_outcome outcome, int status,
		    const char *body, size_t len);
static bool parse_load(const char *body, size_t len, struct endpoint_load *out);
static struct endpoint *poll_finish(struct poll *p);
static void poll_succeeded(struct poll *p, struct endpoint *e);
static void poll_failed(struct poll *p, struct endpoint *e, bool refused);

/* Returns a state with no polls in progress. */
struct watch *watch_new(void)
{
	counter_register(&polls);
	counter_register(&failed_polls);
	return xcalloc(1, sizeof(struct watch));
}

void watch_free(struct watch *w)
{
	free(w);
}

/* Returns the number of polls in progress. */
size_t watch_outstanding(const struct fleetd *f)
{
	return f->watch->outstanding;
}

/* Starts the polls that are due. */
void watch_tick(struct fleetd *f, uint64_t now)
{
	struct endpoint *e;
	size_t i;

	for (i = 0; i < f->endpoints->n; i++) {
		e = &f->endpoints->all[i];
		if (e->watched && !e->polling && now >= e->next_poll_ms)
			poll_start(f, e);
	}
}

/* Starts a poll: requests the load of a model engine, or connects to a plain
 * service without sending a request. */
static void poll_start(struct fleetd *f, struct endpoint *e)
{
	static const struct httpc_ops connect_ops = {
		.on_connected = on_connected,
		.on_end = on_connect_end,
		.on_dropped = free,
	};
	struct httpc_request request = {
		.method = "GET",
		.address = f->config->endpoints[e->index].address,
		.path = "/v1/load",
		.connect_timeout_ms = POLL_TIMEOUT_MS,
		.timeout_ms = POLL_TIMEOUT_MS,
	};
	struct poll *p = xcalloc(1, sizeof(*p));

	p->f = f;
	p->id = e->id;
	p->started_ms = fleetd_now(f);
	e->polling = true;
	e->next_poll_ms = p->started_ms + POLL_INTERVAL_MS +
			  fleetd_random() % POLL_JITTER_MS;
	f->watch->outstanding++;
	counter_add(&polls, 1);
	if (e->model)
		httpc_fetch(f->client, &request, on_load, p);
	else
		httpc_start(f->client, &request, &connect_ops, p);
}

/* The plain service accepted the connection.  Returns false, since there is no
 * request to send. */
static bool on_connected(void *arg)
{
	struct poll *p = arg;

	p->connected = true;
	return false;
}

/* Ends the poll of a plain service. */
static void on_connect_end(void *arg, enum httpc_outcome outcome)
{
	struct poll *p = arg;
	struct endpoint *e = poll_finish(p);

	(void)outcome;
	if (e && p->connected)
		poll_succeeded(p, e);
	else if (e)
		poll_failed(p, e, true);
	free(p);
}

/* Ends the poll of a model engine. */
static void on_load(void *arg, enum httpc_outcome outcome, int status,
		    const char *body, size_t len)
{
	struct poll *p = arg;
	struct endpoint_load load;
	struct endpoint *e;

	if (outcome == HTTPC_DROPPED)
		goto out;
	e = poll_finish(p);
	if (!e)
		goto out;
	if (outcome == HTTPC_OK && status == 200 &&
	    parse_load(body, len, &load)) {
		endpoint_set_load(p->f, e, &load);
		poll_succeeded(p, e);
	} else {
		poll_failed(p, e, outcome == HTTPC_CONNECT_FAILED);
	}
out:
	free(p);
}

/* Parses a load report; returns false if it is malformed. */
static bool parse_load(const char *body, size_t len, struct endpoint_load *out)
{
	json_t *root = json_loadb(body, len, 0, NULL);
	const char *salt = NULL;
	json_int_t slots, running, queued;
	json_int_t age_ms = 0;
	bool ok;

	ok = root && !json_unpack(root, "{s:s, s:I, s:I, s:I, s?I}", "salt",
				  &salt, "slots", &slots, "running", &running,
				  "queued", &queued, "age_ms", &age_ms);
	if (ok) {
		out->slots = (uint32_t)slots;
		out->running = (uint32_t)running;
		out->queued = (uint32_t)queued;
		out->age_ms = age_ms > 0 ? (uint64_t)age_ms : 0;
		out->salt = strtoull(salt, NULL, 16);
	}
	json_decref(root);
	return ok;
}

/* Ends a poll.  Returns its endpoint, or NULL if this instance no longer
 * watches it. */
static struct endpoint *poll_finish(struct poll *p)
{
	struct endpoint *e = endpoints_find(p->f->endpoints, p->id);

	p->f->watch->outstanding--;
	if (e)
		e->polling = false;
	return e && e->watched ? e : NULL;
}

/* Records a successful poll.  A poll that started before down_until doesn't
 * change the state: a loss was reported after it started, or so shortly before
 * that the endpoint may still be failing. */
static void poll_succeeded(struct poll *p, struct endpoint *e)
{
	e->failures = 0;
	e->polled = true;
	if (p->started_ms < e->down_until_ms)
		return;
	if (e->contested && e->up)
		e->sends_left = ENDPOINT_SENDS;
	e->contested = false;
	endpoint_set_up(p->f, e, true, "it answers");
}

/* Records a failed poll.  A refused connection marks the endpoint as down
 * immediately, a poll without a response only after UNANSWERED_POLLS_MAX. */
static void poll_failed(struct poll *p, struct endpoint *e, bool refused)
{
	counter_add(&failed_polls, 1);
	e->failures++;
	if (refused)
		endpoint_set_up(p->f, e, false, "it refuses connections");
	else if (e->failures >= UNANSWERED_POLLS_MAX)
		endpoint_set_up(p->f, e, false, "it does not answer");
}
