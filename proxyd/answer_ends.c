/*
 * Answers without a length whose connection was closed in order: each waits until
 * its endpoint, asked after the end, shows whether the process that wrote the
 * answer still lives.  One question serves all answers that ended before it was
 * sent; one that leaves may exit once it has answered that, so that it is asked
 * about later ends meanwhile.  One that refuses new connections may serve on: it is
 * asked on those that are open, as witnesses of its process.
 */
#include "proxyd/answer_ends.h"

#include <stdlib.h>
#include <string.h>

#include "lib/bytes.h"
#include "lib/event_log.h"
#include "lib/http1_client.h"
#include "lib/xalloc.h"
#include "policy/answer_end.h"
#include "proxyd/exchange.h"
#include "proxyd/limits.h"
#include "proxyd/suspects.h"

/* Time limits of a question; both are below those of the decision, so that a
 * second one may follow. */
#define CONNECT_MS 200
#define ANSWER_MS 1500

/* Time limit of a question on an open connection; one that has not answered by then
 * is closed. */
#define WITNESS_MS 2000

/* Time limit of a health check, which is answered at once unless it waits for a slot;
 * a plain answer waits no longer for it. */
#define HEALTH_MS 200

/* The ends of answers that an endpoint closes together are read within this time. */
#define ENDS_TOGETHER_MS 100

/* Intervals of questions without an answer; an answer that is overdue may have to
 * wait until its deadline. */
#define ASK_AGAIN_MS 100
#define ASK_OVERDUE_MS 500

/* Interval of questions to an endpoint that leaves, whose connection is to last. */
#define WATCH_AGAIN_MS 1000

#define REPORT_MAX_BYTES 65536

/* Questions in progress at an endpoint that leaves; another one has one.  Ends that
 * come together are read in a few goes. */
#define QUESTIONS_MAX 8

/* A question to an endpoint, in progress or the last one. */
struct end_question {
	struct end_questions *all;
	struct http1_call *call; /* NULL once it has ended */
	uint64_t asked_ms;
	uint64_t opened_ms; /* when its connection was */
	/* numbers of the last ends that were read before the connection of the
	 * question was begun, and before the question was sent */
	uint64_t last_end_before;
	uint64_t last_end;
	bool at_once; /* as soon as an end was read */
	bool is_engine; /* only its report shows that it lives */
	bool is_report;
	bool is_health; /* a health check; else only a connection */
	/* was sent on a connection that was open, which ends at one process */
	bool is_witness;
	uint64_t process; /* the start of that process; 0: unknown */
	bool received; /* by the endpoint's host, if it is a witness */
	struct http1_moments moments; /* known once it is sent */
	bool watches; /* was sent before any end, for its connection */
	int status;
	char id[ENDPOINT_ID_SIZE]; /* of the endpoint that answers, or "" */
	struct bytes body;
};

/* The questions to an endpoint. */
struct end_questions {
	struct proxyd *proxyd;
	struct handle endpoint;
	struct end_question questions[QUESTIONS_MAX];
	uint64_t last_end_witnessed; /* number of the last end asked about so */
	struct end_question *last; /* asked last */
	uint64_t reached_ms; /* when a connection was last known to stand */
};

/* How a question has ended. */
struct finding {
	enum endpoint_sign sign;
	const char *why; /* for logs */
};

static bool asks_at_once(const struct exchange *x, const struct endpoint *e);
static bool same_process_lasts(const struct exchange *x,
			       const struct endpoint *e, uint64_t since_ms);
static void ask_soon(struct exchanges *t);
static void on_ask_timer(uv_timer_t *timer);
static void ask(struct exchange *x, struct endpoint *e, bool at_once);
static struct end_questions *questions_of(struct endpoint *e);
static void ask_witnesses(const struct exchange *x, struct endpoint *e);
static void note_received(struct endpoint *e);
static void send_question(struct end_question *q, struct endpoint *e,
			  const char *path, bool may_reuse);
