/*
 * Decisions on suspect requests.
 *
 * A request that was running at two or more endpoint deaths is blocked if at
 * two of them no other running request has as many deaths.  If several requests
 * have equally many, each is run alone, so that the next death identifies one.
 * A death at which a blocked request was running does not count against other
 * requests.  If a request has more than one mass death, which a common fault
 * may have caused, one of its deaths is not counted.
 */
#include <stdio.h>

#include "policy/quarantine.h"
#include "policy/quarantine_table.h"

enum { DEATHS_TO_BLOCK = 2, MS_PER_MIN = 60000, REPEATED_MAX = 256 };

/* The records with two or more deaths, collected once for each decision. */
struct repeated {
	const struct quarantine *q;
	uint64_t now;
	size_t n;
	bool overflow;
	struct quarantine_entry *entry[REPEATED_MAX];
};

static void collect(struct repeated *r, struct quarantine *q, uint64_t now);
static bool is_attributed(const struct repeated *r,
			  const struct quarantine_entry *e, uint64_t death_id);
static uint32_t evidence(const struct repeated *r,
			 const struct quarantine_entry *e);
static bool has_most_evidence(const struct repeated *r,
			      const struct quarantine_entry *e,
			      uint64_t death_id, uint32_t weight);
static bool shares_death(const struct quarantine_entry *a,
			 const struct quarantine_entry *b);
static bool is_settled(const struct repeated *r,
		       const struct quarantine_entry *e);
static void try_block(const struct repeated *r, struct quarantine_entry *e);
static void block_related(const struct repeated *r,
			  const struct quarantine_entry *e);
static uint32_t rank_of(const struct repeated *r,
			const struct quarantine_entry *e);
static struct quarantine_decision decide_suspect(
	const struct repeated *r, const struct quarantine_entry *e);

/* Collects the records to compare a suspect with. */
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

		if (e->expires_ms <= now || e->ndeaths < DEATHS_TO_BLOCK)
			continue;
		if (r->n == REPEATED_MAX)
			r->overflow = true;
		else
			r->entry[r->n++] = e;
	}
}

/* Returns whether another, blocked request was running at the death. */
static bool is_attributed(const struct repeated *r,
			  const struct quarantine_entry *e, uint64_t death_id)
{
	size_t i;

	for (i = 0; i < r->n; i++)
		if (r->entry[i] != e && r->entry[i]->blocked &&
		    quarantine_has_death(r->entry[i], death_id))
			return true;
	return false;
}

/* Returns the number of deaths that count against the request. */
static uint32_t evidence(const struct repeated *r,
			 const struct quarantine_entry *e)
{
	uint32_t count = 0;
	uint32_t mass = 0;
	int i;

	for (i = 0; i < e->ndeaths; i++) {
		if (is_attributed(r, e, e->deaths[i]))
			continue;
		count++;
		mass += quarantine_is_mass(r->q, e->deaths[i]);
	}
	return mass > 1 ? count - 1 : count;
}

/* Returns whether no other request at the death has as much evidence. */
static bool has_most_evidence(const struct repeated *r,
			      const struct quarantine_entry *e,
			      uint64_t death_id, uint32_t weight)
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

/* Returns whether both requests were running at the same death. */
static bool shares_death(const struct quarantine_entry *a,
			 const struct quarantine_entry *b)
{
	int i;

	for (i = 0; i < a->ndeaths; i++)
		if (quarantine_has_death(b, a->deaths[i]))
			return true;
	return false;
}

/* Returns whether records of other instances have had time to arrive. */
static bool is_settled(const struct repeated *r,
		       const struct quarantine_entry *e)
{
	return r->now >= e->death_ms + r->q->params.settle_ms;
}

/*
 * Blocks the request if it has the most evidence at two deaths.  If there are
 * too many records to compare, no request is blocked.
 */
