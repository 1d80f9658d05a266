/*
 * The stand-in engine: a table of streams that is processed every
 * ENGINE_TICK_MS.  Streams wait for a slot by priority, share the prefill rate,
 * and then generate one token every token_ms, independent of the number of
 * streams running.
 */
#include "emulator/engine.h"

#include <math.h>
#include <search.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <bsd/stdlib.h>

#include "lib/counters.h"
#include "lib/log.h"
#include "lib/xalloc.h"

#define TICK_GAP_MAX_MS 100 /* no catching up after SIGSTOP */
#define RUN_KEY_MAX 200 /* bytes; longer prompts are counted by hash */

static void on_tick(uv_timer_t *timer);
static void on_report(uv_timer_t *timer);
static void update_load_report(struct engine *e);
static void schedule(struct engine *e);
static struct stream *first_queued(struct engine *e);
static void begin_run(struct engine *e, struct stream *st);
static void count_run(struct engine *e, const struct stream *st);
static bool is_crashing(const struct engine *e, const struct stream *st);
static void prefill(struct engine *e, double elapsed_ms);
static void decode(struct engine *e);
static void decode_stream(struct engine *e, struct stream *st);
static void add_token(struct engine *e, struct stream *st);
static void finish(struct engine *e, struct stream *st);
static void send_all(struct engine *e);
static void expire(struct engine *e);
static int compare_names(const void *a, const void *b);

static struct counter prefilled_counter = {
	.name = "engine_prefilled_tokens_total",
	.help = "Tokens prefilled that were not in the prefix cache",
	.kind = COUNTER_TOTAL,
};
static struct counter decoded_counter = {
	.name = "engine_decoded_tokens_total",
	.help = "Tokens generated",
	.kind = COUNTER_TOTAL,
};
static struct counter runs_counter = {
	.name = "engine_runs_total",
	.help = "Streams that got a slot",
	.kind = COUNTER_TOTAL,
};
static struct counter running_counter = {
	.name = "engine_running_streams",
	.help = "Streams that have a slot",
	.kind = COUNTER_GAUGE,
};

/* Initializes the engine on its loop; the settings are already applied. */
void engine_start(struct engine *e)
{
	uv_loop_t *loop = e->standin.loop;

	arc4random_buf(&e->salt, sizeof(e->salt));
	slots_init(&e->streams, sizeof(struct stream));
	cache_init(&e->cache, e->seed ? (uint64_t)e->seed : e->salt);
	orders_init(&e->orders);
	e->runs = json_object();
	uv_timer_init(loop, &e->tick);
	e->tick.data = e;
	uv_timer_init(loop, &e->report);
	e->report.data = e;
	e->last_tick_ms = e->load_report_ms = standin_now_ms();
	update_load_report(e);
	counter_register(&prefilled_counter);
	counter_register(&decoded_counter);
	counter_register(&runs_counter);
	counter_register(&running_counter);
}

/* Applies changed settings to the listener and the load report timer. */
void engine_apply_settings(struct engine *e)
{
	uint64_t lag = (uint64_t)e->load_lag_ms;

	standin_listen(&e->standin, !e->fail_connect);
	if (lag)
		uv_timer_start(&e->report, on_report, lag, lag);
	else
		uv_timer_stop(&e->report);
}

/* Frees the streams and all other state. */
void engine_release(struct engine *e)
{
	struct stream *st;
	uint32_t i = 0;

	while ((st = slots_next(&e->streams, &i, NULL)))
		engine_remove(e, st);
	slots_release(&e->streams);
	cache_release(&e->cache);
	orders_release(&e->orders);
	json_decref(e->runs);
	json_decref(e->load_report);
	uv_close((uv_handle_t *)&e->tick, NULL);
	uv_close((uv_handle_t *)&e->report, NULL);
}

/* Adds a stream to the queue; *added is set only on ADD_DONE. */
enum add_outcome engine_add(struct engine *e, const struct stream_request *r,
			    struct stream **added)
{
	struct handle h;
	struct stream *st;

	if (engine_find(e, r->name))
		return ADD_NAME_TAKEN;
	if (e->queued >= e->queue_max && e->running + e->queued >= e->slots)
		return ADD_QUEUE_FULL;
	st = slots_alloc(&e->streams, &h);
	st->self = h;
	st->name = xcalloc(1, sizeof(*st->name));
	*st->name = (struct stream_name){ xstrdup(r->name), h };
	tsearch(st->name, &e->names, compare_names);
	st->prompt = xstrndup(r->prompt, r->prompt_len);
	st->prompt_len = r->prompt_len;
	st->text = xmemdup(r->text, r->text_len);
	st->text_len = st->text_size = r->text_len;
	chain_start(&st->chain, r->prompt, r->prompt_len);
	chain_append(&st->chain, r->text, r->text_len, r->position);
	st->max_tokens = r->max_tokens;
	st->priority = r->priority;
	st->arrival = e->arrivals++;
	st->unread_since_ms = standin_now_ms();
	e->queued++;
	if (!uv_is_active((uv_handle_t *)&e->tick)) {
		e->last_tick_ms = standin_now_ms();
		uv_timer_start(&e->tick, on_tick, 0, ENGINE_TICK_MS);
	}
	*added = st;
	return ADD_DONE;
}

