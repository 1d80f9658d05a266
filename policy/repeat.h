#ifndef POLICY_REPEAT_H
#define POLICY_REPEAT_H

#include <stdbool.h>
#include <stdint.h>

/* Parts of a window that are kept: the window, what may still be on its way to
 * an endpoint when it leaves the window, and the time ahead that a loan is
 * counted at. */
#define REPEAT_BUCKETS 32

/* What may be sent again over all instances within a window. */
struct repeat_params {
	uint32_t window_ms;
	uint32_t ratio_permille; /* repeats for each request */
	uint32_t slack; /* repeats beyond that, all instances together */
	uint32_t grace_ms; /* an instance that leaves works on for so long */
};

/* Requests and repeats of one service at one instance, by parts of a window. */
struct repeat_budget {
	uint32_t requests[REPEAT_BUCKETS];
	uint32_t repeats[REPEAT_BUCKETS];
	uint32_t borrowed[REPEAT_BUCKETS]; /* repeats that others lent */
	uint32_t held; /* taken, not sent yet */
	uint32_t loan_left; /* of the newest loan */
	uint64_t loan_bucket; /* where that loan is counted */
	uint64_t loan_until_ms; /* it is to be taken by then */
	uint64_t bucket; /* number of the current part */
	uint32_t bucket_ms; /* its length; a reload may change it */
};

/* The instances that the slack is divided among. */
struct repeat_group {
	uint32_t instances; /* most that were listed lately, this one too */
	uint64_t seen_ms; /* when so many were last listed */
	uint64_t known_since_ms; /* since when the list is known; 0: it is not */
};

/* A repeat that was taken out of the budget. */
enum repeat_token {
	REPEAT_NONE, /* none is left */
	REPEAT_OWN, /* of this instance's share */
	REPEAT_LENT, /* of a loan */
};

/* What a decision was made by. */
struct repeat_share {
	uint32_t repeats; /* that are this instance's within the window */
	uint32_t borrowed; /* of them, from others */
	uint32_t used; /* of them */
	uint32_t requests; /* within the window */
	uint32_t instances; /* that share the slack; 0: not known */
	bool full_slack; /* this instance's part of the slack is due */
};

void repeat_group_update(struct repeat_group *s,
			   const struct repeat_params *p, uint32_t instances,
			   uint64_t now);
void repeat_request(struct repeat_budget *b, const struct repeat_params *p,
		    uint64_t now);
enum repeat_token repeat_take(struct repeat_budget *b,
			      const struct repeat_params *p,
			      const struct repeat_group *sharers,
			      uint64_t now, struct repeat_share *seen);
bool repeat_optional_allowed(struct repeat_budget *b, const struct repeat_params *p,
		  const struct repeat_group *sharers, uint64_t now);
uint32_t repeat_lend(struct repeat_budget *b, const struct repeat_params *p,
		     const struct repeat_group *sharers, uint32_t wanted,
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
