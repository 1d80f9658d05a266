/*
 * The phase of the soak in which the configuration changes all the time, while
 * calls to the store fall silent for good, alone and together with a second fault:
 * a link to the store, an instance, its datagrams, the store itself.  Checks the
 * users' rule CONFIG by how requests were handled: by which service, or refused
 * for lack of a route or key.  With CDM_BIN_BEFORE in the environment, instances
 * begin as that build and are replaced in turn.
 */
#include "regress/soak/config_phase.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/bytes.h"
#include "lib/http1_client.h"
#include "lib/xalloc.h"
#include "regress/config_rule.h"
#include "regress/platform_standin.h"
#include "regress/random.h"
#include "regress/soak/fault_ends.h"

/* Faults, changes and callers are drawn apart. */
#define FAULT_SEED 11000003
#define CALLER_SEED 12000003
#define CHANGE_SEED 13000003

#define STEP_MS 20
#define CALLS_PER_STEP 2
#define CALLS_MAX 512 /* at once */
#define DEADLINE_MS 900
#define CONNECT_MS 500
#define KEPT_IDLE_MS 5000
#define CONTACT_MS 3000 /* the users' contactMs */
#define REPLACE_MS 700 /* between two starts of another build */

/* Changes come in series, between which nothing changes for some time. */
#define CHANGE_MIN_MS 50
#define CHANGE_MAX_MS 700
#define QUIET_MIN_MS 1000
#define QUIET_MAX_MS 4500
#define SERIES_MAX 5
#define UNREADABLE_IN 6 /* one of so many writes may be unreadable */

#define FAULT_MIN_MS 2500 /* between two faults */
#define FAULT_MAX_MS 6500
#define SECOND_MAX_MS 1500 /* from a fault to the second one */

/* A version has one of the first routes that come and go, one of the keys, and
 * one of the services for the route that moves. */
#define ROUTES 4
#define KEYS 3
#define SERVICES 2

enum probe {
	PROBE_MOVING, /* which service runs it */
	PROBE_ROUTE, /* whether its route is there */
	PROBE_KEY, /* whether its key is there */
	PROBES,
};

/* A request, and how it was handled. */
struct call {
	bool open;
	enum probe probe;
	unsigned int which; /* of the routes or keys */
	unsigned int number; /* in its id */
	size_t instance;
	struct config_outcome outcome;
	int status;
	bool ran;
	size_t service; /* that ran it */
};

struct config_instance {
	struct standin_instance in;
	const char *store; /* address of its way to the store */
	size_t process; /* number of its start */
	uint64_t faulty_until_ms; /* UINT64_MAX: it lasts */
	bool of_build_before;
};

static struct harness *harness;
static struct standin_world *world;
static struct http1_client *client;
static const char *fault_control;
static const char *unused_address;
static struct config_instance *instances;
static size_t n_instances;
static size_t n_processes;
static struct random_source fault_numbers;
static struct random_source caller_numbers;
static struct random_source change_numbers;
static struct config_rule rule;
static struct call calls[CALLS_MAX];
static unsigned int n_calls;
static struct fault_ends fault_ends;
static uint64_t store_stable_ms; /* the store was last disturbed until then */
static unsigned int n_faults;
static unsigned int n_unreadable;
static char *bin; /* directory of the programs */

static uint64_t now_ms(void)
{
	return uv_now(harness_loop(harness));
}

static uint32_t draw(uint32_t n)
{
	return random_below(&fault_numbers, n);
}

static void note(const char *what, size_t instance)
{
	print_message("%llu: %s %zu\n", (unsigned long long)now_ms(), what,
		      instance);
}

/* Returns whether a version allows that a request was handled so; callback of
 * config_rule_check(). */
static bool allows(size_t number, const void *request)
{
	const struct call *c = request;

	switch (c->probe) {
	case PROBE_MOVING:
		return c->service == number % SERVICES;
	case PROBE_ROUTE:
		return c->ran == (c->which == number % ROUTES);
	default:
		return c->ran == (c->which == number % KEYS);
	}
}

/* Writes the next version of the configuration, or one that can't be read, which
 * changes nothing. */
