/*
 * Callers of the tests of whole requests.  Each sends one request at a time, on
 * kept or new connections, holds parts of some back across a change of the
 * configuration, and notes how each ends.
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

#define LOSS_SLACK_MS 200 /* the users' lossSlackMs */
#define FRESH_MS 1000 /* of an instance */
#define HELD_MAX_MS 1200 /* without a change */
#define LARGE_MIN 200000
#define LARGE_MAX 3000000
#define SMALL_MAX 400
#define CHUNK 32768
#define READ_BYTES 262144
#define SLOW_BYTES 16384 /* a step */
#define RETRY_CONNECT_MS 5
#define SMALL_BUFFER \
	4096 /* of a socket, so that answers wait at the instance */
#define READS_MAX_MS 4000 /* a caller that pauses, after it has begun to send */
#define PAUSE_MAX_MS 150
#define APPLIED_MS 2000 /* a configuration, after the next one */

static bool connect_caller(struct whole_world *w, struct whole_caller *c);
static const struct whole_address *choose_address(struct whole_world *w);
static void note_limit(const struct whole_world *w, struct whole_request *r);
static void begin(struct whole_world *w, struct whole_caller *c);
static struct whole_request *new_request(struct whole_world *w,
					 struct whole_caller *c);
static void write_request(struct whole_caller *c,
			  const struct whole_request *r);
static void send_some(struct whole_world *w, struct whole_caller *c);
static void receive_some(struct whole_world *w, struct whole_caller *c);
static void take_answer(struct whole_world *w, struct whole_caller *c);
static void settle(struct whole_world *w, struct whole_caller *c);
static bool is_complete(struct whole_caller *c);
static void note_wait(const struct whole_world *w, struct whole_request *r);
static bool count_events(struct whole_request *r, const struct bytes *text);
static void end_request(struct whole_world *w, struct whole_caller *c,
			struct whole_request *r);
static void end_connection(struct whole_world *w, struct whole_caller *c);

static uint64_t now_ms(const struct whole_world *w)
{
	return uv_now(harness_loop(w->platform->harness));
}

/* Prepares n callers. */
void whole_callers_init(struct whole_world *w, size_t n)
{
	size_t i;

	assert_true(n <= WHOLE_CALLERS_MAX);
	w->n_callers = n;
	for (i = 0; i < n; i++)
		w->callers[i] = (struct whole_caller){
			.fd = -1,
			.next_ms = now_ms(w) + random_below(w->random, 300),
		};
}

/* Lets each caller send and receive what it can now. */
void whole_callers_step(struct whole_world *w)
{
	size_t i;

	for (i = 0; i < w->n_callers; i++) {
		struct whole_caller *c = &w->callers[i];

		if (!c->open && !c->next && !w->ending &&
		    now_ms(w) >= c->next_ms)
			begin(w, c);
		if (c->fd >= 0)
			send_some(w, c);
		if (c->fd >= 0)
			receive_some(w, c);
	}
}

/* Returns whether all requests have ended. */
bool whole_callers_over(const struct whole_world *w)
{
	size_t i;

	for (i = 0; i < w->n_callers; i++)
		if (w->callers[i].open || w->callers[i].next)
			return false;
	return true;
}

/* Returns how many requests ended in one way. */
size_t whole_count(const struct whole_world *w, enum whole_end end)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < w->n_requests; i++)
		n += w->requests[i]->end == end;
	return n;
}

/* Returns the prefix of a path. */
const char *whole_path_prefix(enum whole_path path)
{
	static const char *const names[] = {
		[WHOLE_BOOK] = "/book/",
		[WHOLE_LOOK] = "/look/",
		[WHOLE_TELL] = "/tell/",
		[WHOLE_WRITE] = "/write/",
	};

	return names[path];
}

/* Chooses the address of a new connection: half of them go to an instance in its
 * first second, if there is one. */
static const struct whole_address *choose_address(struct whole_world *w)
{
	size_t first = random_below(w->random, (uint32_t)w->n_addresses);
	bool prefer = random_below(w->random, 2);
	const struct whole_address *chosen = NULL;
	size_t i;

	for (i = 0; i < w->n_addresses; i++) {
		const struct whole_address *a =
			&w->addresses[(first + i) % w->n_addresses];

		if (!a->listed)
			continue;
		if (!chosen || (prefer && now_ms(w) - a->started_ms < FRESH_MS))
			chosen = a;
	}
	return chosen;
}

