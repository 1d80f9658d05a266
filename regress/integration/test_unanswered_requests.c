/*
 * Requests that were sent whole, bodies of megabytes among them, get an answer or
 * a refusal beside planned work: changes of the configuration in series, routes
 * that change their service while its endpoints leave, releases, reloads, stops
 * and starts of instances, and endpoints that are silent for 0.8 to 1.8 s.  An
 * instance hears from the store late in its first second, so that requests come
 * before its configuration.
 *
 * By hand: WHOLE_SEED=101 WHOLE_SEEDS=10 WHOLE_SECONDS=30 WHOLE_INSTANCES=4; with
 * WHOLE_UNFRAMED=1 half of the answers end with their connection, and one in eight
 * of these ends is followed by a silence of the endpoint, and with WHOLE_ROOM=5 an
 * endpoint turns away what it gets beyond five requests at once; with WHOLE_BRITTLE=2
 * too it falls over if these are more than two in a second.  With CDM_BIN_BEFORE
 * instances begin as that build.
 *
 * With WHOLE_STEP=1 changes come as one step with a silence: at the last byte of a
 * request, of an answer's head or of a part of its body, its endpoint falls silent
 * and the configuration changes what this request relies on, sometimes with a
 * signal for its instance, and sometimes its endpoint leaves.  WHOLE_STEP=2: series
 * go on beside these.
 *
 * With WHOLE_LIMIT=20 answers name a limit of so many requests per second, and each
 * series of changes begins with fewer slots.  Requests that were ended by their time
 * limit though endpoints were free are counted.
 *
 * With WHOLE_CALLERS_KINDS=1 some callers send two requests at once, end their
 * sending direction, or are of HTTP/1.0, and some of each read nothing for seconds.
 *
 * The lines in the instances' logs on each request without an answer are printed,
 * and what breaks the users' rule LOST at each instance.
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
#include "regress/lost_rule.h"
#include "regress/whole_requests.h"

#define FIRST_SEED 1
#define SEEDS 2
#define RUN_S 6
#define STEP_MS 2
#define INSTANCES 3
#define INSTANCES_PER_STOP 4 /* so many stand for each that stops at once */
#define CALLERS 32
#define GRACE_S 8
#define SERIES_CHANGES 4
#define CHANGE_MS 250
#define FRESH_MS 1000 /* of an instance */
#define FRESH_CHANGE_MS 300 /* a change after a start, at most */
#define STORE_DELAY_MAX_MS 600 /* in each direction, of a fresh instance */
#define PAUSE_MIN_MS 200
#define PAUSE_MAX_MS 1200
#define DRAW_SILENCE_MS 500
#define ENDPOINTS_PER_SERVICE 2
#define STEP_PAUSE_MIN_MS 300 /* between two steps */
#define STEP_PAUSE_MAX_MS 900 /* beyond that */
#define STEP_HOLDS_MIN_MS 200 /* a step's change */
#define STEP_HOLDS_MAX_MS 2000 /* beyond that */
#define STEP_CHANGES 2
#define LOG_LINES 60 /* printed of a request */
#define ROOM 5 /* of an endpoint that turns requests away */
#define BODY_BYTES 8000000
#define BODY_BYTES_LOW 1000000

/* What a configuration changes. */
enum change {
	CHANGE_TIMEOUT,
	/* of plain routes, shorter than silences; a stream would be cut */
	CHANGE_TIMEOUT_SHORT,
	CHANGE_IDLE,
	CHANGE_BODY,
	CHANGE_KEY,
	CHANGE_ATTEMPTS,
	CHANGE_SLOTS,
	CHANGE_ROUTE, /* one more */
	CHANGE_PLAIN, /* plain routes go to the other service */
	CHANGE_ENGINE, /* streams go to the other engines */
	CHANGE_SERVICES, /* those without routes are left out */
	CHANGE_GONE, /* half of the routes are left out */
	CHANGES_DRAWN, /* a series draws from those above */
	/* a step draws from these, too: */
	CHANGE_STREAM_SHORT = CHANGES_DRAWN, /* the same limit for streams */
	CHANGE_IDLE_SHORT,
	CHANGE_FIRST_KEY,
	CHANGE_ONE_SLOT,
	CHANGE_NO_ROUTE, /* that of the request */
	CHANGE_NOT_RESUMABLE,
	CHANGE_HEALTH, /* another path */
	CHANGES,
};

