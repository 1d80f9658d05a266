/* Validation of settings: each type, its bounds and its error messages. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "lib/settings.h"
#include "lib/xalloc.h"

struct sample {
	char *word;
	char *address;
	struct string_list list;
	int64_t bounded;
	int64_t unbounded;
	double ratio;
	bool flag;
	int choice;
};

static const char *const choices[] = { "red", "green", NULL };

#define FIELD(name) .key = #name, .offset = offsetof(struct sample, name)

static const struct setting settings[] = {
	{ FIELD(word), .type = SETTING_STRING, .required = true },
	{ FIELD(address), .type = SETTING_ADDRESS },
	{ FIELD(list), .type = SETTING_STRINGS },
	{ FIELD(bounded), .type = SETTING_INTEGER, .min = -2, .max = 10 },
	{ FIELD(unbounded), .type = SETTING_INTEGER },
	{ FIELD(ratio), .type = SETTING_DECIMAL, .min = 0.5, .max = 2 },
	{ FIELD(flag), .type = SETTING_BOOLEAN },
	{ FIELD(choice), .type = SETTING_CHOICE, .choices = choices },
	{ .key = "inner", .type = SETTING_TABLE },
	{ .key = NULL },
};

/* Parses and reads a text; the caller releases the sample. */
static bool read_text(const char *text, struct sample *s, char *err,
		      size_t err_size)
{
	struct toml_node *root =
		toml_parse(text, strlen(text), "f", err, err_size);
	bool ok;

	assert_non_null(root);
	ok = settings_read(root, "f", settings, s, err, err_size);
	toml_free(root);
	return ok;
}

static void test_every_type_is_read(void **state)
{
	static const char text[] = "word = \"w\"\n"
				   "address = \"127.0.0.1:0\"\n"
				   "list = [\"a\", \"b\"]\n"
				   "bounded = -2\n"
				   "unbounded = -9223372036854775807\n"
				   "ratio = 2\n"
				   "flag = true\n"
				   "choice = \"green\"\n"
				   "[inner]\n";
	struct sample s = { .word = xstrdup("default") };
	char err[256];

	(void)state;
	assert_true(read_text(text, &s, err, sizeof(err)));
	assert_string_equal(s.word, "w");
	assert_string_equal(s.address, "127.0.0.1:0");
	assert_int_equal(s.list.n, 2);
	assert_string_equal(s.list.items[1], "b");
	assert_int_equal(s.bounded, -2);
	assert_true(s.unbounded == -INT64_MAX);
	assert_true(s.ratio == 2.0);
	assert_true(s.flag);
	assert_int_equal(s.choice, 1);
	settings_release(settings, &s);
	assert_null(s.word);
	assert_int_equal(s.list.n, 0);
}

static void test_absent_keys_keep_defaults(void **state)
{
	struct sample s = {
		.address = xstrdup("127.0.0.1:1"),
		.bounded = 7,
		.ratio = 1.25,
		.choice = 1,
	};
	char err[256];

	(void)state;
	assert_true(read_text("word = \"w\"\n", &s, err, sizeof(err)));
	assert_string_equal(s.address, "127.0.0.1:1");
	assert_int_equal(s.bounded, 7);
	assert_true(s.ratio == 1.25);
	assert_int_equal(s.choice, 1);
	settings_release(settings, &s);
}