static bool is_of_another(const struct finding *f, enum http1_outcome outcome);
static bool is_about_an_end(const struct end_question *q);
static bool is_asked_about(struct end_questions *all, uint64_t end_number);
static struct end_question *next_question(struct exchange *x,
					  struct endpoint *e);
static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head);
static void on_body(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum http1_outcome outcome);
static struct finding evaluate(const struct end_question *q,
			       const struct endpoint *e,
			       enum http1_outcome outcome, uint64_t *born_ms);
static struct finding evaluate_health(const struct end_question *q,
				      const struct endpoint *e,
				      enum http1_outcome outcome);
static struct finding judge_health(struct exchange *x, const struct finding *f,
				   const struct finding *own,
				   const struct end_question *q);
static enum endpoint_sign ended_sign(const struct proxyd *p,
				     const struct endpoint *e);
static bool may_exit(const struct proxyd *p, const struct endpoint *e);
static void note_reached(struct end_question *q, uint64_t now);
static bool was_asked_for(const struct exchange *x,
			  const struct end_question *q);
static bool concerns(const struct exchange *x, const struct end_question *q);
static bool has_reached(const struct exchange *x, const struct end_question *q);
static struct finding judge_witness(const struct exchange *x,
				    const struct endpoint *e,
				    const struct end_question *q,
				    enum http1_outcome outcome,
				    uint64_t born_ms);
static bool may_be_answered(const struct exchange *x, const struct endpoint *e);
static bool awaits_end_at(const struct exchange *x, struct handle endpoint);
static void judge(struct exchange *x, const struct finding *f, uint64_t now,
		  bool last);
static int64_t asked_after_ms(const struct endpoint *e,
			      const struct exchange *x);
static bool is_reached(const struct endpoint *e, const struct exchange *x);

static const struct http1_call_ops ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

/* Prepares the questions. */
void answer_ends_init(struct exchanges *t)
{
	uv_timer_init(t->proxyd->loop, &t->ask_timer);
	t->ask_timer.data = t;
}

/* Has an answer whose connection was closed in order wait until its end is
 * known.  The events of a stream have been passed on.  An engine, and an endpoint
 * that leaves, are asked at once: that may exit as soon as its last answer is
 * out. */
void answer_end_await(struct exchange *x)
{
	uint64_t since_ms = proxyd_received_ms(x->proxyd);

	x->ended_ms = proxyd_now(x->proxyd);
	x->ended_after_ms =
		x->ended_ms - (x->ended_ms - since_ms > PROXYD_STALL_MS
				       ? since_ms
				       : x->read_ms);
	x->end_outlived = false;
	x->end_doubted = false;
	x->end_overdue = false;
	x->end_number = ++x->proxyd->exchanges->n_ends;
	x->staged = false;
	kv_copy_cancel_order(x);
	ask_soon(x->proxyd->exchanges);
}

/* Has the endpoints of answers asked that are to be at once, when all ends that
 * have arrived are read. */
static void ask_soon(struct exchanges *t)
{
	uv_timer_start(&t->ask_timer, on_ask_timer, 0, 0);
}

/* Asks about the ends that came after the last question to their endpoints. */
static void on_ask_timer(uv_timer_t *timer)
{
	struct exchanges *t = timer->data;
	struct exchange *x;

	TAILQ_FOREACH(x, &t->list, link)
	{
		struct endpoint *e =
			endpoint_get(t->proxyd->endpoints, x->endpoint);

		if (e && awaits_end_at(x, e->self) && asks_at_once(x, e) &&
		    (!e->end_questions ||
		     x->end_number > e->end_questions->last->last_end))
			ask(x, e, true);
	}
}

/* Returns whether an endpoint is asked as soon as the end of an answer is read. */
static bool asks_at_once(const struct exchange *x, const struct endpoint *e)
{
	return x->engine || may_exit(x->proxyd, e);
}

/* Decides on an answer that waits, which it must not any longer if last is set,
 * or asks its endpoint.  By then a process that was killed has closed its
 * listener, too. */
