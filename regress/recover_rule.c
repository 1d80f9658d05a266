/*
 * The users' rule RECOVER: while some instances are parted from all endpoints,
 * from contactMs after the cut began, first tries at these are served less than
 * two thirds as often as those at the others, and more than 10 + 1 in 50 of all
 * first tries fail there.
 */
#include "regress/recover_rule.h"

#include <stdlib.h>

#include "lib/xalloc.h"

/* The rule's bounds. */
#define SHARE_OF 2 /* two thirds */
#define SHARE_IN 3
#define FAILED_MAX 10
#define FAILED_ONE_IN 50

/* Notes that an instance is parted from all endpoints from now on. */
void recover_rule_cut(struct recover_rule *r, size_t instance, uint64_t now)
{
	r->cuts = xreallocarray(r->cuts, r->n_cuts + 1, sizeof(*r->cuts));
	r->cuts[r->n_cuts++] = (struct recover_cut){
		.instance = instance,
		.from_ms = now,
		.until_ms = UINT64_MAX,
	};
}

/* Notes that the cuts of an instance end. */
void recover_rule_joined(struct recover_rule *r, size_t instance, uint64_t now)
{
	size_t i;

	for (i = 0; i < r->n_cuts; i++)
		if (r->cuts[i].instance == instance &&
		    r->cuts[i].until_ms == UINT64_MAX)
			r->cuts[i].until_ms = now;
}

/* Returns whether a time lies in a cut. */
static bool lies_in(const struct recover_cut *cut, uint64_t at_ms)
{
	return at_ms >= cut->from_ms && at_ms < cut->until_ms;
}

/* Returns the counts to which a try belongs, or NULL if it doesn't count: it was
 * sent at no time of a cut, or sooner than contact_ms after the cut began; for a
 * parted instance that is its own cut. */
static struct recover_count *count_of(struct recover_rule *r,
				      const struct recover_try *t)
{
	struct recover_count *count = NULL;
	size_t i;

	for (i = 0; i < r->n_cuts; i++) {
		const struct recover_cut *cut = &r->cuts[i];
		bool counts = t->at_ms >= cut->from_ms + r->contact_ms;

		if (!lies_in(cut, t->at_ms))
			continue;
		if (cut->instance == t->instance)
			return counts ? &r->parted : NULL;
		if (counts)
			count = &r->others;
	}
	return count;
}

/* Counts a try that has ended.  Cuts that began or ended before it was sent must
 * have been noted. */
void recover_rule_try(struct recover_rule *r, const struct recover_try *t)
{
	struct recover_count *count = count_of(r, t);

	if (!count || !t->in_touch || t->end == RECOVER_ACCEPTED)
		return;
	count->tries++;
	count->served += t->end == RECOVER_SERVED;
}

/* Returns whether the tries so far break the rule. */
bool recover_rule_broken(const struct recover_rule *r)
{
	uint64_t failed = r->parted.tries - r->parted.served;
	uint64_t tries = r->parted.tries + r->others.tries;

	return SHARE_IN * r->parted.served * r->others.tries <
		       SHARE_OF * r->others.served * r->parted.tries &&
	       FAILED_ONE_IN * failed > FAILED_ONE_IN * FAILED_MAX + tries;
}

void recover_rule_release(struct recover_rule *r)
{
	free(r->cuts);
	r->cuts = NULL;
	r->n_cuts = 0;
}
