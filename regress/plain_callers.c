/*
 * Callers of plain requests on kept connections.  Each is a state machine that
 * the test steps: it sends requests in the ways of enum plain_way, holds parts of
 * them back across changes of the configuration, stays idle for about the idle
 * time, and notes how each request ends.
 */
#include "regress/plain_callers.h"

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

#include "lib/http1.h"
#include "lib/xalloc.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define HELD_MAX_MS 1500 /* without a change */
#define HELD_AFTER_CHANGE_MS 400 /* at most */
#define LOSS_SLACK_MS 200 /* the users' lossSlackMs */
#define BODY_MAX 6000
#define IDLE_ONE_IN 8
/* about when a server with an idle time of 0.9 s closes a connection */
#define IDLE_END_MS 2850
#define IDLE_END_SPREAD_MS 250
#define READ_BYTES 16384
#define WHOLE_ANSWER "plain answer"

static void connect_caller(struct plain_caller *c);
static void begin(struct plain_callers *p, struct plain_caller *c);
static void add_request(struct plain_callers *p, struct plain_caller *c,
			enum plain_way way, bool later);
static size_t write_request(struct plain_callers *p, struct plain_caller *c,
			    const struct plain_request *r);
static void send_some(struct plain_callers *p, struct plain_caller *c);
static void receive_some(struct plain_callers *p, struct plain_caller *c);
static bool take_answer(struct plain_callers *p, struct plain_caller *c);
static void settle(struct plain_callers *p, struct plain_caller *c,
		   const struct http1_head *head, const char *body, size_t len);
static void end_connection(struct plain_callers *p, struct plain_caller *c);
static enum plain_end end_without_answer(const struct plain_callers *p,
					 const struct plain_caller *c,
					 const struct plain_request *r);
static uint32_t idle_ms(const struct plain_callers *p,
			const struct plain_caller *c);

/* Prepares as many callers as there are at most, by turns at the addresses. */
void plain_callers_init(struct plain_callers *p, struct standin_world *w,
			struct random_source *random,
			const char *const *addresses, size_t n_addresses)
{
	uint64_t now = uv_now(harness_loop(w->harness));
	size_t i;

	*p = (struct plain_callers){
		.harness = w->harness,
		.world = w,
		.random = random,
		.n = PLAIN_CALLERS_MAX,
	};
	for (i = 0; i < p->n; i++)
		p->callers[i] = (struct plain_caller){
			.address = addresses[i % n_addresses],
			.fd = -1,
			.idles = i % IDLE_ONE_IN < n_addresses,
			.next_ms = now + random_below(random, 500),
		};
}

/* Closes all connections and frees the requests. */
void plain_callers_release(struct plain_callers *p)
{
	size_t i;

	for (i = 0; i < p->n; i++) {
		if (p->callers[i].fd >= 0)
			close(p->callers[i].fd);
		bytes_release(&p->callers[i].in);
		bytes_release(&p->callers[i].out);
	}
	for (i = 0; i < p->n_requests; i++)
		free(p->requests[i]);
	free(p->requests);
}

/* Lets each caller send and receive what it can now. */
void plain_callers_step(struct plain_callers *p)
{
	size_t i;

	for (i = 0; i < p->n; i++) {
		struct plain_caller *c = &p->callers[i];

		if (!c->n_open && !p->ending &&
		    uv_now(harness_loop(p->harness)) >= c->next_ms)
			begin(p, c);
		if (c->fd >= 0)
			send_some(p, c);
		if (c->fd >= 0)
			receive_some(p, c);
	}
}

/* Steps the callers; returns whether all requests have ended. */
bool plain_callers_over(void *callers)
{
	struct plain_callers *p = callers;
	bool over = true;
	size_t i;

	plain_callers_step(p);
	for (i = 0; i < p->n; i++)
		over = over && !p->callers[i].n_open;
	return over;
}

/* Returns how many requests ended in one way. */
size_t plain_callers_count(const struct plain_callers *p, enum plain_end end)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < p->n_requests; i++)
		n += p->requests[i]->end == end;
	return n;
}

/* Returns the text of a way, for reports. */
const char *plain_way_name(enum plain_way way)
{
	static const char *const names[] = {
		[PLAIN_WHOLE] = "whole",
		[PLAIN_HALF_LENGTH] = "half a body with a length",
		[PLAIN_HALF_CHUNKS] = "half a body in chunks",
		[PLAIN_HALF_HEAD] = "half a head",
		[PLAIN_PAIR] = "a pair",
		[PLAIN_PAIR_HALF] = "a pair, half the second one's body",
	};

	return names[way];
}

