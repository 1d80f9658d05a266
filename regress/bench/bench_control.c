/*
 * Costs of a cdmfleetd in an idle fleet: processor time, bytes read and written
 * over all its connections, and memory, at several numbers of instances and of
 * endpoints; and the cost of parsing a configuration of the target size.
 * Prints `name value unit`.
 */
#include <malloc.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <cmocka.h>

#include "lib/config.h"
#include "lib/deflate.h"
#include "lib/frame.h"
#include "lib/ident.h"
#include "lib/xalloc.h"
#include "proto/control.pb-c.h"
#include "regress/control_fleet.h"

#define SETTLE_MS 6000
#define MEASURE_MS 12000
#define FEW_ENGINES 4
#define MANY_ENGINES 24
#define TARGET_ENDPOINTS 6600
#define TARGET_ORGANISATIONS 1300
#define TARGET_MODELS 29
#define TARGET_INSTANCES 920
#define PARSES 10
#define READS "platform_reads_total"
#define WRITES "platform_writes_total"

/* Means over the instances; times and bytes since their start. */
struct reading {
	double cpu_s;
	double bytes; /* read and written */
	double rss_bytes;
	double polls;
};

/* A size of the fleet and the costs measured at it, per instance. */
struct point {
	size_t instances;
	size_t engines;
	double cpu_percent;
	double bytes_per_s;
	double rss_mib;
};

