#ifndef REGRESS_LEAVING_ENDPOINT_H
#define REGRESS_LEAVING_ENDPOINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* An instance of cdmproxyd before endpoints whose answers end with their
 * connection, and one of which leaves. */

#define LEAVING_REQUESTS_MAX 32
#define LEAVING_EVENTS 3 /* in a complete stream */
/* The most that the instance asks an endpoint about ends of answers at once. */
#define LEAVING_QUESTIONS_MAX 8

/* How the instance learns that the endpoint leaves. */
enum leaving_notice {
	NOTICE_NONE,
	NOTICE_ANSWERS, /* its answers say so */
	NOTICE_ENTRY, /* its entry says so */
	NOTICE_REMOVED, /* its entry is removed, and it serves on */
};

/* When the endpoint ends, all its answers at once. */
enum leaving_exit {
	EXIT_NEVER,
	EXIT_AT_ONCE, /* in the moment in which it closes its answers */
	/* once the instance has handled the ends, and a question that has
	 * arrived at the endpoint by then is answered */
	EXIT_WHEN_ASKED,
	/* it stops listening with its last byte, and serves the connections
	 * that it has until all answers are over */
	EXIT_REFUSES,
	EXIT_LATER, /* a given time after it has closed its answers */
	/* killed with a part of each answer written, which has been read */
	EXIT_KILLED,
	/* the same, but the part is written in that moment */
	EXIT_KILLED_WRITING,
	/* it closes its answers, answers nothing more, and exits a given time
	 * later */
	EXIT_SILENT,
	/* killed as in EXIT_KILLED; the ends of its other connections are read
	 * a given time after those of its answers */
	EXIT_KILLED_APART,
	/* killed as in EXIT_KILLED; its other connections have gone silent for
	 * good, and don't end */
	EXIT_KILLED_SILENT,
	/* killed as in EXIT_KILLED and started again behind a partition: what its
	 * earlier process had open ends later, one connection after the other */
	EXIT_RESTARTED_APART,
	/* the same, and the parts of its answers are held up, too */
	EXIT_RESTARTED_HELD,
};

struct leaving_case {
	const char *what;
	const char *target; /* its prefix is that of a route, see the source */
	size_t n; /* requests at once; 0: one */
	/* the endpoint is silent for so long before it answers; 0: it is not */
	unsigned int silent_ms;
	enum leaving_notice notice;
	enum leaving_exit exit;
	/* of EXIT_LATER, EXIT_SILENT and EXIT_KILLED_APART, and of each end of
	 * EXIT_RESTARTED_APART and EXIT_RESTARTED_HELD */
	unsigned int exit_ms;
	/* it has answered another request meanwhile, whose connection is kept */
	bool beside;
	/* its answers have begun before it leaves, and it has closed all other
	 * connections */
	bool begun;
	/* it closes its answers once another connection to it stands, of a
	 * request that it has answered */
	bool awaits_watch;
	/* it closes them so long after the instance knows that it leaves */
	unsigned int watch_ms;
	/* it closes its answers in so many parts, each once the instance has
	 * handled the one before, and answers no question meanwhile; 0: in one,
	 * and answers questions.  Of EXIT_NEVER, EXIT_WHEN_ASKED and, without the
	 * last part, EXIT_KILLED_WRITING. */
	unsigned int parts;
	/* the most questions without an answer when all parts are closed; 0:
	 * LEAVING_QUESTIONS_MAX */
	unsigned int questions_max;
	unsigned int last_event; /* that the callers have; 0: none */
	unsigned int allowed; /* ends of answers, bits of enum leaving_end */
};

/* How a caller's answer ended. */
enum leaving_end {
	END_WHOLE, /* 200, with all bytes */
	END_BROKEN, /* its connection was closed before its end */
	END_LOST, /* 502 */
	END_REFUSED, /* another status */
	END_FALSE, /* 200 and an orderly end, without all bytes */
	LEAVING_ENDS,
};

struct leaving_result {
	size_t ends[LEAVING_ENDS];
	size_t attempts; /* at all endpoints */
	size_t questions; /* without an answer when all parts were closed */
	double held_ms; /* of EXIT_LATER, in all */
};

void leaving_play(const struct leaving_case *c, struct leaving_result *result);
int leaving_run_cases(const char *name, const struct leaving_case *cases,
		      size_t n);
const char *leaving_end_name(enum leaving_end end);

#endif /* REGRESS_LEAVING_ENDPOINT_H */