/* Returns the stream with a name, or NULL. */
struct stream *engine_find(const struct engine *e, const char *name)
{
	char *copy = xstrdup(name);
	struct stream_name key = { .name = copy };
	struct stream_name **found = tfind(&key, &e->names, compare_names);

	free(copy);
	return found ? slots_get(&e->streams, (*found)->stream) : NULL;
}

/* Removes a stream in any state; its reader receives an error event. */
void engine_remove(struct engine *e, struct stream *st)
{
	reader_fail(st, "the stream was cancelled");
	if (st->state == STREAM_QUEUED)
		e->queued--;
	else if (st->state != STREAM_DONE)
		finish(e, st);
	tdelete(st->name, &e->names, compare_names);
	free(st->name->name);
	free(st->name);
	free(st->prompt);
	free(st->text);
	slots_free(&e->streams, st->self);
}

/* Aborts the connections of all streams; the streams continue unread. */
void engine_reset_connections(struct engine *e)
{
	struct stream *st;
	uint32_t i = 0;

	while ((st = slots_next(&e->streams, &i, NULL)))
		reader_abort(st);
}

/* Stops all work for ms milliseconds. */
void engine_pause(struct engine *e, double ms)
{
	e->paused_until_ms = standin_now_ms() + ms;
}

/* Returns whether the engine hangs or is paused. */
bool engine_stalled(const struct engine *e)
{
	return e->hang || standin_now_ms() < e->paused_until_ms;
}

/* Returns the latest load report with its age, at most load_lag_ms. */
json_t *engine_load(struct engine *e)
{
	json_t *report;

	if (e->load_lag_ms < 1)
		update_load_report(e);
	report = json_copy(e->load_report);
	json_object_set_new(report, "age_ms",
			    json_integer((json_int_t)(standin_now_ms() -
						      e->load_report_ms)));
	return report;
}

/* Schedules, prefills, decodes, sends and expires streams. */
static void on_tick(uv_timer_t *timer)
{
	struct engine *e = timer->data;
	double now = standin_now_ms();
	double elapsed = fmin(now - e->last_tick_ms, TICK_GAP_MAX_MS);

	e->last_tick_ms = now;
	if (engine_stalled(e))
		return;
	e->clock_ms += elapsed;
	schedule(e);
	prefill(e, elapsed);
	decode(e);
	if (!e->mute)
		send_all(e);
	expire(e);
	counter_set(&running_counter, (double)e->running);
	if (!e->streams.n_used)
		uv_timer_stop(timer);
}

/* Updates the load report every load_lag_ms. */
static void on_report(uv_timer_t *timer)
{
	update_load_report(timer->data);
}

/* Replaces the load report by one of the current load. */
static void update_load_report(struct engine *e)
{
	double now = standin_now_ms();
	double seconds = (now - e->load_report_ms) / 1000;
	double rate = seconds > 0
			      ? (double)(e->decoded - e->load_report_decoded) /
					seconds
			      : 0;
	char salt[17];

	snprintf(salt, sizeof(salt), "%016llx", (unsigned long long)e->salt);
	json_decref(e->load_report);
	e->load_report = json_pack("{s:s, s:I, s:I, s:I, s:I, s:I, s:f}",
				   "salt", salt, "slots", (json_int_t)e->slots,
				   "running", (json_int_t)e->running, "queued",
				   (json_int_t)e->queued, "prefilled",
				   (json_int_t)e->prefilled, "decoded",
				   (json_int_t)e->decoded, "tokens_per_s",
				   rate);
	e->load_report_ms = now;
	e->load_report_decoded = e->decoded;
}

/* Assigns free slots to waiting streams. */
static void schedule(struct engine *e)
{
	struct stream *st;

	while (e->running < e->slots && (st = first_queued(e)))
		begin_run(e, st);
}

/* Returns the oldest waiting stream of the highest priority, or NULL. */
static struct stream *first_queued(struct engine *e)
{
	struct stream *best = NULL;
	struct stream *st;
	uint32_t i = 0;

	if (!e->queued)
		return NULL;
	while ((st = slots_next(&e->streams, &i, NULL))) {
		if (st->state != STREAM_QUEUED)
			continue;
		if (!best || st->priority > best->priority ||
		    (st->priority == best->priority &&
		     st->arrival < best->arrival))
			best = st;
	}
	return best;
}

