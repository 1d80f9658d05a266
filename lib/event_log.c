/*
 * The log of decisions: one JSON object a line, gathered in memory and written
 * at each tick to a descriptor that never blocks.  The number of lines a
 * second is bounded by their weight, and what was left out is counted in the
 * log itself.
 */
#include "lib/event_log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#include "lib/bytes.h"

#define PENDING_MAX (256u << 10) /* bytes that wait for a slow reader */
#define LINES_PER_S 200 /* in all; at 10 us a line 0.2% of a core */
#define ROUTINE_LINES_PER_S 120 /* of the routine ones, so that others fit */
#define SECOND_MS 1000

static struct {
	const char *program;
	const char *instance;
	int fd;
	struct bytes pending;
	uint64_t second; /* the current one */
	uint32_t lines; /* in it */
	uint32_t routine; /* in it */
	uint64_t dropped; /* since the start */
	uint64_t dropped_told;
} event_state = { .fd = -1 };

static bool within_bounds(enum event_priority weight);
static void add_line(const char *event, const char *request, json_t *fields);
static void write_out(void);

/* Opens the log on a descriptor, which is made non-blocking. */
void event_log_open(const char *program, const char *instance, int fd)
{
	int flags = fcntl(fd, F_GETFL);

	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	event_state.program = program;
	event_state.instance = instance;
	event_state.fd = fd;
}

/* Adds a line.  request is the id of the request concerned, or NULL; fmt and
 * what follows give the line's members as for json_pack(3). */
void event_log(enum event_priority weight, const char *event,
	       const char *request, const char *fmt, ...)
{
	json_error_t error;
	json_t *fields;
	va_list ap;

	if (event_state.fd < 0)
		return;
	if (!within_bounds(weight)) {
		event_state.dropped++;
		return;
	}
	va_start(ap, fmt);
	fields = json_vpack_ex(&error, 0, fmt, ap);
	va_end(ap);
	if (!fields) /* text that is not UTF-8 */
		fields = json_pack("{s:s}", "unprintable", error.text);
	add_line(event, request, fields);
	json_decref(fields);
}

/* Writes what has gathered, as far as the reader takes it. */
void event_log_tick(uint64_t now_ms)
{
	if (event_state.fd < 0)
		return;
	if (now_ms / SECOND_MS != event_state.second) {
		event_state.second = now_ms / SECOND_MS;
		event_state.lines = 0;
		event_state.routine = 0;
		if (event_state.dropped != event_state.dropped_told) {
			event_log(EVENT_ALWAYS, "log-bounded", NULL, "{s:I}",
				  "dropped",
				  (json_int_t)(event_state.dropped -
					       event_state.dropped_told));
			event_state.dropped_told = event_state.dropped;
		}
	}
	write_out();
}

/* Writes what is left and closes the log. */
void event_log_close(void)
{
	write_out();
	bytes_release(&event_state.pending);
	event_state.fd = -1;
}

/* Returns how many lines were left out since the start. */
uint64_t event_log_dropped(void)
{
	return event_state.dropped;
}

/* Counts a line; false if the bounds leave it out. */
static bool within_bounds(enum event_priority weight)
{
	if (event_state.pending.len > PENDING_MAX)
		return false;
	if (weight == EVENT_ALWAYS)
		return true;
	if (event_state.lines >= LINES_PER_S)
		return false;
	if (weight == EVENT_ROUTINE &&
	    event_state.routine >= ROUTINE_LINES_PER_S)
		return false;
	event_state.lines++;
	if (weight == EVENT_ROUTINE)
		event_state.routine++;
	return true;
}

/* Formats a line. */
static void add_line(const char *event, const char *request, json_t *fields)
{
	struct timespec now;
	json_t *line;
	char *text;

	clock_gettime(CLOCK_REALTIME, &now);
	line = json_pack("{s:f, s:s, s:s, s:s}", "time",
			 (double)now.tv_sec + (double)now.tv_nsec / 1e9,
			 "program", event_state.program, "instance",
			 event_state.instance, "event", event);
	if (request)
		json_object_set_new(line, "request", json_string(request));
	json_object_update(line, fields);
	text = json_dumps(line, JSON_COMPACT | JSON_REAL_PRECISION(14));
	json_decref(line);
	if (!text)
		return;
	bytes_add(&event_state.pending, text, strlen(text));
	bytes_add(&event_state.pending, "\n", 1);
	free(text);
}

/* Writes as much as the descriptor takes now. */
static void write_out(void)
{
	struct bytes *b = &event_state.pending;
	ssize_t n;

	if (!b->len)
		return;
	n = write(event_state.fd, b->data, b->len);
	if (n > 0)
		bytes_consume(b, (size_t)n);
	else if (n < 0 && errno != EAGAIN && errno != EINTR)
		b->len = 0; /* nobody reads any more */
}
