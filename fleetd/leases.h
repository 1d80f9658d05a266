#ifndef FLEETD_LEASES_H
#define FLEETD_LEASES_H

#include <jansson.h>

#include "fleetd/fleetd.h"
#include "policy/lease.h"

struct leases *leases_new(void);
void leases_free(struct leases *l);
void leases_configure(struct fleetd *f);
void leases_tick(struct fleetd *f);
void leases_members_changed(struct fleetd *f);
bool leases_any_held(const struct fleetd *f);
const struct lease *leases_find(const struct fleetd *f, const char *service);
enum lease_decision leases_check(const struct fleetd *f, const char *service,
				 bool endpoint_checks, uint32_t order_ms);
json_t *leases_status(const struct fleetd *f);

#endif /* FLEETD_LEASES_H */
