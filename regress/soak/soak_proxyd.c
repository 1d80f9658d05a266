/*
 * The fault soak of cdmproxyd: instances as separate processes, a store and
 * workers behind a fault proxy, a steady load of callers, and external faults,
 * consecutive and overlapping, drawn from a seed.  During the run and at its
 * end the users' rules are checked by what callers and workers received.
 * usage: soak_proxyd SEED SECONDS [INSTANCES [order|path|configuration]]; with
 * "order" only that phase runs, for all the time; with "path" only the phase in
 * which instances lose their path to the endpoints; with "configuration" only the
 * one in which the configuration changes while calls to the store are lost, for
 * all the time.
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

#include "lib/bytes.h"
#include "lib/event_stream.h"
#include "lib/http1_client.h"
#include "lib/xalloc.h"
#include "regress/platform_standin.h"
#include "regress/random.h"
#include "regress/repeat_rule.h"
#include "regress/soak/config_phase.h"
#include "regress/soak/crash_rule.h"
#include "regress/soak/exemptions.h"
#include "regress/soak/fault_ends.h"
#include "regress/soak/holdoff_rule.h"
#include "regress/soak/late_phase.h"
#include "regress/soak/limit_check.h"
#include "regress/soak/order_phase.h"
#include "regress/soak/path_phase.h"
#include "regress/soak/served_rule.h"
#include "regress/soak/version_phase.h"

#define INSTANCES 3 /* default of the third argument */
#define INSTANCES_MAX 256
#define WORKERS 7
#define PLAIN_WORKERS 2 /* the first ones of all */
#define PROXIED_ENGINES 2 /* in the phase on the order of events */
#define ORDER_MS 3000 /* that phase, unless it is the only one */
#define STEP_MS 20
#define CALLS_MAX 256 /* concurrent calls */
#define FAULT_INTERVAL_MS 350 /* mean time between two faults */
#define SETTLE_MS 3000 /* each phase without faults at the end */
#define FAULT_MAPPINGS (WORKERS + 1)
#define MODE_CUT 0 /* of a link: connections are reset and refused */
#define CRASHING_INTERVAL_MS 300 /* mean, of the crashing request */
#define LIMIT_INTERVAL_MS 700 /* mean, of a worker that names a limit */

/* The users' rule on the deadlines that workers receive: an arrival counts as
 * late if it has no deadline or one that exceeds the caller's by more than
 * DEADLINE_SLACK_MS.  More than DEADLINES_LATE_MAX late arrivals violate the
 * rule if they are also more than a fifth of all. */
#define DEADLINE_SLACK_MS 500
#define DEADLINES_LATE_MAX 20

/* Half of the seeds use a high load, so that the repeat budget is used up: more
 * callers, longer streams, and faults of all engines at once. */
#define HIGH_LOAD_CALLS 4 /* per step */
#define HIGH_LOAD_EVENT_MS 100
#define ENGINE_LOSS_INTERVAL_MS 700 /* mean, of faults of all engines */

/* Half of the seeds with a high load have a smaller repeat budget than the
 * users'. */
#define SMALL_BUDGET \
	"repeat_window_s = 4\nrepeat_ratio = 0.8\nrepeat_slack = 20\n"

/* Limits and silences are drawn apart, so that the faults of a seed stay the
 * same. */
#define LIMIT_SEED 1000003
#define SILENCE_SEED 2000003

/* The phase in which sound workers fall silent, beside changes of the
 * configuration.  The users' rule allows LOST_MAX requests that a sound worker
 * got and whose connection is closed without a complete answer. */
#define SILENCES_MS 3000
#define SILENCE_INTERVAL_MS 250 /* mean */
#define CHANGE_INTERVAL_MS 400 /* mean, of the configuration */
#define DRAIN_MS 5000 /* for the streams of the phase to end */
#define LOST_MAX 3

/* A stream that may not move. */
#define ROUTE_ONCE                                                      \
	"{\"name\":\"once\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":" \
	"\"/once/\",\"routeType\":\"streaming\",\"timeoutMs\":20000,"   \
	"\"targetLatencyMs\":4500,\"targetGapMs\":700,\"backend\":"     \
	"\"engine\",\"maxAttempts\":1,\"resumable\":true}"

enum call_kind {
	CALL_BOOKING,
	CALL_LOOKUP,
	CALL_STREAM,
	CALL_KINDS,
	CALL_CRASHING = CALL_KINDS, /* its answer is not checked */
};

