/* Unit tests of policy/placement.c: single cases, then simulations of the load
 * patterns that the policy handles. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "policy/placement.h"
#include "regress/random.h"

#define ENGINES 18
#define ZONES 3
#define CAPACITY_TOKENS 55000
#define PROMPT 5200
#define RUN_TOKENS 6400
#define SLOTS 48
#define PROMPT_MS 1100 /* time to read a prompt alone */
#define ANSWER_MS 4000 /* time to generate an answer if no prompt is read */
#define ALONE_MS (PROMPT_MS + ANSWER_MS)

static void make_engines(struct placement_candidate *c, size_t n)
{
	size_t i;

	memset(c, 0, n * sizeof(*c));
	for (i = 0; i < n; i++)
		c[i] = (struct placement_candidate){
			.zone = (uint16_t)(i % ZONES),
			.usable = true,
			.capacity_tokens = CAPACITY_TOKENS,
			.slots = SLOTS,
		};
}

static void outcomes(void **state)
{
	const struct placement_request r = { .tokens = RUN_TOKENS };
	struct placement_candidate c[2];

	(void)state;
	make_engines(c, 2);
	c[0].usable = false;
	c[1].usable = false;
	assert_int_equal(placement_run(&r, c, 2, 1).outcome,
			 PLACEMENT_NONE_USABLE);
	c[0].usable = true;
	c[0].avoided = true;
	assert_int_equal(placement_run(&r, c, 2, 1).outcome,
			 PLACEMENT_ALL_AVOIDED);
	c[1].usable = true;
	c[1].used_tokens = CAPACITY_TOKENS - RUN_TOKENS + 1;
	assert_int_equal(placement_run(&r, c, 2, 1).outcome, PLACEMENT_FULL);
	c[1].used_tokens = CAPACITY_TOKENS - RUN_TOKENS;
	assert_int_equal(placement_run(&r, c, 2, 1).outcome, PLACEMENT_OK);
	c[1].requests = SLOTS;
	assert_int_equal(placement_run(&r, c, 2, 1).outcome, PLACEMENT_FULL);
	assert_int_equal(placement_run(&r, c, 0, 1).outcome,
			 PLACEMENT_NONE_USABLE);
}

/* An endpoint whose limit is reached is left out.  One that has named a limit
 * keeps copies only if no other does, and is not chosen for the decode phase. */
static void endpoints_with_limits(void **state)
{
	const struct placement_request run = { .tokens = RUN_TOKENS };
	const struct placement_request plain = { 0 };
	struct placement_candidate c[3];
	struct placement_choice choice;

	(void)state;
	make_engines(c, 3);
	c[0].limited = true;
	c[0].usable = false;
	c[1].limited = true;
	c[1].requests = 1;
	choice = placement_run(&run, c, 3, 1);
	assert_int_equal(choice.outcome, PLACEMENT_OK);
	assert_int_equal(choice.index, 2);
	assert_int_equal(choice.limited, 1);
	assert_int_equal(choice.limited_index, 0);
	c[2].usable = false;
	assert_int_equal(placement_run(&run, c, 3, 1).index, 1);
	assert_int_equal(placement_plain(&plain, c, 3, 1).index, 1);
	assert_int_equal(placement_kv_copy(&run, c, 3, 0, 1), 1);
	assert_int_equal(placement_kv_copy(&run, c, 3, 1, 1), 0);
	c[2].usable = true;
	assert_int_equal(placement_kv_copy(&run, c, 3, 0, 1), 2);
	assert_int_equal(placement_kv_copy(&run, c, 3, 0, 2), 2);
	c[2].usable = false;
	assert_int_equal(placement_decode_phase(&run, c, 3, 0, 1),
			 PLACEMENT_NONE);
	c[1].usable = false;
	assert_int_equal(placement_run(&run, c, 3, 1).outcome,
			 PLACEMENT_LIMITED);
	assert_int_equal(placement_plain(&plain, c, 3, 1).outcome,
			 PLACEMENT_LIMITED);
	c[0].avoided = true; /* the request has failed there */
	c[1].avoided = true;
	choice = placement_plain(&plain, c, 3, 1);
	assert_int_equal(choice.outcome, PLACEMENT_ALL_AVOIDED);
	assert_int_equal(choice.limited, 0);
}

/* A prompt goes to an engine that reads no prompt and runs nothing; a suspected
 * engine is chosen last. */
