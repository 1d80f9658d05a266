/*
 * What cdmentryds and other instances say about endpoints, and what this one
 * tells them.
 */
#include <stdlib.h>

#include "fleetd/endpoints.h"
#include "fleetd/gossip.h"
#include "lib/ident.h"
#include "lib/xalloc.h"
#include "policy/gossip_select.h"

#define REPORTED_DOWN_MS 1500 /* after a cdmentryd has lost an endpoint */
#define LEAVING_TTL_MS 10000 /* of hearsay, since the platform said so */

static void fill_state(const struct fleetd *f, const struct endpoint *e,
		       Cdm__EndpointState *out);
static uint64_t hearsay_age(const struct fleetd *f, const struct endpoint *e);
static void report_down(struct fleetd *f, struct endpoint *e);
static void hear_down(struct fleetd *f, struct endpoint *e);
static void hear_leaving(struct fleetd *f, struct endpoint *e, uint64_t age_ms);

/* Takes losses and recoveries that a cdmentryd of this instance saw. */
void endpoints_observed(struct fleetd *f, Cdm__EndpointState **states, size_t n)
{
	struct endpoint *e;
	size_t i;

	for (i = 0; i < n; i++) {
		e = endpoints_find(f->endpoints, name_id(states[i]->name));
		if (!e)
			continue;
		if (!states[i]->up)
			report_down(f, e);
		else if (!e->watched)
			endpoint_set_up(f, e, true, "a cdmentryd reached it");
	}
}

/* Takes states that other instances tell. */
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
			hear_leaving(f, e, s->leaving_age_ms);
		if (!s->up)
			hear_down(f, e);
		else if (s->has_age_ms && !e->watched)
			endpoint_set_up(f, e, true, "its watcher reached it");
	}
}

/* Gathers states to tell with a digest; returns how many.  Only a state that
 * rests on a poll carries an age. */
size_t endpoints_rumours(struct fleetd *f, Cdm__EndpointState *out, size_t max)
{
	struct gossip_item list[ENDPOINT_RUMOURS_MAX];
	struct gossip_selection choice = {
		.list = list,
		.max = max < ENDPOINT_RUMOURS_MAX ? max : ENDPOINT_RUMOURS_MAX,
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
Cdm__EndpointState *endpoints_troubled(struct fleetd *f, size_t *n)
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

/* Returns the states changed after since; the caller frees the array, whose
 * names belong to the configuration. */
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

/* Fills a state, which borrows the endpoint's name. */
static void fill_state(const struct fleetd *f, const struct endpoint *e,
		       Cdm__EndpointState *out)
{
	cdm__endpoint_state__init(out);
	out->name = f->config->endpoints[e->index].name;
	out->up = e->up;
	out->leaving = endpoint_leaving(f, e);
	out->has_leaving_age_ms = out->leaving;
	if (!e->listed_leaving && !e->drained)
		out->leaving_age_ms = hearsay_age(f, e);
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
	out->age_ms = fleetd_now(f) - e->load_at;
}

/* Returns how long ago the platform said that the endpoint is leaving. */
static uint64_t hearsay_age(const struct fleetd *f, const struct endpoint *e)
{
	uint64_t now = fleetd_now(f);

	if (e->leaving_until <= now)
		return LEAVING_TTL_MS;
	return now + LEAVING_TTL_MS - e->leaving_until;
}

/* A cdmentryd of this instance has lost the endpoint: it counts as down until
 * a poll that starts a little later reaches it. */
static void report_down(struct fleetd *f, struct endpoint *e)
{
	uint64_t now = fleetd_now(f);

	e->down_expires = now + ENDPOINT_HEARD_DOWN_MS;
	if (e->up)
		e->down_until = now + REPORTED_DOWN_MS;
	endpoint_set_up(f, e, false, "a cdmentryd has lost it");
}

/* Another instance has lost the endpoint.  Who watches it believes its own
 * poll instead, made at once; else two watchers could go on persuading each
 * other of a loss that is over. */
static void hear_down(struct fleetd *f, struct endpoint *e)
{
	uint64_t now = fleetd_now(f);

	if (!e->watched) {
		e->down_expires = now + ENDPOINT_HEARD_DOWN_MS;
		endpoint_set_up(f, e, false, "another instance has lost it");
	} else if (e->up && !e->contested) {
		e->contested = true;
		e->poll_at = now;
	}
}

/* Takes word that an endpoint is leaving, as the platform said age_ms ago, and
 * passes it on.  Hearsay ends with its age, however often it is told: else
 * instances would go on persuading each other after the platform has taken it
 * back. */
static void hear_leaving(struct fleetd *f, struct endpoint *e, uint64_t age_ms)
{
	uint64_t now = fleetd_now(f);
	bool news = !endpoint_leaving(f, e);

	if (age_ms >= LEAVING_TTL_MS)
		return;
	if (now + LEAVING_TTL_MS - age_ms > e->leaving_until)
		e->leaving_until = now + LEAVING_TTL_MS - age_ms;
	if (!news)
		return;
	e->sends_left = ENDPOINT_SENDS;
	gossip_push_soon(f);
	endpoint_note_leaving(f, e);
}
