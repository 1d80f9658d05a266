/*
 * Decides whether this instance has lost its path to the endpoints of a service.
 * Handles an instance that is cut off from all endpoints, by silence or by
 * refused connections, also in one direction only, while open connections may
 * live on, and while callers and the other instances reach it.  A failed endpoint
 * looks the same as a lost path, so that one failure decides nothing: the path
 * is lost if several endpoints fail and none of the others answers.
 */
#include "policy/path.h"

/* Failures older than this are no sign any more. */
#define FAILED_MS 2000

/* So many endpoints must fail for the path to be lost, and answer for it to be
 * back; fewer if there are fewer.  It is also back if one goes on to answer, as
 * the others may have ended. */
#define ENDPOINTS_MIN 2

/* An endpoint that is asked answers within this time unless all its slots are
 * taken. */
#define CONFIRM_MS 100

/* Between two probes of a service whose path is lost, or of one endpoint. */
#define PROBE_MS 200

/* A loss is in doubt for this time.  While it is, or is only suspected, the
 * endpoints are asked one after another without a pause. */
#define DOUBTED_MS 500

/* An endpoint of a plain service answers within this time, or within so many
 * times what it usually takes, also if others wait there. */
#define PLAIN_OVERDUE_MS 300
#define PLAIN_OVERDUE_FACTOR 4

/* Calls that are late are no sign of a lost path while bytes of any endpoint come:
 * under overload some answers do. */
#define SILENT_MS 300

/* How much later than expected a stream's first event may come, and how long a
 * pause between its events may be: a sound endpoint may be silent for a
 * second. */
#define FIRST_EVENT_OVERDUE_MS 700
#define EVENT_OVERDUE_MS 1000

/* A refusal that nothing explains by then is taken for the endpoint's end. */
#define REFUSAL_MS 1000

static uint32_t least(uint32_t usable);

/* Judges a refused connection.  A host refuses connections to an endpoint that has
 * ended, and something on the way may refuse all of one instance's. */
enum path_refusal path_judge_refusal(const struct path_refusal_signs *s)
{
	if (s->alone || (s->connected_since && !s->path_lost))
		return PATH_REFUSAL_ENDED;
	if (s->path_lost && s->others_reached_since)
		return PATH_REFUSAL_NO_PATH;
	return s->waited_ms < REFUSAL_MS ? PATH_REFUSAL_UNDECIDED
					 : PATH_REFUSAL_ENDED;
}

/* Tells whether a call has been unanswered for so long that this is a sign of a
 * lost path. */
bool path_call_overdue(const struct path_call *c, uint64_t now)
{
	if (!c->engine)
		return now - c->sent_ms >= PLAIN_OVERDUE_MS &&
		       now - c->sent_ms >=
			       (uint64_t)c->usual_ms * PLAIN_OVERDUE_FACTOR;
	if (c->first_event_due_ms)
		return now >= c->first_event_due_ms + FIRST_EVENT_OVERDUE_MS;
	return now - c->last_event_ms >= EVENT_OVERDUE_MS;
}

/* Records the answer of an endpoint to a call sent at sent_ms, on a connection
 * that was opened for this call or on one that was open before. */
void path_answered(struct path *p, struct path_endpoint *e, uint64_t sent_ms,
		   bool kept_connection)
{
	uint64_t *newest = kept_connection ? &e->kept_answered_ms
					   : &e->answered_ms;

	if (sent_ms > *newest)
		*newest = sent_ms;
	if (sent_ms > p->answered_ms)
		p->answered_ms = sent_ms;
	if (!kept_connection && (e->answering_ms <= p->since_ms ||
				 e->answering_ms <= e->not_connected_ms ||
				 e->answering_ms <= e->unanswered_ms))
		e->answering_ms = sent_ms;
	if (!kept_connection)
		path_connected(p, sent_ms);
}

/* Records that bytes of an endpoint have come. */
void path_heard(struct path *p, uint64_t now)
{
	p->heard_ms = now;
}

/* Records that an endpoint has accepted a connection begun at begun_ms. */
void path_connected(struct path *p, uint64_t begun_ms)
{
	if (begun_ms > p->connected_ms)
		p->connected_ms = begun_ms;
}

/* Records that a connection to an endpoint, begun at begun_ms, has failed.  One
 * that was begun before the path came back, and timed out later, is no sign of
 * another loss. */
void path_not_connected(struct path *p, struct path_endpoint *e,
			uint64_t begun_ms, uint64_t now)
{
	if (begun_ms > e->not_connected_ms)
		e->not_connected_ms = begun_ms;
	p->failed_ms = now;
}

/* Records that an endpoint has left a call, sent or last answered at sent_ms,
 * unanswered. */
void path_unanswered(struct path *p, struct path_endpoint *e, uint64_t sent_ms,
		     uint64_t now)
{
	if (sent_ms > e->unanswered_ms)
		e->unanswered_ms = sent_ms;
	e->overdue_ms = now;
	p->failed_ms = now;
}

/* Tells whether the path is lost or may be: an endpoint has failed lately, and none
 * has answered a later call. */
bool path_doubtful(const struct path *p, uint64_t now)
{
	return p->lost || p->suspected_ms ||
	       (p->failed_ms > p->answered_ms &&
		now - p->failed_ms < FAILED_MS);
}

/* Tells whether the endpoints must be counted to judge the path. */
bool path_needs_count(const struct path *p, uint64_t now)
{
	return p->lost || p->suspected_ms || p->refused_ms ||
	       (p->failed_ms && now - p->failed_ms < FAILED_MS);
}

