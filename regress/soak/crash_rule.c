/*
 * The users' rule on requests that end the workers that run them, from what
 * reached workers.
 */
#include "regress/soak/crash_rule.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"

#define CONTACT_MS 3000 /* the users' bounds */
#define LATE_MAX 3

static bool sender(const struct crash_rule *r, const struct standin_arrival *a,
		   size_t *instance);

/* A caller sends the request to an instance; returns the attempt's number, which
 * stands in its id as "c-NUMBER". */
unsigned int crash_rule_sent(struct crash_rule *r, size_t instance)
{
	r->instances =
		xreallocarray(r->instances, r->n + 1, sizeof(*r->instances));
	r->instances[r->n] = instance;
	return (unsigned int)r->n++;
}

/* An instance was started or woke, or what the others say reaches it again, or the
 * store is harmed. */
void crash_rule_excuse(struct crash_rule *r, size_t instance, uint64_t now)
{
	excuses_add(&r->excuses, instance, now);
}

/* Fails if the rule was broken; the message names the seed of the run. */
void crash_rule_check(const struct crash_rule *r, uint64_t seed,
		      const struct standin_world *w)
{
	unsigned int late = 0;
	unsigned int all = 0;
	size_t instance;
	size_t i;

	for (i = 0; i < w->n_arrivals; i++) {
		const struct standin_arrival *a = w->arrivals[i];

		if (!standin_crashes(a) || !sender(r, a, &instance))
			continue;
		all++;
		late += w->crash.n >= 3 &&
			a->at_ms > w->crash.at_ms[2] + CONTACT_MS &&
			!excuses_between(&r->excuses, instance,
					 a->at_ms - CONTACT_MS, a->at_ms);
	}
	print_message("seed %llu: a request that ends its workers came %zu "
		      "times, arrived %u times, ended %zu, %u arrivals late\n",
		      (unsigned long long)seed, r->n, all, w->crash.n, late);
	if (late > LATE_MAX)
		fail_msg("a request that ends its workers is sent to more");
}

/* Frees what was noted. */
void crash_rule_release(struct crash_rule *r)
{
	free(r->instances);
	excuses_release(&r->excuses);
}

/* Finds the instance that an arrival came from; false if it is no attempt. */
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
	*instance = r->instances[number];
	return true;
}
