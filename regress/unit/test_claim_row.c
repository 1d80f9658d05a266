/* Tests the encoding of claim rows in the platform's table. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "entryd/claim_row.h"
#include "lib/xalloc.h"

#define NONCE 0x1122334455667788u
#define BODY 0x0000000000000001u

/* Encodes a record and parses the result into out. */
static void round_trip(const struct claim_record *r, struct claim_record *out)
{
	char *text = claim_record_text(r, "ikeja-1");

	assert_non_null(strstr(text, "\"by\":\"ikeja-1\""));
	assert_true(claim_record_parse(text, strlen(text), out));
	assert_true(out->row.nonce == r->row.nonce);
	assert_true(out->row.body_digest == r->row.body_digest);
	assert_int_equal(out->row.answered, r->row.answered);
	assert_int_equal(out->row.answer_kept, r->row.answer_kept);
	free(text);
}

static void test_claim_without_answer(void **state)
{
	const struct claim_record r = {
		.row = { .nonce = NONCE, .body_digest = BODY },
	};
	struct claim_record out;

	(void)state;
	round_trip(&r, &out);
	assert_null(out.answer);
	claim_record_release(&out);
}

/* Answers with lengths around the base64 group size and arbitrary bytes are
 * restored unchanged. */
static void test_answers_round_trip(void **state)
{
	static const size_t lengths[] = { 0, 1, 2,   3,	  4,
					  5, 6, 255, 256, CLAIM_ANSWER_MAX };
	size_t i;
	size_t k;

	(void)state;
	for (i = 0; i < sizeof(lengths) / sizeof(lengths[0]); i++) {
		struct claim_record r = {
			.row = { .nonce = NONCE,
				 .body_digest = BODY,
				 .answered = true,
				 .answer_kept = true },
			.status = 201,
			.type = "application/octet-stream",
			.answer_len = lengths[i],
		};
		struct claim_record out;

		r.answer = xcalloc(lengths[i] + 1, 1);
		for (k = 0; k < lengths[i]; k++)
			r.answer[k] = (char)(k * 37);
		round_trip(&r, &out);
		assert_int_equal(out.status, 201);
		assert_string_equal(out.type, "application/octet-stream");
		assert_int_equal(out.answer_len, lengths[i]);
		assert_memory_equal(out.answer, r.answer, lengths[i]);
		claim_record_release(&out);
		free(r.answer);
	}
}

static void test_answer_not_kept(void **state)
{
	const struct claim_record r = {
		.row = { .nonce = NONCE,
			 .body_digest = BODY,
			 .answered = true },
		.status = 200,
		.type = "text/plain",
		.answer = "too long",
		.answer_len = CLAIM_ANSWER_MAX + 1,
	};
	struct claim_record out;

	(void)state;
	round_trip(&r, &out);
	assert_null(out.answer);
	claim_record_release(&out);
}

/* Text that is not a claim's row is rejected. */
static void test_foreign_rows_are_rejected(void **state)
{
	static const char *const rows[] = {
		"",
		"null",
		"[]",
		"{}",
		"{\"nonce\":\"1122334455667788\"}",
		"{\"nonce\":\"1122\",\"body\":\"1122334455667788\"}",
		"{\"nonce\":1122334455667788,\"body\":\"1122334455667788\"}",
		"{\"nonce\":\"11223344556677zz\",\"body\":\"1122334455667788\"}",
		"{\"nonce\":\"-122334455667788\",\"body\":\"1122334455667788\"}",
		"{\"nonce\":\"1122334455667788\",\"body\":\"1122334455667788\"",
	};
	struct claim_record r;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		if (claim_record_parse(rows[i], strlen(rows[i]), &r))
			fail_msg("taken: %s", rows[i]);
}

/* A claim whose answer cannot be decoded stays answered but counts as not kept,
 * so that its call is never run again. */
static void test_malformed_answer_is_not_kept(void **state)
{
	static const char *const answers[] = {
		"\"length\":3",
		"\"length\":3,\"type\":\"a\",\"answer\":\"AAA\"",
		"\"length\":4,\"type\":\"a\",\"answer\":\"AAAA\"",
		"\"length\":-1,\"type\":\"a\",\"answer\":\"AAAA\"",
		"\"length\":3,\"answer\":\"AAAA\"",
		"\"length\":65537,\"type\":\"a\",\"answer\":\"AAAA\"",
		"\"length\":3,\"type\":\"a\",\"answer\":\"A*AA\"",
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
		char *text = xasprintf("{\"nonce\":\"1122334455667788\","
				       "\"body\":\"1122334455667788\","
				       "\"answered\":true,\"kept\":true,%s}",
				       answers[i]);
		struct claim_record r;

		assert_true(claim_record_parse(text, strlen(text), &r));
		assert_true(r.row.answered);
		if (r.row.answer_kept)
			fail_msg("kept: %s", answers[i]);
		claim_record_release(&r);
		free(text);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_claim_without_answer),
		cmocka_unit_test(test_answers_round_trip),
		cmocka_unit_test(test_answer_not_kept),
		cmocka_unit_test(test_foreign_rows_are_rejected),
		cmocka_unit_test(test_malformed_answer_is_not_kept),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