/* The deadline of a request, and the number of workers that may run it. */
static const struct {
	const char *name;
	unsigned deadline_ms;
	unsigned attempts;
} kinds[CALL_KINDS] = {
	[CALL_BOOKING] = { "booking", 900, 1 },
	[CALL_LOOKUP] = { "lookup", 900, 2 },
	[CALL_STREAM] = { "stream", 8000, 5 },
};

/* A request of a caller. */
struct call {
	bool open;
	char id[24];
	unsigned number; /* in its id */
	enum call_kind kind;
	struct http1_call *http;
	int status;
	struct bytes body;
	struct event_stream stream;
	uint64_t last_event;
	uint64_t started_ms;
};

static struct harness *harness;
static struct standin_world *world;
static struct http1_client *client;
static struct random_source random_numbers;
static struct standin_instance instances[INSTANCES_MAX];
static uint32_t n_instances = INSTANCES;
static bool running[INSTANCES_MAX]; /* neither stopped by a signal nor killed */
static const char *fault_control;
static const char *unused_address; /* without a listener */
static const char *proxy_addresses[FAULT_MAPPINGS]; /* of the fault proxy */
static struct fault_ends fault_ends;
static struct call calls[CALLS_MAX];
static unsigned n_calls;
static uint64_t *deadlines_ms; /* of each request, by number */
static struct holdoff_rule holdoffs;
static struct exemption_list link_cuts; /* of links to workers and the store */
static struct crash_rule crashes;
static struct limit_check limits;
static struct random_source limit_numbers;
static struct random_source silence_numbers;
static bool silences; /* the phase of silences has begun */
static unsigned lost; /* requests of that phase that were lost */
static struct served_class served[CALL_KINDS];
static unsigned faults;
static int version = 2;
static bool high_load;
static bool only_order; /* the phase on the order of events runs alone */
static uint64_t seed;
static unsigned seconds;
static struct repeat_rule rule = {
	.window_ms = 10000,
	.ratio = 0.8,
	.slack = 150,
};

/* Returns the time of the event loop. */
static uint64_t now_ms(void)
{
	return uv_now(harness_loop(harness));
}

/* Returns a random number below n. */
static uint32_t draw(uint32_t n)
{
	return random_below(&random_numbers, n);
}

/* Schedules the end of a fault; what is a worker, a link or an instance. */
static void schedule_end(uint32_t ms, void (*end)(size_t what), size_t what)
{
	fault_ends_add(&fault_ends, now_ms() + ms, end, what);
}

static void worker_restarts(size_t i)
{
	standin_replace_worker(&world->workers[i]);
}

static void worker_recovers(size_t i)
{
	world->workers[i].behaviour = STANDIN_NORMAL;
	world->workers[i].extra_headers = NULL;
}

/* Stops a worker that announced that it is leaving.  Another worker takes its
 * address 200 ms later or more: a process that is being started in the same
 * loop iteration holds the old listener until it calls exec(). */
static void worker_exits(size_t i)
{
	standin_kill_worker(&world->workers[i]);
	world->workers[i].extra_headers = NULL;
	schedule_end(200 + draw(300), worker_restarts, i);
}

/* Exempts all instances from the crash rule as a fault of the store begins or
 * ends: the users' rule does not count what instances could not learn then. */
static void exempt_all_instances(void)
{
	size_t i;

	for (i = 0; i < n_instances; i++)
		crash_rule_exempt(&crashes, i, now_ms());
}

static void limit_ends(size_t i)
{
	world->workers[i].limit = NULL;
}

/* Draws the limit that a worker names, and for how long, or another value of one
 * that it names already. */
static void start_limit(void)
{
	static const char *const values[] = { "0",   "0.4",   "1",  "1",  "2.5",
					      "7",   "7",     "14", "30", "30",
					      "5,7", "1e300", "-1" };
	size_t i = random_below(&limit_numbers, WORKERS);
	bool changes = world->workers[i].limit != NULL;
	uint32_t value = random_below(&limit_numbers,
				      sizeof(values) / sizeof(values[0]));

	if (changes && random_below(&limit_numbers, 4))
		return;
	world->workers[i].limit = values[value];
	if (!changes)
		schedule_end(4000 + random_below(&limit_numbers, 8000),
			     limit_ends, i);
}

static void link_recovers(size_t i)
{
	if (i == WORKERS)
		exempt_all_instances();
	holdoff_rule_link_fault(&holdoffs, i, now_ms());
	harness_control(harness, fault_control, "{\"%s\":{\"mode\":\"pass\"}}",
			proxy_addresses[i]);
}

