/*
 * Whole answers without a length that may run once are lost when many end at
 * once, and the endpoint that has written them leaves and exits.
 */
#include "regress/leaving_endpoint.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define MANY 30
#define SILENT_MS 1600
#define WHOLE (1U << END_WHOLE)

static const struct leaving_case cases[] = {
	{ .what = "not idempotent, thirty after a silence",
	  .target = "/pay/a",
	  .n = MANY,
	  .silent_ms = SILENT_MS,
	  .notice = NOTICE_ENTRY,
	  .exit = EXIT_WHEN_ASKED,
	  .allowed = WHOLE },
	{ .what = "not idempotent, at an engine, thirty after a silence, draining",
	  .target = "/order/a",
	  .n = MANY,
	  .silent_ms = SILENT_MS,
	  .notice = NOTICE_ENTRY,
	  .exit = EXIT_WHEN_ASKED,
	  .allowed = WHOLE },
	{ .what = "not idempotent, at an engine, thirty after a silence, entry removed",
	  .target = "/order/a",
	  .n = MANY,
	  .silent_ms = SILENT_MS,
	  .notice = NOTICE_REMOVED,
	  .exit = EXIT_WHEN_ASKED,
	  .allowed = WHOLE },
};

int main(void)
{
	return leaving_run_cases("leaving many", cases, N(cases));
}
