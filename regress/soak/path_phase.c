/*
 * The phase of the soak in which some instances are parted from all endpoints
 * while callers, the store and the other instances still reach them, beside
 * stops, SIGHUPs and changes of the configuration.  Checks the users' rules
 * RECOVER, TWICE, REFUSED and ORDER, that streams that have begun are whole by
 * their deadlines, and that requests go directly to endpoints again after the cut.
 */
#include "regress/soak/path_phase.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/bytes.h"
#include "lib/event_stream.h"
#include "lib/http1_client.h"
#include "lib/xalloc.h"
#include "regress/platform_standin.h"
#include "regress/random.h"
#include "regress/recover_rule.h"
#include "regress/stream_rule.h"

/* Faults and callers are drawn apart, so that the faults of a seed stay the
 * same. */
#define FAULT_SEED 7000003
#define CALLER_SEED 8000003

#define PLAIN_WORKERS 2
#define WORKERS 5
#define CALLS_MAX 4096 /* in all */
#define WARM_MS 1000 /* before the cut */
#define CUT_MIN_MS 6000
#define CUT_MAX_MS 8000
#define STEP_MS 20 /* between two requests */
#define END_MS 1000 /* the end of the cut */
#define STOP_INTERVAL_MS 1500 /* mean, of instances that are to stop */
#define HANG_UP_INTERVAL_MS 1500 /* mean, of SIGHUPs */
#define CHANGE_INTERVAL_MS 1000 /* mean, of the configuration */
#define GRACE_S 4
#define EVENT_MS 40
#define PLAIN_DEADLINE_MS 900
#define STREAM_DEADLINE_MS 3500
#define LEAVES_MS 500 /* from its deadline until a caller leaves */
#define KEPT_IDLE_MS 5000
#define CONNECT_MS 500
#define LARGE_BYTES 8000 /* body of a request whose way is followed */
#define SMALL_BYTES 24
#define DIRECT_IN_A_ROW 3
#define LOST_MAX 3 /* of the users' rule LOST */
#define PLAIN_ANSWER "plain answer"

enum call_kind {
	CALL_BOOKING, /* may run once */
	CALL_LOOKUP,
	CALL_STREAM,
	CALL_KINDS,
};

static const struct {
	const char *path;
	uint32_t deadline_ms;
} kinds[CALL_KINDS] = {
	[CALL_BOOKING] = { "/book/p", PLAIN_DEADLINE_MS },
	[CALL_LOOKUP] = { "/look/p", PLAIN_DEADLINE_MS },
	[CALL_STREAM] = { "/write/p", STREAM_DEADLINE_MS },
};

/* The only try of a caller. */
struct call {
	enum call_kind kind;
	unsigned int number; /* in its id */
	struct recover_try first_try;
	int status; /* 0: no head was received */
	bool over;
	uint64_t over_ms;
	enum http1_outcome outcome;
	struct bytes body;
	struct event_stream events;
	struct followed_stream followed;
};

struct path_instance {
	struct standin_instance in;
	bool stopping;
	uint64_t in_touch_ms; /* from then on, unless it is stopping */
};

static struct harness *harness;
static struct standin_world *world;
static struct http1_client *client;
static const char *fault_control; /* of the fault proxy */
static struct path_instance *instances;
static size_t n_instances;
static size_t n_parted; /* the first ones */
static struct random_source fault_numbers;
static struct random_source caller_numbers;
static struct recover_rule rule;
static struct call *calls[CALLS_MAX];
static size_t n_calls;
static int version;
static unsigned int stops;
static unsigned int hang_ups;

static enum http1_head_decision on_head(void *arg, const struct http1_head *h);
static void on_body(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum http1_outcome outcome);

static const struct http1_call_ops call_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static uint64_t now_ms(void)
{
	return uv_now(harness_loop(harness));
}

/* Returns whether a fault with a mean interval happens in this step. */
static bool happens(uint32_t interval_ms)
{
	return random_below(&fault_numbers, interval_ms) < STEP_MS;
}

