#ifndef POLICY_CRASH_SIGHTING_H
#define POLICY_CRASH_SIGHTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/crash_suspect.h"

/* A part of a prompt under which endpoints crashed, of one request so far. */
struct crash_sighting {
	uint64_t part; /* its hash; 0: unused */
	struct run_crash crash; /* the first */
	uint64_t at_ms; /* when the last one was received */
};

/* The oldest sightings are forgotten first. */
struct crash_sightings {
	struct crash_sighting *slot;
	size_t n_sets;
	uint64_t forgotten; /* before they expired, in total */
};

void crash_sightings_init(struct crash_sightings *t, size_t max);
void crash_sightings_release(struct crash_sightings *t);
struct crash_sighting *crash_sighting_find(const struct crash_sightings *t,
					   uint64_t part, uint64_t since_ms);
void crash_sighting_add(struct crash_sightings *t,
			const struct crash_sighting *s, uint64_t since_ms);
struct crash_sighting *crash_sighting_next(const struct crash_sightings *t,
					   size_t *index);

#endif /* POLICY_CRASH_SIGHTING_H */
