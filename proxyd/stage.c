/*
 * Runs in two stages: prefill at one engine, then decode at another one,
 * where the prefill of other prompts does not interrupt it.  Each such move is
 * a repeat, so it is made only while the repeat budget keeps enough for lost
 * runs.
 */
#include "proxyd/exchange.h"

#include "lib/event_log.h"
#include "proxyd/peers.h"

/* Returns whether a run that starts now may take two stages. */
bool stage_is_possible(struct exchange *x)
{
	if (!x->engine || !x->engine->moves || x->route->kind != KIND_STREAM ||
	    !x->route->resumable || x->sends + 1 >= x->route->attempts_max)
		return false;
	return exchange_optional_repeat_allowed(x);
}

/* Chooses the endpoint of the decode stage.  If the handle names none, the run
 * stays where it is, in one stage. */
struct handle stage_choose_endpoint(struct exchange *x)
{
	const struct endpoint_criteria criteria = exchange_endpoint_criteria(x);
	const struct handle none = { 0 };
	struct handle to = none;

	if (stage_is_possible(x))
		to = endpoints_place_decode_phase(x->proxyd->endpoints,
						  &criteria, x->endpoint);
	if (handle_is_none(to))
		x->staged = false;
	return to;
}

/* Moves the run to the endpoint that now holds its KV cache. */
void stage_copy_done(struct exchange *x)
{
	struct kv_copy copy = x->copy; /* its call and answer are not used */
	struct endpoint *to = endpoint_get(x->proxyd->endpoints, copy.endpoint);

	x->staged = false;
	if (!x->caller || !kv_copy_usable(x) || limits_in_force(to) ||
	    !exchange_optional_repeat_allowed(x) || !exchange_repeat_allowed(x))
		return;
	counter_add(x->proxyd->exchanges->moved_decode, 1);
	event_log(EVENT_ROUTINE, "settle", x->fields.id, "{s:I, s:I}",
		  "after_ms", (json_int_t)(proxyd_now(x->proxyd) - x->sent_ms),
		  "last_event", (json_int_t)x->last_event_id);
	kv_copy_release(x, true);
	if (!handover_begin(x, false))
		attempt_cancel(x);
	attempt_start(x, copy.endpoint, &copy);
}