void answer_end_tick(struct exchange *x, uint64_t now, bool last)
{
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, x->endpoint);
	struct finding f = { ENDPOINT_SIGN_NONE, "no answer" };
	bool ended = !e || (e->state != ENDPOINT_UP && e->ended);
	uint64_t since_ms = e && e->down_ms > x->ended_ms ? e->down_ms
							  : x->ended_ms;
	uint64_t wait_ms = answer_end_witness_wait_ms(
		e && may_exit(x->proxyd, e), route_may_run_again(x->route));

	if (e && ended)
		ask_witnesses(x, e);
	if (e)
		note_received(e);
	if (ended && !(e && may_be_answered(x, e) && now - since_ms < wait_ms))
		f = (struct finding){ ended_sign(x->proxyd, e),
				      "endpoint ended" };
	judge(x, &f, now, last);
	if (e && x->ended_ms && now > x->ended_ms)
		ask(x, e, false);
}

/* Returns whether a connection at the process that a request was sent to is open
 * that was at since_ms. */
static bool same_process_lasts(const struct exchange *x,
			       const struct endpoint *e, uint64_t since_ms)
{
	return http1_client_spans_process(x->proxyd->client, e->address,
					  since_ms, x->sent_born_ms);
}

/* Has another connection stand at the process that writes an answer, if that leaves:
 * it may fall silent with the end of the answer, and exit before it has answered a
 * question.  It is asked for its report, whose connection is kept.  Only for an
 * answer that no other endpoint may give. */
void answer_end_watch(struct exchange *x, uint64_t now)
{
	struct endpoint *e = endpoint_get(x->proxyd->endpoints, x->endpoint);
	struct end_questions *all;
	size_t i;

	if (!e || e->state != ENDPOINT_UP || !x->engine || !x->call ||
	    !x->status || !x->unframed || x->ended_ms || !x->sent_born_ms ||
	    route_may_run_again(x->route) || !may_exit(x->proxyd, e) ||
	    same_process_lasts(x, e, now))
		return;
	all = questions_of(e);
	if (all->last->asked_ms && now - all->last->asked_ms < WATCH_AGAIN_MS)
		return;
	for (i = 0; i < QUESTIONS_MAX; i++)
		if (all->questions[i].call)
			return;
	if (!endpoint_take_check(e, now))
		return;
	all->last = &all->questions[0];
	all->last->at_once = false;
	all->last->is_engine = true;
	all->last->watches = true;
	send_question(all->last, e, x->proxyd->protocol->report_path, false);
}

/* Cancels the questions to an endpoint, which is freed. */
void answer_end_forget(struct endpoint *e)
{
	struct end_questions *all = e->end_questions;
	size_t i;

	if (!all)
		return;
	for (i = 0; i < QUESTIONS_MAX; i++) {
		if (all->questions[i].call)
			http1_call_cancel(all->questions[i].call);
		bytes_release(&all->questions[i].body);
	}
	free(all);
	e->end_questions = NULL;
}

/* Asks an endpoint about the end of an answer, unless it is being asked about that,
 * or has just given no answer: an engine for its report, which states its start; a
 * service without reports for its health, which states its id, and on a connection
 * that was open before if there is one.  An endpoint that pauses, has no permit left
 * for a request, or may exit as soon as it has answered, is only connected to: if it
 * refuses, it has ended. */
static void ask(struct exchange *x, struct endpoint *e, bool at_once)
{
	struct proxyd *p = x->proxyd;
	struct end_question *q = next_question(x, e);
	const char *path = NULL;
	bool may_reuse;

	if (!q)
		return;
	q->at_once = at_once;
	q->is_engine = x->engine != NULL;
	q->watches = false;
	may_reuse = (!x->engine || may_exit(p, e)) &&
		    x->end_number > q->all->last_end_witnessed;
	if ((x->engine || !at_once) && endpoint_take_check(e, proxyd_now(p)))
		path = endpoint_question_path(p, x->service, x->engine);
	send_question(q, e, path, may_reuse);
	if (q->is_witness)
		q->all->last_end_witnessed = q->last_end;
}

