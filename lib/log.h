#ifndef LIB_LOG_H
#define LIB_LOG_H

#include <syslog.h>

void log_open(const char *program, int max_priority);
int log_priority(const char *name);
void log_msg(int priority, const char *msgid, const char *request,
	     const char *fmt, ...) __attribute__((format(printf, 4, 5)));

#endif /* LIB_LOG_H */
