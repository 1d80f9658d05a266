/*
 * Endpoints that write answers without a length or chunks, one of which ends as
 * its case says; and the callers of these answers.
 */
#include "regress/leaving_endpoint.h"

#include <netinet/in.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/bytes.h"
#include "lib/http1_client.h"
#include "lib/xalloc.h"
#include "regress/platform_standin.h"

#define REPEATS "repeat_window_s = 0.1\nrepeat_ratio = 10\nrepeat_slack = 100\n"
#define HEALTHY \
	"HTTP/1.1 200 OK\r\ninstance-id: %s\r\ncontent-length: 0\r\n\r\n"
#define STREAM_TYPE "content-type: text/event-stream\r\n"
#define BORN_MS 1 /* of all endpoints, and one more after a restart */
#define SLOTS 64 /* of each; all requests of a case fit */
#define OTHERS 2 /* endpoints that answer what the leaving one has lost */
#define CONNECT_MS 1000
#define CLOSE_MS 50 /* for handles to be closed */
#define APART_MS \
	40 /* between a part of an answer and the end of its endpoint */
/* Requests to the instance one after the other: the second one is read after all
 * that the endpoint had written before the first. */
#define ROUND_TRIPS 2

/* A route.  Their time limits leave time for a silence and for changes of entries
 * to be read. */
struct leaving_route {
	const char *name;
	const char *type;
	const char *service;
	unsigned int attempts;
	bool resumable;
	bool is_standin; /* in the stand-in's configuration */
};

struct endpoint_process {
	char id[32];
	const char *service;
	const char *address;
	uv_tcp_t *listener; /* NULL once it has ended */
	bool leaves; /* answers when the case says so */
	unsigned int born_ms;
	struct endpoint_process *next;
};

struct endpoint_conn {
	uv_tcp_t tcp;
	struct endpoint_process *endpoint;
	char input[8192]; /* a request fits */
	size_t len;
	bool used; /* has carried a request */
	bool waits; /* carries a request of the case without an answer */
	bool dead; /* its process has ended, it has not */
	char request_id[40];
	unsigned int last_event; /* that its request names */
	size_t written; /* of its answer */
	struct endpoint_conn *next;
};

/* What a caller received. */
struct leaving_reply {
	int status;
	struct bytes body;
	enum http1_outcome outcome;
	bool over;
};

static const struct leaving_route routes[] = {
	{ "write", "streaming", "engine", 5, true, true },
	{ "once", "streaming", "engine", 5, false, false },
	{ "single", "streaming", "engine", 1, true, false },
	{ "find", "idempotent", "plain", 2, false, false },
	{ "glance", "idempotent", "plain", 1, false, false },
	{ "pay", "non_idempotent", "plain", 1, false, false },
	{ "seek", "idempotent", "engine", 2, false, false },
	{ "order", "non_idempotent", "engine", 1, false, false },
};
#define N_ROUTES (sizeof(routes) / sizeof(routes[0]))

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;
static struct http1_client *client;
static struct endpoint_process *endpoints;
static struct endpoint_conn *conns; /* freed at the end */
static unsigned int n_endpoints; /* names them */
static unsigned int n_requests; /* names them */

static const struct leaving_case *current;
static const struct leaving_route *route;
static struct endpoint_process *leaver;
static struct leaving_reply replies[LEAVING_REQUESTS_MAX];
static size_t n_replies;
static size_t n_attempts;
static size_t round_trips_left;
static bool handled; /* the instance has made the round trips */
static bool silent; /* the endpoint that leaves answers nothing */
static bool exits_when_asked; /* as soon as no question waits */

static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	struct endpoint_conn *c = h->data;

	(void)suggested;
	*buf = uv_buf_init(c->input + c->len,
			   (unsigned int)(sizeof(c->input) - 1 - c->len));
}

static void on_listener_closed(uv_handle_t *h)
{
	free(h);
}

