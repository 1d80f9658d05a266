/*
 * Requests that are sent to an endpoint once more: what the budget of repeats
 * allows, what is counted against it, and loans for runs that wait for it.
 */
#include "proxyd/exchange.h"

#include <string.h>

#include "lib/event_log.h"
#include "proxyd/peers.h"

/* Loans are asked for so often: one is answered within a few milliseconds, and
 * read at the next tick. */
#define BORROW_MS 40

static void say_repeat(const struct exchange *x, bool allowed,
		       const struct repeat_share *seen);
static bool waits_for_repeat(const struct exchange *x);
static struct counter *repeat_counter(const char *step);

/* Makes the counters. */
void exchange_repeats_init(struct exchanges *t)
{
	t->repeats_allowed = repeat_counter("allowed");
	t->repeats_denied = repeat_counter("denied");
	t->repeats_sent = repeat_counter("sent");
	t->repeats_lent = repeat_counter("lent");
}

/* Tells whether the request may be sent to an endpoint once more; it holds the
 * repeat until it is sent or over. */
bool exchange_repeat_allowed(struct exchange *x)
{
	struct proxyd *p = x->proxyd;
	struct repeat_share seen;
	bool allowed;

	if (x->sends >= x->route->attempts_max)
		return false;
	if (!x->arrivals || x->may_repeat)
		return true;
	x->token = repeat_take(endpoints_budget(p->endpoints, x->service),
			       &p->repeat, &p->sharers, proxyd_now(p), &seen);
	allowed = x->token != REPEAT_NONE;
	x->may_repeat = allowed;
	if (!allowed && x->repeat_due) /* asks at each tick */
		return false;
	counter_add(allowed ? p->exchanges->repeats_allowed
			    : p->exchanges->repeats_denied,
		    1);
	say_repeat(x, allowed, &seen);
	return allowed;
}

/* Logs whether a request may be sent once more, with what decided it. */
static void say_repeat(const struct exchange *x, bool allowed,
		       const struct repeat_share *seen)
{
	const struct proxyd *p = x->proxyd;

	event_log(allowed ? EVENT_ROUTINE : EVENT_NOTABLE, "repeat",
		  x->fields.id,
		  "{s:b, s:s, s:i, s:i, s:i, s:i, s:i, s:b, s:i, s:I}",
		  "allowed", allowed, "service", x->service, "share",
		  (int)seen->repeats, "borrowed", (int)seen->borrowed, "used",
		  (int)seen->used, "requests", (int)seen->requests,
		  "slack_among", (int)seen->instances, "settled",
		  seen->full_slack, "listed", (int)peers_listed(p->peers) + 1,
		  "process_ms", (json_int_t)(proxyd_now(p) - p->started_ms));
}

/* Tells whether enough budget is left to send the request once more by choice
 * and not because of a loss. */
bool exchange_repeat_spare(struct exchange *x)
{
	struct proxyd *p = x->proxyd;

	return repeat_optional_allowed(endpoints_budget(p->endpoints,
							x->service),
				       &p->repeat, &p->sharers, proxyd_now(p));
}

/* The request is sent to an endpoint.  After the first one this is the repeat
 * that it holds. */
void exchange_arrives(struct exchange *x)
{
	struct proxyd *p = x->proxyd;

	if (!x->arrivals++)
		return;
	repeat_sent(endpoints_budget(p->endpoints, x->service), &p->repeat,
		    proxyd_now(p));
	x->may_repeat = false;
	counter_add(p->exchanges->repeats_sent, 1);
}

/* The endpoint did not get the request: if that was a repeat, it is still to be
 * sent. */
void exchange_not_arrived(struct exchange *x)
{
	struct proxyd *p = x->proxyd;

	if (!--x->arrivals)
		return;
	repeat_send_failed(endpoints_budget(p->endpoints, x->service),
			   &p->repeat, x->sent_ms, proxyd_now(p));
	x->may_repeat = true;
}

/* The request is over: a repeat that it holds goes back. */
void exchange_repeat_unused(struct exchange *x)
{
	if (x->may_repeat)
		repeat_return(endpoints_budget(x->proxyd->endpoints,
					       x->service),
			      x->token);
	x->may_repeat = false;
}

/* Asks other instances for the repeats that lost runs wait for: for one service
 * at a time, drawn by how many wait for each. */
void exchanges_borrow(struct exchanges *t)
{
	uint64_t now = proxyd_now(t->proxyd);
	const char *service = NULL;
	const struct exchange *x;
	uint32_t waiting = 0;
	uint32_t wanted = 0;

	if (now - t->borrowed_ms < BORROW_MS)
		return;
	TAILQ_FOREACH(x, &t->list, link)
	if (waits_for_repeat(x) && proxyd_random() % ++waiting == 0)
		service = x->service;
	if (!service)
		return;
	TAILQ_FOREACH(x, &t->list, link)
	wanted += waits_for_repeat(x) && !strcmp(x->service, service);
	t->borrowed_ms = now;
	peers_borrow(t->proxyd->peers, service, wanted);
}

/* Tells whether a lost run waits until it may be sent once more. */
static bool waits_for_repeat(const struct exchange *x)
{
	return x->phase == EXCHANGE_WAITING && x->repeat_due;
}

/* Returns the counter of requests that are to be sent once more, by step. */
static struct counter *repeat_counter(const char *step)
{
	return counter_labelled("cdm_repeats_total",
				"Requests to be sent to an endpoint once more",
				COUNTER_TOTAL, "step", step);
}