static void put_configuration(bool readable)
{
	char *text;

	if (!readable) {
		standin_put(world, "op", "config", "{\"version\":");
		n_unreadable++;
		return;
	}
	text = xasprintf(
		"{\"version\":%zu,\"routes\":["
		"{\"name\":\"m\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":"
		"\"/m/\",\"routeType\":\"idempotent\",\"timeoutMs\":900,"
		"\"targetLatencyMs\":400,\"backend\":\"s%zu\",\"maxAttempts\":2},"
		"{\"name\":\"r\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":"
		"\"/r%zu/\",\"routeType\":\"idempotent\",\"timeoutMs\":900,"
		"\"targetLatencyMs\":400,\"backend\":\"s0\",\"maxAttempts\":2}],"
		"\"services\":[{\"name\":\"s0\",\"healthPath\":\"/healthz\"},"
		"{\"name\":\"s1\",\"healthPath\":\"/healthz\"}],"
		"\"limits\":{\"maxHeaderBytes\":4096,\"maxBodyBytes\":10000,"
		"\"headerTimeoutMs\":2000,\"idleTimeoutMs\":15000},"
		"\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\",\"g%zu\"]}]}",
		2 * rule.n + 2, rule.n % SERVICES, rule.n % ROUTES,
		rule.n % KEYS);
	config_rule_written(&rule, now_ms());
	standin_put(world, "op", "config", text);
	free(text);
}

/* Returns which service ran a request, SERVICES if none did. */
static size_t service_of_run(const struct call *c)
{
	char line[48];
	size_t i;

	snprintf(line, sizeof(line), "\nrequest-id: c-%u\n", c->number);
	for (i = world->n_arrivals; i > 0; i--) {
		const struct standin_arrival *a = world->arrivals[i - 1];

		if (a->ran && standin_arrival_has_line(a, line))
			return strcmp(a->worker->service, "s0") != 0;
	}
	return SERVICES;
}

static enum http1_head_decision on_head(void *arg, const struct http1_head *h)
{
	((struct call *)arg)->status = h->status;
	return HTTP1_ACCEPT;
}

/* Checks how a request was handled, if it ran or was refused for lack of a route
 * or key; other answers show no version. */
static void on_end(void *arg, enum http1_outcome outcome)
{
	struct call *c = arg;
	enum config_fault fault;

	c->open = false;
	c->service = service_of_run(c);
	c->ran = c->service != SERVICES;
	if (!c->ran && (outcome != HTTP1_COMPLETE ||
			(c->status != 401 && c->status != 404)))
		return;
	if (c->probe == PROBE_MOVING && !c->ran) {
		print_message("c-%u: status %d\n", c->number, c->status);
		fail_msg("a request is refused that each version allows");
	}
	c->outcome.over_ms = now_ms();
	c->outcome.allows = allows;
	c->outcome.request = c;
	fault = config_rule_check(&rule, &c->outcome);
	if (fault != CONFIG_FAULT_NONE && rule.faults[fault] <= 3)
		print_message("%llu: c-%u at instance %zu: fault %d, probe %d "
			      "%u, sent %llu, status %d, service %zu\n",
			      (unsigned long long)now_ms(), c->number,
			      c->instance, (int)fault, (int)c->probe, c->which,
			      (unsigned long long)c->outcome.sent_ms, c->status,
			      c->service);
}

static const struct http1_call_ops call_ops = {
	.on_head = on_head,
	.on_end = on_end,
};

