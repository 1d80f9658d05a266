#ifndef POLICY_SILENCE_H
#define POLICY_SILENCE_H

#include <stdbool.h>
#include <stdint.h>

enum silence_action {
	SILENCE_WAIT,
	SILENCE_PROBE, /* open a connection to the endpoint */
	/* the run may be lost or stuck: continue at another endpoint, if one
	 * takes it; otherwise it stays, as its endpoint may go on */
	SILENCE_MOVE,
};

/* A run as seen by its instance; times in ms of one clock. */
struct silence_run {
	uint64_t last_event_ms; /* or start of the run */
	uint64_t probed_ms; /* last probe of the endpoint; 0: none */
	uint64_t first_event_due_ms; /* 0: it has come */
	uint32_t gap_max_ms; /* longest pause between events that is on time */
	uint64_t move_tried_ms; /* when it last could not move; 0: never */
	bool endpoint_lost; /* the endpoint is taken for dead or replaced */
	bool path_lost; /* this instance reaches no endpoint of the service */
	bool resumable; /* another endpoint may continue it */
	bool attempts_left;
	bool has_copy; /* another endpoint has its KV cache */
	bool from_copy; /* it was to resume at once from a KV-cache copy */
	bool has_spare_budget; /* enough for moves other than after a loss */
	uint32_t expected_first_event_ms; /* from the start of the run */
};

enum silence_action silence_decide(const struct silence_run *run, uint64_t now);

#endif /* POLICY_SILENCE_H */
