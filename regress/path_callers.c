/*
 * Callers of an instance whose path to the endpoints is cut: plain requests and
 * streams on kept and on new connections, and how each has to end.
 */
#include "regress/path_callers.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"

#define BODY_BYTES 24
#define LOSS_SLACK_MS 200 /* the users' lossSlackMs */
#define CONNECT_MS 5000
#define KEPT_IDLE_MS 10000
#define PLAIN_DEADLINE_MS 5000
#define STREAM_DEADLINE_MS 15000
#define WHOLE_ANSWER "plain answer"

static const struct {
	const char *name;
	const char *path;
	unsigned int attempts;
	unsigned int deadline_ms;
} kinds[PATH_KINDS] = {
	[PATH_LOOK] = { "idempotent", "/again/a", 2, PLAIN_DEADLINE_MS },
	[PATH_BOOK] = { "at most once", "/once/a", 1, PLAIN_DEADLINE_MS },
	[PATH_STREAM] = { "stream", "/tell/a", 5, STREAM_DEADLINE_MS },
};

static uint64_t now_ms(const struct path_callers *p)
{
	return uv_now(harness_loop(p->world->harness));
}

/* Returns the text of a phase, for reports. */
static const char *phase_name(enum path_phase phase)
{
	switch (phase) {
	case PATH_BEFORE:
		return "before the cut";
	case PATH_BEGUN:
		return "begun before the cut";
	case PATH_EARLY:
		return "early in the cut";
	case PATH_LATE:
		return "late in the cut";
	case PATH_STOPPING:
		return "after SIGTERM";
	case PATH_AFTER:
		return "after the cut";
	case PATH_PHASES:
		break;
	}
	return "";
}

static enum http1_head_decision on_head(void *arg,
					const struct http1_head *head)
{
	const struct http1_header *id = http1_find_header(head, "request-id");
	struct path_request *r = arg;

	r->status = head->status;
	r->mixed = id && (id->value_len != strlen(r->id) ||
			  memcmp(id->value, r->id, id->value_len) != 0);
	return HTTP1_ACCEPT;
}

static void on_body(void *arg, const char *data, size_t len)
{
	bytes_add(&((struct path_request *)arg)->body, data, len);
}

static void on_end(void *arg, enum http1_outcome outcome)
{
	struct path_request *r = arg;

	r->outcome = outcome;
	r->over_ms = now_ms(r->callers);
}

/* Prepares callers of an instance. */
void path_callers_init(struct path_callers *p, const struct standin_world *w,
		       const char *address)
{
	*p = (struct path_callers){
		.world = w,
		.address = address,
		.client = http1_client_new(harness_loop(w->harness)),
	};
}

/* Closes all connections and frees the requests. */
void path_callers_release(struct path_callers *p)
{
	size_t i;

	for (i = 0; i < p->n; i++) {
		if (!p->requests[i]->over_ms)
			http1_call_cancel(p->requests[i]->call);
		bytes_release(&p->requests[i]->body);
		free(p->requests[i]);
	}
	http1_client_free(p->client);
}

/* Sends a request with a body of len bytes that no other one has; on a connection
 * that is kept, if there is one, or on a new one. */
struct path_request *path_send(struct path_callers *p, enum path_kind kind,
			       enum path_phase phase, bool kept, size_t len)
{
	static const struct http1_call_ops ops = {
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
	};
	const struct http1_call_options options = {
		.address = p->address,
		.connect_timeout_ms = CONNECT_MS,
		.max_idle_ms = kept ? KEPT_IDLE_MS : 0,
	};
	struct path_request *r = xcalloc(1, sizeof(*r));
	char *bytes;

	assert_true(p->n < PATH_REQUESTS_MAX);
	p->requests[p->n++] = r;
	snprintf(r->id, sizeof(r->id), "p-%zu-x", p->n);
	r->callers = p;
	r->kind = kind;
	r->phase = phase;
	r->sent_ms = now_ms(p);
	bytes = xasprintf("POST %s HTTP/1.1\r\nhost: 127.0.0.1\r\n"
			  "credential: k1\r\nrequest-id: %s\r\n"
			  "deadline-ms: %u\r\ntoken-usage: 300,100\r\n"
			  "content-length: %zu\r\n\r\n%-*s",
			  kinds[kind].path, r->id, kinds[kind].deadline_ms, len,
			  (int)len, r->id);
	r->call = http1_call_start(p->client, &options, bytes, strlen(bytes),
				   &ops, r);
	return r;
}

/* Sends the next request of a series: the kinds in turn, each on kept and on new
 * connections. */
void path_send_next(struct path_callers *p, enum path_phase phase)
{
	path_send(p, (enum path_kind)(p->n % PATH_KINDS), phase,
		  p->n / PATH_KINDS % 2, BODY_BYTES);
}

bool path_request_over(void *request)
{
	return ((struct path_request *)request)->over_ms != 0;
}

/* Returns whether all requests are over. */
bool path_callers_over(void *callers)
{
	struct path_callers *p = callers;
	size_t i;

	for (i = 0; i < p->n; i++)
		if (!p->requests[i]->over_ms)
			return false;
	return true;
}

