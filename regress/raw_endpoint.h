#ifndef REGRESS_RAW_ENDPOINT_H
#define REGRESS_RAW_ENDPOINT_H

#include <stdbool.h>
#include <stddef.h>

#include "lib/bytes.h"
#include "lib/http1_client.h"
#include "regress/platform_standin.h"

#define RAW_ENDPOINTS 3
#define RAW_ANSWERS_MAX 4

enum raw_end {
	RAW_KEEP, /* the connection stays open */
	RAW_FIN, /* closed in order */
	RAW_RESET,
	/* the endpoint is killed: its listener and all its connections are
	 * closed in order, as the kernel does for a process */
	RAW_KILLED,
	RAW_RESTARTED, /* killed, and started again under its id */
	/* the same while the instance is frozen, with an entry of the new
	 * start */
	RAW_RESTARTED_UNSEEN,
	/* the connection stays open, but no new one is accepted */
	RAW_REFUSES,
	/* the connection is reset, and no new one is accepted; the endpoint
	 * answers on those that it has */
	RAW_REFUSES_AND_RESETS,
	/* killed; its other connections have gone silent for good, and don't
	 * end */
	RAW_KILLED_SILENT,
	/* the sending side is closed in order; the connection stays open */
	RAW_HALF,
};

/* How an engine answers for its report, which states its start. */
enum raw_report {
	RAW_REPORT_WHOLE,
	RAW_REPORT_REFUSED, /* 503 */
	RAW_REPORT_SILENT, /* never */
	RAW_REPORT_ODD, /* 000, its body the bytes of a whole answer */
	/* one that is asked for before the first attempt is answered, only when
	 * another one is asked for; and that attempt is answered at the next
	 * connection, a probe of its silence */
	RAW_REPORT_LATE,
};

/* The bytes that an endpoint sends for one attempt, and what it does with the
 * connection then.  Without bytes and with RAW_KEEP it ends a script. */
struct raw_answer {
	const char *bytes;
	enum raw_end end;
};

/* A case: the answers to the attempts at a request in their order, at whichever
 * endpoint, the last one also to all further ones; and what its caller gets. */
struct raw_case {
	const char *what;
	const char *target;
	const char *version; /* of the caller's request: "1.0" or "1.1" */
	struct raw_answer answers[RAW_ANSWERS_MAX];
	enum http1_outcome outcome;
	int status;
	const char *body;
	size_t n_attempts;
};

/* How the request of a case is sent. */
struct raw_way {
	const char
		*method; /* "POST" with a body of one byte, "GET" or "HEAD" */
	bool kept; /* the first attempt arrives on a kept connection */
	/* each engine has two, one of them beside that of the first attempt */
	bool kept_beside;
	const char *headers; /* further lines of the request, or NULL */
	/* of a POST request, which is answered as its first bytes have arrived,
	 * and not read on; 0: one byte, which is read */
	size_t body_bytes;
	enum raw_report report;
	size_t n_dead; /* so many endpoints are killed before the request */
	/* all are started again before the request, and their entries name
	 * their earlier starts */
	bool restarted_before;
	/* the endpoint of the first attempt is started again, and asks for a
	 * pause, while the second attempt waits for its answer elsewhere */
	bool restarted_while_held;
	/* the second attempt is answered while the first one is held, and the
	 * end of that answer is not known, as its endpoint holds back its
	 * report; then the first one goes on, and sends the last two answers of
	 * the case as parts of its own */
	bool goes_on_while_held;
};

/* A case and how its request is sent, by POST. */
struct raw_way_case {
	struct raw_case c; /* its version: "1.1" if there is none */
	struct raw_way way;
};

void raw_run_case(void **state);
int raw_run_cases(const char *name, const struct raw_way_case *cases, size_t n);
void raw_run_case_in_way(const struct raw_case *c, const struct raw_way *way);

#endif /* REGRESS_RAW_ENDPOINT_H */
