/* Replays runs, breaks and ends of endpoints without a clock. */
#include "regress/crash_replay.h"

#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"
#include "policy/crash_suspect.h"
#include "regress/random.h"

enum {
	START_MS = 1000000, /* of the clock that the rules see */
	ARRIVALS_MS = 12000, /* requests and faults come until then */
	END_MS = 15500, /* all runs are over */
	TICK_MS = 10,
	LIVES_MS = 50, /* between events of a stream */
	FIRST_MS = 5, /* until its first event */
	RECORDED_FIRST_MS = 100,
	STREAM_MS = 3000,
	LOOKUP_MS = 20,
	MOVE_MS = 20, /* until a request whose run broke is sent again */
	ANSWER_MS = 30, /* from a break to the answer to a question */
	BROKE_MS = 3, /* until all runs at an ended endpoint broke, at most */
	DEAD_BREAK_MIN_MS = 2, /* the same for a run sent to an ended one */
	DEAD_BREAK_MAX_MS = 60,
	RESTART_MS = 1000,
	TOLD_MIN_MS = 20, /* delay of news from one observer to another */
	TOLD_MAX_MS = 300,
	PROPAGATION_MS = 1500, /* after the third end */
	CONFIRM_MS = 10000, /* as in proxyd/suspects.c */
	CONFIRM_ALIVE_MS = 1500,
	INNOCENT_ATTEMPTS = 5,
	CRASHING_ATTEMPTS = 3,
	CRASHES_FROM_MS = 2000,
};

enum content_name { STREAM, LOOKUP, CRASHING, CONTENTS };

static const uint64_t content_hash_of[CONTENTS] = {
	[STREAM] = 0x1234567890abcdefu,
	[LOOKUP] = 0x2234567890abcdeeu,
	[CRASHING] = 0x2bc243522bcdb48cu,
};

struct request {
	enum content_name content;
	uint32_t observer;
	uint32_t attempts_left;
	struct random_source random;
};

struct run {
	uint64_t id;
	uint32_t request;
	enum content_name content;
	uint32_t observer;
	uint32_t slot;
	uint32_t start; /* of the endpoint */
	uint64_t sent_ms;
	uint64_t quiet_ms; /* no event after that */
	bool has_event;
	bool over;
};

struct slot {
	uint32_t start; /* number of its present start */
	bool ended;
	bool lost[REPLAY_OBSERVERS_MAX]; /* the observer knows */
	bool crashed; /* of a record: by the crashing content */
};

/* A run that broke without a known cause, as the present rules keep it. */
struct broken {
	enum content_name content;
	uint64_t endpoint;
	uint64_t sent_ms;
	uint64_t broke_ms;
	bool alive;
};

enum event_kind {
	ARRIVE, /* a: request */
	FIRST_EVENT, /* a: run */
	COMPLETE, /* a: run */
	END_BY_RUN, /* a: run */
	BREAK, /* a: run */
	LOSE, /* a: number of endpoints */
	FOUND, /* a: slot, b: start, c: observer */
	RESTART, /* a: slot */
	RESET,
	ASK, /* a: slot, b: start, c: observer */
	ANSWER, /* a: slot, b: start, c: observer */
	BEGIN_RECORDED, /* a: recorded run */
	TOLD, /* a: index of news, c: observer that hears it */
};

struct event {
	enum event_kind kind;
	uint32_t a;
	uint32_t b;
	uint32_t c;
	uint32_t next; /* in the same ms; 0: none */
};

enum verdict { MAY_RUN, HELD, REFUSED };

enum news_kind {
	NEWS_CRASH,
	NEWS_REFUSED,
	NEWS_COMPLETED,
	/* for the estimate */
	NEWS_RUN,
	NEWS_ANSWERED,
	NEWS_ENDED,
};

struct news {
	enum news_kind kind;
	uint64_t content;
	struct run_crash crash;
	uint64_t until_ms;
	uint64_t since_ms;
	struct crash_estimate_report run; /* of NEWS_RUN */
	uint64_t endpoint; /* of the others */
	uint64_t at_ms;
};

struct observer {
	struct crash_suspects *suspects; /* of the present rules */
	struct broken *broken;
	size_t n_broken;
	struct crash_estimates *estimates;
	uint32_t delay_ms[REPLAY_OBSERVERS_MAX]; /* of its news, by hearer */
	uint64_t refused_ms[CONTENTS];
	uint64_t held_ms[CONTENTS];
	bool ever_refused[CONTENTS];
	bool suspected[CONTENTS]; /* its runs are told */
};

