/*
 * An endpoint is killed in the middle of an answer without a length while another
 * connection to it has gone silent for good.  That connection was taken for its
 * process, so that the part passed for the whole answer.
 */
#include "regress/leaving_endpoint.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define MANY 30
#define WHOLE (1U << END_WHOLE)
#define BROKEN (1U << END_BROKEN)
#define LOST (1U << END_LOST)

static const struct leaving_case cases[] = {
	{ .what = "stream that goes on elsewhere",
	  .target = "/write/a",
	  .exit = EXIT_KILLED_SILENT,
	  .allowed = WHOLE },
	{ .what = "streams that go on elsewhere, thirty at once",
	  .target = "/write/a",
	  .n = MANY,
	  .exit = EXIT_KILLED_SILENT,
	  .allowed = WHOLE },
	{ .what = "stream with one attempt that goes on elsewhere",
	  .target = "/single/a",
	  .exit = EXIT_KILLED_SILENT,
	  .allowed = WHOLE },
	{ .what = "streams with one attempt that go on elsewhere, thirty at once",
	  .target = "/single/a",
	  .n = MANY,
	  .exit = EXIT_KILLED_SILENT,
	  .allowed = WHOLE },
	{ .what = "stream that may not go on",
	  .target = "/once/a",
	  .exit = EXIT_KILLED_SILENT,
	  .allowed = BROKEN },
	{ .what = "streams that may not go on, thirty at once",
	  .target = "/once/a",
	  .n = MANY,
	  .exit = EXIT_KILLED_SILENT,
	  .allowed = BROKEN },
	{ .what = "stream that may not go on, its endpoint leaves",
	  .target = "/once/a",
	  .notice = NOTICE_ENTRY,
	  .awaits_watch = true,
	  .exit = EXIT_KILLED_SILENT,
	  .allowed = BROKEN },
	{ .what = "stream that goes on elsewhere, its endpoint leaves",
	  .target = "/write/a",
	  .notice = NOTICE_ANSWERS,
	  .exit = EXIT_KILLED_SILENT,
	  .allowed = WHOLE },
	{ .what = "stream that may not go on, begun, its entry is removed",
	  .target = "/once/a",
	  .notice = NOTICE_REMOVED,
	  .begun = true,
	  .awaits_watch = true,
	  .exit = EXIT_KILLED_SILENT,
	  .allowed = BROKEN },
	{ .what = "idempotent request",
	  .target = "/find/a",
	  .beside = true,
	  .exit = EXIT_KILLED_SILENT,
	  .allowed = WHOLE },
	{ .what = "idempotent request with one attempt",
	  .target = "/glance/a",
	  .beside = true,
	  .exit = EXIT_KILLED_SILENT,
	  .allowed = WHOLE },
	{ .what = "request that may run once",
	  .target = "/pay/a",
	  .beside = true,
	  .exit = EXIT_KILLED_SILENT,
	  .allowed = LOST },
	{ .what = "request that may run once, its endpoint leaves",
	  .target = "/pay/a",
	  .beside = true,
	  .notice = NOTICE_ENTRY,
	  .exit = EXIT_KILLED_SILENT,
	  .allowed = LOST },
	{ .what = "request that may run once, at an engine",
	  .target = "/order/a",
	  .beside = true,
	  .exit = EXIT_KILLED_SILENT,
	  .allowed = LOST },
};

int main(void)
{
	return leaving_run_cases("silent connections", cases, N(cases));
}
