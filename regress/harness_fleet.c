/*
 * A complete system for tests: the platform, instances with a cdmfleetd and a
 * cdmentryd each, engines and plain services.  If the test sets `faults`, one
 * faultd relays every link.
 */
#include "regress/harness_fleet.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"

#define ARGS_MAX 250
#define ENGINE_SLOTS 8

/* An argument list under construction. */
struct args {
	char *items[ARGS_MAX + 1];
	size_t n;
};

static void add(struct args *a, const char *item);
static void add_all(struct args *a, const char *const *items, size_t max);
static struct proc *start_args(struct fleet *f, const char *name,
			       const char *program, struct args *a);
static void name_instance(struct fleet *f, size_t i);
static void name_endpoint(struct fleet *f, struct fleet_endpoint *e,
			  const char *kind, size_t i);
static void start_platform(struct fleet *f);
static void start_faults(struct fleet *f);
static void map(struct args *a, const char *from, const char *to);
static void list_instance(struct fleet *f, const char *name, const char *zone,
			  const char *kind, const char *address);
static void write_config(const struct fleet *f, FILE *out);
static void write_endpoint(const struct fleet *f,
			   const struct fleet_endpoint *e, const char *service,
			   FILE *out);
static bool is_serving(void *arg);

/* Starts a system and applies its configuration; returns when every instance
 * serves callers. */
struct fleet *harness_fleet(struct harness *h,
			    const struct fleet_options *options)
{
	struct fleet *f = xcalloc(1, sizeof(*f));
	size_t i;

	f->harness = h;
	f->options = *options;
	f->platform = harness_address(h);
	f->faults = options->faults ? harness_address(h) : NULL;
	for (i = 0; i < options->n_instances; i++)
		name_instance(f, i);
	for (i = 0; i < options->n_engines; i++)
		name_endpoint(f, &f->engines[i], "engine", i);
	for (i = 0; i < options->n_services; i++)
		name_endpoint(f, &f->services[i], "service", i);
	start_platform(f);
	if (options->faults)
		start_faults(f);
	for (i = 0; i < options->n_engines; i++)
		fleet_start_endpoint(f, &f->engines[i]);
	for (i = 0; i < options->n_services; i++)
		fleet_start_endpoint(f, &f->services[i]);
	for (i = 0; i < options->n_instances; i++)
		fleet_start_fleetd(f, i);
	for (i = 0; i < options->n_instances; i++)
		fleet_start_entryd(f, i);
	assert_int_equal(fleet_apply(f, 0, fleet_write_config(f, "fleet.toml")),
			 0);
	for (i = 0; i < options->n_instances; i++)
		fleet_wait_serving(f, i);
	return f;
}

/* Frees the structure; the processes belong to the harness. */
void fleet_free(struct fleet *f)
{
	free(f);
}

/* Assigns an instance's name, zone and addresses. */
static void name_instance(struct fleet *f, size_t i)
{
	struct fleet_instance *in = &f->instances[i];
	struct harness *h = f->harness;
	bool faults = f->options.faults;

	assert_true(i < FLEET_INSTANCES_MAX);
	snprintf(in->name, sizeof(in->name), "entry-%zu", i + 1);
	snprintf(in->zone, sizeof(in->zone), "zone-%zu",
		 i % f->options.n_zones + 1);
	in->control = harness_address(h);
	in->advertised = faults ? harness_address(h) : in->control;
	in->operator_address = harness_address(h);
	in->entry = harness_address(h);
	in->entry_advertised = faults ? harness_address(h) : in->entry;
	in->entry_operator = harness_address(h);
	in->platform = faults ? harness_address(h) : f->platform;
}

/* Assigns an endpoint's name, zone and addresses. */
static void name_endpoint(struct fleet *f, struct fleet_endpoint *e,
			  const char *kind, size_t i)
{
	struct harness *h = f->harness;

	assert_true(i < FLEET_ENDPOINTS_MAX);
	snprintf(e->name, sizeof(e->name), "%s-%zu", kind, i + 1);
	snprintf(e->kind, sizeof(e->kind), "%sd", kind);
	snprintf(e->zone, sizeof(e->zone), "zone-%zu",
		 i % f->options.n_zones + 1);
	e->address = harness_address(h);
	e->control = harness_address(h);
	e->advertised = f->options.faults ? harness_address(h) : e->address;
}

