/*
 * The phase of the soak in which engines change between two software versions
 * while callers take up broken streams at other instances, and all instances
 * are killed at once.  Checks the users' rules ORDER, on streams that hold
 * events of two versions, and LOST, on streams that could go on and do not.
 */
#include "regress/soak/version_phase.h"

#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/bytes.h"
#include "lib/event_stream.h"
#include "regress/random.h"

#define VERSION_SEED 3000003 /* the faults of a seed stay the same */
#define PHASE_MS 6000
#define KILL_MS 2500 /* from the start of the phase */
#define DOWN_MS 500 /* of all instances */
#define STEP_MS 20
#define DEADLINE_MS 10000
#define BEGIN_INTERVAL_MS 50 /* mean, of new streams */
#define BREAK_INTERVAL_MS 60 /* mean, of callers that lose their connection */
#define RELEASE_INTERVAL_MS 700 /* mean, of engines that change the version */
#define RELEASE_MS 200 /* an engine is down for this long */
#define LISTED_MS 1000 /* until all instances have read an entry */
#define STREAMS_MAX 128

/* The users' rules. */
#define MIXED_MAX 2
#define TAKE_UPS_MIN 12

/* A caller's stream over all its take-ups. */
struct stream {
	bool open;
	bool mixed;
	bool counted; /* the attempt counts for LOST */
	bool served; /* the attempt was answered 200 */
	bool answered; /* the attempt brought an event */
	size_t instance;
	unsigned attempt;
	unsigned number;
	char version[8]; /* of its first event */
	uint64_t last_event;
	struct http1_call *http; /* NULL: it broke off */
	struct event_stream events;
};

static const struct version_phase *phase;
static struct random_source numbers;
static struct stream streams[STREAMS_MAX];
static uint64_t changed_ms[STANDIN_WORKERS_MAX]; /* last start of an engine */
static unsigned new_streams;
static unsigned begun; /* of these */
static unsigned take_ups; /* while two engines of their version served */
static unsigned gone_on; /* of these */
static unsigned mixed; /* streams of two versions */

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

/* Returns whether something with a mean interval happens in this step. */
static bool happens(uint32_t interval_ms)
{
	return random_below(&numbers, interval_ms) < STEP_MS;
}

static enum http1_head_decision on_head(void *arg, const struct http1_head *h)
{
	((struct stream *)arg)->served = h->status == 200;
	return HTTP1_ACCEPT;
}

/* Counts an attempt that brings its first event. */
static void count_answered(struct stream *s)
{
	s->answered = true;
	if (s->attempt == 1)
		begun++;
	else if (s->counted)
		gone_on++;
}

/* Notes the version of each event. */
static void on_body(void *arg, const char *data, size_t len)
{
	struct stream *s = arg;
	struct whole_event e;

	if (!s->served)
		return;
	event_stream_add(&s->events, data, len);
	while (event_stream_next(&s->events, 0, &e)) {
		const char *text =
			memmem(s->events.pending.data, e.len, "data: ", 6);
		char version[8] = "";

		if (text)
			sscanf(text, "data: e%*u %7s", version);
		if (!s->last_event)
			memcpy(s->version, version, sizeof(version));
		s->mixed |= strcmp(s->version, version) != 0;
		s->last_event = e.id;
		if (!s->answered)
			count_answered(s);
		event_stream_consume(&s->events, e.len);
	}
}

/* Handles the end of an attempt; the stream ends with it if it is complete, or
 * has not begun or gone on. */
static void on_end(void *arg, enum http1_outcome outcome)
{
	struct stream *s = arg;

	(void)outcome;
	s->http = NULL;
	event_stream_release(&s->events);
	memset(&s->events, 0, sizeof(s->events));
	if (s->last_event == STANDIN_EVENTS || !s->last_event ||
	    (s->attempt > 1 && !s->answered)) {
		mixed += s->mixed;
		s->open = false;
	}
}

/* Returns whether two engines of a version have served for some time. */
static bool version_serves(const char *version)
{
	const struct standin_world *w = phase->world;
	size_t n = 0;
	size_t i;

	for (i = phase->first_engine; i < w->n_workers; i++)
		n += w->workers[i].server &&
		     !strcmp(w->workers[i].version, version) &&
		     now_ms() - changed_ms[i] > LISTED_MS;
	return n >= 2;
}

