/* Unit test of policy/answer_end.c: what an answer is that ended with its
 * connection, by what its endpoint shows afterwards. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "policy/answer_end.h"

#define N(list) (sizeof(list) / sizeof((list)[0]))
#define TICK_MS 20
#define SILENCE_MS 1500 /* of a sound endpoint */
#define SILENCE_SHORTEST_MS 800 /* of one */
#define LONG_MS 20000 /* far longer than that */
#define PART_GAP_MS 20 /* between two parts of an answer */
#define CUT_MS 200 /* a connection that was lost, and one more */
#define STREAM_GAP_MS 5600 /* the shortest after which callers leave */

static void decisions(void **state)
{
	static const struct {
		struct answer_end_signs signs;
		enum answer_end end;
	} cases[] = {
		{ { .endpoint = ENDPOINT_SIGN_NONE }, ANSWER_END_WAIT },
		{ { .endpoint = ENDPOINT_SIGN_LIVES }, ANSWER_END_WHOLE },
		{ { .endpoint = ENDPOINT_SIGN_ENDED }, ANSWER_END_CUT },
		{ { .endpoint = ENDPOINT_SIGN_ENDED, .empty = true },
		  ANSWER_END_CUT },
		{ { .endpoint = ENDPOINT_SIGN_ENDED,
		    .empty = true,
		    .empty_before = 1 },
		  ANSWER_END_CUT },
		{ { .endpoint = ENDPOINT_SIGN_LEFT }, ANSWER_END_LEFT },
		{ { .endpoint = ENDPOINT_SIGN_LEFT, .empty = true },
		  ANSWER_END_LEFT },
		{ { .endpoint = ENDPOINT_SIGN_UNKNOWN }, ANSWER_END_UNKNOWN },
		{ { .endpoint = ENDPOINT_SIGN_LIVES,
		    .empty = true,
		    .may_run_again = true },
		  ANSWER_END_EMPTY },
		{ { .endpoint = ENDPOINT_SIGN_LIVES,
		    .empty = true,
		    .empty_before = 1,
		    .may_run_again = true },
		  ANSWER_END_WHOLE },
		{ { .endpoint = ENDPOINT_SIGN_LIVES, .empty = true },
		  ANSWER_END_WHOLE },
		{ { .endpoint = ENDPOINT_SIGN_NONE, .waited_ms = CUT_MS },
		  ANSWER_END_WAIT },
		{ { .endpoint = ENDPOINT_SIGN_NONE,
		    .reached = true,
		    .waited_ms = SILENCE_MS },
		  ANSWER_END_WAIT },
		{ { .endpoint = ENDPOINT_SIGN_NONE, .waited_ms = LONG_MS },
		  ANSWER_END_UNKNOWN },
		{ { .endpoint = ENDPOINT_SIGN_NONE,
		    .waited_ms = LONG_MS,
		    .stays = true },
		  ANSWER_END_WAIT },
		{ { .endpoint = ENDPOINT_SIGN_UNKNOWN, .stays = true },
		  ANSWER_END_UNKNOWN },
		{ { .endpoint = ENDPOINT_SIGN_ENDED, .stays = true },
		  ANSWER_END_CUT },
		{ { .endpoint = ENDPOINT_SIGN_LIVES, .stays = true },
		  ANSWER_END_WHOLE },
	};
	size_t i;

	(void)state;
	for (i = 0; i < N(cases); i++)
		assert_int_equal(answer_end_decide(&cases[i].signs),
				 cases[i].end);
}

/* A plain answer of an endpoint that has ended is never passed on where another
 * can be had, or where its endpoint may have been killed in the middle of it. */
static void plain_answers(void **state)
{
	static const struct {
		enum answer_end end;
		bool may_run_again;
		bool outlived;
		uint64_t ended_after_ms;
		bool delivers;
	} cases[] = {
		{ ANSWER_END_WHOLE, true, false, PART_GAP_MS, true },
		{ ANSWER_END_WHOLE, false, false, PART_GAP_MS, true },
		{ ANSWER_END_CUT, true, true, 0, false },
		{ ANSWER_END_CUT, false, true, 0, false },
		{ ANSWER_END_UNKNOWN, true, true, 0, false },
		{ ANSWER_END_UNKNOWN, false, true, PART_GAP_MS, false },
		{ ANSWER_END_UNKNOWN, false, false, 0, false },
		{ ANSWER_END_UNKNOWN, false, true, 0, true },
		{ ANSWER_END_LEFT, true, true, 0, false },
		{ ANSWER_END_LEFT, false, true, PART_GAP_MS, false },
		{ ANSWER_END_LEFT, false, false, 0, false },
		{ ANSWER_END_LEFT, false, true, 0, true },
	};
	size_t i;

	(void)state;
	for (i = 0; i < N(cases); i++)
		assert_int_equal(answer_end_delivers(cases[i].end,
						     cases[i].may_run_again,
						     cases[i].outlived,
						     cases[i].ended_after_ms),
				 cases[i].delivers);
}