/* Assigns a slot to a stream; tokens not in the cache are to be prefilled. */
static void begin_run(struct engine *e, struct stream *st)
{
	uint64_t total;
	uint64_t cached;

	count_run(e, st);
	if (!e->crash_after_tokens && is_crashing(e, st))
		_exit(ENGINE_EXIT_DIED);
	cached = cache_lookup(&e->cache, st->prompt, st->prompt_len, st->text,
			      st->text_len, &total);
	st->state = STREAM_PREFILL;
	st->prefill_left = (double)(total - cached);
	e->queued--;
	e->running++;
	e->prefilled += total - cached;
	counter_add(&prefilled_counter, (double)(total - cached));
}

/* Counts a run by its prompt, or by the hash of a long prompt. */
static void count_run(struct engine *e, const struct stream *st)
{
	char hash[32];
	const char *key = st->prompt;

	if (st->prompt_len > RUN_KEY_MAX) {
		snprintf(hash, sizeof(hash), "xxh64:%016llx",
			 (unsigned long long)XXH64(st->prompt, st->prompt_len,
						   0));
		key = hash;
	}
	json_object_set_new(
		e->runs, key,
		json_integer(json_integer_value(json_object_get(e->runs, key)) +
			     1));
	counter_add(&runs_counter, 1);
}

/* Returns whether a stream's prompt contains crash_on. */
static bool is_crashing(const struct engine *e, const struct stream *st)
{
	return e->crash_on && *e->crash_on && strstr(st->prompt, e->crash_on);
}

/* Distributes the prefill rate over the streams in table order; a stream
 * receives all that the streams before it left. */
static void prefill(struct engine *e, double elapsed_ms)
{
	double budget = e->prefill_tokens_per_s * elapsed_ms / 1000;
	struct stream *st;
	uint32_t i = 0;

	while ((st = slots_next(&e->streams, &i, NULL))) {
		double spent = fmin(budget, st->prefill_left);

		if (st->state != STREAM_PREFILL)
			continue;
		st->prefill_left -= spent;
		budget -= spent;
		if (st->prefill_left > 0)
			continue;
		st->state = STREAM_DECODE;
		st->next_token_ms = e->clock_ms;
	}
}

/* Generates the due tokens of all decoding streams. */
static void decode(struct engine *e)
{
	struct stream *st;
	uint32_t i = 0;

	while ((st = slots_next(&e->streams, &i, NULL)))
		if (st->state == STREAM_DECODE)
			decode_stream(e, st);
}

/* Generates the due tokens of one stream. */
static void decode_stream(struct engine *e, struct stream *st)
{
	while (st->next_token_ms <= e->clock_ms) {
		if (st->generated >= st->max_tokens ||
		    (e->stop_after &&
		     st->chain.position >= (uint64_t)e->stop_after)) {
			finish(e, st);
			return;
		}
		add_token(e, st);
		st->next_token_ms += e->token_ms;
	}
}

/* Generates one token of a stream. */
static void add_token(struct engine *e, struct stream *st)
{
	if (st->text_size - st->text_len < CHAIN_TOKEN_SIZE) {
		st->text_size = st->text_size * 2 + 4 * CHAIN_TOKEN_SIZE;
		st->text = xreallocarray(st->text, st->text_size, 1);
	}
	st->text_len += chain_make_token(&st->chain, (uint32_t)(e->salt >> 32),
					 st->text + st->text_len);
	st->generated++;
	e->decoded++;
	counter_add(&decoded_counter, 1);
	if (e->crash_after_tokens &&
	    st->generated >= (uint64_t)e->crash_after_tokens &&
	    is_crashing(e, st))
		_exit(ENGINE_EXIT_DIED);
}

/* Frees a stream's slot; the text it generated stays in the cache. */
static void finish(struct engine *e, struct stream *st)
{
	uint64_t total;

	cache_lookup(&e->cache, st->prompt, st->prompt_len, st->text,
		     st->text_len, &total);
	st->state = STREAM_DONE;
	st->unread_since_ms = standin_now_ms();
	e->running--;
}

/* Sends new tokens to all readers. */
static void send_all(struct engine *e)
{
	struct stream *st;
	uint32_t i = 0;

	while ((st = slots_next(&e->streams, &i, NULL)))
		if (st->reader)
			reader_send(st);
}

/* Removes streams that had no reader for linger_ms. */
static void expire(struct engine *e)
{
	double limit = standin_now_ms() - e->linger_ms;
	struct stream *st;
	uint32_t i = 0;

	while ((st = slots_next(&e->streams, &i, NULL)))
		if (!st->reader && st->unread_since_ms < limit)
			engine_remove(e, st);
}

/* Compares two names for tsearch(3). */
static int compare_names(const void *a, const void *b)
{
	const struct stream_name *x = a;
	const struct stream_name *y = b;

	return strcmp(x->name, y->name);
}
