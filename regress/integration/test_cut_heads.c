/*
 * An endpoint stops in the middle of its answer, at each place of the head and
 * of the chunks, and its connection ends.  A caller gets the whole answer of
 * another endpoint, an error, or a stream that breaks off, and never the part as
 * if it were whole.
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
#define OK "HTTP/1.1 200 OK\r\n"
#define FIELDS "request-id: r-1\r\nresponse-signature: m.1\r\n"
#define TYPE "content-type: text/event-stream\r\n"
#define LENGTH "content-length: 30\r\n" /* of E1 E2 */
#define CHUNKED OK FIELDS TYPE "transfer-encoding: chunked\r\n\r\n"
#define E1 "id: 1\ndata: a\n\n"
#define E2 "id: 2\ndata: b\n\n"
#define CHUNK(event) "f\r\n" event "\r\n"
#define ENDS_MAX 2

/* What an endpoint sends of its answer.  Events are those in it. */
static const struct cut {
	const char *what;
	const char *bytes;
	const char *events;
} cuts[] = {
	{ "inside the status line", "HTTP/1.1 20", "" },
	{ "after the status line", OK, "" },
	{ "inside a header's name", OK FIELDS TYPE "content-le", "" },
	{ "inside the digits of the length", OK FIELDS TYPE "content-length: 3",
	  "" },
	{ "inside the line end of the length",
	  OK FIELDS TYPE "content-length: 30\r", "" },
	{ "before the empty line", OK FIELDS TYPE LENGTH, "" },
	{ "inside the empty line", OK FIELDS TYPE LENGTH "\r", "" },
	{ "inside the empty line, without a length", OK FIELDS TYPE "\r", "" },
	{ "after an interim head", "HTTP/1.1 103 E\r\nlink: a\r\n\r\n", "" },
	{ "inside the head after an interim one",
	  "HTTP/1.1 100 C\r\n\r\n" OK FIELDS TYPE, "" },
	{ "after the head", OK FIELDS TYPE LENGTH "\r\n", "" },
	{ "inside the body", OK FIELDS TYPE LENGTH "\r\n" E1, E1 },
	{ "before the first chunk", CHUNKED, "" },
	{ "inside the size of a chunk", CHUNKED CHUNK(E1) "0", E1 },
	{ "between chunks", CHUNKED CHUNK(E1), E1 },
	{ "before the last chunk", CHUNKED CHUNK(E1) CHUNK(E2), E1 E2 },
	{ "after the size of the last chunk",
	  CHUNKED CHUNK(E1) CHUNK(E2) "0\r\n", E1 E2 },
	{ "inside the trailer", CHUNKED CHUNK(E1) CHUNK(E2) "0\r\nsum: 1\r\n",
	  E1 E2 },
};

#define WHOLE OK FIELDS TYPE LENGTH "\r\n" E1 E2
#define WHOLE_HEAD OK FIELDS TYPE LENGTH "\r\n"
#define BREAKS CHUNKED CHUNK(E1)
#define REST CHUNKED CHUNK(E2) "0\r\n\r\n"
#define NO_EVENT CHUNKED "0\r\n\r\n"

static const enum raw_end ends[ENDS_MAX] = { RAW_FIN, RAW_RESET };

/* Runs a case for each cut and end of the connection. */
static void run(struct raw_case c, size_t cut_answer, const struct raw_way *way,
		size_t n_cuts)
{
	size_t i;
	size_t k;

	for (i = 0; i < n_cuts; i++)
		for (k = 0; k < ENDS_MAX; k++) {
			char *what = xasprintf("%s, %s", cuts[i].what,
					       k ? "reset" : "in order");

			c.what = what;
			c.answers[cut_answer] = (struct raw_answer){
				cuts[i].bytes,
				ends[k],
			};
			raw_run_case_in_way(&c, way);
			free(what);
		}
}

/* A call that may be repeated goes to another endpoint. */
static void repeated_call(const struct raw_way *way, const char *whole,
			  size_t n_cuts)
{
	const struct raw_case c = {
		.target = "/look/a",
		.version = "1.1",
		.answers = { { NULL, RAW_FIN }, { whole, RAW_KEEP } },
		.outcome = HTTP1_COMPLETE,
		.status = 200,
		.body = strcmp(way->method, "HEAD") ? E1 E2 : "",
		.n_attempts = 2,
	};

	run(c, 0, way, n_cuts);
}

