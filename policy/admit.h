#ifndef POLICY_ADMIT_H
#define POLICY_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum admit_kind {
	ADMIT_NEW,
	ADMIT_RESUME, /* continues a generation whose endpoint failed */
};

/*
 * Orders the requests of one organisation.  It has no effect on the shares of
 * other organisations.
 */
enum admit_priority {
	ADMIT_HIGH,
	ADMIT_NORMAL,
	ADMIT_LOW,
	ADMIT_PRIORITIES,
};

enum admit_outcome {
	ADMIT_RUN,
	ADMIT_QUEUE,
	ADMIT_REFUSE,
};

enum admit_reason {
	ADMIT_REASON_NONE,
	ADMIT_REASON_DEADLINE, /* cannot start in time for its deadline */
	ADMIT_REASON_QUEUE_FULL,
	ADMIT_REASON_ORG_QUEUE_FULL,
	ADMIT_REASON_NO_CAPACITY, /* no endpoint is up */
	ADMIT_REASON_ORG_UNKNOWN,
	ADMIT_REASON_ORG_CLOSED, /* the organisation's limit is zero */
};

struct admit_params {
	uint32_t slots; /* requests that may run at once */
	uint32_t orgs_max; /* organisations are 0 .. orgs_max - 1 */
	uint32_t queue_max; /* waiting requests, all organisations */
	uint32_t org_queue_max; /* waiting requests of one organisation */
	uint32_t resume_permille; /* part of the slots where resumes go first */
	uint32_t service_prior_ms; /* service time until one is measured */
	uint32_t rate_decay_ms; /* time constant of the measured drain rate */
	uint32_t reserved_permille; /* of the drain rate, for returns */
	uint32_t margin_permille; /* standard deviations added to a wait */
	uint32_t reservations_max; /* size of the table of reservations */
	uint32_t retry_max_s; /* longest Retry-After */
};

struct admit_request {
	uint64_t id; /* chosen by the caller; returned in decisions */
	uint64_t digest; /* of organisation and content; 0 if unknown */
	uint32_t org;
	enum admit_kind kind;
	enum admit_priority priority;
	uint64_t deadline_ms; /* absolute; 0 if none */
	uint32_t need_ms; /* time from start to what the deadline applies to */
	uint32_t cost_ms; /* expected time in a slot; 0 means the average */
};

struct admit_decision {
	enum admit_outcome outcome;
	enum admit_reason reason;
	uint32_t retry_after_s; /* of a refusal; at least 1 */
	bool reserved; /* capacity is reserved for the caller at that time */
	uint32_t ticket; /* handle of a queued request, for admit_cancel() */
	uint32_t wait_ms; /* expected, or actual if started from the queue */
	uint64_t id; /* of the request */
	uint32_t org;
	uint32_t charged_ms; /* of a started request, for admit_finish() */
	enum admit_kind kind;
};

struct admit_stats {
	uint32_t slots;
	uint32_t running;
	uint32_t running_resumes;
	uint32_t queued;
	uint32_t queued_resumes;
	double drain_per_s; /* completions per second with all slots in use */
};

struct admit;

extern const struct admit_params admit_defaults;

struct admit *admit_new(const struct admit_params *params, uint64_t now);
void admit_free(struct admit *a);
void admit_set_slots(struct admit *a, uint32_t slots, uint64_t now);
void admit_set_org(struct admit *a, uint32_t org, uint32_t weight,
		   uint32_t limit);
struct admit_decision admit_arrive(struct admit *a,
				   const struct admit_request *req,
				   uint64_t now, uint64_t rnd);
bool admit_next(struct admit *a, uint64_t now, uint64_t rnd,
		struct admit_decision *decision);
void admit_finish(struct admit *a, uint32_t org, enum admit_kind kind,
		  uint32_t charged_ms, uint32_t held_ms, bool completed,
		  uint64_t now);
bool admit_cancel(struct admit *a, uint32_t ticket);
uint32_t admit_org_running(const struct admit *a, uint32_t org);
uint32_t admit_org_queued(const struct admit *a, uint32_t org);
struct admit_stats admit_stats(const struct admit *a);
size_t admit_bytes(const struct admit_params *params);
const char *admit_reason_text(enum admit_reason reason);

#endif /* POLICY_ADMIT_H */
