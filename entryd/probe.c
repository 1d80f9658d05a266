/*
 * Endpoint probes.  An endpoint is probed after a broken stream, a failed
 * connect or a long silence.  A lost endpoint gets no work from this process
 * until a later probe succeeds.
 */
#include "entryd/endpoints.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>

#include "entryd/fleet.h"
#include "entryd/generation.h"
#include "entryd/suspects.h"
#include "lib/counters.h"
#include "lib/log.h"
#include "lib/xalloc.h"

#define PROBE_CONNECT_TIMEOUT_MS 200
#define PROBE_TIMEOUT_MS 300
#define LOST_PROBE_INTERVAL_MS 250 /* between probes of a lost endpoint */
#define UNEXPLAINED_PROBE_DELAY_MS 10 /* after a break without known cause */

struct probe {
	struct entryd *e;
	struct handle endpoint;
	uint64_t salt; /* expected salt; 0: any */
};

static void probe_start(struct entryd *e, struct endpoint *ep);
static void on_probed(void *arg, enum httpc_outcome outcome, int status,
		      const char *body, size_t len);
static void apply_probe_result(struct entryd *e, struct endpoint *ep,
			       const struct probe *p,
			       enum httpc_outcome outcome, uint64_t salt);
static void set_lost(struct entryd *e, struct endpoint *ep, bool lost);
static uint64_t parse_salt(const char *body, size_t len);

/* Discounts a stall of this process (stall_ms) from the silence of each
 * endpoint, and probes the lost endpoints that are due. */
void endpoints_tick(struct entryd *e, uint64_t now, uint32_t stall_ms)
{
	struct endpoint *ep;
	uint32_t index = 0;

	while ((ep = endpoints_next(e, &index))) {
		if (stall_ms)
			resume_endpoint_discount(&ep->silence, stall_ms);
		if (ep->lost && !ep->probing && now >= ep->probe_at)
			probe_start(e, ep);
	}
}

/* Probes an endpoint, unless a probe is in progress. */
void endpoint_check(struct entryd *e, struct endpoint *ep)
{
	if (!ep->probing)
		probe_start(e, ep);
}

/* Marks an endpoint as lost after a failed connect. */
void endpoint_unreachable(struct entryd *e, struct endpoint *ep)
{
	set_lost(e, ep, true);
}

/* Sends a probe: reads the load of an engine, or the counters of a plain
 * service. */
static void probe_start(struct entryd *e, struct endpoint *ep)
{
	struct probe *p = xcalloc(1, sizeof(*p));
	const struct httpc_request request = {
		.method = "GET",
		.address = ep->address,
		.path = ep->model ? "/v1/load" : "/counters",
		.connect_timeout_ms = PROBE_CONNECT_TIMEOUT_MS,
		.timeout_ms = PROBE_TIMEOUT_MS,
	};

	p->e = e;
	p->endpoint = ep->self;
	p->salt = ep->salt;
	ep->probing = true;
	httpc_fetch(e->client, &request, on_probed, p);
}

/* Handles the outcome of a probe. */
static void on_probed(void *arg, enum httpc_outcome outcome, int status,
		      const char *body, size_t len)
{
	struct probe *p = arg;
	struct endpoint *ep = NULL;

	(void)status;
	if (outcome != HTTPC_DROPPED)
		ep = endpoint_get(p->e, p->endpoint);
	if (ep) {
		ep->probing = false;
		apply_probe_result(p->e, ep, p, outcome, parse_salt(body, len));
		if (!ep->n_broken_runs)
			generations_probed(p->e, ep);
	}
	free(p);
}

/* Updates the endpoint from a probe's outcome.  Only a failed connect or a
 * changed salt proves that the previous engine process has died; after a break
 * without that proof the endpoint is probed again soon. */
static void apply_probe_result(struct entryd *e, struct endpoint *ep,
			       const struct probe *p,
			       enum httpc_outcome outcome, uint64_t salt)
{
	uint64_t previous_salt = ep->n_broken_runs ? ep->broken_salt : p->salt;
	bool restarted = outcome == HTTPC_OK && previous_salt && salt &&
			 salt != previous_salt;
	bool dead = outcome == HTTPC_CONNECT_FAILED || restarted;

	if (dead && ep->n_broken_runs && ep->model)
		suspects_record_death(e, ep, previous_salt);
	if (dead || outcome == HTTPC_OK)
		suspects_clear(ep);
	if (outcome == HTTPC_OK && salt)
		ep->salt = salt;
	set_lost(e, ep, outcome != HTTPC_OK);
	if (ep->n_broken_runs)
		ep->probe_at = entryd_now(e) + UNEXPLAINED_PROBE_DELAY_MS;
}

/* Records whether the endpoint is lost, and reports a change to cdmfleetd. */
static void set_lost(struct entryd *e, struct endpoint *ep, bool lost)
{
	Cdm__Observation m = CDM__OBSERVATION__INIT;
	Cdm__EndpointState state = CDM__ENDPOINT_STATE__INIT;
	Cdm__EndpointState *list = &state;

	ep->probe_at = entryd_now(e) + LOST_PROBE_INTERVAL_MS;
	if (ep->lost == lost)
		return;
	ep->lost = lost;
	log_msg(LOG_NOTICE, lost ? "endpoint-lost" : "endpoint-back", NULL,
		"endpoint %s at %s %s", ep->name, ep->address,
		lost ? "does not respond; it gets no work" : "responds again");
	state.name = ep->name;
	state.up = !lost;
	state.leaving = endpoint_leaving(ep);
	state.has_salt = 1;
	state.salt = ep->salt;
	m.endpoints = &list;
	m.n_endpoints = 1;
	fleet_observe(e, &m);
}

/* Returns the salt of an engine's load report, or 0. */
static uint64_t parse_salt(const char *body, size_t len)
{
	json_t *json = json_loadb(body, len, 0, NULL);
	const char *text = json_string_value(json_object_get(json, "salt"));
	uint64_t salt = text ? strtoull(text, NULL, 16) : 0;

	json_decref(json);
	return salt;
}
