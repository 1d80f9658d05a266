#ifndef FLEETD_ENDPOINTS_H
#define FLEETD_ENDPOINTS_H

#include <jansson.h>

#include "fleetd/fleetd.h"
#include "proto/control.pb-c.h"

#define ENDPOINT_GOSSIP_MAX 16 /* states in one digest */
#define ENDPOINT_SENDS 8 /* number of digests that carry a change */
#define ENDPOINT_DOWN_TTL_MS 15000 /* of a loss that isn't reported again */

/* State of one endpoint of the configuration in force. */
struct endpoint {
	uint64_t id;
	size_t index; /* into the configuration's endpoints */
	size_t service; /* index into the configuration's services */
	uint16_t zone;
	bool model; /* a model engine, not a plain service */
	bool used; /* by this instance */
	bool watched; /* by this instance */
	bool up;
	bool listed_leaving; /* by the platform's list */
	bool drained; /* by an operator */
	uint64_t gossip_leaving_until_ms; /* as peers report */
	bool sent_leaving; /* leaving, as last sent to cdmentryds */
	bool polled; /* at least one poll succeeded */
	bool polling;
	bool contested; /* a peer reports a loss; next success is gossiped */
	unsigned int failures; /* consecutive failed polls */
	uint64_t next_poll_ms;
	uint64_t down_until_ms; /* polls begun before it can't mark it up */
	uint64_t down_expires_ms; /* then up again, unless watched */
	uint32_t slots;
	uint32_t running;
	uint32_t queued;
	uint64_t salt; /* identifies the engine's start; 0: unknown */
	uint64_t load_ms; /* time that the load refers to */
	unsigned int sends_left; /* digests that are still to carry it */
	uint64_t next_resend_ms; /* when loss or leaving is sent again */
	bool order_pending; /* an order has been sent, without an answer yet */
	uint64_t order_fence; /* of the last order obeyed; 0: none */
	uint64_t order_salt; /* salt of the engine that obeyed it */
	uint64_t
		next_order_ms; /* earliest retry; base of the repeat interval */
	uint64_t changed; /* sequence of the last change */
};

/* The endpoints of the configuration in force. */
struct endpoints {
	struct endpoint *all; /* sorted by id */
	size_t n;
	uint64_t next_tick_ms;
};

/* An answer to GET /v1/load. */
struct endpoint_load {
	uint32_t slots;
	uint32_t running;
	uint32_t queued;
	uint64_t salt;
	uint64_t age_ms;
};

struct endpoints *endpoints_new(void);
void endpoints_free(struct endpoints *t);
void endpoints_configure(struct fleetd *f);
void endpoints_assign(struct fleetd *f);
void endpoints_tick(struct fleetd *f, uint64_t now);
struct endpoint *endpoints_find(const struct endpoints *t, uint64_t id);
bool endpoint_leaving(const struct fleetd *f, const struct endpoint *e);
void endpoint_update_leaving(struct fleetd *f, struct endpoint *e);
void endpoint_set_up(struct fleetd *f, struct endpoint *e, bool up,
		     const char *why);
void endpoint_set_load(struct fleetd *f, struct endpoint *e,
		       const struct endpoint_load *load);
void endpoints_set_leaving(struct fleetd *f, const char *name, bool listed,
			   bool drained);
void endpoints_observed(struct fleetd *f, Cdm__EndpointState **states,
			size_t n);
void endpoints_heard(struct fleetd *f, Cdm__EndpointState **states, size_t n);
size_t endpoints_select_gossip(struct fleetd *f, Cdm__EndpointState *out,
			       size_t max);
Cdm__EndpointState *endpoints_unavailable(struct fleetd *f, size_t *n);
Cdm__EndpointState *endpoints_changes(struct fleetd *f, uint64_t since,
				      size_t *n);
json_t *endpoints_status(const struct fleetd *f);

#endif /* FLEETD_ENDPOINTS_H */
