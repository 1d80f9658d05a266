/* Unit tests of lib/http1.c: parsing of heads and bodies, and rejection of
 * messages that two programs could interpret differently. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/http1.h"

#define POST "POST /a HTTP/1.1\r\nHost: h\r\n"

static void test_requests(void **state)
{
	static const struct {
		const char *text;
		enum http1_result head;
		bool body_known;
		enum http1_framing framing;
	} cases[] = {
		{ "GET / HTTP/1.1\r\nHost: h\r\n\r\n", HTTP1_DONE, true,
		  HTTP1_EMPTY },
		{ "GET / HTTP/1.1\r\nHost: h\r\n", HTTP1_MORE, false, 0 },
		{ "\x01\x02\x03\r\n\r\n", HTTP1_BAD, false, 0 },
		{ POST "Content-Length: 5\r\n\r\n", HTTP1_DONE, true,
		  HTTP1_LENGTH },
		{ POST "Content-Length: 0\r\n\r\n", HTTP1_DONE, true,
		  HTTP1_EMPTY },
		{ POST "Transfer-Encoding: chunked\r\n\r\n", HTTP1_DONE, true,
		  HTTP1_CHUNKED },
		/* each of these would allow request smuggling */
		{ POST
		  "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
		  HTTP1_DONE, false, 0 },
		{ POST "Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
		  HTTP1_DONE, false, 0 },
		{ POST "Content-Length: +5\r\n\r\n", HTTP1_DONE, false, 0 },
		{ POST "Content-Length: 99999999999999999999\r\n\r\n",
		  HTTP1_DONE, false, 0 },
		{ POST "Transfer-Encoding: gzip\r\n\r\n", HTTP1_DONE, false,
		  0 },
		{ POST "X: a\r\n b\r\n\r\n", HTTP1_BAD, false, 0 },
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct http1_head head;
		struct http1_body body;
		size_t used;
		enum http1_result got = http1_parse_request(
			cases[i].text, strlen(cases[i].text), &head, &used);

		assert_int_equal(got, cases[i].head);
		if (got != HTTP1_DONE)
			continue;
		assert_int_equal(used, strlen(cases[i].text));
		assert_int_equal(http1_request_framing(&head, &body),
				 cases[i].body_known);
		if (cases[i].body_known)
			assert_int_equal(body.framing, cases[i].framing);
	}
}

static void test_answers(void **state)
{
	static const struct {
		const char *text;
		bool to_head;
		bool body_known;
		enum http1_framing framing;
		bool keeps;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", false, true,
		  HTTP1_LENGTH, true },
		{ "HTTP/1.1 200 OK\r\n\r\n", false, true, HTTP1_UNTIL_CLOSE,
		  true },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", true, true,
		  HTTP1_EMPTY, true },
		{ "HTTP/1.1 204 No Content\r\n\r\n", false, true, HTTP1_EMPTY,
		  true },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		  "Connection: x, Close\r\n\r\n",
		  false, true, HTTP1_CHUNKED, false },
		{ "HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\n", false, true,
		  HTTP1_LENGTH, false },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
		  "Content-Length: 4\r\n\r\n",
		  false, false, 0, true },
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct http1_head head;
		struct http1_body body;
		size_t used;

		assert_int_equal(http1_parse_response(cases[i].text,
						      strlen(cases[i].text),
						      &head, &used),
				 HTTP1_DONE);
		assert_int_equal(http1_response_framing(&head, cases[i].to_head,
							&body),
				 cases[i].body_known);
		if (cases[i].body_known)
			assert_int_equal(body.framing, cases[i].framing);
		assert_int_equal(http1_keeps_alive(&head), cases[i].keeps);
	}
}

/* Statuses that no answer may have are malformed; one of 101 would answer to an
 * upgrade that no request asks for. */
static void test_statuses(void **state)
{
	int status;

	(void)state;
	for (status = 0; status <= 999; status++) {
		bool interim = status >= 100 && status <= 199 && status != 101;
		bool final = status >= 200 && status <= 599;
		struct http1_head head;
		char text[64];
		size_t used;

		snprintf(text, sizeof(text), "HTTP/1.1 %03d S\r\n\r\n", status);
		assert_int_equal(http1_parse_response(text, strlen(text), &head,
						      &used),
				 interim || final ? HTTP1_DONE : HTTP1_BAD);
		assert_int_equal(http1_is_interim(status), interim);
		assert_int_equal(http1_is_final(status), final);
	}
}

/* Status lines other than a version of HTTP/1, one space, three digits, one space
 * and a reason are malformed.  A higher minor version is read as 1.1. */
