#ifndef EMULATOR_EXPERIMENT_H
#define EMULATOR_EXPERIMENT_H

#include <stdbool.h>
#include <stddef.h>

#include <uv.h>

#include "lib/httpc.h"

#define EXPERIMENT_ACTIONS_MAX 64
#define EXPERIMENT_ENGINES_MAX 64

/* A control request sent at a given time. */
struct experiment_action {
	double at_ms; /* since the start */
	char *address;
	char *body;
	bool sent;
};

/* Work of one engine since the start, across restarts of the engine. */
struct experiment_engine {
	struct experiment *owner;
	const char *address;
	bool has_baseline; /* counters were read once */
	bool read_pending;
	double last_prefilled; /* last reading, since engine start */
	double last_decoded;
	double prefilled; /* since the experiment's start */
	double decoded;
};

/* Scheduled faults, and the work of the engines during the experiment. */
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
