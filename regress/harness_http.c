/*
 * HTTP client for tests with real processes: whole answers, streams and control
 * of stand-ins.
 */
#include "regress/harness.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "emulator/sse.h"
#include "lib/xalloc.h"

struct stream_reader {
	struct harness *harness;
	struct httpc_req *req;
	struct answer answer;
	struct sse sse;
	struct stream_event *events;
	size_t n;
	size_t wanted;
};

static void on_head(void *arg, int status, const struct httpc_header *headers,
		    size_t n);
static void on_body(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum httpc_outcome outcome);
static void on_stream_head(void *arg, int status,
			   const struct httpc_header *headers, size_t n);
static void on_stream_body(void *arg, const char *data, size_t len);
static void on_stream_end(void *arg, enum httpc_outcome outcome);
static void on_event(void *arg, const struct sse_event *event);
static bool is_over(void *arg);

static const struct httpc_ops answer_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static const struct httpc_ops stream_ops = {
	.on_head = on_stream_head,
	.on_body = on_stream_body,
	.on_end = on_stream_end,
};

/* Sends a request and waits until its answer has ended. */
void harness_request(struct harness *h, const struct httpc_request *r,
		     struct answer *a)
{
	char what[256];

	*a = (struct answer){ .outcome = HTTPC_BROKEN };
	snprintf(what, sizeof(what), "%s %s at %s ends", r->method, r->path,
		 r->address);
	httpc_start(harness_client(h), r, &answer_ops, a);
	harness_until(h, is_over, a, what);
	a->json = a->body ? json_loadb(a->body, a->len, JSON_DECODE_ANY, NULL)
			  : NULL;
}

/* Sends a request with a body (NULL: none) and waits for its answer. */
void harness_call(struct harness *h, const char *method, const char *address,
		  const char *path, const char *body, struct answer *a)
{
	const struct httpc_request r = {
		.method = method,
		.address = address,
		.path = path,
		.body = body,
		.body_len = body ? strlen(body) : 0,
	};

	harness_request(h, &r, a);
}

/* Frees what an answer holds. */
void answer_release(struct answer *a)
{
	free(a->body);
	free(a->retry_after);
	free(a->content_type);
	json_decref(a->json);
}

/* Sends a GET and returns the JSON of its answer, which must have status
 * 200. */
json_t *harness_get(struct harness *h, const char *address, const char *path)
{
	struct answer a;
	json_t *json;

	harness_call(h, "GET", address, path, NULL, &a);
	if (a.status != 200 || !a.json)
		fail_msg("GET %s at %s: %s, status %d: %s", path, address,
			 httpc_outcome_name(a.outcome), a.status,
			 a.body ? a.body : "");
	json = json_incref(a.json);
	answer_release(&a);
	return json;
}

/* Changes settings of a stand-in, given as JSON formatted as by printf(3).  A
 * stand-in that is ordered to die need not answer. */
void harness_control(struct harness *h, const char *address, const char *fmt,
		     ...)
{
	struct answer a;
	char *body = NULL;
	va_list ap;

	va_start(ap, fmt);
	assert_true(vasprintf(&body, fmt, ap) >= 0);
	va_end(ap);
	harness_call(h, "POST", address, "/control", body, &a);
	if (a.status != 200 && !strstr(body, "\"die\""))
		fail_msg("control of %s by %s: %s, status %d: %s", address,
			 body, httpc_outcome_name(a.outcome), a.status,
			 a.body ? a.body : "");
	answer_release(&a);
	free(body);
}

/* Returns the value of a counter, given by its name and labels as printed; 0 if
 * it is absent. */
double harness_counter(struct harness *h, const char *address,
		       const char *series)
{
	size_t len = strlen(series);
	double value = 0;
	struct answer a;
	const char *line;

	harness_call(h, "GET", address, "/counters", NULL, &a);
	assert_int_equal(a.status, 200);
	for (line = a.body; line && *line; line = strchr(line, '\n')) {
		line += *line == '\n';
		if (strncmp(line, series, len) == 0 && line[len] == ' ')
			value = strtod(line + len, NULL);
	}
	answer_release(&a);
	return value;
}

/* Sends a request for a streamed answer, which is read whenever the loop
 * runs. */