struct replay {
	const struct replay_scenario *s;
	const struct replay_rule *rule;
	uint32_t n_observers;
	struct observer observer[REPLAY_OBSERVERS_MAX];
	struct slot slot[REPLAY_ENDPOINTS_MAX];
	struct random_source faults;
	uint64_t seed;
	uint64_t now;
	struct request *requests;
	size_t n_requests;
	struct run *runs;
	size_t n_runs;
	uint32_t *active; /* runs that are not over */
	size_t n_active;
	struct event *events; /* 0 is unused */
	size_t n_events;
	uint32_t first[END_MS + 1];
	uint32_t last[END_MS + 1];
	struct news *news;
	size_t n_news;
	uint32_t n_ids;
	uint64_t third_end_ms;
	struct replay_result result;
};

static void plan(struct replay *r);
static void plan_record(struct replay *r);
static uint32_t observer_of(const struct replay *r, uint32_t recorded);
static void plan_arrivals(struct replay *r, enum content_name content,
			  uint32_t per_s);
static void plan_crashing(struct replay *r);
static void add_request(struct replay *r, enum content_name content,
			uint64_t at_ms, uint32_t attempts);
static void schedule(struct replay *r, uint64_t at_ms, struct event e);
static void handle(struct replay *r, const struct event *e);
static void handle_run(struct replay *r, const struct event *e);
static void send_request(struct replay *r, uint32_t request);
static enum verdict judge(const struct replay *r, uint32_t o,
			  enum content_name content);
static void begin_recorded(struct replay *r, uint32_t run);
static bool choose_slot(const struct replay *r, struct request *q,
			uint32_t *slot);
static void begin_run(struct replay *r, uint32_t request, uint32_t slot);
static void plan_end_of_run(struct replay *r, uint32_t run);
static void end_slot(struct replay *r, uint32_t slot, bool by_crashing);
static void break_run(struct replay *r, uint32_t run, bool endpoint_found);
static void find_lost(struct replay *r, const struct event *e);
static void reset_all(struct replay *r);
static void lose(struct replay *r, uint32_t n);
static void runs_live(struct replay *r);
static void asked(struct replay *r, const struct event *e);
static void answered(struct replay *r, const struct event *e);
static void remove_over(struct replay *r);
static void tick(struct replay *r);
static uint64_t refused_ms(struct replay *r, uint32_t o,
			   enum content_name content);
static void tell(struct replay *r, uint32_t from, const struct news *n);
static void hear(struct replay *r, uint32_t o, const struct news *n);
static void estimate_hears(struct observer *o, const struct news *n);
static void report(struct replay *r, uint32_t from, const struct news *news);
static void report_run(struct replay *r, const struct run *run,
		       enum crash_estimate_state state);
static void tell_suspects(struct replay *r, uint32_t from);
static void record_crash(struct replay *r, uint32_t o, const struct broken *b);
static bool outlasted(const struct replay *r, uint32_t o, uint64_t content,
		      uint64_t ran_ms);
static uint64_t endpoint_of(uint32_t slot, uint32_t start);
static uint32_t draw(struct random_source *random, uint32_t min, uint32_t max);

/* Runs a scenario against one rule, with a number of observers that each hear of
 * the others late.  Returns what happened. */
struct replay_result crash_replay(const struct replay_scenario *s,
				  const struct replay_rule *rule,
				  uint32_t observers, uint64_t seed)
{
	struct replay *r = xcalloc(1, sizeof(*r));
	struct random_source delays = { .seed = seed ^ 0xde1a75 };
	struct replay_result result;
	uint32_t i;
	uint32_t k;

	r->s = s;
	r->rule = rule;
	r->n_observers = observers ? observers : 1;
	r->seed = seed;
	r->faults.seed = seed ^ 0xfa0175;
	r->n_events = 1;
	r->events = xcalloc(1, sizeof(*r->events));
	for (i = 0; i < r->n_observers; i++) {
		struct observer *o = &r->observer[i];

		if (rule->estimate)
			o->estimates = crash_estimate_new(rule->estimate);
		else
			o->suspects =
				crash_suspect_new(&crash_suspect_defaults);
		for (k = 0; k < r->n_observers; k++)
			o->delay_ms[k] =
				draw(&delays, TOLD_MIN_MS, TOLD_MAX_MS);
	}
	plan(r);
	for (r->now = 0; r->now < END_MS; r->now++) {
		uint32_t e;

		for (e = r->first[r->now]; e; e = r->events[e].next) {
			struct event copy = r->events[e];

			handle(r, &copy);
		}
		if (r->now % LIVES_MS == 0)
			runs_live(r);
		if (r->now % TICK_MS == 0)
			tick(r);
	}
	for (i = 0; i < r->n_observers; i++)
		for (k = STREAM; k <= LOOKUP; k++) {
			struct observer *o = &r->observer[i];
			uint64_t ms = o->refused_ms[k] + refused_ms(r, i, k);

			if (ms > r->result.innocent_ms)
				r->result.innocent_ms = ms;
			if (o->held_ms[k] > r->result.innocent_held_ms)
				r->result.innocent_held_ms = o->held_ms[k];
		}
	for (k = STREAM; k <= LOOKUP; k++) {
		bool any = false;

		for (i = 0; i < r->n_observers; i++)
			any |= r->observer[i].ever_refused[k];
		r->result.innocents_refused += any;
	}
	for (i = 0; i < r->n_observers; i++) {
		r->result.crashing_refused |=
			r->observer[i].ever_refused[CRASHING];
		crash_suspect_free(r->observer[i].suspects);
		crash_estimate_free(r->observer[i].estimates);
		free(r->observer[i].broken);
	}
	result = r->result;
	free(r->requests);
	free(r->runs);
	free(r->active);
	free(r->events);
	free(r->news);
	free(r);
	return result;
}

