/*
 * Six cdmproxyd processes and requests that share one part of their prompts,
 * which crashes each engine before it writes the first event.  No two are alike;
 * sound requests share their caller and all their other parts.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/part_rule.h"
#include "regress/platform_standin.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define INSTANCES 6
#define PART "bad5"

#define BEFORE_MS 4000 /* sound requests alone */
#define BESIDE_MS 12000 /* sound and crashing ones */
#define INTERVAL_MS 50 /* between two requests */
#define CRASHING_EVERY 4 /* of these, one in so many crashes its engine */
#define DOWN_MS 1500 /* from a crash to the restart */
#define PREFILL_MS 400 /* from an arrival to the crash */
#define PROMPT_MAX 15000 /* bytes */
#define REQUESTS_MAX ((BEFORE_MS + BESIDE_MS) / INTERVAL_MS)

/* A request of a caller. */
struct sent_request {
	struct stream_reader *reader;
	uint64_t at_ms; /* by the clock of the loop */
	bool crashing;
};

/* The parts of a prompt but the last one. */
struct prompts {
	const char *sound;
	const char *crashing;
	size_t own; /* parts before these that no other request has */
	size_t shared; /* parts before these that all requests have */
};

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance instances[INSTANCES];
static struct sent_request sent[REQUESTS_MAX];
static size_t n_sent;

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	world->crash.part = PART;
	world->crash.down_ms = DOWN_MS;
	world->crash.after_ms = PREFILL_MS;
	n_sent = 0;
	return 0;
}

static int tear_down(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < n_sent; i++)
		stream_close(sent[i].reader);
	for (i = 0; i < INSTANCES; i++)
		if (instances[i].proc)
			proc_kill(instances[i].proc);
	memset(instances, 0, sizeof(instances));
	standin_free(world);
	harness_free(harness);
	return 0;
}

/* Starts the engines and the instances. */
static void start(void)
{
	static const char *const names[INSTANCES] = { "one",  "two",  "three",
						      "four", "five", "six" };
	size_t i;

	for (i = 0; i < STANDIN_WORKERS_MAX; i++)
		standin_add_worker(world, "engine", "z1");
	standin_put_configuration(world, 2, NULL);
	for (i = 0; i < INSTANCES; i++) {
		standin_init_instance(world, &instances[i], names[i],
				      i ? instances[0].control : NULL);
		standin_start_instance(world, &instances[i]);
	}
	for (i = 0; i < INSTANCES; i++)
		standin_wait_status(world, instances[i].readiness, "/readyz",
				    200);
	harness_run(harness, 500);
}

/* Sends a request with a new last part and body to the next instance. */
static void send_request(const struct prompts *p, bool crashing)
{
	static char prompt[PROMPT_MAX];
	char body[32];
	const struct httpc_header headers[] = {
		{ "credential", "k1" },
		{ "deadline-ms", "15000" },
		{ "token-usage", "300,100" },
		{ "prompt-prefix", prompt },
	};
	struct httpc_request r = {
		.method = "POST",
		.address = instances[(n_sent / CRASHING_EVERY + n_sent) %
				     INSTANCES]
				   .callers,
		.path = "/write/a",
		.headers = headers,
		.n_headers = N(headers),
		.body = body,
	};
	struct sent_request *s = &sent[n_sent++];
	size_t len = 0;
	size_t i;

	for (i = 0; i < p->own; i++)
		len += (size_t)snprintf(prompt + len, sizeof(prompt) - len,
					"o%zx.%zx:9,", n_sent, i);
	for (i = 0; i < p->shared; i++)
		len += (size_t)snprintf(prompt + len, sizeof(prompt) - len,
					"s%zx:9,", i);
	snprintf(prompt + len, sizeof(prompt) - len, "%s,%zx:20",
		 crashing ? p->crashing : p->sound, n_sent);
	snprintf(body, sizeof(body), "request %zu", n_sent);
	r.body_len = strlen(body);
	*s = (struct sent_request){
		.reader = stream_open(harness, &r),
		.at_ms = uv_now(harness_loop(harness)),
		.crashing = crashing,
	};
}

/* Sends requests for a time; one in CRASHING_EVERY crashes its engine if
 * beside. */
static void send_for(const struct prompts *p, uint64_t ms, bool beside)
{
	uint64_t i;

	for (i = 0; i < ms / INTERVAL_MS; i++) {
		bool crashing = beside && n_sent % CRASHING_EVERY == 0;

		send_request(p, crashing);
		harness_run(harness, INTERVAL_MS);
	}
}

/* Counts the sound requests that were sent within a time. */
static struct part_rule_sound sound_within(uint64_t from_ms, uint64_t to_ms)
{
	struct part_rule_sound n = { 0 };
	size_t i;

	for (i = 0; i < n_sent; i++) {
		if (sent[i].crashing || sent[i].at_ms < from_ms ||
		    sent[i].at_ms >= to_ms)
			continue;
		n.sent++;
		n.begun += stream_n_events(sent[i].reader) > 0;
	}
	return n;
}

