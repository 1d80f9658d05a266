/*
 * Requests that end the endpoints that run them: what this instance sees of it
 * and hears of others, and what it refuses for it.
 */
#include "proxyd/suspects_table.h"

#include "lib/event_log.h"
#include "lib/xalloc.h"
#include "policy/content.h"
#include "proxyd/exchange.h"
#include "proxyd/peers.h"
#include "proxyd/proxyd.h"

/* A run that broke counts if its endpoint is found to have ended within this
 * time: a probe tells within 40 ms, the store within some heartbeats. */
#define BROKEN_MS 10000
#define LIVED_MS 1500 /* the same, if its endpoint took a connection after it */

static struct broken_run run_of(const struct exchange *x);
static void strike(struct suspects *t, const struct endpoint *e,
		   const struct broken_run *run, const char *request);
static bool lasts(const struct suspects *t, uint64_t content, uint64_t ran_ms);
static void take_strike(struct suspects *t, const struct suspect_news *news,
			struct peer *from);
static void decided(struct suspects *t, const struct crash_suspect_record *r);
static struct suspect_news refusal_news(const struct crash_suspect_record *r);
static uint64_t since(const struct crash_suspect_record *r);
static struct counter *step_counter(const char *step);

/* Makes the part. */
struct suspects *suspects_new(struct proxyd *p)
{
	struct suspects *t = xcalloc(1, sizeof(*t));

	t->proxyd = p;
	t->poison = crash_suspect_new(&crash_suspect_defaults);
	t->suspected = step_counter("suspected");
	t->refused = step_counter("refused");
	t->cleared = step_counter("cleared");
	t->turned_away = step_counter("turned away");
	return t;
}

/* Decides on what is suspected; keeps the rows of the store as what is refused. */
void suspects_tick(struct suspects *t)
{
	uint64_t now = proxyd_now(t->proxyd);
	const struct crash_suspect_record *r;

	while ((r = crash_suspect_evaluate(t->poison, now)))
		decided(t, r);
	suspects_compare_rows(t);
}

/* The connection of a run broke before its answer was whole.  That counts once
 * its endpoint is known to have ended; for a content that lacks one strike only,
 * at once, so that no further endpoint gets it meanwhile. */
void suspects_broke(struct exchange *x, struct endpoint *e)
{
	struct suspects *t = x->proxyd->suspects;
	uint64_t now = proxyd_now(x->proxyd);
	const struct crash_suspect_record *r =
		crash_suspect_find(t->poison, x->content, now);

	if (!e || x->struck || endpoint_leaves(e))
		return;
	x->struck = true;
	if (r && r->n_crashes >= CRASH_SUSPECT_CRASHES - 1) {
		const struct broken_run run = run_of(x);

		strike(t, e, &run, x->fields.id);
		return;
	}
	if (!e->broken)
		e->broken = xcalloc(ENDPOINT_BROKEN_MAX, sizeof(*e->broken));
	e->broken[e->n_broken++ % ENDPOINT_BROKEN_MAX] = run_of(x);
}

/* An endpoint is lost that has the request. */
void suspects_endpoint_lost(struct exchange *x, struct endpoint *e)
{
	const struct broken_run run = run_of(x);

	if (x->struck || !http1_call_connected(x->call) || endpoint_leaves(e))
		return;
	x->struck = true;
	strike(x->proxyd->suspects, e, &run, x->fields.id);
}

/* An endpoint has ended: so it was its end that broke the last runs there. */
void suspects_endpoint_ended(struct suspects *t, struct endpoint *e)
{
	uint64_t now = proxyd_now(t->proxyd);
	size_t n = e->n_broken < ENDPOINT_BROKEN_MAX ? e->n_broken
						     : ENDPOINT_BROKEN_MAX;
	size_t i;

	e->n_broken = 0;
	for (i = 0; i < n; i++) {
		const struct broken_run *run = &e->broken[i];

		if (now - run->broke_ms < (run->lived ? LIVED_MS : BROKEN_MS))
			strike(t, e, run, NULL);
	}
}

/* An endpoint takes connections that were asked for then: what broke before was
 * hardly ended with it.  What forwards connections may take them for an endpoint
 * that has ended; the store then tells soon. */
void suspects_endpoint_lives(struct endpoint *e, uint64_t probed_ms)
{
	size_t i;

	for (i = 0; i < e->n_broken && i < ENDPOINT_BROKEN_MAX; i++)
		if (e->broken[i].broke_ms <= probed_ms)
			e->broken[i].lived = true;
}

