/* A recorded sequence of runs for regress/crash_replay.c. */
#ifndef REGRESS_CRASH_RECORD_H
#define REGRESS_CRASH_RECORD_H

#include <stddef.h>
#include <stdint.h>

/* Times in ms from the start. */
struct replay_recorded_run {
	uint8_t observer;
	uint8_t content; /* 0: streams, 2: the crashing one */
	uint8_t endpoint;
	uint16_t sent_ms;
	uint16_t last_ms; /* its last event, or sent_ms */
	uint16_t over_ms;
	uint8_t broke; /* else it completed */
};

/* An observer found that an endpoint had ended, or had an answer from it. */
struct replay_recorded_sign {
	uint8_t observer;
	uint8_t endpoint;
	uint16_t at_ms;
};

struct replay_record {
	const struct replay_recorded_run *runs;
	size_t n_runs;
	const struct replay_recorded_sign *ends;
	size_t n_ends;
	const struct replay_recorded_sign *answers;
	size_t n_answers;
};

extern const struct replay_record crash_record_98003;

#endif /* REGRESS_CRASH_RECORD_H */
