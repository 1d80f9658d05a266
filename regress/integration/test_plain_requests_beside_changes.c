/*
 * Plain requests beside changes of the configuration in series, reloads and
 * endpoints that are silent for 1 to 2 s: each that was sent whole is answered or
 * refused.  Every second seed also freezes and cuts off endpoints, restarts them,
 * and freezes instances.
 *
 * By hand: PLAIN_SEED=101 PLAIN_SEEDS=10 PLAIN_SECONDS=20.
 */
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "regress/plain_callers.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define FIRST_SEED 1
#define SEEDS 2
#define RUN_S 5
#define STEP_MS 2
#define INSTANCES 2
#define SERIES_CHANGES 4
#define CHANGE_MS 250
#define HOLD_MS 4000 /* of a lower idle time, so that it takes effect */
#define PAUSE_MIN_MS 200
#define PAUSE_MAX_MS 1500
#define FAULT_MIN_MS 400
#define FAULT_MAX_MS 1200
#define DRAW_SILENCE_MS 500
#define ENGINE_TOKENS 55000
#define ONE_RUN_TOKENS 20000

#define ROUTE(name, path, type, service)                         \
	"{\"name\":\"" name "\",\"hostname\":\"127.0.0.1\","     \
	"\"pathPrefix\":\"" path "\",\"routeType\":\"" type "\"" \
	",\"timeoutMs\":%u,\"targetLatencyMs\":6000,\"backend\":\"" service
#define ENDS(attempts) "\",\"maxAttempts\":" attempts "}"

/* What a configuration changes. */
enum change {
	CHANGE_TIMEOUT,
	CHANGE_TIMEOUT_SHORT, /* shorter than silences */
	CHANGE_IDLE,
	CHANGE_HEADER_TIME,
	CHANGE_BODY,
	CHANGE_KEY,
	CHANGE_PATH,
	CHANGE_NO_PLAIN, /* the service is dropped */
	CHANGE_NO_ENGINE,
	CHANGE_NO_PERMIT,
	CHANGE_SLOTS, /* one for each endpoint, and memory for one run */
	CHANGE_CONNECTIONS, /* each endpoint takes one connection */
	CHANGE_LEAVING, /* endpoints' entries */
	CHANGE_GONE,
	CHANGES,
};

enum worker {
	WORKER_PLAIN,
	WORKER_PLAIN_TWO,
	WORKER_SPARE,
	WORKER_ENGINE,
	WORKER_ENGINE_TWO,
	WORKER_PERMIT,
	WORKERS,
};

/* A fault of an endpoint or an instance that is going on. */
struct fault {
	uint64_t until_ms; /* 0: none */
	bool down; /* the endpoint is to be started again */
};

/* What is going on in the run of a seed. */
struct run {
	unsigned int seed;
	bool rough; /* endpoints and instances have faults */
	struct random_source random;
	bool changed[CHANGES]; /* in force */
	unsigned int n_series; /* changes made in this series */
	uint64_t change_ms; /* time of the next change, or end of the pause */
	uint64_t fault_ms; /* of the next fault */
	uint64_t silence_ms; /* when silences are drawn anew */
	struct fault workers[WORKERS];
	struct fault instances[INSTANCES];
};

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance instances[INSTANCES];
static const char *gates[WORKERS]; /* listening addresses of the fault proxy */
static const char *control; /* of the fault proxy */
static struct plain_callers callers;
static struct run run;
static int version;

static uint64_t now_ms(void)
{
	return uv_now(harness_loop(harness));
}

static unsigned int number(const char *name, unsigned int otherwise)
{
	const char *text = getenv(name);

	return text ? (unsigned int)strtoul(text, NULL, 10) : otherwise;
}

/* Writes the services of the configuration; those that are dropped leave their
 * routes to "spare". */
static char *services(void)
{
	return xasprintf(
		"{\"name\":\"spare\",\"healthPath\":\"/healthz\"}%s%s",
		run.changed[CHANGE_NO_PLAIN]
			? ""
			: ",{\"name\":\"plain\",\"healthPath\":\"/healthz\"}",
		run.changed[CHANGE_NO_PERMIT]
			? ""
			: ",{\"name\":\"permit\",\"healthPath\":\"/healthz\"}");
}

