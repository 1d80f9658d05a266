/*
 * Service-level objectives: counts of good and bad outcomes per minute, for the
 * burn report, and the histograms and counters of generations.
 */
#include "entryd/objectives.h"

#include <stdlib.h>
#include <string.h>

#include "entryd/services.h"
#include "lib/counters.h"
#include "lib/ident.h"
#include "lib/xalloc.h"
#include "policy/burn.h"

struct objective {
	char *name;
	uint64_t service; /* id; 0: all */
	uint64_t org; /* id; 0: all */
	int measure; /* enum objective_measure */
	double threshold;
	struct burn burn;
};

struct objectives {
	struct objective *all;
	size_t n;
};

static struct histogram first_token = {
	.name = "cdmentryd_first_token_seconds",
	.help = "Time from a request's arrival to its first token.",
};
static struct histogram resume_latency = {
	.name = "cdmentryd_resume_seconds",
	.help = "Time that output stood still while a generation moved.",
};
static struct counter finished = {
	.name = "cdmentryd_generations_finished",
	.help = "Generations that were answered whole.",
};
static struct counter given_up = {
	.name = "cdmentryd_generations_given_up",
	.help = "Generations that were refused or given up.",
};

static void count(struct entryd *e, int measure, uint64_t service, uint64_t org,
		  double value);
static void keep_counts(struct objective *o, struct objectives *old);

/* Allocates an empty table and registers the metrics. */
struct objectives *objectives_new(void)
{
	histogram_register(&first_token);
	histogram_register(&resume_latency);
	counter_register(&finished);
	counter_register(&given_up);
	return xcalloc(1, sizeof(struct objectives));
}

/* Frees a table. */
void objectives_free(struct objectives *t)
{
	while (t->n)
		free(t->all[--t->n].name);
	free(t->all);
	free(t);
}

/* Applies the objectives of a new configuration.  Objectives that it keeps
 * retain their counts. */
void objectives_configure(struct entryd *e)
{
	const struct config *c = e->config;
	struct objectives *old = e->objectives;
	struct objectives *t = xcalloc(1, sizeof(*t));
	size_t i;

	t->n = c->n_objectives;
	t->all = xcalloc(t->n, sizeof(*t->all));
	for (i = 0; i < t->n; i++) {
		const struct config_objective *from = &c->objectives[i];
		struct objective *o = &t->all[i];

		o->name = xstrdup(from->name);
		o->service = from->service ? name_id(from->service) : 0;
		o->org = from->organisation ? name_id(from->organisation) : 0;
		o->measure = from->measure;
		o->threshold = from->threshold;
		burn_init(&o->burn, entryd_now(e));
		keep_counts(o, old);
	}
	objectives_free(old);
	e->objectives = t;
}

/* Records that a generation's output resumed after a pause of ms. */
void objectives_record_resume(struct entryd *e, const struct generation *g,
			      uint64_t ms)
{
	histogram_add(&resume_latency, (double)ms);
	count(e, OBJECTIVE_RESUME_LATENCY, service_get(e, g->service)->id,
	      g->org_id, (double)ms);
}

/* Records that the first token arrived after ms. */
void objectives_record_first_token(struct entryd *e, const struct generation *g,
				   uint64_t ms)
{
	histogram_add(&first_token, (double)ms);
	count(e, OBJECTIVE_FIRST_TOKEN, service_get(e, g->service)->id,
	      g->org_id, (double)ms);
}

/* Records the end of a generation, complete or given up.  Its extra work counts
 * as the number of repeated attempts. */
void objectives_record_generation(struct entryd *e, const struct generation *g,
				  bool whole)
{
	uint64_t service = service_get(e, g->service)->id;
	uint32_t attempts = g->resume.last_attempt;

	counter_add(whole ? &finished : &given_up, 1);
	count(e, OBJECTIVE_REFUSALS, service, g->org_id, whole ? 0 : 1);
	if (whole && attempts)
		count(e, OBJECTIVE_EXTRA_WORK, service, g->org_id,
		      attempts - 1.0);
}

/* Records the end of a plain call, answered or refused. */
void objectives_record_call(struct entryd *e, uint64_t service, uint64_t org,
			    bool answered)
{
	count(e, OBJECTIVE_REFUSALS, service, org, answered ? 0 : 1);
}

/* Returns the counts of all objectives per minute, oldest first, as JSON. */
json_t *objectives_json(const struct entryd *e)
{
	uint64_t minute = entryd_now(e) / BURN_MINUTE_MS;
	json_t *list = json_array();
	size_t i;
	uint64_t back;

	for (i = 0; i < e->objectives->n; i++) {
		const struct objective *o = &e->objectives->all[i];
		json_t *good = json_array();
		json_t *bad = json_array();

		for (back = BURN_MINUTES; back-- > 0;) {
			uint64_t at = minute - back;
			const struct burn_minute *m =
				&o->burn.ring[at % BURN_MINUTES];
			bool known = at <= o->burn.minute &&
				     at + BURN_MINUTES > o->burn.minute;

			json_array_append_new(good, json_integer(known ? m->good
								       : 0));
			json_array_append_new(bad,
					      json_integer(known ? m->bad : 0));
		}
		json_array_append_new(list, json_pack("{s:s, s:o, s:o}", "name",
						      o->name, "good", good,
						      "bad", bad));
	}
	return list;
}

/* Counts a value for the objectives that match.  A value up to the threshold is
 * good; for refusals, only 0 is. */
static void count(struct entryd *e, int measure, uint64_t service, uint64_t org,
		  double value)
{
	size_t i;

	for (i = 0; i < e->objectives->n; i++) {
		struct objective *o = &e->objectives->all[i];
		bool good = value <= o->threshold;

		if (o->measure != measure ||
		    (o->service && o->service != service) ||
		    (o->org && o->org != org))
			continue;
		if (measure == OBJECTIVE_REFUSALS)
			good = value == 0;
		burn_add(&o->burn, entryd_now(e), good, !good);
	}
}

/* Copies the counts of an objective of the same name and measure from the
 * previous table. */
static void keep_counts(struct objective *o, struct objectives *old)
{
	size_t i;

	for (i = 0; i < old->n; i++)
		if (!strcmp(old->all[i].name, o->name) &&
		    old->all[i].measure == o->measure)
			o->burn = old->all[i].burn;
}
