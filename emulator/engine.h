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
	STREAM_QUEUED, /* waiting for a slot */
	STREAM_PREFILL,
	STREAM_DECODE,
	STREAM_DONE, /* kept for linger_ms for replay */
};

/* A request that receives a stream; freed when the request is closed. */
struct token_reader {
	struct engine *engine;
	struct handle stream;
	struct httpd_req *req;
	uint64_t next; /* position of the next token to send */
	size_t offset; /* of that token in the stream's text, bytes */
	bool located; /* offset is set */
};

/* An entry of the tree of names, allocated on its own since streams move in
 * memory. */
struct stream_name {
	char *name;
	struct handle stream;
};

struct stream {
	struct handle self;
	struct stream_name *name;
	char *prompt;
	size_t prompt_len;
	char *text; /* received in the request and generated */
	size_t text_len;
	size_t text_size;
	struct chain chain;
	uint64_t max_tokens; /* to generate on this engine */
	uint64_t generated;
	int priority; /* higher runs first */
	uint64_t arrival;
	enum stream_state state;
	double prefill_left; /* tokens */
	double next_token_ms; /* due time of the next token, on clock_ms */
	double unread_since_ms; /* since when it has no reader or is done */
	struct token_reader *reader;
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
	void *names; /* tree of struct stream_name */
	uint64_t arrivals;
	int64_t running;
	int64_t queued;
	uint64_t prefilled;
	uint64_t decoded;
	double last_tick_ms;
	double clock_ms; /* stops while the engine is stalled */
	double paused_until_ms;
	struct engine_cache cache;
	struct engine_orders orders;
	json_t *runs; /* prompt: number of runs */
	json_t *load_report; /* latest load report */
	double load_report_ms; /* time of that report */
	uint64_t load_report_decoded; /* value of decoded at that time */
	uv_timer_t tick; /* runs while there are streams */
	uv_timer_t report;
};

enum add_outcome {
	ADD_DONE,
	ADD_NAME_TAKEN,
	ADD_QUEUE_FULL,
};

/* Parameters of a new stream; the strings are borrowed. */
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
