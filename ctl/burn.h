#ifndef CTL_BURN_H
#define CTL_BURN_H

#include <stddef.h>
#include <stdint.h>

#include "policy/burn.h"

/* One objective with the summed outcomes of all cdmentryds. */
struct objective {
	const char *name;
	const char *scope; /* service, organisation or "all services" */
	double target; /* least fraction of good events, 0 to 1 */
	struct burn burn;
	struct burn_report report;
};

/* Content of the report. */
struct burn_summary {
	struct objective *objectives;
	size_t n;
	size_t n_queried; /* cdmentryds asked */
	size_t n_failed; /* cdmentryds that did not answer */
	uint64_t now; /* ms since the epoch */
};

const char *burn_level_sentence(enum burn_level level);
void burn_html(const struct burn_summary *s);

#endif /* CTL_BURN_H */
