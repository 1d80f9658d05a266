#ifndef ENTRYD_FLEET_H
#define ENTRYD_FLEET_H

#include "entryd/entryd.h"
#include "proto/control.pb-c.h"

struct fleet *fleet_new(struct entryd *e);
void fleet_stop(struct entryd *e);
void fleet_free(struct fleet *f);
void fleet_tick(struct entryd *e, uint64_t now);
bool fleet_observe(struct entryd *e, Cdm__Observation *m);
bool fleet_connected(const struct entryd *e);

#endif /* ENTRYD_FLEET_H */
