#ifndef FLEETD_FEED_H
#define FLEETD_FEED_H

#include <jansson.h>

#include "fleetd/fleetd.h"
#include "lib/frame.h"
#include "proto/control.pb-c.h"

struct feed *feed_new(struct fleetd *f);
void feed_free(struct feed *feed);
void feed_tick(struct fleetd *f);
void feed_opened(struct fleetd *f, struct frame_conn *c,
		 const Cdm__Hello *hello);
void feed_closed(struct fleetd *f, struct frame_conn *c);
void feed_observed(struct fleetd *f, struct frame_conn *c,
		   const Cdm__Observation *m);
void feed_forward(struct fleetd *f, const struct frame_conn *except,
		  const Cdm__Observation *m);
uint64_t feed_config_version(const struct fleetd *f);
size_t feed_count(const struct fleetd *f);
json_t *feed_status(const struct fleetd *f);

#endif /* FLEETD_FEED_H */
