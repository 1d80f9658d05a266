/*
 * Logging: one JSON object per line on standard error, with the fields of
 * syslog (facility, severity, time, program, process id, message id) and the
 * request id if the message concerns a request.
 */
#include "lib/log.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "lib/timestamp.h"

#define LOG_TEXT_MAX 1024 /* bytes per message */

static const char *const severity_names[] = {
	"emerg", "alert", "crit", "err", "warning", "notice", "info", "debug",
};

static const char *log_program = "cardamomknot";
static int log_max_priority = LOG_INFO;

/* Sets the program name of later messages; messages with a priority above
 * max_priority are dropped. */
void log_open(const char *program, int max_priority)
{
	log_program = program;
	log_max_priority = max_priority;
}

/* Returns the priority for a severity name, or -1 if the name is unknown. */
int log_priority(const char *name)
{
	int i;

	for (i = LOG_EMERG; i <= LOG_DEBUG; i++)
		if (!strcmp(severity_names[i], name))
			return i;
	return -1;
}

/*
 * Writes one message.  msgid identifies the kind of event for programs that
 * read the log; request is the id of the request concerned, or NULL.
 */
void log_msg(int priority, const char *msgid, const char *request,
	     const char *fmt, ...)
{
	char text[LOG_TEXT_MAX];
	char when[TIMESTAMP_SIZE];
	struct timespec now;
	va_list ap;
	json_t *line;
	char *dump;

	if (priority > log_max_priority)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	clock_gettime(CLOCK_REALTIME, &now);
	timestamp_format(&now, when, sizeof(when));
	line = json_pack("{s:s, s:s, s:s, s:s, s:i, s:s}", "time", when,
			 "facility", "daemon", "severity",
			 severity_names[priority], "program", log_program,
			 "pid", (int)getpid(), "msgid", msgid);
	if (!line)
		return;
	if (request)
		json_object_set_new(line, "request", json_string(request));
	json_object_set_new(line, "message",
			    json_stringn_nocheck(text, strlen(text)));
	dump = json_dumps(line, JSON_COMPACT);
	json_decref(line);
	if (!dump)
		return;
	fprintf(stderr, "%s\n", dump);
	free(dump);
}
