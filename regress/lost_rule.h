#ifndef REGRESS_LOST_RULE_H
#define REGRESS_LOST_RULE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The users' rule LOST around planned work and on kept connections, an instance
 * and a moment at a time.  Times are of one clock. */

#define LOST_RULE_SLACK_MS 200 /* the users' lossSlackMs */
#define LOST_RULE_APPLY_MS 2000 /* the users' configApplyMs */
#define LOST_RULE_AFTER_MS 1000 /* after a configuration, or a grace time */
#define LOST_RULE_STOP_SENT_MS 3000 /* after SIGTERM; see at_work */
#define LOST_RULE_OTHER_TIMES 3 /* so often as at other times is allowed */
#define LOST_RULE_KEPT 3 /* so many of an instance are allowed */

/* A request whose connection ended without a complete answer. */
struct lost_request {
	size_t instance; /* that took it from its caller */
	uint64_t sent_ms; /* its first byte */
	uint64_t whole_ms; /* its last byte; 0: it was not sent whole */
	uint64_t over_ms; /* the end of its connection */
	uint64_t limit_ms; /* from sent_ms: its deadline or its route's limit */
	bool kept; /* its connection had carried a request before */
	bool passed_on; /* to a sound endpoint */
	bool begun; /* a part of its answer arrived */
	bool broken_off; /* by an endpoint */
	bool at_work; /* an endpoint, on it, when its connection ended */
};

enum lost_work_kind {
	LOST_WORK_CONFIG, /* of all instances */
	LOST_WORK_RELOAD, /* of one: SIGHUP */
	LOST_WORK_STOP, /* of one: SIGTERM */
};

/* Planned work.  A configuration is acknowledged when it is sent. */
struct lost_work {
	enum lost_work_kind kind;
	size_t instance; /* unused for a configuration */
	uint64_t at_ms;
};

struct lost_run {
	uint64_t begin_ms;
	uint64_t end_ms;
	uint64_t grace_ms; /* of a stopping instance */
	const struct lost_request *requests;
	size_t n_requests;
	const struct lost_work *works;
	size_t n_works;
};

/* What breaks the rule at an instance, in requests. */
struct lost_verdict {
	size_t beside_stops;
	size_t beside_reloads;
	/* the most that count beside one configuration; 0 if it cuts requests no
	 * more often then than it may */
	size_t beside_config;
	size_t kept; /* 0 if there are no more than are allowed */
};

struct lost_verdict lost_rule_judge(const struct lost_run *run,
				    size_t instance);
bool lost_rule_holds(const struct lost_verdict *v);

#endif /* REGRESS_LOST_RULE_H */