/* Writes a configuration with the changes that are in force. */
static void put_configuration(void)
{
	const bool *on = run.changed;
	const unsigned int timeout_ms = on[CHANGE_TIMEOUT_SHORT] ? 700
					: on[CHANGE_TIMEOUT]	 ? 5000
								 : 20000;
	const char *plain = on[CHANGE_NO_PLAIN] ? "spare" : "plain";
	char *others = services();
	char *engine =
		on[CHANGE_NO_ENGINE]
			? xstrdup("")
			: xasprintf(",{\"name\":\"engine\",\"healthPath\":"
				    "\"/healthz\",\"engine\":{\"slots\":%d,"
				    "\"kvCapacity\":%d}}",
				    on[CHANGE_SLOTS] ? 1 : 16,
				    on[CHANGE_SLOTS] ? ONE_RUN_TOKENS
						     : ENGINE_TOKENS);
	char *text = xasprintf(
		"{\"version\":%d,\"routes\":[" ROUTE(
			"book", "/book/", "non_idempotent",
			"%s") ENDS("1") "," ROUTE("look", "/look/",
						  "idempotent", "%s")
			ENDS("2") "," ROUTE(
				"queue", "/queue/", "idempotent",
				"%s") ENDS("2") "," ROUTE("permit", "/permit/",
							  "idempotent", "%s")
				ENDS("2") "," ROUTE("move", "%s", "idempotent",
						    "%s")
					ENDS("2") "],\"services\":[%s%s],"
						  "\"limits\":{\"maxHeaderBytes\":4096,\"maxBodyBytes\":%d,"
						  "\"headerTimeoutMs\":%d,\"idleTimeoutMs\":%d},"
						  "\"tenants\":[{\"name\":\"ajoke\",\"apiKeys\":[\"k1\"%s]}]}",
		++version, timeout_ms, plain, timeout_ms, plain, timeout_ms,
		on[CHANGE_NO_ENGINE] ? "spare" : "engine", timeout_ms,
		on[CHANGE_NO_PERMIT] ? "spare" : "permit",
		on[CHANGE_PATH] ? "/moved/" : "/move/", timeout_ms, plain,
		others, engine, on[CHANGE_BODY] ? 1 : 10000,
		on[CHANGE_HEADER_TIME] ? 300 : 4000,
		on[CHANGE_IDLE] ? 900 : 15000, on[CHANGE_KEY] ? "" : ",\"k2\"");

	standin_put(world, "op", "config", text);
	callers.changes++;
	free(text);
	free(engine);
	free(others);
}

/* Sets what endpoints take, and writes the entries of those that the changes in
 * force touch. */
static void put_entries(void)
{
	static const enum worker touched[] = { WORKER_PLAIN_TWO,
					       WORKER_ENGINE };
	size_t i;

	for (i = 0; i < WORKERS; i++) {
		world->workers[i].slots = run.changed[CHANGE_SLOTS] ? 1 : 16;
		world->workers[i].connections = run.changed[CHANGE_CONNECTIONS];
	}
	for (i = 0; i < N(touched); i++) {
		struct standin_worker *w = &world->workers[touched[i]];

		if (run.changed[CHANGE_GONE])
			standin_remove(world, "servers", w->id);
		else
			standin_put_worker_entry(w, run.changed[CHANGE_LEAVING]
							    ? "draining"
							    : "ready");
	}
}

/* Chooses the next change of a series; every second series begins with a lower
 * idle time. */
static enum change next_change(void)
{
	if (!run.n_series && random_below(&run.random, 2))
		return CHANGE_IDLE;
	return (enum change)random_below(&run.random, CHANGES);
}

/* Makes the next change of a series, or takes all of them back, and reloads
 * instances around it at times. */
