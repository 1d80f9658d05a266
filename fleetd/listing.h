#ifndef FLEETD_LISTING_H
#define FLEETD_LISTING_H

#include "fleetd/fleetd.h"

/* What a drain request applies to. */
enum drain_kind {
	DRAIN_OF_ENDPOINT,
	DRAIN_OF_INSTANCE,
};

/* Result of a drain request. */
enum drain_result {
	DRAIN_DONE,
	DRAIN_FAILED, /* nothing was changed */
	DRAIN_UNKNOWN, /* the reply was lost; a retry is safe */
};

struct listing *listing_new(void);
void listing_free(struct listing *l);
void listing_tick(struct fleetd *f, uint64_t now);
void listing_read_soon(struct fleetd *f);
void listing_apply(struct fleetd *f);
void drain_request(struct fleetd *f, enum drain_kind kind, const char *name,
		   bool undo, void (*done)(void *arg, enum drain_result result),
		   void *arg);

#endif /* FLEETD_LISTING_H */