static void store_recovers(size_t i)
{
	(void)i;
	exempt_all_instances();
	world->store_refuses = false;
}

static void instance_resumes(size_t i)
{
	holdoff_rule_exempt(&holdoffs, i, now_ms());
	crash_rule_exempt(&crashes, i, now_ms());
	proc_signal(instances[i].proc, SIGCONT);
	running[i] = true;
}

static void instance_starts(size_t i)
{
	if (proc_running(instances[i].proc))
		return; /* still stopping */
	instances[i].proc = HARNESS_START(harness, instances[i].name,
					  "cdmproxyd", "-f",
					  instances[i].settings);
	holdoff_rule_exempt(&holdoffs, i, now_ms());
	crash_rule_exempt(&crashes, i, now_ms());
	running[i] = true;
}

/* Expects that a process has exited with 0 after SIGTERM, and starts it
 * again. */
static void instance_stopped(size_t i)
{
	assert_int_equal(proc_wait(instances[i].proc), 0);
	instance_starts(i);
}

/* Starts a random fault of a worker: it leaves, asks for a pause, is killed or
 * answers wrongly for some time. */
static void fault_of_worker(void)
{
	static const enum standin_behaviour behaviours[] = {
		STANDIN_FULL,	  STANDIN_FAILS,       STANDIN_FULL_EXECUTED,
		STANDIN_UNSIGNED, STANDIN_DISCONNECTS, STANDIN_SILENT,
	};
	size_t i = draw(WORKERS);

	if (world->workers[i].extra_headers)
		return; /* it is leaving or pausing already */
	if (!draw(4)) {
		world->workers[i].extra_headers = HOLDOFF_LEAVING_HEADER;
		schedule_end(2500 + draw(2000), worker_exits, i);
	} else if (!draw(4)) {
		world->workers[i].extra_headers = HOLDOFF_PAUSE_HEADER;
		world->workers[i].behaviour = STANDIN_FULL;
		schedule_end(100 + draw(300), worker_recovers, i);
	} else if (draw(2)) {
		standin_kill_worker(&world->workers[i]);
		schedule_end(300 + draw(1500), worker_restarts, i);
	} else {
		world->workers[i].behaviour = behaviours[draw(6)];
		schedule_end(200 + draw(800), worker_recovers, i);
	}
}

/* Resets all connections of a link. */
static void reset_link(size_t i)
{
	holdoff_rule_link_fault(&holdoffs, i, now_ms());
	harness_control(harness, fault_control, "{\"%s\":{\"reset\":true}}",
			proxy_addresses[i]);
}

/* Starts a random fault of a link to a worker or to the store. */
static void fault_of_link(void)
{
	static const char *const modes[] = {
		[MODE_CUT] = "cut",
		"freeze",
		"drop-up",
		"drop-down",
	};
	size_t i = draw(FAULT_MAPPINGS);
	size_t mode;

	if (i == WORKERS)
		exempt_all_instances();
	if (draw(3)) {
		mode = draw(4);
		holdoff_rule_link_fault(&holdoffs, i, now_ms());
		if (mode == MODE_CUT)
			exemption_list_add(&link_cuts, i, now_ms());
		harness_control(harness, fault_control,
				"{\"%s\":{\"mode\":\"%s\"}}",
				proxy_addresses[i], modes[mode]);
		schedule_end(200 + draw(1200), link_recovers, i);
	} else {
		reset_link(i);
	}
}

/* Suspends a random instance for some time, kills it, or stops it with
 * SIGTERM. */
static void fault_of_instance(void)
{
	size_t i = draw(n_instances);

	if (!running[i] || !proc_running(instances[i].proc))
		return;
	running[i] = false;
	switch (draw(3)) {
	case 0:
		proc_signal(instances[i].proc, SIGSTOP);
		schedule_end(100 + draw(900), instance_resumes, i);
		break;
	case 1:
		proc_kill(instances[i].proc);
		schedule_end(50 + draw(500), instance_starts, i);
		break;
	default:
		proc_signal(instances[i].proc, SIGTERM);
		schedule_end(2200, instance_stopped, i);
		break;
	}
}

/* Resets the connections of all engines at once, or kills all engines. */
static void fault_of_all_engines(void)
{
	uint32_t ms = 50 + draw(250);
	bool ends = !draw(3);
	size_t i;

	for (i = PLAIN_WORKERS; i < WORKERS; i++) {
		if (!ends) {
			reset_link(i);
			continue;
		}
		standin_kill_worker(&world->workers[i]);
		schedule_end(ms, worker_restarts, i);
	}
}

