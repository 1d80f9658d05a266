#ifndef ENTRYD_ENDPOINTS_H
#define ENTRYD_ENDPOINTS_H

#include <jansson.h>

#include "entryd/entryd.h"
#include "policy/quarantine.h"
#include "policy/resume.h"
#include "policy/route.h"
#include "proto/control.pb-c.h"

#define ENDPOINT_CANDIDATES_MAX 512 /* of one service, for one decision */

/* One endpoint of the configuration. */
struct endpoint {
	struct handle self;
	uint64_t id;
	char *name;
	char *address;
	uint16_t zone;
	uint64_t service; /* id */
	bool model; /* a model engine */
	bool removed; /* from the configuration */
	bool used; /* by this instance */
	bool config_leaving;
	bool fleet_leaving; /* as cdmfleetd tells */
	bool fleet_down;
	bool lost; /* seen to be gone by this process */
	bool probing;
	struct quarantine_digest *broken_runs; /* whose streams broke there */
	size_t n_broken_runs; /* until a probe tells whether it died */
	uint64_t broken_salt; /* of the start that they ran on */
	uint64_t probe_at; /* ms, of the next probe while it is lost */
	uint32_t slots;
	uint32_t running; /* of the last report */
	uint32_t queued;
	uint64_t reported_at; /* ms; 0: never */
	uint64_t full_until; /* ms; it refused a request as it has no room */
	uint64_t salt; /* of the engine's start, last seen; 0: unknown */
	uint32_t own_now; /* this process's requests there */
	uint32_t own_reported;
	uint32_t suspects_now; /* of these, suspects of a crash */
	uint32_t alone_now; /* of these, to be run alone */
	struct resume_endpoint silence;
	enum resume_health health;
};

/* Endpoints that a request must not use again. */
struct endpoint_list {
	uint64_t ids[8];
	size_t n;
};

struct endpoints *endpoints_new(void);
void endpoints_free(struct endpoints *t);
void endpoints_configure(struct entryd *e);
void endpoints_reassign(struct entryd *e);
void endpoints_assign_step(struct entryd *e);
void endpoints_tick(struct entryd *e, uint64_t now, uint32_t stall_ms);
void endpoints_heard(struct entryd *e, Cdm__EndpointState **states, size_t n);
struct endpoint *endpoint_get(const struct entryd *e, struct handle h);
struct endpoint *endpoint_by_id(const struct entryd *e, uint64_t id);
struct endpoint *endpoints_next(const struct entryd *e, uint32_t *index);
bool endpoint_up(const struct endpoint *ep);
bool endpoint_leaving(const struct endpoint *ep);
struct endpoint *endpoints_route(struct entryd *e, uint64_t service,
				 const struct route_request *req,
				 const struct endpoint_list *avoid,
				 enum route_outcome *outcome);
void endpoint_list_add(struct endpoint_list *list, uint64_t id);
void endpoint_release(struct entryd *e, struct endpoint *ep);
void endpoint_check(struct entryd *e, struct endpoint *ep);
void endpoint_unreachable(struct entryd *e, struct endpoint *ep);
void endpoint_is_full(struct entryd *e, struct endpoint *ep);
uint32_t endpoint_queued(const struct endpoint *ep, uint64_t now);
json_t *endpoints_status(const struct entryd *e);

#endif /* ENTRYD_ENDPOINTS_H */