static bool in_touch(const struct path_instance *p)
{
	return !p->stopping && now_ms() >= p->in_touch_ms;
}

static enum http1_head_decision on_head(void *arg, const struct http1_head *h)
{
	((struct call *)arg)->status = h->status;
	return HTTP1_ACCEPT;
}

/* Follows the events of a stream; keeps the body of any other answer. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct call *c = arg;
	struct whole_event e;

	if (c->kind != CALL_STREAM || c->status != 200) {
		bytes_add(&c->body, data, len);
		return;
	}
	event_stream_add(&c->events, data, len);
	while (event_stream_next(&c->events, 0, &e)) {
		char text[160];
		char software[16];
		char request[40];
		struct stream_piece piece = { .version = software,
					      .request = request };

		snprintf(text, sizeof(text), "%.*s", (int)e.len, e.data);
		event_stream_consume(&c->events, e.len);
		if (sscanf(text, "id: %*u data: e%u %15s %u %39s",
			   &piece.number, software, &piece.run, request) != 4)
			fail_msg("p-%u-1: \"%s\" is no event", c->number, text);
		stream_rule_piece(&c->followed, &piece);
	}
}

/* Returns whether a call that is over got a whole answer. */
static bool is_whole(const struct call *c)
{
	if (c->outcome != HTTP1_COMPLETE || c->status != 200)
		return false;
	if (c->kind == CALL_STREAM)
		return c->followed.received == c->followed.last_piece;
	return c->body.len == strlen(PLAIN_ANSWER) &&
	       !memcmp(c->body.data, PLAIN_ANSWER, c->body.len);
}

static void on_end(void *arg, enum http1_outcome outcome)
{
	struct call *c = arg;

	c->over = true;
	c->over_ms = now_ms();
	c->outcome = outcome;
	if (c->kind == CALL_STREAM && c->status == 200 &&
	    outcome == HTTP1_COMPLETE)
		stream_rule_complete(&c->followed);
	c->first_try.end = is_whole(c) ? RECOVER_SERVED : RECOVER_FAILED;
	recover_rule_try(&rule, &c->first_try);
}

/* Sends a request with a body of len bytes to an instance, on a kept connection
 * if there is one, or on a new one. */
static struct call *send_call(enum call_kind kind, size_t instance, bool kept,
			      int len)
{
	const struct http1_call_options options = {
		.address = instances[instance].in.callers,
		.connect_timeout_ms = CONNECT_MS,
		.max_idle_ms = kept ? KEPT_IDLE_MS : 0,
		.timeout_ms = kinds[kind].deadline_ms + LEAVES_MS,
	};
	struct call *c = xcalloc(1, sizeof(*c));
	struct bytes out = { 0 };

	assert_true(n_calls < CALLS_MAX);
	calls[n_calls++] = c;
	c->kind = kind;
	c->number = (unsigned int)n_calls;
	c->first_try = (struct recover_try){
		.at_ms = now_ms(),
		.instance = instance,
		.in_touch = in_touch(&instances[instance]),
	};
	c->followed = (struct followed_stream){
		.resumable = true,
		.last_piece = STANDIN_EVENTS,
	};
	snprintf(c->followed.prefix, sizeof(c->followed.prefix), "p-%u-",
		 c->number);
	bytes_addf(&out,
		   "POST %s HTTP/1.1\r\nhost: 127.0.0.1\r\ncredential: k1\r\n"
		   "request-id: p-%u-1\r\ndeadline-ms: %u\r\n"
		   "token-usage: 300,100\r\ncontent-length: %d\r\n\r\n%0*u",
		   kinds[kind].path, c->number, kinds[kind].deadline_ms, len,
		   len, c->number);
	http1_call_start(client, &options, out.data, out.len, &call_ops, c);
	return c;
}

