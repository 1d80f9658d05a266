/* Compares the run state in refusals with the engines' and services' counts of
 * runs, under overload, outages of the store and faults of the links. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "regress/harness_fleet.h"

#define ARRAY_SIZE(array) (sizeof(array) / sizeof((array)[0]))
#define REQUESTS 24 /* of a case; every third is a call */
#define FAULT_MS 700 /* duration of a case's fault */
#define LATE_MS 150 /* for the delivery of bytes that were held back */

struct fault_case {
	const char *name;
	const char *links; /* of all engines and services */
	const char *one_link; /* of the first engine and the first service */
	const char *engines; /* control settings of all */
	const char *services;
	const char *platform;
	bool after_first_event; /* inject the fault after an answer has begun */
	bool may_connect; /* connects may succeed: a run can't be ruled out */
	bool must_refuse; /* some requests must be refused */
};

struct request {
	char name[64]; /* key of a call or prompt of a completion */
	bool call;
	struct stream_reader *reader;
};

struct group {
	struct fleet *f;
	struct request requests[REQUESTS];
};

struct counts {
	unsigned whole;
	unsigned not_run;
	unsigned may_have_run;
	unsigned false_may_have_run; /* reported, but did not run */
};

static struct stream_reader *send_call(struct fleet *f, size_t instance,
				       const char *key)
{
	const struct httpc_header headers[] = {
		{ "authorization", "Bearer key-org-1" },
		{ "idempotency-key", key },
		{ "x-deadline-ms", "600" },
		{ "x-first-copy", "true" },
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = f->instances[instance].entry,
		.path = "/services/" FLEET_PLAIN_SERVICE "/escorts",
		.headers = headers,
		.n_headers = ARRAY_SIZE(headers),
		.body = "gate 4",
		.body_len = 6,
	};

	return stream_open(f->harness, &r);
}

static struct stream_reader *send_completion(struct fleet *f, size_t instance,
					     const char *prompt, bool stream)
{
	static const struct httpc_header headers[] = {
		{ "authorization", "Bearer key-org-1" },
		{ "content-type", "application/json" },
		{ "x-deadline-ms", "600" },
	};
	char body[256];
	const struct httpc_request r = {
		.method = "POST",
		.address = f->instances[instance].entry,
		.path = "/v1/completions",
		.headers = headers,
		.n_headers = ARRAY_SIZE(headers),
		.body = body,
		.body_len = (size_t)snprintf(body, sizeof(body),
					     "{\"model\":\"" FLEET_MODEL
					     "\",\"prompt\":\"%s\","
					     "\"max_tokens\":20,\"stream\":%s}",
					     prompt, stream ? "true" : "false"),
	};

	return stream_open(f->harness, &r);
}

static bool one_has_begun(void *arg)
{
	struct group *g = arg;
	size_t i;

	for (i = 0; i < REQUESTS; i++)
		if (stream_n_events(g->requests[i].reader))
			return true;
	return false;
}

static bool all_ended(void *arg)
{
	struct group *g = arg;
	size_t i;

	for (i = 0; i < REQUESTS; i++)
		if (!stream_ended(g->requests[i].reader))
			return false;
	return true;
}

static void fault_links(struct fleet *f, size_t n, const char *settings)
{
	size_t i;

	for (i = 0; settings && i < n; i++) {
		fleet_set_faults(f, f->engines[i].advertised, "%s", settings);
		fleet_set_faults(f, f->services[i].advertised, "%s", settings);
	}
}

static void apply_faults(struct fleet *f, const struct fault_case *c)
{
	size_t i;

	for (i = 0; i < f->options.n_engines && c->engines; i++)
		harness_control(f->harness, f->engines[i].control, "%s",
				c->engines);
	for (i = 0; i < f->options.n_services && c->services; i++)
		harness_control(f->harness, f->services[i].control, "%s",
				c->services);
	if (c->platform)
		harness_control(f->harness, f->platform, "%s", c->platform);
	fault_links(f, f->options.n_engines, c->links);
	fault_links(f, 1, c->one_link);
}

static void send_all(struct group *g, const char *prefix, size_t number)
{
	struct fleet *f = g->f;
	size_t i;

	for (i = 0; i < REQUESTS; i++) {
		struct request *r = &g->requests[i];

		snprintf(r->name, sizeof(r->name), "%s-%zu-%zu", prefix, number,
			 i);
		r->call = i % 3 == 0;
		r->reader = r->call ? send_call(f, i % 2, r->name)
				    : send_completion(f, i % 2, r->name,
						      i % 3 == 1);
	}
}

