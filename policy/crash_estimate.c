/*
 * Estimates for each content the chance that a run of it ends its endpoint,
 * from the ends of endpoints under its runs and from its runs at risk.
 *
 * The estimate is Kaplan and Meier's: 1 minus the product, over the ages at
 * which ends came, of 1 - share / runs that reached that age.  Runs that broke
 * without an end of their endpoint, or still go on, count up to their last event.
 * A run that completed will end no endpoint at any age, and counts at all: else
 * the last of many short runs, which broke in the moment it was about to complete,
 * would be alone at its age and decide the estimate.
 *
 * An end is shared among the contents that had runs there, in proportion to
 * their estimates, and another cause, whose weight is constant; and within a
 * content among its runs there.  Estimates and shares are computed in turn
 * (expectation maximisation), from the same start each time, so that the order
 * of the reports doesn't matter.
 *
 * A broken run is under an end if its endpoint was then shown to have ended and
 * gave no sign of life since the break.  The first such break dates the end; a
 * run that was sent later counts nothing.
 *
 * A content with enough ends and a large estimate is held until all news of the
 * moment have come, then refused, and lifted as soon as its runs bring the
 * estimate below the limit.  After a time one run of it is a trial: if its
 * endpoint ends, the content is refused for longer.
 *
 * The program does not use it yet; regress/crash_replay.c compares it with
 * policy/crash_suspect.c.
 *
 * Callers pass reports of all observers in any order, with times of one clock.
 */
#include "policy/crash_estimate.h"

#include <math.h>
#include <stdlib.h>

#include "lib/xalloc.h"

#define WAYS 16 /* slots per key in each table */

/* Shares in ends that one evaluation looks at. */
#define SHARES_MAX 8192

/* Largest change of an estimate in a round that ends the sharing. */
#define SETTLED 0.001

/* A run that is over. */
struct past_run {
	uint64_t id;
	uint64_t endpoint;
	uint64_t sent_ms;
	uint64_t last_ms; /* when it completed or broke */
	bool broke;
	bool trial;
	bool own;
};

struct content_record {
	uint64_t content; /* 0: unused */
	uint64_t used_ms;
	struct past_run *past; /* ring of history_max */
	uint64_t n_past; /* in total */
	uint32_t first_open; /* in one evaluation: index + 1; 0: none */
	struct crash_estimate_result result;
	uint64_t held_ms; /* since then; 0: it is not */
	uint64_t broke_ms; /* last break whose cause is not known; 0: none */
	uint64_t broke_endpoint;
	bool refused;
	uint64_t trial; /* run in progress or broken without a known cause */
	uint64_t trial_broke_ms; /* 0: it is in progress */
	uint64_t refused_until_ms;
	uint32_t refusals;
};

struct open_run {
	struct crash_estimate_run run; /* id 0: unused */
	uint64_t last_ms; /* its last event */
	uint32_t next; /* of its content, in one evaluation; 0: none */
};

struct endpoint_record {
	uint64_t endpoint; /* 0: unused */
	uint64_t alive_ms; /* last sign of life */
	uint64_t shown_ms; /* first sign that it has ended; 0: none */
	uint64_t end_ms; /* computed by each evaluation */
	double weight; /* sum of the estimates of contents there */
	bool kept; /* it counts against a refused content */
};

/* One run of a content under one end. */
struct share {
	struct endpoint_record *end;
	uint64_t age_ms;
	uint32_t runs; /* of this content under this end */
};

/* A content with shares, in one evaluation. */
struct candidate {
	struct content_record *content;
	size_t first; /* of its shares, in order of age */
	size_t n;
	uint32_t *at_risk; /* by share */
	double estimate;
};

struct crash_estimates {
	struct crash_estimate_params params;
	struct content_record *contents;
	size_t n_contents;
	struct open_run *runs;
	size_t n_runs;
	struct endpoint_record *endpoints;
	size_t n_endpoints;
	bool changed; /* since the last evaluation */
	bool watched; /* a content is held or refused */
	uint64_t evaluated_ms;
	/* scratch of an evaluation */
	struct share *shares;
	uint32_t *at_risk;
	struct candidate *candidates;
	uint64_t *ages;
};

