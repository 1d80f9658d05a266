#ifndef REGRESS_PATH_CALLERS_H
#define REGRESS_PATH_CALLERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/bytes.h"
#include "lib/http1_client.h"
#include "regress/platform_standin.h"

/* Callers of an instance whose path to the endpoints is cut.  Each request is
 * followed to its end, and judged by when it was sent. */

#define PATH_REQUESTS_MAX 1024

enum path_kind {
	PATH_LOOK, /* may be repeated */
	PATH_BOOK, /* runs at most once */
	PATH_STREAM,
	PATH_KINDS,
};

/* When a request was sent. */
enum path_phase {
	PATH_BEFORE, /* before the cut */
	PATH_BEGUN, /* a stream that had begun when the cut came */
	PATH_EARLY, /* soon after the cut */
	PATH_LATE, /* later, while the path was cut */
	PATH_STOPPING, /* after the instance got SIGTERM */
	PATH_AFTER, /* after the cut */
	PATH_PHASES,
};

struct path_callers;

struct path_request {
	struct path_callers *callers;
	char id[24];
	enum path_kind kind;
	enum path_phase phase;
	uint64_t sent_ms;
	uint64_t over_ms; /* 0: not over */
	struct http1_call *call;
	int status; /* 0: no head was received */
	bool mixed; /* the answer bears another id */
	struct bytes body;
	enum http1_outcome outcome;
};

struct path_callers {
	const struct standin_world *world;
	const char *address; /* of the instance */
	struct http1_client *client;
	struct path_request *requests[PATH_REQUESTS_MAX];
	size_t n;
};

void path_callers_init(struct path_callers *p, const struct standin_world *w,
		       const char *address);
void path_callers_release(struct path_callers *p);
struct path_request *path_send(struct path_callers *p, enum path_kind kind,
			       enum path_phase phase, bool kept, size_t len);
void path_send_next(struct path_callers *p, enum path_phase phase);
bool path_request_over(void *request);
bool path_callers_over(void *callers);
int path_count_events(const struct path_request *r);
bool path_is_whole(const struct path_request *r);
unsigned int path_count_runs(const struct path_request *r);
size_t path_callers_report(const struct path_callers *p);

#endif /* REGRESS_PATH_CALLERS_H */
