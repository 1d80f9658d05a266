#ifndef REGRESS_PART_RULE_H
#define REGRESS_PART_RULE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "regress/platform_standin.h"

/* The users' rules on a part of a prompt that crashes workers, checked from
 * outside: arrivals of requests with the part, and how many sound requests that
 * share their other parts begin. */

#define PART_RULE_CRASHES 5 /* from the last of these on arrivals count */
#define PART_RULE_LATE_MAX 3 /* allowed of them */

struct part_rule {
	uint64_t contact_ms; /* in which all instances learn of a crash */
};

/* Sound requests sent within a time. */
struct part_rule_sound {
	size_t sent;
	size_t begun; /* at the first attempt */
};

size_t part_rule_late(const struct part_rule *rule,
		      const struct standin_world *world);
uint64_t part_rule_sound_from(const struct part_rule *rule,
			      const struct standin_world *world);
bool part_rule_sound_kept(const struct part_rule_sound *before,
			  const struct part_rule_sound *after);

#endif /* REGRESS_PART_RULE_H */
