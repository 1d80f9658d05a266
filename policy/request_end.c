/*
 * Decides how a request that was read whole has ended: with an answer, a refusal
 * or a failure that its caller was given, without one for a reason that the rules
 * allow, or without one and without such a reason.  The last is a loss, whatever
 * has led to it.
 */
#include "policy/request_end.h"

#include <stddef.h>

/* Returns how a request has ended.  What its caller was given counts first.  An
 * end with several excuses has the first one of the list. */
enum request_end request_end_decide(const struct request_end_signs *s)
{
	if (s->given && s->refused)
		return REQUEST_END_REFUSED;
	if (s->given && s->failed)
		return REQUEST_END_FAILED;
	if (s->given)
		return REQUEST_END_ANSWERED;
	if (s->caller_left)
		return REQUEST_END_CALLER_LEFT;
	if (s->out_of_time)
		return REQUEST_END_OUT_OF_TIME;
	if (s->grace_over)
		return REQUEST_END_GRACE_OVER;
	if (s->broken_off)
		return REQUEST_END_BROKEN_OFF;
	return REQUEST_END_UNEXCUSED;
}

/* Returns whether the caller was given a whole answer of any kind. */
bool request_end_is_answered(enum request_end end)
{
	return end <= REQUEST_END_FAILED;
}

/* Returns the name of an end, for logs and counters. */
const char *request_end_name(enum request_end end)
{
	static const char *const names[] = {
		[REQUEST_END_ANSWERED] = "answered",
		[REQUEST_END_REFUSED] = "refused",
		[REQUEST_END_FAILED] = "failed",
		[REQUEST_END_CALLER_LEFT] = "caller left",
		[REQUEST_END_OUT_OF_TIME] = "out of time",
		[REQUEST_END_GRACE_OVER] = "grace over",
		[REQUEST_END_BROKEN_OFF] = "broken off",
		[REQUEST_END_UNEXCUSED] = "unexcused",
	};

	return names[end];
}

/* Returns what is missing, or in excess, for an unfinished request to be brought
 * to its end by something else than its deadline; NULL if nothing is. */
const char *request_unattended(const struct request_attendance *a)
{
	if (a->waits)
		return a->wait_ends || a->awaits_origin
			       ? NULL
			       : "waits without an end";
	if (!a->called && !a->answer_ended)
		return "sent without a call";
	if (a->called && a->answer_ended)
		return "its answer has ended beside a call";
	return NULL;
}
