/*
 * Unit tests of lib/deflate.c: round trips and rejection of malformed input.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "lib/deflate.h"

static void test_round_trip(void **state)
{
	char text[4096];
	uint8_t *packed;
	size_t packed_len;
	char *plain;

	(void)state;
	memset(text, 'x', sizeof(text));
	packed = deflate_bytes(text, sizeof(text), &packed_len);
	assert_true(packed_len < sizeof(text) / 10);
	plain = inflate_bytes(packed, packed_len, sizeof(text));
	assert_non_null(plain);
	assert_memory_equal(plain, text, sizeof(text));
	free(plain);
	/* wrong lengths, truncated input, a length over the limit, a changed
	 * byte */
	assert_null(inflate_bytes(packed, packed_len, sizeof(text) - 1));
	assert_null(inflate_bytes(packed, packed_len, sizeof(text) + 1));
	assert_null(inflate_bytes(packed, packed_len - 1, sizeof(text)));
	assert_null(inflate_bytes(packed, packed_len, SIZE_MAX - 1));
	packed[packed_len - 1] ^= 1;
	assert_null(inflate_bytes(packed, packed_len, sizeof(text)));
	free(packed);
}

static void test_empty(void **state)
{
	size_t packed_len;
	uint8_t *packed = deflate_bytes("", 0, &packed_len);
	char *plain = inflate_bytes(packed, packed_len, 0);

	(void)state;
	assert_string_equal(plain, "");
	free(plain);
	free(packed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_round_trip),
		cmocka_unit_test(test_empty),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
