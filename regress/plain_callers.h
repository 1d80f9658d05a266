#ifndef REGRESS_PLAIN_CALLERS_H
#define REGRESS_PLAIN_CALLERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/bytes.h"
#include "regress/platform_standin.h"
#include "regress/random.h"

/* Callers of plain requests on kept connections, each of which is followed to
 * its end. */

#define PLAIN_CALLERS_MAX 64
#define PLAIN_PIPELINED_MAX 2

/* How a request is sent.  What is held back follows after a change of the
 * configuration. */
enum plain_way {
	PLAIN_WHOLE, /* at once */
	PLAIN_HALF_LENGTH, /* half of a body with a length is held back */
	PLAIN_HALF_CHUNKS, /* half of a body in chunks is held back */
	PLAIN_HALF_HEAD, /* half of the head is held back */
	PLAIN_PAIR, /* two whole ones at once */
	PLAIN_PAIR_HALF, /* two, half of the second one's body is held back */
	PLAIN_WAYS,
};

/* How a request ended. */
enum plain_end {
	PLAIN_OPEN, /* not yet */
	PLAIN_ANSWERED, /* by an endpoint */
	PLAIN_REFUSED, /* 4xx or 503 */
	PLAIN_FAILED, /* another status of 500 and above */
	/* its connection ended without an answer: */
	PLAIN_LOST, /* it was whole, and passed on or sent long before */
	PLAIN_CROSSED, /* it was whole and crossed the close */
	PLAIN_DROPPED, /* it was whole and followed an answer that closes */
	PLAIN_UNFINISHED, /* it was not whole */
	PLAIN_ENDS,
};

struct plain_request {
	char id[32];
	const char *path;
	enum plain_way way;
	enum plain_end end;
	bool later; /* the second of a pair */
	bool kept; /* its connection had carried a request before */
	bool held; /* a change came while a part of it was held back */
	size_t end_at; /* bytes of its connection up to its end */
	uint64_t whole_ms; /* loop time at which it was sent whole; 0: not */
	int status;
};

struct plain_caller {
	const char *address;
	int fd; /* -1: not connected */
	struct bytes out; /* not yet sent */
	size_t sent; /* bytes of this connection */
	size_t held; /* bytes at the end of out that are held back */
	struct bytes in;
	struct plain_request *open[PLAIN_PIPELINED_MAX];
	size_t n_open;
	size_t n_answers; /* on this connection */
	unsigned int changes_seen; /* when bytes were held back */
	uint64_t go_on_ms; /* when they are sent; 0: not before a change */
	uint64_t next_ms; /* of the next request */
	bool idles; /* sends whole requests, about an idle time apart */
	bool closing; /* an answer said that the connection is closed */
};

struct plain_callers {
	struct harness *harness;
	const struct standin_world *world;
	struct random_source *random;
	struct plain_caller callers[PLAIN_CALLERS_MAX];
	size_t n;
	struct plain_request **requests;
	size_t n_requests;
	unsigned int changes; /* of the configuration, so far */
	bool ending; /* no new requests, and nothing is held back */
	size_t n_mixed; /* answers that are not the request's */
};

void plain_callers_init(struct plain_callers *p, struct standin_world *w,
			struct random_source *random,
			const char *const *addresses, size_t n_addresses);
void plain_callers_step(struct plain_callers *p);
bool plain_callers_over(void *callers);
size_t plain_callers_count(const struct plain_callers *p, enum plain_end end);
void plain_callers_release(struct plain_callers *p);
bool plain_has_run(const struct plain_callers *p,
		   const struct plain_request *r);
const char *plain_way_name(enum plain_way way);

#endif /* REGRESS_PLAIN_CALLERS_H */
