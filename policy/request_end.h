#ifndef POLICY_REQUEST_END_H
#define POLICY_REQUEST_END_H

#include <stdbool.h>

/* How a request that was read whole has ended for its caller. */
enum request_end {
	REQUEST_END_ANSWERED, /* the caller's connection has a whole answer */
	REQUEST_END_REFUSED, /* it has a refusal */
	REQUEST_END_FAILED, /* it has a status of this system */
	/* without a whole answer, and why that is allowed */
	REQUEST_END_CALLER_LEFT,
	REQUEST_END_OUT_OF_TIME, /* its deadline or its route's timeout */
	REQUEST_END_GRACE_OVER, /* of this instance, which stops */
	REQUEST_END_BROKEN_OFF, /* its endpoint broke off the run */
	/* without a whole answer, and for none of these reasons */
	REQUEST_END_UNEXCUSED,
};

/* What is known when a request ends. */
struct request_end_signs {
	bool given; /* a whole answer, to the caller's connection */
	bool refused; /* that answer is a refusal */
	bool failed; /* that answer is another one of this system */
	bool caller_left; /* before it was given one */
	bool out_of_time;
	bool grace_over;
	/* its endpoint broke off the last run that had reached one, and no other
	 * run has had an event since */
	bool broken_off;
};

enum request_end request_end_decide(const struct request_end_signs *s);
bool request_end_is_answered(enum request_end end);
const char *request_end_name(enum request_end end);

/* What an unfinished request has that is to bring it to its end. */
struct request_attendance {
	bool waits; /* it is at no endpoint */
	bool wait_ends; /* there is a time at which its wait ends */
	bool awaits_origin; /* the version of its stream is being looked for */
	bool called; /* there is a call of the current attempt */
	bool answer_ended; /* its answer has ended, and its end is judged */
};

const char *request_unattended(const struct request_attendance *a);

#endif /* POLICY_REQUEST_END_H */