/* Starts the platform and fills its instance list. */
static void start_platform(struct fleet *f)
{
	struct args a = { .n = 0 };
	size_t i;

	add(&a, "-l");
	add(&a, f->platform);
	add_all(&a, f->options.platform_args, 8);
	f->platformd = start_args(f, "platformd", "platformd", &a);
	proc_wait_listening(f->platformd, f->platform);
	for (i = 0; i < f->options.n_instances; i++)
		list_instance(f, f->instances[i].name, f->instances[i].zone,
			      "entry", f->instances[i].advertised);
	for (i = 0; i < f->options.n_engines; i++)
		list_instance(f, f->engines[i].name, f->engines[i].zone,
			      "endpoint", f->engines[i].advertised);
	for (i = 0; i < f->options.n_services; i++)
		list_instance(f, f->services[i].name, f->services[i].zone,
			      "endpoint", f->services[i].advertised);
}

/* Adds an entry to the platform's instance list. */
static void list_instance(struct fleet *f, const char *name, const char *zone,
			  const char *kind, const char *address)
{
	harness_control(f->harness, f->platform,
			"{\"instance\":{\"name\":\"%s\",\"zone\":\"%s\","
			"\"kind\":\"%s\",\"address\":\"%s\","
			"\"leaving\":false}}",
			name, zone, kind, address);
}

/* Starts one faultd with a mapping for every link. */
static void start_faults(struct fleet *f)
{
	struct args a = { .n = 0 };
	size_t i;

	add(&a, "-c");
	add(&a, f->faults);
	for (i = 0; i < f->options.n_instances; i++) {
		map(&a, f->instances[i].advertised, f->instances[i].control);
		map(&a, f->instances[i].platform, f->platform);
		map(&a, f->instances[i].entry_advertised,
		    f->instances[i].entry);
	}
	for (i = 0; i < f->options.n_engines; i++)
		map(&a, f->engines[i].advertised, f->engines[i].address);
	for (i = 0; i < f->options.n_services; i++)
		map(&a, f->services[i].advertised, f->services[i].address);
	f->faultd = start_args(f, "faultd", "faultd", &a);
	proc_wait_listening(f->faultd, f->faults);
}

/* Starts or restarts the cdmfleetd of an instance. */
void fleet_start_fleetd(struct fleet *f, size_t i)
{
	struct fleet_instance *in = &f->instances[i];
	char name[64];
	const char *file;

	snprintf(name, sizeof(name), "fleetd-%zu.toml", i + 1);
	file = harness_file(
		f->harness, name,
		"instance = \"%s\"\n"
		"zone = \"%s\"\n"
		"control_address = \"%s\"\n"
		"advertise_address = \"%s\"\n"
		"operator_address = \"%s\"\n"
		"platform_address = \"%s\"\n"
		"peers = [\"%s\", \"%s\"]\n%s",
		in->name, in->zone, in->control, in->advertised,
		in->operator_address, in->platform, f->instances[0].advertised,
		f->instances[f->options.n_instances - 1].advertised,
		f->options.fleetd_settings ? f->options.fleetd_settings : "");
	snprintf(name, sizeof(name), "fleetd-%zu", i + 1);
	in->fleetd = HARNESS_START(f->harness, name, "cdmfleetd", "-f", file);
	proc_wait_listening(in->fleetd, in->operator_address);
}