const struct crash_estimate_params crash_estimate_defaults = {
	.contents_max = 1024,
	.history_max = 256,
	.runs_max = 4096,
	.endpoints_max = 1024,
	.ends_min = 3,
	.rounds_max = 4,
	.other_cause = 0.3,
	.refused_at = 0.25,
	.completed_reach_all = true,
	.remembered_ms = 3600000,
	.confirm_ms = 10000,
	.evaluate_ms = 20,
	.settle_ms = 300,
	.break_hold_ms = 100,
	.refused_ms = 8000,
	.refused_factor = 8,
	.refused_max_ms = 86400000,
};

static size_t power_of_two(size_t least);
static size_t home(uint64_t key, size_t n, size_t way);
static struct content_record *find_content(const struct crash_estimates *p,
					   uint64_t content);
static struct content_record *add_content(struct crash_estimates *p,
					  uint64_t content, uint64_t now);
static struct open_run *find_run(const struct crash_estimates *p, uint64_t id);
static struct endpoint_record *find_endpoint(const struct crash_estimates *p,
					     uint64_t endpoint);
static struct endpoint_record *add_endpoint(struct crash_estimates *p,
					    uint64_t endpoint, uint64_t now);
static bool awaits_cause(const struct crash_estimates *p,
			 const struct content_record *c, uint64_t now);
static void note_alive(struct crash_estimates *p, uint64_t endpoint,
		       uint64_t at_ms);
static void close_run(struct crash_estimates *p, struct open_run *r,
		      uint64_t at_ms, bool broke);
static size_t past_count(const struct crash_estimates *p,
			 const struct content_record *c);
static bool is_past(const struct crash_estimates *p,
		    const struct content_record *c, uint64_t id);
static bool is_remembered(const struct crash_estimates *p,
			  const struct past_run *run, uint64_t now);
static struct endpoint_record *end_of(const struct crash_estimates *p,
				      const struct past_run *run);
static void date_ends(struct crash_estimates *p, uint64_t now);
static void link_open_runs(struct crash_estimates *p);
static size_t list_candidates(struct crash_estimates *p, uint64_t now);
static size_t list_shares(struct crash_estimates *p, struct content_record *c,
			  size_t first, uint64_t now);
static size_t list_ages(struct crash_estimates *p,
			const struct content_record *c, uint64_t now);
static void count_runs_of_shares(struct share *shares, size_t n);
static void share_ends(struct crash_estimates *p, size_t n);
static double estimate(const struct crash_estimates *p,
		       const struct candidate *c);
static uint32_t count_ends(const struct share *shares, size_t n);
static void judge(struct crash_estimates *p, struct content_record *c,
		  uint64_t now);
static void judge_trial(struct crash_estimates *p, struct content_record *c,
			uint64_t now);
static void refuse(struct crash_estimates *p, struct content_record *c,
		   uint64_t now);
static void keep_ends(struct crash_estimates *p, size_t n);
static int compare_ages(const void *a, const void *b);
static int compare_shares(const void *a, const void *b);

/* Allocates empty tables. */
struct crash_estimates *crash_estimate_new(
	const struct crash_estimate_params *params)
{
	struct crash_estimates *p = xcalloc(1, sizeof(*p));

	p->params = *params;
	p->n_contents = power_of_two(params->contents_max);
	p->n_runs = power_of_two(params->runs_max);
	p->n_endpoints = power_of_two(params->endpoints_max);
	p->contents = xcalloc(p->n_contents, sizeof(*p->contents));
	p->runs = xcalloc(p->n_runs, sizeof(*p->runs));
	p->endpoints = xcalloc(p->n_endpoints, sizeof(*p->endpoints));
	p->shares = xcalloc(SHARES_MAX, sizeof(*p->shares));
	p->at_risk = xcalloc(SHARES_MAX, sizeof(*p->at_risk));
	p->candidates = xcalloc(p->n_contents, sizeof(*p->candidates));
	p->ages = xcalloc(params->history_max + p->n_runs, sizeof(*p->ages));
	return p;
}

