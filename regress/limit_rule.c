/*
 * The users' rule on limits: a worker that names a limit of L requests per
 * second gets in no 4 s more than 1.5 x L x 4 + 5, from some time after it first
 * named the limit.  What is no number names no limit.
 */
#include "regress/limit_rule.h"

#include <stdlib.h>
#include <string.h>

#include "lib/xalloc.h"

#define ALLOWED_FACTOR 1.5
#define ALLOWED_MORE 5

/* An arrival that counts. */
struct counted {
	uint64_t at_ms;
	double limit;
};

static size_t list_counted(const struct standin_world *w, size_t worker,
			   uint64_t applied_ms,
			   const struct limit_rule_filter *filter,
			   struct counted *list);
static bool names_limit(const struct standin_arrival *a);
static double highest_limit(const struct counted *list, size_t n);

/* Returns the worst window.  Windows begin applied_ms or later after the worker
 * first named its limit.  If the limit changes, the highest that a window's
 * answers name counts.  A limit is over with an answer that names none, and with
 * a new start of the worker.  A NULL filter counts all arrivals. */
struct limit_use limit_rule_worst(const struct standin_world *w,
				  uint64_t applied_ms,
				  const struct limit_rule_filter *filter)
{
	struct counted *list = xcalloc(w->n_arrivals + 1, sizeof(*list));
	struct limit_use worst = { 0 };
	size_t worker;

	for (worker = 0; worker < w->n_workers; worker++) {
		size_t n = list_counted(w, worker, applied_ms, filter, list);
		size_t first = 0;
		size_t i;

		for (i = 0; i < n; i++) {
			struct limit_use use = {
				.worker_id = w->workers[worker].id,
				.end_ms = list[i].at_ms,
			};

			while (list[i].at_ms - list[first].at_ms >
			       LIMIT_RULE_WINDOW_MS)
				first++;
			use.arrivals = i - first + 1;
			use.allowed = ALLOWED_FACTOR *
					      highest_limit(list + first,
							    use.arrivals) *
					      (LIMIT_RULE_WINDOW_MS / 1000.0) +
				      ALLOWED_MORE;
			use.used = (double)use.arrivals / use.allowed;
			if (use.used > worst.used)
				worst = use;
		}
	}
	free(list);
	return worst;
}

/* Lists the arrivals that count, in order of time; returns their number. */
static size_t list_counted(const struct standin_world *w, size_t worker,
			   uint64_t applied_ms,
			   const struct limit_rule_filter *filter,
			   struct counted *list)
{
	uint64_t named_ms = 0;
	const char *id = "";
	size_t n = 0;
	size_t i;

	for (i = 0; i < w->n_arrivals; i++) {
		const struct standin_arrival *a = w->arrivals[i];

		if (a->worker != &w->workers[worker])
			continue;
		if (!names_limit(a) || strcmp(a->worker_id, id) != 0)
			named_ms = 0;
		id = a->worker_id;
		if (!names_limit(a))
			continue;
		if (!named_ms)
			named_ms = a->at_ms;
		if (a->at_ms < named_ms + applied_ms ||
		    (filter && !filter->counts(filter, a, named_ms)))
			continue;
		list[n].at_ms = a->at_ms;
		list[n++].limit = strtod(a->limit, NULL);
	}
	return n;
}

/* Returns whether the answer to an arrival names a number as limit. */
static bool names_limit(const struct standin_arrival *a)
{
	char *end;
	double limit = strtod(a->limit, &end);

	return a->limit[0] && !*end && limit >= 0;
}

/* Returns the highest limit that the answers to some arrivals name. */
static double highest_limit(const struct counted *list, size_t n)
{
	double highest = 0;
	size_t i;

	for (i = 0; i < n; i++)
		if (list[i].limit > highest)
			highest = list[i].limit;
	return highest;
}