static void prompts_spread_over_engines(void **state)
{
	const struct placement_request r = { .tokens = RUN_TOKENS };
	struct placement_candidate c[3];
	uint64_t rnd;

	(void)state;
	make_engines(c, 3);
	c[0].requests = c[0].prefills = 1;
	c[0].prefill_tokens = PROMPT;
	c[1].requests = 2;
	for (rnd = 0; rnd < 9; rnd++)
		assert_int_equal(placement_run(&r, c, 3, rnd).index, 2);
	c[2].suspected = true;
	for (rnd = 0; rnd < 9; rnd++)
		assert_int_not_equal(placement_run(&r, c, 3, rnd).index, 2);
	c[0].suspected = c[1].suspected = true;
	assert_int_equal(placement_run(&r, c, 3, 1).index, 2);
}

/* Copies are kept in another zone and leave capacity for runs. */
static void kv_copies(void **state)
{
	const struct placement_request r = { .tokens = RUN_TOKENS };
	struct placement_candidate c[ENGINES];
	uint64_t rnd;
	size_t i;

	(void)state;
	make_engines(c, ENGINES);
	for (rnd = 0; rnd < 50; rnd++) {
		uint32_t at = placement_kv_copy(&r, c, ENGINES, 4, rnd);

		assert_true(at < ENGINES);
		assert_int_not_equal(c[at].zone, c[4].zone);
	}
	for (i = 0; i < ENGINES; i++)
		c[i].used_tokens = CAPACITY_TOKENS - RUN_TOKENS - 1;
	assert_int_equal(placement_kv_copy(&r, c, ENGINES, 4, 1),
			 PLACEMENT_NONE);
	assert_int_equal(placement_run(&r, c, ENGINES, 1).outcome,
			 PLACEMENT_OK);
}

/* A run moves for its decode phase to where others run and no prompt is
 * read. */
static void decode_joins_other_runs(void **state)
{
	const struct placement_request r = { .tokens = RUN_TOKENS };
	struct placement_candidate c[4];
	size_t i;

	(void)state;
	make_engines(c, 4);
	for (i = 0; i < 4; i++)
		c[i].zone = r.zone; /* this instance's zone is preferred */
	c[1].requests = 3;
	c[1].used_tokens = 3 * RUN_TOKENS;
	c[2].requests = c[2].prefills = 1;
	assert_int_equal(placement_decode_phase(&r, c, 4, 0, 1), 1);
	c[1].used_tokens =
		CAPACITY_TOKENS - RUN_TOKENS; /* no capacity to grow */
	assert_int_equal(placement_decode_phase(&r, c, 4, 0, 1), 3);
	c[3].suspected = true;
	assert_int_equal(placement_decode_phase(&r, c, 4, 0, 1),
			 PLACEMENT_NONE);
}

/* Load pattern: the links of one zone lose packets, and each lost one delays an
 * event by 200 ms or more.  Runs are moved within the instance's own zone, even
 * if engines of another zone run more, and to another zone only if there is no
 * capacity in it. */
static void lossy_links(void **state)
{
	enum { OWN = 1, N = 12, N_ZONES = 4 };
	const struct placement_request r = { .tokens = RUN_TOKENS,
					     .zone = OWN };
	struct placement_candidate c[N];
	uint64_t rnd;
	uint32_t to;
	size_t i;

	(void)state;
	make_engines(c, N);
	for (i = 0; i < N; i++) {
		c[i].zone = (uint16_t)(i % N_ZONES);
		c[i].requests = c[i].zone == OWN ? 1 : 3;
	}
	for (rnd = 0; rnd < 200; rnd++) {
		to = placement_decode_phase(&r, c, N, 0,
					    rnd * 0x9e3779b97f4a7c15u);
		assert_int_not_equal(to, PLACEMENT_NONE);
		assert_int_equal(c[to].zone, OWN);
	}
	for (i = 0; i < N; i++)
		if (c[i].zone == OWN)
			c[i].used_tokens = CAPACITY_TOKENS;
	to = placement_decode_phase(&r, c, N, 0, 1);
	assert_int_not_equal(to, PLACEMENT_NONE);
	assert_int_not_equal(c[to].zone, OWN);
}

/* Plain calls avoid an endpoint that turned slow, or that fails while it
 * reports that it is healthy. */
