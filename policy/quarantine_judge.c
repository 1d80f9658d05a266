/*
 * Judgement of suspect requests.
 *
 * A request that ran on two endpoints that died is convicted if it ran on more
 * of the dead endpoints than any other request that was there.  If several are
 * even, each is run alone, so that the next death names one.  A death that a
 * convicted request was there for counts against no other request.  Of deaths
 * that came in great number at about the same time, which a wider fault
 * explains, one counts for nothing.
 */
#include <stdio.h>

#include "policy/quarantine.h"
#include "policy/quarantine_table.h"

enum { DEATHS_TO_CONVICT = 2, MS_PER_MIN = 60000 };

static bool is_explained(const struct quarantine *q,
			 const struct quarantine_entry *e, uint64_t death_id,
			 uint64_t now);
static uint32_t evidence(const struct quarantine *q,
			 const struct quarantine_entry *e, uint64_t now);
static bool stands_out(const struct quarantine *q,
		       const struct quarantine_entry *e, uint64_t death_id,
		       uint32_t weight, uint64_t now);
static bool shares_death(const struct quarantine_entry *a,
			 const struct quarantine_entry *b);
static bool is_settled(const struct quarantine *q,
		       const struct quarantine_entry *e, uint64_t now);
static void try_convict(struct quarantine *q, struct quarantine_entry *e,
			uint64_t now);
static void convict_around(struct quarantine *q,
			   const struct quarantine_entry *e, uint64_t now);
static uint32_t rank_of(const struct quarantine *q,
			const struct quarantine_entry *e, uint64_t now);

/* Says whether another request was convicted that was there for the death. */
static bool is_explained(const struct quarantine *q,
			 const struct quarantine_entry *e, uint64_t death_id,
			 uint64_t now)
{
	size_t all = (size_t)q->nsets * QUARANTINE_WAYS;
	size_t i;

	for (i = 0; i < all; i++) {
		const struct quarantine_entry *o = &q->entry[i];

		if (o != e && o->convicted && o->expires_ms > now &&
		    quarantine_has_death(o, death_id))
			return true;
	}
	return false;
}

/* Number of deaths that count against the request. */
static uint32_t evidence(const struct quarantine *q,
			 const struct quarantine_entry *e, uint64_t now)
{
	uint32_t count = 0;
	uint32_t mass = 0;
	int i;

	for (i = 0; i < e->ndeaths; i++) {
		if (is_explained(q, e, e->deaths[i], now))
			continue;
		count++;
		mass += quarantine_is_mass(q, e->deaths[i]);
	}
	return mass > 1 ? count - 1 : count;
}

/* Says whether no other request at the death has as much evidence. */
static bool stands_out(const struct quarantine *q,
		       const struct quarantine_entry *e, uint64_t death_id,
		       uint32_t weight, uint64_t now)
{
	size_t all = (size_t)q->nsets * QUARANTINE_WAYS;
	size_t i;

	for (i = 0; i < all; i++) {
		const struct quarantine_entry *o = &q->entry[i];

		if (o == e || o->expires_ms <= now || o->ndeaths < weight)
			continue;
		if (quarantine_has_death(o, death_id) &&
		    evidence(q, o, now) >= weight)
			return false;
	}
	return true;
}

/* Says whether two requests were there for one death. */
static bool shares_death(const struct quarantine_entry *a,
			 const struct quarantine_entry *b)
{
	int i;

	for (i = 0; i < a->ndeaths; i++)
		if (quarantine_has_death(b, a->deaths[i]))
			return true;
	return false;
}

/* Says whether the records of other instances have had time to come. */
static bool is_settled(const struct quarantine *q,
		       const struct quarantine_entry *e, uint64_t now)
{
	return now >= e->death_ms + q->params.settle_ms;
}

/* Convicts the request if it stands out at one of its deaths. */
static void try_convict(struct quarantine *q, struct quarantine_entry *e,
			uint64_t now)
{
	uint32_t weight = evidence(q, e, now);
	int i;

	if (e->convicted || weight < DEATHS_TO_CONVICT)
		return;
	for (i = 0; i < e->ndeaths; i++) {
		if (is_explained(q, e, e->deaths[i], now) ||
		    !stands_out(q, e, e->deaths[i], weight, now))
			continue;
		e->convicted = true;
		e->changed_ms = now;
		e->expires_ms = now + q->params.convicted_keep_ms;
		return;
	}
}

