/*
 * The phase of the soak in which engines whose streams may have no length are
 * killed between two events, and instances, links and the store fail beside it,
 * while callers take up broken streams at random instances.  Checks the users'
 * rule ORDER on each caller's stream over all its tries.
 */
#include "regress/soak/order_phase.h"

#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/bytes.h"
#include "lib/event_stream.h"
#include "regress/soak/order_faults.h"
#include "regress/stream_rule.h"

/* Faults and callers are drawn apart: callers draw as answers come. */
#define FAULT_SEED 4000003
#define CALLER_SEED 5000003

#define STEP_MS 20
#define DEADLINE_MS 12000
#define BEGIN_INTERVAL_MS 60 /* mean, of new streams */
#define BREAK_INTERVAL_MS 150 /* mean, of callers that lose their connection */
#define RETRY_MAX_MS 400 /* of a caller, after a broken attempt */
#define TRIES_MAX 6 /* the first attempt and five take-ups */
#define DRAIN_MS 6000 /* for the streams to end after the faults */
#define EVENT_MS 30
#define STREAMS_MAX 256
#define TWO_VERSIONS_MAX 2 /* of the users' rule */

/* A stream that may not go on elsewhere. */
#define ROUTE_SINGLE                                                      \
	"{\"name\":\"single\",\"hostname\":\"127.0.0.1\",\"pathPrefix\":" \
	"\"/single/\",\"routeType\":\"streaming\",\"timeoutMs\":20000,"   \
	"\"targetLatencyMs\":4500,\"targetGapMs\":700,\"backend\":"       \
	"\"engine\",\"maxAttempts\":5}"

/* A caller's stream over all its tries. */
struct stream {
	bool open;
	bool http_1_0;
	bool served; /* the attempt was answered 200 */
	unsigned int number;
	unsigned int attempt;
	unsigned int first_attempt; /* brought the first event, 0: none yet */
	uint64_t retry_ms; /* loop time of the next attempt */
	uint64_t last_event_id;
	struct http1_call *http; /* NULL between two attempts */
	struct event_stream events;
	struct followed_stream followed;
};

static const struct order_phase *phase;
static struct random_source fault_numbers;
static struct random_source numbers;
static struct stream streams[STREAMS_MAX];
static struct stream_counts counts;
static unsigned int complete; /* streams with all their pieces */
static unsigned int taken_up; /* attempts after the first */

static enum http1_head_decision on_head(void *arg, const struct http1_head *h);
static void on_body(void *arg, const char *data, size_t len);
static void on_end(void *arg, enum http1_outcome outcome);

static const struct http1_call_ops call_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static uint64_t now_ms(void)
{
	return uv_now(harness_loop(phase->harness));
}

static uint32_t draw(uint32_t n)
{
	return random_below(&numbers, n);
}

/* Prints the faults that have just been found in a stream. */
static void note_faults(const struct stream *s, unsigned int found)
{
	int i;

	for (i = 0; i < STREAM_FAULTS; i++)
		if (found >> i & 1)
			order_faults_note(
				"%s: o-%u-%u after event %u, %s, HTTP/1.%d",
				stream_fault_name((enum stream_fault)i),
				s->number, s->attempt, s->followed.received,
				s->followed.resumable ? "resumable" : "single",
				!s->http_1_0);
}

static enum http1_head_decision on_head(void *arg, const struct http1_head *h)
{
	((struct stream *)arg)->served = h->status == 200;
	return HTTP1_ACCEPT;
}

/* Follows the events of an answer. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct stream *s = arg;
	struct whole_event e;

	if (!s->served)
		return;
	event_stream_add(&s->events, data, len);
	while (event_stream_next(&s->events, 0, &e)) {
		char text[160];
		char version[16];
		char request[40];
		struct stream_piece piece = { .version = version,
					      .request = request };

		snprintf(text, sizeof(text), "%.*s", (int)e.len, e.data);
		event_stream_consume(&s->events, e.len);
		if (sscanf(text, "id: %*u data: e%u %15s %u %39s",
			   &piece.number, version, &piece.run, request) != 4)
			fail_msg("o-%u-%u: \"%s\" is no event", s->number,
				 s->attempt, text);
		s->last_event_id = e.id;
		if (!s->first_attempt)
			s->first_attempt = s->attempt;
		note_faults(s, stream_rule_piece(&s->followed, &piece));
	}
}

/* Ends a stream and counts it. */
static void close_stream(struct stream *s)
{
	stream_rule_count(&counts, &s->followed);
	s->open = false;
}

/* Handles the end of an attempt; one that broke off is taken up later, if the
 * stream may be.  An answer without a length that ends inside an event has broken
 * off, too. */
static void on_end(void *arg, enum http1_outcome outcome)
{
	struct stream *s = arg;
	bool whole = outcome == HTTP1_COMPLETE && s->served &&
		     !(s->http_1_0 && s->events.pending.len);

	s->http = NULL;
	event_stream_release(&s->events);
	memset(&s->events, 0, sizeof(s->events));
	if (whole) {
		note_faults(s, stream_rule_complete(&s->followed));
		complete += s->followed.received == s->followed.last_piece;
	}
	if (whole || s->attempt == TRIES_MAX ||
	    (!s->followed.resumable && s->served))
		close_stream(s);
	else
		s->retry_ms = now_ms() + draw(RETRY_MAX_MS);
}

