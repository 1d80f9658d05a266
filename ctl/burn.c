/*
 * cdmctl report burn: burn rates of the objectives in the configuration in
 * force, from the per-minute outcomes that all cdmentryds count.
 */
#include "ctl/burn.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ctl/command.h"
#include "lib/config.h"
#include "lib/xalloc.h"

static struct config *config_in_force(struct command *c);
static void summary_init(struct burn_summary *s, const struct config *config);
static void collect_outcomes(struct burn_summary *s, const json_t *addresses);
static void add_answer(struct burn_summary *s, const json_t *objectives);
static void add_minutes(struct objective *o, uint64_t now, const json_t *good,
			const json_t *bad);
static uint32_t count_at(const json_t *list, size_t i);
static void print_text(const struct burn_summary *s);
static void print_burn_json(const struct burn_summary *s);

/* Prints the report as text, JSON or HTML; returns the exit status. */
int command_report(struct command *c)
{
	struct burn_summary s = { 0 };
	json_t *addresses = NULL;
	struct config *config;
	int status = EXIT_FAILED;
	size_t i;

	if (strcmp(c->args[0], "burn") != 0) {
		fprintf(stderr, "cdmctl: the only report is burn\n");
		return EXIT_USAGE;
	}
	config = config_in_force(c);
	if (!config)
		return EXIT_FAILED;
	addresses = entry_addresses(c);
	if (!addresses)
		goto out;
	summary_init(&s, config);
	collect_outcomes(&s, addresses);
	for (i = 0; i < s.n; i++)
		s.objectives[i].report = burn_evaluate(
			&s.objectives[i].burn, s.now, s.objectives[i].target);
	if (c->html)
		burn_html(&s);
	else if (c->json)
		print_burn_json(&s);
	else
		print_text(&s);
	status = EXIT_DONE;
out:
	free(s.objectives);
	json_decref(addresses);
	config_unref(config);
	return status;
}

/* Returns the description of an alert level for the text and HTML reports. */
const char *burn_level_sentence(enum burn_level level)
{
	switch (level) {
	case BURN_OK:
		return "within budget";
	case BURN_TICKET:
		return "budget is going too fast: look into it today";
	case BURN_PAGE:
		return "budget is going very fast: act now";
	}
	return "";
}

/* Fetches and parses the configuration file in force; returns NULL after a
 * message on failure. */
static struct config *config_in_force(struct command *c)
{
	struct client_answer answer;
	struct config *config = NULL;
	const char *text;
	char err[512];

	client_call(&c->client, "GET", "/v1/config", NULL, 0, &answer);
	if (answer.outcome != CLIENT_OK || answer.status != 200) {
		print_failure(&answer);
		goto out;
	}
	text = get_string(answer.json, "file");
	config = config_parse(text, strlen(text), "config",
			      (uint64_t)get_integer(answer.json, "version"),
			      err, sizeof(err));
	if (!config)
		fprintf(stderr, "cdmctl: %s\n", err);
out:
	client_release(&answer);
	return config;
}

/* Sets up the objectives of the configuration, without outcomes. */
static void summary_init(struct burn_summary *s, const struct config *config)
{
	const struct config_objective *from;
	struct objective *o;
	size_t i;

	s->now = (uint64_t)time(NULL) * 1000;
	s->n = config->n_objectives;
	s->objectives = xcalloc(s->n, sizeof(*s->objectives));
	for (i = 0; i < s->n; i++) {
		from = &config->objectives[i];
		o = &s->objectives[i];
		o->name = from->name;
		o->target = from->target;
		o->scope = "all services";
		if (from->organisation)
			o->scope = from->organisation;
		if (from->service)
			o->scope = from->service;
		burn_init(&o->burn, s->now);
	}
}

