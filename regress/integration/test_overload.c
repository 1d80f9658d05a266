/* Overload with real processes: every refusal is sent in time and has a
 * Retry-After, every answer is complete, an organisation's limit holds over its
 * shard, an organisation that sends too much takes no capacity from the others,
 * and retries are few when engines are lost. */
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
#define INSTANCES 3
#define ENGINES 4
#define SLOTS 4
#define CAPACITY (ENGINES * SLOTS) /* concurrent requests */
#define TOKENS 20
#define DEADLINE_MS 2000
#define LONG_DEADLINE_MS 20000
#define REFUSAL_DELAY_MAX_MS 1000 /* after the deadline */
#define ORGS 4
#define REQUESTS_MAX (5 * CAPACITY + ORGS * CAPACITY)
#define ORG_LIMIT 6 /* concurrent requests of an organisation over its shard */

/* One request and its answer. */
struct request {
	struct fleet *f;
	size_t org;
	char prompt[32];
	struct httpc_req *exchange;
	struct answer answer;
	unsigned deadline_ms;
	double sent_ms;
	double running_ms; /* when half of its tokens had come; 0: not yet */
	double ended_ms;
	double refused_ms; /* time from the request to its refusal */
	unsigned refusals;
	bool answer_valid; /* refusals: had Retry-After and run state */
	bool done;
	bool served;
};

struct group {
	struct fleet *f;
	bool stream;
	bool long_deadline; /* for all organisations but the first */
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

/* Returns the number of events with an id, one for each token. */
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

/* Returns whether the answer has all TOKENS tokens of the chain, in order. */
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
		r->answer_valid = false;
	} else if (r->answer.status == 200) {
		r->served = strstr(body, "[DONE]") || is_whole(body);
	} else {
		r->refusals++;
		r->refused_ms = now_ms() - r->sent_ms;
		r->answer_valid = r->answer.retry_after &&
				  atoi(r->answer.retry_after) > 0 &&
				  strstr(body, "\"run\":\"not-run\"");
	}
}

static const struct httpc_ops ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

/* Sends the next request of the group for an organisation. */
static void send_one(struct group *g, size_t org)
{
	struct request *r = &g->requests[g->n];
	static unsigned number;
	unsigned deadline_ms = g->long_deadline && org ? LONG_DEADLINE_MS
						       : DEADLINE_MS;
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
		.n_headers = ARRAY_SIZE(headers),
		.body = body,
	};

	assert_true(g->n < REQUESTS_MAX);
	*r = (struct request){
		.f = g->f,
		.org = org,
		.answer_valid = true,
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

/* Checks that every request has a complete answer, or a refusal in time with
 * Retry-After that says that it did not run. */
static void check_answers(struct group *g, const char *name)
{
	size_t i;

	for (i = 0; i < g->n; i++) {
		struct request *r = &g->requests[i];

		if (!r->answer_valid || (!r->served && !r->refusals))
			fail_msg("%s: request %zu: status %d, retry-after %s: "
				 "%s",
				 name, i, r->answer.status,
				 r->answer.retry_after ? r->answer.retry_after
						       : "(none)",
				 r->answer.body ? r->answer.body : "");
		if (r->refused_ms > r->deadline_ms + REFUSAL_DELAY_MAX_MS)
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

/* Runs requests at capacity, so that admission can estimate the service
 * rate. */
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
		check_answers(g, "warm-up");
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

/* Sends two and five times CAPACITY requests at once, after admission has
 * estimated the service rate. */
static void test_burst_over_capacity(void **state)
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
	for (i = 0; i < ARRAY_SIZE(times); i++) {
		g = group_new(f);
		for (k = 0; k < times[i] * CAPACITY; k++)
			send_one(g, k % ORGS);
		harness_until(h, all_done, g, "all requests end");
		check_answers(g, "burst over capacity");
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
			fail_msg("only %zu requests are served", served);
		release(g);
	}
	harness_free(h);
	fleet_free(f);
}

/* One organisation sends five times CAPACITY requests.  The others then send
 * fewer requests than their shares, and all of these must be served. */
static void test_flood(void **state)
{
	struct harness *h = harness_new();
	struct fleet *f = harness_fleet(h, &options);
	struct group *g = group_new(f);
	size_t k;

	(void)state;
	warm_up(f);
	g->long_deadline = true;
	for (k = 0; k < 5 * CAPACITY; k++)
		send_one(g, 0);
	for (k = 0; k < 6; k++)
		send_one(g, 1 + k % (ORGS - 1));
	harness_until(h, all_done, g, "all requests end");
	check_answers(g, "flood");
	for (k = 1; k < ORGS; k++)
		assert_int_equal(count_served(g, k), 2);
	assert_true(count_served(g, 0) > 0);
	assert_true(count_served(g, 0) < 5 * CAPACITY);
	release(g);
	harness_free(h);
	fleet_free(f);
}

/* Returns a lower bound of the most requests that ran at the same time.  A
 * request is counted from the middle of its answer, so that a delayed read of
 * the answers does not count too many. */
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

/* Returns whether every instance lists the whole shard. */
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

/* An organisation's limit holds over the whole shard at all times, also while
 * the instances' parts of it follow the demand. */
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
	check_answers(g, "limit");
	print_message("limit %d: at most %zu ran, served %zu of %zu\n",
		      ORG_LIMIT, most, count_served(g, 0), g->n);
	if (most > ORG_LIMIT)
		fail_msg("%zu requests ran at once, the limit is %d", most,
			 ORG_LIMIT);
	assert_true(most > 0);
	release(g);
	harness_free(h);
	fleet_free(f);
}

static double count_engine_runs(struct fleet *f)
{
	double total = 0;
	size_t i;

	for (i = ENGINES / 2; i < ENGINES; i++)
		total += harness_counter(f->harness, f->engines[i].control,
					 "engine_runs_total");
	return total;
}

/* Half of the engines are killed under load.  Every answer must be complete.
 * After the losses are known, the attempts must not exceed the requests served
 * by more than a tenth. */
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
			fail_msg("an answer is incomplete: %s",
				 g->requests[k].answer.body);
	release(g);
	g = group_new(f);
	before = count_engine_runs(f);
	for (k = 0; k < 2 * CAPACITY; k++)
		send_one(g, k % ORGS);
	harness_until(h, all_done, g, "all requests end");
	check_answers(g, "half lost");
	for (k = 0, served = 0; k < ORGS; k++)
		served += count_served(g, k);
	print_message("half lost: served %zu with %.0f attempts\n", served,
		      count_engine_runs(f) - before);
	assert_true(served > 0);
	assert_true(count_engine_runs(f) - before <= 1.1 * (double)served);
	release(g);
	harness_free(h);
	fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_burst_over_capacity),
		cmocka_unit_test(test_flood),
		cmocka_unit_test(test_limit_over_shard),
		cmocka_unit_test(test_half_lost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