/* Sends a request to a random instance. */
static void send_call(void)
{
	static const unsigned int n_which[PROBES] = { 1, ROUTES, KEYS };
	struct call *c = NULL;
	struct bytes out = { 0 };
	struct config_instance *p;
	size_t i;

	for (i = 0; i < CALLS_MAX && !c; i++)
		if (!calls[i].open)
			c = &calls[i];
	assert_non_null(c);
	*c = (struct call){
		.open = true,
		.probe = random_below(&caller_numbers, PROBES),
		.number = ++n_calls,
		.instance =
			random_below(&caller_numbers, (uint32_t)n_instances),
	};
	c->which = random_below(&caller_numbers, n_which[c->probe]);
	p = &instances[c->instance];
	c->outcome = (struct config_outcome){
		.sent_ms = now_ms(),
		.process = p->process,
		.in_touch = now_ms() >= store_stable_ms + CONTACT_MS &&
			    p->faulty_until_ms != UINT64_MAX &&
			    now_ms() >= p->faulty_until_ms + CONTACT_MS,
	};
	bytes_addf(&out, "GET /%s", c->probe == PROBE_ROUTE ? "r" : "m");
	if (c->probe == PROBE_ROUTE)
		bytes_addf(&out, "%u", c->which);
	bytes_addf(&out, "/p HTTP/1.1\r\nhost: 127.0.0.1\r\ncredential: ");
	if (c->probe == PROBE_KEY)
		bytes_addf(&out, "g%u", c->which);
	else
		bytes_addf(&out, "k");
	bytes_addf(&out, "\r\nrequest-id: c-%u\r\ndeadline-ms: %d\r\n\r\n",
		   c->number, DEADLINE_MS);
	http1_call_start(client,
			 &(struct http1_call_options){
				 .address = p->in.callers,
				 .connect_timeout_ms = CONNECT_MS,
				 .max_idle_ms = random_below(&caller_numbers, 2)
							? KEPT_IDLE_MS
							: 0,
				 .timeout_ms = 2 * DEADLINE_MS,
			 },
			 out.data, out.len, &call_ops, c);
}

/* Schedules the end of a fault. */
static void schedule_end(uint32_t ms, void (*end)(size_t what), size_t what)
{
	fault_ends_add(&fault_ends, now_ms() + ms, end, what);
}

static void instance_recovers(size_t i)
{
	instances[i].faulty_until_ms = now_ms();
}

static void link_recovers(size_t i)
{
	harness_control(harness, fault_control, "{\"%s\":{\"mode\":\"pass\"}}",
			instances[i].store);
	instance_recovers(i);
}

static void instance_resumes(size_t i)
{
	proc_signal(instances[i].in.proc, SIGCONT);
	instance_recovers(i);
}

/* Starts an instance again, once its process has ended. */
static void instance_starts(size_t i)
{
	struct config_instance *p = &instances[i];

	if (proc_running(p->in.proc)) {
		schedule_end(STEP_MS, instance_starts, i);
		return;
	}
	setenv("CDM_BIN", bin, 1);
	p->in.proc = HARNESS_START(harness, p->in.name, "cdmproxyd", "-f",
				   p->in.settings);
	p->process = n_processes++;
	p->of_build_before = false;
	instance_recovers(i);
}

static void datagrams_recover(size_t i)
{
	standin_put_instance_entry(world, instances[i].in.name,
				   instances[i].in.callers,
				   instances[i].in.control,
				   instances[i].in.peers);
}

static void store_recovers(size_t i)
{
	(void)i;
	world->store_refuses = false;
	store_stable_ms = now_ms();
}

/* The calls that wait for a table, or for all, fall silent for good. */
static void lose_calls(void)
{
	static const char *const tables[] = { "op", NULL, NULL, "servers" };
	size_t i = draw(sizeof(tables) / sizeof(tables[0]));

	note(tables[i] ? "calls of one table are lost"
		       : "calls of all tables are lost",
	     i);
	standin_lose_feeds(world, tables[i]);
	n_faults++;
}

/* Parts an instance from the store, in both directions or one. */
static void cut_link(size_t i)
{
	static const char *const modes[] = { "freeze", "hang", "cut",
					     "drop-down", "drop-up" };
	size_t mode = draw(sizeof(modes) / sizeof(modes[0]));

	note(modes[mode], i);
	harness_control(harness, fault_control, "{\"%s\":{\"mode\":\"%s\"}}",
			instances[i].store, modes[mode]);
	instances[i].faulty_until_ms = UINT64_MAX;
	schedule_end(1500 + draw(5000), link_recovers, i);
}

