#ifndef EMULATOR_ENGINE_H
#define EMULATOR_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>
#include <uv.h>

#include "emulator/chain.h"
#include "emulator/engine_cache.h"
#include "emulator/engine_orders.h"
#include "emulator/standin.h"
#include "lib/slots.h"

#define ENGINE_TICK_MS 2
#define ENGINE_EXIT_DIED 3

enum stream_state {
	STREAM_QUEUED, /* waits for a slot */
	STREAM_PREFILL,
	STREAM_DECODE,
	STREAM_DONE, /* kept for a while, so that it can be replayed */
};

/* A connection that reads a stream.  Freed when its request is over. */
struct reader {
	struct engine *engine;
	struct handle stream;
	struct httpd_req *req;
	uint64_t next; /* position of the next token to send */
	size_t offset; /* of that token in the stream's text */
	bool placed; /* offset is known */
};

/* An entry of the tree of names; it stays in its place in memory. */
struct stream_name {
	char *name;
	struct handle stream;
};

struct stream {
	struct handle self;
	struct stream_name *name;
	char *prompt;
	size_t prompt_len;
	char *text; /* given and generated */
	size_t text_len;
	size_t text_size;
	struct chain chain;
	uint64_t max_tokens; /* to generate here */
	uint64_t generated;
	int priority; /* higher runs first */
	uint64_t arrival;
	enum stream_state state;
	double prefill_left; /* tokens */
	double decode_ms; /* when the next token is due */
	double unread_ms; /* since when it is without a reader, or done */
	struct reader *reader;
};

struct engine {
	struct standin standin;
	/* settings */
	bool hang;
	bool mute;
	double token_ms;
	double prefill_tokens_per_s;
	int64_t slots;
	int64_t queue_max;
	double load_lag_ms;
	double linger_ms;
	char *crash_on;
	int64_t crash_after_tokens;
	int64_t stop_after;
	bool check_fencing;
	bool fail_connect;
	int64_t seed;
	/* state */
	uint64_t salt;
	struct slots streams;
	void *names; /* tree of streams' names */
	uint64_t arrivals;
	int64_t running;
	int64_t queued;
	uint64_t prefilled;
	uint64_t decoded;
	double last_ms; /* of the last tick */
	double clock_ms; /* stands still while the engine does */
	double paused_until_ms;
	struct engine_cache cache;
	struct engine_orders orders;
	json_t *runs; /* prompt: times it was run */
	json_t *load; /* the report that is told */
	double load_ms; /* when it was made */
	uint64_t load_decoded; /* at that time */
	uv_timer_t tick; /* runs while there are streams */
	uv_timer_t report;
};

enum add_outcome {
	ADD_DONE,
	ADD_NAME_TAKEN,
	ADD_QUEUE_FULL,
};

/* What a caller asks for; strings belong to the caller. */
struct stream_request {
	const char *name;
	const char *prompt;
	size_t prompt_len;
	const char *text;
	size_t text_len;
	uint64_t position;
	uint64_t max_tokens;
	int priority;
};

extern const struct httpd_route engine_routes[];

void engine_start(struct engine *e);
void engine_apply_settings(struct engine *e);
void engine_release(struct engine *e);
enum add_outcome engine_add(struct engine *e, const struct stream_request *r,
			    struct stream **added);
struct stream *engine_find(const struct engine *e, const char *name);
void engine_remove(struct engine *e, struct stream *st);
void engine_reset_connections(struct engine *e);
void engine_pause(struct engine *e, double ms);
bool engine_stalled(const struct engine *e);
json_t *engine_load(struct engine *e);

/* engine_send.c */
void reader_attach(struct engine *e, struct stream *st, struct httpd_req *req,
		   uint64_t from);
void reader_abort(struct stream *st);
void reader_fail(struct stream *st, const char *why);
void reader_send(struct stream *st);

#endif /* EMULATOR_ENGINE_H */
