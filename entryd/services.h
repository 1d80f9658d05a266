#ifndef ENTRYD_SERVICES_H
#define ENTRYD_SERVICES_H

#include <stdint.h>

#include "entryd/entryd.h"
#include "policy/admit.h"
#include "policy/resume.h"
#include "policy/retry.h"

#define WORK_CALL (1ull << 63) /* in a request's id: a call, not a generation */

/* One service and its admission at this instance. */
struct service {
	struct handle self;
	uint64_t id;
	char *name;
	int kind; /* enum service_kind */
	bool configured;
	bool dispatching; /* run_queue() is in progress */
	uint32_t timeout_ms;
	struct admit *admit;
	const struct resume_profile *profile;
	struct resume_budget hedges;
	struct retry_budget retry;
	double first_token_ms; /* moving mean of the time to first token */
	double need_ms; /* as assumed by admission: the same, decaying */
	bool need_updated; /* a first token arrived since the last tick */
	uint64_t need_decay_at; /* ms, time of the next halving */
};

struct services *services_new(void);
void services_free(struct services *t);
void services_configure(struct entryd *e);
void services_tick(struct entryd *e, uint64_t now);
struct service *service_get(const struct entryd *e, struct handle h);
struct service *service_by_id(const struct entryd *e, uint64_t id);
struct service *services_next(const struct entryd *e, uint32_t *index);
void services_set_org(struct entryd *e, uint32_t org);
struct admit_decision service_arrive(struct entryd *e, struct service *s,
				     const struct admit_request *request);
void service_finish(struct entryd *e, struct service *s, uint32_t org,
		    const struct admit_decision *run, uint64_t started_at,
		    bool completed);
void service_cancel(struct entryd *e, struct service *s, uint32_t org,
		    uint32_t ticket);
void service_first_token(struct service *s, uint32_t ms);

#endif /* ENTRYD_SERVICES_H */
