/*
 * The log of decisions: one JSON object per line, buffered in memory and
 * written at each tick to a non-blocking descriptor.  The number of lines per
 * second is limited by priority, and the number of dropped lines is itself
 * logged.
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

#define PENDING_MAX (256u << 10) /* bytes buffered for a slow reader */
#define LINES_PER_S 200 /* total; at 10 us per line 0.2% of a core */
#define ROUTINE_LINES_PER_S 120 /* leaves lines to other priorities */
#define SECOND_MS 1000

static struct {
	const char *program;
	const char *instance;
	int fd;
	struct bytes pending;
	uint64_t limit_second; /* that the line counts refer to */
	uint32_t lines; /* in this second */
	uint32_t routine; /* routine lines in this second */
	uint64_t dropped; /* since the start */
	uint64_t dropped_reported; /* value of dropped at the last report */
} event_state = { .fd = -1 };

static bool within_limits(enum event_priority priority);
static void append_line(const char *event, const char *request, json_t *fields);
static void flush_pending(void);

/* Opens the log on fd, which is made non-blocking. */
void event_log_open(const char *program, const char *instance, int fd)
{
	int flags = fcntl(fd, F_GETFL);

	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	event_state.program = program;
	event_state.instance = instance;
	event_state.fd = fd;
}

/* Logs one event.  request is the id of the request concerned, or NULL; fmt and
 * the arguments after it give the line's members as for Jansson's
 * json_pack(). */
void event_log(enum event_priority priority, const char *event,
	       const char *request, const char *fmt, ...)
{
	json_error_t error;
	json_t *fields;
	va_list ap;

	if (event_state.fd < 0)
		return;
	if (!within_limits(priority)) {
		event_state.dropped++;
		return;
	}
	va_start(ap, fmt);
	fields = json_vpack_ex(&error, 0, fmt, ap);
	va_end(ap);
	if (!fields) /* a string is not UTF-8 */
		fields = json_pack("{s:s}", "unprintable", error.text);
	append_line(event, request, fields);
	json_decref(fields);
}

/* Starts a new rate-limit interval each second, reports dropped lines and
 * writes buffered lines as far as the descriptor accepts them. */
void event_log_tick(uint64_t now_ms)
{
	if (event_state.fd < 0)
		return;
	if (now_ms / SECOND_MS != event_state.limit_second) {
		event_state.limit_second = now_ms / SECOND_MS;
		event_state.lines = 0;
		event_state.routine = 0;
		if (event_state.dropped != event_state.dropped_reported) {
			event_log(EVENT_ALWAYS, "log-bounded", NULL, "{s:I}",
				  "dropped",
				  (json_int_t)(event_state.dropped -
					       event_state.dropped_reported));
			event_state.dropped_reported = event_state.dropped;
		}
	}
	flush_pending();
}

/* Writes the remaining lines once and closes the log. */
void event_log_close(void)
{
	flush_pending();
	bytes_release(&event_state.pending);
	event_state.fd = -1;
}

/* Returns the number of lines dropped since the process started. */
uint64_t event_log_dropped(void)
{
	return event_state.dropped;
}

/* Counts a line against the limits; returns false if it must be dropped. */
static bool within_limits(enum event_priority priority)
{
	if (event_state.pending.len > PENDING_MAX)
		return false;
	if (priority == EVENT_ALWAYS)
		return true;
	if (event_state.lines >= LINES_PER_S)
		return false;
	if (priority == EVENT_ROUTINE &&
	    event_state.routine >= ROUTINE_LINES_PER_S)
		return false;
	event_state.lines++;
	if (priority == EVENT_ROUTINE)
		event_state.routine++;
	return true;
}

/* Formats a line and appends it to the buffer. */
static void append_line(const char *event, const char *request, json_t *fields)
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

/* Writes as much of the buffer as the descriptor accepts without blocking. */
static void flush_pending(void)
{
	struct bytes *b = &event_state.pending;
	ssize_t n;

	if (!b->len)
		return;
	n = write(event_state.fd, b->data, b->len);
	if (n > 0)
		bytes_consume(b, (size_t)n);
	else if (n < 0 && errno != EAGAIN && errno != EINTR)
		b->len = 0; /* the reader is gone */
}
