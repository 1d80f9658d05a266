/*
 * A caller takes a stream up after an event that it has, and the endpoint begins
 * with that event or an earlier one.  The caller gets none of them again.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/raw_endpoint.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define STREAM                                                      \
	"HTTP/1.1 200 S\r\nrequest-id: r-1\r\n"                     \
	"response-signature: m.1\r\ntransfer-encoding: chunked\r\n" \
	"content-type: text/event-stream\r\n\r\n"
#define CHUNK(event) "f\r\n" event "\r\n" /* 15 bytes */
#define END "0\r\n\r\n"
#define E1 "id: 1\ndata: a\n\n"
#define E2 "id: 2\ndata: b\n\n"
#define E3 "id: 3\ndata: c\n\n"
#define E4 "id: 4\ndata: d\n\n"

static const struct raw_case cases[] = {
	{ "the endpoint goes on after the caller's last event",
	  "/write/a",
	  "1.1",
	  { { STREAM CHUNK(E3) CHUNK(E4) END, RAW_KEEP } },
	  HTTP1_COMPLETE,
	  200,
	  E3 E4,
	  1 },
	{ "the endpoint begins with the caller's last event",
	  "/write/a",
	  "1.1",
	  { { STREAM CHUNK(E2) CHUNK(E3) END, RAW_KEEP } },
	  HTTP1_COMPLETE,
	  200,
	  E3,
	  1 },
	{ "the endpoint begins with the first event",
	  "/write/a",
	  "1.1",
	  { { STREAM CHUNK(E1) CHUNK(E2) CHUNK(E3) END, RAW_KEEP } },
	  HTTP1_COMPLETE,
	  200,
	  E3,
	  1 },
	{ "the endpoint that it moves to begins with an earlier event",
	  "/write/a",
	  "1.1",
	  { { STREAM CHUNK(E3), RAW_RESET },
	    { STREAM CHUNK(E2) CHUNK(E3) CHUNK(E4) END, RAW_KEEP } },
	  HTTP1_COMPLETE,
	  200,
	  E3 E4,
	  2 },
};

/* Runs a case whose caller has the first two events. */
static void take_up(void **state)
{
	static const struct raw_way way = {
		.method = "POST",
		.headers = "last-event-id: 2\r\nresumes: r-0\r\n",
	};

	raw_run_case_in_way(*state, &way);
}

int main(void)
{
	struct CMUnitTest tests[N(cases)];
	size_t i;

	for (i = 0; i < N(cases); i++)
		tests[i] = (struct CMUnitTest){
			.name = cases[i].what,
			.test_func = take_up,
			.initial_state = (void *)&cases[i],
		};
	return cmocka_run_group_tests(tests, NULL, NULL);
}
