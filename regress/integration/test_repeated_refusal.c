/* A faulty worker writes an earlier refusal once more on a kept connection, as
 * the first answer to the next request there, and runs that request.  The
 * refusal must not be taken for the request's own answer. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/bytes.h"
#include "lib/xalloc.h"
#include "regress/platform_standin.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define RUN_MS 100 /* from the repeated refusal to the run's own answer */
#define ID_BYTES 32

/* A worker with one answer in progress on each connection. */
struct faulty_worker {
	uv_tcp_t listener;
	const char *address;
	const char *service;
	const struct refusal *refusal;
	bool refuses; /* the next request is refused */
	unsigned int runs;
	unsigned int repeated; /* refusals written once more */
};

/* How a worker refuses. */
struct refusal {
	const char *name;
	const char *status;
	bool with_id;
	bool same_id; /* the caller comes back with the same id */
};

struct connection {
	uv_tcp_t tcp;
	uv_timer_t timer;
	struct faulty_worker *worker;
	struct bytes in;
	char refused_id[ID_BYTES]; /* of the refused request; empty: none */
	char id[ID_BYTES]; /* of the current request */
	unsigned int open_handles;
	char buffer[4096];
};

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;
static struct faulty_worker plain;
static struct faulty_worker engine;

static void on_closed(uv_handle_t *h)
{
	struct connection *c = h->data;

	if (--c->open_handles)
		return;
	bytes_release(&c->in);
	free(c);
}

static void close_connection(struct connection *c)
{
	if (uv_is_closing((uv_handle_t *)&c->tcp))
		return;
	uv_close((uv_handle_t *)&c->tcp, on_closed);
	uv_close((uv_handle_t *)&c->timer, on_closed);
}

/* Writes a text; all answers fit the socket's buffer. */
static void write_text(struct connection *c, const char *text)
{
	uv_buf_t buf = uv_buf_init((char *)text, (unsigned int)strlen(text));

	uv_try_write((uv_stream_t *)&c->tcp, &buf, 1);
}

static void write_refusal(struct connection *c, const char *id)
{
	const struct refusal *r = c->worker->refusal;
	char text[256];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 %s\r\nnot-executed: 1\r\n%s%s%s"
		 "content-length: 0\r\n\r\n",
		 r->status, r->with_id ? "request-id: " : "",
		 r->with_id ? id : "", r->with_id ? "\r\n" : "");
	write_text(c, text);
}

/* Writes the answer of a run that has completed. */
static void on_run_ends(uv_timer_t *timer)
{
	static const char events[] = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
	struct connection *c = timer->data;
	bool stream = !strcmp(c->worker->service, "engine");
	const char *body = stream ? events : "it ran";
	char text[512];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nresponse-signature: m.1\r\n"
		 "request-id: %s\r\ncontent-type: %s\r\n"
		 "content-length: %zu\r\n\r\n%s",
		 c->id, stream ? "text/event-stream" : "text/plain",
		 strlen(body), body);
	write_text(c, text);
}

/* Handles a request: refuses or runs it. */
static void handle_request(struct connection *c)
{
	static const char name[] = "\r\nrequest-id: ";
	const char *id = strcasestr(c->in.data, name);

	if (!id) { /* a call of the instance itself */
		write_text(c, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
		return;
	}
	id += strlen(name);
	snprintf(c->id, sizeof(c->id), "%.*s", (int)strcspn(id, "\r"), id);
	if (c->worker->refuses) {
		c->worker->refuses = false;
		memcpy(c->refused_id, c->id, sizeof(c->refused_id));
		write_refusal(c, c->id);
		return;
	}
	c->worker->runs++;
	if (c->refused_id[0]) {
		c->worker->repeated++;
		write_refusal(c, c->refused_id);
	}
	uv_timer_start(&c->timer, on_run_ends, RUN_MS, 0);
}

static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	struct connection *c = h->data;

	(void)suggested;
	*buf = uv_buf_init(c->buffer, sizeof(c->buffer));
}

/* Collects a request, which has one byte of body or none. */
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct connection *c = stream->data;
	const char *end;

	if (n < 0) {
		close_connection(c);
		return;
	}
	bytes_add(&c->in, buf->base, (size_t)n);
	bytes_add(&c->in, "", 1);
	end = strstr(c->in.data, "\r\n\r\n");
	if (end && (end[4] || !strcasestr(c->in.data, "content-length: 1"))) {
		handle_request(c);
		c->in.len = 0;
		return;
	}
	c->in.len--;
}

