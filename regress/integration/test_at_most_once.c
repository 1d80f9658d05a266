/* Calls that must not run twice: what each caller is answered is compared with
 * the services' counts of runs while the store, the instance that holds the
 * claim or the endpoint fails. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "regress/harness_fleet.h"

#define ARRAY_SIZE(array) (sizeof(array) / sizeof((array)[0]))
#define PAUSE_MS 3000 /* exceeds every timeout of the test */
#define LATER_TRIES 20

/* The stage that the copy at the first instance reaches before the second group
 * of faults is injected. */
enum stage {
	NO_STAGE, /* no second group: the copy is only answered */
	CLAIMED, /* its claim is written, the store's answer is held back */
	RAN, /* it has run, its answer is pending */
};

/* What happens to the instance that holds the claim. */
enum holder_fault {
	UNAFFECTED,
	PAUSED, /* until its deadline has passed, then continued */
	KILLED, /* then restarted */
};

/* What a caller is answered. */
struct call_result {
	int status; /* 0: the connection broke */
	const char *run; /* run state in a refusal; "" or NULL otherwise */
};

struct fault_case {
	const char *name;
	const char *platform; /* control, before the call */
	const char *service; /* of both services, before the call */
	const char *link; /* of both services' links */
	const char *one_link; /* of the first service's link only */
	bool restart; /* the services, before the call */
	bool repeat; /* the caller sends no x-first-copy header */
	enum stage stage;
	const char *platform_at_stage; /* control, at the stage */
	const char *service_at_stage; /* control, at the stage */
	enum holder_fault holder;
	struct call_result other; /* a copy at the second instance meanwhile */
	struct call_result first;
	struct call_result later; /* copies after the faults have ended */
	int64_t runs; /* at the end of the case */
};

struct totals {
	unsigned calls;
	unsigned blocked; /* never ran and refused permanently */
};

struct waited {
	struct fleet *f;
	const char *key;
};

/* Sends a copy of a call to an instance, with the x-first-copy header if first
 * is set. */
static struct stream_reader *send_copy(struct fleet *f, size_t instance,
				       const char *key, const char *body,
				       bool first)
{
	struct httpc_header headers[] = {
		{ "authorization", "Bearer key-org-1" },
		{ "idempotency-key", key },
		{ "x-deadline-ms", "1500" },
		{ "x-first-copy", "true" },
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = f->instances[instance].entry,
		.path = "/services/" FLEET_PLAIN_SERVICE "/escorts",
		.headers = headers,
		.n_headers = first ? 4 : 3,
		.body = body,
		.body_len = strlen(body),
	};

	return stream_open(f->harness, &r);
}

/* Reads the status of an answer, 0 if the connection broke, and the run state
 * of a refusal, "" if there is none. */
static void read_result(const struct stream_reader *s, int *status, char *run,
			size_t size)
{
	json_t *json;
	const char *word;

	*status = stream_outcome(s) == HTTPC_OK ? stream_status(s) : 0;
	json = json_loads(stream_body(s), JSON_DECODE_ANY, NULL);
	word = json_string_value(json_object_get(json, "run"));
	snprintf(run, size, "%s", word ? word : "");
	json_decref(json);
}

/* Waits for a copy's answer and compares it with the count of runs and with the
 * expected result, if one is given. */
static void check_copy(struct fleet *f, const char *name, const char *which,
		       const char *key, struct stream_reader *s,
		       const struct call_result *expected)
{
	char run[24];
	int64_t runs;
	int status;

	stream_wait_end(s);
	runs = fleet_runs(f, key);
	read_result(s, &status, run, sizeof(run));
	if (runs > 1)
		fail_msg("%s: %s ran %lld times", name, key, (long long)runs);
	if ((status == 200 || !strcmp(run, "ran")) && runs != 1)
		fail_msg("%s: the %s copy is reported as run, but the call "
			 "did not run",
			 name, which);
	if (!strcmp(run, "not-run") && status != 422 && runs)
		fail_msg("%s: the %s copy is reported as not run, but the "
			 "call ran",
			 name, which);
	if (expected && (status != expected->status ||
			 strcmp(run, expected->run ? expected->run : "") != 0))
		fail_msg("%s: the %s copy has status %d %s, runs %lld: %s",
			 name, which, status, run, (long long)runs,
			 stream_body(s));
	stream_close(s);
}

