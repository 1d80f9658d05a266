/*
 * Requests at an instance whose path to all endpoints is cut for seconds, while
 * two other instances reach them.  The instance reads the endpoints' addresses
 * from the view of the stand-in store, which names the fault proxy's.
 */
#include "regress/lost_path.h"

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
#include "regress/path_callers.h"
#include "regress/platform_standin.h"

#define WORKERS 5
#define EVENT_MS 150
#define EVENTS_BEFORE 3 /* received before the cut */
#define BEGUN 6 /* streams that begin before the cut */
#define WARM_UP_MS 1000
#define STEP_MS 100 /* between two requests */
#define SENDS_MS 5500 /* for so long requests come during the cut */
#define CONTACT_MS 3000 /* the users' contactMs */
#define CHANGE_MS 250
#define STOP_MS 3500 /* from the cut to the SIGTERM */
#define SENDS_AFTER_STOP_MS 1000
#define GRACE_S 8
#define SMALL_BYTES 24
#define LARGE_BYTES 8000
#define DIRECT_IN_A_ROW 5

/* Moves in these tests are never refused for want of repeats. */
#define MANY_REPEATS "repeat_ratio = 10\n"

#define ROUTE(name, type, attempts, backend)                       \
	"{\"name\":\"" name "\",\"hostname\":\"127.0.0.1\","       \
	"\"pathPrefix\":\"/" name "/\",\"routeType\":\"" type "\"" \
	",\"maxAttempts\":" attempts ",\"backend\":\"" backend     \
	"\",\"targetLatencyMs\":4500,\"timeoutMs\":%u"

static struct lost_path rig;
static const char *control; /* of the fault proxy */
static int version;
static unsigned int
	short_timeout_ms; /* of all routes; 0: they have long ones */

static uint64_t now_ms(void)
{
	return uv_now(harness_loop(rig.harness));
}

/* Writes the next version of the configuration, which differs from the last one
 * in timeouts and in one route. */
static void put_configuration(void)
{
	unsigned int timeout_ms =
		short_timeout_ms ? short_timeout_ms
				 : 20000 + 1000 * (unsigned int)(version % 2);
	char *routes = xasprintf(
		ROUTE("again", "idempotent", "2", "plain") "}," ROUTE(
			"once", "non_idempotent", "1",
			"plain") "}," ROUTE("tell", "streaming", "5",
					    "engine") ",\"targetGapMs\":700,\"resumable\":true}%s",
		timeout_ms, timeout_ms, timeout_ms,
		version % 2 ? ",{\"name\":\"other\",\"hostname\":\"127.0.0.1\","
			      "\"pathPrefix\":\"/other/\",\"routeType\":"
			      "\"idempotent\",\"timeoutMs\":900,"
			      "\"targetLatencyMs\":400,\"backend\":\"plain\","
			      "\"maxAttempts\":2}"
			    : "");

	standin_put_configuration(rig.world, ++version, routes);
	free(routes);
}

/* Writes the next version of the configuration, which has none of the routes of
 * the callers. */
void lost_path_drop_routes(void)
{
	standin_put_configuration(rig.world, ++version, NULL);
}

/* Writes the next version of the configuration, in which all routes of the callers
 * have a time limit of so many ms. */
void lost_path_shorten_routes(unsigned int timeout_ms)
{
	short_timeout_ms = timeout_ms;
	put_configuration();
}

/* Returns the harness, the platform, the instances and the callers. */
struct lost_path *lost_path_get(void)
{
	return &rig;
}

/* Adds the endpoints and the fault proxy. */
static void start_endpoints(void)
{
	static const char *const services[WORKERS] = { "engine", "plain",
						       "engine", "plain",
						       "engine" };
	const char *args[2 * WORKERS + 3] = { "-c" };
	char *maps[WORKERS];
	size_t i;

	args[1] = control = harness_address(rig.harness);
	for (i = 0; i < WORKERS; i++) {
		struct standin_worker *w = standin_add_worker(
			rig.world, services[i], i % 4 < 2 ? "z1" : "z2");

		w->view_address = harness_address(rig.harness);
		standin_put_worker_entry(w, "ready");
		maps[i] = xasprintf("%s=%s", w->view_address, w->address);
		args[2 * i + 2] = "-m";
		args[2 * i + 3] = maps[i];
	}
	harness_startv(rig.harness, "faultd", "faultd", args);
	for (i = 0; i < WORKERS; i++)
		free(maps[i]);
	harness_wait_listening(rig.harness, control);
}

/* Starts the platform and the instances; the first one reads the view. */
int lost_path_set_up(void **state)
{
	static const char *const names[LOST_PATH_INSTANCES] = { "one", "two",
								"three" };
	const struct lost_path_case *c = *state;
	size_t i;

	memset(&rig, 0, sizeof(rig));
	version = 1;
	short_timeout_ms = 0;
	rig.harness = harness_new();
	rig.world = standin_new(rig.harness);
	rig.world->event_ms = EVENT_MS;
	rig.world->grace_s = GRACE_S;
	if (!c || !c->default_repeats)
		rig.world->extra_settings = MANY_REPEATS;
	standin_open_view(rig.world);
	start_endpoints();
	put_configuration();
	for (i = 0; i < LOST_PATH_INSTANCES; i++) {
		rig.world->store_public_address = i ? rig.world->store_address
						    : rig.world->view_address;
		standin_init_instance(rig.world, &rig.instances[i], names[i],
				      i ? rig.instances[0].control : NULL);
		standin_start_instance(rig.world, &rig.instances[i]);
	}
	for (i = 0; i < LOST_PATH_INSTANCES; i++)
		standin_wait_status(rig.world, rig.instances[i].readiness,
				    "/readyz", 200);
	path_callers_init(&rig.callers, rig.world, rig.instances[0].callers);
	return 0;
}

