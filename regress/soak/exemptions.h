#ifndef REGRESS_SOAK_EXEMPTIONS_H
#define REGRESS_SOAK_EXEMPTIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The time of an event after which a rule does not apply to an instance or a
 * link.  For how long is up to the rule. */
struct exemption {
	size_t subject; /* number of the instance or link */
	uint64_t at_ms;
};

struct exemption_list {
	struct exemption *entries;
	size_t n;
};

void exemption_list_add(struct exemption_list *e, size_t subject, uint64_t now);
bool exemption_list_any_between(const struct exemption_list *e, size_t subject,
				uint64_t from, uint64_t to);
void exemption_list_release(struct exemption_list *e);

#endif /* REGRESS_SOAK_EXEMPTIONS_H */