/* Writes an instance's entry with the address that other instances send its
 * datagrams to. */
static void put_peer_address(size_t i, const char *address)
{
	standin_put_instance_entry(world, instances[i].name,
				   instances[i].callers, instances[i].control,
				   address);
}

static void datagrams_recover(size_t i)
{
	put_peer_address(i, instances[i].peers);
	crash_rule_exempt(&crashes, i, now_ms());
}

/* Sends the datagrams for an instance to an address without a listener for some
 * time. */
static void fault_of_datagrams(void)
{
	size_t i = draw(n_instances);

	put_peer_address(i, unused_address);
	schedule_end(1000 + draw(3000), datagrams_recover, i);
}

/* Makes a random worker silent for some time: what it holds is delivered
 * afterwards, and connections to it hang meanwhile or are accepted. */
static void silence_of_worker(void)
{
	size_t i = random_below(&silence_numbers, WORKERS);

	holdoff_rule_link_fault(&holdoffs, i, now_ms());
	harness_control(harness, fault_control, "{\"%s\":{\"mode\":\"%s\"}}",
			proxy_addresses[i],
			random_below(&silence_numbers, 2) ? "hang" : "freeze");
	schedule_end(200 + random_below(&silence_numbers, 800), link_recovers,
		     i);
}

/* Starts a random fault. */
static void fault(void)
{
	faults++;
	if (high_load && !draw(3)) {
		fault_of_datagrams();
		return;
	}
	switch (draw(5)) {
	case 0:
	case 1:
		fault_of_worker();
		break;
	case 2:
		fault_of_link();
		break;
	case 3:
		fault_of_instance();
		break;
	default:
		if (draw(2)) {
			exempt_all_instances();
			world->store_refuses = true;
			schedule_end(200 + draw(2500), store_recovers, 0);
		} else {
			standin_put_configuration(world, ++version, NULL);
		}
		break;
	}
}

/* Returns whether the worker at which a request arrived has neither ended nor been
 * cut off since. */
static bool runs_on(const struct standin_arrival *a)
{
	return a->worker->server && !strcmp(a->worker->id, a->worker_id) &&
	       a->worker->born_ms == a->worker_born_ms &&
	       !exemption_list_any_between(&link_cuts,
					   (size_t)(a->worker - world->workers),
					   a->at_ms, now_ms());
}

/* Returns how often workers ran a request; of those that have ended or been cut
 * off since, only if all is set. */
static unsigned runs_of(const char *id, bool all)
{
	char line[64];
	unsigned n = 0;
	size_t i;

	snprintf(line, sizeof(line), "\nrequest-id: %s\n", id);
	for (i = 0; i < world->n_arrivals; i++)
		n += world->arrivals[i]->ran &&
		     (all || runs_on(world->arrivals[i])) &&
		     standin_arrival_has_line(world->arrivals[i], line);
	return n;
}

static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head)
{
	struct call *c = arg;

	c->status = head->status;
	if (c->kind != CALL_CRASHING &&
	    http1_find_header(head, "server-leaving"))
		holdoff_rule_answer_relayed(&holdoffs, world, c->number,
					    now_ms());
	if (c->kind != CALL_CRASHING && http1_find_header(head, "server-limit"))
		limit_check_answer_relayed(&limits, world, c->number, now_ms());
	return HTTP1_ACCEPT;
}

/* Checks that each event of a stream arrives once and in order. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct call *c = arg;
	struct whole_event e;

	if (c->kind != CALL_STREAM || c->status != 200) {
		bytes_add(&c->body, data, len);
		return;
	}
	event_stream_add(&c->stream, data, len);
	while (event_stream_next(&c->stream, 0, &e)) {
		if (!e.has_id || e.id != c->last_event + 1)
			fail_msg("stream %s: event %llu after %llu", c->id,
				 (unsigned long long)e.id,
				 (unsigned long long)c->last_event);
		c->last_event = e.id;
		event_stream_consume(&c->stream, e.len);
	}
}

/* Checks that an answer agrees with what ran at workers and that its body is
 * complete. */