/* Has an endpoint that refuses new connections, but may serve on, asked about the end
 * of an answer on the connections to it that are idle, once. */
static void ask_witnesses(const struct exchange *x, struct endpoint *e)
{
	struct proxyd *p = x->proxyd;
	struct end_questions *all = questions_of(e);
	const char *path = endpoint_question_path(p, x->service, x->engine);
	size_t i;

	if (!path || x->end_number <= all->last_end_witnessed ||
	    e->state == ENDPOINT_REPLACED)
		return;
	for (i = 0; i < QUESTIONS_MAX; i++) {
		struct end_question *q = &all->questions[i];

		if (q->call)
			continue;
		if (!http1_client_has_idle(p->client, e->address) ||
		    !endpoint_take_check(e, proxyd_now(p)))
			return;
		q->at_once = false;
		q->is_engine = x->engine != NULL;
		q->watches = false;
		send_question(q, e, path, true);
		all->last_end_witnessed = q->last_end;
	}
}

/* Notes which requests on open connections the host of an endpoint has received. */
static void note_received(struct endpoint *e)
{
	size_t i;

	for (i = 0; e->end_questions && i < QUESTIONS_MAX; i++) {
		struct end_question *q = &e->end_questions->questions[i];

		if (q->call && q->is_witness && http1_call_received(q->call))
			q->received = true;
	}
}

/* Sends a question for a path, or as a connection only if that is NULL; on a
 * connection that is idle, if one may be used and there is one.  It is about all ends
 * that have been read. */
static void send_question(struct end_question *q, struct endpoint *e,
			  const char *path, bool may_reuse)
{
	struct proxyd *p = q->all->proxyd;
	struct http1_call_options options = {
		.address = e->address,
		.connect_timeout_ms = CONNECT_MS,
		.timeout_ms = ANSWER_MS,
	};
	struct bytes out = { 0 };

	q->is_report = path && q->is_engine;
	q->is_health = path && !q->is_engine;
	if (path && may_reuse && http1_client_has_idle(p->client, e->address)) {
		options.timeout_ms = WITNESS_MS;
		options.max_idle_ms = UINT32_MAX;
	}
	if (q->is_health)
		options.timeout_ms = HEALTH_MS;

	q->asked_ms = proxyd_now(p);
	q->last_end_before = q->last_end = p->exchanges->n_ends;
	q->status = 0;
	q->id[0] = '\0';
	q->body.len = 0;
	if (path)
		bytes_addf(&out, "GET %s HTTP/1.1\r\nhost: %s\r\n\r\n", path,
			   e->address);
	counter_add(p->exchanges->end_questions, 1);
	q->call = http1_call_start(p->client, &options, out.data, out.len, &ops,
				   q);
	q->is_witness = http1_call_reused(q->call);
	q->process = http1_call_process(q->call);
	q->moments = http1_call_moments(q->call);
	q->received = false;
}

/* Returns the question by which an endpoint is to be asked about the end of an
 * answer, which is not in progress; NULL if it is not to be asked now. */
static struct end_question *next_question(struct exchange *x,
					  struct endpoint *e)
{
	struct proxyd *p = x->proxyd;
	uint64_t now = proxyd_now(p);
	struct end_questions *all = questions_of(e);
	size_t n_max = may_exit(p, e) ? QUESTIONS_MAX : 1;
	struct end_question *next = NULL;
	size_t n = 0;
	size_t i;

	if (is_asked_about(all, x->end_number))
		return NULL;
	for (i = 0; i < QUESTIONS_MAX; i++) {
		n += all->questions[i].call &&
		     (n_max > 1 || !all->questions[i].is_witness);
		if (!all->questions[i].call)
			next = &all->questions[i];
	}
	if (n >= n_max || !next ||
	    (was_asked_for(x, all->last) &&
	     now - all->last->asked_ms <
		     (x->end_overdue ? ASK_OVERDUE_MS : ASK_AGAIN_MS)))
		return NULL;
	all->last = next;
	return next;
}

