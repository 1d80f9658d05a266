/*
 * Benchmark of the resume policy: latency against extra work.  Runs the real
 * detection of silence on seeded, synthetic gaps between tokens, without
 * processes or network.  Latency is measured from the last token before a
 * silent engine death to the next relayed token, with a prefill of PREFILL_US
 * per token on the new engine.  Extra work is the ratio of wasted tokens to the
 * tokens that were prefilled and decoded to use.
 */
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "lib/xalloc.h"
#include "policy/resume.h"
#include "regress/random.h"

enum {
	STREAMS = 30, /* of an instance on the endpoint */
	STEPS = 4000000, /* of one endpoint */
	STEP_MS = 40,
	TICK_MS = 20, /* between health checks */
	PREFILL_US = 200,
	CONNECT_MS = 2,
	PROMPT_LEAST = 500,
	PROMPT_SPREAD = 3500,
	OUTPUT_TOKENS = 1500,
	STEPS_PER_DEATH = 20000,
	BINS = 20000, /* of gaps, a millisecond each */
};

/* Distribution of the gaps of a live engine. */
struct gap_model {
	const char *name;
	double sigma; /* standard deviation of the log of a gap */
	double stall_share; /* gaps lengthened by another prompt's prefill */
	double stall_max_ms;
	double pause_share; /* gaps in which the engine pauses */
	double pause_max_ms;
};

struct stream {
	uint32_t prompt;
	uint32_t generated;
};

struct result {
	uint64_t needed; /* tokens prefilled and decoded that were used */
	uint64_t wasted; /* tokens prefilled and not used */
	uint64_t denied; /* hedges refused by the budget */
	uint64_t tail_gaps; /* of live engines, at the 99.9th percentile */
	uint64_t tail_moved; /* streams moved in those gaps */
	uint64_t moved;
	uint64_t gaps;
	double silence_ms; /* total silence before deaths were detected */
	uint32_t nlatency;
	float *latency; /* ms */
};

struct sim {
	const struct resume_profile *profile;
	const struct gap_model *model;
	struct random_source rnd;
	struct resume_endpoint ep;
	struct resume_budget budget;
	struct stream stream[STREAMS];
	uint64_t now;
	double tail_ms; /* 99.9th percentile of gaps */
	struct result r;
};

static double draw_gap(struct sim *s);
static double tail_of(const struct gap_model *model);
static void new_stream(struct sim *s, struct stream *stream);
static double silence_until(const struct sim *s, enum resume_health health);
static void live_gap(struct sim *s, double gap);
static void death(struct sim *s);
static void deliver(struct sim *s);
static int compare_float(const void *a, const void *b);
static void print(const struct sim *s, const char *name);
static void run(const struct resume_profile *profile,
		const struct gap_model *model, const char *name);

/* Returns a random gap between two steps of a live engine, in milliseconds. */
static double draw_gap(struct sim *s)
{
	double z = sqrt(-2 * log(random_unit(&s->rnd))) *
		   cos(2 * M_PI * random_unit(&s->rnd));
	double gap = STEP_MS * exp(s->model->sigma * z);
	double kind = random_unit(&s->rnd);

	if (kind < s->model->pause_share)
		gap += s->model->pause_max_ms * random_unit(&s->rnd);
	else if (kind < s->model->pause_share + s->model->stall_share)
		gap += s->model->stall_max_ms * random_unit(&s->rnd);
	return gap;
}

/* Returns the 99.9th percentile of the model's gaps. */
static double tail_of(const struct gap_model *model)
{
	struct sim s = { .model = model, .rnd = { .seed = 21 } };
	uint64_t *bin = xcalloc(BINS, sizeof(*bin));
	uint64_t above = 0;
	int i;

	for (i = 0; i < STEPS; i++) {
		double gap = draw_gap(&s);

		bin[gap < BINS ? (int)gap : BINS - 1]++;
	}
	for (i = BINS - 1; i > 0 && above < STEPS / 1000; i--)
		above += bin[i];
	free(bin);
	return i + 1;
}

/* Replaces a finished stream by a new one with a random prompt length. */
static void new_stream(struct sim *s, struct stream *stream)
{
	stream->prompt = PROMPT_LEAST + random_below(&s->rnd, PROMPT_SPREAD);
	stream->generated = 0;
	s->r.needed += stream->prompt;
}

/* Returns the silence in milliseconds after which the health is reached. */
static double silence_until(const struct sim *s, enum resume_health health)
{
	uint64_t t;

	for (t = TICK_MS; t < BINS; t += TICK_MS)
		if (resume_endpoint_evaluate(&s->ep, s->profile, s->now + t) >=
		    health)
			break;
	return (double)t;
}

/* Simulates a gap of a live engine, in which hedges may start and take over. */
static void live_gap(struct sim *s, double gap)
{
	double suspect, lost;
	uint64_t moved = 0;
	int i;

	s->r.gaps++;
	s->r.tail_gaps += gap >= s->tail_ms ? STREAMS : 0;
	if (gap <= s->profile->suspect_min_ms)
		return;
	suspect = silence_until(s, RESUME_SUSPECT);
	lost = silence_until(s, RESUME_LOST);
	for (i = 0; i < STREAMS && gap > suspect; i++) {
		struct stream *stream = &s->stream[i];
		uint32_t tokens = stream->prompt + stream->generated;
		double prefill = CONNECT_MS + tokens * PREFILL_US / 1000.0;
		double from = suspect;
		uint32_t done;

		if (!s->profile->hedge ||
		    !resume_budget_take(&s->budget, tokens)) {
			s->r.denied++;
			from = lost;
		}
		if (gap <= from)
			continue;
		if (gap <= from + prefill && from < lost) {
			done = (uint32_t)((gap - from) * 1000 / PREFILL_US);
			if (done > tokens)
				done = tokens;
			s->r.wasted += done;
			resume_budget_refund(&s->budget, s->profile,
					     tokens - done);
			continue;
		}
		s->r.wasted += tokens;
		moved++;
	}
	s->r.moved += moved;
	if (gap >= s->tail_ms)
		s->r.tail_moved += moved;
}