/* Returns whether the claim's row is in the table. */
static bool is_claimed(void *arg)
{
	struct waited *w = arg;
	json_t *all = harness_get(w->f->harness, w->f->platform,
				  "/table/scan?prefix=claim/");
	char *text = json_dumps(all, 0);
	bool found = strstr(text, w->key) != NULL;

	free(text);
	json_decref(all);
	return found;
}

/* Returns whether the call has run. */
static bool has_run(void *arg)
{
	struct waited *w = arg;

	return fleet_runs(w->f, w->key) > 0;
}

static void control_services(struct fleet *f, const char *settings)
{
	size_t i;

	for (i = 0; settings && i < f->options.n_services; i++)
		harness_control(f->harness, f->services[i].control, "%s",
				settings);
}

static void control_links(struct fleet *f, size_t n, const char *settings)
{
	size_t i;

	for (i = 0; settings && i < n; i++)
		fleet_set_faults(f, f->services[i].advertised, "%s", settings);
}

/* Returns whether every instance takes both services for up. */
static bool services_are_up(void *arg)
{
	struct fleet *f = arg;
	size_t up = 0;
	size_t i;

	for (i = 0; i < f->options.n_instances; i++) {
		json_t *all = harness_get(f->harness,
					  f->instances[i].entry_operator,
					  "/v1/endpoints");
		json_t *item;
		size_t j;

		json_array_foreach(json_object_get(all, "endpoints"), j, item)
			up += json_is_true(json_object_get(item, "up"));
		json_decref(all);
	}
	return up == f->options.n_instances * f->options.n_services;
}

/* Injects the faults that precede the call.  A probe may have found a service
 * down during the case before; of two services one would then be left for the
 * cases that take the other away. */
static void inject_first_faults(struct fleet *f, const struct fault_case *c)
{
	size_t i;

	harness_until(f->harness, services_are_up, f, "both services are up");
	for (i = 0; c->restart && i < f->options.n_services; i++) {
		proc_kill(f->services[i].proc);
		fleet_start_endpoint(f, &f->services[i]);
	}
	if (c->platform)
		harness_control(f->harness, f->platform, "%s", c->platform);
	control_services(f, c->service);
	control_links(f, 2, c->link);
	control_links(f, 1, c->one_link);
	if (c->stage == CLAIMED)
		fleet_set_faults(f, f->instances[0].platform,
				 "{\"mode\":\"drop-down\"}");
}

/* Ends every fault; called after the first copy has been answered. */
static void end_faults(struct fleet *f)
{
	harness_control(f->harness, f->platform,
			"{\"outage\":\"none\",\"lose_answers\":0}");
	control_services(f, "{\"reset_before_run\":false,"
			    "\"reset_after_run\":false,\"delay_ms\":0}");
	control_links(f, 2, "{\"mode\":\"pass\",\"reset_after_bytes\":0}");
	fleet_set_faults(f, f->instances[0].platform, "{\"mode\":\"pass\"}");
}

/* Injects the faults of the stage, among them that of the claim's holder;
 * returns when the holder is running again. */