static void close_conn(struct endpoint_conn *c)
{
	c->waits = false;
	if (!uv_is_closing((uv_handle_t *)&c->tcp))
		uv_close((uv_handle_t *)&c->tcp, NULL);
}

static void stop_listening(struct endpoint_process *e)
{
	if (e->listener)
		uv_close((uv_handle_t *)e->listener, on_listener_closed);
	e->listener = NULL;
}

/* Ends an endpoint: as the kernel does for a process, its listener and all its
 * connections are closed in order. */
static void end_endpoint(struct endpoint_process *e)
{
	struct endpoint_conn *c;

	stop_listening(e);
	for (c = conns; c; c = c->next)
		if (c->endpoint == e)
			close_conn(c);
}

static bool is_stream(void)
{
	return !strcmp(route->type, "streaming");
}

static void write_text(struct endpoint_conn *c, const char *text)
{
	uv_buf_t buf = uv_buf_init((char *)text, (unsigned int)strlen(text));

	if (!uv_is_closing((uv_handle_t *)&c->tcp))
		uv_try_write((uv_stream_t *)&c->tcp, &buf, 1);
}

/* Returns the body of an answer from after the given event on, allocated. */
static char *whole_body(unsigned int last_event)
{
	struct bytes b = { 0 };
	unsigned int i;

	for (i = last_event + 1; i <= LEAVING_EVENTS; i++)
		bytes_addf(&b, "id: %u\ndata: %u\n\n", i, i);
	bytes_add(&b, "", 1);
	if (is_stream())
		return b.data;
	bytes_release(&b);
	return xasprintf("whole");
}

/* Writes what is not written yet of the head and the body of an answer, or of a part
 * of it. */
static void write_answer(struct endpoint_conn *c, bool part)
{
	char *body = whole_body(c->last_event);
	const char *event = strstr(body, "\n\n");
	int len = (int)strlen(body);
	char *text;

	if (part)
		len = event ? (int)(event + 2 - body) : len / 2;
	text = xasprintf("HTTP/1.1 200 OK\r\nrequest-id: %s\r\n"
			 "response-signature: m.1\r\n%s%s\r\n%.*s",
			 c->request_id, is_stream() ? STREAM_TYPE : "",
			 c->endpoint->leaves &&
					 current->notice == NOTICE_ANSWERS
				 ? "server-leaving: 1\r\n"
				 : "",
			 len, body);
	if (strlen(text) > c->written)
		write_text(c, text + c->written);
	c->written = strlen(text);
	free(text);
	free(body);
}

/* Writes all answers of the endpoint that leaves, or a part of each. */
static void write_answers(bool part)
{
	struct endpoint_conn *c;

	for (c = conns; c; c = c->next)
		if (c->endpoint == leaver && c->waits)
			write_answer(c, part);
}

/* Closes the connections of all answers of the endpoint that leaves. */
static void close_waiting(void)
{
	struct endpoint_conn *c;

	for (c = conns; c; c = c->next)
		if (c->endpoint == leaver && c->waits)
			close_conn(c);
}

/* Writes and closes all answers of the endpoint that leaves. */
static void close_answers(void)
{
	write_answers(false);
	close_waiting();
}

/* Writes and closes n answers of the endpoint that leaves. */
static void close_some_answers(size_t n)
{
	struct endpoint_conn *c;

	for (c = conns; c && n; c = c->next)
		if (c->endpoint == leaver && c->waits) {
			write_answer(c, false);
			close_conn(c);
			n--;
		}
}

/* Returns whether a connection has arrived at the endpoint that leaves on which it
 * has answered nothing. */
static bool is_asked(void)
{
	const struct endpoint_conn *c;
	struct pollfd p = { .events = POLLIN };

	uv_fileno((uv_handle_t *)leaver->listener, &p.fd);
	if (poll(&p, 1, 0) > 0)
		return true;
	for (c = conns; c; c = c->next)
		if (c->endpoint == leaver && !c->used &&
		    !uv_is_closing((const uv_handle_t *)&c->tcp))
			return true;
	return false;
}