static void plain_calls(void **state)
{
	const struct placement_request r = { .zone = 0 };
	struct placement_candidate c[3];
	uint64_t rnd;

	(void)state;
	make_engines(c, 3);
	c[0].latency_ms = 80;
	c[1].latency_ms = c[2].latency_ms = 16;
	for (rnd = 0; rnd < 9; rnd++)
		assert_int_not_equal(placement_plain(&r, c, 3, rnd).index, 0);
	c[0].latency_ms = 16;
	c[0].failing_permille = 400;
	for (rnd = 0; rnd < 9; rnd++)
		assert_int_not_equal(placement_plain(&r, c, 3, rnd).index, 0);
	c[1].requests = c[2].requests = 9; /* better than a long wait */
	assert_int_equal(placement_plain(&r, c, 3, 1).index, 0);
}

/* An endpoint that failed half of its calls is tried again within ten seconds,
 * without any new observation of it. */
static void failures_decay(void **state)
{
	const struct placement_request r = { .zone = 0 };
	struct placement_candidate c[2];
	uint64_t age;

	(void)state;
	make_engines(c, 2);
	c[1].latency_ms = c[0].latency_ms = 16;
	c[1].zone = c[0].zone;
	c[1].requests = 1;
	for (age = 0; age < 10000; age += 100) {
		c[0].failing_permille =
			(uint32_t)(placement_decayed(0.5F, age, 1500) * 1000);
		if (placement_plain(&r, c, 2, 1).index == 0)
			break;
	}
	assert_true(age > 1000);
	assert_true(age < 10000);
}

/* Load pattern: an instance without any knowledge gets the streams of a killed
 * one.  Most prompts reach the engines that they had before, though other
 * engines were loaded then. */
static void streams_return_to_their_prompts(void **state)
{
	const struct placement_request first = { .tokens = RUN_TOKENS };
	const struct placement_request again = { .tokens = RUN_TOKENS,
						 .resumes = true };
	struct placement_candidate c[ENGINES];
	uint64_t affinity[40][ENGINES];
	uint32_t at[40];
	uint32_t hits = 0;
	struct random_source random = { .seed = 7 };
	size_t s;
	size_t i;

	(void)state;
	make_engines(c, ENGINES);
	for (s = 0; s < 40; s++) {
		for (i = 0; i < ENGINES; i++)
			c[i].affinity = affinity[s][i] = random_next(&random);
		at[s] = placement_run(&first, c, ENGINES, s).index;
		/* it moves to another engine before the next one arrives */
		c[at[s]].used_tokens = 0;
	}
	make_engines(c, ENGINES);
	for (s = 0; s < 40; s++) {
		struct placement_choice choice;

		for (i = 0; i < ENGINES; i++)
			c[i].affinity = affinity[s][i];
		choice = placement_run(&again, c, ENGINES, s + 99);
		assert_int_equal(choice.outcome, PLACEMENT_OK);
		hits += choice.index == at[s];
		c[choice.index].requests++;
		c[choice.index].used_tokens += RUN_TOKENS;
	}
	assert_true(hits >= 20);
}

/* Load pattern: five prompts a second, each a second to read, with answers of
 * four seconds alone; while its engine reads a prompt, a run decodes at an
 * eighth of its speed.  Simulates a minute in steps of 10 ms and returns the
 * mean time of an answer, in ms; move_runs moves runs once their prompt is
 * read. */
