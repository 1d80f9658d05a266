#ifndef FLEETD_SUSPECTS_H
#define FLEETD_SUSPECTS_H

#include <jansson.h>

#include "fleetd/fleetd.h"
#include "proto/control.pb-c.h"

#define SUSPECT_UPDATES_MAX 8 /* records in one digest */
#define SUSPECT_DEATHS_MAX 8 /* endpoint starts kept per request */

struct suspects *suspects_new(void);
void suspects_free(struct suspects *s);
void suspects_tick(struct fleetd *f, uint64_t now);
void suspects_received(struct fleetd *f, Cdm__Suspicion **list, size_t n);
size_t suspects_select(struct fleetd *f, Cdm__Suspicion *out, size_t max);
Cdm__Suspicion *suspects_changes(struct fleetd *f, uint64_t since, size_t *n);
json_t *suspects_status(const struct fleetd *f);

#endif /* FLEETD_SUSPECTS_H */
