/*
 * An engine is killed behind a partition in the middle of its answers and starts
 * again; when that has healed, the ends of its connections come one after the other.
 * The start that it stated after the first one was taken for that of the answers which
 * were still open, so that their parts passed for whole answers.
 */
#include "regress/leaving_endpoint.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define MANY 30
#define STEP_MS 30 /* some ticks for each */
#define LONG_MS 400
#define WHOLE (1U << END_WHOLE)
#define BROKEN (1U << END_BROKEN)
#define LOST (1U << END_LOST)

static const struct leaving_case cases[] = {
	{ .what = "streams that may not go on",
	  .target = "/once/a",
	  .n = MANY,
	  .exit = EXIT_RESTARTED_APART,
	  .exit_ms = STEP_MS,
	  .allowed = BROKEN },
	{ .what = "streams that may not go on, ends far apart",
	  .target = "/once/a",
	  .n = 4,
	  .exit = EXIT_RESTARTED_APART,
	  .exit_ms = LONG_MS,
	  .allowed = BROKEN },
	{ .what = "streams that may not go on, ends that come together",
	  .target = "/once/a",
	  .n = MANY,
	  .exit = EXIT_RESTARTED_APART,
	  .exit_ms = 1,
	  .allowed = BROKEN },
	{ .what = "streams that go on elsewhere",
	  .target = "/write/a",
	  .n = MANY,
	  .exit = EXIT_RESTARTED_APART,
	  .exit_ms = STEP_MS,
	  .allowed = WHOLE },
	{ .what = "streams that go on elsewhere, ends far apart",
	  .target = "/write/a",
	  .n = 4,
	  .exit = EXIT_RESTARTED_APART,
	  .exit_ms = LONG_MS,
	  .allowed = WHOLE },
	{ .what = "idempotent requests, at an engine",
	  .target = "/seek/a",
	  .n = MANY,
	  .exit = EXIT_RESTARTED_APART,
	  .exit_ms = STEP_MS,
	  .allowed = WHOLE },
	{ .what = "idempotent requests",
	  .target = "/find/a",
	  .n = MANY,
	  .exit = EXIT_RESTARTED_APART,
	  .exit_ms = STEP_MS,
	  .allowed = WHOLE },
	{ .what = "idempotent requests beside another one",
	  .target = "/find/a",
	  .n = MANY,
	  .beside = true,
	  .exit = EXIT_RESTARTED_APART,
	  .exit_ms = STEP_MS,
	  .allowed = WHOLE },
	{ .what = "requests that may run once",
	  .target = "/pay/a",
	  .n = MANY,
	  .exit = EXIT_RESTARTED_APART,
	  .exit_ms = STEP_MS,
	  .allowed = LOST },
	{ .what = "request that may run once beside another one",
	  .target = "/pay/a",
	  .beside = true,
	  .exit = EXIT_RESTARTED_APART,
	  .exit_ms = LONG_MS,
	  .allowed = LOST },
	{ .what = "requests that may run once, at an engine",
	  .target = "/order/a",
	  .n = MANY,
	  .exit = EXIT_RESTARTED_APART,
	  .exit_ms = STEP_MS,
	  .allowed = LOST },
	/* the parts arrive with the ends, as of an endpoint that ends them itself */
	{ .what = "request that may run once, its bytes held up",
	  .target = "/pay/a",
	  .exit = EXIT_RESTARTED_HELD,
	  .exit_ms = LONG_MS,
	  .allowed = LOST },
	{ .what = "request that may run once, its endpoint leaves",
	  .target = "/pay/a",
	  .notice = NOTICE_ENTRY,
	  .exit = EXIT_RESTARTED_HELD,
	  .exit_ms = LONG_MS,
	  .allowed = LOST },
	{ .what = "requests that may run once, at an engine, held up",
	  .target = "/order/a",
	  .n = MANY,
	  .exit = EXIT_RESTARTED_HELD,
	  .exit_ms = STEP_MS,
	  .allowed = LOST },
	{ .what = "request that may run once, at an engine that leaves",
	  .target = "/order/a",
	  .notice = NOTICE_ENTRY,
	  .exit = EXIT_RESTARTED_HELD,
	  .exit_ms = LONG_MS,
	  .allowed = LOST },
	{ .what = "streams that may not go on, their engine leaves",
	  .target = "/once/a",
	  .n = MANY,
	  .notice = NOTICE_ENTRY,
	  .exit = EXIT_RESTARTED_HELD,
	  .exit_ms = STEP_MS,
	  .allowed = BROKEN },
};

int main(void)
{
	return leaving_run_cases("restarted unseen", cases, N(cases));
}