static double mean_answer_ms(bool move_runs)
{
	enum { RUNS = 300, STEP_MS = 10 };
	static struct {
		uint32_t at;
		int prompt_ms;
		double answer_ms;
		int begun;
		bool over;
	} run[RUNS];
	const struct placement_request r = { .tokens = RUN_TOKENS };
	struct placement_candidate c[ENGINES];
	double total = 0;
	int over = 0;
	int now;
	size_t n = 0;
	size_t i;

	make_engines(c, ENGINES);
	memset(run, 0, sizeof(run));
	for (now = 0; over < RUNS && now < 600000; now += STEP_MS) {
		if (now % 200 == 0 && n < RUNS) {
			struct placement_choice choice =
				placement_run(&r, c, ENGINES, n);

			assert_int_equal(choice.outcome, PLACEMENT_OK);
			run[n].at = choice.index;
			run[n].prompt_ms = PROMPT_MS;
			run[n].answer_ms = ANSWER_MS;
			run[n].begun = now;
			c[choice.index].requests++;
			c[choice.index].prefills++;
			c[choice.index].prefill_tokens += PROMPT;
			c[choice.index].used_tokens += RUN_TOKENS;
			n++;
		}
		for (i = 0; i < n; i++) {
			struct placement_candidate *e = &c[run[i].at];

			if (run[i].over)
				continue;
			if (run[i].prompt_ms > 0) {
				run[i].prompt_ms -= STEP_MS / (int)e->prefills;
				if (run[i].prompt_ms > 0)
					continue;
				e->prefills--;
				e->prefill_tokens -= PROMPT;
				if (move_runs) {
					uint32_t to = placement_decode_phase(
						&r, c, ENGINES, run[i].at, i);

					if (to != PLACEMENT_NONE) {
						e->requests--;
						e->used_tokens -= RUN_TOKENS;
						run[i].at = to;
						c[to].requests++;
						c[to].used_tokens += RUN_TOKENS;
					}
				}
				continue;
			}
			run[i].answer_ms -= e->prefills ? STEP_MS / 8.0
							: STEP_MS;
			if (run[i].answer_ms > 0)
				continue;
			run[i].over = true;
			e->requests--;
			e->used_tokens -= RUN_TOKENS;
			total += now - run[i].begun;
			over++;
		}
	}
	assert_int_equal(over, RUNS);
	return total / RUNS;
}

/* Answers of moved runs take at most a tenth longer than alone; those of runs
 * that stay where prompts are read take longer. */
static void moved_runs_avoid_prompt_stalls(void **state)
{
	(void)state;
	assert_true(mean_answer_ms(true) < ALONE_MS * 1.1);
	assert_true(mean_answer_ms(false) > ALONE_MS * 1.1);
}

/* Load pattern: a zone is lost, and its streams arrive at the other two thirds
 * of the engines at once from six instances, each of which knows what the
 * others placed except for the last few.  Returns how many streams get an
 * engine that is already reading so many prompts that their first event would
 * be late. */
static uint32_t late_after_zone_loss(uint64_t seed)
{
	enum { STREAMS = 24, KNOWN_AFTER = 6, IN_TIME = 4 };
	const struct placement_request r = { .tokens = RUN_TOKENS };
	struct placement_candidate known[ENGINES];
	uint32_t placed[STREAMS];
	uint32_t prompts[ENGINES] = { 0 };
	struct random_source random = { .seed = seed };
	uint32_t late = 0;
	size_t s;
	size_t i;

	make_engines(known, ENGINES);
	for (i = 0; i < ENGINES; i++)
		known[i].usable = known[i].zone != 1;
	for (s = 0; s < STREAMS; s++) {
		if (s >= KNOWN_AFTER) {
			struct placement_candidate *e =
				&known[placed[s - KNOWN_AFTER]];

			e->requests++;
			e->prefills++;
			e->prefill_tokens += PROMPT;
			e->used_tokens += RUN_TOKENS;
		}
		for (i = 0; i < ENGINES; i++)
			known[i].affinity = random_next(&random);
		placed[s] = placement_run(&r, known, ENGINES, s).index;
		assert_int_not_equal(known[placed[s]].zone, 1);
		if (++prompts[placed[s]] > IN_TIME)
			late++;
	}
	return late;
}

/* 95 % of the streams of a lost zone stay in time. */
static void zone_loss_in_time(void **state)
{
	enum { ROUNDS = 100, STREAMS = 24 };
	uint32_t late = 0;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= ROUNDS; seed++)
		late += late_after_zone_loss(seed);
	assert_true(late * 100 <= ROUNDS * STREAMS * 5);
}

/* Load pattern: 295 instances send 550 plain calls a second to 12 endpoints
 * with six slots and a queue of 24, each call 60 ms of work; an instance
 * reports its calls every four seconds.  Simulates ten seconds and returns how
 * many calls in a thousand are rejected. */
