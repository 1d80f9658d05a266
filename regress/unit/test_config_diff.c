/*
 * Differences between two configurations, as cdmctl plan prints them.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "lib/config_diff.h"

#define HEAD                                             \
	"[cluster]\ncursor_key = \"0123456789abcdef\"\n" \
	"[[model]]\nname = \"m\"\n"
#define SERVICE(queue)                                                 \
	"[[service]]\nname = \"s\"\nkind = \"model\"\nmodel = \"m\"\n" \
	"queue_max = " queue "\n"
#define ENDPOINT(name, address)                                \
	"[[endpoint]]\nname = \"" name "\"\nservice = \"s\"\n" \
	"address = \"127.0.0.1:" address "\"\nzone = \"z\"\n"

struct diff_case {
	const char *before; /* NULL: no active configuration */
	const char *after;
	const char *expected; /* one change per line */
};

static const struct diff_case cases[] = {
	{ HEAD SERVICE("1"), HEAD SERVICE("1"), "" },
	{ NULL, HEAD,
	  "added cluster cluster ()\n"
	  "added model m ()\n" },
	{ HEAD SERVICE("1"), HEAD SERVICE("2"),
	  "changed service s (queue_max)\n" },
	{ HEAD SERVICE("1") ENDPOINT("a", "1") ENDPOINT("b", "2"),
	  HEAD SERVICE("1") ENDPOINT("b", "3") ENDPOINT("c", "2"),
	  "removed endpoint a ()\n"
	  "changed endpoint b (address)\n"
	  "added endpoint c ()\n" },
	/* reordered tables are unchanged */
	{ HEAD SERVICE("1") ENDPOINT("a", "1") ENDPOINT("b", "2"),
	  HEAD SERVICE("1") ENDPOINT("b", "2") ENDPOINT("a", "1"), "" },
	{ HEAD,
	  "[cluster]\ncursor_key = \"fedcba9876543210\"\n"
	  "entries_ttl_s = 9\n[[model]]\nname = \"m\"\n",
	  "changed cluster cluster (cursor_key, entries_ttl_s)\n" },
};

static struct config *parse(const char *text)
{
	char err[256] = "";
	struct config *c =
		config_parse(text, strlen(text), "f", 1, err, sizeof(err));

	assert_string_equal(err, "");
	return c;
}

static void test_changes_are_found(void **state)
{
	struct config_change *changes;
	struct config *before;
	struct config *after;
	char text[1024];
	size_t i, k, n;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		before = cases[i].before ? parse(cases[i].before) : NULL;
		after = parse(cases[i].after);
		n = config_diff(before, after, &changes);
		text[0] = '\0';
		for (k = 0; k < n; k++)
			snprintf(text + strlen(text),
				 sizeof(text) - strlen(text), "%s %s %s (%s)\n",
				 config_change_name(changes[k].kind),
				 changes[k].section, changes[k].name,
				 changes[k].keys);
		assert_string_equal(text, cases[i].expected);
		free(changes);
		config_unref(before);
		config_unref(after);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_changes_are_found),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
