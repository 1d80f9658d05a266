#ifndef REGRESS_WHOLE_REQUESTS_H
#define REGRESS_WHOLE_REQUESTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/bytes.h"
#include "lib/http1.h"
#include "regress/platform_standin.h"
#include "regress/random.h"

/* Callers that follow each request to its end, and endpoints that read bodies
 * of megabytes slowly, answer before they have read them, are silent for a time
 * and leave by plan.  The test steps them; they share a table of requests. */

#define WHOLE_CALLERS_MAX 64
#define WHOLE_ENDPOINTS_MAX 800 /* all starts of a run */
#define WHOLE_ADDRESSES_MAX 96

#define WHOLE_DEADLINE_MS 9000 /* of each request */
#define WHOLE_TIMEOUT_MS 5000 /* the shorter time limit of routes */
#define WHOLE_SHORT_TIMEOUT_MS 700 /* the shortest, under that of a silence */

/* The routes, which the test configures. */
enum whole_path {
	WHOLE_BOOK, /* plain, runs once */
	WHOLE_LOOK, /* plain, may be repeated */
	WHOLE_TELL, /* a stream that does not resume */
	WHOLE_WRITE, /* a stream that resumes */
	WHOLE_PATHS,
};

/* How a request ended. */
enum whole_end {
	WHOLE_OPEN, /* not yet */
	WHOLE_ANSWERED, /* a success, complete */
	WHOLE_REFUSED, /* 4xx or 503 */
	WHOLE_FAILED, /* another status of 500 and above */
	/* its connection ended without a complete answer: */
	WHOLE_LOST, /* it was whole, and passed on or sent long before */
	WHOLE_CROSSED, /* it was whole and crossed the close */
	WHOLE_UNFINISHED, /* it was not whole */
	WHOLE_BROKEN_OFF, /* an endpoint that ran it fell over */
	WHOLE_OUT_OF_TIME, /* the time limit of its route was reached */
	WHOLE_ENDS,
};

/* Moments at which an endpoint may fall silent. */
enum whole_moment {
	WHOLE_MOMENT_REQUEST, /* it has read the last byte of a request */
	WHOLE_MOMENT_HEAD, /* it has sent the last byte of an answer's head */
	WHOLE_MOMENT_PART, /* it has sent an event, or half of a plain body */
	WHOLE_MOMENTS,
};

/* How a caller treats its request. */
enum whole_manner {
	WHOLE_PLAINLY,
	WHOLE_TWO, /* it sends another request at once behind it */
	WHOLE_HALF_CLOSED, /* it ends its sending direction after it */
	WHOLE_HTTP_1_0,
	WHOLE_MANNERS,
};

struct whole_request {
	char id[32];
	const struct whole_address *to;
	bool second_key; /* of its organisation */
	enum whole_path path;
	enum whole_end end;
	size_t len; /* of its body */
	size_t answer_len; /* of its plain answer, as an endpoint sent it */
	enum whole_manner manner;
	bool pauses; /* its caller reads nothing for some seconds */
	bool chunks; /* its body is sent in chunks */
	bool kept; /* its connection had carried a request before */
	bool held; /* a change came while a part of it was held back */
	bool fresh; /* sent in the first second of its instance */
	unsigned int runs; /* endpoints that began to read it */
	bool wrong; /* an endpoint got other bytes, or its caller did */
	bool broken_off; /* an endpoint that ran it fell over */
	bool begun; /* a part of its answer arrived */
	bool at_work; /* an endpoint, when its connection ended */
	/* its time limit ended it while endpoints of its service were free */
	bool waited;
	uint64_t begun_ms; /* loop time of its first byte */
	uint64_t limit_ms; /* shortest that may apply to it */
	uint64_t whole_ms; /* loop time at which it was sent whole; 0: not */
	uint64_t over_ms; /* loop time of its end */
	int status;
	int n_events; /* of a stream, received in order */
};

/* An instance as callers see it. */
struct whole_address {
	const char *address;
	bool listed; /* new connections go there */
	uint64_t started_ms;
};

