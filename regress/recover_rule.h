#ifndef REGRESS_RECOVER_RULE_H
#define REGRESS_RECOVER_RULE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The users' rule RECOVER on instances that are parted from all endpoints while
 * callers, the store and the other instances still reach them, checked from what
 * callers get for their first tries. */

#define RECOVER_RULE_CONTACT_MS 3000 /* the users' contactMs */

/* How a try ended. */
enum recover_end {
	RECOVER_SERVED, /* answered with success */
	/* refused, failed or not answered; or its connection was refused, or
	 * closed with the request unread */
	RECOVER_FAILED,
	RECOVER_ACCEPTED, /* accepted for later, which doesn't count */
};

/* The first try of a caller. */
struct recover_try {
	uint64_t at_ms; /* when it was sent */
	size_t instance;
	bool in_touch; /* the instance at that time; others don't count */
	enum recover_end end;
};

/* A time in which an instance is parted from all endpoints. */
struct recover_cut {
	size_t instance;
	uint64_t from_ms;
	uint64_t until_ms; /* UINT64_MAX: it lasts */
};

struct recover_count {
	uint64_t tries;
	uint64_t served; /* of these */
};

/* The rule in one time of cuts that overlap; all times are of one clock. */
struct recover_rule {
	uint64_t contact_ms;
	struct recover_cut *cuts;
	size_t n_cuts;
	struct recover_count parted; /* tries at parted instances */
	struct recover_count others;
};

void recover_rule_cut(struct recover_rule *r, size_t instance, uint64_t now);
void recover_rule_joined(struct recover_rule *r, size_t instance, uint64_t now);
void recover_rule_try(struct recover_rule *r, const struct recover_try *t);
bool recover_rule_broken(const struct recover_rule *r);
void recover_rule_release(struct recover_rule *r);

#endif /* REGRESS_RECOVER_RULE_H */
