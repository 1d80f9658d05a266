#ifndef ENTRYD_PROBLEM_H
#define ENTRYD_PROBLEM_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/httpd.h"

/* Whether the request ran, as far as is known for certain. */
enum run_state {
	RUN_NOT_RUN,
	RUN_MAY_HAVE_RUN,
	RUN_RAN,
};

/* A refusal as sent to the caller. */
struct problem {
	int status; /* HTTP status */
	enum run_state run;
	const char *title; /* short, the same for every refusal of its kind */
	const char *detail; /* a sentence for people */
	uint32_t retry_after_s; /* 0: a retry does not help */
	const char *request; /* request id, or NULL */
};

const char *run_state_name(enum run_state run);
bool problem_is_first_copy(struct httpd_req *req);
json_t *problem_json(const struct problem *p);
void problem_reply(struct httpd_req *req, const struct problem *p);

#endif /* ENTRYD_PROBLEM_H */
