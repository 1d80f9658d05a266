/*
 * Checks the users' rule on requests that crash the workers that run them by
 * the requests that arrived at workers.
 */
#include "regress/soak/crash_rule.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"

/* The users' bounds: arrivals later than PROPAGATION_MS after the third
 * crash. */
#define PROPAGATION_MS 3000
#define LATE_MAX 3

static bool sender(const struct crash_rule *r, const struct standin_arrival *a,
		   size_t *instance);

/* Records that a caller sends the request to an instance.  Returns the number
 * of the attempt; its request id is "c-NUMBER". */
unsigned int crash_rule_sent(struct crash_rule *r, size_t instance)
{
	r->attempt_instances = xreallocarray(r->attempt_instances, r->n + 1,
					     sizeof(*r->attempt_instances));
	r->attempt_instances[r->n] = instance;
	return (unsigned int)r->n++;
}

/* Exempts the arrivals from an instance from the rule for PROPAGATION_MS: the
 * instance was started or resumed or receives datagrams again, or a fault of
 * the store began or ended. */
void crash_rule_exempt(struct crash_rule *r, size_t instance, uint64_t now)
{
	exemption_list_add(&r->exemptions, instance, now);
}

/* Fails the test if the rule is violated; prints the figures with the seed. */
void crash_rule_check(const struct crash_rule *r, uint64_t seed,
		      const struct standin_world *w)
{
	unsigned int late = 0;
	unsigned int all = 0;
	size_t instance;
	size_t i;

	for (i = 0; i < w->n_arrivals; i++) {
		const struct standin_arrival *a = w->arrivals[i];

		if (!standin_is_crash_request(a) || !sender(r, a, &instance))
			continue;
		all++;
		late += w->crash.n >= 3 &&
			a->at_ms > w->crash.at_ms[2] + PROPAGATION_MS &&
			!exemption_list_any_between(&r->exemptions, instance,
						    a->at_ms - PROPAGATION_MS,
						    a->at_ms);
	}
	print_message("seed %llu: a request that crashes its workers was sent "
		      "%zu times, arrived %u times, crashed %zu workers, "
		      "%u arrivals late\n",
		      (unsigned long long)seed, r->n, all, w->crash.n, late);
	if (late > LATE_MAX)
		fail_msg(
			"a request that crashes its workers arrives too often");
}

/* Frees the attempts and the exemptions. */
void crash_rule_release(struct crash_rule *r)
{
	free(r->attempt_instances);
	exemption_list_release(&r->exemptions);
}

/* Finds the instance that an arrival came from; returns false if it is not an
 * attempt of the crashing request. */
static bool sender(const struct crash_rule *r, const struct standin_arrival *a,
		   size_t *instance)
{
	static const char key[] = "\nrequest-id: c-";
	const char *id = strstr(a->head, key);
	size_t number;

	if (!id)
		return false;
	number = strtoul(id + sizeof(key) - 1, NULL, 10);
	if (number >= r->n)
		return false;
	*instance = r->attempt_instances[number];
	return true;
}
