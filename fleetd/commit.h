#ifndef FLEETD_COMMIT_H
#define FLEETD_COMMIT_H

#include "fleetd/confsync.h"

/* Outcomes of a commit. */
enum commit_outcome {
	COMMIT_ACCEPTED,
	COMMIT_LOST, /* another file was accepted as the version */
	COMMIT_NOT_ACCEPTED, /* certainly without effect */
	COMMIT_UNKNOWN, /* the file may have been accepted */
};

/* The outcome of a commit with its details. */
struct commit_result {
	enum commit_outcome outcome;
	uint64_t version; /* of this commit, or the accepted one if lost */
	const char *author; /* of the accepted version, if lost */
	const char *reason; /* explanation for the operator */
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
