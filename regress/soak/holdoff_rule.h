#ifndef REGRESS_SOAK_HOLDOFF_RULE_H
#define REGRESS_SOAK_HOLDOFF_RULE_H

#include "regress/platform_standin.h"
#include "regress/soak/excuses.h"

/* The users' rules on what an instance sends to a worker that has told it that
 * it leaves, or that it wants nothing for a while, as seen from outside. */

#define HOLDOFF_LEAVES "server-leaving: 1\r\n"
#define HOLDOFF_PAUSES "retry-after: 2\r\n"

/* A request of a caller, by its number. */
struct holdoff_request {
	size_t instance; /* that it was sent to */
	uint64_t sent_ms;
};

/* An instance has passed on an answer in which a worker says that it leaves. */
struct holdoff_set_leaving {
	size_t instance;
	char worker_id[32];
	uint64_t at_ms;
};

struct holdoff_rule {
	struct holdoff_request *requests; /* [0] is none */
	size_t n_requests;
	struct holdoff_set_leaving *leaving;
	size_t n_leaving;
	struct excuses instances; /* started or woke */
	struct excuses links; /* were harmed */
};

void holdoff_rule_sent(struct holdoff_rule *r, unsigned int number,
		       size_t instance, uint64_t now);
void holdoff_rule_passed_on(struct holdoff_rule *r,
			    const struct standin_world *w, unsigned int number,
			    uint64_t now);
void holdoff_rule_excuse(struct holdoff_rule *r, size_t instance, uint64_t now);
void holdoff_rule_link_fault(struct holdoff_rule *r, size_t worker,
			     uint64_t now);
void holdoff_rule_check(const struct holdoff_rule *r, uint64_t seed,
			const struct standin_world *w);
void holdoff_rule_release(struct holdoff_rule *r);

#endif /* REGRESS_SOAK_HOLDOFF_RULE_H */
