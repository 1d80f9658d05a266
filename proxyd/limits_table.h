#ifndef PROXYD_LIMITS_TABLE_H
#define PROXYD_LIMITS_TABLE_H

#include "lib/counters.h"
#include "proxyd/limits.h"

/* Private layout of the limits of endpoints, shared by limits.c and
 * limit_queue.c. */

struct limits {
	struct proxyd *proxyd;
	uint32_t n; /* endpoints that have named one */
	uint64_t refreshed_ms; /* last time that all limits were told */
	uint32_t n_waiting; /* requests that wait for a permit */
	struct counter *named;
	struct counter *ended;
	struct counter *unreadable;
	struct counter *own; /* permits used */
	struct counter *borrowed;
	struct counter *lent;
	struct counter *denied; /* requests for permits */
	struct counter *elsewhere; /* requests of callers */
	struct counter *waited;
	struct counter *refused;
};

#endif /* PROXYD_LIMITS_TABLE_H */