/* Signals that an instance gets beside a change. */
enum signals {
	SIGNALS_NONE,
	SIGNALS_RELOAD,
	SIGNALS_STOP,
	SIGNALS_RELOAD_STOP,
	SIGNALS_STOP_RELOAD,
	SIGNALS_KINDS,
};

struct instance {
	struct standin_instance in;
	char name[32];
	const char *gate; /* of the fault proxy, to the store */
	bool delayed; /* what it hears from the store */
	size_t starts;
	bool up; /* the process has said that it has started */
	bool stopping;
};

struct run {
	unsigned int seed;
	struct random_source random;
	bool changed[CHANGES]; /* in force */
	unsigned int n_series; /* changes made in this series */
	size_t target; /* instance that gets the signals of this series */
	uint64_t change_ms; /* time of the next change */
	uint64_t silence_ms; /* when silences are drawn anew */
	unsigned int steps_with; /* 0: no steps; 2: series, too */
	uint64_t step_ms; /* time of the next step */
	enum whole_moment moment; /* of the next step */
	enum whole_path path; /* of the next step */
	enum whole_path without; /* a route, by CHANGE_NO_ROUTE */
	unsigned int steps;
	struct lost_work *works;
	size_t n_works;
	unsigned int releases;
	unsigned int reloads;
	unsigned int stops;
	unsigned int failed_exits;
};

static struct harness *harness;
static struct standin_world *platform;
static struct instance instances[WHOLE_ADDRESSES_MAX];
static size_t n_instances;
static const char *control; /* of the fault proxy */
static struct whole_world world;
static struct run run;
static int version;
static char *bin; /* directory of the programs under test */

static uint64_t now_ms(void)
{
	return uv_now(harness_loop(harness));
}

static unsigned int number(const char *name, unsigned int otherwise)
{
	const char *text = getenv(name);

	return text ? (unsigned int)strtoul(text, NULL, 10) : otherwise;
}

/* Writes a route of a configuration. */
static char *route(const char *name, const char *type, const char *service,
		   int attempts)
{
	const bool *on = run.changed;
	bool plain = strcmp(type, "streaming") != 0;

	return xasprintf(
		"{\"name\":\"%s\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":"
		"\"/%s/\",\"routeType\":\"%s\",\"timeoutMs\":%d,"
		"\"targetLatencyMs\":4500,\"targetGapMs\":700,\"backend\":\"%s\","
		"\"maxAttempts\":%d,\"resumable\":%s}",
		name, name, type,
		on[plain ? CHANGE_TIMEOUT_SHORT : CHANGE_STREAM_SHORT]
			? WHOLE_SHORT_TIMEOUT_MS
		: on[CHANGE_TIMEOUT] ? WHOLE_TIMEOUT_MS
				     : 20000,
		service, on[CHANGE_ATTEMPTS] ? 1 : attempts,
		!strcmp(name, "write") && !on[CHANGE_NOT_RESUMABLE] ? "true"
								    : "false");
}

/* Writes the services of a configuration, of which one plain and one of engines have
 * routes. */
static char *list_services(const char *plain, const char *engine)
{
	static const char plain_service[] =
		"{\"name\":\"%s\",\"healthPath\":\"/%s\"}";
	static const char engine_service[] =
		"{\"name\":\"%s\",\"healthPath\":\"/%s\",\"engine\":{"
		"\"slots\":%d,\"kvCapacity\":55000}}";
	const char *idle_plain = strcmp(plain, "alpha") ? "alpha" : "beta";
	const char *idle_engine = strcmp(engine, "engine") ? "engine" : "motor";
	const char *health = run.changed[CHANGE_HEALTH] ? "health" : "healthz";
	int slots = run.changed[CHANGE_ONE_SLOT] ? 1
		    : run.changed[CHANGE_SLOTS]	 ? 2
						 : 48;
	char *parts[] = {
		xasprintf(plain_service, plain, health),
		xasprintf(engine_service, engine, health, slots),
		xasprintf(plain_service, idle_plain, health),
		xasprintf(engine_service, idle_engine, health, slots),
	};
	char *all = run.changed[CHANGE_SERVICES]
			    ? xasprintf("%s,%s", parts[0], parts[1])
			    : xasprintf("%s,%s,%s,%s", parts[0], parts[1],
					parts[2], parts[3]);
	size_t i;

	for (i = 0; i < sizeof(parts) / sizeof(parts[0]); i++)
		free(parts[i]);
	return all;
}

