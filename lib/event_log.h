#ifndef LIB_EVENT_LOG_H
#define LIB_EVENT_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h> /* json_int_t, for members that are numbers */

/* Priority of a line when the rate is limited; EVENT_ALWAYS is exempt from the
 * limits on lines. */
enum event_priority {
	EVENT_ROUTINE, /* a decision made for most requests */
	EVENT_NOTABLE, /* a refusal, failure, move or state change */
	EVENT_ALWAYS, /* start, stop, reload, dependency lost or recovered */
};

void event_log_open(const char *program, const char *instance, int fd);
void event_log(enum event_priority priority, const char *event,
	       const char *request, const char *fmt, ...);
void event_log_tick(uint64_t now_ms);
void event_log_close(void);
uint64_t event_log_dropped(void);

#endif /* LIB_EVENT_LOG_H */
