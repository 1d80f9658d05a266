/*
 * Engines behind fault proxies that fall silent, for tests of cdmproxyd.
 */
#include "regress/silence.h"

#include <string.h>

#include "lib/xalloc.h"

#define EVENT_MS 40
#define N(list) (sizeof(list) / sizeof((list)[0]))

struct harness *silence_harness;
struct standin_world *silence_world;
struct standin_instance silence_instances[SILENCE_INSTANCES_MAX];
static const char *control[STANDIN_WORKERS_MAX]; /* of the fault proxies */

static void add_engine(void);

/* Starts a platform with engines behind fault proxies. */
void silence_start(const struct silence_case *c)
{
	size_t i;

	silence_harness = harness_new();
	silence_world = standin_new(silence_harness);
	silence_world->event_ms = EVENT_MS;
	silence_world->extra_settings = c->settings;
	for (i = 0; i <= c->engines; i++)
		add_engine();
	standin_put_configuration(silence_world, 2, c->route);
	for (i = 0; i < c->instances; i++) {
		standin_init_instance(silence_world, &silence_instances[i],
				      i ? "two" : "one",
				      i ? silence_instances[0].control : NULL);
		standin_start_instance(silence_world, &silence_instances[i]);
	}
	for (i = 0; i < c->instances; i++)
		standin_wait_status(silence_world,
				    silence_instances[i].readiness, "/readyz",
				    200);
}

/* Adds an engine behind a fault proxy of its own. */
static void add_engine(void)
{
	struct standin_worker *worker =
		standin_add_worker(silence_world, "engine", "z1");
	const char *gate = harness_address(silence_harness);
	char *map = xasprintf("%s=%s", gate, worker->address);

	control[silence_world->n_workers - 1] =
		harness_address(silence_harness);
	HARNESS_START(silence_harness, "faultd", "faultd", "-c",
		      control[silence_world->n_workers - 1], "-m", map);
	free(map);
	harness_wait_listening(silence_harness,
			       control[silence_world->n_workers - 1]);
	worker->public_address = gate;
	standin_put_worker_entry(worker, "ready");
}

/* Stops the silence_instances and frees the platform. */
void silence_end(const struct silence_case *c)
{
	size_t i;

	for (i = 0; i < c->instances; i++)
		proc_kill(silence_instances[i].proc);
	standin_free(silence_world);
	harness_free(silence_harness);
}

/* Requests a stream of the case at the first instance. */
struct stream_reader *silence_open_stream(void)
{
	const struct httpc_header headers[] = {
		{ "credential", "k1" },
		{ "request-id", "r-1" },
		{ "deadline-ms", "15000" },
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = silence_instances[0].callers,
		.path = "/case/a",
		.headers = headers,
		.n_headers = N(headers),
		.body = "x",
		.body_len = 1,
	};

	return stream_open(silence_harness, &r);
}

/* Sets the mode of an engine's fault proxy. */
void silence_set_mode(size_t engine, const char *mode)
{
	harness_control(silence_harness, control[engine],
			"{\"*\":{\"mode\":\"%s\"}}", mode);
}

/* Has the open connections to an engine go silent for good. */
void silence_connections(size_t engine)
{
	harness_control(silence_harness, control[engine],
			"{\"*\":{\"silence\":true}}");
}

/* Returns the engine that got the last attempt. */
size_t silence_engine_of_run(void)
{
	size_t i = silence_world->n_arrivals;

	while (strcmp(silence_world->arrivals[i - 1]->target, "/case/a") != 0)
		i--;
	return (size_t)(silence_world->arrivals[i - 1]->worker -
			silence_world->workers);
}

/* Returns the number of attempts that reached an engine. */
size_t silence_attempts(void)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < silence_world->n_arrivals; i++)
		n += !strcmp(silence_world->arrivals[i]->target, "/case/a");
	return n;
}