/* Notes planned work. */
static void note_work(enum lost_work_kind kind, size_t of)
{
	run.works =
		xreallocarray(run.works, run.n_works + 1, sizeof(*run.works));
	run.works[run.n_works++] = (struct lost_work){
		.kind = kind,
		.instance = of,
		.at_ms = now_ms(),
	};
}

/* Returns the name of the route of a path, another one if it is left out. */
static const char *route_name(enum whole_path path, const char *name)
{
	return run.changed[CHANGE_NO_ROUTE] && run.without == path ? "away"
								   : name;
}

/* Writes a configuration with the changes that are in force. */
static void put_configuration(void)
{
	const bool *on = run.changed;
	const char *plain = on[CHANGE_PLAIN] ? "beta" : "alpha";
	const char *engine = on[CHANGE_ENGINE] ? "motor" : "engine";
	char *routes[] = {
		route(route_name(WHOLE_BOOK, "book"), "non_idempotent", plain,
		      1),
		route(on[CHANGE_GONE] ? "gone" : route_name(WHOLE_LOOK, "look"),
		      "idempotent", plain, 2),
		route(on[CHANGE_GONE] ? "went" : route_name(WHOLE_TELL, "tell"),
		      "streaming", engine, 1),
		route(route_name(WHOLE_WRITE, "write"), "streaming", engine, 5),
		route(on[CHANGE_ROUTE] ? "more" : "less", "idempotent", plain,
		      2),
	};
	char *services = list_services(plain, engine);
	char *text = xasprintf(
		"{\"version\":%d,\"routes\":[%s,%s,%s,%s,%s],\"services\":[%s],"
		"\"limits\":{\"maxHeaderBytes\":4096,\"maxBodyBytes\":%d,"
		"\"headerTimeoutMs\":4000,\"idleTimeoutMs\":%d},"
		"\"tenants\":[{\"name\":\"ajoke\",\"apiKeys\":[\"%s\"%s]}]}",
		++version, routes[0], routes[1], routes[2], routes[3],
		routes[4], services,
		on[CHANGE_BODY] ? BODY_BYTES_LOW : BODY_BYTES,
		on[CHANGE_IDLE_SHORT] ? 300
		: on[CHANGE_IDLE]     ? 900
				      : 15000,
		on[CHANGE_FIRST_KEY] ? "k3" : "k1",
		on[CHANGE_KEY] ? "" : ",\"k2\"");
	size_t i;

	world.routed[0] = plain;
	world.routed[1] = engine;
	standin_put(platform, "op", "config", text);
	world.changes++;
	note_work(LOST_WORK_CONFIG, 0);
	free(text);
	free(services);
	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++)
		free(routes[i]);
}

/* Starts endpoints of a service until as many serve it as should. */
static void start_endpoints(const char *service, bool engine)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < world.n_endpoints; i++)
		n += world.endpoints[i].listener >= 0 &&
		     !world.endpoints[i].leaving_ms &&
		     !strcmp(world.endpoints[i].service, service);
	for (; n < ENDPOINTS_PER_SERVICE; n++)
		whole_endpoint_start(&world, service, engine);
}

/* Has endpoints of a service leave, at most so many. */
static void leave(const char *service, size_t most)
{
	size_t i;

	for (i = 0; most && i < world.n_endpoints; i++) {
		struct whole_endpoint *e = &world.endpoints[i];

		if (e->listener < 0 || e->leaving_ms ||
		    strcmp(e->service, service) != 0)
			continue;
		whole_endpoint_leave(&world, e, random_below(&run.random, 2));
		run.releases++;
		most--;
	}
}

/* Puts the changes in force into the configuration, and has the endpoints of
 * services without routes leave, before or after it. */
static void apply_changes(void)
{
	const bool *on = run.changed;
	bool before = random_below(&run.random, 2);
	size_t at_once = 1 + random_below(&run.random, ENDPOINTS_PER_SERVICE);

	start_endpoints(on[CHANGE_PLAIN] ? "beta" : "alpha", false);
	start_endpoints(on[CHANGE_ENGINE] ? "motor" : "engine", true);
	if (!before)
		put_configuration();
	leave(on[CHANGE_PLAIN] ? "alpha" : "beta", at_once);
	leave(on[CHANGE_ENGINE] ? "engine" : "motor", at_once);
	if (before)
		put_configuration();
}

