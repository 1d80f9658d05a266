#ifndef FLEETD_COMMIT_H
#define FLEETD_COMMIT_H

#include "fleetd/confsync.h"

enum commit_outcome {
	COMMIT_ACCEPTED,
	COMMIT_LOST, /* another file stands at the version */
	COMMIT_NOT_ACCEPTED, /* surely without effect */
	COMMIT_UNKNOWN, /* it may be accepted */
};

struct commit_result {
	enum commit_outcome outcome;
	uint64_t version; /* ours, or the one that won */
	const char *author; /* of the one that won */
	const char *reason; /* for a person */
};

struct commits;

struct commits *commits_new(void);
void commits_free(struct commits *list);
void commits_tick(struct fleetd *f, uint64_t now);
void commit_start(struct fleetd *f, struct config *config, uint64_t base,
		  const char *author,
		  void (*done)(void *arg, const struct commit_result *result),
		  void *arg);

#endif /* FLEETD_COMMIT_H */