/* A stream waits neither without end nor until its caller leaves, and never
 * ends as whole for want of an answer. */
static void wait_is_bounded(void **state)
{
	struct answer_end_signs s = { .endpoint = ENDPOINT_SIGN_NONE };
	int reached;

	(void)state;
	for (reached = 0; reached < 2; reached++) {
		s.reached = reached;
		s.waited_ms = 0;
		while (answer_end_decide(&s) == ANSWER_END_WAIT)
			s.waited_ms += TICK_MS;
		assert_int_equal(answer_end_decide(&s), ANSWER_END_UNKNOWN);
		assert_true(s.waited_ms < STREAM_GAP_MS / 2);
	}
}

static void starts(void **state)
{
	(void)state;
	assert_int_equal(answer_end_start_sign(7, 7), ENDPOINT_SIGN_LIVES);
	assert_int_equal(answer_end_start_sign(7, 8), ENDPOINT_SIGN_ENDED);
	assert_int_equal(answer_end_start_sign(8, 7), ENDPOINT_SIGN_ENDED);
	assert_int_equal(answer_end_start_sign(0, 7), ENDPOINT_SIGN_UNKNOWN);
	assert_int_equal(answer_end_start_sign(0, 0), ENDPOINT_SIGN_LIVES);
	assert_int_equal(answer_end_start_sign(7, 0), ENDPOINT_SIGN_LIVES);
}

/* Only a word of the process that wrote an answer, on a connection that was open
 * before, or the end of one that its host had still acknowledged, shows that it has
 * outlived the answer.  One that is only open never does: it may be silent. */
static void witnesses(void **state)
{
	static const struct {
		struct answer_end_witness witness;
		bool lives;
	} cases[] = {
		/* answers */
		{ { .answered = true, .older = true }, true },
		{ { .answered = true }, false },
		{ { .answered = true, .older = true, .leaves = true }, true },
		{ { .answered = true,
		    .states_start = true,
		    .stated_ms = 7,
		    .known_ms = 7 },
		  true },
		{ { .answered = true,
		    .states_start = true,
		    .stated_ms = 7,
		    .known_ms = 7,
		    .leaves = true },
		  true },
		{ { .answered = true,
		    .states_start = true,
		    .stated_ms = 8,
		    .known_ms = 7 },
		  false },
		{ { .answered = true,
		    .states_start = true,
		    .stated_ms = 8,
		    .known_ms = 7,
		    .older = true },
		  true },
		{ { .answered = true,
		    .states_start = true,
		    .stated_ms = 8,
		    .known_ms = 7,
		    .older = true,
		    .leaves = true },
		  false },
		{ { .answered = true, .states_start = true }, false },
		{ { .answered = true, .states_start = true, .older = true },
		  true },
		/* ends without an answer */
		{ { .older = true, .same_process = true }, false },
		{ { .older = true,
		    .same_process = true,
		    .received = true,
		    .held_ms = LONG_MS },
		  false },
		{ { .older = true, .leaves = true, .held_ms = LONG_MS },
		  false },
		{ { .same_process = true,
		    .leaves = true,
		    .held_ms = SILENCE_SHORTEST_MS },
		  false },
		{ { .same_process = true,
		    .leaves = true,
		    .received = true,
		    .held_ms = SILENCE_SHORTEST_MS },
		  true },
		{ { .older = true,
		    .leaves = true,
		    .received = true,
		    .held_ms = SILENCE_SHORTEST_MS },
		  false },
		{ { .same_process = true, .leaves = true, .received = true },
		  false },
		{ { .same_process = true,
		    .leaves = true,
		    .received = true,
		    .held_ms = CUT_MS + TICK_MS },
		  false },
	};
	size_t i;

	(void)state;
	for (i = 0; i < N(cases); i++)
		assert_int_equal(answer_end_witness_sign(&cases[i].witness),
				 cases[i].lives ? ENDPOINT_SIGN_LIVES
						: ENDPOINT_SIGN_NONE);
}

/* A stream that goes on elsewhere is not kept waiting for connections that may be
 * silent; one that can't, whose endpoint leaves, waits for a silence of that. */
static void wait_for_witnesses(void **state)
{
	(void)state;
	assert_true(answer_end_witness_wait_ms(false, true) <
		    STREAM_GAP_MS / 8);
	assert_true(answer_end_witness_wait_ms(false, false) <
		    STREAM_GAP_MS / 8);
	assert_true(answer_end_witness_wait_ms(true, true) < STREAM_GAP_MS / 8);
	assert_true(answer_end_witness_wait_ms(true, false) > SILENCE_MS);
	assert_true(answer_end_witness_wait_ms(true, false) <
		    STREAM_GAP_MS / 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(decisions),
		cmocka_unit_test(plain_answers),
		cmocka_unit_test(wait_is_bounded),
		cmocka_unit_test(starts),
		cmocka_unit_test(witnesses),
		cmocka_unit_test(wait_for_witnesses),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