/* Replaces one endpoint of each service that has routes: the new ones serve
 * first. */
static void release(void)
{
	static const struct {
		const char *service;
		bool engine;
	} services[] = {
		{ "alpha", false },
		{ "beta", false },
		{ "engine", true },
		{ "motor", true },
	};
	size_t i;

	for (i = 0; i < sizeof(services) / sizeof(services[0]); i++) {
		enum change change = services[i].engine ? CHANGE_ENGINE
							: CHANGE_PLAIN;

		if (run.changed[change] != i % 2)
			continue;
		whole_endpoint_start(&world, services[i].service,
				     services[i].engine);
		leave(services[i].service, 1);
	}
}

/* Delays what an instance and the store send to each other. */
static void delay_store(struct instance *i, uint32_t ms)
{
	harness_control(harness, control, "{\"%s\":{\"delay_ms\":%u}}", i->gate,
			ms);
	i->delayed = ms > 0;
}

/* Starts the process of an instance, first of the build in CDM_BIN_BEFORE if that is
 * set; callers try to reach it from now on. */
static void start_instance(struct instance *i)
{
	struct whole_address *a = &world.addresses[i - instances];
	const char *before = getenv("CDM_BIN_BEFORE");

	delay_store(i, random_below(&run.random, STORE_DELAY_MAX_MS));
	if (before && !i->starts)
		setenv("CDM_BIN", before, 1);
	i->in.proc = HARNESS_START(harness, i->name, "cdmproxyd", "-f",
				   i->in.settings);
	setenv("CDM_BIN", bin, 1);
	i->starts++;
	i->up = false;
	i->stopping = false;
	a->listed = true;
	a->started_ms = now_ms();
}

/* Starts instances again that have stopped, with a change of the configuration
 * soon after. */
static void step_instances(void)
{
	size_t i;

	for (i = 0; i < n_instances; i++) {
		struct instance *in = &instances[i];

		if (in->delayed &&
		    now_ms() - world.addresses[i].started_ms >= FRESH_MS)
			delay_store(in, 0);
		if (!in->up)
			in->up = proc_output_count(in->in.proc,
						   "\"event\":\"start\"") >=
				 in->starts;
		if (proc_running(in->in.proc))
			continue;
		if (!in->stopping || in->in.proc->exit_code) {
			run.failed_exits++;
			print_message("%s ended with %d\n", in->name,
				      in->in.proc->exit_code);
		}
		start_instance(in);
		if (run.change_ms > now_ms() + FRESH_CHANGE_MS)
			run.change_ms =
				now_ms() +
				random_below(&run.random, FRESH_CHANGE_MS);
	}
}

/* Rewrites the settings of an instance with another budget of repeats and has it
 * reload them. */
static void reload(struct instance *i)
{
	static const char name[] = "repeat_slack = ";
	FILE *f = fopen(i->in.settings, "r+");
	char line[256];
	long at = 0;

	assert_non_null(f);
	while (fgets(line, sizeof(line), f) &&
	       strncmp(line, name, strlen(name)) != 0)
		at = ftell(f);
	fseek(f, at + (long)strlen(name), SEEK_SET);
	fputc('1' + (int)random_below(&run.random, 3), f);
	fclose(f);
	proc_signal(i->in.proc, SIGHUP);
	note_work(LOST_WORK_RELOAD, (size_t)(i - instances));
	run.reloads++;
}

/* Stops an instance unless as many stop as may. */
static void stop_instance(struct instance *i)
{
	size_t stopping = 0;
	size_t k;

	for (k = 0; k < n_instances; k++)
		stopping += instances[k].stopping;
	if (i->stopping || stopping * INSTANCES_PER_STOP >= n_instances)
		return;
	proc_signal(i->in.proc, SIGTERM);
	note_work(LOST_WORK_STOP, (size_t)(i - instances));
	i->stopping = true;
	world.addresses[i - instances].listed = false;
	run.stops++;
}