/* Returns how many events of a stream came, each once and in order; -1 if one is
 * out of order. */
int path_count_events(const struct path_request *r)
{
	static const char id[] = "id: ";
	int n = 0;
	size_t i;

	for (i = 0; i + strlen(id) < r->body.len; i++) {
		if ((i && r->body.data[i - 1] != '\n') ||
		    memcmp(r->body.data + i, id, strlen(id)) != 0)
			continue;
		if (atoi(r->body.data + i + strlen(id)) != ++n)
			return -1;
	}
	return n;
}

/* Returns whether a request got the whole answer of an endpoint. */
bool path_is_whole(const struct path_request *r)
{
	if (r->outcome != HTTP1_COMPLETE || r->status != 200 || r->mixed)
		return false;
	if (r->kind == PATH_STREAM)
		return path_count_events(r) == STANDIN_EVENTS;
	return r->body.len == strlen(WHOLE_ANSWER) &&
	       !memcmp(r->body.data, WHOLE_ANSWER, r->body.len);
}

/* Returns how many runs of a request the endpoints began; one that goes on with
 * the memory of an earlier one is no new run. */
unsigned int path_count_runs(const struct path_request *r)
{
	const struct standin_world *w = r->callers->world;
	char line[sizeof(r->id) + 16];
	unsigned int n = 0;
	size_t i;

	snprintf(line, sizeof(line), "\nrequest-id: %s\n", r->id);
	for (i = 0; i < w->n_arrivals; i++) {
		const struct standin_arrival *a = w->arrivals[i];

		n += a->ran && standin_arrival_has_line(a, line) &&
		     !standin_arrival_has_line(a, "\nkv-from: ");
	}
	return n;
}

/* Returns whether a refusal promises that the request has not run. */
static bool is_refused(const struct path_request *r)
{
	return r->outcome == HTTP1_COMPLETE &&
	       (r->status == 408 || r->status == 421 || r->status == 429 ||
		r->status == 503);
}

/* Returns whether the end of a connection says that the request was not read. */
static bool is_unread(const struct path_request *r)
{
	return http1_not_connected(r->outcome) ||
	       (r->outcome != HTTP1_COMPLETE && !r->status &&
		!path_count_runs(r) &&
		r->over_ms - r->sent_ms <= LOSS_SLACK_MS);
}

/* Returns whether a request ended as one of its phase has to. */
static bool ended_well(const struct path_request *r)
{
	if (path_is_whole(r))
		return true;
	switch (r->phase) {
	case PATH_EARLY:
		return r->outcome == HTTP1_COMPLETE && r->status != 200;
	case PATH_STOPPING:
		return is_refused(r) || is_unread(r);
	case PATH_BEFORE:
	case PATH_BEGUN:
	case PATH_LATE:
	case PATH_AFTER:
	case PATH_PHASES:
		break;
	}
	return false;
}

/* Prints how the requests of a phase and a kind ended; returns how many did not
 * end as they have to. */
static size_t report_ends(const struct path_callers *p, enum path_phase phase,
			  enum path_kind kind)
{
	size_t n = 0;
	size_t whole = 0;
	size_t refused = 0;
	size_t broken = 0; /* after the head */
	size_t unanswered = 0;
	size_t bad = 0;
	size_t i;

	for (i = 0; i < p->n; i++) {
		const struct path_request *r = p->requests[i];

		if (r->phase != phase || r->kind != kind)
			continue;
		n++;
		whole += path_is_whole(r);
		refused += is_refused(r);
		broken += r->status == 200 && !path_is_whole(r);
		unanswered += !r->status;
		bad += !ended_well(r);
	}
	if (n)
		print_message("%s, %s: %zu, %zu whole, %zu refused, %zu broken "
			      "off, %zu without an answer, %zu bad\n",
			      phase_name(phase), kinds[kind].name, n, whole,
			      refused, broken, unanswered, bad);
	return bad;
}

/* Prints the requests that ran too often; returns how many did. */
static size_t report_runs(const struct path_callers *p)
{
	size_t bad = 0;
	size_t i;

	for (i = 0; i < p->n; i++) {
		const struct path_request *r = p->requests[i];
		unsigned int runs = path_count_runs(r);
		unsigned int most = is_refused(r) ? 0 : kinds[r->kind].attempts;

		if (runs <= most)
			continue;
		print_message("%s, %s, status %d: %u runs of %u\n", r->id,
			      kinds[r->kind].name, r->status, runs, most);
		bad++;
	}
	return bad;
}

/* Prints how the requests ended; returns how many did not end as they have to, or
 * ran too often. */
size_t path_callers_report(const struct path_callers *p)
{
	size_t bad = report_runs(p);
	size_t phase;
	size_t kind;

	for (phase = 0; phase < PATH_PHASES; phase++)
		for (kind = 0; kind < PATH_KINDS; kind++)
			bad += report_ends(p, (enum path_phase)phase,
					   (enum path_kind)kind);
	return bad;
}