/* Tries e and all that shared a death with it, so that blame is cleared. */
static void convict_around(struct quarantine *q,
			   const struct quarantine_entry *e, uint64_t now)
{
	size_t all = (size_t)q->nsets * QUARANTINE_WAYS;
	size_t i;

	for (i = 0; i < all; i++) {
		struct quarantine_entry *o = &q->entry[i];

		if (o->expires_ms <= now || o->ndeaths < DEATHS_TO_CONVICT)
			continue;
		if (is_settled(q, o, now) && shares_death(o, e))
			try_convict(q, o, now);
	}
}

/* Place of the request, by digest, among those to run alone with it. */
static uint32_t rank_of(const struct quarantine *q,
			const struct quarantine_entry *e, uint64_t now)
{
	size_t all = (size_t)q->nsets * QUARANTINE_WAYS;
	uint32_t rank = 0;
	size_t i;

	for (i = 0; i < all; i++) {
		const struct quarantine_entry *o = &q->entry[i];

		if (o == e || o->convicted || o->expires_ms <= now ||
		    o->ndeaths < DEATHS_TO_CONVICT || !shares_death(o, e))
			continue;
		rank += o->digest.hi < e->digest.hi ||
			(o->digest.hi == e->digest.hi &&
			 o->digest.lo < e->digest.lo);
	}
	return rank;
}

/*
 * Says how a request may run.  To be called for every request before it is
 * routed, also before it is resumed.
 */
struct quarantine_finding quarantine_judge(
	struct quarantine *q, const struct quarantine_digest *digest,
	uint64_t now)
{
	struct quarantine_entry *e = quarantine_find(q, digest, now);
	struct quarantine_finding f = { .verdict = QUARANTINE_RUN };
	uint32_t weight;

	if (!e)
		return f;
	f.deaths = e->ndeaths;
	if (e->ndeaths >= DEATHS_TO_CONVICT && !e->convicted) {
		if (!is_settled(q, e, now)) {
			f.verdict = QUARANTINE_HOLD;
			f.hold_ms = (uint32_t)(e->death_ms +
					       q->params.settle_ms - now);
			return f;
		}
		convict_around(q, e, now);
	}
	if (e->convicted) {
		f.verdict = QUARANTINE_REFUSE;
		f.keep_ms = (uint32_t)(e->expires_ms - now);
		return f;
	}
	weight = evidence(q, e, now);
	if (weight >= DEATHS_TO_CONVICT) {
		f.verdict = QUARANTINE_RUN_ALONE;
		f.rank = rank_of(q, e, now);
	} else if (weight) {
		f.verdict = QUARANTINE_RUN_APART;
	}
	return f;
}

/*
 * Writes the finding as a sentence for an operator.  Returns what snprintf(3)
 * does.
 */
int quarantine_explain(const struct quarantine_finding *finding, char *buf,
		       size_t size)
{
	switch (finding->verdict) {
	case QUARANTINE_RUN:
		return snprintf(buf, size,
				"Nothing is known against this request.");
	case QUARANTINE_RUN_APART:
		return snprintf(buf, size,
				"This request was running on an endpoint that "
				"died, so it is kept apart from other such "
				"requests.");
	case QUARANTINE_HOLD:
		return snprintf(buf, size,
				"This request was running on %u endpoints "
				"that died; it waits %u ms for what other "
				"instances know of it.",
				finding->deaths, finding->hold_ms);
	case QUARANTINE_RUN_ALONE:
		return snprintf(buf, size,
				"This request is one of several that were "
				"running on %u endpoints that died, so each "
				"is run alone.",
				finding->deaths);
	case QUARANTINE_REFUSE:
		return snprintf(buf, size,
				"This request was running on %u endpoints "
				"when they died, more than any other request "
				"there, so it is refused for another %u "
				"minutes.",
				finding->deaths,
				(finding->keep_ms + MS_PER_MIN - 1) /
					MS_PER_MIN);
	}
	return snprintf(buf, size, "Unknown finding.");
}
