/*
 * The users' rule on repeats: in no window does a service get more arrivals
 * beyond the first of each request than ratio x requests + slack.  The requests
 * are those that callers sent in that window, in the one half a window earlier
 * or in the one a whole window earlier, whichever has most.
 */
#include "regress/repeat_rule.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "lib/xalloc.h"

struct repeat_rule_sent {
	const char *service;
	uint64_t at_ms;
};

/* An arrival and the hash of its request's id. */
struct arrival {
	uint64_t id;
	uint64_t at_ms;
};

static size_t requests_in(const struct repeat_rule *rule, const char *service,
			  uint64_t end_ms);
static size_t list_arrivals(const struct standin_world *world,
			    const char *service, struct arrival *list);
static size_t list_repeats(struct arrival *list, size_t n, uint64_t *at_ms);
static int by_request(const void *a, const void *b);
static int by_time(const void *a, const void *b);

/* Records a request that a caller sent; service is not copied. */
void repeat_rule_sent(struct repeat_rule *rule, const char *service,
		      uint64_t at_ms)
{
	rule->sent = xreallocarray(rule->sent, rule->n_sent + 1,
				   sizeof(*rule->sent));
	rule->sent[rule->n_sent++] =
		(struct repeat_rule_sent){ service, at_ms };
}

/* Returns the window of a service that uses the largest part of what is
 * allowed.  Only windows that end at a repeat are considered. */
struct repeat_use repeat_rule_worst(const struct repeat_rule *rule,
				    const struct standin_world *world,
				    const char *service)
{
	struct arrival *list = xcalloc(world->n_arrivals + 1, sizeof(*list));
	uint64_t *at_ms = xcalloc(world->n_arrivals + 1, sizeof(*at_ms));
	struct repeat_use worst = { .allowed = rule->slack };
	size_t n =
		list_repeats(list, list_arrivals(world, service, list), at_ms);
	size_t first = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		struct repeat_use e = { .end_ms = at_ms[i] };
		uint64_t half = rule->window_ms / 2;
		int back;

		while (at_ms[i] - at_ms[first] >= rule->window_ms)
			first++;
		e.repeats = i - first + 1;
		for (back = 0; back <= 2; back++) {
			size_t k = requests_in(rule, service,
					       at_ms[i] - half * back);

			if (k > e.requests)
				e.requests = k;
		}
		e.allowed = rule->ratio * (double)e.requests + rule->slack;
		e.used = e.allowed > 0 ? (double)e.repeats / e.allowed
				       : INFINITY;
		if (e.used > worst.used)
			worst = e;
	}
	free(at_ms);
	free(list);
	return worst;
}

/* Frees the recorded requests. */
void repeat_rule_release(struct repeat_rule *rule)
{
	free(rule->sent);
	rule->sent = NULL;
	rule->n_sent = 0;
}

/* Counts the requests for a service within the window that ends at end_ms. */
static size_t requests_in(const struct repeat_rule *rule, const char *service,
			  uint64_t end_ms)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < rule->n_sent; i++) {
		const struct repeat_rule_sent *s = &rule->sent[i];

		n += s->at_ms <= end_ms &&
		     end_ms - s->at_ms < rule->window_ms &&
		     !strcmp(s->service, service);
	}
	return n;
}

/* Lists the arrivals of requests at a service's workers; returns their number.
 * An arrival without a request id is a health check or an order. */
static size_t list_arrivals(const struct standin_world *world,
			    const char *service, struct arrival *list)
{
	static const char key[] = "\nrequest-id: ";
	size_t n = 0;
	size_t i;

	for (i = 0; i < world->n_arrivals; i++) {
		const struct standin_arrival *a = world->arrivals[i];
		const char *id = strstr(a->head, key);

		if (!id || strcmp(a->worker->service, service) != 0)
			continue;
		id += sizeof(key) - 1;
		list[n].id = XXH3_64bits(id, strcspn(id, "\n"));
		list[n++].at_ms = a->at_ms;
	}
	return n;
}

/* Lists the times of the arrivals beyond the first of each request, in order;
 * returns their number. */
static size_t list_repeats(struct arrival *list, size_t n, uint64_t *at_ms)
{
	size_t repeats = 0;
	size_t i;

	qsort(list, n, sizeof(*list), by_request);
	for (i = 1; i < n; i++)
		if (list[i].id == list[i - 1].id)
			at_ms[repeats++] = list[i].at_ms;
	qsort(at_ms, repeats, sizeof(*at_ms), by_time);
	return repeats;
}

/* Compares arrivals by request, then by time. */
static int by_request(const void *a, const void *b)
{
	const struct arrival *x = a;
	const struct arrival *y = b;

	if (x->id != y->id)
		return x->id < y->id ? -1 : 1;
	return by_time(&x->at_ms, &y->at_ms);
}

/* Compares times. */
static int by_time(const void *a, const void *b)
{
	const uint64_t *x = a;
	const uint64_t *y = b;

	return *x < *y ? -1 : *x > *y;
}