int lost_path_tear_down(void **state)
{
	size_t i;

	(void)state;
	path_callers_release(&rig.callers);
	for (i = 0; i < LOST_PATH_INSTANCES; i++)
		if (rig.instances[i].proc)
			proc_kill(rig.instances[i].proc);
	standin_free(rig.world);
	harness_free(rig.harness);
	return 0;
}

/* Returns the bytes that went through the fault proxy to the endpoints. */
static json_int_t bytes_to_endpoints(void)
{
	json_t *all = harness_get(rig.harness, control, "/control");
	json_int_t n = 0;
	const char *address;
	json_t *mapping;

	json_object_foreach(all, address, mapping)
		n += json_integer_value(json_object_get(mapping, "bytes_up"));
	json_decref(all);
	return n;
}

/* Waits until requests in a row go directly from the first instance to the
 * endpoints; each of them is served. */
void lost_path_wait_direct(enum path_phase phase)
{
	uint64_t end_ms = now_ms() + HARNESS_WAIT_MS;
	unsigned int n = 0;

	while (n < DIRECT_IN_A_ROW) {
		json_int_t before = bytes_to_endpoints();
		struct path_request *r = path_send(&rig.callers, PATH_LOOK,
						   phase, n % 2, LARGE_BYTES);

		harness_until(rig.harness, path_request_over, r,
			      "a request is answered");
		n = bytes_to_endpoints() - before >= LARGE_BYTES ? n + 1 : 0;
		if (now_ms() > end_ms)
			fail_msg("requests do not go directly");
		harness_run(rig.harness, STEP_MS);
	}
}

/* Sets the mode of all links from the first instance to endpoints. */
void lost_path_set_mode(const char *mode)
{
	harness_control(rig.harness, control, "{\"*\":{\"mode\":\"%s\"}}",
			mode);
}

static bool have_begun(void *arg)
{
	size_t i;

	(void)arg;
	for (i = rig.callers.n - BEGUN; i < rig.callers.n; i++)
		if (path_count_events(rig.callers.requests[i]) < EVENTS_BEFORE)
			return false;
	return true;
}

/* Sends requests for a while, until the instances know each other. */
void lost_path_warm_up(void)
{
	uint64_t warm_ms;

	lost_path_wait_direct(PATH_BEFORE);
	for (warm_ms = now_ms(); now_ms() - warm_ms < WARM_UP_MS;) {
		path_send_next(&rig.callers, PATH_BEFORE);
		harness_run(rig.harness, STEP_MS);
	}
	harness_until(rig.harness, path_callers_over, &rig.callers,
		      "all requests end");
}

/* Sends streams and waits until events of each have come. */
void lost_path_begin_streams(void)
{
	size_t i;

	for (i = 0; i < BEGUN; i++)
		path_send(&rig.callers, PATH_STREAM, PATH_BEGUN, i % 2,
			  SMALL_BYTES);
	harness_until(rig.harness, have_begun, NULL, "the streams have begun");
}

/* Sends requests while the path is cut, beside what the case asks for. */
static void play_cut(const struct lost_path_case *c)
{
	bool stops = c->beside == LOST_PATH_STOP;
	uint64_t cut_ms = now_ms();
	uint64_t change_ms = cut_ms;
	uint64_t length_ms = stops ? STOP_MS + SENDS_AFTER_STOP_MS : SENDS_MS;
	bool stopped = false;
	uint64_t passed;

	while ((passed = now_ms() - cut_ms) < length_ms) {
		if (stops && !stopped && passed >= STOP_MS) {
			proc_signal(rig.instances[0].proc, SIGTERM);
			stopped = true;
		}
		if (c->beside == LOST_PATH_CHANGES && now_ms() >= change_ms) {
			put_configuration();
			change_ms = now_ms() + CHANGE_MS;
		}
		path_send_next(&rig.callers, stopped ? PATH_STOPPING
					     : passed >= CONTACT_MS
						     ? PATH_LATE
						     : PATH_EARLY);
		harness_run(rig.harness, STEP_MS);
	}
}

/* Cuts the path of the first instance until all requests are over, and checks how
 * each one ended. */
void lost_path_run(void **state)
{
	const struct lost_path_case *c = *state;

	lost_path_warm_up();
	lost_path_begin_streams();
	lost_path_set_mode(c->mode);
	play_cut(c);
	harness_until(rig.harness, path_callers_over, &rig.callers,
		      "all requests end");
	if (c->beside != LOST_PATH_STOP) {
		lost_path_set_mode("pass");
		lost_path_wait_direct(PATH_AFTER);
	}
	assert_int_equal(path_callers_report(&rig.callers), 0);
}
