/*
 * Which process of an endpoint the requests of callers were sent to
 * (policy/process_span.c), and the software versions that streams have by it.
 */
#include "proxyd/exchange.h"

#include "lib/http1_client.h"
#include "proxyd/origins.h"

/* Returns the moments of an attempt, also once its call has ended. */
static struct http1_moments attempt_moments(const struct exchange *x)
{
	return x->call ? http1_call_moments(x->call) : x->moments;
}

/* Handles a word of the process that runs at an endpoint. */
void exchanges_process_noted(struct exchanges *t, const struct endpoint *e)
{
	struct exchange *x;

	TAILQ_FOREACH(x, &t->list, link)
	if (x->phase == EXCHANGE_SENT && handle_equal(x->endpoint, e->self))
		exchange_note_process(x, e);
}

/* Returns whether the process that last stated its start at an endpoint is the one that
 * an attempt was sent to. */
bool exchange_process_proved(const struct exchange *x, const struct endpoint *e)
{
	struct http1_moments m = attempt_moments(x);

	return process_span_covers(&e->process, m.opened, m.sent);
}

/* Returns whether an attempt may have been sent to an earlier process than the one that
 * last stated its start at an endpoint, which no later statement of that can rule out. */
bool exchange_precedes_process(const struct exchange *x,
			       const struct endpoint *e)
{
	return process_span_begins_after(&e->process, attempt_moments(x).sent);
}

/* Notes the start of the process that an attempt was sent to, if that is proved.  What
 * was known before, by the entry of the endpoint or an earlier word, is of no account
 * then.  Not so if the endpoint leaves: it may have closed its listener, and another
 * process may accept at its address while it still answers.  e may be NULL. */
void exchange_note_process(struct exchange *x, const struct endpoint *e)
{
	if (!e || endpoint_is_leaving(e) || !exchange_process_proved(x, e))
		return;
	x->sent_born_ms = e->process.start_ms;
	exchange_note_target_start(x);
}

/* Handles the start that an endpoint has stated, or, if it is excused, that it stated
 * none: its streams are told to their keepers, and those that waited for it go on. */
void exchanges_start_stated(struct exchanges *t, struct handle endpoint,
			    bool excused)
{
	struct exchange *x = TAILQ_FIRST(&t->list);

	while (x) {
		struct exchange *next = TAILQ_NEXT(x, link);

		if (x->phase == EXCHANGE_SENT && x->call &&
		    handle_equal(x->endpoint, endpoint)) {
			x->start_excused = x->start_excused || excused;
			if (!x->first_event_due_ms)
				origins_note_begun(t->proxyd->origins, x);
			stream_start_stated(x);
		}
		x = next;
	}
}

/* Gives the streams that began at an endpoint, and that were not sent to the process
 * that last stated its start there, the present name of that endpoint in place of from.
 * Returns whether a later statement may name one of them. */
bool exchanges_set_later_apart(struct exchanges *t, const struct endpoint *e,
			       uint64_t from)
{
	struct exchange *x;
	bool any = false;

	TAILQ_FOREACH(x, &t->list, link)
	if (x->software == from && handle_equal(x->endpoint, e->self) &&
	    !x->start_excused && !exchange_process_proved(x, e)) {
		x->software = e->unlisted_software;
		origins_note_begun(t->proxyd->origins, x);
		any = any || (x->call && http1_call_connected(x->call) &&
			      !exchange_precedes_process(x, e));
	}
	return any;
}

/* Handles a version that was not known and is now: streams that began at what
 * stood for it are bound to it. */
void exchanges_software_named(struct exchanges *t, uint64_t from, uint64_t to)
{
	struct exchange *x;

	TAILQ_FOREACH(x, &t->list, link)
	{
		if (x->software == from)
			x->software = to;
		if (x->sent_software == from)
			x->sent_software = to;
		if (x->held.sent_software == from)
			x->held.sent_software = to;
	}
}
