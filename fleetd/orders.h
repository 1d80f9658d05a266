#ifndef FLEETD_ORDERS_H
#define FLEETD_ORDERS_H

#include "fleetd/fleetd.h"

struct orders *orders_new(void);
void orders_free(struct orders *o);
void orders_tick(struct fleetd *f, uint64_t now);
size_t orders_outstanding(const struct fleetd *f);

#endif /* FLEETD_ORDERS_H */
