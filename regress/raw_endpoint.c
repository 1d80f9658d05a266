/*
 * Endpoints that answer with given bytes, and a caller of cdmproxyd that tells
 * a reset from an orderly end.
 */
#include "regress/raw_endpoint.h"

#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"

#define REPEATS "repeat_window_s = 0.1\nrepeat_ratio = 10\nrepeat_slack = 100\n"
#define HEALTHY "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
#define REFUSED "HTTP/1.1 503 S\r\ncontent-length: 0\r\n\r\n"
#define BORN_MS 1 /* of the first start, in entries */
/* A stream that may not go on elsewhere. */
#define ROUTE_ONCE                                                      \
	"{\"name\":\"once\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":" \
	"\"/once/\",\"routeType\":\"streaming\",\"timeoutMs\":20000,"   \
	"\"targetLatencyMs\":4500,\"targetGapMs\":700,\"backend\":"     \
	"\"engine\",\"maxAttempts\":5}"
/* Routes with few attempts. */
#define ROUTES_FEW                                                          \
	"{\"name\":\"write-one\",\"hostname\":\"127.0.0.1\","               \
	"\"pathPrefix\":\"/write/one/\",\"routeType\":\"streaming\","       \
	"\"timeoutMs\":20000,\"targetLatencyMs\":4500,\"targetGapMs\":"     \
	"700,\"backend\":\"engine\",\"maxAttempts\":1,\"resumable\":true}," \
	"{\"name\":\"write-two\",\"hostname\":\"127.0.0.1\","               \
	"\"pathPrefix\":\"/write/two/\",\"routeType\":\"streaming\","       \
	"\"timeoutMs\":20000,\"targetLatencyMs\":4500,\"targetGapMs\":"     \
	"700,\"backend\":\"engine\",\"maxAttempts\":2,\"resumable\":true}," \
	"{\"name\":\"look-one\",\"hostname\":\"127.0.0.1\","                \
	"\"pathPrefix\":\"/look/one/\",\"routeType\":\"idempotent\","       \
	"\"timeoutMs\":900,\"targetLatencyMs\":400,\"backend\":"            \
	"\"plain\",\"maxAttempts\":1}"
#define CONNECT_MS 1000
#define CLOSE_MS 50 /* for handles to be closed */
/* Some ticks of the instance, and less than it holds a run. */
#define TICKS_MS 80
#define PAUSE "retry-after: 8\r\n"
#define EARLIER "w-" /* ids of requests that leave kept connections */
#define EARLIER_MAX 200 /* enough that each endpoint gets one */

struct raw_endpoint {
	const char *address;
	uv_tcp_t *listener; /* NULL once it is killed */
	unsigned int born_ms;
	bool silent; /* its connections are */
	/* of RAW_REPORT_LATE, or NULL: waits for a report, and for the answer to
	 * the attempt */
	struct raw_conn *awaits_report;
	struct raw_conn *awaits_answer;
};

struct raw_conn {
	uv_tcp_t tcp;
	size_t endpoint;
	bool kept; /* has carried an earlier request */
	char input[8192]; /* the head of a request fits */
	size_t len;
	struct raw_conn *next;
};

/* What a caller received. */
struct raw_reply {
	int status;
	struct bytes body;
	enum http1_outcome outcome;
	bool over;
};

static struct harness *harness;
static struct standin_world *world;
static struct standin_instance one;
static struct http1_client *client;
static struct raw_endpoint endpoints[RAW_ENDPOINTS];
static struct raw_conn *conns; /* freed at the end of the case */
static const struct raw_case *current;
static const struct raw_way *current_way;
static size_t n_attempts;
static bool first_kept; /* the first attempt came on a kept connection */
static size_t first_endpoint; /* that got the first attempt */
static struct raw_conn *first; /* that the first attempt came on, or NULL */
/* of restarted_while_held and goes_on_while_held: waits, or NULL */
static struct raw_conn *second;

static void on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	struct raw_conn *c = h->data;

	(void)suggested;
	*buf = uv_buf_init(c->input + c->len,
			   (unsigned int)(sizeof(c->input) - c->len));
}

static void listen_at(struct raw_endpoint *e);

static void on_listener_closed(uv_handle_t *h)
{
	free(h);
}

/* Closes the listener of an endpoint. */
static void stop_listening(size_t i)
{
	if (endpoints[i].listener)
		uv_close((uv_handle_t *)endpoints[i].listener,
			 on_listener_closed);
	endpoints[i].listener = NULL;
}

