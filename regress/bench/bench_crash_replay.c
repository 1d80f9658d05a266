/*
 * Plays sequences of runs and ends of endpoints against the present rules on
 * requests that end endpoints and against an estimate, and prints the table of
 * docs/incidents/losses-of-every-engine.md: a line for each sequence, rule and
 * number of observers.  "issued" is the estimate that refuses at once, of runs
 * that count up to their last event; "held" holds contents before it refuses
 * them; "whole" also counts completed runs at every age.
 * usage: bench_crash_replay [FIRST-SEED]
 */
#include <stdio.h>
#include <stdlib.h>

#include "regress/crash_replay.h"

enum {
	SEEDS = 30, /* with one observer */
	SEEDS_OF_MANY = 10, /* with REPLAY_OBSERVERS_MAX */
	LATE_MAX = 3, /* the users' bound */
};

static void print_line(const struct replay_scenario *s,
		       const struct replay_rule *rule, uint32_t observers,
		       uint64_t first_seed, uint32_t seeds);

/* Prints, over all seeds: the seeds in which the crashing content was refused;
 * its late arrivals, the most in a seed and the seeds with more than allowed;
 * the endpoints it ended, in all and at most; of the innocents the contents and
 * requests refused, and the longest that one was refused and held. */
static void print_line(const struct replay_scenario *s,
		       const struct replay_rule *rule, uint32_t observers,
		       uint64_t first_seed, uint32_t seeds)
{
	struct replay_result most = { 0 };
	uint32_t refused = 0;
	uint32_t above = 0;
	uint32_t ended = 0;
	uint32_t innocents = 0;
	uint32_t requests = 0;
	uint64_t seed;

	for (seed = first_seed; seed < first_seed + seeds; seed++) {
		struct replay_result r = crash_replay(s, rule, observers, seed);

		refused += r.crashing_refused;
		above += r.late > LATE_MAX;
		ended += r.ended_by_crashing;
		innocents += r.innocents_refused;
		requests += r.requests_refused;
		if (r.late > most.late)
			most.late = r.late;
		if (r.ended_by_crashing > most.ended_by_crashing)
			most.ended_by_crashing = r.ended_by_crashing;
		if (r.innocent_ms > most.innocent_ms)
			most.innocent_ms = r.innocent_ms;
		if (r.innocent_held_ms > most.innocent_held_ms)
			most.innocent_held_ms = r.innocent_held_ms;
	}
	printf("%-40s observers %u %-8s crashing_refused %2u/%u late_max %2u "
	       "late_above %2u ended %3u ended_max %2u innocents %2u "
	       "requests %5u longest_ms %5llu held_ms %4llu\n",
	       s->name, observers, rule->name, refused, seeds, most.late, above,
	       ended, most.ended_by_crashing, innocents, requests,
	       (unsigned long long)most.innocent_ms,
	       (unsigned long long)most.innocent_held_ms);
}

int main(int argc, char **argv)
{
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	struct crash_estimate_params whole = crash_estimate_defaults;
	struct crash_estimate_params held;
	struct crash_estimate_params issued;
	const struct replay_rule rules[] = {
		{ .name = "present" },
		{ .name = "issued", .estimate = &issued },
		{ .name = "held", .estimate = &held },
		{ .name = "whole", .estimate = &whole },
	};
	size_t i;
	size_t k;

	crash_replay_fit(&whole);
	held = whole;
	held.completed_reach_all = false;
	issued = held;
	issued.settle_ms = 0;
	issued.break_hold_ms = 0;
	for (i = 0; i < replay_n_scenarios; i++)
		for (k = 0; k < sizeof(rules) / sizeof(rules[0]); k++) {
			print_line(&replay_scenarios[i], &rules[k], 1, seed,
				   SEEDS);
			print_line(&replay_scenarios[i], &rules[k],
				   REPLAY_OBSERVERS_MAX, seed, SEEDS_OF_MANY);
		}
	return 0;
}
