#ifndef POLICY_SILENCE_H
#define POLICY_SILENCE_H

#include <stdbool.h>
#include <stdint.h>

enum silence_action {
	SILENCE_WAIT,
	SILENCE_PROBE, /* ask the endpoint for a connection */
	SILENCE_MOVE, /* the run is lost or stuck: go on elsewhere */
};

/* One run as its instance hears it; times in ms of one clock. */
struct silence_run {
	uint64_t heard_ms; /* last event, or start of the run */
	uint64_t probed_ms; /* last probe of the endpoint; 0: none */
	uint64_t first_by_ms; /* first event expected; 0: it has come */
	uint32_t gap_max_ms; /* longest pause that is still on time */
	bool can_move; /* attempts are left, and budget */
	bool has_copy; /* its memory is kept elsewhere */
	bool from_copy; /* it was to go on at once from a copy */
	bool spare; /* enough budget is left to move by choice */
	uint32_t expected_first_ms; /* from the start of the run */
};

enum silence_action silence_judge(const struct silence_run *run, uint64_t now);

#endif /* POLICY_SILENCE_H */