/* Ends an endpoint as if its process were killed. */
static void kill_endpoint(size_t i)
{
	struct raw_conn *c;

	stop_listening(i);
	for (c = conns; c; c = c->next)
		if (c->endpoint == i && !uv_is_closing((uv_handle_t *)&c->tcp))
			uv_close((uv_handle_t *)&c->tcp, NULL);
}

/* Starts an endpoint again that was killed. */
static void restart_endpoint(size_t i)
{
	endpoints[i].born_ms++;
	endpoints[i].awaits_report = NULL;
	listen_at(&endpoints[i]);
}

/* Writes the entry of an endpoint. */
static void put_entry(size_t i)
{
	bool stream = !strncmp(current->target, "/write/", 7) ||
		      !strncmp(current->target, "/once/", 6);
	char id[16];
	char *entry = xasprintf(
		"{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\","
		"\"version\":\"v1\",\"slots\":16,\"state\":\"ready\","
		"\"born\":%u}",
		stream ? "engine" : "plain", endpoints[i].address,
		endpoints[i].born_ms);

	snprintf(id, sizeof(id), "i-raw-%zu", i);
	standin_put(world, "servers", id, entry);
	free(entry);
}

/* Ends the answers of a connection in order, which stays open. */
static void close_sending_side(struct raw_conn *c)
{
	uv_os_fd_t fd;

	assert_int_equal(uv_fileno((uv_handle_t *)&c->tcp, &fd), 0);
	assert_int_equal(shutdown(fd, SHUT_WR), 0);
}

/* Sends an answer and ends the connection as it says. */
static void answer(struct raw_conn *c, const struct raw_answer *a)
{
	uv_buf_t buf =
		uv_buf_init((char *)a->bytes, (unsigned int)strlen(a->bytes));

	if (a->end == RAW_RESTARTED_UNSEEN)
		proc_signal(one.proc, SIGSTOP);
	if (buf.len)
		uv_try_write((uv_stream_t *)&c->tcp, &buf, 1);
	if (a->end == RAW_REFUSES || a->end == RAW_REFUSES_AND_RESETS ||
	    a->end == RAW_KILLED_SILENT)
		stop_listening(c->endpoint);
	if (a->end == RAW_KILLED_SILENT)
		endpoints[c->endpoint].silent = true;
	if (a->end == RAW_FIN || a->end == RAW_KILLED_SILENT)
		uv_close((uv_handle_t *)&c->tcp, NULL);
	else if (a->end == RAW_HALF)
		close_sending_side(c);
	else if (a->end == RAW_RESET || a->end == RAW_REFUSES_AND_RESETS)
		uv_tcp_close_reset(&c->tcp, NULL);
	else if (a->end != RAW_KEEP && a->end != RAW_REFUSES)
		kill_endpoint(c->endpoint);
	if (a->end == RAW_RESTARTED || a->end == RAW_RESTARTED_UNSEEN)
		restart_endpoint(c->endpoint);
	if (a->end == RAW_RESTARTED_UNSEEN) {
		put_entry(c->endpoint);
		proc_signal(one.proc, SIGCONT);
	}
}

static void answer_report(struct raw_conn *c);

/* Answers for the report that was asked for last, as the instance has read the
 * answer before it. */
static void on_round_trip(void *arg, enum http1_outcome outcome)
{
	struct raw_endpoint *e = arg;
	struct raw_conn *waits = e->awaits_report;

	assert_int_equal(outcome, HTTP1_COMPLETE);
	e->awaits_report = NULL;
	if (waits)
		answer_report(waits);
}

/* Has the instance answer a request of the test, which it does after it has read
 * what had arrived before. */
static void start_round_trip(struct raw_endpoint *e)
{
	static const struct http1_call_ops ops = { .on_end = on_round_trip };
	const struct http1_call_options options = {
		.address = one.readiness,
		.connect_timeout_ms = CONNECT_MS,
	};
	char *request =
		xasprintf("GET /readyz HTTP/1.1\r\nhost: 127.0.0.1\r\n\r\n");

	http1_call_start(client, &options, request, strlen(request), &ops, e);
}