/* Frees the tables; p may be NULL. */
void crash_estimate_free(struct crash_estimates *p)
{
	size_t i;

	if (!p)
		return;
	for (i = 0; i < p->n_contents; i++)
		free(p->contents[i].past);
	free(p->contents);
	free(p->runs);
	free(p->endpoints);
	free(p->shares);
	free(p->at_risk);
	free(p->candidates);
	free(p->ages);
	free(p);
}

/* Records that a run was sent to its endpoint, unless it is known.  Of a content
 * whose refusal had lapsed then it is the trial.  If there is no room, it takes
 * the place of the run that had the oldest event. */
void crash_estimate_run_began(struct crash_estimates *p,
			      const struct crash_estimate_run *run)
{
	struct open_run *r = &p->runs[home(run->id, p->n_runs, 0)];
	struct content_record *c = add_content(p, run->content, run->sent_ms);
	size_t way;

	if (find_run(p, run->id) || is_past(p, c, run->id))
		return;
	for (way = 1; way < WAYS && r->run.id; way++) {
		struct open_run *o = &p->runs[home(run->id, p->n_runs, way)];

		if (!o->run.id || o->last_ms < r->last_ms)
			r = o;
	}
	*r = (struct open_run){ .run = *run, .last_ms = run->sent_ms };
	if (c->refused && !c->trial && run->sent_ms >= c->refused_until_ms) {
		c->trial = run->id;
		c->trial_broke_ms = 0;
	}
	add_endpoint(p, run->endpoint, run->sent_ms);
}

/* Records an event of a run. */
void crash_estimate_run_lives(struct crash_estimates *p, uint64_t id,
			      uint64_t at_ms)
{
	struct open_run *r = find_run(p, id);

	if (!r)
		return;
	if (at_ms > r->last_ms)
		r->last_ms = at_ms;
	note_alive(p, r->run.endpoint, at_ms);
}

/* Records that a run came to its end. */
void crash_estimate_run_completed(struct crash_estimates *p, uint64_t id,
				  uint64_t at_ms)
{
	struct open_run *r = find_run(p, id);

	if (!r)
		return;
	note_alive(p, r->run.endpoint, at_ms);
	close_run(p, r, at_ms, false);
}

/* Records that a run broke, by whatever cause. */
void crash_estimate_run_broke(struct crash_estimates *p, uint64_t id,
			      uint64_t at_ms)
{
	struct open_run *r = find_run(p, id);

	if (r)
		close_run(p, r, at_ms, true);
}

/* Records what an instance tells of a run.  Reports may come twice and in any
 * order: the last state of a run is kept. */
void crash_estimate_add_report(struct crash_estimates *p,
			       const struct crash_estimate_report *report)
{
	crash_estimate_run_began(p, &report->run);
	switch (report->state) {
	case CRASH_ESTIMATE_IN_PROGRESS:
		if (report->last_ms > report->run.sent_ms)
			crash_estimate_run_lives(p, report->run.id,
						 report->last_ms);
		break;
	case CRASH_ESTIMATE_COMPLETED:
		crash_estimate_run_completed(p, report->run.id,
					     report->last_ms);
		break;
	case CRASH_ESTIMATE_BROKE:
		crash_estimate_run_broke(p, report->run.id, report->last_ms);
		break;
	}
}

/* Iterates over the own runs of a content that are remembered, to tell them to
 * other instances; *index is 0 for the first call.  Returns false at the end. */
bool crash_estimate_next_report(const struct crash_estimates *p,
				uint64_t content, size_t *index,
				struct crash_estimate_report *report)
{
	const struct content_record *c = find_content(p, content);
	size_t n_past = c ? past_count(p, c) : 0;