static void inject_stage_faults(struct fleet *f, const struct fault_case *c,
				const char *key)
{
	struct proc *holder = f->instances[0].entryd;

	if (c->holder == PAUSED)
		proc_signal(holder, SIGSTOP);
	else if (c->holder == KILLED)
		proc_kill(holder);
	if (c->platform_at_stage)
		harness_control(f->harness, f->platform, "%s",
				c->platform_at_stage);
	control_services(f, c->service_at_stage);
	if (c->stage == CLAIMED)
		fleet_set_faults(f, f->instances[0].platform,
				 "{\"mode\":\"pass\"}");
	if (c->other.status)
		check_copy(f, c->name, "other", key,
			   send_copy(f, 1, key, "gate 4", false), &c->other);
	if (c->holder == PAUSED) {
		harness_run(f->harness, PAUSE_MS);
		proc_signal(holder, SIGCONT);
	} else if (c->holder == KILLED) {
		fleet_start_entryd(f, 0);
		fleet_wait_serving(f, 0);
	}
}

/* Sends copies, at most LATER_TRIES, until one has the expected status; its run
 * state must then be the expected one. */
static void expect_eventually(struct fleet *f, const char *name,
			      const char *which, const char *key,
			      const char *body,
			      const struct call_result *expected)
{
	struct stream_reader *s;
	char run[24] = "";
	int status = 0;
	int i;

	for (i = 0; i < LATER_TRIES && status != expected->status; i++) {
		if (i)
			harness_run(f->harness, 100);
		s = send_copy(f, i % 2, key, body, false);
		stream_wait_end(s);
		read_result(s, &status, run, sizeof(run));
		check_copy(f, name, which, key, s, NULL);
	}
	if (status != expected->status ||
	    strcmp(run, expected->run ? expected->run : "") != 0)
		fail_msg("%s: %s copies have status %d %s", name, which, status,
			 run);
}

/* Runs one case with a new idempotency key. */
static void run_case(struct fleet *f, const struct fault_case *c,
		     const char *key, struct totals *t)
{
	static const struct call_result reused = { 422, "not-run" };
	struct waited w = { f, key };
	struct stream_reader *first;
	int64_t runs;

	inject_first_faults(f, c);
	first = send_copy(f, 0, key, "gate 4", !c->repeat);
	if (c->stage == CLAIMED)
		harness_until(f->harness, is_claimed, &w, "the claim");
	else if (c->stage == RAN)
		harness_until(f->harness, has_run, &w, "the run");
	if (c->stage != NO_STAGE)
		inject_stage_faults(f, c, key);
	check_copy(f, c->name, "first", key, first, &c->first);
	end_faults(f);
	expect_eventually(f, c->name, "later", key, "gate 4", &c->later);
	expect_eventually(f, c->name, "reused", key, "gate 5", &reused);
	runs = fleet_runs(f, key);
	if (runs != c->runs)
		fail_msg("%s: %lld runs", c->name, (long long)runs);
	t->calls++;
	t->blocked += runs == 0;
}