/* Returns the questions to an endpoint, none of which may have been asked. */
static struct end_questions *questions_of(struct endpoint *e)
{
	struct end_questions *all = e->end_questions;
	size_t i;

	if (all)
		return all;
	all = e->end_questions = xcalloc(1, sizeof(*all));
	all->proxyd = e->proxyd;
	all->endpoint = e->self;
	for (i = 0; i < QUESTIONS_MAX; i++)
		all->questions[i].all = all;
	all->last = &all->questions[0];
	return all;
}

/* Returns whether an endpoint is being asked about an end on a new connection.  A
 * question that is not sent yet is about all ends that have been read. */
static bool is_asked_about(struct end_questions *all, uint64_t end_number)
{
	size_t i;

	for (i = 0; i < QUESTIONS_MAX; i++) {
		struct end_question *q = &all->questions[i];

		if (!q->call || q->is_witness)
			continue;
		if (q->is_report && !http1_call_connected(q->call))
			q->last_end = all->proxyd->exchanges->n_ends;
		if (end_number <= q->last_end)
			return true;
	}
	return false;
}

/* Handles the head of the answer to a question. */
static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head)
{
	struct end_question *q = arg;
	struct answer_fields fields;

	q->all->proxyd->protocol->decode_answer(head, &fields);
	if (fields.endpoint && fields.endpoint_len < sizeof(q->id)) {
		memcpy(q->id, fields.endpoint, fields.endpoint_len);
		q->id[fields.endpoint_len] = '\0';
	}
	q->status = head->status;
	q->opened_ms = http1_call_opened_ms(q->call);
	q->moments = http1_call_moments(q->call);
	return HTTP1_ACCEPT;
}

/* Handles a part of the answer's body.  One that exceeds the limit, or never
 * ends, is no report: its connection is closed. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct end_question *q = arg;

	if (q->body.len + len <= REPORT_MAX_BYTES) {
		bytes_add(&q->body, data, len);
		return;
	}
	http1_call_cancel(q->call);
	on_end(q, HTTP1_MALFORMED);
}

/* Handles the end of a question: judges the answers that ended before it was
 * sent.  Their runs are noted before the endpoint is taken for dead, as its end
 * counts against these. */
static void on_end(void *arg, enum http1_outcome outcome)
{
	struct end_question *q = arg;
	struct proxyd *p = q->all->proxyd;
	struct handle endpoint = q->all->endpoint;
	struct endpoint *e = endpoint_get(p->endpoints, endpoint);
	uint64_t now = proxyd_now(p);
	uint64_t born_ms = 0;
	struct finding f = evaluate(q, e, outcome, &born_ms);
	bool about_none = q->watches && !is_about_an_end(q);
	struct exchange *x;

	if (f.sign == ENDPOINT_SIGN_LIVES && q->is_report) {
		http1_call_name_process(q->call, born_ms);
		endpoint_note_process(p->endpoints, endpoint, born_ms,
				      q->moments);
	}
	q->call = NULL;
	if (!q->is_witness &&
	    (outcome == HTTP1_COMPLETE || outcome == HTTP1_BROKEN ||
	     outcome == HTTP1_MALFORMED))
		note_reached(q, now);
	TAILQ_FOREACH(x, &p->exchanges->list, link)
	{
		if (f.sign != ENDPOINT_SIGN_ENDED || !was_asked_for(x, q))
			continue;
		if (e)
			ask_witnesses(x, e);
		if (!e || !may_be_answered(x, e))
			suspects_run_broke(x, e);
	}
	if (http1_not_connected(outcome) && !about_none)
		endpoint_unreachable(p->endpoints, endpoint, q->asked_ms, NULL,
				     outcome);
	if (f.sign == ENDPOINT_SIGN_LIVES && q->is_report && e &&
	    born_ms != endpoint_known_start(e)) {
		e->start_wanted = true;
		endpoint_stated_start(p->endpoints, endpoint, born_ms,
				      q->opened_ms);
	}
	TAILQ_FOREACH(x, &p->exchanges->list, link)
	{
		struct finding own = f;

		if (!concerns(x, q))
			continue;
		if (q->is_witness)
			own = judge_witness(x, e, q, outcome, born_ms);
		if (q->is_health)
			own = judge_health(x, &f, &own, q);
		else if (own.sign == ENDPOINT_SIGN_LIVES && !q->is_witness &&
			 q->is_report)
			own.sign =
				answer_end_start_sign(x->sent_born_ms, born_ms);
		if (own.sign == ENDPOINT_SIGN_ENDED && own.sign != f.sign) {
			own.why = "other start";
			own.sign = ended_sign(p, e);
		}
		if (is_of_another(&own, outcome))
			x->end_outlived = false;
		if (own.sign != ENDPOINT_SIGN_LIVES && e &&
		    may_be_answered(x, e))
			continue;
		if (own.sign == ENDPOINT_SIGN_UNKNOWN)
			own.why = "start not known before";
		judge(x, &own, now, false);
	}
	ask_soon(p->exchanges);
}

