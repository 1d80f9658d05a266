/*
 * The faults of the soak's phase on the order of events, which overlap: engines
 * that are killed between two events and start again with another version,
 * instances that are frozen, killed or stopped, links that fail, and a store that
 * refuses calls.
 */
#include "regress/soak/order_faults.h"

#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "regress/soak/holdoff_rule.h"

/* Mean intervals. */
#define ENGINE_INTERVAL_MS 300
#define INSTANCE_INTERVAL_MS 500
#define LINK_INTERVAL_MS 700
#define STORE_INTERVAL_MS 2500

#define DOWN_MAX_MS 1500 /* of an engine */
#define LISTED_LATE_MAX_MS 2500 /* from its start */
#define LIMIT "200" /* requests per second; more than there are */
#define STOPPING_MAX_MS 4000 /* after SIGTERM; the grace time is shorter */

enum instance_state { RUNS, FROZEN, KILLED, STOPPING };

struct instance_plan {
	enum instance_state state;
	uint64_t until_ms;
};

/* Times of the loop at which something happens, 0: never. */
struct engine_plan {
	uint64_t start_ms;
	uint64_t list_ms;
};

static const struct order_phase *phase;
static struct random_source *numbers;
static struct engine_plan engines[STANDIN_WORKERS_MAX];
static struct instance_plan *instances;
static uint64_t link_until_ms[STANDIN_WORKERS_MAX + 1];
static uint64_t store_until_ms;
static bool restrained; /* some engines of this seed want fewer requests */

static uint64_t now_ms(void)
{
	return uv_now(harness_loop(phase->harness));
}

static uint32_t draw(uint32_t n)
{
	return random_below(numbers, n);
}

/* Prints what happens, with the time of the instances' logs. */
void order_faults_note(const char *fmt, ...)
{
	struct timespec now;
	char text[160];
	va_list args;

	clock_gettime(CLOCK_REALTIME, &now);
	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	print_message("%lld.%03ld order: %s\n", (long long)now.tv_sec,
		      now.tv_nsec / 1000000, text);
}

/* Has an engine that is reached without a proxy name a limit or announce that it
 * leaves, until its end; a proxy would accept connections for one that ended. */
static void restrain_engine(size_t i)
{
	struct standin_worker *e = &phase->world->workers[i];
	uint32_t kind = draw(4);

	e->limit = NULL;
	e->extra_headers = NULL;
	if (!restrained || i < phase->first_direct)
		return;
	if (kind == 0)
		e->limit = LIMIT;
	else if (kind == 1)
		e->extra_headers = HOLDOFF_LEAVING_HEADER;
}

/* Starts an engine that is down: under a new id, or under its id with another
 * start, and then with an entry at once or later. */
static void start_engine(size_t i)
{
	struct standin_worker *e = &phase->world->workers[i];
	uint32_t late_ms = draw(2) ? draw(LISTED_LATE_MAX_MS) + 1 : 0;

	e->born_ms += 1000;
	if (draw(2))
		e->version = strcmp(e->version, "v1") ? "v1" : "v2";
	e->streams_unframed = draw(3) > 0;
	restrain_engine(i);
	engines[i] = (struct engine_plan){ 0 };
	if (!draw(4)) {
		late_ms = 0;
		standin_replace_worker(e);
	} else {
		standin_start_unlisted(e, e->id);
		if (!late_ms)
			standin_put_worker_entry(e, "ready");
		else
			engines[i].list_ms = now_ms() + late_ms;
	}
	order_faults_note("engine %s starts at %s, born %u, %s, %s%s, listed "
			  "after %u ms",
			  e->id, e->address, e->born_ms, e->version,
			  e->streams_unframed ? "unframed" : "chunks",
			  e->limit	     ? ", limit"
			  : e->extra_headers ? ", leaves"
					     : "",
			  late_ms);
}

/* Ends an engine: it is killed, or it resets its streams without a length. */
static void end_engine(size_t i)
{
	struct standin_worker *e = &phase->world->workers[i];
	bool killed = draw(4) > 0;

	if (!e->server)
		return;
	order_faults_note("engine %s %s", e->id, killed ? "killed" : "resets");
	if (killed)
		standin_kill_in_order(e);
	else
		standin_kill_worker(e);
	engines[i] = (struct engine_plan){ 0 };
	if (draw(3))
		engines[i].start_ms = now_ms() + 20 + draw(DOWN_MAX_MS);
	else
		start_engine(i);
}

/* Starts and lists the engines that are due, or all of them. */
static void advance_engines(bool all)
{
	size_t i;

	for (i = phase->first_engine; i < phase->world->n_workers; i++) {
		struct engine_plan *p = &engines[i];

		if (p->start_ms && (all || now_ms() >= p->start_ms))
			start_engine(i);
		if (!p->list_ms || (!all && now_ms() < p->list_ms))
			continue;
		p->list_ms = 0;
		standin_put_worker_entry(&phase->world->workers[i], "ready");
	}
}

static void start_instance(size_t i)
{
	struct standin_instance *in = &phase->instances[i];

	in->proc = HARNESS_START(phase->harness, in->name, "cdmproxyd", "-f",
				 in->settings);
	instances[i] = (struct instance_plan){ RUNS, 0 };
	order_faults_note("instance %s starts", in->name);
}