	while (*index < n_past) {
		const struct past_run *run = &c->past[(*index)++];

		if (!run->own)
			continue;
		*report = (struct crash_estimate_report){
			.run = { .id = run->id,
				 .content = content,
				 .endpoint = run->endpoint,
				 .sent_ms = run->sent_ms },
			.state = run->broke ? CRASH_ESTIMATE_BROKE
					    : CRASH_ESTIMATE_COMPLETED,
			.last_ms = run->last_ms,
		};
		return true;
	}
	while (*index < n_past + p->n_runs) {
		const struct open_run *r = &p->runs[(*index)++ - n_past];

		if (!r->run.id || r->run.content != content || !r->run.own)
			continue;
		*report = (struct crash_estimate_report){
			.run = r->run,
			.last_ms = r->last_ms,
		};
		report->run.own = false;
		return true;
	}
	return false;
}

/* Records that an endpoint answered a request, other than a run, that was sent
 * to it at at_ms. */
void crash_estimate_endpoint_answered(struct crash_estimates *p,
				      uint64_t endpoint, uint64_t at_ms)
{
	note_alive(p, endpoint, at_ms);
}

/* Records that an endpoint was shown to have ended. */
void crash_estimate_endpoint_ended(struct crash_estimates *p, uint64_t endpoint,
				   uint64_t shown_ms)
{
	struct endpoint_record *e = add_endpoint(p, endpoint, shown_ms);

	if (e->shown_ms && e->shown_ms <= shown_ms)
		return;
	e->shown_ms = shown_ms;
	p->changed = true;
}

/* Computes the estimates, and refuses and lifts contents by them. */
void crash_estimate_evaluate(struct crash_estimates *p, uint64_t now)
{
	size_t n;
	size_t i;

	if (!p->changed &&
	    (!p->watched || now < p->evaluated_ms + p->params.evaluate_ms))
		return;
	p->changed = false;
	p->watched = false;
	p->evaluated_ms = now;
	date_ends(p, now);
	for (i = 0; i < p->n_contents; i++) {
		p->contents[i].result = (struct crash_estimate_result){ 0 };
		p->contents[i].first_open = 0;
	}
	link_open_runs(p);
	n = list_candidates(p, now);
	share_ends(p, n);
	for (i = 0; i < n; i++)
		p->candidates[i].content->result.estimate =
			p->candidates[i].estimate;
	for (i = 0; i < p->n_contents; i++)
		if (p->contents[i].content)
			judge(p, &p->contents[i], now);
	keep_ends(p, n);
}

/* Keeps the ends that count against refused contents, of n candidates: else the
 * ends of others would lift a refusal. */
static void keep_ends(struct crash_estimates *p, size_t n)
{
	size_t i;
	size_t k;

	for (i = 0; i < p->n_endpoints; i++)
		p->endpoints[i].kept = false;
	for (i = 0; i < n; i++) {
		const struct candidate *c = &p->candidates[i];

		for (k = 0; c->content->refused && k < c->n; k++)
			p->shares[c->first + k].end->kept = true;
	}
}

/* Decides whether a run of the content may be sent. */
enum crash_estimate_decision crash_estimate_decide(
	const struct crash_estimates *p, uint64_t content, uint64_t now)
{
	const struct content_record *c = find_content(p, content);

	if (!c)
		return CRASH_ESTIMATE_RUN;
	if (!c->refused)
		return c->held_ms || awaits_cause(p, c, now)
			       ? CRASH_ESTIMATE_HOLD
			       : CRASH_ESTIMATE_RUN;
	return now < c->refused_until_ms || c->trial ? CRASH_ESTIMATE_REFUSE
						     : CRASH_ESTIMATE_TRIAL;
}

/* Tells whether a content is one end short of a refusal and it is not known yet
 * whether its last break was under an end. */
static bool awaits_cause(const struct crash_estimates *p,
			 const struct content_record *c, uint64_t now)
{
	const struct endpoint_record *e;

	if (!c->broke_ms || now >= c->broke_ms + p->params.break_hold_ms ||
	    c->result.ends + 1 < p->params.ends_min ||
	    c->result.estimate < p->params.refused_at)
		return false;
	e = find_endpoint(p, c->broke_endpoint);
	return e && e->alive_ms <= c->broke_ms && (!e->shown_ms || p->changed);
}