/* Freezes, kills or stops an instance. */
static void disturb_process(size_t i)
{
	struct config_instance *p = &instances[i];

	p->faulty_until_ms = UINT64_MAX;
	switch (draw(3)) {
	case 0:
		note("freezes", i);
		proc_signal(p->in.proc, SIGSTOP);
		schedule_end(500 + draw(3000), instance_resumes, i);
		break;
	case 1:
		note("killed", i);
		proc_kill(p->in.proc);
		schedule_end(300 + draw(2000), instance_starts, i);
		break;
	default:
		note("stops", i);
		proc_signal(p->in.proc, SIGTERM);
		schedule_end(500, instance_starts, i);
		break;
	}
}

/* A fault beside lost calls, at the first instance or at any; instances that are
 * not disturbed are in touch. */
static void second_fault(size_t unused)
{
	size_t i = draw(2) ? 0 : draw((uint32_t)n_instances);
	struct config_instance *p = &instances[i];
	uint32_t ms = 200 + draw(2300);

	(void)unused;
	if (p->faulty_until_ms == UINT64_MAX)
		return;
	switch (draw(6)) {
	case 0:
	case 1:
		cut_link(i);
		break;
	case 2:
		disturb_process(i);
		break;
	case 3:
		note("datagrams are lost to", i);
		standin_put_instance_entry(world, p->in.name, p->in.callers,
					   p->in.control, unused_address);
		schedule_end(1000 + draw(4000), datagrams_recover, i);
		break;
	case 4:
		note("SIGHUP", i);
		proc_signal(p->in.proc, SIGHUP);
		break;
	default:
		note("store refuses", i);
		world->store_refuses = true;
		store_stable_ms =
			UINT64_MAX - CONTACT_MS - CONFIG_RULE_APPLY_MS;
		schedule_end(ms, store_recovers, 0);
		break;
	}
}

/* Begins faults: the calls are lost, with one or two others about that time. */
static void fault(void)
{
	uint32_t n = draw(3);

	while (n--)
		schedule_end(draw(SECOND_MAX_MS), second_fault, 0);
	if (draw(2))
		second_fault(0);
	lose_calls();
}

/* Stops the next instance that is of the build before. */
static void replace_next(void)
{
	size_t i;

	for (i = 0; i < n_instances; i++) {
		struct config_instance *p = &instances[i];

		if (!p->of_build_before || p->faulty_until_ms == UINT64_MAX)
			continue;
		note("is replaced", i);
		p->faulty_until_ms = UINT64_MAX;
		proc_signal(p->in.proc, SIGTERM);
		schedule_end(500, instance_starts, i);
		return;
	}
}

/* Starts the platform and the instances, each with a way to the store of its
 * own. */
static void set_up(void)
{
	const char *before = getenv("CDM_BIN_BEFORE");
	const char **args = xcalloc(2 * n_instances + 3, sizeof(char *));
	size_t i;

	harness = harness_new();
	client = http1_client_new(harness_loop(harness));
	world = standin_new(harness);
	unused_address = harness_address(harness);
	fault_control = harness_address(harness);
	bin = xstrdup(getenv("CDM_BIN"));
	for (i = 0; i < SERVICES; i++) {
		standin_add_worker(world, i ? "s1" : "s0", "z1");
		standin_add_worker(world, i ? "s1" : "s0", "z2");
	}
	put_configuration(true);
	instances = xcalloc(n_instances, sizeof(*instances));
	args[0] = "-c";
	args[1] = fault_control;
	for (i = 0; i < n_instances; i++) {
		instances[i].store = harness_address(harness);
		args[2 * i + 2] = "-m";
		args[2 * i + 3] = xasprintf("%s=%s", instances[i].store,
					    world->store_address);
	}
	proc_wait_listening(harness_startv(harness, "store-faultd", "faultd",
					   args),
			    fault_control);
	for (i = 0; i < n_instances; i++)
		free((char *)args[2 * i + 3]);
	free(args);
	if (before)
		setenv("CDM_BIN", before, 1);
	for (i = 0; i < n_instances; i++) {
		struct config_instance *p = &instances[i];

		world->store_public_address = p->store;
		standin_init_instance(world, &p->in, xasprintf("c%02zu", i),
				      i ? instances[0].in.control : NULL);
		standin_start_instance(world, &p->in);
		p->process = n_processes++;
		p->of_build_before = before != NULL;
	}
	setenv("CDM_BIN", bin, 1);
	for (i = 0; i < n_instances; i++)
		standin_wait_status(world, instances[i].in.readiness, "/readyz",
				    200);
	harness_run(harness, CONTACT_MS);
}

