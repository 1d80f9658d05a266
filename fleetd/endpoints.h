#ifndef FLEETD_ENDPOINTS_H
#define FLEETD_ENDPOINTS_H

#include <jansson.h>

#include "fleetd/fleetd.h"
#include "proto/control.pb-c.h"

#define ENDPOINT_RUMOURS_MAX 16 /* states in one digest */
#define ENDPOINT_SENDS 8 /* digests that carry a change */
#define ENDPOINT_HEARD_DOWN_MS 15000 /* unless the loss is told again */

/* What is known of one endpoint of the configuration in force. */
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
	uint64_t leaving_until; /* ms; hearsay of other instances */
	bool told_leaving; /* as last told to the cdmentryds */
	bool polled; /* at least once with success */
	bool polling;
	bool contested; /* others lost it; a good poll is told to them */
	unsigned int failures; /* polls failed in a row */
	uint64_t poll_at; /* ms */
	uint64_t down_until; /* ms; a good poll before it doesn't count */
	uint64_t down_expires; /* ms; not watched: then taken for up again */
	uint32_t slots;
	uint32_t running;
	uint32_t queued;
	uint64_t salt; /* of the engine's start; 0: unknown */
	uint64_t load_at; /* ms, when the load held */
	unsigned int sends_left; /* digests that still tell of it */
	uint64_t repeat_at; /* ms, when loss or leaving is told again */
	bool ordering; /* an order is on its way */
	uint64_t order_fence; /* of the last order obeyed; 0: none */
	uint64_t order_salt; /* of the engine's start that obeyed it */
	uint64_t order_at; /* ms, when the next may be sent */
	uint64_t changed; /* sequence of the last change */
};

struct endpoints {
	struct endpoint *all; /* by id */
	size_t n;
	uint64_t tick_at; /* ms */
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
void endpoint_note_leaving(struct fleetd *f, struct endpoint *e);
void endpoint_set_up(struct fleetd *f, struct endpoint *e, bool up,
		     const char *why);
void endpoint_set_load(struct fleetd *f, struct endpoint *e,
		       const struct endpoint_load *load);
void endpoints_set_leaving(struct fleetd *f, const char *name, bool listed,
			   bool drained);
void endpoints_observed(struct fleetd *f, Cdm__EndpointState **states,
			size_t n);
void endpoints_heard(struct fleetd *f, Cdm__EndpointState **states, size_t n);
size_t endpoints_rumours(struct fleetd *f, Cdm__EndpointState *out, size_t max);
Cdm__EndpointState *endpoints_troubled(struct fleetd *f, size_t *n);
Cdm__EndpointState *endpoints_changes(struct fleetd *f, uint64_t since,
				      size_t *n);
json_t *endpoints_status(const struct fleetd *f);

#endif /* FLEETD_ENDPOINTS_H */
