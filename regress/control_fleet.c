/*
 * A fleet of cdmfleetds for tests of what they agree on: the platform and the
 * fault proxy before it, and instances that reach one another through it.
 */
#include "regress/control_fleet.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#include "lib/xalloc.h"

static void name_instance(struct control_fleet *f, size_t i);
static void start_proxy(struct control_fleet *f);
static bool have_version(void *arg);
static bool have_members(void *arg);

/* Starts the platform, the proxy and n instances; returns when all know one
 * another. */
struct control_fleet *control_fleet_new(size_t n, size_t n_zones)
{
	struct control_fleet *f = xcalloc(1, sizeof(*f));
	size_t i;

	f->h = harness_new();
	f->n_zones = n_zones;
	f->platform = harness_address(f->h);
	f->faults = harness_address(f->h);
	for (i = 0; i < CONTROL_MAX; i++)
		name_instance(f, i);
	HARNESS_START(f->h, "platformd", "platformd", "-l", f->platform);
	harness_wait_listening(f->h, f->platform);
	start_proxy(f);
	for (i = 0; i < n; i++)
		control_start(f, i);
	control_wait_members(f, n);
	return f;
}

/* Every instance must end with status 0 when told to; ends the rest. */
void control_fleet_free(struct control_fleet *f)
{
	size_t i;

	for (i = 0; i < f->n; i++)
		proc_signal(f->instances[i].proc, SIGTERM);
	for (i = 0; i < f->n; i++)
		assert_int_equal(proc_wait(f->instances[i].proc), 0);
	harness_free(f->h);
	free(f);
}

/* Starts, or starts anew, an instance. */
void control_start(struct control_fleet *f, size_t i)
{
	struct control_instance *in = &f->instances[i];
	char name[64];
	const char *file;

	snprintf(name, sizeof(name), "%s.toml", in->name);
	file = harness_file(f->h, name,
			    "instance = \"%s\"\nzone = \"zone-%zu\"\n"
			    "control_address = \"%s\"\n"
			    "advertise_address = \"%s\"\n"
			    "operator_address = \"%s\"\n"
			    "platform_address = \"%s\"\n"
			    "platform_timeout_ms = 500\n"
			    "peers = [\"%s\", \"%s\"]\n",
			    in->name, i % f->n_zones + 1, in->control,
			    in->advertised, in->operator_address, in->platform,
			    f->instances[0].advertised,
			    f->instances[1].advertised);
	in->proc = HARNESS_START(f->h, in->name, "cdmfleetd", "-f", file);
	in->version = 0;
	if (i >= f->n)
		f->n = i + 1;
	harness_wait_listening(f->h, in->operator_address);
}

/* Stops an instance in its tracks, or lets it go on. */
void control_pause(struct control_fleet *f, size_t i, bool paused)
{
	f->instances[i].paused = paused;
	proc_signal(f->instances[i].proc, paused ? SIGSTOP : SIGCONT);
}

/* Sets the mode of the proxy at an address. */
void control_cut(struct control_fleet *f, const char *address, const char *mode)
{
	harness_control(f->h, f->faults, "{\"%s\":{\"mode\":\"%s\"}}", address,
			mode);
}

/* Changes settings of the platform. */
void control_platform(struct control_fleet *f, const char *settings)
{
	harness_control(f->h, f->platform, "%s", settings);
}

/* Writes an operators' file with more tables; returns its path. */
const char *control_config(struct control_fleet *f, const char *name,
			   const char *more)
{
	return harness_file(f->h, name,
			    "[cluster]\ncursor_key = \"0123456789abcdef\"\n"
			    "[[model]]\nname = \"m\"\n"
			    "[[service]]\nname = \"s\"\nkind = \"model\"\n"
			    "model = \"m\"\n%s",
			    more);
}

