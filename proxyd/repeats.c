/*
 * Repeats, that is requests sent to an endpoint again: takes them from the
 * repeat budget, counts them, and borrows from other instances for runs that
 * wait.
 */
#include "proxyd/exchange.h"

#include <string.h>

#include "lib/event_log.h"
#include "proxyd/peers.h"
#include "proxyd/witness.h"

/* Interval between requests for loans: an answer arrives within a few
 * milliseconds and is read at the next tick. */
#define BORROW_INTERVAL_MS 40

/* Within this time a probe or a report shows whether an endpoint has ended. */
#define PROBED_WITHIN_MS 200

static bool has_ended(const struct exchange *x,
		      const struct attempt_target *target);
static bool is_open(const struct exchange *x,
		    const struct attempt_target *target);
static bool was_cut_off(const struct exchange *x,
			const struct attempt_target *target);
static void log_repeat(const struct exchange *x, bool allowed,
		       const struct repeat_share *seen);
static bool waits_for_repeat(const struct exchange *x);
static struct counter *repeat_counter(const char *step);

/* Registers the counters of repeats. */
void exchange_repeats_init(struct exchanges *t)
{
	t->repeats_allowed = repeat_counter("allowed");
	t->repeats_denied = repeat_counter("denied");
	t->repeats_sent = repeat_counter("sent");
	t->repeats_lent = repeat_counter("lent");
}

/* Returns the attempts that count for the route's limit.  Of the last
 * ENDPOINT_AVOID_MAX, those at processes that have ended don't, nor do those of a
 * begun stream at processes that are cut off.  Those by other instances do, as it is
 * not known here what became of them. */
uint32_t exchange_attempts_used(const struct exchange *x)
{
	uint32_t n = x->sends < ENDPOINT_AVOID_MAX ? x->sends
						   : ENDPOINT_AVOID_MAX;
	uint32_t used = x->sends + x->fields.relay_attempts;
	uint32_t i;

	for (i = 0; i < n; i++)
		used -= has_ended(x, &x->targets[i]) ||
			was_cut_off(x, &x->targets[i]);
	return used;
}

/* Returns whether the route allows another attempt. */
bool exchange_has_attempts(const struct exchange *x)
{
	uint32_t used = x->sends + x->fields.relay_attempts;

	return used < x->route->attempts_max ||
	       exchange_attempts_used(x) < x->route->attempts_max;
}

/* Returns whether a request has no attempt left, and it is not being found out
 * whether the endpoint of the last one has ended, or serves on. */
bool exchange_attempts_exhausted(const struct exchange *x)
{
	const struct endpoint *e =
		endpoint_get(x->proxyd->endpoints, x->endpoint);

	return !exchange_has_attempts(x) &&
	       !(e && (e->probe || e->rediscovering || witness_awaited(e)));
}

/* Records the start of the process that the current attempt was sent to, which has
 * been proved. */
void exchange_note_target_start(struct exchange *x)
{
	struct attempt_target *target;

	if (!x->sends)
		return;
	target = &x->targets[(x->sends - 1) % ENDPOINT_AVOID_MAX];
	if (!target->born_ms && handle_equal(target->endpoint, x->endpoint))
		target->born_ms = x->sent_born_ms;
}

/* Returns whether a process that a request was sent to is known to have ended.  One
 * that refuses connections may serve on, and is asked. */
static bool has_ended(const struct exchange *x,
		      const struct attempt_target *target)
{
	const struct endpoint *e =
		endpoint_get(x->proxyd->endpoints, target->endpoint);

	if (target->relayed)
		return false;
	if (e && e->state == ENDPOINT_DOWN &&
	    (is_open(x, target) || witness_awaited(e) || witness_serves_on(e)))
		return false;
	return !e || e->ended ||
	       (target->born_ms && endpoint_known_start(e) != target->born_ms);
}

/* Returns whether a request has a connection of its own to a process that it was sent
 * to. */
static bool is_open(const struct exchange *x,
		    const struct attempt_target *target)
{
	return (x->call && http1_call_connected(x->call) &&
		handle_equal(x->endpoint, target->endpoint)) ||
	       (x->held.call && http1_call_connected(x->held.call) &&
		handle_equal(x->held.endpoint, target->endpoint));
}

/* Returns whether this instance has lost its path to the service and has had no
 * answer from a process that a begun stream was sent to: before the loss is known,
 * the stream may use up its attempts on the lost path. */
static bool was_cut_off(const struct exchange *x,
			const struct attempt_target *target)
{
	return x->response_started && !target->relayed && !target->answered &&
	       endpoints_path_lost(x->proxyd->endpoints, x->service);
}

/* Returns whether the request may be sent to an endpoint again.  If so, it
 * holds a repeat of the budget until it is sent or finished. */
