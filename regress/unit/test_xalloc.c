/* Unit tests of lib/xalloc.c. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <cmocka.h>

#include "lib/xalloc.h"

static void test_copies(void **state)
{
	char *s = xasprintf("%s-%d", "a", 7);
	char *t = xstrndup(s, 1);

	(void)state;
	assert_string_equal(s, "a-7");
	assert_string_equal(t, "a");
	free(s);
	free(t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_copies),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
