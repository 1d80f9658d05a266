/* Unit test of policy/process_span.c: which process a request was sent to. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "policy/process_span.h"
#include "regress/random.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))

/* A start that was stated, and the moments of its question. */
struct report {
	uint64_t start_ms, opened, asked;
};

static void note(struct process_span *p, const struct report *r)
{
	process_span_note(p, r->start_ms, r->opened, r->asked);
}

/* The start that is stated for a request between the moments of two reports, or
 * beside those, by reports of one process and of two. */
static void bounds(void **state)
{
	static const struct {
		struct report reports[3];
		uint64_t opened, sent;
		uint64_t start_ms; /* 0: it can't be told */
	} cases[] = {
		/* opened before the request, asked after it */
		{ { { 7, 1, 9 } }, 3, 4, 7 },
		/* asked before: another process may have followed */
		{ { { 7, 1, 2 } }, 3, 4, 0 },
		/* opened after: another one may have gone before */
		{ { { 7, 5, 9 } }, 3, 4, 0 },
		/* both connections were open when the report was asked for */
		{ { { 7, 1, 3 } }, 2, 4, 7 },
		/* the same start, stated before and after */
		{ { { 7, 1, 2 }, { 7, 8, 9 } }, 3, 4, 7 },
		{ { { 7, 8, 9 }, { 7, 1, 2 } }, 3, 4, 7 },
		/* another start after it */
		{ { { 7, 1, 2 }, { 8, 5, 6 } }, 3, 4, 0 },
		{ { { 7, 1, 2 }, { 8, 5, 6 }, { 8, 8, 9 } }, 3, 4, 0 },
		{ { { 7, 1, 2 }, { 8, 5, 6 } }, 7, 8, 0 },
		{ { { 7, 1, 2 }, { 8, 5, 6 }, { 8, 5, 9 } }, 7, 8, 8 },
		/* the word of the earlier process is read late */
		{ { { 8, 5, 9 }, { 7, 1, 2 } }, 7, 8, 8 },
		/* none stated, no connection */
		{ { { 0, 1, 9 } }, 3, 4, 0 },
		{ { { 7, 0, 9 } }, 3, 4, 0 },
		{ { { 7, 1, 9 } }, 0, 0, 0 },
	};
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < N(cases); i++) {
		struct process_span p = { 0 };
		bool covers;

		for (k = 0; k < N(cases[i].reports); k++)
			note(&p, &cases[i].reports[k]);
		covers =
			process_span_covers(&p, cases[i].opened, cases[i].sent);
		assert_int_equal(covers ? p.start_ms : 0, cases[i].start_ms);
	}
}

/* The same for a request that was sent at 4 on a connection opened at 3, beside an
 * entry. */
static void entries(void **state)
{
	static const struct {
		uint64_t listed_ms, read;
		struct report reports[2];
		uint64_t start_ms; /* 0: it can't be told */
	} cases[] = {
		/* the process had written its entry before the request */
		{ 7, 2, { { 7, 5, 9 } }, 7 },
		{ 7, 4, { { 7, 5, 9 } }, 0 },
		/* an entry of another process, or none stated */
		{ 8, 2, { { 7, 5, 9 } }, 0 },
		{ 7, 2, { { 0, 5, 9 } }, 0 },
		/* its process may have ended after its last word */
		{ 7, 1, { { 7, 1, 2 } }, 0 },
		{ 7, 1, { { 7, 1, 2 }, { 8, 5, 9 } }, 0 },
	};
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < N(cases); i++) {
		struct process_span p = { 0 };
		bool covers;

		for (k = 0; k < N(cases[i].reports); k++) {
			if (k == 1)
				process_span_note_entry(&p, cases[i].listed_ms,
							cases[i].read);
			note(&p, &cases[i].reports[k]);
		}
		covers = process_span_covers(&p, 3, 4);
		assert_int_equal(covers ? p.start_ms : 0, cases[i].start_ms);
		assert_false(covers && process_span_begins_after(&p, 4));
		p = (struct process_span){ 0 };
		process_span_note_entry(&p, cases[i].listed_ms, cases[i].read);
		for (k = 0; k < N(cases[i].reports); k++)
			note(&p, &cases[i].reports[k]);
		covers = process_span_covers(&p, 3, 4);
		assert_int_equal(covers ? p.start_ms : 0, cases[i].start_ms);
	}
}

#define SEEDS 400
#define PROCESSES_MAX 8
#define CALLS_MAX 60
#define MOMENTS 400

/* A request on a connection of its own, and what is true of it. */
struct replayed_call {
	uint64_t opened;
	uint64_t sent;
	uint64_t start_ms; /* of the process at its connection's end */
	bool answered;
	bool is_report;
};

/* Plays an endpoint that starts again at random, and calls to it some of which are
 * reports.  A connection ends at the process of its opening, and a request on it is
 * answered if that still runs.  The answers to reports are read in any order, as a
 * partition may hold each back, and entries of processes that may have ended.  Adds the
 * requests whose process is told to *told. */
static void play(uint64_t seed, size_t *told)
{
	struct random_source random = { .seed = seed };
	struct replayed_call calls[CALLS_MAX];
	uint64_t ends[PROCESSES_MAX];
	struct process_span p = { 0 };
	size_t i;
	size_t k;

	for (i = 0; i < PROCESSES_MAX; i++)
		ends[i] = 1 + (i + 1) * MOMENTS / PROCESSES_MAX -
			  random_below(&random, MOMENTS / PROCESSES_MAX);
	ends[PROCESSES_MAX - 1] = MOMENTS;
	for (i = 0; i < CALLS_MAX; i++) {
		struct replayed_call *c = &calls[i];
		size_t process = 0;

		c->opened = 1 + random_below(&random, MOMENTS - 2);
		c->sent =
			c->opened + 1 +
			random_below(&random, (uint32_t)(MOMENTS - c->opened));
		while (ends[process] <= c->opened)
			process++;
		c->start_ms = 100 + process;
		c->answered = ends[process] > c->sent;
		c->is_report = random_below(&random, 3) == 0;
	}
	for (i = 0; i < CALLS_MAX; i++) {
		struct replayed_call *r =
			&calls[random_below(&random, CALLS_MAX)];

		if (random_below(&random, 4) == 0) {
			size_t process = random_below(&random, PROCESSES_MAX);
			uint64_t begun = process ? ends[process - 1] : 0;

			process_span_note_entry(
				&p, 100 + process,
				begun + 1 +
					random_below(
						&random,
						(uint32_t)(MOMENTS - begun)));
		}
		if (!r->is_report || !r->answered)
			continue;
		process_span_note(&p, r->start_ms, r->opened, r->sent);
		for (k = 0; k < CALLS_MAX; k++) {
			const struct replayed_call *c = &calls[k];

			if (!c->answered ||
			    !process_span_covers(&p, c->opened, c->sent))
				continue;
			assert_int_equal(p.start_ms, c->start_ms);
			++*told;
		}
	}
}

static void random_orders(void **state)
{
	size_t told = 0;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++)
		play(seed, &told);
	assert_true(told > SEEDS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bounds),
		cmocka_unit_test(entries),
		cmocka_unit_test(random_orders),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