/* Starts or restarts the cdmentryd of an instance. */
void fleet_start_entryd(struct fleet *f, size_t i)
{
	struct fleet_instance *in = &f->instances[i];
	char name[64];
	const char *file;

	snprintf(name, sizeof(name), "entryd-%zu.toml", i + 1);
	file = harness_file(
		f->harness, name,
		"instance = \"%s\"\n"
		"zone = \"%s\"\n"
		"fleet_address = \"%s\"\n"
		"listen_address = \"%s\"\n"
		"advertise_address = \"%s\"\n"
		"operator_address = \"%s\"\n"
		"platform_address = \"%s\"\n%s",
		in->name, in->zone, in->control, in->entry,
		in->entry_advertised, in->entry_operator, in->platform,
		f->options.entryd_settings ? f->options.entryd_settings : "");
	snprintf(name, sizeof(name), "entryd-%zu", i + 1);
	in->entryd = HARNESS_START(f->harness, name, "cdmentryd", "-f", file);
	proc_wait_listening(in->entryd, in->entry);
}

/* Starts or restarts an engine or a plain service. */
void fleet_start_endpoint(struct fleet *f, struct fleet_endpoint *e)
{
	struct args a = { .n = 0 };
	char slots[32];

	add(&a, "-l");
	add(&a, e->address);
	add(&a, "-c");
	add(&a, e->control);
	if (strcmp(e->kind, "engined") == 0) {
		snprintf(slots, sizeof(slots), "--slots=%lld",
			 (long long)(f->options.slots ? f->options.slots
						      : ENGINE_SLOTS));
		add(&a, slots);
		add_all(&a, f->options.engine_args, 8);
	} else {
		add_all(&a, f->options.service_args, 8);
	}
	e->proc = start_args(f, e->name, e->kind, &a);
	proc_wait_listening(e->proc, e->address);
}

/* Runs cdmctl apply at an instance and returns its exit code. */
int fleet_apply(struct fleet *f, size_t i, const char *file)
{
	struct proc *p = HARNESS_START(f->harness, "cdmctl", "cdmctl", "-s",
				       f->instances[i].operator_address,
				       "apply", file);
	int code = proc_wait(p);
	char *text;

	if (code) {
		text = proc_log(p);
		print_message("cdmctl apply %s: %d: %s\n", file, code, text);
		free(text);
	}
	return code;
}

/* Writes the operators' file that describes the system; returns its path. */
const char *fleet_write_config(struct fleet *f, const char *name)
{
	char *text = NULL;
	size_t len;
	FILE *out = open_memstream(&text, &len);
	const char *path;

	assert_non_null(out);
	write_config(f, out);
	fclose(out);
	path = harness_file(f->harness, name, "%s", text);
	free(text);
	return path;
}

/* Writes the operators' file. */
static void write_config(const struct fleet *f, FILE *out)
{
	const struct fleet_options *o = &f->options;
	size_t i;

	fprintf(out,
		"[cluster]\ncursor_key = \"a-cursor-key-for-tests\"\n"
		"entries_ttl_s = 1\n%s\n",
		o->cluster ? o->cluster : "");
	fprintf(out,
		"[[model]]\nname = \"" FLEET_MODEL "\"\n\n"
		"[[service]]\nname = \"" FLEET_MODEL_SERVICE "\"\n"
		"kind = \"model\"\nmodel = \"" FLEET_MODEL "\"\n"
		"resume = \"%s\"\n",
		o->resume ? o->resume : "latency");
	if (o->model_timeout_ms)
		fprintf(out, "timeout_ms = %lld\n",
			(long long)o->model_timeout_ms);
	fprintf(out, "\n");
	fprintf(out, "[[service]]\nname = \"" FLEET_PLAIN_SERVICE "\"\n"
		     "kind = \"plain\"\nidempotent = [\"GET /\"]\n\n");
	for (i = 0; i < o->n_organisations; i++)
		fprintf(out,
			"[[organisation]]\nname = \"org-%zu\"\n"
			"key = \"key-org-%zu\"\n\n",
			i + 1, i + 1);
	for (i = 0; i < o->n_engines; i++)
		write_endpoint(f, &f->engines[i], FLEET_MODEL_SERVICE, out);
	for (i = 0; i < o->n_services; i++)
		write_endpoint(f, &f->services[i], FLEET_PLAIN_SERVICE, out);
	if (o->config)
		fprintf(out, "%s\n", o->config);
}

