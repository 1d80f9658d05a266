#ifndef PROXYD_ENDPOINTS_TABLE_H
#define PROXYD_ENDPOINTS_TABLE_H

/* Private layout of the endpoint table, shared by endpoints.c, endpoints_path.c,
 * endpoints_place.c and endpoints_software.c. */

#include "lib/counters.h"
#include "policy/local_fault.h"
#include "policy/prompt_location.h"
#include "proxyd/endpoints.h"

#define ZONES_MAX 64

/* State of a service across its endpoints. */
struct service_state {
	char *service;
	uint64_t hash; /* of its name */
	struct repeat_budget budget;
	struct limit_return limit_return; /* of callers refused by limits */
	uint64_t lost_ms[ZONES_MAX]; /* last endpoint loss by zone; 0: none */
	struct path path; /* to its endpoints */
	bool mixed; /* entries name more than one version of its software */
};

struct endpoints {
	struct proxyd *proxyd;
	struct slots table; /* of struct endpoint * */
	char *zones[ZONES_MAX];
	uint16_t n_zones;
	uint16_t own_zone;
	struct service_state *services;
	size_t n_services;
	struct placement_candidate *candidates; /* of the current choice */
	struct handle *candidate_handles;
	size_t candidates_size;
	struct local_fault local_fault;
	struct prompt_location_table prompt_locations;
	struct counter *probes;
	struct counter *losses;
	struct counter *paths_lost;
	struct counter *path_probes;
};

void endpoint_probe_path(struct endpoints *t, struct endpoint *e);
void endpoint_ended(struct endpoints *t, struct endpoint *e);
struct service_state *endpoints_service(struct endpoints *t,
					const char *service);

/* endpoints_software.c */
void endpoint_name_process(struct endpoint *e, uint64_t start);
void endpoint_software_updated(struct endpoint *e,
			       const struct endpoint_entry *n, bool restarted);
void endpoints_note_versions(struct endpoints *t, const char *service);
void endpoint_ask_start(struct endpoints *t, struct endpoint *e);
void endpoint_name_unasked_start(const struct endpoint *e);

#endif /* PROXYD_ENDPOINTS_TABLE_H */