static int64_t runs_of(struct fleet *f, const struct request *r)
{
	return r->call ? fleet_runs(f, r->name) : fleet_prompt_runs(f, r->name);
}

/* Compares a request's answer with the count of its runs. */
static void check_request(struct fleet *f, const char *name,
			  const struct request *r, struct counts *counts)
{
	const char *body = stream_body(r->reader);
	int64_t runs = runs_of(f, r);

	if (r->call && runs > 1)
		fail_msg("%s: %s ran %lld times", name, r->name,
			 (long long)runs);
	if (strstr(body, "\"run\":\"not-run\"")) {
		counts->not_run++;
		if (runs)
			fail_msg("%s: %s ran and is reported as not run: %s",
				 name, r->name, body);
	} else if (strstr(body, "\"run\":\"may-have-run\"")) {
		counts->may_have_run++;
		counts->false_may_have_run += runs == 0;
	} else if (stream_status(r->reader) == 200 &&
		   stream_outcome(r->reader) == HTTPC_OK) {
		counts->whole++;
		if (!runs)
			fail_msg("%s: %s is answered and did not run", name,
				 r->name);
	} else {
		fail_msg("%s: %s has no run state: %s, status %d: %s", name,
			 r->name, httpc_outcome_name(stream_outcome(r->reader)),
			 stream_status(r->reader), body);
	}
}

/* Sends requests to both instances until four have been answered, so that the
 * instances use the endpoints again. */
static void wait_recovered(struct fleet *f, size_t number)
{
	struct counts counts = { .whole = 0 };
	struct request r = { .call = false };
	char last[256] = "";
	unsigned tries;

	for (tries = 0; counts.whole < 4; tries++) {
		if (tries > 200)
			fail_msg("requests are still refused: %s", last);
		snprintf(r.name, sizeof(r.name), "well-%zu-%u", number, tries);
		r.call = counts.whole % 2;
		r.reader = r.call ? send_call(f, counts.whole / 2, r.name)
				  : send_completion(f, counts.whole / 2, r.name,
						    true);
		stream_wait_end(r.reader);
		snprintf(last, sizeof(last), "%s", stream_body(r.reader));
		check_request(f, "after the fault", &r, &counts);
		stream_close(r.reader);
	}
}

static const struct fault_case no_faults = {
	.links = "{\"mode\":\"pass\",\"reset_after_bytes\":0}",
	.engines = "{\"hang\":false,\"mute\":false,\"fail_connect\":false,"
		   "\"queue_max\":1000,\"slots\":4,\"token_ms\":5}",
	.services = "{\"reset_before_run\":false,\"reset_after_run\":false,"
		    "\"delay_ms\":0}",
	.platform = "{\"outage\":\"none\",\"lose_answers\":0}",
};

static const struct fault_case cases[] = {
	{ .name = "nothing" },
	{ .name = "overload",
	  .engines = "{\"token_ms\":60}",
	  .services = "{\"delay_ms\":400}",
	  .must_refuse = true },
	{ .name = "engines' queues full",
	  .engines = "{\"queue_max\":0,\"slots\":1,\"token_ms\":40}" },
	{ .name = "store refuses",
	  .platform = "{\"outage\":\"refuse\"}",
	  .must_refuse = true },
	{ .name = "store silent", .platform = "{\"outage\":\"silent\"}" },
	{ .name = "store's answers lost", .platform = "{\"lose_answers\":20}" },
	{ .name = "no connection",
	  .links = "{\"mode\":\"cut\"}",
	  .must_refuse = true },
	{ .name = "no connection to one", .one_link = "{\"mode\":\"cut\"}" },
	{ .name = "endpoints refuse connections",
	  .engines = "{\"fail_connect\":true}",
	  .may_connect = true },
	{ .name = "silence from the connect on",
	  .links = "{\"mode\":\"freeze\"}",
	  .may_connect = true },
	{ .name = "requests lost while being sent",
	  .links = "{\"mode\":\"drop-up\"}",
	  .may_connect = true },
	{ .name = "answers lost",
	  .links = "{\"mode\":\"drop-down\"}",
	  .may_connect = true },
	{ .name = "answers cut at their first bytes",
	  .links = "{\"reset_after_bytes\":20}",
	  .may_connect = true },
	{ .name = "cut during the answer",
	  .links = "{\"mode\":\"cut\"}",
	  .after_first_event = true,
	  .may_connect = true },
	{ .name = "one cut during the answer",
	  .one_link = "{\"mode\":\"cut\"}",
	  .after_first_event = true,
	  .may_connect = true },
	{ .name = "engines mute",
	  .engines = "{\"mute\":true}",
	  .may_connect = true },
	{ .name = "engines hang",
	  .engines = "{\"hang\":true}",
	  .may_connect = true },
	{ .name = "services reset before the run",
	  .services = "{\"reset_before_run\":true}",
	  .may_connect = true,
	  .must_refuse = true },
	{ .name = "services reset after the run",
	  .services = "{\"reset_after_run\":true}",
	  .may_connect = true,
	  .must_refuse = true },
};