/* Simulates the silent death of the engine: every stream moves. */
static void death(struct sim *s)
{
	double suspect = silence_until(s, RESUME_SUSPECT);
	double lost = silence_until(s, RESUME_LOST);
	bool hedged[STREAMS];
	int i;

	for (i = 0; i < STREAMS; i++)
		hedged[i] = s->profile->hedge &&
			    resume_budget_take(&s->budget,
					       s->stream[i].prompt +
						       s->stream[i].generated);
	for (i = 0; i < STREAMS; i++) {
		struct stream *stream = &s->stream[i];
		uint32_t tokens = stream->prompt + stream->generated;
		double ms = CONNECT_MS + tokens * PREFILL_US / 1000.0 + STEP_MS;

		ms += hedged[i] ? suspect : lost;
		s->r.silence_ms += hedged[i] ? suspect : lost;
		if (hedged[i])
			resume_budget_refund(&s->budget, s->profile, tokens);
		s->r.latency[s->r.nlatency++] = (float)ms;
		s->r.needed += tokens;
	}
}

/* Delivers a token to every stream. */
static void deliver(struct sim *s)
{
	int i;

	for (i = 0; i < STREAMS; i++) {
		s->r.needed++;
		if (++s->stream[i].generated >= OUTPUT_TOKENS)
			new_stream(s, &s->stream[i]);
	}
	resume_budget_relayed(&s->budget, s->profile, STREAMS);
	resume_endpoint_received(&s->ep, s->now);
}

/* Compares two floats for qsort(3). */
static int compare_float(const void *a, const void *b)
{
	float x = *(const float *)a;
	float y = *(const float *)b;

	return (x > y) - (x < y);
}

/* Prints the results of a run. */
static void print(const struct sim *s, const char *name)
{
	const struct result *r = &s->r;
	const char *model = s->model->name;
	uint32_t n = r->nlatency;

	qsort(r->latency, n, sizeof(*r->latency), compare_float);
	printf("resume_%s_%s_silence_mean %.0f ms\n", model, name,
	       r->silence_ms / n);
	printf("resume_%s_%s_latency_p50 %.0f ms\n", model, name,
	       (double)r->latency[n / 2]);
	printf("resume_%s_%s_latency_p99 %.0f ms\n", model, name,
	       (double)r->latency[n / 100 * 99]);
	printf("resume_%s_%s_extra_work %.3f percent\n", model, name,
	       100.0 * (double)r->wasted / (double)r->needed);
	printf("resume_%s_%s_moved_at_tail_gap %.2f percent\n", model, name,
	       100.0 * (double)r->tail_moved / (double)r->tail_gaps);
	printf("resume_%s_%s_moved_in_vain %.2f per-million-tokens\n", model,
	       name, 1e6 * (double)r->moved / ((double)r->gaps * STREAMS));
	printf("resume_%s_%s_hedges_denied %llu streams\n", model, name,
	       (unsigned long long)r->denied);
}

/* Simulates one endpoint with a profile and prints the results. */
static void run(const struct resume_profile *profile,
		const struct gap_model *model, const char *name)
{
	struct sim s = { .profile = profile,
			 .model = model,
			 .rnd = { .seed = 22 },
			 .tail_ms = tail_of(model) };
	float *latency;
	uint32_t i;

	latency = xcalloc(STEPS / STEPS_PER_DEATH * STREAMS + STREAMS,
			  sizeof(*latency));
	s.r.latency = latency;
	resume_endpoint_init(&s.ep, STEP_MS);
	resume_endpoint_decoding(&s.ep, STREAMS, 0);
	resume_budget_init(&s.budget, profile);
	for (i = 0; i < STREAMS; i++)
		new_stream(&s, &s.stream[i]);
	for (i = 1; i < STEPS; i++) {
		double gap = draw_gap(&s);

		if (i % STEPS_PER_DEATH == 0) {
			death(&s);
			gap = STEP_MS;
		} else {
			live_gap(&s, gap);
		}
		s.now += (uint64_t)gap;
		deliver(&s);
	}
	print(&s, name);
	free(latency);
}

int main(void)
{
	static const struct gap_model models[] = {
		{ "even", 0.2, 0, 0, 0, 0 },
		{ "uneven", 0.3, 0.01, 300, 0.00001, 1500 },
		{ "pausing", 0.3, 0.01, 300, 0.0001, 1500 },
	};
	static const uint32_t suspect_ms[] = { 150, 250, 400, 600, 800 };
	size_t m, i;

	for (m = 0; m < 3; m++) {
		const struct gap_model *model = &models[m];

		printf("resume_%s_gap_p999 %.0f ms\n", model->name,
		       tail_of(model));
		for (i = 0; i < 5; i++) {
			struct resume_profile p = resume_favour_latency;
			char name[32];

			p.suspect_min_ms = suspect_ms[i];
			p.suspect_max_ms = suspect_ms[i];
			snprintf(name, sizeof(name), "hedge_at_%u",
				 suspect_ms[i]);
			run(&p, model, name);
		}
		run(&resume_favour_latency, model, "favour_latency");
		run(&resume_favour_work, model, "favour_work");
	}
	return 0;
}
