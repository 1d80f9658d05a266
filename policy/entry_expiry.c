/*
 * Entries of endpoints that disappear from the store.  An endpoint whose entry
 * was removed while the store works is gone.  An entry that expired during an
 * outage is written again soon after the outage if its endpoint is alive, so
 * the endpoint remains in use until then.
 */
#include "policy/entry_expiry.h"

/* Live endpoints are listed again within this time after an outage. */
#define RELIST_MS 2000

/* A removal this soon after an outage is attributed to the outage. */
#define OUTAGE_REMOVAL_MS 1500

/* Records that the entry was removed.  outage_end_ms is when this instance last
 * saw the store recover, 0 if it saw no outage. */
void entry_expiry_removed(struct entry_expiry *l, uint64_t outage_end_ms,
			  uint64_t now)
{
	l->removed = true;
	l->removed_ms = now;
	l->grace_until_ms = 0;
	if (outage_end_ms && now < outage_end_ms + OUTAGE_REMOVAL_MS)
		l->grace_until_ms = outage_end_ms + RELIST_MS;
}

/* Records that the entry was written again. */
void entry_expiry_restored(struct entry_expiry *l)
{
	l->removed = false;
	l->grace_until_ms = 0;
}

/* Tells whether the endpoint may be given work. */
bool entry_expiry_accepts_work(const struct entry_expiry *l, uint64_t now)
{
	return !l->removed || now < l->grace_until_ms;
}