/* Returns whether a question was answered by another process than the one that wrote
 * an answer: then its connection, which was accepted, shows nothing of that one. */
static bool is_of_another(const struct finding *f, enum http1_outcome outcome)
{
	return outcome == HTTP1_COMPLETE && (f->sign == ENDPOINT_SIGN_ENDED ||
					     f->sign == ENDPOINT_SIGN_LEFT);
}

/* Returns whether an answer waits for a question. */
static bool is_about_an_end(const struct end_question *q)
{
	const struct exchange *x;

	TAILQ_FOREACH(x, &q->all->proxyd->exchanges->list, link)
	if (was_asked_for(x, q))
		return true;
	return false;
}

/* Notes that an endpoint has accepted the connection of a question. */
static void note_reached(struct end_question *q, uint64_t now)
{
	struct exchange *x;

	q->all->reached_ms = now;
	TAILQ_FOREACH(x, &q->all->proxyd->exchanges->list, link)
	if (awaits_end_at(x, q->all->endpoint) &&
	    x->end_number <= q->last_end_before)
		x->end_outlived = true;
}

/* Returns what the outcome of a question shows.  Sets *born_ms to the start that
 * a report states. */
static struct finding evaluate(const struct end_question *q,
			       const struct endpoint *e,
			       enum http1_outcome outcome, uint64_t *born_ms)
{
	if (outcome == HTTP1_NOT_SENT)
		return (struct finding){ ended_sign(q->all->proxyd, e),
					 "refused" };
	if (q->is_health && !http1_not_connected(outcome) &&
	    outcome != HTTP1_NO_SOCKET)
		return evaluate_health(q, e, outcome);
	if (outcome != HTTP1_COMPLETE)
		return (struct finding){ ENDPOINT_SIGN_NONE,
					 http1_outcome_name(outcome) };
	if (!q->is_report)
		return (struct finding){ q->is_engine ? ENDPOINT_SIGN_NONE
						      : ENDPOINT_SIGN_LIVES,
					 "accepts" };
	if (q->status == 200 && q->all->proxyd->protocol->decode_report(
					q->body.data, q->body.len, born_ms))
		return (struct finding){ ENDPOINT_SIGN_LIVES, "same start" };
	return (struct finding){ ENDPOINT_SIGN_NONE, "no report" };
}

/* Returns what a health check shows that reached the address of an endpoint: whether
 * that is still there.  One with the same id may have started again, so that another
 * look at open connections goes before this. */
static struct finding evaluate_health(const struct end_question *q,
				      const struct endpoint *e,
				      enum http1_outcome outcome)
{
	if (outcome != HTTP1_COMPLETE)
		return (struct finding){ ENDPOINT_SIGN_UNKNOWN,
					 "no health answer" };
	if (e && q->id[0] && strcmp(q->id, e->id) != 0)
		return (struct finding){ ended_sign(q->all->proxyd, e),
					 "other endpoint" };
	return (struct finding){ ENDPOINT_SIGN_LIVES, "same endpoint" };
}