/* Freezes, kills or stops a random instance that runs. */
static void end_instance(void)
{
	size_t i = draw((uint32_t)phase->n_instances);
	struct instance_plan *p = &instances[i];
	struct proc *proc = phase->instances[i].proc;

	if (p->state != RUNS)
		return;
	switch (draw(3)) {
	case 0:
		*p = (struct instance_plan){ FROZEN,
					     now_ms() + 100 + draw(1200) };
		proc_signal(proc, SIGSTOP);
		break;
	case 1:
		*p = (struct instance_plan){ KILLED,
					     now_ms() + 50 + draw(600) };
		proc_kill(proc);
		break;
	default:
		*p = (struct instance_plan){ STOPPING,
					     now_ms() + STOPPING_MAX_MS };
		proc_signal(proc, SIGTERM);
		break;
	}
	order_faults_note("instance %s is %s", phase->instances[i].name,
			  p->state == FROZEN   ? "frozen"
			  : p->state == KILLED ? "killed"
					       : "stopped");
}

/* Continues or starts an instance whose time has come, or whichever it is.  One
 * that was stopped must exit with 0. */
static void advance_instance(size_t i, bool all)
{
	struct instance_plan *p = &instances[i];
	struct proc *proc = phase->instances[i].proc;
	bool due = all || now_ms() >= p->until_ms;

	switch (p->state) {
	case RUNS:
		if (!proc_running(proc))
			fail_msg("%s exited by itself",
				 phase->instances[i].name);
		break;
	case FROZEN:
		if (!due)
			break;
		proc_signal(proc, SIGCONT);
		p->state = RUNS;
		order_faults_note("instance %s goes on",
				  phase->instances[i].name);
		break;
	case KILLED:
		if (due)
			start_instance(i);
		break;
	case STOPPING:
		if (!due && proc_running(proc))
			break;
		assert_int_equal(proc_wait(proc), 0);
		start_instance(i);
		break;
	}
}

static void set_link(size_t i, const char *mode)
{
	order_faults_note("link %zu: %s", i, mode);
	harness_control(phase->harness, phase->fault_control,
			"{\"%s\":{\"mode\":\"%s\"}}", phase->proxy_addresses[i],
			mode);
}

/* Disturbs the link to a random engine behind the proxy, or to the store. */
static void disturb_link(void)
{
	static const char *const modes[] = { "cut", "freeze", "hang", "drop-up",
					     "drop-down" };
	size_t n = phase->first_direct - phase->first_engine;
	size_t i = phase->first_engine + draw((uint32_t)n + 1);

	if (i == phase->first_direct)
		i = phase->world->n_workers; /* the store */
	if (link_until_ms[i])
		return;
	link_until_ms[i] = now_ms() + 200 + draw(1300);
	set_link(i, modes[draw(5)]);
}

/* Ends the faults of links and of the store that are due, or all of them. */
static void advance_links(bool all)
{
	size_t i;

	for (i = 0; i <= phase->world->n_workers; i++) {
		if (!link_until_ms[i] || (!all && now_ms() < link_until_ms[i]))
			continue;
		link_until_ms[i] = 0;
		set_link(i, "pass");
	}
	if (store_until_ms && (all || now_ms() >= store_until_ms)) {
		store_until_ms = 0;
		phase->world->store_refuses = false;
		order_faults_note("store recovers");
	}
}

/* Prepares the engines: each starts anew, those from first_direct on at their own
 * addresses. */
void order_faults_begin(const struct order_phase *p,
			struct random_source *random_numbers)
{
	size_t i;

	phase = p;
	numbers = random_numbers;
	instances = xcalloc(p->n_instances, sizeof(*instances));
	restrained = p->seed % 2;
	for (i = p->first_engine; i < p->world->n_workers; i++) {
		struct standin_worker *e = &p->world->workers[i];

		standin_kill_worker(e);
		if (i >= p->first_direct)
			e->public_address = e->address;
		e->version = i % 2 ? "v1" : "v2";
		start_engine(i);
	}
}

/* Returns whether something with a mean interval happens in a step. */
static bool happens(uint32_t interval_ms, uint32_t step_ms)
{
	return draw(interval_ms) < step_ms;
}

/* Ends the faults that are due and begins new ones.  Engines start before
 * instances: a process that is being started holds the listeners of the test until
 * it calls exec(). */
void order_faults_step(unsigned int step_ms)
{
	size_t i;

	advance_engines(false);
	advance_links(false);
	if (happens(ENGINE_INTERVAL_MS, step_ms))
		end_engine(phase->first_engine +
			   draw((uint32_t)(phase->world->n_workers -
					   phase->first_engine)));
	if (happens(LINK_INTERVAL_MS, step_ms))
		disturb_link();
	if (!store_until_ms && happens(STORE_INTERVAL_MS, step_ms)) {
		store_until_ms = now_ms() + 200 + draw(1800);
		phase->world->store_refuses = true;
		order_faults_note("store refuses");
	}
	if (happens(INSTANCE_INTERVAL_MS, step_ms))
		end_instance();
	for (i = 0; i < phase->n_instances; i++)
		advance_instance(i, false);
}

/* Ends all faults. */
void order_faults_heal(void)
{
	size_t i;

	advance_engines(true);
	advance_links(true);
	for (i = 0; i < phase->n_instances; i++)
		advance_instance(i, true);
	for (i = 0; i < phase->n_instances; i++)
		standin_wait_status(phase->world, phase->instances[i].readiness,
				    "/readyz", 200);
	for (i = phase->first_engine; i < phase->world->n_workers; i++) {
		phase->world->workers[i].limit = NULL;
		phase->world->workers[i].extra_headers = NULL;
	}
	free(instances);
	instances = NULL;
}