/* Returns the time until the content's next trial, ms; 0 if it is not refused
 * or may be tried now. */
uint64_t crash_estimate_refused_ms(const struct crash_estimates *p,
				   uint64_t content, uint64_t now)
{
	const struct content_record *c = find_content(p, content);

	return c && c->refused && c->refused_until_ms > now
		       ? c->refused_until_ms - now
		       : 0;
}

/* Returns what the last evaluation found of a content. */
struct crash_estimate_result crash_estimate_result(
	const struct crash_estimates *p, uint64_t content)
{
	const struct content_record *c = find_content(p, content);

	return c ? c->result : (struct crash_estimate_result){ 0 };
}

/* Returns the smallest power of two that is at least the given number. */
static size_t power_of_two(size_t least)
{
	size_t n = WAYS;

	while (n < least)
		n *= 2;
	return n;
}

/* Returns one of the slots for a key in a table of n. */
static size_t home(uint64_t key, size_t n, size_t way)
{
	return ((key * 0x9e3779b97f4a7c15u >> 32) + way) & (n - 1);
}

/* Returns the record of a content, or NULL. */
static struct content_record *find_content(const struct crash_estimates *p,
					   uint64_t content)
{
	size_t way;

	for (way = 0; way < WAYS; way++) {
		struct content_record *c =
			&p->contents[home(content, p->n_contents, way)];

		if (c->content == content)
			return c;
	}
	return NULL;
}

/* Returns the record of a content; a new one takes the place of one that is not
 * refused and was used the longest time ago. */
static struct content_record *add_content(struct crash_estimates *p,
					  uint64_t content, uint64_t now)
{
	struct content_record *c = find_content(p, content);
	struct past_run *past;
	size_t way;

	if (c) {
		if (now > c->used_ms)
			c->used_ms = now;
		return c;
	}
	c = &p->contents[home(content, p->n_contents, 0)];
	for (way = 1; way < WAYS && c->content; way++) {
		struct content_record *o =
			&p->contents[home(content, p->n_contents, way)];

		if (!o->content ||
		    (o->refused == c->refused ? o->used_ms < c->used_ms
					      : c->refused))
			c = o;
	}
	past = c->past;
	if (!past)
		past = xcalloc(p->params.history_max, sizeof(*past));
	*c = (struct content_record){
		.content = content,
		.used_ms = now,
		.past = past,
	};
	return c;
}

/* Returns a run in progress, or NULL. */
static struct open_run *find_run(const struct crash_estimates *p, uint64_t id)
{
	size_t way;

	for (way = 0; way < WAYS; way++) {
		struct open_run *r = &p->runs[home(id, p->n_runs, way)];

		if (r->run.id == id)
			return r;
	}
	return NULL;
}

/* Returns the record of an endpoint, or NULL. */
static struct endpoint_record *find_endpoint(const struct crash_estimates *p,
					     uint64_t endpoint)
{
	size_t way;

	for (way = 0; way < WAYS; way++) {
		struct endpoint_record *e =
			&p->endpoints[home(endpoint, p->n_endpoints, way)];

		if (e->endpoint == endpoint)
			return e;
	}
	return NULL;
}

/* Returns the record of an endpoint; a new one takes the place of the one that
 * was heard of the longest time ago, of those that count against no refused
 * content. */
static struct endpoint_record *add_endpoint(struct crash_estimates *p,
					    uint64_t endpoint, uint64_t now)
{
	struct endpoint_record *e = find_endpoint(p, endpoint);
	size_t way;

	if (e)
		return e;
	e = &p->endpoints[home(endpoint, p->n_endpoints, 0)];
	for (way = 1; way < WAYS && e->endpoint; way++) {
		struct endpoint_record *o =
			&p->endpoints[home(endpoint, p->n_endpoints, way)];

		if (!o->endpoint ||
		    (o->kept == e->kept ? o->alive_ms < e->alive_ms : e->kept))
			e = o;
	}
	/* a run that is sent says nothing about its endpoint, but later breaks
	 * are those that count */
	*e = (struct endpoint_record){
		.endpoint = endpoint,
		.alive_ms = now > p->params.confirm_ms
				    ? now - p->params.confirm_ms
				    : 0,
	};
	return e;
}