/* A call that may run once fails. */
static void single_call(const struct raw_way *way)
{
	const struct raw_case c = {
		.target = "/book/a",
		.version = "1.1",
		.answers = { { NULL, RAW_FIN }, { WHOLE, RAW_KEEP } },
		.outcome = HTTP1_COMPLETE,
		.status = 502,
		.n_attempts = 1,
	};

	run(c, 0, way, N(cuts));
}

static void test_call_that_may_repeat(void **state)
{
	static const struct raw_way way = { .method = "POST", .kept = false };

	(void)state;
	repeated_call(&way, WHOLE, N(cuts));
}

static void test_call_that_may_repeat_on_kept_connection(void **state)
{
	static const struct raw_way way = { .method = "POST", .kept = true };

	(void)state;
	repeated_call(&way, WHOLE, N(cuts));
}

/* Heads alone: the answer to HEAD is whole with its head. */
static void test_head(void **state)
{
	static const struct raw_way way = { .method = "HEAD", .kept = false };
	static const struct raw_way kept = { .method = "HEAD", .kept = true };
	const size_t heads = 10;

	(void)state;
	repeated_call(&way, WHOLE_HEAD, heads);
	repeated_call(&kept, WHOLE_HEAD, heads);
}

static void test_call_that_may_run_once(void **state)
{
	static const struct raw_way way = { .method = "POST", .kept = false };

	(void)state;
	single_call(&way);
}

static void test_call_that_may_run_once_on_kept_connection(void **state)
{
	static const struct raw_way way = { .method = "POST", .kept = true };

	(void)state;
	single_call(&way);
}

/* The first answer is cut; the stream goes on at another endpoint after the
 * events that came, each once. */
static void test_new_stream(void **state)
{
	static const struct raw_way way = { .method = "POST", .kept = false };
	struct raw_case c = {
		.target = "/write/a",
		.version = "1.1",
		.outcome = HTTP1_COMPLETE,
		.status = 200,
		.body = E1 E2,
		.n_attempts = 2,
	};
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < N(cuts); i++)
		for (k = 0; k < ENDS_MAX; k++) {
			c.what = cuts[i].what;
			c.answers[0] =
				(struct raw_answer){ cuts[i].bytes, ends[k] };
			c.answers[1] = (struct raw_answer){
				!cuts[i].events[0]	      ? WHOLE
				: !strcmp(cuts[i].events, E1) ? REST
							      : NO_EVENT,
				RAW_KEEP
			};
			raw_run_case_in_way(&c, &way);
		}
}

/* A stream has begun and breaks off, the answer of the next endpoint is cut in
 * its head: the stream goes on at the third one. */
static void test_begun_stream(void **state)
{
	static const struct raw_way way = { .method = "POST", .kept = false };
	const struct raw_case c = {
		.target = "/write/a",
		.version = "1.1",
		.answers = { { BREAKS, RAW_RESET },
			     { NULL, RAW_FIN },
			     { REST, RAW_KEEP } },
		.outcome = HTTP1_COMPLETE,
		.status = 200,
		.body = E1 E2,
		.n_attempts = 3,
	};

	(void)state;
	run(c, 1, &way, 10);
}

/* All further answers are cut in their heads: the stream has no end. */
static void test_begun_stream_for_good(void **state)
{
	static const struct raw_way way = { .method = "POST", .kept = false };
	const struct raw_case c = {
		.target = "/write/a",
		.version = "1.1",
		.answers = { { BREAKS, RAW_RESET } },
		.outcome = HTTP1_BROKEN,
		.status = 200,
		.body = E1,
		.n_attempts = 5,
	};

	(void)state;
	run(c, 1, &way, 10);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_call_that_may_repeat),
		cmocka_unit_test(test_call_that_may_repeat_on_kept_connection),
		cmocka_unit_test(test_head),
		cmocka_unit_test(test_call_that_may_run_once),
		cmocka_unit_test(
			test_call_that_may_run_once_on_kept_connection),
		cmocka_unit_test(test_new_stream),
		cmocka_unit_test(test_begun_stream),
		cmocka_unit_test(test_begun_stream_for_good),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
