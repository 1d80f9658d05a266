/*
 * Quarantine of requests that crash endpoints: the table of suspects and the
 * exchange of its records between instances.
 *
 * A request that is running on an endpoint when it dies is a suspect.  Its
 * record holds the set of those deaths, identified by endpoint and incarnation.
 * Merging records of other instances is a bounded set union, so it is
 * idempotent and independent of order.  The table has a fixed size; if a set is
 * full, the record with the fewest deaths is replaced.
 */
#include "policy/quarantine.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "lib/xalloc.h"
#include "policy/quarantine_table.h"

/* Smaller extensions of a record's expiry are not exchanged again. */
enum { KEEP_SLACK_MS = 5000 };

const struct quarantine_params quarantine_defaults = {
	.records_max = 4096,
	.suspect_keep_ms = 600000,
	.blocked_keep_ms = 3600000,
	.settle_ms = 500,
	.mass_deaths = 4,
	.mass_ms = 10000,
};

static struct quarantine_entry *set_of(struct quarantine *q,
				       const struct quarantine_digest *digest);
static struct quarantine_entry *find_or_add(
	struct quarantine *q, const struct quarantine_digest *digest,
	uint64_t now);
static bool is_evicted_before(const struct quarantine_entry *a,
			      const struct quarantine_entry *b);
static bool add_death(struct quarantine_entry *e, uint64_t death_id);
static void add_recent_death(struct quarantine *q, uint64_t death_id,
			     uint64_t now);
static bool extend_expiry(struct quarantine_entry *e, uint64_t expires_ms);

/* Allocates a table for at least records_max records. */
struct quarantine *quarantine_new(const struct quarantine_params *params)
{
	struct quarantine *q = xcalloc(1, sizeof(*q));

	q->params = *params;
	q->nsets = 1;
	while (q->nsets * QUARANTINE_WAYS < params->records_max)
		q->nsets *= 2;
	q->entry =
		xcalloc((size_t)q->nsets * QUARANTINE_WAYS, sizeof(*q->entry));
	return q;
}

/* Frees the table; NULL is allowed. */
void quarantine_free(struct quarantine *q)
{
	if (!q)
		return;
	free(q->entry);
	free(q);
}

/* Returns the digest of a request, which is the same on all instances. */
struct quarantine_digest quarantine_digest(const char *org, const void *content,
					   size_t len)
{
	XXH64_hash_t seed = XXH3_64bits(org, strlen(org));
	XXH128_hash_t h = XXH3_128bits_withSeed(content, len, seed);

	return (struct quarantine_digest){ .hi = h.high64, .lo = h.low64 };
}

/* Returns the id of the death of one incarnation of an endpoint. */
uint64_t quarantine_death_id(const char *endpoint, uint64_t incarnation)
{
	return XXH3_64bits_withSeed(endpoint, strlen(endpoint), incarnation);
}

/* Returns the QUARANTINE_WAYS entries that may hold the digest. */
static struct quarantine_entry *set_of(struct quarantine *q,
				       const struct quarantine_digest *digest)
{
	return &q->entry[(digest->lo & (q->nsets - 1)) * QUARANTINE_WAYS];
}

/* Returns the unexpired record of digest, or NULL. */
struct quarantine_entry *quarantine_find(struct quarantine *q,
					 const struct quarantine_digest *digest,
					 uint64_t now)
{
	struct quarantine_entry *set = set_of(q, digest);
	int i;

	for (i = 0; i < QUARANTINE_WAYS; i++)
		if (set[i].expires_ms > now && set[i].digest.lo == digest->lo &&
		    set[i].digest.hi == digest->hi)
			return &set[i];
	return NULL;
}

/* Returns whether record a is replaced before b when the set is full. */
static bool is_evicted_before(const struct quarantine_entry *a,
			      const struct quarantine_entry *b)
{
	if (a->blocked != b->blocked)
		return b->blocked;
	if (a->ndeaths != b->ndeaths)
		return a->ndeaths < b->ndeaths;
	return a->expires_ms < b->expires_ms;
}