static unsigned int rejected_permille(uint32_t view_age_ms)
{
	enum {
		INSTANCES = 295,
		PLAIN = 12,
		SLOTS_EACH = 6,
		QUEUE = 24,
		WORK_MS = 60,
		REPORT_MS = 4000,
		SIMULATED_MS = 10000,
		CALLS_PER_S = 550,
	};
	static uint32_t reported[INSTANCES][PLAIN];
	static uint32_t own[INSTANCES][PLAIN];
	static struct {
		uint32_t instance;
		int end_ms;
	} queue[PLAIN][SLOTS_EACH + QUEUE];
	const struct placement_request r = { .view_age_ms = view_age_ms };
	struct random_source random = { .seed = 11 };
	struct placement_candidate c[PLAIN];
	uint32_t n[PLAIN] = { 0 };
	uint32_t sum[PLAIN] = { 0 };
	unsigned int calls = 0;
	unsigned int refused = 0;
	uint32_t i;
	uint32_t k;
	int now;

	memset(reported, 0, sizeof(reported));
	memset(own, 0, sizeof(own));
	for (now = 0; now < SIMULATED_MS; now++) {
		for (k = 0; k < PLAIN; k++)
			while (n[k] && queue[k][0].end_ms <= now) {
				own[queue[k][0].instance][k]--;
				memmove(&queue[k][0], &queue[k][1],
					sizeof(queue[k][0]) * --n[k]);
			}
		for (i = 0; i < INSTANCES; i++) {
			if (now % REPORT_MS != (int)(i * REPORT_MS / INSTANCES))
				continue;
			for (k = 0; k < PLAIN; k++) {
				sum[k] += own[i][k] - reported[i][k];
				reported[i][k] = own[i][k];
			}
		}
		if (random_below(&random, 1000) >= CALLS_PER_S)
			continue;
		calls++;
		i = random_below(&random, INSTANCES);
		for (k = 0; k < PLAIN; k++)
			c[k] = (struct placement_candidate){
				.usable = true,
				.zone = (uint16_t)(k % 5),
				.latency_ms = WORK_MS,
				.requests = sum[k] - reported[i][k] + own[i][k],
				.own_requests = own[i][k],
			};
		k = placement_plain(&r, c, PLAIN, random_next(&random)).index;
		if (n[k] == SLOTS_EACH + QUEUE) {
			refused++;
			continue;
		}
		own[i][k]++;
		queue[k][n[k]].instance = i;
		queue[k][n[k]].end_ms =
			n[k] < SLOTS_EACH
				? now + WORK_MS
				: queue[k][n[k] - SLOTS_EACH].end_ms + WORK_MS;
		n[k]++;
	}
	return refused * 1000 / calls;
}

/* Calls of hundreds of instances are spread over the endpoints. */
static void calls_of_many_instances_spread(void **state)
{
	(void)state;
	print_message("rejected: %u in 1,000 by the least reported work, %u "
		      "by weighted draw\n",
		      rejected_permille(0), rejected_permille(4000));
	assert_true(rejected_permille(4000) <= 5);
}

/* A slow or failing endpoint is drawn seldom, and an avoided one never. */
static void weighted_draw_avoids_bad_endpoints(void **state)
{
	const struct placement_request r = { .view_age_ms = 4000 };
	struct placement_candidate c[4] = {
		{ .usable = true, .latency_ms = 60 },
		{ .usable = true, .latency_ms = 600 },
		{ .usable = true, .latency_ms = 60, .failing_permille = 900 },
		{ .usable = true, .latency_ms = 60, .avoided = true },
	};
	struct random_source random = { .seed = 5 };
	unsigned int n[4] = { 0 };
	int i;

	(void)state;
	for (i = 0; i < 10000; i++)
		n[placement_plain(&r, c, 4, random_next(&random)).index]++;
	assert_true(n[0] > 8000 && n[1] < 1000 && n[2] < 1100);
	assert_true(n[1] > 0 && n[2] > 0);
	assert_int_equal(n[3], 0);
}

/* A stream goes on only at the version that began it, or waits, or is refused
 * if that version is gone. */
static void begun_streams_keep_their_version(void **state)
{
	const struct placement_request r = { .tokens = RUN_TOKENS,
					     .software = 1 };
	const struct placement_request plain = { .software = 1 };
	struct placement_candidate c[3];
	uint32_t i;

	(void)state;
	make_engines(c, 3);
	for (i = 0; i < 3; i++)
		c[i].software = i ? 2 : 1;
	c[0].used_tokens = CAPACITY_TOKENS / 2; /* the dearest */
	for (i = 0; i < 100; i++) {
		assert_int_equal(placement_run(&r, c, 3, i).index, 0);
		assert_int_equal(placement_plain(&plain, c, 3, i).index, 0);
	}
	c[0].avoided = true;
	assert_int_equal(placement_run(&r, c, 3, 1).outcome,
			 PLACEMENT_ALL_AVOIDED);
	c[0].avoided = false;
	c[0].used_tokens = CAPACITY_TOKENS;
	assert_int_equal(placement_run(&r, c, 3, 1).outcome, PLACEMENT_FULL);
	c[0].usable = false;
	c[0].returns = true;
	assert_int_equal(placement_run(&r, c, 3, 1).outcome,
			 PLACEMENT_NONE_USABLE);
	c[0].returns = false;
	assert_int_equal(placement_run(&r, c, 3, 1).outcome,
			 PLACEMENT_VERSION_GONE);
	assert_int_equal(placement_plain(&plain, c, 3, 1).outcome,
			 PLACEMENT_VERSION_GONE);
}

