#ifndef REGRESS_REPEAT_RULE_H
#define REGRESS_REPEAT_RULE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "regress/platform_standin.h"

/* The users' rule on repeats, checked from outside: arrivals at workers beyond
 * the first of each request, compared with the requests that callers sent. */

struct repeat_rule {
	uint64_t window_ms;
	double ratio; /* repeats per request */
	double slack; /* repeats beyond that */
	struct repeat_rule_sent *sent; /* ordered by time */
	size_t n_sent;
};

/* The repeats of a service within one window. */
struct repeat_use {
	size_t repeats;
	size_t requests; /* in the window with most of them */
	double allowed;
	double used; /* repeats / allowed; above 1 breaks the rule */
	uint64_t end_ms;
};

void repeat_rule_sent(struct repeat_rule *rule, const char *service,
		      uint64_t at_ms);
struct repeat_use repeat_rule_worst(const struct repeat_rule *rule,
				    const struct standin_world *world,
				    const char *service);
void repeat_rule_release(struct repeat_rule *rule);

#endif /* REGRESS_REPEAT_RULE_H */