/* Makes the tables of an estimate as small as the sequences allow. */
void crash_replay_fit(struct crash_estimate_params *params)
{
	params->contents_max = 16;
	params->runs_max = 1024;
	params->endpoints_max = 128;
}

/* Plans all arrivals and faults. */
static void plan(struct replay *r)
{
	const struct replay_scenario *s = r->s;
	struct random_source random = { .seed = r->seed ^ 0x9a7 };
	uint64_t ms;
	size_t i;

	if (s->record) {
		plan_record(r);
		return;
	}
	plan_arrivals(r, STREAM, s->streams_per_s);
	plan_arrivals(r, LOOKUP, s->lookups_per_s);
	plan_crashing(r);
	for (i = 0; i < REPLAY_TIMES_MAX && s->loss_at[i]; i++)
		schedule(r, s->loss_at[i],
			 (struct event){ .kind = LOSE,
					 .a = s->loss_endpoints });
	for (i = 0; i < REPLAY_TIMES_MAX && s->reset_at[i]; i++)
		schedule(r, s->reset_at[i], (struct event){ .kind = RESET });
	for (ms = 0; ms < ARRIVALS_MS; ms++)
		if (random_below(&random, 1000) < s->natural_per_s)
			schedule(r, ms, (struct event){ .kind = LOSE, .a = 1 });
}

/* Plans what was recorded. */
static void plan_record(struct replay *r)
{
	const struct replay_record *c = r->s->record;
	size_t i;

	for (i = 0; i < c->n_runs; i++) {
		add_request(r, c->runs[i].content, END_MS, 1);
		r->requests[i].observer = observer_of(r, c->runs[i].observer);
		schedule(r, c->runs[i].sent_ms,
			 (struct event){ .kind = BEGIN_RECORDED,
					 .a = (uint32_t)i });
	}
	for (i = 0; i < c->n_ends; i++)
		schedule(r, c->ends[i].at_ms,
			 (struct event){
				 .kind = FOUND,
				 .a = c->ends[i].endpoint,
				 .c = observer_of(r, c->ends[i].observer) });
	for (i = 0; i < c->n_answers; i++)
		schedule(r, c->answers[i].at_ms,
			 (struct event){
				 .kind = ANSWER,
				 .a = c->answers[i].endpoint,
				 .c = observer_of(r, c->answers[i].observer) });
}

/* Returns who stands for a recorded observer. */
static uint32_t observer_of(const struct replay *r, uint32_t recorded)
{
	return recorded < r->n_observers ? recorded : 0;
}

/* Plans arrivals at random times. */
static void plan_arrivals(struct replay *r, enum content_name content,
			  uint32_t per_s)
{
	struct random_source random = { .seed = r->seed ^ (0xa00 + content) };
	uint64_t ms;

	for (ms = 0; ms < ARRIVALS_MS; ms++)
		if (random_below(&random, 1000) < per_s)
			add_request(r, content, ms, INNOCENT_ATTEMPTS);
}

/* Plans the arrivals of the crashing content. */
static void plan_crashing(struct replay *r)
{
	const struct replay_scenario *s = r->s;
	uint64_t ms;
	size_t i;

	for (i = 0; i < REPLAY_TIMES_MAX && s->crash_at[i]; i++)
		add_request(r, CRASHING, s->crash_at[i],
			    s->crash_attempts[i] ? s->crash_attempts[i]
						 : CRASHING_ATTEMPTS);
	for (ms = CRASHES_FROM_MS; s->crash_every_ms && ms < ARRIVALS_MS;
	     ms += s->crash_every_ms)
		add_request(r, CRASHING, ms, CRASHING_ATTEMPTS);
}

