/* Replays without a clock of runs, breaks and ends of endpoints, against the
 * rules of policy/crash_suspect.c, driven as proxyd/suspects.c drives them, and
 * against policy/crash_estimate.c.  All draws depend only on the seed and the
 * request, so that both get the same arrivals and faults. */
#ifndef REGRESS_CRASH_REPLAY_H
#define REGRESS_CRASH_REPLAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/crash_estimate.h"
#include "regress/crash_record.h"

enum {
	REPLAY_OBSERVERS_MAX = 6,
	REPLAY_TIMES_MAX = 48,
	REPLAY_ENDPOINTS_MAX = 64,
};

/* Times in ms from the start; 0 in a list of times ends it. */
struct replay_scenario {
	const char *name;
	/* the estimate misses a target here in some seeds */
	bool misses;
	/* in place of all below: the runs are those recorded, but for those that
	 * the rule refuses */
	const struct replay_record *record;
	uint32_t endpoints;
	uint32_t streams_per_s; /* of one content, 3 s each */
	uint32_t lookups_per_s; /* of one content, 20 ms each */
	/* the crashing content: its arrivals and the attempts of each */
	uint64_t crash_at[REPLAY_TIMES_MAX];
	uint8_t crash_attempts[REPLAY_TIMES_MAX]; /* 0: 3 */
	uint32_t crash_every_ms; /* in place of the list, from 2 s on */
	uint32_t crash_min_ms; /* age at which its endpoint ends */
	uint32_t crash_max_ms;
	uint32_t crash_one_in; /* runs that end their endpoint */
	/* ends of several endpoints in one moment */
	uint64_t loss_at[REPLAY_TIMES_MAX];
	uint32_t loss_endpoints;
	uint32_t natural_per_s; /* endpoints that end by themselves */
	uint64_t reset_at[REPLAY_TIMES_MAX]; /* of all connections, none ends */
	/* until an observer finds out that an endpoint has ended */
	uint32_t found_min_ms;
	uint32_t found_max_ms;
};

struct replay_result {
	uint32_t ended_by_crashing; /* endpoints */
	uint32_t ended;
	uint32_t late; /* runs of the crashing content that reached an endpoint
			  later than 1.5 s after the third end by it */
	bool crashing_refused;
	uint32_t innocents_refused; /* of 2 contents, by any observer */
	uint64_t innocent_ms; /* the longest, of one content by one observer */
	uint64_t innocent_held_ms; /* the same, for which it was held */
	uint32_t requests_refused; /* of the innocents */
};

/* One column of the table; estimate NULL: the present rules. */
struct replay_rule {
	const char *name;
	const struct crash_estimate_params *estimate;
};

/* The sequences of the table. */
extern const struct replay_scenario replay_scenarios[];
extern const size_t replay_n_scenarios;

struct replay_result crash_replay(const struct replay_scenario *s,
				  const struct replay_rule *rule,
				  uint32_t observers, uint64_t seed);

void crash_replay_fit(struct crash_estimate_params *params);

#endif /* REGRESS_CRASH_REPLAY_H */
