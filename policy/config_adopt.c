/*
 * Decides which version of the configuration an instance has in force.
 *
 * An instance learns of a version by gossip or by polling the head row.  This
 * only starts a fetch of the body, and only a body that passes validation is
 * put in force.  Versions never decrease.  A partitioned instance keeps its
 * last version and reports how long the table hasn't answered.
 */
#include <assert.h>
#include <string.h>

#include "policy/config_adopt.h"

#define POLL_JITTER_MS (CONFIG_POLL_MS / 4)

static uint64_t poll_delay(unsigned int failures, uint64_t rnd);
static void note_version(struct config_adopt *a, uint64_t version,
			 uint64_t peer);

/*
 * Initialises `a` without a version.  The first poll is due at once.
 */
void config_adopt_init(struct config_adopt *a, uint64_t now)
{
	memset(a, 0, sizeof(*a));
	a->table_seen_ms = now;
	a->peers_seen_ms = now;
	a->next_poll_ms = now;
}

/*
 * Returns the action due at `now`.  The caller reports the result of a fetch by
 * config_adopt_body() or config_adopt_fetch_failed(); otherwise the fetch is
 * retried after CONFIG_FETCH_TIMEOUT_MS.  It reports the result of a poll by
 * config_adopt_polled().  Fetches alternate between a peer and the table.
 */
enum config_action config_adopt_step(struct config_adopt *a, uint64_t now)
{
	bool use_peer;

	if (a->latest_known > a->version &&
	    a->latest_known != a->invalid_version && now >= a->next_fetch_ms) {
		a->next_fetch_ms = now + CONFIG_FETCH_TIMEOUT_MS;
		use_peer = a->peer != 0 && a->fetch_attempts % 2 == 0;
		a->fetch_attempts++;
		return use_peer ? CONFIG_FETCH_PEER : CONFIG_FETCH_TABLE;
	}
	if (!a->polling && now >= a->next_poll_ms) {
		a->polling = true;
		return CONFIG_POLL;
	}
	return CONFIG_NO_ACTION;
}

/*
 * Returns the delay until the next poll, ms, with jitter to spread the polls of
 * a fleet and exponential backoff after failures.
 */
static uint64_t poll_delay(unsigned int failures, uint64_t rnd)
{
	uint64_t delay = CONFIG_POLL_MS;

	while (failures-- > 0 && delay < CONFIG_POLL_FAILED_MAX_MS)
		delay *= 2;
	return delay - POLL_JITTER_MS + rnd % (2 * POLL_JITTER_MS + 1);
}

/*
 * Records that `version` exists, at `peer` unless that is 0.  A higher version
 * than the latest known one restarts the fetch.
 */
static void note_version(struct config_adopt *a, uint64_t version,
			 uint64_t peer)
{
	if (version <= a->version || version < a->latest_known)
		return;
	if (version > a->latest_known) {
		a->latest_known = version;
		a->peer = peer;
		a->fetch_attempts = 0;
		a->next_fetch_ms = 0;
		return;
	}
	if (peer != 0)
		a->peer = peer;
}

/*
 * Records that `version` is in force at instance `peer`.
 */
void config_adopt_peer_version(struct config_adopt *a, uint64_t version,
			       uint64_t peer, uint64_t now)
{
	a->peers_seen_ms = now;
	note_version(a, version, peer);
}

/*
 * Records the result of a poll; `version` is that of the head row if `ok`.  A
 * head row older than the version in force is a stale read and is ignored.  A
 * version known only by gossip is dropped after CONFIG_FETCH_ATTEMPTS_MAX
 * failed fetches.
 */
void config_adopt_polled(struct config_adopt *a, bool ok, uint64_t version,
			 uint64_t now, uint64_t rnd)
{
	a->polling = false;
	if (!ok) {
		a->failed_polls++;
		a->next_poll_ms = now + poll_delay(a->failed_polls, rnd);
		return;
	}
	a->failed_polls = 0;
	a->table_seen_ms = now;
	a->next_poll_ms = now + poll_delay(0, rnd);
	if (version < a->latest_known &&
	    a->fetch_attempts >= CONFIG_FETCH_ATTEMPTS_MAX)
		a->latest_known = a->version;
	note_version(a, version, 0);
}

/*
 * Decides about a fetched body.  `digest` is computed from it; `valid` is true
 * if it was parsed and passed validation.  On CONFIG_ADOPTED the caller puts it
 * in force and announces it to its peers.  A version whose body in the table is
 * invalid isn't fetched again.
 */
enum config_outcome config_adopt_body(struct config_adopt *a,
				      enum config_source source,
				      uint64_t version, uint64_t digest,
				      bool valid, uint64_t now)
{
	if (source == CONFIG_FROM_TABLE)
		a->table_seen_ms = now;
	else
		a->peers_seen_ms = now;
	if (version == a->version && version != 0 && digest != a->digest)
		return CONFIG_DIFFERS;
	if (version <= a->version)
		return CONFIG_OLD;
	if (!valid) {
		/* A peer may be faulty; the table is authoritative. */
		if (source == CONFIG_FROM_TABLE)
			a->invalid_version = version;
		return CONFIG_INVALID;
	}
	a->version = version;
	a->digest = digest;
	a->adopted_ms = now;
	if (a->latest_known < version)
		a->latest_known = version;
	a->next_fetch_ms = now;
	a->fetch_attempts = 0;
	return CONFIG_ADOPTED;
}

/*
 * Records a failed fetch.  After a peer, the table is tried at once; after both
 * there is a pause of CONFIG_FETCH_TIMEOUT_MS.
 */
void config_adopt_fetch_failed(struct config_adopt *a, uint64_t now)
{
	if (a->fetch_attempts % 2 == 1 && a->peer != 0)
		a->next_fetch_ms = now;
	else
		a->next_fetch_ms = now + CONFIG_FETCH_TIMEOUT_MS;
}

/*
 * Returns how current the version in force is, for status output and logs.
 */
enum config_freshness config_adopt_freshness(const struct config_adopt *a,
					     uint64_t now)
{
	bool table = now < a->table_seen_ms + CONFIG_STALE_MS;
	bool peers = now < a->peers_seen_ms + CONFIG_STALE_MS;

	if (a->version == 0)
		return CONFIG_NONE;
	if (a->latest_known > a->version)
		return CONFIG_BEHIND;
	if (table)
		return CONFIG_CURRENT;
	return peers ? CONFIG_PEERS_ONLY : CONFIG_STALE;
}
