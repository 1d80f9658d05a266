/*
 * Replays the load of the incident with a part that crashes engines against the
 * policy: a fleet of instances that exchange updates as proxyd/suspects.c does,
 * engines that crash before the first event of a run with such a part, and sound
 * requests beside them that share all other parts.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "policy/content.h"
#include "policy/crash_suspect.h"
#include "regress/random.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))

#define STEP_MS 10
#define START_MS 100000
#define BEFORE_MS 20000 /* sound requests alone */
#define BESIDE_MS 300000 /* beside the crashing ones */
#define END_MS (START_MS + BEFORE_MS + BESIDE_MS)
#define CONTACT_MS 3000 /* the users' contactMs */
#define DELAY_MS 20 /* of an update between instances */
#define DOWN_MS 3000 /* from a crash to the restart */
#define STREAM_MS 4000 /* of a sound run after its first event */
#define LATE_MAX 3
#define KEEPERS 4
#define ALL_KEEP_MAX 8 /* instances that keep all records */
#define STOP_RUNS_MS 150 /* in larger fleets */
#define RUNS_MAX 4096
#define NEWS_MAX 65536
#define PARTS 3 /* of a prompt: the first, the second, the third */

struct replay_case {
	const char *name;
	uint32_t instances;
	uint32_t engines;
	uint32_t crashing_per_s;
	uint32_t sound_per_s;
	bool two_parts; /* two parts crash engines at once */
	bool first_part; /* the crashing part is the first one */
	bool one_in_three; /* two of three crashing requests lack the part */
	bool at_start; /* no sound requests were there before */
	uint64_t stops_ms; /* after START_MS + BEFORE_MS; 0: never */
	uint64_t zone_ms; /* a third of the engines ends then; 0: never */
};

struct run {
	bool used;
	bool crashing; /* holds a part that crashes engines */
	bool begun;
	bool first_attempt;
	bool trial;
	uint32_t instance;
	uint32_t engine;
	uint64_t parts[PARTS];
	uint64_t sent_ms;
	uint64_t next_ms; /* first event, crash or end */
	size_t sound; /* index of its count */
};

struct news {
	uint64_t due_ms;
	uint32_t to;
	uint32_t from;
	enum { NEWS_CRASH, NEWS_REFUSED, NEWS_COMPLETED } kind;
	uint64_t part;
	struct run_crash crash;
	uint64_t since_ms;
	uint64_t until_ms;
};

struct fleet {
	const struct replay_case *c;
	struct random_source random;
	uint64_t now;
	struct crash_suspects *suspects[300];
	uint64_t stop_ms[300];
	uint64_t up_ms[300]; /* of each engine */
	struct run runs[RUNS_MAX];
	struct news news[NEWS_MAX];
	size_t n_news; /* queued in total */
	size_t n_told; /* delivered */
	size_t most_news; /* sent within a second */
	size_t second_news;
	uint32_t ids;
	/* of each crashing part */
	size_t crashes[2];
	uint64_t fifth_ms[2];
	size_t late[2];
	size_t sent[2]; /* sound requests: before, and once they count */
	size_t began[2];
};

static struct fleet f;

/* Returns from when on requests with the crashing parts come. */
static uint64_t beside_from_ms(void)
{
	return f.c->at_start ? START_MS : START_MS + BEFORE_MS;
}

static uint64_t part(const char *id)
{
	return content_part_hash(id, strlen(id));
}

/* Returns which crashing part a hash is, or -1. */
static int crashing_part(uint64_t hash)
{
	return hash == part("bad0") ? 0 : hash == part("bad1") ? 1 : -1;
}

/* Returns the instance with the n-th greatest weight for a part. */
static uint32_t keeper(uint64_t hash, size_t n)
{
	uint64_t below = UINT64_MAX;
	uint32_t best = 0;
	size_t i;

	for (i = 0; i <= n; i++) {
		uint64_t most = 0;
		uint32_t k;

		for (k = 0; k < f.c->instances; k++) {
			uint64_t w = crash_suspect_weight(hash, k + 1);

			if (w >= below || w < most)
				continue;
			most = w;
			best = k;
		}
		below = most;
	}
	return best;
}

static void tell(uint32_t to, const struct news *n)
{
	struct news *out = &f.news[f.n_news++ % NEWS_MAX];

	assert_true(f.n_news - f.n_told <= NEWS_MAX);
	*out = *n;
	out->to = to;
	out->due_ms = f.now + DELAY_MS;
	f.second_news++;
}

