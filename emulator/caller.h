#ifndef EMULATOR_CALLER_H
#define EMULATOR_CALLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "emulator/chain.h"
#include "lib/httpc.h"

enum caller_outcome {
	CALLER_SUCCESS, /* the whole answer, its chain good */
	CALLER_REFUSED, /* a refusal, and no try is left */
	CALLER_BROKEN, /* cut off, and no reconnect is left */
	CALLER_WRONG, /* the answer's chain is broken */
};

/* What a caller asks for and how far it goes; strings are copied. */
struct caller_options {
	const char *key; /* bearer token */
	const char *model;
	const char *prompt;
	uint64_t max_tokens;
	const char *const *addresses; /* asked for the entries, in turn */
	size_t n_addresses;
	size_t first_address; /* asked first */
	unsigned refusals_max; /* refusals after which it comes back */
	unsigned reconnects_max;
	uint32_t silence_ms; /* reconnects after so much; 0: never */
	bool has_deadline; /* tell deadline_ms */
	uint32_t deadline_ms;
};

struct caller_result {
	enum caller_outcome outcome;
	enum chain_fault fault;
	int status; /* of the last refusal */
	char run[24]; /* what the last refusal said */
	char detail[256];
	char finish[16]; /* finish_reason */
	uint64_t prompt_tokens; /* as stand-in engines count them */
	uint64_t tokens;
	uint64_t relayed; /* tokens that came, those before a restart too */
	unsigned refusals;
	unsigned reconnects;
	unsigned restarts;
	double first_token_ms; /* from the start; -1: none came */
	double longest_gap_ms; /* between two tokens */
	double total_ms;
};

/* One caller as the users' own are: it asks which addresses to use, streams
 * a completion, and goes on at another address when its connection breaks. */
struct caller;

struct caller_ops {
	void (*on_gap)(void *arg, double ms); /* or NULL */
	/* exactly once; the caller is gone after it */
	void (*on_done)(void *arg, const struct caller_result *result);
};

struct caller *caller_start(uv_loop_t *loop, struct httpc *client,
			    const struct caller_options *options,
			    const struct caller_ops *ops, void *arg);
void caller_cancel(struct caller *c); /* no callback follows */
const struct caller_result *caller_progress(const struct caller *c);
const char *caller_outcome_name(enum caller_outcome outcome);

#endif /* EMULATOR_CALLER_H */
