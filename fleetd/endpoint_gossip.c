/*
 * Endpoint states received from cdmentryds and from other instances, and the
 * states sent to them.
 */
#include <stdlib.h>

#include "fleetd/endpoints.h"
#include "fleetd/gossip.h"
#include "lib/ident.h"
#include "lib/xalloc.h"
#include "policy/gossip_select.h"

#define REPORTED_DOWN_HOLD_MS 1500 /* after a cdmentryd's report */
#define LEAVING_TTL_MS 10000 /* of gossip, since the platform's report */

static void fill_state(const struct fleetd *f, const struct endpoint *e,
		       Cdm__EndpointState *out);
static uint64_t leaving_gossip_age_ms(const struct fleetd *f,
				      const struct endpoint *e);
static void apply_local_loss(struct fleetd *f, struct endpoint *e);
static void apply_peer_loss(struct fleetd *f, struct endpoint *e);
static void apply_peer_leaving(struct fleetd *f, struct endpoint *e,
			       uint64_t age_ms);

/* Applies losses and recoveries that a cdmentryd of this instance observed. */
void endpoints_observed(struct fleetd *f, Cdm__EndpointState **states, size_t n)
{
	struct endpoint *e;
	size_t i;

	for (i = 0; i < n; i++) {
		e = endpoints_find(f->endpoints, name_id(states[i]->name));
		if (!e)
			continue;
		if (!states[i]->up)
			apply_local_loss(f, e);
		else if (!e->watched)
			endpoint_set_up(f, e, true, "reached by a cdmentryd");
	}
}

/* Applies states received from other instances. */
void endpoints_heard(struct fleetd *f, Cdm__EndpointState **states, size_t n)
{
	const Cdm__EndpointState *s;
	struct endpoint *e;
	size_t i;

	for (i = 0; i < n; i++) {
		s = states[i];
		e = endpoints_find(f->endpoints, name_id(s->name));
		if (!e)
			continue;
		if (s->leaving)
			apply_peer_leaving(f, e, s->leaving_age_ms);
		if (!s->up)
			apply_peer_loss(f, e);
		else if (s->has_age_ms && !e->watched)
			endpoint_set_up(
				f, e, true,
				"reached by the instance that watches it");
	}
}

/* Selects up to max states for a digest and returns their number.  Only states
 * that this instance has polled carry an age. */
size_t endpoints_select_gossip(struct fleetd *f, Cdm__EndpointState *out,
			       size_t max)
{
	struct gossip_item list[ENDPOINT_GOSSIP_MAX];
	struct gossip_selection choice = {
		.list = list,
		.max = max < ENDPOINT_GOSSIP_MAX ? max : ENDPOINT_GOSSIP_MAX,
	};
	size_t i;

	for (i = 0; i < f->endpoints->n; i++)
		gossip_offer(&choice, i, f->endpoints->all[i].sends_left);
	for (i = 0; i < choice.n; i++) {
		struct endpoint *e = &f->endpoints->all[list[i].index];

		e->sends_left--;
		fill_state(f, e, &out[i]);
	}
	return choice.n;
}

/* Returns the states of endpoints that are lost or leaving; the caller frees
 * the array, whose names belong to the configuration. */
Cdm__EndpointState *endpoints_unavailable(struct fleetd *f, size_t *n)
{
	const struct endpoints *t = f->endpoints;
	Cdm__EndpointState *out = xcalloc(t->n, sizeof(*out));
	const struct endpoint *e;
	size_t i;

	*n = 0;
	for (i = 0; i < t->n; i++) {
		e = &t->all[i];
		if (!e->up || endpoint_leaving(f, e))
			fill_state(f, e, &out[(*n)++]);
	}
	return out;
}

/* Returns the states changed after the sequence number since; the caller frees
 * the array, whose names belong to the configuration. */
Cdm__EndpointState *endpoints_changes(struct fleetd *f, uint64_t since,
				      size_t *n)
{
	const struct endpoints *t = f->endpoints;
	Cdm__EndpointState *out = xcalloc(t->n, sizeof(*out));
	size_t i;

	*n = 0;
	for (i = 0; i < t->n; i++)
		if (t->all[i].changed > since)
			fill_state(f, &t->all[i], &out[(*n)++]);
	return out;
}

/* Fills in a state, which refers to the configuration's copy of the name. */
static void fill_state(const struct fleetd *f, const struct endpoint *e,
		       Cdm__EndpointState *out)
{
	cdm__endpoint_state__init(out);
	out->name = f->config->endpoints[e->index].name;
	out->up = e->up;
	out->leaving = endpoint_leaving(f, e);
	out->has_leaving_age_ms = out->leaving;
	if (!e->listed_leaving && !e->drained)
		out->leaving_age_ms = leaving_gossip_age_ms(f, e);
	if (!e->polled || !e->watched)
		return;
	out->has_slots = 1;
	out->slots = e->slots;
	out->has_running = 1;
	out->running = e->running;
	out->has_queued = 1;
	out->queued = e->queued;
	out->has_salt = 1;
	out->salt = e->salt;
	out->has_age_ms = 1;
	out->age_ms = fleetd_now(f) - e->load_ms;
}

/* Returns the time in ms since the platform reported that the endpoint is
 * leaving, at most LEAVING_TTL_MS. */
static uint64_t leaving_gossip_age_ms(const struct fleetd *f,
				      const struct endpoint *e)
{
	uint64_t now = fleetd_now(f);

	if (e->gossip_leaving_until_ms <= now)
		return LEAVING_TTL_MS;
	return now + LEAVING_TTL_MS - e->gossip_leaving_until_ms;
}

/* Marks an endpoint as down that a cdmentryd of this instance has lost.  Polls
 * that begin within REPORTED_DOWN_HOLD_MS can't mark it as up again. */
static void apply_local_loss(struct fleetd *f, struct endpoint *e)
{
	uint64_t now = fleetd_now(f);

	e->down_expires_ms = now + ENDPOINT_DOWN_TTL_MS;
	if (e->up)
		e->down_until_ms = now + REPORTED_DOWN_HOLD_MS;
	endpoint_set_up(f, e, false, "lost by a cdmentryd");
}

/* Applies a loss that another instance reports.  If this instance watches the
 * endpoint, it polls it at once and uses that result instead; otherwise two
 * watchers could keep confirming a past loss to each other. */
static void apply_peer_loss(struct fleetd *f, struct endpoint *e)
{
	uint64_t now = fleetd_now(f);

	if (!e->watched) {
		e->down_expires_ms = now + ENDPOINT_DOWN_TTL_MS;
		endpoint_set_up(f, e, false, "lost by another instance");
	} else if (e->up && !e->contested) {
		e->contested = true;
		e->next_poll_ms = now;
	}
}

/* Applies a peer's report that an endpoint is leaving, as the platform stated
 * age_ms ago, and passes it on.  The report expires by its age, however often
 * it is received; otherwise instances would keep confirming it to each other
 * after the platform has withdrawn it. */
static void apply_peer_leaving(struct fleetd *f, struct endpoint *e,
			       uint64_t age_ms)
{
	uint64_t now = fleetd_now(f);
	bool is_new = !endpoint_leaving(f, e);

	if (age_ms >= LEAVING_TTL_MS)
		return;
	if (now + LEAVING_TTL_MS - age_ms > e->gossip_leaving_until_ms)
		e->gossip_leaving_until_ms = now + LEAVING_TTL_MS - age_ms;
	if (!is_new)
		return;
	e->sends_left = ENDPOINT_SENDS;
	gossip_push_soon(f);
	endpoint_update_leaving(f, e);
}
