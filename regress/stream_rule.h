#ifndef REGRESS_STREAM_RULE_H
#define REGRESS_STREAM_RULE_H

#include <stdbool.h>

/* The users' rule ORDER, checked from what one caller receives of a stream over
 * all its tries. */

enum stream_fault {
	STREAM_MISSING, /* a piece was left out */
	STREAM_TWICE, /* a piece came again */
	/* pieces of two runs on a route that does not resume, of a run that
	 * another one has already continued, or of another stream */
	STREAM_JOINED,
	STREAM_TWO_VERSIONS, /* pieces of two software versions */
	STREAM_EARLY, /* it ended as complete before its last piece */
	STREAM_FAULTS,
};

/* A piece as a caller received it. */
struct stream_piece {
	unsigned int number; /* from 1 */
	unsigned int run; /* rises with each start of a run at any engine */
	const char *version; /* of the engine's software */
	const char *request; /* id of the request that the run belongs to */
};

/* A caller's stream.  Its requests have ids that begin with prefix; they take it
 * up from its last piece and are sent only on a route that resumes. */
struct followed_stream {
	bool resumable;
	unsigned int last_piece; /* number of the last one */
	char prefix[24];
	unsigned int received; /* number of the last one received, 0: none */
	unsigned int run; /* of that piece */
	char version[16]; /* of the first piece */
	bool faults[STREAM_FAULTS];
};

/* Counts of streams. */
struct stream_counts {
	unsigned int streams;
	unsigned int faulty[STREAM_FAULTS];
};

unsigned int stream_rule_piece(struct followed_stream *s,
			       const struct stream_piece *piece);
unsigned int stream_rule_complete(struct followed_stream *s);
void stream_rule_count(struct stream_counts *c,
		       const struct followed_stream *s);
const char *stream_fault_name(enum stream_fault fault);

#endif /* REGRESS_STREAM_RULE_H */