/* Adds a request that arrives at a time, at any observer. */
static void add_request(struct replay *r, enum content_name content,
			uint64_t at_ms, uint32_t attempts)
{
	struct request *q;

	r->requests = xreallocarray(r->requests, r->n_requests + 1,
				    sizeof(*r->requests));
	q = &r->requests[r->n_requests];
	*q = (struct request){
		.content = content,
		.attempts_left = attempts,
		.random = { .seed = r->seed * 1000003 + r->n_requests },
	};
	q->observer = random_below(&q->random, r->n_observers);
	schedule(r, at_ms,
		 (struct event){ .kind = ARRIVE,
				 .a = (uint32_t)r->n_requests++ });
}

/* Adds an event at a time, unless that is after the end. */
static void schedule(struct replay *r, uint64_t at_ms, struct event e)
{
	uint32_t i = (uint32_t)r->n_events;

	if (at_ms >= END_MS)
		return;
	if ((r->n_events & (r->n_events - 1)) == 0)
		r->events = xreallocarray(r->events, r->n_events * 2,
					  sizeof(*r->events));
	e.next = 0;
	r->events[r->n_events++] = e;
	if (r->last[at_ms])
		r->events[r->last[at_ms]].next = i;
	else
		r->first[at_ms] = i;
	r->last[at_ms] = i;
}

static void handle(struct replay *r, const struct event *e)
{
	switch (e->kind) {
	case ARRIVE:
		send_request(r, e->a);
		break;
	case FIRST_EVENT:
	case COMPLETE:
	case END_BY_RUN:
	case BREAK:
		if (!r->runs[e->a].over)
			handle_run(r, e);
		break;
	case LOSE:
		lose(r, e->a);
		break;
	case FOUND:
		find_lost(r, e);
		break;
	case RESTART:
		r->slot[e->a] =
			(struct slot){ .start = r->slot[e->a].start + 1 };
		break;
	case RESET:
		reset_all(r);
		break;
	case ASK:
		asked(r, e);
		break;
	case ANSWER:
		answered(r, e);
		break;
	case BEGIN_RECORDED:
		begin_recorded(r, e->a);
		break;
	case TOLD:
		hear(r, e->c, &r->news[e->a]);
		break;
	}
}

/* Handles an event of a run that is not over. */
static void handle_run(struct replay *r, const struct event *e)
{
	struct run *run = &r->runs[e->a];

	if (e->kind == FIRST_EVENT) {
		run->has_event = true;
		report_run(r, run, CRASH_ESTIMATE_IN_PROGRESS);
	} else if (e->kind == COMPLETE) {
		run->over = true;
		report_run(r, run, CRASH_ESTIMATE_COMPLETED);
	} else if (e->kind == BREAK) {
		break_run(r, e->a, false);
	} else if (!r->slot[run->slot].ended &&
		   r->slot[run->slot].start == run->start) {
		end_slot(r, run->slot, true);
	}
}

/* Sends a request, unless its content is refused or held. */
static void send_request(struct replay *r, uint32_t request)
{
	struct request *q = &r->requests[request];
	enum verdict v = judge(r, q->observer, q->content);
	uint32_t slot;

	if (v == REFUSED) {
		r->result.requests_refused += q->content != CRASHING;
		return;
	}
	if (v == HELD || !choose_slot(r, q, &slot)) {
		schedule(r, r->now + TICK_MS,
			 (struct event){ .kind = ARRIVE, .a = request });
		return;
	}
	begin_run(r, request, slot);
	plan_end_of_run(r, (uint32_t)r->n_runs - 1);
}

/* Asks an observer's rule.  One observer alone tries a refused content again, as
 * is done for parts. */
static enum verdict judge(const struct replay *r, uint32_t o,
			  enum content_name content)
{
	const struct observer *b = &r->observer[o];
	uint64_t hash = content_hash_of[content];
	uint64_t now = START_MS + r->now;
	enum crash_estimate_decision d;

	if (b->suspects)
		switch (crash_suspect_decide(b->suspects, hash, now)) {
		case CRASH_SUSPECT_REFUSE:
			return REFUSED;
		case CRASH_SUSPECT_HOLD:
			return HELD;
		default:
			return MAY_RUN;
		}
	d = crash_estimate_decide(b->estimates, hash, now);
	if (d == CRASH_ESTIMATE_TRIAL)
		return o == hash % r->n_observers ? MAY_RUN : REFUSED;
	return d == CRASH_ESTIMATE_REFUSE ? REFUSED
	       : d == CRASH_ESTIMATE_HOLD ? HELD
					  : MAY_RUN;
}

