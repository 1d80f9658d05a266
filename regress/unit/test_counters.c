/* Counters, gauges and histograms, and their text format. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "lib/counters.h"

/* Asserts that text contains substring. */
static void assert_has(const char *text, const char *substring)
{
	if (!strstr(text, substring))
		fail_msg("\"%s\" is not in:\n%s", substring, text);
}

static void test_series_of_one_name_are_adjacent(void **state)
{
	static struct counter gauge = {
		.name = "g",
		.help = "A gauge.",
		.kind = COUNTER_GAUGE,
	};
	struct counter *a;
	struct counter *b;
	size_t len;
	char *text;

	(void)state;
	a = counter_labelled("c", "A counter.", COUNTER_TOTAL, "run", "a");
	counter_register(&gauge);
	b = counter_labelled("c", "A counter.", COUNTER_TOTAL, "run", "b");
	assert_ptr_not_equal(a, b);
	assert_ptr_equal(a, counter_labelled("c", "A counter.", COUNTER_TOTAL,
					     "run", "a"));
	counter_add(a, 2);
	counter_add(a, 1);
	counter_add(b, 4e9);
	counter_set(&gauge, -1.5);
	text = counters_text(&len);
	assert_int_equal(len, strlen(text));
	assert_string_equal(text, "# HELP c A counter.\n"
				  "# TYPE c counter\n"
				  "c{run=\"b\"} 4000000000\n"
				  "c{run=\"a\"} 3\n"
				  "# HELP g A gauge.\n"
				  "# TYPE g gauge\n"
				  "g -1.5\n");
	free(text);
	counters_release();
}

static void test_histograms_are_cumulative(void **state)
{
	static const double values[] = { 0, 1, 1.5, 100, 60000, 60001 };
	struct histogram h = { .name = "h_seconds", .help = "Times." };
	size_t len;
	size_t i;
	char *text;

	(void)state;
	histogram_register(&h);
	for (i = 0; i < sizeof(values) / sizeof(values[0]); i++)
		histogram_add(&h, values[i]);
	text = counters_text(&len);
	assert_has(text, "# TYPE h_seconds histogram\n");
	assert_has(text, "h_seconds_bucket{le=\"0.001\"} 2\n");
	assert_has(text, "h_seconds_bucket{le=\"0.002\"} 3\n");
	assert_has(text, "h_seconds_bucket{le=\"0.075\"} 3\n");
	assert_has(text, "h_seconds_bucket{le=\"0.1\"} 4\n");
	assert_has(text, "h_seconds_bucket{le=\"60\"} 5\n");
	assert_has(text, "h_seconds_bucket{le=\"+Inf\"} 6\n");
	assert_has(text, "h_seconds_count 6\n");
	free(text);
	counters_release();
}

static void test_quantiles_are_bucket_bounds(void **state)
{
	struct histogram h = { .name = "h", .help = "h" };
	int i;

	(void)state;
	assert_true(histogram_quantile(&h, 0.5) == 0);
	for (i = 0; i < 95; i++)
		histogram_add(&h, 8);
	for (i = 0; i < 5; i++)
		histogram_add(&h, 900);
	assert_true(histogram_quantile(&h, 0.5) == 10);
	assert_true(histogram_quantile(&h, 0.95) == 10);
	assert_true(histogram_quantile(&h, 0.96) == 1000);
	histogram_add(&h, 1e9);
	assert_true(histogram_quantile(&h, 1) == 60000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_series_of_one_name_are_adjacent),
		cmocka_unit_test(test_histograms_are_cumulative),
		cmocka_unit_test(test_quantiles_are_bucket_bounds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