/* Adds the outcomes of every cdmentryd, and counts those that don't answer. */
static void collect_outcomes(struct burn_summary *s, const json_t *addresses)
{
	struct client_answer answer;
	const json_t *address;
	size_t i;

	json_array_foreach(addresses, i, address)
	{
		client_get(json_string_value(address), "/v1/burn", &answer);
		s->n_queried++;
		if (answer.outcome == CLIENT_OK && answer.status == 200)
			add_answer(s,
				   json_object_get(answer.json, "objectives"));
		else
			s->n_failed++;
		client_release(&answer);
	}
}

/* Adds the outcomes of one cdmentryd to the objectives of the same name. */
static void add_answer(struct burn_summary *s, const json_t *objectives)
{
	const json_t *from;
	size_t i, k;

	json_array_foreach(
		objectives, i,
		from) for (k = 0; k < s->n;
			   k++) if (!strcmp(s->objectives[k].name,
					    get_string(from, "name")))
		add_minutes(&s->objectives[k], s->now,
			    json_object_get(from, "good"),
			    json_object_get(from, "bad"));
}

/* Adds per-minute counts, from the oldest to the current minute.  Lists that
 * differ in length or are too long are ignored. */
static void add_minutes(struct objective *o, uint64_t now, const json_t *good,
			const json_t *bad)
{
	size_t n = json_array_size(good);
	size_t i;

	if (json_array_size(bad) != n || n > BURN_MINUTES)
		return;
	for (i = 0; i < n; i++)
		burn_add(&o->burn, now - (n - 1 - i) * BURN_MINUTE_MS,
			 count_at(good, i), count_at(bad, i));
}

/* Returns an element of a list of counts, or 0 if it is out of range. */
static uint32_t count_at(const json_t *list, size_t i)
{
	json_int_t n = json_integer_value(json_array_get(list, i));

	return n > 0 && n < UINT32_MAX ? (uint32_t)n : 0;
}

static void print_text(const struct burn_summary *s)
{
	const struct objective *o;
	size_t i;

	if (s->n_failed)
		printf("%zu of %zu cdmentryds did not answer; their outcomes "
		       "are missing\n",
		       s->n_failed, s->n_queried);
	for (i = 0; i < s->n; i++) {
		o = &s->objectives[i];
		printf("%s (%s, target %g%%): %s\n"
		       "  good %llu, bad %llu, budget left %.1f%%\n"
		       "  burn rate: 5 min %.2f, 1 h %.2f (act at %.1f); "
		       "30 min %.2f, 6 h %.2f (look at %.1f)\n",
		       o->name, o->scope, o->target * 100,
		       burn_level_sentence(o->report.level),
		       (unsigned long long)o->burn.good,
		       (unsigned long long)o->burn.bad,
		       o->report.budget_left * 100, o->report.page_fast,
		       o->report.page_slow, burn_page.threshold,
		       o->report.ticket_fast, o->report.ticket_slow,
		       burn_ticket.threshold);
	}
}

static void print_burn_json(const struct burn_summary *s)
{
	static const char *const levels[] = { "ok", "ticket", "page" };
	json_t *list = json_array();
	const struct objective *o;
	json_t *root;
	size_t i;

	for (i = 0; i < s->n; i++) {
		o = &s->objectives[i];
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:f, s:s, s:I, s:I, s:f, s:f, "
				  "s:f, s:f, s:f}",
				  "name", o->name, "scope", o->scope, "target",
				  o->target, "level", levels[o->report.level],
				  "good", (json_int_t)o->burn.good, "bad",
				  (json_int_t)o->burn.bad, "budget_left",
				  o->report.budget_left, "burn_5m",
				  o->report.page_fast, "burn_1h",
				  o->report.page_slow, "burn_30m",
				  o->report.ticket_fast, "burn_6h",
				  o->report.ticket_slow));
	}
	root = json_pack("{s:I, s:I, s:o}", "asked", (json_int_t)s->n_queried,
			 "silent", (json_int_t)s->n_failed, "objectives", list);
	print_json(root);
	json_decref(root);
}
