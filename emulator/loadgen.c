/*
 * cdmload: runs many concurrent callers, verifies every answer and prints a
 * summary of the results.
 */
#include <argp.h>
#include <bsd/stdlib.h>
#include <jansson.h>
#include <math.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "emulator/caller.h"
#include "emulator/experiment.h"
#include "emulator/sketch.h"
#include "lib/httpc.h"
#include "lib/xalloc.h"

#define NAMES_MAX 64
#define PROMPT_MAX_BYTES 1000000

const char *argp_program_version = "cardamomknot 0.1";

enum {
	KEY_MAX_TOKENS = 0x200,
	KEY_PROMPT_BYTES,
	KEY_REFUSALS,
	KEY_RECONNECTS,
	KEY_SILENCE_MS,
	KEY_SEED,
	KEY_RAMP_MS,
	KEY_AT,
	KEY_ENGINE,
};

struct load {
	const char *addresses[NAMES_MAX];
	size_t n_addresses;
	const char *keys[NAMES_MAX];
	size_t n_keys;
	const char *model;
	uint64_t callers; /* concurrent */
	uint64_t requests; /* in total; 0: limited by duration_ms */
	uint64_t duration_ms;
	uint64_t max_tokens;
	uint64_t prompt_bytes;
	uint64_t refusals_max;
	uint64_t reconnects_max;
	uint64_t silence_ms;
	uint64_t seed;
	uint64_t ramp_ms; /* over which the callers start */
	uv_loop_t *loop;
	struct httpc *client;
	uv_timer_t timer;
	double start_ms;
	double end_ms;
	uint64_t started;
	uint64_t open;
	uint64_t outcomes[CALLER_WRONG + 1];
	uint64_t refusals;
	uint64_t reconnects;
	uint64_t restarts;
	uint64_t tokens;
	uint64_t relayed;
	uint64_t unexplained_refusals; /* without run or detail */
	char fault[64]; /* of the first wrong answer */
	uint64_t prompt_tokens; /* of complete answers */
	uint64_t whole_tokens;
	struct experiment experiment;
	bool ending; /* all callers are done; last read of the engines */
	struct sketch first_token;
	struct sketch gaps;
	struct sketch longest_gaps;
	struct sketch totals;
};

static error_t parse_option(int key, char *arg, struct argp_state *state);
static error_t parse_number(int key, char *arg, struct argp_state *state);
static uint64_t number(const char *arg, struct argp_state *state);
static void add_name(const char **names, size_t *n, const char *name,
		     struct argp_state *state);
static void on_tick(uv_timer_t *timer);
static bool can_start(const struct load *l, double elapsed_ms);
static void start_caller(struct load *l);
static char *make_prompt(const struct load *l);
static void on_gap(void *arg, double ms);
static void on_done(void *arg, const struct caller_result *r);
static void report(const struct load *l, double seconds);
static void put(json_t *json, const char *name, double value, const char *unit);
static void put_quantiles(json_t *json, const char *name,
			  const struct sketch *s);
static void put_work(json_t *json, const struct load *l);