/* Returns the record of digest; a new one may replace another record. */
static struct quarantine_entry *find_or_add(
	struct quarantine *q, const struct quarantine_digest *digest,
	uint64_t now)
{
	struct quarantine_entry *e = quarantine_find(q, digest, now);
	struct quarantine_entry *set = set_of(q, digest);
	int i;

	if (e)
		return e;
	e = set;
	for (i = 0; i < QUARANTINE_WAYS && e->expires_ms > now; i++)
		if (set[i].expires_ms <= now || is_evicted_before(&set[i], e))
			e = &set[i];
	*e = (struct quarantine_entry){ .digest = *digest };
	return e;
}

/* Returns whether the request was running on the endpoint at that death. */
bool quarantine_has_death(const struct quarantine_entry *e, uint64_t death_id)
{
	int i;

	for (i = 0; i < e->ndeaths; i++)
		if (e->deaths[i] == death_id)
			return true;
	return false;
}

/*
 * Adds a death to the ascending set; if the set is full, the smallest ids are
 * kept.  Returns true if the set changed.
 */
static bool add_death(struct quarantine_entry *e, uint64_t death_id)
{
	int i = 0;
	int last;

	if (quarantine_has_death(e, death_id))
		return false;
	while (i < e->ndeaths && e->deaths[i] < death_id)
		i++;
	if (i == QUARANTINE_DEATHS_MAX)
		return false;
	if (e->ndeaths < QUARANTINE_DEATHS_MAX)
		e->ndeaths++;
	for (last = e->ndeaths - 1; last > i; last--)
		e->deaths[last] = e->deaths[last - 1];
	e->deaths[i] = death_id;
	return true;
}

/* Returns whether a recent death is within mass_ms of at_ms. */
static bool is_near(const struct quarantine *q,
		    const struct quarantine_recent_death *r, uint64_t at_ms)
{
	uint64_t apart = r->at_ms > at_ms ? r->at_ms - at_ms : at_ms - r->at_ms;

	return r->death_id && apart < q->params.mass_ms;
}

/* Records the time of a death, and marks mass deaths. */
static void add_recent_death(struct quarantine *q, uint64_t death_id,
			     uint64_t at_ms)
{
	uint32_t count = 0;
	int i;

	for (i = 0; i < QUARANTINE_RECENT; i++) {
		if (q->recent[i].death_id == death_id)
			return;
		count += is_near(q, &q->recent[i], at_ms);
	}
	q->recent[q->recent_next] = (struct quarantine_recent_death){
		.death_id = death_id,
		.at_ms = at_ms,
	};
	q->recent_next = (q->recent_next + 1) % QUARANTINE_RECENT;
	if (count + 1 < q->params.mass_deaths)
		return;
	for (i = 0; i < QUARANTINE_RECENT; i++)
		if (is_near(q, &q->recent[i], at_ms))
			q->recent[i].mass = true;
}

/* Returns whether the death is one of mass_deaths or more within mass_ms. */
bool quarantine_is_mass(const struct quarantine *q, uint64_t death_id)
{
	int i;

	for (i = 0; i < QUARANTINE_RECENT; i++)
		if (q->recent[i].death_id == death_id)
			return q->recent[i].mass;
	return false;
}

/* Extends a record's expiry; returns true if by more than KEEP_SLACK_MS. */
static bool extend_expiry(struct quarantine_entry *e, uint64_t expires_ms)
{
	if (expires_ms <= e->expires_ms + KEEP_SLACK_MS)
		return false;
	e->expires_ms = expires_ms;
	return true;
}

/*
 * Records that an endpoint died while this instance had n requests running on
 * it.  Returns how many of these requests now have more than one death.
 */
