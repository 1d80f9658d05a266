#ifndef ENTRYD_ENDPOINTS_H
#define ENTRYD_ENDPOINTS_H

#include <jansson.h>

#include "entryd/entryd.h"
#include "policy/quarantine.h"
#include "policy/resume.h"
#include "policy/route.h"
#include "proto/control.pb-c.h"

#define ENDPOINT_CANDIDATES_MAX 512 /* per routing decision */

/* An endpoint of the configuration and its state as this process knows it. */
struct endpoint {
	struct handle self;
	uint64_t id;
	char *name;
	char *address;
	uint16_t zone;
	uint64_t service; /* id of the service's name */
	bool model; /* it is a model engine, not a plain service */
	bool removed; /* no longer in the configuration */
	bool used; /* assigned to this instance */
	bool config_leaving;
	bool fleet_leaving; /* reported by cdmfleetd */
	bool fleet_down;
	bool lost; /* found unreachable by this process */
	bool probing; /* a probe is in progress */
	struct quarantine_digest *broken_runs; /* broken streams */
	size_t n_broken_runs; /* 0 after a probe */
	uint64_t broken_salt; /* salt of the engine start they ran on */
	uint64_t probe_at; /* ms; next probe while the endpoint is lost */
	uint32_t slots;
	uint32_t running; /* in the last load report */
	uint32_t queued;
	uint64_t reported_at; /* ms, time of the last load report; 0: none */
	uint64_t full_until; /* ms; it refused a request as full */
	uint64_t salt; /* last seen salt of the engine's start; 0: unknown */
	uint32_t own_requests; /* requests of this process at it */
	uint32_t own_requests_reported; /* own_requests at the last report */
	uint32_t suspect_requests; /* those suspected of crashing endpoints */
	uint32_t isolated_requests; /* those that must run alone */
	struct resume_endpoint silence;
	enum resume_health health;
};

/* Ids of endpoints that a request must not use again. */
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
void endpoints_receive(struct entryd *e, Cdm__EndpointState **states, size_t n);
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
void endpoint_set_full(struct entryd *e, struct endpoint *ep);
uint32_t endpoint_queued(const struct endpoint *ep, uint64_t now);
json_t *endpoints_status(const struct entryd *e);

#endif /* ENTRYD_ENDPOINTS_H */
