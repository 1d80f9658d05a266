/*
 * Simulation of quarantine on several instances, for tests and benchmarks: real
 * tables that exchange records after a delay, and simulated endpoints.
 * Stream 0 may crash every endpoint that runs it.
 */
#ifndef REGRESS_QUARANTINE_SIM_H
#define REGRESS_QUARANTINE_SIM_H

#include <stdbool.h>
#include <string.h>

#include "policy/quarantine.h"
#include "regress/random.h"

enum {
	INSTANCES = 6,
	ENDPOINTS_MAX = 128,
	STREAMS = 31, /* on the first endpoint to die; 0 is the crashing one */
	CRASH_MS = 400, /* from the start of stream 0 to the death */
	EXCHANGE_MS = 150,
	TICK_MS = 50,
	RUN_MS = 20000,
};

struct stream {
	struct quarantine_digest digest;
	int instance;
	int endpoint; /* -1: waiting, -2: refused */
	uint64_t started_ms;
};

struct sim {
	struct random_source rnd;
	struct quarantine *q[INSTANCES];
	uint64_t exported[INSTANCES];
	struct stream stream[STREAMS];
	uint64_t incarnation[ENDPOINTS_MAX];
	int endpoints;
	uint64_t now;
	int lost;
	int moved_harmless;
};

struct outcome {
	int lost;
	int blocked_harmless;
	bool blocked;
};

static inline void quarantine_sim_init(struct sim *s, int endpoints,
				       uint64_t seed)
{
	int i;

	memset(s, 0, sizeof(*s));
	s->rnd.seed = seed;
	s->endpoints = endpoints;
	s->now = 100000;
	for (i = 0; i < INSTANCES; i++)
		s->q[i] = quarantine_new(&quarantine_defaults);
	for (i = 0; i < STREAMS; i++)
		s->stream[i] = (struct stream){
			.digest = quarantine_digest("org", &i, sizeof(i)),
			.instance = (int)random_below(&s->rnd, INSTANCES),
			.started_ms = s->now,
		};
}

static inline void quarantine_sim_free(struct sim *s)
{
	int i;

	for (i = 0; i < INSTANCES; i++)
		quarantine_free(s->q[i]);
}

/*
 * Kills and restarts an endpoint; each instance records the death with its own
 * streams there.
 */
static inline void kill_endpoint(struct sim *s, int endpoint)
{
	uint64_t id =
		1 + (uint64_t)endpoint * 1000 + s->incarnation[endpoint]++;
	int i, k;

	for (i = 0; i < INSTANCES; i++) {
		struct quarantine_digest running[STREAMS];
		size_t n = 0;

		for (k = 0; k < STREAMS; k++)
			if (s->stream[k].instance == i &&
			    s->stream[k].endpoint == endpoint)
				running[n++] = s->stream[k].digest;
		quarantine_add_death(s->q[i], id, running, n, s->now);
	}
	for (k = 0; k < STREAMS; k++)
		if (s->stream[k].endpoint == endpoint)
			s->stream[k].endpoint = -1;
	s->lost++;
}

/*
 * Returns whether e runs a suspect of the stream's instance or, if all is set,
 * of any instance.
 */
static inline bool runs_suspect(const struct sim *s, const struct stream *self,
				int e, bool all)
{
	int k;

	for (k = 0; k < STREAMS; k++)
		if (s->stream[k].endpoint == e && &s->stream[k] != self &&
		    (all || s->stream[k].instance == self->instance))
			return true;
	return false;
}

/*
 * Selects an endpoint for a suspect.  Instances that place at the same time do
 * not see each other's choice; a stream that is to run alone uses its rank.
 */
static inline int select_endpoint(struct sim *s, const struct stream *self,
				  bool alone, uint32_t rank)
{
	uint32_t left = rank;
	int tries;
	int e;

	for (e = 0; alone && e < s->endpoints; e++)
		if (!runs_suspect(s, self, e, true) && !left--)
			return e;
	if (alone)
		return (int)rank % s->endpoints;
	for (tries = 0; tries < 4 * s->endpoints; tries++) {
		e = (int)random_below(&s->rnd, (uint32_t)s->endpoints);
		if (!runs_suspect(s, self, e, false))
			return e;
	}
	return (int)random_below(&s->rnd, (uint32_t)s->endpoints);
}