/* Begins a recorded run, unless its content is refused or held. */
static void begin_recorded(struct replay *r, uint32_t run)
{
	const struct replay_recorded_run *c = &r->s->record->runs[run];
	struct request *q = &r->requests[run];
	enum verdict v = judge(r, q->observer, q->content);
	uint32_t i;

	if (v != MAY_RUN) {
		r->result.requests_refused += v == REFUSED &&
					      q->content != CRASHING;
		return;
	}
	if (q->content == CRASHING && r->third_end_ms &&
	    r->now > r->third_end_ms + PROPAGATION_MS)
		r->result.late++;
	begin_run(r, run, c->endpoint);
	i = (uint32_t)r->n_runs - 1;
	r->runs[i].quiet_ms = c->last_ms;
	if (c->last_ms > c->sent_ms + RECORDED_FIRST_MS)
		schedule(r, c->sent_ms + RECORDED_FIRST_MS,
			 (struct event){ .kind = FIRST_EVENT, .a = i });
	schedule(r, c->over_ms > c->sent_ms ? c->over_ms : c->sent_ms + 1u,
		 (struct event){ .kind = c->broke ? BREAK : COMPLETE, .a = i });
	if (q->content != CRASHING || r->slot[c->endpoint].crashed)
		return;
	r->slot[c->endpoint].crashed = true;
	if (++r->result.ended_by_crashing == 3)
		r->third_end_ms = r->now;
}

/* Chooses any endpoint that the observer takes for live; returns false if there
 * is none. */
static bool choose_slot(const struct replay *r, struct request *q,
			uint32_t *slot)
{
	uint32_t first = random_below(&q->random, r->s->endpoints);
	uint32_t i;

	for (i = 0; i < r->s->endpoints; i++) {
		*slot = (first + i) % r->s->endpoints;
		if (!r->slot[*slot].lost[q->observer])
			return true;
	}
	return false;
}

static void begin_run(struct replay *r, uint32_t request, uint32_t slot)
{
	struct request *q = &r->requests[request];
	struct run *run;

	if ((r->n_runs & (r->n_runs - 1)) == 0) {
		size_t n = r->n_runs ? r->n_runs * 2 : 1;

		r->runs = xreallocarray(r->runs, n, sizeof(*r->runs));
		r->active = xreallocarray(r->active, n, sizeof(*r->active));
	}
	run = &r->runs[r->n_runs];
	*run = (struct run){
		.id = r->n_runs + 1,
		.request = request,
		.content = q->content,
		.observer = q->observer,
		.slot = slot,
		.start = r->slot[slot].start,
		.sent_ms = r->now,
	};
	q->attempts_left--;
	r->active[r->n_active++] = (uint32_t)r->n_runs;
	report_run(r, run, CRASH_ESTIMATE_IN_PROGRESS);
	r->n_runs++;
}

/* Plans what becomes of a run: it ends its endpoint, completes, or breaks as it
 * was sent to an endpoint that had ended, which a proxy before it accepted. */
static void plan_end_of_run(struct replay *r, uint32_t run)
{
	struct run *n = &r->runs[run];
	struct random_source *random = &r->requests[n->request].random;
	bool crashes = random_below(random, r->s->crash_one_in
						    ? r->s->crash_one_in
						    : 1) == 0;
	uint32_t age_ms = draw(random, r->s->crash_min_ms, r->s->crash_max_ms);
	uint32_t dead_ms = draw(random, DEAD_BREAK_MIN_MS, DEAD_BREAK_MAX_MS);

	if (r->slot[n->slot].ended) {
		schedule(r, r->now + dead_ms,
			 (struct event){ .kind = BREAK, .a = run });
		return;
	}
	if (n->content == CRASHING && r->third_end_ms &&
	    r->now > r->third_end_ms + PROPAGATION_MS)
		r->result.late++;
	if (n->content != LOOKUP)
		schedule(r, r->now + FIRST_MS,
			 (struct event){ .kind = FIRST_EVENT, .a = run });
	if (n->content == CRASHING && crashes)
		schedule(r, r->now + age_ms,
			 (struct event){ .kind = END_BY_RUN, .a = run });
	else
		schedule(r,
			 r->now +
				 (n->content == LOOKUP ? LOOKUP_MS : STREAM_MS),
			 (struct event){ .kind = COMPLETE, .a = run });
}

/* Ends an endpoint: its runs break, each observer finds it lost some time later,
 * and it starts again. */