static void step_changes(void)
{
	struct random_source *r = &run.random;
	size_t instance = random_below(r, INSTANCES);
	unsigned int reload = random_below(r, 3); /* before, after, none */

	if (reload == 0)
		proc_signal(instances[instance].proc, SIGHUP);
	if (run.n_series < SERIES_CHANGES) {
		run.changed[next_change()] = true;
		run.n_series++;
		run.change_ms = now_ms() + CHANGE_MS;
		if (run.n_series == SERIES_CHANGES &&
		    run.changed[CHANGE_IDLE] && !run.changed[CHANGE_BODY])
			run.change_ms = now_ms() + HOLD_MS;
	} else {
		memset(run.changed, 0, sizeof(run.changed));
		run.n_series = 0;
		run.change_ms =
			now_ms() + PAUSE_MIN_MS + random_below(r, PAUSE_MAX_MS);
	}
	put_configuration();
	put_entries();
	if (reload == 1)
		proc_signal(instances[instance].proc, SIGHUP);
}

/* Draws anew for how long each endpoint is silent before it answers. */
static void draw_silences(void)
{
	size_t i;

	for (i = 0; i < WORKERS; i++)
		world->workers[i].silent_ms =
			random_below(&run.random, 2)
				? 1000 + random_below(&run.random, 1000)
				: 1 + random_below(&run.random, 50);
	run.silence_ms = now_ms() + DRAW_SILENCE_MS;
}

static void set_mode(size_t worker, const char *mode)
{
	harness_control(harness, control, "{\"%s\":{\"mode\":\"%s\"}}",
			gates[worker], mode);
}

/* Begins a fault of an endpoint or an instance that has none. */
static void begin_fault(void)
{
	struct random_source *r = &run.random;
	size_t i = random_below(r, WORKERS);
	size_t instance = random_below(r, INSTANCES);
	unsigned int kind = random_below(r, 4);
	uint32_t ms = 200 + random_below(r, 1000);

	run.fault_ms = now_ms() + FAULT_MIN_MS + random_below(r, FAULT_MAX_MS);
	if (kind == 3 && !run.instances[instance].until_ms) {
		proc_signal(instances[instance].proc, SIGSTOP);
		run.instances[instance].until_ms = now_ms() + ms;
	} else if (kind < 3 && !run.workers[i].until_ms) {
		run.workers[i] = (struct fault){ now_ms() + ms, kind == 2 };
		if (kind == 2)
			standin_kill_worker(&world->workers[i]);
		else
			set_mode(i, kind ? "freeze" : "cut");
	}
}

/* Ends the faults whose time is over, or all of them. */
static void end_faults(bool all)
{
	size_t i;

	for (i = 0; i < INSTANCES; i++) {
		struct fault *f = &run.instances[i];

		if (!f->until_ms || (!all && now_ms() < f->until_ms))
			continue;
		proc_signal(instances[i].proc, SIGCONT);
		f->until_ms = 0;
	}
	for (i = 0; i < WORKERS; i++) {
		struct fault *f = &run.workers[i];
		struct standin_worker *w = &world->workers[i];

		if (!f->until_ms || (!all && now_ms() < f->until_ms))
			continue;
		if (f->down) {
			w->born_ms += 1000;
			standin_start_worker(w, w->id);
		} else {
			set_mode(i, "pass");
		}
		f->until_ms = 0;
	}
}

/* Adds the endpoints, each behind the fault proxy. */
static void start_endpoints(void)
{
	static const char *const names[] = {
		[WORKER_PLAIN] = "plain",	[WORKER_PLAIN_TWO] = "plain",
		[WORKER_SPARE] = "spare",	[WORKER_ENGINE] = "engine",
		[WORKER_ENGINE_TWO] = "engine", [WORKER_PERMIT] = "permit",
	};
	const char *args[2 * WORKERS + 3] = { "-c" };
	char *maps[WORKERS];
	size_t i;

	args[1] = control = harness_address(harness);
	for (i = 0; i < WORKERS; i++) {
		struct standin_worker *w =
			standin_add_worker(world, names[i], "z1");

		gates[i] = harness_address(harness);
		maps[i] = xasprintf("%s=%s", gates[i], w->address);
		args[2 * i + 2] = "-m";
		args[2 * i + 3] = maps[i];
		w->public_address = gates[i];
		standin_put_worker_entry(w, "ready");
	}
	harness_startv(harness, "faultd", "faultd", args);
	for (i = 0; i < WORKERS; i++)
		free(maps[i]);
	harness_wait_listening(harness, control);
	world->workers[WORKER_PERMIT].limit = "4";
}

