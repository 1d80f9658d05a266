#ifndef FLEETD_STATUS_H
#define FLEETD_STATUS_H

#include <jansson.h>

#include "fleetd/fleetd.h"

json_t *status_json(const struct fleetd *f);
json_t *status_plan(const struct fleetd *f, const struct config *after);

#endif /* FLEETD_STATUS_H */