/* Answers for the report of an engine. */
static void answer_report(struct raw_conn *c)
{
	struct raw_endpoint *e = &endpoints[c->endpoint];
	struct raw_conn *waits = e->awaits_report;
	char *body = xasprintf("{\"models\":[{\"name\":\"m\"}],\"born\":%u}",
			       endpoints[c->endpoint].born_ms);
	char *bytes = xasprintf("HTTP/1.1 200 OK\r\ncontent-length: %zu\r\n"
				"\r\n%s",
				strlen(body), body);
	char *odd = xasprintf("HTTP/1.1 000 S\r\ncontent-length: %zu\r\n\r\n%s",
			      strlen(bytes), bytes);

	e->awaits_report = NULL;
	if (current_way->goes_on_while_held && second &&
	    c->endpoint == second->endpoint) {
		goto out;
	} else if (current_way->report == RAW_REPORT_LATE && !n_attempts) {
		e->awaits_report = c;
	} else if (waits) {
		answer(waits, &(const struct raw_answer){ bytes, RAW_KEEP });
		e->awaits_report = c;
		start_round_trip(e);
	} else if (current_way->report == RAW_REPORT_WHOLE ||
		   current_way->report == RAW_REPORT_LATE)
		answer(c, &(const struct raw_answer){ bytes, RAW_KEEP });
	else if (current_way->report == RAW_REPORT_REFUSED)
		answer(c, &(const struct raw_answer){ REFUSED, RAW_KEEP });
	else if (current_way->report == RAW_REPORT_ODD)
		answer(c, &(const struct raw_answer){ odd, RAW_KEEP });
out:
	free(odd);
	free(bytes);
	free(body);
}

/* Returns the answer to the next attempt. */
static const struct raw_answer *next_answer(void)
{
	size_t i = n_attempts++;

	while (i && (i >= RAW_ANSWERS_MAX || !current->answers[i].bytes))
		i--;
	return &current->answers[i];
}

/* Answers a request that came before that of the case, or refuses it while that is
 * held; its connection is kept.  Returns false if the request is no such one. */
static bool answer_earlier(struct raw_conn *c)
{
	const char *id = memmem(c->input, c->len, ": " EARLIER, 4);
	bool held = current_way->restarted_while_held;
	unsigned int number;
	char *bytes;

	if (!id || sscanf(id, ": " EARLIER "%u", &number) != 1)
		return false;
	bytes = xasprintf("HTTP/1.1 %s\r\nrequest-id: " EARLIER "%u\r\n"
			  "response-signature: m.1\r\n%s%s"
			  "content-length: 0\r\n\r\n",
			  held ? "503 S" : "200 OK", number,
			  held ? "not-executed: 1\r\n" : "",
			  held && c->endpoint == first_endpoint ? PAUSE : "");
	c->kept = true;
	answer(c, &(const struct raw_answer){ bytes, RAW_KEEP });
	free(bytes);
	return true;
}

/* Answers a request once it has arrived whole; its body is one byte. */
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	static const struct raw_answer healthy = { HEALTHY, RAW_KEEP };
	struct raw_conn *c = stream->data;
	struct raw_endpoint *e = &endpoints[c->endpoint];
	const char *end;
	char *target = xasprintf(" %s ", current->target);

	(void)buf;
	if (n < 0) {
		if (e->awaits_report == c)
			e->awaits_report = NULL;
		if (e->awaits_answer == c)
			e->awaits_answer = NULL;
		uv_close((uv_handle_t *)stream, NULL);
		goto out;
	}
	if (e->silent)
		goto out;
	c->len += (size_t)n;
	end = memmem(c->input, c->len, "\r\n\r\n", 4);
	if (!end)
		goto out;
	if (!memmem(c->input, (size_t)(end - c->input), target,
		    strlen(target))) {
		c->len = 0;
		if (!memcmp(c->input, "GET /report ", 12))
			answer_report(c);
		else
			answer(c, &healthy);
	} else if (memcmp(c->input, "POST", 4) != 0 ||
		   end + 4 < c->input + c->len) {
		if (!answer_earlier(c)) {
			first_kept = n_attempts ? first_kept : c->kept;
			first_endpoint = n_attempts ? first_endpoint
						    : c->endpoint;
			first = n_attempts ? first : c;
			if (current_way->body_bytes)
				uv_read_stop(stream);
			if (current_way->report == RAW_REPORT_LATE &&
			    !n_attempts)
				e->awaits_answer = c;
			else if ((current_way->restarted_while_held ||
				  current_way->goes_on_while_held) &&
				 n_attempts == 1)
				second = c;
			else
				answer(c, next_answer());
		}
		c->len = 0;
	}
out:
	free(target);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct raw_conn *c = xcalloc(1, sizeof(*c));
	struct raw_endpoint *e = listener->data;
	struct raw_conn *waits = e->awaits_answer;

	assert_int_equal(status, 0);
	c->tcp.data = c;
	c->endpoint = (size_t)(e - endpoints);
	c->next = conns;
	conns = c;
	uv_tcp_init(listener->loop, &c->tcp);
	uv_accept(listener, (uv_stream_t *)&c->tcp);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
	if (waits && e->awaits_report) {
		e->awaits_answer = NULL;
		answer(waits, next_answer());
	}
}

