/*
 * Decides what to do about a run that sends no events.  Engines fail by zones,
 * in half of the cases without a TCP reset.  A probe distinguishes a dead
 * engine from a busy one within a few milliseconds, so it is sent early; a run
 * whose engine answers probes is moved only when its next event would be late
 * anyway.
 * Silence does not prove that a run is lost, so the caller of these functions
 * ends a run only once another endpoint takes it.
 */
#include "policy/silence.h"

/* Events come every 30 to 60 ms; the prefill of another prompt lengthens a
 * pause to some 250 ms.  A probe costs little, and a late stream counts for
 * nothing. */
#define PROBE_AFTER_MS 120
#define PROBE_AGAIN_MS 150

/* Before its first event a run sends nothing for a second and more during
 * prefill, and a loss costs only that time. */
#define PROBE_FIRST_MS 500

/* A run that moves to its KV-cache copy continues within 100 ms; without a copy
 * its prompt is prefilled again, which takes a second and more. */
#define MOVE_MARGIN_MS 150
#define MOVE_WITHOUT_COPY_FACTOR 3

/* Additional time for the first event on an engine that answers probes: prefill
 * takes longer beside other prompts, and a move loses what was prefilled. */
#define FIRST_EVENT_GRACE_MS 1200
#define FIRST_EVENT_FACTOR 2

/* While new connections fail, open ones may live on: a run there is moved only if
 * it is silent for longer than beside another prompt's prefill. */
#define PATH_SILENT_MS 300

/* A run that resumes from a copy sends its next event within 100 ms.  After
 * this share of the allowed pause it is moved; the rest is left to continue on
 * the endpoint that prefilled its prompt. */
#define COPY_SILENT_PERCENT 50

/* Between two attempts to move a run that no endpoint takes. */
#define MOVE_AGAIN_MS 100

static bool can_move(const struct silence_run *run, uint64_t now);
static bool should_move(const struct silence_run *run, uint64_t silent,
			uint64_t now);

/*
 * Tells whether a run that was to resume from a copy is moved before its caller
 * has waited too long.  Handles engines that accept some of their requests and
 * never start them, while their health check succeeds.  A run in prefill is not
 * moved early: when a zone is lost many are slow, and each prompt that is
 * prefilled again delays the others.
 */
static bool is_hung(const struct silence_run *run, uint64_t silent)
{
	return run->from_copy && run->has_spare_budget &&
	       silent * 100 > (uint64_t)run->gap_max_ms * COPY_SILENT_PERCENT;
}

/* Decides what to do about a run now. */
enum silence_action silence_decide(const struct silence_run *run, uint64_t now)
{
	uint64_t silent = now > run->last_event_ms ? now - run->last_event_ms
						   : 0;
	uint64_t probe_after = run->first_event_due_ms ? PROBE_FIRST_MS
						       : PROBE_AFTER_MS;
	uint64_t probe_again = run->first_event_due_ms ? PROBE_FIRST_MS
						       : PROBE_AGAIN_MS;

	if (can_move(run, now) && should_move(run, silent, now))
		return SILENCE_MOVE;
	if (silent < probe_after || run->endpoint_lost)
		return SILENCE_WAIT;
	if (run->probed_ms && now - run->probed_ms < probe_again)
		return SILENCE_WAIT;
	return SILENCE_PROBE;
}

/* Tells whether another endpoint may continue the run, and whether that is to
 * be tried now. */
static bool can_move(const struct silence_run *run, uint64_t now)
{
	return run->attempts_left && run->resumable &&
	       (!run->move_tried_ms ||
		now - run->move_tried_ms >= MOVE_AGAIN_MS);
}

/* Tells whether a run that has been silent for some ms is better continued at
 * another endpoint.  A run that receives events is not lost, whatever is
 * believed of its endpoint. */
static bool should_move(const struct silence_run *run, uint64_t silent,
			uint64_t now)
{
	uint64_t timeout = run->gap_max_ms;

	if (run->endpoint_lost)
		return run->first_event_due_ms || silent >= PROBE_AFTER_MS;
	if (run->path_lost)
		return run->first_event_due_ms ? now > run->first_event_due_ms
					       : silent >= PATH_SILENT_MS;
	if (run->first_event_due_ms)
		return is_hung(run, silent) ||
		       now > run->first_event_due_ms +
				       (uint64_t)run->expected_first_event_ms *
					       FIRST_EVENT_FACTOR +
				       FIRST_EVENT_GRACE_MS;
	if (run->has_copy && timeout > 2 * MOVE_MARGIN_MS)
		timeout -= MOVE_MARGIN_MS;
	else
		timeout *= MOVE_WITHOUT_COPY_FACTOR;
	return silent > timeout;
}
