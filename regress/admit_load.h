/*
 * Simulated load on admission, for tests and benchmarks.  Callers arrive at
 * random, wait at most LOAD_DEADLINE_MS for a start, and retry at the end of
 * their Retry-After, at most LOAD_RETURNS_MAX times.
 */
#ifndef REGRESS_ADMIT_LOAD_H
#define REGRESS_ADMIT_LOAD_H

#include <assert.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"
#include "policy/admit.h"
#include "regress/random.h"

enum {
	LOAD_ORGS_MAX = 16,
	LOAD_TICK_MS = 10,
	LOAD_TICKS = 1 << 17, /* of the calendar; more than the longest delay */
	LOAD_REQUESTS = 1 << 17,
	LOAD_DEADLINE_MS = 3000,
	LOAD_SERVICE_MS = 2000,
	LOAD_RETURNS_MAX = 3,
};

struct load_request {
	uint32_t next; /* in the calendar */
	uint32_t org;
	uint32_t service_ms;
	uint32_t charged_ms;
	uint64_t deadline_ms;
	uint8_t returns;
	bool running;
	bool reserved;
};

struct load {
	struct admit *admit;
	struct random_source rnd;
	uint64_t now;
	uint32_t orgs;
	double per_s[LOAD_ORGS_MAX]; /* new requests per second */
	uint32_t running[LOAD_REQUESTS];
	uint32_t nrunning;
	uint32_t calendar[LOAD_TICKS];
	struct load_request request[LOAD_REQUESTS];
	uint32_t nrequests;
	/* Results. */
	uint64_t completed[LOAD_ORGS_MAX];
	uint64_t arrived, attempts, refused;
	uint64_t late; /* started after their deadline */
	uint64_t evicted; /* refused from the queue */
	uint64_t returned, returned_admitted; /* callers with a reservation */
	uint32_t retry_after_max_s;
};

/*
 * Creates a simulation with orgs organisations of weight 1, each with a limit
 * of all slots.
 */
static inline struct load *load_new(uint32_t slots, uint32_t orgs,
				    uint64_t seed)
{
	struct load *l = xcalloc(1, sizeof(*l));
	struct admit_params p = admit_defaults;
	uint32_t i;

	p.slots = slots;
	p.orgs_max = orgs;
	p.service_prior_ms = LOAD_SERVICE_MS;
	l->admit = admit_new(&p, 0);
	l->rnd.seed = seed;
	l->orgs = orgs;
	memset(l->calendar, 0xff, sizeof(l->calendar));
	for (i = 0; i < orgs; i++)
		admit_set_org(l->admit, i, 1, slots);
	return l;
}

/* Frees a simulation. */
static inline void load_free(struct load *l)
{
	admit_free(l->admit);
	free(l);
}

/* Schedules the next event of request r, delay_ms from now. */
static inline void load_schedule(struct load *l, uint32_t r, uint64_t delay_ms)
{
	uint64_t tick = (l->now + delay_ms + LOAD_TICK_MS - 1) / LOAD_TICK_MS;
	uint32_t *head;

	if (tick <= l->now / LOAD_TICK_MS)
		tick = l->now / LOAD_TICK_MS + 1;
	assert(tick - l->now / LOAD_TICK_MS < LOAD_TICKS);
	head = &l->calendar[tick % LOAD_TICKS];
	l->request[r].next = *head;
	*head = r;
}

/* Applies a decision: starts the request or schedules the retry. */
static inline void load_apply_decision(struct load *l,
				       const struct admit_decision *v)
{
	struct load_request *r = &l->request[v->id];

	if (v->outcome == ADMIT_RUN) {
		r->running = true;
		r->charged_ms = v->charged_ms;
		l->late += l->now > r->deadline_ms;
		l->returned_admitted += r->reserved;
		load_schedule(l, (uint32_t)v->id, r->service_ms);
	}
	if (v->outcome != ADMIT_REFUSE)
		return;
	l->refused++;
	r->reserved = v->reserved;
	if (v->retry_after_s > l->retry_after_max_s)
		l->retry_after_max_s = v->retry_after_s;
	if (r->returns++ < LOAD_RETURNS_MAX)
		load_schedule(l, (uint32_t)v->id, v->retry_after_s * 1000ULL);
}

/* Submits request r, for the first time or as a retry. */
static inline void load_submit(struct load *l, uint32_t r)
{
	struct load_request *q = &l->request[r];
	struct admit_request req = {
		.id = r,
		.digest = r + 1,
		.org = q->org,
		.priority = ADMIT_NORMAL,
		.deadline_ms = l->now + LOAD_DEADLINE_MS,
	};
	struct admit_decision v;

	q->deadline_ms = req.deadline_ms;
	l->attempts++;
	l->returned += q->reserved;
	v = admit_arrive(l->admit, &req, l->now, random_next(&l->rnd));
	load_apply_decision(l, &v);
}

/* Submits the new requests of one tick, a Poisson process per organisation. */
static inline void load_arrivals(struct load *l)
{
	uint32_t o;

	for (o = 0; o < l->orgs; o++) {
		double mean = l->per_s[o] * LOAD_TICK_MS / 1000;
		double p = exp(-mean);
		double u = random_unit(&l->rnd);

		while (u >= p) {
			uint32_t r = l->nrequests++;

			assert(r < LOAD_REQUESTS);
			l->request[r].org = o;
			l->request[r].service_ms =
				1 + (uint32_t)(-LOAD_SERVICE_MS *
					       log(random_unit(&l->rnd)));
			l->arrived++;
			load_submit(l, r);
			u *= random_unit(&l->rnd);
		}
	}
}

/* Runs the simulation for ms of simulated time. */
static inline void load_run(struct load *l, uint64_t ms)
{
	uint64_t end = l->now + ms;
	struct admit_decision v;

	while (l->now < end) {
		uint32_t *head, r;

		l->now += LOAD_TICK_MS;
		head = &l->calendar[l->now / LOAD_TICK_MS % LOAD_TICKS];
		r = *head;
		*head = UINT32_MAX;
		while (r != UINT32_MAX) {
			struct load_request *q = &l->request[r];
			uint32_t next = q->next;

			if (q->running) {
				l->completed[q->org]++;
				admit_finish(l->admit, q->org, ADMIT_NEW,
					     q->charged_ms, q->service_ms, true,
					     l->now);
			} else {
				load_submit(l, r);
			}
			r = next;
		}
		load_arrivals(l);
		while (admit_next(l->admit, l->now, random_next(&l->rnd), &v)) {
			l->evicted += v.outcome == ADMIT_REFUSE;
			load_apply_decision(l, &v);
		}
	}
}

/* Returns the completed requests of all organisations. */
static inline uint64_t load_completed(const struct load *l)
{
	uint64_t sum = 0;
	uint32_t o;

	for (o = 0; o < l->orgs; o++)
		sum += l->completed[o];
	return sum;
}

#endif /* REGRESS_ADMIT_LOAD_H */
