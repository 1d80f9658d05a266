/*
 * Judgement of suspect requests.
 *
 * A request that ran on two endpoints that died is convicted if at two
 * of them no other request was there that ran on as many.  If several are
 * even, each is run alone, so that the next death names one.  A death that a
 * convicted request was there for counts against no other request.  Of deaths
 * that came in great number at about the same time, which a wider fault
 * explains, one counts for nothing.
 */
#include <stdio.h>

#include "policy/quarantine.h"
#include "policy/quarantine_table.h"

enum { DEATHS_TO_CONVICT = 2, MS_PER_MIN = 60000, REPEATED_MAX = 256 };

/* The records with two deaths or more, collected once for a judgement. */
struct repeated {
	const struct quarantine *q;
	uint64_t now;
	size_t n;
	bool overflow;
	struct quarantine_entry *entry[REPEATED_MAX];
};

static void collect(struct repeated *r, struct quarantine *q, uint64_t now);
static bool is_explained(const struct repeated *r,
			 const struct quarantine_entry *e, uint64_t death_id);
static uint32_t evidence(const struct repeated *r,
			 const struct quarantine_entry *e);
static bool stands_out(const struct repeated *r,
		       const struct quarantine_entry *e, uint64_t death_id,
		       uint32_t weight);
static bool shares_death(const struct quarantine_entry *a,
			 const struct quarantine_entry *b);
static bool is_settled(const struct repeated *r,
		       const struct quarantine_entry *e);
static void try_convict(const struct repeated *r, struct quarantine_entry *e);
static void convict_around(const struct repeated *r,
			   const struct quarantine_entry *e);
static uint32_t rank_of(const struct repeated *r,
			const struct quarantine_entry *e);
static struct quarantine_finding judge_suspect(
	const struct repeated *r, const struct quarantine_entry *e);

/* Collects the records that matter beside the judged one. */
static void collect(struct repeated *r, struct quarantine *q, uint64_t now)
{
	size_t all = (size_t)q->nsets * QUARANTINE_WAYS;
	size_t i;

	r->q = q;
	r->now = now;
	r->n = 0;
	r->overflow = false;
	for (i = 0; i < all && !r->overflow; i++) {
		struct quarantine_entry *e = &q->entry[i];

		if (e->expires_ms <= now || e->ndeaths < DEATHS_TO_CONVICT)
			continue;
		if (r->n == REPEATED_MAX)
			r->overflow = true;
		else
			r->entry[r->n++] = e;
	}
}

/* Says whether another request was convicted that was there for the death. */
static bool is_explained(const struct repeated *r,
			 const struct quarantine_entry *e, uint64_t death_id)
{
	size_t i;

	for (i = 0; i < r->n; i++)
		if (r->entry[i] != e && r->entry[i]->convicted &&
		    quarantine_has_death(r->entry[i], death_id))
			return true;
	return false;
}

/* Number of deaths that count against the request. */
static uint32_t evidence(const struct repeated *r,
			 const struct quarantine_entry *e)
{
	uint32_t count = 0;
	uint32_t mass = 0;
	int i;

	for (i = 0; i < e->ndeaths; i++) {
		if (is_explained(r, e, e->deaths[i]))
			continue;
		count++;
		mass += quarantine_is_mass(r->q, e->deaths[i]);
	}
	return mass > 1 ? count - 1 : count;
}

/* Says whether no other request at the death has as much evidence. */
static bool stands_out(const struct repeated *r,
		       const struct quarantine_entry *e, uint64_t death_id,
		       uint32_t weight)
{
	size_t i;

	for (i = 0; i < r->n; i++) {
		const struct quarantine_entry *o = r->entry[i];

		if (o == e || o->ndeaths < weight)
			continue;
		if (quarantine_has_death(o, death_id) &&
		    evidence(r, o) >= weight)
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
static bool is_settled(const struct repeated *r,
		       const struct quarantine_entry *e)
{
	return r->now >= e->death_ms + r->q->params.settle_ms;
}

/*
 * Convicts the request if it stands out at two deaths.  Where there are too
 * many to compare, nobody is convicted.
 */
static void try_convict(const struct repeated *r, struct quarantine_entry *e)
{
	uint32_t weight = evidence(r, e);
	uint32_t alone = 0;
	int i;

	if (e->convicted || weight < DEATHS_TO_CONVICT || r->overflow)
		return;
	for (i = 0; i < e->ndeaths; i++)
		alone += !is_explained(r, e, e->deaths[i]) &&
			 stands_out(r, e, e->deaths[i], weight);
	if (alone < DEATHS_TO_CONVICT)
		return;
	e->convicted = true;
	e->changed_ms = r->now;
	e->expires_ms = r->now + r->q->params.convicted_keep_ms;
}

/* Tries e and all that shared a death with it, so that blame is cleared. */
static void convict_around(const struct repeated *r,
			   const struct quarantine_entry *e)
{
	size_t i;

	for (i = 0; i < r->n; i++)
		if (is_settled(r, r->entry[i]) && shares_death(r->entry[i], e))
			try_convict(r, r->entry[i]);
}

/* Place of the request, by digest, among those to run alone with it. */
static uint32_t rank_of(const struct repeated *r,
			const struct quarantine_entry *e)
{
	uint32_t rank = 0;
	size_t i;

	for (i = 0; i < r->n; i++) {
		const struct quarantine_entry *o = r->entry[i];

		if (o == e || o->convicted || !shares_death(o, e))
			continue;
		rank += o->digest.hi < e->digest.hi ||
			(o->digest.hi == e->digest.hi &&
			 o->digest.lo < e->digest.lo);
	}
	return rank;
}

/* Judges a request that is on record. */
static struct quarantine_finding judge_suspect(const struct repeated *r,
					       const struct quarantine_entry *e)
{
	struct quarantine_finding f = {
		.verdict = QUARANTINE_RUN,
		.deaths = e->ndeaths,
	};
	uint32_t weight;

	if (!e->convicted && e->ndeaths >= DEATHS_TO_CONVICT) {
		if (!is_settled(r, e)) {
			f.verdict = QUARANTINE_HOLD;
			f.hold_ms = (uint32_t)(e->death_ms +
					       r->q->params.settle_ms - r->now);
			return f;
		}
		convict_around(r, e);
	}
	if (e->convicted) {
		f.verdict = QUARANTINE_REFUSE;
		f.keep_ms = (uint32_t)(e->expires_ms - r->now);
		return f;
	}
	weight = evidence(r, e);
	if (weight >= DEATHS_TO_CONVICT) {
		f.verdict = QUARANTINE_RUN_ALONE;
		f.rank = rank_of(r, e);
	} else if (weight) {
		f.verdict = QUARANTINE_RUN_APART;
	}
	return f;
}

/*
 * Says how a request may run.  To be called for every request before it is
 * routed, also before it is resumed.
 */
struct quarantine_finding quarantine_judge(
	struct quarantine *q, const struct quarantine_digest *digest,
	uint64_t now)
{
	const struct quarantine_entry *e = quarantine_find(q, digest, now);
	struct repeated r;

	if (!e)
		return (struct quarantine_finding){
			.verdict = QUARANTINE_RUN,
		};
	collect(&r, q, now);
	return judge_suspect(&r, e);
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