/* Sends the instance of this series the signals of a step. */
static void send_signals(void)
{
	struct instance *i = &instances[run.target];

	if (!i->up)
		return;
	switch ((enum signals)random_below(&run.random, SIGNALS_KINDS)) {
	case SIGNALS_RELOAD:
		reload(i);
		break;
	case SIGNALS_STOP:
		stop_instance(i);
		break;
	case SIGNALS_RELOAD_STOP:
		reload(i);
		stop_instance(i);
		break;
	case SIGNALS_STOP_RELOAD:
		stop_instance(i);
		reload(i);
		break;
	default:
		break;
	}
}

/* Makes the next change of a series, or takes all of them back. */
static void step_changes(void)
{
	struct random_source *r = &run.random;
	bool before = random_below(r, 2);

	if (!run.n_series)
		run.target = random_below(r, (uint32_t)n_instances);
	if (before)
		send_signals();
	if (run.n_series < SERIES_CHANGES) {
		if (world.limit && !run.n_series)
			run.changed[CHANGE_SLOTS] = true;
		run.changed[random_below(r, CHANGES_DRAWN)] = true;
		run.n_series++;
		run.change_ms = now_ms() + CHANGE_MS;
	} else {
		memset(run.changed, 0, sizeof(run.changed));
		run.n_series = 0;
		run.change_ms = run.steps_with == 1
					? UINT64_MAX
					: now_ms() + PAUSE_MIN_MS +
						  random_below(r, PAUSE_MAX_MS);
	}
	apply_changes();
	if (!random_below(r, 3))
		release();
	if (!before)
		send_signals();
}

/* Changes one thing that a request relies on. */
static void change_under(const struct whole_request *r)
{
	bool *on = run.changed;
	bool stream = r->path > WHOLE_LOOK;

	switch (random_below(&run.random, 10)) {
	case 0:
		on[stream ? CHANGE_ENGINE : CHANGE_PLAIN] = true;
		break;
	case 1:
		on[stream ? CHANGE_ENGINE : CHANGE_PLAIN] = true;
		on[CHANGE_SERVICES] = true;
		break;
	case 2:
		on[stream ? CHANGE_STREAM_SHORT : CHANGE_TIMEOUT_SHORT] = true;
		break;
	case 3:
		on[CHANGE_IDLE_SHORT] = true;
		break;
	case 4:
		on[r->second_key ? CHANGE_KEY : CHANGE_FIRST_KEY] = true;
		break;
	case 5:
		on[CHANGE_ATTEMPTS] = true;
		break;
	case 6:
		on[CHANGE_ONE_SLOT] = true;
		break;
	case 7:
		on[CHANGE_HEALTH] = true;
		break;
	case 8:
		on[stream ? CHANGE_NOT_RESUMABLE : CHANGE_BODY] = true;
		break;
	default:
		on[CHANGE_NO_ROUTE] = true;
		run.without = r->path;
		break;
	}
}

/* Draws the next step. */
static void draw_step(void)
{
	struct random_source *r = &run.random;

	run.step_ms = now_ms() + STEP_PAUSE_MIN_MS +
		      random_below(r, STEP_PAUSE_MAX_MS);
	run.moment = (enum whole_moment)random_below(r, WHOLE_MOMENTS);
	run.path = (enum whole_path)random_below(r, WHOLE_PATHS);
}

/* Takes a step if it is due and this is its moment: changes what the request relies
 * on, whose endpoint is silent from now on and sometimes leaves.  Returns whether
 * it was taken. */
static bool step_at(struct whole_endpoint *e, struct whole_request *r,
		    enum whole_moment moment)
{
	bool signals_first = random_below(&run.random, 2);
	unsigned int n = 1 + random_below(&run.random, STEP_CHANGES);

	if (now_ms() < run.step_ms || moment != run.moment ||
	    r->path != run.path || world.ending ||
	    (moment == WHOLE_MOMENT_PART && random_below(&run.random, 8)))
		return false;
	run.target = (size_t)(r->to - world.addresses);
	while (n--)
		change_under(r);
	if (signals_first && random_below(&run.random, 2))
		send_signals();
	start_endpoints(run.changed[CHANGE_PLAIN] ? "beta" : "alpha", false);
	start_endpoints(run.changed[CHANGE_ENGINE] ? "motor" : "engine", true);
	put_configuration();
	if (!e->leaving_ms && !random_below(&run.random, 3)) {
		whole_endpoint_leave(&world, e, random_below(&run.random, 2));
		run.releases++;
		start_endpoints(e->service, e->engine);
	}
	if (!signals_first && random_below(&run.random, 2))
		send_signals();
	run.n_series = SERIES_CHANGES;
	run.change_ms = now_ms() + STEP_HOLDS_MIN_MS +
			random_below(&run.random, STEP_HOLDS_MAX_MS);
	run.steps++;
	print_message(
		"step at %s, at the end of its %s, endpoint %s%s, version "
		"%d\n",
		r->id,
		moment == WHOLE_MOMENT_REQUEST ? "request"
		: moment == WHOLE_MOMENT_HEAD  ? "head"
					       : "part",
		e->id, e->leaving_ms ? ", leaving" : "", version);
	draw_step();
	return true;
}

