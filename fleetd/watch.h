#ifndef FLEETD_WATCH_H
#define FLEETD_WATCH_H

#include "fleetd/fleetd.h"

struct watch *watch_new(void);
void watch_free(struct watch *w);
void watch_tick(struct fleetd *f, uint64_t now);
size_t watch_outstanding(const struct fleetd *f);

#endif /* FLEETD_WATCH_H */