/* Sends a request of a random kind to a random instance. */
static void send_random(void)
{
	enum call_kind kind =
		(enum call_kind)random_below(&caller_numbers, CALL_KINDS);
	size_t instance = random_below(&caller_numbers, (uint32_t)n_instances);

	send_call(kind, instance, random_below(&caller_numbers, 2),
		  SMALL_BYTES);
}

static void step(void)
{
	size_t i;

	for (i = 0; i < n_instances; i++)
		if (!instances[i].stopping &&
		    !proc_running(instances[i].in.proc))
			fail_msg("%s exited by itself", instances[i].in.name);
	http1_client_tick(client);
	harness_run(harness, STEP_MS);
}

static bool is_over(void *arg)
{
	http1_client_tick(client);
	return ((struct call *)arg)->over;
}

static bool all_over(void *arg)
{
	size_t i;

	(void)arg;
	http1_client_tick(client);
	for (i = 0; i < n_calls; i++)
		if (!calls[i]->over)
			return false;
	return true;
}

/* Returns the bytes that went through the fault proxy to the endpoints. */
static json_int_t bytes_through_proxy(void)
{
	json_t *all = harness_get(harness, fault_control, "/control");
	json_int_t n = 0;
	const char *address;
	json_t *mapping;

	json_object_foreach(all, address, mapping)
		n += json_integer_value(json_object_get(mapping, "bytes_up"));
	json_decref(all);
	return n;
}

/* Waits until some requests in a row to an instance that is parted in the cut go
 * to endpoints directly, while there are no others. */
static void wait_direct(size_t instance)
{
	uint64_t end_ms = now_ms() + HARNESS_WAIT_MS;
	unsigned int n = 0;

	while (n < DIRECT_IN_A_ROW) {
		json_int_t before = bytes_through_proxy();
		struct call *c =
			send_call(CALL_LOOKUP, instance, n % 2, LARGE_BYTES);

		harness_until(harness, is_over, c, "a request is answered");
		n = is_whole(c) && bytes_through_proxy() - before >= LARGE_BYTES
			    ? n + 1
			    : 0;
		if (now_ms() > end_ms)
			fail_msg("requests don't go directly to endpoints");
		step();
	}
}

/* Returns whether an instance can be stopped so that another one is still in touch
 * of those that are parted like it or, like it, are not; the last parted one only
 * at the end of the cut, when enough requests have counted. */
static bool may_stop(size_t instance, bool at_end)
{
	bool parted = instance < n_parted;
	size_t i;

	if (!in_touch(&instances[instance]))
		return false;
	for (i = 0; i < n_instances; i++)
		if (i != instance && (i < n_parted) == parted &&
		    in_touch(&instances[i]))
			return true;
	return parted && at_end;
}

/* Starts the instances that have stopped; returns whether any is stopping. */
static bool start_stopped(void)
{
	bool any = false;
	size_t i;

	for (i = 0; i < n_instances; i++) {
		struct path_instance *p = &instances[i];

		if (!p->stopping)
			continue;
		if (proc_running(p->in.proc)) {
			any = true;
			continue;
		}
		assert_int_equal(proc_wait(p->in.proc), 0);
		standin_start_instance(world, &p->in);
		p->stopping = false;
		p->in_touch_ms = now_ms() + RECOVER_RULE_CONTACT_MS;
	}
	return any;
}

/* Stops instances, sends SIGHUP and changes the configuration. */
static void disturb(bool at_end)
{
	size_t i = random_below(&fault_numbers, (uint32_t)n_instances);

	if (happens(STOP_INTERVAL_MS) && may_stop(i, at_end)) {
		instances[i].stopping = true;
		proc_signal(instances[i].in.proc, SIGTERM);
		stops++;
	}
	if (happens(HANG_UP_INTERVAL_MS) && !instances[i].stopping) {
		proc_signal(instances[i].in.proc, SIGHUP);
		hang_ups++;
	}
	if (happens(CHANGE_INTERVAL_MS))
		standin_put_configuration(world, ++version, NULL);
}

static void set_mode(const char *mode)
{
	harness_control(harness, fault_control, "{\"*\":{\"mode\":\"%s\"}}",
			mode);
}