static void end_slot(struct replay *r, uint32_t slot, bool by_crashing)
{
	struct slot *s = &r->slot[slot];
	uint32_t o;
	size_t i;

	s->ended = true;
	r->result.ended++;
	if (by_crashing && ++r->result.ended_by_crashing == 3)
		r->third_end_ms = r->now;
	for (i = 0; i < r->n_active; i++) {
		struct run *run = &r->runs[r->active[i]];

		if (!run->over && run->slot == slot && run->start == s->start)
			schedule(r,
				 r->now +
					 (run->id * 2654435761u >> 7) %
						 BROKE_MS +
					 1,
				 (struct event){ .kind = BREAK,
						 .a = r->active[i] });
	}
	for (o = 0; o < r->n_observers; o++)
		schedule(r,
			 r->now + draw(&r->faults, r->s->found_min_ms,
				       r->s->found_max_ms),
			 (struct event){ .kind = FOUND,
					 .a = slot,
					 .b = s->start,
					 .c = o });
	schedule(r, r->now + RESTART_MS,
		 (struct event){ .kind = RESTART, .a = slot });
}

/* Handles the break of a run: the rules hear of it, and its request is sent
 * again. */
static void break_run(struct replay *r, uint32_t run, bool endpoint_found)
{
	struct run *n = &r->runs[run];
	struct observer *o = &r->observer[n->observer];
	const struct broken b = {
		.content = n->content,
		.endpoint = endpoint_of(n->slot, n->start),
		.sent_ms = START_MS + n->sent_ms,
		.broke_ms = START_MS + r->now,
	};

	n->over = true;
	if (o->suspects) {
		const struct crash_suspect_record *c = crash_suspect_find(
			o->suspects, content_hash_of[n->content],
			START_MS + r->now);

		if (endpoint_found ||
		    (c && c->n_crashes >= CRASH_SUSPECT_CRASHES - 1)) {
			record_crash(r, n->observer, &b);
		} else {
			o->broken = xreallocarray(o->broken, o->n_broken + 1,
						  sizeof(*o->broken));
			o->broken[o->n_broken++] = b;
		}
	}
	report_run(r, n, CRASH_ESTIMATE_BROKE);
	if (r->requests[n->request].attempts_left)
		schedule(r, r->now + MOVE_MS,
			 (struct event){ .kind = ARRIVE, .a = n->request });
	if (!endpoint_found)
		schedule(r, r->now + ANSWER_MS,
			 (struct event){ .kind = ASK,
					 .a = n->slot,
					 .b = n->start,
					 .c = n->observer });
}

/* Handles that an observer finds an endpoint lost: the runs that broke there
 * count as ended with it. */
static void find_lost(struct replay *r, const struct event *e)
{
	struct observer *o = &r->observer[e->c];
	uint64_t endpoint = endpoint_of(e->a, e->b);
	uint64_t now = START_MS + r->now;
	size_t left = 0;
	size_t i;

	if (r->slot[e->a].start == e->b)
		r->slot[e->a].lost[e->c] = true;
	report(r, e->c,
	       &(struct news){ .kind = NEWS_ENDED, .endpoint = endpoint });
	for (i = 0; i < r->n_active; i++) {
		struct run *run = &r->runs[r->active[i]];

		if (!run->over && run->observer == e->c && run->slot == e->a &&
		    run->start == e->b)
			break_run(r, r->active[i], true);
	}
	for (i = 0; i < o->n_broken; i++) {
		struct broken b = o->broken[i];

		if (b.endpoint != endpoint)
			o->broken[left++] = b;
		else if (now - b.broke_ms <
			 (b.alive ? CONFIRM_ALIVE_MS : CONFIRM_MS))
			record_crash(r, e->c, &b);
	}
	o->n_broken = left;
}

/* Breaks all runs; no endpoint ends. */
static void reset_all(struct replay *r)
{
	size_t n = r->n_active;
	size_t i;

	for (i = 0; i < n; i++)
		if (!r->runs[r->active[i]].over)
			break_run(r, r->active[i], false);
}

/* Ends n endpoints in one moment, of those that live. */
static void lose(struct replay *r, uint32_t n)
{
	uint32_t first = random_below(&r->faults, r->s->endpoints);
	uint32_t i;

	for (i = 0; i < r->s->endpoints && n; i++) {
		uint32_t slot = (first + i) % r->s->endpoints;

		if (r->slot[slot].ended)
			continue;
		end_slot(r, slot, false);
		n--;
	}
}

/* Reports an event of each stream on a live endpoint. */
static void runs_live(struct replay *r)
{
	size_t i;

	if (!r->rule->estimate)
		return;
	for (i = 0; i < r->n_active; i++) {
		struct run *run = &r->runs[r->active[i]];
		const struct slot *s = &r->slot[run->slot];

		if (!run->over && run->has_event && !s->ended &&
		    s->start == run->start &&
		    (!run->quiet_ms || r->now <= run->quiet_ms))
			report_run(r, run, CRASH_ESTIMATE_IN_PROGRESS);
	}
}

