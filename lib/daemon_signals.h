#ifndef LIB_DAEMON_SIGNALS_H
#define LIB_DAEMON_SIGNALS_H

#include <uv.h>

#define DAEMON_SIGNALS 3

/* The signals that a daemon handles: SIGTERM and SIGINT stop it, SIGHUP makes it
 * reload its settings. */
struct daemon_signals {
	uv_signal_t handles[DAEMON_SIGNALS];
	void (*on_stop)(void *arg, int signum);
	void (*on_reload)(void *arg); /* NULL: it has nothing to reload */
	void *arg;
};

void daemon_signals_hold(void);
void daemon_signals_handle(struct daemon_signals *s, uv_loop_t *loop);
void daemon_signals_close(struct daemon_signals *s);

#endif /* LIB_DAEMON_SIGNALS_H */
