/* Overload with real processes: every refusal comes at once and says when to
 * come back, every answer is whole, an organisation's limit holds over its
 * shard, one that floods takes nothing from the others, and retries stay few
 * when engines are lost. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "regress/harness_fleet.h"

#define N(array) (sizeof(array) / sizeof((array)[0]))
#define INSTANCES 3
#define ENGINES 4
#define SLOTS 4
#define CAPACITY (ENGINES * SLOTS) /* requests that run at once */
#define TOKENS 20
#define DEADLINE_MS 2000
#define PATIENT_MS 20000
#define LATE_MS 1000 /* of a refusal, beyond the deadline */
#define ORGS 4
#define REQUESTS_MAX (5 * CAPACITY + ORGS * CAPACITY)
#define LIMIT 6 /* of an organisation, over its shard */

/* One caller, which sends its request until it is answered or has been refused
 * too often. */
struct request {
	struct fleet *f;
	size_t org;
	char prompt[32];
	struct httpc_req *exchange;
	struct answer answer;
	unsigned deadline_ms;
	double sent_ms;
	double running_ms; /* since when it surely runs; 0: not yet */
	double ended_ms;
	double refused_ms; /* the longest time to a refusal */
	unsigned refusals;
	bool promised; /* each refusal had its Retry-After and run state */
	bool done;
	bool served;
};

struct group {
	struct fleet *f;
	bool stream;
	bool patient; /* the organisations but the first */
	struct request requests[REQUESTS_MAX];
	size_t n;
};

static double now_ms(void)
{
	return (double)uv_hrtime() / 1e6;
}

static void on_head(void *arg, int status, const struct httpc_header *headers,
		    size_t n)
{
	struct request *r = arg;
	size_t i;

	r->answer.status = status;
	for (i = 0; i < n; i++)
		if (!strcmp(headers[i].name, "retry-after"))
			r->answer.retry_after = strdup(headers[i].value);
}

/* Counts the tokens of a stream. */
static unsigned count_events(const char *body)
{
	unsigned n = 0;

	while ((body = strstr(body, "id: "))) {
		body++;
		n++;
	}
	return n;
}

static void on_body(void *arg, const char *data, size_t len)
{
	struct request *r = arg;
	struct answer *a = &r->answer;

	a->body = realloc(a->body, a->len + len + 1);
	assert_non_null(a->body);
	memcpy(a->body + a->len, data, len);
	a->len += len;
	a->body[a->len] = '\0';
	if (!r->running_ms && count_events(a->body) >= TOKENS / 2)
		r->running_ms = now_ms();
}

/* The answer has so many tokens of the chain, in order. */
static bool is_whole(const char *body)
{
	json_t *json = json_loads(body, 0, NULL);
	json_t *choice = json_array_get(json_object_get(json, "choices"), 0);
	const char *text = json_string_value(json_object_get(choice, "text"));
	unsigned position = 0;

	while (text && *text && strtoul(text, NULL, 10) == position) {
		position++;
		text = strchr(text, ' ');
		text = text ? text + 1 : "";
	}
	json_decref(json);
	return position == TOKENS;
}

static void on_end(void *arg, enum httpc_outcome outcome)
{
	struct request *r = arg;
	const char *body = r->answer.body ? r->answer.body : "";

	r->done = true;
	r->ended_ms = now_ms();
	if (outcome != HTTPC_OK) {
		r->promised = false;
	} else if (r->answer.status == 200) {
		r->served = strstr(body, "[DONE]") || is_whole(body);
	} else {
		r->refusals++;
		r->refused_ms = now_ms() - r->sent_ms;
		r->promised = r->answer.retry_after &&
			      atoi(r->answer.retry_after) > 0 &&
			      strstr(body, "\"run\":\"not-run\"");
	}
}

static const struct httpc_ops ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

/* Sends one more request of an organisation. */
static void send_one(struct group *g, size_t org)
{
	struct request *r = &g->requests[g->n];
	static unsigned number;
	unsigned deadline_ms = g->patient && org ? PATIENT_MS : DEADLINE_MS;
	char deadline[16];
	char key[32];
	char body[256];
	const struct httpc_header headers[] = {
		{ "authorization", key },
		{ "content-type", "application/json" },
		{ "x-deadline-ms", deadline },
	};
	struct httpc_request request = {
		.method = "POST",
		.address = g->f->instances[g->n % INSTANCES].entry,
		.path = "/v1/completions",
		.headers = headers,
		.n_headers = N(headers),
		.body = body,
	};

	assert_true(g->n < REQUESTS_MAX);
	*r = (struct request){
		.f = g->f,
		.org = org,
		.promised = true,
		.deadline_ms = deadline_ms,
		.sent_ms = now_ms(),
	};
	snprintf(r->prompt, sizeof(r->prompt), "overload %u", number++);
	snprintf(deadline, sizeof(deadline), "%u", deadline_ms);
	snprintf(key, sizeof(key), "Bearer key-org-%zu", org + 1);
	request.body_len = (size_t)snprintf(body, sizeof(body),
					    "{\"model\":\"" FLEET_MODEL
					    "\",\"prompt\":\"%s\","
					    "\"max_tokens\":%d,"
					    "\"stream\":%s}",
					    r->prompt, TOKENS,
					    g->stream ? "true" : "false");
	r->exchange =
		httpc_start(harness_client(g->f->harness), &request, &ops, r);
	g->n++;
}

