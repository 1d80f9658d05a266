/*
 * The users' rule LOST: beside planned work an instance ends no connection of a
 * request that it has read without a complete answer, and at any time not more
 * than three kept ones whose request it has passed on.
 */
#include "regress/lost_rule.h"

static bool counts(const struct lost_request *r);
static bool beside_stop(const struct lost_run *run,
			const struct lost_request *r);
static bool beside_reload(const struct lost_run *run,
			  const struct lost_request *r);
static size_t beside_config(const struct lost_run *run, size_t instance,
			    uint64_t at_ms);

/* Judges an instance. */
struct lost_verdict lost_rule_judge(const struct lost_run *run, size_t instance)
{
	struct lost_verdict v = { 0 };
	size_t i;

	for (i = 0; i < run->n_requests; i++) {
		const struct lost_request *r = &run->requests[i];

		if (r->instance != instance)
			continue;
		v.kept += r->whole_ms && r->kept && r->passed_on && !r->begun &&
			  !r->broken_off;
		if (!counts(r))
			continue;
		v.beside_stops += beside_stop(run, r);
		v.beside_reloads += beside_reload(run, r);
	}
	if (v.kept <= LOST_RULE_KEPT)
		v.kept = 0;
	for (i = 0; i < run->n_works; i++) {
		size_t n = run->works[i].kind == LOST_WORK_CONFIG
				   ? beside_config(run, instance,
						   run->works[i].at_ms)
				   : 0;

		if (n > v.beside_config)
			v.beside_config = n;
	}
	return v;
}

/* Returns whether nothing breaks the rule. */
bool lost_rule_holds(const struct lost_verdict *v)
{
	return !v->beside_stops && !v->beside_reloads && !v->beside_config &&
	       !v->kept;
}

/* Returns whether a request counts beside planned work. */
static bool counts(const struct lost_request *r)
{
	if (!r->whole_ms || r->broken_off ||
	    r->over_ms >= r->sent_ms + r->limit_ms)
		return false;
	return r->passed_on || r->over_ms > r->whole_ms + LOST_RULE_SLACK_MS;
}

/* Returns whether a SIGTERM of its instance makes a request count.  One that an
 * endpoint is at work on in the last sixth of the grace time does not. */
static bool beside_stop(const struct lost_run *run,
			const struct lost_request *r)
{
	size_t i;

	for (i = 0; i < run->n_works; i++) {
		const struct lost_work *w = &run->works[i];
		uint64_t late_ms = w->at_ms + run->grace_ms * 5 / 6;

		if (w->kind != LOST_WORK_STOP || w->instance != r->instance ||
		    r->over_ms < w->at_ms ||
		    r->over_ms > w->at_ms + run->grace_ms + LOST_RULE_AFTER_MS)
			continue;
		if (r->at_work && r->over_ms >= late_ms &&
		    r->sent_ms <= w->at_ms + LOST_RULE_STOP_SENT_MS)
			continue;
		return true;
	}
	return false;
}

/* Returns whether a SIGHUP of its instance makes a request count. */
static bool beside_reload(const struct lost_run *run,
			  const struct lost_request *r)
{
	size_t i;

	for (i = 0; i < run->n_works; i++) {
		const struct lost_work *w = &run->works[i];

		if (w->kind == LOST_WORK_RELOAD && w->instance == r->instance &&
		    r->sent_ms <= w->at_ms + LOST_RULE_APPLY_MS &&
		    r->over_ms >= w->at_ms)
			return true;
	}
	return false;
}

/* Returns how many requests an instance cuts while a configuration may come into
 * force, 0 if these are not over three times as many in the same time as before
 * and after.  One that has used seven tenths of its time does not count. */
static size_t beside_config(const struct lost_run *run, size_t instance,
			    uint64_t at_ms)
{
	uint64_t until_ms = at_ms + LOST_RULE_APPLY_MS + LOST_RULE_AFTER_MS;
	uint64_t end_ms = until_ms < run->end_ms ? until_ms : run->end_ms;
	uint64_t beside_ms = end_ms > at_ms ? end_ms - at_ms : 0;
	uint64_t other_ms = run->end_ms - run->begin_ms - beside_ms;
	size_t beside = 0;
	size_t other = 0;
	size_t i;

	for (i = 0; i < run->n_requests; i++) {
		const struct lost_request *r = &run->requests[i];

		if (r->instance != instance || !counts(r) ||
		    (r->over_ms - r->sent_ms) * 10 >= r->limit_ms * 7)
			continue;
		if (r->over_ms >= at_ms && r->over_ms <= until_ms)
			beside++;
		else
			other++;
	}
	return beside * other_ms > LOST_RULE_OTHER_TIMES * other * beside_ms
		       ? beside
		       : 0;
}