static double stat_cpu_s(pid_t pid)
{
	char path[64];
	unsigned long user = 0;
	unsigned long system = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	f = fopen(path, "r");
	assert_non_null(f);
	assert_int_equal(fscanf(f,
				"%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u "
				"%*u %*u %lu %lu",
				&user, &system),
			 2);
	fclose(f);
	return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

/* Returns the sum of the numbers that follow the keys in a file of /proc. */
static double proc_sum(pid_t pid, const char *file, const char *key1,
		       const char *key2)
{
	char path[64];
	char line[256];
	double sum = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/%s", (int)pid, file);
	f = fopen(path, "r");
	assert_non_null(f);
	while (fgets(line, sizeof(line), f))
		if (!strncmp(line, key1, strlen(key1)) ||
		    (key2 && !strncmp(line, key2, strlen(key2))))
			sum += strtod(strchr(line, ':') + 1, NULL);
	fclose(f);
	return sum;
}

static struct reading read_fleet(const struct control_fleet *f)
{
	struct reading r = { 0 };
	pid_t pid;
	size_t i;

	for (i = 0; i < f->n; i++) {
		pid = f->instances[i].proc->pid;
		r.cpu_s += stat_cpu_s(pid) / (double)f->n;
		r.bytes += proc_sum(pid, "io", "rchar", "wchar") / (double)f->n;
		r.rss_bytes += proc_sum(pid, "status", "VmRSS", NULL) * 1024 /
			       (double)f->n;
	}
	return r;
}

/* Starts engines and applies a configuration that lists them. */
static void apply_engines(struct control_fleet *f, size_t engines)
{
	char *more = NULL;
	size_t len;
	FILE *out = open_memstream(&more, &len);
	const char *address;
	char name[32];
	size_t i;

	assert_non_null(out);
	for (i = 0; i < engines; i++) {
		address = harness_address(f->h);
		snprintf(name, sizeof(name), "engine-%zu", i);
		HARNESS_START(f->h, name, "engined", "-l", address);
		harness_wait_listening(f->h, address);
		fprintf(out,
			"[[endpoint]]\nname = \"%s\"\nservice = \"s\"\n"
			"address = \"%s\"\nzone = \"zone-%zu\"\n",
			name, address, i % f->n_zones + 1);
	}
	fclose(out);
	assert_int_equal(control_apply(f, 0,
				       control_write_config(f, "c.toml", more),
				       "30"),
			 0);
	free(more);
}

/* Prints the time since start_ns under a name. */
static void print_elapsed(const char *what, const struct control_fleet *f,
			  uint64_t start_ns)
{
	printf("control_%s_i%zu %.0f ms\n", what, f->n,
	       (double)(uv_hrtime() - start_ns) / 1e6);
	fflush(stdout);
}

/* Measures the time from the start of cdmctl until a changed configuration is
 * in force in every instance. */
static void measure_config(struct control_fleet *f)
{
	uint64_t start = uv_hrtime();

	control_apply(f, 0, control_write_config(f, "next.toml", ""), "0");
	control_wait_version(f, 2);
	print_elapsed("config_everywhere", f, start);
}

/* The argument of all_count_living(). */
struct death_wait {
	struct control_fleet *f;
	size_t living; /* instances that run */
};

static bool all_count_living(void *arg)
{
	struct death_wait *d = arg;
	size_t i;

	for (i = 0; i < d->living; i++)
		if (control_counter(d->f, i, "cdmfleetd_members_serving") >
		    (double)d->living)
			return false;
	return true;
}

/* Measures the time until no instance counts a killed one as serving. */
static void measure_death(struct control_fleet *f)
{
	struct death_wait d = { .f = f, .living = f->n - 1 };
	uint64_t start = uv_hrtime();

	proc_kill(f->instances[d.living].proc);
	harness_until(f->h, all_count_living, &d,
		      "no instance counts the killed one");
	print_elapsed("death_known", f, start);
	f->n--;
}

static void measure(struct point *p)
{
	struct control_fleet *f = control_fleet_new(p->instances, 3);
	struct reading before;
	struct reading after;
	double s = MEASURE_MS / 1000.0;
	double reads;
	double writes;

	apply_engines(f, p->engines);
	harness_run(f->h, SETTLE_MS);
	reads = harness_counter(f->h, f->platform, READS);
	writes = harness_counter(f->h, f->platform, WRITES);
	before = read_fleet(f);
	harness_run(f->h, MEASURE_MS);
	after = read_fleet(f);
	reads = harness_counter(f->h, f->platform, READS) - reads;
	writes = harness_counter(f->h, f->platform, WRITES) - writes;
	p->cpu_percent = (after.cpu_s - before.cpu_s) / s * 100;
	p->bytes_per_s = (after.bytes - before.bytes) / s;
	p->rss_mib = after.rss_bytes / (1 << 20);
	printf("control_cpu_i%zu_e%zu %.3f percent\n", p->instances, p->engines,
	       p->cpu_percent);
	printf("control_bytes_i%zu_e%zu %.0f B/s\n", p->instances, p->engines,
	       p->bytes_per_s);
	printf("control_rss_i%zu_e%zu %.2f MiB\n", p->instances, p->engines,
	       p->rss_mib);
	printf("control_platform_reads_i%zu_e%zu %.2f /s\n", p->instances,
	       p->engines, reads / s);
	printf("control_platform_writes_i%zu_e%zu %.2f /s\n", p->instances,
	       p->engines, writes / s);
	if (p->engines == FEW_ENGINES) {
		measure_config(f);
		measure_death(f);
	}
	fflush(stdout);
	control_fleet_free(f);
}

static void print_slopes(const char *per, const struct point *a,
			 const struct point *b, double n)
{
	printf("control_cpu_per_%s %.5f percent\n", per,
	       (b->cpu_percent - a->cpu_percent) / n);
	printf("control_bytes_per_%s %.1f B/s\n", per,
	       (b->bytes_per_s - a->bytes_per_s) / n);
	printf("control_rss_per_%s %.1f KiB\n", per,
	       (b->rss_mib - a->rss_mib) / n * 1024);
}

static void bench_fleet(void **state)
{
	struct point points[] = {
		{ .instances = 3, .engines = FEW_ENGINES },
		{ .instances = 9, .engines = FEW_ENGINES },
		{ .instances = 36, .engines = FEW_ENGINES },
		{ .instances = 3, .engines = MANY_ENGINES },
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(points) / sizeof(points[0]); i++)
		measure(&points[i]);
	print_slopes("instance", &points[1], &points[2],
		     (double)(points[2].instances - points[1].instances));
	/* at 3 instances each endpoint is watched by all of them */
	print_slopes("watched_endpoint", &points[0], &points[3],
		     MANY_ENGINES - FEW_ENGINES);
}

/* Writes the operators' file of the target size. */
static char *target_file(size_t *len)
{
	char *text = NULL;
	FILE *f = open_memstream(&text, len);
	int i;

	assert_non_null(f);
	fprintf(f, "[cluster]\ncursor_key = \"0123456789abcdef\"\n");
	for (i = 0; i < TARGET_MODELS; i++)
		fprintf(f,
			"[[model]]\nname = \"model-%d\"\n"
			"[[service]]\nname = \"service-%d\"\n"
			"kind = \"model\"\nmodel = \"model-%d\"\n",
			i, i, i);
	for (i = 0; i < TARGET_ORGANISATIONS; i++)
		fprintf(f,
			"[[organisation]]\nname = \"organisation-%d\"\n"
			"key = \"key-%d\"\nweight = %d\n",
			i, i, i % 20 + 1);
	for (i = 0; i < TARGET_ENDPOINTS; i++)
		fprintf(f,
			"[[endpoint]]\nname = \"worker-%d\"\n"
			"service = \"service-%d\"\n"
			"address = \"10.%d.%d.%d:7000\"\n"
			"zone = \"zone-%d\"\nslots = 32\n",
			i, i % TARGET_MODELS, i % 13, i / 250, i % 250, i % 13);
	fclose(f);
	return text;
}

static void bench_config(void **state)
{
	struct config *c = NULL;
	size_t packed_len;
	size_t before;
	size_t len;
	char *text = target_file(&len);
	char err[256];
	clock_t start;
	int i;

	(void)state;
	start = clock();
	for (i = 0; i < PARSES; i++) {
		config_unref(c);
		c = config_parse(text, len, "f", 1, err, sizeof(err));
		assert_non_null(c);
	}
	printf("config_parse_target %.1f ms\n",
	       (double)(clock() - start) * 1000 / CLOCKS_PER_SEC / PARSES);
	config_unref(c);
	before = mallinfo2().uordblks;
	c = config_parse(text, len, "f", 1, err, sizeof(err));
	printf("config_file_target %zu bytes\n", len);
	printf("config_memory_target %zu bytes\n",
	       mallinfo2().uordblks - before);
	config_unref(c);
	free(deflate_bytes(text, len, &packed_len));
	printf("config_deflated_target %zu bytes\n", packed_len);
	free(text);
}

/* Sends the instance a digest that lists all other instances of the target
 * size as alive. */
static void send_members(struct frame_conn *c, void *arg)
{
	Cdm__Member *members = xcalloc(TARGET_INSTANCES, sizeof(*members));
	Cdm__Member **list = xcalloc(TARGET_INSTANCES, sizeof(Cdm__Member *));
	Cdm__Digest m = CDM__DIGEST__INIT;
	size_t i;

	(void)arg;
	for (i = 0; i < TARGET_INSTANCES - 1; i++) {
		cdm__member__init(&members[i]);
		members[i].name = xasprintf("other-%zu", i);
		members[i].id = name_id(members[i].name);
		members[i].zone = xasprintf("zone-%zu", i % 13);
		members[i].control_address = "127.0.0.1:7";
		members[i].state = CDM__MEMBER_STATE__MEMBER_ALIVE;
		members[i].incarnation = 1;
		list[i] = &members[i];
	}
	m.kind = CDM__DIGEST_KIND__DIGEST_PUSH;
	m.from = members[0].id;
	m.updates = list;
	m.n_updates = TARGET_INSTANCES - 1;
	frame_send(c, CDM__FRAME_TYPE__FRAME_DIGEST, &m.base);
	for (i = 0; i < TARGET_INSTANCES - 1; i++) {
		free(members[i].name);
		free(members[i].zone);
	}
	free(members);
	free(list);
}

static bool ignore_message(struct frame_conn *c, void *arg, uint8_t type,
			   const uint8_t *data, size_t len)
{
	(void)c;
	(void)arg;
	(void)type;
	(void)data;
	(void)len;
	return true;
}

static void note_closed(struct frame_conn *c, void *arg, const char *why)
{
	(void)c;
	(void)why;
	*(bool *)arg = true;
}

static bool is_set(void *arg)
{
	return *(bool *)arg;
}

/* One instance with tables of the target size.  The other instances and the
 * endpoints refuse connections, so that it keeps probing and announcing
 * losses, which costs more than an idle fleet. */
static void bench_target(void **state)
{
	static const struct frame_ops ops = {
		.on_open = send_members,
		.on_message = ignore_message,
		.on_close = note_closed,
	};
	struct control_fleet *f = control_fleet_new(1, 1);
	size_t len;
	char *text = target_file(&len);
	const char *file = harness_file(f->h, "target.toml", "%s", text);
	struct reading before;
	struct reading after;
	struct frame_conn *c;
	bool closed = false;

	(void)state;
	c = frame_connect(harness_loop(f->h), f->instances[0].control, &ops,
			  &closed);
	harness_run(f->h, 1000);
	control_apply(f, 0, file, "0");
	control_wait_version(f, 1);
	harness_run(f->h, SETTLE_MS);
	before = read_fleet(f);
	harness_run(f->h, MEASURE_MS);
	after = read_fleet(f);
	printf("control_target_serving %.0f instances\n",
	       control_counter(f, 0, "cdmfleetd_members_serving"));
	printf("control_target_watched %.0f endpoints\n",
	       control_counter(f, 0, "cdmfleetd_endpoints_watched"));
	printf("control_target_cpu %.3f percent\n",
	       (after.cpu_s - before.cpu_s) * 1e5 / MEASURE_MS);
	printf("control_target_bytes %.0f B/s\n",
	       (after.bytes - before.bytes) * 1e3 / MEASURE_MS);
	printf("control_target_rss %.2f MiB\n", after.rss_bytes / (1 << 20));
	frame_close(c);
	harness_until(f->h, is_set, &closed, "the connection is closed");
	free(text);
	control_fleet_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bench_config),
		cmocka_unit_test(bench_target),
		cmocka_unit_test(bench_fleet),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
