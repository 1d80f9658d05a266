/* Calls that may not run twice: each caller's verdict is compared with the
 * services' own counts of runs while the store, the holder of the claim or the
 * endpoint fails. */
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

#define N(array) (sizeof(array) / sizeof((array)[0]))
#define PAUSE_MS 3000 /* longer than any timeout */
#define LATER_TRIES 20

/* What the copy at the first instance has come to when the rest happens. */
enum moment {
	AT_ONCE, /* it is answered before the rest */
	CLAIMED, /* its claim is written, and the store's answer held back */
	RAN, /* it ran, and its answer is awaited */
};

enum holder {
	GOES_ON,
	PAUSED, /* past its deadline, and woken */
	KILLED, /* and started anew */
};

struct verdict {
	int status; /* 0: the connection broke */
	const char *run; /* of a refusal; "" otherwise */
};

struct fault_case {
	const char *name;
	const char *platform; /* control, before the call */
	const char *service; /* of both services, before the call */
	const char *link; /* of both services' links */
	const char *one_link; /* of the first service's link only */
	bool restart; /* the services, before the call */
	bool repeat; /* the caller does not say that it is the first copy */
	enum moment moment;
	const char *platform_then; /* at the moment */
	const char *service_then;
	enum holder holder;
	struct verdict other; /* a copy at the second instance meanwhile */
	struct verdict first;
	struct verdict later; /* copies when all is well again */
	int64_t runs; /* in the end */
};

struct totals {
	unsigned calls;
	unsigned blocked; /* never ran and refused for good */
};

struct waited {
	struct fleet *f;
	const char *key;
};

/* Sends a copy of a call. */
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

/* Reads a verdict, which is "" where the call was answered. */
static void read_verdict(const struct stream_reader *s, int *status, char *run,
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

/* Waits for a copy's verdict and holds it against the count of runs. */
static void check_copy(struct fleet *f, const char *name, const char *which,
		       const char *key, struct stream_reader *s,
		       const struct verdict *expected)
{
	char run[24];
	int64_t runs;
	int status;

	stream_wait_end(s);
	runs = fleet_runs(f, key);
	read_verdict(s, &status, run, sizeof(run));
	if (runs > 1)
		fail_msg("%s: %s ran %lld times", name, key, (long long)runs);
	if ((status == 200 || !strcmp(run, "ran")) && runs != 1)
		fail_msg("%s: the %s copy is said to have run and did not",
			 name, which);
	if (!strcmp(run, "not-run") && status != 422 && runs)
		fail_msg("%s: the %s copy is said not to have run, but the "
			 "call ran",
			 name, which);
	if (expected && (status != expected->status ||
			 strcmp(run, expected->run ? expected->run : "") != 0))
		fail_msg("%s: the %s copy has status %d %s, runs %lld: %s",
			 name, which, status, run, (long long)runs,
			 stream_body(s));
	stream_close(s);
}

/* The claim's row is in the table. */
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

/* The call has run. */
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

/* Brings the faults about that are there before the call. */
static void begin_faults(struct fleet *f, const struct fault_case *c)
{
	size_t i;

	for (i = 0; c->restart && i < f->options.n_services; i++) {
		proc_kill(f->services[i].proc);
		fleet_start_endpoint(f, &f->services[i]);
	}
	if (c->platform)
		harness_control(f->harness, f->platform, "%s", c->platform);
	control_services(f, c->service);
	control_links(f, 2, c->link);
	control_links(f, 1, c->one_link);
	if (c->moment == CLAIMED)
		fleet_set_faults(f, f->instances[0].platform,
			    "{\"mode\":\"drop-down\"}");
}

/* Ends every fault; the holder has its say first. */
static void end_faults(struct fleet *f)
{
	harness_control(f->harness, f->platform,
			"{\"outage\":\"none\",\"lose_answers\":0}");
	control_services(f, "{\"reset_before_run\":false,"
			    "\"reset_after_run\":false,\"delay_ms\":0}");
	control_links(f, 2, "{\"mode\":\"pass\",\"reset_after_bytes\":0}");
	fleet_set_faults(f, f->instances[0].platform, "{\"mode\":\"pass\"}");
}

/* Does to the holder of the claim what the case says; returns when it runs
 * again. */
static void trouble_holder(struct fleet *f, const struct fault_case *c,
			   const char *key)
{
	struct proc *holder = f->instances[0].entryd;

	if (c->holder == PAUSED)
		proc_signal(holder, SIGSTOP);
	else if (c->holder == KILLED)
		proc_kill(holder);
	if (c->platform_then)
		harness_control(f->harness, f->platform, "%s",
				c->platform_then);
	control_services(f, c->service_then);
	if (c->moment == CLAIMED)
		fleet_set_faults(f, f->instances[0].platform, "{\"mode\":\"pass\"}");
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

/* Sends copies until one has the status that is expected of them in the end;
 * it has to say what is expected, too. */
static void settle(struct fleet *f, const char *name, const char *which,
		   const char *key, const char *body,
		   const struct verdict *expected)
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
		read_verdict(s, &status, run, sizeof(run));
		check_copy(f, name, which, key, s, NULL);
	}
	if (status != expected->status ||
	    strcmp(run, expected->run ? expected->run : "") != 0)
		fail_msg("%s: %s copies have status %d %s", name, which, status,
			 run);
}