/* Records that an endpoint lived at a time. */
static void note_alive(struct crash_estimates *p, uint64_t endpoint,
		       uint64_t at_ms)
{
	struct endpoint_record *e = add_endpoint(p, endpoint, at_ms);

	if (at_ms <= e->alive_ms)
		return;
	e->alive_ms = at_ms;
	if (e->shown_ms)
		p->changed = true;
}

/* Moves a run to the history of its content. */
static void close_run(struct crash_estimates *p, struct open_run *r,
		      uint64_t at_ms, bool broke)
{
	struct content_record *c = add_content(p, r->run.content, at_ms);
	bool trial = c->trial == r->run.id;

	c->past[c->n_past++ % p->params.history_max] = (struct past_run){
		.id = r->run.id,
		.endpoint = r->run.endpoint,
		.sent_ms = r->run.sent_ms,
		.last_ms = at_ms,
		.broke = broke,
		.trial = trial,
		.own = r->run.own,
	};
	if (broke && at_ms >= c->broke_ms) {
		c->broke_ms = at_ms;
		c->broke_endpoint = r->run.endpoint;
	}
	if (trial && broke)
		c->trial_broke_ms = at_ms;
	else if (trial)
		c->trial = 0;
	*r = (struct open_run){ 0 };
	p->changed |= broke;
}

/* Returns the number of past runs that are kept of a content. */
static size_t past_count(const struct crash_estimates *p,
			 const struct content_record *c)
{
	return c->n_past < p->params.history_max ? c->n_past
						 : p->params.history_max;
}

/* Tells whether a run is over and remembered. */
static bool is_past(const struct crash_estimates *p,
		    const struct content_record *c, uint64_t id)
{
	size_t n = past_count(p, c);
	size_t i;

	for (i = 0; i < n; i++)
		if (c->past[i].id == id)
			return true;
	return false;
}

/* Tells whether a run counts still. */
static bool is_remembered(const struct crash_estimates *p,
			  const struct past_run *run, uint64_t now)
{
	return run->last_ms + p->params.remembered_ms > now;
}

/* Returns the endpoint whose end broke a run, or NULL if none is known. */
static struct endpoint_record *end_of(const struct crash_estimates *p,
				      const struct past_run *run)
{
	struct endpoint_record *e;

	if (!run->broke)
		return NULL;
	e = find_endpoint(p, run->endpoint);
	return e && e->shown_ms && run->last_ms >= e->alive_ms &&
			       e->shown_ms < run->last_ms + p->params.confirm_ms
		       ? e
		       : NULL;
}

/* Dates the ends of endpoints by the first break since their last sign of
 * life. */
static void date_ends(struct crash_estimates *p, uint64_t now)
{
	size_t i;
	size_t k;

	for (i = 0; i < p->n_endpoints; i++)
		p->endpoints[i].end_ms = p->endpoints[i].shown_ms;
	for (i = 0; i < p->n_contents; i++) {
		const struct content_record *c = &p->contents[i];
		size_t n = c->content ? past_count(p, c) : 0;

		for (k = 0; k < n; k++) {
			struct endpoint_record *e = end_of(p, &c->past[k]);

			if (e && is_remembered(p, &c->past[k], now) &&
			    c->past[k].last_ms < e->end_ms)
				e->end_ms = c->past[k].last_ms;
		}
	}
}

/* Links the runs in progress of each content. */
static void link_open_runs(struct crash_estimates *p)
{
	size_t i;

	for (i = 0; i < p->n_runs; i++) {
		struct open_run *r = &p->runs[i];
		struct content_record *c =
			r->run.id ? find_content(p, r->run.content) : NULL;

		if (!c)
			continue;
		r->next = c->first_open;
		c->first_open = (uint32_t)i + 1;
	}
}