static const struct fault_case cases[] = {
	{ .name = "nothing fails",
	  .first = { 200, NULL },
	  .later = { 200, NULL },
	  .runs = 1 },
	{ .name = "claim written, answer lost",
	  .platform = "{\"lose_answers\":1}",
	  .first = { 200, NULL },
	  .later = { 200, NULL },
	  .runs = 1 },
	{ .name = "claim and stored answer, both answers lost",
	  .platform = "{\"lose_answers\":2}",
	  .first = { 200, NULL },
	  .later = { 200, NULL },
	  .runs = 1 },
	{ .name = "store refuses before",
	  .platform = "{\"outage\":\"refuse\"}",
	  .first = { 503, "not-run" },
	  .later = { 200, NULL },
	  .runs = 1 },
	{ .name = "store refuses before a repeat",
	  .repeat = true,
	  .platform = "{\"outage\":\"refuse\"}",
	  .first = { 503, "may-have-run" },
	  .later = { 200, NULL },
	  .runs = 1 },
	{ .name = "store silent before",
	  .platform = "{\"outage\":\"silent\"}",
	  .first = { 503, "not-run" },
	  .later = { 200, NULL },
	  .runs = 1 },
	{ .name = "store refuses during the claim",
	  .stage = CLAIMED,
	  .platform_at_stage = "{\"outage\":\"refuse\"}",
	  .first = { 200, NULL },
	  .later = { 409, "may-have-run" },
	  .runs = 1 },
	{ .name = "store refuses after the run",
	  .service = "{\"delay_ms\":400}",
	  .stage = RAN,
	  .platform_at_stage = "{\"outage\":\"refuse\"}",
	  .first = { 200, NULL },
	  .later = { 200, NULL },
	  .runs = 1 },
	{ .name = "store silent after the run",
	  .service = "{\"delay_ms\":400}",
	  .stage = RAN,
	  .platform_at_stage = "{\"outage\":\"silent\"}",
	  .first = { 200, NULL },
	  .later = { 200, NULL },
	  .runs = 1 },
	{ .name = "holder paused with its claim",
	  .stage = CLAIMED,
	  .holder = PAUSED,
	  .other = { 409, "may-have-run" },
	  .first = { 503, "not-run" },
	  .later = { 200, NULL },
	  .runs = 1 },
	{ .name = "holder paused after the run",
	  .service = "{\"delay_ms\":400}",
	  .stage = RAN,
	  .holder = PAUSED,
	  .other = { 409, "may-have-run" },
	  .first = { 200, NULL },
	  .later = { 200, NULL },
	  .runs = 1 },
	{ .name = "holder killed with its claim",
	  .stage = CLAIMED,
	  .holder = KILLED,
	  .other = { 409, "may-have-run" },
	  .first = { 0, NULL },
	  .later = { 409, "may-have-run" },
	  .runs = 0 },
	{ .name = "holder killed after the run",
	  .service = "{\"delay_ms\":400}",
	  .stage = RAN,
	  .holder = KILLED,
	  .other = { 409, "may-have-run" },
	  .first = { 0, NULL },
	  .later = { 409, "may-have-run" },
	  .runs = 1 },
	{ .name = "services restarted, old connections stale",
	  .restart = true,
	  .first = { 200, NULL },
	  .later = { 200, NULL },
	  .runs = 1 },
	{ .name = "reset before the run",
	  .service = "{\"reset_before_run\":true}",
	  .first = { 502, "may-have-run" },
	  .later = { 409, "may-have-run" },
	  .runs = 0 },
	{ .name = "reset after the run",
	  .service = "{\"reset_after_run\":true}",
	  .first = { 502, "may-have-run" },
	  .later = { 409, "may-have-run" },
	  .runs = 1 },
	{ .name = "answer cut on its way",
	  .link = "{\"reset_after_bytes\":10}",
	  .first = { 502, "may-have-run" },
	  .later = { 409, "may-have-run" },
	  .runs = 1 },
	{ .name = "one service takes no connection",
	  .one_link = "{\"mode\":\"cut\"}",
	  .first = { 200, NULL },
	  .later = { 200, NULL },
	  .runs = 1 },
	{ .name = "no service takes a connection",
	  .link = "{\"mode\":\"cut\"}",
	  .first = { 503, "not-run" },
	  .later = { 200, NULL },
	  .runs = 1 },
};

/* No call runs twice, every reported run state is true, and a call is refused
 * permanently only where the instance cannot know that it did not run. */
static void test_faults(void **state)
{
	static const struct fleet_options options = {
		.n_instances = 2,
		.n_zones = 1,
		.n_services = 2,
		.n_organisations = 1,
		.faults = true,
	};
	struct harness *h = harness_new();
	struct fleet *f = harness_fleet(h, &options);
	struct totals t = { .calls = 0 };
	char key[32];
	size_t i;

	(void)state;
	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		snprintf(key, sizeof(key), "key-%zu", i);
		run_case(f, &cases[i], key, &t);
	}
	print_message("calls %u, not run and refused permanently %u (%.0f%%)\n",
		      t.calls, t.blocked, 100.0 * t.blocked / t.calls);
	harness_free(h);
	fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_faults),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
