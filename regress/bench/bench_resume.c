/*
 * Measures the resume of generations end to end, with real processes, for both
 * profiles: how long the output stops when an engine's connections are reset
 * and when an engine stops sending, the extra work of the engines, and how
 * often a generation is moved away from a slow engine that still works.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/caller.h"

#define N_INSTANCES 3
#define N_ENGINES 6
#define N_CALLERS 72
#define MAX_TOKENS 400
#define TOKEN_MS 10
#define ROUNDS 4
#define RESET_AT 60 /* tokens, received by every caller */
#define HANG_AT 180 /* tokens, received by every caller */
#define PAUSE_MS 120 /* 12 token gaps; rarer than one in a thousand */
#define PAUSES 4
#define SAMPLES_MAX 4096

struct samples {
	double ms[SAMPLES_MAX];
	size_t n;
};

static struct fleet *fleet;
static struct caller *callers[N_CALLERS];

/* Sums a counter over the engines. */
static double sum_engine_counters(const char *series)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < N_ENGINES; i++)
		sum += harness_counter(fleet->harness,
				       fleet->engines[i].control, series);
	return sum;
}

/* Sums a counter over the instances. */
static double sum_entry_counters(const char *series)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < N_INSTANCES; i++)
		sum += harness_counter(fleet->harness,
				       fleet->instances[i].entry_operator,
				       series);
	return sum;
}

/* Returns the number of generations that were moved or hedged so far. */
static double count_moves(void)
{
	return sum_entry_counters("cdmentryd_moves") +
	       sum_entry_counters("cdmentryd_hedges");
}

/* Returns the number of tokens that the engines prefilled and decoded so
 * far. */
static double engine_work_tokens(void)
{
	return sum_engine_counters("engine_prefilled_tokens_total") +
	       sum_engine_counters("engine_decoded_tokens_total");
}

static bool all_reached(void *arg)
{
	const uint32_t *n = arg;
	bool all = true;
	size_t i;

	for (i = 0; i < N_CALLERS; i++) {
		caller_read_events(callers[i]);
		all &= callers[i]->tokens >= *n;
	}
	return all;
}

static void wait_all(uint32_t n)
{
	harness_until(fleet->harness, all_reached, &n,
		      "all answers have the tokens");
}

/* Starts all callers, each with a different prompt. */
static void start_all(unsigned round)
{
	char prompt[64];
	size_t i;

	for (i = 0; i < N_CALLERS; i++) {
		snprintf(prompt, sizeof(prompt), "round %u, guide %zu", round,
			 i);
		callers[i] = caller_open(
			fleet->harness, fleet->instances[i % N_INSTANCES].entry,
			"org-1", prompt, MAX_TOKENS);
	}
}

/* Waits for the end of all answers, checks them and closes the callers. */
static void finish_all(void)
{
	size_t i;

	for (i = 0; i < N_CALLERS; i++) {
		caller_wait_end(callers[i]);
		caller_expect_complete(callers[i], "bench");
		caller_close(callers[i]);
	}
}

/* Returns whether two cursors belong to the same attempt. */
static bool same_attempt(const char *a, const char *b)
{
	size_t len = strcspn(a, ".");

	len += 1 + strcspn(a + len + 1, ".");
	return strncmp(a, b, len + 1) == 0;
}

/* Adds the gap in ms at each change of attempt, less TOKEN_MS: to the first
 * list for changes before HANG_AT tokens, else to the second. */
static void collect_gaps(const struct caller *c, struct samples *before,
			 struct samples *after)
{
	const struct stream_event *last = stream_event_at(c->stream, 0);
	size_t i;