size_t quarantine_add_death(struct quarantine *q, uint64_t death_id,
			    const struct quarantine_digest *running, size_t n,
			    uint64_t now)
{
	struct quarantine_entry *e;
	size_t again = 0;
	size_t i;

	add_recent_death(q, death_id, now);
	for (i = 0; i < n; i++) {
		e = find_or_add(q, &running[i], now);
		if (!add_death(e, death_id))
			continue;
		e->changed_ms = now;
		e->death_ms = now;
		extend_expiry(e, now + q->params.suspect_keep_ms);
		again += e->ndeaths > 1;
	}
	return again;
}

/*
 * Estimates the time of the last death in another instance's record from the
 * time until the record expires.  Without this, an instance that starts would
 * take the old deaths that it learns of at once for mass deaths.
 */
static uint64_t death_time(const struct quarantine *q,
			   const struct quarantine_record *record, uint64_t now)
{
	uint64_t age = 0;

	if (record->keep_ms < q->params.suspect_keep_ms)
		age = q->params.suspect_keep_ms - record->keep_ms;
	return now > age ? now - age : 0;
}

/*
 * Merges another instance's record.  Returns true if the table changed and the
 * record is worth forwarding.  If this instance is running the request, the
 * caller must then decide on it again and stop it if it is held or refused.
 * Copies of a request that run at the same time on several instances thus crash
 * at most one endpoint each.
 */
bool quarantine_merge(struct quarantine *q,
		      const struct quarantine_record *record, uint64_t now)
{
	struct quarantine_entry *e;
	bool changed = false;
	int i;

	if (!record->keep_ms || record->ndeaths > QUARANTINE_DEATHS_MAX)
		return false;
	e = find_or_add(q, &record->digest, now);
	for (i = 0; i < record->ndeaths; i++) {
		if (!record->blocked)
			add_recent_death(q, record->deaths[i],
					 death_time(q, record, now));
		if (!add_death(e, record->deaths[i]))
			continue;
		e->death_ms = now;
		changed = true;
	}
	if (record->blocked && !e->blocked) {
		e->blocked = true;
		changed = true;
	}
	changed |= extend_expiry(e, now + record->keep_ms);
	if (changed)
		e->changed_ms = now;
	return changed;
}

/*
 * Copies the records that changed at or after since, at most max, to out.
 * Returns their number.
 */
size_t quarantine_export(const struct quarantine *q, uint64_t since,
			 uint64_t now, struct quarantine_record *out,
			 size_t max)
{
	size_t all = (size_t)q->nsets * QUARANTINE_WAYS;
	size_t n = 0;
	size_t i;

	for (i = 0; i < all && n < max; i++) {
		const struct quarantine_entry *e = &q->entry[i];

		if (e->expires_ms <= now || e->changed_ms < since)
			continue;
		out[n] = (struct quarantine_record){
			.digest = e->digest,
			.ndeaths = e->ndeaths,
			.blocked = e->blocked,
			.keep_ms = (uint32_t)(e->expires_ms - now),
		};
		memcpy(out[n].deaths, e->deaths, sizeof(e->deaths));
		n++;
	}
	return n;
}

/* Clears expired records; returns their number. */
size_t quarantine_expire(struct quarantine *q, uint64_t now)
{
	size_t all = (size_t)q->nsets * QUARANTINE_WAYS;
	size_t n = 0;
	size_t i;

	for (i = 0; i < all; i++) {
		struct quarantine_entry *e = &q->entry[i];

		if (!e->expires_ms || e->expires_ms > now)
			continue;
		*e = (struct quarantine_entry){ 0 };
		n++;
	}
	return n;
}

/* Returns the number of records, including expired ones not yet cleared. */
size_t quarantine_count(const struct quarantine *q)
{
	size_t all = (size_t)q->nsets * QUARANTINE_WAYS;
	size_t n = 0;
	size_t i;

	for (i = 0; i < all; i++)
		n += q->entry[i].expires_ms != 0;
	return n;
}
