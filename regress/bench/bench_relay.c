/*
 * Measures the cost of relaying: one cdmentryd with STREAMS open streams,
 * compared in the same run with a plain copy loop over the engines' bytes.
 * Prints `name value unit`.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>
#include <cmocka.h>

#include "lib/settings.h"
#include "lib/xalloc.h"
#include "regress/bench/copy_loop.h"
#include "regress/harness_fleet.h"

#define STREAMS 1500
#define ENGINES 4
#define WARM_MS 3000
#define MEASURE_MS 5000
#define FIRST_TOKENS 60 /* pairs of requests */
#define MAX_TOKENS 1000000

/* A connection whose received bytes are counted and discarded. */
struct sink {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	char *request;
	uint64_t bytes;
};

/* The resource use and the progress of a process at one moment. */
struct reading {
	double cpu_s;
	double tokens;
	double bytes;
	double rss_bytes;
};

static char discard_buffer[1 << 20];
static struct sink sinks[STREAMS];

static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	(void)h;
	(void)suggested;
	*buf = uv_buf_init(discard_buffer, sizeof(discard_buffer));
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct sink *s = (struct sink *)stream;

	(void)buf;
	if (n > 0)
		s->bytes += (uint64_t)n;
}

static void on_written(uv_write_t *req, int status)
{
	(void)req;
	(void)status;
}

static void on_connected(uv_connect_t *req, int status)
{
	struct sink *s = (struct sink *)req->handle;
	uv_buf_t buf = uv_buf_init(s->request, (unsigned)strlen(s->request));

	assert_int_equal(status, 0);
	uv_write(&s->write, (uv_stream_t *)&s->tcp, &buf, 1, on_written);
	uv_read_start((uv_stream_t *)&s->tcp, on_alloc, on_read);
}

/* Opens a connection, sends a request and counts the bytes of its answer. */
static void sink_start(uv_loop_t *loop, struct sink *s, const char *address,
		       const char *path, const char *body)
{
	struct sockaddr_in sin;
	char host[64];
	uint16_t port;

	memset(s, 0, sizeof(*s));
	s->request = xasprintf("POST %s HTTP/1.1\r\nhost: x\r\n"
			       "authorization: Bearer key-bench\r\n"
			       "content-length: %zu\r\n\r\n%s",
			       path, strlen(body), body);
	assert_true(address_parse(address, host, sizeof(host), &port));
	uv_ip4_addr(host, port, &sin);
	uv_tcp_init(loop, &s->tcp);
	uv_tcp_connect(&s->connect, &s->tcp, (struct sockaddr *)&sin,
		       on_connected);
}

/* Closes every sink. */
static void sinks_close(struct harness *h)
{
	size_t i;

	for (i = 0; i < STREAMS; i++) {
		uv_close((uv_handle_t *)&sinks[i].tcp, NULL);
		free(sinks[i].request);
	}
	harness_run(h, 500);
}

