#ifndef FLEETD_DEMANDS_H
#define FLEETD_DEMANDS_H

#include "fleetd/fleetd.h"
#include "lib/frame.h"
#include "proto/control.pb-c.h"

struct demands *demands_new(void);
void demands_free(struct demands *d);
void demands_changed(struct fleetd *f);
void demands_observed(struct fleetd *f, const struct frame_conn *from,
		      const Cdm__Observation *m);
void demands_received(struct fleetd *f, Cdm__Observation *m);

#endif /* FLEETD_DEMANDS_H */