/* Sends the first or next attempt of a stream to a random instance. */
static void send_attempt(struct stream *s)
{
	const struct http1_call_options options = {
		.address = phase->instances[draw((uint32_t)phase->n_instances)]
				   .callers,
		.connect_timeout_ms = 500,
	};
	struct bytes out = { 0 };

	s->served = false;
	taken_up += s->attempt++ > 0;
	bytes_addf(&out,
		   "POST /%s/o HTTP/1.%d\r\nhost: 127.0.0.1\r\n"
		   "credential: k1\r\nrequest-id: o-%u-%u\r\n"
		   "deadline-ms: %u\r\ntoken-usage: 300,100\r\n",
		   s->followed.resumable ? "write" : "single", !s->http_1_0,
		   s->number, s->attempt, DEADLINE_MS);
	if (s->first_attempt)
		bytes_addf(&out, "resumes: o-%u-%u\r\nlast-event-id: %llu\r\n",
			   s->number, s->first_attempt,
			   (unsigned long long)s->last_event_id);
	bytes_addf(&out, "content-length: 6\r\n\r\n%06u", s->number % 1000000);
	s->http = http1_call_start(phase->client, &options, out.data, out.len,
				   &call_ops, s);
}

/* Begins a stream; a third of them may not go on elsewhere, and a quarter of the
 * callers uses HTTP/1.0. */
static void begin_stream(void)
{
	static unsigned int number;
	struct stream *s = streams;

	while (s < streams + STREAMS_MAX && s->open)
		s++;
	if (s == streams + STREAMS_MAX)
		return;
	number++;
	*s = (struct stream){
		.open = true,
		.http_1_0 = !draw(4),
		.number = number,
		.followed = { .resumable = draw(3) > 0,
			      .last_piece = STANDIN_EVENTS },
	};
	snprintf(s->followed.prefix, sizeof(s->followed.prefix), "o-%u-",
		 s->number);
	send_attempt(s);
}

/* A caller loses its connection. */
static void break_stream(void)
{
	uint32_t first = draw(STREAMS_MAX);
	size_t i;

	for (i = 0; i < STREAMS_MAX; i++) {
		struct stream *s = &streams[(first + i) % STREAMS_MAX];

		if (!s->http || !s->first_attempt || !s->followed.resumable)
			continue;
		http1_call_cancel(s->http);
		on_end(s, HTTP1_BROKEN);
		return;
	}
}

/* Runs a step of the callers; returns whether a stream is open. */
static bool step_callers(bool new_ones)
{
	bool any = false;
	size_t i;

	if (new_ones && draw(BEGIN_INTERVAL_MS) < STEP_MS)
		begin_stream();
	if (new_ones && draw(BREAK_INTERVAL_MS) < STEP_MS)
		break_stream();
	for (i = 0; i < STREAMS_MAX; i++) {
		struct stream *s = &streams[i];

		any = any || s->open;
		if (s->open && !s->http && now_ms() >= s->retry_ms)
			send_attempt(s);
	}
	http1_client_tick(phase->client);
	harness_run(phase->harness, STEP_MS);
	return any;
}

/* Ends the streams that are still open. */
static void close_streams(void)
{
	size_t i;

	for (i = 0; i < STREAMS_MAX; i++) {
		if (!streams[i].open)
			continue;
		if (streams[i].http)
			http1_call_cancel(streams[i].http);
		event_stream_release(&streams[i].events);
		close_stream(&streams[i]);
	}
}

/* Prints the counts and checks the rule. */
static void check(void)
{
	bool broken = false;
	int i;

	print_message("seed %llu: order: %u streams, %u complete, %u attempts "
		      "to go on",
		      (unsigned long long)phase->seed, counts.streams, complete,
		      taken_up);
	for (i = 0; i < STREAM_FAULTS; i++) {
		print_message(", %s %u",
			      stream_fault_name((enum stream_fault)i),
			      counts.faulty[i]);
		broken = broken ||
			 counts.faulty[i] > (i == STREAM_TWO_VERSIONS
						     ? TWO_VERSIONS_MAX
						     : 0);
	}
	print_message("\n");
	if (broken)
		fail_msg("streams break the rule on their order");
	if (!complete)
		fail_msg("no stream is complete");
}

/* Runs the phase and checks the rule. */
void order_phase_run(const struct order_phase *p)
{
	uint64_t event_ms = p->world->event_ms;
	uint64_t end;

	phase = p;
	fault_numbers = (struct random_source){ .seed = p->seed + FAULT_SEED };
	numbers = (struct random_source){ .seed = p->seed + CALLER_SEED };
	p->world->events_name_runs = true;
	p->world->event_ms = EVENT_MS;
	standin_put_configuration(p->world, p->version, ROUTE_SINGLE);
	order_faults_begin(p, &fault_numbers);
	harness_run(p->harness, 1000); /* until all instances follow */
	for (end = now_ms() + p->ms; now_ms() < end;) {
		order_faults_step(STEP_MS);
		step_callers(true);
	}
	order_faults_heal();
	end = now_ms() + DRAIN_MS;
	while (now_ms() < end && step_callers(false))
		;
	close_streams();
	p->world->events_name_runs = false;
	p->world->event_ms = event_ms;
	check();
}
