/*
 * An endpoint closes its sending side in order, after a part of an answer without
 * a length, while a long request is still being written to it.  A caller got the
 * part as a complete answer.  It is none: a request that may run again does,
 * another one is refused, a stream goes on elsewhere.  An answer that states its
 * end is complete, and one that is no success is passed on.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/raw_endpoint.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define BODY_BYTES (3u << 20)
#define HEAD_OF(version, status)                               \
	"HTTP/" version " " status " S\r\nrequest-id: r-1\r\n" \
	"response-signature: m.1\r\n"
#define TYPE "content-type: text/event-stream\r\n"
#define PLAIN HEAD_OF("1.1", "200") "\r\n"
#define PLAIN_10 HEAD_OF("1.0", "200") "\r\n"
#define WHOLE HEAD_OF("1.1", "200") "content-length: 2\r\n\r\nok"
#define CHUNKED HEAD_OF("1.1", "200") "transfer-encoding: chunked\r\n\r\n"
#define STREAM HEAD_OF("1.1", "200") TYPE "\r\n"
#define STREAM_CHUNKED \
	HEAD_OF("1.1", "200") TYPE "transfer-encoding: chunked\r\n\r\n"
#define E1 "id: 1\ndata: a\n\n"
#define E2 "id: 2\ndata: b\n\n"
#define CHUNK(event) "f\r\n" event "\r\n"
#define REST STREAM_CHUNKED CHUNK(E2) "0\r\n\r\n"
#define WAY_WITH(lines)                                      \
	{                                                    \
		.body_bytes = BODY_BYTES, .headers = (lines) \
	}
#define WAY WAY_WITH(NULL)
#define TAKES_UP WAY_WITH("last-event-id: 1\r\n")
#define RELAYED WAY_WITH("relayed-by: two\r\n")

static const struct raw_way_case cases[] = {
	{ { .what = "may run again, ends in order",
	    .target = "/look/a",
	    .answers = { { PLAIN "o", RAW_HALF }, { WHOLE, RAW_KEEP } },
	    .status = 200,
	    .body = "ok",
	    .n_attempts = 2 },
	  WAY },
	{ { .what = "may run again, HTTP/1.0",
	    .target = "/look/a",
	    .answers = { { PLAIN_10 "o", RAW_HALF }, { WHOLE, RAW_KEEP } },
	    .status = 200,
	    .body = "ok",
	    .n_attempts = 2 },
	  WAY },
	{ { .what = "may run again, ends so again",
	    .target = "/look/a",
	    .answers = { { PLAIN "o", RAW_HALF }, { PLAIN "o", RAW_HALF } },
	    .status = 502,
	    .n_attempts = 2 },
	  WAY },
	{ { .what = "may run again, reset",
	    .target = "/look/a",
	    .answers = { { PLAIN "o", RAW_RESET }, { WHOLE, RAW_KEEP } },
	    .status = 200,
	    .body = "ok",
	    .n_attempts = 2 },
	  WAY },
	{ { .what = "may run once, ends in order",
	    .target = "/book/a",
	    .answers = { { PLAIN "o", RAW_HALF } },
	    .status = 502,
	    .n_attempts = 1 },
	  WAY },
	{ { .what = "may run once, ends in order without a byte",
	    .target = "/book/a",
	    .answers = { { PLAIN, RAW_HALF } },
	    .status = 502,
	    .n_attempts = 1 },
	  WAY },
	{ { .what = "may run once, reset",
	    .target = "/book/a",
	    .answers = { { PLAIN "o", RAW_RESET } },
	    .status = 502,
	    .n_attempts = 1 },
	  WAY },
	{ { .what = "may run once, on a kept connection",
	    .target = "/book/a",
	    .answers = { { PLAIN "o", RAW_HALF } },
	    .status = 502,
	    .n_attempts = 1 },
	  { .body_bytes = BODY_BYTES, .kept = true } },
	{ { .what = "stream, ends after an event",
	    .target = "/write/a",
	    .answers = { { STREAM E1, RAW_HALF }, { REST, RAW_KEEP } },
	    .status = 200,
	    .body = E1 E2,
	    .n_attempts = 2 },
	  WAY },
	{ { .what = "stream, ends before its first event",
	    .target = "/write/a",
	    .answers = { { STREAM, RAW_HALF },
			 { STREAM_CHUNKED CHUNK(E1) CHUNK(E2) "0\r\n\r\n",
			   RAW_KEEP } },
	    .status = 200,
	    .body = E1 E2,
	    .n_attempts = 2 },
	  WAY },
	{ { .what = "stream that may not go on elsewhere",
	    .target = "/once/a",
	    .answers = { { STREAM E1, RAW_HALF } },
	    .outcome = HTTP1_BROKEN,
	    .status = 200,
	    .body = E1,
	    .n_attempts = 1 },
	  WAY },
	{ { .what = "stream that a caller takes up",
	    .target = "/write/a",
	    .answers = { { STREAM, RAW_HALF }, { REST, RAW_KEEP } },
	    .status = 200,
	    .body = E2,
	    .n_attempts = 2 },
	  TAKES_UP },
	{ { .what = "relayed, may run again",
	    .target = "/look/a",
	    .answers = { { PLAIN "o", RAW_HALF }, { WHOLE, RAW_KEEP } },
	    .status = 200,
	    .body = "ok",
	    .n_attempts = 2 },
	  RELAYED },
	{ { .what = "relayed, may run once",
	    .target = "/book/a",
	    .answers = { { PLAIN "o", RAW_HALF } },
	    .status = 502,
	    .n_attempts = 1 },
	  RELAYED },
	{ { .what = "relayed stream",
	    .target = "/write/a",
	    .answers = { { STREAM E1, RAW_HALF }, { REST, RAW_KEEP } },
	    .status = 200,
	    .body = E1 E2,
	    .n_attempts = 2 },
	  RELAYED },
	{ { .what = "with a length",
	    .target = "/book/a",
	    .answers = { { WHOLE, RAW_HALF } },
	    .status = 200,
	    .body = "ok",
	    .n_attempts = 1 },
	  WAY },
	{ { .what = "in chunks",
	    .target = "/book/a",
	    .answers = { { CHUNKED "2\r\nok\r\n0\r\n\r\n", RAW_HALF } },
	    .status = 200,
	    .body = "ok",
	    .n_attempts = 1 },
	  WAY },
	{ { .what = "refusal",
	    .target = "/book/a",
	    .answers = { { HEAD_OF("1.1", "413") "\r\nno", RAW_HALF } },
	    .status = 413,
	    .body = "no",
	    .n_attempts = 1 },
	  WAY },
	{ { .what = "request read whole",
	    .target = "/book/a",
	    .answers = { { PLAIN "ok", RAW_HALF } },
	    .status = 200,
	    .body = "ok",
	    .n_attempts = 1 },
	  { .body_bytes = 0 } },
};

int main(void)
{
	return raw_run_cases("early ends", cases, N(cases));
}