/* Connects a caller; false if its instance does not listen. */
static bool connect_caller(struct whole_world *w, struct whole_caller *c)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int size = SMALL_BUFFER;

	c->to = choose_address(w);
	if (!c->to)
		return false;
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (w->manners && random_below(w->random, 2))
		setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	sin.sin_port = htons(
		(uint16_t)strtoul(strchr(c->to->address, ':') + 1, NULL, 10));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(c->fd, (struct sockaddr *)&sin, sizeof(sin))) {
		close(c->fd);
		c->fd = -1;
		return false;
	}
	assert_int_equal(fcntl(c->fd, F_SETFL, O_NONBLOCK), 0);
	c->n_answers = 0;
	c->closing = false;
	return true;
}

/* Notes the time limit that an instance may apply to what it receives now. */
static void note_limit(const struct whole_world *w, struct whole_request *r)
{
	if (w->limited_ms && now_ms(w) - w->limited_ms < APPLIED_MS)
		r->limit_ms = WHOLE_TIMEOUT_MS;
	if (r->path > WHOLE_LOOK && w->stream_limited_ms &&
	    now_ms(w) - w->stream_limited_ms < APPLIED_MS)
		r->limit_ms = WHOLE_SHORT_TIMEOUT_MS;
}

/* Prepares the next request of a caller. */
static void begin(struct whole_world *w, struct whole_caller *c)
{
	struct whole_request *r;

	if (c->fd < 0 && !connect_caller(w, c)) {
		c->next_ms = now_ms(w) + RETRY_CONNECT_MS;
		return;
	}
	r = new_request(w, c);
	c->open = r;
	c->reads_slowly = !random_below(w->random, 8);
	c->changes_seen = w->changes;
	c->next_ms = now_ms(w);
	c->reads_ms = 0;
	if (r->pauses)
		c->reads_ms = now_ms(w) + random_below(w->random, READS_MAX_MS);
	write_request(c, r);
	c->first_len = c->out.len;
	c->sent = 0;
	c->held =
		random_below(w->random, 3)
			? 0
			: 1 + random_below(w->random, (uint32_t)c->out.len - 1);
	if (r->manner != WHOLE_TWO)
		return;
	c->held = 0;
	c->next = new_request(w, c);
	c->next->kept = true;
	c->next->manner = WHOLE_TWO;
	if (c->next->len > SMALL_MAX)
		c->next->len = SMALL_MAX;
	write_request(c, c->next);
}

/* Draws a request of a caller. */
static struct whole_request *new_request(struct whole_world *w,
					 struct whole_caller *c)
{
	struct whole_request *r = xcalloc(1, sizeof(*r));

	snprintf(r->id, sizeof(r->id), "p-%zu-x", w->n_requests);
	r->to = c->to;
	r->path = (enum whole_path)random_below(w->random, WHOLE_PATHS);
	r->second_key = !random_below(w->random, 6);
	if (w->manners)
		r->manner = (enum whole_manner)random_below(w->random,
							    WHOLE_MANNERS);
	r->pauses = w->manners && !random_below(w->random, 4);
	r->chunks = r->manner != WHOLE_HTTP_1_0 && random_below(w->random, 2);
	r->kept = c->n_answers > 0;
	r->begun_ms = now_ms(w);
	r->limit_ms = WHOLE_DEADLINE_MS;
	note_limit(w, r);
	r->fresh = now_ms(w) - c->to->started_ms < FRESH_MS;
	r->len = r->path > WHOLE_LOOK || random_below(w->random, 3)
			 ? random_below(w->random, SMALL_MAX)
			 : LARGE_MIN + random_below(w->random,
						    LARGE_MAX - LARGE_MIN);
	w->requests = xreallocarray(w->requests, w->n_requests + 1,
				    sizeof(r)); /* NOLINT: of pointers */
	w->requests[w->n_requests++] = r;
	return r;
}

/* Writes the bytes of a request behind what a caller is to send. */
static void write_request(struct whole_caller *c, const struct whole_request *r)
{
	static char fill[CHUNK];
	size_t left = r->len;

	memset(fill, whole_fill(r), sizeof(fill));
	bytes_addf(&c->out,
		   "POST %sa HTTP/1.%d\r\nHost: 127.0.0.1\r\n"
		   "credential: %s\r\nrequest-id: %s\r\ndeadline-ms: %d\r\n"
		   "token-usage: 120,60\r\n",
		   whole_path_prefix(r->path), r->manner != WHOLE_HTTP_1_0,
		   r->second_key ? "k2" : "k1", r->id, WHOLE_DEADLINE_MS);
	if (r->chunks)
		bytes_addf(&c->out, "transfer-encoding: chunked\r\n\r\n");
	else
		bytes_addf(&c->out, "content-length: %zu\r\n\r\n", r->len);
	while (left) {
		size_t n = left < CHUNK ? left : CHUNK;

		if (r->chunks)
			bytes_addf(&c->out, "%zx\r\n", n);
		bytes_add(&c->out, fill, n);
		if (r->chunks)
			bytes_add(&c->out, "\r\n", 2);
		left -= n;
	}
	if (r->chunks)
		bytes_addf(&c->out, "0\r\n\r\n");
}