static void tell_all(const struct news *n)
{
	uint32_t i;

	for (i = 0; i < f.c->instances; i++)
		if (i != n->from)
			tell(i, n);
}

static void completed(uint32_t instance, uint64_t hash)
{
	const struct news n = { .from = instance,
				.kind = NEWS_COMPLETED,
				.part = hash };

	if (crash_suspect_run_completed(f.suspects[instance], hash, f.now))
		tell_all(&n);
}

static void refused(uint32_t instance, const struct crash_suspect_record *r)
{
	const struct news n = { .from = instance,
				.kind = NEWS_REFUSED,
				.part = r->content,
				.since_ms = r->crashes[0].sent_ms,
				.until_ms = r->refused_until_ms };

	f.stop_ms[instance] =
		f.now + (f.c->instances <= ALL_KEEP_MAX ? 0 : STOP_RUNS_MS);
	tell_all(&n);
}

/* Records the crash of an engine under a run, as its instance does. */
static void record_crash(const struct run *r)
{
	size_t i;

	for (i = 0; i < PARTS; i++) {
		struct news n = { .from = r->instance,
				  .kind = NEWS_CRASH,
				  .part = r->parts[i],
				  .crash = { .id = ++f.ids,
					     .endpoint = r->engine + 1,
					     .sent_ms = r->sent_ms,
					     .crashed_ms = f.now } };
		size_t k;

		if (!r->parts[i] ||
		    crash_suspect_completed_lately(f.suspects[r->instance],
						   r->parts[i], r->sent_ms))
			continue;
		crash_suspect_add_crash(f.suspects[r->instance], r->parts[i],
					&n.crash, f.now);
		if (f.c->instances <= ALL_KEEP_MAX) {
			tell_all(&n);
			continue;
		}
		for (k = 0; k < KEEPERS; k++)
			if (keeper(r->parts[i], k) != r->instance)
				tell(keeper(r->parts[i], k), &n);
	}
}

/* Handles an update, as suspects_receive() does. */
static void receive(const struct news *n)
{
	struct crash_suspects *s = f.suspects[n->to];
	struct news reply = { .from = n->to,
			      .kind = NEWS_COMPLETED,
			      .part = n->part };

	switch (n->kind) {
	case NEWS_CRASH:
		if (!crash_suspect_add_crash(s, n->part, &n->crash, f.now) &&
		    crash_suspect_completed_lately(s, n->part,
						   n->crash.sent_ms))
			tell(n->from, &reply);
		break;
	case NEWS_REFUSED:
		if (!crash_suspect_refuse(s, n->part, n->since_ms,
					  n->until_ms - f.now, f.now))
			tell_all(&reply);
		else
			f.stop_ms[n->to] =
				f.now + (f.c->instances <= ALL_KEEP_MAX
						 ? 0
						 : STOP_RUNS_MS);
		break;
	case NEWS_COMPLETED:
		crash_suspect_run_completed(s, n->part, f.now);
		break;
	}
}

static bool has_part(const struct run *r, uint64_t hash)
{
	size_t i;

	for (i = 0; i < PARTS; i++)
		if (r->parts[i] == hash)
			return true;
	return false;
}

/* Returns whether the run may be sent, as suspects_hold_or_refuse() decides; one
 * that is held counts as not begun. */
static bool may_send(struct run *r)
{
	struct crash_suspects *s = f.suspects[r->instance];
	bool few = f.c->instances <= ALL_KEEP_MAX;
	size_t i;
	size_t k;

	for (i = 0; i < PARTS; i++) {
		if (!r->parts[i])
			continue;
		switch (crash_suspect_decide(s, r->parts[i], f.now)) {
		case CRASH_SUSPECT_RUN:
			break;
		case CRASH_SUSPECT_ALONE:
			if (r->first_attempt && few &&
			    keeper(r->parts[i], 0) != r->instance)
				return false;
			for (k = 0; k < RUNS_MAX; k++)
				if (f.runs[k].used && !f.runs[k].begun &&
				    &f.runs[k] != r &&
				    f.runs[k].instance == r->instance &&
				    has_part(&f.runs[k], r->parts[i]))
					return false;
			break;
		case CRASH_SUSPECT_TRIAL:
			if (!r->first_attempt ||
			    keeper(r->parts[i], 0) != r->instance)
				return false;
			r->trial = true;
			refused(r->instance, crash_suspect_begin_trial(
						     s, r->parts[i], f.now));
			break;
		default:
			return false;
		}
	}
	return true;
}

