/* Tests resume cursors: written cursors parse, altered ones are rejected. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "entryd/cursor.h"

#define KEY "a secret of at least 16"
#define ORG 0x1122334455667788u

static const struct cursor sample = {
	.generation = "0123456789abcdef",
	.attempt = 3,
	.endpoint = 0xfeedfacecafebeefu,
	.stream = "0123456789abcdef.3.0a1b2c3d",
	.position = 41,
	.text_hash = 0x99u,
};

/* Writes the cursor of the sample. */
static void write_sample(char *text, size_t size)
{
	char prefix[CURSOR_PREFIX_SIZE];

	cursor_prefix(&sample, ORG, KEY, prefix);
	assert_true(cursor_write(text, size, prefix, sample.position,
				 sample.text_hash) > 0);
}

static void test_round_trip(void **state)
{
	char text[256];
	struct cursor c;

	(void)state;
	write_sample(text, sizeof(text));
	assert_int_equal(cursor_parse(text, ORG, KEY, &c), CURSOR_OK);
	assert_string_equal(c.generation, sample.generation);
	assert_string_equal(c.stream, sample.stream);
	assert_int_equal(c.attempt, sample.attempt);
	assert_true(c.endpoint == sample.endpoint);
	assert_int_equal(c.position, sample.position);
	assert_true(c.text_hash == sample.text_hash);
}

static void test_short_buffer_is_reported(void **state)
{
	char prefix[CURSOR_PREFIX_SIZE];
	char whole[256];
	char out[256];
	int n;

	(void)state;
	cursor_prefix(&sample, ORG, KEY, prefix);
	n = cursor_write(whole, sizeof(whole), prefix, 41, 0x99u);
	assert_int_equal(n, strlen(whole));
	assert_int_equal(cursor_write(out, (size_t)n, prefix, 41, 0x99u), -1);
	assert_int_equal(cursor_write(out, (size_t)n + 1, prefix, 41, 0x99u),
			 n);
}

/* A change of any byte of the authenticated part or of the MAC is detected. */
static void test_altered_cursors_are_rejected(void **state)
{
	char prefix[CURSOR_PREFIX_SIZE];
	char text[256];
	struct cursor c;
	size_t i;

	(void)state;
	cursor_prefix(&sample, ORG, KEY, prefix);
	for (i = 0; i + 1 < strlen(prefix); i++) {
		write_sample(text, sizeof(text));
		text[i] = text[i] == '7' ? '8' : '7';
		assert_int_not_equal(cursor_parse(text, ORG, KEY, &c),
				     CURSOR_OK);
	}
}

static void test_key_and_organisation_are_bound(void **state)
{
	char text[256];
	struct cursor c;

	(void)state;
	write_sample(text, sizeof(text));
	assert_int_equal(cursor_parse(text, ORG + 1, KEY, &c), CURSOR_BAD_MAC);
	assert_int_equal(cursor_parse(text, ORG, KEY "x", &c), CURSOR_BAD_MAC);
}

static void test_malformed_cursors_are_rejected(void **state)
{
	static const char code[] = "0011223344556677";
	static const struct {
		const char *head;
		const char *tail;
	} cases[] = {
		{ "", "" },
		{ "0123456789abcdef.1.1.0a1b2c3d.", "" },
		{ "0123456789abcdef.1.1.0a1b2c3d.", ".5" },
		{ "0123456789abcdef.1.1.0a1b2c3d.", ".5.6.7" },
		{ "0123456789abcdef.1.1.0a1b2c3d.", ".5.6 " },
		{ "0123456789abcdef.1.1.0a1b2c3d.", ".-5.6" },
		{ "0123456789abcdef.1.1.0a1b2c3d.", ".+5.6" },
		{ "0123456789abcdef.1.1.0a1b2c3.", ".5.6" },
		{ "0123456789abcde.1.1.0a1b2c3d.", ".5.6" },
		{ "0123456789abcdefa.1.1.0a1b2c3d.", ".5.6" },
		{ "0123456789ABCDEF.1.1.0a1b2c3d.", ".5.6" },
		{ "0123456789abcdef.1..0a1b2c3d.", ".5.6" },
		{ "0123456789abcdef.1.1.0a1b2c3d.", ".12345678901.6" },
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct cursor c;
		char text[256];

		snprintf(text, sizeof(text), "%s%s%s", cases[i].head, code,
			 cases[i].tail);
		if (cursor_parse(text, ORG, KEY, &c) != CURSOR_MALFORMED)
			fail_msg("taken as well formed: %s", text);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_round_trip),
		cmocka_unit_test(test_short_buffer_is_reported),
		cmocka_unit_test(test_altered_cursors_are_rejected),
		cmocka_unit_test(test_key_and_organisation_are_bound),
		cmocka_unit_test(test_malformed_cursors_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