/* Draws which endpoints fall silent as a whole. */
static void draw_silences(void)
{
	size_t i;

	for (i = 0; i < world.n_endpoints; i++) {
		struct whole_endpoint *e = &world.endpoints[i];

		if (e->listener >= 0 && now_ms() >= e->silent_until_ms &&
		    !random_below(&run.random, 4))
			whole_endpoint_silence(&world, e);
	}
	run.silence_ms = now_ms() + DRAW_SILENCE_MS;
}

/* Steps all that goes on; returns whether all requests have ended. */
static bool step(void *unused)
{
	(void)unused;
	if (run.changed[CHANGE_TIMEOUT])
		world.limited_ms = now_ms();
	if (run.changed[CHANGE_STREAM_SHORT])
		world.stream_limited_ms = now_ms();
	step_instances();
	whole_callers_step(&world);
	whole_endpoints_step(&world);
	return whole_callers_over(&world);
}

/* Starts the fault proxy between each instance and the store. */
static void start_gates(void)
{
	const char *args[2 * WHOLE_ADDRESSES_MAX + 3] = { "-c" };
	char *maps[WHOLE_ADDRESSES_MAX] = { NULL };
	size_t i;

	args[1] = control = harness_address(harness);
	for (i = 0; i < n_instances; i++) {
		instances[i] = (struct instance){
			.gate = harness_address(harness),
		};
		maps[i] = xasprintf("%s=%s", instances[i].gate,
				    platform->store_address);
		args[2 * i + 2] = "-m";
		args[2 * i + 3] = maps[i];
	}
	harness_startv(harness, "faultd", "faultd", args);
	for (i = 0; i < n_instances; i++)
		free(maps[i]);
	harness_wait_listening(harness, control);
}

/* Starts the platform, the endpoints and the instances of a seed. */
static void start(unsigned int seed, size_t room)
{
	size_t i;

	run = (struct run){ .seed = seed, .random = { .seed = seed } };
	harness = harness_new();
	bin = xstrdup(getenv("CDM_BIN"));
	platform = standin_new(harness);
	platform->grace_s = GRACE_S;
	platform->extra_settings = "repeat_slack = 150\n"
				   "directory_ttl_s = 1\n";
	world = (struct whole_world){ .platform = platform,
				      .random = &run.random,
				      .unframed = number("WHOLE_UNFRAMED", 0),
				      .room = number("WHOLE_ROOM", room),
				      .brittle = number("WHOLE_BRITTLE", 0) };
	world.limit = number("WHOLE_LIMIT", 0);
	world.manners = number("WHOLE_CALLERS_KINDS", 0);
	run.steps_with = number("WHOLE_STEP", 0);
	if (run.steps_with) {
		world.on_moment = step_at;
		draw_step();
	}
	if (run.steps_with == 1)
		run.change_ms = UINT64_MAX;
	version = 1;
	apply_changes();
	n_instances = number("WHOLE_INSTANCES", INSTANCES);
	assert_true(n_instances <= WHOLE_ADDRESSES_MAX);
	world.n_addresses = n_instances;
	start_gates();
	for (i = 0; i < n_instances; i++) {
		struct instance *in = &instances[i];

		platform->store_public_address = in->gate;
		snprintf(in->name, sizeof(in->name), "front-%zu", i);
		standin_init_instance(platform, &in->in, in->name,
				      i ? instances[0].in.control : NULL);
		start_instance(in);
		world.addresses[i].address = in->in.callers;
	}
	whole_callers_init(&world, number("WHOLE_CALLERS", CALLERS));
}

static void stop(void)
{
	size_t i;

	for (i = 0; i < n_instances; i++)
		proc_kill(instances[i].in.proc);
	whole_world_release(&world);
	standin_free(platform);
	harness_free(harness);
	free(run.works);
	free(bin);
}

