/*
 * Ends of whole answers without a length that are read while the endpoint, which
 * leaves, is being asked about earlier ones: it is asked about these, too, before it
 * may exit.
 */
#include "regress/leaving_endpoint.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
/* No more ends than questions, so that each may be read by itself. */
#define SOME LEAVING_QUESTIONS_MAX
#define MANY 30
#define WHOLE (1U << END_WHOLE)
#define BROKEN (1U << END_BROKEN)
#define LOST (1U << END_LOST)

static const struct leaving_case cases[] = {
	{ .what = "not idempotent, at an engine, two parts, draining",
	  .target = "/order/a",
	  .n = SOME,
	  .parts = 2,
	  .notice = NOTICE_ENTRY,
	  .exit = EXIT_WHEN_ASKED,
	  .allowed = WHOLE },
	{ .what = "not idempotent, at an engine, two parts, entry removed",
	  .target = "/order/a",
	  .n = SOME,
	  .parts = 2,
	  .notice = NOTICE_REMOVED,
	  .exit = EXIT_WHEN_ASKED,
	  .allowed = WHOLE },
	{ .what = "not idempotent, at an engine, each end by itself",
	  .target = "/order/a",
	  .n = SOME,
	  .parts = SOME,
	  .notice = NOTICE_ENTRY,
	  .exit = EXIT_WHEN_ASKED,
	  .allowed = WHOLE },
	{ .what = "not idempotent, at a service, two parts, draining",
	  .target = "/pay/a",
	  .n = SOME,
	  .parts = 2,
	  .notice = NOTICE_ENTRY,
	  .exit = EXIT_WHEN_ASKED,
	  .allowed = WHOLE },
	{ .what = "a stream that does not resume, two parts, draining",
	  .target = "/once/a",
	  .n = SOME,
	  .parts = 2,
	  .notice = NOTICE_ENTRY,
	  .exit = EXIT_WHEN_ASKED,
	  .allowed = WHOLE },
	{ .what = "a stream that does not resume, each end by itself",
	  .target = "/once/a",
	  .n = SOME,
	  .parts = SOME,
	  .notice = NOTICE_REMOVED,
	  .exit = EXIT_WHEN_ASKED,
	  .allowed = WHOLE },
	/* no more questions than the bound */
	{ .what = "not idempotent, at an engine, each end by itself, it stays",
	  .target = "/order/a",
	  .n = MANY,
	  .parts = MANY,
	  .notice = NOTICE_ENTRY,
	  .exit = EXIT_NEVER,
	  .allowed = WHOLE },
	{ .what = "a stream that does not resume, each end by itself, it stays",
	  .target = "/once/a",
	  .n = MANY,
	  .parts = MANY,
	  .notice = NOTICE_ENTRY,
	  .exit = EXIT_NEVER,
	  .allowed = WHOLE },
	{ .what = "a stream that does not resume, each end by itself, not leaving",
	  .target = "/once/a",
	  .n = MANY,
	  .parts = MANY,
	  .exit = EXIT_NEVER,
	  .questions_max = 1,
	  .allowed = WHOLE },
	/* a part is never taken for the whole */
	{ .what = "not idempotent, at an engine, killed in the second part",
	  .target = "/order/a",
	  .n = MANY,
	  .parts = 2,
	  .notice = NOTICE_ENTRY,
	  .exit = EXIT_KILLED_WRITING,
	  .allowed = WHOLE | LOST },
	{ .what = "a stream that does not resume, killed in the second part",
	  .target = "/once/a",
	  .n = MANY,
	  .parts = 2,
	  .notice = NOTICE_ENTRY,
	  .exit = EXIT_KILLED_WRITING,
	  .allowed = WHOLE | BROKEN },
	{ .what = "a stream that resumes, killed in the second part",
	  .target = "/write/a",
	  .n = MANY,
	  .parts = 2,
	  .notice = NOTICE_ENTRY,
	  .exit = EXIT_KILLED_WRITING,
	  .allowed = WHOLE },
};

int main(void)
{
	return leaving_run_cases("ends while asked", cases, N(cases));
}