/* Connects a caller.  The kernel accepts for a process that is stopped. */
static void connect_caller(struct plain_caller *c)
{
	const char *colon = strchr(c->address, ':');
	struct sockaddr_in sin = { .sin_family = AF_INET };

	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	sin.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(c->fd, (struct sockaddr *)&sin, sizeof(sin)),
			 0);
	assert_int_equal(fcntl(c->fd, F_SETFL, O_NONBLOCK), 0);
	c->sent = 0;
	c->n_answers = 0;
	c->closing = false;
}

/* Prepares the next request, or a pair, of a caller. */
static void begin(struct plain_callers *p, struct plain_caller *c)
{
	enum plain_way way =
		c->idles ? PLAIN_WHOLE
			 : (enum plain_way)random_below(p->random, PLAIN_WAYS);

	if (c->fd < 0)
		connect_caller(c);
	c->changes_seen = p->changes;
	c->go_on_ms = 0;
	add_request(p, c, way, false);
	if (way == PLAIN_PAIR || way == PLAIN_PAIR_HALF)
		add_request(p, c, way, true);
	c->next_ms = uv_now(harness_loop(p->harness));
}

/* Adds a request to those that a caller sends. */
static void add_request(struct plain_callers *p, struct plain_caller *c,
			enum plain_way way, bool later)
{
	static const char *const paths[] = { "/book/a", "/look/a", "/queue/a",
					     "/permit/a", "/move/a" };
	struct plain_request *r = xcalloc(1, sizeof(*r));

	snprintf(r->id, sizeof(r->id), "p-%zu-x", p->n_requests);
	r->path = paths[random_below(p->random, N(paths))];
	r->way = way;
	r->later = later;
	r->kept = c->n_answers > 0;
	p->requests = xreallocarray(p->requests, p->n_requests + 1,
				    sizeof(r)); /* NOLINT: of pointers */
	p->requests[p->n_requests++] = r;
	c->held = write_request(p, c, r);
	r->end_at = c->sent + c->out.len;
	c->open[c->n_open++] = r;
}

/* Writes the bytes of a request; returns how many at the end are held back. */
static size_t write_request(struct plain_callers *p, struct plain_caller *c,
			    const struct plain_request *r)
{
	static char body[BODY_MAX];
	size_t len = 2 + random_below(p->random, random_below(p->random, 4)
							 ? 200
							 : BODY_MAX - 2);
	bool chunks = r->way == PLAIN_HALF_CHUNKS;
	size_t start = c->out.len;
	size_t head;

	memset(body, 'x', sizeof(body));
	bytes_addf(&c->out,
		   "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\n"
		   "credential: %s\r\nrequest-id: %s\r\ndeadline-ms: 8000\r\n"
		   "token-usage: 12000,6000\r\n",
		   r->path, random_below(p->random, 6) ? "k1" : "k2", r->id);
	if (chunks)
		bytes_addf(&c->out, "transfer-encoding: chunked\r\n\r\n%zx\r\n",
			   len / 2);
	else
		bytes_addf(&c->out, "content-length: %zu\r\n\r\n", len);
	head = c->out.len - start;
	bytes_add(&c->out, body, len / 2);
	if (chunks)
		bytes_addf(&c->out, "\r\n%zx\r\n", len - len / 2);
	bytes_add(&c->out, body, len - len / 2);
	if (chunks)
		bytes_addf(&c->out, "\r\n0\r\n\r\n");
	if (r->way == PLAIN_HALF_HEAD)
		return c->out.len - start - head / 2;
	if (r->way == PLAIN_HALF_LENGTH || chunks ||
	    (r->way == PLAIN_PAIR_HALF && r->later))
		return len / 2;
	return 0;
}

/* Sends what is not held back.  What is held back goes on at a random time after
 * a change, or after HELD_MAX_MS.  An error shows when the caller receives. */
static void send_some(struct plain_callers *p, struct plain_caller *c)
{
	uint64_t now = uv_now(harness_loop(p->harness));
	size_t i;
	ssize_t n;

	if (c->held && !c->go_on_ms && p->changes > c->changes_seen) {
		c->go_on_ms =
			now + random_below(p->random, HELD_AFTER_CHANGE_MS);
		c->open[c->n_open - 1]->held = true;
	}
	if (p->ending || (c->go_on_ms && now >= c->go_on_ms) ||
	    now > c->next_ms + HELD_MAX_MS)
		c->held = 0;
	if (c->out.len <= c->held)
		return;
	n = send(c->fd, c->out.data, c->out.len - c->held, MSG_NOSIGNAL);
	if (n <= 0)
		return;
	bytes_consume(&c->out, (size_t)n);
	c->sent += (size_t)n;
	for (i = 0; i < c->n_open; i++)
		if (!c->open[i]->whole_ms && c->sent >= c->open[i]->end_at)
			c->open[i]->whole_ms = now;
}

