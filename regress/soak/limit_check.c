/*
 * Checks the users' rule on workers that name a limit by the requests that
 * arrived at workers and the answers that callers received.
 */
#include "regress/soak/limit_check.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"

/* Requests that a fault of a link held up arrive within this time after it
 * ends.  The users' rule excuses twice as long. */
#define HELD_UP_MS 1500

static bool counts(const struct limit_rule_filter *f,
		   const struct standin_arrival *a, uint64_t named_ms);

/* Initialises the check; requests knows to which instance requests are sent,
 * and when the rule does not apply to instances and links. */
void limit_check_init(struct limit_check *c,
		      const struct holdoff_rule *requests)
{
	*c = (struct limit_check){
		.filter = { .counts = counts },
		.requests = requests,
	};
}

/* Records that a caller received an answer in which a worker names its limit.
 * The worker is the one where the request arrived last. */
void limit_check_answer_relayed(struct limit_check *c,
				const struct standin_world *w,
				unsigned int number, uint64_t now)
{
	const struct holdoff_request *request = &c->requests->requests[number];
	struct limit_told *told;
	size_t i = w->n_arrivals;

	while (i &&
	       holdoff_rule_request(c->requests, w->arrivals[i - 1]) != request)
		i--;
	if (!i || !w->arrivals[i - 1]->limit[0])
		return;
	c->told = xreallocarray(c->told, c->n_told + 1, sizeof(*c->told));
	told = &c->told[c->n_told++];
	told->instance = request->instance;
	told->at_ms = now;
	memcpy(told->worker_id, w->arrivals[i - 1]->worker_id,
	       sizeof(told->worker_id));
}

/* Fails the test if the rule is violated; prints the figures with the seed. */
void limit_check_all(const struct limit_check *c, uint64_t seed,
		     const struct standin_world *w)
{
	const struct limit_use use =
		limit_rule_worst(w, LIMIT_RULE_APPLIED_MS, &c->filter);

	print_message("seed %llu: %zu answers with limits relayed, at most %zu "
		      "requests in %u ms, %.4g are allowed\n",
		      (unsigned long long)seed, c->n_told, use.arrivals,
		      LIMIT_RULE_WINDOW_MS, use.allowed);
	if (use.used > 1)
		fail_msg("%s got more requests than its limit allows, up to "
			 "%llu ms",
			 use.worker_id, (unsigned long long)use.end_ms);
}

/* Frees the records. */
void limit_check_release(struct limit_check *c)
{
	free(c->told);
	c->told = NULL;
	c->n_told = 0;
}

/* Returns whether an arrival counts: its instance was told of the limit in time,
 * since it was started or resumed last, and no fault of a link held it up.
 * Arrivals that are not of callers' requests count. */
static bool counts(const struct limit_rule_filter *f,
		   const struct standin_arrival *a, uint64_t named_ms)
{
	const struct limit_check *c = (const struct limit_check *)f;
	const struct holdoff_request *request =
		holdoff_rule_request(c->requests, a);
	size_t worker = (size_t)(a->worker - a->worker->world->workers);
	size_t i;

	if (exemption_list_any_between(
		    &c->requests->link_exemptions, worker,
		    a->at_ms > HELD_UP_MS ? a->at_ms - HELD_UP_MS : 0,
		    a->at_ms))
		return false;
	if (!request)
		return true;
	for (i = 0; i < c->n_told; i++) {
		const struct limit_told *told = &c->told[i];

		if (told->instance == request->instance &&
		    told->at_ms >= named_ms &&
		    told->at_ms + LIMIT_RULE_TOLD_MS <= a->at_ms &&
		    !strcmp(told->worker_id, a->worker_id) &&
		    !exemption_list_any_between(
			    &c->requests->instance_exemptions,
			    request->instance, told->at_ms, a->at_ms))
			return true;
	}
	return false;
}