/* Sends what is not held back; that goes on after a change, or after
 * HELD_MAX_MS.  An error shows when the caller receives. */
static void send_some(struct whole_world *w, struct whole_caller *c)
{
	uint64_t now = now_ms(w);
	ssize_t n;

	if (!c->open || c->sent == c->out.len)
		return;
	if (c->held && w->changes > c->changes_seen)
		c->open->held = true;
	if (w->ending || c->open->held || now > c->next_ms + HELD_MAX_MS)
		c->held = 0;
	if (c->sent >= c->out.len - c->held)
		return;
	n = send(c->fd, c->out.data + c->sent, c->out.len - c->held - c->sent,
		 MSG_NOSIGNAL);
	if (n <= 0)
		return;
	c->sent += (size_t)n;
	note_limit(w, c->open);
	if (c->sent >= c->first_len && !c->open->whole_ms)
		c->open->whole_ms = now;
	if (c->next)
		note_limit(w, c->next);
	if (c->next && c->sent == c->out.len)
		c->next->whole_ms = now;
	if (c->open->manner == WHOLE_HALF_CLOSED && c->open->whole_ms)
		shutdown(c->fd, SHUT_WR);
}

/* Receives what has arrived, and the answer from it. */
static void receive_some(struct whole_world *w, struct whole_caller *c)
{
	static char buf[READ_BYTES];
	size_t most = c->reads_slowly ? SLOW_BYTES : sizeof(buf);
	size_t n_answers = c->n_answers;
	ssize_t n;

	if (c->open && now_ms(w) < c->reads_ms)
		return;
	n = recv(c->fd, buf, most, 0);
	if (n > 0)
		bytes_add(&c->in, buf, (size_t)n);
	if (n < 0 && errno == EAGAIN)
		return;
	if (c->open)
		take_answer(w, c);
	if (c->open && c->n_answers > n_answers)
		take_answer(w, c); /* of the request that was sent behind it */
	if (n == 0 && c->open && c->in_body &&
	    c->framing.framing == HTTP1_UNTIL_CLOSE && is_complete(c))
		settle(w, c);
	if (n <= 0 ||
	    (c->closing && !c->open && !(c->next && c->next->whole_ms)))
		end_connection(w, c);
}

/* Reads the answer as far as it has arrived. */
static void take_answer(struct whole_world *w, struct whole_caller *c)
{
	enum http1_result result;
	struct http1_head head;
	size_t decoded = 0;
	size_t used = 0;
	size_t rest = 0;

	if (!c->in_body) {
		if (!c->in.len ||
		    http1_parse_response(c->in.data, c->in.len, &head, &used) !=
			    HTTP1_DONE)
			return;
		c->open->status = head.status;
		c->open->begun = true;
		c->closing = !http1_keeps_alive(&head) ||
			     c->open->manner == WHOLE_HALF_CLOSED;
		assert_true(http1_response_framing(&head, false, &c->framing));
		c->in_body = true;
		bytes_consume(&c->in, used);
	}
	result = http1_body_read(&c->framing, c->in.data, c->in.len, &decoded,
				 &rest);
	assert_true(result != HTTP1_BAD);
	bytes_add(&c->text, c->in.data, decoded);
	bytes_consume(&c->in, decoded);
	c->in.len = rest;
	if (result == HTTP1_DONE)
		settle(w, c);
}

/* Returns whether an answer that ends with its connection is all that an endpoint
 * sent, as far as that is known: a plain one may come of another run. */
static bool is_complete(struct whole_caller *c)
{
	struct whole_request copy = *c->open;

	if (c->open->status >= 300)
		return true;
	if (c->open->path > WHOLE_LOOK)
		return count_events(&copy, &c->text);
	return c->open->runs > 1 || c->text.len == c->open->answer_len;
}