/* Sends the first or next attempt of a stream to an instance. */
static void send_attempt(struct stream *s, size_t instance)
{
	const struct http1_call_options options = {
		.address = phase->instances[instance].callers,
		.connect_timeout_ms = 500,
	};
	struct bytes out = { 0 };

	s->answered = false;
	s->instance = instance;
	s->counted = s->attempt++ && version_serves(s->version);
	new_streams += s->attempt == 1;
	take_ups += s->counted;
	bytes_addf(&out,
		   "POST /write/v HTTP/1.1\r\nhost: 127.0.0.1\r\n"
		   "credential: k1\r\nrequest-id: v-%u-%u\r\n"
		   "deadline-ms: %u\r\ntoken-usage: 300,100\r\n",
		   s->number, s->attempt, DEADLINE_MS);
	if (s->attempt > 1)
		bytes_addf(&out, "resumes: v-%u-1\r\nlast-event-id: %llu\r\n",
			   s->number, (unsigned long long)s->last_event);
	bytes_addf(&out, "content-length: 6\r\n\r\n%06u", s->number % 1000000);
	s->http = http1_call_start(phase->client, &options, out.data, out.len,
				   &call_ops, s);
}

/* Begins a stream at a random instance. */
static void begin_stream(void)
{
	static unsigned number;
	size_t i;

	for (i = 0; i < STREAMS_MAX && streams[i].open; i++)
		;
	if (i == STREAMS_MAX)
		return;
	number++;
	streams[i] = (struct stream){ .open = true, .number = number };
	send_attempt(&streams[i],
		     random_below(&numbers, (uint32_t)phase->n_instances));
}

/* A caller loses its connection. */
static void break_stream(void)
{
	uint32_t first = random_below(&numbers, STREAMS_MAX);
	size_t i;

	for (i = 0; i < STREAMS_MAX; i++) {
		struct stream *s = &streams[(first + i) % STREAMS_MAX];

		if (!s->http || !s->answered)
			continue;
		http1_call_cancel(s->http);
		on_end(s, HTTP1_BROKEN);
		return;
	}
}

/* Takes up the streams that broke off, each at another instance. */
static void take_up_streams(void)
{
	size_t i;

	for (i = 0; i < STREAMS_MAX; i++)
		if (streams[i].open && !streams[i].http)
			send_attempt(&streams[i], (streams[i].instance + 1) %
							  phase->n_instances);
}

/* Ends an engine, or starts one that is down with the other version. */
static void change_versions(bool all_start)
{
	struct standin_world *w = phase->world;
	size_t i;

	for (i = phase->first_engine; i < w->n_workers; i++) {
		struct standin_worker *e = &w->workers[i];

		if (e->server ||
		    (!all_start && now_ms() - changed_ms[i] < RELEASE_MS))
			continue;
		e->version = strcmp(e->version, "v1") ? "v1" : "v2";
		changed_ms[i] = now_ms();
		standin_replace_worker(e);
	}
	if (all_start || !happens(RELEASE_INTERVAL_MS))
		return;
	i = phase->first_engine +
	    random_below(&numbers,
			 (uint32_t)(w->n_workers - phase->first_engine));
	changed_ms[i] = now_ms();
	standin_kill_worker(&w->workers[i]);
}

static void run(uint64_t ms, bool callers)
{
	uint64_t end = now_ms() + ms;

	while (now_ms() < end) {
		change_versions(false);
		if (callers && happens(BEGIN_INTERVAL_MS))
			begin_stream();
		if (callers && happens(BREAK_INTERVAL_MS))
			break_stream();
		if (callers)
			take_up_streams();
		http1_client_tick(phase->client);
		harness_run(phase->harness, STEP_MS);
	}
}

/* Kills all instances at once and starts them later. */
static void kill_all_instances(void)
{
	size_t i;

	for (i = 0; i < phase->n_instances; i++)
		proc_kill(phase->instances[i].proc);
	run(DOWN_MS, false);
	for (i = 0; i < phase->n_instances; i++)
		standin_start_instance(phase->world, &phase->instances[i]);
	for (i = 0; i < phase->n_instances; i++)
		standin_wait_status(phase->world, phase->instances[i].readiness,
				    "/readyz", 200);
}

/* Runs the phase and checks both rules. */
void version_phase_run(const struct version_phase *p)
{
	size_t i;

	phase = p;
	numbers = (struct random_source){ .seed = p->seed + VERSION_SEED };
	run(KILL_MS, true);
	kill_all_instances();
	run(PHASE_MS - KILL_MS, true);
	change_versions(true);
	for (i = 0; i < STREAMS_MAX; i++) {
		if (streams[i].http)
			http1_call_cancel(streams[i].http);
		event_stream_release(&streams[i].events);
		mixed += streams[i].open && streams[i].mixed;
	}
	print_message("seed %llu: %u streams of two versions; %u of %u "
		      "take-ups go on, %u of %u streams begin\n",
		      (unsigned long long)p->seed, mixed, gone_on, take_ups,
		      begun, new_streams);
	if (mixed > MIXED_MAX)
		fail_msg("too many streams of two versions");
	if (take_ups >= TAKE_UPS_MIN &&
	    2UL * gone_on * new_streams < (unsigned long)begun * take_ups)
		fail_msg("too few take-ups go on");
}