/* Returns the processor time of a process in seconds. */
static double process_cpu_s(pid_t pid)
{
	char path[64];
	char line[1024];
	unsigned long user = 0;
	unsigned long system = 0;
	const char *p;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	f = fopen(path, "r");
	assert_non_null(f);
	assert_non_null(fgets(line, sizeof(line), f));
	fclose(f);
	p = strrchr(line, ')');
	assert_non_null(p);
	assert_int_equal(sscanf(p + 2,
				"%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
				"%lu %lu",
				&user, &system),
			 2);
	return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

/* Returns the resident memory of a process in bytes. */
static double process_rss_bytes(pid_t pid)
{
	char path[64];
	unsigned long size = 0;
	unsigned long resident = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/statm", (int)pid);
	f = fopen(path, "r");
	assert_non_null(f);
	assert_int_equal(fscanf(f, "%lu %lu", &size, &resident), 2);
	fclose(f);
	return (double)resident * (double)sysconf(_SC_PAGESIZE);
}

/* Reads the resource use of a process, the bytes received by all sinks and the
 * tokens decoded by the engines. */
static struct reading read_usage(struct fleet *f, pid_t pid)
{
	struct reading r = { .cpu_s = process_cpu_s(pid),
			     .rss_bytes = process_rss_bytes(pid) };
	size_t i;

	for (i = 0; i < STREAMS; i++)
		r.bytes += (double)sinks[i].bytes;
	for (i = 0; i < ENGINES; i++) {
		json_t *load = harness_get(f->harness, f->engines[i].control,
					   "/v1/load");

		r.tokens += (double)json_integer_value(
			json_object_get(load, "decoded"));
		json_decref(load);
	}
	return r;
}

/* Runs the streams and prints the figures of a process; returns its processor
 * time per token, us. */
static double measure(struct fleet *f, pid_t pid, const char *name,
		      double idle_rss)
{
	struct reading a;
	struct reading b;
	double us;

	harness_run(f->harness, WARM_MS);
	a = read_usage(f, pid);
	harness_run(f->harness, MEASURE_MS);
	b = read_usage(f, pid);
	us = (b.cpu_s - a.cpu_s) * 1e6 / (b.tokens - a.tokens);
	printf("%s_tokens_per_s %.0f tokens/s\n", name,
	       (b.tokens - a.tokens) * 1000 / MEASURE_MS);
	printf("%s_bytes_per_token %.1f bytes\n", name,
	       (b.bytes - a.bytes) / (b.tokens - a.tokens));
	printf("%s_cpu_per_token %.2f us\n", name, us);
	printf("%s_tokens_per_core_s %.0f tokens/s\n", name, 1e6 / us);
	printf("%s_core_share %.2f cores\n", name,
	       (b.cpu_s - a.cpu_s) * 1000 / MEASURE_MS);
	printf("%s_memory_per_stream %.0f bytes\n", name,
	       (b.rss_bytes - idle_rss) / STREAMS);
	fflush(stdout);
	return us;
}

/* Measures the streams through cdmentryd; returns us per token. */
static double measure_entry(struct fleet *f)
{
	struct fleet_instance *in = &f->instances[0];
	double idle = process_rss_bytes(in->entryd->pid);
	double us;
	size_t i;

	for (i = 0; i < STREAMS; i++) {
		char *body = xasprintf("{\"model\":\"%s\",\"prompt\":\"p%zu\","
				       "\"max_tokens\":%d,\"stream\":true}",
				       FLEET_MODEL, i, MAX_TOKENS);

		sink_start(harness_loop(f->harness), &sinks[i], in->entry,
			   "/v1/completions", body);
		free(body);
	}
	us = measure(f, in->entryd->pid, "relay", idle);
	sinks_close(f->harness);
	return us;
}

/* Measures the same number of streams through the copy loop; returns us per
 * token. */
static double measure_copy_loop(struct fleet *f)
{
	const char *address = harness_address(f->harness);
	pid_t pid = copy_loop_start(address, f->engines[0].address);
	double idle;
	double us;
	size_t i;

	harness_wait_listening(f->harness, address);
	idle = process_rss_bytes(pid);
	for (i = 0; i < STREAMS; i++) {
		char *body = xasprintf("{\"stream\":\"c%zu\",\"prompt\":"
				       "\"p%zu\",\"max_tokens\":%d}",
				       i, i, MAX_TOKENS);

		sink_start(harness_loop(f->harness), &sinks[i], address,
			   "/v1/streams", body);
		free(body);
	}
	us = measure(f, pid, "copy", idle);
	sinks_close(f->harness);
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
	return us;
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Returns the time from the request to a stream's first event, ms. */
static double first_token_ms(struct harness *h, const char *address,
			     const char *path, const char *body)
{
	const struct httpc_header headers[] = {
		{ "authorization", "Bearer key-bench" },
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = address,
		.path = path,
		.headers = headers,
		.n_headers = 1,
		.body = body,
		.body_len = strlen(body),
	};
	double start = (double)uv_hrtime() / 1e6;
	struct stream_reader *s = stream_open(h, &r);
	double ms;

	stream_wait_events(s, 1);
	ms = (double)uv_hrtime() / 1e6 - start;
	stream_wait_end(s);
	stream_close(s);
	return ms;
}

/* Prints the median time to the first token of requests sent in pairs, one to
 * an engine and one through cdmentryd. */
static void measure_first_token(struct fleet *f)
{
	double direct[FIRST_TOKENS];
	double relayed[FIRST_TOKENS];
	size_t i;

	for (i = 0; i < FIRST_TOKENS; i++) {
		char *d = xasprintf("{\"stream\":\"f%zu\",\"prompt\":\"x\","
				    "\"max_tokens\":1}",
				    i);
		char *e = xasprintf("{\"model\":\"%s\",\"prompt\":\"x\","
				    "\"max_tokens\":1,\"stream\":true}",
				    FLEET_MODEL);

		direct[i] = first_token_ms(f->harness, f->engines[0].address,
					   "/v1/streams", d);
		relayed[i] = first_token_ms(f->harness, f->instances[0].entry,
					    "/v1/completions", e);
		free(d);
		free(e);
	}
	qsort(direct, FIRST_TOKENS, sizeof(direct[0]), compare);
	qsort(relayed, FIRST_TOKENS, sizeof(relayed[0]), compare);
	printf("first_token_direct %.2f ms\n", direct[FIRST_TOKENS / 2]);
	printf("first_token_relayed %.2f ms\n", relayed[FIRST_TOKENS / 2]);
	printf("first_token_added %.2f ms\n",
	       relayed[FIRST_TOKENS / 2] - direct[FIRST_TOKENS / 2]);
}

static void bench(void **state)
{
	const struct fleet_options options = {
		.n_instances = 1,
		.n_zones = 1,
		.n_engines = ENGINES,
		.n_organisations = 1,
		.config = "[[organisation]]\nname = \"bench\"\n"
			  "key = \"key-bench\"\nmax_running = 100000\n",
		.slots = STREAMS,
		.engine_args = { "--token-ms=20", "--slots=1500" },
	};
	struct harness *h = harness_new();
	struct fleet *f = harness_fleet(h, &options);
	double relay;
	double copy;

	(void)state;
	measure_first_token(f);
	relay = measure_entry(f);
	harness_run(h, 6000); /* the engines drop streams without a reader */
	copy = measure_copy_loop(f);
	printf("relay_cost_against_copy %.2f ratio\n", relay / copy);
	fleet_free(f);
	harness_free(h);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bench),
	};

	setvbuf(stdout, NULL, _IOLBF, 0);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
