/*
 * Endpoints of the tests of whole requests.  Each reads its connections when the
 * test steps it: some requests at a few kilobytes a step, some of which it
 * answers before it has read them.
 */
#include "regress/whole_requests.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"

#define BACKLOG 512
#define RECEIVE_BUFFER 32768 /* of a socket, so that a slow reader is felt */
#define READ_BYTES 262144
#define SLOW_BYTES 16384 /* a step */
#define WORK_MAX_MS 60
#define CLOSES_ONE_IN 8 /* answers, of an endpoint that does not leave */
#define LEAVING_MIN_MS 1500 /* it serves on for so long at least */
#define PAD_MAX 400000 /* of a long answer */
#define SILENCE_MIN_MS 800
#define SILENCE_SPREAD_MS 1000
#define SILENT_SLACK_MS 100 /* in which one that was silent reads what waits */
#define SECOND_MS 1000 /* in which requests are counted */
#define LISTED_MS 1500 /* an endpoint that has fallen over */
#define SILENT_ENDS_ONE_IN 8 /* ends of answers that a silence follows */

enum conn_state {
	CONN_HEAD,
	CONN_BODY,
	CONN_WORK, /* the request was read; the answer is due */
	CONN_STREAM,
};

/* A connection of an instance. */
struct whole_conn {
	int fd; /* -1: closed */
	enum conn_state state;
	struct bytes in;
	struct bytes out;
	struct http1_body framing;
	struct whole_request *request;
	size_t got; /* bytes of the body */
	bool slow;
	bool early; /* answered before the body was read */
	bool closes; /* the connection is closed after the answer */
	bool unframed; /* the answer ends with the connection */
	uint64_t due_ms; /* of the answer or the next event */
	int next_event;
};

static void accept_all(struct whole_endpoint *e);
static bool step_conn(struct whole_world *w, struct whole_endpoint *e,
		      struct whole_conn *c);
static void close_conn(struct whole_conn *c);
static bool take_head(struct whole_world *w, struct whole_endpoint *e,
		      struct whole_conn *c);
static void begin_request(struct whole_world *w, struct whole_endpoint *e,
			  struct whole_conn *c, const struct http1_head *head);
static bool has_room(struct whole_world *w, const struct whole_endpoint *e,
		     const struct http1_head *head);
static size_t count_used(const struct whole_endpoint *e);
static void write_words(const struct whole_world *w, struct whole_conn *c);
static void turn_away(struct whole_world *w, struct whole_endpoint *e,
		      struct whole_conn *c);
static void fall_over(struct whole_world *w, struct whole_endpoint *e);
static bool take_body(struct whole_world *w, struct whole_endpoint *e,
		      struct whole_conn *c);
static void answer(struct whole_world *w, struct whole_endpoint *e,
		   struct whole_conn *c);
static void answer_call(const struct whole_world *w,
			const struct whole_endpoint *e, struct whole_conn *c,
			const struct http1_head *head);
static void step_stream(struct whole_world *w, struct whole_endpoint *e,
			struct whole_conn *c);
static bool falls_silent(struct whole_world *w, struct whole_endpoint *e,
			 struct whole_conn *c, enum whole_moment moment);
static void flush(struct whole_conn *c, size_t most);
static void end_endpoint(struct whole_world *w, struct whole_endpoint *e);

static uint64_t now_ms(const struct whole_world *w)
{
	return uv_now(harness_loop(w->platform->harness));
}

/* Starts an endpoint of a service at an address of its own and writes its
 * entry. */
