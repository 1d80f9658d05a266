/*
 * The phase of the soak in which instances are stopped and started while the
 * store does their removals up to six seconds late.  Checks the users' rule LIMIT
 * on the plain workers, which name limits, and that all instances are listed at
 * the end.
 */
#include "regress/soak/late_phase.h"

#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/bytes.h"
#include "lib/xalloc.h"
#include "regress/limit_rule.h"
#include "regress/random.h"

#define LATE_SEED 6000003 /* the faults of a seed stay the same */
#define PHASE_MS 10000
#define STOPS_MS 7000 /* from the start of the phase */
#define STEP_MS 20
#define DEADLINE_MS 900
#define CALLS_MAX 512
#define CALLS_PER_STEP 2
#define STOP_INTERVAL_MS 400 /* mean, of instances that are stopped */
#define LATE_MIN_MS 1000 /* of the store's removals */
#define LATE_MAX_MS 6000
#define LIMIT "5" /* requests a second, of each plain worker */

static const struct late_phase *phase;
static struct random_source numbers;
static struct http1_call *calls[CALLS_MAX]; /* NULL: none */
static uint64_t started_ms;
static unsigned stops;

static enum http1_head_decision on_head(void *arg, const struct http1_head *h);
static void on_body(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum http1_outcome outcome);

static const struct http1_call_ops call_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static uint64_t now_ms(void)
{
	return uv_now(harness_loop(phase->harness));
}

static enum http1_head_decision on_head(void *arg, const struct http1_head *h)
{
	(void)arg;
	(void)h;
	return HTTP1_ACCEPT;
}

static void on_body(void *arg, const char *data, size_t len)
{
	(void)arg;
	(void)data;
	(void)len;
}

static void on_end(void *arg, enum http1_outcome outcome)
{
	(void)outcome;
	*(struct http1_call **)arg = NULL;
}

/* Sends a lookup to a random instance, in whatever state that is. */
static void send_lookup(void)
{
	static unsigned number;
	const struct http1_call_options options = {
		.address =
			phase
				->instances[random_below(
					&numbers, (uint32_t)phase->n_instances)]
				.callers,
		.connect_timeout_ms = 500,
	};
	struct bytes out = { 0 };
	size_t i;

	for (i = 0; i < CALLS_MAX && calls[i]; i++)
		;
	if (i == CALLS_MAX)
		return;
	bytes_addf(&out,
		   "GET /look/l HTTP/1.1\r\nhost: 127.0.0.1\r\n"
		   "credential: k1\r\nrequest-id: l-%u\r\n"
		   "deadline-ms: %d\r\n\r\n",
		   ++number, DEADLINE_MS);
	calls[i] = http1_call_start(phase->client, &options, out.data, out.len,
				    &call_ops, &calls[i]);
}

/* Starts the instances that have stopped; returns how many are stopping. */
static size_t start_stopped(bool *stopping)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < phase->n_instances; i++) {
		struct standin_instance *in = &phase->instances[i];

		if (!stopping[i])
			continue;
		if (proc_running(in->proc)) {
			n++;
			continue;
		}
		assert_int_equal(proc_wait(in->proc), 0);
		standin_start_instance(phase->world, in);
		stopping[i] = false;
	}
	return n;
}

/* Stops a random instance, unless half of them are stopping. */
static void stop_one(bool *stopping, size_t n_stopping)
{
	size_t i = random_below(&numbers, (uint32_t)phase->n_instances);

	if (stopping[i] || 2 * (n_stopping + 1) > phase->n_instances + 1)
		return;
	stopping[i] = true;
	stops++;
	proc_signal(phase->instances[i].proc, SIGTERM);
}

/* Counts the arrivals at the end of the phase's first seconds and later. */
static bool counts(const struct limit_rule_filter *f,
		   const struct standin_arrival *a, uint64_t named_ms)
{
	(void)f;
	(void)named_ms;
	return a->at_ms >= started_ms + LIMIT_RULE_APPLIED_MS;
}

static bool is_listed(void *arg)
{
	const struct standin_instance *in = arg;

	return standin_row_contains(phase->world, "instances", in->name,
				    in->callers);
}

/* Returns how many own entries were lost so far, by the logs. */
static size_t count_lost(void)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < phase->n_instances; i++)
		n += proc_output_count(phase->instances[i].proc,
				       "\"event\":\"own-entry-lost\"");
	return n;
}

static void check_limits(size_t lost)
{
	static const struct limit_rule_filter filter = { .counts = counts };
	const struct limit_use use =
		limit_rule_worst(phase->world, LIMIT_RULE_APPLIED_MS, &filter);

	print_message("seed %llu: %u stops beside late removals, %zu entries "
		      "written again; at most %zu arrivals in 4 s, %.1f are "
		      "allowed\n",
		      (unsigned long long)phase->seed, stops, lost,
		      use.arrivals, use.allowed);
	if (use.used > 1)
		fail_msg("too many arrivals beside late removals");
}

/* Runs the phase and its checks. */
void late_phase_run(const struct late_phase *p)
{
	struct standin_world *w = p->world;
	bool *stopping = xcalloc(p->n_instances, sizeof(*stopping));
	uint64_t late_ms = 0;
	size_t lost;
	size_t n_stopping = 0;
	size_t i;

	phase = p;
	lost = count_lost();
	numbers = (struct random_source){ .seed = p->seed + LATE_SEED };
	for (i = 0; i < p->n_plain; i++)
		w->workers[i].limit = LIMIT;
	w->held_removals = "n"; /* the entries of all instances */
	started_ms = now_ms();
	while (now_ms() < started_ms + PHASE_MS || n_stopping) {
		for (i = 0; i < CALLS_PER_STEP; i++)
			send_lookup();
		if (now_ms() < started_ms + STOPS_MS &&
		    random_below(&numbers, STOP_INTERVAL_MS) < STEP_MS)
			stop_one(stopping, n_stopping);
		n_stopping = start_stopped(stopping);
		if (!standin_count_held(w)) {
			late_ms = now_ms() + LATE_MIN_MS +
				  random_below(&numbers,
					       LATE_MAX_MS - LATE_MIN_MS);
		} else if (now_ms() >= late_ms) {
			standin_do_held(w);
		}
		http1_client_tick(p->client);
		harness_run(p->harness, STEP_MS);
	}
	w->held_removals = NULL;
	standin_do_held(w);
	for (i = 0; i < p->n_instances; i++)
		harness_until(p->harness, is_listed, &p->instances[i],
			      "all instances are listed");
	check_limits(count_lost() - lost);
	for (i = 0; i < CALLS_MAX; i++)
		if (calls[i])
			http1_call_cancel(calls[i]);
	for (i = 0; i < p->n_plain; i++)
		w->workers[i].limit = NULL;
	free(stopping);
}