/* Sends a run to an engine that is up; false if there is none. */
static bool send_run(struct run *r)
{
	uint32_t tries;
	size_t i;

	for (tries = 0; tries < 64; tries++) {
		r->engine = random_below(&f.random, f.c->engines);
		if (f.up_ms[r->engine] <= f.now)
			break;
	}
	if (tries == 64)
		return false;
	r->used = true;
	r->begun = false;
	r->sent_ms = f.now;
	r->next_ms = f.now + 1000 + random_below(&f.random, 1600);
	for (i = 0; i < PARTS; i++) {
		int k = crashing_part(r->parts[i]);

		if (k >= 0 && f.fifth_ms[k] &&
		    f.now > f.fifth_ms[k] + CONTACT_MS)
			f.late[k]++;
	}
	return true;
}

/* Ends all runs at an engine: the ones without an event are evidence, and each
 * goes to another engine if it may. */
static void end_engine(uint32_t engine)
{
	size_t i;

	f.up_ms[engine] = f.now + DOWN_MS;
	for (i = 0; i < RUNS_MAX; i++) {
		struct run *r = &f.runs[i];

		if (!r->used || r->engine != engine)
			continue;
		r->used = false;
		if (r->begun)
			continue;
		record_crash(r);
		r->first_attempt = false;
		if (!r->trial && may_send(r))
			send_run(r);
	}
}

/* Whether the parts still crash engines. */
static bool crashes_still(void)
{
	return !f.c->stops_ms || f.now < beside_from_ms() + f.c->stops_ms;
}

/* Handles the crash, first event or end of a run. */
static void advance(struct run *r)
{
	size_t i;

	if (r->crashing && crashes_still()) {
		for (i = 0; i < PARTS; i++) {
			int k = crashing_part(r->parts[i]);

			if (k >= 0 && ++f.crashes[k] == 5)
				f.fifth_ms[k] = f.now;
		}
		end_engine(r->engine);
	} else if (r->begun) {
		r->used = false;
	} else {
		r->begun = true;
		r->next_ms = f.now + STREAM_MS;
		for (i = 0; i < PARTS; i++)
			if (r->parts[i])
				completed(r->instance, r->parts[i]);
		if (r->first_attempt && r->sound)
			f.began[r->sound - 1]++;
	}
}

/* Returns whether sound requests count for the rule by now. */
static bool sound_counts(void)
{
	return f.fifth_ms[0] ? f.now > f.fifth_ms[0] + 2 * CONTACT_MS
			     : f.now > beside_from_ms() + 10000;
}

/* A request arrives at an instance. */
static void arrive(bool crashing)
{
	static const char *const second[] = { "b0", "b1", "b2", "b3", "b4" };
	struct run r = {
		.instance = random_below(&f.random, f.c->instances),
		.first_attempt = true,
		.parts = { part("first"),
			   part(second[random_below(&f.random, N(second))]) },
	};
	size_t i;

	if (crashing && (!f.c->one_in_three || !random_below(&f.random, 3))) {
		r.crashing = true;
		r.parts[f.c->first_part ? 0 : 2] = part(
			f.c->two_parts && random_below(&f.random, 2) ? "bad1"
								     : "bad0");
	} else if (f.now < beside_from_ms()) {
		r.sound = f.now > START_MS + BEFORE_MS / 2 ? 1 : 0;
	} else if (sound_counts()) {
		r.sound = 2;
	}
	if (r.sound)
		f.sent[r.sound - 1]++;
	if (!may_send(&r))
		return;
	for (i = 0; i < RUNS_MAX && f.runs[i].used; i++)
		;
	assert_true(i < RUNS_MAX);
	if (send_run(&r))
		f.runs[i] = r;
}

/* Evaluates the suspects of an instance, and stops refused runs. */
static void tick(uint32_t instance)
{
	const struct crash_suspect_record *rec;
	size_t i;
	size_t k;

	while ((rec = crash_suspect_evaluate(f.suspects[instance], f.now)))
		refused(instance, rec);
	if (!f.stop_ms[instance] || f.now < f.stop_ms[instance])
		return;
	f.stop_ms[instance] = 0;
	for (i = 0; i < RUNS_MAX; i++) {
		struct run *r = &f.runs[i];

		for (k = 0; k < PARTS; k++)
			if (r->used && !r->begun && !r->trial &&
			    r->instance == instance && r->parts[k] &&
			    crash_suspect_decide(f.suspects[instance],
						 r->parts[k],
						 f.now) == CRASH_SUSPECT_REFUSE)
				r->used = false;
	}
}

