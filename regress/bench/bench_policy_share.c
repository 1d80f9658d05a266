/*
 * Division of an organisation's limit in its shard, at policy level: by how
 * much the members together exceed the limit, and how much of it is in force,
 * when messages of the exchange are lost.  Members update their shares at the
 * same times (in_step), or each at its own times.  Demand changes every
 * CHANGE_MS.
 */
#include <stdbool.h>
#include <stdio.h>

#include "policy/share.h"
#include "regress/random.h"

enum {
	MEMBERS_MAX = 8,
	LIMIT = 400,
	TICK_MS = 10,
	ROUND_MS = 500,
	DELAY_MAX_MS = 50,
	RUN_MS = 20000000,
	CHANGE_MS = 10000,
};

/* A message in transit. */
struct message {
	bool sent;
	uint64_t arrives_ms;
	struct share_member body;
};

struct shard {
	struct random_source rnd;
	size_t n;
	uint32_t loss_percent;
	bool in_step;
	uint64_t update_ms[MEMBERS_MAX];
	struct share_member member[MEMBERS_MAX];
	struct share_member view[MEMBERS_MAX][MEMBERS_MAX];
	struct message message[MEMBERS_MAX][MEMBERS_MAX];
};

static const struct share_params params = {
	.fresh_ms = ROUND_MS,
	.hold_ms = 10 * ROUND_MS,
};

static void init(struct shard *s, size_t n, uint32_t loss_percent,
		 bool in_step);
static void publish(struct shard *s, size_t from, uint64_t now);
static void deliver(struct shard *s, uint64_t now);
static void update_shares(struct shard *s, uint64_t now);
static void simulate(size_t n, uint32_t loss_percent, bool in_step);

/* Initialises a shard of n members with even shares. */
static void init(struct shard *s, size_t n, uint32_t loss_percent, bool in_step)
{
	size_t i, k;

	*s = (struct shard){ .rnd = { .seed = n },
			     .n = n,
			     .in_step = in_step,
			     .loss_percent = loss_percent };
	for (i = 0; i < n; i++) {
		s->member[i].share = share_even(LIMIT, i, n);
		s->update_ms[i] = ROUND_MS;
		if (!in_step)
			s->update_ms[i] += random_below(&s->rnd, ROUND_MS);
	}
	for (i = 0; i < n; i++)
		for (k = 0; k < n; k++)
			s->view[i][k] = s->member[k];
}

/*
 * Sends the state of member from to the others, each message with a random
 * delay unless it is lost.
 */
static void publish(struct shard *s, size_t from, uint64_t now)
{
	size_t i;

	s->view[from][from] = s->member[from];
	for (i = 0; i < s->n; i++) {
		if (i == from || random_below(&s->rnd, 100) < s->loss_percent)
			continue;
		s->message[i][from] = (struct message){
			.sent = true,
			.arrives_ms = now + random_below(&s->rnd, DELAY_MAX_MS),
			.body = s->member[from],
		};
	}
}

/* Delivers the messages that have arrived by now. */
static void deliver(struct shard *s, uint64_t now)
{
	size_t i, k;

	for (i = 0; i < s->n; i++)
		for (k = 0; k < s->n; k++) {
			struct message *m = &s->message[i][k];

			if (!m->sent || m->arrives_ms > now)
				continue;
			m->sent = false;
			s->view[i][k] = m->body;
			s->view[i][k].last_seen_ms = now;
		}
}

/* Updates and publishes the shares of the members whose round is due. */
static void update_shares(struct shard *s, uint64_t now)
{
	bool updated[MEMBERS_MAX] = { false };
	size_t i;

	for (i = 0; i < s->n; i++) {
		if (now < s->update_ms[i])
			continue;
		updated[i] = true;
		s->update_ms[i] += ROUND_MS;
		if (!s->in_step)
			s->update_ms[i] += random_below(&s->rnd, ROUND_MS / 4);
		s->member[i].share =
			share_next(LIMIT, s->view[i], s->n, i, now, &params);
	}
	for (i = 0; i < s->n; i++)
		if (updated[i])
			publish(s, i, now);
}

/* Simulates a shard for RUN_MS and prints its figures. */
static void simulate(size_t n, uint32_t loss_percent, bool in_step)
{
	const char *timing = in_step ? "in_step" : "own_time";
	uint32_t sum_max = 0, over = 0, ticks = 0;
	uint64_t in_force = 0, now;
	struct shard s;
	size_t i;

	init(&s, n, loss_percent, in_step);
	for (now = TICK_MS; now < RUN_MS; now += TICK_MS) {
		uint32_t sum = 0;

		for (i = 0; i < n && now % CHANGE_MS == 0; i++)
			s.member[i].demand = random_below(&s.rnd, 2)
						     ? random_below(&s.rnd, 800)
						     : 0;
		deliver(&s, now);
		update_shares(&s, now);
		for (i = 0; i < n; i++)
			sum += s.member[i].share;
		ticks++;
		in_force += sum < LIMIT ? sum : LIMIT;
		over += sum > LIMIT;
		if (sum > sum_max)
			sum_max = sum;
	}
	printf("share_%zu_%s_loss_%u_overshoot_max %.2f percent\n", n, timing,
	       loss_percent,
	       sum_max > LIMIT ? 100.0 * (sum_max - LIMIT) / LIMIT : 0.0);
	printf("share_%zu_%s_loss_%u_overshoot_time %.3f percent\n", n, timing,
	       loss_percent, 100.0 * over / ticks);
	printf("share_%zu_%s_loss_%u_in_force %.1f percent\n", n, timing,
	       loss_percent, 100.0 * (double)in_force / ticks / LIMIT);
}

int main(void)
{
	static const size_t members[] = { 3, 4, 8 };
	static const uint32_t loss[] = { 0, 1, 10, 30 };
	size_t i, k;

	for (i = 0; i < 3; i++)
		for (k = 0; k < 4; k++) {
			simulate(members[i], loss[k], true);
			simulate(members[i], loss[k], false);
		}
	return 0;
}