static void tear_down(void)
{
	size_t i;

	for (i = 0; i < n_instances; i++) {
		proc_kill(instances[i].in.proc);
		free((char *)instances[i].in.name);
	}
	http1_client_free(client);
	free(instances);
	free(bin);
	config_rule_release(&rule);
	standin_free(world);
	harness_free(harness);
}

static bool any_open(void)
{
	size_t i;

	for (i = 0; i < CALLS_MAX; i++)
		if (calls[i].open)
			return true;
	return false;
}

/* Returns whether each instance in touch has had the time to read the last version:
 * one that can't be read takes its place in the store, from where nobody can read it
 * any more. */
static bool last_version_is_known(void)
{
	return now_ms() >= rule.written_ms[rule.n - 1] + CONFIG_RULE_APPLY_MS &&
	       now_ms() >= store_stable_ms + CONTACT_MS + CONFIG_RULE_APPLY_MS;
}

/* Writes series of versions with pauses between them. */
static void change(void)
{
	static uint64_t next_ms;
	static uint32_t left;

	if (now_ms() < next_ms)
		return;
	put_configuration(random_below(&change_numbers, UNREADABLE_IN) > 0 ||
			  !last_version_is_known());
	if (!left--) {
		left = random_below(&change_numbers, SERIES_MAX);
		next_ms = now_ms() + QUIET_MIN_MS +
			  random_below(&change_numbers,
				       QUIET_MAX_MS - QUIET_MIN_MS);
		return;
	}
	next_ms = now_ms() + CHANGE_MIN_MS +
		  random_below(&change_numbers, CHANGE_MAX_MS - CHANGE_MIN_MS);
}

/* Runs the phase with its own platform and n instances for some time, and checks
 * the rule. */
void config_phase_run(size_t n, uint64_t seed, uint32_t ms)
{
	uint64_t next_fault_ms;
	uint64_t next_replace_ms;
	uint64_t end_ms;
	unsigned int i;

	n_instances = n;
	fault_numbers = (struct random_source){ .seed = seed + FAULT_SEED };
	caller_numbers = (struct random_source){ .seed = seed + CALLER_SEED };
	change_numbers = (struct random_source){ .seed = seed + CHANGE_SEED };
	set_up();
	end_ms = now_ms() + ms;
	next_fault_ms = now_ms() + draw(FAULT_MIN_MS);
	next_replace_ms = now_ms() + REPLACE_MS;
	while (now_ms() < end_ms) {
		fault_ends_due(&fault_ends, now_ms());
		if (now_ms() >= next_fault_ms) {
			fault();
			next_fault_ms = now_ms() + FAULT_MIN_MS +
					draw(FAULT_MAX_MS - FAULT_MIN_MS);
		}
		if (now_ms() >= next_replace_ms) {
			replace_next();
			next_replace_ms = now_ms() + REPLACE_MS;
		}
		change();
		for (i = 0; i < CALLS_PER_STEP; i++)
			send_call();
		http1_client_tick(client);
		harness_run(harness, STEP_MS);
	}
	while (any_open()) {
		http1_client_tick(client);
		harness_run(harness, STEP_MS);
	}
	print_message("seed %llu: configuration: %zu versions, %u unreadable, "
		      "%u losses of calls, %u of %u requests judged, %u too "
		      "old (up to %llu ms), %u went back, %u of no version\n",
		      (unsigned long long)seed, rule.n, n_unreadable, n_faults,
		      rule.checked, n_calls, rule.faults[CONFIG_FAULT_OLD],
		      (unsigned long long)rule.latest_ms,
		      rule.faults[CONFIG_FAULT_BACK],
		      rule.faults[CONFIG_FAULT_UNKNOWN]);
	if (rule.faults[CONFIG_FAULT_OLD] || rule.faults[CONFIG_FAULT_BACK] ||
	    rule.faults[CONFIG_FAULT_UNKNOWN])
		fail_msg("requests are handled by an older configuration");
	tear_down();
}
