#ifndef REGRESS_SOAK_LIMIT_CHECK_H
#define REGRESS_SOAK_LIMIT_CHECK_H

#include "regress/limit_rule.h"
#include "regress/soak/holdoff_rule.h"

/* The users' rule on limits, checked from outside for the instances that have
 * passed on an answer which names the limit, and are in touch. */

/* An answer that an instance relayed, in which a worker names its limit. */
struct limit_told {
	size_t instance;
	char worker_id[32];
	uint64_t at_ms;
};

struct limit_check {
	struct limit_rule_filter filter; /* must be first */
	const struct holdoff_rule *requests; /* and the exemptions */
	struct limit_told *told;
	size_t n_told;
};

void limit_check_init(struct limit_check *c,
		      const struct holdoff_rule *requests);
void limit_check_answer_relayed(struct limit_check *c,
				const struct standin_world *w,
				unsigned int number, uint64_t now);
void limit_check_all(const struct limit_check *c, uint64_t seed,
		     const struct standin_world *w);
void limit_check_release(struct limit_check *c);

#endif /* REGRESS_SOAK_LIMIT_CHECK_H */