/* Receives what has arrived and takes the answers from it. */
static void receive_some(struct plain_callers *p, struct plain_caller *c)
{
	char buf[READ_BYTES];
	ssize_t n;

	while ((n = recv(c->fd, buf, sizeof(buf), 0)) > 0)
		bytes_add(&c->in, buf, (size_t)n);
	if (n < 0 && errno == EAGAIN)
		n = 1;
	while (take_answer(p, c))
		;
	if (n <= 0 || (c->closing && !c->n_open))
		end_connection(p, c);
}

/* Takes the first answer if it is whole.  All answers to these requests have a
 * length. */
static bool take_answer(struct plain_callers *p, struct plain_caller *c)
{
	struct http1_head head;
	const struct http1_header *h;
	uint64_t len = 0;
	size_t used = 0;

	if (!c->in.len || http1_parse_response(c->in.data, c->in.len, &head,
					       &used) != HTTP1_DONE)
		return false;
	h = http1_find_header(&head, "content-length");
	assert_true(h && http1_header_uint(h, &len));
	if (c->in.len - used < len)
		return false;
	settle(p, c, &head, c->in.data + used, (size_t)len);
	bytes_consume(&c->in, used + (size_t)len);
	return true;
}

/* Notes the answer to the oldest request of a connection. */
static void settle(struct plain_callers *p, struct plain_caller *c,
		   const struct http1_head *head, const char *body, size_t len)
{
	const struct http1_header *id = http1_find_header(head, "request-id");
	struct plain_request *r = c->open[0];
	uint64_t now = uv_now(harness_loop(p->harness));

	c->n_answers++;
	c->closing = c->closing || !http1_keeps_alive(head);
	if (!c->n_open) {
		p->n_mixed++;
		return;
	}
	r->status = head->status;
	if (head->status < 300)
		r->end = PLAIN_ANSWERED;
	else if (head->status < 500 || head->status == 503)
		r->end = PLAIN_REFUSED;
	else
		r->end = PLAIN_FAILED;
	if (r->end == PLAIN_ANSWERED &&
	    (!id || id->value_len != strlen(r->id) ||
	     memcmp(id->value, r->id, id->value_len) != 0 ||
	     len != strlen(WHOLE_ANSWER) ||
	     memcmp(body, WHOLE_ANSWER, len) != 0))
		p->n_mixed++;
	c->open[0] = c->open[1];
	c->n_open--;
	if (!c->n_open) {
		c->out.len = 0;
		c->held = 0;
		c->next_ms = now + idle_ms(p, c);
	}
}

/* Notes the end of a connection, whose requests have no answer. */
static void end_connection(struct plain_callers *p, struct plain_caller *c)
{
	uint64_t now = uv_now(harness_loop(p->harness));
	size_t i;

	for (i = 0; i < c->n_open; i++) {
		struct plain_request *r = c->open[i];

		r->end = end_without_answer(p, c, r);
		if (r->end == PLAIN_LOST || r->end == PLAIN_CROSSED)
			print_message("%s: %s %s at %s, %s%s, %llu ms after "
				      "its last byte, %s\n",
				      r->end == PLAIN_LOST ? "lost" : "crossed",
				      r->id, r->path, c->address,
				      plain_way_name(r->way),
				      r->later ? " (second)" : "",
				      (unsigned long long)(now - r->whole_ms),
				      plain_has_run(p, r) ? "passed on"
							  : "not passed on");
	}
	if (c->n_open)
		c->next_ms = now + idle_ms(p, c);
	close(c->fd);
	c->fd = -1;
	c->n_open = 0;
	c->held = 0;
	c->out.len = 0;
	c->in.len = 0;
}

/* Decides what the end of a connection means for a request without an
 * answer. */
static enum plain_end end_without_answer(const struct plain_callers *p,
					 const struct plain_caller *c,
					 const struct plain_request *r)
{
	uint64_t now = uv_now(harness_loop(p->harness));

	if (!r->whole_ms)
		return PLAIN_UNFINISHED;
	if (plain_has_run(p, r))
		return PLAIN_LOST;
	if (c->closing)
		return PLAIN_DROPPED;
	return now - r->whole_ms > LOSS_SLACK_MS ? PLAIN_LOST : PLAIN_CROSSED;
}

/* Returns whether a request has reached an endpoint that ran it. */
bool plain_has_run(const struct plain_callers *p, const struct plain_request *r)
{
	char line[sizeof(r->id) + 16];
	size_t i;

	snprintf(line, sizeof(line), "\nrequest-id: %s\n", r->id);
	for (i = 0; i < p->world->n_arrivals; i++)
		if (p->world->arrivals[i]->ran &&
		    standin_arrival_has_line(p->world->arrivals[i], line))
			return true;
	return false;
}

/* Returns how long a connection stays idle before its next request. */
static uint32_t idle_ms(const struct plain_callers *p,
			const struct plain_caller *c)
{
	if (c->idles)
		return IDLE_END_MS +
		       random_below(p->random, IDLE_END_SPREAD_MS);
	return random_below(p->random, random_below(p->random, 4) ? 150 : 1000);
}