static void test_errors_are_reported(void **state)
{
	static const struct {
		const char *line; /* second line, after a valid one */
		const char *message;
	} cases[] = {
		{ "word2 = 1", "f:2: word2: unknown key, did you mean word?" },
		{ "xyzzy = 1", "f:2: xyzzy: unknown key" },
		{ "address = 5", "f:2: address: must be a numeric IPv4 address "
				 "and port, such as \"10.0.0.1:8080\"" },
		{ "list = 5", "f:2: list: must be an array of strings" },
		{ "list = [\"a\", 5]", "f:2: list: must be an array of "
				       "strings, none of them empty" },
		{ "bounded = -3",
		  "f:2: bounded: is -3, but must be from -2 to 10" },
		{ "bounded = 11",
		  "f:2: bounded: is 11, but must be from -2 to 10" },
		{ "bounded = 1.0", "f:2: bounded: must be a whole number" },
		{ "bounded = \"1\"", "f:2: bounded: must be a whole number" },
		{ "ratio = 0.25",
		  "f:2: ratio: is 0.25, but must be from 0.5 to 2" },
		{ "ratio = nan",
		  "f:2: ratio: is nan, but must be from 0.5 to 2" },
		{ "ratio = inf",
		  "f:2: ratio: is inf, but must be from 0.5 to 2" },
		{ "ratio = true", "f:2: ratio: must be a number" },
		{ "flag = 1", "f:2: flag: must be true or false" },
		{ "choice = \"blue\"",
		  "f:2: choice: must be one of \"red\", \"green\"" },
		{ "choice = 0",
		  "f:2: choice: must be one of \"red\", \"green\"" },
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char *text = xasprintf("word = \"w\"\n%s\n", cases[i].line);
		struct sample s = { 0 };
		char err[256];

		assert_false(read_text(text, &s, err, sizeof(err)));
		assert_string_equal(err, cases[i].message);
		settings_release(settings, &s);
		free(text);
	}
}

static void test_missing_required_keys_are_reported(void **state)
{
	struct sample s = { 0 };
	char err[256];

	(void)state;
	assert_false(read_text("flag = true\n", &s, err, sizeof(err)));
	assert_string_equal(err, "f:1: word: missing, but required");
	assert_false(read_text("word = \"\"\n", &s, err, sizeof(err)));
	assert_string_equal(err, "f:1: word: must be a string, not empty");
	settings_release(settings, &s);
}

static void test_long_messages_are_truncated(void **state)
{
	struct sample s = { 0 };
	char err[8];

	(void)state;
	assert_false(read_text("flag = true\n", &s, err, sizeof(err)));
	assert_string_equal(err, "f:1: wo");
	settings_release(settings, &s);
}

static void test_nearest_word_is_suggested(void **state)
{
	static const char *const words[] = { "log_level", "zone", "instance" };
	static const char long_word[] =
		"abcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvwxyz"
		"abcdefghijklmnopqrstuvwxyz";

	(void)state;
	assert_string_equal(settings_nearest("loglevel", words, 3),
			    "log_level");
	assert_string_equal(settings_nearest("zoen", words, 3), "zone");
	assert_string_equal(settings_nearest("Instance", words, 3), "instance");
	assert_null(settings_nearest("qqqqqq", words, 3));
	assert_null(settings_nearest(long_word, words, 3));
	assert_null(settings_nearest("zone", words, 0));
}

static void test_addresses(void **state)
{
	static const struct {
		const char *text;
		bool ok;
	} cases[] = {
		{ "127.0.0.1:8080", true },
		{ "0.0.0.0:0", true },
		{ "127.0.0.1:65535", true },
		{ "127.0.0.1:65536", false },
		{ "127.0.0.1:", false },
		{ "127.0.0.1", false },
		{ ":80", false },
		{ "localhost:80", false },
		{ "127.0.0:80", false },
		{ "127.0.0.1:+80", false },
		{ "127.0.0.1: 80", false },
		{ "127.0.0.1:-1", false },
		{ "127.0.0.1:8o", false },
		{ " 127.0.0.1:80", false },
		{ "[::1]:80", false },
	};
	char host[64];
	uint16_t port;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		if (address_parse(cases[i].text, host, sizeof(host), &port) !=
		    cases[i].ok)
			fail_msg("%s", cases[i].text);
	assert_true(address_parse("10.1.2.3:456", host, sizeof(host), &port));
	assert_string_equal(host, "10.1.2.3");
	assert_int_equal(port, 456);
	assert_false(address_parse("10.1.2.3:456", host, 8, &port));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_every_type_is_read),
		cmocka_unit_test(test_absent_keys_keep_defaults),
		cmocka_unit_test(test_errors_are_reported),
		cmocka_unit_test(test_missing_required_keys_are_reported),
		cmocka_unit_test(test_long_messages_are_truncated),
		cmocka_unit_test(test_nearest_word_is_suggested),
		cmocka_unit_test(test_addresses),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