/* Ends the endpoint that leaves if it is to and has answered all questions. */
static void exit_when_asked(void)
{
	if (!exits_when_asked || is_asked())
		return;
	exits_when_asked = false;
	end_endpoint(leaver);
}

/* Answers a request that is none of the case. */
static void answer_other(struct endpoint_conn *c)
{
	char *body;
	char *text;

	c->used = true;
	if (memcmp(c->input, "GET /report ", 12) != 0) {
		text = xasprintf(HEALTHY, c->endpoint->id);
		write_text(c, text);
		free(text);
		return;
	}
	body = xasprintf("{\"models\":[{\"name\":\"m\"}],\"born\":%u}",
			 c->endpoint->born_ms);
	text = xasprintf("HTTP/1.1 200 OK\r\ncontent-length: %zu\r\n\r\n%s",
			 strlen(body), body);
	write_text(c, text);
	free(text);
	free(body);
}

/* Returns the value of a header of a request in a connection's input, "" if it
 * has none.  It ends with its line. */
static const char *header(const struct endpoint_conn *c, const char *name)
{
	const char *at = strcasestr(c->input, name);

	return at ? at + strlen(name) : "";
}

/* Returns whether a connection's input holds a whole request. */
static bool has_request(const struct endpoint_conn *c)
{
	const char *end = strstr(c->input, "\r\n\r\n");

	return end && (size_t)(end + 4 - c->input) +
				      strtoul(header(c, "\r\ncontent-length: "),
					      NULL, 10) <=
			      c->len;
}

/* Handles a request that has arrived whole, or leaves it in the input of an
 * endpoint that is silent. */