/* A run of the request has come to its end. */
void suspects_ran(struct exchange *x)
{
	struct suspects *t = x->proxyd->suspects;
	const struct suspect_news news = {
		.word = SUSPECT_RAN,
		.content = x->content,
	};

	if (!crash_suspect_run_completed(t->poison, x->content,
					 proxyd_now(x->proxyd)))
		return;
	suspects_cleared(t, x->content, "run here");
	peers_announce_suspect(x->proxyd->peers, &news);
}

/* Refuses a request whose content is refused, or lets it wait while that is being
 * decided; false if it may be sent. */
bool suspects_stop(struct exchange *x)
{
	struct suspects *t = x->proxyd->suspects;
	uint64_t now = proxyd_now(x->proxyd);
	char content[CONTENT_TEXT_SIZE];
	uint64_t left_ms;

	switch (crash_suspect_decide(t->poison, x->content, now)) {
	case CRASH_SUSPECT_RUN:
		return false;
	case CRASH_SUSPECT_HOLD:
		exchange_hold(x);
		return true;
	case CRASH_SUSPECT_REFUSE:
		break;
	}
	left_ms = crash_suspect_refused_ms(t->poison, x->content, now);
	content_text(x->content, content);
	event_log(EVENT_NOTABLE, "turned-away", x->fields.id, "{s:s, s:I, s:b}",
		  "content", content, "refused_ms", (json_int_t)left_ms,
		  "may_have_run", x->may_have_run);
	counter_add(t->turned_away, 1);
	exchange_refuse(x, 503, (uint32_t)left_ms,
			"endpoints have ended under this request");
	return true;
}

/* Tells whether anything is held against the request's content. */
bool suspects_holds(const struct exchange *x)
{
	return crash_suspect_find(x->proxyd->suspects->poison, x->content,
				  proxyd_now(x->proxyd)) != NULL;
}

/* Takes what another instance tells. */
void suspects_hear(struct suspects *t, const struct suspect_news *news,
		   struct peer *from)
{
	uint64_t now = proxyd_now(t->proxyd);

	switch (news->word) {
	case SUSPECT_STRIKE:
		take_strike(t, news, from);
		break;
	case SUSPECT_REFUSED:
		suspects_refused_elsewhere(t, news->content, news->since_ms,
					   news->until_ms - now,
					   "another instance");
		break;
	case SUSPECT_RAN:
		if (crash_suspect_run_completed(t->poison, news->content, now))
			suspects_cleared(t, news->content, "run elsewhere");
		break;
	}
}

/* Tells an instance that has just started what is refused, as far as this one
 * keeps the records of it. */
void suspects_tell_newcomer(struct suspects *t, struct peer *peer)
{
	uint64_t now = proxyd_now(t->proxyd);
	const struct crash_suspect_record *r;
	size_t i = 0;

	while ((r = crash_suspect_next_refused(t->poison, now, &i))) {
		const struct suspect_news news = refusal_news(r);

		if (peers_is_record_keeper(t->proxyd->peers, r->content))
			peers_send_suspect(t->proxyd->peers, peer, &news);
	}
}

/* Returns the request's run as one that breaks now. */
static struct broken_run run_of(const struct exchange *x)
{
	return (struct broken_run){
		.content = x->content,
		.sent_ms = x->sent_ms,
		.broke_ms = proxyd_now(x->proxyd),
	};
}

/* Counts an end that was seen here, and tells who keeps the records. */
static void strike(struct suspects *t, const struct endpoint *e,
		   const struct broken_run *run, const char *request)
{
	const struct suspect_news news = {
		.word = SUSPECT_STRIKE,
		.content = run->content,
		.strike = {
			.id = (uint32_t)proxyd_random() | 1, /* 0 is none */
			.endpoint = e->hash,
			.sent_ms = run->sent_ms,
			.crashed_ms = run->broke_ms,
		},
	};
	uint64_t ran_ms = run->broke_ms - run->sent_ms;
	bool excused = lasts(t, run->content, ran_ms);
	char text[CONTENT_TEXT_SIZE];

	content_text(run->content, text);
	event_log(EVENT_NOTABLE, "endpoint-ended-under", request,
		  "{s:s, s:s, s:I, s:I, s:b}", "content", text, "endpoint",
		  e->id, "ran_ms", (json_int_t)ran_ms, "ended_ms_ago",
		  (json_int_t)(proxyd_now(t->proxyd) - run->broke_ms),
		  "another_lasts", excused);
	if (excused)
		return;
	take_strike(t, &news, NULL);
	peers_announce_suspect(t->proxyd->peers, &news);
}

/* Tells whether another run of the content is under way here, with events, that
 * has lasted for longer than this: the content does not end its endpoint within
 * that time. */
