#ifndef REGRESS_LIMIT_RULE_H
#define REGRESS_LIMIT_RULE_H

#include "regress/platform_standin.h"

/* The users' rule on workers that name a limit on the requests per second that
 * they take from all instances together. */

#define LIMIT_RULE_WINDOW_MS 4000
#define LIMIT_RULE_APPLIED_MS 3000 /* from the first answer that names it */
#define LIMIT_RULE_TOLD_MS 500 /* from an answer that the instance passed on */

/* Whether an arrival counts.  named_ms is when the worker first named the limit
 * that is in force. */
struct limit_rule_filter {
	bool (*counts)(const struct limit_rule_filter *f,
		       const struct standin_arrival *a, uint64_t named_ms);
};

/* The window of a worker in which it got the largest part of what is
 * allowed. */
struct limit_use {
	const char *worker_id; /* NULL: no window */
	size_t arrivals;
	double allowed;
	double used; /* arrivals / allowed */
	uint64_t end_ms;
};

struct limit_use limit_rule_worst(const struct standin_world *w,
				  uint64_t applied_ms,
				  const struct limit_rule_filter *filter);

#endif /* REGRESS_LIMIT_RULE_H */