static void check_answer(const struct call *c, enum http1_outcome outcome)
{
	unsigned runs = runs_of(c->id, true);

	served_rule_record(&served[c->kind], outcome, c->status, c->body.data,
			   c->body.len);
	/* attempts at workers that have ended or were cut off meanwhile don't
	 * count, but none of a request that may run once is made again */
	if (runs_of(c->id, kinds[c->kind].attempts == 1) >
	    kinds[c->kind].attempts)
		fail_msg("request %s ran %u times", c->id, runs);
	if (outcome != HTTP1_COMPLETE)
		return;
	if (c->kind == CALL_BOOKING && c->status == 503 && runs)
		fail_msg("booking %s was refused after it had run", c->id);
	if (c->status == 404 || c->status == 401 || c->status == 400)
		fail_msg("request %s was answered %d", c->id, c->status);
	if (c->status != 200)
		return;
	if (c->kind == CALL_STREAM && c->last_event != STANDIN_EVENTS)
		fail_msg("stream %s ended after event %llu", c->id,
			 (unsigned long long)c->last_event);
	if (c->kind != CALL_STREAM &&
	    (c->body.len != 12 ||
	     memcmp(c->body.data, "plain answer", 12) != 0))
		fail_msg("request %s: body differs from the worker's answer",
			 c->id);
}

static void on_end(void *arg, enum http1_outcome outcome)
{
	struct call *c = arg;

	if (c->kind != CALL_CRASHING)
		check_answer(c, outcome);
	if (silences && c->kind != CALL_CRASHING && outcome != HTTP1_COMPLETE &&
	    runs_of(c->id, true)) {
		print_message("lost: %s, %s after event %llu\n", c->id,
			      http1_outcome_name(outcome),
			      (unsigned long long)c->last_event);
		lost++;
	}
	bytes_release(&c->body);
	event_stream_release(&c->stream);
	c->open = false;
}

static const struct http1_call_ops call_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

/* Returns a call that is not open, or NULL. */
static struct call *free_call(void)
{
	size_t i;

	for (i = 0; i < CALLS_MAX; i++) {
		if (calls[i].open)
			continue;
		memset(&calls[i], 0, sizeof(calls[i]));
		return &calls[i];
	}
	return NULL;
}

/* Sends the request that crashes its workers once more. */
static void start_crashing_call(void)
{
	static const char *const paths[] = { "/book/c", "/look/c", "/write/c" };
	size_t instance = draw(n_instances);
	const struct http1_call_options options = {
		.address = instances[instance].callers,
		.connect_timeout_ms = 500,
	};
	struct call *c = free_call();
	struct bytes out = { 0 };

	if (!c)
		return;
	c->open = true;
	c->kind = CALL_CRASHING;
	c->started_ms = now_ms();
	bytes_addf(&out,
		   "POST %s HTTP/1.1\r\nhost: 127.0.0.1\r\ncredential: k1\r\n"
		   "request-id: c-%u\r\ndeadline-ms: 2000\r\n"
		   "content-length: %zu\r\n\r\n" CRASH_RULE_BODY,
		   paths[seed % 3], crash_rule_sent(&crashes, instance),
		   strlen(CRASH_RULE_BODY));
	repeat_rule_sent(&rule, seed % 3 == 2 ? "engine" : "plain",
			 c->started_ms);
	c->http = http1_call_start(client, &options, out.data, out.len,
				   &call_ops, c);
}

/* Sends a request of a random kind to a random instance, in whatever state that
 * instance is. */
static void start_call(void)
{
	static const char *const lines[CALL_KINDS] = {
		"POST /book/a HTTP/1.1\r\ncontent-length: 1\r\n",
		"GET /look/a HTTP/1.1\r\n",
		"POST /write/a HTTP/1.1\r\ncontent-length: 1\r\n"
		"token-usage: 300,100\r\nprompt-prefix: a:300\r\n",
	};
	static const char line_once[] =
		"POST /once/a HTTP/1.1\r\ncontent-length: 1\r\n"
		"token-usage: 300,100\r\nprompt-prefix: a:300\r\n";
	size_t instance = draw(n_instances);
	const struct http1_call_options options = {
		.address = instances[instance].callers,
		.connect_timeout_ms = 500,
		.max_idle_ms = draw(2) ? 5000 : 0,
	};
	const char *line;
	struct bytes out = { 0 };
	struct call *c = free_call();

	if (!c)
		return;
	c->open = true;
	c->kind = (enum call_kind)draw(CALL_KINDS);
	line = silences && c->kind == CALL_STREAM &&
			       random_below(&silence_numbers, 2)
		       ? line_once
		       : lines[c->kind];
	c->started_ms = now_ms();
	deadlines_ms =
		xreallocarray(deadlines_ms, n_calls + 2, sizeof(*deadlines_ms));
	snprintf(c->id, sizeof(c->id), "r-%u", ++n_calls);
	c->number = n_calls;
	holdoff_rule_sent(&holdoffs, n_calls, instance, c->started_ms);
	deadlines_ms[n_calls] = c->started_ms + kinds[c->kind].deadline_ms;
	bytes_addf(&out,
		   "%shost: 127.0.0.1\r\ncredential: k1\r\nrequest-id: %s\r\n"
		   "deadline-ms: %u\r\n\r\n%s",
		   line, c->id, kinds[c->kind].deadline_ms,
		   c->kind == CALL_LOOKUP ? "" : "x");
	repeat_rule_sent(&rule, c->kind == CALL_STREAM ? "engine" : "plain",
			 c->started_ms);
	c->http = http1_call_start(client, &options, out.data, out.len,
				   &call_ops, c);
}

