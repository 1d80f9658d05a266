#ifndef REGRESS_CONFIG_RULE_H
#define REGRESS_CONFIG_RULE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The users' rule CONFIG, checked from how requests were handled.  Times are of
 * one clock. */

#define CONFIG_RULE_APPLY_MS 2000 /* the users' configApplyMs */
#define CONFIG_RULE_ROLLBACK_MS 250 /* the users' rollbackSlackMs */
#define CONFIG_RULE_VERSIONS_MAX 2048

/* How a request was handled, as far as it shows a configuration. */
struct config_outcome {
	uint64_t sent_ms;
	uint64_t over_ms;
	size_t process; /* a number of its own for each start of an instance */
	bool in_touch; /* the instance, when it was sent */
	/* tells whether a version, by its number in the order of writes, allows
	 * that a request is handled so */
	bool (*allows)(size_t number, const void *request);
	const void *request;
};

/* What broke the rule. */
enum config_fault {
	CONFIG_FAULT_NONE,
	CONFIG_FAULT_OLD, /* only a version that was replaced too long ago */
	CONFIG_FAULT_BACK, /* only an older one than its process has shown */
	CONFIG_FAULT_UNKNOWN, /* no version */
	CONFIG_FAULTS,
};

struct config_rule {
	uint64_t written_ms[CONFIG_RULE_VERSIONS_MAX]; /* and acknowledged */
	size_t n;
	/* for each process, the version that it has shown at least, and when */
	size_t *shown;
	uint64_t *shown_ms;
	size_t n_processes;
	unsigned int checked; /* outcomes of instances in touch */
	unsigned int faults[CONFIG_FAULTS];
	uint64_t
		latest_ms; /* most, from the end of the bound, of one too old */
};

void config_rule_written(struct config_rule *r, uint64_t now);
enum config_fault config_rule_check(struct config_rule *r,
				    const struct config_outcome *o);
void config_rule_release(struct config_rule *r);

#endif /* REGRESS_CONFIG_RULE_H */
