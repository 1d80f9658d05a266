/*
 * An endpoint answers with a status that no answer may have.  The answer was
 * passed on, or, below 200, skipped like an interim one, so that a caller got its
 * body as the answer.  It counts as malformed: a request that may run again does,
 * another one is refused, a stream goes on elsewhere.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/xalloc.h"
#include "regress/raw_endpoint.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define FIELDS "request-id: r-1\r\nresponse-signature: m.1\r\n"
#define TYPE "content-type: text/event-stream\r\n"
#define OK "HTTP/1.1 200 OK\r\n" FIELDS
#define WHOLE OK "content-length: 2\r\n\r\nok"
#define E1 "id: 1\ndata: a\n\n"
#define E2 "id: 2\ndata: b\n\n"
#define CHUNK(event) "f\r\n" event "\r\n"
#define CHUNKED OK TYPE "transfer-encoding: chunked\r\n\r\n"
#define STREAM CHUNKED CHUNK(E1) CHUNK(E2) "0\r\n\r\n"
#define BREAKS CHUNKED CHUNK(E1)
#define REST CHUNKED CHUNK(E2) "0\r\n\r\n"
/* The body of an odd answer: bytes that are an answer of their own. */
#define INNER OK TYPE "content-length: 15\r\n\r\nid: 9\ndata: x\n\n"

static const char *const statuses[] = {
	"000", "042", "099", "101", "600", "999"
};

/* Runs a case for each status and way in which such an answer goes on. */
static void run(struct raw_case c, size_t odd, const struct raw_way *way)
{
	char *length =
		xasprintf("content-length: %zu\r\n\r\n" INNER, strlen(INNER));
	const struct {
		const char *what;
		const char *rest;
		enum raw_end end;
	} rests[] = {
		{ "with a length", length, RAW_KEEP },
		{ "without a length", "\r\n" INNER, RAW_FIN },
		{ "without a body", "content-length: 0\r\n\r\n", RAW_KEEP },
	};
	size_t n;

	for (n = 0; n < N(statuses) * N(rests); n++) {
		size_t rest = n % N(rests);
		const char *status = statuses[n / N(rests)];
		char *bytes = xasprintf("HTTP/1.1 %s S\r\n" FIELDS "%s", status,
					rests[rest].rest);
		char *what = xasprintf("%s %s", status, rests[rest].what);

		c.what = what;
		c.version = "1.1";
		c.answers[odd] = (struct raw_answer){ bytes, rests[rest].end };
		raw_run_case_in_way(&c, way);
		free(what);
		free(bytes);
	}
	free(length);
}

static const struct raw_way fresh = { .method = "POST" };
static const struct raw_way kept = { .method = "POST", .kept = true };

static const struct raw_case may_repeat = {
	.target = "/look/a",
	.answers = { [1] = { WHOLE, RAW_KEEP } },
	.status = 200,
	.body = "ok",
	.n_attempts = 2,
};

static const struct raw_case may_run_once = {
	.target = "/book/a",
	.answers = { [1] = { WHOLE, RAW_KEEP } },
	.status = 502,
	.n_attempts = 1,
};

static void call_that_may_repeat(void **state)
{
	(void)state;
	run(may_repeat, 0, &fresh);
}

static void call_that_may_repeat_on_kept_connection(void **state)
{
	(void)state;
	run(may_repeat, 0, &kept);
}

static void call_that_may_run_once(void **state)
{
	(void)state;
	run(may_run_once, 0, &fresh);
}

static void call_that_may_run_once_on_kept_connection(void **state)
{
	(void)state;
	run(may_run_once, 0, &kept);
}

static void relayed_call(void **state)
{
	static const struct raw_way way = { .method = "POST",
					    .headers = "relayed-by: two\r\n" };

	(void)state;
	run(may_repeat, 0, &way);
	run(may_run_once, 0, &way);
}

static void stream_that_a_caller_takes_up(void **state)
{
	static const struct raw_way way = { .method = "POST",
					    .headers = "last-event-id: 1\r\n" };
	const struct raw_case c = {
		.target = "/write/a",
		.answers = { [1] = { REST, RAW_KEEP } },
		.status = 200,
		.body = E2,
		.n_attempts = 2,
	};

	(void)state;
	run(c, 0, &way);
}

static void new_stream(void **state)
{
	const struct raw_case c = {
		.target = "/write/a",
		.answers = { [1] = { STREAM, RAW_KEEP } },
		.status = 200,
		.body = E1 E2,
		.n_attempts = 2,
	};

	(void)state;
	run(c, 0, &fresh);
}

static void begun_stream(void **state)
{
	const struct raw_case c = {
		.target = "/write/a",
		.answers = { { BREAKS, RAW_RESET }, [2] = { REST, RAW_KEEP } },
		.status = 200,
		.body = E1 E2,
		.n_attempts = 3,
	};

	(void)state;
	run(c, 1, &fresh);
}

/* A report with such a status shows nothing: the end of an answer without a length
 * can't be told. */
static void report(void **state)
{
	static const struct raw_way way = { .method = "POST",
					    .report = RAW_REPORT_ODD };
	static const struct raw_case c = {
		.what = "report",
		.target = "/once/a",
		.version = "1.1",
		.answers = { { OK TYPE "\r\n" E1, RAW_FIN } },
		.outcome = HTTP1_BROKEN,
		.status = 200,
		.body = E1,
		.n_attempts = 1,
	};

	(void)state;
	raw_run_case_in_way(&c, &way);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(call_that_may_repeat),
		cmocka_unit_test(call_that_may_repeat_on_kept_connection),
		cmocka_unit_test(call_that_may_run_once),
		cmocka_unit_test(call_that_may_run_once_on_kept_connection),
		cmocka_unit_test(relayed_call),
		cmocka_unit_test(new_stream),
		cmocka_unit_test(begun_stream),
		cmocka_unit_test(stream_that_a_caller_takes_up),
		cmocka_unit_test(report),
	};

	return cmocka_run_group_tests_name("odd status", tests, NULL, NULL);
}