/* Opens the listener of an endpoint. */
static void listen_at(struct raw_endpoint *e)
{
	e->listener = xcalloc(1, sizeof(*e->listener));
	harness_listen(harness, e->listener, e->address, on_connection, e);
}

/* Starts an endpoint and writes its entry. */
static void add_endpoint(size_t i)
{
	struct raw_endpoint *e = &endpoints[i];

	e->address = harness_address(harness);
	e->born_ms = BORN_MS;
	e->silent = false;
	e->awaits_report = NULL;
	e->awaits_answer = NULL;
	listen_at(e);
	put_entry(i);
}

static void start(void)
{
	size_t i;

	harness = harness_new();
	world = standin_new(harness);
	world->extra_settings = REPEATS;
	world->body_bytes = (unsigned int)current_way->body_bytes;
	n_attempts = 0;
	first_kept = false;
	first = NULL;
	second = NULL;
	for (i = 0; i < RAW_ENDPOINTS; i++)
		add_endpoint(i);
	standin_put_configuration(world, 2, ROUTE_ONCE "," ROUTES_FEW);
	standin_init_instance(world, &one, "one", NULL);
	standin_start_instance(world, &one);
	standin_wait_status(world, one.readiness, "/readyz", 200);
}

static void stop(void)
{
	size_t i;
	struct raw_conn *c;

	proc_kill(one.proc);
	for (i = 0; i < RAW_ENDPOINTS; i++)
		kill_endpoint(i);
	harness_run(harness, CLOSE_MS);
	while ((c = conns)) {
		conns = c->next;
		free(c);
	}
	standin_free(world);
	harness_free(harness);
}

static enum http1_head_decision on_reply_head(void *arg,
					      const struct http1_head *head)
{
	struct raw_reply *r = arg;

	r->status = head->status;
	return HTTP1_ACCEPT;
}

static void on_reply_body(void *arg, const char *data, size_t len)
{
	struct raw_reply *r = arg;

	bytes_add(&r->body, data, len);
}

static void on_reply_end(void *arg, enum http1_outcome outcome)
{
	struct raw_reply *r = arg;

	r->outcome = outcome;
	r->over = true;
}

static bool is_over(void *arg)
{
	return ((struct raw_reply *)arg)->over;
}

/* Sends the request of the case, with an id. */
static void start_call(const char *id, struct raw_reply *reply)
{
	static const struct http1_call_ops ops = {
		.on_head = on_reply_head,
		.on_body = on_reply_body,
		.on_end = on_reply_end,
	};
	const struct http1_call_options options = {
		.address = one.callers,
		.connect_timeout_ms = CONNECT_MS,
		.head = !strcmp(current_way->method, "HEAD"),
	};
	bool earlier = !strncmp(id, EARLIER, strlen(EARLIER));
	size_t n = current_way->body_bytes && !earlier ? current_way->body_bytes
						       : 1;
	bool post = !strcmp(current_way->method, "POST");
	struct bytes out = { 0 };

	bytes_addf(&out,
		   "%s %s HTTP/%s\r\nhost: 127.0.0.1\r\n"
		   "request-id: %s\r\ncredential: k1\r\n"
		   "deadline-ms: 15000\r\n%s",
		   current_way->method, current->target, current->version, id,
		   current_way->headers ? current_way->headers : "");
	if (post)
		bytes_addf(&out, "content-length: %zu\r\n\r\n%*s", n, (int)n,
			   "x");
	else
		bytes_addf(&out, "\r\n");
	http1_call_start(client, &options, out.data, out.len, &ops, reply);
}

/* Waits for the end of the answer to a request. */
static void await_reply(struct raw_reply *reply)
{
	harness_until(harness, is_over, reply, "the answer ends");
	bytes_add(&reply->body, "", 1);
}

/* Sends the request of the case, with an id, and waits for the end of its
 * answer. */
static void call(const char *id, struct raw_reply *reply)
{
	start_call(id, reply);
	await_reply(reply);
}

/* Returns whether an endpoint has a connection that has carried a request that
 * came before that of the case. */
static bool has_kept(size_t endpoint)
{
	const struct raw_conn *c;

	for (c = conns; c; c = c->next)
		if (c->kept && c->endpoint == endpoint &&
		    !uv_is_closing((const uv_handle_t *)&c->tcp))
			return true;
	return false;
}

static bool has_second(void *arg)
{
	(void)arg;
	return second != NULL;
}