static void try_block(const struct repeated *r, struct quarantine_entry *e)
{
	uint32_t weight = evidence(r, e);
	uint32_t alone = 0;
	int i;

	if (e->blocked || weight < DEATHS_TO_BLOCK || r->overflow)
		return;
	for (i = 0; i < e->ndeaths; i++)
		alone += !is_attributed(r, e, e->deaths[i]) &&
			 has_most_evidence(r, e, e->deaths[i], weight);
	if (alone < DEATHS_TO_BLOCK)
		return;
	e->blocked = true;
	e->changed_ms = r->now;
	e->expires_ms = r->now + r->q->params.blocked_keep_ms;
}

/*
 * Applies try_block() to e and all requests that share a death with it, so that
 * deaths attributed to a blocked request no longer count against the others.
 */
static void block_related(const struct repeated *r,
			  const struct quarantine_entry *e)
{
	size_t i;

	for (i = 0; i < r->n; i++)
		if (is_settled(r, r->entry[i]) && shares_death(r->entry[i], e))
			try_block(r, r->entry[i]);
}

/* Returns the rank of the request, by digest, among those to run alone. */
static uint32_t rank_of(const struct repeated *r,
			const struct quarantine_entry *e)
{
	uint32_t rank = 0;
	size_t i;

	for (i = 0; i < r->n; i++) {
		const struct quarantine_entry *o = r->entry[i];

		if (o == e || o->blocked || !shares_death(o, e))
			continue;
		rank += o->digest.hi < e->digest.hi ||
			(o->digest.hi == e->digest.hi &&
			 o->digest.lo < e->digest.lo);
	}
	return rank;
}

/* Decides on a request that has a record. */
static struct quarantine_decision decide_suspect(
	const struct repeated *r, const struct quarantine_entry *e)
{
	struct quarantine_decision d = {
		.action = QUARANTINE_RUN,
		.deaths = e->ndeaths,
	};
	uint32_t weight;

	if (!e->blocked && e->ndeaths >= DEATHS_TO_BLOCK) {
		if (!is_settled(r, e)) {
			d.action = QUARANTINE_HOLD;
			d.hold_ms = (uint32_t)(e->death_ms +
					       r->q->params.settle_ms - r->now);
			return d;
		}
		block_related(r, e);
	}
	if (e->blocked) {
		d.action = QUARANTINE_REFUSE;
		d.keep_ms = (uint32_t)(e->expires_ms - r->now);
		return d;
	}
	weight = evidence(r, e);
	if (weight >= DEATHS_TO_BLOCK) {
		d.action = QUARANTINE_RUN_ALONE;
		d.rank = rank_of(r, e);
	} else if (weight) {
		d.action = QUARANTINE_RUN_APART;
	}
	return d;
}

/*
 * Decides how a request may run.  To be called for every request before it is
 * routed, and again before it is resumed.
 */
struct quarantine_decision quarantine_decide(
	struct quarantine *q, const struct quarantine_digest *digest,
	uint64_t now)
{
	const struct quarantine_entry *e = quarantine_find(q, digest, now);
	struct repeated r;

	if (!e)
		return (struct quarantine_decision){
			.action = QUARANTINE_RUN,
		};
	collect(&r, q, now);
	return decide_suspect(&r, e);
}

/*
 * Formats the decision as a sentence for an operator.  Returns the result of
 * snprintf(3).
 */
int quarantine_explain(const struct quarantine_decision *decision, char *buf,
		       size_t size)
{
	switch (decision->action) {
	case QUARANTINE_RUN:
		return snprintf(buf, size,
				"Nothing is known against this "
				"request.");
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
				decision->deaths, decision->hold_ms);
	case QUARANTINE_RUN_ALONE:
		return snprintf(buf, size,
				"This request is one of several that were "
				"running on %u endpoints that died, so each "
				"is run alone.",
				decision->deaths);
	case QUARANTINE_REFUSE:
		return snprintf(buf, size,
				"This request was running on %u endpoints "
				"when they died, more than any other request "
				"there, so it is refused for another %u "
				"minutes.",
				decision->deaths,
				(decision->keep_ms + MS_PER_MIN - 1) /
					MS_PER_MIN);
	}
	return snprintf(buf, size, "Unknown finding.");
}