/* Handles the answer to what an observer asked an endpoint after a break: a
 * connection is accepted even for an endpoint that has ended; the estimate
 * hears of answers of the endpoint itself alone. */
static void asked(struct replay *r, const struct event *e)
{
	struct observer *o = &r->observer[e->c];
	uint64_t endpoint = endpoint_of(e->a, e->b);
	size_t i;

	for (i = 0; i < o->n_broken; i++)
		if (o->broken[i].endpoint == endpoint)
			o->broken[i].alive = true;
	if (!r->s->record && !r->slot[e->a].ended &&
	    r->slot[e->a].start == e->b)
		answered(r, e);
}

/* Reports an answer of an endpoint itself. */
static void answered(struct replay *r, const struct event *e)
{
	report(r, e->c,
	       &(struct news){ .kind = NEWS_ANSWERED,
			       .endpoint = endpoint_of(e->a, e->b) });
}

static void remove_over(struct replay *r)
{
	size_t left = 0;
	size_t i;

	for (i = 0; i < r->n_active; i++)
		if (!r->runs[r->active[i]].over)
			r->active[left++] = r->active[i];
	r->n_active = left;
}

/* Evaluates the suspects, and adds up for how long contents are refused. */
static void tick(struct replay *r)
{
	uint64_t now = START_MS + r->now;
	uint32_t o;
	uint32_t c;

	remove_over(r);
	for (o = 0; o < r->n_observers; o++) {
		struct observer *b = &r->observer[o];
		const struct crash_suspect_record *rec;

		while (b->suspects &&
		       (rec = crash_suspect_evaluate(b->suspects, now)))
			tell(r, o,
			     &(struct news){
				     .kind = NEWS_REFUSED,
				     .content = rec->content,
				     .until_ms = rec->refused_until_ms,
				     .since_ms =
					     rec->n_crashes
						     ? rec->crashes[0].sent_ms
						     : 0 });
		if (b->estimates) {
			crash_estimate_evaluate(b->estimates, now);
			tell_suspects(r, o);
		}
		for (c = 0; c < CONTENTS; c++) {
			enum verdict v = judge(r, o, c);

			b->ever_refused[c] |= v == REFUSED;
			b->refused_ms[c] += v == REFUSED ? TICK_MS : 0;
			b->held_ms[c] += v == HELD ? TICK_MS : 0;
		}
	}
}

/* Returns for how long an observer still refuses a content. */
static uint64_t refused_ms(struct replay *r, uint32_t o,
			   enum content_name content)
{
	struct observer *b = &r->observer[o];
	uint64_t hash = content_hash_of[content];

	return b->suspects ? crash_suspect_refused_ms(b->suspects, hash,
						      START_MS + r->now)
			   : crash_estimate_refused_ms(b->estimates, hash,
						       START_MS + r->now);
}

/* Tells all other observers. */
static void tell(struct replay *r, uint32_t from, const struct news *n)
{
	uint32_t o;

	if (r->n_observers == 1)
		return;
	if ((r->n_news & (r->n_news - 1)) == 0)
		r->news = xreallocarray(r->news, r->n_news ? r->n_news * 2 : 1,
					sizeof(*r->news));
	r->news[r->n_news] = *n;
	for (o = 0; o < r->n_observers; o++)
		if (o != from)
			schedule(r, r->now + r->observer[from].delay_ms[o],
				 (struct event){ .kind = TOLD,
						 .a = (uint32_t)r->n_news,
						 .c = o });
	r->n_news++;
}

/* Handles news from another observer. */
static void hear(struct replay *r, uint32_t o, const struct news *news)
{
	struct observer *b = &r->observer[o];
	const struct news n = *news;
	uint64_t now = START_MS + r->now;

	switch (n.kind) {
	case NEWS_CRASH:
		crash_suspect_add_crash(b->suspects, n.content, &n.crash, now);
		break;
	case NEWS_REFUSED:
		if (n.until_ms <= now)
			break;
		if (outlasted(r, o, n.content, now - n.since_ms))
			crash_suspect_run_completed(b->suspects, n.content,
						    now);
		if (!crash_suspect_refuse(b->suspects, n.content, n.since_ms,
					  n.until_ms - now, now))
			tell(r, o,
			     &(struct news){ .kind = NEWS_COMPLETED,
					     .content = n.content });
		break;
	case NEWS_COMPLETED:
		crash_suspect_run_completed(b->suspects, n.content, now);
		break;
	default:
		estimate_hears(b, &n);
		break;
	}
}

