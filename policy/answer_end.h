#ifndef POLICY_ANSWER_END_H
#define POLICY_ANSWER_END_H

#include <stdbool.h>
#include <stdint.h>

/* What became of an answer that has no length and ended with its connection. */
enum answer_end {
	ANSWER_END_WAIT, /* not known yet: the endpoint is to be asked */
	ANSWER_END_WHOLE,
	ANSWER_END_CUT,
	ANSWER_END_UNKNOWN, /* the endpoint gave no sign in time */
	/* a stream that was to go on had no event: another endpoint is to be
	 * asked for the rest */
	ANSWER_END_EMPTY,
	/* the endpoint has ended and was to: as its last answer was out, or in
	 * the middle of it */
	ANSWER_END_LEFT,
};

/* What is known of the endpoint since the answer ended. */
enum endpoint_sign {
	ENDPOINT_SIGN_NONE,
	ENDPOINT_SIGN_LIVES, /* the process that wrote the answer lives */
	ENDPOINT_SIGN_ENDED, /* that process has ended */
	/* the same, but it was known to leave, so that its end shows nothing */
	ENDPOINT_SIGN_LEFT,
	ENDPOINT_SIGN_UNKNOWN, /* a process answers, which one can't be told */
};

struct answer_end_signs {
	enum endpoint_sign endpoint;
	bool reached; /* the endpoint accepted a connection after the end */
	uint64_t waited_ms; /* since the end */
	bool empty; /* no event came of a stream that was to go on */
	uint32_t empty_before; /* runs of it in a row of which none came */
	bool may_run_again; /* another endpoint may be asked for the rest */
	bool stays; /* no other endpoint takes the rest of a stream now */
};

/* A request on a connection that was open before an answer ended, sent after that
 * end. */
struct answer_end_witness {
	/* its connection was open before the request of the answer was sent */
	bool older;
	/* its connection ends at the process that wrote the answer: it stated
	 * its start there before */
	bool same_process;
	bool answered;
	bool states_start; /* its answer is a report */
	uint64_t stated_ms; /* the start that the report states; 0: none */
	uint64_t known_ms; /* the start known of the process; 0: none */
	bool leaves; /* the endpoint may exit at any time */
	bool received; /* the endpoint's host has received the request */
	uint64_t held_ms; /* from the request to the connection's end */
};

bool answer_end_overdue(const struct answer_end_signs *s);
enum answer_end answer_end_decide(const struct answer_end_signs *s);
bool answer_end_delivers(enum answer_end end, bool may_run_again, bool outlived,
			 uint64_t ended_after_ms);
enum endpoint_sign answer_end_start_sign(uint64_t known_ms, uint64_t stated_ms);
enum endpoint_sign answer_end_witness_sign(const struct answer_end_witness *w);
uint64_t answer_end_witness_wait_ms(bool leaves, bool may_run_again);
const char *answer_end_name(enum answer_end end);

#endif /* POLICY_ANSWER_END_H */
