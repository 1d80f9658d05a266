/*
 * The users' rules on a part of a prompt that crashes workers.
 */
#include "regress/part_rule.h"

/* Returns the number of requests with the part that arrived at workers later
 * than contact_ms after the fifth crash. */
size_t part_rule_late(const struct part_rule *rule,
		      const struct standin_world *world)
{
	size_t late = 0;
	size_t i;

	if (world->crash.n < PART_RULE_CRASHES)
		return 0;
	for (i = 0; i < world->n_arrivals; i++) {
		const struct standin_arrival *a = world->arrivals[i];

		late += standin_has_part(a, world->crash.part) &&
			a->at_ms > world->crash.at_ms[PART_RULE_CRASHES - 1] +
					   rule->contact_ms;
	}
	return late;
}

/* Returns from when on sound requests count, by the clock of the loop: twice
 * contact_ms after the fifth crash, or the last if there are fewer;
 * UINT64_MAX if there was none. */
uint64_t part_rule_sound_from(const struct part_rule *rule,
			      const struct standin_world *world)
{
	size_t n = world->crash.n < PART_RULE_CRASHES ? world->crash.n
						      : PART_RULE_CRASHES;

	return n ? world->crash.at_ms[n - 1] + 2 * rule->contact_ms
		 : UINT64_MAX;
}

/* Returns whether sound requests begin at least half as often as before. */
bool part_rule_sound_kept(const struct part_rule_sound *before,
			  const struct part_rule_sound *after)
{
	return 2 * after->begun * before->sent >= before->begun * after->sent;
}
