/*
 * Ends of answers without a length.  Such an answer ends with its connection, and
 * the kernel closes the connections of a process that is killed in order, too.
 * So its end is its own only if the process that wrote it has outlived it.
 */
#include "policy/answer_end.h"

/* A sound endpoint may be silent for a second or so. */
#define ANSWER_MAX_MS 2000

/* An endpoint that lives accepts a connection within some milliseconds; a second
 * attempt follows one that was lost. */
#define CONNECT_MAX_MS 500

/* An endpoint that has written its answer closes the connection within this time;
 * one that is killed in the middle does so at any time. */
#define AT_ONCE_MS 5

/* The ends of all connections of a process that is killed arrive within this
 * time: its host sends them together, and once more after 200 ms. */
#define HELD_MIN_MS 500

/* What an endpoint has answered before it ended, or answers while it refuses new
 * connections, arrives within this time. */
#define WITNESS_WAIT_MS 300

/* Runs without an event after which a stream is taken for whole: a single one
 * may have been broken off before its first event.  Where no second run is
 * allowed, one is enough, as its endpoint has ended it itself. */
#define EMPTY_RUNS 2

/* Tells whether an endpoint has given no sign for as long as one that lives, and
 * has just fallen silent, takes at most. */
bool answer_end_overdue(const struct answer_end_signs *s)
{
	return s->endpoint == ENDPOINT_SIGN_NONE &&
	       s->waited_ms >= (s->reached ? ANSWER_MAX_MS : CONNECT_MAX_MS);
}

/* Decides what an answer is whose connection was closed in order.  A stream that no
 * other endpoint takes waits on for its own, which may be sound and silent. */
enum answer_end answer_end_decide(const struct answer_end_signs *s)
{
	switch (s->endpoint) {
	case ENDPOINT_SIGN_ENDED:
		return ANSWER_END_CUT;
	case ENDPOINT_SIGN_LIVES:
		return s->empty && s->may_run_again &&
				       s->empty_before + 1 < EMPTY_RUNS
			       ? ANSWER_END_EMPTY
			       : ANSWER_END_WHOLE;
	case ENDPOINT_SIGN_LEFT:
		return ANSWER_END_LEFT;
	case ENDPOINT_SIGN_UNKNOWN:
		return ANSWER_END_UNKNOWN;
	case ENDPOINT_SIGN_NONE:
		break;
	}
	return answer_end_overdue(s) && !s->stays ? ANSWER_END_UNKNOWN
						  : ANSWER_END_WAIT;
}

/* Tells whether a plain answer is passed on as it came, without a length.  One that
 * may not be whole is only if its request may not run again, as it would be lost
 * otherwise; if its end came at once, ended_after_ms after its last bytes; and if
 * its endpoint accepted a connection after it (outlived). */
bool answer_end_delivers(enum answer_end end, bool may_run_again, bool outlived,
			 uint64_t ended_after_ms)
{
	switch (end) {
	case ANSWER_END_WHOLE:
		return true;
	case ANSWER_END_UNKNOWN:
	case ANSWER_END_LEFT:
		return !may_run_again && outlived &&
		       ended_after_ms <= AT_ONCE_MS;
	default:
		return false;
	}
}

/* Tells from the start that an endpoint states after the end of an answer, and
 * the one that was known before the request was sent to it, whether its process
 * is still the same.  Times of the endpoint's clock, 0 if there is none.  One that
 * states none is taken for the same. */
enum endpoint_sign answer_end_start_sign(uint64_t known_ms, uint64_t stated_ms)
{
	if (!stated_ms || known_ms == stated_ms)
		return ENDPOINT_SIGN_LIVES;
	return known_ms ? ENDPOINT_SIGN_ENDED : ENDPOINT_SIGN_UNKNOWN;
}

/* Tells from the answer to a request on an older connection, or from its end, whether
 * the process that wrote an answer has outlived it.  A connection ends at one process,
 * and an address has one process at a time, so that the process which answers on a
 * connection from before the request has run all that time.  One that is only open
 * shows nothing: it may have gone silent.  A process that leaves and is silent has
 * held it if its host received the request, and the connection ended long after. */
enum endpoint_sign answer_end_witness_sign(const struct answer_end_witness *w)
{
	if (w->answered && w->states_start && w->stated_ms &&
	    w->stated_ms == w->known_ms)
		return ENDPOINT_SIGN_LIVES;
	if (w->answered && w->older && !(w->states_start && w->leaves))
		return ENDPOINT_SIGN_LIVES;
	if (!w->answered && w->leaves && w->same_process && w->received &&
	    w->held_ms >= HELD_MIN_MS)
		return ENDPOINT_SIGN_LIVES;
	return ENDPOINT_SIGN_NONE;
}

/* Returns how long an answer waits for requests on older connections once its
 * endpoint counts as ended, ms.  One that leaves may be silent and serve on; another
 * endpoint is not kept waiting for that. */
uint64_t answer_end_witness_wait_ms(bool leaves, bool may_run_again)
{
	return leaves && !may_run_again ? ANSWER_MAX_MS : WITNESS_WAIT_MS;
}

/* Returns the name of a decision, for logs and metrics. */
const char *answer_end_name(enum answer_end end)
{
	static const char *const names[] = {
		[ANSWER_END_WAIT] = "waits",  [ANSWER_END_WHOLE] = "whole",
		[ANSWER_END_CUT] = "cut",     [ANSWER_END_UNKNOWN] = "unknown",
		[ANSWER_END_EMPTY] = "empty", [ANSWER_END_LEFT] = "left",
	};

	return names[end];
}