/* Returns whether a call waits for its answer. */
static bool any_call_open(void)
{
	size_t i;

	for (i = 0; i < CALLS_MAX; i++)
		if (calls[i].open)
			return true;
	return false;
}

/* Cancels calls that have lasted longer than callers wait. */
static void cancel_old_calls(void)
{
	size_t i;

	for (i = 0; i < CALLS_MAX; i++) {
		struct call *c = &calls[i];

		if (!c->open || now_ms() - c->started_ms < 9000)
			continue;
		http1_call_cancel(c->http);
		on_end(c, HTTP1_BROKEN);
	}
}

/* Fails if an instance has exited without a signal of the soak. */
static void check_running(void)
{
	size_t i;

	for (i = 0; i < n_instances; i++)
		if (running[i] && !proc_running(instances[i].proc))
			fail_msg("%s exited by itself", instances[i].name);
}

/* Runs one step: new calls, new faults, checks and the event loop. */
static void step(bool with_faults)
{
	int i;

	for (i = 0; i < (high_load ? HIGH_LOAD_CALLS : 1); i++)
		start_call();
	if (!silences && draw(CRASHING_INTERVAL_MS) < STEP_MS)
		start_crashing_call();
	if (with_faults && draw(FAULT_INTERVAL_MS) < STEP_MS)
		fault();
	if (with_faults && high_load && draw(ENGINE_LOSS_INTERVAL_MS) < STEP_MS)
		fault_of_all_engines();
	if (with_faults &&
	    random_below(&limit_numbers, LIMIT_INTERVAL_MS) < STEP_MS)
		start_limit();
	check_running();
	fault_ends_due(&fault_ends, now_ms());
	cancel_old_calls();
	http1_client_tick(client);
	harness_run(harness, STEP_MS);
}

/* Lets sound workers fall silent for up to a second each while the
 * configuration changes, and checks that no request is lost by that. */
static void phase_of_silences(void)
{
	uint64_t end = now_ms() + SILENCES_MS;

	silences = true;
	standin_put_configuration(world, ++version, ROUTE_ONCE);
	harness_run(harness, 500); /* until all instances follow it */
	while (now_ms() < end) {
		if (random_below(&silence_numbers, SILENCE_INTERVAL_MS) <
		    STEP_MS)
			silence_of_worker();
		if (random_below(&silence_numbers, CHANGE_INTERVAL_MS) <
		    STEP_MS)
			standin_put_configuration(world, ++version, ROUTE_ONCE);
		step(false);
	}
	fault_ends_due(&fault_ends, UINT64_MAX);
	for (end = now_ms() + DRAIN_MS; now_ms() < end && any_call_open();) {
		cancel_old_calls();
		http1_client_tick(client);
		harness_run(harness, STEP_MS);
	}
	silences = false;
	print_message("seed %llu: %u requests lost beside silences of sound "
		      "workers\n",
		      (unsigned long long)seed, lost);
	if (lost > LOST_MAX)
		fail_msg("too many requests are lost");
}

/* Checks by the log that the version of the configuration only grows within one
 * process. */
static void check_log(const struct standin_instance *in)
{
	char *log = proc_output(in->proc);
	const char *p = log;
	long last = 0;

	while ((p = strstr(p, "\"event\":\""))) {
		long v;

		p += strlen("\"event\":\"");
		if (!strncmp(p, "start\"", 6))
			last = 0; /* new process */
		if (strncmp(p, "configuration\"", 14) != 0)
			continue;
		v = strtol(strstr(p, "\"version\":") + 10, NULL, 10);
		if (v <= last)
			fail_msg("%s: version %ld after %ld", in->name, v,
				 last);
		last = v;
	}
	free(log);
}