/* Prints the lines on a request in the logs of the instances. */
static void print_lines(const struct whole_request *r)
{
	char *id = xasprintf("\"%s\"", r->id);
	size_t n = 0;
	size_t i;

	for (i = 0; i < n_instances; i++) {
		char *output = proc_output(instances[i].in.proc);
		char *rest = output;
		const char *line;

		while ((line = strsep(&rest, "\n")) && n < LOG_LINES)
			if (strstr(line, id)) {
				print_message("%s: %s\n", instances[i].name,
					      line);
				n++;
			}
		free(output);
	}
	free(id);
}

/* Prints those lines on each request that was lost, or waited beside free endpoints;
 * returns how many waited so. */
static size_t print_lost(void)
{
	size_t waited = 0;
	size_t i;

	for (i = 0; i < world.n_requests; i++) {
		const struct whole_request *r = world.requests[i];

		waited += r->waited;
		if (r->end != WHOLE_LOST && !r->waited)
			continue;
		print_message("%s: %s %s, status %d after %llu ms\n",
			      r->end == WHOLE_LOST ? "lost" : "waited", r->id,
			      whole_path_prefix(r->path), r->status,
			      (unsigned long long)(r->over_ms - r->begun_ms));
		print_lines(r);
	}
	return waited;
}

/* Prints what breaks the users' rule at each instance. */
static void judge_instances(uint64_t begin_ms)
{
	struct lost_request *cut = xcalloc(world.n_requests + 1, sizeof(*cut));
	struct lost_run all = {
		.begin_ms = begin_ms,
		.end_ms = now_ms(),
		.grace_ms = GRACE_S * 1000ull,
		.requests = cut,
		.works = run.works,
		.n_works = run.n_works,
	};
	size_t broken = 0;
	size_t i;

	for (i = 0; i < world.n_requests; i++) {
		const struct whole_request *r = world.requests[i];

		if (r->end < WHOLE_LOST)
			continue;
		cut[all.n_requests++] = (struct lost_request){
			.instance = (size_t)(r->to - world.addresses),
			.sent_ms = r->begun_ms,
			.whole_ms = r->whole_ms,
			.over_ms = r->over_ms,
			.limit_ms = r->limit_ms,
			.kept = r->kept,
			.passed_on = r->runs > 0,
			.begun = r->begun,
			.broken_off = r->broken_off,
			.at_work = r->at_work,
		};
	}
	for (i = 0; i < n_instances; i++) {
		struct lost_verdict v = lost_rule_judge(&all, i);

		if (lost_rule_holds(&v))
			continue;
		print_message("seed %u, the rule is broken at %s: %zu beside "
			      "stops, %zu beside reloads, %zu beside a "
			      "configuration, %zu on kept connections\n",
			      run.seed, instances[i].name, v.beside_stops,
			      v.beside_reloads, v.beside_config, v.kept);
		broken++;
	}
	print_message("seed %u: %zu requests cut, the rule is broken at %zu of "
		      "%zu instances; %u steps\n",
		      run.seed, all.n_requests, broken, n_instances, run.steps);
	free(cut);
}

/* Returns how many requests got other bytes than they should, ran again though
 * they may run once, or were refused and have run. */
static size_t count_wrong(void)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < world.n_requests; i++) {
		const struct whole_request *r = world.requests[i];
		bool once = r->path == WHOLE_BOOK || r->path == WHOLE_TELL;
		bool promised = r->status == 408 || r->status == 429 ||
				r->status == 503;

		if (!r->wrong && !(once && r->runs > 1) &&
		    !(once && promised && r->runs))
			continue;
		print_message("wrong: %s %s, status %d, %u runs, %d events\n",
			      r->id, whole_path_prefix(r->path), r->status,
			      r->runs, r->n_events);
		print_lines(r);
		n++;
	}
	return n;
}