/* Lists the contents that had runs under ends, with their shares.  Returns their
 * number. */
static size_t list_candidates(struct crash_estimates *p, uint64_t now)
{
	size_t n_shares = 0;
	size_t n = 0;
	size_t i;
	size_t k;

	for (i = 0; i < p->n_contents; i++) {
		struct content_record *c = &p->contents[i];
		struct candidate *o = &p->candidates[n];
		size_t n_ages;
		size_t reached = 0;

		if (!c->content)
			continue;
		*o = (struct candidate){
			.content = c,
			.first = n_shares,
			.n = list_shares(p, c, n_shares, now),
			.at_risk = p->at_risk + n_shares,
			.estimate = 0.5,
		};
		if (!o->n)
			continue;
		n_ages = list_ages(p, c, now);
		for (k = 0; k < o->n; k++) {
			while (reached < n_ages &&
			       p->ages[reached] <
				       p->shares[o->first + k].age_ms)
				reached++;
			o->at_risk[k] = (uint32_t)(n_ages - reached);
		}
		c->result.ends = count_ends(p->shares + o->first, o->n);
		c->result.at_risk = (uint32_t)n_ages;
		n_shares += o->n;
		n++;
	}
	return n;
}

/* Lists the runs of a content under ends, in order of age, from the first free
 * share on.  Returns their number. */
static size_t list_shares(struct crash_estimates *p, struct content_record *c,
			  size_t first, uint64_t now)
{
	size_t n_past = past_count(p, c);
	size_t n = 0;
	size_t i;

	for (i = 0; i < n_past && first + n < SHARES_MAX; i++) {
		const struct past_run *run = &c->past[i];
		struct endpoint_record *e = end_of(p, run);

		if (!e || !is_remembered(p, run, now) ||
		    run->sent_ms > e->end_ms)
			continue;
		p->shares[first + n++] = (struct share){
			.end = e,
			.age_ms = e->end_ms - run->sent_ms,
		};
	}
	qsort(p->shares + first, n, sizeof(*p->shares), compare_shares);
	count_runs_of_shares(p->shares + first, n);
	return n;
}

/* Lists the ages that the runs of a content reached, in order.  A run that was
 * sent to an endpoint that had ended is left out.  Returns their number. */
static size_t list_ages(struct crash_estimates *p,
			const struct content_record *c, uint64_t now)
{
	size_t n_past = past_count(p, c);
	size_t n = 0;
	size_t i;

	for (i = 0; i < n_past; i++) {
		const struct past_run *run = &c->past[i];
		const struct endpoint_record *e = end_of(p, run);

		if (!is_remembered(p, run, now) ||
		    (e && run->sent_ms > e->end_ms))
			continue;
		p->ages[n++] =
			!run->broke && p->params.completed_reach_all
				? UINT64_MAX
				: (e ? e->end_ms : run->last_ms) - run->sent_ms;
	}
	for (i = c->first_open; i; i = p->runs[i - 1].next)
		p->ages[n++] =
			p->runs[i - 1].last_ms - p->runs[i - 1].run.sent_ms;
	qsort(p->ages, n, sizeof(*p->ages), compare_ages);
	return n;
}

/* Sets in each share of a content how many of its runs were under that end. */
static void count_runs_of_shares(struct share *shares, size_t n)
{
	size_t i;
	size_t k;

	for (i = 0; i < n; i++)
		for (k = 0; k < n; k++)
			shares[i].runs += shares[k].end == shares[i].end;
}

/* Computes shares of ends and estimates in turn until they settle. */
static void share_ends(struct crash_estimates *p, size_t n)
{
	uint32_t round;
	size_t i;
	size_t k;

	for (round = 0; round < p->params.rounds_max; round++) {
		double change = 0;

		for (i = 0; i < p->n_endpoints; i++)
			p->endpoints[i].weight = p->params.other_cause;
		for (i = 0; i < n; i++) {
			const struct candidate *c = &p->candidates[i];

			for (k = 0; k < c->n; k++) {
				struct share *s = &p->shares[c->first + k];

				s->end->weight += c->estimate / s->runs;
			}
		}
		for (i = 0; i < n; i++) {
			double before = p->candidates[i].estimate;

			p->candidates[i].estimate =
				estimate(p, &p->candidates[i]);
			change = fmax(change,
				      fabs(before - p->candidates[i].estimate));
		}
		if (change < SETTLED)
			break;
	}
}

