/*
 * Refusals: application/problem+json with the reason in a sentence, whether the
 * request ran, and when to retry.
 */
#include "entryd/problem.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/counters.h"

/* Returns the name of a run state as sent to callers. */
const char *run_state_name(enum run_state run)
{
	static const char *const names[] = {
		[RUN_NOT_RUN] = "not-run",
		[RUN_MAY_HAVE_RUN] = "may-have-run",
		[RUN_RAN] = "ran",
	};

	return names[run];
}

/* Returns whether a request is certainly not a later copy of one that ran: it
 * has neither a key nor a cursor, or the caller says that it never sent it
 * before. */
bool problem_is_first_copy(struct httpd_req *req)
{
	return httpd_header(req, "x-first-copy") ||
	       (!httpd_header(req, "idempotency-key") &&
		!httpd_header(req, "last-event-id"));
}

/* Returns the refusal as a JSON object. */
json_t *problem_json(const struct problem *p)
{
	json_t *json = json_pack("{s:s, s:i, s:s, s:s}", "title", p->title,
				 "status", p->status, "run",
				 run_state_name(p->run), "detail", p->detail);

	if (p->retry_after_s)
		json_object_set_new(json, "retry_after_s",
				    json_integer(p->retry_after_s));
	if (p->request)
		json_object_set_new(json, "request", json_string(p->request));
	return json;
}

/* Sends the refusal as the answer to a request and counts it.  The answer must
 * not have begun. */
void problem_reply(struct httpd_req *req, const struct problem *p)
{
	json_t *json = problem_json(p);
	char *text = json_dumps(json, JSON_COMPACT);
	char seconds[16];

	if (p->retry_after_s) {
		snprintf(seconds, sizeof(seconds), "%u", p->retry_after_s);
		httpd_add_header(req, "retry-after", seconds);
	}
	counter_add(counter_labelled("cdmentryd_refusals",
				     "Refused requests by what is known of "
				     "their run.",
				     COUNTER_TOTAL, "run",
				     run_state_name(p->run)),
		    1);
	httpd_reply(req, p->status, "application/problem+json", text,
		    strlen(text));
	free(text);
	json_decref(json);
}