static void step(void)
{
	uint64_t beside_ms = beside_from_ms();
	uint32_t i;

	while (f.n_told < f.n_news &&
	       f.news[f.n_told % NEWS_MAX].due_ms <= f.now) {
		const struct news n = f.news[f.n_told++ % NEWS_MAX];

		receive(&n);
	}
	for (i = 0; i < f.c->instances; i++)
		tick(i);
	for (i = 0; i < RUNS_MAX; i++)
		if (f.runs[i].used && f.runs[i].next_ms <= f.now)
			advance(&f.runs[i]);
	if (f.c->zone_ms && f.now == beside_ms + f.c->zone_ms)
		for (i = 0; i < f.c->engines / 3; i++)
			end_engine(i);
	if (random_below(&f.random, 1000 / STEP_MS) < f.c->sound_per_s)
		arrive(false);
	if (f.now >= beside_ms &&
	    random_below(&f.random, 1000 / STEP_MS) < f.c->crashing_per_s)
		arrive(true);
	if (f.now % 1000 == 0) {
		if (f.second_news > f.most_news)
			f.most_news = f.second_news;
		f.second_news = 0;
	}
}

static void replay(const struct replay_case *c, uint64_t seed)
{
	uint32_t i;
	int k;

	memset(&f, 0, sizeof(f));
	f.c = c;
	f.random.seed = seed;
	for (i = 0; i < c->instances; i++)
		f.suspects[i] = crash_suspect_new(&crash_suspect_defaults);
	for (f.now = START_MS; f.now < END_MS; f.now += STEP_MS)
		step();
	for (i = 0; i < c->instances; i++)
		crash_suspect_free(f.suspects[i]);
	print_message("%s, seed %u: %zu and %zu crashes, %zu and %zu late, "
		      "sound %zu of %zu before, %zu of %zu beside, %zu "
		      "updates in the busiest second\n",
		      c->name, (unsigned int)seed, f.crashes[0], f.crashes[1],
		      f.late[0], f.late[1], f.began[0], f.sent[0], f.began[1],
		      f.sent[1], f.most_news);
	for (k = 0; k < 2; k++)
		assert_true(f.late[k] <= LATE_MAX || c->stops_ms);
	assert_true(f.crashes[0] > 0);
	if (c->at_start)
		f.sent[0] = f.began[0] = 20;
	assert_true(f.sent[0] >= 20 && f.sent[1] >= 20);
	assert_true(2 * f.began[1] * f.sent[0] >= f.began[0] * f.sent[1]);
}

static void replays_of_the_incident(void **state)
{
	static const struct replay_case cases[] = {
		{ .name = "6 instances",
		  .instances = 6,
		  .engines = 18,
		  .crashing_per_s = 2,
		  .sound_per_s = 12 },
		{ .name = "24 instances",
		  .instances = 24,
		  .engines = 72,
		  .crashing_per_s = 4,
		  .sound_per_s = 40 },
		{ .name = "295 instances",
		  .instances = 295,
		  .engines = 300,
		  .crashing_per_s = 8,
		  .sound_per_s = 60 },
		{ .name = "more of them",
		  .instances = 6,
		  .engines = 18,
		  .crashing_per_s = 8,
		  .sound_per_s = 12 },
		{ .name = "more of them at the first part",
		  .instances = 6,
		  .engines = 18,
		  .crashing_per_s = 8,
		  .sound_per_s = 12,
		  .first_part = true },
		{ .name = "from the start",
		  .instances = 6,
		  .engines = 18,
		  .crashing_per_s = 8,
		  .sound_per_s = 12,
		  .at_start = true },
		{ .name = "from the start of 24",
		  .instances = 24,
		  .engines = 72,
		  .crashing_per_s = 10,
		  .sound_per_s = 40,
		  .at_start = true },
		{ .name = "few engines",
		  .instances = 6,
		  .engines = 6,
		  .crashing_per_s = 4,
		  .sound_per_s = 6 },
		{ .name = "two parts",
		  .instances = 6,
		  .engines = 18,
		  .crashing_per_s = 3,
		  .sound_per_s = 12,
		  .two_parts = true },
		{ .name = "the first part",
		  .instances = 6,
		  .engines = 18,
		  .crashing_per_s = 2,
		  .sound_per_s = 12,
		  .first_part = true },
		{ .name = "the first part of 295",
		  .instances = 295,
		  .engines = 300,
		  .crashing_per_s = 8,
		  .sound_per_s = 60,
		  .first_part = true },
		{ .name = "one in three",
		  .instances = 6,
		  .engines = 18,
		  .crashing_per_s = 3,
		  .sound_per_s = 12,
		  .one_in_three = true },
		{ .name = "a part that stops",
		  .instances = 6,
		  .engines = 18,
		  .crashing_per_s = 2,
		  .sound_per_s = 12,
		  .stops_ms = 20000 },
		{ .name = "a zone ends beside it",
		  .instances = 6,
		  .engines = 18,
		  .crashing_per_s = 2,
		  .sound_per_s = 12,
		  .zone_ms = 2000 },
		{ .name = "a zone of 24 ends beside it",
		  .instances = 24,
		  .engines = 72,
		  .crashing_per_s = 4,
		  .sound_per_s = 40,
		  .zone_ms = 2000 },
	};
	uint64_t seed;
	size_t i;

	(void)state;
	for (i = 0; i < N(cases); i++)
		for (seed = 1; seed <= (cases[i].instances > 24 ? 1 : 5);
		     seed++)
			replay(&cases[i], seed);
}