	for (i = 1; i < MAX_TOKENS; i++) {
		const struct stream_event *ev = stream_event_at(c->stream, i);
		struct samples *s = i < HANG_AT ? before : after;

		if (!same_attempt(last->id, ev->id) && s->n < SAMPLES_MAX)
			s->ms[s->n++] = ev->at_ms - last->at_ms - TOKEN_MS;
		last = ev;
	}
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* Prints the median and the 99th percentile. */
static void print_samples(const char *name, const char *profile,
			  struct samples *s)
{
	if (!s->n)
		fail_msg("%s: no generation moved", name);
	qsort(s->ms, s->n, sizeof(s->ms[0]), compare);
	printf("%s_n_%s %zu generations\n", name, profile, s->n);
	printf("%s_p50_%s %.0f ms\n", name, profile, s->ms[s->n / 2]);
	printf("%s_p99_%s %.0f ms\n", name, profile,
	       s->ms[s->n - 1 - s->n / 100]);
}

/* Runs one round: resets one engine's connections, then hangs another engine,
 * and collects the gaps. */
static void run_fault_round(unsigned round, struct samples *reset,
			    struct samples *silent)
{
	struct fleet_endpoint *first = &fleet->engines[round % N_ENGINES];
	struct fleet_endpoint *second =
		&fleet->engines[(round + 2) % N_ENGINES];
	size_t i;

	start_all(round);
	wait_all(RESET_AT);
	harness_control(fleet->harness, first->control, "{\"reset\":true}");
	wait_all(HANG_AT);
	harness_control(fleet->harness, second->control, "{\"hang\":true}");
	wait_all(MAX_TOKENS);
	harness_control(fleet->harness, second->control, "{\"hang\":false}");
	for (i = 0; i < N_CALLERS; i++)
		collect_gaps(callers[i], reset, silent);
	finish_all();
}

/* Returns the tokens prefilled and decoded in one round without faults. */
static double fault_free_work_tokens(void)
{
	double before = engine_work_tokens();

	start_all(ROUNDS + 1);
	finish_all();
	return engine_work_tokens() - before;
}

/* Prints resume latency and extra work under faults. */
static void measure_faults(const char *profile)
{
	static struct samples reset;
	static struct samples silent;
	double needed = ROUNDS * fault_free_work_tokens();
	double done = engine_work_tokens();
	double resent = sum_entry_counters("cdmentryd_tokens_resent");
	double extra;
	unsigned i;

	reset.n = silent.n = 0;
	for (i = 0; i < ROUNDS; i++)
		run_fault_round(i, &reset, &silent);
	done = engine_work_tokens() - done;
	resent = sum_entry_counters("cdmentryd_tokens_resent") - resent;
	extra = done - resent - needed;
	print_samples("resume_reset_ms", profile, &reset);
	print_samples("resume_silent_ms", profile, &silent);
	printf("resent_work_ratio_%s %.4f ratio\n", profile, resent / needed);
	printf("extra_work_ratio_%s %.4f ratio\n", profile, extra / needed);
	printf("extra_work_per_move_%s %.0f tokens\n", profile,
	       extra / (double)(reset.n + silent.n));
}

/* Prints the ratio of moves without a fault: all engines pause for PAUSE_MS,
 * PAUSES times. */
static void measure_false_moves(const char *profile)
{
	double before = count_moves();
	uint32_t i;
	size_t k;

	start_all(ROUNDS);
	for (i = 1; i <= PAUSES; i++) {
		wait_all(i * MAX_TOKENS / (PAUSES + 1));
		for (k = 0; k < N_ENGINES; k++)
			harness_control(fleet->harness,
					fleet->engines[k].control,
					"{\"pause_ms\":%d}", PAUSE_MS);
	}
	finish_all();
	printf("false_moves_ratio_%s %.4f ratio\n", profile,
	       (count_moves() - before) / (N_CALLERS * PAUSES));
}

/* Measures one profile in a new fleet. */
static void measure(const char *profile)
{
	struct fleet_options options = {
		.n_instances = N_INSTANCES,
		.n_zones = 3,
		.n_engines = N_ENGINES,
		.n_organisations = 1,
		.slots = 64,
		.resume = profile,
		.engine_args = { "--token-ms=10", "--load-lag-ms=100" },
	};
	struct harness *h = harness_new();

	fleet = harness_fleet(h, &options);
	measure_faults(profile);
	measure_false_moves(profile);
	fleet_free(fleet);
	harness_free(h);
}

static void both_profiles(void **state)
{
	(void)state;
	measure("latency");
	measure("work");
}

int main(void)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(both_profiles) };

	return cmocka_run_group_tests(tests, NULL, NULL);
}
