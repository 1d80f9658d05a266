#ifndef REGRESS_SOAK_HOLDOFF_RULE_H
#define REGRESS_SOAK_HOLDOFF_RULE_H

#include "regress/platform_standin.h"
#include "regress/soak/exemptions.h"

/* The users' rules on what an instance sends to a worker that has announced to
 * it that it is leaving or that it accepts nothing for some time, checked from
 * outside. */

#define HOLDOFF_LEAVING_HEADER "server-leaving: 1\r\n"
#define HOLDOFF_PAUSE_HEADER "retry-after: 2\r\n"

/* A request of a caller. */
struct holdoff_request {
	size_t instance; /* it was sent to */
	uint64_t sent_ms;
};

/* An answer that an instance relayed, in which a worker announces that it is
 * leaving. */
struct holdoff_leaving_answer {
	size_t instance;
	char worker_id[32];
	uint64_t at_ms;
};

/* A request that an instance sent to a worker, by its log. */
struct holdoff_send {
	size_t number;
	size_t instance;
	char worker_id[32];
};

struct holdoff_rule {
	struct holdoff_request *requests; /* by number; [0] is unused */
	size_t n_requests;
	struct holdoff_leaving_answer *leaving;
	size_t n_leaving;
	struct holdoff_send *sends;
	size_t n_sends;
	struct exemption_list instance_exemptions; /* started or resumed */
	struct exemption_list link_exemptions; /* of links to workers */
};

void holdoff_rule_sent(struct holdoff_rule *r, unsigned int number,
		       size_t instance, uint64_t now);
void holdoff_rule_answer_relayed(struct holdoff_rule *r,
				 const struct standin_world *w,
				 unsigned int number, uint64_t now);
const struct holdoff_request *holdoff_rule_request(
	const struct holdoff_rule *r, const struct standin_arrival *a);
void holdoff_rule_read_log(struct holdoff_rule *r, size_t instance,
			   const char *log);
void holdoff_rule_exempt(struct holdoff_rule *r, size_t instance, uint64_t now);
void holdoff_rule_link_fault(struct holdoff_rule *r, size_t worker,
			     uint64_t now);
void holdoff_rule_check(const struct holdoff_rule *r, uint64_t seed,
			const struct standin_world *w);
void holdoff_rule_release(struct holdoff_rule *r);

#endif /* REGRESS_SOAK_HOLDOFF_RULE_H */
