/*
 * Which instances poll the store, and how often.  A few instances, the readers,
 * poll it and forward the changes, since the platform bills every call; the
 * others poll for themselves as soon as they receive nothing from the readers,
 * or have missed a change.  Changes come in bursts, as when a zone's endpoints
 * are lost; a short wait after each answer batches them into the next one.
 * During an outage instances back off, with jitter.
 */
#include "policy/store_poll.h"

/* Time for which changes are batched.  It grows with the number of instances
 * that poll for themselves, since the platform bills every call. */
#define BATCH_MS 400
#define BATCH_FOR_OTHERS_MS 150
#define BATCH_PER_INSTANCE_MS 8
#define BATCH_MAX_MS 700

/* Up to so many instances poll the store each for itself: that costs little,
 * and none depends on another one's link. */
#define ALL_READ_MAX 16

/* Instances that read for the others: two, as one may be lost, and one more for
 * each that the store does not answer, up to READERS_MAX.  A store that answers
 * none of these is unreachable for all. */
#define READERS 2
#define READERS_MAX 16

/* Duration of a long poll; the store holds a call for 30 s at most. */
#define WAIT_MS 25000

/* The first instance of a small fleet asks for one table more often, and without
 * a pause as long as nothing changes: that renews the view of all instances; see
 * store_view.c.  The answers also show when the calls for other tables alone are
 * dead; see store_gap.c. */
#define WAIT_FIRST_MS 600
#define WAIT_FIRST_MIN_MS 100 /* if the answers take longer than that */

/* A call that waits is dead if others have newer rows for so long: the time of
 * an answer and of the datagrams' delay. */
#define DEAD_MS 500

/* A reader that is cut off must detect it within a second, so that the others
 * still learn of a change within three seconds. */
#define WAIT_FOR_OTHERS_MS 400
#define FRESH_MS 900

/* An instance polls for itself if it receives nothing from any reader for
 * SILENT_MS, in which other instances replace a lost reader, or if the store
 * has answered no reader for UNREACHABLE_MS. */
#define SILENT_MS 1800
#define UNREACHABLE_MS 5000

/* A change that others have counts as lost after this time, in which a second
 * reader sends it too. */
#define BEHIND_MS 300

#define RETRY_MIN_MS 150
#define RETRY_MAX_MS 800
#define RETRY_PER_INSTANCE_MS 30
#define RETRY_LIMIT_MS 2500 /* a change takes effect within a few seconds */

/* A single failed call is not an outage. */
#define OUTAGE_FAILURES_MIN 2

/* Tells whether there are so few instances that each polls for itself. */
bool store_poll_all_read(size_t instances)
{
	return instances <= ALL_READ_MAX;
}

/* Tells whether an instance is to read the store for the others. */
bool store_poll_designated(const struct store_poll_others *others)
{
	return !store_poll_all_read(others->instances) &&
	       others->preceding < READERS + others->unable &&
	       others->preceding + others->unable < READERS_MAX;
}

/* Tells whether an instance is the first of those that poll each for itself.  It
 * finds out for all of them whether a change was missed by every one. */
bool store_poll_first(const struct store_poll_others *others)
{
	return store_poll_all_read(others->instances) && !others->preceding;
}

/* Returns how long a call waits for changes of a table, ms.  A reader uses a short
 * time, as it must know that the store still answers it.  So does, for the table
 * whose changes are urgent, the first of the instances that poll each for itself:
 * its answers renew the view of all.  age_ms is the age of its view of the table;
 * a pause or a slow answer leaves less time to wait. */
uint32_t store_poll_wait_ms(const struct store_poll_others *others, bool urgent,
			    uint64_t age_ms)
{
	if (store_poll_designated(others))
		return WAIT_FOR_OTHERS_MS;
	if (!urgent || !store_poll_first(others))
		return WAIT_MS;
	if (age_ms > WAIT_FIRST_MS - WAIT_FIRST_MIN_MS)
		return WAIT_FIRST_MIN_MS;
	return WAIT_FIRST_MS - (uint32_t)age_ms;
}

/* Tells whether a call that waits for changes is dead though its connection
 * stands: others have had newer rows for some time, all of which it waited.
 * heard_ms is when that was heard first, called_ms when the call began. */
bool store_poll_call_dead(uint64_t heard_ms, uint64_t called_ms, uint64_t now)
{
	return now - heard_ms > DEAD_MS && now - called_ms > DEAD_MS;
}

/* Tells whether the store answered recently enough for others to rely on this
 * instance as a reader. */
bool store_poll_fresh(uint64_t answered_ms, uint64_t now)
{
	return answered_ms && now - answered_ms < FRESH_MS;
}

/* Decides whether, and why, an instance polls the store itself now. */
enum store_poll_reason store_poll_decide(const struct store_poll_others *others,
					 uint64_t now)
{
	if (store_poll_all_read(others->instances))
		return STORE_POLL_FEW_INSTANCES;
	if (store_poll_designated(others))
		return STORE_POLL_FOR_OTHERS;
	if (!others->answered_ms)
		return STORE_POLL_NO_READER;
	if (others->behind_ms && now - others->behind_ms > BEHIND_MS)
		return STORE_POLL_BEHIND;
	if (now - others->announced_ms > SILENT_MS)
		return STORE_POLL_READERS_SILENT;
	return now - others->answered_ms > UNREACHABLE_MS
		       ? STORE_POLL_READERS_FAILING
		       : STORE_POLL_NOT;
}

/* Returns a phrase for a reason, for logs. */
const char *store_poll_reason_text(enum store_poll_reason reason)
{
	static const char *const texts[] = {
		[STORE_POLL_NOT] = "other instances read",
		[STORE_POLL_FEW_INSTANCES] = "few instances",
		[STORE_POLL_FOR_OTHERS] = "reads for others",
		[STORE_POLL_NO_READER] = "no reader is known",
		[STORE_POLL_BEHIND] = "a change was missed",
		[STORE_POLL_READERS_SILENT] = "the readers are silent",
		[STORE_POLL_READERS_FAILING] = "the store answers no reader",
	};

	return texts[reason];
}

/* Records a failed call.  Returns how long to wait before the next call, ms;
 * rnd is a random number for the jitter. */
uint32_t store_poll_after_failure(struct store_poll *r, size_t instances,
				  uint64_t now, uint64_t rnd)
{
	uint32_t wait =
		RETRY_MAX_MS + (uint32_t)instances * RETRY_PER_INSTANCE_MS;

	if (wait > RETRY_LIMIT_MS)
		wait = RETRY_LIMIT_MS;
	if (!r->failures++)
		r->first_failure_ms = now;
	if (r->failures < 3)
		wait = RETRY_MIN_MS << r->failures;
	return wait / 2 + (uint32_t)(rnd % (wait / 2 + 1));
}

/* Records an answer of the store.  Returns how long to batch changes, ms.  There is
 * nothing to batch after a wait in vain: the first instance then asks again at once,
 * which keeps its view of the store recent. */
uint32_t store_poll_after_success(struct store_poll *r,
				  const struct store_poll_others *others,
				  bool waited_in_vain, uint64_t now)
{
	size_t wait = BATCH_MS + others->instances * BATCH_PER_INSTANCE_MS;

	if (r->failures >= OUTAGE_FAILURES_MIN)
		r->recovered_ms = now;
	r->failures = 0;
	if (waited_in_vain && store_poll_first(others))
		return 0;
	if (store_poll_designated(others))
		wait = BATCH_FOR_OTHERS_MS;
	return wait > BATCH_MAX_MS ? BATCH_MAX_MS : (uint32_t)wait;
}