/* Checks that workers receive no more repeats than all instances together may
 * send. */
static void check_repeats(const char *service)
{
	const struct repeat_use e = repeat_rule_worst(&rule, world, service);

	print_message("seed %llu: %s%s: at most %zu repeats in %llu ms, "
		      "%.1f are allowed\n",
		      (unsigned long long)seed, high_load ? "high load, " : "",
		      service, e.repeats, (unsigned long long)rule.window_ms,
		      e.allowed);
	if (e.used > 1)
		fail_msg("too many repeats");
}

/* Checks that few requests arrive with a later deadline than their callers
 * set. */
static void check_deadlines(void)
{
	static const char id_key[] = "\nrequest-id: r-";
	static const char key[] = "\ndeadline-ms: ";
	size_t late = 0;
	size_t all = 0;
	size_t i;

	for (i = 0; i < world->n_arrivals; i++) {
		const struct standin_arrival *a = world->arrivals[i];
		const char *id = strstr(a->head, id_key);
		const char *left = strstr(a->head, key);

		if (!id)
			continue;
		all++;
		late += !left ||
			a->at_ms + strtoul(left + sizeof(key) - 1, NULL, 10) >
				deadlines_ms[strtoul(id + sizeof(id_key) - 1,
						     NULL, 10)] +
					DEADLINE_SLACK_MS;
	}
	print_message(
		"seed %llu: %zu of %zu arrivals with a deadline that is too "
		"late\n",
		(unsigned long long)seed, late, all);
	if (late > DEADLINES_LATE_MAX && late > all / 5)
		fail_msg("too many deadlines are too late");
}

static void set_up(void)
{
	const char *args[2 * FAULT_MAPPINGS + 3];
	const char *targets[FAULT_MAPPINGS];
	size_t n = 0;
	size_t i;

	harness = harness_new();
	world = standin_new(harness);
	world->crash.body = CRASH_RULE_BODY;
	world->crash.down_ms = 500;
	client = http1_client_new(harness_loop(harness));
	unused_address = harness_address(harness);
	high_load = draw(2);
	if (high_load)
		world->event_ms = HIGH_LOAD_EVENT_MS;
	if (high_load && draw(2)) {
		world->extra_settings = SMALL_BUDGET;
		rule.window_ms = 4000;
		rule.slack = 20;
	}
	standin_put_configuration(world, version, NULL);
	for (i = 0; i < WORKERS; i++) {
		static const char *const zones[] = { "z1", "z2", "z3" };
		struct standin_worker *w = standin_add_worker(
			world, i < PLAIN_WORKERS ? "plain" : "engine",
			zones[i % 3]);

		targets[i] = w->address;
		proxy_addresses[i] = harness_address(harness);
		w->public_address = proxy_addresses[i];
		standin_put_worker_entry(w, "ready");
	}
	targets[WORKERS] = world->store_address;
	proxy_addresses[WORKERS] = harness_address(harness);
	world->store_public_address = proxy_addresses[WORKERS];
	fault_control = harness_address(harness);
	args[n++] = "-c";
	args[n++] = fault_control;
	for (i = 0; i < FAULT_MAPPINGS; i++) {
		args[n++] = "-m";
		args[n++] = xasprintf("%s=%s", proxy_addresses[i], targets[i]);
	}
	args[n] = NULL;
	proc_wait_listening(harness_startv(harness, "faultd", "faultd", args),
			    fault_control);
	for (i = 3; i < n; i += 2)
		free((char *)args[i]);
	for (i = 0; i < n_instances; i++) {
		standin_init_instance(world, &instances[i],
				      xasprintf("n%zu", i),
				      i ? instances[0].control : NULL);
		standin_start_instance(world, &instances[i]);
		standin_wait_status(world, instances[i].readiness, "/readyz",
				    200);
		running[i] = true;
	}
}

