/*
 * A fleet of cdmfleetds for tests of shared state: a platform and instances,
 * which reach the platform and one another through the fault proxy.
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

/* Starts the platform, the proxy and n instances; returns when every instance
 * lists all n as serving. */
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

/* Stops all instances by SIGTERM, fails unless each exits with status 0, and
 * stops the other processes. */
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

/* Starts or restarts an instance. */
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

/* Pauses an instance by SIGSTOP, or resumes it. */
void control_pause(struct control_fleet *f, size_t i, bool paused)
{
	f->instances[i].paused = paused;
	proc_signal(f->instances[i].proc, paused ? SIGSTOP : SIGCONT);
}

/* Sets the mode of the proxy's mapping that listens at an address. */
void control_set_link_mode(struct control_fleet *f, const char *address,
			   const char *mode)
{
	harness_control(f->h, f->faults, "{\"%s\":{\"mode\":\"%s\"}}", address,
			mode);
}

/* Changes settings of the platform. */
void control_set_platform(struct control_fleet *f, const char *settings)
{
	harness_control(f->h, f->platform, "%s", settings);
}

/* Writes an operators' file that ends with the text more; returns its path. */
const char *control_write_config(struct control_fleet *f, const char *name,
				 const char *more)
{
	return harness_file(f->h, name,
			    "[cluster]\ncursor_key = \"0123456789abcdef\"\n"
			    "[[model]]\nname = \"m\"\n"
			    "[[service]]\nname = \"s\"\nkind = \"model\"\n"
			    "model = \"m\"\n%s",
			    more);
}

/* Starts cdmctl against an instance; the arguments end with NULL. */
struct proc *control_start_cdmctl(struct control_fleet *f, size_t i,
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

	return proc_wait(control_start_cdmctl(f, i, args));
}

/* Reads the version in force of each instance that runs and isn't paused, and
 * fails if one has decreased. */
void control_check_versions(struct control_fleet *f)
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

/* Waits until the version, or a later one, is in force in every instance that
 * runs and isn't paused. */
void control_wait_version(struct control_fleet *f, double version)
{
	f->wait_value = version;
	harness_until(f->h, have_version, f,
		      "a version is in force in every instance");
}

/* Waits until every instance counts n serving instances. */
void control_wait_members(struct control_fleet *f, size_t n)
{
	f->wait_value = (double)n;
	harness_until(f->h, have_members, f,
		      "every instance lists all as serving");
}

/* Returns the status document of an instance; the caller owns it. */
json_t *control_status(struct control_fleet *f, size_t i)
{
	return harness_get(f->h, f->instances[i].operator_address,
			   "/v1/status");
}

/* Returns the value of a metric of an instance. */
double control_counter(struct control_fleet *f, size_t i, const char *name)
{
	return harness_counter(f->h, f->instances[i].operator_address, name);
}

/* Assigns an instance's name and addresses. */
static void name_instance(struct control_fleet *f, size_t i)
{
	struct control_instance *in = &f->instances[i];

	snprintf(in->name, sizeof(in->name), "instance-%zu", i + 1);
	in->control = harness_address(f->h);
	in->advertised = harness_address(f->h);
	in->operator_address = harness_address(f->h);
	in->platform = harness_address(f->h);
}

/* Starts the proxy with two mappings per instance: to its control address and,
 * for its own use, to the platform. */
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

/* Tells whether control_wait_version() can return. */
static bool have_version(void *arg)
{
	struct control_fleet *f = arg;
	size_t i;

	control_check_versions(f);
	for (i = 0; i < f->n; i++)
		if (!f->instances[i].paused &&
		    proc_running(f->instances[i].proc) &&
		    f->instances[i].version < f->wait_value)
			return false;
	return true;
}

/* Tells whether control_wait_members() can return. */
static bool have_members(void *arg)
{
	struct control_fleet *f = arg;
	size_t i;

	for (i = 0; i < f->n; i++)
		if (control_counter(f, i, "cdmfleetd_members_serving") !=
		    f->wait_value)
			return false;
	return true;
}