static bool all_done(void *arg)
{
	struct group *g = arg;
	size_t i;

	for (i = 0; i < g->n; i++)
		if (!g->requests[i].done)
			return false;
	return true;
}

static size_t count_served(const struct group *g, size_t org)
{
	size_t served = 0;
	size_t i;

	for (i = 0; i < g->n; i++)
		served += g->requests[i].org == org && g->requests[i].served;
	return served;
}

/* Every request is over with a whole answer, or a refusal in time that says
 * that it did not run and when to come back. */
static void check_verdicts(struct group *g, const char *name)
{
	size_t i;

	for (i = 0; i < g->n; i++) {
		struct request *r = &g->requests[i];

		if (!r->promised || (!r->served && !r->refusals))
			fail_msg("%s: request %zu: status %d, retry-after %s: "
				 "%s",
				 name, i, r->answer.status,
				 r->answer.retry_after ? r->answer.retry_after
						       : "(none)",
				 r->answer.body ? r->answer.body : "");
		if (r->refused_ms > r->deadline_ms + LATE_MS)
			fail_msg("%s: refused after %.0f ms", name,
				 r->refused_ms);
		if (r->refusals && fleet_prompt_runs(g->f, r->prompt))
			fail_msg("%s: request %zu ran and was refused", name,
				 i);
	}
}

static void release(struct group *g)
{
	size_t i;

	for (i = 0; i < g->n; i++) {
		free(g->requests[i].answer.body);
		free(g->requests[i].answer.retry_after);
	}
	free(g);
}

static struct group *group_new(struct fleet *f)
{
	struct group *g = calloc(1, sizeof(*g));

	assert_non_null(g);
	g->f = f;
	return g;
}

/* Has admission learn the pace. */
static void warm_up(struct fleet *f)
{
	struct group *g;
	size_t i;
	size_t k;

	for (i = 0; i < 3; i++) {
		g = group_new(f);
		for (k = 0; k < CAPACITY; k++)
			send_one(g, k % ORGS);
		harness_until(f->harness, all_done, g, "all requests end");
		check_verdicts(g, "before");
		release(g);
	}
}

static const struct fleet_options options = {
	.n_instances = INSTANCES,
	.n_zones = 1,
	.n_engines = ENGINES,
	.n_organisations = ORGS,
	.slots = SLOTS,
	.engine_args = { "--token-ms=20" },
};

/* Two and five times what runs at once, sent at one moment, after a time in
 * which admission has learnt the pace. */
static void test_too_much_at_once(void **state)
{
	static const size_t times[] = { 2, 5 };
	struct harness *h = harness_new();
	struct fleet *f = harness_fleet(h, &options);
	struct group *g;
	size_t served;
	size_t i;
	size_t k;

	(void)state;
	warm_up(f);
	for (i = 0; i < N(times); i++) {
		g = group_new(f);
		for (k = 0; k < times[i] * CAPACITY; k++)
			send_one(g, k % ORGS);
		harness_until(h, all_done, g, "all requests end");
		check_verdicts(g, "too much at once");
		for (k = 0, served = 0; k < ORGS; k++) {
			if (!count_served(g, k))
				fail_msg("at %zu times capacity organisation "
					 "%zu is not served",
					 times[i], k + 1);
			served += count_served(g, k);
		}
		print_message("%zu times capacity: served %zu of %zu\n",
			      times[i], served, g->n);
		if (served < CAPACITY / 2)
			fail_msg("%zu are served", served);
		release(g);
	}
	harness_free(h);
	fleet_free(f);
}

/* One organisation sends five times what runs at once; the others, which ask
 * for less than their shares after it, are all served. */
static void test_flood(void **state)
{
	struct harness *h = harness_new();
	struct fleet *f = harness_fleet(h, &options);
	struct group *g = group_new(f);
	size_t k;

	(void)state;
	warm_up(f);
	g->patient = true;
	for (k = 0; k < 5 * CAPACITY; k++)
		send_one(g, 0);
	for (k = 0; k < 6; k++)
		send_one(g, 1 + k % (ORGS - 1));
	harness_until(h, all_done, g, "all requests end");
	check_verdicts(g, "flood");
	for (k = 1; k < ORGS; k++)
		assert_int_equal(count_served(g, k), 2);
	assert_true(count_served(g, 0) > 0);
	assert_true(count_served(g, 0) < 5 * CAPACITY);
	release(g);
	harness_free(h);
	fleet_free(f);
}

