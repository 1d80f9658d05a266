/* Unit tests of regress/stream_rule.c: the checker finds each kind of fault, on
 * routes that resume and on others, and nothing in sound streams. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <setjmp.h>
#include <cmocka.h>

#include "regress/stream_rule.h"

#define PIECES_MAX 5
#define LAST_PIECE 3
#define BIT(fault) (1u << (fault))

/* A stream with the id 7, its pieces in their order and the faults in it. */
struct rule_case {
	const char *what;
	bool resumable;
	struct stream_piece pieces[PIECES_MAX]; /* until one without a number */
	bool complete;
	unsigned int faults;
};

static const struct rule_case cases[] = {
	{
		"whole",
		true,
		{ { 1, 4, "v1", "o-7-1" },
		  { 2, 4, "v1", "o-7-1" },
		  { 3, 4, "v1", "o-7-1" } },
		true,
		0,
	},
	{
		"broken off",
		true,
		{ { 1, 4, "v1", "o-7-1" }, { 2, 4, "v1", "o-7-1" } },
		false,
		0,
	},
	{
		"taken up by its caller",
		true,
		{ { 1, 4, "v1", "o-7-1" },
		  { 2, 4, "v1", "o-7-1" },
		  { 3, 9, "v1", "o-7-2" } },
		true,
		0,
	},
	{
		"gone on at another engine",
		true,
		{ { 1, 4, "v1", "o-7-1" },
		  { 2, 9, "v1", "o-7-1" },
		  { 3, 9, "v1", "o-7-1" } },
		true,
		0,
	},
	{
		"gone on where it may not",
		false,
		{ { 1, 4, "v1", "o-7-1" },
		  { 2, 9, "v1", "o-7-1" },
		  { 3, 9, "v1", "o-7-1" } },
		true,
		BIT(STREAM_JOINED),
	},
	{
		"an earlier run comes back",
		true,
		{ { 1, 4, "v1", "o-7-1" },
		  { 2, 9, "v1", "o-7-1" },
		  { 3, 4, "v1", "o-7-1" } },
		true,
		BIT(STREAM_JOINED),
	},
	{
		"piece of another stream",
		true,
		{ { 1, 4, "v1", "o-7-1" },
		  { 2, 5, "v1", "o-71-1" },
		  { 3, 5, "v1", "o-71-1" } },
		true,
		BIT(STREAM_JOINED),
	},
	{
		"piece missing",
		true,
		{ { 1, 4, "v1", "o-7-1" }, { 3, 4, "v1", "o-7-1" } },
		true,
		BIT(STREAM_MISSING),
	},
	{
		"first piece missing",
		true,
		{ { 2, 4, "v1", "o-7-1" }, { 3, 4, "v1", "o-7-1" } },
		true,
		BIT(STREAM_MISSING),
	},
	{
		"piece twice",
		true,
		{ { 1, 4, "v1", "o-7-1" },
		  { 2, 4, "v1", "o-7-1" },
		  { 2, 9, "v1", "o-7-2" },
		  { 3, 9, "v1", "o-7-2" } },
		true,
		BIT(STREAM_TWICE),
	},
	{
		"begun anew",
		false,
		{ { 1, 4, "v1", "o-7-1" },
		  { 1, 9, "v1", "o-7-1" },
		  { 2, 9, "v1", "o-7-1" },
		  { 3, 9, "v1", "o-7-1" } },
		true,
		BIT(STREAM_TWICE) | BIT(STREAM_JOINED),
	},
	{
		"two versions",
		true,
		{ { 1, 4, "v1", "o-7-1" },
		  { 2, 9, "v2", "o-7-2" },
		  { 3, 9, "v2", "o-7-2" } },
		true,
		BIT(STREAM_TWO_VERSIONS),
	},
	{
		"complete early",
		true,
		{ { 1, 4, "v1", "o-7-1" }, { 2, 4, "v1", "o-7-1" } },
		true,
		BIT(STREAM_EARLY),
	},
	{
		"complete early where it may not resume",
		false,
		{ { 1, 4, "v1", "o-7-1" } },
		true,
		BIT(STREAM_EARLY),
	},
	{ "complete without a piece",
	  true,
	  { { 0 } },
	  true,
	  BIT(STREAM_EARLY) },
	{ "no answer", true, { { 0 } }, false, 0 },
};

/* Each fault is found, and reported and counted once. */
static void finds_faults(void **state)
{
	struct stream_counts counts = { 0 };
	unsigned int expected[STREAM_FAULTS] = { 0 };
	size_t i;
	int k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct rule_case *c = &cases[i];
		struct followed_stream s = {
			.resumable = c->resumable,
			.last_piece = LAST_PIECE,
			.prefix = "o-7-",
		};
		unsigned int found = 0;

		print_message("%s\n", c->what);
		for (k = 0; k < PIECES_MAX && c->pieces[k].number; k++)
			found += stream_rule_piece(&s, &c->pieces[k]);
		if (c->complete)
			found += stream_rule_complete(&s);
		assert_int_equal(found, c->faults);
		stream_rule_count(&counts, &s);
		for (k = 0; k < STREAM_FAULTS; k++)
			expected[k] += c->faults >> k & 1;
	}
	assert_int_equal(counts.streams, sizeof(cases) / sizeof(cases[0]));
	for (k = 0; k < STREAM_FAULTS; k++)
		assert_int_equal(counts.faulty[k], expected[k]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(finds_faults),
	};

	return cmocka_run_group_tests_name("stream rule", tests, NULL, NULL);
}
