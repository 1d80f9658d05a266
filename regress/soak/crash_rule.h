#ifndef REGRESS_SOAK_CRASH_RULE_H
#define REGRESS_SOAK_CRASH_RULE_H

#include "regress/platform_standin.h"
#include "regress/soak/exemptions.h"

/* The users' rule on a request that crashes the workers that run it and is sent
 * again and again: it bounds the arrivals at workers after the third crash,
 * once the time has passed within which all instances have to know of it. */

#define CRASH_RULE_BODY "ends its worker"

struct crash_rule {
	size_t *attempt_instances; /* instance of each attempt, by its number */
	size_t n;
	struct exemption_list exemptions; /* of instances */
};

unsigned int crash_rule_sent(struct crash_rule *r, size_t instance);
void crash_rule_exempt(struct crash_rule *r, size_t instance, uint64_t now);
void crash_rule_check(const struct crash_rule *r, uint64_t seed,
		      const struct standin_world *w);
void crash_rule_release(struct crash_rule *r);

#endif /* REGRESS_SOAK_CRASH_RULE_H */