/* Starts cdmctl for an instance; the arguments end with NULL. */
struct proc *control_ctl(struct control_fleet *f, size_t i,
			 const char *const *args)
{
	static unsigned number;
	const char *argv[16] = { "-s", f->instances[i].operator_address };
	struct proc *p;
	char name[32];
	size_t n;

	for (n = 0; args[n]; n++)
		argv[n + 2] = args[n];
	snprintf(name, sizeof(name), "cdmctl-%u", ++number);
	p = harness_startv(f->h, name, "cdmctl", argv);
	return p;
}

/* Applies a file at an instance and returns cdmctl's exit status. */
int control_apply(struct control_fleet *f, size_t i, const char *file,
		  const char *wait_s)
{
	const char *args[] = {
		"-a", "test", "-w", wait_s, "apply", file, NULL
	};

	return proc_wait(control_ctl(f, i, args));
}

/* Reads the version in force of each instance that can be asked. */
void control_sample(struct control_fleet *f)
{
	struct control_instance *in;
	double version;
	size_t i;

	for (i = 0; i < f->n; i++) {
		in = &f->instances[i];
		if (in->paused || !in->proc || !proc_running(in->proc))
			continue;
		version = control_counter(f, i, "cdmfleetd_config_version");
		assert_true(version >= in->version);
		in->version = version;
	}
}

/* Waits until every instance that runs has the version in force. */
void control_wait_version(struct control_fleet *f, double version)
{
	f->wanted_version = version;
	harness_until(f->h, have_version, f,
		      "a version is in force in every instance");
}

/* Waits until every instance takes n for serving. */
void control_wait_members(struct control_fleet *f, size_t n)
{
	f->wanted_version = (double)n;
	harness_until(f->h, have_members, f, "all instances know one another");
}

/* Returns the status as an instance tells it. */
json_t *control_status(struct control_fleet *f, size_t i)
{
	return harness_get(f->h, f->instances[i].operator_address,
			   "/v1/status");
}

/* Returns a counter of an instance. */
double control_counter(struct control_fleet *f, size_t i, const char *name)
{
	return harness_counter(f->h, f->instances[i].operator_address, name);
}

/* Gives an instance its name and addresses. */
static void name_instance(struct control_fleet *f, size_t i)
{
	struct control_instance *in = &f->instances[i];

	snprintf(in->name, sizeof(in->name), "instance-%zu", i + 1);
	in->control = harness_address(f->h);
	in->advertised = harness_address(f->h);
	in->operator_address = harness_address(f->h);
	in->platform = harness_address(f->h);
}

/* Starts the proxy before each control address and, for each instance, before
 * the platform. */
static void start_proxy(struct control_fleet *f)
{
	const char *argv[4 * CONTROL_MAX + 3] = { "-c", f->faults };
	char *maps[2 * CONTROL_MAX];
	size_t n_maps = 0;
	size_t n = 2;
	size_t i;

	for (i = 0; i < CONTROL_MAX; i++) {
		maps[n_maps++] = xasprintf("%s=%s", f->instances[i].advertised,
					   f->instances[i].control);
		maps[n_maps++] = xasprintf("%s=%s", f->instances[i].platform,
					   f->platform);
	}
	for (i = 0; i < n_maps; i++) {
		argv[n++] = "-m";
		argv[n++] = maps[i];
	}
	harness_startv(f->h, "faultd", "faultd", argv);
	harness_wait_listening(f->h, f->faults);
	while (n_maps--)
		free(maps[n_maps]);
}

static bool have_version(void *arg)
{
	struct control_fleet *f = arg;
	size_t i;

	control_sample(f);
	for (i = 0; i < f->n; i++)
		if (!f->instances[i].paused &&
		    proc_running(f->instances[i].proc) &&
		    f->instances[i].version < f->wanted_version)
			return false;
	return true;
}

static bool have_members(void *arg)
{
	struct control_fleet *f = arg;
	size_t i;

	for (i = 0; i < f->n; i++)
		if (control_counter(f, i, "cdmfleetd_members_serving") !=
		    f->wanted_version)
			return false;
	return true;
}