/* Parts the first instances from all endpoints for some time.  Returns how:
 * silently, by reset, one way, or so that open connections live on while new
 * ones are refused. */
static const char *play_cut(void)
{
	static const char *const modes[] = { "freeze",	"hang",	     "cut",
					     "drop-up", "drop-down", "refuse" };
	const char *mode = modes[random_below(
		&fault_numbers, sizeof(modes) / sizeof(modes[0]))];
	uint64_t end_ms = now_ms() + CUT_MIN_MS +
			  random_below(&fault_numbers, CUT_MAX_MS - CUT_MIN_MS);
	size_t i;

	set_mode(mode);
	for (i = 0; i < n_parted; i++)
		recover_rule_cut(&rule, i, now_ms());
	while (now_ms() < end_ms) {
		disturb(end_ms - now_ms() < END_MS);
		start_stopped();
		send_random();
		step();
	}
	for (i = 0; i < n_parted; i++)
		recover_rule_joined(&rule, i, now_ms());
	set_mode("pass");
	return mode;
}

/* Returns how often workers ran a request. */
static unsigned int count_runs(const struct call *c)
{
	char line[48];
	unsigned int n = 0;
	size_t i;

	snprintf(line, sizeof(line), "\nrequest-id: p-%u-1\n", c->number);
	for (i = 0; i < world->n_arrivals; i++)
		n += world->arrivals[i]->ran &&
		     standin_arrival_has_line(world->arrivals[i], line);
	return n;
}

/* Returns whether an answer promises that the request hasn't run. */
static bool is_refused(const struct call *c)
{
	return c->outcome == HTTP1_COMPLETE &&
	       (c->status == 408 || c->status == 421 || c->status == 429 ||
		c->status == 503);
}

/* Returns how many requests that may run once have run more often than their
 * answers allow, and prints them. */
static unsigned int count_repeated(void)
{
	unsigned int n = 0;
	size_t i;

	for (i = 0; i < n_calls; i++) {
		const struct call *c = calls[i];
		unsigned int runs;

		if (c->kind != CALL_BOOKING)
			continue;
		runs = count_runs(c);
		if (runs <= (is_refused(c) ? 0 : 1))
			continue;
		print_message("p-%u-1, status %d: ran %u times\n", c->number,
			      c->status, runs);
		n++;
	}
	return n;
}

/* Returns whether a stream lasted until its deadline. */
static bool is_late(const struct call *c)
{
	return c->over_ms >= c->first_try.at_ms + kinds[c->kind].deadline_ms;
}

/* Checks the rules from what callers and workers received. */
static void check(uint64_t seed, const char *mode)
{
	struct stream_counts counts = { 0 };
	unsigned int faulty = 0;
	unsigned int cut_off = 0; /* streams that had begun, before deadlines */
	unsigned int late = 0; /* streams that had begun, at their deadlines */
	unsigned int repeated = count_repeated();
	size_t i;

	for (i = 0; i < n_calls; i++) {
		const struct call *c = calls[i];

		if (c->kind != CALL_STREAM)
			continue;
		stream_rule_count(&counts, &c->followed);
		if (!c->followed.received || is_whole(c))
			continue;
		late += is_late(c);
		cut_off += !is_late(c);
	}
	for (i = 0; i < STREAM_FAULTS; i++)
		faulty += counts.faulty[i];
	print_message("seed %llu: path: %s, %zu of %zu instances parted, %u "
		      "stops, %u SIGHUPs, %d configurations\n",
		      (unsigned long long)seed, mode, n_parted, n_instances,
		      stops, hang_ups, version);
	print_message(
		"seed %llu: path: served %llu of %llu first tries, at "
		"the others %llu of %llu; of %u streams %u broken off, %u "
		"late, %u faults; %u bookings ran too often\n",
		(unsigned long long)seed,
		(unsigned long long)rule.parted.served,
		(unsigned long long)rule.parted.tries,
		(unsigned long long)rule.others.served,
		(unsigned long long)rule.others.tries, counts.streams, cut_off,
		late, faulty, repeated);
	if (repeated)
		fail_msg("requests that may run once ran too often");
	if (faulty)
		fail_msg("streams break the rule on their order");
	if (recover_rule_broken(&rule))
		fail_msg("parted instances serve too few first tries");
	if (cut_off + late > LOST_MAX)
		fail_msg("too many streams are not whole beside a cut");
}

