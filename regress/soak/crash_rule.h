#ifndef REGRESS_SOAK_CRASH_RULE_H
#define REGRESS_SOAK_CRASH_RULE_H

#include "regress/platform_standin.h"
#include "regress/soak/excuses.h"

/* The users' rule on a request that ends the workers that run it, and comes
 * again: how often it reaches workers later than the time within which all
 * instances are to know, after the third has ended. */

#define CRASH_RULE_BODY "ends its worker"

struct crash_rule {
	size_t *instances; /* that the attempts were sent to, by their numbers */
	size_t n;
	struct excuses excuses; /* of instances */
};

unsigned int crash_rule_sent(struct crash_rule *r, size_t instance);
void crash_rule_excuse(struct crash_rule *r, size_t instance, uint64_t now);
void crash_rule_check(const struct crash_rule *r, uint64_t seed,
		      const struct standin_world *w);
void crash_rule_release(struct crash_rule *r);

#endif /* REGRESS_SOAK_CRASH_RULE_H */
