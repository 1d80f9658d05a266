/* TOML parser: the resulting tree, and errors for malformed files. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "lib/toml.h"

struct malformed {
	const char *text;
	const char *message;
};

/* toml++ fails an assertion on the first four files.  With sanitizers it aborts
 * on non-ASCII letters outside of strings, because it marks them as
 * unreachable. */
static const struct malformed malformed[] = {
	{ "a = [1,}", "f:1: malformed value" },
	{ "x = 1\ny = 2\na = [1,}\nz = 3\n", "f:3: malformed value" },
	{ "a = [\n1,\n}\n", "f:3: malformed value" },
	{ "a = { b = [1,}\n", "f:1: malformed value" },
	{ "a = [1,",
	  "f:1: Error while parsing array: encountered end-of-file" },
	{ "a = 1\na = 2\n",
	  "f:2: Error while parsing key-value pair: cannot redefine existing "
	  "integer 'a'" },
	{ "a 1\n", "f:1: Error while parsing key-value pair: expected '=', "
		   "saw '1'" },
	{ "[[\312\245"
	  "7",
	  NULL },
	{ "zona = Rancagua\303\241\n", NULL },
	{ "a = \"\377\"\n", NULL },
};

static void test_malformed_files_are_rejected(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
		const struct malformed *m = &malformed[i];
		char err[256] = "";

		assert_null(toml_parse(m->text, strlen(m->text), "f", err,
				       sizeof(err)));
		if (m->message)
			assert_string_equal(err, m->message);
		else
			assert_memory_equal(err, "f:1: ", 5);
	}
}

static void test_values_keep_type_and_line(void **state)
{
	static const char text[] = "s = \"\303\241\"\n"
				   "n = -5\n"
				   "\n"
				   "f = 2.5\n"
				   "b = true\n"
				   "d = 1979-05-27\n"
				   "l = [1, 2]\n"
				   "[t]\n"
				   "inner = 1\n";
	static const struct {
		const char *key;
		enum toml_type type;
		int line;
	} expected[] = {
		{ "s", TOML_STRING, 1 }, { "n", TOML_INTEGER, 2 },
		{ "f", TOML_FLOAT, 4 },	 { "b", TOML_BOOLEAN, 5 },
		{ "d", TOML_OTHER, 6 },	 { "l", TOML_ARRAY, 7 },
		{ "t", TOML_TABLE, 8 },
	};
	char err[256];
	struct toml_node *root =
		toml_parse(text, strlen(text), "f", err, sizeof(err));
	size_t i;

	(void)state;
	assert_non_null(root);
	assert_int_equal(root->n_children, 7);
	for (i = 0; i < sizeof(expected) / sizeof(expected[0]); i++) {
		const struct toml_node *node = toml_get(root, expected[i].key);

		assert_non_null(node);
		assert_int_equal(node->type, expected[i].type);
		assert_int_equal(node->line, expected[i].line);
	}
	assert_string_equal(toml_get(root, "s")->string, "\303\241");
	assert_int_equal(toml_get(root, "n")->integer, -5);
	assert_true(toml_get(root, "f")->floating == 2.5);
	assert_true(toml_get(root, "b")->boolean);
	assert_int_equal(toml_get(root, "l")->children[1].integer, 2);
	assert_non_null(toml_get(toml_get(root, "t"), "inner"));
	assert_null(toml_get(root, "inner"));
	toml_free(root);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_malformed_files_are_rejected),
		cmocka_unit_test(test_values_keep_type_and_line),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
