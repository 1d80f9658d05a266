#ifndef EMULATOR_CALLER_H
#define EMULATOR_CALLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "emulator/chain.h"
#include "lib/httpc.h"

enum caller_outcome {
	CALLER_SUCCESS, /* complete answer with a valid token chain */
	CALLER_REFUSED, /* refused, and no retry is left */
	CALLER_BROKEN, /* connection lost, and no reconnect is left */
	CALLER_WRONG, /* the answer's token chain is invalid */
};

/* A caller's request and its retry limits; strings are copied. */
struct caller_options {
	const char *key; /* bearer token */
	const char *model;
	const char *prompt;
	uint64_t max_tokens;
	const char *const *addresses; /* queried for the entries, in rotation */
	size_t n_addresses;
	size_t first_address; /* index of the first one queried */
	unsigned refusals_max; /* refusals that are retried */
	unsigned reconnects_max;
	uint32_t silence_ms; /* read timeout before a reconnect; 0: none */
	bool has_deadline; /* send deadline_ms */
	uint32_t deadline_ms;
};

struct caller_result {
	enum caller_outcome outcome;
	enum chain_fault fault;
	int status; /* of the last refusal */
	char run[24]; /* field "run" of the last refusal */
	char detail[256];
	char finish[16]; /* finish_reason */
	uint64_t prompt_tokens; /* as the stand-in engine counts them */
	uint64_t tokens;
	uint64_t relayed; /* received, including those before a restart */
	unsigned refusals;
	unsigned reconnects;
	unsigned restarts;
	double first_token_ms; /* since the start; -1: none received */
	double longest_gap_ms; /* between two tokens */
	double total_ms;
};

/* Emulates one caller: it queries the entry addresses, streams a completion,
 * and resumes at another address when its connection breaks. */
struct caller;

struct caller_ops {
	void (*on_gap)(void *arg, double ms); /* or NULL */
	/* called exactly once; the caller is freed afterwards */
	void (*on_done)(void *arg, const struct caller_result *result);
};

struct caller *caller_start(uv_loop_t *loop, struct httpc *client,
			    const struct caller_options *options,
			    const struct caller_ops *ops, void *arg);
void caller_cancel(struct caller *c); /* does not call on_done */
const struct caller_result *caller_progress(const struct caller *c);
const char *caller_outcome_name(enum caller_outcome outcome);

#endif /* EMULATOR_CALLER_H */