struct whole_endpoint *whole_endpoint_start(struct whole_world *w,
					    const char *service, bool engine)
{
	struct whole_endpoint *e = &w->endpoints[w->n_endpoints];
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int size = RECEIVE_BUFFER;
	int on = 1;
	char *text;

	assert_true(w->n_endpoints < WHOLE_ENDPOINTS_MAX);
	*e = (struct whole_endpoint){ .service = service, .engine = engine };
	snprintf(e->id, sizeof(e->id), "i-%zu", w->n_endpoints++);
	e->address = harness_address(w->platform->harness);
	e->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(e->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	setsockopt(e->listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	sin.sin_port =
		htons((uint16_t)strtoul(strchr(e->address, ':') + 1, NULL, 10));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
		bind(e->listener, (struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(listen(e->listener, BACKLOG), 0);
	assert_int_equal(fcntl(e->listener, F_SETFL, O_NONBLOCK), 0);
	text = xasprintf("{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":"
			 "\"z1\",\"version\":\"v1\",\"slots\":16,\"state\":"
			 "\"ready\",\"born\":1000}",
			 service, e->address);
	standin_put(w->platform, "servers", e->id, text);
	free(text);
	return e;
}

/* Has an endpoint leave: its entry says so, or is removed.  It serves on, and
 * ends when it is idle. */
void whole_endpoint_leave(struct whole_world *w, struct whole_endpoint *e,
			  bool unlisted)
{
	char *text;

	e->leaving_ms = now_ms(w);
	e->unlisted = unlisted;
	if (unlisted) {
		standin_remove(w->platform, "servers", e->id);
		return;
	}
	text = xasprintf("{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":"
			 "\"z1\",\"version\":\"v1\",\"slots\":16,\"state\":"
			 "\"draining\",\"born\":1000}",
			 e->service, e->address);
	standin_put(w->platform, "servers", e->id, text);
	free(text);
}

/* Makes an endpoint silent for a second or so, as a sound one may be. */
void whole_endpoint_silence(struct whole_world *w, struct whole_endpoint *e)
{
	if (now_ms(w) < e->silent_until_ms + SILENCE_MIN_MS)
		print_message("%s is silent again\n", e->id);
	e->silent_until_ms = now_ms(w) + SILENCE_MIN_MS +
			     random_below(w->random, SILENCE_SPREAD_MS);
}

/* Lets each endpoint that is not silent read and answer what it can now. */
void whole_endpoints_step(struct whole_world *w)
{
	uint64_t now = now_ms(w);
	size_t i;

	for (i = 0; i < w->n_endpoints; i++) {
		struct whole_endpoint *e = &w->endpoints[i];
		bool idle = true;
		size_t k;

		if (e->lapses && now - e->fallen_ms >= LISTED_MS) {
			e->lapses = false;
			standin_remove(w->platform, "servers", e->id);
		}
		if (e->listener < 0 || now < e->silent_until_ms)
			continue;
		accept_all(e);
		for (k = 0; k < e->n_conns && now >= e->silent_until_ms; k++)
			if (e->conns[k]->fd >= 0 &&
			    step_conn(w, e, e->conns[k]))
				idle = false;
		if (e->fallen_ms) {
			fall_over(w, e);
			continue;
		}
		if (idle && now >= e->silent_until_ms && e->leaving_ms &&
		    now >= e->leaving_ms + LEAVING_MIN_MS)
			end_endpoint(w, e);
	}
}

/* Returns whether an endpoint is at work on a request. */
bool whole_at_work(const struct whole_world *w, const struct whole_request *r)
{
	size_t i;
	size_t k;

	for (i = 0; i < w->n_endpoints; i++)
		for (k = 0; k < w->endpoints[i].n_conns; k++) {
			const struct whole_conn *c = w->endpoints[i].conns[k];

			if (c->fd >= 0 && c->request == r &&
			    (c->state != CONN_HEAD || c->out.len))
				return true;
		}
	return false;
}

/* Returns whether an endpoint of a request's service is free: it neither leaves nor
 * has as much to do as it takes, and none is silent, which may hold the request. */
bool whole_has_free(const struct whole_world *w, const struct whole_request *r)
{
	const char *service = w->routed[r->path > WHOLE_LOOK];
	uint64_t now = now_ms(w);
	bool found = false;
	size_t i;

	for (i = 0; i < w->n_endpoints; i++) {
		const struct whole_endpoint *e = &w->endpoints[i];

		if (e->listener < 0)
			continue;
		if (now < e->silent_until_ms + SILENT_SLACK_MS)
			return false;
		if (strcmp(e->service, service) != 0 || e->leaving_ms ||
		    (w->room && count_used(e) >= w->room) ||
		    (w->limit && now - e->taken_ms < 2 * SECOND_MS &&
		     (e->taken >= w->limit || e->taken_before >= w->limit)))
			continue;
		found = true;
	}
	return found;
}

/* Returns the request with an id, NULL if there is none. */
struct whole_request *whole_find(const struct whole_world *w, const char *id,
				 size_t len)
{
	size_t n = len > 2 ? strtoul(id + 2, NULL, 10) : w->n_requests;

	if (n >= w->n_requests || strlen(w->requests[n]->id) != len ||
	    memcmp(w->requests[n]->id, id, len) != 0)
		return NULL;
	return w->requests[n];
}

/* Returns the byte that fills a request's body. */
char whole_fill(const struct whole_request *r)
{
	return (char)('a' + strtoul(r->id + 2, NULL, 10) % 26);
}

/* Closes all that is open and frees the requests. */
void whole_world_release(struct whole_world *w)
{
	size_t i;

	for (i = 0; i < w->n_endpoints; i++)
		end_endpoint(w, &w->endpoints[i]);
	for (i = 0; i < w->n_callers; i++) {
		struct whole_caller *c = &w->callers[i];

		if (c->fd >= 0)
			close(c->fd);
		bytes_release(&c->in);
		bytes_release(&c->out);
		bytes_release(&c->text);
	}
	for (i = 0; i < w->n_requests; i++)
		free(w->requests[i]);
	free(w->requests);
}

/* Accepts the connections that wait. */
static void accept_all(struct whole_endpoint *e)
{
	int fd;

	while ((fd = accept4(e->listener, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		struct whole_conn *c = xcalloc(1, sizeof(*c));

		c->fd = fd;
		e->conns = xreallocarray(e->conns, e->n_conns + 1,
					 sizeof(c)); /* NOLINT: of pointers */
		e->conns[e->n_conns++] = c;
	}
}

/* Reads and answers on a connection; returns whether it is in use. */
static bool step_conn(struct whole_world *w, struct whole_endpoint *e,
		      struct whole_conn *c)
{
	static char buf[READ_BYTES];
	ssize_t n = recv(c->fd, buf, c->slow ? SLOW_BYTES : sizeof(buf), 0);
	uint64_t now = now_ms(w);

	if (n > 0)
		bytes_add(&c->in, buf, (size_t)n);
	if (n == 0 || (n < 0 && errno != EAGAIN)) {
		close_conn(c);
		return true;
	}
	while (now >= e->silent_until_ms &&
	       ((c->state == CONN_HEAD && take_head(w, e, c)) ||
		(c->state == CONN_BODY && take_body(w, e, c))))
		;
	if (now >= e->silent_until_ms && c->state == CONN_WORK &&
	    now >= c->due_ms)
		answer(w, e, c);
	if (now >= e->silent_until_ms && c->state == CONN_STREAM)
		step_stream(w, e, c);
	if (now < e->silent_until_ms)
		return true;
	flush(c, c->out.len);
	if (c->closes && c->state == CONN_HEAD && !c->out.len) {
		close_conn(c);
		if (c->unframed && !random_below(w->random, SILENT_ENDS_ONE_IN))
			whole_endpoint_silence(w, e);
		return true;
	}
	return n > 0 || c->state != CONN_HEAD || c->in.len || c->out.len;
}

/* Closes a connection and frees what it holds. */
static void close_conn(struct whole_conn *c)
{
	close(c->fd);
	c->fd = -1;
	bytes_release(&c->in);
	bytes_release(&c->out);
}

/* Takes a head if it is whole; returns whether the state has changed. */
static bool take_head(struct whole_world *w, struct whole_endpoint *e,
		      struct whole_conn *c)
{
	struct http1_head head;
	const struct http1_header *id;
	size_t used = 0;

	if (!c->in.len || http1_parse_request(c->in.data, c->in.len, &head,
					      &used) != HTTP1_DONE)
		return false;
	assert_true(http1_request_framing(&head, &c->framing));
	id = http1_find_header(&head, "request-id");
	if (id) {
		c->request = whole_find(w, id->value, id->value_len);
		assert_non_null(c->request);
		if (!has_room(w, e, &head)) {
			turn_away(w, e, c);
		} else {
			begin_request(w, e, c, &head);
			if (c->early)
				answer(w, e, c);
		}
		c->state = CONN_BODY;
	} else {
		answer_call(w, e, c, &head);
	}
	bytes_consume(&c->in, used);
	return true;
}

/* Returns whether an endpoint takes one more request, and has the KV-cache copy
 * that it names. */
static bool has_room(struct whole_world *w, const struct whole_endpoint *e,
		     const struct http1_head *head)
{
	if (!w->room)
		return true;
	return count_used(e) < w->room &&
	       !(http1_find_header(head, "kv-from") &&
		 !random_below(w->random, 3));
}

/* Returns how many requests an endpoint runs. */
static size_t count_used(const struct whole_endpoint *e)
{
	size_t used = 0;
	size_t i;

	for (i = 0; i < e->n_conns; i++) {
		const struct whole_conn *c = e->conns[i];

		used += c->fd >= 0 && c->state != CONN_HEAD &&
			!(c->state == CONN_BODY && c->early);
	}
	return used;
}

/* Turns a request away, which has not run; its body is read.  A brittle endpoint
 * falls over if there are too many in a second. */
static void turn_away(struct whole_world *w, struct whole_endpoint *e,
		      struct whole_conn *c)
{
	if (now_ms(w) - e->turned_away_ms >= 1000) {
		e->turned_away_ms = now_ms(w);
		e->turned_away = 0;
	}
	if (++e->turned_away > w->brittle && w->brittle)
		e->fallen_ms = now_ms(w);
	w->n_turned_away++;
	c->got = 0;
	c->early = true;
	c->closes = false;
	c->unframed = false;
	bytes_addf(&c->out,
		   "HTTP/1.1 503 Full\r\nnot-executed: 1\r\nrequest-id: %s\r\n",
		   c->request->id);
	write_words(w, c);
	bytes_addf(&c->out, "content-length: 0\r\n\r\n");
}

/* Writes what endpoints say of themselves in all their answers. */
static void write_words(const struct whole_world *w, struct whole_conn *c)
{
	if (w->brittle)
		bytes_addf(&c->out, "server-brittle: %u\r\n", w->brittle);
	if (w->limit)
		bytes_addf(&c->out, "server-limit: %u\r\n", w->limit);
}

/* Draws how a request is read and answered. */
static void begin_request(struct whole_world *w, struct whole_endpoint *e,
			  struct whole_conn *c, const struct http1_head *head)
{
	const struct http1_header *after =
		http1_find_header(head, "last-event-id");
	bool plain = c->request->path <= WHOLE_LOOK;

	if (now_ms(w) - e->taken_ms >= SECOND_MS) {
		e->taken_before =
			now_ms(w) - e->taken_ms < 2 * SECOND_MS ? e->taken : 0;
		e->taken_ms = now_ms(w);
		e->taken = 0;
	}
	e->taken++;
	c->request->runs++;
	c->got = 0;
	c->slow = !random_below(w->random, 3);
	c->early = plain && c->request->len && !random_below(w->random, 4);
	c->due_ms = now_ms(w) + random_below(w->random, WORK_MAX_MS);
	c->next_event = after ? atoi(after->value) + 1 : 1;
}

/* Reads a part of a body; returns whether it is whole. */
static bool take_body(struct whole_world *w, struct whole_endpoint *e,
		      struct whole_conn *c)
{
	enum http1_result result = HTTP1_DONE;
	size_t decoded = 0;
	size_t rest = c->in.len;
	size_t i;

	if (c->framing.framing != HTTP1_EMPTY) {
		if (!c->in.len)
			return false;
		result = http1_body_read(&c->framing, c->in.data, c->in.len,
					 &decoded, &rest);
		assert_true(result != HTTP1_BAD);
	}
	for (i = 0; i < decoded; i++)
		if (c->in.data[i] != whole_fill(c->request))
			c->request->wrong = true;
	c->got += decoded;
	bytes_consume(&c->in, decoded);
	c->in.len = rest;
	if (result != HTTP1_DONE)
		return false;
	if (c->got != c->request->len)
		c->request->wrong = true;
	c->slow = false;
	c->state = c->early ? CONN_HEAD : CONN_WORK;
	if (c->state == CONN_WORK &&
	    !falls_silent(w, e, c, WHOLE_MOMENT_REQUEST) &&
	    now_ms(w) >= c->due_ms)
		answer(w, e, c);
	return true;
}

/* Answers a request, or begins its stream. */
static void answer(struct whole_world *w, struct whole_endpoint *e,
		   struct whole_conn *c)
{
	const char *leaving = e->leaving_ms ? "server-leaving: 1\r\n" : "";
	size_t pad = !c->request->pauses && random_below(w->random, 8)
			     ? 0
			     : random_below(w->random, PAD_MAX);
	size_t len = strlen(c->request->id) + pad;
	bool chunks = random_below(w->random, 2);
	size_t head;
	char *body;

	c->unframed = !c->early && w->unframed && random_below(w->random, 2);
	c->closes = c->unframed || e->leaving_ms ||
		    !random_below(w->random, CLOSES_ONE_IN);
	bytes_addf(&c->out,
		   "HTTP/1.1 200 OK\r\nresponse-signature: m.1\r\n"
		   "request-id: %s\r\ninstance-id: %s\r\n%s%s",
		   c->request->id, e->id, leaving,
		   c->closes ? "connection: close\r\n" : "");
	write_words(w, c);
	if (e->engine) {
		bytes_addf(&c->out, "content-type: text/event-stream\r\n%s\r\n",
			   c->unframed ? "" : "transfer-encoding: chunked\r\n");
		c->state = CONN_STREAM;
		c->due_ms = now_ms(w) + STANDIN_EVENT_MS;
		if (falls_silent(w, e, c, WHOLE_MOMENT_HEAD))
			flush(c, c->out.len);
		return;
	}
	c->request->answer_len = len;
	body = xcalloc(len + 1, 1);
	memset(body, '.', len);
	memcpy(body, c->request->id, strlen(c->request->id));
	if (c->unframed)
		bytes_addf(&c->out, "\r\n");
	else if (chunks)
		bytes_addf(&c->out, "transfer-encoding: chunked\r\n\r\n");
	else
		bytes_addf(&c->out, "content-length: %zu\r\n\r\n", len);
	head = c->out.len;
	if (chunks && !c->unframed)
		bytes_addf(&c->out, "%zx\r\n", len);
	bytes_add(&c->out, body, len);
	if (chunks && !c->unframed)
		bytes_addf(&c->out, "\r\n0\r\n\r\n");
	free(body);
	if (!c->early)
		c->state = CONN_HEAD;
	if (falls_silent(w, e, c, WHOLE_MOMENT_HEAD))
		flush(c, head);
	else if (falls_silent(w, e, c, WHOLE_MOMENT_PART))
		flush(c, head + (c->out.len - head) / 2);
}

/* Returns whether an endpoint falls silent at a moment of a request. */
static bool falls_silent(struct whole_world *w, struct whole_endpoint *e,
			 struct whole_conn *c, enum whole_moment moment)
{
	if (!w->on_moment || !w->on_moment(e, c->request, moment))
		return false;
	whole_endpoint_silence(w, e);
	return true;
}

/* Answers a call of an instance that no caller sent: for health or a report. */
static void answer_call(const struct whole_world *w,
			const struct whole_endpoint *e, struct whole_conn *c,
			const struct http1_head *head)
{
	static const char report[] = "{\"models\":[{\"name\":\"m\"}],"
				     "\"born\":1000}";
	bool reports = head->target_len == strlen("/report") &&
		       !memcmp(head->target, "/report", head->target_len);

	assert_int_equal(c->framing.framing, HTTP1_EMPTY);
	bytes_addf(&c->out, "HTTP/1.1 %s\r\ninstance-id: %s\r\n%s",
		   e->leaving_ms && !reports ? "503 Leaving" : "200 OK", e->id,
		   e->leaving_ms ? "server-leaving: 1\r\n" : "");
	write_words(w, c);
	bytes_addf(&c->out, "content-length: %zu\r\n\r\n%s",
		   reports ? strlen(report) : 0, reports ? report : "");
}

/* Writes the events of a stream that are due, and its end. */
static void step_stream(struct whole_world *w, struct whole_endpoint *e,
			struct whole_conn *c)
{
	char event[64];

	while (now_ms(w) >= c->due_ms && c->next_event <= STANDIN_EVENTS) {
		snprintf(event, sizeof(event), "id: %d\ndata: e\n\n",
			 c->next_event++);
		if (c->unframed)
			bytes_addf(&c->out, "%s", event);
		else
			bytes_addf(&c->out, "%zx\r\n%s\r\n", strlen(event),
				   event);
		c->due_ms += STANDIN_EVENT_MS;
		if (c->next_event <= STANDIN_EVENTS &&
		    falls_silent(w, e, c, WHOLE_MOMENT_PART)) {
			flush(c, c->out.len);
			return;
		}
	}
	if (c->next_event <= STANDIN_EVENTS)
		return;
	if (!c->unframed)
		bytes_addf(&c->out, "0\r\n\r\n");
	c->state = CONN_HEAD;
}

/* Breaks off all that an endpoint runs, and ends it.  Its entry lapses later. */
static void fall_over(struct whole_world *w, struct whole_endpoint *e)
{
	size_t i;

	for (i = 0; i < e->n_conns; i++)
		if (e->conns[i]->fd >= 0 && e->conns[i]->state != CONN_HEAD &&
		    e->conns[i]->request)
			e->conns[i]->request->broken_off = true;
	w->n_falls++;
	e->lapses = !e->unlisted;
	e->unlisted = true;
	end_endpoint(w, e);
}

/* Sends what the socket takes, at most so many bytes.  An error shows at the next
 * read. */
static void flush(struct whole_conn *c, size_t most)
{
	ssize_t n;

	if (!most)
		return;
	n = send(c->fd, c->out.data, most, MSG_NOSIGNAL);
	if (n > 0)
		bytes_consume(&c->out, (size_t)n);
}

/* Ends an endpoint: closes its listener and connections and removes its
 * entry. */
static void end_endpoint(struct whole_world *w, struct whole_endpoint *e)
{
	size_t i;

	if (e->listener < 0)
		return;
	close(e->listener);
	e->listener = -1;
	for (i = 0; i < e->n_conns; i++) {
		struct whole_conn *c = e->conns[i];

		if (c->fd >= 0) {
			w->n_broken_off += c->state != CONN_HEAD;
			close_conn(c);
		}
		free(c);
	}
	free(e->conns);
	e->conns = NULL;
	e->n_conns = 0;
	if (!e->unlisted)
		standin_remove(w->platform, "servers", e->id);
}
