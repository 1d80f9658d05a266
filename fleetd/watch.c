/*
 * Polls the endpoints that this instance watches: model engines for their
 * load, plain services by a mere connection.
 */
#include "fleetd/watch.h"

#include <jansson.h>
#include <stdlib.h>

#include "fleetd/endpoints.h"
#include "lib/counters.h"
#include "lib/xalloc.h"

#define POLL_MS 1000
#define POLL_JITTER_MS 200
#define POLL_TIMEOUT_MS 900
#define SILENT_POLLS_MAX 2 /* polls without answer until it counts as down */

struct watch {
	size_t outstanding; /* polls in progress */
};

/* One poll; the endpoint is named by id, as it may go meanwhile. */
struct poll {
	struct fleetd *f;
	uint64_t id;
	uint64_t started_at; /* ms */
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
static void poll_good(struct poll *p, struct endpoint *e);
static void poll_failed(struct poll *p, struct endpoint *e, bool refused);

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

/* Asks a model engine for its load, or connects to a plain service and sends
 * nothing. */
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
	p->started_at = fleetd_now(f);
	e->polling = true;
	e->next_poll_ms = p->started_at + POLL_MS + fleetd_random() % POLL_JITTER_MS;
	f->watch->outstanding++;
	counter_add(&polls, 1);
	if (e->model)
		httpc_fetch(f->client, &request, on_load, p);
	else
		httpc_start(f->client, &request, &connect_ops, p);
}

/* The plain service accepts connections, which is all that is asked. */
static bool on_connected(void *arg)
{
	struct poll *p = arg;

	p->connected = true;
	return false;
}

static void on_connect_end(void *arg, enum httpc_outcome outcome)
{
	struct poll *p = arg;
	struct endpoint *e = poll_finish(p);

	(void)outcome;
	if (e && p->connected)
		poll_good(p, e);
	else if (e)
		poll_failed(p, e, true);
	free(p);
}

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
		poll_good(p, e);
	} else {
		poll_failed(p, e, outcome == HTTPC_CONNECT_FAILED);
	}
out:
	free(p);
}

/* Reads a load report; false if it isn't one. */
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

/* Ends a poll; returns its endpoint unless it is watched no more. */
static struct endpoint *poll_finish(struct poll *p)
{
	struct endpoint *e = endpoints_find(p->f->endpoints, p->id);

	p->f->watch->outstanding--;
	if (e)
		e->polling = false;
	return e && e->watched ? e : NULL;
}

/* The endpoint answered.  That says nothing if a loss was reported since, or
 * so shortly before that the endpoint may be failing still. */
static void poll_good(struct poll *p, struct endpoint *e)
{
	e->failures = 0;
	e->polled = true;
	if (p->started_at < e->down_until_ms)
		return;
	if (e->contested && e->up)
		e->sends_left = ENDPOINT_SENDS;
	e->contested = false;
	endpoint_set_up(p->f, e, true, "it answers");
}

/* The endpoint did not answer.  A refused connection counts at once. */
static void poll_failed(struct poll *p, struct endpoint *e, bool refused)
{
	counter_add(&failed_polls, 1);
	e->failures++;
	if (refused)
		endpoint_set_up(p->f, e, false, "it refuses connections");
	else if (e->failures >= SILENT_POLLS_MAX)
		endpoint_set_up(p->f, e, false, "it does not answer");
}
