/*
 * What the silence of a run means.  Engines fall silent by zones, half of the
 * times without a reset.  A probe tells a dead engine from a busy one within
 * a few milliseconds, so that it is sent early; a run whose engine answers
 * probes is given up only when its next event would be late anyway.
 */
#include "policy/silence.h"

/* Events come every 30 to 60 ms; a prompt that is read beside them stretches
 * a pause to some 250 ms.  A probe costs little, a late stream all its worth. */
#define SUSPECT_MS 120
#define PROBE_AGAIN_MS 150

/* Before its first event a run is silent for a second and more as its prompt
 * is read, and a loss costs it that time only. */
#define PROBE_FIRST_MS 500

/* A run that moves to its copy goes on within 100 ms; without one it reads
 * its prompt again, which takes a second and more. */
#define MOVE_MARGIN_MS 150
#define MOVE_WITHOUT_COPY_FACTOR 3

/* A prompt takes longer beside others; one that starts again elsewhere loses
 * what was read.  An engine that answers probes is given this much more. */
#define FIRST_EVENT_GRACE_MS 1200
#define FIRST_EVENT_FACTOR 2

/* A run that goes on from a copy gives its next event within 100 ms.  Half of
 * the pause that is on time is left to go on where its prompt was read. */
#define COPY_SILENT_PERCENT 50

/*
 * Tells whether a run that was to go on from a copy is given up while its caller
 * has not waited too long.  Answers the pattern of engines that take a part of
 * their requests and never begin them, while their health check is good.  A run
 * whose prompt is being read is not given up early: when a zone is lost many are
 * slow, and each that is read anew delays the others.
 */
static bool hangs(const struct silence_run *run, uint64_t silent)
{
	return run->from_copy && run->can_move && run->spare &&
	       silent * 100 > (uint64_t)run->gap_max_ms * COPY_SILENT_PERCENT;
}

/* Says what to do about a run now. */
enum silence_action silence_judge(const struct silence_run *run, uint64_t now)
{
	uint64_t silent = now > run->heard_ms ? now - run->heard_ms : 0;
	uint64_t patience = run->gap_max_ms;
	uint64_t probe_after = run->first_by_ms ? PROBE_FIRST_MS : SUSPECT_MS;
	uint64_t probe_again = run->first_by_ms ? PROBE_FIRST_MS
						: PROBE_AGAIN_MS;

	if (run->first_by_ms) {
		if (hangs(run, silent))
			return SILENCE_MOVE;
		if (now > run->first_by_ms +
				    (uint64_t)run->expected_first_ms *
					    FIRST_EVENT_FACTOR +
				    FIRST_EVENT_GRACE_MS &&
		    run->can_move)
			return SILENCE_MOVE;
	} else {
		if (run->has_copy && patience > 2 * MOVE_MARGIN_MS)
			patience -= MOVE_MARGIN_MS;
		else
			patience *= MOVE_WITHOUT_COPY_FACTOR;
		if (silent > patience && run->can_move)
			return SILENCE_MOVE;
	}
	if (silent < probe_after)
		return SILENCE_WAIT;
	if (run->probed_ms && now - run->probed_ms < probe_again)
		return SILENCE_WAIT;
	return SILENCE_PROBE;
}
