/*
 * Signals of the daemons.  They are held from the first statement of main()
 * until their handlers are set, so that one which comes while the process starts
 * neither ends it nor is lost.  A process that inherits them blocked, as one whose
 * starter holds them until it runs, handles them too.
 */
#include "lib/daemon_signals.h"

#include <signal.h>
#include <stddef.h>

#include "lib/log.h"

static void on_signal(uv_signal_t *handle, int signum);

static const int handled[DAEMON_SIGNALS] = { SIGTERM, SIGINT, SIGHUP };

/* Returns the set of the handled signals. */
static sigset_t handled_set(void)
{
	sigset_t set;
	size_t i;

	sigemptyset(&set);
	for (i = 0; i < DAEMON_SIGNALS; i++)
		sigaddset(&set, handled[i]);
	return set;
}

/* Holds the signals until daemon_signals_handle(). */
void daemon_signals_hold(void)
{
	sigset_t set = handled_set();

	sigprocmask(SIG_BLOCK, &set, NULL);
}

/* Sets the handlers and releases the signals that were held; the loop delivers
 * them when it runs next.  on_stop, on_reload and arg are set by the caller. */
void daemon_signals_handle(struct daemon_signals *s, uv_loop_t *loop)
{
	sigset_t set = handled_set();
	size_t i;

	for (i = 0; i < DAEMON_SIGNALS; i++) {
		uv_signal_init(loop, &s->handles[i]);
		s->handles[i].data = s;
		uv_signal_start(&s->handles[i], on_signal, handled[i]);
	}
	sigprocmask(SIG_UNBLOCK, &set, NULL);
}

/* Closes the handles; the caller runs the loop until they are closed. */
void daemon_signals_close(struct daemon_signals *s)
{
	size_t i;

	for (i = 0; i < DAEMON_SIGNALS; i++)
		uv_close((uv_handle_t *)&s->handles[i], NULL);
}

static void on_signal(uv_signal_t *handle, int signum)
{
	struct daemon_signals *s = handle->data;

	if (signum != SIGHUP)
		s->on_stop(s->arg, signum);
	else if (s->on_reload)
		s->on_reload(s->arg);
	else
		log_msg(LOG_NOTICE, "reload", NULL,
			"SIGHUP is ignored: settings are read at the start only");
}