/* Places the waiting streams as their instances decide. */
static inline void place(struct sim *s)
{
	int chosen[STREAMS];
	int k;

	for (k = 0; k < STREAMS; k++) {
		struct stream *st = &s->stream[k];
		struct quarantine_decision d;

		chosen[k] = st->endpoint;
		if (st->endpoint != -1)
			continue;
		d = quarantine_decide(s->q[st->instance], &st->digest, s->now);
		if (d.action == QUARANTINE_REFUSE)
			chosen[k] = -2;
		else if (d.action != QUARANTINE_HOLD)
			chosen[k] = select_endpoint(
				s, st, d.action == QUARANTINE_RUN_ALONE,
				d.rank);
		if (chosen[k] >= 0)
			st->started_ms = s->now;
		if (d.action == QUARANTINE_RUN_APART)
			st->endpoint = chosen[k];
	}
	for (k = 0; k < STREAMS; k++)
		s->stream[k].endpoint = chosen[k];
}

/* Stops an instance's streams of a request that is now held or refused. */
static inline void stop_copies(struct sim *s, int instance,
			       const struct quarantine_digest *digest)
{
	enum quarantine_action action;
	int k;

	action = quarantine_decide(s->q[instance], digest, s->now).action;
	if (action != QUARANTINE_HOLD && action != QUARANTINE_REFUSE)
		return;
	for (k = 0; k < STREAMS; k++) {
		struct stream *st = &s->stream[k];

		if (st->instance == instance && st->endpoint >= 0 &&
		    st->digest.lo == digest->lo && st->digest.hi == digest->hi)
			st->endpoint = -1;
	}
}

/* Sends each instance's changed records to all others. */
static inline void exchange(struct sim *s)
{
	struct quarantine_record record[4 * STREAMS];
	size_t n, r;
	int i, k;

	for (i = 0; i < INSTANCES; i++) {
		n = quarantine_export(s->q[i], s->exported[i], s->now, record,
				      4 * STREAMS);
		s->exported[i] = s->now;
		for (k = 0; k < INSTANCES; k++)
			for (r = 0; k != i && r < n; r++)
				if (quarantine_merge(s->q[k], &record[r],
						     s->now))
					stop_copies(s, k, &record[r].digest);
	}
}

/*
 * Runs stream 0, which crashes its endpoints until it is refused.  If
 * partitioned is set, instances exchange no records.  `copies` of the stream
 * run from the start, each on its own endpoint and from another instance.
 */
static inline struct outcome quarantine_sim_crash(int endpoints,
						  bool partitioned, int copies,
						  uint64_t seed)
{
	struct outcome out = { 0 };
	struct sim s;
	uint64_t end;
	int k;

	quarantine_sim_init(&s, endpoints, seed);
	for (k = 1; k < copies; k++) {
		s.stream[k].digest = s.stream[0].digest;
		s.stream[k].instance = k;
		s.stream[k].endpoint = k;
	}
	end = s.now + RUN_MS;
	for (; s.now < end; s.now += TICK_MS) {
		for (k = 0; k < copies; k++) {
			struct stream *crashing = &s.stream[k];

			if (crashing->endpoint >= 0 &&
			    s.now >= crashing->started_ms + CRASH_MS)
				kill_endpoint(&s, crashing->endpoint);
		}
		if (!partitioned && s.now % EXCHANGE_MS == 0)
			exchange(&s);
		place(&s);
	}
	out.lost = s.lost;
	out.blocked = s.stream[0].endpoint == -2;
	for (k = copies; k < STREAMS; k++)
		out.blocked_harmless += s.stream[k].endpoint == -2;
	quarantine_sim_free(&s);
	return out;
}

#endif /* REGRESS_QUARANTINE_SIM_H */
