/*
 * Limits that endpoints name in their answers: the requests per second that an
 * endpoint takes from all instances together.
 */
#include "proxyd/limits.h"

#include "lib/counters.h"
#include "lib/event_log.h"
#include "proxyd/endpoints.h"
#include "proxyd/protocol.h"
#include "proxyd/proxyd.h"

static struct counter *named;
static struct counter *ended;
static struct counter *unreadable;

static struct counter *limit_counter(const char *step);

/* Registers the counters of limits. */
void limits_init(void)
{
	named = limit_counter("named");
	ended = limit_counter("ended");
	unreadable = limit_counter("unreadable");
}

/* Records the limit that an answer names, or that it names none.  sent_ms is
 * when its request was sent. */
void limits_answer(struct endpoint *e, const struct answer_fields *answer,
		   uint64_t sent_ms, const char *request)
{
	uint64_t now = proxyd_now(e->proxyd);
	bool changes = answer->has_limit != e->has_limit ||
		       (e->has_limit && answer->limit_per_s != e->limit_per_s);

	if (answer->limit_unreadable) {
		counter_add(unreadable, 1);
		event_log(EVENT_NOTABLE, "endpoint-limit-unreadable", request,
			  "{s:s}", "endpoint", e->id);
		return;
	}
	if (changes)
		event_log(EVENT_NOTABLE,
			  answer->has_limit ? "endpoint-limit"
					    : "endpoint-limit-over",
			  request, "{s:s, s:f, s:f, s:I}", "endpoint", e->id,
			  "per_s", answer->limit_per_s, "before_per_s",
			  e->has_limit ? e->limit_per_s : -1, "sent_ms_ago",
			  (json_int_t)(now - sent_ms));
	if (answer->has_limit)
		counter_add(named, 1);
	else if (e->has_limit)
		counter_add(ended, 1);
	e->has_limit = answer->has_limit;
	e->limit_per_s = answer->limit_per_s;
}

/* Returns the counter of answers with a step label. */
static struct counter *limit_counter(const char *step)
{
	return counter_labelled("cdm_endpoint_limits_total",
				"Answers on the limits of endpoints",
				COUNTER_TOTAL, "step", step);
}