/* Runs all phases but the one on the order of events, with their checks. */
static void run_phases(void)
{
	uint64_t end;
	size_t i;

	for (end = now_ms() + seconds * 1000; now_ms() < end;)
		step(true);
	fault_ends_due(&fault_ends, UINT64_MAX);
	for (i = 0; i < WORKERS; i++)
		world->workers[i].behaviour = STANDIN_NORMAL;
	for (i = 0; i < n_instances; i++)
		if (!proc_running(instances[i].proc))
			instance_starts(i);
	for (end = now_ms() + SETTLE_MS; now_ms() < end;)
		step(false);
	/* after the faults requests of all kinds are served again */
	memset(served, 0, sizeof(served));
	for (end = now_ms() + SETTLE_MS; now_ms() < end;)
		step(false);
	for (i = 0; i < CALL_KINDS; i++)
		served_rule_check(&served[i], kinds[i].name, seed);
	phase_of_silences();
	for (i = 0; i < CALLS_MAX; i++)
		if (calls[i].open) {
			http1_call_cancel(calls[i].http);
			on_end(&calls[i], HTTP1_BROKEN);
		}
	print_message("seed %llu: %u requests, %u faults\n",
		      (unsigned long long)seed, n_calls, faults);
	check_repeats("plain");
	check_repeats("engine");
	check_deadlines();
	limit_check_all(&limits, seed, world);
	limit_check_release(&limits);
	for (i = 0; i < n_instances; i++) {
		char *log = proc_output(instances[i].proc);

		holdoff_rule_read_log(&holdoffs, i, log);
		free(log);
	}
	holdoff_rule_check(&holdoffs, seed, world);
	holdoff_rule_release(&holdoffs);
	exemption_list_release(&link_cuts);
	crash_rule_check(&crashes, seed, world);
	crash_rule_release(&crashes);
	free(deadlines_ms);
	repeat_rule_release(&rule);
	version_phase_run(&(struct version_phase){
		.harness = harness,
		.world = world,
		.client = client,
		.instances = instances,
		.n_instances = n_instances,
		.first_engine = PLAIN_WORKERS,
		.seed = seed,
	});
	late_phase_run(&(struct late_phase){
		.harness = harness,
		.world = world,
		.client = client,
		.instances = instances,
		.n_instances = n_instances,
		.n_plain = PLAIN_WORKERS,
		.seed = seed,
	});
}

/* Runs the phase on the order of events. */
static void run_order_phase(void)
{
	version++;
	order_phase_run(&(struct order_phase){
		.harness = harness,
		.world = world,
		.client = client,
		.instances = instances,
		.n_instances = n_instances,
		.first_engine = PLAIN_WORKERS,
		.first_direct = PLAIN_WORKERS + PROXIED_ENGINES,
		.fault_control = fault_control,
		.proxy_addresses = proxy_addresses,
		.version = version,
		.ms = only_order ? seconds * 1000 : ORDER_MS,
		.seed = seed,
	});
}

static void soak(void **state)
{
	size_t i;

	(void)state;
	random_numbers = (struct random_source){ .seed = seed };
	limit_numbers = (struct random_source){ .seed = seed + LIMIT_SEED };
	silence_numbers = (struct random_source){ .seed = seed + SILENCE_SEED };
	limit_check_init(&limits, &holdoffs);
	set_up();
	if (!only_order)
		run_phases();
	run_order_phase();
	for (i = 0; i < n_instances; i++) {
		check_log(&instances[i]);
		proc_kill(instances[i].proc);
		free((char *)instances[i].name);
	}
	http1_client_free(client);
	standin_free(world);
	harness_free(harness);
}

/* Runs the phase in which instances lose their path, with a platform of its
 * own. */
static void soak_path(void **state)
{
	(void)state;
	path_phase_run(n_instances, seed);
}

/* Runs the phase in which the configuration changes, with a platform of its
 * own. */
static void soak_configuration(void **state)
{
	(void)state;
	config_phase_run(n_instances, seed, seconds * 1000);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(soak),
	};
	const struct CMUnitTest path_tests[] = {
		cmocka_unit_test(soak_path),
	};
	const struct CMUnitTest configuration_tests[] = {
		cmocka_unit_test(soak_configuration),
	};

	seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	seconds = argc > 2 ? (unsigned)strtoul(argv[2], NULL, 10) : 10;
	if (argc > 3)
		n_instances = (uint32_t)strtoul(argv[3], NULL, 10);
	only_order = argc > 4 && !strcmp(argv[4], "order");
	if (!n_instances || n_instances > INSTANCES_MAX)
		return 2;
	if (argc > 4 && !strcmp(argv[4], "path"))
		return n_instances < 2
			       ? 2
			       : cmocka_run_group_tests(path_tests, NULL, NULL);
	if (argc > 4 && !strcmp(argv[4], "configuration"))
		return cmocka_run_group_tests(configuration_tests, NULL, NULL);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