/* Notes a complete answer. */
static void settle(struct whole_world *w, struct whole_caller *c)
{
	struct whole_request *r = c->open;
	size_t id_len = strlen(r->id);

	if (r->status < 300)
		r->end = WHOLE_ANSWERED;
	else if (r->status < 500 || r->status == 503)
		r->end = WHOLE_REFUSED;
	else
		r->end = WHOLE_FAILED;
	r->over_ms = now_ms(w);
	note_wait(w, r);
	if (r->end == WHOLE_ANSWERED && r->path > WHOLE_LOOK)
		r->wrong = r->wrong || !count_events(r, &c->text);
	else if (r->end == WHOLE_ANSWERED)
		r->wrong = r->wrong || c->text.len < id_len ||
			   memcmp(c->text.data, r->id, id_len) != 0;
	if (c->sent < c->first_len)
		c->closing = true; /* the rest of the request is not sent */
	c->n_answers++;
	c->in_body = false;
	c->held = 0;
	c->text.len = 0;
	if (c->next && !c->closing) {
		bytes_consume(&c->out, c->first_len);
		c->sent -= c->first_len;
		c->first_len = c->out.len;
		c->open = c->next;
		c->next = NULL;
		return;
	}
	c->open = NULL;
	c->out.len = 0;
	c->sent = 0;
	c->next_ms = now_ms(w) + random_below(w->random, PAUSE_MAX_MS);
}

/* Notes whether a request was ended by its time limit though no endpoint was at work
 * on it and some were free. */
static void note_wait(const struct whole_world *w, struct whole_request *r)
{
	bool late =
		r->end == WHOLE_OUT_OF_TIME || r->status == 504 ||
		(r->status == 503 && r->over_ms - r->begun_ms >= r->limit_ms);

	r->waited = late && !r->pauses && r->whole_ms &&
		    r->over_ms - r->whole_ms > LOSS_SLACK_MS &&
		    !whole_at_work(w, r) && whole_has_free(w, r);
}

/* Returns whether a complete stream has each event once and in order. */
static bool count_events(struct whole_request *r, const struct bytes *text)
{
	static const char id[] = "id: ";
	size_t i;

	for (i = 0; i + sizeof(id) <= text->len; i++) {
		if ((i && text->data[i - 1] != '\n') ||
		    memcmp(text->data + i, id, strlen(id)) != 0)
			continue;
		if (atoi(text->data + i + strlen(id)) != ++r->n_events)
			return false;
	}
	return r->n_events == STANDIN_EVENTS;
}

/* Notes the end of a connection for a request that has no complete answer. */
static void end_request(struct whole_world *w, struct whole_caller *c,
			struct whole_request *r)
{
	static const char *const ends[WHOLE_ENDS] = {
		[WHOLE_LOST] = "lost",
		[WHOLE_CROSSED] = "crossed",
		[WHOLE_BROKEN_OFF] = "broken off",
		[WHOLE_OUT_OF_TIME] = "out of time",
	};
	static const char *const manners[WHOLE_MANNERS] = {
		[WHOLE_PLAINLY] = "",
		[WHOLE_TWO] = ", one of two at once",
		[WHOLE_HALF_CLOSED] = ", sending direction ended",
		[WHOLE_HTTP_1_0] = ", HTTP/1.0",
	};
	uint64_t now = now_ms(w);

	r->over_ms = now;
	r->at_work = whole_at_work(w, r);
	if (!r->whole_ms)
		r->end = WHOLE_UNFINISHED;
	else if (r->broken_off)
		r->end = WHOLE_BROKEN_OFF;
	else if (now - r->begun_ms >= r->limit_ms)
		r->end = WHOLE_OUT_OF_TIME;
	else
		r->end = r->runs || r->begun ||
					 now - r->whole_ms > LOSS_SLACK_MS
				 ? WHOLE_LOST
				 : WHOLE_CROSSED;
	note_wait(w, r);
	if (r->whole_ms)
		print_message(
			"%s: %s %s at %s, body of %zu in %s%s%s%s%s, %llu ms "
			"after its last byte, %s, answer %s\n",
			ends[r->end], r->id, whole_path_prefix(r->path),
			c->to->address, r->len,
			r->chunks ? "chunks" : "one piece",
			r->kept ? ", kept" : "",
			r->fresh ? ", fresh instance" : "", manners[r->manner],
			r->pauses ? ", reading late" : "",
			(unsigned long long)(now - r->whole_ms),
			r->runs ? "passed on" : "not passed on",
			r->begun ? "begun" : "not begun");
}

/* Notes the end of a connection. */
static void end_connection(struct whole_world *w, struct whole_caller *c)
{
	if (c->open)
		end_request(w, c, c->open);
	if (c->next)
		end_request(w, c, c->next);
	close(c->fd);
	c->fd = -1;
	c->open = NULL;
	c->next = NULL;
	c->in_body = false;
	c->in.len = 0;
	c->text.len = 0;
	c->out.len = 0;
	c->sent = 0;
	c->held = 0;
	c->next_ms = now_ms(w) + random_below(w->random, PAUSE_MAX_MS);
}