/* Prints how the requests of each path ended. */
static void report(void)
{
	size_t path;

	for (path = 0; path < WHOLE_PATHS; path++) {
		size_t n[WHOLE_ENDS] = { 0 };
		size_t large = 0;
		size_t held = 0;
		size_t fresh = 0;
		size_t i;

		for (i = 0; i < world.n_requests; i++) {
			const struct whole_request *r = world.requests[i];

			if (r->path != path)
				continue;
			n[r->end]++;
			large += r->len > 100000;
			held += r->held;
			fresh += r->fresh;
		}
		print_message(
			"seed %u, %s: %zu answered, %zu refused, %zu failed, "
			"%zu lost, %zu out of time, %zu broken off, %zu crossed, "
			"%zu unfinished; %zu large, %zu held across a change, %zu at fresh instances\n",
			run.seed, whole_path_prefix((enum whole_path)path),
			n[WHOLE_ANSWERED], n[WHOLE_REFUSED], n[WHOLE_FAILED],
			n[WHOLE_LOST], n[WHOLE_OUT_OF_TIME],
			n[WHOLE_BROKEN_OFF], n[WHOLE_CROSSED],
			n[WHOLE_UNFINISHED], large, held, fresh);
	}
}

/* Prints how the requests of each manner ended, if there are several. */
static void report_manners(void)
{
	static const char *const names[WHOLE_MANNERS] = {
		[WHOLE_PLAINLY] = "plainly",
		[WHOLE_TWO] = "two at once",
		[WHOLE_HALF_CLOSED] = "sending direction ended",
		[WHOLE_HTTP_1_0] = "HTTP/1.0",
	};
	size_t manner;

	for (manner = 0; world.manners && manner < WHOLE_MANNERS; manner++) {
		size_t n[WHOLE_ENDS] = { 0 };
		size_t i;

		for (i = 0; i < world.n_requests; i++)
			if (world.requests[i]->manner == manner)
				n[world.requests[i]->end]++;
		print_message("seed %u, %s: %zu answered, %zu refused, %zu "
			      "failed, %zu lost, %zu out of time, %zu crossed, "
			      "%zu unfinished\n",
			      run.seed, names[manner], n[WHOLE_ANSWERED],
			      n[WHOLE_REFUSED], n[WHOLE_FAILED], n[WHOLE_LOST],
			      n[WHOLE_OUT_OF_TIME], n[WHOLE_CROSSED],
			      n[WHOLE_UNFINISHED]);
	}
}

/* Plays the planned work and the requests of a seed. */
static void play(unsigned int seconds)
{
	uint64_t end_ms = now_ms() + seconds * 1000ull;

	while (now_ms() < end_ms) {
		if (now_ms() >= run.silence_ms)
			draw_silences();
		if (now_ms() >= run.change_ms)
			step_changes();
		step(NULL);
		harness_run(harness, STEP_MS);
	}
	world.ending = true;
	harness_until(harness, step, NULL, "each request ends");
}

/* Plays seeds in which an endpoint takes so many requests at once; 0: all. */
static void play_seeds(size_t room)
{
	unsigned int first = number("WHOLE_SEED", FIRST_SEED);
	unsigned int n = number("WHOLE_SEEDS", SEEDS);
	unsigned int i;
	size_t bad = 0;

	for (i = 0; i < n; i++) {
		size_t lost;
		size_t waited;
		size_t wrong;
		uint64_t begin_ms;

		start(first + i, room);
		begin_ms = now_ms();
		play(number("WHOLE_SECONDS", RUN_S));
		report();
		judge_instances(begin_ms);
		report_manners();
		lost = whole_count(&world, WHOLE_LOST);
		waited = print_lost();
		wrong = count_wrong();
		bad += lost + wrong + run.failed_exits;
		print_message(
			"seed %u: %zu requests, %zu lost, %zu wrong, %u "
			"failed exits, %zu turned away and %zu broken off "
			"by endpoints, %zu falls; %u changes, %u leavings, "
			"%u reloads, %u stops; %zu at their time limit beside "
			"free endpoints\n",
			run.seed, world.n_requests, lost, wrong,
			run.failed_exits, world.n_turned_away,
			world.n_broken_off, world.n_falls, world.changes,
			run.releases, run.reloads, run.stops, waited);
		assert_true(whole_count(&world, WHOLE_ANSWERED) > 0);
		stop();
	}
	assert_int_equal(bad, 0);
}

static void every_whole_request_ends_with_an_answer(void **state)
{
	(void)state;
	play_seeds(0);
}

static void full_endpoints_cut_no_request(void **state)
{
	(void)state;
	play_seeds(ROOM);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_whole_request_ends_with_an_answer),
		cmocka_unit_test(full_endpoints_cut_no_request),
	};

	return cmocka_run_group_tests_name("unanswered requests", tests, NULL,
					   NULL);
}