static void on_connection(uv_stream_t *stream, int status)
{
	struct connection *c = xcalloc(1, sizeof(*c));

	assert_int_equal(status, 0);
	c->worker = stream->data;
	uv_tcp_init(stream->loop, &c->tcp);
	uv_timer_init(stream->loop, &c->timer);
	c->open_handles = 2;
	c->tcp.data = c;
	c->timer.data = c;
	assert_int_equal(uv_accept(stream, (uv_stream_t *)&c->tcp), 0);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

/* Starts a worker and writes its entry. */
static void start_worker(struct faulty_worker *w, const char *service)
{
	char *entry;

	*w = (struct faulty_worker){ .service = service };
	w->address = harness_address(harness);
	harness_listen(harness, &w->listener, w->address, on_connection, w);
	entry = xasprintf("{\"backend\":\"%s\",\"address\":\"%s\","
			  "\"zone\":\"z1\",\"slots\":16,\"state\":\"ready\","
			  "\"born\":1000}",
			  service, w->address);
	standin_put(world, "servers", service, entry);
	free(entry);
}

static int set_up(void **state)
{
	(void)state;
	harness = harness_new();
	world = standin_new(harness);
	standin_init_instance(world, &one, "one", NULL);
	start_worker(&plain, "plain");
	start_worker(&engine, "engine");
	standin_put_configuration(world, 2, NULL);
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	proc_kill(one.proc);
	harness_run(harness, 20);
	uv_close((uv_handle_t *)&plain.listener, NULL);
	uv_close((uv_handle_t *)&engine.listener, NULL);
	standin_free(world);
	harness_free(harness);
	return 0;
}

/* Sends a request with an id; fills in its answer. */
static void call(const char *path, const char *id, struct answer *a)
{
	const struct httpc_header headers[] = {
		{ "credential", "k1" },	      { "request-id", id },
		{ "deadline-ms", "900" },     { "token-usage", "10,10" },
		{ "prompt-prefix", "7a:10" },
	};
	const struct httpc_request r = {
		.method = "POST",
		.address = one.callers,
		.path = path,
		.headers = headers,
		.n_headers = N(headers),
		.body = "x",
		.body_len = 1,
	};

	harness_request(harness, &r, a);
}

static const struct refusal refusals[] = {
	{ "503", "503 Full", true, false },
	{ "503, same id", "503 Full", true, true },
	{ "503 without id", "503 Full", false, false },
	{ "503 without id, same id", "503 Full", false, true },
	{ "429, same id", "429 Slow down", true, true },
	{ "429 without id", "429 Slow down", false, false },
	{ "408, same id", "408 Timeout", true, true },
	{ "408 without id", "408 Timeout", false, false },
	{ "400, same id", "400 Bad", true, true },
	{ "400 without id", "400 Bad", false, false },
};

/* Returns whether a call is answered by its own run, which is the only one. */
static bool served_by_own_run(struct faulty_worker *w, const char *path,
			      const char *own)
{
	static unsigned int number;
	unsigned int runs;
	char first[ID_BYTES];
	char id[ID_BYTES];
	struct answer a;
	bool ok;

	snprintf(first, sizeof(first), "r-%u", ++number);
	snprintf(id, sizeof(id), "r-%u",
		 w->refusal->same_id ? number : ++number);
	w->refuses = true;
	call(path, first, &a);
	answer_release(&a);
	w->refuses = false;
	runs = w->runs;
	call(path, id, &a);
	ok = a.status == 200 && strstr(a.body, own) && w->runs == runs + 1;
	if (!ok)
		print_error("%s, %s: status %d, %u runs, answer: %s\n", path,
			    w->refusal->name, a.status, w->runs - runs,
			    a.body ? a.body : "");
	answer_release(&a);
	return ok;
}

/* Tries all refusals on a route. */
static void try_refusals(struct faulty_worker *w, const char *path,
			 const char *own)
{
	unsigned int failures = 0;
	size_t i;

	for (i = 0; i < N(refusals); i++) {
		w->refusal = &refusals[i];
		failures += !served_by_own_run(w, path, own);
	}
	assert_int_equal(failures, 0);
}

static void booking_that_runs_is_not_refused(void **state)
{
	(void)state;
	try_refusals(&plain, "/book/a", "it ran");
	assert_true(plain.repeated > 0); /* on a kept connection */
}

static void call_that_runs_is_sent_once(void **state)
{
	(void)state;
	try_refusals(&plain, "/look/a", "it ran");
	assert_true(plain.repeated > 0);
}

static void stream_that_runs_is_not_refused(void **state)
{
	(void)state;
	try_refusals(&engine, "/write/a", "data: e2");
	assert_int_equal(engine.repeated, 0); /* connections are not reused */
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			booking_that_runs_is_not_refused, set_up, tear_down),
		cmocka_unit_test_setup_teardown(call_that_runs_is_sent_once,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(stream_that_runs_is_not_refused,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
