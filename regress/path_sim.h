/* Replays of policy/path.c, and the bounds that it must keep in them.  All draws
 * depend only on the seed. */
#ifndef REGRESS_PATH_SIM_H
#define REGRESS_PATH_SIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	PATH_SIM_SIZES = 3,
	PATH_SIM_ENDED_MS = 5000, /* how long endpoints are ended */
	PATH_SIM_SILENCE_MS = 1000, /* how long a sound one may be silent */
};

/* Numbers of instances, and of endpoints of a service. */
extern const uint32_t path_sim_fleets[PATH_SIM_SIZES];
extern const uint32_t path_sim_services[PATH_SIM_SIZES];

/* How an endpoint, seen from an instance, treats connections and calls. */
enum path_manner { PATH_SOUND, PATH_REFUSES, PATH_SILENT, PATH_MUTE };

/* What happens in a replay. */
struct path_scenario {
	uint32_t instances;
	uint32_t endpoints;
	uint32_t cut; /* instances that are cut off */
	enum path_manner cut_manner;
	uint32_t faulty; /* endpoints that have a fault */
	enum path_manner fault_manner; /* PATH_MUTE: they answer afterwards */
	uint32_t fault_lasts_ms; /* 0: as long as a cut */
	bool in_a_row; /* these are listed first, else anywhere */
	uint32_t busy; /* endpoints that answer late, the last ones */
};

/* The worst of the instances of a replay, or of several. */
struct path_worst {
	uint32_t n; /* instances that lost their path to a cut */
	uint64_t known_sum_ms;
	uint64_t known_ms; /* from the cut, UINT64_MAX: never */
	uint64_t back_ms; /* from its end, UINT64_MAX: never */
	uint64_t wrong_ms; /* held for lost while an endpoint answers */
	uint32_t losses; /* of one instance */
	uint32_t wrong_losses; /* of one that is not cut off, or after a cut */
};

/* Endpoints that have a fault of their own; no instance is cut off. */
struct path_fault {
	const char *what;
	enum path_manner manner;
	uint32_t lasts_ms;
	bool of[4]; /* a third, half, all but one, all */
	bool in_a_row;
	uint32_t busy_percent;
};

void path_sim_replay(struct path_worst *w, const struct path_scenario *s,
		     uint64_t seed);
int path_sim_check_cuts(enum path_manner manner, uint32_t busy_percent,
			uint64_t seed);
int path_sim_check_fault(const struct path_fault *fault, uint64_t seed);

#endif /* REGRESS_PATH_SIM_H */