/* Returns Kaplan and Meier's estimate for a content by its present shares. */
static double estimate(const struct crash_estimates *p,
		       const struct candidate *c)
{
	double survival = 1;
	size_t k = 0;

	while (k < c->n) {
		const struct share *s = &p->shares[c->first + k];
		uint32_t at_risk = c->at_risk[k];
		uint64_t age_ms = s->age_ms;
		double ended = 0;

		for (; k < c->n && p->shares[c->first + k].age_ms == age_ms;
		     k++) {
			s = &p->shares[c->first + k];
			ended += c->estimate / s->end->weight / s->runs;
		}
		survival *= 1 - ended / at_risk;
	}
	return 1 - survival;
}

/* Returns the number of different ends in a content's shares. */
static uint32_t count_ends(const struct share *shares, size_t n)
{
	double ends = 0;
	size_t i;

	for (i = 0; i < n; i++)
		ends += 1.0 / shares[i].runs;
	return (uint32_t)lround(ends);
}

/* Holds and refuses a content, or lifts that, by its estimate. */
static void judge(struct crash_estimates *p, struct content_record *c,
		  uint64_t now)
{
	bool over = c->result.ends >= p->params.ends_min &&
		    c->result.estimate >= p->params.refused_at;

	if (!over) {
		c->held_ms = 0;
		c->refused = false;
		c->refusals = 0;
		c->refused_until_ms = 0;
		c->trial = 0;
		return;
	}
	p->watched = true;
	if (!c->held_ms)
		c->held_ms = now;
	if (c->refused && c->trial) {
		judge_trial(p, c, now);
	} else if (!c->refused && now >= c->held_ms + p->params.settle_ms) {
		c->refused = true;
		refuse(p, c, now);
	}
}

/* Refuses the content for longer if its trial ended its endpoint; ends the trial
 * if it outlasted all ends, or broke by another cause. */
static void judge_trial(struct crash_estimates *p, struct content_record *c,
			uint64_t now)
{
	const struct open_run *r = find_run(p, c->trial);
	size_t n_past = past_count(p, c);
	uint64_t oldest_ms = 0;
	size_t i;

	for (i = 0; i < n_past; i++) {
		struct past_run *run = &c->past[i];
		const struct endpoint_record *e = end_of(p, run);

		if (!e || run->sent_ms > e->end_ms)
			continue;
		if (run->trial) {
			run->trial = false;
			c->trial = 0;
			refuse(p, c, now);
			return;
		}
		if (e->end_ms - run->sent_ms > oldest_ms)
			oldest_ms = e->end_ms - run->sent_ms;
	}
	if (r ? r->last_ms - r->run.sent_ms > oldest_ms
	      : now > c->trial_broke_ms + p->params.confirm_ms)
		c->trial = 0;
}

/* Refuses a content until its next trial. */
static void refuse(struct crash_estimates *p, struct content_record *c,
		   uint64_t now)
{
	uint64_t ms = p->params.refused_ms;
	uint32_t i;

	for (i = 0; i < c->refusals && ms < p->params.refused_max_ms; i++)
		ms *= p->params.refused_factor;
	if (ms > p->params.refused_max_ms)
		ms = p->params.refused_max_ms;
	c->refusals++;
	c->refused_until_ms = now + ms;
}

/* Orders ages, for qsort(). */
static int compare_ages(const void *a, const void *b)
{
	const uint64_t x = *(const uint64_t *)a;
	const uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/* Orders shares by age, for qsort(). */
static int compare_shares(const void *a, const void *b)
{
	const struct share *x = a;
	const struct share *y = b;

	return (x->age_ms > y->age_ms) - (x->age_ms < y->age_ms);
}