static bool lasts(const struct suspects *t, uint64_t content, uint64_t ran_ms)
{
	uint64_t now = proxyd_now(t->proxyd);
	const struct exchange *x;

	TAILQ_FOREACH(x, &t->proxyd->exchanges->list, link)
	{
		const struct endpoint *e;

		if (x->content != content || x->phase != EXCHANGE_SENT ||
		    !x->begun || x->first_by_ms || x->struck)
			continue;
		e = endpoint_get(t->proxyd->endpoints, x->at);
		if (e && e->state == ENDPOINT_UP && now - x->sent_ms > ran_ms)
			return true;
	}
	return false;
}

/* Counts an end.  An instance that had run a refused content does not know that,
 * and is told. */
static void take_strike(struct suspects *t, const struct suspect_news *news,
			struct peer *from)
{
	uint64_t now = proxyd_now(t->proxyd);
	const struct crash_suspect_record *r;
	struct suspect_news refusal;

	if (crash_suspect_add_crash(t->poison, news->content, &news->strike,
				    now)) {
		counter_add(t->suspected, 1);
		return;
	}
	if (!from || !crash_suspect_refused_ms(t->poison, news->content, now))
		return;
	r = crash_suspect_find(t->poison, news->content, now);
	refusal = refusal_news(r);
	peers_send_suspect(t->proxyd->peers, from, &refusal);
}

/* A content is refused from now on, and all are told. */
static void decided(struct suspects *t, const struct crash_suspect_record *r)
{
	uint64_t now = proxyd_now(t->proxyd);
	const struct suspect_news news = refusal_news(r);
	char text[CONTENT_TEXT_SIZE];

	content_text(r->content, text);
	event_log(EVENT_ALWAYS, "content-refused", NULL,
		  "{s:s, s:s, s:i, s:I, s:I, s:I}", "content", text, "by",
		  "ends of endpoints", "strikes", (int)r->n_crashes, "for_ms",
		  (json_int_t)(r->refused_until_ms - now), "since_ms_ago",
		  (json_int_t)(now - since(r)), "last_ms_ago",
		  (json_int_t)(now - r->crashes[r->n_crashes - 1].crashed_ms));
	counter_add(t->refused, 1);
	peers_announce_suspect(t->proxyd->peers, &news);
}

/* Takes a refusal of another instance or of the store, or tells all that the
 * content has run here. */
void suspects_refused_elsewhere(struct suspects *t, uint64_t content,
				uint64_t since_ms, uint64_t left_ms,
				const char *by)
{
	uint64_t now = proxyd_now(t->proxyd);
	const struct suspect_news ran = {
		.word = SUSPECT_RAN,
		.content = content,
	};
	bool news = !crash_suspect_refused_ms(t->poison, content, now);
	char text[CONTENT_TEXT_SIZE];

	if (lasts(t, content, now - since_ms))
		crash_suspect_run_completed(t->poison, content, now);
	if (!crash_suspect_refuse(t->poison, content, since_ms, left_ms, now)) {
		suspects_cleared(t, content, "run here");
		peers_announce_suspect(t->proxyd->peers, &ran);
		return;
	}
	if (!news)
		return;
	content_text(content, text);
	event_log(EVENT_ALWAYS, "content-refused", NULL, "{s:s, s:s, s:I, s:I}",
		  "content", text, "by", by, "for_ms", (json_int_t)left_ms,
		  "since_ms_ago", (json_int_t)(now - since_ms));
	counter_add(t->refused, 1);
}

/* Returns what others are told of a refusal. */
static struct suspect_news refusal_news(const struct crash_suspect_record *r)
{
	return (struct suspect_news){
		.word = SUSPECT_REFUSED,
		.content = r->content,
		.until_ms = r->refused_until_ms,
		.since_ms = since(r),
	};
}

/* Notes that nothing is held against a content any more. */
void suspects_cleared(struct suspects *t, uint64_t content, const char *by)
{
	char text[CONTENT_TEXT_SIZE];

	content_text(content, text);
	event_log(EVENT_NOTABLE, "content-cleared", NULL, "{s:s, s:s}",
		  "content", text, "by", by);
	counter_add(t->cleared, 1);
}

/* Returns when the first run began that counts against a content. */
static uint64_t since(const struct crash_suspect_record *r)
{
	return r->n_crashes ? r->crashes[0].sent_ms : 0;
}

/* Returns the counter of contents by what became of them. */
static struct counter *step_counter(const char *step)
{
	return counter_labelled("cdm_suspects_total",
				"Contents of requests under which endpoints "
				"ended",
				COUNTER_TOTAL, "step", step);
}