/* Copies, and runs that have read their prompt, go to endpoints of the same
 * version. */
static void copies_keep_their_version(void **state)
{
	const struct placement_request r = { .tokens = RUN_TOKENS };
	struct placement_candidate c[6];
	uint32_t i;

	(void)state;
	make_engines(c, 6);
	for (i = 0; i < 6; i++)
		c[i].software = i % 2 ? 2 : 1;
	for (i = 0; i < 100; i++) {
		uint32_t copy = placement_kv_copy(&r, c, 6, 0, i);
		uint32_t decode = placement_decode_phase(&r, c, 6, 0, i);

		assert_int_equal(c[copy].software, 1);
		assert_int_equal(c[decode].software, 1);
	}
	for (i = 1; i < 6; i++)
		c[i].software = 2;
	assert_int_equal(placement_kv_copy(&r, c, 6, 0, 1), PLACEMENT_NONE);
	assert_int_equal(placement_decode_phase(&r, c, 6, 0, 1),
			 PLACEMENT_NONE);
}

/* A release that begins with one endpoint for a minute: no stream begins where
 * it could not go on if that endpoint were lost, unless the others are full. */
static void streams_begin_where_they_can_go_on(void **state)
{
	const struct placement_request r = { .tokens = RUN_TOKENS };
	struct placement_candidate c[ENGINES];
	struct random_source random = { .seed = 6 };
	uint32_t i;

	(void)state;
	make_engines(c, ENGINES);
	for (i = 0; i < ENGINES; i++) {
		c[i].software = i ? 1 : 2;
		c[i].used_tokens = i ? RUN_TOKENS : 0;
	}
	for (i = 0; i < 1000; i++) {
		uint64_t rnd = random_next(&random);

		placement_mark_alone(c, ENGINES);
		assert_int_not_equal(placement_run(&r, c, ENGINES, rnd).index,
				     0);
	}
	for (i = 1; i < ENGINES; i++)
		c[i].used_tokens = CAPACITY_TOKENS;
	assert_int_equal(placement_run(&r, c, ENGINES, 1).index, 0);
	/* with a second endpoint the version takes its share */
	make_engines(c, ENGINES);
	for (i = 0; i < ENGINES; i++)
		c[i].software = i > 1 ? 1 : 2;
	placement_mark_alone(c, ENGINES);
	for (i = 0; i < ENGINES; i++)
		assert_false(c[i].alone);
	/* one endpoint of the only version is not alone in this sense */
	make_engines(c, 1);
	placement_mark_alone(c, 1);
	assert_false(c[0].alone);
	/* a version that the store does not know gets no streams either */
	make_engines(c, 4);
	for (i = 0; i < 4; i++) {
		c[i].software = i < 2 ? 1 : 2;
		c[i].unrecorded = i < 2;
	}
	for (i = 0; i < 100; i++)
		assert_true(placement_run(&r, c, 4, i).index >= 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(outcomes),
		cmocka_unit_test(endpoints_with_limits),
		cmocka_unit_test(prompts_spread_over_engines),
		cmocka_unit_test(kv_copies),
		cmocka_unit_test(decode_joins_other_runs),
		cmocka_unit_test(lossy_links),
		cmocka_unit_test(plain_calls),
		cmocka_unit_test(failures_decay),
		cmocka_unit_test(streams_return_to_their_prompts),
		cmocka_unit_test(moved_runs_avoid_prompt_stalls),
		cmocka_unit_test(zone_loss_in_time),
		cmocka_unit_test(calls_of_many_instances_spread),
		cmocka_unit_test(weighted_draw_avoids_bad_endpoints),
		cmocka_unit_test(begun_streams_keep_their_version),
		cmocka_unit_test(copies_keep_their_version),
		cmocka_unit_test(streams_begin_where_they_can_go_on),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