/* Runs one case with a key of its own. */
static void run_case(struct fleet *f, const struct fault_case *c,
		     const char *key, struct totals *t)
{
	static const struct verdict reused = { 422, "not-run" };
	struct waited w = { f, key };
	struct stream_reader *first;
	int64_t runs;

	begin_faults(f, c);
	first = send_copy(f, 0, key, "gate 4", !c->repeat);
	if (c->moment == CLAIMED)
		harness_until(f->harness, is_claimed, &w, "the claim");
	else if (c->moment == RAN)
		harness_until(f->harness, has_run, &w, "the run");
	if (c->moment != AT_ONCE)
		trouble_holder(f, c, key);
	check_copy(f, c->name, "first", key, first, &c->first);
	end_faults(f);
	settle(f, c->name, "later", key, "gate 4", &c->later);
	settle(f, c->name, "reused", key, "gate 5", &reused);
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
	  .moment = CLAIMED,
	  .platform_then = "{\"outage\":\"refuse\"}",
	  .first = { 200, NULL },
	  .later = { 409, "may-have-run" },
	  .runs = 1 },
	{ .name = "store refuses after the run",
	  .service = "{\"delay_ms\":400}",
	  .moment = RAN,
	  .platform_then = "{\"outage\":\"refuse\"}",
	  .first = { 200, NULL },
	  .later = { 200, NULL },
	  .runs = 1 },
	{ .name = "store silent after the run",
	  .service = "{\"delay_ms\":400}",
	  .moment = RAN,
	  .platform_then = "{\"outage\":\"silent\"}",
	  .first = { 200, NULL },
	  .later = { 200, NULL },
	  .runs = 1 },
	{ .name = "holder paused with its claim",
	  .moment = CLAIMED,
	  .holder = PAUSED,
	  .other = { 409, "may-have-run" },
	  .first = { 503, "not-run" },
	  .later = { 200, NULL },
	  .runs = 1 },
	{ .name = "holder paused after the run",
	  .service = "{\"delay_ms\":400}",
	  .moment = RAN,
	  .holder = PAUSED,
	  .other = { 409, "may-have-run" },
	  .first = { 200, NULL },
	  .later = { 200, NULL },
	  .runs = 1 },
	{ .name = "holder killed with its claim",
	  .moment = CLAIMED,
	  .holder = KILLED,
	  .other = { 409, "may-have-run" },
	  .first = { 0, NULL },
	  .later = { 409, "may-have-run" },
	  .runs = 0 },
	{ .name = "holder killed after the run",
	  .service = "{\"delay_ms\":400}",
	  .moment = RAN,
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

/* Nobody runs a call twice, every verdict is true, and a call is refused for
 * good only where it cannot be known that it did not run. */
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
	for (i = 0; i < N(cases); i++) {
		snprintf(key, sizeof(key), "key-%zu", i);
		run_case(f, &cases[i], key, &t);
	}
	print_message("calls %u, never run and refused for good %u (%.0f%%)\n",
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