/* Both rules hold, and sound requests were there to be counted. */
static void check(const struct prompts *p)
{
	const struct part_rule rule = { .contact_ms = 1000 };
	struct part_rule_sound before;
	struct part_rule_sound after;
	uint64_t beside_ms;
	size_t late;
	size_t i;

	start();
	send_for(p, BEFORE_MS, false);
	beside_ms = uv_now(harness_loop(harness));
	send_for(p, BESIDE_MS, true);
	for (i = 0; i < n_sent; i++)
		stream_wait_end(sent[i].reader);
	before = sound_within(0, beside_ms);
	after = sound_within(part_rule_sound_from(&rule, world), UINT64_MAX);
	late = part_rule_late(&rule, world);
	print_message("%zu crashes, %zu late arrivals of %d allowed; begun: "
		      "%zu of %zu before, %zu of %zu beside\n",
		      world->crash.n, late, PART_RULE_LATE_MAX, before.begun,
		      before.sent, after.begun, after.sent);
	assert_true(world->crash.n > 0);
	assert_true(before.sent >= 20 && after.sent >= 20);
	assert_true(late <= PART_RULE_LATE_MAX);
	assert_true(part_rule_sound_kept(&before, &after));
}

static void middle_part_crashes_engines(void **state)
{
	const struct prompts p = {
		.sound = "aa1:100,bb2:50",
		.crashing = "aa1:100,bb2:50," PART ":70",
	};

	(void)state;
	check(&p);
}

static void first_part_crashes_engines(void **state)
{
	const struct prompts p = {
		.sound = "aa1:100,bb2:50",
		.crashing = PART ":70,bb2:50",
	};

	(void)state;
	check(&p);
}

/* Guards against parts that are left out of a prompt's first ones. */
static void part_behind_shared_parts(void **state)
{
	const struct prompts p = {
		.sound = "aa1:100,bb2:50",
		.crashing = "aa1:100,bb2:50," PART ":70",
		.shared = 60,
	};

	(void)state;
	check(&p);
}

/* Guards against parts that are left out of those of a crashed run, as parts of
 * the request's own stand before them. */
static void part_behind_own_parts(void **state)
{
	const struct prompts p = {
		.sound = "aa1:100,bb2:50",
		.crashing = "aa1:100,bb2:50," PART ":70",
		.own = 12,
	};

	(void)state;
	check(&p);
}

/* As many parts as a head holds: the records of others are not pushed out. */
static void part_behind_very_many(void **state)
{
	const struct prompts p = {
		.sound = "aa1:100,bb2:50",
		.crashing = "aa1:100,bb2:50," PART ":70",
		.own = 1200,
		.shared = 100,
	};

	(void)state;
	world->header_bytes = 16384;
	check(&p);
}

/* Returns whether the store has the refusal of a part. */
static bool refusal_is_stored(void *arg)
{
	json_t *row;
	size_t i;

	(void)arg;
	json_array_foreach(world->rows, i, row)
	{
		const char *key =
			json_string_value(json_object_get(row, "key"));

		if (!strncmp(key, "refused/7061", 12) &&
		    !json_is_true(json_object_get(row, "deleted")))
			return true;
	}
	return false;
}

/* All processes are killed and restarted; they read from the store which part is
 * refused, and requests with it reach no engine. */
static void all_restarted_instances_refuse(void **state)
{
	const struct prompts p = {
		.sound = "aa1:100,bb2:50",
		.crashing = "aa1:100,bb2:50," PART ":70",
	};
	size_t crashes;
	size_t first;
	size_t i;

	(void)state;
	start();
	send_for(&p, 1000, false);
	send_for(&p, 3000, true);
	harness_until(harness, refusal_is_stored, NULL,
		      "the refusal's row is stored");
	for (i = 0; i < n_sent; i++)
		stream_wait_end(sent[i].reader);
	for (i = 0; i < INSTANCES; i++)
		proc_kill(instances[i].proc);
	for (i = 0; i < INSTANCES; i++)
		standin_start_instance(world, &instances[i]);
	for (i = 0; i < INSTANCES; i++)
		standin_wait_status(world, instances[i].readiness, "/readyz",
				    200);
	harness_run(harness, DOWN_MS);
	crashes = world->crash.n;
	first = n_sent;
	send_for(&p, 1000, true);
	for (i = first; i < n_sent; i++)
		stream_wait_end(sent[i].reader);
	assert_int_equal(world->crash.n, crashes);
	for (i = first; i < n_sent; i++)
		assert_int_equal(stream_status(sent[i].reader),
				 sent[i].crashing ? 503 : 200);
}

int main(int argc, char **argv)
{
#define CASE(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(middle_part_crashes_engines),
		CASE(first_part_crashes_engines),
		CASE(part_behind_shared_parts),
		CASE(part_behind_own_parts),
		CASE(part_behind_very_many),
		CASE(all_restarted_instances_refuse),
	};

	if (argc > 1) /* one case */
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