struct whole_caller {
	const struct whole_address *to;
	int fd; /* -1: not connected */
	struct bytes out;
	size_t sent; /* bytes of out */
	size_t held; /* bytes at the end of out that are held back */
	struct bytes in;
	struct bytes text; /* decoded, of an answer */
	struct http1_body framing;
	bool in_body; /* the head of the answer was read */
	bool closing; /* the answer closes the connection */
	bool reads_slowly;
	struct whole_request *open; /* NULL: none */
	struct whole_request *next; /* sent behind it; NULL: none */
	size_t first_len; /* bytes of out of the open request */
	uint64_t reads_ms; /* it reads nothing before */
	size_t n_answers; /* on this connection */
	unsigned int changes_seen; /* when bytes were held back */
	uint64_t next_ms; /* of the next request */
};

struct whole_endpoint {
	const char *service;
	bool engine;
	char id[24];
	const char *address;
	int listener; /* -1: down */
	struct whole_conn **conns;
	size_t n_conns;
	uint64_t silent_until_ms;
	uint64_t leaving_ms; /* 0: it does not leave */
	bool unlisted; /* its entry has gone */
	uint64_t turned_away_ms; /* begin of the second that is counted */
	unsigned int turned_away; /* requests, in that second */
	uint64_t taken_ms; /* begin of the second that is counted */
	unsigned int taken; /* requests, in that second */
	unsigned int taken_before; /* in the one before */
	uint64_t fallen_ms; /* when it fell over; 0: it has not */
	bool lapses; /* its entry stands for a while after that */
};

struct whole_world {
	struct standin_world *platform;
	struct random_source *random;
	struct whole_request **requests;
	size_t n_requests;
	struct whole_address addresses[WHOLE_ADDRESSES_MAX];
	size_t n_addresses;
	struct whole_caller callers[WHOLE_CALLERS_MAX];
	size_t n_callers;
	struct whole_endpoint endpoints[WHOLE_ENDPOINTS_MAX];
	size_t n_endpoints;
	/* is told of each moment of a request that an endpoint runs; returns whether
	 * the endpoint is silent from this moment on.  NULL: none is told */
	bool (*on_moment)(struct whole_endpoint *e, struct whole_request *r,
			  enum whole_moment moment);
	unsigned int changes; /* of the configuration, so far */
	/* when a shorter time limit of the routes was last in force; 0: never */
	uint64_t limited_ms;
	uint64_t stream_limited_ms; /* the same of the shortest, of streams */
	bool ending; /* no new requests, and nothing is held back */
	bool unframed; /* half of the answers end with their connection */
	bool manners; /* callers have all of them */
	size_t room; /* requests that an endpoint takes at once; 0: all */
	unsigned int brittle; /* turned away in a second; more, and it falls */
	unsigned int limit; /* requests per second that answers name; 0: none */
	const char *routed[2]; /* services with routes: plain, of engines */
	size_t n_turned_away; /* requests, by endpoints without room */
	size_t n_falls; /* of brittle endpoints */
	size_t n_broken_off; /* connections that an endpoint closed in use */
};

void whole_callers_init(struct whole_world *w, size_t n);
void whole_callers_step(struct whole_world *w);
bool whole_callers_over(const struct whole_world *w);
size_t whole_count(const struct whole_world *w, enum whole_end end);
const char *whole_path_prefix(enum whole_path path);

struct whole_endpoint *whole_endpoint_start(struct whole_world *w,
					    const char *service, bool engine);
void whole_endpoint_leave(struct whole_world *w, struct whole_endpoint *e,
			  bool unlisted);
void whole_endpoint_silence(struct whole_world *w, struct whole_endpoint *e);
void whole_endpoints_step(struct whole_world *w);
bool whole_at_work(const struct whole_world *w, const struct whole_request *r);
bool whole_has_free(const struct whole_world *w, const struct whole_request *r);
struct whole_request *whole_find(const struct whole_world *w, const char *id,
				 size_t len);
char whole_fill(const struct whole_request *r);
void whole_world_release(struct whole_world *w);

#endif /* REGRESS_WHOLE_REQUESTS_H */
