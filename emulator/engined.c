/*
 * Settings and main program of the stand-in engine.
 */
#include <stddef.h>
#include <stdio.h>
#include <unistd.h>

#include "emulator/engine.h"

static void start(struct standin *s);
static void changed(void *target);
static void release(void *target);
static bool die(void *target, const json_t *value, char *err, size_t err_size);
static bool reset(void *target, const json_t *value, char *err,
		  size_t err_size);
static bool pause_for(void *target, const json_t *value, char *err,
		      size_t err_size);

#define FIELD(name) offsetof(struct engine, name)
static const struct standin_setting settings[] = {
	{ .name = "token_ms",
	  .type = STANDIN_DECIMAL,
	  .offset = FIELD(token_ms),
	  .min = 0.01,
	  .max = 3600000,
	  .help = "Time from a stream's token to its next one" },
	{ .name = "prefill_tokens_per_s",
	  .type = STANDIN_DECIMAL,
	  .offset = FIELD(prefill_tokens_per_s),
	  .min = 1,
	  .max = 1e12,
	  .help = "Rate of prefill, shared by all streams" },
	{ .name = "slots",
	  .type = STANDIN_INTEGER,
	  .offset = FIELD(slots),
	  .min = 1,
	  .max = 1e6,
	  .help = "Streams that run at once" },
	{ .name = "queue_max",
	  .type = STANDIN_INTEGER,
	  .offset = FIELD(queue_max),
	  .max = 1e6,
	  .help = "Streams that wait; beyond: 429" },
	{ .name = "load_lag_ms",
	  .type = STANDIN_DECIMAL,
	  .offset = FIELD(load_lag_ms),
	  .max = 3600000,
	  .help = "Time between load reports" },
	{ .name = "linger_ms",
	  .type = STANDIN_DECIMAL,
	  .offset = FIELD(linger_ms),
	  .max = 3600000,
	  .help = "How long a stream goes on, or is kept, unread" },
	{ .name = "cache_tokens",
	  .type = STANDIN_INTEGER,
	  .offset = FIELD(cache.max_tokens),
	  .max = 1e9,
	  .help = "Memory of the prefix cache" },
	{ .name = "cache_event_lag_ms",
	  .type = STANDIN_DECIMAL,
	  .offset = FIELD(cache.event_lag_ms),
	  .max = 3600000,
	  .help = "Time until a cache event is told" },
	{ .name = "cache_event_loss",
	  .type = STANDIN_DECIMAL,
	  .offset = FIELD(cache.event_loss),
	  .max = 1,
	  .help = "Share of cache events that are never told" },
	{ .name = "crash_on",
	  .type = STANDIN_STRING,
	  .offset = FIELD(crash_on),
	  .help = "A prompt that contains this text ends the process" },
	{ .name = "crash_after_tokens",
	  .type = STANDIN_INTEGER,
	  .offset = FIELD(crash_after_tokens),
	  .max = 1e9,
	  .help = "Tokens that a crashing prompt generates first" },
	{ .name = "stop_after",
	  .type = STANDIN_INTEGER,
	  .offset = FIELD(stop_after),
	  .max = 1e9,
	  .help = "Position at which generations end by themselves" },
	{ .name = "check_fencing",
	  .type = STANDIN_BOOLEAN,
	  .offset = FIELD(check_fencing),
	  .help = "Refuse orders with an old fencing number" },
	{ .name = "fail_connect",
	  .type = STANDIN_BOOLEAN,
	  .offset = FIELD(fail_connect),
	  .help = "Refuse new connections" },
	{ .name = "hang",
	  .type = STANDIN_BOOLEAN,
	  .offset = FIELD(hang),
	  .help = "Accept connections, but do and send nothing" },
	{ .name = "mute",
	  .type = STANDIN_BOOLEAN,
	  .offset = FIELD(mute),
	  .help = "Generate, but send nothing of it" },
	{ .name = "seed",
	  .type = STANDIN_INTEGER,
	  .offset = FIELD(seed),
	  .max = 1e15,
	  .help = "Decides which cache events are lost" },
	{ .name = "pause_ms", .type = STANDIN_ACTION, .act = pause_for },
	{ .name = "reset", .type = STANDIN_ACTION, .act = reset },
	{ .name = "die", .type = STANDIN_ACTION, .act = die },
	{ .name = NULL },
};

/* Starts the engine after the command line is parsed. */
static void start(struct standin *s)
{
	engine_start(s->target);
}

/* Applies changed settings. */
static void changed(void *target)
{
	engine_apply_settings(target);
}

/* Frees the engine before the process exits. */
static void release(void *target)
{
	engine_release(target);
}

/* Exits the process immediately. */
static bool die(void *target, const json_t *value, char *err, size_t err_size)
{
	(void)target;
	(void)value;
	(void)err;
	(void)err_size;
	_exit(ENGINE_EXIT_DIED);
}

/* Aborts the connections of all streams. */
static bool reset(void *target, const json_t *value, char *err, size_t err_size)
{
	(void)value;
	(void)err;
	(void)err_size;
	engine_reset_connections(target);
	return true;
}

/* Stops all work for a number of milliseconds. */
static bool pause_for(void *target, const json_t *value, char *err,
		      size_t err_size)
{
	if (!json_is_number(value) || json_number_value(value) < 0) {
		snprintf(err, err_size, "pause_ms has to be a time");
		return false;
	}
	engine_pause(target, json_number_value(value));
	return true;
}

int main(int argc, char **argv)
{
	struct engine engine = {
		.token_ms = 20,
		.prefill_tokens_per_s = 20000,
		.slots = 64,
		.queue_max = 64,
		.load_lag_ms = 200,
		.linger_ms = 3000,
		.cache.max_tokens = 100000,
		.cache.event_lag_ms = 500,
		.cache.event_loss = 0.05,
		.check_fencing = true,
		.standin = {
			.program = "engined",
			.doc = "Stand-in for a model engine.",
			.settings = settings,
			.target = &engine,
			.routes = engine_routes,
			.start = start,
			.changed = changed,
			.release = release,
		},
	};

	return standin_run(&engine.standin, argc, argv);
}