/* Returns how many requests surely ran at one moment.  One counts from the
 * middle of its answer, so that a late reader sees none too many. */
static size_t most_running(const struct group *g)
{
	size_t most = 0;
	size_t now;
	size_t i;
	size_t k;

	for (i = 0; i < g->n; i++) {
		double at = g->requests[i].running_ms;

		for (k = 0, now = 0; at > 0 && k < g->n; k++)
			now += g->requests[k].running_ms > 0 &&
			       g->requests[k].running_ms <= at &&
			       g->requests[k].ended_ms > at;
		most = now > most ? now : most;
	}
	return most;
}

/* Every instance names the whole shard. */
static bool shard_is_known(void *arg)
{
	static const struct httpc_header headers[] = {
		{ "authorization", "Bearer key-org-1" },
	};
	struct fleet *f = arg;
	struct answer a;
	bool all = true;
	size_t i;

	for (i = 0; i < INSTANCES && all; i++) {
		const struct httpc_request r = {
			.method = "GET",
			.address = f->instances[i].entry,
			.path = "/v1/entries",
			.headers = headers,
			.n_headers = 1,
		};

		harness_request(f->harness, &r, &a);
		all = json_array_size(json_object_get(a.json, "entries")) ==
		      INSTANCES;
		answer_release(&a);
	}
	return all;
}

/* An organisation's limit holds over the whole shard at every moment, also
 * while its parts move with the demand. */
static void test_limit_over_shard(void **state)
{
	struct fleet_options o = options;
	struct harness *h = harness_new();
	struct fleet *f;
	struct group *g;
	size_t most;
	size_t k;

	(void)state;
	o.n_organisations = 0;
	o.config = "[[organisation]]\nname = \"org-1\"\nkey = \"key-org-1\"\n"
		   "max_running = 6\n";
	f = harness_fleet(h, &o);
	harness_until(h, shard_is_known, f, "the shard is known");
	g = group_new(f);
	g->stream = true;
	for (k = 0; k < 3 * CAPACITY; k++)
		send_one(g, 0);
	harness_until(h, all_done, g, "all requests end");
	most = most_running(g);
	check_verdicts(g, "limit");
	print_message("limit %d: at most %zu ran, served %zu of %zu\n", LIMIT,
		      most, count_served(g, 0), g->n);
	if (most > LIMIT)
		fail_msg("%zu ran at once, the limit is %d", most, LIMIT);
	assert_true(most > 0);
	release(g);
	harness_free(h);
	fleet_free(f);
}

static double total_starts(struct fleet *f)
{
	double total = 0;
	size_t i;

	for (i = ENGINES / 2; i < ENGINES; i++)
		total += harness_counter(f->harness, f->engines[i].control,
					 "engine_runs_total");
	return total;
}

/* Half of the engines die under load.  What is answered is whole, and once
 * the losses are known no more is attempted than is served. */
static void test_half_lost(void **state)
{
	struct harness *h = harness_new();
	struct fleet *f = harness_fleet(h, &options);
	struct group *g = group_new(f);
	double before;
	size_t served;
	size_t k;

	(void)state;
	for (k = 0; k < CAPACITY; k++)
		send_one(g, k % ORGS);
	harness_run(h, 100);
	for (k = 0; k < ENGINES / 2; k++)
		proc_kill(f->engines[k].proc);
	harness_until(h, all_done, g, "all requests end");
	for (k = 0; k < g->n; k++)
		if (g->requests[k].answer.status == 200 &&
		    !g->requests[k].served)
			fail_msg("an answer is not whole: %s",
				 g->requests[k].answer.body);
	release(g);
	g = group_new(f);
	before = total_starts(f);
	for (k = 0; k < 2 * CAPACITY; k++)
		send_one(g, k % ORGS);
	harness_until(h, all_done, g, "all requests end");
	check_verdicts(g, "half lost");
	for (k = 0, served = 0; k < ORGS; k++)
		served += count_served(g, k);
	print_message("half lost: served %zu with %.0f attempts\n", served,
		      total_starts(f) - before);
	assert_true(served > 0);
	assert_true(total_starts(f) - before <= 1.1 * (double)served);
	release(g);
	harness_free(h);
	fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_too_much_at_once),
		cmocka_unit_test(test_flood),
		cmocka_unit_test(test_limit_over_shard),
		cmocka_unit_test(test_half_lost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
