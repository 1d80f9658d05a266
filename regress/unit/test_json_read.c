/* Read-only JSON documents (lib/json_read.h). */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <setjmp.h>
#include <cmocka.h>

#include "lib/json_read.h"

#define DEPTH 200000 /* overflows the stack of a recursive parser */

static void test_values(void **state)
{
	static const char text[] = "{\"t\":\"a\\u00e9\",\"n\":2.5,\"i\":-7,"
				   "\"y\":true,\"l\":[1,\"x\"],\"o\":{}}";
	struct json_document *d = json_document_parse(text, strlen(text));
	const struct json_value *root = json_document_root(d);
	const struct json_value *list = json_value_member(root, "l");
	double number;
	int64_t integer;

	(void)state;
	assert_true(json_value_is_object(root));
	assert_string_equal(json_value_text(json_value_member(root, "t")),
			    "a\xc3\xa9");
	assert_true(json_value_number(json_value_member(root, "n"), &number));
	assert_true(number == 2.5);
	assert_false(
		json_value_integer(json_value_member(root, "n"), &integer));
	assert_true(json_value_integer(json_value_member(root, "i"), &integer));
	assert_int_equal(integer, -7);
	assert_true(json_value_is_true(json_value_member(root, "y")));
	assert_int_equal(json_value_size(list), 2);
	assert_string_equal(json_value_text(json_value_at(list, 1)), "x");
	assert_null(json_value_at(list, 2));
	assert_null(json_value_text(list));
	assert_null(json_value_member(root, "absent"));
	assert_null(json_value_member(list, "t"));
	json_document_free(d);
}

static void test_absent_values(void **state)
{
	double number;
	int64_t integer;

	(void)state;
	assert_null(json_document_root(NULL));
	assert_false(json_value_is_object(NULL));
	assert_false(json_value_is_array(NULL));
	assert_null(json_value_member(NULL, "a"));
	assert_int_equal(json_value_size(NULL), 0);
	assert_null(json_value_at(NULL, 0));
	assert_null(json_value_text(NULL));
	assert_false(json_value_number(NULL, &number));
	assert_false(json_value_integer(NULL, &integer));
	assert_false(json_value_is_true(NULL));
	json_document_free(NULL);
}

static void test_malformed_input(void **state)
{
	static const char *const texts[] = {
		"",	 "{",	     "{\"a\":1}x", "{\"a\":}",	  "nul",
		"[1,]",	 "\"\xff\"", "\"\xc3\"",   "\"\\ud800\"", "01",
		"{a:1}", "[1 2]",
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		assert_null(json_document_parse(texts[i], strlen(texts[i])));
}

/* A string with a NUL byte is rejected, because a C string would truncate
 * it. */
static void test_nul_byte(void **state)
{
	static const char text[] = "[\"a\\u0000b\"]";
	struct json_document *d = json_document_parse(text, strlen(text));

	(void)state;
	assert_non_null(d);
	assert_null(json_value_text(json_value_at(json_document_root(d), 0)));
	json_document_free(d);
}

/* Deeply nested input does not overflow the stack. */
static void test_deep_nesting(void **state)
{
	char *text = malloc(2 * DEPTH);
	struct json_document *d;

	(void)state;
	assert_non_null(text);
	memset(text, '[', DEPTH);
	assert_null(json_document_parse(text, DEPTH));
	memset(text + DEPTH, ']', DEPTH);
	d = json_document_parse(text, 2 * DEPTH);
	assert_true(json_value_is_array(json_document_root(d)));
	json_document_free(d);
	free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_values),
		cmocka_unit_test(test_absent_values),
		cmocka_unit_test(test_malformed_input),
		cmocka_unit_test(test_nul_byte),
		cmocka_unit_test(test_deep_nesting),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
