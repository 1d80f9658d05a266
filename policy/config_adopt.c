/*
 * Which version of the configuration an instance has in force.
 *
 * A version is heard of by gossip or by polling the head row; hearing of it
 * only starts the fetching of its body, and only a body that checks is put in
 * force.  Versions only grow.  An instance that is cut off keeps the last
 * version that it has and says how long it hasn't heard from the table.
 */
#include <assert.h>
#include <string.h>

#include "policy/config_adopt.h"

#define POLL_JITTER_MS (CONFIG_POLL_MS / 4)

static uint64_t poll_delay(unsigned int failures, uint64_t rnd);
static void learn(struct config_adopt *a, uint64_t version, uint64_t peer);

/*
 * Starts without a version.  The first poll is due at once.
 */
void config_adopt_init(struct config_adopt *a, uint64_t now)
{
	memset(a, 0, sizeof(*a));
	a->table_at = now;
	a->peers_at = now;
	a->poll_at = now;
}

/*
 * Returns what to do at `now`.  A fetch is answered by config_adopt_body() or
 * config_adopt_fetch_failed(), or given out again after
 * CONFIG_FETCH_TIMEOUT_MS; a poll is answered by config_adopt_polled().  Peers
 * and the table are asked for the body in turn.
 */
enum config_action config_adopt_step(struct config_adopt *a, uint64_t now)
{
	bool from_peer;

	if (a->known > a->version && a->known != a->bad_version &&
	    now >= a->fetch_at) {
		a->fetch_at = now + CONFIG_FETCH_TIMEOUT_MS;
		from_peer = a->peer != 0 && a->fetches % 2 == 0;
		a->fetches++;
		return from_peer ? CONFIG_FETCH_PEER : CONFIG_FETCH_TABLE;
	}
	if (!a->polling && now >= a->poll_at) {
		a->polling = true;
		return CONFIG_POLL;
	}
	return CONFIG_NOTHING;
}

/* Spreads the polls of a fleet and slows them down while they fail. */
static uint64_t poll_delay(unsigned int failures, uint64_t rnd)
{
	uint64_t delay = CONFIG_POLL_MS;

	while (failures-- > 0 && delay < CONFIG_POLL_FAILED_MAX_MS)
		delay *= 2;
	return delay - POLL_JITTER_MS + rnd % (2 * POLL_JITTER_MS + 1);
}

static void learn(struct config_adopt *a, uint64_t version, uint64_t peer)
{
	if (version <= a->version || version < a->known)
		return;
	if (version > a->known) {
		a->known = version;
		a->peer = peer;
		a->fetches = 0;
		a->fetch_at = 0;
		return;
	}
	if (peer != 0)
		a->peer = peer;
}

/*
 * Tells which version is in force at another instance.
 */
void config_adopt_heard(struct config_adopt *a, uint64_t version, uint64_t peer,
			uint64_t now)
{
	a->peers_at = now;
	learn(a, version, peer);
}

/*
 * Tells the answer to a poll: `version` is that of the head row if `ok`.  A
 * head row behind the version in force is an old reading and changes nothing.
 * A version that was only heard of and that nobody can deliver is given up.
 */
void config_adopt_polled(struct config_adopt *a, bool ok, uint64_t version,
			 uint64_t now, uint64_t rnd)
{
	a->polling = false;
	if (!ok) {
		a->failures++;
		a->poll_at = now + poll_delay(a->failures, rnd);
		return;
	}
	a->failures = 0;
	a->table_at = now;
	a->poll_at = now + poll_delay(0, rnd);
	if (version < a->known && a->fetches >= CONFIG_FETCHES_MAX)
		a->known = a->version;
	learn(a, version, 0);
}

/*
 * Decides about a body: `digest` is worked out from it, `valid` tells whether
 * it could be read and checked.  On CONFIG_ADOPTED the caller puts it in force
 * and tells its peers.  An invalid body isn't asked for again; only a later
 * version is.
 */
enum config_outcome config_adopt_body(struct config_adopt *a,
				      enum config_source source,
				      uint64_t version, uint64_t digest,
				      bool valid, uint64_t now)
{
	if (source == CONFIG_FROM_TABLE)
		a->table_at = now;
	else
		a->peers_at = now;
	if (version == a->version && version != 0 && digest != a->digest)
		return CONFIG_DIFFERS;
	if (version <= a->version)
		return CONFIG_OLD;
	if (!valid) {
		/* A peer may be at fault; what the table holds is final. */
		if (source == CONFIG_FROM_TABLE)
			a->bad_version = version;
		return CONFIG_INVALID;
	}
	a->version = version;
	a->digest = digest;
	a->adopted_at = now;
	if (a->known < version)
		a->known = version;
	a->fetch_at = now;
	a->fetches = 0;
	return CONFIG_ADOPTED;
}

/*
 * Tells that a body couldn't be had; the next source is asked at once, and
 * after a whole round of them there is a pause.
 */
void config_adopt_fetch_failed(struct config_adopt *a, uint64_t now)
{
	if (a->fetches % 2 == 1 && a->peer != 0)
		a->fetch_at = now;
	else
		a->fetch_at = now + CONFIG_FETCH_TIMEOUT_MS;
}

/*
 * Returns how current the version in force is, for status and logs.
 */
enum config_standing config_adopt_standing(const struct config_adopt *a,
					   uint64_t now)
{
	bool table = now < a->table_at + CONFIG_STALE_MS;
	bool peers = now < a->peers_at + CONFIG_STALE_MS;

	if (a->version == 0)
		return CONFIG_NONE;
	if (a->known > a->version)
		return CONFIG_BEHIND;
	if (table)
		return CONFIG_CURRENT;
	return peers ? CONFIG_PEERS_ONLY : CONFIG_STALE;
}