/* Returns the sending of the newest call that an endpoint answered. */
static uint64_t newest_answer(const struct path_endpoint *e)
{
	return e->answered_ms > e->kept_answered_ms ? e->answered_ms
						    : e->kept_answered_ms;
}

/* Returns when an endpoint could not be connected to lately, 0 if it could, or has
 * answered on a new connection since. */
static uint64_t not_connected_ms(const struct path_endpoint *e, uint64_t now)
{
	return e->not_connected_ms && e->not_connected_ms >= e->answered_ms &&
			       now - e->not_connected_ms < FAILED_MS
		       ? e->not_connected_ms
		       : 0;
}

/* Returns when an endpoint failed lately, 0 if it has not, or has answered since.
 * A kept connection may live on while new ones are refused, so that its answers
 * don't show that the endpoint can be connected to. */
static uint64_t failure_ms(const struct path_endpoint *e, uint64_t now)
{
	uint64_t failed_ms = not_connected_ms(e, now);

	if (failed_ms)
		return failed_ms;
	if (e->overdue_ms && e->unanswered_ms >= newest_answer(e) &&
	    now - e->overdue_ms < FAILED_MS)
		return e->unanswered_ms;
	return 0;
}

/* Tells whether an endpoint could not be connected to lately. */
bool path_endpoint_refuses(const struct path_endpoint *e, uint64_t now)
{
	return not_connected_ms(e, now) != 0;
}

/* Tells whether an endpoint has failed lately and not answered since. */
bool path_endpoint_failed(const struct path_endpoint *e, uint64_t now)
{
	return failure_ms(e, now) != 0;
}

/* Returns whether an endpoint has answered on a new connection since the last
 * loss. */
static bool answers_since_loss(const struct path_endpoint *e,
			       const struct path *p)
{
	return e->answered_ms > p->since_ms;
}

/* Adds an endpoint that takes work to the count. */
void path_count_add(struct path_count *c, const struct path *p,
		    const struct path_endpoint *e, uint64_t now)
{
	uint64_t failed_ms = failure_ms(e, now);

	c->usable++;
	if (failed_ms) {
		if (!c->failed++ || failed_ms < c->first_failure_ms)
			c->first_failure_ms = failed_ms;
		c->unanswered += not_connected_ms(e, now) == 0;
		return;
	}
	if (newest_answer(e) > c->answered_ms)
		c->answered_ms = newest_answer(e);
	c->back += answers_since_loss(e, p);
	c->steady += e->answering_ms > p->since_ms &&
		     e->answered_ms - e->answering_ms >= PROBE_MS;
}

/* Updates the state of the path by a count of the service's endpoints; returns
 * whether it was lost or has come back. */
bool path_decide(struct path *p, const struct path_count *c, uint64_t now)
{
	bool not_connected = c->failed - c->unanswered >= least(c->usable);
	bool silent = not_connected || now - p->heard_ms >= SILENT_MS;
	bool failing = c->failed && c->failed >= least(c->usable) &&
		       c->answered_ms < c->first_failure_ms && silent;

	if (p->lost) {
		if (c->usable && c->back < least(c->usable) && !c->steady)
			return false;
		p->lost = false;
		p->suspected_ms = 0;
		return true;
	}
	if (!failing) {
		p->suspected_ms = 0;
		return false;
	}
	if (!p->suspected_ms)
		p->suspected_ms = now;
	if ((c->failed < c->usable || !not_connected) &&
	    now - p->suspected_ms < CONFIRM_MS)
		return false;
	p->lost = true;
	p->since_ms = now;
	return true;
}

/* Tells whether an endpoint of the service is to be asked for an answer now: the
 * path is lost or suspected, an endpoint has failed and none has answered a later
 * call, or the path to another service is lost and no endpoint of this one has
 * answered lately. */
bool path_probe_due(const struct path *p, bool other_lost, uint64_t now)
{
	if (p->suspected_ms && (!p->lost || now - p->since_ms < DOUBTED_MS))
		return true;
	if (p->probed_ms && now - p->probed_ms < PROBE_MS)
		return p->refused_ms > p->probed_ms;
	if (p->lost || p->refused_ms ||
	    (path_needs_count(p, now) && p->failed_ms > p->answered_ms))
		return true;
	return other_lost && now - p->answered_ms >= PROBE_MS;
}

/* Considers an endpoint that was last asked at asked_ms; returns whether it is to
 * be asked rather than those considered before.  One that has answered since the
 * last loss comes first, then the one asked least recently, at random among
 * several, as endpoints that end together may be listed one after another. */
bool path_probe_prefers(struct path_probe *c, const struct path *p,
			const struct path_endpoint *e, uint64_t asked_ms,
			uint64_t rnd, uint64_t now)
{
	bool answers = p->since_ms && answers_since_loss(e, p);

	if (asked_ms && now - asked_ms < PROBE_MS)
		return false;
	if (c->n && (c->answers > answers ||
		     (c->answers == answers && asked_ms > c->asked_ms)))
		return false;
	if (c->answers != answers || asked_ms < c->asked_ms)
		c->n = 0;
	c->answers = answers;
	c->asked_ms = asked_ms;
	return rnd % ++c->n == 0;
}

/* Returns how many endpoints must agree. */
static uint32_t least(uint32_t usable)
{
	return usable < ENDPOINTS_MIN ? usable : ENDPOINTS_MIN;
}
