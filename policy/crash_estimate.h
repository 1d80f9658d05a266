#ifndef POLICY_CRASH_ESTIMATE_H
#define POLICY_CRASH_ESTIMATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct crash_estimate_params {
	uint32_t
		contents_max; /* rounded up to a power of two, as are the others */
	uint32_t history_max; /* last runs of each content */
	uint32_t runs_max; /* in progress */
	uint32_t endpoints_max;
	uint32_t ends_min; /* a content with fewer ends is not refused */
	uint32_t rounds_max; /* of the sharing of ends */
	double other_cause; /* its share in each end, beside the estimates */
	double refused_at; /* least estimate of a content that is refused */
	bool completed_reach_all; /* a run that completed reached every age */
	uint64_t remembered_ms; /* a run, after its last event */
	/* longest time from a break to the sign that its endpoint has ended */
	uint64_t confirm_ms;
	uint64_t
		evaluate_ms; /* between evaluations while one is held or refused */
	uint64_t
		settle_ms; /* a content is held that long before it is refused */
	/* a content that is one end short is held that long after a break */
	uint64_t break_hold_ms;
	uint64_t refused_ms; /* until the first trial */
	uint32_t refused_factor; /* growth of that by each trial that failed */
	uint64_t refused_max_ms;
};

/* A run of a content at an endpoint. */
struct crash_estimate_run {
	uint64_t id; /* not 0 */
	uint64_t content; /* not 0 */
	uint64_t endpoint; /* hash of the id of this start of it, not 0 */
	uint64_t sent_ms;
	bool own; /* of this instance, which tells it to others */
};

enum crash_estimate_state {
	CRASH_ESTIMATE_IN_PROGRESS,
	CRASH_ESTIMATE_COMPLETED,
	CRASH_ESTIMATE_BROKE,
};

/* What an instance tells others of a run. */
struct crash_estimate_report {
	struct crash_estimate_run run;
	enum crash_estimate_state state;
	uint64_t last_ms; /* its last event, or when it completed or broke */
};

/* What is known of a content. */
struct crash_estimate_result {
	uint32_t ends; /* of endpoints while a run of it was there */
	uint32_t at_risk; /* runs that are remembered, with those in progress */
	double estimate; /* chance that a run ends its endpoint, 0 to 1 */
};

enum crash_estimate_decision {
	CRASH_ESTIMATE_RUN,
	CRASH_ESTIMATE_TRIAL, /* the refusal lapsed: one run at a time */
	CRASH_ESTIMATE_HOLD, /* wait: not all ends may be known */
	CRASH_ESTIMATE_REFUSE,
};

struct crash_estimates;

extern const struct crash_estimate_params crash_estimate_defaults;

struct crash_estimates *crash_estimate_new(
	const struct crash_estimate_params *params);
void crash_estimate_free(struct crash_estimates *p);
void crash_estimate_run_began(struct crash_estimates *p,
			      const struct crash_estimate_run *run);
void crash_estimate_run_lives(struct crash_estimates *p, uint64_t id,
			      uint64_t at_ms);
void crash_estimate_run_completed(struct crash_estimates *p, uint64_t id,
				  uint64_t at_ms);
void crash_estimate_run_broke(struct crash_estimates *p, uint64_t id,
			      uint64_t at_ms);
void crash_estimate_add_report(struct crash_estimates *p,
			       const struct crash_estimate_report *report);
bool crash_estimate_next_report(const struct crash_estimates *p,
				uint64_t content, size_t *index,
				struct crash_estimate_report *report);
void crash_estimate_endpoint_answered(struct crash_estimates *p,
				      uint64_t endpoint, uint64_t at_ms);
void crash_estimate_endpoint_ended(struct crash_estimates *p, uint64_t endpoint,
				   uint64_t shown_ms);
void crash_estimate_evaluate(struct crash_estimates *p, uint64_t now);
enum crash_estimate_decision crash_estimate_decide(
	const struct crash_estimates *p, uint64_t content, uint64_t now);
uint64_t crash_estimate_refused_ms(const struct crash_estimates *p,
				   uint64_t content, uint64_t now);
struct crash_estimate_result crash_estimate_result(
	const struct crash_estimates *p, uint64_t content);

#endif /* POLICY_CRASH_ESTIMATE_H */