/* Writes one endpoint of the operators' file. */
static void write_endpoint(const struct fleet *f,
			   const struct fleet_endpoint *e, const char *service,
			   FILE *out)
{
	fprintf(out,
		"[[endpoint]]\nname = \"%s\"\nservice = \"%s\"\n"
		"address = \"%s\"\nzone = \"%s\"\nslots = %lld\n"
		"checks_fencing = true\n\n",
		e->name, service, e->advertised, e->zone,
		(long long)(f->options.slots ? f->options.slots
					     : ENGINE_SLOTS));
}

/* The argument of is_serving(). */
struct serving {
	struct fleet *fleet;
	size_t index;
};

/* Waits until an instance answers callers with a list of entry addresses. */
void fleet_wait_serving(struct fleet *f, size_t i)
{
	struct serving s = { f, i };
	char what[64];

	snprintf(what, sizeof(what), "%s lists its entries",
		 f->instances[i].name);
	harness_until(f->harness, is_serving, &s, what);
}

/* Tells whether an instance lists at least one entry address for org-1. */
static bool is_serving(void *arg)
{
	static const struct httpc_header headers[] = {
		{ "authorization", "Bearer key-org-1" },
	};
	struct serving *s = arg;
	const struct httpc_request r = {
		.method = "GET",
		.address = s->fleet->instances[s->index].entry,
		.path = "/v1/entries",
		.headers = headers,
		.n_headers = 1,
	};
	struct answer a;
	bool good;

	harness_request(s->fleet->harness, &r, &a);
	good = a.status == 200 &&
	       json_array_size(json_object_get(a.json, "entries")) > 0;
	answer_release(&a);
	return good;
}

/* Changes the faults of the mapping that listens at an address; the settings
 * are JSON, formatted as by printf(3). */
void fleet_set_faults(struct fleet *f, const char *mapping, const char *fmt,
		      ...)
{
	char *settings = NULL;
	va_list ap;

	va_start(ap, fmt);
	assert_true(vasprintf(&settings, fmt, ap) >= 0);
	va_end(ap);
	harness_control(f->harness, f->faults, "{\"%s\":%s}", mapping,
			settings);
	free(settings);
}

/* Returns how many times all plain services together ran calls with an
 * idempotency key. */
int64_t fleet_runs(struct fleet *f, const char *key)
{
	int64_t total = 0;
	size_t i;

	for (i = 0; i < f->options.n_services; i++) {
		json_t *all = harness_get(f->harness, f->services[i].control,
					  "/runs");
		json_t *runs = json_object_get(all, "runs");

		total += json_integer_value(json_object_get(runs, key));
		json_decref(all);
	}
	return total;
}

/* Returns how many times a prompt got a slot at the engines that run. */
int64_t fleet_prompt_runs(struct fleet *f, const char *prompt)
{
	int64_t total = 0;
	size_t i;

	for (i = 0; i < f->options.n_engines; i++) {
		json_t *all;

		if (!proc_running(f->engines[i].proc))
			continue;
		all = harness_get(f->harness, f->engines[i].control,
				  "/v1/runs");
		total += json_integer_value(
			json_object_get(json_object_get(all, "runs"), prompt));
		json_decref(all);
	}
	return total;
}

/* Adds a copy of an argument. */
static void add(struct args *a, const char *item)
{
	assert_true(a->n < ARGS_MAX);
	a->items[a->n++] = xstrdup(item);
}

/* Adds the arguments of a list up to NULL or max items. */
static void add_all(struct args *a, const char *const *items, size_t max)
{
	size_t i;

	for (i = 0; i < max && items[i]; i++)
		add(a, items[i]);
}

/* Adds a mapping for faultd. */
static void map(struct args *a, const char *from, const char *to)
{
	char *mapping = xasprintf("%s=%s", from, to);

	add(a, "-m");
	add(a, mapping);
	free(mapping);
}

/* Starts a program and releases its argument list. */
static struct proc *start_args(struct fleet *f, const char *name,
			       const char *program, struct args *a)
{
	struct proc *p = harness_startv(f->harness, name, program,
					(const char *const *)a->items);

	while (a->n)
		free(a->items[--a->n]);
	return p;
}