/* A zone of engines ends as a fleet starts and no run has had an event yet: the
 * parts that all requests share are refused nowhere. */
static void zone_that_ends_at_the_start(void **state)
{
	static const struct replay_case c = {
		.name = "a zone ends at the start",
		.instances = 6,
		.engines = 18,
		.sound_per_s = 12,
		.at_start = true,
		.zone_ms = 900,
	};
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 5; seed++) {
		uint32_t i;

		memset(&f, 0, sizeof(f));
		f.c = &c;
		f.random.seed = seed;
		for (i = 0; i < c.instances; i++)
			f.suspects[i] =
				crash_suspect_new(&crash_suspect_defaults);
		for (f.now = START_MS; f.now < START_MS + 5000;
		     f.now += STEP_MS) {
			step();
			for (i = 0; i < c.instances; i++)
				assert_int_not_equal(
					crash_suspect_decide(f.suspects[i],
							     part("first"),
							     f.now),
					CRASH_SUSPECT_REFUSE);
		}
		for (i = 0; i < c.instances; i++)
			crash_suspect_free(f.suspects[i]);
	}
}

/* Of two parts under which the same engines ended, the one that has had an event,
 * however long ago, is not refused; a part's trial extends its refusal. */
static void part_with_event_is_spared(void **state)
{
	const uint64_t sound = part("sound");
	const uint64_t bad = part("bad0");
	const uint64_t parts[] = { sound, bad };
	struct crash_suspects *s = crash_suspect_new(&crash_suspect_defaults);
	uint64_t now = START_MS;
	uint32_t i;

	(void)state;
	crash_suspect_run_completed(s, sound, 1000);
	for (i = 0; i < 2 * CRASH_SUSPECT_CRASHES; i++) {
		const struct run_crash crash = {
			.id = i + 1,
			.endpoint = i / 2 + 1,
			.sent_ms = START_MS,
			.crashed_ms = START_MS + i / 2 * 1000,
		};

		now = crash.crashed_ms;
		assert_true(
			crash_suspect_add_crash(s, parts[i % 2], &crash, now));
	}
	assert_int_equal(crash_suspect_decide(s, bad, now), CRASH_SUSPECT_HOLD);
	now += crash_suspect_defaults.settle_ms;
	assert_int_equal(crash_suspect_evaluate(s, now)->content, bad);
	assert_null(crash_suspect_evaluate(s, now));
	assert_int_equal(crash_suspect_decide(s, bad, now),
			 CRASH_SUSPECT_REFUSE);
	assert_int_equal(crash_suspect_decide(s, sound, now),
			 CRASH_SUSPECT_RUN);
	now += crash_suspect_defaults.refused_part_ms;
	assert_int_equal(crash_suspect_decide(s, bad, now),
			 CRASH_SUSPECT_TRIAL);
	assert_non_null(crash_suspect_begin_trial(s, bad, now));
	assert_int_equal(crash_suspect_decide(s, bad, now),
			 CRASH_SUSPECT_REFUSE);
	assert_true(crash_suspect_refused_ms(s, bad, now) >
		    crash_suspect_defaults.refused_part_ms);
	assert_true(crash_suspect_run_completed(s, bad, now));
	assert_int_equal(crash_suspect_decide(s, bad, now), CRASH_SUSPECT_RUN);
	crash_suspect_free(s);
}