struct stream_reader *stream_open(struct harness *h,
				  const struct httpc_request *r)
{
	struct stream_reader *s = xcalloc(1, sizeof(*s));

	s->harness = h;
	s->answer.outcome = HTTPC_BROKEN;
	sse_init(&s->sse, on_event, s);
	s->req = httpc_start(harness_client(h), r, &stream_ops, s);
	return s;
}

/* Reports whether a stream has the awaited number of events or has ended. */
static bool has_events(void *arg)
{
	struct stream_reader *s = arg;

	return s->answer.over || s->n >= s->wanted;
}

/* Waits until n events in total have arrived or the stream has ended. */
void stream_wait_events(struct stream_reader *s, size_t n)
{
	s->wanted = n;
	harness_until(s->harness, has_events, s, "a stream's events arrive");
}

/* Waits until a stream has ended. */
void stream_wait_end(struct stream_reader *s)
{
	harness_until(s->harness, is_over, &s->answer, "a stream ends");
}

/* Cancels a stream that has not ended and frees what was read. */
void stream_close(struct stream_reader *s)
{
	size_t i;

	if (!s->answer.over)
		httpc_cancel(s->req);
	for (i = 0; i < s->n; i++) {
		free(s->events[i].event);
		free(s->events[i].id);
		free(s->events[i].data);
	}
	free(s->events);
	sse_release(&s->sse);
	answer_release(&s->answer);
	free(s);
}

/* Returns the status, 0 before the head has arrived. */
int stream_status(const struct stream_reader *s)
{
	return s->answer.status;
}

/* Reports whether a stream has ended. */
bool stream_ended(const struct stream_reader *s)
{
	return s->answer.over;
}

/* Returns the outcome of a stream that has ended. */
enum httpc_outcome stream_outcome(const struct stream_reader *s)
{
	return s->answer.outcome;
}

/* Returns the number of events received so far. */
size_t stream_n_events(const struct stream_reader *s)
{
	return s->n;
}

/* Returns event number i; i is below stream_n_events(). */
const struct stream_event *stream_event_at(const struct stream_reader *s,
					   size_t i)
{
	assert_true(i < s->n);
	return &s->events[i];
}

/* Returns the body received so far. */
const char *stream_body(const struct stream_reader *s)
{
	return s->answer.body ? s->answer.body : "";
}

/* Stores the status and the headers that tests check. */
static void on_head(void *arg, int status, const struct httpc_header *headers,
		    size_t n)
{
	struct answer *a = arg;
	size_t i;

	a->status = status;
	for (i = 0; i < n; i++) {
		if (strcmp(headers[i].name, "retry-after") == 0)
			a->retry_after = xstrdup(headers[i].value);
		if (strcmp(headers[i].name, "content-type") == 0)
			a->content_type = xstrdup(headers[i].value);
	}
}

/* Appends to the body of an answer. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct answer *a = arg;

	a->body = xreallocarray(a->body, a->len + len + 1, 1);
	memcpy(a->body + a->len, data, len);
	a->len += len;
	a->body[a->len] = '\0';
}

/* Stores the outcome of an answer. */
static void on_end(void *arg, enum httpc_outcome outcome)
{
	struct answer *a = arg;

	a->outcome = outcome;
	a->over = true;
}

/* Stores the head of a stream. */
static void on_stream_head(void *arg, int status,
			   const struct httpc_header *headers, size_t n)
{
	struct stream_reader *s = arg;

	on_head(&s->answer, status, headers, n);
}

/* Appends to the body of a stream and parses its events. */
static void on_stream_body(void *arg, const char *data, size_t len)
{
	struct stream_reader *s = arg;

	on_body(&s->answer, data, len);
	sse_feed(&s->sse, data, len);
}

/* Stores the outcome of a stream. */
static void on_stream_end(void *arg, enum httpc_outcome outcome)
{
	struct stream_reader *s = arg;

	on_end(&s->answer, outcome);
}

/* Stores an event and the time it arrived. */
static void on_event(void *arg, const struct sse_event *event)
{
	struct stream_reader *s = arg;

	s->events = xreallocarray(s->events, s->n + 1, sizeof(*s->events));
	s->events[s->n++] = (struct stream_event){
		.event = xstrdup(event->event),
		.id = xstrdup(event->id),
		.data = xstrdup(event->data),
		.at_ms = (double)uv_hrtime() / 1e6,
	};
}

/* Reports whether an answer has ended. */
static bool is_over(void *arg)
{
	return ((struct answer *)arg)->over;
}