bool exchange_repeat_allowed(struct exchange *x)
{
	struct proxyd *p = x->proxyd;
	struct repeat_share seen;
	bool allowed;

	if (!exchange_has_attempts(x))
		return false;
	if (!x->deliveries || x->repeat_reserved)
		return true;
	x->repeat_kind = repeat_take(endpoints_budget(p->endpoints, x->service),
				     &p->repeat, &p->repeat_group,
				     proxyd_now(p), &seen);
	allowed = x->repeat_kind != REPEAT_NONE;
	x->repeat_reserved = allowed;
	if (!allowed && x->awaits_repeat) /* called at each tick */
		return false;
	counter_add(allowed ? p->exchanges->repeats_allowed
			    : p->exchanges->repeats_denied,
		    1);
	log_repeat(x, allowed, &seen);
	return allowed;
}

/* Logs whether a request may be sent again, and the state that decided it. */
static void log_repeat(const struct exchange *x, bool allowed,
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
		  "process_ms", (json_int_t)(proxyd_now(p) - p->start_ms));
}

/* Returns whether enough budget is left for an optional repeat, one that no
 * loss makes necessary. */
bool exchange_optional_repeat_allowed(struct exchange *x)
{
	struct proxyd *p = x->proxyd;

	return repeat_optional_allowed(
		endpoints_budget(p->endpoints, x->service), &p->repeat,
		&p->repeat_group, proxyd_now(p));
}

/* Has a request without attempts left wait for the probe of its endpoint, and an
 * engine asked for its start, as one that has started again accepts connections: if
 * it has ended, the attempt there does not count.  Returns false if the request has
 * attempts left or nothing is to be learned. */
bool exchange_await_probe(struct exchange *x)
{
	struct endpoints *endpoints = x->proxyd->endpoints;
	struct endpoint *e = endpoint_get(endpoints, x->endpoint);

	if (exchange_has_attempts(x) || !e)
		return false;
	if (x->engine) {
		e->start_asked_ms = 0; /* asked before the attempt ended */
		endpoint_want_start(endpoints, e);
	}
	if (e->ended)
		witness_ask(e);
	if (exchange_attempts_exhausted(x))
		return false;
	event_log(EVENT_NOTABLE, "awaits-probe", x->fields.id,
		  "{s:s, s:i, s:i, s:i}", "endpoint", e->id, "sends",
		  (int)x->sends, "attempts_max", (int)x->route->attempts_max,
		  "at_most_ms", PROBED_WITHIN_MS);
	exchange_wait_for(x, PROBED_WITHIN_MS);
	x->awaits_repeat = true;
	return true;
}

/* Counts a request sent to an endpoint; any but the first uses the repeat that
 * the request holds. */
void exchange_count_delivery(struct exchange *x)
{
	struct proxyd *p = x->proxyd;

	if (!x->deliveries++)
		return;
	repeat_sent(endpoints_budget(p->endpoints, x->service), &p->repeat,
		    proxyd_now(p));
	x->repeat_reserved = false;
	counter_add(p->exchanges->repeats_sent, 1);
}

/* Takes back the count of a request that the endpoint did not receive; if it
 * was a repeat, the request holds that repeat again. */
void exchange_delivery_failed(struct exchange *x)
{
	struct proxyd *p = x->proxyd;

	if (!--x->deliveries)
		return;
	repeat_send_failed(endpoints_budget(p->endpoints, x->service),
			   &p->repeat, x->sent_ms, proxyd_now(p));
	x->repeat_reserved = true;
}

/* Returns the repeat that a finished request still holds to the budget. */
void exchange_return_repeat(struct exchange *x)
{
	if (x->repeat_reserved)
		repeat_return(endpoints_budget(x->proxyd->endpoints,
					       x->service),
			      x->repeat_kind);
	x->repeat_reserved = false;
}

/* Asks other instances for the repeats that lost runs wait for.  Each call
 * covers one service, picked at random in proportion to its waiting runs. */
void exchanges_borrow_repeats(struct exchanges *t)
{
	uint64_t now = proxyd_now(t->proxyd);
	const char *service = NULL;
	const struct exchange *x;
	uint32_t waiting = 0;
	uint32_t wanted = 0;

	if (now - t->last_borrow_ms < BORROW_INTERVAL_MS)
		return;
	TAILQ_FOREACH(x, &t->list, link)
	if (waits_for_repeat(x) && proxyd_random() % ++waiting == 0)
		service = x->service;
	if (!service)
		return;
	TAILQ_FOREACH(x, &t->list, link)
	wanted += waits_for_repeat(x) && !strcmp(x->service, service);
	t->last_borrow_ms = now;
	peers_borrow(t->proxyd->peers, service, wanted);
}

/* Returns whether a run that is lost or silent waits for a repeat. */
static bool waits_for_repeat(const struct exchange *x)
{
	return x->phase != EXCHANGE_FINISHED && x->awaits_repeat &&
	       !x->repeat_reserved && /* else it waits for something else */
	       exchange_has_attempts(x);
}

/* Returns the counter of repeats with a step label. */
static struct counter *repeat_counter(const char *step)
{
	return counter_labelled("cdm_repeats_total",
				"Requests to be sent to an endpoint once more",
				COUNTER_TOTAL, "step", step);
}