static void run_case(struct group *g, size_t number, struct counts *counts)
{
	const struct fault_case *c = &cases[number];
	size_t i;

	if (!c->after_first_event)
		apply_faults(g->f, c);
	send_all(g, "r", number);
	if (c->after_first_event) {
		harness_until(g->f->harness, one_has_begun, g, "an answer");
		apply_faults(g->f, c);
	}
	harness_run(g->f->harness, FAULT_MS);
	apply_faults(g->f, &no_faults);
	harness_until(g->f->harness, all_ended, g, "all requests end");
	harness_run(g->f->harness, LATE_MS);
	for (i = 0; i < REQUESTS; i++) {
		check_request(g->f, c->name, &g->requests[i], counts);
		stream_close(g->requests[i].reader);
	}
	wait_recovered(g->f, number);
}

/* Every "not-run" is true, and a refusal says "not-run" where no connection to
 * an endpoint was established. */
static void test_refusals_are_true(void **state)
{
	static const struct fleet_options options = {
		.n_instances = 2,
		.n_zones = 1,
		.n_engines = 2,
		.n_services = 2,
		.n_organisations = 1,
		.faults = true,
		.slots = 4,
		.engine_args = { "--token-ms=5" },
	};
	struct harness *h = harness_new();
	struct group g = { .f = harness_fleet(h, &options) };
	size_t i;

	(void)state;
	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		struct counts n = { .whole = 0 };

		run_case(&g, i, &n);
		print_message("%-34s whole %2u, not-run %2u, may-have-run %2u "
			      "(%u did not run)\n",
			      cases[i].name, n.whole, n.not_run, n.may_have_run,
			      n.false_may_have_run);
		if (cases[i].must_refuse && !n.not_run && !n.may_have_run)
			fail_msg("%s: no request is refused", cases[i].name);
		if (!cases[i].may_connect && n.false_may_have_run)
			fail_msg("%s: no connection was established, but %u "
				 "requests are reported as may-have-run",
				 cases[i].name, n.false_may_have_run);
	}
	harness_free(h);
	fleet_free(g.f);
}

/* Engines with full queues refuse requests, while their outdated load reports
 * say that they are idle.  They must be used again once they have free
 * capacity. */
static void test_full_engines_are_used_again(void **state)
{
	static const struct fleet_options options = {
		.n_instances = 2,
		.n_zones = 1,
		.n_engines = 2,
		.n_services = 2,
		.n_organisations = 1,
		.faults = true,
		.slots = 4,
		.engine_args = { "--token-ms=5", "--load-lag-ms=3600000" },
	};
	static const struct fault_case full = {
		.engines = "{\"queue_max\":0,\"slots\":1,\"token_ms\":40}",
	};
	struct harness *h = harness_new();
	struct group g = { .f = harness_fleet(h, &options) };
	size_t i;

	(void)state;
	apply_faults(g.f, &full);
	send_all(&g, "full", 0);
	harness_until(h, all_ended, &g, "all requests end");
	for (i = 0; i < REQUESTS; i++)
		stream_close(g.requests[i].reader);
	apply_faults(g.f, &no_faults);
	wait_recovered(g.f, 0);
	harness_free(h);
	fleet_free(g.f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refusals_are_true),
		cmocka_unit_test(test_full_engines_are_used_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
