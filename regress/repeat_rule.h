#ifndef REGRESS_REPEAT_RULE_H
#define REGRESS_REPEAT_RULE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "regress/platform_standin.h"

/* The users' rule on repeats, checked from outside: arrivals at workers beyond
 * the first of each request against what callers sent. */

struct repeat_rule {
	uint64_t window_ms;
	double ratio; /* repeats for each request */
	double slack; /* repeats beyond that */
	struct repeat_rule_sent *sent; /* in order of time */
	size_t n_sent;
};

/* A window of a service. */
struct repeat_use {
	size_t repeats;
	size_t requests; /* of the window that has most */
	double allowed;
	double used; /* part of what is allowed; above 1: the rule is broken */
	uint64_t end_ms;
};

void repeat_rule_sent(struct repeat_rule *rule, const char *service,
		      uint64_t at_ms);
struct repeat_use repeat_rule_worst(const struct repeat_rule *rule,
				    const struct standin_world *world,
				    const char *service);
void repeat_rule_release(struct repeat_rule *rule);

#endif /* REGRESS_REPEAT_RULE_H */