static void handle_request(struct endpoint_conn *c)
{
	char *start = xasprintf("POST %s ", current->target);
	bool of_case = !strncmp(c->input, start, strlen(start));

	free(start);
	if (c->dead || (!of_case && silent && c->endpoint == leaver))
		return;
	c->used = true;
	c->len = 0;
	if (!of_case) {
		answer_other(c);
		return;
	}
	n_attempts++;
	c->waits = true;
	sscanf(header(c, "\r\nrequest-id: "), "%39[^\r]", c->request_id);
	c->last_event = (unsigned int)strtoul(header(c, "\r\nlast-event-id: "),
					      NULL, 10);
	if (c->endpoint == leaver)
		return;
	write_answer(c, false);
	close_conn(c);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct endpoint_conn *c = stream->data;

	(void)buf;
	if (n < 0) {
		close_conn(c);
	} else {
		c->len += (size_t)n;
		c->input[c->len] = '\0';
		if (has_request(c))
			handle_request(c);
	}
	exit_when_asked();
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct endpoint_conn *c = xcalloc(1, sizeof(*c));

	assert_int_equal(status, 0);
	c->tcp.data = c;
	c->endpoint = listener->data;
	c->next = conns;
	conns = c;
	uv_tcp_init(listener->loop, &c->tcp);
	uv_accept(listener, (uv_stream_t *)&c->tcp);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

/* Writes the entry of an endpoint in a state. */
static void put_entry(const struct endpoint_process *e, const char *state)
{
	char *entry = xasprintf("{\"backend\":\"%s\",\"address\":\"%s\","
				"\"zone\":\"z1\",\"version\":\"v1\","
				"\"slots\":%d,\"state\":\"%s\",\"born\":%d}",
				e->service, e->address, SLOTS, state, BORN_MS);

	standin_put(world, "servers", e->id, entry);
	free(entry);
}

/* Returns whether the instance has read all rows of the endpoints. */
static bool has_read_entries(void *arg)
{
	size_t i;

	for (i = 0; i < STANDIN_PENDING_FEEDS_MAX; i++)
		if (world->pending_feeds[i] &&
		    !strcmp(world->pending_table[i], "servers") &&
		    world->pending_after[i] >= *(const json_int_t *)arg)
			return true;
	return false;
}

/* Returns whether a connection to the endpoint that leaves stands on which it has
 * answered a request. */
static bool is_watched(void *arg)
{
	const struct endpoint_conn *c;

	(void)arg;
	for (c = conns; c; c = c->next)
		if (c->endpoint == leaver && c->used && !c->waits &&
		    !uv_is_closing((const uv_handle_t *)&c->tcp))
			return true;
	return false;
}

static void wait_for_entries(void)
{
	json_int_t version = world->version;

	harness_until(harness, has_read_entries, &version,
		      "the instance has read the entries");
}

/* Starts an endpoint of the service of the case's route. */
static struct endpoint_process *add_endpoint(bool leaves)
{
	struct endpoint_process *e = xcalloc(1, sizeof(*e));

	snprintf(e->id, sizeof(e->id), "i-leaving-%u", n_endpoints++);
	e->service = route->service;
	e->address = harness_address(harness);
	e->leaves = leaves;
	e->born_ms = BORN_MS;
	e->next = endpoints;
	endpoints = e;
	e->listener = xcalloc(1, sizeof(*e->listener));
	harness_listen(harness, e->listener, e->address, on_connection, e);
	put_entry(e, "ready");
	return e;
}

/* Writes the routes that the stand-in's configuration lacks. */
static void put_configuration(void)
{
	struct bytes b = { 0 };
	size_t i;

	for (i = 0; i < N_ROUTES; i++)
		if (!routes[i].is_standin)
			bytes_addf(&b,
				   "%s{\"name\":\"%s\",\"hostname\":"
				   "\"127.0.0.1\",\"pathPrefix\":\"/%s/\","
				   "\"routeType\":\"%s\",\"timeoutMs\":20000,"
				   "\"targetLatencyMs\":4500,"
				   "\"targetGapMs\":700,\"backend\":\"%s\","
				   "\"maxAttempts\":%u,\"resumable\":%s}",
				   b.len ? "," : "", routes[i].name,
				   routes[i].name, routes[i].type,
				   routes[i].service, routes[i].attempts,
				   routes[i].resumable ? "true" : "false");
	bytes_add(&b, "", 1);
	standin_put_configuration(world, 2, b.data);
	bytes_release(&b);
}

/* Starts the endpoint that leaves, the only one of its service, and an
 * instance. */
static void start(void)
{
	conns = NULL;
	endpoints = NULL;
	silent = false;
	exits_when_asked = false;
	n_attempts = 0;
	harness = harness_new();
	world = standin_new(harness);
	world->extra_settings = REPEATS;
	put_configuration();
	leaver = add_endpoint(true);
	standin_init_instance(world, &one, "one", NULL);
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
	client = http1_client_new(harness_loop(harness));
}

/* Ends the instance and all endpoints. */
static void stop(void)
{
	struct endpoint_process *e;
	struct endpoint_conn *c;

	proc_kill(one.proc);
	http1_client_free(client);
	for (e = endpoints; e; e = e->next)
		end_endpoint(e);
	harness_run(harness, CLOSE_MS);
	while ((c = conns)) {
		conns = c->next;
		free(c);
	}
	while ((e = endpoints)) {
		endpoints = e->next;
		free(e);
	}
	standin_free(world);
	harness_free(harness);
}

static enum http1_head_decision on_reply_head(void *arg,
					      const struct http1_head *head)
{
	((struct leaving_reply *)arg)->status = head->status;
	return HTTP1_ACCEPT;
}

static void on_reply_body(void *arg, const char *data, size_t len)
{
	bytes_add(&((struct leaving_reply *)arg)->body, data, len);
}

static void on_reply_end(void *arg, enum http1_outcome outcome)
{
	struct leaving_reply *r = arg;

	r->outcome = outcome;
	r->over = true;
}

/* Sends a request, whose content is no other's. */
static void call(const char *target, struct leaving_reply *reply)
{
	static const struct http1_call_ops ops = {
		.on_head = on_reply_head,
		.on_body = on_reply_body,
		.on_end = on_reply_end,
	};
	const struct http1_call_options options = {
		.address = one.callers,
		.connect_timeout_ms = CONNECT_MS,
	};
	char *content = xasprintf("content %u", n_requests);
	struct bytes b = { 0 };

	bytes_addf(&b,
		   "POST %s HTTP/1.1\r\nhost: 127.0.0.1\r\n"
		   "request-id: r-%u\r\ncredential: k1\r\n"
		   "deadline-ms: 15000\r\ncontent-length: %zu\r\n",
		   target, n_requests++, strlen(content));
	if (current->last_event)
		bytes_addf(&b, "last-event-id: %u\r\n", current->last_event);
	bytes_addf(&b, "\r\n%s", content);
	*reply = (struct leaving_reply){ 0 };
	http1_call_start(client, &options, b.data, b.len, &ops, reply);
	free(content);
}

static void on_round_trip(void *arg, enum http1_outcome outcome);

/* Has the instance answer a request of the test, which it does after it has
 * handled what had arrived before. */
static void start_round_trip(void)
{
	static const struct http1_call_ops ops = { .on_end = on_round_trip };
	const struct http1_call_options options = {
		.address = one.readiness,
		.connect_timeout_ms = CONNECT_MS,
	};
	char *request =
		xasprintf("GET /readyz HTTP/1.1\r\nhost: 127.0.0.1\r\n\r\n");

	http1_call_start(client, &options, request, strlen(request), &ops,
			 NULL);
}

static void on_round_trip(void *arg, enum http1_outcome outcome)
{
	(void)arg;
	assert_int_equal(outcome, HTTP1_COMPLETE);
	if (--round_trips_left) {
		start_round_trip();
		return;
	}
	handled = true;
	exits_when_asked = current->exit == EXIT_WHEN_ASKED && !silent;
	exit_when_asked();
}

static void start_round_trips(void)
{
	handled = false;
	round_trips_left = ROUND_TRIPS;
	start_round_trip();
}

static bool is_handled(void *arg)
{
	(void)arg;
	return handled;
}

static bool have_arrived(void *arg)
{
	const struct endpoint_conn *c;
	size_t n = 0;

	(void)arg;
	for (c = conns; c; c = c->next)
		n += c->endpoint == leaver && c->waits;
	return n == n_replies;
}

static bool has_exited(void *arg)
{
	(void)arg;
	return !leaver->listener;
}

static bool is_over(void *arg)
{
	return ((struct leaving_reply *)arg)->over;
}

static bool are_over(void *arg)
{
	size_t i;

	(void)arg;
	for (i = 0; i < n_replies; i++)
		if (!replies[i].over)
			return false;
	return true;
}

/* Has the endpoint answer what has arrived while it was silent.  Returns how many
 * requests these were. */
static size_t end_silence(void)
{
	struct endpoint_conn *c;
	size_t n = 0;

	silent = false;
	for (c = conns; c; c = c->next)
		if (c->endpoint == leaver && c->len && has_request(c) &&
		    !uv_is_closing((uv_handle_t *)&c->tcp)) {
			handle_request(c);
			n++;
		}
	return n;
}

/* Has the endpoint be silent for the time of the case, and then answer what has
 * arrived. */
static void be_silent(void)
{
	silent = true;
	harness_run(harness, current->silent_ms);
	end_silence();
}

/* Has the endpoint close its answers in the parts of the case, without the last
 * ones, and then answer the questions that have arrived meanwhile.  Returns how many
 * these were. */
static size_t close_in_parts(unsigned int without)
{
	size_t left = n_replies;
	unsigned int part;

	silent = true;
	for (part = current->parts; part > without; part--) {
		close_some_answers(left / part);
		left -= left / part;
		start_round_trips();
		harness_until(harness, is_handled, NULL,
			      "the instance has handled the part");
	}
	return end_silence();
}

/* Has the endpoint begin its answers, and close its other connections. */
static void begin_answers(void)
{
	struct endpoint_conn *c;

	write_answers(true);
	for (c = conns; c; c = c->next)
		if (c->endpoint == leaver && !c->waits)
			close_conn(c);
	start_round_trips();
	harness_until(harness, is_handled, NULL,
		      "the instance has read what has begun");
}

/* Tells the instance that the endpoint leaves, unless its answers will. */
static void give_notice(void)
{
	if (current->notice == NOTICE_ENTRY)
		put_entry(leaver, "draining");
	else if (current->notice == NOTICE_REMOVED)
		standin_remove(world, "servers", leaver->id);
	wait_for_entries();
}

/* Runs the loop until the endpoint is to exit, and sleeps meanwhile, as else the
 * instance may wait for the processor.  A timer may be a millisecond early.
 * Returns the time that has passed, ms. */
static double hold_exit(void)
{
	uint64_t start = uv_hrtime();
	uint64_t end = start + current->exit_ms * UINT64_C(1000000);

	while (uv_hrtime() < end)
		harness_run(harness, 1);
	return (double)(uv_hrtime() - start) / 1e6;
}

/* Kills the endpoint and starts it again, unseen; then ends the connections of the
 * earlier process one after the other, those of its answers first. */
static void restart_apart(void)
{
	struct endpoint_conn *c;
	int waits;

	for (c = conns; c; c = c->next)
		c->dead = c->endpoint == leaver;
	leaver->born_ms++;
	snprintf(leaver->id, sizeof(leaver->id), "i-again-%u", n_endpoints++);
	for (waits = 1; waits >= 0; waits--)
		for (c = conns; c; c = c->next)
			if (c->dead && c->waits == waits) {
				if (c->waits)
					write_answer(c, true);
				close_conn(c);
				c->dead = false;
				harness_run(harness, current->exit_ms);
			}
}

/* Has the endpoint write a part of each answer, which the instance reads. */
static void write_parts(void)
{
	write_answers(true);
	start_round_trips();
	harness_until(harness, is_handled, NULL,
		      "the instance has read the parts");
}

/* Has the endpoint write its answers and end as the case says. */
static void leave(struct leaving_result *result)
{
	switch (current->exit) {
	case EXIT_NEVER:
		if (current->parts)
			result->questions += close_in_parts(0);
		else
			close_answers();
		return;
	case EXIT_AT_ONCE:
		close_answers();
		break;
	case EXIT_WHEN_ASKED:
		if (current->parts) {
			result->questions += close_in_parts(0);
			exits_when_asked = true;
			exit_when_asked();
		} else {
			close_answers();
			start_round_trips();
		}
		harness_until(harness, has_exited, NULL, "the endpoint exits");
		return;
	case EXIT_REFUSES:
		stop_listening(leaver);
		close_answers();
		harness_until(harness, are_over, NULL, "the answers end");
		break;
	case EXIT_LATER:
		close_answers();
		result->held_ms += hold_exit();
		break;
	case EXIT_KILLED:
		write_parts();
		harness_run(harness, APART_MS);
		break;
	case EXIT_KILLED_WRITING:
		if (current->parts)
			result->questions += close_in_parts(1);
		write_answers(true);
		break;
	case EXIT_SILENT:
	case EXIT_KILLED_APART:
		silent = true;
		if (current->exit == EXIT_SILENT)
			close_answers();
		else
			close_waiting();
		harness_run(harness, current->exit_ms);
		break;
	case EXIT_KILLED_SILENT:
		silent = true;
		write_parts();
		stop_listening(leaver);
		close_waiting();
		harness_until(harness, are_over, NULL, "the answers end");
		break;
	case EXIT_RESTARTED_APART:
		write_parts();
		restart_apart();
		harness_until(harness, are_over, NULL, "the answers end");
		break;
	case EXIT_RESTARTED_HELD:
		restart_apart();
		harness_until(harness, are_over, NULL, "the answers end");
		break;
	}
	end_endpoint(leaver);
}

/* Returns how the answer of a caller ended. */
static enum leaving_end end_of(struct leaving_reply *r)
{
	char *body = whole_body(current->last_event);
	bool whole;

	bytes_add(&r->body, "", 1);
	whole = !strcmp(r->body.data, body);
	free(body);
	if (r->outcome != HTTP1_COMPLETE)
		return END_BROKEN;
	if (r->status == 502)
		return END_LOST;
	if (r->status != 200)
		return END_REFUSED;
	return whole ? END_WHOLE : END_FALSE;
}

static void set_route(const char *target)
{
	size_t i;

	route = NULL;
	for (i = 0; i < N_ROUTES; i++)
		if (!strncmp(target + 1, routes[i].name,
			     strcspn(target + 1, "/")))
			route = &routes[i];
	assert_non_null(route);
}

/* Has the endpoint answer another request on the route of the case. */
static void call_beside(void)
{
	struct leaving_reply reply;
	char *target = xasprintf("%s-beside", current->target);

	call(target, &reply);
	harness_until(harness, is_over, &reply, "the other answer ends");
	assert_true(is_watched(NULL));
	bytes_release(&reply.body);
	free(target);
}

/* Plays a case with a new instance: its requests arrive at the only endpoint,
 * others are started, and that one leaves.  Adds how the answers ended to the result. */
void leaving_play(const struct leaving_case *c, struct leaving_result *result)
{
	size_t i;

	current = c;
	set_route(c->target);
	n_replies = c->n ? c->n : 1;
	assert_true(n_replies <= LEAVING_REQUESTS_MAX);
	start();
	for (i = 0; i < n_replies; i++)
		call(c->target, &replies[i]);
	harness_until(harness, have_arrived, NULL, "the requests arrive");
	if (c->beside)
		call_beside();
	if (c->silent_ms)
		be_silent();
	if (c->begun)
		begin_answers();
	for (i = 0; i < OTHERS; i++)
		add_endpoint(false);
	give_notice();
	if (c->awaits_watch)
		harness_until(harness, is_watched, NULL,
			      "a connection to the endpoint stands");
	if (c->watch_ms)
		harness_run(harness, c->watch_ms);
	leave(result);
	harness_until(harness, are_over, NULL, "the answers end");
	for (i = 0; i < n_replies; i++) {
		result->ends[end_of(&replies[i])]++;
		bytes_release(&replies[i].body);
	}
	result->attempts += n_attempts;
	stop();
}

/* Plays the case that is the test's state. */
static void run_case(void **state)
{
	const struct leaving_case *c = *state;
	struct leaving_result result = { .attempts = 0 };
	unsigned int end;

	leaving_play(c, &result);
	print_message("%s:", c->what);
	for (end = 0; end < LEAVING_ENDS; end++)
		if (result.ends[end])
			print_message(" %zu %s,", result.ends[end],
				      leaving_end_name(end));
	print_message(" %zu attempts, %zu questions\n", result.attempts,
		      result.questions);
	for (end = 0; end < LEAVING_ENDS; end++)
		if (!(c->allowed & (1U << end)))
			assert_int_equal(result.ends[end], 0);
	assert_true(
		result.questions <=
		(c->questions_max ? c->questions_max : LEAVING_QUESTIONS_MAX));
}

/* Runs a test program of n cases; returns its exit status. */
int leaving_run_cases(const char *name, const struct leaving_case *cases,
		      size_t n)
{
	struct CMUnitTest *tests = xcalloc(n, sizeof(*tests));
	size_t i;
	int failed;

	for (i = 0; i < n; i++)
		tests[i] = (struct CMUnitTest){
			.name = cases[i].what,
			.test_func = run_case,
			.initial_state = (void *)&cases[i],
		};
	failed = _cmocka_run_group_tests(name, tests, n, NULL, NULL);
	free(tests);
	return failed;
}

const char *leaving_end_name(enum leaving_end end)
{
	static const char *const names[] = {
		[END_WHOLE] = "whole", [END_BROKEN] = "broken",
		[END_LOST] = "lost",   [END_REFUSED] = "refused",
		[END_FALSE] = "false",
	};

	return names[end];
}
