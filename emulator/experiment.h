#ifndef EMULATOR_EXPERIMENT_H
#define EMULATOR_EXPERIMENT_H

#include <stdbool.h>
#include <stddef.h>

#include <uv.h>

#include "lib/httpc.h"

#define EXPERIMENT_ACTIONS_MAX 64
#define EXPERIMENT_ENGINES_MAX 64

/* A control request that is sent at its time. */
struct experiment_action {
	double at_ms; /* from the start */
	char *address;
	char *body;
	bool sent;
};

/* What one engine has done since the start; it may be started anew. */
struct experiment_engine {
	struct experiment *owner;
	const char *address;
	bool known; /* was read once */
	bool asking;
	double last_prefilled; /* as read, since the engine's own start */
	double last_decoded;
	double prefilled; /* since the experiment's start */
	double decoded;
};

/* Faults at given times, and the work that engines did meanwhile. */
struct experiment {
	uv_loop_t *loop;
	struct httpc *client;
	uv_timer_t timer;
	double start_ms;
	struct experiment_action actions[EXPERIMENT_ACTIONS_MAX];
	size_t n_actions;
	struct experiment_engine engines[EXPERIMENT_ENGINES_MAX];
	size_t n_engines;
};

bool experiment_add_action(struct experiment *x, const char *spec);
bool experiment_add_engine(struct experiment *x, const char *address);
void experiment_start(struct experiment *x, uv_loop_t *loop,
		      struct httpc *client);
void experiment_read_engines(struct experiment *x);
bool experiment_read_pending(const struct experiment *x);
void experiment_close(struct experiment *x);
double experiment_prefilled(const struct experiment *x);
double experiment_decoded(const struct experiment *x);

#endif /* EMULATOR_EXPERIMENT_H */