/* Starts the endpoints behind a fault proxy, which only instances that read the
 * view use. */
static void start_endpoints(void)
{
	static const char *const zones[] = { "z1", "z2", "z3" };
	const char *args[2 * WORKERS + 3] = { "-c" };
	char *maps[WORKERS];
	size_t i;

	args[1] = fault_control = harness_address(harness);
	for (i = 0; i < WORKERS; i++) {
		struct standin_worker *w = standin_add_worker(
			world, i < PLAIN_WORKERS ? "plain" : "engine",
			zones[i % 3]);

		w->view_address = harness_address(harness);
		standin_put_worker_entry(w, "ready");
		maps[i] = xasprintf("%s=%s", w->view_address, w->address);
		args[2 * i + 2] = "-m";
		args[2 * i + 3] = maps[i];
	}
	proc_wait_listening(harness_startv(harness, "path-faultd", "faultd",
					   args),
			    fault_control);
	for (i = 0; i < WORKERS; i++)
		free(maps[i]);
}

/* Starts the platform and the instances; the first ones read the view. */
static void set_up(void)
{
	size_t i;

	harness = harness_new();
	client = http1_client_new(harness_loop(harness));
	world = standin_new(harness);
	world->event_ms = EVENT_MS;
	world->events_name_runs = true;
	world->grace_s = GRACE_S;
	standin_open_view(world);
	start_endpoints();
	standin_put_configuration(world, ++version, NULL);
	instances = xcalloc(n_instances, sizeof(*instances));
	for (i = 0; i < n_instances; i++) {
		struct path_instance *p = &instances[i];

		world->store_public_address = i < n_parted
						      ? world->view_address
						      : world->store_address;
		standin_init_instance(world, &p->in, xasprintf("p%zu", i),
				      i ? instances[0].in.control : NULL);
		standin_start_instance(world, &p->in);
	}
	for (i = 0; i < n_instances; i++)
		standin_wait_status(world, instances[i].in.readiness, "/readyz",
				    200);
}

static void tear_down(void)
{
	size_t i;

	for (i = 0; i < n_instances; i++) {
		proc_kill(instances[i].in.proc);
		free((char *)instances[i].in.name);
	}
	for (i = 0; i < n_calls; i++) {
		bytes_release(&calls[i]->body);
		event_stream_release(&calls[i]->events);
		free(calls[i]);
	}
	free(instances);
	recover_rule_release(&rule);
	http1_client_free(client);
	standin_free(world);
	harness_free(harness);
}

/* Runs the phase with its own platform and n instances, two at least, and checks
 * the rules. */
void path_phase_run(size_t n, uint64_t seed)
{
	const char *mode;
	uint64_t end_ms;
	size_t i;

	n_instances = n;
	fault_numbers = (struct random_source){ .seed = seed + FAULT_SEED };
	caller_numbers = (struct random_source){ .seed = seed + CALLER_SEED };
	rule.contact_ms = RECOVER_RULE_CONTACT_MS;
	n_parted = 1 + random_below(&fault_numbers, (uint32_t)n - 1);
	set_up();
	for (i = 0; i < n_parted; i++)
		wait_direct(i);
	for (end_ms = now_ms() + WARM_MS; now_ms() < end_ms;) {
		send_random();
		step();
	}
	mode = play_cut();
	while (start_stopped())
		step();
	harness_until(harness, all_over, NULL, "all requests end");
	for (i = 0; i < n_parted; i++)
		wait_direct(i);
	check(seed, mode);
	tear_down();
}