static void start(unsigned int seed)
{
	static const char *const names[INSTANCES] = { "one", "two" };
	const char *addresses[INSTANCES];
	size_t i;

	run = (struct run){
		.seed = seed,
		.rough = seed % 2 == 0,
		.random = { .seed = seed },
	};
	harness = harness_new();
	world = standin_new(harness);
	version = 1;
	start_endpoints();
	put_configuration();
	for (i = 0; i < INSTANCES; i++) {
		standin_init_instance(world, &instances[i], names[i],
				      i ? instances[0].control : NULL);
		standin_start_instance(world, &instances[i]);
		addresses[i] = instances[i].callers;
	}
	for (i = 0; i < INSTANCES; i++)
		standin_wait_status(world, instances[i].readiness, "/readyz",
				    200);
	plain_callers_init(&callers, world, &run.random, addresses, INSTANCES);
}

static void stop(void)
{
	size_t i;

	for (i = 0; i < INSTANCES; i++)
		proc_kill(instances[i].proc);
	plain_callers_release(&callers);
	standin_free(world);
	harness_free(harness);
}

/* Returns how many requests were refused although they have run, of those that
 * may run once. */
static size_t count_refused_and_run(void)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < callers.n_requests; i++) {
		const struct plain_request *r = callers.requests[i];

		n += (r->status == 408 || r->status == 429 ||
		      r->status == 503) &&
		     !strcmp(r->path, "/book/a") && plain_has_run(&callers, r);
	}
	return n;
}

/* Prints how the requests of each way ended. */
static void report(void)
{
	size_t way;

	for (way = 0; way < PLAIN_WAYS; way++) {
		size_t n[PLAIN_ENDS] = { 0 };
		size_t held = 0;
		size_t i;

		for (i = 0; i < callers.n_requests; i++) {
			const struct plain_request *r = callers.requests[i];

			if (r->way != way)
				continue;
			n[r->end]++;
			held += r->held;
		}
		print_message("seed %u, %s: %zu answered, %zu refused, %zu "
			      "failed, %zu lost, %zu crossed, %zu dropped, %zu "
			      "unfinished; %zu held across a change\n",
			      run.seed, plain_way_name((enum plain_way)way),
			      n[PLAIN_ANSWERED], n[PLAIN_REFUSED],
			      n[PLAIN_FAILED], n[PLAIN_LOST], n[PLAIN_CROSSED],
			      n[PLAIN_DROPPED], n[PLAIN_UNFINISHED], held);
	}
}

/* Plays the changes, faults and requests of a seed. */
static void play(unsigned int seconds)
{
	uint64_t end_ms = now_ms() + seconds * 1000ull;

	while (now_ms() < end_ms) {
		if (now_ms() >= run.silence_ms)
			draw_silences();
		if (now_ms() >= run.change_ms)
			step_changes();
		if (run.rough && now_ms() >= run.fault_ms)
			begin_fault();
		end_faults(false);
		plain_callers_step(&callers);
		harness_run(harness, STEP_MS);
	}
	end_faults(true);
	callers.ending = true;
	harness_until(harness, plain_callers_over, &callers,
		      "each request ends");
}

static void every_whole_request_ends_with_an_answer(void **state)
{
	unsigned int first = number("PLAIN_SEED", FIRST_SEED);
	unsigned int n = number("PLAIN_SEEDS", SEEDS);
	unsigned int i;
	size_t wrong = 0;

	(void)state;
	for (i = 0; i < n; i++) {
		size_t lost;

		start(first + i);
		play(number("PLAIN_SECONDS", RUN_S));
		report();
		lost = plain_callers_count(&callers, PLAIN_LOST);
		wrong += lost + callers.n_mixed + count_refused_and_run();
		print_message("seed %u%s: %zu requests, %zu lost, %zu mixed, "
			      "%zu refused and run, %u changes\n",
			      run.seed, run.rough ? " with faults" : "",
			      callers.n_requests, lost, callers.n_mixed,
			      count_refused_and_run(), callers.changes);
		assert_true(plain_callers_count(&callers, PLAIN_ANSWERED) > 0);
		stop();
	}
	assert_int_equal(wrong, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_whole_request_ends_with_an_answer),
	};

	return cmocka_run_group_tests_name("plain requests beside changes",
					   tests, NULL, NULL);
}
