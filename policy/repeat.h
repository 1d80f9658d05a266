#ifndef POLICY_REPEAT_H
#define POLICY_REPEAT_H

#include <stdbool.h>
#include <stdint.h>

/* Time buckets that are kept: those of the window, those of repeats that may
 * still be on their way to an endpoint when they leave the window, and those
 * ahead in which a loan is counted. */
#define REPEAT_BUCKETS 32

/* The limit on repeats of all instances together within a window. */
struct repeat_params {
	uint32_t window_ms;
	uint32_t ratio_permille; /* repeats per request */
	uint32_t slack; /* repeats beyond that, of all instances together */
	uint32_t grace_ms; /* time that a leaving instance keeps working */
};

/* Requests and repeats of one service at one instance, by time bucket. */
struct repeat_budget {
	uint32_t requests[REPEAT_BUCKETS];
	uint32_t repeats[REPEAT_BUCKETS];
	uint32_t borrowed[REPEAT_BUCKETS]; /* repeats lent by others */
	uint32_t held; /* taken, not sent yet */
	uint32_t loan_left; /* not taken yet, of the newest loan */
	uint64_t loan_bucket; /* bucket that counts the newest loan */
	uint64_t loan_until_ms; /* time at which the newest loan expires */
	uint64_t bucket; /* number of the current bucket */
	uint32_t bucket_ms; /* length of a bucket; a reload may change it */
};

/* The instances among which the slack is divided. */
struct repeat_group {
	uint32_t instances; /* highest number listed lately, with this one */
	uint64_t seen_ms; /* when this many were last listed */
	uint64_t known_since_ms; /* time of the first list; 0: no list yet */
};

/* The source of a repeat that was taken out of the budget. */
enum repeat_token {
	REPEAT_NONE, /* no repeat is left */
	REPEAT_OWN, /* from this instance's share */
	REPEAT_LENT, /* from a loan */
};

/* The figures behind a decision. */
struct repeat_share {
	uint32_t repeats; /* available to this instance in the window */
	uint32_t borrowed; /* part of repeats: lent by others */
	uint32_t used; /* part of repeats: sent, held or lent */
	uint32_t requests; /* within the window */
	uint32_t instances; /* instances sharing the slack; 0: unknown */
	bool full_slack; /* this instance has its whole part of the slack */
};

void repeat_group_update(struct repeat_group *s, const struct repeat_params *p,
			 uint32_t instances, uint64_t now);
void repeat_count_request(struct repeat_budget *b,
			  const struct repeat_params *p, uint64_t now);
enum repeat_token repeat_take(struct repeat_budget *b,
			      const struct repeat_params *p,
			      const struct repeat_group *group, uint64_t now,
			      struct repeat_share *seen);
bool repeat_optional_allowed(struct repeat_budget *b,
			     const struct repeat_params *p,
			     const struct repeat_group *group, uint64_t now);
uint32_t repeat_lend(struct repeat_budget *b, const struct repeat_params *p,
		     const struct repeat_group *group, uint32_t wanted,
		     uint64_t now);
void repeat_add_loan(struct repeat_budget *b, const struct repeat_params *p,
		     uint32_t repeats, uint64_t asked_ms, uint64_t now);
void repeat_return(struct repeat_budget *b, enum repeat_token token);
void repeat_sent(struct repeat_budget *b, const struct repeat_params *p,
		 uint64_t now);
void repeat_send_failed(struct repeat_budget *b, const struct repeat_params *p,
			uint64_t sent_ms, uint64_t now);

void repeat_after_stall(struct repeat_budget *b, const struct repeat_params *p,
			uint64_t stall_ms, uint64_t now);

#endif /* POLICY_REPEAT_H */
