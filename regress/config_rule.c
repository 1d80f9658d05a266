/*
 * The users' rule CONFIG: a request that is sent later than a bound after a
 * version was acknowledged is not handled as only an older one allows, nor as only
 * an older one than its process has shown.
 */
#include "regress/config_rule.h"

#include <stdlib.h>

#include "lib/xalloc.h"

static void note_shown(struct config_rule *r, const struct config_outcome *o,
		       size_t number);

/* Records that a version was written and acknowledged. */
void config_rule_written(struct config_rule *r, uint64_t now)
{
	if (r->n < CONFIG_RULE_VERSIONS_MAX)
		r->written_ms[r->n++] = now;
}

/* Checks how a request was handled.  A version shows in a process from the first
 * outcome on that no older one allows. */
enum config_fault config_rule_check(struct config_rule *r,
				    const struct config_outcome *o)
{
	size_t first = r->n; /* of the versions that allow it */
	size_t last = 0;
	enum config_fault fault = CONFIG_FAULT_NONE;
	size_t i;

	for (i = 0; i < r->n && r->written_ms[i] <= o->over_ms; i++) {
		if (!o->allows(i, o->request))
			continue;
		if (first == r->n)
			first = i;
		last = i;
	}
	if (first == r->n)
		fault = CONFIG_FAULT_UNKNOWN;
	else if (o->process < r->n_processes && last < r->shown[o->process] &&
		 o->sent_ms > r->shown_ms[o->process] + CONFIG_RULE_ROLLBACK_MS)
		fault = CONFIG_FAULT_BACK;
	else if (o->in_touch && last + 1 < r->n &&
		 r->written_ms[last + 1] + CONFIG_RULE_APPLY_MS < o->sent_ms)
		fault = CONFIG_FAULT_OLD;
	r->checked += o->in_touch;
	r->faults[fault]++;
	if (fault == CONFIG_FAULT_OLD) {
		uint64_t late_ms = o->sent_ms - r->written_ms[last + 1] -
				   CONFIG_RULE_APPLY_MS;

		if (late_ms > r->latest_ms)
			r->latest_ms = late_ms;
	}
	if (first < r->n)
		note_shown(r, o, first);
	return fault;
}

/* Notes that a process has shown a version. */
static void note_shown(struct config_rule *r, const struct config_outcome *o,
		       size_t number)
{
	while (r->n_processes <= o->process) {
		size_t n = r->n_processes + 1;

		r->shown = xreallocarray(r->shown, n, sizeof(*r->shown));
		r->shown_ms =
			xreallocarray(r->shown_ms, n, sizeof(*r->shown_ms));
		r->shown[r->n_processes] = 0;
		r->shown_ms[r->n_processes++] = 0;
	}
	if (number <= r->shown[o->process])
		return;
	r->shown[o->process] = number;
	r->shown_ms[o->process] = o->over_ms;
}

/* Frees what the rule holds. */
void config_rule_release(struct config_rule *r)
{
	free(r->shown);
	free(r->shown_ms);
}
