/*
 * Who asks the store, and how often.  A few instances read it and pass the
 * changes on, since the platform bills every call; the others read for
 * themselves as soon as they hear nothing of those, or have missed a change.
 * Changes come in bursts, as when a zone's
 * endpoints vanish; a short wait after each answer gathers them into one more
 * answer.  During an outage instances ask less and less often, and not at the
 * same moment.
 */
#include "policy/reread.h"

/* Changes are gathered for this time; with many instances longer, since each
 * asks for itself, and the platform bills every call. */
#define GATHER_MS 400
#define GATHER_FOR_OTHERS_MS 150
#define GATHER_PER_INSTANCE_MS 8
#define GATHER_MAX_MS 700

/* So few instances read the store each for itself: that costs little, and
 * none depends on another one's link. */
#define ALL_READ_MAX 16

/* Instances that read for the others: two, as one may be lost; and one more for
 * each that the store does not answer, up to so many.  If it answers none of
 * these it is away for all. */
#define READERS 2
#define READERS_MAX 16

/* The store keeps a call waiting for 30 s at most. */
#define FOLLOW_MS 25000

/* A reader that is cut off must notice within a second, so that the others
 * still learn of a change within three. */
#define FOLLOW_FOR_OTHERS_MS 400
#define FRESH_MS 900

/* Without a word of any reader for this time, in which others step in for one
 * that was lost, an instance is cut off from them and reads for itself; so it
 * does if the store has answered none for the longer time. */
#define SILENT_MS 1800
#define AWAY_MS 5000

/* A change that others have and this instance has not is on its way for this
 * time, in which a second reader tells it too; then it counts as lost. */
#define BEHIND_MS 300

#define RETRY_MIN_MS 150
#define RETRY_MAX_MS 800
#define RETRY_PER_INSTANCE_MS 30
#define RETRY_LIMIT_MS 2500 /* a change is in force within a few seconds */

/* A single failed call is not an outage. */
#define OUTAGE_FAILURES 2

/* Tells whether there are so few instances that each reads for itself. */
bool reread_few(size_t instances)
{
	return instances <= ALL_READ_MAX;
}

/* Tells whether an instance reads the store for the others. */
bool reread_designated(const struct reread_others *others)
{
	return !reread_few(others->instances) &&
	       others->before < READERS + others->unable &&
	       others->before + others->unable < READERS_MAX;
}

/* Returns how long a call waits for changes, ms.  One that reads for others
 * must know that the store still answers it. */
uint32_t reread_follow_ms(bool for_others)
{
	return for_others ? FOLLOW_FOR_OTHERS_MS : FOLLOW_MS;
}

/* Tells whether the store answered so lately that others may rely on it. */
bool reread_fresh(uint64_t answered_ms, uint64_t now)
{
	return answered_ms && now - answered_ms < FRESH_MS;
}

/* Tells whether, and why, an instance asks the store now. */
enum reread_reason reread_itself(const struct reread_others *others,
				 uint64_t now)
{
	if (reread_few(others->instances))
		return REREAD_FEW;
	if (reread_designated(others))
		return REREAD_FOR_OTHERS;
	if (!others->reading_ms)
		return REREAD_NONE_READS;
	if (others->behind_ms && now - others->behind_ms > BEHIND_MS)
		return REREAD_BEHIND;
	if (now - others->said_ms > SILENT_MS)
		return REREAD_SILENT;
	return now - others->reading_ms > AWAY_MS ? REREAD_AWAY : REREAD_NOT;
}

/* Returns a phrase for a reason, for logs. */
const char *reread_reason_text(enum reread_reason reason)
{
	static const char *const texts[] = {
		[REREAD_NOT] = "left to others",
		[REREAD_FEW] = "few instances",
		[REREAD_FOR_OTHERS] = "reads for others",
		[REREAD_NONE_READS] = "none is known to read",
		[REREAD_BEHIND] = "a change was missed",
		[REREAD_SILENT] = "the readers are silent",
		[REREAD_AWAY] = "the store answers no reader",
	};

	return texts[reason];
}

/* Returns how long to wait before the next call, ms. */
uint32_t reread_after_failure(struct reread *r, size_t instances, uint64_t now,
			      uint64_t rnd)
{
	uint32_t wait =
		RETRY_MAX_MS + (uint32_t)instances * RETRY_PER_INSTANCE_MS;

	if (wait > RETRY_LIMIT_MS)
		wait = RETRY_LIMIT_MS;
	if (!r->failures++)
		r->failed_ms = now;
	if (r->failures < 3)
		wait = RETRY_MIN_MS << r->failures;
	return wait / 2 + (uint32_t)(rnd % (wait / 2 + 1));
}

/* The store answered; returns how long to gather changes, ms. */
uint32_t reread_after_success(struct reread *r, size_t instances,
			      bool for_others, uint64_t now)
{
	size_t wait = GATHER_MS + instances * GATHER_PER_INSTANCE_MS;

	if (for_others)
		wait = GATHER_FOR_OTHERS_MS;

	if (r->failures >= OUTAGE_FAILURES)
		r->back_ms = now;
	r->failures = 0;
	return wait > GATHER_MAX_MS ? GATHER_MAX_MS : (uint32_t)wait;
}