/* Has the endpoint of the first attempt start again while its connection is not
 * read, as the second attempt waits at another one; leaves a connection to it that
 * is kept; and answers the second attempt. */
static void restart_while_held(void)
{
	size_t i;

	harness_until(harness, has_second, NULL, "the second attempt arrives");
	kill_endpoint(first_endpoint);
	restart_endpoint(first_endpoint);
	for (i = 0; i < EARLIER_MAX && !has_kept(first_endpoint); i++) {
		char *id = xasprintf(EARLIER "%zu", i);
		struct raw_reply reply = { 0 };

		call(id, &reply);
		bytes_release(&reply.body);
		free(id);
	}
	assert_true(has_kept(first_endpoint));
	harness_run(harness, TICKS_MS);
	answer(second, next_answer());
}

/* Answers the second attempt, and has the first one go on while the end of that
 * answer is not known; some ticks pass before its last part. */
static void go_on_while_held(void)
{
	harness_until(harness, has_second, NULL, "the second attempt arrives");
	answer(second, next_answer());
	harness_run(harness, TICKS_MS);
	answer(first, next_answer());
	harness_run(harness, TICKS_MS);
	answer(first, next_answer());
}

/* Returns whether each endpoint has a connection that has carried a request. */
static bool all_have_kept(void)
{
	bool has[RAW_ENDPOINTS] = { false };
	const struct raw_conn *c;
	size_t n = 0;

	for (c = conns; c; c = c->next) {
		n += c->kept && !has[c->endpoint];
		has[c->endpoint] = has[c->endpoint] || c->kept;
	}
	return n == RAW_ENDPOINTS;
}

/* Sends requests until each endpoint has a connection that is kept. */
static void keep_connections(void)
{
	size_t i;

	for (i = 0; i < EARLIER_MAX && !all_have_kept(); i++) {
		char *id = xasprintf(EARLIER "%zu", i);
		struct raw_reply reply = { 0 };

		call(id, &reply);
		assert_int_equal(reply.status, 200);
		bytes_release(&reply.body);
		free(id);
	}
	assert_true(all_have_kept());
}

/* Runs the case that is the test's state, with a POST request on a new
 * connection. */
void raw_run_case(void **state)
{
	static const struct raw_way way = { .method = "POST" };

	raw_run_case_in_way(*state, &way);
}

/* Runs a case whose request is sent in a given way. */
void raw_run_case_in_way(const struct raw_case *c, const struct raw_way *way)
{
	struct raw_reply reply = { 0 };
	size_t i;

	current = c;
	current_way = way;
	start();
	client = http1_client_new(harness_loop(harness));
	if (way->kept || way->kept_beside)
		keep_connections();
	for (i = 0; i < way->n_dead; i++)
		kill_endpoint(i);
	for (i = 0; way->restarted_before && i < RAW_ENDPOINTS; i++) {
		kill_endpoint(i);
		restart_endpoint(i);
	}
	start_call("r-1", &reply);
	if (way->restarted_while_held)
		restart_while_held();
	if (way->goes_on_while_held)
		go_on_while_held();
	await_reply(&reply);
	print_message("%s: %s, %d, \"%s\", %zu attempts\n", current->what,
		      http1_outcome_name(reply.outcome), reply.status,
		      reply.body.data, n_attempts);
	assert_int_equal(reply.outcome, current->outcome);
	assert_int_equal(reply.status, current->status);
	if (current->body)
		assert_string_equal(reply.body.data, current->body);
	assert_int_equal(n_attempts, current->n_attempts);
	if (!way->kept_beside)
		assert_int_equal(first_kept, way->kept);
	bytes_release(&reply.body);
	http1_client_free(client);
	stop();
}

/* Runs the case that is the test's state. */
static void run_way_case(void **state)
{
	const struct raw_way_case *w = *state;
	struct raw_case c = w->c;
	struct raw_way way = w->way;

	if (!c.version)
		c.version = "1.1";
	way.method = "POST";
	raw_run_case_in_way(&c, &way);
}

/* Runs a test program of n cases; returns its exit status. */
int raw_run_cases(const char *name, const struct raw_way_case *cases, size_t n)
{
	struct CMUnitTest *tests = xcalloc(n, sizeof(*tests));
	size_t i;
	int failed;

	for (i = 0; i < n; i++)
		tests[i] = (struct CMUnitTest){
			.name = cases[i].c.what,
			.test_func = run_way_case,
			.initial_state = (void *)&cases[i],
		};
	failed = _cmocka_run_group_tests(name, tests, n, NULL, NULL);
	free(tests);
	return failed;
}