/* Returns what a health check shows of an answer, from what it shows of the endpoint
 * and, as own, of the process at its connection.  If a connection from before the
 * request has given no answer, its process may have ended, and that which answers at
 * the address may have followed it. */
static struct finding judge_health(struct exchange *x, const struct finding *f,
				   const struct finding *own,
				   const struct end_question *q)
{
	if (own->sign == ENDPOINT_SIGN_LIVES && q->is_witness)
		return *own;
	if (q->is_witness && !q->status)
		x->end_doubted = x->end_doubted ||
				 q->moments.opened < x->moments.sent;
	if (q->is_witness && (!q->status || !was_asked_for(x, q)))
		return *own;
	if (f->sign == ENDPOINT_SIGN_LIVES && x->end_doubted)
		return (struct finding){ ENDPOINT_SIGN_UNKNOWN,
					 "older connection lost" };
	return *f;
}

/* Returns what it shows of an answer that the process which wrote it has ended
 * since. */
static enum endpoint_sign ended_sign(const struct proxyd *p,
				     const struct endpoint *e)
{
	return e && may_exit(p, e) ? ENDPOINT_SIGN_LEFT : ENDPOINT_SIGN_ENDED;
}

/* Returns whether an endpoint may exit as planned. */
static bool may_exit(const struct proxyd *p, const struct endpoint *e)
{
	return endpoint_is_leaving(e) ||
	       !entry_expiry_accepts_work(&e->expiry, proxyd_now(p));
}

/* Returns whether an answer waits for its end to be known and had ended when a
 * question was sent to its endpoint.  A process that is killed closes its listener
 * some time after a connection, so that one which is only connected to must have
 * been asked later. */
static bool was_asked_for(const struct exchange *x,
			  const struct end_question *q)
{
	return awaits_end_at(x, q->all->endpoint) &&
	       x->end_number <= q->last_end &&
	       (q->is_report || q->is_witness ||
		(!q->at_once && x->ended_ms < q->asked_ms));
}

/* Returns whether the outcome of a question may show what an answer is.  The end of a
 * witness may also if the answer ended just after its question was sent. */
static bool concerns(const struct exchange *x, const struct end_question *q)
{
	return was_asked_for(x, q) ||
	       (q->is_witness && awaits_end_at(x, q->all->endpoint) &&
		x->ended_ms <= q->asked_ms + ENDS_TOGETHER_MS);
}

/* Returns what a question on an open connection shows of an answer that had ended
 * before. */
static struct finding judge_witness(const struct exchange *x,
				    const struct endpoint *e,
				    const struct end_question *q,
				    enum http1_outcome outcome,
				    uint64_t born_ms)
{
	uint64_t now = proxyd_now(x->proxyd);
	uint64_t since_ms = q->asked_ms > x->ended_ms ? q->asked_ms
						      : x->ended_ms;
	const struct answer_end_witness w = {
		.older = q->moments.opened < x->moments.sent,
		.same_process = q->process && q->process == x->sent_born_ms,
		.answered = outcome == HTTP1_COMPLETE &&
			    x->end_number <= q->last_end,
		.states_start = q->is_report,
		.stated_ms = born_ms,
		.known_ms = x->sent_born_ms,
		.leaves = e && may_exit(x->proxyd, e),
		/* from the time limit on, it was closed here */
		.received = q->received && outcome != HTTP1_COMPLETE &&
			    now - q->asked_ms < WITNESS_MS,
		.held_ms = now - since_ms,
	};

	return (struct finding){ answer_end_witness_sign(&w),
				 w.answered ? "open connection answers"
					    : "open connection ended" };
}

/* Returns whether a question about the end of an answer has reached its endpoint,
 * which may have answered it before it refused a later one. */
static bool may_be_answered(const struct exchange *x, const struct endpoint *e)
{
	const struct end_questions *all = e->end_questions;
	size_t i;

	for (i = 0; all && i < QUESTIONS_MAX; i++)
		if (has_reached(x, &all->questions[i]))
			return true;
	return false;
}

