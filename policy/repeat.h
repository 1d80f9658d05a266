#ifndef POLICY_REPEAT_H
#define POLICY_REPEAT_H

#include <stdbool.h>
#include <stdint.h>

#define REPEAT_SLOTS 20

/* What may be sent again over all instances within a window. */
struct repeat_params {
	uint32_t window_ms;
	uint32_t ratio_permille; /* repeats for each request */
	uint32_t slack; /* repeats beyond that, all instances together */
};

/* Requests and repeats of one service at one instance, by parts of a window. */
struct repeat_budget {
	uint32_t requests[REPEAT_SLOTS];
	uint32_t repeats[REPEAT_SLOTS];
	uint32_t held; /* allowed, not sent yet */
	uint64_t slot; /* number of the current part */
};

/* What all other instances together last said of a window. */
struct repeat_others {
	uint32_t instances;
	uint32_t requests;
	uint32_t repeats;
};

/* What a decision was made by: repeats within the window. */
struct repeat_balance {
	uint64_t allowed; /* all instances */
	uint64_t used; /* all instances, as far as they were heard */
	uint64_t share; /* of this instance */
	uint64_t own; /* used of it */
};

void repeat_request(struct repeat_budget *b, const struct repeat_params *p,
		    uint64_t now);
void repeat_sent(struct repeat_budget *b, const struct repeat_params *p,
		 uint64_t now);
void repeat_not_sent(struct repeat_budget *b, const struct repeat_params *p,
		     uint64_t sent_ms, uint64_t now);
bool repeat_take(struct repeat_budget *b, const struct repeat_params *p,
		 const struct repeat_others *others, uint64_t now,
		 struct repeat_balance *seen);
void repeat_return(struct repeat_budget *b);
bool repeat_spare(struct repeat_budget *b, const struct repeat_params *p,
		  const struct repeat_others *others, uint64_t now);
void repeat_counts(struct repeat_budget *b, const struct repeat_params *p,
		   uint64_t now, uint32_t *requests, uint32_t *repeats);

#endif /* POLICY_REPEAT_H */