/* Passes a report to an observer's estimate. */
static void estimate_hears(struct observer *o, const struct news *n)
{
	switch (n->kind) {
	case NEWS_RUN:
		crash_estimate_add_report(o->estimates, &n->run);
		break;
	case NEWS_ANSWERED:
		crash_estimate_endpoint_answered(o->estimates, n->endpoint,
						 n->at_ms);
		break;
	case NEWS_ENDED:
		crash_estimate_endpoint_ended(o->estimates, n->endpoint,
					      n->at_ms);
		break;
	default:
		break;
	}
}

/* Passes what an observer saw now of an endpoint to its estimate; those of the
 * others hear it later. */
static void report(struct replay *r, uint32_t from, const struct news *news)
{
	struct observer *o = &r->observer[from];
	struct news n = *news;

	if (!o->estimates)
		return;
	n.at_ms = START_MS + r->now;
	estimate_hears(o, &n);
	tell(r, from, &n);
}

/* Passes what an observer saw now of a run to its rule.  The others hear of the
 * runs of suspects.  The present rules hear of completed runs alone, and tell
 * those that clear a record. */
static void report_run(struct replay *r, const struct run *run,
		       enum crash_estimate_state state)
{
	struct observer *o = &r->observer[run->observer];
	uint64_t content = content_hash_of[run->content];
	uint64_t now = START_MS + r->now;
	struct news n = {
		.kind = NEWS_RUN,
		.run = { .run = { .id = run->id,
				  .content = content,
				  .endpoint =
					  endpoint_of(run->slot, run->start),
				  .sent_ms = START_MS + run->sent_ms,
				  .own = true },
			 .state = state,
			 .last_ms = now },
	};

	if (o->suspects) {
		if (state == CRASH_ESTIMATE_COMPLETED &&
		    crash_suspect_run_completed(o->suspects, content, now))
			tell(r, run->observer,
			     &(struct news){ .kind = NEWS_COMPLETED,
					     .content = content });
		return;
	}
	crash_estimate_add_report(o->estimates, &n.run);
	n.run.run.own = false;
	if (o->suspected[run->content])
		tell(r, run->observer, &n);
}

/* Tells the others an observer's own runs of each content that has become a
 * suspect: an endpoint has ended under a run of it, here or elsewhere. */
static void tell_suspects(struct replay *r, uint32_t from)
{
	struct observer *o = &r->observer[from];
	struct news n = { .kind = NEWS_RUN };
	uint32_t c;

	for (c = 0; c < CONTENTS; c++) {
		uint64_t hash = content_hash_of[c];
		size_t i = 0;

		if (o->suspected[c] ||
		    !crash_estimate_result(o->estimates, hash).ends)
			continue;
		o->suspected[c] = true;
		while (crash_estimate_next_report(o->estimates, hash, &i,
						  &n.run))
			tell(r, from, &n);
	}
}

/* Records an end under a run, as proxyd/suspects.c does. */
static void record_crash(struct replay *r, uint32_t o, const struct broken *b)
{
	const struct news n = {
		.kind = NEWS_CRASH,
		.content = content_hash_of[b->content],
		.crash = {
			.id = ++r->n_ids,
			.endpoint = b->endpoint,
			.sent_ms = b->sent_ms,
			.crashed_ms = b->broke_ms,
		},
	};

	if (outlasted(r, o, n.content, b->broke_ms - b->sent_ms))
		return;
	crash_suspect_add_crash(r->observer[o].suspects, n.content, &n.crash,
				START_MS + r->now);
	tell(r, o, &n);
}

/* Tells whether another run of the content at an observer has had events and
 * lasts longer. */
static bool outlasted(const struct replay *r, uint32_t o, uint64_t content,
		      uint64_t ran_ms)
{
	size_t i;

	for (i = 0; i < r->n_active; i++) {
		const struct run *run = &r->runs[r->active[i]];

		if (!run->over && run->observer == o && run->has_event &&
		    content_hash_of[run->content] == content &&
		    r->slot[run->slot].start == run->start &&
		    !r->slot[run->slot].lost[o] &&
		    r->now - run->sent_ms > ran_ms)
			return true;
	}
	return false;
}

/* Returns the hash of one start of an endpoint. */
static uint64_t endpoint_of(uint32_t slot, uint32_t start)
{
	return (uint64_t)start * REPLAY_ENDPOINTS_MAX + slot + 1;
}

/* Returns a number from min to max. */
static uint32_t draw(struct random_source *random, uint32_t min, uint32_t max)
{
	return min + random_below(random, max - min + 1);
}