static void test_status_lines(void **state)
{
	static const struct {
		const char *line;
		enum http1_result result;
	} cases[] = {
		{ "HTTP/1.1 200 OK", HTTP1_DONE },
		{ "HTTP/1.0 200 OK", HTTP1_DONE },
		{ "HTTP/1.2 200 OK", HTTP1_DONE },
		{ "HTTP/1.1 200 ", HTTP1_DONE },
		{ "HTTP/1.1 200", HTTP1_BAD },
		{ "HTTP/1.1 200OK", HTTP1_BAD },
		{ "HTTP/1.1 20 OK", HTTP1_BAD },
		{ "HTTP/1.1 2000 OK", HTTP1_BAD },
		{ "HTTP/1.1 0200 OK", HTTP1_BAD },
		{ "HTTP/1.1 +20 OK", HTTP1_BAD },
		{ "HTTP/1.1 -20 OK", HTTP1_BAD },
		{ "HTTP/1.1 2x0 OK", HTTP1_BAD },
		{ "HTTP/1.1  200 OK", HTTP1_BAD },
		{ "HTTP/1.1\t200 OK", HTTP1_BAD },
		{ "HTTP/1.1 200 O\x01K", HTTP1_BAD },
		{ "HTTP/1.1 200 O\rK", HTTP1_BAD },
		{ "HTTP/0.9 200 OK", HTTP1_BAD },
		{ "HTTP/1.10 200 OK", HTTP1_BAD },
		{ "HTTP/2.0 200 OK", HTTP1_BAD },
		{ "http/1.1 200 OK", HTTP1_BAD },
		{ " HTTP/1.1 200 OK", HTTP1_BAD },
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct http1_head head;
		char text[64];
		size_t used;

		snprintf(text, sizeof(text), "%s\r\n\r\n", cases[i].line);
		assert_int_equal(http1_parse_response(text, strlen(text), &head,
						      &used),
				 cases[i].result);
	}
}

/* For any division of a chunked body into two reads, the decoded bytes are the
 * same and the bytes after the body are returned as the rest. */
static void test_chunked_body_in_two_reads(void **state)
{
	static const char wire[] = "4\r\nabcd\r\n3;x=y\r\nefg\r\n0\r\n"
				   "Trailer: t\r\n\r\nNEXT";
	size_t len = sizeof(wire) - 1;
	size_t cut;

	(void)state;
	for (cut = 1; cut < len - 4; cut++) {
		struct http1_head head = { .n_headers = 1 };
		struct http1_body body;
		char out[64] = "";
		char copy[64];
		size_t n = 0;
		size_t decoded;
		size_t rest;
		enum http1_result result;

		head.headers[0] = (struct http1_header){
			.name = "transfer-encoding",
			.name_len = 17,
			.value = "chunked",
			.value_len = 7,
		};
		assert_true(http1_request_framing(&head, &body));
		memcpy(copy, wire, len);
		result = http1_body_read(&body, copy, cut, &decoded, &rest);
		assert_int_equal(result, HTTP1_MORE);
		memcpy(out, copy, decoded);
		n = decoded;
		memcpy(copy, wire, len);
		result = http1_body_read(&body, copy + cut, len - cut, &decoded,
					 &rest);
		assert_int_equal(result, HTTP1_DONE);
		memcpy(out + n, copy + cut, decoded);
		assert_string_equal(out, "abcdefg");
		assert_int_equal(rest, 4);
		assert_memory_equal(copy + cut + decoded, "NEXT", 4);
	}
}

static void test_hop_by_hop(void **state)
{
	static const char text[] =
		"GET / HTTP/1.1\r\nHost: h\r\nConnection: close, X-Once\r\n"
		"X-Once: 1\r\nKeep-Alive: timeout=5\r\nX-Twice: 2\r\n"
		"TE: trailers\r\n\r\n";
	static const bool hop[] = { false, true, true, true, false, true };
	struct http1_head head;
	size_t used;
	size_t i;

	(void)state;
	assert_int_equal(http1_parse_request(text, strlen(text), &head, &used),
			 HTTP1_DONE);
	assert_int_equal(head.n_headers, 6);
	for (i = 0; i < head.n_headers; i++)
		assert_int_equal(http1_hop_by_hop(&head, &head.headers[i]),
				 hop[i]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_requests),
		cmocka_unit_test(test_answers),
		cmocka_unit_test(test_statuses),
		cmocka_unit_test(test_status_lines),
		cmocka_unit_test(test_chunked_body_in_two_reads),
		cmocka_unit_test(test_hop_by_hop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
