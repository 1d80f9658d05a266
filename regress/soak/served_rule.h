#ifndef REGRESS_SOAK_SERVED_RULE_H
#define REGRESS_SOAK_SERVED_RULE_H

#include <stdint.h>

#include "lib/http1_client.h"

/* The users' rule that requests of each class are served again once the faults
 * are over, and what those got that were not. */

#define SERVED_RULE_REASONS 8 /* kept of each class */
#define SERVED_RULE_REASON_SIZE 96

/* An answer other than 200 or an end without one, and how often it came. */
struct served_reason {
	int status; /* 0: none */
	enum http1_outcome outcome;
	char text[SERVED_RULE_REASON_SIZE]; /* start of the body */
	unsigned n;
};

struct served_class {
	unsigned served;
	struct served_reason reasons[SERVED_RULE_REASONS];
	unsigned n_reasons;
};

void served_rule_record(struct served_class *c, enum http1_outcome outcome,
			int status, const char *body, size_t len);
void served_rule_check(const struct served_class *c, const char *class_name,
		       uint64_t seed);

#endif /* REGRESS_SOAK_SERVED_RULE_H */
