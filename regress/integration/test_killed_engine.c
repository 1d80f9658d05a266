/*
 * An endpoint that is killed while it writes an answer without a length: its
 * kernel closes the connection in order, and the caller never takes the part
 * that it has for the whole answer.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/raw_endpoint.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define HEAD                                     \
	"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\n" \
	"response-signature: m.1\r\n"
#define STREAM HEAD "content-type: text/event-stream\r\n\r\n"
#define LIMITED \
	HEAD "server-limit: 50\r\ncontent-type: text/event-stream\r\n\r\n"
#define LEAVING \
	HEAD "server-leaving: 1\r\ncontent-type: text/event-stream\r\n\r\n"
#define PLAIN HEAD "\r\n"
#define E1 "id: 1\ndata: a\n\n"
#define E2 "id: 2\ndata: b\n\n"

/* A case and how its request is sent, by POST. */
struct way_case {
	struct raw_case c;
	struct raw_way way;
};

static const struct way_case cases[] = {
	{ .c = { .what = "killed between two events",
		 .target = "/write/a",
		 .version = "1.1",
		 .answers = { { STREAM E1, RAW_KILLED },
			      { STREAM E2, RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = E1 E2,
		 .n_attempts = 2 } },
	{ .c = { .what = "killed and started again at once",
		 .target = "/write/a",
		 .version = "1.1",
		 .answers = { { STREAM E1, RAW_RESTARTED },
			      { STREAM E2, RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = E1 E2,
		 .n_attempts = 2 } },
	{ .c = { .what = "started again while the instance was frozen",
		 .target = "/write/a",
		 .version = "1.1",
		 .answers = { { STREAM E1, RAW_RESTARTED_UNSEEN },
			      { STREAM E2, RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = E1 E2,
		 .n_attempts = 2 } },
	{ .c = { .what = "killed, to a caller with HTTP/1.0",
		 .target = "/write/a",
		 .version = "1.0",
		 .answers = { { STREAM E1, RAW_KILLED },
			      { STREAM E2, RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = E1 E2,
		 .n_attempts = 2 } },
	{ .c = { .what = "all engines are killed in turn",
		 .target = "/write/a",
		 .version = "1.1",
		 .answers = { { STREAM E1, RAW_KILLED },
			      { STREAM E2, RAW_KILLED } },
		 .outcome = HTTP1_BROKEN,
		 .status = 200,
		 .body = E1 E2,
		 .n_attempts = 3 } },
	{ .c = { .what = "killed, the stream may not go on elsewhere",
		 .target = "/once/a",
		 .version = "1.1",
		 .answers = { { STREAM E1, RAW_KILLED },
			      { STREAM E2, RAW_FIN } },
		 .outcome = HTTP1_BROKEN,
		 .status = 200,
		 .body = E1,
		 .n_attempts = 1 } },
	{ .c = { .what = "ends in order, may not go on elsewhere",
		 .target = "/once/a",
		 .version = "1.1",
		 .answers = { { STREAM E1 E2, RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = E1 E2,
		 .n_attempts = 1 } },
	{ .c = { .what = "killed before an event of a stream that goes on",
		 .target = "/write/a",
		 .version = "1.1",
		 .answers = { { STREAM E1, RAW_RESET },
			      { STREAM, RAW_KILLED },
			      { STREAM E2, RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = E1 E2,
		 .n_attempts = 3 } },
	{ .c = { .what = "whole, but for its end: goes on without events, once more",
		 .target = "/write/a",
		 .version = "1.1",
		 .answers = { { STREAM E1 E2, RAW_KILLED },
			      { STREAM, RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = E1 E2,
		 .n_attempts = 3 } },
	{ .c = { .what = "taken up by a caller that has all",
		 .target = "/write/a",
		 .version = "1.1",
		 .answers = { { STREAM, RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = "",
		 .n_attempts = 2 },
	  .way = { .headers = "last-event-id: 2\r\n" } },
	{ .c = { .what = "taken up by a caller that has all, all engines are killed",
		 .target = "/write/a",
		 .version = "1.1",
		 .answers = { { STREAM, RAW_KILLED } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 502,
		 .n_attempts = 3 },
	  .way = { .headers = "last-event-id: 2\r\n" } },
	{ .c = { .what = "its end can't be told, as reports are refused",
		 .target = "/write/a",
		 .version = "1.1",
		 .answers = { { STREAM E1, RAW_FIN }, { STREAM E2, RAW_FIN } },
		 .outcome = HTTP1_BROKEN,
		 .status = 200,
		 .body = E1 E2,
		 .n_attempts = 5 },
	  .way = { .report = RAW_REPORT_REFUSED } },
	{ .c = { .what = "its end can't be told, as reports are silent",
		 .target = "/once/a",
		 .version = "1.1",
		 .answers = { { STREAM E1, RAW_FIN } },
		 .outcome = HTTP1_BROKEN,
		 .status = 200,
		 .body = E1,
		 .n_attempts = 1 },
	  .way = { .report = RAW_REPORT_SILENT } },
	{ .c = { .what = "killed, named a limit",
		 .target = "/write/a",
		 .version = "1.1",
		 .answers = { { LIMITED E1, RAW_KILLED },
			      { STREAM E2, RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = E1 E2,
		 .n_attempts = 2 } },
	{ .c = { .what = "restarted at once, named a limit",
		 .target = "/write/a",
		 .version = "1.1",
		 .answers = { { LIMITED E1, RAW_RESTARTED },
			      { STREAM E2, RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = E1 E2,
		 .n_attempts = 2 } },
	{ .c = { .what = "restarted at once, was leaving",
		 .target = "/write/a",
		 .version = "1.1",
		 .answers = { { LEAVING E1, RAW_RESTARTED },
			      { STREAM E2, RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = E1 E2,
		 .n_attempts = 2 } },
	{ .c = { .what = "ends in order, is leaving",
		 .target = "/write/a",
		 .version = "1.1",
		 .answers = { { LEAVING E1 E2, RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = E1 E2,
		 .n_attempts = 1 } },
	{ .c = { .what = "plain, killed",
		 .target = "/look/a",
		 .version = "1.1",
		 .answers = { { PLAIN "o", RAW_KILLED },
			      { PLAIN "ok", RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = "ok",
		 .n_attempts = 2 } },
	{ .c = { .what = "plain, killed, may run once",
		 .target = "/book/a",
		 .version = "1.1",
		 .answers = { { PLAIN "o", RAW_KILLED } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 502,
		 .n_attempts = 1 } },
	{ .c = { .what = "plain, ends in order, may run once",
		 .target = "/book/a",
		 .version = "1.1",
		 .answers = { { PLAIN "ok", RAW_FIN } },
		 .outcome = HTTP1_COMPLETE,
		 .status = 200,
		 .body = "ok",
		 .n_attempts = 1 } },
};

static void run(void **state)
{
	const struct way_case *w = *state;
	struct raw_way way = w->way;

	way.method = "POST";
	raw_run_case_in_way(&w->c, &way);
}

int main(void)
{
	struct CMUnitTest tests[N(cases)];
	size_t i;

	for (i = 0; i < N(cases); i++)
		tests[i] = (struct CMUnitTest){
			.name = cases[i].c.what,
			.test_func = run,
			.initial_state = (void *)&cases[i],
		};
	return _cmocka_run_group_tests("killed engine", tests, N(tests), NULL,
				       NULL);
}