/* Returns whether a question about the end of an answer is in progress and was sent
 * on a connection that stands. */
static bool has_reached(const struct exchange *x, const struct end_question *q)
{
	return q->call && (q->is_report || q->is_health) &&
	       http1_call_connected(q->call) && concerns(x, q);
}

/* Returns whether an answer of an endpoint waits for its end to be known. */
static bool awaits_end_at(const struct exchange *x, struct handle endpoint)
{
	return x->phase == EXCHANGE_SENT && x->ended_ms &&
	       handle_equal(x->endpoint, endpoint);
}

/* Completes an answer that waits, takes it for broken off, or lets it wait on;
 * not if last is set. */
static void judge(struct exchange *x, const struct finding *f, uint64_t now,
		  bool last)
{
	const struct endpoint *e =
		endpoint_get(x->proxyd->endpoints, x->endpoint);
	bool empty = x->is_event_stream && x->first_event_due_ms;
	struct answer_end_signs signs = {
		.endpoint = f->sign,
		.reached = is_reached(e, x),
		.waited_ms = now - x->ended_ms,
		.empty = empty,
		.empty_before = x->empty_runs,
		.may_run_again = empty && f->sign == ENDPOINT_SIGN_LIVES &&
				 route_may_run_again(x->route) &&
				 exchange_repeat_allowed(x),
	};
	enum answer_end end;

	x->end_overdue = answer_end_overdue(&signs);
	signs.stays = x->end_overdue && x->is_event_stream && x->caller &&
		      !stream_is_taken_elsewhere(x);
	end = answer_end_decide(&signs);
	if (end == ANSWER_END_WAIT && last)
		end = ANSWER_END_UNKNOWN;
	if (end == ANSWER_END_WAIT)
		return;
	counter_add(x->proxyd->exchanges->ends[end], 1);
	event_log(
		end == ANSWER_END_WHOLE ? EVENT_ROUTINE : EVENT_NOTABLE,
		"unframed-end", x->fields.id,
		"{s:s, s:s, s:s, s:b, s:b, s:I, s:I, s:b, s:b, s:b, s:I, s:b, s:I, s:b, s:I}",
		"outcome", answer_end_name(end), "why", f->why, "endpoint",
		e ? e->id : "", "leaving", e && endpoint_is_leaving(e),
		"listed", e && !e->expiry.removed, "waited_ms",
		(json_int_t)signs.waited_ms, "asked_after_ms",
		(json_int_t)asked_after_ms(e, x), "reached", signs.reached,
		"outlived", x->end_outlived, "doubted", x->end_doubted,
		"ended_after_ms", (json_int_t)x->ended_after_ms, "empty",
		signs.empty, "known_start", (json_int_t)x->sent_born_ms,
		"start_proved", e && exchange_process_proved(x, e),
		"last_event",
		(json_int_t)(x->has_last_event ? (int64_t)x->last_event_id
					       : -1));
	x->ended_ms = 0;
	if (x->is_event_stream)
		stream_end_known(x, end);
	else
		attempt_end_known(x, end);
}

/* Returns how long after the end of an answer its endpoint was last asked, ms; -1
 * if it has not been since. */
static int64_t asked_after_ms(const struct endpoint *e,
			      const struct exchange *x)
{
	const struct end_question *q =
		e && e->end_questions ? e->end_questions->last : NULL;

	return q && q->asked_ms >= x->ended_ms
		       ? (int64_t)(q->asked_ms - x->ended_ms)
		       : -1;
}

/* Returns whether the endpoint has accepted the connection of a question after
 * the end of a stream. */
static bool is_reached(const struct endpoint *e, const struct exchange *x)
{
	const struct end_questions *all = e ? e->end_questions : NULL;
	size_t i;

	for (i = 0; all && i < QUESTIONS_MAX; i++)
		if (all->questions[i].call && !all->questions[i].is_witness &&
		    http1_call_connected(all->questions[i].call))
			return true;
	return all && all->reached_ms > x->ended_ms;
}
