/*
 * Runs in two stages: the prompt is read at one engine, and the run goes on at
 * another one, where no prompts halt it.  Each such move is a request sent once
 * more, so that it is made only while the budget of repeats has enough left for
 * losses.
 */
#include "proxyd/exchange.h"

#include "lib/event_log.h"
#include "proxyd/peers.h"

/* Tells whether a run that begins now will be in two stages. */
bool stage_planned(struct exchange *x)
{
	if (!x->engine || !x->engine->moves || x->route->kind != KIND_STREAM ||
	    !x->route->resumable || x->sends + 1 >= x->route->attempts_max)
		return false;
	return exchange_repeat_spare(x);
}

/* Chooses where the run goes on; it stays, in one stage, if the handle names
 * none. */
struct handle stage_choose(struct exchange *x)
{
	const struct endpoint_criteria wish = exchange_wish(x);
	const struct handle none = { 0 };
	struct handle to = none;

	if (stage_planned(x))
		to = endpoints_place_decode_phase(x->proxyd->endpoints, &wish,
						  x->at);
	if (handle_is_none(to))
		x->staged = false;
	return to;
}

/* The run's memory lies where it goes on: it moves. */
void stage_copied(struct exchange *x)
{
	struct run_copy copy = x->copy; /* its order and answer stay behind */

	x->staged = false;
	if (!x->caller || !copy_usable(x) || !exchange_repeat_spare(x) ||
	    !exchange_repeat_allowed(x))
		return;
	counter_add(x->proxyd->exchanges->settled, 1);
	event_log(EVENT_ROUTINE, "settle", x->fields.id, "{s:I, s:I}",
		  "after_ms", (json_int_t)(proxyd_now(x->proxyd) - x->sent_ms),
		  "last_event", (json_int_t)x->last_event);
	copy_end(x, true);
	attempt_cancel(x);
	attempt_start(x, copy.at, &copy);
}