/* Records a crash under a list of parts, up to a 0. */
static void crash_under(struct crash_suspects *s, const uint64_t *parts,
			uint32_t number, uint64_t at_ms)
{
	const struct run_crash crash = {
		.id = number,
		.endpoint = number,
		.sent_ms = at_ms - 100,
		.crashed_ms = at_ms,
	};

	for (; *parts; parts++)
		crash_suspect_add_crash(s, *parts, &crash, at_ms);
}

/* Two requests that are sent again crash endpoints in turn, every 200 ms: a part
 * of each alone was in as many crashes that count as the one that both have, but
 * not in the others. */
static void parts_of_repeated_requests(void **state)
{
	struct crash_suspects *s = crash_suspect_new(&crash_suspect_defaults);
	const uint64_t one[] = { part("own1"), part("bad"), 0 };
	const uint64_t other[] = { part("own2"), part("bad"), 0 };
	const struct crash_suspect_record *r = NULL;
	uint64_t now = START_MS;
	uint32_t i;

	(void)state;
	for (i = 0; i < 10 && !r; i++) {
		crash_under(s, i % 2 ? other : one, i + 1, now);
		now += 200;
		r = crash_suspect_evaluate(s, now);
	}
	assert_non_null(r);
	assert_int_equal(r->content, part("bad"));
	crash_suspect_free(s);
}

/* The parts of a request that is sent again have no record each. */
static void many_parts_of_a_repeated_request(void **state)
{
	struct crash_suspects *s = crash_suspect_new(&crash_suspect_defaults);
	struct run_crash crash = { .content = 77 };
	const uint64_t own = part("own");
	uint64_t now = START_MS;
	uint32_t i;

	(void)state;
	for (i = 1; i <= 4; i++) {
		crash.id = i;
		crash.endpoint = i;
		crash.sent_ms = now;
		crash.crashed_ms = now + 100;
		now += 1000;
		crash_suspect_add_crash(s, own, &crash, now);
		assert_null(crash_suspect_find(s, own, now));
		assert_true(crash_suspect_known(s, own, now));
		assert_int_equal(crash_suspect_decide(s, own, now),
				 CRASH_SUSPECT_ALONE);
	}
	crash.content = 78; /* another request with the part */
	crash.id = i;
	crash.endpoint = i;
	crash.sent_ms = now;
	crash.crashed_ms = now + 100;
	assert_true(crash_suspect_add_crash(s, own, &crash, now + 100));
	assert_int_equal(crash_suspect_find(s, own, now + 100)->n_crashes, 2);
	assert_true(crash_suspect_run_completed(s, own, now + 200));
	assert_false(crash_suspect_known(s, own, now + 200));
	crash_suspect_free(s);
}

/* The parts of some requests do not push out what is known of another part. */
static void very_many_parts(void **state)
{
	struct crash_suspects *s = crash_suspect_new(&crash_suspect_defaults);
	const uint64_t bad = part("bad");
	const uint64_t bad_list[] = { bad, 0 };
	uint64_t now = START_MS;
	uint32_t number = 0;
	uint32_t i;
	uint32_t k;

	(void)state;
	for (i = 0; i < 3; i++) {
		for (k = 0; k < 4000; k++) {
			char id[24];
			uint64_t own[] = { 0, 0 };

			snprintf(id, sizeof(id), "own%u.%u", i, k);
			own[0] = part(id);
			crash_under(s, own, number + 1, now);
		}
		crash_under(s, bad_list, ++number, now);
		now += 1000;
	}
	assert_int_equal(crash_suspect_evaluate(s, now)->content, bad);
	assert_null(crash_suspect_evaluate(s, now));
	assert_int_equal(crash_suspect_forgotten(s), 0);
	crash_suspect_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(replays_of_the_incident),
		cmocka_unit_test(zone_that_ends_at_the_start),
		cmocka_unit_test(part_with_event_is_spared),
		cmocka_unit_test(parts_of_repeated_requests),
		cmocka_unit_test(many_parts_of_a_repeated_request),
		cmocka_unit_test(very_many_parts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