static const struct argp_option options[] = {
	{ "entry", 'e', "ADDRESS", 0,
	  "Ask a.b.c.d:port for the entries; repeat for more", 0 },
	{ "key", 'k', "KEY", 0, "Bearer token; repeat for more, used in turn",
	  0 },
	{ "model", 'm', "NAME", 0, "Model to ask", 0 },
	{ "callers", 'n', "N", 0, "Callers at once (1)", 0 },
	{ "requests", 'r', "N", 0, "Requests in all (one a caller)", 0 },
	{ "duration", 'd', "MS", 0, "Begin requests for so long instead", 0 },
	{ "max-tokens", KEY_MAX_TOKENS, "N", 0, "Length of an answer (100)",
	  0 },
	{ "prompt-bytes", KEY_PROMPT_BYTES, "N", 0,
	  "Length of a prompt after its number (200)", 0 },
	{ "refusals", KEY_REFUSALS, "N", 0,
	  "Refusals after which a caller comes back (0)", 0 },
	{ "reconnects", KEY_RECONNECTS, "N", 0,
	  "Breaks after which a caller goes on (20)", 0 },
	{ "silence-ms", KEY_SILENCE_MS, "MS", 0,
	  "Silence that a caller takes for a break (10000; 0: any)", 0 },
	{ "ramp-ms", KEY_RAMP_MS, "MS", 0, "Time over which callers begin (0)",
	  0 },
	{ "at", KEY_AT, "MS,ADDRESS,JSON", 0,
	  "Send a control request at its time; repeat for more", 0 },
	{ "engine", KEY_ENGINE, "ADDRESS", 0,
	  "Count the work of this engine; repeat for more", 0 },
	{ "seed", KEY_SEED, "N", 0, "Decides the prompts (random)", 0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

static const struct caller_ops caller_ops = {
	.on_gap = on_gap,
	.on_done = on_done,
};

/* Handles one option of the command line. */
static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct load *l = state->input;

	switch (key) {
	case 'e':
		add_name(l->addresses, &l->n_addresses, arg, state);
		break;
	case 'k':
		add_name(l->keys, &l->n_keys, arg, state);
		break;
	case 'm':
		l->model = arg;
		break;
	case KEY_AT:
		if (!experiment_add_action(&l->experiment, arg))
			argp_error(state, "%s: not MS,ADDRESS,JSON", arg);
		break;
	case KEY_ENGINE:
		if (!experiment_add_engine(&l->experiment, arg))
			argp_error(state, "%s: too many engines", arg);
		break;
	case ARGP_KEY_END:
		if (!l->n_addresses || !l->n_keys || !l->model)
			argp_error(state, "an entry, a key and a model are "
					  "needed (-e, -k, -m)");
		break;
	default:
		return parse_number(key, arg, state);
	}
	return 0;
}

/* Handles an option whose value is an integer. */
static error_t parse_number(int key, char *arg, struct argp_state *state)
{
#define FIELD(name) offsetof(struct load, name)
	static const struct {
		int key;
		size_t offset;
	} numbers[] = {
		{ 'n', FIELD(callers) },
		{ 'r', FIELD(requests) },
		{ 'd', FIELD(duration_ms) },
		{ KEY_MAX_TOKENS, FIELD(max_tokens) },
		{ KEY_PROMPT_BYTES, FIELD(prompt_bytes) },
		{ KEY_REFUSALS, FIELD(refusals_max) },
		{ KEY_RECONNECTS, FIELD(reconnects_max) },
		{ KEY_SILENCE_MS, FIELD(silence_ms) },
		{ KEY_RAMP_MS, FIELD(ramp_ms) },
		{ KEY_SEED, FIELD(seed) },
	};
	char *load = state->input;
	size_t i;

	for (i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
		if (numbers[i].key != key)
			continue;
		*(uint64_t *)(load + numbers[i].offset) = number(arg, state);
		return 0;
	}
	return ARGP_ERR_UNKNOWN;
}

/* Parses an integer, or exits with a message. */
static uint64_t number(const char *arg, struct argp_state *state)
{
	const char *err;
	long long value = strtonum(arg, 0, 1000000000000, &err);

	if (err)
		argp_error(state, "%s: the number is %s", arg, err);
	return (uint64_t)value;
}

/* Adds a name to a list of at most NAMES_MAX, or exits with a message. */
static void add_name(const char **names, size_t *n, const char *name,
		     struct argp_state *state)
{
	if (*n == NAMES_MAX)
		argp_error(state, "%s: no more than %d are taken", name,
			   NAMES_MAX);
	names[(*n)++] = name;
}

/* Returns a monotonic clock in milliseconds. */
static double now_ms(void)
{
	return (double)uv_hrtime() / 1e6;
}

/* Starts callers that are due.  After the last one is done, reads the engines
 * once more and stops the loop. */
static void on_tick(uv_timer_t *timer)
{
	struct load *l = timer->data;
	double elapsed = now_ms() - l->start_ms;

	if (experiment_read_pending(&l->experiment) &&
	    (l->ending || !l->started))
		return;
	if (l->ending) {
		uv_stop(l->loop);
		return;
	}
	while (can_start(l, elapsed))
		start_caller(l);
	if (l->open || (l->duration_ms ? elapsed < (double)l->duration_ms
				       : l->started < l->requests))
		return;
	l->end_ms = now_ms();
	l->ending = true;
	experiment_read_engines(&l->experiment);
}

/* Returns whether another caller may start now. */
static bool can_start(const struct load *l, double elapsed_ms)
{
	double share = l->ramp_ms ? elapsed_ms / (double)l->ramp_ms : 1;

	if (l->open >= l->callers ||
	    (double)l->open >= ceil((double)l->callers * share))
		return false;
	if (l->duration_ms)
		return elapsed_ms < (double)l->duration_ms;
	return l->started < l->requests;
}

/* Starts one caller. */
static void start_caller(struct load *l)
{
	char *prompt = make_prompt(l);
	const struct caller_options o = {
		.key = l->keys[l->started % l->n_keys],
		.model = l->model,
		.prompt = prompt,
		.max_tokens = l->max_tokens,
		.addresses = l->addresses,
		.n_addresses = l->n_addresses,
		.first_address = l->started,
		.refusals_max = (unsigned)l->refusals_max,
		.reconnects_max = (unsigned)l->reconnects_max,
		.silence_ms = (uint32_t)l->silence_ms,
	};

	l->started++;
	l->open++;
	caller_start(l->loop, l->client, &o, &caller_ops, l);
	free(prompt);
}

/* Builds a unique prompt, padded with zeros; the caller frees it. */
static char *make_prompt(const struct load *l)
{
	int fill = l->prompt_bytes < PROMPT_MAX_BYTES ? (int)l->prompt_bytes
						      : PROMPT_MAX_BYTES;

	return xasprintf("load %llu request %llu %0*d",
			 (unsigned long long)l->seed,
			 (unsigned long long)l->started, fill, 0);
}

/* Records the gap between two tokens. */
static void on_gap(void *arg, double ms)
{
	struct load *l = arg;

	sketch_add(&l->gaps, ms);
}

/* Adds the result of a finished caller. */
static void on_done(void *arg, const struct caller_result *r)
{
	struct load *l = arg;

	l->open--;
	l->outcomes[r->outcome]++;
	l->refusals += r->refusals + (r->outcome == CALLER_REFUSED);
	l->reconnects += r->reconnects;
	l->restarts += r->restarts;
	l->tokens += r->tokens;
	l->relayed += r->relayed;
	if (r->outcome == CALLER_REFUSED && (!*r->run || !*r->detail))
		l->unexplained_refusals++;
	if (r->outcome == CALLER_WRONG && !*l->fault)
		snprintf(l->fault, sizeof(l->fault), "%s at token %llu",
			 chain_fault_name(r->fault),
			 (unsigned long long)r->tokens);
	if (r->first_token_ms >= 0)
		sketch_add(&l->first_token, r->first_token_ms);
	if (r->outcome == CALLER_SUCCESS) {
		l->prompt_tokens += r->prompt_tokens;
		l->whole_tokens += r->tokens;
		sketch_add(&l->longest_gaps, r->longest_gap_ms);
		sketch_add(&l->totals, r->total_ms);
	}
}

/* Prints one figure per line, and all of them as JSON in the last line. */
static void report(const struct load *l, double seconds)
{
	json_t *json = json_object();
	char *text;

	put(json, "started", (double)l->started, "requests");
	put(json, "completed", (double)l->outcomes[CALLER_SUCCESS], "requests");
	put(json, "refused", (double)l->outcomes[CALLER_REFUSED], "requests");
	put(json, "broken", (double)l->outcomes[CALLER_BROKEN], "requests");
	put(json, "wrong", (double)l->outcomes[CALLER_WRONG], "requests");
	put(json, "refusals", (double)l->refusals, "answers");
	put(json, "refusals_without_reason", (double)l->unexplained_refusals,
	    "answers");
	put(json, "reconnects", (double)l->reconnects, "connections");
	put(json, "restarts", (double)l->restarts, "answers");
	put(json, "tokens", (double)l->tokens, "tokens");
	put(json, "tokens_relayed", (double)l->relayed, "tokens");
	put(json, "tokens_per_s", (double)l->relayed / seconds, "tokens/s");
	put_quantiles(json, "first_token", &l->first_token);
	put_quantiles(json, "gap", &l->gaps);
	put_quantiles(json, "longest_gap", &l->longest_gaps);
	put_quantiles(json, "total", &l->totals);
	put_work(json, l);
	put(json, "elapsed", seconds, "s");
	if (*l->fault)
		json_object_set_new(json, "fault", json_string(l->fault));
	text = json_dumps(json, JSON_COMPACT | JSON_REAL_PRECISION(6));
	puts(text);
	free(text);
	json_decref(json);
}

/* Prints one figure and adds it to the JSON object. */
static void put(json_t *json, const char *name, double value, const char *unit)
{
	printf("%s %.6g %s\n", name, value, unit);
	json_object_set_new(json, name, json_real(value));
}

/* Prints the quantiles and the maximum of a sketch. */
static void put_quantiles(json_t *json, const char *name,
			  const struct sketch *s)
{
	static const struct {
		const char *suffix;
		double q;
	} quantiles[] = {
		{ "p50", 0.5 },
		{ "p95", 0.95 },
		{ "p99", 0.99 },
		{ "p999", 0.999 },
	};
	char full[64];
	size_t i;

	for (i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
		snprintf(full, sizeof(full), "%s_%s", name,
			 quantiles[i].suffix);
		put(json, full, sketch_quantile(s, quantiles[i].q), "ms");
	}
	snprintf(full, sizeof(full), "%s_max", name);
	put(json, full, s->max, "ms");
}

/* Prints the engines' work, and its excess over the work needed for the
 * complete answers. */
static void put_work(json_t *json, const struct load *l)
{
	double prefilled = experiment_prefilled(&l->experiment);
	double decoded = experiment_decoded(&l->experiment);
	double needed = (double)(l->prompt_tokens + l->whole_tokens);

	if (!l->experiment.n_engines)
		return;
	put(json, "engines_prefilled", prefilled, "tokens");
	put(json, "engines_decoded", decoded, "tokens");
	put(json, "needed", needed, "tokens");
	put(json, "extra_work",
	    needed > 0 ? (prefilled + decoded) / needed - 1 : 0, "ratio");
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Opens many streams, checks every answer and prints "
		       "what the callers saw.",
	};
	static struct load l = {
		.callers = 1,
		.max_tokens = 100,
		.prompt_bytes = 200,
		.reconnects_max = 20,
		.silence_ms = 10000,
	};
	double seconds;

	signal(SIGPIPE, SIG_IGN);
	l.seed = arc4random();
	argp_parse(&argp, argc, argv, 0, NULL, &l);
	if (!l.requests)
		l.requests = l.callers;
	l.loop = uv_default_loop();
	l.client = httpc_new(l.loop);
	uv_timer_init(l.loop, &l.timer);
	l.timer.data = &l;
	l.start_ms = now_ms();
	uv_timer_start(&l.timer, on_tick, 0, 5);
	experiment_start(&l.experiment, l.loop, l.client);
	uv_run(l.loop, UV_RUN_DEFAULT);
	seconds = (l.end_ms - l.start_ms) / 1000;
	experiment_close(&l.experiment);
	uv_close((uv_handle_t *)&l.timer, NULL);
	httpc_free(l.client);
	uv_run(l.loop, UV_RUN_DEFAULT);
	uv_loop_close(l.loop);
	report(&l, seconds);
	return l.outcomes[CALLER_WRONG] || l.outcomes[CALLER_BROKEN];
}
